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
public final class Hub {

    private final Stage stage;
    private final InetSocketAddress target;
    private final NioDatagramChannel door;

    /**
     * By where a datagram came from: the port at which the target sees its sender. As many as
     * senders; ends with the rig.
     */
    private final Map<InetSocketAddress, NioDatagramChannel> seen = new HashMap<>();

    private final Set<Integer> cut = new TreeSet<>();
    private final List<InetSocketAddress> known;

    /**
     * @param target where the router's own socket is
     * @param known where those of all routers are, by their numbers
     */
    Hub(Stage stage, InetSocketAddress target, List<InetSocketAddress> known) {
        this.stage = stage;
        this.target = target;
        this.known = known;
        door = open((from, packet) -> there(packet));
    }

    private interface Taken {
        void take(InetSocketAddress from, DatagramPacket packet);
    }

    private NioDatagramChannel open(Taken to) {
        return stage.call(
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
                                            to.take(packet.sender(), packet);
                                        }

                                        @Override
                                        public void exceptionCaught(
                                                ChannelHandlerContext ctx, Throwable cause) {
                                            // A router that is down has no port.
                                        }
                                    });
                    stage.loop().register(channel);
                    channel.bind(Stage.here(0));
                    return channel;
                });
    }

    /** Where others reach the router. */
    public InetSocketAddress address() {
        return stage.call(() -> door.localAddress());
    }

    /** Datagrams between this router and that one are lost from now on, or pass. */
    public void cut(int other, boolean lost) {
        stage.run(
                () -> {
                    if (lost) {
                        cut.add(other);
                    } else {
                        cut.remove(other);
                    }
                });
    }

    /** From some router to this one. */
    private void there(DatagramPacket packet) {
        InetSocketAddress from = packet.sender();
        if (cut.contains(known.indexOf(from))) {
            packet.release();
            return;
        }
        NioDatagramChannel near = seen.get(from);
        if (near == null) {
            near = open((of, answer) -> back(from, answer));
            seen.put(from, near);
        }
        near.writeAndFlush(new DatagramPacket(packet.content(), target));
    }

    /** From this router to the one that it sees at that port. */
    private void back(InetSocketAddress to, DatagramPacket packet) {
        if (cut.contains(known.indexOf(to))) {
            packet.release();
            return;
        }
        door.writeAndFlush(new DatagramPacket(packet.content(), to));
    }
}
