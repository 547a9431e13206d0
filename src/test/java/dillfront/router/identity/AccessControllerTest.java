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
class AccessControllerTest {

    private static final Duration DAY = Duration.ofDays(1);
    private static final Duration UNIX = Duration.ofDays(20_000);
    private final AccessController controller = new AccessController();

    private void setTime(double seconds) {
        Duration now = Duration.ofMillis((long) (seconds * 1000));
        controller.updateTime(now, UNIX.plus(now));
    }

    private static Principal billing(double rate, int maxInFlight) {
        return new Principal(
                "billing-7",
                3,
                new Rights(List.of(Rule.of(true, 1, "r", Rule.ANY_GROUP, "hotel-7/", "rule 1"))),
                rate,
                maxInFlight);
    }

    private static Policy policy(Set<String> keys, Set<String> revoked, Principal... principals) {
        Map<String, Principal> principalsByName = new HashMap<>();
        for (Principal principal : principals) {
            principalsByName.put(principal.name(), principal);
        }
        return new Policy(
                principalsByName, keys, revoked, Duration.ofSeconds(30), Duration.ofSeconds(600));
    }

    private static AccessController.Credential credential(String key, String id) {
        return new AccessController.Credential("billing-7", key, id, UNIX, UNIX.plus(DAY));
    }

    private static Refusal admit(AccessController.Session session) {
        return session.admit(0, false, 0, RightsTest.key("hotel-7/1"));
    }

    private AccessController.Session open(String key, String id) {
        return (AccessController.Session) controller.openSession(credential(key, id));
    }

    @Test
    void rejectsNewSessionsWithoutCurrentPolicy() {
        setTime(1);
        assertEquals(
                Refusal.STALE,
                controller.openSession(credential("k1", "t1")),
                "before anything was read");
        controller.markPolicyUnreadable();
        assertEquals(Refusal.STALE, controller.openSession(credential("k1", "t1")));
        controller.replacePolicy(policy(Set.of("k1"), Set.of(), billing(0, 0)));
        AccessController.Session openSession = open("k1", "t1");
        setTime(100);
        controller.markPolicyUnreadable();
        setTime(699);
        controller.markPolicyUnreadable();
        assertNull(admit(open("k1", "t2")), "the last good state holds for its time");
        setTime(701);
        assertEquals(Refusal.STALE, controller.openSession(credential("k1", "t3")));
        assertNull(admit(openSession), "who is in stays in");
        controller.replacePolicy(policy(Set.of("k1"), Set.of(), billing(0, 0)));
        assertNull(admit(open("k1", "t3")));
    }

    @Test
    void retiredKeyEndsSessionAfterGracePeriod() {
        controller.replacePolicy(policy(Set.of("k1"), Set.of(), billing(0, 0)));
        setTime(1);
        AccessController.Session oldKeySession = open("k1", "t1");
        controller.replacePolicy(policy(Set.of("k1", "k2"), Set.of(), billing(0, 0)));
        AccessController.Session newKeySession = open("k2", "t2");
        setTime(10);
        controller.replacePolicy(policy(Set.of("k2"), Set.of(), billing(0, 0)));
        for (double s = 10; s < 40; s += 0.5) {
            setTime(s);
            assertNull(admit(oldKeySession), "within the overlap, at " + s);
            // Read again meanwhile: the overlap does not begin anew.
            controller.replacePolicy(policy(Set.of("k2"), Set.of(), billing(0, 0)));
        }
        setTime(40);
        assertEquals(Refusal.KEY_ENDED, admit(oldKeySession), "none after it");
        assertEquals(Refusal.KEY_ENDED, controller.openSession(credential("k1", "t4")));
        assertNull(admit(newKeySession));
    }

    @Test
    void revocationAppliesToNextTransaction() {
        controller.replacePolicy(policy(Set.of("k1"), Set.of(), billing(0, 0)));
        setTime(1);
        AccessController.Session revoked = open("k1", "t1");
        AccessController.Session other = open("k1", "t2");
        assertNull(admit(revoked));
        controller.replacePolicy(policy(Set.of("k1"), Set.of("t1"), billing(0, 0)));
        assertEquals(Refusal.REVOKED, admit(revoked));
        assertTrue(admit(revoked).endsSession());
        assertNull(admit(other));
        // What was taken is answered all the same.
        revoked.release();
        revoked.close();
        assertEquals(Refusal.REVOKED, controller.openSession(credential("k1", "t1")));
    }

    @Test
    void policyChangeAppliesToOpenSessions() {
        controller.replacePolicy(policy(Set.of("k1"), Set.of(), billing(0, 0)));
        setTime(1);
        AccessController.Session session = open("k1", "t1");
        assertEquals(3, session.tenant());
        assertEquals(Refusal.NO_RIGHT, session.admit(1, false, 0, RightsTest.key("hotel-7/1")));
        assertEquals(Refusal.NO_RIGHT, session.admit(0, true, 0, RightsTest.key("hotel-7/1")));
        assertFalse(Refusal.NO_RIGHT.endsSession());
        controller.replacePolicy(
                policy(Set.of("k1"), Set.of(), new Principal("billing-7", 4, Rights.NONE, 0, 0)));
        assertEquals(Refusal.NO_RIGHT, admit(session));
        assertEquals(4, session.tenant());
        controller.replacePolicy(policy(Set.of("k1"), Set.of()));
        assertEquals(Refusal.UNKNOWN, admit(session));
    }

    @Test
    void credentialExpiresInOpenSession() {
        controller.replacePolicy(policy(Set.of("k1"), Set.of(), billing(0, 0)));
        setTime(1);
        AccessController.Session session = open("k1", "t1");
        setTime(DAY.toSeconds() - 0.001);
        assertNull(admit(session));
        setTime(DAY.toSeconds());
        assertEquals(Refusal.EXPIRED, admit(session));
        assertEquals(Refusal.EXPIRED, controller.openSession(credential("k1", "t2")));
        // A clock that is stepped back brings nobody back who is out by the span since the start.
        controller.updateTime(Duration.ofSeconds(DAY.toSeconds() + 1), UNIX.plusSeconds(5));
        assertEquals(Refusal.EXPIRED, admit(session));
        assertEquals(
                Refusal.EXPIRED,
                controller.openSession(
                        new AccessController.Credential(
                                "billing-7", "k1", "t3", UNIX.plusSeconds(9), UNIX.plus(DAY))));
    }

    @Test
    void enforcesRateAndConcurrencyOfPrincipal() {
        controller.replacePolicy(policy(Set.of("k1"), Set.of(), billing(5, 3)));
        setTime(1);
        AccessController.Session first = open("k1", "t1");
        AccessController.Session second = open("k1", "t2");
        assertNull(admit(first));
        assertNull(admit(second));
        assertNull(admit(first));
        assertEquals(Refusal.BUSY, admit(second), "three at once, over all its sessions");
        first.release();
        first.release();
        second.release();
        assertNull(admit(first));
        assertNull(admit(first));
        first.release();
        first.release();
        assertEquals(Refusal.BUSY, admit(second), "five a second");
        assertEquals(200, second.retryDelay().toMillis());
        setTime(1.2);
        assertNull(admit(second));
        second.release();
        setTime(60);
        int admitted = 0;
        for (; admit(first) == null; admitted++) {
            first.release();
        }
        assertEquals(5, admitted, "what was not used for a minute is not saved up");
    }

    @Test
    void usageTableIsBoundedByPolicy() {
        controller.replacePolicy(policy(Set.of("k1"), Set.of(), billing(0, 0)));
        setTime(1);
        for (int i = 0; i < 1000; i++) {
            Principal principal = new Principal("p" + i, -1, Rights.NONE, 0, 0);
            controller.replacePolicy(policy(Set.of("k" + i), Set.of(), principal));
            setTime(1 + 40 * i);
            ((AccessController.Session)
                            controller.openSession(
                                    new AccessController.Credential(
                                            "p" + i,
                                            "k" + i,
                                            "t",
                                            UNIX,
                                            UNIX.plus(DAY.multipliedBy(9)))))
                    .close();
        }
        assertTrue(controller.usageCount() <= 2, "rows " + controller.usageCount());
    }

    @Test
    void delaysGuessedNameAtItsAddressOnly() {
        LoginThrottle throttle = new LoginThrottle(42);
        throttle.updateTime(Duration.ofSeconds(1));
        for (int i = 0; i < 3; i++) {
            assertEquals(Duration.ZERO, throttle.loginDelay("10.0.0.1", "billing-7"));
            throttle.recordFailure("10.0.0.1", "billing-7");
        }
        Duration before = Duration.ZERO;
        for (int i = 0; i < 6; i++) {
            throttle.recordFailure("10.0.0.1", "billing-7");
            assertTrue(throttle.loginDelay("10.0.0.1", "billing-7").compareTo(before) > 0);
            before = throttle.loginDelay("10.0.0.1", "billing-7");
        }
        assertEquals(
                Duration.ZERO,
                throttle.loginDelay("10.0.0.1", "tablet-3"),
                "another behind the same address");
        assertEquals(
                Duration.ZERO,
                throttle.loginDelay("10.0.0.2", "billing-7"),
                "the same name elsewhere");
        throttle.recordSuccess("10.0.0.1", "billing-7");
        assertEquals(Duration.ZERO, throttle.loginDelay("10.0.0.1", "billing-7"));
        // Many names from one address, each once: the address pays in the end.
        for (int i = 0; i < 110; i++) {
            throttle.recordFailure("10.0.0.3", "guess-" + i);
        }
        assertTrue(
                throttle.loginDelay("10.0.0.3", "tablet-4").compareTo(Duration.ofSeconds(1)) > 0);
        throttle.updateTime(Duration.ofMinutes(20));
        assertEquals(Duration.ZERO, throttle.loginDelay("10.0.0.3", "tablet-4"), "it decays");
    }

    @Test
    void manyFailingClientsRarelyDelayOthers() {
        LoginThrottle throttle = new LoginThrottle(7);
        throttle.updateTime(Duration.ofSeconds(1));
        for (int i = 0; i < 1500; i++) {
            throttle.recordFailure("10.1." + i / 250 + "." + i % 250, "name-" + i);
        }
        int delayed = 0;
        for (int i = 0; i < 1000; i++) {
            delayed += throttle.loginDelay("10.9.0." + i, "honest-" + i).isZero() ? 0 : 1;
        }
        assertTrue(delayed < 5, "wait without cause: " + delayed + " of 1000");
    }
}
