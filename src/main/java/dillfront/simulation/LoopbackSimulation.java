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
 * Runs a {@link RouterSimulation} scenario in real time: each router on an event loop, with signed
 * gossip updates sent over UDP on loopback.
 */
public final class LoopbackSimulation {

    private static final int EVENT_LOOPS = 4;

    private record EventLoopScheduler(EventLoop loop, long startNanos) implements TaskScheduler {

        @Override
        public Duration now() {
            return Duration.ofNanos(System.nanoTime() - startNanos);
        }

        @Override
        public void schedule(Duration delay, Runnable task) {
            loop.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private LoopbackSimulation() {}

    /** Runs the scenario; takes as long as the scenario's end. */
    public static RouterSimulation.Outcome run(RouterSimulation.Scenario scenario)
            throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(EVENT_LOOPS);
        List<UdpGossipTransport> transports = new ArrayList<>();
        try {
            long start = System.nanoTime();
            List<EventLoopScheduler> schedulers = new ArrayList<>();
            for (int i = 0; i < scenario.routers(); i++) {
                schedulers.add(new EventLoopScheduler(group.next(), start));
            }
            RouterSimulation simulation =
                    new RouterSimulation(
                            scenario,
                            schedulers,
                            new RouterSimulation.GossipNetwork() {
                                @Override
                                public void start(List<RouterSimulation.Router> routers) {
                                    try {
                                        openTransports(scenario, routers, schedulers, transports);
                                    } catch (Exception e) {
                                        throw new IllegalStateException(e);
                                    }
                                }

                                @Override
                                public GossipProtocol protocolOf(int router) {
                                    return transports.get(router).gossip();
                                }

                                @Override
                                public double meanBytesSent() {
                                    return transports.stream()
                                            .mapToLong(d -> d.gossip().budget().bytesSent())
                                            .average()
                                            .orElse(0);
                                }
                            });
            simulation.start();
            Thread.sleep(scenario.end().toMillis());
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
            return simulation.result();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /**
     * Creates the keys, addresses and sockets of all routers. Each router has its own peer
     * registry, as separate processes would.
     */
    private static void openTransports(
            RouterSimulation.Scenario scenario,
            List<RouterSimulation.Router> routers,
            List<EventLoopScheduler> schedulers,
            List<UdpGossipTransport> transports)
            throws Exception {
        List<KeyPair> keys = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        KeyPairGenerator generator = KeyPairGenerator.getInstance("Ed25519");
        List<DatagramSocket> sockets = new ArrayList<>();
        for (int i = 0; i < routers.size(); i++) {
            keys.add(generator.generateKeyPair());
            sockets.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
            ports.add(sockets.get(i).getLocalPort());
        }
        sockets.forEach(DatagramSocket::close);
        Log log = new Log(new PrintStream(System.err, true));
        for (int i = 0; i < routers.size(); i++) {
            PeerRegistry registry = new PeerRegistry();
            for (int k = 0; k < routers.size(); k++) {
                // Only the first three addresses are configured; the others are learned through
                // gossip.
                registry.add(
                        "r" + k,
                        k < 3 || k == i
                                ? new InetSocketAddress(
                                        InetAddress.getLoopbackAddress(), ports.get(k))
                                : null);
                registry.key(
                        k,
                        HexFormat.of().formatHex(PeerRegistry.rawKey(keys.get(k).getPublic())),
                        Duration.ZERO,
                        Duration.ofDays(1_000_000));
            }
            RouterSimulation.Router router = routers.get(i);
            EventLoopScheduler scheduler = schedulers.get(i);
            transports.add(
                    new UdpGossipTransport(
                            GossipConfig.DEFAULT,
                            registry,
                            i,
                            null,
                            PeerRegistry.keyId(PeerRegistry.rawKey(keys.get(i).getPublic())),
                            keys.get(i).getPrivate(),
                            scheduler.loop(),
                            log,
                            scheduler::now,
                            () -> Duration.ofMillis(System.currentTimeMillis()),
                            new SplittableRandom(scenario.seed() + i),
                            (claim, age) ->
                                    router.peerHealth.onClaim(claim, age, scheduler.now())));
        }
        for (int i = 0; i < routers.size(); i++) {
            schedulers.get(i).loop().execute(transports.get(i)::open);
        }
    }
}
