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
 * through {@link TestHarness#run}.
 */
public final class TcpFaultProxy {

    /** What happens to bytes of one way. */
    public enum Mode {
        FORWARD,
        BUFFER,
        DROP
    }

    private final TestHarness harness;
    private final Supplier<InetSocketAddress> targetAddress;

    /** Whoever comes through here, at this moment. */
    private final Supplier<String> clientIdSupplier;

    private final int port;
    private Channel listener;
    private Mode toTargetMode = Mode.FORWARD;
    private Mode fromTargetMode = Mode.FORWARD;
    private long delayNanos;
    private final Set<ProxiedConnection> connections = new LinkedHashSet<>();

    TcpFaultProxy(
            TestHarness harness,
            Supplier<String> clientName,
            Supplier<InetSocketAddress> targetAddress) {
        this.harness = harness;
        this.clientIdSupplier = clientName;
        this.targetAddress = targetAddress;
        listener = harness.listen(0, ClientHandler::new);
        port = TestHarness.port(listener);
    }

    public int port() {
        return port;
    }

    /** From now on, also for connections that are open. */
    public void setModes(Mode toTarget, Mode fromTarget) {
        harness.run(
                () -> {
                    toTargetMode = toTarget;
                    fromTargetMode = fromTarget;
                    List.copyOf(connections).forEach(ProxiedConnection::flushBuffered);
                });
    }

    /**
     * Cut off: whatever is written is lost, connections stay open, new ones come up and hear
     * nothing.
     */
    public void dropTraffic() {
        setModes(Mode.DROP, Mode.DROP);
    }

    /** What was cut is reset, as by a machine that knows nothing of it; new ones pass. */
    public void heal() {
        boolean wasDropping = toTargetMode == Mode.DROP || fromTargetMode == Mode.DROP;
        setModes(Mode.FORWARD, Mode.FORWARD);
        if (wasDropping) {
            resetConnections();
        }
    }

    /** Each piece of bytes takes so long, both ways. */
    public void delay(long micros) {
        harness.run(() -> delayNanos = micros * 1000);
    }

    public void resetConnections() {
        harness.run(() -> List.copyOf(connections).forEach(ProxiedConnection::reset));
    }

    /** New connections are refused, at once; or accepted again, on the same port. */
    public void refuseConnections(boolean refused) {
        if (refused) {
            harness.run(() -> listener.close());
            harness.await("a door closed", () -> !listener.isOpen());
        } else if (!listener.isOpen()) {
            listener = harness.listen(port, ClientHandler::new);
        }
    }

    void close() {
        listener.close();
        List.copyOf(connections).forEach(ProxiedConnection::reset);
    }

    /** One connection through here: near is whoever dialed, far the target. */
    private final class ProxiedConnection {

        private final String clientId = clientIdSupplier.get();
        private final List<ByteBuf> toTargetBuffer = new ArrayList<>();
        private final List<ByteBuf> toClientBuffer = new ArrayList<>();
        private Channel clientChannel;
        private Channel targetChannel;
        private boolean targetConnected;
        private int localPort;
        private int targetPort;
        private boolean closed;

        void open(Channel from) {
            clientChannel = from;
            connections.add(this);
            ChannelFuture connecting =
                    Sockets.connect(
                            harness.loop(), targetAddress.get(), new TargetHandler(this), 2000);
            if (connecting == null) {
                reset();
                return;
            }
            targetChannel = connecting.channel();
            targetChannel.config().setAllocator(UnpooledByteBufAllocator.DEFAULT);
            connecting.addListener(
                    done -> {
                        if (!done.isSuccess()) {
                            reset();
                        }
                    });
        }

        void onTargetConnected() {
            targetConnected = true;
            localPort = ((InetSocketAddress) targetChannel.localAddress()).getPort();
            targetPort = ((InetSocketAddress) targetChannel.remoteAddress()).getPort();
            harness.connectionOwner(localPort, targetPort, clientId);
            flushBuffered();
        }

        void onBytes(ByteBuf bytes, boolean toTarget) {
            if (closed || (toTarget ? toTargetMode : fromTargetMode) == Mode.DROP) {
                bytes.release();
            } else if (delayNanos > 0) {
                harness.loop()
                        .schedule(() -> enqueue(bytes, toTarget), delayNanos, TimeUnit.NANOSECONDS);
            } else {
                enqueue(bytes, toTarget);
            }
        }

        private void enqueue(ByteBuf bytes, boolean toTarget) {
            if (closed) {
                bytes.release();
                return;
            }
            (toTarget ? toTargetBuffer : toClientBuffer).add(bytes);
            flushBuffered();
        }

        void flushBuffered() {
            if (toTargetMode == Mode.FORWARD && targetConnected) {
                toTargetBuffer.forEach(targetChannel::write);
                toTargetBuffer.clear();
                targetChannel.flush();
            }
            if (fromTargetMode == Mode.FORWARD) {
                toClientBuffer.forEach(clientChannel::write);
                toClientBuffer.clear();
                clientChannel.flush();
            }
        }

        /**
         * The other side hears of an end as it would without a relay, but through a cut nobody
         * hears of it.
         */
        void onChannelClosed(boolean clientClosed) {
            if (!clientClosed) {
                unregisterPort();
            }
            if (clientClosed && toTargetMode == Mode.FORWARD && targetChannel != null) {
                closed();
                targetChannel.flush();
                targetChannel.close();
            } else if (!clientClosed && fromTargetMode == Mode.FORWARD) {
                closed();
                clientChannel.close();
            } else if (clientClosed) {
                reset();
            }
        }

        void reset() {
            for (Channel channel : new Channel[] {clientChannel, targetChannel}) {
                if (channel != null && channel.isOpen()) {
                    TestHarness.resetConnection(channel);
                }
            }
            closed();
        }

        /**
         * Once, and as soon as it is so: the next connection may have the same port, and another
         * name behind it.
         */
        private void unregisterPort() {
            if (localPort != 0) {
                harness.connectionOwner(localPort, targetPort, null);
                localPort = 0;
            }
        }

        private void closed() {
            if (!closed) {
                closed = true;
                connections.remove(this);
                unregisterPort();
                toTargetBuffer.forEach(ByteBuf::release);
                toClientBuffer.forEach(ByteBuf::release);
                toTargetBuffer.clear();
                toClientBuffer.clear();
            }
        }
    }

    private final class ClientHandler extends TerminalHandler {

        private final ProxiedConnection connection = new ProxiedConnection();

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connection.open(ctx.channel());
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object read) {
            connection.onBytes((ByteBuf) read, true);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connection.onChannelClosed(true);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            connection.reset();
        }
    }

    private static final class TargetHandler extends TerminalHandler {

        private final ProxiedConnection connection;

        TargetHandler(ProxiedConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connection.onTargetConnected();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object read) {
            connection.onBytes((ByteBuf) read, false);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connection.onChannelClosed(false);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            connection.reset();
        }
    }
}
