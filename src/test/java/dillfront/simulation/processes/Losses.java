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
abstract class Losses {

    static final int ROUTERS = 4;

    /** Far longer than a test may wait: who serves, serves from cold nodes. */
    static final Node.Work ALWAYS_COLD = new Node.Work(2, 5000, 0.2, 3_600_000, 2, 1000);

    static final Node.Work USUAL = new Node.Work(2, 5000, 0.2, 3000, 2, 1000);

    Rig rig;
    Load load;

    void begin(Node.Work work) throws Exception {
        begin(Rig.Plan.of(ROUTERS, 2, 3).work(work).zones("a", "b", "c"));
    }

    void begin(Rig.Plan plan) throws Exception {
        rig = new Rig(plan);
        rig.start();
        load = new Load(rig, 30, 5000);
        load.start();
        served(20, IntStream.range(0, plan.routers()).toArray());
    }

    @AfterEach
    void end() throws Exception {
        rig.close();
    }

    /** Until each of these has served so many in its present life. */
    void served(int many, int... who) {
        for (int r : who) {
            String life = rig.router(r).life();
            rig.stage().await(life + " served " + many, () -> load.committed(life) >= many);
        }
    }

    void back(long lostMs, String... ids) {
        for (String id : ids) {
            rig.back(rig.node(id), lostMs);
        }
    }

    void routers(int... who) {
        for (int r : who) {
            rig.router(r).start();
        }
        for (int r : who) {
            rig.router(r).awaitServing();
        }
    }

    void agents() {
        for (int r = 0; r < ROUTERS; r++) {
            rig.agent(r, 0).open();
        }
    }

    void judge() {
        judge(false);
    }

    void judge(boolean remember) {
        load.stop();
        rig.settle();
        rig.routers().stream().filter(r -> !r.down()).forEach(Router::end);
        Audit audit = Audit.of(rig.stage().record(), remember);
        assertEquals(List.of(), audit.breaches().stream().limit(5).toList());
        assertTrue(audit.peak() < 0.8, "a cold node got " + audit.peak() + " of what tips it");
    }

    private final InetSocketAddress[] doors = new InetSocketAddress[ROUTERS];

    /** What an instance says of itself. */
    private String asked(int r, String question) {
        try (Socket socket = new Socket(doors[r].getAddress(), doors[r].getPort())) {
            socket.setSoTimeout(3000);
            socket.getOutputStream().write(question.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException notNow) {
            return "";
        }
    }

    static String how(CompletableFuture<Happening.Answered> answer) throws Exception {
        return answer.get(30, TimeUnit.SECONDS).how();
    }

    /** Writes by keys of their own, until one is committed: nodes may be cold. */
    void otherWritesGoThrough(int r) throws Exception {
        int other = 0;
        while (!how(rig.ask(r, "move", 0, "other-" + r + "-" + ++other, 1500))
                .equals("committed")) {
            assertTrue(other < 100, "no other write goes through");
        }
    }

    /** The operator's file of a router that remembers, and can be asked how far it is. */
    String remembers(Rig set, int r) {
        doors[r] = Stage.free(100 + r);
        return "memory(folder = \""
                + set.folder().resolve("m" + r)
                + "\")\ndoubts(keeps = \"600s\")\ncontrol(\""
                + doors[r].getHostString()
                + ":"
                + doors[r].getPort()
                + "\")\n";
    }

    private final List<KeyPair> keys = new ArrayList<>();
    private final List<InetSocketAddress> sockets = new ArrayList<>();

    /**
     * The same, for one of so many that talk to each other; the last of them may be no router, but
     * whoever has its key.
     */
    String talks(Rig set, int r, int routers, int peers)
            throws IOException, GeneralSecurityException {
        if (keys.isEmpty()) {
            for (int p = 0; p < peers; p++) {
                keys.add(KeyPairGenerator.getInstance("Ed25519").generateKeyPair());
                sockets.add(Stage.free(150 + p));
            }
        }
        List<Hub> hubs = set.hubs(sockets.subList(0, routers));
        Path key = set.folder().resolve("key" + r);
        Files.writeString(key, KeyFile.text(keys.get(r).getPrivate()));
        StringBuilder text =
                new StringBuilder(remembers(set, r))
                        .append(
                                "gossip(key = \""
                                        + key
                                        + "\", public = \""
                                        + hex(r)
                                        + "\", period = \"200ms\", liars = "
                                        + (peers < 3 ? 0 : 1)
                                        + ", bytes_per_second = 20000, bind = \""
                                        + text(sockets.get(r))
                                        + "\")\n");
        for (int p = 0; p < peers; p++) {
            text.append(
                    "peer(\"r"
                            + p
                            + "\", address = \""
                            + text(p < routers ? hubs.get(p).address() : sockets.get(p))
                            + "\", keys = [\""
                            + hex(p)
                            + "\"])\n");
        }
        return text.toString();
    }

    String hex(int peer) {
        return HexFormat.of().formatHex(PeerRegistry.rawKey(keys.get(peer).getPublic()));
    }

    KeyPair key(int peer) {
        return keys.get(peer);
    }

    InetSocketAddress socket(int peer) {
        return sockets.get(peer);
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Until this router says such a thing of itself. */
    void status(int r, String what, Predicate<String> such) throws InterruptedException {
        String said = asked(r, "status\n");
        for (long until = System.nanoTime() + 30_000_000_000L;
                !such.test(said);
                said = asked(r, "status\n")) {
            assertTrue(
                    System.nanoTime() < until,
                    "router " + r + " never said that " + what + ": " + said);
            Thread.sleep(5);
        }
    }
}
