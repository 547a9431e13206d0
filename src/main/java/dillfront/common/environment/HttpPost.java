package dillfront.common.environment;

import dillfront.common.environment.Environment.HttpResponse;
import dillfront.common.network.Sockets;
import dillfront.common.network.TerminalHandler;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** One POST on a connection of its own. */
final class HttpPost extends TerminalHandler {

    private static final int MAX_RESPONSE_BYTES = 1 << 16;

    private final NettyEnvironment environment;
    private final String address;
    private final String path;
    private final String json;
    private final Map<String, String> headers;
    private final int timeoutMillis;
    private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();
    private long deadlineMillis;

    HttpPost(
            NettyEnvironment environment,
            String address,
            String path,
            String json,
            Map<String, String> headers,
            int timeoutMillis) {
        this.environment = environment;
        this.address = address;
        this.path = path;
        this.json = json;
        this.headers = headers;
        this.timeoutMillis = timeoutMillis;
    }

    /** Fails where no complete response comes within the time. */
    CompletableFuture<HttpResponse> response() {
        return response;
    }

    /** Connects and sends; on the event loop. */
    void send() {
        deadlineMillis = environment.nowMillis() + timeoutMillis;
        ChannelFuture connecting =
                Sockets.connect(
                        environment.eventLoop(),
                        NettyEnvironment.address(address),
                        this,
                        timeoutMillis);
        if (connecting == null) {
            fail("no descriptor is left");
            return;
        }
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        response.completeExceptionally(done.cause());
                    }
                });
        environment
                .eventLoop()
                .schedule(
                        () -> {
                            fail("no answer in " + timeoutMillis + " ms");
                            connecting.channel().close();
                        },
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
    }

    private void fail(String message) {
        response.completeExceptionally(new IOException(message));
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        ctx.pipeline().addBefore(ctx.name(), "codec", new HttpClientCodec());
        ctx.pipeline()
                .addBefore(ctx.name(), "aggregator", new HttpObjectAggregator(MAX_RESPONSE_BYTES));
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        if (environment.nowMillis() >= deadlineMillis) {
            // This process was paused: what it asks for was decided long ago, and given up.
            fail("not sent in " + timeoutMillis + " ms");
            ctx.close();
            return;
        }
        ByteBuf body = Unpooled.wrappedBuffer(json.getBytes(StandardCharsets.UTF_8));
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path, body);
        request.headers()
                .set("Host", address)
                .set("Content-Type", "application/json")
                .set("Content-Length", body.readableBytes())
                .set("Connection", "close");
        headers.forEach(request.headers()::set);
        ctx.writeAndFlush(request);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object received) {
        FullHttpResponse message = (FullHttpResponse) received;
        try {
            if (message.decoderResult().isFailure()) {
                fail("no whole answer");
            } else if (message.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                // The response is still to come.
                return;
            } else {
                byte[] body = new byte[message.content().readableBytes()];
                message.content().readBytes(body);
                response.complete(new HttpResponse(message.status().code(), body));
            }
        } finally {
            message.release();
        }
        ctx.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail("closed without an answer");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        response.completeExceptionally(cause);
        ctx.close();
    }
}
