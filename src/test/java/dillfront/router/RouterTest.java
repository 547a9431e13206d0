package dillfront.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.logging.Log;
import dillfront.router.config.ConfigException;
import dillfront.router.config.RouterConfig;
import dillfront.router.pgwire.Messages;
import dillfront.routing.RoutingHarness;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.util.ResourceLeakDetector;
import io.netty.util.ResourceLeakDetectorFactory;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs a complete router on loopback between a client, a node and a discovery server controlled by
 * the test.
 */
class RouterTest {

    private static final AtomicInteger IDS = new AtomicInteger();
    private static final AtomicInteger LEAKS = new AtomicInteger();

    static {
        ResourceLeakDetector.setLevel(ResourceLeakDetector.Level.PARANOID);
        ResourceLeakDetectorFactory.setResourceLeakDetectorFactory(
                new ResourceLeakDetectorFactory() {
                    @Override
                    @SuppressWarnings("deprecation")
                    public <T> ResourceLeakDetector<T> newResourceLeakDetector(
                            Class<T> type, int interval, long most) {
                        return new ResourceLeakDetector<>(type, interval) {
                            @Override
                            protected boolean needReport() {
                                return true;
                            }

                            @Override
                            protected void reportTracedLeak(String kind, String records) {
                                LEAKS.incrementAndGet();
                            }

                            @Override
                            protected void reportUntracedLeak(String kind) {
                                LEAKS.incrementAndGet();
                            }
                        };
                    }
                });
    }

    private static final String SETTINGS =
            "{'az':'a','zones':['a'],'stepUs':5000,'groupSize':1,"
                    + "'bounds':{'dialTimeoutUs':250000,'maxAttempts':3,'probes':true,'retryAfter':true,"
                    + "'maxRetryAfterUs':2000000,'keepaliveUs':30000000},'stats':{'how':'inline','fields':['x0','x1']},"
                    + "'classes':[{'name':'any','effect':'retryable','targetUs':300000,'deadlineUs':1000000},"
                    + "{'name':'move','effect':'dedup','dedupScope':'cell','dedupWindowUs':2000000,'targetUs':300000,"
                    + "'deadlineUs':1000000,'lateShare':0.5},"
                    + "{'name':'once','effect':'fragile','targetUs':300000,'deadlineUs':1000000,'lateShare':0.5}],"
                    + "'familyInfo':{'classRead':['strong','mutate','mutate'],'listRole':'static','guards':'off',"
                    + "'tokens':'kept'},'rules':{'coldFrom':0.2,'coldUs':9000000}}";

    /**
     * Tag of tests in which no timeout is meant to fire: on a busy machine a test server may take
     * longer than the default timeouts.
     */
    private static final String LONG_TIMEOUTS = "patient";

    @TempDir Path dir;
    private final StringBuilder trace = new StringBuilder();
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final List<String> receivedStatements = Collections.synchronizedList(new ArrayList<>());
    private final List<String> discoveryRequests = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger discoveryConnections = new AtomicInteger();

    /** Log lines at which the event loop is to be blocked, in order. */
    private final Queue<LoopHold> loopHolds = new ConcurrentLinkedQueue<>();

    /**
     * The connection that sent the last long poll and, once the test is ready to publish, the one
     * waiting.
     */
    private volatile Socket lastRequester;

    private volatile Socket waitingRequester;
    private volatile boolean ready;
    private ServerSocket node;
    private ServerSocket list;
    private RouterServer router;
    private Socket client;

    @BeforeEach
    void start(TestInfo testInfo) throws Exception {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        node = new ServerSocket(0, 50, loopback);
        list = new ServerSocket(0, 50, loopback);
        serve(node, this::node);
        serve(list, this::list);
        // Another process may take the free port before the router binds it.
        for (int attempt = 1; ; attempt++) {
            try {
                start(loopback, testInfo);
                return;
            } catch (ConfigException e) {
                if (attempt == 5 || !e.getMessage().endsWith("Address already in use")) {
                    throw e;
                }
            }
        }
    }

    private void start(InetAddress loopback, TestInfo testInfo) throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 50, loopback)) {
            port = free.getLocalPort();
        }
        Path config = dir.resolve("config.json");
        Files.writeString(
                config,
                ("{'name':'n0','listen':'127.0.0.1:"
                                + port
                                + "','discovery':'127.0.0.1:"
                                + list.getLocalPort()
                                + "','seed':'8c1f30d27a5be964','limits':{'sockets':256},'known':"
                                + completeList(41)
                                + ",'settings':"
                                + (testInfo.getTags().contains(LONG_TIMEOUTS)
                                        ? SETTINGS.replace(
                                                        "'dialTimeoutUs':250000",
                                                        "'dialTimeoutUs':2000000")
                                                .replace(
                                                        "'deadlineUs':1000000",
                                                        "'deadlineUs':4000000")
                                        : SETTINGS)
                                + "}")
                        .replace('\'', '"'));
        router =
                new RouterServer(
                        RouterConfig.read(Map.of("LB_CONFIG", config.toString())),
                        new Log(
                                new PrintStream(log, true) {
                                    @Override
                                    public void println(Object line) {
                                        super.println(line);
                                        LoopHold hold = loopHolds.peek();
                                        if (hold != null
                                                && line.toString().contains(hold.logText)) {
                                            loopHolds.remove().block();
                                        }
                                    }
                                }));
        router.start();
        client = new Socket(loopback, port);
        client.setSoTimeout(5000);
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        if (router != null) {
            router.stop();
        }
        node.close();
        list.close();
    }

    // ---- test servers

    private interface ConnectionHandler {
        void handle(Socket socket) throws IOException;
    }

    private static void serve(ServerSocket serverSocket, ConnectionHandler handler) {
        Thread thread =
                new Thread(
                        () -> {
                            while (!serverSocket.isClosed()) {
                                try {
                                    Socket socket = serverSocket.accept();
                                    Thread testCase =
                                            new Thread(
                                                    () -> {
                                                        try (socket) {
                                                            handler.handle(socket);
                                                        } catch (IOException e) {
                                                            // The router closed the connection.
                                                        }
                                                    });
                                    testCase.setDaemon(true);
                                    testCase.start();
                                } catch (IOException e) {
                                    return;
                                }
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private String completeList(int generation) {
        return "{'generation':"
                + generation
                + ",'reset':true,'instances':[{'instanceId':'s-1','hostPort':'127.0.0.1:"
                + node.getLocalPort()
                + "','zone':'a','cell':2,'lifecycle':'ready','weight':1,'startedAtMs':0,"
                + "'role':'leader'}]}";
    }

    /**
     * Serves a second discovery address: returns the complete list at once and records the
     * requests.
     */
    private void serveSecondDiscovery(Socket socket) throws IOException {
        BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.startsWith("GET")) {
                discoveryRequests.add(line.replaceAll(" HTTP.*", ""));
            } else if (line.isEmpty() && discoveryRequests.size() < 2) {
                answer(socket, completeList(42));
            }
        }
        discoveryRequests.add("closed");
    }

    private static void answer(Socket socket, String list) throws IOException {
        socket.getOutputStream()
                .write(
                        ("HTTP/1.1 200 OK\r\nContent-Length: "
                                        + list.length()
                                        + "\r\n\r\n"
                                        + list.replace('\'', '"'))
                                .getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Sends an invalid response to the first connection, then answers the first request of each
     * connection; the configured list stays in force.
     */
    private void list(Socket socket) throws IOException {
        if (discoveryConnections.incrementAndGet() == 1) {
            socket.getOutputStream()
                    .write(
                            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{\"a\""
                                    .getBytes(StandardCharsets.US_ASCII));
        }
        BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        boolean answers = discoveryConnections.get() > 1;
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.isEmpty() && answers) {
                answers = false;
                answer(socket, "{'generation':41,'reset':false,'instances':[]}");
            }
        }
    }

    /**
     * Returns a discovery server controlled by the test: the complete list at once or after the
     * delay, then the queued updates.
     */
    private ConnectionHandler discoveryFromQueue(
            BlockingQueue<String> updates, long firstDelayMillis) {
        return socket -> {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith("GET")) {
                    discoveryRequests.add(line.replaceAll(" HTTP.*", ""));
                } else if (line.isEmpty()) {
                    try {
                        pause(discoveryRequests.size() == 1 ? firstDelayMillis : 0);
                        answer(
                                socket,
                                discoveryRequests.size() == 1 && firstDelayMillis == 0
                                        ? completeList(42)
                                        : updates.take());
                    } catch (InterruptedException over) {
                        return;
                    }
                }
            }
        };
    }

    /**
     * Returns a discovery server like discoveryFromQueue() but with long polls: without an update
     * it answers when the wait ends, and updates go to the last requester. Once the test is ready
     * to publish, that request is not answered before the update.
     */
    private ConnectionHandler longPollingDiscovery(BlockingQueue<String> updates) {
        return socket -> {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            long wait = 0;
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith("GET")) {
                    wait =
                            line.contains("wait_ms=")
                                    ? Long.parseLong(line.replaceAll(".*wait_ms=(\\d+).*", "$1"))
                                    : 0;
                } else if (line.isEmpty()) {
                    answer(
                            socket,
                            wait == 0
                                    ? completeList(42)
                                    : awaitUpdate(
                                            socket, updates, System.nanoTime() + wait * 1_000_000));
                }
            }
        };
    }

    private String awaitUpdate(Socket socket, BlockingQueue<String> updates, long end) {
        lastRequester = socket;
        while (lastRequester == socket && (ready || System.nanoTime() < end)) {
            waitingRequester = ready ? socket : null;
            String next = updates.poll();
            if (next != null) {
                return next;
            }
            pause(2);
        }
        return "{'generation':42,'reset':false,'instances':[]}";
    }

    private String drainingList() {
        return completeList(43)
                .replace("'reset':true", "'reset':false")
                .replace("ready", "draining");
    }

    /**
     * Builds a malformed query that puts the token into a log line at which the event loop can be
     * blocked.
     */
    private static ByteBuf malformedQuery(String token) {
        return Messages.query(
                Unpooled.buffer(),
                "SELECT body FROM objects WHERE oid = 'k' /* id=1,c=any,d="
                        + token
                        + ",cluster=2 */");
    }

    /**
     * Blocks the router's event loop at the first log line that contains the text, until released.
     */
    private static final class LoopHold {
        private final String logText;
        private final CountDownLatch reached = new CountDownLatch(1);
        private final CountDownLatch released = new CountDownLatch(1);

        LoopHold(String logText) {
            this.logText = logText;
        }

        private void block() {
            reached.countDown();
            try {
                released.await(20, TimeUnit.SECONDS);
            } catch (InterruptedException over) {
                Thread.currentThread().interrupt();
            }
        }

        boolean reached() {
            return reached.getCount() == 0;
        }

        void release() {
            released.countDown();
        }
    }

    private LoopHold holdLoopAt(String at) {
        LoopHold hold = new LoopHold(at);
        loopHolds.add(hold);
        return hold;
    }

    /**
     * Returns the unread bytes in this process's socket between the two ports; -1 if there is no
     * such socket.
     */
    private static int unreadBytes(int local, int remote) {
        String endpoints = String.format(":%04X [0-9A-F]+:%04X 01 ", local, remote);
        try {
            for (String file : new String[] {"/proc/net/tcp", "/proc/net/tcp6"}) {
                for (String line : Files.readAllLines(Path.of(file))) {
                    if (line.matches(".*" + endpoints + ".*")) {
                        return Integer.parseInt(
                                line.replaceAll(".*" + endpoints + "[0-9A-F]+:([0-9A-F]+).*", "$1"),
                                16);
                    }
                }
            }
        } catch (IOException none) {
            throw new UncheckedIOException(none);
        }
        return -1;
    }

    /** Serves a node: the statement's key selects the response. */
    private void node(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        in.readNBytes(in.readInt() - 4);
        send(socket, Messages.ready(Unpooled.buffer().writeByte('R').writeInt(8).writeInt(0)));
        while (true) {
            in.readByte();
            String text =
                    new String(in.readNBytes(in.readInt() - 4), StandardCharsets.UTF_8)
                            .replace("\0", "");
            if (text.equals("SHOW server_load")) {
                send(socket, Messages.ready(row("x0=1,x1=1")));
                continue;
            }
            receivedStatements.add(
                    text.replaceAll("id=\\w+,", "id=9b,").replaceAll(",d=\\d{3,4},", ",d=<less>,"));
            String key = text.replaceAll("[^']*'([^']*)'.*", "$1");
            ByteBuf parameter = Unpooled.buffer();
            parameter
                    .writeByte('S')
                    .writeInt(21)
                    .writeBytes("node_role\0leader\0".getBytes(StandardCharsets.US_ASCII));
            switch (key) {
                case "hang" -> {}
                case "slow" -> {
                    pause(300);
                    send(socket, Messages.ready(parameter.writeBytes(row(key))));
                }
                case "reset" -> {
                    return;
                }
                case "half" -> {
                    send(socket, row("half").writerIndex(24));
                    return;
                }
                case "nonsense" -> send(socket, Unpooled.buffer().writeByte('!').writeInt(4));
                case "huge" -> send(socket, Unpooled.buffer().writeByte('T').writeInt(1 << 30));
                case "twice" -> send(socket, Messages.ready(row("one").writeBytes(row("two"))));
                case "behind" ->
                        send(
                                socket,
                                Messages.ready(
                                        Messages.ready(row("mine")).writeBytes(row("none's"))));
                case "apart" -> {
                    send(socket, Messages.ready(row("mine")));
                    send(socket, Messages.ready(row("none's")));
                }
                case "noise" ->
                        send(
                                socket,
                                Messages.ready(row("mine")).writeBytes(new byte[] {'D', 0, 0}));
                case "short" -> {
                    send(socket, row("short").setInt(31, 410).setInt(37, 400));
                    pause(1000);
                }
                case "large" -> send(socket, row("v").setInt(31, 70_010).setInt(37, 70_000));
                case "fields" -> send(socket, row("v").setShort(5, 2));
                case "report" ->
                        send(
                                socket,
                                Messages.ready(
                                        parameter
                                                .writeByte('S')
                                                .writeInt(29)
                                                .writeBytes(
                                                        "server_load\0x0=9e12,x1=7\0"
                                                                .getBytes(
                                                                        StandardCharsets.US_ASCII))
                                                .writeBytes(row("mine"))));
                case "empty" -> send(socket, Messages.ready(Unpooled.buffer()));
                case "wide" ->
                        send(
                                socket,
                                Messages.ready(parameter.writeBytes(row("w".repeat(300_000)))));
                case "full", "miss", "error" ->
                        send(
                                socket,
                                Messages.ready(
                                        Messages.error(
                                                parameter,
                                                false,
                                                Map.of(
                                                                "full", "53300", "miss", "25006",
                                                                "error", "XX000")
                                                        .get(key),
                                                "no",
                                                null)));
                default -> send(socket, Messages.ready(parameter.writeBytes(row(key))));
            }
        }
    }

    private static ByteBuf row(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.US_ASCII);
        ByteBuf out = Unpooled.buffer();
        out.writeByte('T')
                .writeInt(29)
                .writeShort(1)
                .writeBytes("body\0".getBytes(StandardCharsets.US_ASCII))
                .writeInt(0)
                .writeShort(0)
                .writeInt(17)
                .writeShort(-1)
                .writeInt(-1)
                .writeShort(1);
        out.writeByte('D')
                .writeInt(10 + bytes.length)
                .writeShort(1)
                .writeInt(bytes.length)
                .writeBytes(bytes);
        return out.writeByte('C')
                .writeInt(13)
                .writeBytes("SELECT 1\0".getBytes(StandardCharsets.US_ASCII));
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException over) {
            Thread.currentThread().interrupt();
        }
    }

    private static void send(Socket socket, ByteBuf bytes) throws IOException {
        byte[] out = new byte[bytes.readableBytes()];
        bytes.readBytes(out);
        socket.getOutputStream().write(out);
    }

    // ---- client

    private static ByteBuf query(String type, String key, int timeoutMillis) {
        return query(type, key, timeoutMillis, Integer.toHexString(IDS.incrementAndGet()));
    }

    private static ByteBuf query(String type, String key, int timeoutMillis, String id) {
        String comment =
                "/* id=" + id + ",c=" + type + ",d=" + timeoutMillis + ",k=5c,cluster=2 */";
        return Messages.query(
                Unpooled.buffer(),
                type.equals("any")
                        ? "SELECT body FROM objects WHERE oid = '" + key + "' " + comment
                        : "INSERT INTO objects (oid, body) VALUES ('"
                                + key
                                + "', '\\x9f03') RETURNING body "
                                + comment);
    }

    private static ByteBuf startup() {
        return Messages.startup(Unpooled.buffer(), "worker", "catalog");
    }

    /** Reads up to the given number of ReadyForQuery messages, or to the end of the connection. */
    private String readResponses(int readyCount) throws IOException {
        StringBuilder responses = new StringBuilder();
        DataInputStream in = new DataInputStream(client.getInputStream());
        int remaining = readyCount;
        while (remaining > 0) {
            int type = in.read();
            if (type < 0) {
                return responses.append("end").toString();
            }
            byte[] body = in.readNBytes(in.readInt() - 4);
            if (type == 'S' || type == 'K' || type == 'R') {
                continue;
            }
            responses.append((char) type);
            if (type == 'D') {
                responses
                        .append(':')
                        .append(new String(body, 6, body.length - 6, StandardCharsets.UTF_8));
            } else if (type == 'E') {
                responses
                        .append(':')
                        .append(
                                new String(body, StandardCharsets.UTF_8)
                                        .replaceAll("S.*?\0V.*?\0C", "")
                                        .replaceAll("\0+$", "")
                                        .replaceAll("\0", "|"));
            }
            responses.append(' ');
            remaining -= type == 'Z' ? 1 : 0;
        }
        return responses.toString().trim();
    }

    private void sendAndTrace(String label, ByteBuf bytes, int readyCount) throws IOException {
        send(client, bytes);
        trace.append(String.format("%-22s %s\n", label, readResponses(readyCount)));
    }

    private void traceStatements() {
        receivedStatements.stream()
                .distinct()
                .forEach(text -> trace.append("   node: ").append(text).append('\n'));
        receivedStatements.clear();
    }

    /** Returns the last line of counters. */
    private String counters() {
        return log.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(l -> l.contains(" counters "))
                .reduce((a, b) -> b)
                .orElse("");
    }

    /** Waits until a line of counters printed from now on matches all patterns. */
    private void awaitCounters(String... patterns) throws InterruptedException {
        long before =
                log.toString(StandardCharsets.UTF_8)
                        .lines()
                        .filter(l -> l.contains(" counters "))
                        .count();
        try {
            awaitCondition(
                    "counters have " + List.of(patterns),
                    () -> {
                        router.printCounters();
                        return log.toString(StandardCharsets.UTF_8)
                                .lines()
                                .filter(l -> l.contains(" counters "))
                                .skip(before)
                                .anyMatch(
                                        l ->
                                                Stream.of(patterns)
                                                        .allMatch(
                                                                testCase ->
                                                                        l.matches(
                                                                                ".* " + testCase
                                                                                        + "( .*|$)")));
                    });
        } catch (AssertionError e) {
            throw new AssertionError(e.getMessage() + ": " + counters(), e);
        }
    }

    private void stopAndTraceCounters(String... names) throws Exception {
        client.close();
        if (router != null) {
            router.stop();
            router = null;
        }
        String line = counters();
        for (String name : names) {
            trace.append(line.replaceAll(".* (" + name + "=\\d+).*", "$1")).append('\n');
        }
    }

    /** Buffers that were never released are detected after a garbage collection. */
    private static void assertNoLeaks() {
        for (int i = 0; i < 5; i++) {
            System.gc();
            ByteBufAllocator.DEFAULT.directBuffer(16).release();
        }
        assertEquals(0, LEAKS.get(), "unreleased buffers");
    }

    // ---- tests

    @Test
    void answersInOrderAndForwardsStatementsUnchanged() throws Exception {
        sendAndTrace(
                "all in one packet",
                startup()
                        .writeBytes(Messages.query(Unpooled.buffer(), ""))
                        .writeBytes(query("any", "k1", 900))
                        .writeBytes(query("move", "k2", 900)),
                4);
        sendAndTrace("read", query("any", "k3", 900), 1);
        sendAndTrace("a long value", query("any", "v".repeat(50_000), 900), 1);
        traceStatements();
        sendAndTrace("a longer answer", query("any", "wide", 900), 1);
        String shorter =
                trace.toString()
                        .replaceAll("v{50000}", "v (50000 times)")
                        .replaceAll("w{300000}", "w (300000 times)");
        trace.setLength(0);
        trace.append(shorter);
        stopAndTraceCounters(
                "queries",
                "taken",
                "committed",
                "submitted",
                "list_faults",
                "txns_held",
                "client_connections",
                "node_connections");
        assertNoLeaks();
        RoutingHarness.assertTraceEquals("router-serves", trace);
    }

    @Test
    void distinguishesSubmissionResults() throws Exception {
        sendAndTrace("startup", startup(), 1);
        for (String key :
                new String[] {
                    "full",
                    "miss",
                    "error",
                    "reset",
                    "half",
                    "nonsense",
                    "huge",
                    "twice",
                    "empty",
                    "hang",
                    "short",
                    "large",
                    "fields"
                }) {
            sendAndTrace("once, " + key, query("once", key, 400), 1);
            // Repeated until the routing engine considers the node recovered.
            for (int i = 0; i < 6; i++) {
                send(client, query("any", "ok", 900));
                readResponses(1);
            }
            receivedStatements.removeIf(text -> text.contains("'ok'"));
        }
        traceStatements();
        stopAndTraceCounters(
                "out_of_form",
                "txns_held",
                "node_connections",
                "timers",
                "ended_error",
                "ended_reset",
                "ended_spoilt",
                "ended_timed_out");
        assertNoLeaks();
        RoutingHarness.assertTraceEquals("router-endings", trace);
    }

    /**
     * Guards against data after a response, such as a duplicate, being treated as the response of
     * the next transaction on that connection.
     */
    @Test
    void discardsDataAfterResponse() throws Exception {
        sendAndTrace("startup", startup(), 1);
        for (String key : new String[] {"behind", "apart", "noise", "report"}) {
            sendAndTrace(
                    key + ", k1, k2",
                    query("once", key, 900)
                            .writeBytes(query("any", "k1", 900))
                            .writeBytes(query("any", "k2", 900)),
                    3);
        }
        stopAndTraceCounters(
                "committed",
                "submitted",
                "node_connections",
                "timers",
                "ended_spoilt",
                "ended_committed");
        log.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(l -> l.contains(" WARN ") && !l.contains(" list-"))
                .map(
                        line ->
                                line.substring(line.indexOf("WARN"))
                                        .replaceAll("127.0.0.1:\\d+", "NODE"))
                .distinct()
                .sorted()
                .forEach(line -> trace.append(line).append('\n'));
        assertNoLeaks();
        RoutingHarness.assertTraceEquals("router-behind", trace);
    }

    @Test
    void rejectsMalformedQueriesWithoutReachingNode() throws Exception {
        sendAndTrace("SSL", Unpooled.buffer().writeInt(8).writeInt(Messages.SSL_REQUEST), 0);
        trace.append((char) client.getInputStream().read()).append('\n');
        sendAndTrace("startup", startup(), 1);
        sendAndTrace("nonsense", Messages.query(Unpooled.buffer(), "DROP TABLE objects"), 1);
        sendAndTrace("unknown type", query("other", "k", 900), 1);
        ByteBuf group =
                Messages.query(
                        Unpooled.buffer(),
                        "SELECT body FROM objects WHERE oid = 'k' /* id=9b,c=any,d=900,cluster=9 */");
        sendAndTrace("unknown group", group, 1);
        ByteBuf extended = Unpooled.buffer().writeByte('P').writeInt(6).writeShort(0);
        extended.writeByte('E').writeInt(4).writeByte('S').writeInt(4);
        sendAndTrace("extended", extended, 1);
        sendAndTrace("still usable", query("any", "k", 900), 1);
        sendAndTrace("unknown message", Unpooled.buffer().writeByte('!').writeInt(4), 1);
        traceStatements();
        stopAndTraceCounters("out_of_form", "taken", "client_connections");
        assertNoLeaks();
        RoutingHarness.assertTraceEquals("router-out-of-form", trace);
    }

    @Test
    void closesInvalidClientsWithError() throws Exception {
        Object[][] cases = {
            {
                "cancel",
                Unpooled.buffer().writeInt(16).writeInt(Messages.CANCEL_REQUEST).writeLong(7)
            },
            {"version 2", Unpooled.buffer().writeInt(8).writeInt(2 << 16)},
            {
                "a startup too long",
                Unpooled.buffer().writeInt(10_001).writeInt(Messages.PROTOCOL_VERSION)
            },
            {"a length too small", startup().writeByte('Q').writeInt(3)},
            {
                "a query too long",
                startup().writeByte('Q').writeInt(1 << 20).writeBytes(new byte[4000])
            },
            {"Terminate", startup().writeByte('X').writeInt(4)}
        };
        Socket first = client;
        for (Object[] testCase : cases) {
            client = new Socket(first.getInetAddress(), first.getPort());
            client.setSoTimeout(5000);
            sendAndTrace((String) testCase[0], (ByteBuf) testCase[1], 9);
            client.close();
        }
        client = first;
        sendAndTrace("GSS", Unpooled.buffer().writeInt(8).writeInt(Messages.GSSENC_REQUEST), 0);
        trace.append((char) client.getInputStream().read()).append('\n');
        sendAndTrace("the others still", startup().writeBytes(query("any", "k", 900)), 2);
        stopAndTraceCounters("accepted", "taken", "client_connections");
        assertNoLeaks();
        RoutingHarness.assertTraceEquals("router-no-client", trace);
    }

    /** Guards against lost responses and refused clients during a shutdown. */
    @Test
    void stopsOnceAllQueriesAreAnswered() throws Exception {
        sendAndTrace("startup", startup(), 1);
        send(client, query("any", "hang", 1500));
        awaitCondition("the node has a submission", () -> !receivedStatements.isEmpty());
        Thread stopping = new Thread(router::stop);
        stopping.start();
        awaitCondition(
                "the shutdown has begun",
                () -> log.toString(StandardCharsets.UTF_8).contains(" stopping "));
        Socket first = client;
        client = new Socket(first.getInetAddress(), first.getPort());
        sendAndTrace("new, while it ends", startup().writeBytes(query("once", "k", 900)), 2);
        trace.append("then                   ").append(readResponses(1)).append('\n');
        client = first;
        trace.append("the first              ")
                .append(readResponses(1))
                .append(' ')
                .append(readResponses(1))
                .append('\n');
        stopping.join(4000);
        router = null;
        stopAndTraceCounters(
                "accepted",
                "taken",
                "committed",
                "declined",
                "txns_held",
                "client_connections",
                "node_connections");
        RoutingHarness.assertTraceEquals("router-ends", trace);
    }

    private volatile String currentList;

    /**
     * Generation in the last discovery request, and the number of connections that have requested a
     * list at least twice.
     */
    private volatile long requestedGeneration;

    private final AtomicInteger refreshedConnections = new AtomicInteger();

    /**
     * Serves the current list: complete if no generation is given, otherwise once it is newer or
     * the wait ends.
     */
    private void serveCurrentList(Socket socket) throws IOException {
        BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        int times = 0;
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.startsWith("GET")) {
                String after = line.replaceAll(".*after=(\\d+)&.*|.*", "$1");
                requestedGeneration = after.isEmpty() ? -1 : Long.parseLong(after);
                if (++times == 2) {
                    refreshedConnections.incrementAndGet();
                }
                long end =
                        System.nanoTime()
                                + Long.parseLong(
                                                "0"
                                                        + line.replaceAll(
                                                                ".*wait_ms=(\\d+) .*|.*", "$1"))
                                        * 1_000_000;
                while (System.nanoTime() < end && currentList.contains(":" + after + ",")) {
                    pause(5);
                }
                answer(socket, currentList);
            }
        }
    }

    private void reloadSettings(Path file, String text, String settings) throws Exception {
        int before = refreshedConnections.get();
        Files.writeString(file, text);
        router.reload(() -> RouterConfig.read(Map.of("LB_CONFIG", file.toString())));
        awaitCondition(
                "the settings are applied",
                () ->
                        log.toString(StandardCharsets.UTF_8)
                                .endsWith(settings + " kept_as_at_start=[]\n"));
        awaitCondition(
                "the list is read under the new settings",
                () -> refreshedConnections.get() > before);
    }

    /**
     * Guards against transactions lost or sent twice when settings change, and against a change
     * that cannot be reverted.
     */
    @Test
    @Tag(LONG_TIMEOUTS)
    void appliesAndRevertsSettingsWhileServing() throws Exception {
        try (ServerSocket discovery = new ServerSocket(0, 50, list.getInetAddress())) {
            currentList = completeList(42);
            serve(discovery, this::serveCurrentList);
            restartWithDiscovery(discovery);
            Path file = dir.resolve("config.json");
            String first = Files.readString(file);
            String other =
                    first.replace("\"name\":\"move\"", "\"name\":\"transfer\"")
                            .replace("\"rules\":{", "\"rules\":{\"droppedStayOpen\":true,")
                            .replace("\"guards\":\"off\"", "\"guards\":\"await\"")
                            .replace(
                                    "\"deadlineUs\":4000000,\"lateShare\"",
                                    "\"deadlineUs\":3000000,\"lateShare\"");
            sendAndTrace("startup and query", startup().writeBytes(query("any", "k", 4_000)), 2);
            send(client, query("move", "slow", 4_000));
            awaitCondition("seen has 2", () -> receivedStatements.size() >= 2);
            reloadSettings(file, other, "changed");
            trace.append("what was out             ").append(readResponses(1)).append('\n');
            sendAndTrace("a type that is new", query("transfer", "new", 4_000), 1);
            sendAndTrace("one that is no more", query("move", "old", 4_000), 1);
            currentList =
                    completeList(43)
                            .replace("'reset':true", "'reset':false")
                            .replace("ready", "gone");
            awaitCondition(
                    "the router has the list without the node", () -> requestedGeneration == 43);
            sendAndTrace("gone, and open", query("transfer", "gone", 4_000), 1);
            send(client, query("transfer", "slow", 4_000));
            awaitCondition("seen has 5", () -> receivedStatements.size() >= 5);
            Files.writeString(file, other.replace("\"await\"", "\"wait\""));
            router.reload(() -> RouterConfig.read(Map.of("LB_CONFIG", file.toString())));
            reloadSettings(file, first, "changed");
            trace.append("what was out             ").append(readResponses(1)).append('\n');
            sendAndTrace("gone, and closed", query("any", "none", 300), 1);
            currentList = completeList(44);
            awaitCondition(
                    "the router has the list with the node", () -> requestedGeneration == 44);
            sendAndTrace("as before", query("move", "back", 4_000), 1);
            traceStatements();
            stopAndTraceCounters(
                    "taken",
                    "committed",
                    "declined",
                    "rolled_back",
                    "submitted",
                    "out_of_form",
                    "txns_held");
            log.toString(StandardCharsets.UTF_8)
                    .lines()
                    .filter(l -> l.contains(" reload"))
                    .forEach(
                            line ->
                                    trace.append(
                                                    line.substring(line.indexOf(" reload") + 1)
                                                            .replaceAll("127.0.0.1:\\d+", "HERE"))
                                            .append('\n'));
        }
        RoutingHarness.assertTraceEquals("router-settings", trace);
    }

    /**
     * Guards against ending on SIGHUP, against polling the old discovery address after a reload,
     * and against an invalid file.
     */
    @Test
    @Tag(LONG_TIMEOUTS)
    void movesDiscoveryOnReloadWithoutDisruption() throws Exception {
        Path file = dir.resolve("config.json");
        String first = Files.readString(file);
        Map<String, String> env =
                Map.of(
                        "LB_CONFIG",
                        file.toString(),
                        "LB_DISCOVERY",
                        "127.0.0.1:" + list.getLocalPort());
        SignalHandlers.register(
                "HUP",
                () -> router.reload(() -> RouterConfig.readForReload(env)),
                new Log(new PrintStream(log, true)));
        sendAndTrace("startup", startup(), 1);
        send(client, query("any", "slow", 900));
        awaitCondition("the node has a submission", () -> !receivedStatements.isEmpty());
        try (ServerSocket newDiscovery = new ServerSocket(0, 50, list.getInetAddress())) {
            serve(newDiscovery, this::serveSecondDiscovery);
            Files.writeString(
                    file,
                    first.replace(
                                    "\"discovery\":\"127.0.0.1:" + list.getLocalPort(),
                                    "\"discovery\":\"127.0.0.1:" + newDiscovery.getLocalPort())
                            .replace("\"sockets\":256", "\"sockets\":300"));
            sendSighup();
            trace.append("what was out           ").append(readResponses(1)).append('\n');
            awaitCondition("asked has 2", () -> discoveryRequests.size() >= 2);
            Files.writeString(file, first.substring(9));
            sendSighup();
            sendAndTrace("after a bad file", query("any", "k", 900), 1);
            stopAndTraceCounters("committed", "lists", "client_connections");
            awaitCondition("asked has 3", () -> discoveryRequests.size() >= 3);
        }
        discoveryRequests.forEach(line -> trace.append(line).append('\n'));
        log.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(l -> l.contains(" reload"))
                .forEach(
                        line ->
                                trace.append(
                                                line.substring(line.indexOf(" reload") + 1)
                                                        .replaceAll("127.0.0.1:\\d+", "LATER")
                                                        .replace(file.toString(), "FILE"))
                                        .append('\n'));
        RoutingHarness.assertTraceEquals("router-reloads", trace);
    }

    /**
     * Starts a second router that gets its list from this discovery server only; the first has
     * ended.
     */
    private void restartWithDiscovery(ServerSocket discovery) throws Exception {
        client.close();
        router.stop();
        Path file = dir.resolve("config.json");
        String text =
                Files.readString(file)
                        .replace(
                                "\"discovery\":\"127.0.0.1:" + list.getLocalPort(),
                                "\"discovery\":\"127.0.0.1:" + discovery.getLocalPort());
        Files.writeString(file, text);
        router =
                new RouterServer(
                        RouterConfig.read(Map.of("LB_CONFIG", file.toString())), router.log());
        router.start();
        client = newClient();
    }

    /**
     * Guards against a send that overtakes a drain published while the event loop was blocked
     * between decision and send.
     */
    @Test
    void readsDrainBeforeSendingDecidedTransaction() throws Exception {
        BlockingQueue<String> updates = new LinkedBlockingQueue<>();
        try (ServerSocket discovery = new ServerSocket(0, 50, list.getInetAddress())) {
            serve(discovery, longPollingDiscovery(updates));
            // A deadline long enough for the busiest machine; the test depends on the order only.
            Path file = dir.resolve("config.json");
            Files.writeString(
                    file,
                    Files.readString(file)
                            .replace("\"deadlineUs\":1000000", "\"deadlineUs\":4000000"));
            restartWithDiscovery(discovery);
            sendAndTrace("startup and query", startup().writeBytes(query("any", "k", 4_000)), 2);
            ready = true;
            awaitCondition("discovery receives a long poll", () -> waitingRequester != null);
            // In one turn of the loop: blocked, a transaction is decided, blocked again before the
            // send.
            LoopHold holdBeforeDecision = holdLoopAt("'still");
            LoopHold holdBeforeSend = holdLoopAt(" counters ");
            send(client, malformedQuery("still").writeBytes(query("move", "drained", 4_000)));
            awaitCondition("the loop is blocked before the decision", holdBeforeDecision::reached);
            router.printCounters();
            holdBeforeDecision.release();
            awaitCondition(
                    "the loop is blocked between decision and send", holdBeforeSend::reached);
            updates.add(drainingList());
            awaitCondition(
                    "the drain is unread",
                    () ->
                            updates.isEmpty()
                                    && unreadBytes(
                                                    waitingRequester.getPort(),
                                                    waitingRequester.getLocalPort())
                                            > 0);
            // Many clock steps, so that the router detects the pause; a longer one changes nothing.
            Thread.sleep(100);
            holdBeforeSend.release();
            trace.append("the loop stands still        ").append(readResponses(1)).append('\n');
            trace.append("a txn to a node that drains  ").append(readResponses(1)).append('\n');
            traceStatements();
        }
        stopAndTraceCounters("committed", "declined", "ended_unsent");
        RoutingHarness.assertTraceEquals("router-news-first", trace);
    }

    /**
     * Guards against a drain that the previous discovery server has published and that is unread
     * while the new one is unreachable.
     */
    @Test
    @Tag(LONG_TIMEOUTS)
    void honorsDrainFromPreviousDiscovery() throws Exception {
        BlockingQueue<String> updates = new LinkedBlockingQueue<>();
        try (ServerSocket discovery = new ServerSocket(0, 50, list.getInetAddress());
                ServerSocket unresponsiveDiscovery =
                        new ServerSocket(0, 50, list.getInetAddress())) {
            serve(discovery, longPollingDiscovery(updates));
            restartWithDiscovery(discovery);
            sendAndTrace("startup and query", startup().writeBytes(query("any", "k", 900)), 2);
            ready = true;
            awaitCondition("discovery receives a long poll", () -> waitingRequester != null);
            LoopHold loopHold = holdLoopAt("'still");
            send(client, malformedQuery("still"));
            awaitCondition("the loop is blocked", loopHold::reached);
            updates.add(drainingList());
            awaitCondition(
                    "the drain is unread",
                    () ->
                            updates.isEmpty()
                                    && unreadBytes(
                                                    waitingRequester.getPort(),
                                                    waitingRequester.getLocalPort())
                                            > 0);
            Path file = dir.resolve("config.json");
            Files.writeString(
                    file,
                    Files.readString(file)
                            .replace(
                                    ":" + discovery.getLocalPort(),
                                    ":" + unresponsiveDiscovery.getLocalPort()));
            router.reload(() -> RouterConfig.read(Map.of("LB_CONFIG", file.toString())));
            // Time allowed for a drain to take effect.
            Thread.sleep(300);
            loopHold.release();
            trace.append("the loop stood still  ").append(readResponses(1)).append('\n');
            sendAndTrace("after the grace", query("any", "drained", 300), 1);
            traceStatements();
            stopAndTraceCounters("lists", "committed", "declined");
        }
        RoutingHarness.assertTraceEquals("router-former", trace);
    }

    /** Guards against a listener that opens with a member list from before the restart. */
    @Test
    @Tag(LONG_TIMEOUTS)
    void listensOnceDiscoveryHasAnswered() throws Exception {
        try (ServerSocket discovery = new ServerSocket(0, 50, list.getInetAddress())) {
            serve(
                    discovery,
                    discoveryFromQueue(new LinkedBlockingQueue<>(List.of(drainingList())), 300));
            restartWithDiscovery(discovery);
            sendAndTrace("the first query", startup().writeBytes(query("any", "drained", 300)), 2);
            traceStatements();
            stopAndTraceCounters("lists", "committed", "declined");
        }
        RoutingHarness.assertTraceEquals("router-door", trace);
    }

    /** Guards against a member list that goes stale because discovery stops answering. */
    @Test
    void reconnectsToUnresponsiveDiscovery() throws Exception {
        sendAndTrace("startup", startup(), 1);
        long startNanos = System.nanoTime();
        awaitCondition("lists has 4", () -> discoveryConnections.get() >= 4);
        long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
        trace.append("asked twice more, after two silences, within 4 s: ")
                .append(elapsedMillis < 4000 && elapsedMillis > 1000)
                .append('\n');
        RoutingHarness.assertTraceEquals("router-list-silent", trace);
    }

    /**
     * Sends SIGHUP to this process. If the signal is ignored, as under nohup, `env
     * --default-signal=HUP` in .ci/run restores it.
     */
    private void sendSighup() throws Exception {
        long before = reloads();
        new ProcessBuilder("kill", "-HUP", Long.toString(ProcessHandle.current().pid()))
                .start()
                .waitFor();
        awaitCondition("the configuration is reloaded after SIGHUP", () -> reloads() > before);
    }

    private long reloads() {
        return log.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(l -> l.contains(" reload"))
                .count();
    }

    /** Waits up to 20 s and fails with the description of the condition. */
    private static void awaitCondition(String description, BooleanSupplier condition)
            throws InterruptedException {
        for (long end = System.nanoTime() + 20_000_000_000L; !condition.getAsBoolean(); ) {
            assertTrue(
                    System.nanoTime() < end, "timed out after 20 s waiting until " + description);
            Thread.sleep(5);
        }
    }

    /**
     * Guards against leaking rows, connections and table entries of nodes that are replaced
     * continuously.
     */
    @Test
    @Tag(LONG_TIMEOUTS)
    void freesStateOfReplacedNodes() throws Exception {
        sendAndTrace("startup", startup(), 1);
        try (ServerSocket newDiscovery = new ServerSocket(0, 50, list.getInetAddress())) {
            serve(newDiscovery, this::serveChangingList);
            Path file = dir.resolve("config.json");
            Files.writeString(
                    file,
                    Files.readString(file)
                            .replace(
                                    "\"discovery\":\"127.0.0.1:" + list.getLocalPort(),
                                    "\"discovery\":\"127.0.0.1:" + newDiscovery.getLocalPort()));
            router.reload(() -> RouterConfig.read(Map.of("LB_CONFIG", file.toString())));
            for (int i = 0; i < 100; i++) {
                // A transaction is in flight while its node is replaced, but replacements wait for
                // the router to receive each list; otherwise more rows are in use at once. During
                // the last replacement nothing is in flight, so its connection comes from a probe.
                if (i < 99) {
                    send(client, query("any", "k", 4_000));
                }
                replacementCount = i;
                if (i < 99) {
                    readResponses(1);
                }
                int generation = FIRST_REPLACEMENT_GENERATION + i;
                awaitCondition(
                        "the router has list " + generation,
                        () -> requestedGeneration == generation);
            }
            awaitCounters("node_rows=[2-5]", "node_connections=1");
        }
        trace.append("connections to nodes now: ")
                .append(counters().replaceAll(".* node_connections=(\\d+).*", "$1"))
                .append('\n');
        trace.append("at most 5 rows for 100 machines: ")
                .append(counters().matches(".* node_rows=[2-5] .*"))
                .append('\n');
        sendAndTrace("the last of 100", query("any", "k", 4_000), 1);
        stopAndTraceCounters("txns_held", "node_connections", "timers");
        assertNoLeaks();
        RoutingHarness.assertTraceEquals("router-replaced", trace);
    }

    private static final int FIRST_REPLACEMENT_GENERATION = 50;

    /** Number of replacements of the node so far. */
    private volatile int replacementCount;

    /** Lists the newest node as ready, and the nodes since the requested generation as gone. */
    private void serveChangingList(Socket socket) throws IOException {
        BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        long after = -1;
        long wait = 0;
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.startsWith("GET")) {
                after =
                        line.contains("after=")
                                ? Long.parseLong(line.replaceAll(".*after=(\\d+).*", "$1"))
                                : -1;
                wait =
                        line.contains("wait_ms=")
                                ? Long.parseLong(line.replaceAll(".*wait_ms=(\\d+).*", "$1"))
                                : 0;
                requestedGeneration = after;
            } else if (line.isEmpty()) {
                for (long end = System.nanoTime() + wait * 1_000_000;
                        FIRST_REPLACEMENT_GENERATION + replacementCount <= after
                                && System.nanoTime() < end; ) {
                    pause(1);
                }
                int now = FIRST_REPLACEMENT_GENERATION + replacementCount;
                String entry =
                        "{'instanceId':'s-%d','hostPort':'127.0.0.1:"
                                + node.getLocalPort()
                                + "','zone':'a','cell':2,'lifecycle':'%s','weight':1,'role':'leader'}";
                List<String> entries = new ArrayList<>();
                if (now > after) {
                    entries.add(String.format(entry, now, "ready"));
                }
                for (long departedNode = Math.max(after, 0);
                        departedNode > 0 && departedNode < now;
                        departedNode++) {
                    entries.add(String.format(entry, departedNode, "gone"));
                }
                answer(
                        socket,
                        "{'generation':"
                                + now
                                + ",'reset':"
                                + (after < 0)
                                + ",'instances':["
                                + String.join(",", entries)
                                + "]}");
            }
        }
    }

    /** Guards against blaming a node for the router's own connection limit. */
    @Test
    @Tag(LONG_TIMEOUTS)
    void doesNotBlameNodeForOwnConnectionLimit() throws Exception {
        client.close();
        router.stop();
        Path file = dir.resolve("config.json");
        Files.writeString(
                file, Files.readString(file).replace("\"sockets\":256", "\"sockets\":44"));
        router =
                new RouterServer(
                        RouterConfig.read(Map.of("LB_CONFIG", file.toString())),
                        new Log(new PrintStream(log, true)));
        router.start();
        for (int i = 1; i < 3; i++) {
            client = newClient();
            send(client, startup().writeBytes(query("once", "hang", 3_000)));
            int count = i;
            awaitCondition("seen has " + count, () -> receivedStatements.size() >= count);
            client.close();
            awaitCounters("left=" + count);
        }
        client = newClient();
        sendAndTrace("both are in use", startup().writeBytes(query("once", "k", 900)), 2);
        traceStatements();
        stopAndTraceCounters("submitted", "ended_unreachable", "declined", "timers");
        RoutingHarness.assertTraceEquals("router-no-connection", trace);
    }

    /** Guards against running out of descriptors: idle clients are closed for new ones. */
    @Test
    void evictsLongestIdleClientAtLimit() throws Exception {
        sendAndTrace("startup", startup(), 1);
        List<Socket> idleClients = new ArrayList<>();
        Socket first = client;
        for (int i = 0; i < 108; i++) {
            client = new Socket(first.getInetAddress(), first.getPort());
            client.setSoTimeout(5000);
            idleClients.add(client);
            send(client, startup().writeBytes(Messages.query(Unpooled.buffer(), "")));
            readResponses(2);
        }
        sendAndTrace("the last of 109", query("any", "k", 900), 1);
        client = first;
        trace.append("the first              ").append(readResponses(1)).append('\n');
        for (Socket socket : idleClients) {
            socket.close();
        }
        stopAndTraceCounters("accepted", "committed", "client_connections");
        RoutingHarness.assertTraceEquals("router-full", trace);
    }

    private Socket newClient() throws IOException {
        Socket socket = new Socket(client.getInetAddress(), client.getPort());
        socket.setSoTimeout(5000);
        return socket;
    }

    /**
     * Guards against hundreds of connections without a complete query that lock out regular
     * clients.
     */
    @Test
    void inactiveConnectionsDoNotBlockClients() throws Exception {
        sendAndTrace("startup and query", startup().writeBytes(query("any", "k", 900)), 2);
        List<Socket> inactiveClients = new ArrayList<>();
        long startNanos = System.nanoTime();
        Socket first = client;
        for (int i = 0; i < 300; i++) {
            client = first;
            inactiveClients.add(newClient());
            if (i % 3 == 1) {
                send(inactiveClients.get(i), startup());
            } else if (i % 3 == 2) {
                send(inactiveClients.get(i), startup().writeBytes(query("any", "half", 900), 30));
            }
            if (i % 50 == 49) {
                client = newClient();
                sendAndTrace(
                        "a new one among " + (i + 1),
                        startup().writeBytes(query("any", "k" + i, 900)),
                        2);
                client.close();
            }
        }
        client = first;
        sendAndTrace("the first", query("any", "k", 900), 1);
        for (Socket socket : inactiveClients) {
            while (readsByte(socket)) {}
        }
        trace.append("the silent are closed within 3 s: ")
                .append(System.nanoTime() - startNanos < 3_000_000_000L)
                .append('\n');
        stopAndTraceCounters("accepted", "committed", "client_connections");
        assertNoLeaks();
        RoutingHarness.assertTraceEquals("router-silent", trace);
    }

    private static boolean readsByte(Socket socket) {
        try {
            return socket.getInputStream().read() >= 0;
        } catch (IOException reset) {
            return false;
        }
    }

    /**
     * Guards against a transaction that is confused with another one with its id, and against an
     * excessive client timeout.
     */
    @Test
    void rejectsOpenTransactionId() throws Exception {
        sendAndTrace("startup", startup(), 1);
        send(client, query("any", "slow", 900, "7f"));
        awaitCondition("the node has a submission", () -> !receivedStatements.isEmpty());
        Socket first = client;
        client = newClient();
        sendAndTrace("the same id", startup().writeBytes(query("any", "k", 900, "7f")), 2);
        sendAndTrace(
                "a wait of ages",
                query("any", "k", 900)
                        .writerIndex(0)
                        .writeBytes(
                                Messages.query(
                                        Unpooled.buffer(),
                                        "SELECT body "
                                                + "FROM objects WHERE oid = 'k' /* id=8a,c=any,d=99999999999999999,cluster=2 */")),
                1);
        client.close();
        client = first;
        trace.append("the first              ").append(readResponses(1)).append('\n');
        sendAndTrace("the id once it is over", query("any", "k", 900, "7f"), 1);
        traceStatements();
        stopAndTraceCounters("out_of_form", "taken", "committed");
        RoutingHarness.assertTraceEquals("router-same-id", trace);
    }

    @Test
    void namesConfigurationFault() throws Exception {
        String validConfig = Files.readString(dir.resolve("config.json"));
        String[][] cases = {
            {"", ""},
            {"'reset':true", "'reset':tru"},
            {"'seed':'8c", "'seed':'xx"},
            {"'classes'", "'none'"},
            {"'dialTimeoutUs':250000,", ""},
            {"'dialTimeoutUs':250000", "'dialTimeoutUs':0"},
            {"'dialTimeoutUs':250000", "'dialTimeoutUs':'fast'"},
            {"'guards':'off'", "'guards':'wait'"},
            {"'strong','mutate'", "'strong','write'"},
            {"'strong'", "'lag_bound'"},
            {"'coldFrom':0.2", "'coldFrom':2"},
            {"'effect':'dedup'", "'effect':'keyed'"},
            {"'name':'move'", "'name':'any'"},
            {"'rules':{", "'rules':{'droppedStayOpen':1,"},
            {"'stats':{'how':'inline','fields':['x0','x1']}", "'stats':0"},
            {"'discovery':'127", "'discovery':'host"}
        };
        for (String[] change : cases) {
            Path file = dir.resolve("bad.json");
            Files.writeString(
                    file,
                    change[0].isEmpty()
                            ? ""
                            : validConfig.replace(
                                    change[0].replace('\'', '"'), change[1].replace('\'', '"')));
            trace.append(
                            assertThrows(
                                            ConfigException.class,
                                            () ->
                                                    RouterConfig.read(
                                                            Map.of("LB_CONFIG", file.toString())))
                                    .getMessage()
                                    .replace(file.toString(), "FILE")
                                    .replaceAll(":\\d{4,5}", ":PORT"))
                    .append('\n');
        }
        for (Map<String, String> env :
                List.of(
                        Map.<String, String>of(),
                        Map.of("LB_CONFIG", "/nowhere/config.json"),
                        Map.of(
                                "LB_CONFIG",
                                dir.resolve("config.json").toString(),
                                "LB_LISTEN",
                                "here"))) {
            trace.append(
                            assertThrows(ConfigException.class, () -> RouterConfig.read(env))
                                    .getMessage())
                    .append('\n');
        }
        RouterServer secondRouter =
                new RouterServer(
                        RouterConfig.read(
                                Map.of("LB_CONFIG", dir.resolve("config.json").toString())),
                        new Log(new PrintStream(log, true)));
        trace.append(
                        assertThrows(ConfigException.class, secondRouter::start)
                                .getMessage()
                                .replaceAll(":\\d{4,5}", ":PORT"))
                .append('\n');
        RoutingHarness.assertTraceEquals("bad-config", trace);
    }

    /** Guards against a listener that opens before the CPU debt of the start is paid back. */
    @Test
    void paysBackStartupCpuDebt() throws Exception {
        long[][] cases = {
            {200, 280, 50}, {310, 300, 50}, {100, 280, 50}, {100, 280, 100}, {900, 300, 10}
        };
        for (long[] c : cases) {
            trace.append(
                    String.format(
                            "%d ms used in %d, %d %% of a core: %d ms owed\n",
                            c[0],
                            c[1],
                            c[2],
                            RouterServer.cpuDebt(
                                            java.time.Duration.ofMillis(c[0]),
                                            java.time.Duration.ofMillis(c[1]),
                                            c[2] / 100.0)
                                    .toMillis()));
        }
        RoutingHarness.assertTraceEquals("router-owes", trace);
    }

    @Test
    void freesStateOfDisconnectedClient() throws Exception {
        sendAndTrace("startup", startup(), 1);
        send(client, query("any", "hang", 900));
        awaitCondition("the node has a submission", () -> !receivedStatements.isEmpty());
        client.close();
        awaitCounters("ended_timed_out=1", "txns_held=0");
        stopAndTraceCounters(
                "taken",
                "left",
                "committed",
                "declined",
                "txns_held",
                "client_connections",
                "node_connections",
                "timers",
                "ended_timed_out");
        assertNoLeaks();
        RoutingHarness.assertTraceEquals("router-left", trace);
    }
}
