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
    private final class Source {
        final String ip;
        boolean there = true;
        boolean alone;

        /** It says nothing at all, to a dial neither. */
        boolean dark;

        long version = -1;

        /** What it sends in the place of the configuration, where not null. */
        byte[] instead;

        List<Object> places;
        int dialed;
        int asked;
        Fake link;

        Source(String ip) {
            this.ip = ip;
            sources.put(ip + ":7400", this);
        }

        void answer(Fake to, MessageCodec.Fields in) {
            asked++;
            host.trace(ip);
            Map<String, Object> out = new HashMap<>();
            out.put("q", in.number("q", 0));
            long has = in.number("c", -1);
            asks.add(in);
            if (alone) {
                out.put("alone", true);
            } else {
                if (has < version) {
                    byte[] base = bodies.get(has);
                    out.put("cv", version);
                    if (instead != null && !in.flag("cw")) {
                        out.put("cx", instead);
                    } else if (base != null && !in.flag("cw")) {
                        out.put("cx", BinaryDelta.create(base, bodies.get(version)));
                    } else {
                        out.put("cz", Compression.compress(bodies.get(version)));
                    }
                }
                if (places != null) {
                    out.put("cp", places);
                }
            }
            boolean waits = !alone && has >= version;
            host.runAfter(
                    waits ? 600 : 1,
                    () -> {
                        if (to.open && there && !dark) {
                            to.ear.onMessage(MessageCodec.encode(out));
                        }
                    });
        }
    }

    /** The front's end of a connection. */
    private final class Fake implements Environment.Connection {
        final Environment.ConnectionListener ear;
        final Source to;
        boolean open = true;

        Fake(Environment.ConnectionListener ear, Source to) {
            this.ear = ear;
            this.to = to;
        }

        @Override
        public void send(byte[] message) {
            host.runAfter(
                    1,
                    () -> {
                        try {
                            if (open && to.there && !to.dark) {
                                to.answer(this, MessageCodec.decode(message));
                            }
                        } catch (MessageCodec.MalformedMessageException bad) {
                            throw new AssertionError(bad);
                        }
                    });
        }

        @Override
        public void close() {
            open = false;
        }

        @Override
        public long pendingBytes() {
            return 0;
        }
    }

    private final Map<String, Source> sources = new TreeMap<>();
    private final List<MessageCodec.Fields> asks = new ArrayList<>();
    private final TreeMap<Long, byte[]> bodies = new TreeMap<>();

    private final class Net extends ManualEnvironment {

        @Override
        public Connection connect(
                String address, Framing form, int timeoutMs, ConnectionListener ear) {
            Source to = sources.get(address);
            Fake link = new Fake(ear, to);
            if (to != null && to.there && !to.dark) {
                to.dialed++;
                to.link = link;
                runAfter(
                        1,
                        () -> {
                            if (link.open) {
                                ear.onOpen(link);
                            }
                        });
            } else {
                trace("none at " + address);
                runAfter(
                        to != null && to.dark ? timeoutMs : 1,
                        () -> {
                            if (link.open) {
                                link.open = false;
                                ear.onClose("refused");
                            }
                        });
            }
            return link;
        }
    }

    private ManualEnvironment host = new Net();

    private long now() {
        return host.nowMillis();
    }

    private void until(long ms) {
        host.advanceTo(ms);
    }

    private List<String> log() {
        return host.events;
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

    private void configuration(long version, int routes) {
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
        bodies.put(
                version,
                text.append("],\"services\":[{\"name\":\"s\"}]}")
                        .toString()
                        .getBytes(StandardCharsets.UTF_8));
    }

    private static Map<String, Object> place(String ip, String zone, boolean silent) {
        return silent ? Map.of("i", ip, "z", zone, "s", true) : Map.of("i", ip, "z", zone);
    }

    /** Whole at first, then what changed; where that does not fit, whole once more. */
    @Test
    void appliesDeltasAndRequestsFullConfigurationWhereTheyDoNotFit() {
        for (long v = 1; v <= 4; v++) {
            configuration(v, 30);
        }
        Source a = new Source("10.0.0.1");
        a.version = 1;
        DataPlaneNode front = new DataPlaneNode(host, settings("10.0.0.1"));
        front.start();
        until(1_000);
        assertEquals(1, front.configurationRevision());
        a.version = 2;
        until(2_000);
        assertEquals(2, front.configurationRevision());
        assertArrayEquals(bodies.get(2L), front.configuration().body());
        assertEquals(0, asks.stream().filter(in -> in.flag("cw")).count());
        assertEquals(
                List.of(
                        BinaryDelta.digest(new byte[0]),
                        BinaryDelta.digest(bodies.get(1L)),
                        BinaryDelta.digest(bodies.get(2L))),
                asks.stream().filter(in -> in.has("cd")).map(in -> in.number("cd", -1)).toList(),
                "told where it has changed");
        // Of another base, as of a number that had another content here.
        a.instead = BinaryDelta.create(bodies.get(1L), bodies.get(3L));
        a.version = 3;
        until(3_000);
        assertEquals(3, front.configurationRevision());
        assertArrayEquals(bodies.get(3L), front.configuration().body());
        assertEquals(1, asks.stream().filter(in -> in.flag("cw")).count());
        a.instead = new byte[] {1, 2, 3};
        a.version = 4;
        until(4_000);
        assertArrayEquals(bodies.get(4L), front.configuration().body());
        assertEquals(
                2,
                asks.stream().filter(in -> in.flag("cw")).count(),
                "asked for whole once, and no more");
    }

    /**
     * Processes that are behind, ahead, alone or gone at any moment: what the front has only goes
     * forward, and is what was sent.
     */
    @Test
    void neverGoesBackToAnEarlierRevision() {
        for (long v = 1; v <= 40; v++) {
            configuration(v, 10);
        }
        for (long seed = 1; seed <= 60; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            sources.clear();
            host = new Net();
            List<Source> all =
                    List.of(new Source("10.0.0.1"), new Source("10.0.0.2"), new Source("10.0.0.3"));
            DataPlaneNode front =
                    new DataPlaneNode(host, settings("10.0.0.1", "10.0.0.2", "10.0.0.3"));
            front.start();
            long last = -1;
            for (int step = 1; step <= 120; step++) {
                Source one = all.get(random.nextInt(3));
                switch (random.nextInt(5)) {
                    case 0 -> one.alone = !one.alone;
                    case 1 -> {
                        one.there = !one.there;
                        if (!one.there && one.link != null && one.link.open) {
                            one.link.open = false;
                            one.link.ear.onClose("broken");
                        }
                    }
                    case 2 -> one.dark = random.nextInt(3) == 0;
                    default ->
                            one.version =
                                    Math.min(40, Math.max(one.version, 0) + 1 + random.nextInt(2));
                }
                until(now() + random.nextInt(400));
                assertTrue(
                        front.configurationRevision() >= last,
                        "seed " + seed + ": " + front.configurationRevision() + " after " + last);
                last = front.configurationRevision();
                if (last >= 0) {
                    assertArrayEquals(bodies.get(last), front.configuration().body());
                }
            }
            all.forEach(
                    s -> {
                        s.alone = false;
                        s.there = true;
                        s.dark = false;
                        s.version = 40;
                    });
            until(now() + 4_000);
            assertEquals(40, front.configurationRevision(), "seed " + seed);
        }
    }

    /**
     * One that is out of contact is left within a moment; where all are, they are asked again, and
     * not without pause.
     */
    @Test
    void leavesIsolatedSourceAtOnce() {
        configuration(1, 3);
        Source a = new Source("10.0.0.1");
        Source b = new Source("10.0.0.2");
        a.alone = true;
        b.version = 1;
        DataPlaneNode front = new DataPlaneNode(host, settings("10.0.0.1", "10.0.0.2"));
        front.start();
        until(20);
        assertEquals(1, front.configurationRevision(), log().toString());
        b.alone = true;
        int before = a.asked + b.asked;
        until(20_000);
        int asked = a.asked + b.asked - before;
        assertTrue(asked > 60 && asked < 160, "asked " + asked + " times in 20 s");
        a.alone = false;
        a.version = 1;
        until(20_700);
        assertTrue(log().get(log().size() - 1).endsWith("10.0.0.1"), log().get(log().size() - 1));
    }

    /** Machine after machine is replaced: the list follows, and the seeds stay behind it. */
    @Test
    void findsPresentSourcesAfterManyReplacements() {
        configuration(1, 3);
        Source was = new Source("10.0.0.1");
        was.version = 1;
        DataPlaneNode front = new DataPlaneNode(host, settings("10.0.0.1"));
        front.start();
        until(1_000);
        for (int i = 2; i <= 60; i++) {
            Source next = new Source("10.0.0." + i);
            next.version = 1;
            List<Object> places = new ArrayList<>();
            places.add(place(next.ip, "b", false));
            places.add(place(was.ip, "b", true));
            for (int k = 1; k < 30; k++) {
                places.add(place("10.0.9." + k, "b", true));
            }
            was.places = places;
            next.places = places;
            until(now() + 1_300);
            was.there = false;
            was.link.open = false;
            was.link.ear.onClose("broken");
            long from = now();
            until(now() + 50);
            assertTrue(
                    next.asked > 0,
                    "at "
                            + from
                            + ": "
                            + log().subList(Math.max(0, log().size() - 10), log().size()));
            was = next;
        }
        // All that it was told of are gone, and one of the seeds is back.
        was.there = false;
        was.link.open = false;
        was.link.ear.onClose("broken");
        sources.get("10.0.0.1:7400").there = true;
        int asked = sources.get("10.0.0.1:7400").asked;
        until(now() + 3_000);
        assertTrue(
                sources.get("10.0.0.1:7400").asked > asked,
                log().subList(log().size() - 40, log().size()).toString());
    }

    /**
     * The seeds of a settings file that was read again count at once, and those of the former no
     * more.
     */
    @Test
    void takesOverNewSeeds() {
        configuration(1, 3);
        DataPlaneNode front = new DataPlaneNode(host, settings("10.0.0.1", "10.0.0.2"));
        front.start();
        until(5_000);
        Source c = new Source("10.0.0.3");
        c.version = 1;
        front.updateSettings(settings("10.0.0.3"));
        until(5_500);
        assertEquals(1, front.configurationRevision());
        int from = log().size();
        c.there = false;
        c.link.open = false;
        c.link.ear.onClose("broken");
        until(9_000);
        assertTrue(
                log().subList(from, log().size()).stream().noneMatch(l -> l.contains("10.0.0.1")),
                log().subList(from, log().size()).toString());
    }

    /**
     * One in its own region is asked where it is heard, but not again at once where it had to be
     * left.
     */
    @Test
    void prefersLocalSourceAndAvoidsItForAWhileAfterAFailure() {
        configuration(1, 3);
        Source far = new Source("10.0.0.1");
        Source near = new Source("10.0.0.2");
        far.version = 1;
        near.version = 1;
        far.places = List.of(place("10.0.0.1", "b", false), place("10.0.0.2", "a", false));
        near.places = far.places;
        DataPlaneNode front = new DataPlaneNode(host, settings("10.0.0.1"));
        front.start();
        until(1_000);
        assertTrue(near.asked > 0, log().toString());
        assertEquals(1, far.asked);
        // Others hear it, this one does not.
        near.dark = true;
        until(19_000);
        assertEquals(1, near.dialed);
        assertTrue(far.asked > 20, log().toString());
        near.dark = false;
        until(24_000);
        assertEquals(2, near.dialed);
    }

    /**
     * A configuration of a form that it does not know: what it has stays, and it does not ask
     * without end.
     */
    @Test
    void pausesBeforeRequestingAnUnreadableConfigurationAgain() {
        configuration(1, 3);
        bodies.put(2L, "{\"revision_number\":2,\"routes\":7}".getBytes(StandardCharsets.UTF_8));
        configuration(3, 3);
        Source a = new Source("10.0.0.1");
        a.version = 1;
        DataPlaneNode front = new DataPlaneNode(host, settings("10.0.0.1"));
        front.start();
        until(1_000);
        a.version = 2;
        int asked = a.asked;
        until(11_000);
        assertEquals(1, front.configurationRevision());
        assertTrue(a.asked - asked < 14, "asked " + (a.asked - asked) + " times in 10 s");
        assertTrue(
                log().stream().anyMatch(l -> l.contains("configuration-not-understood revision=2")),
                log().toString());
        a.version = 3;
        until(13_000);
        assertEquals(3, front.configurationRevision());
        assertEquals(
                Configuration.ReadConsistency.PRIMARY,
                front.configuration().route("h0").consistency());
    }
}
