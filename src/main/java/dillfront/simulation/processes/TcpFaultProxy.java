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
 * Forwards TCP connections between two processes on a port of its own and injects network faults,
 * separately for each direction. All calls run on the harness's loop or go through {@link
 * TestHarness#run}.
 */
public final class TcpFaultProxy {

    /** How the proxy treats bytes of one direction. */
    public enum Mode {
        FORWARD,
        BUFFER,
        DROP
    }

    private final TestHarness harness;
    private final Supplier<InetSocketAddress> targetAddress;

    /** Names the process that connects through this proxy at the moment. */
    private final Supplier<String> clientIdSupplier;

    private final int port;
    private Channel listener;
    private Mode toTargetMode = Mode.FORWARD;
    private Mode fromTargetMode = Mode.FORWARD;
    private long delayNanos;
    private final Set<ProxiedConnection> connections = new LinkedHashSet<>();

    TcpFaultProxy(
            TestHarness harness,
            Supplier<String> clientIdSupplier,
            Supplier<InetSocketAddress> targetAddress) {
        this.harness = harness;
        this.clientIdSupplier = clientIdSupplier;
        this.targetAddress = targetAddress;
        listener = harness.listen(0, ClientHandler::new);
        port = TestHarness.port(listener);
    }

    public int port() {
        return port;
    }

    /** Sets the modes of both directions, for open and new connections. */
    public void setModes(Mode toTarget, Mode fromTarget) {
        harness.run(
                () -> {
                    toTargetMode = toTarget;
                    fromTargetMode = fromTarget;
                    List.copyOf(connections).forEach(ProxiedConnection::flushBuffered);
                });
    }

    /**
     * Drops all bytes in both directions. Connections stay open and new ones are accepted, but no
     * data arrives.
     */
    public void dropTraffic() {
        setModes(Mode.DROP, Mode.DROP);
    }

    /**
     * Forwards again. Resets connections if bytes were dropped, as a machine without their state
     * does.
     */
    public void heal() {
        boolean wasDropping = toTargetMode == Mode.DROP || fromTargetMode == Mode.DROP;
        setModes(Mode.FORWARD, Mode.FORWARD);
        if (wasDropping) {
            resetConnections();
        }
    }

    /** Delays each read of bytes by this time, in both directions. */
    public void delay(long micros) {
        harness.run(() -> delayNanos = micros * 1000);
    }

    public void resetConnections() {
        harness.run(() -> List.copyOf(connections).forEach(ProxiedConnection::reset));
    }

    /** Refuses new connections, or accepts them again on the same port. */
    public void refuseConnections(boolean refused) {
        if (refused) {
            harness.run(() -> listener.close());
            harness.await("the proxy's listener is closed", () -> !listener.isOpen());
        } else if (!listener.isOpen()) {
            listener = harness.listen(port, ClientHandler::new);
        }
    }

    void close() {
        listener.close();
        List.copyOf(connections).forEach(ProxiedConnection::reset);
    }

    /** Connects one client to the target. */
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
         * Closes the other side when one side closes, as without a proxy. If its direction does not
         * forward, the client does not see the target's close, and the target is reset after the
         * client's.
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
         * Unregisters the local port, once, as soon as it is free: the next connection from that
         * port may belong to another process.
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
