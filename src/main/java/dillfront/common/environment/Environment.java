package dillfront.common.environment;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * The interface between a program and its machine: monotonic clock, timers, connections, random
 * numbers and event log. Programs use no other access to the machine, so they run unchanged on
 * sockets and in simulated time. All calls and callbacks run on the program's single thread.
 */
public interface Environment {

    /** The reason of a connection that was not opened because no process listens at the address. */
    String REFUSED = "refused";

    /** How messages are delimited in the byte stream of a connection. */
    enum Framing {
        /** Lines that end in CR LF, the protocol of database servers and clients. */
        LINES,
        /** A length prefix of four bytes, the protocol between the system's own processes. */
        FRAMES
    }

    /** One connection. */
    interface Connection {

        /** Sends one message, given without its framing; does nothing on a closed connection. */
        void send(byte[] message);

        /** Closes the connection after all pending bytes are written. */
        void close();

        /**
         * Pauses or resumes reading, so that the peer has to wait. Messages that were received
         * before are still delivered. Does nothing where nothing is read ahead.
         */
        default void setReading(boolean reading) {}

        /** Returns the number of bytes that were sent but not yet written to the socket. */
        long pendingBytes();
    }

    /** Receives the events of one connection. */
    interface ConnectionListener {

        void onOpen(Connection connection);

        /**
         * @param message without its framing
         */
        void onMessage(byte[] message);

        /**
         * Called once when the connection has ended or could not be opened, but not after {@link
         * Connection#close} on this side.
         */
        void onClose(String reason);
    }

    /** A scheduled task. */
    interface Timer {

        void cancel();
    }

    /**
     * An HTTP response.
     *
     * @param location target of a redirect; null for none
     */
    record HttpResponse(int status, byte[] body, String location) {

        public HttpResponse(int status, byte[] body) {
            this(status, body, null);
        }
    }

    /** Returns the time of a monotonic clock with an arbitrary origin, in milliseconds. */
    long nowMillis();

    /** Runs a task after a delay. */
    Timer schedule(long delayMillis, Runnable task);

    /**
     * Connects to an address of the form IP:PORT.
     *
     * @return the connection, which is open only after {@link ConnectionListener#onOpen}
     */
    Connection connect(
            String address, Framing framing, int timeoutMillis, ConnectionListener listener);

    /**
     * Sends a POST request with a JSON body.
     *
     * @return the response; fails if none is complete within the timeout
     */
    CompletableFuture<HttpResponse> post(
            String address,
            String path,
            String json,
            Map<String, String> headers,
            int timeoutMillis);

    RandomGenerator random();

    /** Records an event in memory, to be written with the next warning. */
    void trace(String event);

    /** Writes a warning and the events recorded before it. */
    void warn(String event);
}
