package dillfront.bootstrap;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import dillfront.common.environment.Environment;
import dillfront.common.environment.NettyEnvironment;
import dillfront.common.message.MessageCodec;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Three real control processes on loopback, and each of five harms brought about once: a process
 * out of contact, two orders under one number, a loss right after a repair, one that is far behind,
 * and calls that share a connection.
 */
class ControlProcessTest {

    @TempDir Path dir;
    private final List<ControlProcess> processes = new ArrayList<>();
    private ControlProcess a;
    private ControlProcess b;
    private ControlProcess c;
    private int[] ports;
    private String platformAddress = "127.0.0.1:1";

    @BeforeEach
    void ports() throws IOException {
        ports = ControlProcess.allocatePorts();
    }

    private ControlProcess newProcess(int number) {
        ControlProcess process =
                new ControlProcess("127.0.77." + number, dir, ports, platformAddress);
        processes.add(process);
        return process;
    }

    private void startThreeProcesses() throws Exception {
        a = newProcess(1);
        b = newProcess(2);
        c = newProcess(3);
        startAll();
    }

    private void startAll() throws Exception {
        List<ControlProcess> seeds = List.copyOf(processes);
        for (ControlProcess process : seeds) {
            process.start(true, seeds);
        }
        awaitRunning(seeds);
        replaceUntilAcknowledged(configuration(1, 500), seeds);
        waitUntil(
                "all three answer a read",
                () ->
                        seeds.stream()
                                .allMatch(process -> process.readConfiguration().status() == 200));
    }

    /** What a machine under load takes until programs run is no part of any scene. */
    private void awaitRunning(List<ControlProcess> expected) throws Exception {
        waitUntil(
                60,
                "programs run: " + expected.size(),
                () -> expected.stream().noneMatch(one -> one.status().isEmpty()));
    }

    @AfterEach
    void killProcesses() throws Exception {
        for (ControlProcess process : processes) {
            if (process.isRunning()) {
                process.signal("CONT");
                process.kill();
            }
        }
    }

    private String diagnostics() {
        StringBuilder text = new StringBuilder();
        processes.forEach(
                process ->
                        text.append(process.ip)
                                .append(' ')
                                .append(process.isRunning() ? process.status() : "down")
                                .append('\n')
                                .append(process.logText()));
        return text.toString();
    }

    private void waitUntil(String description, Callable<Boolean> condition) throws Exception {
        waitUntil(12, description, condition);
    }

    private void waitUntil(long seconds, String description, Callable<Boolean> condition)
            throws Exception {
        for (long end = System.nanoTime() + seconds * 1_000_000_000L; !condition.call(); ) {
            if (System.nanoTime() > end) {
                throw new AssertionError(
                        "waited "
                                + seconds
                                + " s in vain until "
                                + description
                                + "\n"
                                + diagnostics());
            }
            Thread.sleep(20);
        }
    }

    private static String configuration(long revision, int timeout) {
        return ("{'revision_number':"
                        + revision
                        + ",'routes':[{'name':'r','host_name':'h','path_prefix':'/','route_kind':'primary',"
                        + "'timeout_ms':"
                        + timeout
                        + ",'service':'db'}],'services':[{'name':'db','connection_limit':50,"
                        + "'synchronous_replicas':1}]}")
                .replace('\'', '"');
    }

    private static long revision(ControlProcess.Response response) {
        return Json.parse(response.body()).asObject().getLong("revision_number", -1);
    }

    /**
     * As an operator does: again, to one after the other, until it is acknowledged; no answer may
     * be a refusal.
     */
    private void replaceUntilAcknowledged(String configuration, List<ControlProcess> targets)
            throws Exception {
        int[] next = new int[1];
        waitUntil(
                "an order is acknowledged by one of " + targets.size(),
                () -> {
                    int status =
                            targets.get(next[0]++ % targets.size())
                                    .replaceConfiguration(configuration)
                                    .status();
                    assertTrue(
                            status < 400 || status >= 500,
                            () -> status + " for a valid order\n" + diagnostics());
                    return status == 200;
                });
    }

    /** That one itself acknowledges it within some tries, each without a refusal. */
    private void replaceUntilAcknowledged(String configuration, ControlProcess targets)
            throws Exception {
        replaceUntilAcknowledged(configuration, List.of(targets));
    }

    // ---- 1: out of contact

    /**
     * Guards against a process that runs, and answers, but reaches no other: what it says is not
     * current.
     */
    @Test
    @Execution(ExecutionMode.CONCURRENT)
    void isolatedProcessNeitherConfirmsNorRefusesNorServes() throws Exception {
        startThreeProcesses();
        b.signal("STOP");
        c.signal("STOP");
        List<Integer> replaceStatuses = new ArrayList<>();
        List<Integer> readStatuses = new ArrayList<>();
        long startNanos = System.nanoTime();
        for (int i = 0; System.nanoTime() - startNanos < 2_400_000_000L; i++) {
            replaceStatuses.add(a.replaceConfiguration(configuration(10 + i, 600)).status());
            readStatuses.add(a.readConfiguration().status());
        }
        for (int status : replaceStatuses) {
            assertTrue(
                    status == 0 || status == 503 || status == 307,
                    "orders at the cut-off one: " + replaceStatuses);
        }
        for (int status : readStatuses) {
            assertTrue(
                    status == 0 || status == 503 || status == 307,
                    "reads at the cut-off one: " + readStatuses);
        }
        assertTrue(
                replaceStatuses.size() >= 3, "it answers within a second each: " + replaceStatuses);
        b.signal("CONT");
        c.signal("CONT");
        replaceUntilAcknowledged(configuration(1_000, 700), List.of(b, c, a));
        waitUntil(
                "a read at the one that was cut off is the newest",
                () -> {
                    ControlProcess.Response response = a.readConfiguration();
                    assertTrue(
                            response.status() == 503
                                    || response.status() == 0
                                    || revision(response) == 1_000,
                            response.body());
                    return response.status() == 200;
                });
    }

    /**
     * Relays between all three, by who dials and whom: each knows the others by an inner port that
     * is only its own.
     */
    private Map<String, TcpRelay> startThreeProcessesBehindRelays() throws Exception {
        int[] internalPorts = {
            0,
            ControlProcess.allocatePorts()[0],
            ControlProcess.allocatePorts()[0],
            ControlProcess.allocatePorts()[0]
        };
        for (int i = 1; i <= 3; i++) {
            processes.add(
                    new ControlProcess(
                            "127.0.77." + i,
                            dir,
                            new int[] {ports[0], internalPorts[i]},
                            platformAddress));
        }
        a = processes.get(0);
        b = processes.get(1);
        c = processes.get(2);
        Map<String, TcpRelay> relays = new TreeMap<>();
        for (int i = 1; i <= 3; i++) {
            for (int j = 1; j <= 3; j++) {
                if (i != j) {
                    relays.put(
                            i + ">" + j,
                            new TcpRelay(
                                    new InetSocketAddress("127.0.77." + j, internalPorts[i]),
                                    new InetSocketAddress("127.0.77." + j, internalPorts[j])));
                }
            }
        }
        startAll();
        return relays;
    }

    /**
     * Guards against a process that the network cuts off while it runs, wholly or one way, and its
     * callers still reach it.
     */
    @Test
    @Execution(ExecutionMode.CONCURRENT)
    void partitionedProcessNeitherConfirmsNorRefusesNorServes() throws Exception {
        Map<String, TcpRelay> relays = startThreeProcessesBehindRelays();
        try {
            int revision = 1;
            for (boolean[] dropped : new boolean[][] {{true, true}, {true, false}, {false, true}}) {
                String partition =
                        "its words are lost: " + dropped[0] + ", those to it: " + dropped[1];
                relays.forEach(
                        (direction, relay) -> {
                            if (direction.startsWith("1")) {
                                relay.drop(dropped[0], dropped[1]);
                            } else if (direction.endsWith("1")) {
                                relay.drop(dropped[1], dropped[0]);
                            }
                        });
                long startNanos = System.nanoTime();
                int newestRevision = revision + 2;
                replaceUntilAcknowledged(
                        configuration(newestRevision, 500 + newestRevision), List.of(b, c));
                List<Integer> statuses = new ArrayList<>();
                long lastRequestNanos = startNanos;
                while (lastRequestNanos - startNanos < 2_400_000_000L) {
                    lastRequestNanos = System.nanoTime();
                    for (ControlProcess.Response response :
                            List.of(
                                    a.replaceConfiguration(
                                            configuration(revision + 1, 600 + revision)),
                                    a.readConfiguration())) {
                        statuses.add(response.status());
                        assertTrue(
                                response.status() == 503 || response.status() == 307,
                                () -> partition + ": " + statuses + "\n" + diagnostics());
                    }
                }
                long requestNanos = System.nanoTime();
                assertEquals(307, a.readConfiguration().status(), partition);
                long tookMillis = (System.nanoTime() - requestNanos) / 1_000_000;
                assertTrue(
                        a.status().contains(" alone ") && tookMillis < 500,
                        partition
                                + ": it knows by now, and says so at once: "
                                + tookMillis
                                + " ms, "
                                + a.status());
                relays.values().forEach(TcpRelay::heal);
                waitUntil(
                        "a read at the one that was cut off is the newest; " + partition,
                        () -> {
                            ControlProcess.Response response = a.readConfiguration();
                            assertTrue(
                                    response.status() == 503
                                            || response.status() == 307
                                            || revision(response) == newestRevision,
                                    response.status() + " " + response.body());
                            return response.status() == 200;
                        });
                revision = newestRevision + 1;
                replaceUntilAcknowledged(configuration(revision, 500 + revision), a);
            }
        } finally {
            for (TcpRelay relay : relays.values()) {
                relay.close();
            }
        }
    }

    /**
     * Guards against old state from a process that stood still and does not know it yet: the calls
     * lay in its sockets.
     */
    @Test
    @Execution(ExecutionMode.CONCURRENT)
    void pausedProcessAnswersNothingOutdated() throws Exception {
        startThreeProcesses();
        a.signal("STOP");
        List<Socket> pendingReads = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Socket read = a.connect();
            read.getOutputStream()
                    .write(ControlProcess.request("GET", "/Configuration.Read", "", true));
            pendingReads.add(read);
        }
        for (int v = 2; v <= 6; v++) {
            replaceUntilAcknowledged(configuration(v, 500 + v), List.of(b, c));
        }
        // The lease, had it one, is over, and others have it.
        waitUntil(
                "another holds the lease",
                () -> isLeaseHolder(b.status()) || isLeaseHolder(c.status()));
        a.signal("CONT");
        for (Socket read : pendingReads) {
            ControlProcess.Response response = ControlProcess.receive(read);
            assertTrue(
                    response.status() == 0
                            || response.status() == 503
                            || response.status() == 307
                            || revision(response) == 6,
                    response.status() + " " + response.body());
            read.close();
        }
        waitUntil(
                "it answers a read with the newest",
                () -> {
                    ControlProcess.Response response = a.readConfiguration();
                    assertTrue(
                            response.status() != 200 || revision(response) == 6, response.body());
                    return response.status() == 200;
                });
    }

    // ---- 1 and 5: an old lease

    /** One call of the platform. */
    private record PlatformCall(long fencingToken, String holder, String instance) {}

    /**
     * The platform, and three hollow servers of one service: what they were told, in the order in
     * which it came.
     */
    private final class FakePlatform implements AutoCloseable {
        final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final NettyEnvironment environment = new NettyEnvironment(7);
        final List<PlatformCall> calls = Collections.synchronizedList(new ArrayList<>());
        final List<String> receivedLines = Collections.synchronizedList(new ArrayList<>());

        /** The next call, and all of whoever makes it, are not answered before this is over. */
        final AtomicReference<CountDownLatch> responseGate = new AtomicReference<>();

        private String unansweredHolder = "";
        private final String[] addresses = new String[4];
        volatile int primary = 1;

        /** The term that a PAUSE named, by server, until it is resumed or another is promoted. */
        private final long[] pausedTerms = new long[4];

        volatile boolean firstIsDown;
        private volatile long highestToken;

        FakePlatform() throws IOException {
            Thread thread =
                    new Thread(
                            () -> {
                                while (!listener.isClosed()) {
                                    try {
                                        Socket socket = listener.accept();
                                        Thread requestThread = new Thread(() -> serve(socket));
                                        requestThread.setDaemon(true);
                                        requestThread.start();
                                    } catch (IOException closed) {
                                        return;
                                    }
                                }
                            });
            thread.setDaemon(true);
            thread.start();
            for (int i = 1; i <= 3; i++) {
                try (ServerSocket unused =
                        new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                    addresses[i] = "127.0.0.1:" + unused.getLocalPort();
                }
                int number = i;
                environment.listen(
                        addresses[i], Environment.Framing.LINES, h -> new FakeServer(number));
            }
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void serve(Socket socket) {
            try (socket) {
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.US_ASCII));
                long token = -1;
                String holder = "";
                int length = 0;
                for (String line = in.readLine();
                        line != null && !line.isEmpty();
                        line = in.readLine()) {
                    String value = line.substring(line.indexOf(':') + 1).strip();
                    String name = line.toLowerCase(java.util.Locale.ROOT);
                    token =
                            name.startsWith("dillfront-fence-number:")
                                    ? Long.parseLong(value)
                                    : token;
                    holder = name.startsWith("dillfront-duty-holder:") ? value : holder;
                    length = name.startsWith("content-length:") ? Integer.parseInt(value) : length;
                }
                char[] body = new char[length];
                int read = 0;
                while (read < length) {
                    read += in.read(body, read, length - read);
                }
                String instance =
                        Json.parse(new String(body)).asObject().getString("instance_id", "");
                CountDownLatch gate;
                int status;
                synchronized (this) {
                    calls.add(new PlatformCall(token, holder, instance));
                    unansweredHolder =
                            responseGate.get() != null && unansweredHolder.isEmpty()
                                    ? holder
                                    : unansweredHolder;
                    gate = holder.equals(unansweredHolder) ? responseGate.get() : null;
                    status = token < highestToken ? 409 : 200;
                    highestToken = Math.max(highestToken, token);
                    if (status == 200 && gate == null) {
                        primary = Integer.parseInt(instance.substring(2));
                        Arrays.fill(pausedTerms, 0);
                    }
                }
                if (gate != null) {
                    gate.await();
                }
                socket.getOutputStream()
                        .write(
                                ("HTTP/1.1 " + status + " is\r\nContent-Length: 2\r\n\r\n{}")
                                        .getBytes(StandardCharsets.US_ASCII));
            } catch (IOException | InterruptedException over) {
                // Whoever called has gone.
            }
        }

        /** Each beats at all control processes, for as long as it lives. */
        void scheduleHeartbeats(int number, long sequence) {
            environment.schedule(
                    200,
                    () -> {
                        if (number != 1 || !firstIsDown) {
                            String body =
                                    Json.object()
                                            .add("service", "db")
                                            .add("address", addresses[number])
                                            .add("zone_name", "z")
                                            .add("state", "ready")
                                            .add(
                                                    "database_role",
                                                    primary == number ? "primary" : "replica")
                                            .add("call_sequence", sequence)
                                            .toString();
                            for (ControlProcess process : List.of(a, b, c)) {
                                environment.post(
                                        process.ip + ":" + ports[0],
                                        "/Instances.Heartbeat/i-" + number,
                                        body,
                                        Map.of(),
                                        1_000);
                            }
                        }
                        scheduleHeartbeats(number, sequence + 1);
                    });
        }

        private final class FakeServer implements Environment.ConnectionListener {
            private final int number;
            private Environment.Connection connection;

            FakeServer(int number) {
                this.number = number;
            }

            @Override
            public void onOpen(Environment.Connection opened) {
                connection = opened;
            }

            @Override
            public void onMessage(byte[] message) {
                String line = new String(message, StandardCharsets.US_ASCII);
                receivedLines.add(number + " " + line);
                if (number == 1 && firstIsDown) {
                    return;
                }
                long pausedTerm;
                synchronized (FakePlatform.this) {
                    pausedTerms[number] =
                            line.startsWith("QUERY - PAUSE ")
                                    ? Long.parseLong(line.substring(14))
                                    : line.equals("QUERY - RESUME") ? 0 : pausedTerms[number];
                    pausedTerm = pausedTerms[number];
                }
                if (!line.equals("GOODBYE")) {
                    connection.send(
                            (line.startsWith("CONNECT")
                                            ? "READY I 1.1"
                                            : "ROW "
                                                    + (primary == number ? "primary" : "replica")
                                                    + " 1 1.1 "
                                                    + pausedTerm
                                                    + " 0 0 1\r\nCOMPLETE -\r\nREADY I 1.1")
                                    .getBytes(StandardCharsets.US_ASCII));
                }
            }

            @Override
            public void onClose(String reason) {
                // It comes again.
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            environment.eventLoop().parent().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }

    /** By its own status; "held=" is the version that it has, whoever holds the lease. */
    private static boolean isLeaseHolder(String status) {
        return status.matches(".* lease=\\d+ held promised=.*");
    }

    private ControlProcess leaseHolder() {
        return processes.stream()
                .filter(one -> isLeaseHolder(one.status()))
                .findFirst()
                .orElse(null);
    }

    private static boolean isPrimary(int number, String status) {
        return status.matches(".*db primary=i-" + number + "(?! moving|\\d).*");
    }

    /** The number of a promise and to whom, as the status tells it. */
    private static String promise(String status) {
        return status.replaceAll(".* (promised=\\d+ to=\\S+) .*", "$1");
    }

    /**
     * Guards against a holder that stood still in the midst of a promotion, and goes on with it
     * under its old lease.
     */
    @Test
    @Execution(ExecutionMode.CONCURRENT)
    void pausedHolderDoesNotActOnExpiredLease() throws Exception {
        try (FakePlatform platform = new FakePlatform()) {
            platformAddress = platform.address();
            startThreeProcesses();
            for (int i = 1; i <= 3; i++) {
                platform.scheduleHeartbeats(i, 1);
            }
            waitUntil(
                    "the first is recorded as the primary",
                    () -> {
                        String status =
                                processes.stream()
                                        .map(ControlProcess::status)
                                        .filter(ControlProcessTest::isLeaseHolder)
                                        .findFirst()
                                        .orElse("");
                        return isPrimary(1, status);
                    });
            CountDownLatch responses = new CountDownLatch(1);
            int callsBefore = platform.calls.size();
            platform.responseGate.set(responses);
            platform.firstIsDown = true;
            waitUntil(
                    "the platform has a call that it does not answer",
                    () -> platform.calls.size() > callsBefore);
            // Whoever called holds the lease: the call's fence is a number within it.
            PlatformCall first = platform.calls.get(callsBefore);
            ControlProcess formerHolder =
                    processes.stream()
                            .filter(one -> first.holder().equals("core-" + one.ip))
                            .findFirst()
                            .orElseThrow();
            formerHolder.signal("STOP");
            List<PlatformCall> callsWhilePaused = List.copyOf(platform.calls);
            assertTrue(
                    callsWhilePaused.subList(callsBefore, callsWhilePaused.size()).stream()
                            .allMatch(first::equals),
                    "more than one call, and sent again: " + callsWhilePaused);
            assertEquals(
                    1, platform.primary, "the call is not carried out when its caller is stopped");
            List<ControlProcess> others =
                    processes.stream().filter(one -> one != formerHolder).toList();
            waitUntil(
                    "another has named a primary, and it leads",
                    () ->
                            platform.primary != 1
                                    && others.stream()
                                            .allMatch(
                                                    one ->
                                                            isPrimary(
                                                                    platform.primary,
                                                                    one.status())));
            replaceUntilAcknowledged(configuration(5, 900), others);
            int callCount = platform.calls.size();
            int lineCount = platform.receivedLines.size();
            int newPrimary = platform.primary;
            // What the platform said then comes only now.
            responses.countDown();
            formerHolder.signal("CONT");
            // Not the highest number that anyone had promised a moment before: that may be one to
            // itself, which came to nothing.
            waitUntil(
                    "the old holder has promised the newer lease to its holder, and knows of the primary",
                    () -> {
                        String newerStatus =
                                others.stream()
                                        .map(ControlProcess::status)
                                        .filter(ControlProcessTest::isLeaseHolder)
                                        .findFirst()
                                        .orElse("");
                        String current = formerHolder.status();
                        return !newerStatus.isEmpty()
                                && !isLeaseHolder(current)
                                && promise(current).equals(promise(newerStatus))
                                && isPrimary(newPrimary, current);
                    });
            ControlProcess.Response read = formerHolder.readConfiguration();
            assertTrue(read.status() != 200 || revision(read) == 5, read.body());
            List<PlatformCall> allCalls = List.copyOf(platform.calls);
            List<String> newLines =
                    List.copyOf(platform.receivedLines)
                            .subList(lineCount, platform.receivedLines.size());
            assertTrue(
                    allCalls.subList(callCount, allCalls.size()).stream()
                            .noneMatch(call -> call.holder().equals("core-" + formerHolder.ip)),
                    "made " + allCalls);
            assertTrue(
                    newLines.stream()
                            .noneMatch(
                                    line ->
                                            line.contains(" PAUSE ")
                                                    || line.contains(" STEPDOWN ")),
                    "said " + newLines);
            for (int i = 1; i < allCalls.size(); i++) {
                PlatformCall current = allCalls.get(i);
                assertTrue(
                        current.fencingToken() >= allCalls.get(i - 1).fencingToken(),
                        "a fence that falls: " + allCalls);
                assertTrue(
                        allCalls.stream()
                                .noneMatch(
                                        other ->
                                                other.fencingToken() == current.fencingToken()
                                                        && !other.holder()
                                                                .equals(current.holder())),
                        "one fence, two holders: " + allCalls);
            }
            assertEquals(newPrimary, platform.primary);
        }
    }

    /**
     * A data plane that knows of acknowledged commits which no replica has: it says so once, and is
     * gone.
     */
    private void reportCommits(FakePlatform platform, ControlProcess process) {
        platform.environment
                .eventLoop()
                .execute(
                        () ->
                                platform.environment.connect(
                                        process.ip + ":" + ports[1],
                                        Environment.Framing.FRAMES,
                                        1_000,
                                        new Environment.ConnectionListener() {
                                            @Override
                                            public void onOpen(Environment.Connection connection) {
                                                connection.send(
                                                        MessageCodec.encode(
                                                                Map.of(
                                                                        "t",
                                                                        "news",
                                                                        "n",
                                                                        "front",
                                                                        "q",
                                                                        1,
                                                                        "b",
                                                                        "",
                                                                        "r",
                                                                        0,
                                                                        "c",
                                                                        -1,
                                                                        "s",
                                                                        List.of(
                                                                                Map.of(
                                                                                        "s", "db",
                                                                                        "p", "i-1",
                                                                                        "h", 0, "o",
                                                                                        0, "a",
                                                                                        "1.5 1.6")))));
                                            }

                                            @Override
                                            public void onMessage(byte[] message) {
                                                // It does not ask again.
                                            }

                                            @Override
                                            public void onClose(String reason) {
                                                // Nor come again.
                                            }
                                        }));
    }

    private static JsonObject lackingCommits(ControlProcess process) {
        ControlProcess.Response response = process.send("GET", "/status", "");
        JsonArray services =
                response.status() == 200
                        ? Json.parse(response.body()).asObject().get("lacking").asArray()
                        : Json.array().asArray();
        return services.isEmpty() ? null : services.get(0).asObject();
    }

    /**
     * A person gives up commits that only the lost primary had; the holder is killed as soon as it
     * is accepted.
     */
    @Test
    void nextHolderHonoursAcceptedLoss() throws Exception {
        try (FakePlatform platform = new FakePlatform()) {
            platformAddress = platform.address();
            startThreeProcesses();
            for (int i = 1; i <= 3; i++) {
                platform.scheduleHeartbeats(i, 1);
            }
            waitUntil(
                    "the first is recorded as the primary",
                    () -> {
                        ControlProcess holder = leaseHolder();
                        return holder != null
                                && holder.status().matches(".*db primary=i-1(?! moving).*");
                    });
            processes.forEach(one -> reportCommits(platform, one));
            ControlProcess.Response early =
                    a.send(
                            "POST",
                            "/Services.AcceptDataLoss",
                            "{'service':'db','move':'7','log_position':'1.1','least_acknowledged':'1.5',"
                                            .replace('\'', '"')
                                    + "\"most_acknowledged\":\"1.6\"}");
            assertEquals(409, early.status(), early.body());
            platform.firstIsDown = true;
            waitUntil(
                    "each says what is lacking",
                    () -> processes.stream().allMatch(one -> lackingCommits(one) != null));
            int callCount = platform.calls.size();
            JsonObject shown = lackingCommits(a);
            assertEquals(
                    "1.1 1.5 1.6",
                    shown.getString("log_position", "")
                            + " "
                            + shown.getString("least_acknowledged", "")
                            + " "
                            + shown.getString("most_acknowledged", ""));
            waitUntil(
                    "its holder says so in a line",
                    () -> {
                        ControlProcess holder = leaseHolder();
                        return holder != null
                                && holder.status().contains(" lacking=1.5..1.6 longest_log=1.1");
                    });
            ControlProcess formerHolder = leaseHolder();
            ControlProcess other =
                    processes.stream().filter(one -> one != formerHolder).findFirst().orElseThrow();
            for (String field :
                    new String[] {
                        "move", "log_position", "least_acknowledged", "most_acknowledged"
                    }) {
                JsonObject changed =
                        Json.parse(shown.toString())
                                .asObject()
                                .set(field, field.equals("move") ? "7" : "1.2");
                assertEquals(
                        409,
                        other.send("POST", "/Services.AcceptDataLoss", changed.toString()).status(),
                        changed.toString());
            }
            assertEquals(callCount, platform.calls.size(), "nobody is named yet");
            waitUntil(
                    "it is accepted, at one that does not hold the duty",
                    () -> {
                        int status =
                                other.send("POST", "/Services.AcceptDataLoss", shown.toString())
                                        .status();
                        assertTrue(status == 200 || status == 503, status + "\n" + diagnostics());
                        return status == 200;
                    });
            formerHolder.kill();
            waitUntil(
                    "another leads",
                    () ->
                            platform.primary != 1
                                    && other.status()
                                            .matches(
                                                    ".*db primary=i-"
                                                            + platform.primary
                                                            + "(?! moving).*"));
            for (ControlProcess one : processes) {
                waitUntil(
                        "it is accepted where it was, and at the other",
                        () -> {
                            int status =
                                    one == formerHolder
                                            ? 200
                                            : one.send(
                                                            "POST",
                                                            "/Services.AcceptDataLoss",
                                                            shown.toString())
                                                    .status();
                            assertTrue(
                                    status == 200 || status == 503, status + "\n" + diagnostics());
                            return status == 200;
                        });
            }
        }
    }

    // ---- 2: one number

    /**
     * Guards against two contents under one number, each confirmed; and against an order that is
     * refused when it comes again.
     */
    @Test
    @Execution(ExecutionMode.CONCURRENT)
    void revisionHasOneContentAndStaysAcknowledged() throws Exception {
        startThreeProcesses();
        ExecutorService operators = Executors.newFixedThreadPool(2);
        int decidedRaces = 0;
        try {
            for (int v = 2; v <= 8; v++) {
                String one = configuration(v, 1_000 + v);
                String other = configuration(v, 2_000 + v);
                Future<ControlProcess.Response> first =
                        operators.submit(() -> a.replaceConfiguration(one));
                Future<ControlProcess.Response> second =
                        operators.submit(() -> b.replaceConfiguration(other));
                int statusOne = first.get(5, TimeUnit.SECONDS).status();
                int statusOther = second.get(5, TimeUnit.SECONDS).status();
                assertTrue(
                        statusOne != 200 || statusOther != 200,
                        "both are confirmed under " + v + "\n" + diagnostics());
                String decided = statusOne == 200 ? one : statusOther == 200 ? other : null;
                if (decided != null) {
                    decidedRaces++;
                    int number = v;
                    // It may say that it can't tell just now, but nothing else than what was
                    // decided.
                    waitUntil(
                            "the third reads what was decided under " + v,
                            () -> {
                                ControlProcess.Response response = c.readConfiguration();
                                assertTrue(
                                        response.status() != 200 || response.body().equals(decided),
                                        () -> "in force under " + number + ": " + response.body());
                                assertTrue(
                                        response.status() < 400 || response.status() >= 500,
                                        () -> response.status() + " " + response.body());
                                return response.status() == 200;
                            });
                }
            }
        } finally {
            operators.shutdownNow();
        }
        assertTrue(decidedRaces > 0, "no race was decided for either");
        // The answer is lost on its way: nobody hears it.
        String configuration = configuration(50, 800);
        try (Socket lost = a.connect()) {
            lost.getOutputStream()
                    .write(
                            ControlProcess.request(
                                    "POST", "/Configuration.Replace", configuration, true));
            lost.setSoLinger(true, 0);
        }
        replaceUntilAcknowledged(configuration, b);
        replaceUntilAcknowledged(configuration, c);
        replaceUntilAcknowledged(configuration(51, 801), a);
        for (ControlProcess one : processes) {
            one.kill();
        }
        for (ControlProcess one : processes) {
            one.start(false, List.of(a, b, c));
        }
        awaitRunning(processes);
        for (ControlProcess one : processes) {
            replaceUntilAcknowledged(configuration, one);
            replaceUntilAcknowledged(configuration(51, 801), one);
        }
        for (ControlProcess one : processes) {
            waitUntil(
                    "it reads the newest, which an older one sent again has not changed",
                    () -> {
                        ControlProcess.Response response = one.readConfiguration();
                        assertTrue(
                                response.status() != 200 || revision(response) == 51,
                                response.body());
                        return response.status() == 200;
                    });
        }
    }

    // ---- 3: a loss right after a repair

    private static long memberCount(ControlProcess process) {
        String list = process.status().replaceAll(".* members=\\[([^\\]]*)\\].*", "$1");
        return list.isEmpty() ? 0 : Arrays.stream(list.split(", ")).count();
    }

    private static boolean isMember(String ip, String status) {
        return status.matches(".* members=\\[([^\\]]*, )?" + ip.replace(".", "\\.") + "/.*");
    }

    private static boolean isMember(ControlProcess member, ControlProcess observer) {
        String status = observer.status();
        String ownStatus = member.status();
        return isMember(member.ip, status)
                && !status.contains(" outgoing=")
                && !ownStatus.isEmpty()
                && !ownStatus.contains(" learner");
    }

    /**
     * Guards against a repair that leaves a majority that is none: the next loss comes as soon as
     * the repaired one counts.
     */
    @Test
    @Execution(ExecutionMode.CONCURRENT)
    void toleratesNextLossRightAfterRepair() throws Exception {
        startThreeProcesses();
        replaceUntilAcknowledged(configuration(2, 502), List.of(a, b, c));
        String memberList = c.status().replaceAll(".* members=(\\[[^\\]]*\\]).*", "$1");
        c.kill();
        c.deleteData();
        replaceUntilAcknowledged(configuration(3, 503), List.of(a, b));
        c.start(false, List.of(a, b, c));
        awaitRunning(List.of(c));
        waitUntil(
                "the one whose disk was lost is a member again, as another",
                () -> isMember(c, a) && isMember(c, b) && !a.status().contains(memberList));
        assertEquals(3, memberCount(a));
        a.kill();
        replaceUntilAcknowledged(configuration(4, 504), List.of(b, c));
        waitUntil(
                "both read what was acknowledged",
                () ->
                        b.readConfiguration().body().equals(configuration(4, 504))
                                && c.readConfiguration().body().equals(configuration(4, 504)));
        // Another machine takes the place of the one that is gone; only the living are told to it.
        ControlProcess d = newProcess(4);
        d.start(false, List.of(b, c));
        awaitRunning(List.of(d));
        // Each by one look at its status: the set without the first one counts alone.
        waitUntil(
                "the new machine is a member, and the one that is gone is none",
                () ->
                        isMember(d, c)
                                && List.of(b, c).stream()
                                        .map(ControlProcess::status)
                                        .allMatch(
                                                is ->
                                                        isMember(d.ip, is)
                                                                && !isMember(a.ip, is)
                                                                && !is.contains(" outgoing=")));
        // Both have accepted that; the repair is over once it is known to be decided where somebody
        // stays who knows it.
        waitUntil("the repair is known to be over", () -> c.readConfiguration().status() == 200);
        b.kill();
        replaceUntilAcknowledged(configuration(5, 505), List.of(c, d));
        for (ControlProcess one : List.of(c, d)) {
            waitUntil(
                    "the two that are left read it",
                    () -> one.readConfiguration().body().equals(configuration(5, 505)));
        }
        // The first one comes back with its disk, and with what it knew when it went.
        a.start(false, List.of(a, b, c));
        awaitRunning(List.of(a));
        waitUntil(
                "who was away reads the newest, and never an older one",
                () -> {
                    ControlProcess.Response is = a.readConfiguration();
                    assertTrue(is.status() != 200 || revision(is) == 5, is.body());
                    return is.status() == 200;
                });
    }

    // ---- 4: far behind

    /** Guards against a member that never catches up, or answers with what it had. */
    @Test
    @Execution(ExecutionMode.CONCURRENT)
    void catchesUpAfterAHundredChanges() throws Exception {
        startThreeProcesses();
        c.kill();
        ExecutorService operators = Executors.newFixedThreadPool(8);
        List<Future<?>> orders = new ArrayList<>();
        for (int v = 2; v <= 101; v++) {
            String order = configuration(v, 500 + v);
            orders.add(
                    operators.submit(
                            () -> {
                                replaceUntilAcknowledged(order, List.of(a, b));
                                return null;
                            }));
        }
        operators.shutdown();
        for (Future<?> order : orders) {
            order.get(30, TimeUnit.SECONDS);
        }
        c.start(false, List.of(a, b, c));
        long startNanos = System.nanoTime();
        waitUntil(
                "it reads the newest, and never an older one",
                () -> {
                    ControlProcess.Response response = c.readConfiguration();
                    assertTrue(
                            response.status() != 200 || revision(response) == 101, response.body());
                    return response.status() == 200;
                });
        long tookMillis = (System.nanoTime() - startNanos) / 1_000_000;
        assertTrue(tookMillis < 6_000, tookMillis + " ms until it read the newest");
        a.kill();
        replaceUntilAcknowledged(configuration(102, 900), List.of(b, c));
    }

    // ---- 5: calls on one connection

    /**
     * Guards against an answer that finds another call than its own, on one connection and beside
     * others.
     */
    @Test
    @Execution(ExecutionMode.CONCURRENT)
    void answersPipelinedCallsInOrder() throws Exception {
        startThreeProcesses();
        replaceUntilAcknowledged(configuration(2, 502), a);
        try (Socket pipelined = a.connect();
                Socket readers = a.connect()) {
            byte[] tooLong =
                    ControlProcess.request(
                            "POST", "/Configuration.Replace", "x".repeat(1 << 20) + "x", false);
            for (byte[] next :
                    List.of(
                            ControlProcess.request(
                                    "POST", "/Configuration.Replace", configuration(3, 503), false),
                            ControlProcess.request("GET", "/none", "", false),
                            ControlProcess.request("POST", "/Configuration.Replace", "{", false),
                            tooLong,
                            ControlProcess.request("GET", "/status", "", false),
                            ControlProcess.request(
                                    "POST", "/Configuration.Replace", configuration(2, 502), false),
                            ControlProcess.request("DELETE", "/Configuration.Read", "", false),
                            ControlProcess.request("GET", "/Configuration.Read", "", true),
                            ControlProcess.request(
                                    "POST",
                                    "/Configuration.Replace",
                                    configuration(9, 509),
                                    true))) {
                pipelined.getOutputStream().write(next);
                readers.getOutputStream()
                        .write(ControlProcess.request("GET", "/Configuration.Read", "", false));
            }
            List<Integer> statuses = new ArrayList<>();
            ControlProcess.Response read = null;
            for (int i = 0; i < 8; i++) {
                read = ControlProcess.receive(pipelined);
                statuses.add(read.status());
            }
            assertEquals(List.of(200, 404, 400, 413, 200, 200, 405, 200), statuses);
            assertEquals(configuration(3, 503), read.body());
            assertEquals(
                    0,
                    ControlProcess.receive(pipelined).status(),
                    "nothing is taken behind the last call");
            long newest = 0;
            for (int i = 0; i < 9; i++) {
                ControlProcess.Response response = ControlProcess.receive(readers);
                assertEquals(200, response.status());
                assertTrue(revision(response) >= newest, "reads on one connection go back");
                newest = revision(response);
            }
            assertNotEquals(9, newest);
        }
    }
}
