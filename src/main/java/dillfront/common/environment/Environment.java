package dillfront.common.environment;

import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * What a program of the system needs of the machine it runs on: a steady clock, timers,
 * connections, chance. The programs' own parts know nothing else, so that they run the same on
 * sockets and in simulated time. All calls and all answers on the program's one loop.
 */
public interface Environment {

    /** How messages are cut out of a connection's bytes. */
    enum Framing {
        /** Lines that end in CR LF, of the wire. */
        LINES,
        /** Four bytes of length before each, between the system's own processes. */
        FRAMES
    }

    /** One connection. */
    interface Connection {

        /** One message, without what ends or precedes it. Nothing happens on a closed link. */
        void send(byte[] message);

        /** Whatever was sent goes out first. */
        void close();

        /** Bytes that wait to go out. */
        long pendingBytes();
    }

    /** Hears what happens on one connection. */
    interface ConnectionListener {

        void onOpen(Connection link);

        void onMessage(byte[] message);

        /** Once, whatever ended it; also where it was never opened. Not after one's own close(). */
        void onClose(String why);
    }

    /** A timer that was set. */
    interface Timer {
        void cancel();
    }

    /**
     * What an HTTP server answered.
     *
     * @param location where the caller is to ask instead; null where he has his answer
     */
    record HttpResponse(int status, byte[] body, String location) {

        public HttpResponse(int status, byte[] body) {
            this(status, body, null);
        }
    }

    /** Milliseconds of a clock that never goes back, from a zero of its own. */
    long nowMillis();

    Timer schedule(long ms, Runnable run);

    Connection connect(String address, Framing form, int timeoutMs, ConnectionListener ear);

    /** A POST with a JSON body; the future fails where no whole answer came within the time. */
    CompletableFuture<HttpResponse> post(
            String address,
            String path,
            String json,
            java.util.Map<String, String> headers,
            int timeoutMs);

    RandomGenerator random();

    /** Keeps this in memory, to go out with the next that is wrong. */
    void trace(String event);

    /** Something is wrong: it goes out, with what was noted before. */
    void warn(String event);
}
