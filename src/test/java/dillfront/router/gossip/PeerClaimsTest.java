package dillfront.router.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.routing.api.HealthObservation;
import dillfront.routing.api.HealthObservation.Health;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Checks how claims are weighed, by short sequences of claims and own observations. */
class PeerClaimsTest {

    private static final int NODES = 8;
    private static final Duration NEVER = Duration.ofSeconds(-100);
    private final PeerClaims claims = new PeerClaims(GossipConfig.DEFAULT, 10);
    private Duration now = Duration.ZERO;

    PeerClaimsTest() {
        claims.nodes(NODES);
    }

    private void at(double seconds) {
        now = Duration.ofMillis((long) (seconds * 1000));
        claims.setClock(now);
        claims.expireClaims();
    }

    private boolean claim(int peer, int node, Symptom symptom) {
        return claims.receive(peer, node, symptom, Duration.ZERO, Duration.ZERO);
    }

    private void observe(int node, Health health, Duration wellAt) {
        claims.observe(node, new HealthObservation(health, wellAt, 1));
    }

    @Test
    void singleClaimRaisesNoSuspicion() {
        at(1);
        for (int i = 0; i < 100; i++) {
            at(1 + i * 0.1);
            claim(3, 2, Symptom.HUNG);
            assertFalse(claims.isSuspected(2));
        }
        claim(4, 2, Symptom.HUNG);
        assertTrue(claims.isSuspected(2), "two claims suffice if one instance may lie");
    }

    @Test
    void claimsExpire() {
        at(1);
        claim(3, 2, Symptom.HUNG);
        claim(4, 2, Symptom.HUNG);
        assertTrue(claims.isSuspected(2));
        at(5.9);
        assertTrue(claims.isSuspected(2));
        at(6.1);
        assertFalse(claims.isSuspected(2));
        assertEquals(0, claims.claimCount(2));
    }

    @Test
    void delayedClaimsExpireByCreationTime() {
        at(10);
        claims.receive(3, 2, Symptom.HUNG, Duration.ofSeconds(4), Duration.ZERO);
        claims.receive(4, 2, Symptom.HUNG, Duration.ofSeconds(6), Duration.ZERO);
        assertEquals(1, claims.claimCount(2), "the second claim had expired on arrival");
        at(11.1);
        assertEquals(0, claims.claimCount(2));
    }

    @Test
    void ownAnswerOverrulesClaims() {
        at(1);
        claim(3, 2, Symptom.HUNG);
        claim(4, 2, Symptom.HUNG);
        at(3);
        observe(2, Health.WELL, now);
        assertFalse(claims.isSuspected(2));
        assertEquals(
                0.5, claims.credit(3), "the claim may have been right and the node has recovered");
    }

    @Test
    void contradictedClaimsLoseCreditFasterThanConfirmedGain() {
        double gained = claims.credit(3);
        for (int i = 0; i < 6; i++) {
            at(10 * i + 1);
            claim(3, 2, Symptom.HUNG);
            observe(2, Health.SILENT, NEVER);
            at(10 * i + 3);
            observe(2, Health.WELL, now);
        }
        gained = claims.credit(3);
        assertTrue(gained > 0.85, "credit after six confirmed claims: " + gained);
        // Then it makes false claims about a node that answers all the time.
        int lies = 0;
        for (double t = 100; claims.credit(3) >= 0.1 && lies < 50; t += 1, lies++) {
            at(t);
            claim(3, 5, Symptom.HUNG);
            at(t + 0.1);
            observe(5, Health.WELL, now);
        }
        assertTrue(lies <= 12, "claims still counted after " + lies + " false claims");
        at(200);
        claim(3, 5, Symptom.HUNG);
        claim(4, 5, Symptom.HUNG);
        assertFalse(claims.isSuspected(5), "a vote without credit adds nothing to another one");
    }

    @Test
    void ignoresInstanceThatClaimsMostNodes() {
        at(1);
        for (int node = 0; node < NODES; node++) {
            claim(3, node, Symptom.UNREACHABLE);
        }
        claim(4, 2, Symptom.HUNG);
        assertFalse(claims.isSuspected(2));
        claim(5, 2, Symptom.HUNG);
        assertTrue(claims.isSuspected(2), "two other votes suffice");
    }

    @Test
    void correlatedErrorsCountAsOneVote() {
        // Three instances make the same claim about a node that answers all the time.
        for (int round = 0; round < 2; round++) {
            at(10 * round + 1);
            for (int peer = 3; peer < 6; peer++) {
                claim(peer, 2, Symptom.HUNG);
            }
            at(10 * round + 1.2);
            observe(2, Health.WELL, now);
        }
        at(40);
        for (int peer = 3; peer < 6; peer++) {
            claim(peer, 6, Symptom.HUNG);
        }
        assertFalse(
                claims.isSuspected(6),
                "three correlated instances count as one vote, and one vote may be a lie");
        claim(7, 6, Symptom.HUNG);
        assertFalse(claims.isSuspected(6), "the only other vote may be a lie");
        claim(8, 6, Symptom.HUNG);
        assertTrue(claims.isSuspected(6));
    }

    @Test
    void withdrawnClaimsEndSuspicion() {
        at(1);
        claim(3, 2, Symptom.HUNG);
        claim(4, 2, Symptom.HUNG);
        claim(5, 2, Symptom.HUNG);
        at(2);
        claim(3, 2, Symptom.WELL);
        assertFalse(claims.better(2));
        assertTrue(claims.isSuspected(2));
        claim(4, 2, Symptom.WELL);
        assertTrue(claims.better(2));
        assertFalse(claims.isSuspected(2));
        assertFalse(claim(9, 2, Symptom.WELL), "no claim to withdraw");
    }

    @Test
    void boundsClaimsPerNode() {
        PeerClaims large = new PeerClaims(GossipConfig.DEFAULT, 2000);
        large.nodes(NODES);
        int passed = 0;
        for (int peer = 0; peer < 2000; peer++) {
            passed += large.receive(peer, 1, Symptom.HUNG, Duration.ZERO, Duration.ZERO) ? 1 : 0;
        }
        assertTrue(passed < 10, "forwarded claims: " + passed);
        assertTrue(large.claimCount(1) <= 8);
    }

    @Test
    void reusedNodeIndexStartsWithoutClaims() {
        at(1);
        claim(3, 2, Symptom.HUNG);
        claim(4, 2, Symptom.HUNG);
        claims.removeNode(2);
        assertFalse(claims.isSuspected(2));
        claim(3, 2, Symptom.HUNG);
        assertFalse(claims.isSuspected(2));
    }
}
