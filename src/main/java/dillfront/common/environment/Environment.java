package dillfront.common.environment;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * What a program of the system needs of the machine it runs on: a steady clock, timers,
 * connections, random numbers, an event log. The programs know nothing else of the machine, so they
 * run the same on sockets and in simulated time. All calls and all callbacks are on the program's
 * one thread.
 */
public interface Environment {

    /** How messages are cut out of a connection's bytes. */
    enum Framing {
        /** Lines that end in CR LF, as database servers and clients speak. */
        LINES,
        /** Four bytes of length before each message, between the system's own processes. */
        FRAMES
    }

    /** One connection. */
    interface Connection {

        /** Sends one message, without its framing. Does nothing on a closed connection. */
        void send(byte[] message);

        /** Closes it once all that was sent has gone out. */
        void close();

        /** Bytes that were sent and have not gone out yet. */
        long pendingBytes();
    }

    /** Receives what happens on one connection. */
    interface ConnectionListener {

        void onOpen(Connection connection);

        /**
         * @param message without its framing
         */
        void onMessage(byte[] message);

        /**
         * Called once, whatever ended the connection, also where it was never opened; but not after
         * its own {@link Connection#close}.
         */
        void onClose(String reason);
    }

    /** A timer that was set. */
    interface Timer {

        void cancel();
    }

    /**
     * An HTTP response.
     *
     * @param location where the caller is redirected to; null for nowhere
     */
    record HttpResponse(int status, byte[] body, String location) {

        public HttpResponse(int status, byte[] body) {
            this(status, body, null);
        }
    }

    /** Milliseconds of a clock that never goes back, from a zero of its own. */
    long nowMillis();

    /** Runs a task after a delay. */
    Timer schedule(long delayMillis, Runnable task);

    /**
     * Connects to an address, IP:PORT.
     *
     * @return the connection, which is not open yet: the listener is told
     */
    Connection connect(
            String address, Framing framing, int timeoutMillis, ConnectionListener listener);

    /**
     * Sends a POST with a JSON body.
     *
     * @return fails where no complete response came within the time
     */
    CompletableFuture<HttpResponse> post(
            String address,
            String path,
            String json,
            Map<String, String> headers,
            int timeoutMillis);

    RandomGenerator random();

    /** Keeps an event in memory; it is written out with the next warning. */
    void trace(String event);

    /** Writes out a warning, with the events before it. */
    void warn(String event);
}
