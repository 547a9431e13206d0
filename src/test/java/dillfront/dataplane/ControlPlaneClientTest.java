package dillfront.dataplane;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.config.Configuration;
import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import dillfront.common.environment.ManualEnvironment;
import dillfront.common.message.BinaryDelta;
import dillfront.common.message.Compression;
import dillfront.common.message.MessageCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * A front among control processes that are played by hand: some know more than others, some are
 * gone, some are alone.
 */
class ControlPlaneClientTest {

    /** One control process, and what it answers. */
    private final class ControlProcessStub {
        final String ip;
        boolean running = true;
        boolean isolated;

        /** It says nothing at all, to a dial neither. */
        boolean unresponsive;

        long revision = -1;

        /** What it sends in the place of the configuration, where not null. */
        byte[] replacementDelta;

        List<Object> addresses;
        int connectCount;
        int requestCount;
        FakeConnection connection;

        ControlProcessStub(String ip) {
            this.ip = ip;
            controlProcesses.put(ip + ":7400", this);
        }

        void respond(FakeConnection to, MessageCodec.Fields in) {
            requestCount++;
            environment.trace(ip);
            Map<String, Object> out = new HashMap<>();
            out.put("q", in.number("q", 0));
            long has = in.number("c", -1);
            requests.add(in);
            if (isolated) {
                out.put("alone", true);
            } else {
                if (has < revision) {
                    byte[] base = configurations.get(has);
                    out.put("cv", revision);
                    if (replacementDelta != null && !in.flag("cw")) {
                        out.put("cx", replacementDelta);
                    } else if (base != null && !in.flag("cw")) {
                        out.put("cx", BinaryDelta.create(base, configurations.get(revision)));
                    } else {
                        out.put("cz", Compression.compress(configurations.get(revision)));
                    }
                }
                if (addresses != null) {
                    out.put("cp", addresses);
                }
            }
            boolean waits = !isolated && has >= revision;
            environment.at(
                    waits ? 600 : 1,
                    () -> {
                        if (to.isOpen && running && !unresponsive) {
                            to.listener.onMessage(MessageCodec.encode(out));
                        }
                    });
        }
    }

    /** The front's end of a connection. */
    private final class FakeConnection implements Environment.Connection {
        final Environment.ConnectionListener listener;
        final ControlProcessStub target;
        boolean isOpen = true;

        FakeConnection(Environment.ConnectionListener ear, ControlProcessStub to) {
            this.listener = ear;
            this.target = to;
        }

        @Override
        public void send(byte[] message) {
            environment.at(
                    1,
                    () -> {
                        try {
                            if (isOpen && target.running && !target.unresponsive) {
                                target.respond(this, MessageCodec.decode(message));
                            }
                        } catch (MessageCodec.MalformedMessageException bad) {
                            throw new AssertionError(bad);
                        }
                    });
        }

        @Override
        public void close() {
            isOpen = false;
        }

        @Override
        public long pendingBytes() {
            return 0;
        }
    }

    private final Map<String, ControlProcessStub> controlProcesses = new TreeMap<>();
    private final List<MessageCodec.Fields> requests = new ArrayList<>();
    private final TreeMap<Long, byte[]> configurations = new TreeMap<>();

    private final class FakeNetwork extends ManualEnvironment {

        @Override
        public Connection connect(
                String address, Framing form, int timeoutMs, ConnectionListener ear) {
            ControlProcessStub to = controlProcesses.get(address);
            FakeConnection link = new FakeConnection(ear, to);
            if (to != null && to.running && !to.unresponsive) {
                to.connectCount++;
                to.connection = link;
                at(
                        1,
                        () -> {
                            if (link.isOpen) {
                                ear.onOpen(link);
                            }
                        });
            } else {
                trace("none at " + address);
                at(
                        to != null && to.unresponsive ? timeoutMs : 1,
                        () -> {
                            if (link.isOpen) {
                                link.isOpen = false;
                                ear.onClose("refused");
                            }
                        });
            }
            return link;
        }
    }

    private ManualEnvironment environment = new FakeNetwork();

    private long now() {
        return environment.nowMillis();
    }

    private void advanceTo(long ms) {
        environment.until(ms);
    }

    private List<String> log() {
        return environment.log;
    }

    private static NodeSettings settings(String... seeds) {
        List<String> all = new ArrayList<>();
        for (String seed : seeds) {
            all.add(seed + ":8002");
        }
        return new NodeSettings(
                "front-1",
                "a",
                "ra",
                Map.of("a", "ra", "b", "rb"),
                "10.0.1.1",
                "10.0.1.1:8000",
                "10.0.1.1:8001",
                null,
                7400,
                all,
                true,
                null,
                1,
                1_200,
                7_000,
                6_000,
                null);
    }

    private void addConfiguration(long version, int routes) {
        StringBuilder text = new StringBuilder("{\"revision_number\":" + version + ",\"routes\":[");
        for (int i = 0; i < routes; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"r")
                    .append(i)
                    .append("\",\"host_name\":\"h")
                    .append(i)
                    .append("\",\"route_kind\":\"primary\",\"timeout_ms\":")
                    .append(i == version % routes ? 1_000 + version : 800)
                    .append(",\"service\":\"s\"}");
        }
        configurations.put(
                version,
                text.append("],\"services\":[{\"name\":\"s\"}]}")
                        .toString()
                        .getBytes(StandardCharsets.UTF_8));
    }

    private static Map<String, Object> address(String ip, String zone, boolean silent) {
        return silent ? Map.of("i", ip, "z", zone, "s", true) : Map.of("i", ip, "z", zone);
    }

    /** Whole at first, then what changed; where that does not fit, whole once more. */
    @Test
    void requestsFullConfigurationAfterMismatchedDelta() {
        for (long v = 1; v <= 4; v++) {
            addConfiguration(v, 30);
        }
        ControlProcessStub a = new ControlProcessStub("10.0.0.1");
        a.revision = 1;
        DataPlaneNode front = new DataPlaneNode(environment, settings("10.0.0.1"));
        front.start();
        advanceTo(1_000);
        assertEquals(1, front.configurationRevision());
        a.revision = 2;
        advanceTo(2_000);
        assertEquals(2, front.configurationRevision());
        assertArrayEquals(configurations.get(2L), front.configuration().body());
        assertEquals(0, requests.stream().filter(in -> in.flag("cw")).count());
        assertEquals(
                List.of(
                        BinaryDelta.digest(new byte[0]),
                        BinaryDelta.digest(configurations.get(1L)),
                        BinaryDelta.digest(configurations.get(2L))),
                requests.stream()
                        .filter(in -> in.has("cd"))
                        .map(in -> in.number("cd", -1))
                        .toList(),
                "told where it has changed");
        // Of another base, as of a number that had another content here.
        a.replacementDelta = BinaryDelta.create(configurations.get(1L), configurations.get(3L));
        a.revision = 3;
        advanceTo(3_000);
        assertEquals(3, front.configurationRevision());
        assertArrayEquals(configurations.get(3L), front.configuration().body());
        assertEquals(1, requests.stream().filter(in -> in.flag("cw")).count());
        a.replacementDelta = new byte[] {1, 2, 3};
        a.revision = 4;
        advanceTo(4_000);
        assertArrayEquals(configurations.get(4L), front.configuration().body());
        assertEquals(
                2,
                requests.stream().filter(in -> in.flag("cw")).count(),
                "asked for whole once, and no more");
    }

    /**
     * Processes that are behind, ahead, alone or gone at any moment: what the front has only goes
     * forward, and is what was sent.
     */
    @Test
    void keepsHighestRevision() {
        for (long v = 1; v <= 40; v++) {
            addConfiguration(v, 10);
        }
        for (long seed = 1; seed <= 60; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            controlProcesses.clear();
            environment = new FakeNetwork();
            List<ControlProcessStub> all =
                    List.of(
                            new ControlProcessStub("10.0.0.1"),
                            new ControlProcessStub("10.0.0.2"),
                            new ControlProcessStub("10.0.0.3"));
            DataPlaneNode front =
                    new DataPlaneNode(environment, settings("10.0.0.1", "10.0.0.2", "10.0.0.3"));
            front.start();
            long last = -1;
            for (int step = 1; step <= 120; step++) {
                ControlProcessStub one = all.get(random.nextInt(3));
                switch (random.nextInt(5)) {
                    case 0 -> one.isolated = !one.isolated;
                    case 1 -> {
                        one.running = !one.running;
                        if (!one.running && one.connection != null && one.connection.isOpen) {
                            one.connection.isOpen = false;
                            one.connection.listener.onClose("broken");
                        }
                    }
                    case 2 -> one.unresponsive = random.nextInt(3) == 0;
                    default ->
                            one.revision =
                                    Math.min(40, Math.max(one.revision, 0) + 1 + random.nextInt(2));
                }
                advanceTo(now() + random.nextInt(400));
                assertTrue(
                        front.configurationRevision() >= last,
                        "seed " + seed + ": " + front.configurationRevision() + " after " + last);
                last = front.configurationRevision();
                if (last >= 0) {
                    assertArrayEquals(configurations.get(last), front.configuration().body());
                }
            }
            all.forEach(
                    s -> {
                        s.isolated = false;
                        s.running = true;
                        s.unresponsive = false;
                        s.revision = 40;
                    });
            advanceTo(now() + 4_000);
            assertEquals(40, front.configurationRevision(), "seed " + seed);
        }
    }

    /**
     * One that is out of contact is left within a moment; where all are, they are asked again, and
     * not without pause.
     */
    @Test
    void switchesFromIsolatedSourceAtOnce() {
        addConfiguration(1, 3);
        ControlProcessStub a = new ControlProcessStub("10.0.0.1");
        ControlProcessStub b = new ControlProcessStub("10.0.0.2");
        a.isolated = true;
        b.revision = 1;
        DataPlaneNode front = new DataPlaneNode(environment, settings("10.0.0.1", "10.0.0.2"));
        front.start();
        advanceTo(20);
        assertEquals(1, front.configurationRevision(), log().toString());
        b.isolated = true;
        int before = a.requestCount + b.requestCount;
        advanceTo(20_000);
        int asked = a.requestCount + b.requestCount - before;
        assertTrue(asked > 60 && asked < 160, "asked " + asked + " times in 20 s");
        a.isolated = false;
        a.revision = 1;
        advanceTo(20_700);
        assertTrue(log().get(log().size() - 1).endsWith("10.0.0.1"), log().get(log().size() - 1));
    }

    /** Machine after machine is replaced: the list follows, and the seeds stay behind it. */
    @Test
    void findsPresentSourcesAfterManyReplacements() {
        addConfiguration(1, 3);
        ControlProcessStub was = new ControlProcessStub("10.0.0.1");
        was.revision = 1;
        DataPlaneNode front = new DataPlaneNode(environment, settings("10.0.0.1"));
        front.start();
        advanceTo(1_000);
        for (int i = 2; i <= 60; i++) {
            ControlProcessStub next = new ControlProcessStub("10.0.0." + i);
            next.revision = 1;
            List<Object> places = new ArrayList<>();
            places.add(address(next.ip, "b", false));
            places.add(address(was.ip, "b", true));
            for (int k = 1; k < 30; k++) {
                places.add(address("10.0.9." + k, "b", true));
            }
            was.addresses = places;
            next.addresses = places;
            advanceTo(now() + 1_300);
            was.running = false;
            was.connection.isOpen = false;
            was.connection.listener.onClose("broken");
            long from = now();
            advanceTo(now() + 50);
            assertTrue(
                    next.requestCount > 0,
                    "at "
                            + from
                            + ": "
                            + log().subList(Math.max(0, log().size() - 10), log().size()));
            was = next;
        }
        // All that it was told of are gone, and one of the seeds is back.
        was.running = false;
        was.connection.isOpen = false;
        was.connection.listener.onClose("broken");
        controlProcesses.get("10.0.0.1:7400").running = true;
        int asked = controlProcesses.get("10.0.0.1:7400").requestCount;
        advanceTo(now() + 3_000);
        assertTrue(
                controlProcesses.get("10.0.0.1:7400").requestCount > asked,
                log().subList(log().size() - 40, log().size()).toString());
    }

    /**
     * The seeds of a settings file that was read again count at once, and those of the former no
     * more.
     */
    @Test
    void appliesNewSeeds() {
        addConfiguration(1, 3);
        DataPlaneNode front = new DataPlaneNode(environment, settings("10.0.0.1", "10.0.0.2"));
        front.start();
        advanceTo(5_000);
        ControlProcessStub c = new ControlProcessStub("10.0.0.3");
        c.revision = 1;
        front.updateSettings(settings("10.0.0.3"));
        advanceTo(5_500);
        assertEquals(1, front.configurationRevision());
        int from = log().size();
        c.running = false;
        c.connection.isOpen = false;
        c.connection.listener.onClose("broken");
        advanceTo(9_000);
        assertTrue(
                log().subList(from, log().size()).stream().noneMatch(l -> l.contains("10.0.0.1")),
                log().subList(from, log().size()).toString());
    }

    /**
     * One in its own region is asked where it is heard, but not again at once where it had to be
     * left.
     */
    @Test
    void prefersLocalSourceExceptDuringItsCooldown() {
        addConfiguration(1, 3);
        ControlProcessStub far = new ControlProcessStub("10.0.0.1");
        ControlProcessStub near = new ControlProcessStub("10.0.0.2");
        far.revision = 1;
        near.revision = 1;
        far.addresses = List.of(address("10.0.0.1", "b", false), address("10.0.0.2", "a", false));
        near.addresses = far.addresses;
        DataPlaneNode front = new DataPlaneNode(environment, settings("10.0.0.1"));
        front.start();
        advanceTo(1_000);
        assertTrue(near.requestCount > 0, log().toString());
        assertEquals(1, far.requestCount);
        // Others hear it, this one does not.
        near.unresponsive = true;
        advanceTo(19_000);
        assertEquals(1, near.connectCount);
        assertTrue(far.requestCount > 20, log().toString());
        near.unresponsive = false;
        advanceTo(24_000);
        assertEquals(2, near.connectCount);
    }

    /**
     * A configuration of a form that it does not know: what it has stays, and it does not ask
     * without end.
     */
    @Test
    void delaysRequestAfterUnreadableConfiguration() {
        addConfiguration(1, 3);
        configurations.put(
                2L, "{\"revision_number\":2,\"routes\":7}".getBytes(StandardCharsets.UTF_8));
        addConfiguration(3, 3);
        ControlProcessStub a = new ControlProcessStub("10.0.0.1");
        a.revision = 1;
        DataPlaneNode front = new DataPlaneNode(environment, settings("10.0.0.1"));
        front.start();
        advanceTo(1_000);
        a.revision = 2;
        int asked = a.requestCount;
        advanceTo(11_000);
        assertEquals(1, front.configurationRevision());
        assertTrue(
                a.requestCount - asked < 14,
                "asked " + (a.requestCount - asked) + " times in 10 s");
        assertTrue(
                log().stream().anyMatch(l -> l.contains("configuration-not-understood revision=2")),
                log().toString());
        a.revision = 3;
        advanceTo(13_000);
        assertEquals(3, front.configurationRevision());
        assertEquals(
                Configuration.ReadConsistency.PRIMARY,
                front.configuration().route("h0").consistency());
    }
}
