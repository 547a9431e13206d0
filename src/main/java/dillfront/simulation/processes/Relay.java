package dillfront.simulation.processes;

import dillfront.common.network.Sockets;
import dillfront.common.network.TerminalHandler;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Stands between two processes on a port of its own, for as long as the rig: passes bytes on, or
 * does to them what a network does. Each way has its own fault. All calls on the stage's loop or
 * through {@link Stage#run}.
 */
public final class Relay {

    /** What happens to bytes of one way. */
    public enum Way {
        PASS,
        HOLD,
        SWALLOW
    }

    private final Stage stage;
    private final Supplier<InetSocketAddress> target;

    /** Whoever comes through here, at this moment. */
    private final Supplier<String> who;

    private final int port;
    private Channel door;
    private Way there = Way.PASS;
    private Way back = Way.PASS;
    private long delayNanos;
    private final Set<Link> links = new LinkedHashSet<>();

    Relay(Stage stage, Supplier<String> who, Supplier<InetSocketAddress> target) {
        this.stage = stage;
        this.who = who;
        this.target = target;
        door = stage.listen(0, Near::new);
        port = Stage.port(door);
    }

    public int port() {
        return port;
    }

    /** From now on, also for connections that are open. */
    public void ways(Way toTarget, Way fromTarget) {
        stage.run(
                () -> {
                    there = toTarget;
                    back = fromTarget;
                    List.copyOf(links).forEach(Link::goOn);
                });
    }

    /**
     * Cut off: whatever is written is lost, connections stay open, new ones come up and hear
     * nothing.
     */
    public void cut() {
        ways(Way.SWALLOW, Way.SWALLOW);
    }

    /** What was cut is reset, as by a machine that knows nothing of it; new ones pass. */
    public void heal() {
        boolean lost = there == Way.SWALLOW || back == Way.SWALLOW;
        ways(Way.PASS, Way.PASS);
        if (lost) {
            reset();
        }
    }

    /** Each piece of bytes takes so long, both ways. */
    public void delay(long micros) {
        stage.run(() -> delayNanos = micros * 1000);
    }

    public void reset() {
        stage.run(() -> List.copyOf(links).forEach(Link::reset));
    }

    /** New connections are refused, at once; or accepted again, on the same port. */
    public void refuse(boolean refused) {
        if (refused) {
            stage.run(() -> door.close());
            stage.await("a door closed", () -> !door.isOpen());
        } else if (!door.isOpen()) {
            door = stage.listen(port, Near::new);
        }
    }

    void close() {
        door.close();
        List.copyOf(links).forEach(Link::reset);
    }

    /** One connection through here: near is whoever dialed, far the target. */
    private final class Link {

        private final String origin = who.get();
        private final List<ByteBuf> toFar = new ArrayList<>();
        private final List<ByteBuf> toNear = new ArrayList<>();
        private Channel near;
        private Channel far;
        private boolean farUp;
        private int farPort;
        private int targetPort;
        private boolean over;

        void open(Channel from) {
            near = from;
            links.add(this);
            ChannelFuture connecting =
                    Sockets.connect(stage.loop(), target.get(), new Far(this), 2000);
            if (connecting == null) {
                reset();
                return;
            }
            far = connecting.channel();
            far.config().setAllocator(UnpooledByteBufAllocator.DEFAULT);
            connecting.addListener(
                    done -> {
                        if (!done.isSuccess()) {
                            reset();
                        }
                    });
        }

        void up() {
            farUp = true;
            farPort = ((InetSocketAddress) far.localAddress()).getPort();
            targetPort = ((InetSocketAddress) far.remoteAddress()).getPort();
            stage.behind(farPort, targetPort, origin);
            goOn();
        }

        void read(ByteBuf bytes, boolean toTarget) {
            if (over || (toTarget ? there : back) == Way.SWALLOW) {
                bytes.release();
            } else if (delayNanos > 0) {
                stage.loop()
                        .schedule(() -> pass(bytes, toTarget), delayNanos, TimeUnit.NANOSECONDS);
            } else {
                pass(bytes, toTarget);
            }
        }

        private void pass(ByteBuf bytes, boolean toTarget) {
            if (over) {
                bytes.release();
                return;
            }
            (toTarget ? toFar : toNear).add(bytes);
            goOn();
        }

        void goOn() {
            if (there == Way.PASS && farUp) {
                toFar.forEach(far::write);
                toFar.clear();
                far.flush();
            }
            if (back == Way.PASS) {
                toNear.forEach(near::write);
                toNear.clear();
                near.flush();
            }
        }

        /**
         * The other side hears of an end as it would without a relay, but through a cut nobody
         * hears of it.
         */
        void ended(boolean nearEnded) {
            if (!nearEnded) {
                portIsFree();
            }
            if (nearEnded && there == Way.PASS && far != null) {
                over();
                far.flush();
                far.close();
            } else if (!nearEnded && back == Way.PASS) {
                over();
                near.close();
            } else if (nearEnded) {
                reset();
            }
        }

        void reset() {
            for (Channel channel : new Channel[] {near, far}) {
                if (channel != null && channel.isOpen()) {
                    Stage.reset(channel);
                }
            }
            over();
        }

        /**
         * Once, and as soon as it is so: the next connection may have the same port, and another
         * name behind it.
         */
        private void portIsFree() {
            if (farPort != 0) {
                stage.behind(farPort, targetPort, null);
                farPort = 0;
            }
        }

        private void over() {
            if (!over) {
                over = true;
                links.remove(this);
                portIsFree();
                toFar.forEach(ByteBuf::release);
                toNear.forEach(ByteBuf::release);
                toFar.clear();
                toNear.clear();
            }
        }
    }

    private final class Near extends TerminalHandler {

        private final Link link = new Link();

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            link.open(ctx.channel());
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object read) {
            link.read((ByteBuf) read, true);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            link.ended(true);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            link.reset();
        }
    }

    private static final class Far extends TerminalHandler {

        private final Link link;

        Far(Link link) {
            this.link = link;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            link.up();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object read) {
            link.read((ByteBuf) read, false);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            link.ended(false);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            link.reset();
        }
    }
}
