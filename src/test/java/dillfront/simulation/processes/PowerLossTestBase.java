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
    static final SimulatedNode.Capacity NEVER_WARM = new SimulatedNode.Capacity(2, 5000, 0.2, 3_600_000, 2, 1000);

    static final SimulatedNode.Capacity WARM_AFTER_3_S = new SimulatedNode.Capacity(2, 5000, 0.2, 3000, 2, 1000);

    Rig rig;
    LoadGenerator load;

    void startRig(SimulatedNode.Capacity work) throws Exception {
        startRig(Rig.Plan.of(ROUTERS, 2, 3).capacity(work).zones("a", "b", "c"));
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
    void awaitServed(int many, int... who) {
        for (int r : who) {
            String life = rig.router(r).incarnation();
            rig.harness().await(life + " served " + many, () -> load.committed(life) >= many);
        }
    }

    void restartNodes(long lostMs, String... ids) {
        for (String id : ids) {
            rig.restartNode(rig.node(id), lostMs);
        }
    }

    void startRouters(int... who) {
        for (int r : who) {
            rig.router(r).start();
        }
        for (int r : who) {
            rig.router(r).awaitServing();
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

    void assertInvariants(boolean remember) {
        load.stop();
        rig.awaitAllAnswered();
        rig.routers().stream().filter(r -> !r.down()).forEach(RouterProcess::shutDown);
        InvariantChecker audit = InvariantChecker.of(rig.harness().events(), remember);
        assertEquals(List.of(), audit.violations().stream().limit(5).toList());
        assertTrue(audit.peakWarmupLoad() < 0.8, "a cold node got " + audit.peakWarmupLoad() + " of what tips it");
    }

    private final InetSocketAddress[] controlAddresses = new InetSocketAddress[ROUTERS];

    /** What an instance says of itself. */
    private String queryControl(int r, String question) {
        try (Socket socket = new Socket(controlAddresses[r].getAddress(), controlAddresses[r].getPort())) {
            socket.setSoTimeout(3000);
            socket.getOutputStream().write(question.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException notNow) {
            return "";
        }
    }

    static String outcome(CompletableFuture<Event.QueryEnded> answer) throws Exception {
        return answer.get(30, TimeUnit.SECONDS).outcome();
    }

    /** Writes by keys of their own, until one is committed: nodes may be cold. */
    void awaitOtherWriteCommitted(int r) throws Exception {
        int other = 0;
        while (!outcome(rig.submit(r, "move", 0, "other-" + r + "-" + ++other, 1500))
                .equals("committed")) {
            assertTrue(other < 100, "no other write goes through");
        }
    }

    /** The operator's file of a router that remembers, and can be asked how far it is. */
    String memoryOperatorFile(Rig set, int r) {
        controlAddresses[r] = TestHarness.freeAddress(100 + r);
        return "memory(folder = \""
                + set.folder().resolve("m" + r)
                + "\")\ndoubts(keeps = \"600s\")\ncontrol(\""
                + controlAddresses[r].getHostString()
                + ":"
                + controlAddresses[r].getPort()
                + "\")\n";
    }

    private final List<KeyPair> keys = new ArrayList<>();
    private final List<InetSocketAddress> sockets = new ArrayList<>();

    /**
     * The same, for one of so many that talk to each other; the last of them may be no router, but
     * whoever has its key.
     */
    String gossipOperatorFile(Rig set, int r, int routers, int peers)
            throws IOException, GeneralSecurityException {
        if (keys.isEmpty()) {
            for (int p = 0; p < peers; p++) {
                keys.add(KeyPairGenerator.getInstance("Ed25519").generateKeyPair());
                sockets.add(TestHarness.freeAddress(150 + p));
            }
        }
        List<UdpFaultProxy> hubs = set.udpProxies(sockets.subList(0, routers));
        Path key = set.folder().resolve("key" + r);
        Files.writeString(key, KeyFile.text(keys.get(r).getPrivate()));
        StringBuilder text =
                new StringBuilder(memoryOperatorFile(set, r))
                        .append(
                                "gossip(key = \""
                                        + key
                                        + "\", public = \""
                                        + publicKeyHex(r)
                                        + "\", period = \"200ms\", liars = "
                                        + (peers < 3 ? 0 : 1)
                                        + ", bytes_per_second = 20000, bind = \""
                                        + hostAndPort(sockets.get(r))
                                        + "\")\n");
        for (int p = 0; p < peers; p++) {
            text.append(
                    "peer(\"r"
                            + p
                            + "\", address = \""
                            + hostAndPort(p < routers ? hubs.get(p).address() : sockets.get(p))
                            + "\", keys = [\""
                            + publicKeyHex(p)
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
    void awaitStatus(int r, String what, Predicate<String> such) throws InterruptedException {
        String said = queryControl(r, "status\n");
        for (long until = System.nanoTime() + 30_000_000_000L;
                !such.test(said);
                said = queryControl(r, "status\n")) {
            assertTrue(
                    System.nanoTime() < until,
                    "router " + r + " never said that " + what + ": " + said);
            Thread.sleep(5);
        }
    }
}
