package dillfront.simulation;

import dillfront.common.logging.Log;
import dillfront.router.gossip.GossipConfig;
import dillfront.router.gossip.GossipProtocol;
import dillfront.router.peers.PeerRegistry;
import dillfront.router.peers.UdpGossipTransport;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.PrintStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Runs a {@link World} scenario in real time: each router on an event loop, with signed gossip
 * updates sent over UDP on loopback.
 */
public final class Loopback {

    private static final int LOOPS = 4;

    private record LoopTime(EventLoop loop, long startNanos) implements Clockwork {

        @Override
        public Duration now() {
            return Duration.ofNanos(System.nanoTime() - startNanos);
        }

        @Override
        public void after(Duration span, Runnable work) {
            loop.schedule(work, span.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private Loopback() {}

    /** Runs the scenario; takes as long as the scenario's end. */
    public static World.Outcome play(World.Script script) throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(LOOPS);
        List<UdpGossipTransport> all = new ArrayList<>();
        try {
            long start = System.nanoTime();
            List<LoopTime> times = new ArrayList<>();
            for (int i = 0; i < script.routers(); i++) {
                times.add(new LoopTime(group.next(), start));
            }
            World world =
                    new World(
                            script,
                            times,
                            new World.Wire() {
                                @Override
                                public void start(List<World.Router> routers) {
                                    try {
                                        speak(script, routers, times, all);
                                    } catch (Exception bad) {
                                        throw new IllegalStateException(bad);
                                    }
                                }

                                @Override
                                public GossipProtocol of(int router) {
                                    return all.get(router).gossip();
                                }

                                @Override
                                public double bytes() {
                                    return all.stream()
                                            .mapToLong(d -> d.gossip().budget().bytesSent())
                                            .average()
                                            .orElse(0);
                                }
                            });
            world.start();
            Thread.sleep(script.end().toMillis());
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
            return world.outcome();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /**
     * Creates the keys, addresses and sockets of all routers. Each router has its own peer
     * registry, as separate processes would.
     */
    private static void speak(
            World.Script script,
            List<World.Router> routers,
            List<LoopTime> times,
            List<UdpGossipTransport> all)
            throws Exception {
        List<KeyPair> keys = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        KeyPairGenerator generator = KeyPairGenerator.getInstance("Ed25519");
        List<DatagramSocket> held = new ArrayList<>();
        for (int i = 0; i < routers.size(); i++) {
            keys.add(generator.generateKeyPair());
            held.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
            ports.add(held.get(i).getLocalPort());
        }
        held.forEach(DatagramSocket::close);
        Log log = new Log(new PrintStream(System.err, true));
        for (int i = 0; i < routers.size(); i++) {
            PeerRegistry ring = new PeerRegistry();
            for (int k = 0; k < routers.size(); k++) {
                // Only the first three addresses are configured; the others are learned through
                // gossip.
                ring.add(
                        "r" + k,
                        k < 3 || k == i
                                ? new InetSocketAddress(
                                        InetAddress.getLoopbackAddress(), ports.get(k))
                                : null);
                ring.key(
                        k,
                        HexFormat.of().formatHex(PeerRegistry.rawKey(keys.get(k).getPublic())),
                        Duration.ZERO,
                        Duration.ofDays(1_000_000));
            }
            World.Router router = routers.get(i);
            LoopTime time = times.get(i);
            all.add(
                    new UdpGossipTransport(
                            GossipConfig.DEFAULT,
                            ring,
                            i,
                            null,
                            PeerRegistry.keyId(PeerRegistry.rawKey(keys.get(i).getPublic())),
                            keys.get(i).getPrivate(),
                            time.loop(),
                            log,
                            time::now,
                            () -> Duration.ofMillis(System.currentTimeMillis()),
                            new SplittableRandom(script.seed() + i),
                            (word, age) -> router.neighbours.receiveClaim(word, age, time.now())));
        }
        for (int i = 0; i < routers.size(); i++) {
            times.get(i).loop().execute(all.get(i)::open);
        }
    }
}
