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

    private static Configuration configuration(long version, int routes, long salt)
            throws Configuration.InvalidConfigurationException {
        StringBuilder text = new StringBuilder("{\"revision_number\":" + version + ",\"routes\":[");
        for (int i = 0; i < routes; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"r")
                    .append(i)
                    .append("\",\"host_name\":\"h")
                    .append(i * 7919 + salt)
                    .append("\",\"route_kind\":\"primary\",\"timeout_ms\":")
                    .append(i == version % routes ? 1_000 + version : 800)
                    .append(",\"service\":\"s\"}");
        }
        return Configuration.parse(
                text.append("],\"services\":[{\"name\":\"s\"}]}")
                        .toString()
                        .getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void givesDeltaFromRecentRevisions() throws Exception {
        ConfigurationHistory versions = new ConfigurationHistory();
        List<Configuration> all = new ArrayList<>();
        for (long v = 1; v <= 200; v++) {
            all.add(configuration(3 * v, 300, 0));
            versions.append(all.get(all.size() - 1));
        }
        Configuration newest = all.get(199);
        for (int i = 0; i < 199; i++) {
            Configuration is = all.get(i);
            byte[] delta = versions.deltaFrom(is.revision(), is.digest());
            assertEquals(i >= 199 - 64, delta != null, "of version " + is.revision());
            if (delta != null) {
                assertArrayEquals(newest.body(), BinaryDelta.apply(is.body(), delta));
                assertSame(
                        delta,
                        versions.deltaFrom(is.revision(), is.digest()),
                        "made once for all who ask");
                assertTrue(
                        delta.length < 60 + 30 * (199 - i),
                        delta.length + " bytes for " + (199 - i) + " changes");
            }
            assertNull(
                    versions.deltaFrom(is.revision(), is.digest() + 1),
                    "another content under this number");
            assertNull(
                    versions.deltaFrom(is.revision() + 1, is.digest()), "a number that never was");
        }
        assertNull(versions.deltaFrom(newest.revision(), newest.digest()));
        assertNull(versions.deltaFrom(-1, Configuration.NONE.digest()));
        assertArrayEquals(
                newest.body(),
                Compression.decompress(versions.compressed(), BinaryDelta.MAX_BYTES));
        assertSame(versions.compressed(), versions.compressed());
        // What is no newer changes nothing.
        versions.append(all.get(7));
        versions.append(configuration(600, 3, 1));
        assertSame(newest, versions.newest());
    }

    /** Where all is new each time, little is kept, and the whole goes out. */
    @Test
    void keepsNoDeltasThatSaveNothing() throws Exception {
        ConfigurationHistory versions = new ConfigurationHistory();
        List<Configuration> all = new ArrayList<>();
        for (int v = 1; v <= 40; v++) {
            byte[] noise = new byte[150_000];
            SplittableRandom random = new SplittableRandom(v);
            for (int i = 0; i < noise.length; i++) {
                noise[i] = (byte) ('a' + random.nextInt(26));
            }
            all.add(
                    Configuration.parse(
                            ("{\"revision_number\":"
                                            + v
                                            + ",\"routes\":[],\"services\":[],\"x\":\""
                                            + new String(noise, StandardCharsets.US_ASCII)
                                            + "\"}")
                                    .getBytes(StandardCharsets.UTF_8)));
            versions.append(all.get(v - 1));
        }
        long known =
                all.stream()
                        .filter(c -> versions.deltaFrom(c.revision(), c.digest()) != null)
                        .count();
        assertEquals(0, known, "no change is shorter than the whole, deflated");
    }

    @Test
    void decompressesOrDetectsDamage() throws Exception {
        for (String text : new String[] {"", "a", "{}".repeat(40_000)}) {
            byte[] is = text.getBytes(StandardCharsets.UTF_8);
            byte[] small = Compression.compress(is);
            assertArrayEquals(is, Compression.decompress(small, is.length));
            for (int cut = 0; cut < small.length; cut++) {
                byte[] part = Arrays.copyOf(small, cut);
                assertThrows(
                        Compression.CorruptDataException.class,
                        () -> Compression.decompress(part, is.length));
            }
            assertThrows(
                    Compression.CorruptDataException.class,
                    () ->
                            Compression.decompress(
                                    Arrays.copyOf(small, small.length + 1), is.length));
            for (int at = 0; at < small.length; at++) {
                byte[] bad = small.clone();
                bad[at] ^= 4;
                try {
                    assertArrayEquals(is, Compression.decompress(bad, is.length), "at " + at);
                } catch (Compression.CorruptDataException found) {
                    assertTrue(!found.getMessage().isEmpty());
                }
            }
            if (is.length > 0) {
                assertThrows(
                        Compression.CorruptDataException.class,
                        () -> Compression.decompress(small, is.length - 1));
            }
        }
    }
}
