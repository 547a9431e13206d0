package dillfront.common.environment;

import dillfront.common.network.Address;
import dillfront.common.network.Sockets;
import dillfront.common.network.TerminalHandler;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.DelimiterBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** An environment with sockets on one event loop, the system clock and a log on a stream. */
public final class NettyEnvironment implements Environment {

    private static final int MAX_LINE_BYTES = 1 << 20;

    private static final int MAX_FRAME_BYTES = 1 << 23;
    private static final InetSocketAddress UNREACHABLE =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    private static final int BACKLOG = 512;
    private static final WriteBufferWaterMark WRITE_BUFFER_LIMITS =
            new WriteBufferWaterMark(1 << 17, 1 << 20);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop eventLoop = group.next();
    private final long startNanos = System.nanoTime();
    private final RandomGenerator random;

    private final RingLog eventLog;

    public NettyEnvironment(long seed) {
        this(seed, new RingLog(System.err, "dillfront"));
    }

    public NettyEnvironment(long seed, RingLog eventLog) {
        this.eventLog = eventLog;
        random = new SplittableRandom(seed);
    }

    public EventLoop eventLoop() {
        return eventLoop;
    }

    @Override
    public long nowMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    @Override
    public Timer schedule(long delayMillis, Runnable task) {
        Future<?> timer = eventLoop.schedule(task, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
        return () -> timer.cancel(false);
    }

    @Override
    public RandomGenerator random() {
        return random;
    }

    @Override
    public void trace(String event) {
        eventLog.record(nowMillis(), event);
    }

    @Override
    public void warn(String event) {
        eventLog.warn(nowMillis(), event);
    }

    static InetSocketAddress address(String text) {
        InetSocketAddress parsed = Address.parse(text);
        // A connection there is refused, as by a machine that is down.
        return parsed == null ? UNREACHABLE : parsed;
    }

    /** One connection. */
    private final class NettyConnection extends TerminalHandler implements Connection {

        private final Framing framing;
        private final ConnectionListener listener;
        private Channel channel;
        private boolean open;
        private boolean closed;

        NettyConnection(Framing framing, ConnectionListener listener) {
            this.framing = framing;
            this.listener = listener;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            ByteToMessageDecoder decoder =
                    framing == Framing.LINES
                            ? new DelimiterBasedFrameDecoder(
                                    MAX_LINE_BYTES,
                                    true,
                                    true,
                                    Unpooled.wrappedBuffer(new byte[] {13, 10}))
                            : new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, 4, 0, 4, true);
            ctx.pipeline().addBefore(ctx.name(), "cut", decoder);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            open = true;
            if (!closed) {
                listener.onOpen(this);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object received) {
            ByteBuf bytes = (ByteBuf) received;
            byte[] message = new byte[bytes.readableBytes()];
            bytes.readBytes(message);
            bytes.release();
            if (!closed) {
                listener.onMessage(message);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            closeWith("closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException) && !(cause instanceof TooLongFrameException)) {
                warn("error on a connection: " + cause + " at " + cause.getStackTrace()[0]);
            }
            closeWith(cause instanceof TooLongFrameException ? "too long" : "broken");
            ctx.close();
        }

        void closeWith(String reason) {
            if (!closed) {
                closed = true;
                listener.onClose(reason);
            }
        }

        @Override
        public void send(byte[] message) {
            if (!open || closed) {
                return;
            }
            ByteBuf out = channel.alloc().buffer(message.length + 4);
            if (framing == Framing.FRAMES) {
                out.writeInt(message.length).writeBytes(message);
            } else {
                out.writeBytes(message).writeByte(13).writeByte(10);
            }
            channel.writeAndFlush(out, channel.voidPromise());
        }

        @Override
        public void close() {
            closed = true;
            if (channel != null) {
                channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                        .addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void setReading(boolean reading) {
            if (channel != null) {
                channel.config().setAutoRead(reading);
            }
        }

        @Override
        public long pendingBytes() {
            return channel == null || channel.unsafe().outboundBuffer() == null
                    ? 0
                    : channel.unsafe().outboundBuffer().totalPendingWriteBytes();
        }
    }

    @Override
    public Connection connect(
            String address, Framing framing, int timeoutMillis, ConnectionListener listener) {
        NettyConnection connection = new NettyConnection(framing, listener);
        ChannelFuture connecting =
                Sockets.connect(eventLoop, address(address), connection, timeoutMillis);
        if (connecting == null) {
            eventLoop.execute(() -> connection.closeWith("no descriptor"));
            return connection;
        }
        connection.channel = connecting.channel();
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        connection.closeWith(
                                done.cause() instanceof java.net.ConnectException
                                                && !(done.cause()
                                                        instanceof
                                                        io.netty.channel.ConnectTimeoutException)
                                        ? REFUSED
                                        : "unreachable");
                    }
                });
        return connection;
    }

    /**
     * Listens for connections of this framing.
     *
     * @param address IP:PORT
     * @throws IOException if the address cannot be bound
     */
    public void listen(
            String address, Framing framing, Function<Environment, ConnectionListener> listeners)
            throws IOException {
        bind(
                () ->
                        Sockets.listen(
                                eventLoop,
                                address(address),
                                BACKLOG,
                                WRITE_BUFFER_LIMITS,
                                () -> new NettyConnection(framing, listeners.apply(this))),
                address);
    }

    /**
     * Serves HTTP.
     *
     * @param address IP:PORT
     * @throws IOException if the address cannot be bound
     */
    public void serveHttp(String address, HttpServerHandler.HttpEndpoint endpoint)
            throws IOException {
        serveHttp(address, endpoint, HttpServerHandler.MAX_HANDLING_MS);
    }

    /**
     * @param handlingTimeoutMillis handling time after which a request gets an error response
     */
    void serveHttp(
            String address, HttpServerHandler.HttpEndpoint endpoint, long handlingTimeoutMillis)
            throws IOException {
        bind(
                () ->
                        Sockets.listen(
                                eventLoop,
                                address(address),
                                BACKLOG,
                                WRITE_BUFFER_LIMITS,
                                () -> new HttpServerHandler(this, endpoint, handlingTimeoutMillis)),
                address);
    }

    /** Creates a server channel on the event loop and waits until it is bound. */
    private void bind(Supplier<ChannelFuture> server, String address) throws IOException {
        Future<ChannelFuture> binding = eventLoop.submit(server::get);
        try {
            ChannelFuture bound = binding.get(5, TimeUnit.SECONDS);
            if (!bound.awaitUninterruptibly(5_000) || !bound.isSuccess()) {
                throw new IOException("cannot listen on " + address + ": " + bound.cause());
            }
        } catch (ExecutionException | TimeoutException | InterruptedException e) {
            throw new IOException("cannot listen on " + address, e);
        }
    }

    @Override
    public CompletableFuture<HttpResponse> post(
            String address,
            String path,
            String json,
            Map<String, String> headers,
            int timeoutMillis) {
        HttpPost post = new HttpPost(this, address, path, json, headers, timeoutMillis);
        if (eventLoop.inEventLoop()) {
            post.send();
        } else {
            eventLoop.execute(post::send);
        }
        return post.response();
    }
}
