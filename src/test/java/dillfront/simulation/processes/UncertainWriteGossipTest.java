package dillfront.simulation.processes;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.router.peers.GossipCodec;
import dillfront.router.peers.PeerRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Tests the gossip about uncertain writes between routers: with a killed router, with a lost disk,
 * and with a faulty peer.
 */
class UncertainWriteGossipTest extends PowerLossTestBase {

    private void startGossipingRig(int routers, int peers) throws Exception {
        startRig(
                Rig.Plan.of(routers, 1, 3)
                        .capacity(WARM_AFTER_3_S)
                        .operatorFile(
                                (newRig, r) -> {
                                    try {
                                        return gossipOperatorFile(newRig, r, routers, peers);
                                    } catch (Exception e) {
                                        throw new IllegalStateException(e);
                                    }
                                }));
    }

    /**
     * Leaves one write of this router uncertain: the write takes effect, its client times out, and
     * the group's deduplication window ends.
     */
    private void leaveWriteUncertain(int routerIndex, String key) throws Exception {
        load.stop();
        rig.awaitAllAnswered();
        rig.nodes()
                .forEach(
                        node ->
                                rig.nodeProxy(routerIndex, node.id())
                                        .setModes(
                                                TcpFaultProxy.Mode.FORWARD,
                                                TcpFaultProxy.Mode.BUFFER));
        rig.submit(routerIndex, "move", 0, key, 300);
        rig.harness().await(key + " took effect", () -> rig.receivedAndAppliedCounts(key)[1] == 1);
        rig.awaitAllAnswered();
        rig.nodes()
                .forEach(
                        node ->
                                rig.nodeProxy(routerIndex, node.id())
                                        .setModes(
                                                TcpFaultProxy.Mode.FORWARD,
                                                TcpFaultProxy.Mode.FORWARD));
        rig.harness()
                .await(
                        "the deduplication window ended for " + key,
                        () -> !rig.groups().get(0).deduplicates(key));
        awaitStatus(
                routerIndex, "one write is uncertain", report -> report.contains("in_doubt=1 "));
    }

    /**
     * Guards against a write that takes effect twice: its client moves to another router after its
     * own was killed. One of the other routers was partitioned for a while.
     */
    @Test
    void survivingRouterRejectsWriteLeftUncertainByFailedRouter() throws Exception {
        startGossipingRig(3, 3);
        rig.setPartitioned(0, 2, true);
        rig.setPartitioned(1, 2, true);
        leaveWriteUncertain(0, "gone-1");
        awaitStatus(1, "it received one report", report -> report.contains("telling=1 "));
        // Routers do not wait for their peers: the partitioned one serves.
        awaitOtherWriteCommitted(2);
        awaitStatus(2, "it received no report", report -> report.contains("telling=0 "));
        rig.setPartitioned(0, 2, false);
        awaitStatus(2, "it received one report", report -> report.contains("telling=1 "));
        rig.router(0).kill();
        for (int r = 1; r < 3; r++) {
            assertEquals("rolled-back", outcome(rig.submit(r, "move", 0, "gone-1", 1500)));
            awaitOtherWriteCommitted(r);
        }
        assertArrayEquals(new long[] {1, 1}, rig.receivedAndAppliedCounts("gone-1"));
        assertInvariants(true);
    }

    /**
     * Guards against uncertain writes lost with the disk: peers return what this router had sent
     * them.
     */
    @Test
    void recoversUncertainWritesFromPeersAfterDiskLoss() throws Exception {
        startGossipingRig(2, 2);
        leaveWriteUncertain(0, "disk-1");
        awaitStatus(1, "it received one report", report -> report.contains("telling=1 "));
        rig.router(0).kill();
        try (Stream<Path> files = Files.list(rig.folder().resolve("m0"))) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        startRouters(0);
        awaitStatus(0, "it received its own report back", report -> report.contains("echoing=1 "));
        assertEquals("rolled-back", outcome(rig.submit(0, "move", 0, "disk-1", 1500)));
        awaitOtherWriteCommitted(0);
        assertArrayEquals(new long[] {1, 1}, rig.receivedAndAppliedCounts("disk-1"));
        assertInvariants(true);
    }

    /**
     * Guards against a lagging agent: a closure that two peers report applies, one that a single
     * peer reports does not.
     */
    @Test
    void closesNodeOnTwoPeerReportsWhenOwnAgentLags() throws Exception {
        startGossipingRig(4, 4);
        rig.setPartitioned(0, 3, true);
        rig.agent(0, 0).limitGeneration(41);
        rig.agent(2, 0).limitGeneration(41);
        rig.agent(3, 0).limitGeneration(41);
        rig.harness()
                .run(
                        () ->
                                rig.catalog()
                                        .update(
                                                rig.catalog()
                                                        .entry("s-2")
                                                        .withLifecycle("draining")));
        rig.harness()
                .await(
                        "router 1 acknowledged the list",
                        () ->
                                rig.acknowledgedGeneration(rig.router(1).incarnation() + "<a0")
                                        == 42);
        awaitStatus(1, "one node is closed", report -> report.contains("closings=1 "));
        // A single report may be false.
        awaitStatus(
                0,
                "one peer reports a closed node and no node is closed",
                report -> report.contains("closings=0 witnesses=1 "));
        awaitOtherWriteCommitted(0);
        awaitStatus(0, "no node is closed", report -> report.contains("closings=0 witnesses=1 "));
        rig.agent(2, 0).limitGeneration(Long.MAX_VALUE);
        awaitStatus(
                0,
                "two peers report a closed node and it is closed",
                report -> report.contains("closings=1 witnesses=2 "));
        rig.router(0)
                .awaitLogLine(
                        "the closed node s-2",
                        line ->
                                line.contains(
                                        "closed-elsewhere id=s-2 generation=42 latest_here=41"));
        String incarnation = rig.router(0).incarnation();
        // Pending statements have arrived; from here on the node receives none.
        load.stop();
        rig.awaitAllAnswered();
        long receivedBefore =
                rig.harness().call(() -> rig.harness().statementsReceived(incarnation, "s-2"));
        load.start();
        awaitServed(rig.harness().call(() -> load.committed(incarnation)) + 100, 0);
        assertEquals(
                receivedBefore,
                rig.harness().call(() -> rig.harness().statementsReceived(incarnation, "s-2")));
        rig.agent(0, 0).limitGeneration(Long.MAX_VALUE);
        rig.agent(3, 0).limitGeneration(Long.MAX_VALUE);
        rig.harness()
                .run(() -> rig.catalog().update(rig.catalog().entry("s-2").withLifecycle("ready")));
        rig.harness()
                .await(
                        "router 0 acknowledged the list",
                        () ->
                                rig.acknowledgedGeneration(rig.router(0).incarnation() + "<a0")
                                        == 43);
        awaitStatus(0, "its own list reopens the node", report -> report.contains("closings=0 "));
        assertInvariants(true);
    }

    /**
     * Guards against a faulty peer: a report that all writes are uncertain is refused, and one
     * about some writes holds back those only.
     */
    @Test
    void ignoresPeerThatReportsEverythingUncertain() throws Exception {
        startGossipingRig(1, 2);
        PeerRegistry registry = new PeerRegistry();
        for (int peer = 0; peer < 2; peer++) {
            registry.key(
                    registry.add("r" + peer, socket(peer)),
                    publicKeyHex(peer),
                    Duration.ZERO,
                    Duration.ofDays(1_000_000));
        }
        long unixMs = System.currentTimeMillis();
        GossipCodec codec =
                new GossipCodec(
                        registry,
                        1,
                        PeerRegistry.keyId(PeerRegistry.rawKey(key(1).getPublic())),
                        key(1).getPrivate(),
                        socket(1),
                        1200,
                        unixMs * 1000);
        long[] allBits = new long[128];
        Arrays.fill(allBits, -1L);
        long[] alternatingBits = new long[128];
        Arrays.fill(alternatingBits, 0x5555555555555555L);
        try (DatagramSocket faultySocket = new DatagramSocket(socket(1))) {
            for (long[] filter : List.of(allBits, alternatingBits)) {
                for (int filterIndex = 0; filterIndex < 2; filterIndex++) {
                    ByteBuf out = Unpooled.buffer();
                    codec.write(out, 0, 7, 9, filterIndex, filter, Duration.ofMillis(unixMs));
                    faultySocket.send(
                            new DatagramPacket(
                                    out.array(),
                                    out.readableBytes(),
                                    rig.udpProxies(List.of()).get(0).address()));
                }
            }
        }
        awaitStatus(0, "it refused both reports", report -> report.contains("heard=2 refused=2"));
        int committed = 0;
        for (int i = 0; i < 50; i++) {
            committed +=
                    outcome(rig.submit(0, "move", 0, "lied-" + i, 1500)).equals("committed")
                            ? 1
                            : 0;
        }
        // Half of the bits are set and each write checks 14 of them, so each report holds back
        // one write in 16,000.
        assertTrue(committed >= 45, "committed " + committed + " of 50 writes");
        assertInvariants(true);
    }
}
