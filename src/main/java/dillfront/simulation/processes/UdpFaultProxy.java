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
 * Stands before the datagrams of one router: others reach it here, and it sees each of them at a
 * port of its own, as behind a translation of addresses. Passes datagrams on, or loses those of
 * some others, both ways. On the stage's loop.
 */
public final class UdpFaultProxy {

    private final TestHarness harness;
    private final InetSocketAddress target;
    private final NioDatagramChannel socket;

    /**
     * By where a datagram came from: the port at which the target sees its sender. As many as
     * senders; ends with the rig.
     */
    private final Map<InetSocketAddress, NioDatagramChannel> senderChannels = new HashMap<>();

    private final Set<Integer> setBlocked = new TreeSet<>();
    private final List<InetSocketAddress> routerAddresses;

    /**
     * @param target where the router's own socket is
     * @param routerAddresses where those of all routers are, by their numbers
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
                                            // A router that is down has no port.
                                        }
                                    });
                    harness.loop().register(channel);
                    channel.bind(TestHarness.localAddress(0));
                    return channel;
                });
    }

    /** Where others reach the router. */
    public InetSocketAddress address() {
        return harness.call(() -> socket.localAddress());
    }

    /** Datagrams between this router and that one are lost from now on, or pass. */
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

    /** From some router to this one. */
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

    /** From this router to the one that it sees at that port. */
    private void forwardToSender(InetSocketAddress sender, DatagramPacket packet) {
        if (setBlocked.contains(routerAddresses.indexOf(sender))) {
            packet.release();
            return;
        }
        socket.writeAndFlush(new DatagramPacket(packet.content(), sender));
    }
}
