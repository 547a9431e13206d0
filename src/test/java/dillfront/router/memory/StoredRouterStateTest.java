package dillfront.router.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.logging.Log;
import dillfront.routing.api.MemberState;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Reads in full the state that a router of revision 6ff1719 stored
 * (src/test/resources/stored/router).
 */
class StoredRouterStateTest {

    private static final long KEY = 0x1122334455667L;

    @TempDir Path folder;
    private final ByteArrayOutputStream lines = new ByteArrayOutputStream();

    private RouterStateStore open(int missing) throws Exception {
        byte[] bytes = Files.readAllBytes(Path.of("src/test/resources/stored/router/memory.log"));
        Files.write(folder.resolve("memory.log"), Arrays.copyOf(bytes, bytes.length - missing));
        return RouterStateStore.open(
                folder, "router-1", new Log(new PrintStream(lines, true)), Runnable::run);
    }

    @Test
    void readsStoredState() throws Exception {
        RouterStateStore store = open(0);
        assertEquals(30, store.closings().size());
        RouterStateStore.Closing one =
                store.closings().stream()
                        .filter(c -> c.id().equals("n-7"))
                        .findFirst()
                        .orElseThrow();
        assertEquals(new RouterStateStore.Closing("n-7", MemberState.GONE, 7_000, 14), one);
        assertEquals(Map.of(3, "n-5", 12, "n-7"), store.primaries());
        TreeSet<Long> expected = new TreeSet<>();
        for (long key = 1; key <= 30; key++) {
            if (key % 3 != 1) {
                expected.add(key * KEY);
            }
        }
        expected.add(77L);
        assertEquals(expected, new TreeSet<>(store.inDoubtKeys()));
        store.close();
    }

    @Test
    void logsTornTailAndReadsRest() throws Exception {
        RouterStateStore store = open(5);
        assertEquals(Map.of(3, "n-5", 12, "n-7"), store.primaries());
        assertTrue(lines.toString().contains("memory-tail-cut"), lines.toString());
        assertTrue(store.inDoubtKeys().size() >= 30, "doubts: " + store.inDoubtKeys().size());
        store.close();
    }
}
