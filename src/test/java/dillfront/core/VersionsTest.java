package dillfront.core;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.host.Configuration;
import dillfront.host.Deflate;
import dillfront.host.Delta;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What fronts that are some versions behind get, and how much of what was is kept for them. */
class VersionsTest {

    private static Configuration configuration(long version, int routes, long salt)
            throws Configuration.Invalid {
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
        return Configuration.read(
                text.append("],\"services\":[{\"name\":\"s\"}]}")
                        .toString()
                        .getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void whoeverIsAFewBehindGetsWhatChanged() throws Exception {
        Versions versions = new Versions();
        List<Configuration> all = new ArrayList<>();
        for (long v = 1; v <= 200; v++) {
            all.add(configuration(3 * v, 300, 0));
            versions.decided(all.get(all.size() - 1));
        }
        Configuration newest = all.get(199);
        for (int i = 0; i < 199; i++) {
            Configuration is = all.get(i);
            byte[] delta = versions.since(is.version(), is.digest());
            assertEquals(i >= 199 - 64, delta != null, "of version " + is.version());
            if (delta != null) {
                assertArrayEquals(newest.body(), Delta.apply(is.body(), delta));
                assertSame(
                        delta,
                        versions.since(is.version(), is.digest()),
                        "made once for all who ask");
                assertTrue(
                        delta.length < 60 + 30 * (199 - i),
                        delta.length + " bytes for " + (199 - i) + " changes");
            }
            assertNull(
                    versions.since(is.version(), is.digest() + 1),
                    "another content under this number");
            assertNull(versions.since(is.version() + 1, is.digest()), "a number that never was");
        }
        assertNull(versions.since(newest.version(), newest.digest()));
        assertNull(versions.since(-1, Configuration.NONE.digest()));
        assertArrayEquals(newest.body(), Deflate.back(versions.whole(), Delta.MOST));
        assertSame(versions.whole(), versions.whole());
        // What is no newer changes nothing.
        versions.decided(all.get(7));
        versions.decided(configuration(600, 3, 1));
        assertSame(newest, versions.newest());
    }

    /** Where all is new each time, little is kept, and the whole goes out. */
    @Test
    void whatHasNothingInCommonIsNotKept() throws Exception {
        Versions versions = new Versions();
        List<Configuration> all = new ArrayList<>();
        for (int v = 1; v <= 40; v++) {
            byte[] noise = new byte[150_000];
            SplittableRandom random = new SplittableRandom(v);
            for (int i = 0; i < noise.length; i++) {
                noise[i] = (byte) ('a' + random.nextInt(26));
            }
            all.add(
                    Configuration.read(
                            ("{\"revision_number\":"
                                            + v
                                            + ",\"routes\":[],\"services\":[],\"x\":\""
                                            + new String(noise, StandardCharsets.US_ASCII)
                                            + "\"}")
                                    .getBytes(StandardCharsets.UTF_8)));
            versions.decided(all.get(v - 1));
        }
        long known =
                all.stream().filter(c -> versions.since(c.version(), c.digest()) != null).count();
        assertEquals(0, known, "no change is shorter than the whole, deflated");
    }

    @Test
    void whatIsDeflatedComesBackOrIsFoundDamaged() throws Exception {
        for (String text : new String[] {"", "a", "{}".repeat(40_000)}) {
            byte[] is = text.getBytes(StandardCharsets.UTF_8);
            byte[] small = Deflate.of(is);
            assertArrayEquals(is, Deflate.back(small, is.length));
            for (int cut = 0; cut < small.length; cut++) {
                byte[] part = Arrays.copyOf(small, cut);
                assertThrows(Deflate.Bad.class, () -> Deflate.back(part, is.length));
            }
            assertThrows(
                    Deflate.Bad.class,
                    () -> Deflate.back(Arrays.copyOf(small, small.length + 1), is.length));
            for (int at = 0; at < small.length; at++) {
                byte[] bad = small.clone();
                bad[at] ^= 4;
                try {
                    assertArrayEquals(is, Deflate.back(bad, is.length), "at " + at);
                } catch (Deflate.Bad found) {
                    assertTrue(!found.getMessage().isEmpty());
                }
            }
            if (is.length > 0) {
                assertThrows(Deflate.Bad.class, () -> Deflate.back(small, is.length - 1));
            }
        }
    }
}
