package dillfront.simulation.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.router.peers.KeyFile;
import dillfront.router.peers.PeerRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;

/**
 * A rig that loses its power: how its scenes begin, what they wait for, and how they are judged.
 */
abstract class PowerLossTestBase {

    static final int ROUTERS = 4;

    /** Far longer than a test may wait: who serves, serves from cold nodes. */
    static final SimulatedNode.Capacity NEVER_WARM =
            new SimulatedNode.Capacity(2, 5000, 0.2, 3_600_000, 2, 1000);

    static final SimulatedNode.Capacity WARM_AFTER_3_S =
            new SimulatedNode.Capacity(2, 5000, 0.2, 3000, 2, 1000);

    Rig rig;
    LoadGenerator load;

    void startRig(SimulatedNode.Capacity capacity) throws Exception {
        startRig(Rig.Plan.of(ROUTERS, 2, 3).capacity(capacity).zones("a", "b", "c"));
    }

    void startRig(Rig.Plan plan) throws Exception {
        rig = new Rig(plan);
        rig.start();
        load = new LoadGenerator(rig, 30, 5000);
        load.start();
        awaitServed(20, IntStream.range(0, plan.routers()).toArray());
    }

    @AfterEach
    void closeRig() throws Exception {
        rig.close();
    }

    /** Until each of these has served so many in its present life. */
    void awaitServed(int count, int... routerIndexes) {
        for (int routerIndex : routerIndexes) {
            String incarnation = rig.router(routerIndex).incarnation();
            rig.harness()
                    .await(
                            incarnation + " served " + count,
                            () -> load.committed(incarnation) >= count);
        }
    }

    void restartNodes(long lostDataMs, String... ids) {
        for (String id : ids) {
            rig.restartNode(rig.node(id), lostDataMs);
        }
    }

    void startRouters(int... routerIndexes) {
        for (int routerIndex : routerIndexes) {
            rig.router(routerIndex).start();
        }
        for (int routerIndex : routerIndexes) {
            rig.router(routerIndex).awaitServing();
        }
    }

    void openAgents() {
        for (int r = 0; r < ROUTERS; r++) {
            rig.agent(r, 0).open();
        }
    }

    void assertInvariants() {
        assertInvariants(false);
    }

    void assertInvariants(boolean closuresPersist) {
        load.stop();
        rig.awaitAllAnswered();
        rig.routers().stream().filter(r -> !r.isDown()).forEach(RouterProcess::shutDown);
        InvariantChecker checker = InvariantChecker.of(rig.harness().events(), closuresPersist);
        assertEquals(List.of(), checker.violations().stream().limit(5).toList());
        assertTrue(
                checker.peakWarmupLoad() < 0.8,
                "a cold node got " + checker.peakWarmupLoad() + " of what tips it");
    }

    private final InetSocketAddress[] controlAddresses = new InetSocketAddress[ROUTERS];

    /** What an instance says of itself. */
    private String queryControl(int routerIndex, String request) {
        try (Socket socket =
                new Socket(
                        controlAddresses[routerIndex].getAddress(),
                        controlAddresses[routerIndex].getPort())) {
            socket.setSoTimeout(3000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "";
        }
    }

    static String outcome(CompletableFuture<Event.QueryEnded> answer) throws Exception {
        return answer.get(30, TimeUnit.SECONDS).outcome();
    }

    /** Writes by keys of their own, until one is committed: nodes may be cold. */
    void awaitOtherWriteCommitted(int routerIndex) throws Exception {
        int attempt = 0;
        while (!outcome(
                        rig.submit(
                                routerIndex,
                                "move",
                                0,
                                "other-" + routerIndex + "-" + ++attempt,
                                1500))
                .equals("committed")) {
            assertTrue(attempt < 100, "no other write goes through");
        }
    }

    /** The operator's file of a router that remembers, and can be asked how far it is. */
    String memoryOperatorFile(Rig newRig, int routerIndex) {
        controlAddresses[routerIndex] = TestHarness.freeAddress(100 + routerIndex);
        return "memory(folder = \""
                + newRig.folder().resolve("m" + routerIndex)
                + "\")\ndoubts(keeps = \"600s\")\ncontrol(\""
                + controlAddresses[routerIndex].getHostString()
                + ":"
                + controlAddresses[routerIndex].getPort()
                + "\")\n";
    }

    private final List<KeyPair> keys = new ArrayList<>();
    private final List<InetSocketAddress> sockets = new ArrayList<>();

    /**
     * The same, for one of so many that talk to each other; the last of them may be no router, but
     * whoever has its key.
     */
    String gossipOperatorFile(Rig newRig, int routerIndex, int routers, int peers)
            throws IOException, GeneralSecurityException {
        if (keys.isEmpty()) {
            for (int peer = 0; peer < peers; peer++) {
                keys.add(KeyPairGenerator.getInstance("Ed25519").generateKeyPair());
                sockets.add(TestHarness.freeAddress(150 + peer));
            }
        }
        List<UdpFaultProxy> hubs = newRig.udpProxies(sockets.subList(0, routers));
        Path key = newRig.folder().resolve("key" + routerIndex);
        Files.writeString(key, KeyFile.text(keys.get(routerIndex).getPrivate()));
        StringBuilder text =
                new StringBuilder(memoryOperatorFile(newRig, routerIndex))
                        .append(
                                "gossip(key = \""
                                        + key
                                        + "\", public = \""
                                        + publicKeyHex(routerIndex)
                                        + "\", period = \"200ms\", liars = "
                                        + (peers < 3 ? 0 : 1)
                                        + ", bytes_per_second = 20000, bind = \""
                                        + hostAndPort(sockets.get(routerIndex))
                                        + "\")\n");
        for (int peer = 0; peer < peers; peer++) {
            text.append(
                    "peer(\"r"
                            + peer
                            + "\", address = \""
                            + hostAndPort(
                                    peer < routers ? hubs.get(peer).address() : sockets.get(peer))
                            + "\", keys = [\""
                            + publicKeyHex(peer)
                            + "\"])\n");
        }
        return text.toString();
    }

    String publicKeyHex(int peer) {
        return HexFormat.of().formatHex(PeerRegistry.rawKey(keys.get(peer).getPublic()));
    }

    KeyPair key(int peer) {
        return keys.get(peer);
    }

    InetSocketAddress socket(int peer) {
        return sockets.get(peer);
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Until this router says such a thing of itself. */
    void awaitStatus(int routerIndex, String description, Predicate<String> condition)
            throws InterruptedException {
        String report = queryControl(routerIndex, "status\n");
        for (long deadlineNanos = System.nanoTime() + 30_000_000_000L;
                !condition.test(report);
                report = queryControl(routerIndex, "status\n")) {
            assertTrue(
                    System.nanoTime() < deadlineNanos,
                    "router " + routerIndex + " never said that " + description + ": " + report);
            Thread.sleep(5);
        }
    }
}
