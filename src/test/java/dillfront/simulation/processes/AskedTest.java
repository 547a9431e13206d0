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
 * What routers that talk tell each other of writes that may have run: one that is gone, one without
 * its disk, one that lies.
 */
class AskedTest extends Losses {

    private void begin(int routers, int peers) throws Exception {
        begin(
                Rig.Plan.of(routers, 1, 3)
                        .work(USUAL)
                        .operator(
                                (set, r) -> {
                                    try {
                                        return talks(set, r, routers, peers);
                                    } catch (Exception bad) {
                                        throw new IllegalStateException(bad);
                                    }
                                }));
    }

    /**
     * A write of this router runs, its client gives up unheard, and the group has forgotten it by
     * then.
     */
    private void inDoubt(int r, String key) throws Exception {
        load.stop();
        rig.settle();
        rig.nodes().forEach(n -> rig.link(r, n.id()).ways(Relay.Way.PASS, Relay.Way.HOLD));
        rig.ask(r, "move", 0, key, 300);
        rig.stage().await(key + " ran", () -> rig.count(key)[1] == 1);
        rig.settle();
        rig.nodes().forEach(n -> rig.link(r, n.id()).ways(Relay.Way.PASS, Relay.Way.PASS));
        rig.stage().await("the group forgot " + key, () -> !rig.groups().get(0).remembers(key));
        status(r, "it is in doubt", said -> said.contains("in_doubt=1 "));
    }

    /**
     * Guards against a client that goes to another router, once its own is gone; also where that
     * one was cut off for a while.
     */
    @Test
    void anotherRouterMeetsTheDoubtOfOneThatIsGone() throws Exception {
        begin(3, 3);
        rig.apart(0, 2, true);
        rig.apart(1, 2, true);
        inDoubt(0, "gone-1");
        status(1, "it was told", said -> said.contains("telling=1 "));
        // Nobody is waited for: the one that hears nothing serves.
        otherWritesGoThrough(2);
        status(2, "it was not told", said -> said.contains("telling=0 "));
        rig.apart(0, 2, false);
        status(2, "it was told", said -> said.contains("telling=1 "));
        rig.router(0).kill();
        for (int r = 1; r < 3; r++) {
            assertEquals("rolled-back", how(rig.ask(r, "move", 0, "gone-1", 1500)));
            otherWritesGoThrough(r);
        }
        assertArrayEquals(new long[] {1, 1}, rig.count("gone-1"));
        judge(true);
    }

    /**
     * Guards against a disk that is gone with the power: others tell what this router had told
     * them.
     */
    @Test
    void oneThatLostItsDiskHearsWhatItHadSaid() throws Exception {
        begin(2, 2);
        inDoubt(0, "disk-1");
        status(1, "it was told", said -> said.contains("telling=1 "));
        rig.router(0).kill();
        try (Stream<Path> files = Files.list(rig.folder().resolve("m0"))) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        routers(0);
        status(0, "it hears its own word", said -> said.contains("echoing=1 "));
        assertEquals("rolled-back", how(rig.ask(0, "move", 0, "disk-1", 1500)));
        otherWritesGoThrough(0);
        assertArrayEquals(new long[] {1, 1}, rig.count("disk-1"));
        judge(true);
    }

    /**
     * Guards against an agent that lags: what two others were told binds, what one alone says does
     * not.
     */
    @Test
    void whatOthersListsHaveClosedIsClosedWhereTheAgentLags() throws Exception {
        begin(4, 4);
        rig.apart(0, 3, true);
        rig.agent(0, 0).upTo(41);
        rig.agent(2, 0).upTo(41);
        rig.agent(3, 0).upTo(41);
        rig.stage().run(() -> rig.catalogue().change(rig.catalogue().entry("s-2").is("draining")));
        rig.stage()
                .await("router 1 has heard", () -> rig.heard(rig.router(1).life() + "<a0") == 42);
        status(1, "it is closed", said -> said.contains("closings=1 "));
        // One witness: it may lie.
        status(
                0,
                "one says so, and nothing is closed",
                said -> said.contains("closings=0 witnesses=1 "));
        otherWritesGoThrough(0);
        status(0, "still nothing is closed", said -> said.contains("closings=0 witnesses=1 "));
        rig.agent(2, 0).upTo(Long.MAX_VALUE);
        status(0, "two say so", said -> said.contains("closings=1 witnesses=2 "));
        rig.router(0)
                .awaitLine(
                        "that s-2 is closed",
                        l -> l.contains("closed-elsewhere id=s-2 generation=42 latest_here=41"));
        String life = rig.router(0).life();
        // What was on its way then has come; from here on nothing does.
        load.stop();
        rig.settle();
        long before = rig.stage().call(() -> rig.stage().sent(life, "s-2"));
        load.start();
        served(rig.stage().call(() -> load.committed(life)) + 100, 0);
        assertEquals(before, rig.stage().call(() -> rig.stage().sent(life, "s-2")));
        rig.agent(0, 0).upTo(Long.MAX_VALUE);
        rig.agent(3, 0).upTo(Long.MAX_VALUE);
        rig.stage().run(() -> rig.catalogue().change(rig.catalogue().entry("s-2").is("ready")));
        rig.stage()
                .await("router 0 has heard", () -> rig.heard(rig.router(0).life() + "<a0") == 43);
        status(0, "its own list opens it again", said -> said.contains("closings=0 "));
        judge(true);
    }

    /**
     * One that says that it has everything in doubt is not heard; one that says it of some costs
     * those alone.
     */
    @Test
    void oneThatDoubtsEverythingHoldsNothingBack() throws Exception {
        begin(1, 2);
        PeerRegistry ring = new PeerRegistry();
        for (int p = 0; p < 2; p++) {
            ring.key(
                    ring.add("r" + p, socket(p)),
                    hex(p),
                    Duration.ZERO,
                    Duration.ofDays(1_000_000));
        }
        long unix = System.currentTimeMillis();
        GossipCodec codec =
                new GossipCodec(
                        ring,
                        1,
                        PeerRegistry.keyId(PeerRegistry.rawKey(key(1).getPublic())),
                        key(1).getPrivate(),
                        socket(1),
                        1200,
                        unix * 1000);
        long[] all = new long[128];
        Arrays.fill(all, -1L);
        long[] some = new long[128];
        Arrays.fill(some, 0x5555555555555555L);
        try (DatagramSocket liar = new DatagramSocket(socket(1))) {
            for (long[] says : List.of(all, some)) {
                for (int about = 0; about < 2; about++) {
                    ByteBuf out = Unpooled.buffer();
                    codec.write(out, 0, 7, 9, about, says, Duration.ofMillis(unix));
                    liar.send(
                            new DatagramPacket(
                                    out.array(),
                                    out.readableBytes(),
                                    rig.hubs(List.of()).get(0).address()));
                }
            }
        }
        status(0, "it heard and refused", said -> said.contains("heard=2 refused=2"));
        int through = 0;
        for (int i = 0; i < 50; i++) {
            through += how(rig.ask(0, "move", 0, "lied-" + i, 1500)).equals("committed") ? 1 : 0;
        }
        // Half of the bits set, 14 of them asked for: one write in 16,000 is held back by each.
        assertTrue(through >= 45, "of 50 writes " + through + " went through");
        judge(true);
    }
}
