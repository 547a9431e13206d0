package dillfront.controlplane.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.environment.ManualEnvironment;
import dillfront.controlplane.ControlNode;
import dillfront.controlplane.SingleNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;

/**
 * A disk that refuses, hangs, or does what it said it did not: what was given to it gets there, and
 * nobody is told before.
 */
class RetryingStateStoreTest {

    private final ManualEnvironment host = new ManualEnvironment();

    /** Takes 3 ms, or as the test says. */
    private final class Hand implements StateStore {
        final TreeMap<String, String> there = new TreeMap<>();
        final List<Map<String, String>> given = new ArrayList<>();
        long takes = 3;
        boolean refuses;

        /** Where it refuses: it may have done it all the same. */
        boolean done;

        boolean hangs;
        private CompletableFuture<Void> hung;

        @Override
        public Map<String, String> initialState() {
            return new HashMap<>(there);
        }

        @Override
        public CompletableFuture<Void> put(Map<String, String> texts) {
            assertTrue(hung == null || hung.isDone(), "one at a time");
            given.add(new TreeMap<>(texts));
            CompletableFuture<Void> future = new CompletableFuture<>();
            hung = future;
            boolean refused = refuses;
            boolean does = !refused || done;
            if (!hangs) {
                host.runAfter(takes, () -> end(texts, does, refused));
            }
            return future;
        }

        void end(Map<String, String> texts, boolean does, boolean refused) {
            if (does) {
                there.putAll(texts);
                there.values().removeIf(String::isEmpty);
            }
            if (refused) {
                hung.completeExceptionally(new IllegalStateException("No space left on device"));
            } else {
                hung.complete(null);
            }
        }
    }

    /**
     * Finding 3 of issue 44: what the disk refused is there after the next put, and the next life
     * has it.
     */
    @Test
    void writesRefusedTextsWithTheNext() {
        Hand disk = new Hand();
        RetryingStateStore store = new RetryingStateStore(host, disk);
        disk.refuses = true;
        CompletableFuture<Void> first = store.put(Map.of("a", "1", "b", "1"));
        host.advanceTo(20);
        assertTrue(!first.isDone());
        assertEquals(Map.of(), disk.there);
        disk.refuses = false;
        host.advanceTo(50);
        CompletableFuture<Void> second = store.put(Map.of("b", "2", "c", "2"));
        host.advanceTo(120);
        assertTrue(first.isDone() && second.isDone());
        assertEquals(Map.of("a", "1", "b", "2", "c", "2"), disk.there);
        assertEquals(2, disk.given.size());
    }

    @Test
    void retriesRefusedTextsWithBackoff() {
        Hand disk = new Hand();
        RetryingStateStore store = new RetryingStateStore(host, disk);
        disk.refuses = true;
        CompletableFuture<Void> put = store.put(Map.of("a", "1"));
        host.advanceTo(60_000);
        assertTrue(disk.given.size() > 25 && disk.given.size() < 40, disk.given.size() + " tries");
        assertEquals(60_000, store.stalledMillis());
        assertTrue(!put.isDone());
        // However many puts come, it is tried ten times a second at most.
        int before = disk.given.size();
        for (int i = 0; i < 1_000; i++) {
            store.put(Map.of("a", "" + i));
            host.advanceTo(host.nowMillis() + 5);
        }
        assertTrue(disk.given.size() - before < 55, disk.given.size() - before + " tries in 5 s");
        disk.refuses = false;
        host.advanceTo(host.nowMillis() + 2_100);
        assertTrue(put.isDone());
        assertEquals(Map.of("a", "999"), disk.there);
        assertEquals(0, store.stalledMillis());
    }

    @Test
    void reportsStallAndGoesOnAfterwards() {
        Hand disk = new Hand();
        RetryingStateStore store = new RetryingStateStore(host, disk);
        assertEquals(0, store.stalledMillis());
        disk.hangs = true;
        List<Integer> over = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            int number = i;
            store.put(Map.of("n", "" + i)).thenRun(() -> over.add(number));
            host.advanceTo(host.nowMillis() + 1_000);
        }
        assertEquals(5_000, store.stalledMillis());
        assertEquals(1, disk.given.size());
        disk.hangs = false;
        disk.end(disk.given.get(0), true, false);
        assertEquals(List.of(0), over);
        assertEquals(4_000, store.stalledMillis(), "of the next that waits");
        host.advanceTo(host.nowMillis() + 4);
        assertEquals(List.of(0, 1, 2, 3, 4), over);
        assertEquals(Map.of("n", "4"), disk.there);
        assertEquals(2, disk.given.size(), "what waited went together");
    }

    /**
     * What is there is not written again, unless the disk refused it and may hold the one or the
     * other.
     */
    @Test
    void skipsTextsThatAreOnDisk() {
        Hand disk = new Hand();
        disk.there.put("a", "1");
        RetryingStateStore store = new RetryingStateStore(host, disk);
        assertTrue(store.put(Map.of("a", "1")).isDone());
        assertEquals(0, disk.given.size());
        store.put(Map.of("a", "1", "b", "1", "c", ""));
        host.advanceTo(10);
        assertEquals(List.of(Map.of("b", "1", "c", "")), disk.given);
        disk.refuses = true;
        disk.done = true;
        store.put(Map.of("b", "2"));
        host.advanceTo(20);
        disk.refuses = false;
        CompletableFuture<Void> back = store.put(Map.of("b", "1"));
        host.advanceTo(200);
        assertTrue(back.isDone());
        assertEquals(Map.of("a", "1", "b", "1"), disk.there);
        store.put(Map.of("b", ""));
        host.advanceTo(300);
        assertEquals(Map.of("a", "1"), disk.there);
    }

    @Test
    void rejectsTooLongTextsAndGoesOn() {
        Hand disk = new Hand();
        RetryingStateStore store = new RetryingStateStore(host, disk);
        assertTrue(
                store.put(Map.of("a", "x".repeat(StateStore.MAX_TEXT_LENGTH + 1)))
                        .isCompletedExceptionally());
        CompletableFuture<Void> fits =
                store.put(Map.of("a", "x".repeat(StateStore.MAX_TEXT_LENGTH)));
        host.advanceTo(10);
        assertTrue(fits.isDone() && !fits.isCompletedExceptionally());
        disk.hangs = true;
        List<CompletableFuture<Void>> all = new ArrayList<>();
        for (int i = 0; i < 10_050; i++) {
            all.add(store.put(Map.of("n" + i % 7, "" + i)));
        }
        assertEquals(50, all.stream().filter(CompletableFuture::isCompletedExceptionally).count());
        assertThrows(CompletionException.class, () -> all.get(10_049).join());
        disk.hangs = false;
        disk.end(disk.given.get(1), true, false);
        host.advanceTo(20);
        assertEquals(
                "10049", disk.there.get("n" + 10_049 % 7), "and what it held is kept all the same");
    }

    /**
     * The process itself: a record of who leads that the disk refused is in its next life, though
     * no other record follows.
     */
    @Test
    void refusedPrimaryRecordIsOnDiskLater() throws Exception {
        Hand disk = new Hand();
        ControlNode core = SingleNode.start(host, disk);
        host.advanceTo(8_000);
        for (int i = 1; i <= 6; i++) {
            disk.refuses = i <= 1;
            core.handle(
                    "POST",
                    "/Instances.Heartbeat/i-1",
                    ("{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone_name\":\"a\",\"state\":\"ready\","
                                    + "\"database_role\":\"primary\",\"call_sequence\":"
                                    + i
                                    + "}")
                            .getBytes(StandardCharsets.UTF_8));
            host.advanceTo(host.nowMillis() + 500);
            assertTrue(i > 1 || !disk.there.containsKey("lead:s"));
        }
        assertTrue(core.status().contains(" | s primary=i-1"), core.status());
        assertEquals(
                1,
                disk.given.stream()
                        .map(put -> put.get("lead:s"))
                        .filter(java.util.Objects::nonNull)
                        .distinct()
                        .count());
        assertTrue(disk.there.getOrDefault("lead:s", "").contains("i-1"), disk.there.toString());
        assertTrue(disk.there.containsKey("server:i-1"), disk.there.toString());
    }

    /**
     * Any order of puts, refusals and pauses: whoever was told has it on the disk, in the order of
     * the puts, and in the end all have.
     */
    @Test
    void completesOnlyWhatIsOnDisk() {
        for (long seed = 1; seed <= 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Hand disk = new Hand();
            RetryingStateStore store = new RetryingStateStore(host, disk);
            TreeMap<String, Integer> newest = new TreeMap<>();
            List<Integer> told = new ArrayList<>();
            for (int i = 0; i < 150; i++) {
                int number = i;
                Map<String, String> put = new HashMap<>();
                for (int k = random.nextInt(3); k >= 0; k--) {
                    String name = "n" + random.nextInt(5);
                    put.put(name, "" + i);
                    newest.put(name, i);
                }
                store.put(put)
                        .thenRun(
                                () -> {
                                    told.add(number);
                                    put.forEach(
                                            (name, text) ->
                                                    assertTrue(
                                                            Integer.parseInt(
                                                                            disk.there.getOrDefault(
                                                                                    name, "-1"))
                                                                    >= number,
                                                            name));
                                });
                if (random.nextInt(8) == 0) {
                    disk.refuses = !disk.refuses;
                    disk.done = random.nextBoolean();
                }
                disk.takes = random.nextInt(40);
                host.advanceTo(host.nowMillis() + random.nextInt(60));
            }
            disk.refuses = false;
            host.advanceTo(host.nowMillis() + 4_200);
            assertEquals(150, told.size(), "seed " + seed);
            for (int i = 0; i < 150; i++) {
                assertEquals(i, told.get(i), "seed " + seed);
            }
            newest.forEach((name, number) -> assertEquals("" + number, disk.there.get(name)));
        }
    }
}
