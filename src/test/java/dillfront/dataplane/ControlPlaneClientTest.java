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
 * A data plane and stubbed control processes, some of which have newer state than others, are down
 * or are isolated.
 */
class ControlPlaneClientTest {

    /** A stub of a control process and its responses. */
    private final class ControlProcessStub {
        final String ip;
        boolean running = true;
        boolean isolated;

        /** Whether the process does not respond at all, not even to a connect. */
        boolean unresponsive;

        long revision = -1;

        /** Sent instead of the configuration; null for the configuration itself. */
        byte[] replacementDelta;

        List<Object> addresses;
        int connectCount;
        int requestCount;
        FakeConnection connection;

        ControlProcessStub(String ip) {
            this.ip = ip;
            controlProcesses.put(ip + ":7400", this);
        }

        void respond(FakeConnection target, MessageCodec.Fields request) {
            requestCount++;
            environment.trace(ip);
            Map<String, Object> response = new HashMap<>();
            response.put("q", request.number("q", 0));
            long knownRevision = request.number("c", -1);
            requests.add(request);
            if (isolated) {
                response.put("alone", true);
            } else {
                if (knownRevision < revision) {
                    byte[] base = configurations.get(knownRevision);
                    response.put("cv", revision);
                    if (replacementDelta != null && !request.flag("cw")) {
                        response.put("cx", replacementDelta);
                    } else if (base != null && !request.flag("cw")) {
                        response.put("cx", BinaryDelta.create(base, configurations.get(revision)));
                    } else {
                        response.put("cz", Compression.compress(configurations.get(revision)));
                    }
                }
                if (addresses != null) {
                    response.put("cp", addresses);
                }
            }
            boolean isUpToDate = !isolated && knownRevision >= revision;
            environment.runAfter(
                    isUpToDate ? 600 : 1,
                    () -> {
                        if (target.isOpen && running && !unresponsive) {
                            target.listener.onMessage(MessageCodec.encode(response));
                        }
                    });
        }
    }

    /** The data plane's end of a connection. */
    private final class FakeConnection implements Environment.Connection {
        final Environment.ConnectionListener listener;
        final ControlProcessStub target;
        boolean isOpen = true;

        FakeConnection(Environment.ConnectionListener listener, ControlProcessStub target) {
            this.listener = listener;
            this.target = target;
        }

        @Override
        public void send(byte[] message) {
            environment.runAfter(
                    1,
                    () -> {
                        try {
                            if (isOpen && target.running && !target.unresponsive) {
                                target.respond(this, MessageCodec.decode(message));
                            }
                        } catch (MessageCodec.MalformedMessageException malformed) {
                            throw new AssertionError(malformed);
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
                String address, Framing framing, int timeoutMs, ConnectionListener listener) {
            ControlProcessStub target = controlProcesses.get(address);
            FakeConnection connection = new FakeConnection(listener, target);
            if (target != null && target.running && !target.unresponsive) {
                target.connectCount++;
                target.connection = connection;
                runAfter(
                        1,
                        () -> {
                            if (connection.isOpen) {
                                listener.onOpen(connection);
                            }
                        });
            } else {
                trace("none at " + address);
                runAfter(
                        target != null && target.unresponsive ? timeoutMs : 1,
                        () -> {
                            if (connection.isOpen) {
                                connection.isOpen = false;
                                listener.onClose("refused");
                            }
                        });
            }
            return connection;
        }
    }

    private ManualEnvironment environment = new FakeNetwork();

    private long now() {
        return environment.nowMillis();
    }

    private void advanceTo(long ms) {
        environment.advanceTo(ms);
    }

    private List<String> log() {
        return environment.events;
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

    private void addConfiguration(long revision, int routes) {
        StringBuilder text =
                new StringBuilder("{\"revision_number\":" + revision + ",\"routes\":[");
        for (int i = 0; i < routes; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"r")
                    .append(i)
                    .append("\",\"host_name\":\"h")
                    .append(i)
                    .append("\",\"route_kind\":\"primary\",\"timeout_ms\":")
                    .append(i == revision % routes ? 1_000 + revision : 800)
                    .append(",\"service\":\"s\"}");
        }
        configurations.put(
                revision,
                text.append("],\"services\":[{\"name\":\"s\"}]}")
                        .toString()
                        .getBytes(StandardCharsets.UTF_8));
    }

    private static Map<String, Object> address(String ip, String zone, boolean silent) {
        return silent ? Map.of("i", ip, "z", zone, "s", true) : Map.of("i", ip, "z", zone);
    }

    /**
     * The first configuration is received in full, later ones as deltas; if a delta does not apply,
     * the full configuration is requested.
     */
    @Test
    void requestsFullConfigurationAfterMismatchedDelta() {
        for (long v = 1; v <= 4; v++) {
            addConfiguration(v, 30);
        }
        ControlProcessStub a = new ControlProcessStub("10.0.0.1");
        a.revision = 1;
        DataPlaneNode node = new DataPlaneNode(environment, settings("10.0.0.1"));
        node.start();
        advanceTo(1_000);
        assertEquals(1, node.configurationRevision());
        a.revision = 2;
        advanceTo(2_000);
        assertEquals(2, node.configurationRevision());
        assertArrayEquals(configurations.get(2L), node.configuration().body());
        assertEquals(0, requests.stream().filter(request -> request.flag("cw")).count());
        assertEquals(
                List.of(
                        BinaryDelta.digest(new byte[0]),
                        BinaryDelta.digest(configurations.get(1L)),
                        BinaryDelta.digest(configurations.get(2L))),
                requests.stream()
                        .filter(request -> request.has("cd"))
                        .map(request -> request.number("cd", -1))
                        .toList(),
                "digest is sent only after a change");
        // A delta to another base, as if this revision had another content here.
        a.replacementDelta = BinaryDelta.create(configurations.get(1L), configurations.get(3L));
        a.revision = 3;
        advanceTo(3_000);
        assertEquals(3, node.configurationRevision());
        assertArrayEquals(configurations.get(3L), node.configuration().body());
        assertEquals(1, requests.stream().filter(request -> request.flag("cw")).count());
        a.replacementDelta = new byte[] {1, 2, 3};
        a.revision = 4;
        advanceTo(4_000);
        assertArrayEquals(configurations.get(4L), node.configuration().body());
        assertEquals(
                2,
                requests.stream().filter(request -> request.flag("cw")).count(),
                "full configuration is requested once");
    }

    /**
     * Guards against a data plane that goes back to an older configuration, with control processes
     * that are behind, ahead, isolated or down at random.
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
            DataPlaneNode node =
                    new DataPlaneNode(environment, settings("10.0.0.1", "10.0.0.2", "10.0.0.3"));
            node.start();
            long last = -1;
            for (int step = 1; step <= 120; step++) {
                ControlProcessStub selected = all.get(random.nextInt(3));
                switch (random.nextInt(5)) {
                    case 0 -> selected.isolated = !selected.isolated;
                    case 1 -> {
                        selected.running = !selected.running;
                        if (!selected.running
                                && selected.connection != null
                                && selected.connection.isOpen) {
                            selected.connection.isOpen = false;
                            selected.connection.listener.onClose("broken");
                        }
                    }
                    case 2 -> selected.unresponsive = random.nextInt(3) == 0;
                    default ->
                            selected.revision =
                                    Math.min(
                                            40,
                                            Math.max(selected.revision, 0) + 1 + random.nextInt(2));
                }
                advanceTo(now() + random.nextInt(400));
                assertTrue(
                        node.configurationRevision() >= last,
                        "seed " + seed + ": " + node.configurationRevision() + " after " + last);
                last = node.configurationRevision();
                if (last >= 0) {
                    assertArrayEquals(configurations.get(last), node.configuration().body());
                }
            }
            all.forEach(
                    stub -> {
                        stub.isolated = false;
                        stub.running = true;
                        stub.unresponsive = false;
                        stub.revision = 40;
                    });
            advanceTo(now() + 4_000);
            assertEquals(40, node.configurationRevision(), "seed " + seed);
        }
    }

    /**
     * An isolated control process is abandoned at once. If all are isolated, they are polled in
     * turn, with pauses.
     */
    @Test
    void switchesFromIsolatedSourceAtOnce() {
        addConfiguration(1, 3);
        ControlProcessStub a = new ControlProcessStub("10.0.0.1");
        ControlProcessStub b = new ControlProcessStub("10.0.0.2");
        a.isolated = true;
        b.revision = 1;
        DataPlaneNode node = new DataPlaneNode(environment, settings("10.0.0.1", "10.0.0.2"));
        node.start();
        advanceTo(20);
        assertEquals(1, node.configurationRevision(), log().toString());
        b.isolated = true;
        int requestsBefore = a.requestCount + b.requestCount;
        advanceTo(20_000);
        int requestCount = a.requestCount + b.requestCount - requestsBefore;
        assertTrue(
                requestCount > 60 && requestCount < 160,
                "sent " + requestCount + " requests in 20 s");
        a.isolated = false;
        a.revision = 1;
        advanceTo(20_700);
        assertTrue(log().get(log().size() - 1).endsWith("10.0.0.1"), log().get(log().size() - 1));
    }

    /**
     * The control processes are replaced one by one: the address list follows, and the seeds remain
     * at its end.
     */
    @Test
    void findsPresentSourcesAfterManyReplacements() {
        addConfiguration(1, 3);
        ControlProcessStub previous = new ControlProcessStub("10.0.0.1");
        previous.revision = 1;
        DataPlaneNode node = new DataPlaneNode(environment, settings("10.0.0.1"));
        node.start();
        advanceTo(1_000);
        for (int i = 2; i <= 60; i++) {
            ControlProcessStub next = new ControlProcessStub("10.0.0." + i);
            next.revision = 1;
            List<Object> addresses = new ArrayList<>();
            addresses.add(address(next.ip, "b", false));
            addresses.add(address(previous.ip, "b", true));
            for (int k = 1; k < 30; k++) {
                addresses.add(address("10.0.9." + k, "b", true));
            }
            previous.addresses = addresses;
            next.addresses = addresses;
            advanceTo(now() + 1_300);
            previous.running = false;
            previous.connection.isOpen = false;
            previous.connection.listener.onClose("broken");
            long start = now();
            advanceTo(now() + 50);
            assertTrue(
                    next.requestCount > 0,
                    "at "
                            + start
                            + ": "
                            + log().subList(Math.max(0, log().size() - 10), log().size()));
            previous = next;
        }
        // All received addresses are gone, and one of the seeds is up again.
        previous.running = false;
        previous.connection.isOpen = false;
        previous.connection.listener.onClose("broken");
        controlProcesses.get("10.0.0.1:7400").running = true;
        int requestsBefore = controlProcesses.get("10.0.0.1:7400").requestCount;
        advanceTo(now() + 3_000);
        assertTrue(
                controlProcesses.get("10.0.0.1:7400").requestCount > requestsBefore,
                log().subList(log().size() - 40, log().size()).toString());
    }

    /** The seeds of reloaded settings take effect at once, and the former ones are removed. */
    @Test
    void appliesNewSeeds() {
        addConfiguration(1, 3);
        DataPlaneNode node = new DataPlaneNode(environment, settings("10.0.0.1", "10.0.0.2"));
        node.start();
        advanceTo(5_000);
        ControlProcessStub c = new ControlProcessStub("10.0.0.3");
        c.revision = 1;
        node.updateSettings(settings("10.0.0.3"));
        advanceTo(5_500);
        assertEquals(1, node.configurationRevision());
        int start = log().size();
        c.running = false;
        c.connection.isOpen = false;
        c.connection.listener.onClose("broken");
        advanceTo(9_000);
        assertTrue(
                log().subList(start, log().size()).stream().noneMatch(l -> l.contains("10.0.0.1")),
                log().subList(start, log().size()).toString());
    }

    /**
     * A control process of the local region is preferred, but not retried at once after a failure.
     */
    @Test
    void prefersLocalSourceExceptDuringItsCooldown() {
        addConfiguration(1, 3);
        ControlProcessStub remote = new ControlProcessStub("10.0.0.1");
        ControlProcessStub local = new ControlProcessStub("10.0.0.2");
        remote.revision = 1;
        local.revision = 1;
        remote.addresses =
                List.of(address("10.0.0.1", "b", false), address("10.0.0.2", "a", false));
        local.addresses = remote.addresses;
        DataPlaneNode node = new DataPlaneNode(environment, settings("10.0.0.1"));
        node.start();
        advanceTo(1_000);
        assertTrue(local.requestCount > 0, log().toString());
        assertEquals(1, remote.requestCount);
        // Other control processes can reach it, the data plane cannot.
        local.unresponsive = true;
        advanceTo(19_000);
        assertEquals(1, local.connectCount);
        assertTrue(remote.requestCount > 20, log().toString());
        local.unresponsive = false;
        advanceTo(24_000);
        assertEquals(2, local.connectCount);
    }

    /**
     * A configuration of an unknown format leaves the present one in force, and is requested again
     * only after a pause.
     */
    @Test
    void delaysRequestAfterUnreadableConfiguration() {
        addConfiguration(1, 3);
        configurations.put(
                2L, "{\"revision_number\":2,\"routes\":7}".getBytes(StandardCharsets.UTF_8));
        addConfiguration(3, 3);
        ControlProcessStub a = new ControlProcessStub("10.0.0.1");
        a.revision = 1;
        DataPlaneNode node = new DataPlaneNode(environment, settings("10.0.0.1"));
        node.start();
        advanceTo(1_000);
        a.revision = 2;
        int requestsBefore = a.requestCount;
        advanceTo(11_000);
        assertEquals(1, node.configurationRevision());
        assertTrue(
                a.requestCount - requestsBefore < 14,
                "sent " + (a.requestCount - requestsBefore) + " requests in 10 s");
        assertTrue(
                log().stream().anyMatch(l -> l.contains("configuration-not-understood revision=2")),
                log().toString());
        a.revision = 3;
        advanceTo(13_000);
        assertEquals(3, node.configurationRevision());
        assertEquals(
                Configuration.ReadConsistency.PRIMARY,
                node.configuration().route("h0").consistency());
    }
}
