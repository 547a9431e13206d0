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
    private final List<ControlProcess> all = new ArrayList<>();
    private ControlProcess a;
    private ControlProcess b;
    private ControlProcess c;
    private int[] ports;
    private String platform = "127.0.0.1:1";

    @BeforeEach
    void ports() throws IOException {
        ports = ControlProcess.ports();
    }

    private ControlProcess control(int number) {
        ControlProcess is = new ControlProcess("127.0.77." + number, dir, ports, platform);
        all.add(is);
        return is;
    }

    private void found() throws Exception {
        a = control(1);
        b = control(2);
        c = control(3);
        begin();
    }

    private void begin() throws Exception {
        List<ControlProcess> seeds = List.copyOf(all);
        for (ControlProcess one : seeds) {
            one.start(true, seeds);
        }
        up(seeds);
        acknowledged(configuration(1, 500), seeds);
        until(
                "all three answer a read",
                () -> seeds.stream().allMatch(one -> one.read().status() == 200));
    }

    /** What a machine under load takes until programs run is no part of any scene. */
    private void up(List<ControlProcess> started) throws Exception {
        until(
                60,
                "programs run: " + started.size(),
                () -> started.stream().noneMatch(one -> one.status().isEmpty()));
    }

    @AfterEach
    void end() throws Exception {
        for (ControlProcess one : all) {
            if (one.runs()) {
                one.signal("CONT");
                one.kill();
            }
        }
    }

    private String told() {
        StringBuilder text = new StringBuilder();
        all.forEach(
                one ->
                        text.append(one.ip)
                                .append(' ')
                                .append(one.runs() ? one.status() : "down")
                                .append('\n')
                                .append(one.log()));
        return text.toString();
    }

    private void until(String what, Callable<Boolean> is) throws Exception {
        until(12, what, is);
    }

    private void until(long seconds, String what, Callable<Boolean> is) throws Exception {
        for (long end = System.nanoTime() + seconds * 1_000_000_000L; !is.call(); ) {
            if (System.nanoTime() > end) {
                throw new AssertionError(
                        "waited " + seconds + " s in vain until " + what + "\n" + told());
            }
            Thread.sleep(20);
        }
    }

    private static String configuration(long version, int timeout) {
        return ("{'revision_number':"
                        + version
                        + ",'routes':[{'name':'r','host_name':'h','path_prefix':'/','route_kind':'primary',"
                        + "'timeout_ms':"
                        + timeout
                        + ",'service':'db'}],'services':[{'name':'db','connection_limit':50,"
                        + "'synchronous_replicas':1}]}")
                .replace('\'', '"');
    }

    private static long version(ControlProcess.Answer of) {
        return Json.parse(of.body()).asObject().getLong("revision_number", -1);
    }

    /**
     * As an operator does: again, to one after the other, until it is acknowledged; no answer may
     * be a refusal.
     */
    private void acknowledged(String order, List<ControlProcess> at) throws Exception {
        int[] next = new int[1];
        until(
                "an order is acknowledged by one of " + at.size(),
                () -> {
                    int status = at.get(next[0]++ % at.size()).replace(order).status();
                    assertTrue(
                            status < 400 || status >= 500,
                            () -> status + " for a valid order\n" + told());
                    return status == 200;
                });
    }

    /** That one itself acknowledges it within some tries, each without a refusal. */
    private void acknowledged(String order, ControlProcess at) throws Exception {
        acknowledged(order, List.of(at));
    }

    // ---- 1: out of contact

    /**
     * Guards against a process that runs, and answers, but reaches no other: what it says is not
     * current.
     */
    @Test
    @Execution(ExecutionMode.CONCURRENT)
    void isolatedProcessNeitherConfirmsNorRefusesNorServes() throws Exception {
        found();
        b.signal("STOP");
        c.signal("STOP");
        List<Integer> orders = new ArrayList<>();
        List<Integer> reads = new ArrayList<>();
        long from = System.nanoTime();
        for (int i = 0; System.nanoTime() - from < 2_400_000_000L; i++) {
            orders.add(a.replace(configuration(10 + i, 600)).status());
            reads.add(a.read().status());
        }
        for (int status : orders) {
            assertTrue(
                    status == 0 || status == 503 || status == 307,
                    "orders at the cut-off one: " + orders);
        }
        for (int status : reads) {
            assertTrue(
                    status == 0 || status == 503 || status == 307,
                    "reads at the cut-off one: " + reads);
        }
        assertTrue(orders.size() >= 3, "it answers within a second each: " + orders);
        b.signal("CONT");
        c.signal("CONT");
        acknowledged(configuration(1_000, 700), List.of(b, c, a));
        until(
                "a read at the one that was cut off is the newest",
                () -> {
                    ControlProcess.Answer is = a.read();
                    assertTrue(
                            is.status() == 503 || is.status() == 0 || version(is) == 1_000,
                            is.body());
                    return is.status() == 200;
                });
    }

    /**
     * Relays between all three, by who dials and whom: each knows the others by an inner port that
     * is only its own.
     */
    private Map<String, TcpRelay> foundBehindRelays() throws Exception {
        int[] inner = {
            0, ControlProcess.ports()[0], ControlProcess.ports()[0], ControlProcess.ports()[0]
        };
        for (int i = 1; i <= 3; i++) {
            all.add(
                    new ControlProcess(
                            "127.0.77." + i, dir, new int[] {ports[0], inner[i]}, platform));
        }
        a = all.get(0);
        b = all.get(1);
        c = all.get(2);
        Map<String, TcpRelay> relays = new TreeMap<>();
        for (int i = 1; i <= 3; i++) {
            for (int j = 1; j <= 3; j++) {
                if (i != j) {
                    relays.put(
                            i + ">" + j,
                            new TcpRelay(
                                    new InetSocketAddress("127.0.77." + j, inner[i]),
                                    new InetSocketAddress("127.0.77." + j, inner[j])));
                }
            }
        }
        begin();
        return relays;
    }

    /**
     * Guards against a process that the network cuts off while it runs, wholly or one way, and its
     * callers still reach it.
     */
    @Test
    @Execution(ExecutionMode.CONCURRENT)
    void partitionedProcessNeitherConfirmsNorRefusesNorServes() throws Exception {
        Map<String, TcpRelay> relays = foundBehindRelays();
        try {
            int version = 1;
            for (boolean[] lost : new boolean[][] {{true, true}, {true, false}, {false, true}}) {
                String what = "its words are lost: " + lost[0] + ", those to it: " + lost[1];
                relays.forEach(
                        (way, relay) -> {
                            if (way.startsWith("1")) {
                                relay.lose(lost[0], lost[1]);
                            } else if (way.endsWith("1")) {
                                relay.lose(lost[1], lost[0]);
                            }
                        });
                long from = System.nanoTime();
                int newest = version + 2;
                acknowledged(configuration(newest, 500 + newest), List.of(b, c));
                List<Integer> answers = new ArrayList<>();
                long last = from;
                while (last - from < 2_400_000_000L) {
                    last = System.nanoTime();
                    for (ControlProcess.Answer is :
                            List.of(
                                    a.replace(configuration(version + 1, 600 + version)),
                                    a.read())) {
                        answers.add(is.status());
                        assertTrue(
                                is.status() == 503 || is.status() == 307,
                                () -> what + ": " + answers + "\n" + told());
                    }
                }
                long asked = System.nanoTime();
                assertEquals(307, a.read().status(), what);
                long took = (System.nanoTime() - asked) / 1_000_000;
                assertTrue(
                        a.status().contains(" alone ") && took < 500,
                        what
                                + ": it knows by now, and says so at once: "
                                + took
                                + " ms, "
                                + a.status());
                relays.values().forEach(TcpRelay::heal);
                until(
                        "a read at the one that was cut off is the newest; " + what,
                        () -> {
                            ControlProcess.Answer is = a.read();
                            assertTrue(
                                    is.status() == 503
                                            || is.status() == 307
                                            || version(is) == newest,
                                    is.status() + " " + is.body());
                            return is.status() == 200;
                        });
                version = newest + 1;
                acknowledged(configuration(version, 500 + version), a);
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
        found();
        a.signal("STOP");
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Socket read = a.connect();
            read.getOutputStream()
                    .write(ControlProcess.request("GET", "/Configuration.Read", "", true));
            waiting.add(read);
        }
        for (int v = 2; v <= 6; v++) {
            acknowledged(configuration(v, 500 + v), List.of(b, c));
        }
        // The lease, had it one, is over, and others have it.
        until("another holds the lease", () -> holds(b.status()) || holds(c.status()));
        a.signal("CONT");
        for (Socket read : waiting) {
            ControlProcess.Answer is = ControlProcess.hear(read);
            assertTrue(
                    is.status() == 0
                            || is.status() == 503
                            || is.status() == 307
                            || version(is) == 6,
                    is.status() + " " + is.body());
            read.close();
        }
        until(
                "it answers a read with the newest",
                () -> {
                    ControlProcess.Answer is = a.read();
                    assertTrue(is.status() != 200 || version(is) == 6, is.body());
                    return is.status() == 200;
                });
    }

    // ---- 1 and 5: an old lease

    /** One call of the platform. */
    private record Call(long fence, String holder, String instance) {}

    /**
     * The platform, and three hollow servers of one service: what they were told, in the order in
     * which it came.
     */
    private final class Cloud implements AutoCloseable {
        final ServerSocket door = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final NettyEnvironment host = new NettyEnvironment(7);
        final List<Call> calls = Collections.synchronizedList(new ArrayList<>());
        final List<String> words = Collections.synchronizedList(new ArrayList<>());

        /** The next call, and all of whoever makes it, are not answered before this is over. */
        final AtomicReference<CountDownLatch> holds = new AtomicReference<>();

        private String unanswered = "";
        private final String[] addresses = new String[4];
        volatile int leads = 1;

        /** The term that a PAUSE named, by server, until it is resumed or another is promoted. */
        private final long[] paused = new long[4];

        volatile boolean firstIsDead;
        private volatile long fence;

        Cloud() throws IOException {
            Thread thread =
                    new Thread(
                            () -> {
                                while (!door.isClosed()) {
                                    try {
                                        Socket socket = door.accept();
                                        Thread one = new Thread(() -> meet(socket));
                                        one.setDaemon(true);
                                        one.start();
                                    } catch (IOException closed) {
                                        return;
                                    }
                                }
                            });
            thread.setDaemon(true);
            thread.start();
            for (int i = 1; i <= 3; i++) {
                try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                    addresses[i] = "127.0.0.1:" + free.getLocalPort();
                }
                int number = i;
                host.listen(addresses[i], Environment.Framing.LINES, h -> new Server(number));
            }
        }

        String address() {
            return "127.0.0.1:" + door.getLocalPort();
        }

        private void meet(Socket socket) {
            try (socket) {
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.US_ASCII));
                long number = -1;
                String holder = "";
                int length = 0;
                for (String line = in.readLine();
                        line != null && !line.isEmpty();
                        line = in.readLine()) {
                    String value = line.substring(line.indexOf(':') + 1).strip();
                    String name = line.toLowerCase(java.util.Locale.ROOT);
                    number =
                            name.startsWith("dillfront-fence-number:")
                                    ? Long.parseLong(value)
                                    : number;
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
                CountDownLatch held;
                int status;
                synchronized (this) {
                    calls.add(new Call(number, holder, instance));
                    unanswered = holds.get() != null && unanswered.isEmpty() ? holder : unanswered;
                    held = holder.equals(unanswered) ? holds.get() : null;
                    status = number < fence ? 409 : 200;
                    fence = Math.max(fence, number);
                    if (status == 200 && held == null) {
                        leads = Integer.parseInt(instance.substring(2));
                        Arrays.fill(paused, 0);
                    }
                }
                if (held != null) {
                    held.await();
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
        void beats(int number, long sequence) {
            host.schedule(
                    200,
                    () -> {
                        if (number != 1 || !firstIsDead) {
                            String body =
                                    Json.object()
                                            .add("service", "db")
                                            .add("address", addresses[number])
                                            .add("zone_name", "z")
                                            .add("state", "ready")
                                            .add(
                                                    "database_role",
                                                    leads == number ? "primary" : "replica")
                                            .add("call_sequence", sequence)
                                            .toString();
                            for (ControlProcess one : List.of(a, b, c)) {
                                host.post(
                                        one.ip + ":" + ports[0],
                                        "/Instances.Heartbeat/i-" + number,
                                        body,
                                        Map.of(),
                                        1_000);
                            }
                        }
                        beats(number, sequence + 1);
                    });
        }

        private final class Server implements Environment.ConnectionListener {
            private final int number;
            private Environment.Connection link;

            Server(int number) {
                this.number = number;
            }

            @Override
            public void onOpen(Environment.Connection opened) {
                link = opened;
            }

            @Override
            public void onMessage(byte[] message) {
                String line = new String(message, StandardCharsets.US_ASCII);
                words.add(number + " " + line);
                if (number == 1 && firstIsDead) {
                    return;
                }
                long held;
                synchronized (Cloud.this) {
                    paused[number] =
                            line.startsWith("QUERY - PAUSE ")
                                    ? Long.parseLong(line.substring(14))
                                    : line.equals("QUERY - RESUME") ? 0 : paused[number];
                    held = paused[number];
                }
                if (!line.equals("GOODBYE")) {
                    link.send(
                            (line.startsWith("CONNECT")
                                            ? "READY I 1.1"
                                            : "ROW "
                                                    + (leads == number ? "primary" : "replica")
                                                    + " 1 1.1 "
                                                    + held
                                                    + " 0 0 1\r\nCOMPLETE -\r\nREADY I 1.1")
                                    .getBytes(StandardCharsets.US_ASCII));
                }
            }

            @Override
            public void onClose(String why) {
                // It comes again.
            }
        }

        @Override
        public void close() throws IOException {
            door.close();
            host.eventLoop().parent().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }

    /** By its own status; "held=" is the version that it has, whoever holds the lease. */
    private static boolean holds(String status) {
        return status.matches(".* lease=\\d+ held promised=.*");
    }

    private ControlProcess holder() {
        return all.stream().filter(one -> holds(one.status())).findFirst().orElse(null);
    }

    private static boolean leads(int number, String status) {
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
    void expiredLeaseActsNoMore() throws Exception {
        try (Cloud cloud = new Cloud()) {
            platform = cloud.address();
            found();
            for (int i = 1; i <= 3; i++) {
                cloud.beats(i, 1);
            }
            until(
                    "the first is recorded as the primary",
                    () -> {
                        String status =
                                all.stream()
                                        .map(ControlProcess::status)
                                        .filter(ControlProcessTest::holds)
                                        .findFirst()
                                        .orElse("");
                        return leads(1, status);
                    });
            CountDownLatch held = new CountDownLatch(1);
            int before = cloud.calls.size();
            cloud.holds.set(held);
            cloud.firstIsDead = true;
            until(
                    "the platform has a call that it does not answer",
                    () -> cloud.calls.size() > before);
            // Whoever called holds the lease: the call's fence is a number within it.
            Call first = cloud.calls.get(before);
            ControlProcess old =
                    all.stream()
                            .filter(one -> first.holder().equals("core-" + one.ip))
                            .findFirst()
                            .orElseThrow();
            old.signal("STOP");
            List<Call> open = List.copyOf(cloud.calls);
            assertTrue(
                    open.subList(before, open.size()).stream().allMatch(first::equals),
                    "more than one call, and sent again: " + open);
            assertEquals(1, cloud.leads, "the call is not carried out when its caller is stopped");
            List<ControlProcess> others = all.stream().filter(one -> one != old).toList();
            until(
                    "another has named a primary, and it leads",
                    () ->
                            cloud.leads != 1
                                    && others.stream()
                                            .allMatch(one -> leads(cloud.leads, one.status())));
            acknowledged(configuration(5, 900), others);
            int calls = cloud.calls.size();
            int words = cloud.words.size();
            int leads = cloud.leads;
            // What the platform said then comes only now.
            held.countDown();
            old.signal("CONT");
            // Not the highest number that anyone had promised a moment before: that may be one to
            // itself, which came to nothing.
            until(
                    "the old holder has promised the newer lease to its holder, and knows of the primary",
                    () -> {
                        String newer =
                                others.stream()
                                        .map(ControlProcess::status)
                                        .filter(ControlProcessTest::holds)
                                        .findFirst()
                                        .orElse("");
                        String is = old.status();
                        return !newer.isEmpty()
                                && !holds(is)
                                && promise(is).equals(promise(newer))
                                && leads(leads, is);
                    });
            ControlProcess.Answer read = old.read();
            assertTrue(read.status() != 200 || version(read) == 5, read.body());
            List<Call> made = List.copyOf(cloud.calls);
            List<String> said = List.copyOf(cloud.words).subList(words, cloud.words.size());
            assertTrue(
                    made.subList(calls, made.size()).stream()
                            .noneMatch(call -> call.holder().equals("core-" + old.ip)),
                    "made " + made);
            assertTrue(
                    said.stream()
                            .noneMatch(
                                    word ->
                                            word.contains(" PAUSE ")
                                                    || word.contains(" STEPDOWN ")),
                    "said " + said);
            for (int i = 1; i < made.size(); i++) {
                Call is = made.get(i);
                assertTrue(is.fence() >= made.get(i - 1).fence(), "a fence that falls: " + made);
                assertTrue(
                        made.stream()
                                .noneMatch(
                                        other ->
                                                other.fence() == is.fence()
                                                        && !other.holder().equals(is.holder())),
                        "one fence, two holders: " + made);
            }
            assertEquals(leads, cloud.leads);
        }
    }

    /**
     * A data plane that knows of acknowledged commits which no replica has: it says so once, and is
     * gone.
     */
    private void tellsOfCommits(Cloud cloud, ControlProcess to) {
        cloud.host
                .eventLoop()
                .execute(
                        () ->
                                cloud.host.connect(
                                        to.ip + ":" + ports[1],
                                        Environment.Framing.FRAMES,
                                        1_000,
                                        new Environment.ConnectionListener() {
                                            @Override
                                            public void onOpen(Environment.Connection link) {
                                                link.send(
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
                                            public void onClose(String why) {
                                                // Nor come again.
                                            }
                                        }));
    }

    private static JsonObject lacking(ControlProcess at) {
        ControlProcess.Answer is = at.call("GET", "/status", "");
        JsonArray all =
                is.status() == 200
                        ? Json.parse(is.body()).asObject().get("lacking").asArray()
                        : Json.array().asArray();
        return all.isEmpty() ? null : all.get(0).asObject();
    }

    /**
     * A person gives up commits that only the lost primary had; the holder is killed as soon as it
     * is accepted.
     */
    @Test
    void nextHolderGoesOnWithAcceptedLoss() throws Exception {
        try (Cloud cloud = new Cloud()) {
            platform = cloud.address();
            found();
            for (int i = 1; i <= 3; i++) {
                cloud.beats(i, 1);
            }
            until(
                    "the first is recorded as the primary",
                    () -> {
                        ControlProcess holder = holder();
                        return holder != null
                                && holder.status().matches(".*db primary=i-1(?! moving).*");
                    });
            all.forEach(one -> tellsOfCommits(cloud, one));
            ControlProcess.Answer early =
                    a.call(
                            "POST",
                            "/Services.AcceptDataLoss",
                            "{'service':'db','move':'7','log_position':'1.1','least_acknowledged':'1.5',"
                                            .replace('\'', '"')
                                    + "\"most_acknowledged\":\"1.6\"}");
            assertEquals(409, early.status(), early.body());
            cloud.firstIsDead = true;
            until(
                    "each says what is lacking",
                    () -> all.stream().allMatch(one -> lacking(one) != null));
            int calls = cloud.calls.size();
            JsonObject shown = lacking(a);
            assertEquals(
                    "1.1 1.5 1.6",
                    shown.getString("log_position", "")
                            + " "
                            + shown.getString("least_acknowledged", "")
                            + " "
                            + shown.getString("most_acknowledged", ""));
            until(
                    "its holder says so in a line",
                    () -> {
                        ControlProcess holder = holder();
                        return holder != null
                                && holder.status().contains(" lacking=1.5..1.6 longest_log=1.1");
                    });
            ControlProcess old = holder();
            ControlProcess other = all.stream().filter(one -> one != old).findFirst().orElseThrow();
            for (String wrong :
                    new String[] {
                        "move", "log_position", "least_acknowledged", "most_acknowledged"
                    }) {
                JsonObject not =
                        Json.parse(shown.toString())
                                .asObject()
                                .set(wrong, wrong.equals("move") ? "7" : "1.2");
                assertEquals(
                        409,
                        other.call("POST", "/Services.AcceptDataLoss", not.toString()).status(),
                        not.toString());
            }
            assertEquals(calls, cloud.calls.size(), "nobody is named yet");
            until(
                    "it is accepted, at one that does not hold the duty",
                    () -> {
                        int status =
                                other.call("POST", "/Services.AcceptDataLoss", shown.toString())
                                        .status();
                        assertTrue(status == 200 || status == 503, status + "\n" + told());
                        return status == 200;
                    });
            old.kill();
            until(
                    "another leads",
                    () ->
                            cloud.leads != 1
                                    && other.status()
                                            .matches(
                                                    ".*db primary=i-"
                                                            + cloud.leads
                                                            + "(?! moving).*"));
            for (ControlProcess one : all) {
                until(
                        "it is accepted where it was, and at the other",
                        () -> {
                            int status =
                                    one == old
                                            ? 200
                                            : one.call(
                                                            "POST",
                                                            "/Services.AcceptDataLoss",
                                                            shown.toString())
                                                    .status();
                            assertTrue(status == 200 || status == 503, status + "\n" + told());
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
        found();
        ExecutorService two = Executors.newFixedThreadPool(2);
        int refused = 0;
        try {
            for (int v = 2; v <= 8; v++) {
                String one = configuration(v, 1_000 + v);
                String other = configuration(v, 2_000 + v);
                Future<ControlProcess.Answer> first = two.submit(() -> a.replace(one));
                Future<ControlProcess.Answer> second = two.submit(() -> b.replace(other));
                int statusOne = first.get(5, TimeUnit.SECONDS).status();
                int statusOther = second.get(5, TimeUnit.SECONDS).status();
                assertTrue(
                        statusOne != 200 || statusOther != 200,
                        "both are confirmed under " + v + "\n" + told());
                String decided = statusOne == 200 ? one : statusOther == 200 ? other : null;
                if (decided != null) {
                    refused++;
                    int number = v;
                    // It may say that it can't tell just now, but nothing else than what was
                    // decided.
                    until(
                            "the third reads what was decided under " + v,
                            () -> {
                                ControlProcess.Answer is = c.read();
                                assertTrue(
                                        is.status() != 200 || is.body().equals(decided),
                                        () -> "in force under " + number + ": " + is.body());
                                assertTrue(
                                        is.status() < 400 || is.status() >= 500,
                                        () -> is.status() + " " + is.body());
                                return is.status() == 200;
                            });
                }
            }
        } finally {
            two.shutdownNow();
        }
        assertTrue(refused > 0, "no race was decided for either");
        // The answer is lost on its way: nobody hears it.
        String order = configuration(50, 800);
        try (Socket lost = a.connect()) {
            lost.getOutputStream()
                    .write(ControlProcess.request("POST", "/Configuration.Replace", order, true));
            lost.setSoLinger(true, 0);
        }
        acknowledged(order, b);
        acknowledged(order, c);
        acknowledged(configuration(51, 801), a);
        for (ControlProcess one : all) {
            one.kill();
        }
        for (ControlProcess one : all) {
            one.start(false, List.of(a, b, c));
        }
        up(all);
        for (ControlProcess one : all) {
            acknowledged(order, one);
            acknowledged(configuration(51, 801), one);
        }
        for (ControlProcess one : all) {
            until(
                    "it reads the newest, which an older one sent again has not changed",
                    () -> {
                        ControlProcess.Answer is = one.read();
                        assertTrue(is.status() != 200 || version(is) == 51, is.body());
                        return is.status() == 200;
                    });
        }
    }

    // ---- 3: a loss right after a repair

    private static long members(ControlProcess of) {
        String list = of.status().replaceAll(".* members=\\[([^\\]]*)\\].*", "$1");
        return list.isEmpty() ? 0 : Arrays.stream(list.split(", ")).count();
    }

    private static boolean memberOf(String ip, String status) {
        return status.matches(".* members=\\[([^\\]]*, )?" + ip.replace(".", "\\.") + "/.*");
    }

    private static boolean memberOf(ControlProcess one, ControlProcess says) {
        String status = says.status();
        String own = one.status();
        return memberOf(one.ip, status)
                && !status.contains(" outgoing=")
                && !own.isEmpty()
                && !own.contains(" learner");
    }

    /**
     * Guards against a repair that leaves a majority that is none: the next loss comes as soon as
     * the repaired one counts.
     */
    @Test
    @Execution(ExecutionMode.CONCURRENT)
    void bearsNextLossRightAfterARepair() throws Exception {
        found();
        acknowledged(configuration(2, 502), List.of(a, b, c));
        String was = c.status().replaceAll(".* members=(\\[[^\\]]*\\]).*", "$1");
        c.kill();
        c.empty();
        acknowledged(configuration(3, 503), List.of(a, b));
        c.start(false, List.of(a, b, c));
        up(List.of(c));
        until(
                "the one whose disk was lost is a member again, as another",
                () -> memberOf(c, a) && memberOf(c, b) && !a.status().contains(was));
        assertEquals(3, members(a));
        a.kill();
        acknowledged(configuration(4, 504), List.of(b, c));
        until(
                "both read what was acknowledged",
                () ->
                        b.read().body().equals(configuration(4, 504))
                                && c.read().body().equals(configuration(4, 504)));
        // Another machine takes the place of the one that is gone; only the living are told to it.
        ControlProcess d = control(4);
        d.start(false, List.of(b, c));
        up(List.of(d));
        // Each by one look at its status: the set without the first one counts alone.
        until(
                "the new machine is a member, and the one that is gone is none",
                () ->
                        memberOf(d, c)
                                && List.of(b, c).stream()
                                        .map(ControlProcess::status)
                                        .allMatch(
                                                is ->
                                                        memberOf(d.ip, is)
                                                                && !memberOf(a.ip, is)
                                                                && !is.contains(" outgoing=")));
        // Both have accepted that; the repair is over once it is known to be decided where somebody
        // stays who knows it.
        until("the repair is known to be over", () -> c.read().status() == 200);
        b.kill();
        acknowledged(configuration(5, 505), List.of(c, d));
        for (ControlProcess one : List.of(c, d)) {
            until(
                    "the two that are left read it",
                    () -> one.read().body().equals(configuration(5, 505)));
        }
        // The first one comes back with its disk, and with what it knew when it went.
        a.start(false, List.of(a, b, c));
        up(List.of(a));
        until(
                "who was away reads the newest, and never an older one",
                () -> {
                    ControlProcess.Answer is = a.read();
                    assertTrue(is.status() != 200 || version(is) == 5, is.body());
                    return is.status() == 200;
                });
    }

    // ---- 4: far behind

    /** Guards against a member that never catches up, or answers with what it had. */
    @Test
    @Execution(ExecutionMode.CONCURRENT)
    void catchesUpAfterAHundredChanges() throws Exception {
        found();
        c.kill();
        ExecutorService operators = Executors.newFixedThreadPool(8);
        List<Future<?>> orders = new ArrayList<>();
        for (int v = 2; v <= 101; v++) {
            String order = configuration(v, 500 + v);
            orders.add(
                    operators.submit(
                            () -> {
                                acknowledged(order, List.of(a, b));
                                return null;
                            }));
        }
        operators.shutdown();
        for (Future<?> order : orders) {
            order.get(30, TimeUnit.SECONDS);
        }
        c.start(false, List.of(a, b, c));
        long from = System.nanoTime();
        until(
                "it reads the newest, and never an older one",
                () -> {
                    ControlProcess.Answer is = c.read();
                    assertTrue(is.status() != 200 || version(is) == 101, is.body());
                    return is.status() == 200;
                });
        long took = (System.nanoTime() - from) / 1_000_000;
        assertTrue(took < 6_000, took + " ms until it read the newest");
        a.kill();
        acknowledged(configuration(102, 900), List.of(b, c));
    }

    // ---- 5: calls on one connection

    /**
     * Guards against an answer that finds another call than its own, on one connection and beside
     * others.
     */
    @Test
    @Execution(ExecutionMode.CONCURRENT)
    void answersPipelinedCallsInOrder() throws Exception {
        found();
        acknowledged(configuration(2, 502), a);
        try (Socket one = a.connect();
                Socket other = a.connect()) {
            byte[] long1 =
                    ControlProcess.request(
                            "POST", "/Configuration.Replace", "x".repeat(1 << 20) + "x", false);
            for (byte[] next :
                    List.of(
                            ControlProcess.request(
                                    "POST", "/Configuration.Replace", configuration(3, 503), false),
                            ControlProcess.request("GET", "/none", "", false),
                            ControlProcess.request("POST", "/Configuration.Replace", "{", false),
                            long1,
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
                one.getOutputStream().write(next);
                other.getOutputStream()
                        .write(ControlProcess.request("GET", "/Configuration.Read", "", false));
            }
            List<Integer> statuses = new ArrayList<>();
            ControlProcess.Answer read = null;
            for (int i = 0; i < 8; i++) {
                read = ControlProcess.hear(one);
                statuses.add(read.status());
            }
            assertEquals(List.of(200, 404, 400, 413, 200, 200, 405, 200), statuses);
            assertEquals(configuration(3, 503), read.body());
            assertEquals(
                    0, ControlProcess.hear(one).status(), "nothing is taken behind the last call");
            long newest = 0;
            for (int i = 0; i < 9; i++) {
                ControlProcess.Answer is = ControlProcess.hear(other);
                assertEquals(200, is.status());
                assertTrue(version(is) >= newest, "reads on one connection go back");
                newest = version(is);
            }
            assertNotEquals(9, newest);
        }
    }
}
