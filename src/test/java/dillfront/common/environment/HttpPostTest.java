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

    private final NettyEnvironment host = new NettyEnvironment(1);
    private ServerSocket platform;

    @BeforeEach
    void open() throws IOException {
        platform = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        platform.setSoTimeout(8_000);
    }

    @AfterEach
    void close() throws Exception {
        platform.close();
        host.eventLoop()
                .parent()
                .shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
                .await(3, TimeUnit.SECONDS);
    }

    private CompletableFuture<Environment.HttpResponse> post(int timeoutMs) {
        return host.post(
                "127.0.0.1:" + platform.getLocalPort(),
                "/promotion",
                "{}",
                Map.of("Dillfront-Fence-Number", "7"),
                timeoutMs);
    }

    /**
     * What becomes of a call that is answered with these bytes, after which the connection is
     * closed.
     */
    private String answeredWith(String bytes) throws Exception {
        CompletableFuture<Environment.HttpResponse> is = post(5_000);
        try (Socket call = platform.accept()) {
            String head = request(call);
            assertTrue(head.contains("ence-number: 7") || head.contains("ence-Number: 7"), head);
            call.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
        }
        try {
            return Integer.toString(is.get(8, TimeUnit.SECONDS).status());
        } catch (ExecutionException none) {
            return "none";
        }
    }

    private static String request(Socket call) throws IOException {
        StringBuilder all = new StringBuilder();
        while (!all.toString().endsWith("\r\n\r\n{}")) {
            int next = call.getInputStream().read();
            assertTrue(next >= 0, "the call ended within " + all);
            all.append((char) next);
        }
        return all.toString();
    }

    @Test
    void failsOnIncompleteResponse() throws Exception {
        assertEquals("200", answeredWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"));
        assertEquals("409", answeredWith("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"));
        assertEquals("none", answeredWith(""));
        assertEquals("none", answeredWith("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{}"));
        assertEquals(
                "none",
                answeredWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nnone\r\n"));
        assertEquals("none", answeredWith("no HTTP at all\r\n\r\n"));
    }

    /** Guards against a word on the way that is taken for the answer. */
    @Test
    void ignoresInformationalResponses() throws Exception {
        assertEquals(
                "409",
                answeredWith(
                        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"));
    }

    @Test
    void failsAfterTheTimeout() throws Exception {
        CompletableFuture<Environment.HttpResponse> is = post(200);
        try (Socket call = platform.accept()) {
            request(call);
            assertThrows(ExecutionException.class, () -> is.get(8, TimeUnit.SECONDS));
            assertEquals(-1, call.getInputStream().read(), "the connection is left");
        }
    }

    /**
     * Guards against a call that leaves once the process runs again, though its time was over while
     * it stood still.
     */
    @Test
    void sendsNothingAfterTheTimeout() throws Exception {
        CompletableFuture<Environment.HttpResponse> is = new CompletableFuture<>();
        BlockingQueue<Boolean> accepted = new LinkedBlockingQueue<>();
        host.eventLoop()
                .execute(
                        () -> {
                            post(100).whenComplete((answer, fault) -> is.complete(answer));
                            // The process stands still from before it is connected until its time
                            // is over.
                            try {
                                accepted.poll(8, TimeUnit.SECONDS);
                                Thread.sleep(200);
                            } catch (InterruptedException over) {
                                Thread.currentThread().interrupt();
                            }
                        });
        try (Socket call = platform.accept()) {
            accepted.add(true);
            assertEquals(-1, call.getInputStream().read(), "something was sent after its time");
        }
        assertEquals(null, is.get(8, TimeUnit.SECONDS));
    }
}
