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

    private static final int LARGE = 300_000;

    private final NettyEnvironment host = new NettyEnvironment(1);

    /** What was called, in order; the body stands behind the path. */
    private final BlockingQueue<String> called = new LinkedBlockingQueue<>();

    /** Answers that the test holds back, by path. */
    private final List<CompletableFuture<Environment.HttpResponse>> held =
            Collections.synchronizedList(new ArrayList<>());

    private String at;
    private Socket client;

    @BeforeEach
    void open() throws IOException {
        at = free();
        host.serveHttp(at, this::call);
        client = connect(at);
    }

    @AfterEach
    void close() throws Exception {
        client.close();
        host.eventLoop()
                .parent()
                .shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
                .await(3, TimeUnit.SECONDS);
    }

    private static String free() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + any.getLocalPort();
        }
    }

    private static Socket connect(String to) throws IOException {
        Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), Integer.parseInt(to.substring(10)));
        socket.setSoTimeout(8_000);
        return socket;
    }

    private CompletableFuture<Environment.HttpResponse> call(
            String method, String path, byte[] body) {
        called.add(path + new String(body, StandardCharsets.US_ASCII));
        switch (path) {
            case "/held":
                held.add(new CompletableFuture<>());
                return held.get(held.size() - 1);
            case "/fault":
                throw new IllegalStateException("of the handler");
            case "/deep":
                throw new StackOverflowError();
            case "/none":
                return CompletableFuture.completedFuture(null);
            case "/large":
                return CompletableFuture.completedFuture(
                        new Environment.HttpResponse(200, new byte[LARGE]));
            default:
                return CompletableFuture.completedFuture(answer(path));
        }
    }

    private static Environment.HttpResponse answer(String text) {
        return new Environment.HttpResponse(200, text.getBytes(StandardCharsets.US_ASCII));
    }

    private void complete(int which, Environment.HttpResponse with) {
        host.eventLoop().execute(() -> held.get(which).complete(with));
    }

    private static void until(String what, BooleanSupplier is) throws InterruptedException {
        for (long end = System.nanoTime() + 10_000_000_000L; !is.getAsBoolean(); ) {
            assertTrue(System.nanoTime() < end, "waited 10 s in vain until " + what);
            Thread.sleep(2);
        }
    }

    private static String post(String path, String more, String body) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: h\r\n"
                + more
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
    private String hear() throws IOException {
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
            int before = i + 1;
            until("the next is called", () -> called.size() == before);
            assertEquals(
                    before, calledAfterTwoTurns(), "begun before the one ahead of it was answered");
            complete(i, answer("answer " + i));
            assertEquals("200 answer " + i, hear());
        }
        assertEquals("200 /b", hear());
        assertEquals("[/held1, /held2, /b]", called.toString());
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
        until("the first is called", () -> called.size() == 1);
        client.getOutputStream().write(new byte[1_048_577]);
        complete(0, answer("first"));
        assertEquals("200 first", hear());
        assertEquals("413", hear());
        send(get("/b"));
        assertEquals("200 /b", hear());
    }

    /** The same where the length is not known before. */
    @Test
    void rejectsChunkedBodyThatGrowsTooLong() throws Exception {
        send(
                post("/held", "", "1")
                        + "POST /long HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n100001\r\n");
        client.getOutputStream().write(new byte[0x100001]);
        send("\r\n0\r\n\r\n" + get("/b"));
        until("the first is called", () -> called.size() >= 1);
        complete(0, answer("first"));
        assertEquals(List.of("200 first", "413", "200 /b"), List.of(hear(), hear(), hear()));
        assertEquals("[/held1, /b]", called.toString());
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
        until("the first is called", () -> called.size() == 1);
        complete(0, answer("first"));
        assertEquals("200 first", hear());
        assertEquals("100", hear());
        send("x");
        assertEquals("200 /b", hear());
        send("POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
        assertEquals("100", hear());
        // The answer to HEAD has no body: it must be taken for none but that one.
        send("xHEAD /h HTTP/1.1\r\nHost: h\r\n\r\n" + get("/c"));
        assertEquals("200 /b", hear());
        String rest =
                new String(client.getInputStream().readNBytes(1), StandardCharsets.US_ASCII)
                        + until("/c");
        assertTrue(rest.matches("(?s)HTTP/1.1 200.*\r\n\r\nHTTP/1.1 200.*\r\n\r\n/c"), rest);
    }

    private String until(String end) throws IOException {
        StringBuilder all = new StringBuilder();
        while (all.indexOf(end) < 0) {
            all.append((char) client.getInputStream().read());
        }
        return all.toString();
    }

    /** Guards against a caller who is told to ask elsewhere, and not where. */
    @Test
    void sendsLocationOfRedirect() throws Exception {
        send(post("/held", "", "1"));
        until("it is called", () -> called.size() == 1);
        complete(0, new Environment.HttpResponse(307, new byte[0], "http://10.0.0.4:8080/held"));
        String head = until("\r\n\r\n");
        assertTrue(
                head.matches("(?is)HTTP/1.1 307 .*\r\nlocation: http://10.0.0.4:8080/held\r\n.*"),
                head);
        send(get("/b"));
        assertEquals("200 /b", hear());
    }

    /**
     * Guards against a fault of one call that takes the others on its connection along, or leaves
     * them waiting for ever.
     */
    @Test
    void faultFailsItsCallAlone() throws Exception {
        for (String bad : new String[] {"/fault", "/deep", "/none"}) {
            called.clear();
            held.clear();
            send(post("/held", "", "1") + get(bad) + get("/b"));
            until("the first is called", () -> called.size() == 1);
            complete(0, answer("first"));
            assertEquals(
                    List.of("200 first", "500", "200 /b"), List.of(hear(), hear(), hear()), bad);
        }
        called.clear();
        send(post("/held", "", "1") + get("/b"));
        until("the first is called", () -> called.size() == 1);
        host.eventLoop()
                .execute(
                        () ->
                                held.get(held.size() - 1)
                                        .completeExceptionally(
                                                new IllegalStateException("no majority")));
        assertEquals(List.of("503", "200 /b"), List.of(hear(), hear()));
    }

    /**
     * Guards against a call that is never answered, and against all behind it that wait for its
     * turn.
     */
    @Test
    void timesOutCallWithoutAnswer() throws Exception {
        String second = free();
        host.serveHttp(second, this::call, 150);
        client.close();
        client = connect(second);
        send(post("/held", "", "1") + get("/b"));
        assertEquals(List.of("503", "200 /b"), List.of(hear(), hear()));
        // What comes later is no answer to the next call.
        complete(0, answer("late"));
        send(get("/c"));
        assertEquals("200 /c", hear());
    }

    /**
     * Guards against a caller who asks on and on and reads nothing: 40 MB are all that a control
     * process has.
     */
    @Test
    void stopsReadingFromClientThatReadsNothing() throws Exception {
        send(get("/large").repeat(100));
        until("some are called", () -> called.size() >= 2);
        // What the sockets take between them, and a megabyte in the process.
        int most = 12_000_000 / LARGE;
        assertTrue(
                calledAfterTwoTurns() <= most, called.size() + " calls whose answers nobody read");
        for (int i = 0; i < 100; i++) {
            assertEquals("200", hear().substring(0, 3));
        }
    }

    /** Two whole looks at the sockets later, whatever could be called has been. */
    private int calledAfterTwoTurns() throws Exception {
        for (int i = 0; i < 2; i++) {
            CompletableFuture<Void> turn = new CompletableFuture<>();
            host.schedule(20, () -> turn.complete(null));
            turn.get(5, TimeUnit.SECONDS);
        }
        return called.size();
    }

    /**
     * Guards against an order that is carried out though its caller was told that no more calls are
     * taken.
     */
    @Test
    void ignoresWhatFollowsTheLastCall() throws Exception {
        send(post("/a", "Connection: close\r\n", "") + post("/b", "", ""));
        assertEquals(List.of("200 /a", "end"), List.of(hear(), hear()));
        assertEquals("[/a]", called.toString());
        client = connect(at);
        send(post("/held", "", "") + "NO HTTP AT ALL\r\n\r\n" + post("/b", "", ""));
        until("the first is called", () -> called.size() >= 2);
        complete(0, answer("first"));
        assertEquals(List.of("200 first", "400", "end"), List.of(hear(), hear(), hear()));
        assertEquals("[/a, /held]", called.toString());
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
        until("the first is called", () -> called.size() == 1);
        client.setSoLinger(true, 0);
        client.close();
        client = connect(at);
        send(get("/b"));
        assertEquals("200 /b", hear());
        complete(0, answer("late"));
        send(get("/c"));
        assertEquals("200 /c", hear());
        assertEquals("[/held1, /b, /c]", called.toString());
    }
}
