package dillfront.router.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.logging.Log;
import dillfront.common.storage.CompactingLog;
import dillfront.common.storage.KeyValueStore;
import dillfront.common.storage.StorageFolder;
import dillfront.router.operator.OperatorConfig;
import dillfront.routing.api.MemberState;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks the state store against a power loss at any write, a full disk, and files that are
 * truncated, damaged, locked, of another router or of another format.
 */
class RouterStateStoreTest {

    private static final int SECTOR = 512;

    @TempDir Path dir;
    private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
    private final Log log = new Log(new PrintStream(lines, true));

    /**
     * A simulated disk. A power loss may drop any sector written since the last sync of its file,
     * and any creation, change or removal of a name since the last sync of the folder. A call may
     * fail with or without having had its effect.
     */
    private static final class LossyDisk implements StorageFolder {

        private final Map<String, byte[]> files = new TreeMap<>();
        private final Map<String, Integer> syncedLengths = new HashMap<>();

        /** Other contents that may be found under a name after a power loss; null for no file. */
        private final Map<String, List<byte[]>> formerContents = new TreeMap<>();

        private Runnable afterEachCall = () -> {};

        /** Bytes that may still be written. */
        private long freeBytes = Long.MAX_VALUE;

        /** The call that fails, counted from now, and whether it has its effect all the same. */
        private int callsUntilFailure = Integer.MAX_VALUE;

        private boolean failedCallTakesEffect;
        private long bytesWritten;

        LossyDisk(Map<String, byte[]> files) {
            this.files.putAll(files);
        }

        /**
         * Returns whether this call has its effect; the caller then throws in any case if the call
         * is to fail.
         */
        private boolean takesEffect() {
            return --callsUntilFailure != 0 || failedCallTakesEffect;
        }

        private void throwIfFailing() throws IOException {
            if (callsUntilFailure == 0) {
                throw new IOException("Input/output error");
            }
        }

        @Override
        public byte[] read(String name) {
            return files.get(name);
        }

        @Override
        public void append(String name, ByteBuffer bytes) throws IOException {
            if (takesEffect()) {
                byte[] before = files.get(name);
                if (before == null) {
                    recordName(name);
                    before = new byte[0];
                }
                int fits = (int) Math.min(bytes.remaining(), freeBytes);
                byte[] after = Arrays.copyOf(before, before.length + fits);
                bytes.get(after, before.length, fits);
                files.put(name, after);
                syncedLengths.putIfAbsent(name, before.length);
                freeBytes -= fits;
                bytesWritten += fits;
                afterEachCall.run();
            }
            throwIfFailing();
            if (bytes.hasRemaining()) {
                throw new IOException("No space left on device");
            }
        }

        @Override
        public void sync(String name) throws IOException {
            if (takesEffect()) {
                syncedLengths.remove(name);
            }
            afterEachCall.run();
            throwIfFailing();
        }

        @Override
        public void truncate(String name, long length) throws IOException {
            if (takesEffect() && files.get(name).length > length) {
                files.put(name, Arrays.copyOf(files.get(name), (int) length));
                syncedLengths.remove(name);
            }
            afterEachCall.run();
            throwIfFailing();
        }

        @Override
        public void rename(String from, String to) throws IOException {
            assertTrue(!syncedLengths.containsKey(from), "renamed before it was synced");
            afterEachCall.run();
            if (takesEffect()) {
                recordName(from);
                recordName(to);
                files.put(to, files.remove(from));
                syncedLengths.remove(to);
            }
            afterEachCall.run();
            throwIfFailing();
        }

        @Override
        public void delete(String name) throws IOException {
            if (takesEffect() && files.containsKey(name)) {
                recordName(name);
                files.remove(name);
                syncedLengths.remove(name);
            }
            throwIfFailing();
        }

        @Override
        public void syncDirectory() throws IOException {
            if (takesEffect()) {
                formerContents.clear();
            }
            afterEachCall.run();
            throwIfFailing();
        }

        /** Records that this name is about to refer to another file or to none. */
        private void recordName(String name) {
            formerContents.computeIfAbsent(name, n -> new ArrayList<>()).add(files.get(name));
        }

        @Override
        public void close() {}

        /**
         * Returns the possible contents after a power loss at this moment: all of them if they are
         * few, else a random sample.
         */
        List<Map<String, byte[]>> statesAfterPowerLoss(SplittableRandom random) {
            List<Map<String, byte[]>> all = new ArrayList<>();
            for (Map<String, byte[]> names : nameStates()) {
                all.add(names);
                syncedLengths.forEach(
                        (name, from) -> {
                            byte[] now = files.get(name);
                            if (names.get(name) != now) {
                                return;
                            }
                            int first = from / SECTOR;
                            int sectors = (now.length + SECTOR - 1) / SECTOR - first;
                            for (int subset = 0; subset < 1 << Math.min(sectors, 5); subset++) {
                                byte[] disk = now.clone();
                                int end = 0;
                                for (int k = 0; k < sectors; k++) {
                                    boolean there =
                                            sectors <= 5
                                                    ? (subset >> k & 1) != 0
                                                    : random.nextBoolean();
                                    int at = Math.max(from, (first + k) * SECTOR);
                                    int to = Math.min(now.length, (first + k + 1) * SECTOR);
                                    if (!there) {
                                        Arrays.fill(disk, at, to, (byte) 0);
                                    }
                                    end = there ? to : end;
                                }
                                // Zeros up to the end, or a length that was not written either.
                                for (byte[] one :
                                        List.of(disk, Arrays.copyOf(disk, Math.max(from, end)))) {
                                    Map<String, byte[]> found = new TreeMap<>(names);
                                    found.put(name, one);
                                    all.add(found);
                                }
                            }
                        });
            }
            return all;
        }

        /** Returns all combinations of names, each one as it is or as it was. */
        private List<Map<String, byte[]>> nameStates() {
            List<Map<String, byte[]>> all = new ArrayList<>(List.of(new TreeMap<>(files)));
            formerContents.forEach(
                    (name, was) -> {
                        for (Map<String, byte[]> one : new ArrayList<>(all)) {
                            for (byte[] file : was) {
                                Map<String, byte[]> other = new TreeMap<>(one);
                                if (file == null) {
                                    other.remove(name);
                                } else {
                                    other.put(name, file);
                                }
                                all.add(other);
                            }
                        }
                    });
            return all;
        }
    }

    private static String state(CompactingLog storage) {
        return new TreeMap<>(storage.strings()) + " " + new TreeMap<>(storage.numbers());
    }

    /**
     * Simulates a power loss at each write, sync and change of names, with any subset of the
     * unsynced sectors lost. After a restart the store holds all acknowledged puts, or these and
     * the next one, complete. It can be written to again, also across another power loss.
     */
    @Test
    void survivesPowerLossAtEachWrite() throws Exception {
        SplittableRandom random = new SplittableRandom(6);
        LossyDisk disk = new LossyDisk(Map.of());
        CompactingLog storage = CompactingLog.open(disk, "m", "r1");
        List<String> allowedStates = new ArrayList<>();
        int[] checked = new int[1];
        disk.afterEachCall =
                () ->
                        disk.statesAfterPowerLoss(random)
                                .forEach(
                                        files -> {
                                            checked[0]++;
                                            try {
                                                LossyDisk nextDisk = new LossyDisk(files);
                                                CompactingLog reopened =
                                                        CompactingLog.open(nextDisk, "m", "r1");
                                                assertTrue(
                                                        allowedStates.contains(state(reopened)),
                                                        "at power loss "
                                                                + checked[0]
                                                                + ": "
                                                                + state(reopened)
                                                                + " of "
                                                                + allowedStates);
                                                reopened.put(Map.of("after", "this"), Map.of());
                                                assertEquals(
                                                        state(reopened),
                                                        state(
                                                                CompactingLog.open(
                                                                        nextDisk, "m", "r1")));
                                                assertTrue(
                                                        reopened.damage() == null
                                                                || !reopened.isQuarantined(),
                                                        reopened.damage());
                                            } catch (CompactingLog.UnusableLogException bad) {
                                                throw new AssertionError(
                                                        "at power loss " + checked[0], bad);
                                            }
                                        });
        Map<String, String> texts = new TreeMap<>();
        Map<Long, Long> numbers = new TreeMap<>();
        for (int i = 0; i < 400; i++) {
            Map<String, String> textBatch = new HashMap<>();
            Map<Long, Long> keyBatch = new HashMap<>();
            for (int k = 0; k <= random.nextInt(4); k++) {
                textBatch.put(
                        "s-" + random.nextInt(40),
                        random.nextInt(4) == 0
                                ? ""
                                : "DRAINING 0 " + i + "x".repeat(random.nextInt(300)));
                keyBatch.put((long) random.nextInt(60), random.nextInt(3) == 0 ? null : (long) i);
            }
            allowedStates.clear();
            allowedStates.add(texts + " " + numbers);
            texts.putAll(textBatch);
            texts.values().removeIf(String::isEmpty);
            numbers.putAll(keyBatch);
            numbers.values().removeIf(java.util.Objects::isNull);
            allowedStates.add(texts + " " + numbers);
            storage.put(textBatch, keyBatch);
        }
        assertTrue(checked[0] > 3000, "checked " + checked[0] + " power losses");
    }

    /**
     * A full disk, for any length of the remaining space, loses no acknowledged entry, and the
     * store works again once there is space.
     */
    @Test
    void fullDiskLosesNothing() throws Exception {
        for (int room = 0; room < 300; room += 7) {
            LossyDisk disk = new LossyDisk(Map.of());
            CompactingLog storage = CompactingLog.open(disk, "m", "r1");
            storage.put(Map.of("a", "1"), Map.of(7L, 7L));
            disk.freeBytes = room;
            long last = 7;
            try {
                while (true) {
                    storage.put(Map.of(), Map.of(last + 1, 0L));
                    last++;
                }
            } catch (CompactingLog.UnusableLogException full) {
                assertEquals("m/memory.log: No space left on device", full.getMessage());
            }
            assertEquals(
                    last - 6,
                    CompactingLog.open(new LossyDisk(disk.files), "m", "r1").numbers().size());
            disk.freeBytes = 1000;
            storage.put(Map.of(), Map.of(100L, 0L));
            assertEquals(
                    last - 5,
                    CompactingLog.open(new LossyDisk(disk.files), "m", "r1").numbers().size());
        }
    }

    /**
     * Any single call of the disk fails, with or without its effect, at any moment of many puts;
     * later calls succeed. At whatever moment a power loss follows, the next start finds all
     * acknowledged puts, with or without the failed one, and never reports the file as damaged.
     */
    @Test
    void survivesAnySingleDiskFailure() throws Exception {
        int[] failed = new int[1];
        int[] checked = new int[1];
        for (int call = 1; call <= 130; call++) {
            for (boolean done : new boolean[] {false, true}) {
                SplittableRandom random = new SplittableRandom(call);
                LossyDisk disk = new LossyDisk(Map.of());
                CompactingLog storage = CompactingLog.open(disk, "m", "r1");
                List<String> allowedStates = new ArrayList<>();
                int currentCall = call;
                disk.afterEachCall =
                        () -> {
                            // Moments without a recent failure are covered by the test above.
                            for (Map<String, byte[]> files :
                                    disk.callsUntilFailure > 2 || disk.callsUntilFailure < -8
                                            ? List.<Map<String, byte[]>>of()
                                            : disk.statesAfterPowerLoss(random)) {
                                checked[0]++;
                                try {
                                    CompactingLog reopened =
                                            CompactingLog.open(new LossyDisk(files), "m", "r1");
                                    assertTrue(
                                            allowedStates.contains(state(reopened)),
                                            "call "
                                                    + currentCall
                                                    + " "
                                                    + done
                                                    + ": "
                                                    + state(reopened).length()
                                                    + " of "
                                                    + allowedStates.size());
                                    assertTrue(
                                            !reopened.isQuarantined(),
                                            "call "
                                                    + currentCall
                                                    + " "
                                                    + done
                                                    + ": "
                                                    + reopened.damage());
                                } catch (CompactingLog.UnusableLogException bad) {
                                    throw new AssertionError("call " + currentCall, bad);
                                }
                            }
                        };
                disk.callsUntilFailure = call;
                disk.failedCallTakesEffect = done;
                Map<String, String> expected = new TreeMap<>();
                allowedStates.add(expected + " {}");
                for (int i = 0; i < 40; i++) {
                    // Large texts, so that the file is rewritten now and then.
                    Map<String, String> put =
                            Map.of(
                                    "s-" + i % 3,
                                    i + "x".repeat(random.nextInt(12_000)),
                                    "n",
                                    "" + i);
                    Map<String, String> next = new TreeMap<>(expected);
                    next.putAll(put);
                    allowedStates.add(next + " {}");
                    try {
                        storage.put(put, Map.of());
                        expected = next;
                        allowedStates.clear();
                        allowedStates.add(expected + " {}");
                        assertEquals(expected + " {}", state(storage));
                    } catch (CompactingLog.UnusableLogException bad) {
                        failed[0]++;
                        assertEquals(expected + " {}", state(storage));
                    }
                }
                assertTrue(
                        allowedStates.contains(
                                state(CompactingLog.open(new LossyDisk(disk.files), "m", "r1"))),
                        "call " + call + " " + done);
            }
        }
        assertTrue(failed[0] > 100, failed[0] + " puts failed");
        assertTrue(checked[0] > 4_000, "checked " + checked[0] + " power losses");
    }

    /**
     * A process uses nothing from a damaged file, and no later run does, at whatever moment the
     * process ended while it detected the damage.
     */
    @Test
    void usesNothingFromDamagedFile() throws Exception {
        LossyDisk disk = new LossyDisk(Map.of());
        KeyValueStore store = KeyValueStore.open(disk, "m", "r1");
        for (int i = 0; i < 8; i++) {
            store.put(Map.of("s-" + i, "promised " + i));
        }
        byte[] good = disk.files.get(CompactingLog.FILE_NAME);
        SplittableRandom random = new SplittableRandom(9);
        int damaged = 0;
        for (int at = 25; at < good.length - 60; at++) {
            byte[] bad = good.clone();
            bad[at] ^= 0x10;
            LossyDisk next = new LossyDisk(Map.of(CompactingLog.FILE_NAME, bad));
            next.afterEachCall =
                    () ->
                            next.statesAfterPowerLoss(random)
                                    .forEach(
                                            files -> {
                                                try {
                                                    KeyValueStore again =
                                                            KeyValueStore.open(
                                                                    new LossyDisk(files),
                                                                    "m",
                                                                    "r1");
                                                    assertEquals(Map.of(), again.entries());
                                                } catch (KeyValueStore.StorageException broken) {
                                                    throw new AssertionError(broken);
                                                }
                                            });
            KeyValueStore found = KeyValueStore.open(next, "m", "r1");
            assertTrue(found.isDamaged(), "at " + at);
            assertEquals(Map.of(), found.entries());
            next.afterEachCall = () -> {};
            found.put(Map.of("id", "another"));
            KeyValueStore later = KeyValueStore.open(new LossyDisk(next.files), "m", "r1");
            assertTrue(!later.isDamaged());
            assertEquals(Map.of("id", "another"), later.entries());
            damaged++;
        }
        assertTrue(damaged > 100, damaged + " damaged bytes checked");
        // A first record that is torn or damaged: it was synced before the file got its name, so it
        // is not a torn tail.
        LossyDisk fresh = new LossyDisk(Map.of());
        KeyValueStore.open(fresh, "m", "r1");
        byte[] first = fresh.files.get(CompactingLog.FILE_NAME);
        for (int at = 19; at < first.length; at++) {
            byte[] bad = first.clone();
            bad[at] ^= 0x10;
            assertTrue(
                    KeyValueStore.open(
                                    new LossyDisk(Map.of(CompactingLog.FILE_NAME, bad)), "m", "r1")
                            .isDamaged(),
                    "at " + at);
            assertTrue(
                    KeyValueStore.open(
                                    new LossyDisk(
                                            Map.of(
                                                    CompactingLog.FILE_NAME,
                                                    Arrays.copyOf(first, at))),
                                    "m",
                                    "r1")
                            .isDamaged(),
                    "cut at " + at);
        }
        // A file with its header alone: its first record was synced with it, so it is not a torn
        // tail.
        KeyValueStore head =
                KeyValueStore.open(
                        new LossyDisk(Map.of(CompactingLog.FILE_NAME, Arrays.copyOf(good, 19))),
                        "m",
                        "r1");
        assertTrue(head.isDamaged());
        KeyValueStore none =
                KeyValueStore.open(
                        new LossyDisk(Map.of(CompactingLog.FILE_NAME, new byte[0])), "m", "r1");
        assertTrue(none.isDamaged());
    }

    /**
     * A text that is too long for the format is rejected and leaves the stored entries unchanged.
     */
    @Test
    void rejectsTooLongText() throws Exception {
        LossyDisk disk = new LossyDisk(Map.of());
        KeyValueStore store = KeyValueStore.open(disk, "m", "r1");
        String longest = "é".repeat(32_767) + "x";
        store.put(Map.of("a", longest));
        assertThrows(
                IllegalArgumentException.class,
                () -> store.put(Map.of("b", "1", "a", longest + "x")));
        assertThrows(IllegalArgumentException.class, () -> store.put(Map.of(longest + "x", "1")));
        store.put(Map.of("c", "2"));
        assertEquals(
                Map.of("a", longest, "c", "2"),
                KeyValueStore.open(new LossyDisk(disk.files), "m", "r1").entries());
    }

    /**
     * After a damaged byte the records before it are kept and the original file is set aside; a
     * damaged tail alone is cut off.
     */
    @Test
    void keepsRecordsBeforeDamage() throws Exception {
        LossyDisk disk = new LossyDisk(Map.of());
        CompactingLog storage = CompactingLog.open(disk, "m", "r1");
        for (int i = 0; i < 8; i++) {
            storage.put(Map.of("s-" + i, "DRAINING"), Map.of());
        }
        byte[] good = disk.files.get(CompactingLog.FILE_NAME);
        int last = good.length;
        for (int at = 0; at < good.length; at++) {
            byte[] bad = good.clone();
            bad[at] ^= 0x40;
            LossyDisk next = new LossyDisk(Map.of(CompactingLog.FILE_NAME, bad));
            try {
                CompactingLog found = CompactingLog.open(next, "m", "r1");
                assertTrue(found.damage() != null, "damage at " + at + " was not detected");
                assertTrue(found.strings().size() < 8, "at " + at);
                assertEquals(
                        found.isQuarantined(), next.files.containsKey("memory.broken"), "at " + at);
                last = found.isQuarantined() ? last : Math.min(last, at);
            } catch (CompactingLog.UnusableLogException format) {
                assertTrue(
                        format.getMessage().startsWith("m/memory.log is of format"),
                        format.getMessage());
            }
        }
        assertTrue(
                last > good.length - 60,
                "a torn tail is the last record only, not the data from " + last);
        for (int cut = 0; cut < good.length; cut++) {
            CompactingLog found =
                    CompactingLog.open(
                            new LossyDisk(
                                    Map.of(CompactingLog.FILE_NAME, Arrays.copyOf(good, cut))),
                            "m",
                            "r1");
            assertTrue(found.strings().size() < 8, "cut at " + cut);
        }
    }

    /**
     * The space of removed entries is reclaimed, so the file does not grow with the number of
     * transactions.
     */
    @Test
    void fileSizeIsBounded() throws Exception {
        CompactingLog storage = CompactingLog.open(new StorageFolder.LocalFolder(dir), "m", "r1");
        long maxSize = 0;
        for (long i = 0; i < 3000; i++) {
            Map<Long, Long> batch = new HashMap<>(Map.of(i, i));
            batch.put(i - 20, null);
            storage.put(Map.of(), batch);
            maxSize = Math.max(maxSize, Files.size(dir.resolve(CompactingLog.FILE_NAME)));
        }
        storage.close();
        assertTrue(
                maxSize > 60_000 && maxSize < 70_000, "maximum file size: " + maxSize + " bytes");
    }

    @Test
    void restoresClosingsAfterRestart() throws Exception {
        Path folder = dir.resolve("r1");
        RouterStateStore first = RouterStateStore.open(folder, "r1", log, Runnable::run);
        first.nodeClosed("s-1", MemberState.DRAINING, 7, 42);
        first.nodeClosed("s-2", MemberState.GONE, 0, 43);
        first.nodeClosed("s-3", MemberState.GONE, 0, 44);
        first.nodeOpened("s-3");
        OperatorConfig.InvalidOperatorConfigException lockedFailure =
                assertThrows(
                        OperatorConfig.InvalidOperatorConfigException.class,
                        () -> RouterStateStore.open(folder, "r1", log, Runnable::run));
        assertTrue(
                lockedFailure.getMessage().contains("another process holds"),
                lockedFailure.getMessage());
        first.close();
        OperatorConfig.InvalidOperatorConfigException otherNameFailure =
                assertThrows(
                        OperatorConfig.InvalidOperatorConfigException.class,
                        () -> RouterStateStore.open(folder, "r2", log, Runnable::run));
        assertTrue(
                otherNameFailure.getMessage().contains("is that of router 'r1', and this is 'r2'"),
                otherNameFailure.getMessage());
        RouterStateStore second = RouterStateStore.open(folder, "r1", log, Runnable::run);
        assertEquals(
                Set.of(
                        new RouterStateStore.Closing("s-1", MemberState.DRAINING, 7, 42),
                        new RouterStateStore.Closing("s-2", MemberState.GONE, 0, 43)),
                Set.copyOf(second.closings()));
        second.close();
    }

    @Test
    void setsAsideForeignFile() throws Exception {
        Path folder = Files.createDirectories(dir.resolve("r1"));
        Files.writeString(folder.resolve(CompactingLog.FILE_NAME), "no store at all ".repeat(1000));
        RouterStateStore memory = RouterStateStore.open(folder, "r1", log, Runnable::run);
        assertEquals(List.of(), memory.closings());
        memory.close();
        assertTrue(Files.exists(folder.resolve("memory.broken")), "the damaged file is kept");
        assertTrue(
                lines.toString(StandardCharsets.UTF_8)
                        .contains(
                                "memory-broken fault=\"" + folder.resolve(CompactingLog.FILE_NAME)),
                lines.toString(StandardCharsets.UTF_8));
        Path file = Files.createFile(dir.resolve("file"));
        OperatorConfig.InvalidOperatorConfigException none =
                assertThrows(
                        OperatorConfig.InvalidOperatorConfigException.class,
                        () -> RouterStateStore.open(file, "r1", log, Runnable::run));
        assertTrue(none.getMessage().startsWith("memory " + file), none.getMessage());
    }
}
