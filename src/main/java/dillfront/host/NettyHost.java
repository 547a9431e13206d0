package dillfront.host;

import dillfront.config.Address;
import dillfront.sockets.Ears;
import dillfront.sockets.Sockets;
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
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
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

/** The machine as it is: sockets on one event loop. */
public final class NettyHost implements Host {

    /** The longest message of the wire, and of the system's own processes. */
    private static final int LONGEST_LINE = 1 << 20;

    private static final int LONGEST_FRAME = 1 << 23;
    private static final InetSocketAddress NOWHERE =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    private static final int BACKLOG = 512;
    private static final WriteBufferWaterMark MARK = new WriteBufferWaterMark(1 << 17, 1 << 20);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final long zero = System.nanoTime();
    private final RandomGenerator chance;

    private final Ring ring;

    public NettyHost(long seed) {
        this(seed, new Ring(System.err, "dillfront"));
    }

    public NettyHost(long seed, Ring ring) {
        this.ring = ring;
        chance = new SplittableRandom(seed);
    }

    public EventLoop loop() {
        return loop;
    }

    @Override
    public long now() {
        return (System.nanoTime() - zero) / 1_000_000;
    }

    @Override
    public Timer after(long ms, Runnable run) {
        Future<?> timer = loop.schedule(run, Math.max(0, ms), TimeUnit.MILLISECONDS);
        return () -> timer.cancel(false);
    }

    @Override
    public RandomGenerator chance() {
        return chance;
    }

    @Override
    public void note(String event) {
        ring.note(now(), event);
    }

    @Override
    public void wrong(String event) {
        ring.wrong(now(), event);
    }

    static InetSocketAddress address(String text) {
        InetSocketAddress is = Address.parse(text);
        // Refused like a dead one: whoever told of it told wrong.
        return is == null ? NOWHERE : is;
    }

    /** One connection's end of the program's side. */
    private final class Line extends Ears implements Link {

        private final Form form;
        private final Ear ear;
        private Channel channel;
        private boolean open;
        private boolean over;

        Line(Form form, Ear ear) {
            this.form = form;
            this.ear = ear;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            ByteToMessageDecoder cutter =
                    form == Form.LINES
                            ? new DelimiterBasedFrameDecoder(
                                    LONGEST_LINE,
                                    true,
                                    true,
                                    Unpooled.wrappedBuffer(new byte[] {13, 10}))
                            : new LengthFieldBasedFrameDecoder(LONGEST_FRAME, 0, 4, 0, 4, true);
            ctx.pipeline().addBefore(ctx.name(), "cut", cutter);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            open = true;
            if (!over) {
                ear.opened(this);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object in) {
            ByteBuf bytes = (ByteBuf) in;
            byte[] message = new byte[bytes.readableBytes()];
            bytes.readBytes(message);
            bytes.release();
            if (!over) {
                ear.message(message);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end("closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException) && !(cause instanceof TooLongFrameException)) {
                wrong("fault on a connection: " + cause + " at " + cause.getStackTrace()[0]);
            }
            end(cause instanceof TooLongFrameException ? "too long" : "broken");
            ctx.close();
        }

        void end(String why) {
            if (!over) {
                over = true;
                ear.closed(why);
            }
        }

        @Override
        public void send(byte[] message) {
            if (!open || over) {
                return;
            }
            ByteBuf out = channel.alloc().buffer(message.length + 4);
            if (form == Form.FRAMES) {
                out.writeInt(message.length).writeBytes(message);
            } else {
                out.writeBytes(message).writeByte(13).writeByte(10);
            }
            channel.writeAndFlush(out, channel.voidPromise());
        }

        @Override
        public void close() {
            over = true;
            if (channel != null) {
                channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                        .addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public long waiting() {
            return channel == null || channel.unsafe().outboundBuffer() == null
                    ? 0
                    : channel.unsafe().outboundBuffer().totalPendingWriteBytes();
        }
    }

    @Override
    public Link dial(String address, Form form, int timeoutMs, Ear ear) {
        Line line = new Line(form, ear);
        ChannelFuture opening = Sockets.connect(loop, address(address), line, timeoutMs);
        if (opening == null) {
            loop.execute(() -> line.end("no descriptor"));
            return line;
        }
        line.channel = opening.channel();
        opening.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        line.end(
                                done.cause() instanceof java.net.ConnectException
                                                && !(done.cause()
                                                        instanceof
                                                        io.netty.channel.ConnectTimeoutException)
                                        ? "refused"
                                        : "unreachable");
                    }
                });
        return line;
    }

    /** A door for the wire or for the system's own processes. */
    public void listen(String at, Form form, Function<Host, Ear> each) throws IOException {
        bind(
                () ->
                        Sockets.listen(
                                loop,
                                address(at),
                                BACKLOG,
                                MARK,
                                () -> new Line(form, each.apply(this))),
                at);
    }

    /** A door for HTTP. */
    public void serve(String at, HttpDoor.Calls calls) throws IOException {
        serve(at, calls, HttpDoor.LONGEST_MS);
    }

    /**
     * @param longestMs a call that is not answered by then is answered so
     */
    void serve(String at, HttpDoor.Calls calls, long longestMs) throws IOException {
        bind(
                () ->
                        Sockets.listen(
                                loop,
                                address(at),
                                BACKLOG,
                                MARK,
                                () -> new HttpDoor(this, calls, longestMs)),
                at);
    }

    /** Doors are made on the loop. */
    private void bind(Supplier<ChannelFuture> door, String at) throws IOException {
        Future<ChannelFuture> made = loop.submit(door::get);
        try {
            ChannelFuture bound = made.get(5, TimeUnit.SECONDS);
            if (!bound.awaitUninterruptibly(5_000) || !bound.isSuccess()) {
                throw new IOException("cannot listen on " + at + ": " + bound.cause());
            }
        } catch (ExecutionException | TimeoutException | InterruptedException fault) {
            throw new IOException("cannot listen on " + at, fault);
        }
    }

    @Override
    public CompletableFuture<Answer> post(
            String address, String path, String json, Map<String, String> headers, int timeoutMs) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        if (!loop.inEventLoop()) {
            loop.execute(
                    () ->
                            post(address, path, json, headers, timeoutMs)
                                    .whenComplete(
                                            (is, fault) -> {
                                                if (fault == null) {
                                                    answer.complete(is);
                                                } else {
                                                    answer.completeExceptionally(fault);
                                                }
                                            }));
            return answer;
        }
        long until = now() + timeoutMs;
        Ears ears =
                new Ears() {
                    @Override
                    public void handlerAdded(ChannelHandlerContext ctx) {
                        ctx.pipeline().addBefore(ctx.name(), "codec", new HttpClientCodec());
                        ctx.pipeline()
                                .addBefore(ctx.name(), "whole", new HttpObjectAggregator(1 << 16));
                    }

                    @Override
                    public void channelActive(ChannelHandlerContext ctx) {
                        if (now() >= until) {
                            // This process stood still: what it asks for was decided long ago, and
                            // given up.
                            answer.completeExceptionally(
                                    new IOException("not sent in " + timeoutMs + " ms"));
                            ctx.close();
                            return;
                        }
                        ByteBuf body =
                                Unpooled.wrappedBuffer(json.getBytes(StandardCharsets.UTF_8));
                        DefaultFullHttpRequest request =
                                new DefaultFullHttpRequest(
                                        HttpVersion.HTTP_1_1, HttpMethod.POST, path, body);
                        request.headers()
                                .set("Host", address)
                                .set("Content-Type", "application/json")
                                .set("Content-Length", body.readableBytes())
                                .set("Connection", "close");
                        headers.forEach(request.headers()::set);
                        ctx.writeAndFlush(request);
                    }

                    @Override
                    public void channelRead(ChannelHandlerContext ctx, Object in) {
                        FullHttpResponse is = (FullHttpResponse) in;
                        try {
                            if (is.decoderResult().isFailure()) {
                                answer.completeExceptionally(new IOException("no whole answer"));
                            } else if (is.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                                // The answer is still to come.
                                return;
                            } else {
                                byte[] body = new byte[is.content().readableBytes()];
                                is.content().readBytes(body);
                                answer.complete(new Answer(is.status().code(), body));
                            }
                        } finally {
                            is.release();
                        }
                        ctx.close();
                    }

                    @Override
                    public void channelInactive(ChannelHandlerContext ctx) {
                        answer.completeExceptionally(new IOException("closed without an answer"));
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        answer.completeExceptionally(cause);
                        ctx.close();
                    }
                };
        ChannelFuture opening = Sockets.connect(loop, address(address), ears, timeoutMs);
        if (opening == null) {
            answer.completeExceptionally(new IOException("no descriptor is left"));
            return answer;
        }
        opening.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        answer.completeExceptionally(done.cause());
                    }
                });
        loop.schedule(
                () -> {
                    answer.completeExceptionally(
                            new IOException("no answer in " + timeoutMs + " ms"));
                    opening.channel().close();
                },
                timeoutMs,
                TimeUnit.MILLISECONDS);
        return answer;
    }
}
