package dillfront.router.recovery;

import static dillfront.routing.api.NodeRole.PRIMARY;
import static dillfront.routing.api.NodeRole.REPLICA;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.routing.RoutingHarness;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Checks the tracking of in-doubt keys, their exchange with peers, and the recovery state of
 * groups.
 */
class RecoveryStateTest {

    private final StringBuilder trace = new StringBuilder();

    private static Duration ms(long n) {
        return Duration.ofMillis(n);
    }

    private final class Disk implements InDoubtKeys.KeyStore {
        boolean able = true;

        @Override
        public boolean isWritable() {
            return able;
        }

        @Override
        public void store(long key) {
            trace.append("     disk keeps ").append(key).append('\n');
        }

        @Override
        public void remove(long key) {
            trace.append("     disk drops ").append(key).append('\n');
        }
    }

    private void appendState(String event, InDoubtKeys keys, long key) {
        Duration ran = keys.mayHaveRunSince(key);
        trace.append(
                String.format(
                        "%-46s may have run %s; %d in doubt of %d\n",
                        event,
                        ran == null
                                ? "never"
                                : ran.isNegative() ? "long ago" : "at " + ran.toMillis(),
                        keys.inDoubtCount(),
                        keys.size()));
    }

    @Test
    void keepsKeyFromSendUntilResolved() throws IOException {
        Disk disk = new Disk();
        InDoubtKeys keys = new InDoubtKeys(new InDoubtKeys.Limits(3, ms(1000)), disk);
        keys.restore(9, ms(0));
        keys.begin(1, ms(10));
        appendState("1 is taken", keys, 1);
        keys.recordSend(1, ms(20));
        keys.recordEnd(1, false, false);
        keys.recordSend(1, ms(30));
        appendState("refused untouched, and sent again", keys, 1);
        keys.recordEnd(1, true, false);
        keys.finish(1, ms(50));
        keys.begin(1, ms(60));
        appendState("timed out; its client comes again", keys, 1);
        keys.recordSend(1, ms(70));
        keys.recordEnd(1, true, true);
        appendState("and has its answer", keys, 1);
        keys.finish(1, ms(80));
        keys.begin(9, ms(90));
        appendState("one from an earlier life", keys, 9);
        keys.finish(9, ms(100));
        disk.able = false;
        trace.append("the disk fails: 2 is ")
                .append(keys.begin(2, ms(110)) ? "taken" : "not taken")
                .append(", 9, which is kept, is ")
                .append(keys.begin(9, ms(110)) ? "taken" : "not taken")
                .append('\n');
        disk.able = true;
        keys.finish(9, ms(120));
        for (long key = 2; key < 6; key++) {
            boolean accepted = keys.begin(key, ms(130));
            trace.append(key).append(accepted ? " is taken" : " finds no room").append('\n');
            if (accepted) {
                keys.recordSend(key, ms(130));
                keys.recordEnd(key, true, false);
                keys.finish(key, ms(140));
            }
        }
        keys.expire(ms(1120));
        trace.append("a second after 9 was met: ").append(keys.size()).append(" are kept\n");
        keys.expire(ms(1140));
        trace.append("a second after the others: ").append(keys.size()).append('\n');
        RoutingHarness.assertTraceEquals("doubts", trace);
    }

    /**
     * A filter contains every key that was added, whatever their number, also after it was sent.
     */
    @Property(tries = 200)
    void digestContainsAddedKeys(@ForAll @Size(max = 300) List<Long> keys) {
        KeyDigest digest = KeyDigest.parse(KeyDigest.of(keys, 128).words());
        for (long key : keys) {
            assertTrue(digest.mayContain(key), "lost " + key);
        }
    }

    @Test
    void digestHasFewFalsePositivesAndIsBounded() {
        SplittableRandom random = new SplittableRandom(3);
        List<Long> keys = new ArrayList<>();
        for (int i = 0; i < 2000; i++) {
            keys.add(random.nextLong());
        }
        KeyDigest full = KeyDigest.of(keys, 128);
        assertEquals(128, full.words().length);
        assertTrue(
                full.mayContain(keys.get(1999)) && !full.mayContain(keys.get(0)),
                "only the latest keys are included");
        int falsePositives = 0;
        for (int i = 0; i < 100_000; i++) {
            falsePositives += full.mayContain(random.nextLong()) ? 1 : 0;
        }
        assertTrue(falsePositives < 40, falsePositives + " false positives of 100,000");
        assertTrue(KeyDigest.parse(new long[0]).isEmpty());
        assertFalse(KeyDigest.parse(new long[] {0}).mayContain(1));
        assertEquals(null, KeyDigest.parse(new long[] {-1, -1}));
    }

    @Test
    void peerReportsOutliveTheirRestart() {
        PeerInDoubtKeys reports = new PeerInDoubtKeys(2, ms(1000));
        long[] keySeven = KeyDigest.of(List.of(7L), 8).words();
        reports.receive(0, 5, keySeven, ms(0));
        assertTrue(reports.mayBeInDoubt(7) && reports.previousRunKeys(0) == null);
        reports.receive(0, 6, new long[0], ms(500));
        assertTrue(reports.mayBeInDoubt(7), "its previous run reported the key");
        assertEquals(List.of(keySeven[0]), List.of(reports.previousRunKeys(0)[0]));
        reports.receiveEcho(1, KeyDigest.of(List.of(8L), 8).words(), ms(600));
        assertTrue(reports.mayBeInDoubt(8));
        reports.expire(ms(1000));
        assertFalse(reports.mayBeInDoubt(7));
        assertTrue(reports.mayBeInDoubt(8));
        reports.expire(ms(1600));
        assertFalse(reports.mayBeInDoubt(8));
    }

    private void appendGroupState(long when, String event, GroupRecovery groups) {
        groups.tick(ms(when));
        trace.append(
                String.format(
                        "%5d %-46s %-10s loss %s, sure %.2f, to n0 %s, to n1 %s\n",
                        when,
                        event,
                        groups.states().get(4),
                        groups.outageScope(),
                        groups.confidence(),
                        groups.mayWrite(0, ms(when)) ? "may" : "waits",
                        groups.mayWrite(1, ms(when)) ? "may" : "waits"));
    }

    @Test
    void recoversGroupByState() throws IOException {
        GroupRecovery groups =
                new GroupRecovery(
                        ms(0),
                        ms(250),
                        ms(8000),
                        new GroupRecovery.Listener() {
                            @Override
                            public void groupStateChanged(
                                    int group, GroupRecovery.State from, GroupRecovery.State to) {
                                trace.append("      ")
                                        .append(from)
                                        .append(" to ")
                                        .append(to)
                                        .append('\n');
                            }

                            @Override
                            public void leads(int group, String node) {
                                trace.append("      ")
                                        .append(node)
                                        .append(" leads, and is remembered\n");
                            }
                        });
        groups.restorePrimary(4, "n1");
        groups.updateNode(0, "n0", 4, null, true);
        groups.updateNode(1, "n1", 4, null, true);
        groups.updateNode(2, "n2", 4, null, true);
        appendGroupState(10, "the list of the configuration", groups);
        assertFalse(
                groups.mayWrite(0, ms(100_000)),
                "the waiting time for the former primary starts only with another claim");
        groups.discoveryAvailable(true);
        for (int n = 0; n < 3; n++) {
            groups.updateNode(n, "n" + n, 4, ms(100), true);
        }
        groups.recordNoAnswer(1);
        groups.recordAnswer(0, PRIMARY, ms(110), ms(110));
        appendGroupState(110, "n0, which led long ago, says that it leads", groups);
        groups.recordAnswer(2, REPLICA, ms(-500), ms(120));
        appendGroupState(1000, "n2 is there, behind; n1 is not", groups);
        groups.recordAnswer(1, PRIMARY, ms(1200), ms(1200));
        appendGroupState(1200, "n1 is there: two say that they lead", groups);
        groups.recordAnswer(0, REPLICA, ms(1300), ms(1300));
        appendGroupState(1300, "n0 has heard of it", groups);
        appendGroupState(9000, "all are warm", groups);
        groups.recordNoAnswer(1);
        appendGroupState(9100, "n1 is silent", groups);
        groups.recordAnswer(2, PRIMARY, ms(9200), ms(9200));
        appendGroupState(9200, "n2 took over; within a life its word counts", groups);
        trace.append("the one that led before is gone for good, and still listed:\n");
        GroupRecovery other =
                new GroupRecovery(
                        ms(0),
                        ms(250),
                        ms(8000),
                        new GroupRecovery.Listener() {
                            @Override
                            public void groupStateChanged(
                                    int group, GroupRecovery.State from, GroupRecovery.State to) {}

                            @Override
                            public void leads(int group, String node) {}
                        });
        other.restorePrimary(4, "n1");
        other.updateNode(0, "n0", 4, null, true);
        other.updateNode(1, "n1", 4, null, true);
        other.recordAnswer(0, PRIMARY, ms(10), ms(10));
        appendGroupState(10, "n0 leads", other);
        appendGroupState(2009, "just before the time is over", other);
        appendGroupState(2010, "it is over", other);
        RoutingHarness.assertTraceEquals("groups", trace);
    }
}
