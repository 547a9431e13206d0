package dillfront.router.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.logging.Log;
import dillfront.common.storage.CompactingLog;
import dillfront.common.storage.StorageFolder;
import dillfront.common.storage.TextStore;
import dillfront.router.operator.OperatorConfig;
import dillfront.routing.api.Standing;
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
 * Power that goes at any write, a disk that is full, a file that is cut, spoilt, another's, held or
 * no such file.
 */
class MemoryTest {

    private static final int SECTOR = 512;

    @TempDir Path dir;
    private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
    private final Log log = new Log(new PrintStream(lines, true));

    /**
     * A disk in the test's hands: of what was written since the last sync any sector may be lost,
     * and of names that were made, changed or removed since the last sync of the folder any by
     * itself. A call may fail, with what it was to do done or not.
     */
    private static final class Lossy implements StorageFolder {

        private final Map<String, byte[]> files = new TreeMap<>();
        private final Map<String, Integer> synced = new HashMap<>();

        /** What else may be found under a name after a loss of power; null for no file. */
        private final Map<String, List<byte[]>> former = new TreeMap<>();

        private Runnable each = () -> {};

        /** So many bytes may be written from now on. */
        private long room = Long.MAX_VALUE;

        /**
         * How many calls go well before one fails; and whether that one did its work all the same.
         */
        private int fine = Integer.MAX_VALUE;

        private boolean done;
        private long written;

        Lossy(Map<String, byte[]> files) {
            this.files.putAll(files);
        }

        /** Whether this call is to do its work; it ends with failed() in any case. */
        private boolean works() {
            return --fine != 0 || done;
        }

        private void failed() throws IOException {
            if (fine == 0) {
                throw new IOException("Input/output error");
            }
        }

        @Override
        public byte[] read(String name) {
            return files.get(name);
        }

        @Override
        public void append(String name, ByteBuffer bytes) throws IOException {
            if (works()) {
                byte[] before = files.get(name);
                if (before == null) {
                    named(name);
                    before = new byte[0];
                }
                int fits = (int) Math.min(bytes.remaining(), room);
                byte[] after = Arrays.copyOf(before, before.length + fits);
                bytes.get(after, before.length, fits);
                files.put(name, after);
                synced.putIfAbsent(name, before.length);
                room -= fits;
                written += fits;
                each.run();
            }
            failed();
            if (bytes.hasRemaining()) {
                throw new IOException("No space left on device");
            }
        }

        @Override
        public void sync(String name) throws IOException {
            if (works()) {
                synced.remove(name);
            }
            each.run();
            failed();
        }

        @Override
        public void truncate(String name, long length) throws IOException {
            if (works() && files.get(name).length > length) {
                files.put(name, Arrays.copyOf(files.get(name), (int) length));
                synced.remove(name);
            }
            each.run();
            failed();
        }

        @Override
        public void rename(String from, String to) throws IOException {
            assertTrue(!synced.containsKey(from), "renamed before it was synced");
            each.run();
            if (works()) {
                named(from);
                named(to);
                files.put(to, files.remove(from));
                synced.remove(to);
            }
            each.run();
            failed();
        }

        @Override
        public void delete(String name) throws IOException {
            if (works() && files.containsKey(name)) {
                named(name);
                files.remove(name);
                synced.remove(name);
            }
            failed();
        }

        @Override
        public void syncNames() throws IOException {
            if (works()) {
                former.clear();
            }
            each.run();
            failed();
        }

        /** This name is about to be another file's, or nobody's. */
        private void named(String name) {
            former.computeIfAbsent(name, n -> new ArrayList<>()).add(files.get(name));
        }

        @Override
        public void close() {}

        /**
         * What may be found after a loss of power now; all of it where there is little, else by
         * chance.
         */
        List<Map<String, byte[]>> after(SplittableRandom chance) {
            List<Map<String, byte[]>> all = new ArrayList<>();
            for (Map<String, byte[]> names : names()) {
                all.add(names);
                synced.forEach(
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
                                                    : chance.nextBoolean();
                                    int at = Math.max(from, (first + k) * SECTOR);
                                    int to = Math.min(now.length, (first + k + 1) * SECTOR);
                                    if (!there) {
                                        Arrays.fill(disk, at, to, (byte) 0);
                                    }
                                    end = there ? to : end;
                                }
                                // Zeros to the end, or a length that was not written either.
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

        /** Every way in which the names may be found, each by itself as it is or as it was. */
        private List<Map<String, byte[]>> names() {
            List<Map<String, byte[]>> all = new ArrayList<>(List.of(new TreeMap<>(files)));
            former.forEach(
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

    private static String state(CompactingLog shelf) {
        return new TreeMap<>(shelf.texts()) + " " + new TreeMap<>(shelf.numbers());
    }

    /**
     * Power goes at each write, sync and change of names, and of what is not synced any sectors are
     * lost. What the next life finds is all that was said to be kept, or that and the next put,
     * whole; and it can go on from there, also if power goes again.
     */
    @Test
    void powerGoesAtEachWriteAndAnySubsetOfUnsyncedSectorsIsLost() throws Exception {
        SplittableRandom chance = new SplittableRandom(6);
        Lossy disk = new Lossy(Map.of());
        CompactingLog shelf = CompactingLog.open(disk, "m", "r1");
        List<String> may = new ArrayList<>();
        int[] looked = new int[1];
        disk.each =
                () ->
                        disk.after(chance)
                                .forEach(
                                        files -> {
                                            looked[0]++;
                                            try {
                                                Lossy next = new Lossy(files);
                                                CompactingLog again =
                                                        CompactingLog.open(next, "m", "r1");
                                                assertTrue(
                                                        may.contains(state(again)),
                                                        "at look "
                                                                + looked[0]
                                                                + ": "
                                                                + state(again)
                                                                + " of "
                                                                + may);
                                                again.put(Map.of("after", "this"), Map.of());
                                                assertEquals(
                                                        state(again),
                                                        state(CompactingLog.open(next, "m", "r1")));
                                                assertTrue(
                                                        again.fault() == null
                                                                || !again.isMovedAside(),
                                                        again.fault());
                                            } catch (CompactingLog.UnusableLogException bad) {
                                                throw new AssertionError(
                                                        "at look " + looked[0], bad);
                                            }
                                        });
        Map<String, String> texts = new TreeMap<>();
        Map<Long, Long> numbers = new TreeMap<>();
        for (int i = 0; i < 400; i++) {
            Map<String, String> named = new HashMap<>();
            Map<Long, Long> numbered = new HashMap<>();
            for (int k = 0; k <= chance.nextInt(4); k++) {
                named.put(
                        "s-" + chance.nextInt(40),
                        chance.nextInt(4) == 0
                                ? ""
                                : "DRAINING 0 " + i + "x".repeat(chance.nextInt(300)));
                numbered.put((long) chance.nextInt(60), chance.nextInt(3) == 0 ? null : (long) i);
            }
            may.clear();
            may.add(texts + " " + numbers);
            texts.putAll(named);
            texts.values().removeIf(String::isEmpty);
            numbers.putAll(numbered);
            numbers.values().removeIf(java.util.Objects::isNull);
            may.add(texts + " " + numbers);
            shelf.put(named, numbered);
        }
        assertTrue(looked[0] > 3000, "looked at " + looked[0] + " disks");
    }

    /**
     * A disk that is full, for any length of what still fits, loses nothing that was kept, and
     * works on once there is room.
     */
    @Test
    void aDiskThatIsFullLosesNothing() throws Exception {
        for (int room = 0; room < 300; room += 7) {
            Lossy disk = new Lossy(Map.of());
            CompactingLog shelf = CompactingLog.open(disk, "m", "r1");
            shelf.put(Map.of("a", "1"), Map.of(7L, 7L));
            disk.room = room;
            long last = 7;
            try {
                while (true) {
                    shelf.put(Map.of(), Map.of(last + 1, 0L));
                    last++;
                }
            } catch (CompactingLog.UnusableLogException full) {
                assertEquals("m/memory.log: No space left on device", full.getMessage());
            }
            assertEquals(
                    last - 6,
                    CompactingLog.open(new Lossy(disk.files), "m", "r1").numbers().size());
            disk.room = 1000;
            shelf.put(Map.of(), Map.of(100L, 0L));
            assertEquals(
                    last - 5,
                    CompactingLog.open(new Lossy(disk.files), "m", "r1").numbers().size());
        }
    }

    /**
     * Any one call of the disk fails, with its work done or not, at any moment of many puts, and
     * the disk works again. Whatever moment power goes at, the next life finds all that was said to
     * be kept, with or without what was not, and never a file that is called damaged.
     */
    @Test
    void anyCallOfTheDiskMayFailOnce() throws Exception {
        int[] failed = new int[1];
        int[] looked = new int[1];
        for (int call = 1; call <= 130; call++) {
            for (boolean done : new boolean[] {false, true}) {
                SplittableRandom chance = new SplittableRandom(call);
                Lossy disk = new Lossy(Map.of());
                CompactingLog shelf = CompactingLog.open(disk, "m", "r1");
                List<String> may = new ArrayList<>();
                int now = call;
                disk.each =
                        () -> {
                            // Where nothing has failed, or that is long ago, the test above has
                            // looked.
                            for (Map<String, byte[]> files :
                                    disk.fine > 2 || disk.fine < -8
                                            ? List.<Map<String, byte[]>>of()
                                            : disk.after(chance)) {
                                looked[0]++;
                                try {
                                    CompactingLog again =
                                            CompactingLog.open(new Lossy(files), "m", "r1");
                                    assertTrue(
                                            may.contains(state(again)),
                                            "call "
                                                    + now
                                                    + " "
                                                    + done
                                                    + ": "
                                                    + state(again).length()
                                                    + " of "
                                                    + may.size());
                                    assertTrue(
                                            !again.isMovedAside(),
                                            "call " + now + " " + done + ": " + again.fault());
                                } catch (CompactingLog.UnusableLogException bad) {
                                    throw new AssertionError("call " + now, bad);
                                }
                            }
                        };
                disk.fine = call;
                disk.done = done;
                Map<String, String> is = new TreeMap<>();
                may.add(is + " {}");
                for (int i = 0; i < 40; i++) {
                    // Large texts, so that the file is written anew now and then.
                    Map<String, String> put =
                            Map.of(
                                    "s-" + i % 3,
                                    i + "x".repeat(chance.nextInt(12_000)),
                                    "n",
                                    "" + i);
                    Map<String, String> next = new TreeMap<>(is);
                    next.putAll(put);
                    may.add(next + " {}");
                    try {
                        shelf.put(put, Map.of());
                        is = next;
                        may.clear();
                        may.add(is + " {}");
                        assertEquals(is + " {}", state(shelf));
                    } catch (CompactingLog.UnusableLogException bad) {
                        failed[0]++;
                        assertEquals(is + " {}", state(shelf));
                    }
                }
                assertTrue(
                        may.contains(state(CompactingLog.open(new Lossy(disk.files), "m", "r1"))),
                        "call " + call + " " + done);
            }
        }
        assertTrue(failed[0] > 100, failed[0] + " puts failed");
        assertTrue(looked[0] > 4_000, "looked at " + looked[0] + " disks");
    }

    /**
     * Of a damaged file a process relies on nothing, in no later life either, wherever it ended
     * while it found that out.
     */
    @Test
    void ofADamagedFileNothingIsReliedOn() throws Exception {
        Lossy disk = new Lossy(Map.of());
        TextStore keep = TextStore.openOn(disk, "m", "r1");
        for (int i = 0; i < 8; i++) {
            keep.put(Map.of("s-" + i, "promised " + i));
        }
        byte[] good = disk.files.get(CompactingLog.FILE);
        SplittableRandom chance = new SplittableRandom(9);
        int damaged = 0;
        for (int at = 25; at < good.length - 60; at++) {
            byte[] bad = good.clone();
            bad[at] ^= 0x10;
            Lossy next = new Lossy(Map.of(CompactingLog.FILE, bad));
            next.each =
                    () ->
                            next.after(chance)
                                    .forEach(
                                            files -> {
                                                try {
                                                    TextStore again =
                                                            TextStore.openOn(
                                                                    new Lossy(files), "m", "r1");
                                                    assertEquals(Map.of(), again.texts());
                                                } catch (TextStore.StorageException broken) {
                                                    throw new AssertionError(broken);
                                                }
                                            });
            TextStore found = TextStore.openOn(next, "m", "r1");
            assertTrue(found.isDamaged(), "at " + at);
            assertEquals(Map.of(), found.texts());
            next.each = () -> {};
            found.put(Map.of("id", "another"));
            TextStore later = TextStore.openOn(new Lossy(next.files), "m", "r1");
            assertTrue(!later.isDamaged());
            assertEquals(Map.of("id", "another"), later.texts());
            damaged++;
        }
        assertTrue(damaged > 100, damaged + " places");
        // A first record that is torn or spoilt: it was synced before the file had its name, so it
        // is no torn tail either.
        Lossy fresh = new Lossy(Map.of());
        TextStore.openOn(fresh, "m", "r1");
        byte[] first = fresh.files.get(CompactingLog.FILE);
        for (int at = 19; at < first.length; at++) {
            byte[] bad = first.clone();
            bad[at] ^= 0x10;
            assertTrue(
                    TextStore.openOn(new Lossy(Map.of(CompactingLog.FILE, bad)), "m", "r1")
                            .isDamaged(),
                    "at " + at);
            assertTrue(
                    TextStore.openOn(
                                    new Lossy(Map.of(CompactingLog.FILE, Arrays.copyOf(first, at))),
                                    "m",
                                    "r1")
                            .isDamaged(),
                    "cut at " + at);
        }
        // A file of its head alone: its first record was synced with it, so it is not a torn tail.
        TextStore head =
                TextStore.openOn(
                        new Lossy(Map.of(CompactingLog.FILE, Arrays.copyOf(good, 19))), "m", "r1");
        assertTrue(head.isDamaged());
        TextStore none =
                TextStore.openOn(new Lossy(Map.of(CompactingLog.FILE, new byte[0])), "m", "r1");
        assertTrue(none.isDamaged());
    }

    /** A text that the form cannot hold is refused, and leaves what was kept as it was. */
    @Test
    void aTextThatIsTooLongIsRefused() throws Exception {
        Lossy disk = new Lossy(Map.of());
        TextStore keep = TextStore.openOn(disk, "m", "r1");
        String longest = "é".repeat(32_767) + "x";
        keep.put(Map.of("a", longest));
        assertThrows(
                IllegalArgumentException.class,
                () -> keep.put(Map.of("b", "1", "a", longest + "x")));
        assertThrows(IllegalArgumentException.class, () -> keep.put(Map.of(longest + "x", "1")));
        keep.put(Map.of("c", "2"));
        assertEquals(
                Map.of("a", longest, "c", "2"),
                TextStore.openOn(new Lossy(disk.files), "m", "r1").texts());
    }

    /**
     * A byte that goes bad: what was before it holds, the file as it was is set aside; a bad tail
     * alone is cut.
     */
    @Test
    void whatIsSpoiltIsFoundAndWhatWasBeforeItHolds() throws Exception {
        Lossy disk = new Lossy(Map.of());
        CompactingLog shelf = CompactingLog.open(disk, "m", "r1");
        for (int i = 0; i < 8; i++) {
            shelf.put(Map.of("s-" + i, "DRAINING"), Map.of());
        }
        byte[] good = disk.files.get(CompactingLog.FILE);
        int last = good.length;
        for (int at = 0; at < good.length; at++) {
            byte[] bad = good.clone();
            bad[at] ^= 0x40;
            Lossy next = new Lossy(Map.of(CompactingLog.FILE, bad));
            try {
                CompactingLog found = CompactingLog.open(next, "m", "r1");
                assertTrue(found.fault() != null, "at " + at + " nothing was found");
                assertTrue(found.texts().size() < 8, "at " + at);
                assertEquals(
                        found.isMovedAside(), next.files.containsKey("memory.broken"), "at " + at);
                last = found.isMovedAside() ? last : Math.min(last, at);
            } catch (CompactingLog.UnusableLogException format) {
                assertTrue(
                        format.getMessage().startsWith("m/memory.log is of format"),
                        format.getMessage());
            }
        }
        assertTrue(
                last > good.length - 60,
                "a torn tail is the last record alone, not what begins at " + last);
        for (int cut = 0; cut < good.length; cut++) {
            CompactingLog found =
                    CompactingLog.open(
                            new Lossy(Map.of(CompactingLog.FILE, Arrays.copyOf(good, cut))),
                            "m",
                            "r1");
            assertTrue(found.texts().size() < 8, "cut at " + cut);
        }
    }

    /** What is no longer needed gives its space back: a file under txns does not grow with them. */
    @Test
    void theFileDoesNotGrowWithTheTxns() throws Exception {
        CompactingLog shelf = CompactingLog.open(new StorageFolder.LocalFolder(dir), "m", "r1");
        long most = 0;
        for (long i = 0; i < 3000; i++) {
            Map<Long, Long> batch = new HashMap<>(Map.of(i, i));
            batch.put(i - 20, null);
            shelf.put(Map.of(), batch);
            most = Math.max(most, Files.size(dir.resolve(CompactingLog.FILE)));
        }
        shelf.close();
        assertTrue(most > 60_000 && most < 70_000, "the file came to " + most + " bytes");
    }

    @Test
    void aWordIsThereInTheNextLife() throws Exception {
        Path folder = dir.resolve("r1");
        Memory first = Memory.open(folder, "r1", log, Runnable::run);
        first.closed("s-1", Standing.DRAINING, 7, 42);
        first.closed("s-2", Standing.GONE, 0, 43);
        first.closed("s-3", Standing.GONE, 0, 44);
        first.opened("s-3");
        OperatorConfig.InvalidOperatorConfigException held =
                assertThrows(
                        OperatorConfig.InvalidOperatorConfigException.class,
                        () -> Memory.open(folder, "r1", log, Runnable::run));
        assertTrue(held.getMessage().contains("another process holds"), held.getMessage());
        first.close();
        OperatorConfig.InvalidOperatorConfigException other =
                assertThrows(
                        OperatorConfig.InvalidOperatorConfigException.class,
                        () -> Memory.open(folder, "r2", log, Runnable::run));
        assertTrue(
                other.getMessage().contains("is that of router 'r1', and this is 'r2'"),
                other.getMessage());
        Memory second = Memory.open(folder, "r1", log, Runnable::run);
        assertEquals(
                Set.of(
                        new Memory.Closing("s-1", Standing.DRAINING, 7, 42),
                        new Memory.Closing("s-2", Standing.GONE, 0, 43)),
                Set.copyOf(second.closings()));
        second.close();
    }

    @Test
    void whatIsNoSuchFileIsSetAsideAndNamed() throws Exception {
        Path folder = Files.createDirectories(dir.resolve("r1"));
        Files.writeString(folder.resolve(CompactingLog.FILE), "no store at all ".repeat(1000));
        Memory memory = Memory.open(folder, "r1", log, Runnable::run);
        assertEquals(List.of(), memory.closings());
        memory.close();
        assertTrue(Files.exists(folder.resolve("memory.broken")), "set aside");
        assertTrue(
                lines.toString(StandardCharsets.UTF_8)
                        .contains("memory-broken fault=\"" + folder.resolve(CompactingLog.FILE)),
                lines.toString(StandardCharsets.UTF_8));
        Path file = Files.createFile(dir.resolve("file"));
        OperatorConfig.InvalidOperatorConfigException none =
                assertThrows(
                        OperatorConfig.InvalidOperatorConfigException.class,
                        () -> Memory.open(file, "r1", log, Runnable::run));
        assertTrue(none.getMessage().startsWith("memory " + file), none.getMessage());
    }
}
