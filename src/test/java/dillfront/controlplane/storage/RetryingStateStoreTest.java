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

    private final ManualEnvironment environment = new ManualEnvironment();

    /** Takes 3 ms, or as the test says. */
    private final class FaultyStore implements StateStore {
        final TreeMap<String, String> contents = new TreeMap<>();
        final List<Map<String, String>> writes = new ArrayList<>();
        long writeMillis = 3;
        boolean failsWrites;

        /** Where it refuses: it may have done it all the same. */
        boolean appliesFailedWrites;

        boolean hangsWrites;
        private CompletableFuture<Void> pendingWrite;

        @Override
        public Map<String, String> initialState() {
            return new HashMap<>(contents);
        }

        @Override
        public CompletableFuture<Void> put(Map<String, String> texts) {
            assertTrue(pendingWrite == null || pendingWrite.isDone(), "one at a time");
            writes.add(new TreeMap<>(texts));
            CompletableFuture<Void> future = new CompletableFuture<>();
            pendingWrite = future;
            boolean refused = failsWrites;
            boolean does = !refused || appliesFailedWrites;
            if (!hangsWrites) {
                environment.at(writeMillis, () -> completeWrite(texts, does, refused));
            }
            return future;
        }

        void completeWrite(Map<String, String> texts, boolean does, boolean refused) {
            if (does) {
                contents.putAll(texts);
                contents.values().removeIf(String::isEmpty);
            }
            if (refused) {
                pendingWrite.completeExceptionally(
                        new IllegalStateException("No space left on device"));
            } else {
                pendingWrite.complete(null);
            }
        }
    }

    /**
     * Finding 3 of issue 44: what the disk refused is there after the next put, and the next life
     * has it.
     */
    @Test
    void writesFailedTextsWithNextWrite() {
        FaultyStore disk = new FaultyStore();
        RetryingStateStore store = new RetryingStateStore(environment, disk);
        disk.failsWrites = true;
        CompletableFuture<Void> first = store.put(Map.of("a", "1", "b", "1"));
        environment.until(20);
        assertTrue(!first.isDone());
        assertEquals(Map.of(), disk.contents);
        disk.failsWrites = false;
        environment.until(50);
        CompletableFuture<Void> second = store.put(Map.of("b", "2", "c", "2"));
        environment.until(120);
        assertTrue(first.isDone() && second.isDone());
        assertEquals(Map.of("a", "1", "b", "2", "c", "2"), disk.contents);
        assertEquals(2, disk.writes.size());
    }

    @Test
    void retriesFailedWritesWithBackoff() {
        FaultyStore disk = new FaultyStore();
        RetryingStateStore store = new RetryingStateStore(environment, disk);
        disk.failsWrites = true;
        CompletableFuture<Void> put = store.put(Map.of("a", "1"));
        environment.until(60_000);
        assertTrue(
                disk.writes.size() > 25 && disk.writes.size() < 40, disk.writes.size() + " tries");
        assertEquals(60_000, store.stalledMillis());
        assertTrue(!put.isDone());
        // However many puts come, it is tried ten times a second at most.
        int before = disk.writes.size();
        for (int i = 0; i < 1_000; i++) {
            store.put(Map.of("a", "" + i));
            environment.until(environment.nowMillis() + 5);
        }
        assertTrue(disk.writes.size() - before < 55, disk.writes.size() - before + " tries in 5 s");
        disk.failsWrites = false;
        environment.until(environment.nowMillis() + 2_100);
        assertTrue(put.isDone());
        assertEquals(Map.of("a", "999"), disk.contents);
        assertEquals(0, store.stalledMillis());
    }

    @Test
    void reportsStallAndContinuesAfterwards() {
        FaultyStore disk = new FaultyStore();
        RetryingStateStore store = new RetryingStateStore(environment, disk);
        assertEquals(0, store.stalledMillis());
        disk.hangsWrites = true;
        List<Integer> over = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            int number = i;
            store.put(Map.of("n", "" + i)).thenRun(() -> over.add(number));
            environment.until(environment.nowMillis() + 1_000);
        }
        assertEquals(5_000, store.stalledMillis());
        assertEquals(1, disk.writes.size());
        disk.hangsWrites = false;
        disk.completeWrite(disk.writes.get(0), true, false);
        assertEquals(List.of(0), over);
        assertEquals(4_000, store.stalledMillis(), "of the next that waits");
        environment.until(environment.nowMillis() + 4);
        assertEquals(List.of(0, 1, 2, 3, 4), over);
        assertEquals(Map.of("n", "4"), disk.contents);
        assertEquals(2, disk.writes.size(), "what waited went together");
    }

    /**
     * What is there is not written again, unless the disk refused it and may hold the one or the
     * other.
     */
    @Test
    void skipsTextsThatAreOnDisk() {
        FaultyStore disk = new FaultyStore();
        disk.contents.put("a", "1");
        RetryingStateStore store = new RetryingStateStore(environment, disk);
        assertTrue(store.put(Map.of("a", "1")).isDone());
        assertEquals(0, disk.writes.size());
        store.put(Map.of("a", "1", "b", "1", "c", ""));
        environment.until(10);
        assertEquals(List.of(Map.of("b", "1", "c", "")), disk.writes);
        disk.failsWrites = true;
        disk.appliesFailedWrites = true;
        store.put(Map.of("b", "2"));
        environment.until(20);
        disk.failsWrites = false;
        CompletableFuture<Void> back = store.put(Map.of("b", "1"));
        environment.until(200);
        assertTrue(back.isDone());
        assertEquals(Map.of("a", "1", "b", "1"), disk.contents);
        store.put(Map.of("b", ""));
        environment.until(300);
        assertEquals(Map.of("a", "1"), disk.contents);
    }

    @Test
    void rejectsTooLongTextsAndContinues() {
        FaultyStore disk = new FaultyStore();
        RetryingStateStore store = new RetryingStateStore(environment, disk);
        assertTrue(
                store.put(Map.of("a", "x".repeat(StateStore.MAX_LENGTH_CHARS + 1)))
                        .isCompletedExceptionally());
        CompletableFuture<Void> fits =
                store.put(Map.of("a", "x".repeat(StateStore.MAX_LENGTH_CHARS)));
        environment.until(10);
        assertTrue(fits.isDone() && !fits.isCompletedExceptionally());
        disk.hangsWrites = true;
        List<CompletableFuture<Void>> all = new ArrayList<>();
        for (int i = 0; i < 10_050; i++) {
            all.add(store.put(Map.of("n" + i % 7, "" + i)));
        }
        assertEquals(50, all.stream().filter(CompletableFuture::isCompletedExceptionally).count());
        assertThrows(CompletionException.class, () -> all.get(10_049).join());
        disk.hangsWrites = false;
        disk.completeWrite(disk.writes.get(1), true, false);
        environment.until(20);
        assertEquals(
                "10049",
                disk.contents.get("n" + 10_049 % 7),
                "and what it held is kept all the same");
    }

    /**
     * The process itself: a record of who leads that the disk refused is in its next life, though
     * no other record follows.
     */
    @Test
    void storesPrimaryRecordAfterFailedWrite() throws Exception {
        FaultyStore disk = new FaultyStore();
        ControlNode core = SingleNode.start(environment, disk);
        environment.until(8_000);
        for (int i = 1; i <= 6; i++) {
            disk.failsWrites = i <= 1;
            core.handle(
                    "POST",
                    "/Instances.Heartbeat/i-1",
                    ("{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone_name\":\"a\",\"state\":\"ready\","
                                    + "\"database_role\":\"primary\",\"call_sequence\":"
                                    + i
                                    + "}")
                            .getBytes(StandardCharsets.UTF_8));
            environment.until(environment.nowMillis() + 500);
            assertTrue(i > 1 || !disk.contents.containsKey("lead:s"));
        }
        assertTrue(core.status().contains(" | s primary=i-1"), core.status());
        assertEquals(
                1,
                disk.writes.stream()
                        .map(put -> put.get("lead:s"))
                        .filter(java.util.Objects::nonNull)
                        .distinct()
                        .count());
        assertTrue(
                disk.contents.getOrDefault("lead:s", "").contains("i-1"), disk.contents.toString());
        assertTrue(disk.contents.containsKey("server:i-1"), disk.contents.toString());
    }

    /**
     * Any order of puts, refusals and pauses: whoever was told has it on the disk, in the order of
     * the puts, and in the end all have.
     */
    @Test
    void completesOnlyDurableWrites() {
        for (long seed = 1; seed <= 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            FaultyStore disk = new FaultyStore();
            RetryingStateStore store = new RetryingStateStore(environment, disk);
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
                                                                            disk.contents
                                                                                    .getOrDefault(
                                                                                            name,
                                                                                            "-1"))
                                                                    >= number,
                                                            name));
                                });
                if (random.nextInt(8) == 0) {
                    disk.failsWrites = !disk.failsWrites;
                    disk.appliesFailedWrites = random.nextBoolean();
                }
                disk.writeMillis = random.nextInt(40);
                environment.until(environment.nowMillis() + random.nextInt(60));
            }
            disk.failsWrites = false;
            environment.until(environment.nowMillis() + 4_200);
            assertEquals(150, told.size(), "seed " + seed);
            for (int i = 0; i < 150; i++) {
                assertEquals(i, told.get(i), "seed " + seed);
            }
            newest.forEach((name, number) -> assertEquals("" + number, disk.contents.get(name)));
        }
    }
}
