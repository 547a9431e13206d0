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
 * Tests a store that fails, hangs, or writes despite reporting a failure: all texts are eventually
 * written, and no write completes before its texts are on disk.
 */
class RetryingStateStoreTest {

    private final ManualEnvironment environment = new ManualEnvironment();

    /** A store whose writes take 3 ms by default and fail or hang on demand. */
    private final class FaultyStore implements StateStore {
        final TreeMap<String, String> contents = new TreeMap<>();
        final List<Map<String, String>> writes = new ArrayList<>();
        long writeMillis = 3;
        boolean failsWrites;

        /** Whether a failed write is applied nevertheless. */
        boolean appliesFailedWrites;

        boolean hangsWrites;
        private CompletableFuture<Void> pendingWrite;

        @Override
        public Map<String, String> initialState() {
            return new HashMap<>(contents);
        }

        @Override
        public CompletableFuture<Void> put(Map<String, String> texts) {
            assertTrue(pendingWrite == null || pendingWrite.isDone(), "concurrent writes");
            writes.add(new TreeMap<>(texts));
            CompletableFuture<Void> future = new CompletableFuture<>();
            pendingWrite = future;
            boolean fails = failsWrites;
            boolean applies = !fails || appliesFailedWrites;
            if (!hangsWrites) {
                environment.runAfter(writeMillis, () -> completeWrite(texts, applies, fails));
            }
            return future;
        }

        void completeWrite(Map<String, String> texts, boolean applies, boolean fails) {
            if (applies) {
                contents.putAll(texts);
                contents.values().removeIf(String::isEmpty);
            }
            if (fails) {
                pendingWrite.completeExceptionally(
                        new IllegalStateException("No space left on device"));
            } else {
                pendingWrite.complete(null);
            }
        }
    }

    /**
     * Guards against losing texts of a failed write: they are written with the next one and survive
     * a restart (issue 44, finding 3).
     */
    @Test
    void writesFailedTextsWithNextWrite() {
        FaultyStore underlying = new FaultyStore();
        RetryingStateStore store = new RetryingStateStore(environment, underlying);
        underlying.failsWrites = true;
        CompletableFuture<Void> first = store.put(Map.of("a", "1", "b", "1"));
        environment.advanceTo(20);
        assertTrue(!first.isDone());
        assertEquals(Map.of(), underlying.contents);
        underlying.failsWrites = false;
        environment.advanceTo(50);
        CompletableFuture<Void> second = store.put(Map.of("b", "2", "c", "2"));
        environment.advanceTo(120);
        assertTrue(first.isDone() && second.isDone());
        assertEquals(Map.of("a", "1", "b", "2", "c", "2"), underlying.contents);
        assertEquals(2, underlying.writes.size());
    }

    @Test
    void retriesFailedWritesWithBackoff() {
        FaultyStore underlying = new FaultyStore();
        RetryingStateStore store = new RetryingStateStore(environment, underlying);
        underlying.failsWrites = true;
        CompletableFuture<Void> put = store.put(Map.of("a", "1"));
        environment.advanceTo(60_000);
        assertTrue(
                underlying.writes.size() > 25 && underlying.writes.size() < 40,
                underlying.writes.size() + " attempts");
        assertEquals(60_000, store.stalledMillis());
        assertTrue(!put.isDone());
        // The number of retries is at most ten per second, regardless of the number of writes.
        int writesBefore = underlying.writes.size();
        for (int i = 0; i < 1_000; i++) {
            store.put(Map.of("a", "" + i));
            environment.advanceTo(environment.nowMillis() + 5);
        }
        assertTrue(
                underlying.writes.size() - writesBefore < 55,
                underlying.writes.size() - writesBefore + " attempts in 5 s");
        underlying.failsWrites = false;
        environment.advanceTo(environment.nowMillis() + 2_100);
        assertTrue(put.isDone());
        assertEquals(Map.of("a", "999"), underlying.contents);
        assertEquals(0, store.stalledMillis());
    }

    @Test
    void reportsStallAndContinuesAfterwards() {
        FaultyStore underlying = new FaultyStore();
        RetryingStateStore store = new RetryingStateStore(environment, underlying);
        assertEquals(0, store.stalledMillis());
        underlying.hangsWrites = true;
        List<Integer> completed = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            int number = i;
            store.put(Map.of("n", "" + i)).thenRun(() -> completed.add(number));
            environment.advanceTo(environment.nowMillis() + 1_000);
        }
        assertEquals(5_000, store.stalledMillis());
        assertEquals(1, underlying.writes.size());
        underlying.hangsWrites = false;
        underlying.completeWrite(underlying.writes.get(0), true, false);
        assertEquals(List.of(0), completed);
        assertEquals(4_000, store.stalledMillis(), "stall of the next pending write");
        environment.advanceTo(environment.nowMillis() + 4);
        assertEquals(List.of(0, 1, 2, 3, 4), completed);
        assertEquals(Map.of("n", "4"), underlying.contents);
        assertEquals(2, underlying.writes.size(), "pending writes are combined");
    }

    /**
     * Texts on disk are not written again, unless a failed write makes the stored value uncertain.
     */
    @Test
    void skipsTextsThatAreOnDisk() {
        FaultyStore underlying = new FaultyStore();
        underlying.contents.put("a", "1");
        RetryingStateStore store = new RetryingStateStore(environment, underlying);
        assertTrue(store.put(Map.of("a", "1")).isDone());
        assertEquals(0, underlying.writes.size());
        store.put(Map.of("a", "1", "b", "1", "c", ""));
        environment.advanceTo(10);
        assertEquals(List.of(Map.of("b", "1", "c", "")), underlying.writes);
        underlying.failsWrites = true;
        underlying.appliesFailedWrites = true;
        store.put(Map.of("b", "2"));
        environment.advanceTo(20);
        underlying.failsWrites = false;
        CompletableFuture<Void> restored = store.put(Map.of("b", "1"));
        environment.advanceTo(200);
        assertTrue(restored.isDone());
        assertEquals(Map.of("a", "1", "b", "1"), underlying.contents);
        store.put(Map.of("b", ""));
        environment.advanceTo(300);
        assertEquals(Map.of("a", "1"), underlying.contents);
    }

    @Test
    void rejectsTooLongTextsAndContinues() {
        FaultyStore underlying = new FaultyStore();
        RetryingStateStore store = new RetryingStateStore(environment, underlying);
        assertTrue(
                store.put(Map.of("a", "x".repeat(StateStore.MAX_LENGTH_CHARS + 1)))
                        .isCompletedExceptionally());
        CompletableFuture<Void> longest =
                store.put(Map.of("a", "x".repeat(StateStore.MAX_LENGTH_CHARS)));
        environment.advanceTo(10);
        assertTrue(longest.isDone() && !longest.isCompletedExceptionally());
        underlying.hangsWrites = true;
        List<CompletableFuture<Void>> results = new ArrayList<>();
        for (int i = 0; i < 10_050; i++) {
            results.add(store.put(Map.of("n" + i % 7, "" + i)));
        }
        assertEquals(
                50, results.stream().filter(CompletableFuture::isCompletedExceptionally).count());
        assertThrows(CompletionException.class, () -> results.get(10_049).join());
        underlying.hangsWrites = false;
        underlying.completeWrite(underlying.writes.get(1), true, false);
        environment.advanceTo(20);
        assertEquals(
                "10049",
                underlying.contents.get("n" + 10_049 % 7),
                "texts of a rejected write are still stored");
    }

    /**
     * Guards against a primary record missing after a restart because its write failed and no other
     * record followed.
     */
    @Test
    void storesPrimaryRecordAfterFailedWrite() throws Exception {
        FaultyStore underlying = new FaultyStore();
        ControlNode node = SingleNode.start(environment, underlying);
        environment.advanceTo(8_000);
        for (int i = 1; i <= 6; i++) {
            underlying.failsWrites = i <= 1;
            node.handle(
                    "POST",
                    "/Instances.Heartbeat/i-1",
                    ("{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone_name\":\"a\",\"state\":\"ready\","
                                    + "\"database_role\":\"primary\",\"call_sequence\":"
                                    + i
                                    + "}")
                            .getBytes(StandardCharsets.UTF_8));
            environment.advanceTo(environment.nowMillis() + 500);
            assertTrue(i > 1 || !underlying.contents.containsKey("lead:s"));
        }
        assertTrue(node.status().contains(" | s primary=i-1"), node.status());
        assertEquals(
                1,
                underlying.writes.stream()
                        .map(put -> put.get("lead:s"))
                        .filter(java.util.Objects::nonNull)
                        .distinct()
                        .count());
        assertTrue(
                underlying.contents.getOrDefault("lead:s", "").contains("i-1"),
                underlying.contents.toString());
        assertTrue(underlying.contents.containsKey("server:i-1"), underlying.contents.toString());
    }

    /**
     * For random writes, failures and delays: completed writes are on disk, they complete in order,
     * and in the end all texts are written.
     */
    @Test
    void completesOnlyDurableWrites() {
        for (long seed = 1; seed <= 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            FaultyStore underlying = new FaultyStore();
            RetryingStateStore store = new RetryingStateStore(environment, underlying);
            TreeMap<String, Integer> newest = new TreeMap<>();
            List<Integer> completed = new ArrayList<>();
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
                                    completed.add(number);
                                    put.forEach(
                                            (name, text) ->
                                                    assertTrue(
                                                            Integer.parseInt(
                                                                            underlying.contents
                                                                                    .getOrDefault(
                                                                                            name,
                                                                                            "-1"))
                                                                    >= number,
                                                            name));
                                });
                if (random.nextInt(8) == 0) {
                    underlying.failsWrites = !underlying.failsWrites;
                    underlying.appliesFailedWrites = random.nextBoolean();
                }
                underlying.writeMillis = random.nextInt(40);
                environment.advanceTo(environment.nowMillis() + random.nextInt(60));
            }
            underlying.failsWrites = false;
            environment.advanceTo(environment.nowMillis() + 4_200);
            assertEquals(150, completed.size(), "seed " + seed);
            for (int i = 0; i < 150; i++) {
                assertEquals(i, completed.get(i), "seed " + seed);
            }
            newest.forEach(
                    (name, number) -> assertEquals("" + number, underlying.contents.get(name)));
        }
    }
}
