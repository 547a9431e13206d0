package dillfront.controlplane.subscription;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.config.Configuration;
import dillfront.common.message.BinaryDelta;
import dillfront.common.message.Compression;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What fronts that are some versions behind get, and how much of what was is kept for them. */
class ConfigurationHistoryTest {

    private static Configuration configuration(long revision, int routes, long salt)
            throws Configuration.InvalidConfigurationException {
        StringBuilder text =
                new StringBuilder("{\"revision_number\":" + revision + ",\"routes\":[");
        for (int i = 0; i < routes; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"r")
                    .append(i)
                    .append("\",\"host_name\":\"h")
                    .append(i * 7919 + salt)
                    .append("\",\"route_kind\":\"primary\",\"timeout_ms\":")
                    .append(i == revision % routes ? 1_000 + revision : 800)
                    .append(",\"service\":\"s\"}");
        }
        return Configuration.parse(
                text.append("],\"services\":[{\"name\":\"s\"}]}")
                        .toString()
                        .getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void givesDeltaFromRecentRevisions() throws Exception {
        ConfigurationHistory history = new ConfigurationHistory();
        List<Configuration> all = new ArrayList<>();
        for (long step = 1; step <= 200; step++) {
            all.add(configuration(3 * step, 300, 0));
            history.append(all.get(all.size() - 1));
        }
        Configuration newest = all.get(199);
        for (int i = 0; i < 199; i++) {
            Configuration earlier = all.get(i);
            byte[] delta = history.deltaFrom(earlier.revision(), earlier.digest());
            assertEquals(i >= 199 - 64, delta != null, "of version " + earlier.revision());
            if (delta != null) {
                assertArrayEquals(newest.body(), BinaryDelta.apply(earlier.body(), delta));
                assertSame(
                        delta,
                        history.deltaFrom(earlier.revision(), earlier.digest()),
                        "made once for all who ask");
                assertTrue(
                        delta.length < 60 + 30 * (199 - i),
                        delta.length + " bytes for " + (199 - i) + " changes");
            }
            assertNull(
                    history.deltaFrom(earlier.revision(), earlier.digest() + 1),
                    "another content under this number");
            assertNull(
                    history.deltaFrom(earlier.revision() + 1, earlier.digest()),
                    "a number that never was");
        }
        assertNull(history.deltaFrom(newest.revision(), newest.digest()));
        assertNull(history.deltaFrom(-1, Configuration.NONE.digest()));
        assertArrayEquals(
                newest.body(), Compression.decompress(history.compressed(), BinaryDelta.MAX_BYTES));
        assertSame(history.compressed(), history.compressed());
        // What is no newer changes nothing.
        history.append(all.get(7));
        history.append(configuration(600, 3, 1));
        assertSame(newest, history.newest());
    }

    /** Where all is new each time, little is kept, and the whole goes out. */
    @Test
    void keepsNoDeltasThatSaveNothing() throws Exception {
        ConfigurationHistory history = new ConfigurationHistory();
        List<Configuration> all = new ArrayList<>();
        for (int revision = 1; revision <= 40; revision++) {
            byte[] randomText = new byte[150_000];
            SplittableRandom random = new SplittableRandom(revision);
            for (int i = 0; i < randomText.length; i++) {
                randomText[i] = (byte) ('a' + random.nextInt(26));
            }
            all.add(
                    Configuration.parse(
                            ("{\"revision_number\":"
                                            + revision
                                            + ",\"routes\":[],\"services\":[],\"x\":\""
                                            + new String(randomText, StandardCharsets.US_ASCII)
                                            + "\"}")
                                    .getBytes(StandardCharsets.UTF_8)));
            history.append(all.get(revision - 1));
        }
        long deltaCount =
                all.stream()
                        .filter(
                                earlier ->
                                        history.deltaFrom(earlier.revision(), earlier.digest())
                                                != null)
                        .count();
        assertEquals(0, deltaCount, "no change is shorter than the whole, deflated");
    }

    @Test
    void decompressesOrDetectsDamage() throws Exception {
        for (String text : new String[] {"", "a", "{}".repeat(40_000)}) {
            byte[] original = text.getBytes(StandardCharsets.UTF_8);
            byte[] compressed = Compression.compress(original);
            assertArrayEquals(original, Compression.decompress(compressed, original.length));
            for (int length = 0; length < compressed.length; length++) {
                byte[] truncated = Arrays.copyOf(compressed, length);
                assertThrows(
                        Compression.CorruptDataException.class,
                        () -> Compression.decompress(truncated, original.length));
            }
            assertThrows(
                    Compression.CorruptDataException.class,
                    () ->
                            Compression.decompress(
                                    Arrays.copyOf(compressed, compressed.length + 1),
                                    original.length));
            for (int position = 0; position < compressed.length; position++) {
                byte[] damaged = compressed.clone();
                damaged[position] ^= 4;
                try {
                    assertArrayEquals(
                            original,
                            Compression.decompress(damaged, original.length),
                            "at " + position);
                } catch (Compression.CorruptDataException exception) {
                    assertTrue(!exception.getMessage().isEmpty());
                }
            }
            if (original.length > 0) {
                assertThrows(
                        Compression.CorruptDataException.class,
                        () -> Compression.decompress(compressed, original.length - 1));
            }
        }
    }
}
