package dillfront.router.identity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Who is let in, and how changes of keys, rights and revocations are felt by those who are in. */
class GateTest {

    private static final Duration DAY = Duration.ofDays(1);
    private static final Duration UNIX = Duration.ofDays(20_000);
    private final AccessController gate = new AccessController();

    private void at(double seconds) {
        Duration now = Duration.ofMillis((long) (seconds * 1000));
        gate.updateTime(now, UNIX.plus(now));
    }

    private static Principal billing(double rate, int atOnce) {
        return new Principal(
                "billing-7",
                3,
                new Rights(List.of(Rule.of(true, 1, "r", Rule.ANY_GROUP, "hotel-7/", "rule 1"))),
                rate,
                atOnce);
    }

    private static Policy policy(Set<String> keys, Set<String> revoked, Principal... principals) {
        Map<String, Principal> named = new HashMap<>();
        for (Principal one : principals) {
            named.put(one.name(), one);
        }
        return new Policy(named, keys, revoked, Duration.ofSeconds(30), Duration.ofSeconds(600));
    }

    private static AccessController.Credential credential(String key, String id) {
        return new AccessController.Credential("billing-7", key, id, UNIX, UNIX.plus(DAY));
    }

    private static Refusal take(AccessController.Session session) {
        return session.admit(0, false, 0, RightsTest.key("hotel-7/1"));
    }

    private AccessController.Session enter(String key, String id) {
        return (AccessController.Session) gate.openSession(credential(key, id));
    }

    @Test
    void neverOpenByAccident() {
        at(1);
        assertEquals(
                Refusal.STALE,
                gate.openSession(credential("k1", "t1")),
                "before anything was read");
        gate.markPolicyUnreadable();
        assertEquals(Refusal.STALE, gate.openSession(credential("k1", "t1")));
        gate.replacePolicy(policy(Set.of("k1"), Set.of(), billing(0, 0)));
        AccessController.Session in = enter("k1", "t1");
        at(100);
        gate.markPolicyUnreadable();
        at(699);
        gate.markPolicyUnreadable();
        assertNull(take(enter("k1", "t2")), "the last good state holds for its time");
        at(701);
        assertEquals(Refusal.STALE, gate.openSession(credential("k1", "t3")));
        assertNull(take(in), "who is in stays in");
        gate.replacePolicy(policy(Set.of("k1"), Set.of(), billing(0, 0)));
        assertNull(take(enter("k1", "t3")));
    }

    @Test
    void aKeyIsChangedUnderAnOpenSession() {
        gate.replacePolicy(policy(Set.of("k1"), Set.of(), billing(0, 0)));
        at(1);
        AccessController.Session old = enter("k1", "t1");
        gate.replacePolicy(policy(Set.of("k1", "k2"), Set.of(), billing(0, 0)));
        AccessController.Session young = enter("k2", "t2");
        at(10);
        gate.replacePolicy(policy(Set.of("k2"), Set.of(), billing(0, 0)));
        for (double s = 10; s < 40; s += 0.5) {
            at(s);
            assertNull(take(old), "within the overlap, at " + s);
            // Read again meanwhile: the overlap does not begin anew.
            gate.replacePolicy(policy(Set.of("k2"), Set.of(), billing(0, 0)));
        }
        at(40);
        assertEquals(Refusal.KEY_ENDED, take(old), "none after it");
        assertEquals(Refusal.KEY_ENDED, gate.openSession(credential("k1", "t4")));
        assertNull(take(young));
    }

    @Test
    void aRevocationIsFeltAtTheNextTxn() {
        gate.replacePolicy(policy(Set.of("k1"), Set.of(), billing(0, 0)));
        at(1);
        AccessController.Session one = enter("k1", "t1");
        AccessController.Session two = enter("k1", "t2");
        assertNull(take(one));
        gate.replacePolicy(policy(Set.of("k1"), Set.of("t1"), billing(0, 0)));
        assertEquals(Refusal.REVOKED, take(one));
        assertTrue(take(one).endsSession());
        assertNull(take(two));
        // What was taken is answered all the same.
        one.release();
        one.close();
        assertEquals(Refusal.REVOKED, gate.openSession(credential("k1", "t1")));
    }

    @Test
    void rightsChangeForThoseWhoAreIn() {
        gate.replacePolicy(policy(Set.of("k1"), Set.of(), billing(0, 0)));
        at(1);
        AccessController.Session one = enter("k1", "t1");
        assertEquals(3, one.tenant());
        assertEquals(Refusal.NO_RIGHT, one.admit(1, false, 0, RightsTest.key("hotel-7/1")));
        assertEquals(Refusal.NO_RIGHT, one.admit(0, true, 0, RightsTest.key("hotel-7/1")));
        assertFalse(Refusal.NO_RIGHT.endsSession());
        gate.replacePolicy(
                policy(Set.of("k1"), Set.of(), new Principal("billing-7", 4, Rights.NONE, 0, 0)));
        assertEquals(Refusal.NO_RIGHT, take(one));
        assertEquals(4, one.tenant());
        gate.replacePolicy(policy(Set.of("k1"), Set.of()));
        assertEquals(Refusal.UNKNOWN, take(one));
    }

    @Test
    void credentialsEnd() {
        gate.replacePolicy(policy(Set.of("k1"), Set.of(), billing(0, 0)));
        at(1);
        AccessController.Session one = enter("k1", "t1");
        at(DAY.toSeconds() - 0.001);
        assertNull(take(one));
        at(DAY.toSeconds());
        assertEquals(Refusal.EXPIRED, take(one));
        assertEquals(Refusal.EXPIRED, gate.openSession(credential("k1", "t2")));
        // A clock that is stepped back brings nobody back who is out by the span since the start.
        gate.updateTime(Duration.ofSeconds(DAY.toSeconds() + 1), UNIX.plusSeconds(5));
        assertEquals(Refusal.EXPIRED, take(one));
        assertEquals(
                Refusal.EXPIRED,
                gate.openSession(
                        new AccessController.Credential(
                                "billing-7", "k1", "t3", UNIX.plusSeconds(9), UNIX.plus(DAY))));
    }

    @Test
    void limitsOfOnePrincipal() {
        gate.replacePolicy(policy(Set.of("k1"), Set.of(), billing(5, 3)));
        at(1);
        AccessController.Session one = enter("k1", "t1");
        AccessController.Session two = enter("k1", "t2");
        assertNull(take(one));
        assertNull(take(two));
        assertNull(take(one));
        assertEquals(Refusal.BUSY, take(two), "three at once, over all its sessions");
        one.release();
        one.release();
        two.release();
        assertNull(take(one));
        assertNull(take(one));
        one.release();
        one.release();
        assertEquals(Refusal.BUSY, take(two), "five a second");
        assertEquals(200, two.retryDelay().toMillis());
        at(1.2);
        assertNull(take(two));
        two.release();
        at(60);
        int taken = 0;
        for (; take(one) == null; taken++) {
            one.release();
        }
        assertEquals(5, taken, "what was not used for a minute is not saved up");
    }

    @Test
    void tablesHoldThoseWhoAreThere() {
        gate.replacePolicy(policy(Set.of("k1"), Set.of(), billing(0, 0)));
        at(1);
        for (int i = 0; i < 1000; i++) {
            Principal one = new Principal("p" + i, -1, Rights.NONE, 0, 0);
            gate.replacePolicy(policy(Set.of("k" + i), Set.of(), one));
            at(1 + 40 * i);
            ((AccessController.Session)
                            gate.openSession(
                                    new AccessController.Credential(
                                            "p" + i,
                                            "k" + i,
                                            "t",
                                            UNIX,
                                            UNIX.plus(DAY.multipliedBy(9)))))
                    .close();
        }
        assertTrue(gate.usageCount() <= 2, "rows " + gate.usageCount());
    }

    @Test
    void guessingIsSlowAndHurtsNobodyElse() {
        LoginThrottle penalty = new LoginThrottle(42);
        penalty.updateTime(Duration.ofSeconds(1));
        for (int i = 0; i < 3; i++) {
            assertEquals(Duration.ZERO, penalty.loginDelay("10.0.0.1", "billing-7"));
            penalty.recordFailure("10.0.0.1", "billing-7");
        }
        Duration before = Duration.ZERO;
        for (int i = 0; i < 6; i++) {
            penalty.recordFailure("10.0.0.1", "billing-7");
            assertTrue(penalty.loginDelay("10.0.0.1", "billing-7").compareTo(before) > 0);
            before = penalty.loginDelay("10.0.0.1", "billing-7");
        }
        assertEquals(
                Duration.ZERO,
                penalty.loginDelay("10.0.0.1", "tablet-3"),
                "another behind the same address");
        assertEquals(
                Duration.ZERO,
                penalty.loginDelay("10.0.0.2", "billing-7"),
                "the same name elsewhere");
        penalty.recordSuccess("10.0.0.1", "billing-7");
        assertEquals(Duration.ZERO, penalty.loginDelay("10.0.0.1", "billing-7"));
        // Many names from one address, each once: the address pays in the end.
        for (int i = 0; i < 110; i++) {
            penalty.recordFailure("10.0.0.3", "guess-" + i);
        }
        assertTrue(penalty.loginDelay("10.0.0.3", "tablet-4").compareTo(Duration.ofSeconds(1)) > 0);
        penalty.updateTime(Duration.ofMinutes(20));
        assertEquals(Duration.ZERO, penalty.loginDelay("10.0.0.3", "tablet-4"), "it decays");
    }

    @Test
    void aCrowdOfGuessersCostsTheOthersLittle() {
        LoginThrottle penalty = new LoginThrottle(7);
        penalty.updateTime(Duration.ofSeconds(1));
        for (int i = 0; i < 1500; i++) {
            penalty.recordFailure("10.1." + i / 250 + "." + i % 250, "name-" + i);
        }
        int waits = 0;
        for (int i = 0; i < 1000; i++) {
            waits += penalty.loginDelay("10.9.0." + i, "honest-" + i).isZero() ? 0 : 1;
        }
        assertTrue(waits < 5, "wait without cause: " + waits + " of 1000");
    }
}
