package dillfront.common.environment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A call of the platform has a connection of its own: what came back there, whole and in time, is
 * its answer, and nothing else.
 */
class HttpPostTest {

    private final NettyEnvironment environment = new NettyEnvironment(1);
    private ServerSocket platform;

    @BeforeEach
    void open() throws IOException {
        platform = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        platform.setSoTimeout(8_000);
    }

    @AfterEach
    void close() throws Exception {
        platform.close();
        environment
                .eventLoop()
                .parent()
                .shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
                .await(3, TimeUnit.SECONDS);
    }

    private CompletableFuture<Environment.HttpResponse> post(int timeoutMillis) {
        return environment.post(
                "127.0.0.1:" + platform.getLocalPort(),
                "/promotion",
                "{}",
                Map.of("Dillfront-Fence-Number", "7"),
                timeoutMillis);
    }

    /**
     * What becomes of a call that is answered with these bytes, after which the connection is
     * closed.
     */
    private String outcomeOf(String bytes) throws Exception {
        CompletableFuture<Environment.HttpResponse> response = post(5_000);
        try (Socket connection = platform.accept()) {
            String head = request(connection);
            assertTrue(head.contains("ence-number: 7") || head.contains("ence-Number: 7"), head);
            connection.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
        }
        try {
            return Integer.toString(response.get(8, TimeUnit.SECONDS).status());
        } catch (ExecutionException e) {
            return "none";
        }
    }

    private static String request(Socket connection) throws IOException {
        StringBuilder received = new StringBuilder();
        while (!received.toString().endsWith("\r\n\r\n{}")) {
            int next = connection.getInputStream().read();
            assertTrue(next >= 0, "the call ended within " + received);
            received.append((char) next);
        }
        return received.toString();
    }

    @Test
    void failsOnIncompleteResponse() throws Exception {
        assertEquals("200", outcomeOf("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"));
        assertEquals("409", outcomeOf("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"));
        assertEquals("none", outcomeOf(""));
        assertEquals("none", outcomeOf("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{}"));
        assertEquals(
                "none", outcomeOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nnone\r\n"));
        assertEquals("none", outcomeOf("no HTTP at all\r\n\r\n"));
    }

    /** Guards against a word on the way that is taken for the answer. */
    @Test
    void ignoresInformationalResponses() throws Exception {
        assertEquals(
                "409",
                outcomeOf(
                        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"));
    }

    @Test
    void failsAfterTheTimeout() throws Exception {
        CompletableFuture<Environment.HttpResponse> response = post(200);
        try (Socket connection = platform.accept()) {
            request(connection);
            assertThrows(ExecutionException.class, () -> response.get(8, TimeUnit.SECONDS));
            assertEquals(-1, connection.getInputStream().read(), "the connection is left");
        }
    }

    /**
     * Guards against a call that leaves once the process runs again, though its time was over while
     * it stood still.
     */
    @Test
    void sendsNothingAfterTheTimeout() throws Exception {
        CompletableFuture<Environment.HttpResponse> response = new CompletableFuture<>();
        BlockingQueue<Boolean> accepted = new LinkedBlockingQueue<>();
        environment
                .eventLoop()
                .execute(
                        () -> {
                            post(100).whenComplete((answer, fault) -> response.complete(answer));
                            // The process stands still from before it is connected until its time
                            // is over.
                            try {
                                accepted.poll(8, TimeUnit.SECONDS);
                                Thread.sleep(200);
                            } catch (InterruptedException over) {
                                Thread.currentThread().interrupt();
                            }
                        });
        try (Socket connection = platform.accept()) {
            accepted.add(true);
            assertEquals(
                    -1, connection.getInputStream().read(), "something was sent after its time");
        }
        assertEquals(null, response.get(8, TimeUnit.SECONDS));
    }
}
