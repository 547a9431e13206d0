package dillfront.common.message;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Texts of an operator's form, texts of no form, and deltas that were cut, spoilt or made for
 * another base.
 */
class BinaryDeltaTest {

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String route(int number, int timeout) {
        return "{\"name\":\"r-"
                + Integer.toHexString(number * 7919)
                + "\",\"host_name\":\"host"
                + number
                + "\",\"path_prefix\":\"/\","
                + "\"route_kind\":\"read_your_writes\",\"timeout_ms\":"
                + timeout
                + ",\"target_latency_ms\":600,\"priority\":2,"
                + "\"service\":\"s"
                + number % 40
                + "\",\"max_attempts\":2,\"max_staleness_ms\":2500,\"note\":\""
                + "n".repeat(200)
                + "\"}";
    }

    private static byte[] configuration(long revision, List<String> routes) {
        return bytes(
                "{\"revision_number\":"
                        + revision
                        + ",\"routes\":["
                        + String.join(",", routes)
                        + "],\"services\":[{\"name\":\"s0\"}],"
                        + "\"limits\":{\"idle_timeout_ms\":15000,\"transaction_idle_ms\":3000}}");
    }

    private static byte[] roundTrip(byte[] base, byte[] target)
            throws BinaryDelta.InvalidDeltaException {
        byte[] originalBase = base.clone();
        byte[] delta = BinaryDelta.create(base, target);
        assertArrayEquals(target, BinaryDelta.apply(base, delta));
        assertArrayEquals(originalBase, base);
        assertArrayEquals(delta, BinaryDelta.create(base, target), "the same once more");
        assertTrue(
                delta.length <= target.length + 32,
                delta.length + " for a text of " + target.length);
        return delta;
    }

    @Test
    void roundTripsArbitraryInputs() throws Exception {
        String[] inputs = {
            "",
            "}",
            "{}",
            "}".repeat(70_000),
            "a".repeat(70_000),
            "{\"a\":1}",
            "{\"a\":1},{\"a\":2},{\"a\":1}",
            "é}".repeat(100),
            "\u0000}\u0000".repeat(50)
        };
        for (String base : inputs) {
            for (String target : inputs) {
                roundTrip(bytes(base), bytes(target));
            }
        }
        roundTrip(new byte[BinaryDelta.MAX_BYTES], new byte[BinaryDelta.MAX_BYTES]);
        assertThrows(
                IllegalArgumentException.class,
                () -> BinaryDelta.create(new byte[0], new byte[BinaryDelta.MAX_BYTES + 1]));
        assertThrows(
                IllegalArgumentException.class,
                () -> BinaryDelta.create(new byte[BinaryDelta.MAX_BYTES + 1], new byte[0]));
    }

    /**
     * Texts out of few letters, so that pieces are alike, and each the last with parts changed,
     * moved, doubled or taken out.
     */
    @Test
    void roundTripsRandomEdits() throws Exception {
        for (long seed = 1; seed <= 400; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            byte[] base = new byte[random.nextInt(3_000)];
            for (int i = 0; i < base.length; i++) {
                base[i] = (byte) (random.nextInt(12) == 0 ? '}' : "ab{,".charAt(random.nextInt(4)));
            }
            byte[] target = base;
            for (int k = random.nextInt(6); k >= 0; k--) {
                int from = random.nextInt(target.length + 1);
                int to = from + random.nextInt(target.length - from + 1);
                byte[] part = Arrays.copyOfRange(target, from, to);
                byte[] rest =
                        join(
                                Arrays.copyOf(target, from),
                                Arrays.copyOfRange(target, to, target.length));
                int at = random.nextInt(rest.length + 1);
                target =
                        switch (random.nextInt(4)) {
                            case 0 -> rest;
                            case 1 ->
                                    join(
                                            Arrays.copyOf(rest, at),
                                            part,
                                            Arrays.copyOfRange(rest, at, rest.length));
                            case 2 -> join(target, part);
                            default ->
                                    join(
                                            Arrays.copyOf(rest, at),
                                            bytes("}x" + seed),
                                            Arrays.copyOfRange(rest, at, rest.length));
                        };
            }
            roundTrip(base, target);
        }
    }

    private static byte[] join(byte[]... parts) {
        int length = 0;
        for (byte[] part : parts) {
            length += part.length;
        }
        byte[] all = new byte[length];
        int at = 0;
        for (byte[] part : parts) {
            System.arraycopy(part, 0, all, at, part.length);
            at += part.length;
        }
        return all;
    }

    /** 600 changes of 600 routes, some 260 KB: each goes as little more than what changed. */
    @Test
    void encodesSmallChangeInFewBytes() throws Exception {
        SplittableRandom random = new SplittableRandom(4);
        List<String> routes = new ArrayList<>();
        for (int i = 0; i < 600; i++) {
            routes.add(route(i, 800));
        }
        byte[] current = configuration(1, routes);
        assertTrue(current.length > 240_000 && current.length < 280_000, current.length + " bytes");
        int maxSize = 0;
        for (int revision = 2; revision <= 601; revision++) {
            int insertions = 0;
            for (int k = random.nextInt(3); k >= 0; k--) {
                int at = random.nextInt(routes.size());
                switch (random.nextInt(4)) {
                    case 0 -> routes.remove(at);
                    case 1 -> {
                        routes.add(at, route(1_000 + revision * 3 + k, 900));
                        insertions++;
                    }
                    default ->
                            routes.set(
                                    at,
                                    routes.get(at)
                                            .replaceAll(
                                                    "\"timeout_ms\":\\d+",
                                                    "\"timeout_ms\":"
                                                            + (700 + random.nextInt(500))));
                }
            }
            byte[] next = configuration(revision, routes);
            int size = roundTrip(current, next).length;
            assertTrue(size < 300 + 500 * insertions, size + " bytes for version " + revision);
            maxSize = Math.max(maxSize, size);
            current = next;
        }
        assertTrue(maxSize > 100, "the largest had " + maxSize);
        // Nothing is left in its order.
        List<String> reversed = new ArrayList<>(routes);
        Collections.reverse(reversed);
        int size = roundTrip(current, configuration(700, reversed)).length;
        assertTrue(size < 6 * routes.size() + 1_000, size + " bytes for the same in another order");
    }

    /** A time-out alone: its digits, and the version's. */
    @Test
    void encodesChangedNumberInFewBytes() throws Exception {
        List<String> routes = new ArrayList<>(List.of(route(1, 800), route(2, 800), route(3, 800)));
        byte[] base = configuration(7, routes);
        routes.set(1, route(2, 950));
        byte[] delta = roundTrip(base, configuration(9, routes));
        assertTrue(delta.length < 50, delta.length + " bytes");
    }

    /** Whatever became of a delta on its way: it makes the text it was made for, or none. */
    @Test
    void rejectsDamagedDelta() throws Exception {
        List<String> routes =
                new ArrayList<>(
                        List.of(route(1, 800), route(2, 800), route(3, 800), route(4, 800)));
        byte[] base = configuration(7, routes);
        Collections.swap(routes, 0, 2);
        routes.add(route(9, 1));
        byte[] target = configuration(8, routes);
        byte[] delta = BinaryDelta.create(base, target);
        assertEquals(
                BinaryDelta.digest(target), BinaryDelta.digest(BinaryDelta.apply(base, delta)));
        for (int at = 0; at < delta.length; at++) {
            byte[] truncated = Arrays.copyOf(delta, at);
            assertThrows(
                    BinaryDelta.InvalidDeltaException.class,
                    () -> BinaryDelta.apply(base, truncated),
                    "cut at " + at);
            for (int bit = 0; bit < 8; bit++) {
                byte[] damaged = delta.clone();
                damaged[at] ^= (byte) (1 << bit);
                assertRejectedOrIntact(base, damaged, target);
            }
        }
        byte[] other = base.clone();
        other[60] ^= 1;
        assertThrows(
                BinaryDelta.InvalidDeltaException.class, () -> BinaryDelta.apply(other, delta));
        assertThrows(
                BinaryDelta.InvalidDeltaException.class, () -> BinaryDelta.apply(target, delta));
        assertThrows(
                BinaryDelta.InvalidDeltaException.class,
                () -> BinaryDelta.apply(new byte[0], delta));
        for (long seed = 1; seed <= 20_000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            byte[] damaged = seed % 2 == 0 ? delta.clone() : new byte[random.nextInt(60)];
            for (int k = seed % 2 == 0 ? 1 + random.nextInt(6) : damaged.length; k > 0; k--) {
                damaged[random.nextInt(damaged.length)] = (byte) random.nextInt(256);
            }
            assertRejectedOrIntact(base, damaged, target);
        }
        // A length that no text has is refused before there is room for it.
        byte[] huge = {1, 0, 0, 0, 0, 0, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0x7f, 0, 0, 0, 0};
        assertThrows(
                BinaryDelta.InvalidDeltaException.class,
                () -> BinaryDelta.apply(new byte[0], huge));
    }

    private static void assertRejectedOrIntact(byte[] base, byte[] damaged, byte[] target) {
        try {
            assertArrayEquals(target, BinaryDelta.apply(base, damaged));
        } catch (BinaryDelta.InvalidDeltaException expected) {
            assertTrue(!expected.getMessage().isEmpty());
        }
    }
}
