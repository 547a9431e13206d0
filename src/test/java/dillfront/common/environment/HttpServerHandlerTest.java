package dillfront.common.environment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Each call on a connection gets its own answer, in its turn, whatever becomes of those before and
 * behind it.
 */
class HttpServerHandlerTest {

    private static final int LARGE_RESPONSE_BYTES = 300_000;

    private final NettyEnvironment environment = new NettyEnvironment(1);

    /** What was called, in order; the body stands behind the path. */
    private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();

    /** Answers that the test holds back, by path. */
    private final List<CompletableFuture<Environment.HttpResponse>> pendingResponses =
            Collections.synchronizedList(new ArrayList<>());

    private String address;
    private Socket client;

    @BeforeEach
    void open() throws IOException {
        address = freeAddress();
        environment.serveHttp(address, this::handle);
        client = connect(address);
    }

    @AfterEach
    void close() throws Exception {
        client.close();
        environment
                .eventLoop()
                .parent()
                .shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
                .await(3, TimeUnit.SECONDS);
    }

    private static String freeAddress() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + any.getLocalPort();
        }
    }

    private static Socket connect(String address) throws IOException {
        Socket socket =
                new Socket(
                        InetAddress.getLoopbackAddress(), Integer.parseInt(address.substring(10)));
        socket.setSoTimeout(8_000);
        return socket;
    }

    private CompletableFuture<Environment.HttpResponse> handle(
            String method, String path, byte[] body) {
        requests.add(path + new String(body, StandardCharsets.US_ASCII));
        switch (path) {
            case "/held":
                pendingResponses.add(new CompletableFuture<>());
                return pendingResponses.get(pendingResponses.size() - 1);
            case "/fault":
                throw new IllegalStateException("of the handler");
            case "/deep":
                throw new StackOverflowError();
            case "/none":
                return CompletableFuture.completedFuture(null);
            case "/large":
                return CompletableFuture.completedFuture(
                        new Environment.HttpResponse(200, new byte[LARGE_RESPONSE_BYTES]));
            default:
                return CompletableFuture.completedFuture(response(path));
        }
    }

    private static Environment.HttpResponse response(String text) {
        return new Environment.HttpResponse(200, text.getBytes(StandardCharsets.US_ASCII));
    }

    private void complete(int index, Environment.HttpResponse response) {
        environment.eventLoop().execute(() -> pendingResponses.get(index).complete(response));
    }

    private static void waitUntil(String description, BooleanSupplier condition)
            throws InterruptedException {
        for (long end = System.nanoTime() + 10_000_000_000L; !condition.getAsBoolean(); ) {
            assertTrue(System.nanoTime() < end, "waited 10 s in vain until " + description);
            Thread.sleep(2);
        }
    }

    private static String post(String path, String headers, String body) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: h\r\n"
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    private void send(String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** The next answer: its status, and its body where it was taken. */
    private String receive() throws IOException {
        InputStream in = client.getInputStream();
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
            int next;
            try {
                next = in.read();
            } catch (SocketException reset) {
                return "reset";
            }
            if (next < 0) {
                return head.size() == 0 ? "end" : "cut";
            }
            head.write(next);
        }
        String text = head.toString(StandardCharsets.US_ASCII);
        String status = text.split(" ")[1];
        String length = text.replaceAll("(?is).*content-length: (\\d+).*", "$1");
        byte[] body = in.readNBytes(length.equals(text) ? 0 : Integer.parseInt(length));
        return status.equals("200")
                ? status + " " + new String(body, StandardCharsets.US_ASCII).trim()
                : status;
    }

    /**
     * Guards against an answer that its caller would take for that of another call, and against a
     * read that overtakes an order.
     */
    @Test
    void answersPipelinedCallsInOrder() throws Exception {
        send(post("/held", "", "1") + post("/held", "", "2") + get("/b"));
        for (int i = 0; i < 2; i++) {
            int expected = i + 1;
            waitUntil("the next is called", () -> requests.size() == expected);
            assertEquals(
                    expected,
                    requestsAfterTwoLoopTurns(),
                    "begun before the one ahead of it was answered");
            complete(i, response("answer " + i));
            assertEquals("200 answer " + i, receive());
        }
        assertEquals("200 /b", receive());
        assertEquals("[/held1, /held2, /b]", requests.toString());
    }

    /**
     * Guards against a 413 that overtakes: the order before it, which was valid, would be given up
     * for good.
     */
    @Test
    void rejectsTooLongBodyInItsTurn() throws Exception {
        send(
                post("/held", "", "1")
                        + "POST /long HTTP/1.1\r\nHost: h\r\nContent-Length: 1048577\r\n\r\n");
        waitUntil("the first is called", () -> requests.size() == 1);
        client.getOutputStream().write(new byte[1_048_577]);
        complete(0, response("first"));
        assertEquals("200 first", receive());
        assertEquals("413", receive());
        send(get("/b"));
        assertEquals("200 /b", receive());
    }

    /** The same where the length is not known before. */
    @Test
    void rejectsChunkedBodyThatGrowsTooLong() throws Exception {
        send(
                post("/held", "", "1")
                        + "POST /long HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n100001\r\n");
        client.getOutputStream().write(new byte[0x100001]);
        send("\r\n0\r\n\r\n" + get("/b"));
        waitUntil("the first is called", () -> requests.size() >= 1);
        complete(0, response("first"));
        assertEquals(
                List.of("200 first", "413", "200 /b"), List.of(receive(), receive(), receive()));
        assertEquals("[/held1, /b]", requests.toString());
    }

    /**
     * Guards against a body that is waved on while an earlier call is open, and against a count
     * that it puts out of step.
     */
    @Test
    void sendsContinueInItsTurn() throws Exception {
        send(
                post("/held", "", "1")
                        + "POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
        waitUntil("the first is called", () -> requests.size() == 1);
        complete(0, response("first"));
        assertEquals("200 first", receive());
        assertEquals("100", receive());
        send("x");
        assertEquals("200 /b", receive());
        send("POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
        assertEquals("100", receive());
        // The answer to HEAD has no body: it must be taken for none but that one.
        send("xHEAD /h HTTP/1.1\r\nHost: h\r\n\r\n" + get("/c"));
        assertEquals("200 /b", receive());
        String rest =
                new String(client.getInputStream().readNBytes(1), StandardCharsets.US_ASCII)
                        + waitUntil("/c");
        assertTrue(rest.matches("(?s)HTTP/1.1 200.*\r\n\r\nHTTP/1.1 200.*\r\n\r\n/c"), rest);
    }

    private String waitUntil(String end) throws IOException {
        StringBuilder received = new StringBuilder();
        while (received.indexOf(end) < 0) {
            received.append((char) client.getInputStream().read());
        }
        return received.toString();
    }

    /** Guards against a caller who is told to ask elsewhere, and not where. */
    @Test
    void sendsLocationOfRedirect() throws Exception {
        send(post("/held", "", "1"));
        waitUntil("it is called", () -> requests.size() == 1);
        complete(0, new Environment.HttpResponse(307, new byte[0], "http://10.0.0.4:8080/held"));
        String head = waitUntil("\r\n\r\n");
        assertTrue(
                head.matches("(?is)HTTP/1.1 307 .*\r\nlocation: http://10.0.0.4:8080/held\r\n.*"),
                head);
        send(get("/b"));
        assertEquals("200 /b", receive());
    }

    /**
     * Guards against a fault of one call that takes the others on its connection along, or leaves
     * them waiting for ever.
     */
    @Test
    void faultFailsItsCallAlone() throws Exception {
        for (String path : new String[] {"/fault", "/deep", "/none"}) {
            requests.clear();
            pendingResponses.clear();
            send(post("/held", "", "1") + get(path) + get("/b"));
            waitUntil("the first is called", () -> requests.size() == 1);
            complete(0, response("first"));
            assertEquals(
                    List.of("200 first", "500", "200 /b"),
                    List.of(receive(), receive(), receive()),
                    path);
        }
        requests.clear();
        send(post("/held", "", "1") + get("/b"));
        waitUntil("the first is called", () -> requests.size() == 1);
        environment
                .eventLoop()
                .execute(
                        () ->
                                pendingResponses
                                        .get(pendingResponses.size() - 1)
                                        .completeExceptionally(
                                                new IllegalStateException("no majority")));
        assertEquals(List.of("503", "200 /b"), List.of(receive(), receive()));
    }

    /**
     * Guards against a call that is never answered, and against all behind it that wait for its
     * turn.
     */
    @Test
    void timesOutCallWithoutAnswer() throws Exception {
        String secondAddress = freeAddress();
        environment.serveHttp(secondAddress, this::handle, 150);
        client.close();
        client = connect(secondAddress);
        send(post("/held", "", "1") + get("/b"));
        assertEquals(List.of("503", "200 /b"), List.of(receive(), receive()));
        // What comes later is no answer to the next call.
        complete(0, response("late"));
        send(get("/c"));
        assertEquals("200 /c", receive());
    }

    /**
     * Guards against a caller who asks on and on and reads nothing: 40 MB are all that a control
     * process has.
     */
    @Test
    void stopsReadingFromClientThatReadsNothing() throws Exception {
        send(get("/large").repeat(100));
        waitUntil("some are called", () -> requests.size() >= 2);
        // What the sockets take between them, and a megabyte in the process.
        int maxRequests = 12_000_000 / LARGE_RESPONSE_BYTES;
        assertTrue(
                requestsAfterTwoLoopTurns() <= maxRequests,
                requests.size() + " calls whose answers nobody read");
        for (int i = 0; i < 100; i++) {
            assertEquals("200", receive().substring(0, 3));
        }
    }

    /** Two whole looks at the sockets later, whatever could be called has been. */
    private int requestsAfterTwoLoopTurns() throws Exception {
        for (int i = 0; i < 2; i++) {
            CompletableFuture<Void> turn = new CompletableFuture<>();
            environment.schedule(20, () -> turn.complete(null));
            turn.get(5, TimeUnit.SECONDS);
        }
        return requests.size();
    }

    /**
     * Guards against an order that is carried out though its caller was told that no more calls are
     * taken.
     */
    @Test
    void ignoresWhatFollowsTheLastCall() throws Exception {
        send(post("/a", "Connection: close\r\n", "") + post("/b", "", ""));
        assertEquals(List.of("200 /a", "end"), List.of(receive(), receive()));
        assertEquals("[/a]", requests.toString());
        client = connect(address);
        send(post("/held", "", "") + "NO HTTP AT ALL\r\n\r\n" + post("/b", "", ""));
        waitUntil("the first is called", () -> requests.size() >= 2);
        complete(0, response("first"));
        assertEquals(List.of("200 first", "400", "end"), List.of(receive(), receive(), receive()));
        assertEquals("[/a, /held]", requests.toString());
    }

    /**
     * Guards against a half body that is taken for a whole one, and against an answer that finds
     * another caller.
     */
    @Test
    void dropsAnswersOfClosedConnection() throws Exception {
        send(
                post("/held", "", "1")
                        + "POST /half HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{}");
        waitUntil("the first is called", () -> requests.size() == 1);
        client.setSoLinger(true, 0);
        client.close();
        client = connect(address);
        send(get("/b"));
        assertEquals("200 /b", receive());
        complete(0, response("late"));
        send(get("/c"));
        assertEquals("200 /c", receive());
        assertEquals("[/held1, /b, /c]", requests.toString());
    }
}
