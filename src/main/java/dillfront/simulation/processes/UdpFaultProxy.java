package dillfront.simulation.processes;

import dillfront.common.network.TerminalHandler;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Forwards datagrams to and from one router and can drop those of selected peers, in both
 * directions. Peers send to the proxy, and the router sees each peer at a port of the proxy, as
 * behind address translation. All calls run on the harness's loop.
 */
public final class UdpFaultProxy {

    private final TestHarness harness;
    private final InetSocketAddress target;
    private final NioDatagramChannel socket;

    /**
     * By sender address, the channel whose port the target sees as that sender. Bounded by the
     * number of senders.
     */
    private final Map<InetSocketAddress, NioDatagramChannel> senderChannels = new HashMap<>();

    private final Set<Integer> setBlocked = new TreeSet<>();
    private final List<InetSocketAddress> routerAddresses;

    /**
     * @param target the router's own UDP socket
     * @param routerAddresses the UDP sockets of all routers, by index
     */
    UdpFaultProxy(
            TestHarness harness,
            InetSocketAddress target,
            List<InetSocketAddress> routerAddresses) {
        this.harness = harness;
        this.target = target;
        this.routerAddresses = routerAddresses;
        socket = open((from, packet) -> forwardToTarget(packet));
    }

    private interface DatagramHandler {
        void handle(InetSocketAddress from, DatagramPacket packet);
    }

    private NioDatagramChannel open(DatagramHandler handler) {
        return harness.call(
                () -> {
                    NioDatagramChannel channel = new NioDatagramChannel();
                    channel.config().setAllocator(UnpooledByteBufAllocator.DEFAULT);
                    channel.pipeline()
                            .addLast(
                                    new TerminalHandler() {
                                        @Override
                                        public void channelRead(
                                                ChannelHandlerContext ctx, Object read) {
                                            DatagramPacket packet = (DatagramPacket) read;
                                            handler.handle(packet.sender(), packet);
                                        }

                                        @Override
                                        public void exceptionCaught(
                                                ChannelHandlerContext ctx, Throwable cause) {
                                            // A router that is down has no open port.
                                        }
                                    });
                    harness.loop().register(channel);
                    channel.bind(TestHarness.localAddress(0));
                    return channel;
                });
    }

    /** Returns the address at which peers reach the router. */
    public InetSocketAddress address() {
        return harness.call(() -> socket.localAddress());
    }

    /**
     * Drops datagrams between this router and the given one from now on, or forwards them again.
     */
    public void setBlocked(int other, boolean blocked) {
        harness.run(
                () -> {
                    if (blocked) {
                        setBlocked.add(other);
                    } else {
                        setBlocked.remove(other);
                    }
                });
    }

    /** Forwards a peer's datagram to this router. */
    private void forwardToTarget(DatagramPacket packet) {
        InetSocketAddress from = packet.sender();
        if (setBlocked.contains(routerAddresses.indexOf(from))) {
            packet.release();
            return;
        }
        NioDatagramChannel senderChannel = senderChannels.get(from);
        if (senderChannel == null) {
            senderChannel = open((source, reply) -> forwardToSender(from, reply));
            senderChannels.put(from, senderChannel);
        }
        senderChannel.writeAndFlush(new DatagramPacket(packet.content(), target));
    }

    /** Forwards this router's datagram to the peer. */
    private void forwardToSender(InetSocketAddress sender, DatagramPacket packet) {
        if (setBlocked.contains(routerAddresses.indexOf(sender))) {
            packet.release();
            return;
        }
        socket.writeAndFlush(new DatagramPacket(packet.content(), sender));
    }
}
