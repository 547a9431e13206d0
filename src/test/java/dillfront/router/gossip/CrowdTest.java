package dillfront.router.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.simulation.Crowd;
import dillfront.simulation.Time;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Runs the gossip protocol of many instances in virtual time under crashes, partitions, pauses,
 * message loss and clock differences.
 */
class CrowdTest {

    private final Time time = new Time();
    private final Set<Integer> heard = new HashSet<>();
    private Crowd crowd;

    private Crowd crowd(int count, long seed) {
        crowd =
                new Crowd(
                        count,
                        Tuning.USUAL,
                        time,
                        seed,
                        (at, claim, age) -> {
                            heard.add(at);
                            crowd.instances[at].gossip.passOn(claim, claim.origin());
                        });
        crowd.start();
        return crowd;
    }

    private void until(double seconds) {
        time.until(Duration.ofMillis((long) (seconds * 1000)));
    }

    private double rate(double seconds) {
        double before = crowd.bytes();
        until(time.now().toMillis() / 1000.0 + seconds);
        return (crowd.bytes() - before) / seconds;
    }

    @Test
    void findsEachOtherAndTellsAll() {
        crowd(20, 1);
        until(10);
        assertEquals(1.0, crowd.known());
        Crowd.Instance one = crowd.instances[7];
        one.at();
        one.gossip.claim(3, Symptom.HUNG, 4, Duration.ofMillis(80));
        until(10.1);
        assertEquals(19, heard.size(), "all others receive the claim within 100 ms");
        until(60);
        assertTrue(rate(60) < 1000, "little traffic without events");
    }

    @Test
    void staysWithinItsBytesWhateverIsTold() {
        crowd(100, 2);
        until(40);
        for (int i = 0; i < 30; i++) {
            for (Crowd.Instance one : crowd.instances) {
                one.at();
                one.gossip.claim(i, Symptom.HUNG, 4, Duration.ZERO);
            }
            until(40 + i);
        }
        // The initial content of the bucket plus its refill.
        assertTrue(
                crowd.bytes() <= Tuning.USUAL.bytesPerSecond() * (70 + 3), "sent " + crowd.bytes());
        for (Crowd.Instance one : crowd.instances) {
            assertTrue(one.gossip.spreading() <= 64);
        }
    }

    @Test
    void aThirdVanishesAtOnce() {
        crowd(60, 3);
        until(40);
        for (int i = 0; i < 20; i++) {
            crowd.instances[3 + i].off = true;
        }
        until(70);
        assertTrue(
                crowd.ghosts() < 0.05,
                "crashed instances still considered present: " + crowd.ghosts());
        assertEquals(1.0, crowd.known(), "no running instance is considered gone");
    }

    @Test
    void aPartingHeals() {
        crowd(40, 4);
        until(30);
        for (Crowd.Instance one : crowd.instances) {
            one.side = one.index % 2;
        }
        until(80);
        assertTrue(crowd.known() < 0.55);
        for (Crowd.Instance one : crowd.instances) {
            one.side = 0;
        }
        double healing = rate(20);
        assertEquals(1.0, crowd.known(), "membership is complete within twenty periods");
        assertTrue(
                healing < Tuning.USUAL.bytesPerSecond(),
                "traffic after the partition healed: " + healing);
        for (Crowd.Instance one : crowd.instances) {
            assertTrue(one.gossip.incarnation() <= 3, "incarnations rise only slightly");
        }
    }

    @Test
    void startsAnewWithNothingRemembered() {
        crowd(20, 5);
        until(15);
        Crowd.Instance one = crowd.instances[9];
        for (int life = 0; life < 3; life++) {
            one.off = true;
            until(time.now().toSeconds() + 30);
            one.start(List.of(0));
            until(time.now().toSeconds() + 15);
            assertEquals(1.0, crowd.known(), "complete membership after restart " + life);
        }
        heard.clear();
        one.at();
        one.gossip.claim(2, Symptom.HUNG, 1, Duration.ZERO);
        until(time.now().toSeconds() + 2);
        assertEquals(
                19,
                heard.size(),
                "updates are accepted although an earlier run used their numbers");
    }

    @Test
    void whoStandsStillCondemnsNobody() {
        crowd(20, 6);
        until(15);
        Crowd.Instance one = crowd.instances[4];
        one.standStill(Duration.ofSeconds(5));
        until(21);
        int gone = 0;
        for (Crowd.Instance other : crowd.instances) {
            gone += other != one && !one.gossip.members().present(other.index) ? 1 : 0;
        }
        assertEquals(0, gone);
        assertTrue(one.gossip.members().ill() > 0, "the pause raises its local health score");
        until(50);
        assertEquals(1.0, crowd.known(), "the paused instance is present again");
    }

    @Test
    void livesWithALossyNetwork() {
        crowd = crowd(30, 7);
        crowd.lost = 0.3;
        crowd.doubled = 0.1;
        until(40);
        double least = 1;
        for (int s = 41; s < 160; s++) {
            until(s);
            least = Math.min(least, crowd.known());
        }
        assertTrue(least > 0.97, "minimum known part: " + least);
    }

    @Test
    void clocksDiffer() {
        crowd =
                new Crowd(
                        12,
                        Tuning.USUAL,
                        time,
                        8,
                        (at, claim, age) -> {
                            heard.add(at);
                            assertTrue(age.compareTo(Duration.ofSeconds(1)) < 0, "age " + age);
                            crowd.instances[at].gossip.passOn(claim, claim.origin());
                        });
        for (Crowd.Instance one : crowd.instances) {
            one.clock = Duration.ofSeconds(one.index - 6);
        }
        // Beyond the accepted clock difference.
        crowd.instances[11].clock = Duration.ofSeconds(50);
        crowd.start();
        until(10);
        crowd.instances[0].at();
        crowd.instances[0].gossip.claim(1, Symptom.HUNG, 1, Duration.ZERO);
        until(12);
        assertEquals(10, heard.size(), "all except the instance with the wrong clock");
        heard.clear();
        crowd.instances[11].at();
        crowd.instances[11].gossip.claim(1, Symptom.HUNG, 1, Duration.ZERO);
        until(14);
        assertEquals(0, heard.size());
        long dropped = 0;
        for (Crowd.Instance one : crowd.instances) {
            dropped += one.gossip.outOfTime();
        }
        assertTrue(dropped > 1, "dropped claims are counted by the receivers");
    }

    @Test
    void leavesOnPurpose() {
        crowd(15, 9);
        until(10);
        crowd.instances[5].at();
        crowd.instances[5].gossip.leave();
        crowd.instances[5].off = true;
        until(14);
        for (Crowd.Instance other : crowd.instances) {
            if (other.index != 5) {
                assertEquals(Members.State.LEFT, other.gossip.members().state(5));
            }
        }
    }

    @Test
    void claimsOfBothSidesEndAfterAParting() {
        Hearsay[] weighs = new Hearsay[20];
        for (int i = 0; i < weighs.length; i++) {
            weighs[i] = new Hearsay(Tuning.USUAL, weighs.length);
            weighs[i].nodes(8);
        }
        crowd =
                new Crowd(
                        weighs.length,
                        Tuning.USUAL,
                        time,
                        11,
                        (at, claim, age) -> {
                            weighs[at].at(time.now());
                            if (weighs[at].heard(
                                    claim.origin(),
                                    (int) claim.subject(),
                                    Symptom.values()[claim.detail()],
                                    age,
                                    claim.since())) {
                                crowd.instances[at].gossip.passOn(claim, claim.origin());
                            }
                        });
        crowd.start();
        until(10);
        for (Crowd.Instance one : crowd.instances) {
            one.side = one.index % 2;
        }
        // Each side claims that one node is hung, until the partition heals.
        for (int s = 11; s < 60; s++) {
            until(s);
            for (int i = 0; i < 8; i++) {
                crowd.instances[i].at();
                crowd.instances[i].gossip.claim(
                        1 + i % 2, Symptom.HUNG, 1, Duration.ofSeconds(s - 11));
            }
        }
        assertTrue(weighs[18].doubted(1) && !weighs[18].doubted(2));
        for (Crowd.Instance one : crowd.instances) {
            one.side = 0;
        }
        until(60 + Tuning.USUAL.lasts().toSeconds());
        for (Hearsay one : weighs) {
            one.at(time.now());
            one.woken();
            assertTrue(
                    !one.doubted(1) && !one.doubted(2), "no instance has observations of its own");
        }
        until(90);
        for (Hearsay one : weighs) {
            one.at(time.now());
            one.woken();
            assertEquals(0, one.claims(1) + one.claims(2), "expired claims do not return");
        }
    }

    @Test
    void tablesStayWithinTheirBoundsAllDay() {
        Tuning slow = new Tuning(Duration.ofSeconds(10), 3000, 1200, 1, Duration.ofSeconds(50));
        crowd =
                new Crowd(
                        10,
                        slow,
                        time,
                        12,
                        (at, claim, age) ->
                                crowd.instances[at].gossip.passOn(claim, claim.origin()));
        crowd.start();
        int most = 0;
        long node = 0;
        for (int minute = 1; minute <= 24 * 60; minute++) {
            until(60 * minute);
            Crowd.Instance one = crowd.instances[minute % 10];
            if (minute % 7 == 0) {
                one.start(List.of((minute + 1) % 10));
            }
            one.at();
            // Nodes change all the time: a new node id in each claim.
            one.gossip.claim(node++, Symptom.UNREACHABLE, 1, Duration.ZERO);
            for (Crowd.Instance each : crowd.instances) {
                most = Math.max(most, each.gossip.remembered());
                assertTrue(each.gossip.spreading() <= 64);
            }
        }
        assertTrue(most <= 9 * 32, "remembered " + most);
        until(24 * 3600 + 200);
        assertEquals(1.0, crowd.known());
    }

    @Test
    void sameSeedSameWords() {
        crowd(30, 10);
        until(30);
        double first = crowd.bytes();
        Time again = new Time();
        Crowd second = new Crowd(30, Tuning.USUAL, again, 10, (at, claim, age) -> {});
        second.start();
        again.until(Duration.ofSeconds(30));
        assertEquals(first, second.bytes());
    }
}
