package dillfront.router.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.routing.api.HealthObservation;
import dillfront.routing.api.HealthObservation.Health;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** What claims are worth, by short stories of who says what and what this router sees. */
class HearsayTest {

    private static final int NODES = 8;
    private static final Duration NEVER = Duration.ofSeconds(-100);
    private final Hearsay hearsay = new Hearsay(Tuning.USUAL, 10);
    private Duration now = Duration.ZERO;

    HearsayTest() {
        hearsay.nodes(NODES);
    }

    private void at(double seconds) {
        now = Duration.ofMillis((long) (seconds * 1000));
        hearsay.at(now);
        hearsay.woken();
    }

    private boolean says(int peer, int node, Symptom symptom) {
        return hearsay.heard(peer, node, symptom, Duration.ZERO, Duration.ZERO);
    }

    private void sees(int node, Health health, Duration wellAt) {
        hearsay.seen(node, new HealthObservation(health, wellAt, 1));
    }

    @Test
    void oneVoiceCarriesNothing() {
        at(1);
        for (int i = 0; i < 100; i++) {
            at(1 + i * 0.1);
            says(3, 2, Symptom.HUNG);
            assertFalse(hearsay.doubted(2));
        }
        says(4, 2, Symptom.HUNG);
        assertTrue(hearsay.doubted(2), "a second one does, where one may lie");
    }

    @Test
    void claimsEnd() {
        at(1);
        says(3, 2, Symptom.HUNG);
        says(4, 2, Symptom.HUNG);
        assertTrue(hearsay.doubted(2));
        at(5.9);
        assertTrue(hearsay.doubted(2));
        at(6.1);
        assertFalse(hearsay.doubted(2));
        assertEquals(0, hearsay.claims(2));
    }

    @Test
    void oldWordsEndWhenTheyWouldHave() {
        at(10);
        hearsay.heard(3, 2, Symptom.HUNG, Duration.ofSeconds(4), Duration.ZERO);
        hearsay.heard(4, 2, Symptom.HUNG, Duration.ofSeconds(6), Duration.ZERO);
        assertEquals(1, hearsay.claims(2), "the second was over before it came");
        at(11.1);
        assertEquals(0, hearsay.claims(2));
    }

    @Test
    void theOwnAnswerOverrules() {
        at(1);
        says(3, 2, Symptom.HUNG);
        says(4, 2, Symptom.HUNG);
        at(3);
        sees(2, Health.WELL, now);
        assertFalse(hearsay.doubted(2));
        assertEquals(0.5, hearsay.credit(3), "they may have been right, and it is back");
    }

    @Test
    void whoIsContradictedLosesCreditFasterThanHeGains() {
        double gained = hearsay.credit(3);
        for (int i = 0; i < 6; i++) {
            at(10 * i + 1);
            says(3, 2, Symptom.HUNG);
            sees(2, Health.SILENT, NEVER);
            at(10 * i + 3);
            sees(2, Health.WELL, now);
        }
        gained = hearsay.credit(3);
        assertTrue(gained > 0.85, "right six times: " + gained);
        // Then it lies of a node that answers all the time.
        int lies = 0;
        for (double t = 100; hearsay.credit(3) >= 0.1 && lies < 50; t += 1, lies++) {
            at(t);
            says(3, 5, Symptom.HUNG);
            at(t + 0.1);
            sees(5, Health.WELL, now);
        }
        assertTrue(lies <= 12, "heard no more after " + lies + " lies");
        at(200);
        says(3, 5, Symptom.HUNG);
        says(4, 5, Symptom.HUNG);
        assertFalse(hearsay.doubted(5), "its voice adds nothing to another's");
    }

    @Test
    void whoClaimsMostOfTheFleetIsCutOffHimself() {
        at(1);
        for (int node = 0; node < NODES; node++) {
            says(3, node, Symptom.UNREACHABLE);
        }
        says(4, 2, Symptom.HUNG);
        assertFalse(hearsay.doubted(2));
        says(5, 2, Symptom.HUNG);
        assertTrue(hearsay.doubted(2), "two others carry it by themselves");
    }

    @Test
    void echoesAreOneVoice() {
        // Three that speak together, of what answers all the time.
        for (int round = 0; round < 2; round++) {
            at(10 * round + 1);
            for (int peer = 3; peer < 6; peer++) {
                says(peer, 2, Symptom.HUNG);
            }
            at(10 * round + 1.2);
            sees(2, Health.WELL, now);
        }
        at(40);
        for (int peer = 3; peer < 6; peer++) {
            says(peer, 6, Symptom.HUNG);
        }
        assertFalse(hearsay.doubted(6), "one voice, and one may lie");
        says(7, 6, Symptom.HUNG);
        assertFalse(hearsay.doubted(6), "and the one that stands alone may be he who lies");
        says(8, 6, Symptom.HUNG);
        assertTrue(hearsay.doubted(6));
    }

    @Test
    void thoseWhoTakeItBackMakeATryWorthIt() {
        at(1);
        says(3, 2, Symptom.HUNG);
        says(4, 2, Symptom.HUNG);
        says(5, 2, Symptom.HUNG);
        at(2);
        says(3, 2, Symptom.WELL);
        assertFalse(hearsay.better(2));
        assertTrue(hearsay.doubted(2));
        says(4, 2, Symptom.WELL);
        assertTrue(hearsay.better(2));
        assertFalse(hearsay.doubted(2));
        assertFalse(says(9, 2, Symptom.WELL), "who never claimed it takes nothing back");
    }

    @Test
    void tablesHoldNoMoreThanTheirBound() {
        Hearsay large = new Hearsay(Tuning.USUAL, 2000);
        large.nodes(NODES);
        int passed = 0;
        for (int peer = 0; peer < 2000; peer++) {
            passed += large.heard(peer, 1, Symptom.HUNG, Duration.ZERO, Duration.ZERO) ? 1 : 0;
        }
        assertTrue(passed < 10, "what all see is told by a few: " + passed);
        assertTrue(large.claims(1) <= 8);
    }

    @Test
    void aNodeOfTheSameIndexStartsAnew() {
        at(1);
        says(3, 2, Symptom.HUNG);
        says(4, 2, Symptom.HUNG);
        hearsay.forget(2);
        assertFalse(hearsay.doubted(2));
        says(3, 2, Symptom.HUNG);
        assertFalse(hearsay.doubted(2));
    }
}
