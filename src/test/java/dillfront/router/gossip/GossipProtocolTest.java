package dillfront.router.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.simulation.GossipSimulation;
import dillfront.simulation.VirtualTimeScheduler;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Runs the gossip protocol of many instances in virtual time under crashes, partitions, pauses,
 * message loss and clock differences.
 */
class GossipProtocolTest {

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final Set<Integer> receivers = new HashSet<>();
    private GossipSimulation crowd;

    private GossipSimulation crowd(int count, long seed) {
        crowd =
                new GossipSimulation(
                        count,
                        GossipConfig.DEFAULT,
                        time,
                        seed,
                        (at, claim, age) -> {
                            receivers.add(at);
                            crowd.instances[at].gossip.forward(claim, claim.origin());
                        });
        crowd.start();
        return crowd;
    }

    private void until(double seconds) {
        time.runUntil(Duration.ofMillis((long) (seconds * 1000)));
    }

    private double bytesPerSecond(double seconds) {
        double before = crowd.meanBytesSent();
        until(time.now().toMillis() / 1000.0 + seconds);
        return (crowd.meanBytesSent() - before) / seconds;
    }

    @Test
    void discoversAllInstancesAndSpreadsClaims() {
        crowd(20, 1);
        until(10);
        assertEquals(1.0, crowd.knownFraction());
        GossipSimulation.Instance instance = crowd.instances[7];
        instance.updateClocks();
        instance.gossip.publishClaim(3, Symptom.HUNG, 4, Duration.ofMillis(80));
        until(10.1);
        assertEquals(19, receivers.size(), "all others receive the claim within 100 ms");
        until(60);
        assertTrue(bytesPerSecond(60) < 1000, "little traffic without events");
    }

    @Test
    void staysWithinBandwidthBudget() {
        crowd(100, 2);
        until(40);
        for (int i = 0; i < 30; i++) {
            for (GossipSimulation.Instance instance : crowd.instances) {
                instance.updateClocks();
                instance.gossip.publishClaim(i, Symptom.HUNG, 4, Duration.ZERO);
            }
            until(40 + i);
        }
        // The initial content of the bucket plus its refill.
        assertTrue(
                crowd.meanBytesSent() <= GossipConfig.DEFAULT.bytesPerSecond() * (70 + 3),
                "sent " + crowd.meanBytesSent());
        for (GossipSimulation.Instance instance : crowd.instances) {
            assertTrue(instance.gossip.queuedUpdates() <= 64);
        }
    }

    @Test
    void detectsSimultaneousCrashOfThird() {
        crowd(60, 3);
        until(40);
        for (int i = 0; i < 20; i++) {
            crowd.instances[3 + i].stopped = true;
        }
        until(70);
        assertTrue(
                crowd.staleFraction() < 0.05,
                "crashed instances still considered present: " + crowd.staleFraction());
        assertEquals(1.0, crowd.knownFraction(), "no running instance is considered gone");
    }

    @Test
    void mergesAfterPartition() {
        crowd(40, 4);
        until(30);
        for (GossipSimulation.Instance instance : crowd.instances) {
            instance.partition = instance.index % 2;
        }
        until(80);
        assertTrue(crowd.knownFraction() < 0.55);
        for (GossipSimulation.Instance instance : crowd.instances) {
            instance.partition = 0;
        }
        double healing = bytesPerSecond(20);
        assertEquals(1.0, crowd.knownFraction(), "membership is complete within twenty periods");
        assertTrue(
                healing < GossipConfig.DEFAULT.bytesPerSecond(),
                "traffic after the partition healed: " + healing);
        for (GossipSimulation.Instance instance : crowd.instances) {
            assertTrue(instance.gossip.incarnation() <= 3, "incarnations rise only slightly");
        }
    }

    @Test
    void rejoinsAfterRestartWithoutState() {
        crowd(20, 5);
        until(15);
        GossipSimulation.Instance instance = crowd.instances[9];
        for (int run = 0; run < 3; run++) {
            instance.stopped = true;
            until(time.now().toSeconds() + 30);
            instance.start(List.of(0));
            until(time.now().toSeconds() + 15);
            assertEquals(1.0, crowd.knownFraction(), "complete membership after restart " + run);
        }
        receivers.clear();
        instance.updateClocks();
        instance.gossip.publishClaim(2, Symptom.HUNG, 1, Duration.ZERO);
        until(time.now().toSeconds() + 2);
        assertEquals(
                19,
                receivers.size(),
                "updates are accepted although an earlier run used their numbers");
    }

    @Test
    void pausedInstanceDeclaresNoPeerGone() {
        crowd(20, 6);
        until(15);
        GossipSimulation.Instance instance = crowd.instances[4];
        instance.pause(Duration.ofSeconds(5));
        until(21);
        int missing = 0;
        for (GossipSimulation.Instance other : crowd.instances) {
            missing +=
                    other != instance && !instance.gossip.membership().isPresent(other.index)
                            ? 1
                            : 0;
        }
        assertEquals(0, missing);
        assertTrue(
                instance.gossip.membership().healthScore() > 0,
                "the pause raises its local health score");
        until(50);
        assertEquals(1.0, crowd.knownFraction(), "the paused instance is present again");
    }

    @Test
    void toleratesLossyNetwork() {
        crowd = crowd(30, 7);
        crowd.lossRate = 0.3;
        crowd.duplicateRate = 0.1;
        until(40);
        double minKnown = 1;
        for (int s = 41; s < 160; s++) {
            until(s);
            minKnown = Math.min(minKnown, crowd.knownFraction());
        }
        assertTrue(minKnown > 0.97, "minimum known part: " + minKnown);
    }

    @Test
    void toleratesClockDifferences() {
        crowd =
                new GossipSimulation(
                        12,
                        GossipConfig.DEFAULT,
                        time,
                        8,
                        (at, claim, age) -> {
                            receivers.add(at);
                            assertTrue(age.compareTo(Duration.ofSeconds(1)) < 0, "age " + age);
                            crowd.instances[at].gossip.forward(claim, claim.origin());
                        });
        for (GossipSimulation.Instance instance : crowd.instances) {
            instance.clockOffset = Duration.ofSeconds(instance.index - 6);
        }
        // Beyond the accepted clock difference.
        crowd.instances[11].clockOffset = Duration.ofSeconds(50);
        crowd.start();
        until(10);
        crowd.instances[0].updateClocks();
        crowd.instances[0].gossip.publishClaim(1, Symptom.HUNG, 1, Duration.ZERO);
        until(12);
        assertEquals(10, receivers.size(), "all except the instance with the wrong clock");
        receivers.clear();
        crowd.instances[11].updateClocks();
        crowd.instances[11].gossip.publishClaim(1, Symptom.HUNG, 1, Duration.ZERO);
        until(14);
        assertEquals(0, receivers.size());
        long dropped = 0;
        for (GossipSimulation.Instance instance : crowd.instances) {
            dropped += instance.gossip.outdatedClaims();
        }
        assertTrue(dropped > 1, "dropped claims are counted by the receivers");
    }

    @Test
    void announcesShutdown() {
        crowd(15, 9);
        until(10);
        crowd.instances[5].updateClocks();
        crowd.instances[5].gossip.leave();
        crowd.instances[5].stopped = true;
        until(14);
        for (GossipSimulation.Instance other : crowd.instances) {
            if (other.index != 5) {
                assertEquals(MembershipList.State.LEFT, other.gossip.membership().state(5));
            }
        }
    }

    @Test
    void expiresClaimsOfBothSidesAfterPartition() {
        PeerClaims[] claims = new PeerClaims[20];
        for (int i = 0; i < claims.length; i++) {
            claims[i] = new PeerClaims(GossipConfig.DEFAULT, claims.length);
            claims[i].nodes(8);
        }
        crowd =
                new GossipSimulation(
                        claims.length,
                        GossipConfig.DEFAULT,
                        time,
                        11,
                        (at, claim, age) -> {
                            claims[at].setClock(time.now());
                            if (claims[at].receive(
                                    claim.origin(),
                                    (int) claim.subject(),
                                    Symptom.values()[claim.detail()],
                                    age,
                                    claim.symptomDuration())) {
                                crowd.instances[at].gossip.forward(claim, claim.origin());
                            }
                        });
        crowd.start();
        until(10);
        for (GossipSimulation.Instance instance : crowd.instances) {
            instance.partition = instance.index % 2;
        }
        // Each side claims that one node is hung, until the partition heals.
        for (int s = 11; s < 60; s++) {
            until(s);
            for (int i = 0; i < 8; i++) {
                crowd.instances[i].updateClocks();
                crowd.instances[i].gossip.publishClaim(
                        1 + i % 2, Symptom.HUNG, 1, Duration.ofSeconds(s - 11));
            }
        }
        assertTrue(claims[18].isSuspected(1) && !claims[18].isSuspected(2));
        for (GossipSimulation.Instance instance : crowd.instances) {
            instance.partition = 0;
        }
        until(60 + GossipConfig.DEFAULT.claimValidity().toSeconds());
        for (PeerClaims instance : claims) {
            instance.setClock(time.now());
            instance.expireClaims();
            assertTrue(
                    !instance.isSuspected(1) && !instance.isSuspected(2),
                    "no instance has observations of its own");
        }
        until(90);
        for (PeerClaims instance : claims) {
            instance.setClock(time.now());
            instance.expireClaims();
            assertEquals(
                    0,
                    instance.claimCount(1) + instance.claimCount(2),
                    "expired claims do not return");
        }
    }

    @Test
    void boundsTablesOverOneDay() {
        GossipConfig slow =
                new GossipConfig(Duration.ofSeconds(10), 3000, 1200, 1, Duration.ofSeconds(50));
        crowd =
                new GossipSimulation(
                        10,
                        slow,
                        time,
                        12,
                        (at, claim, age) ->
                                crowd.instances[at].gossip.forward(claim, claim.origin()));
        crowd.start();
        int maxRemembered = 0;
        long node = 0;
        for (int minute = 1; minute <= 24 * 60; minute++) {
            until(60 * minute);
            GossipSimulation.Instance instance = crowd.instances[minute % 10];
            if (minute % 7 == 0) {
                instance.start(List.of((minute + 1) % 10));
            }
            instance.updateClocks();
            // Nodes change all the time: a new node id in each claim.
            instance.gossip.publishClaim(node++, Symptom.UNREACHABLE, 1, Duration.ZERO);
            for (GossipSimulation.Instance each : crowd.instances) {
                maxRemembered = Math.max(maxRemembered, each.gossip.rememberedClaims());
                assertTrue(each.gossip.queuedUpdates() <= 64);
            }
        }
        assertTrue(maxRemembered <= 9 * 32, "remembered " + maxRemembered);
        until(24 * 3600 + 200);
        assertEquals(1.0, crowd.knownFraction());
    }

    @Test
    void sameSeedSendsSameBytes() {
        crowd(30, 10);
        until(30);
        double first = crowd.meanBytesSent();
        VirtualTimeScheduler again = new VirtualTimeScheduler();
        GossipSimulation second =
                new GossipSimulation(30, GossipConfig.DEFAULT, again, 10, (at, claim, age) -> {});
        second.start();
        again.runUntil(Duration.ofSeconds(30));
        assertEquals(first, second.meanBytesSent());
    }
}
