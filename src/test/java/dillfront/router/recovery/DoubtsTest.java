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
 * What is kept in mind of txns that may have run, what is told of it, and how far groups have come
 * back.
 */
class DoubtsTest {

    private final StringBuilder trace = new StringBuilder();

    private static Duration ms(long n) {
        return Duration.ofMillis(n);
    }

    private final class Disk implements Doubts.Keeper {
        boolean able = true;

        @Override
        public boolean able() {
            return able;
        }

        @Override
        public void keep(long key) {
            trace.append("     disk keeps ").append(key).append('\n');
        }

        @Override
        public void drop(long key) {
            trace.append("     disk drops ").append(key).append('\n');
        }
    }

    private void shows(String what, Doubts doubts, long key) {
        Duration ran = doubts.ran(key);
        trace.append(
                String.format(
                        "%-46s may have run %s; %d in doubt of %d\n",
                        what,
                        ran == null
                                ? "never"
                                : ran.isNegative() ? "long ago" : "at " + ran.toMillis(),
                        doubts.doubted(),
                        doubts.size()));
    }

    @Test
    void aKeyIsKeptFromItsSendUntilItIsSettled() throws IOException {
        Disk disk = new Disk();
        Doubts doubts = new Doubts(new Doubts.Bounds(3, ms(1000)), disk);
        doubts.recall(9, ms(0));
        doubts.take(1, ms(10));
        shows("1 is taken", doubts, 1);
        doubts.sends(1, ms(20));
        doubts.ended(1, false, false);
        doubts.sends(1, ms(30));
        shows("refused untouched, and sent again", doubts, 1);
        doubts.ended(1, true, false);
        doubts.over(1, ms(50));
        doubts.take(1, ms(60));
        shows("timed out; its client comes again", doubts, 1);
        doubts.sends(1, ms(70));
        doubts.ended(1, true, true);
        shows("and has its answer", doubts, 1);
        doubts.over(1, ms(80));
        doubts.take(9, ms(90));
        shows("one from an earlier life", doubts, 9);
        doubts.over(9, ms(100));
        disk.able = false;
        trace.append("the disk fails: 2 is ")
                .append(doubts.take(2, ms(110)) ? "taken" : "not taken")
                .append(", 9, which is kept, is ")
                .append(doubts.take(9, ms(110)) ? "taken" : "not taken")
                .append('\n');
        disk.able = true;
        doubts.over(9, ms(120));
        for (long key = 2; key < 6; key++) {
            boolean took = doubts.take(key, ms(130));
            trace.append(key).append(took ? " is taken" : " finds no room").append('\n');
            if (took) {
                doubts.sends(key, ms(130));
                doubts.ended(key, true, false);
                doubts.over(key, ms(140));
            }
        }
        doubts.expire(ms(1120));
        trace.append("a second after 9 was met: ").append(doubts.size()).append(" are kept\n");
        doubts.expire(ms(1140));
        trace.append("a second after the others: ").append(doubts.size()).append('\n');
        RoutingHarness.assertTraceEquals("doubts", trace);
    }

    /**
     * What is put in is found, whatever it is and however much of it there is, and it survives the
     * wire.
     */
    @Property(tries = 200)
    void aDigestHoldsWhatWasPutIn(@ForAll @Size(max = 300) List<Long> keys) {
        Digest told = Digest.read(Digest.of(keys, 128).words());
        for (long key : keys) {
            assertTrue(told.mayHold(key), "lost " + key);
        }
    }

    @Test
    void aDigestHoldsLittleElseAndIsBounded() {
        SplittableRandom chance = new SplittableRandom(3);
        List<Long> keys = new ArrayList<>();
        for (int i = 0; i < 2000; i++) {
            keys.add(chance.nextLong());
        }
        Digest full = Digest.of(keys, 128);
        assertEquals(128, full.words().length);
        assertTrue(
                full.mayHold(keys.get(1999)) && !full.mayHold(keys.get(0)), "the latest are told");
        int seem = 0;
        for (int i = 0; i < 100_000; i++) {
            seem += full.mayHold(chance.nextLong()) ? 1 : 0;
        }
        assertTrue(seem < 40, seem + " of 100,000 seem to be there");
        assertTrue(Digest.read(new long[0]).isEmpty());
        assertFalse(Digest.read(new long[] {0}).mayHold(1));
        assertEquals(null, Digest.read(new long[] {-1, -1}));
    }

    @Test
    void whatOthersSaidHoldsOverTheirNextLife() {
        Others others = new Others(2, ms(1000));
        long[] seven = Digest.of(List.of(7L), 8).words();
        others.says(0, 5, seven, ms(0));
        assertTrue(others.mayDoubt(7) && others.before(0) == null);
        others.says(0, 6, new long[0], ms(500));
        assertTrue(others.mayDoubt(7), "it forgot, and had known");
        assertEquals(List.of(seven[0]), List.of(others.before(0)[0]));
        others.echoes(1, Digest.of(List.of(8L), 8).words(), ms(600));
        assertTrue(others.mayDoubt(8));
        others.expire(ms(1000));
        assertFalse(others.mayDoubt(7));
        assertTrue(others.mayDoubt(8));
        others.expire(ms(1600));
        assertFalse(others.mayDoubt(8));
    }

    private void at(long when, String what, Groups groups) {
        groups.beat(ms(when));
        trace.append(
                String.format(
                        "%5d %-46s %-10s loss %s, sure %.2f, to n0 %s, to n1 %s\n",
                        when,
                        what,
                        groups.states().get(4),
                        groups.loss(),
                        groups.sure(),
                        groups.mayWrite(0, ms(when)) ? "may" : "waits",
                        groups.mayWrite(1, ms(when)) ? "may" : "waits"));
    }

    @Test
    void aGroupComesBackState() throws IOException {
        Groups groups =
                new Groups(
                        ms(0),
                        ms(250),
                        ms(8000),
                        new Groups.Listener() {
                            @Override
                            public void changed(int group, Groups.State from, Groups.State to) {
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
        groups.recall(4, "n1");
        groups.listed(0, "n0", 4, null, true);
        groups.listed(1, "n1", 4, null, true);
        groups.listed(2, "n2", 4, null, true);
        at(10, "the list of the configuration", groups);
        assertFalse(
                groups.mayWrite(0, ms(100_000)),
                "while all is dark no time runs against the one that led before");
        groups.discovery(true);
        for (int n = 0; n < 3; n++) {
            groups.listed(n, "n" + n, 4, ms(100), true);
        }
        groups.silent(1);
        groups.heard(0, PRIMARY, ms(110), ms(110));
        at(110, "n0, which led long ago, says that it leads", groups);
        groups.heard(2, REPLICA, ms(-500), ms(120));
        at(1000, "n2 is there, behind; n1 is not", groups);
        groups.heard(1, PRIMARY, ms(1200), ms(1200));
        at(1200, "n1 is there: two say that they lead", groups);
        groups.heard(0, REPLICA, ms(1300), ms(1300));
        at(1300, "n0 has heard of it", groups);
        at(9000, "all are warm", groups);
        groups.silent(1);
        at(9100, "n1 is silent", groups);
        groups.heard(2, PRIMARY, ms(9200), ms(9200));
        at(9200, "n2 took over; within a life its word counts", groups);
        trace.append("the one that led before is gone for good, and still listed:\n");
        Groups other =
                new Groups(
                        ms(0),
                        ms(250),
                        ms(8000),
                        new Groups.Listener() {
                            @Override
                            public void changed(int group, Groups.State from, Groups.State to) {}

                            @Override
                            public void leads(int group, String node) {}
                        });
        other.recall(4, "n1");
        other.listed(0, "n0", 4, null, true);
        other.listed(1, "n1", 4, null, true);
        other.heard(0, PRIMARY, ms(10), ms(10));
        at(10, "n0 leads", other);
        at(2009, "just before the time is over", other);
        at(2010, "it is over", other);
        RoutingHarness.assertTraceEquals("groups", trace);
    }
}
