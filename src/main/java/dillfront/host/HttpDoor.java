package dillfront.host;

import dillfront.sockets.Ears;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

/** One HTTP connection: calls in, each answered in its turn. Bodies and silence are bounded. */
public final class HttpDoor extends Ears {

    private static final int LONGEST_BODY = 1 << 20;
    private static final int SILENT_S = 60;

    /** What is called, and what it answers. */
    public interface Calls {
        CompletableFuture<Host.Answer> call(String method, String path, byte[] body);
    }

    private final Host host;
    private final Calls calls;
    /** The answers go out in the order of the calls, though they may be ready in another. */
    private CompletableFuture<Void> last = CompletableFuture.completedFuture(null);

    HttpDoor(Host host, Calls calls) {
        this.host = host;
        this.calls = calls;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        ctx.pipeline().addBefore(ctx.name(), "silence", new ReadTimeoutHandler(SILENT_S));
        ctx.pipeline().addBefore(ctx.name(), "codec", new HttpServerCodec());
        ctx.pipeline().addBefore(ctx.name(), "whole", new HttpObjectAggregator(LONGEST_BODY));
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object in) {
        FullHttpRequest request = (FullHttpRequest) in;
        boolean stays = HttpUtil.isKeepAlive(request);
        CompletableFuture<Host.Answer> answer;
        try {
            if (!request.decoderResult().isSuccess()) {
                stays = false;
                answer = CompletableFuture.completedFuture(said(400, "the request is no HTTP"));
            } else {
                byte[] body = new byte[request.content().readableBytes()];
                request.content().readBytes(body);
                String uri = request.uri();
                int query = uri.indexOf('?');
                answer = calls.call(request.method().name(), query < 0 ? uri : uri.substring(0, query), body);
            }
        } finally {
            request.release();
        }
        boolean keep = stays;
        last = last.thenCombine(answer.exceptionally(fault -> said(503, String.valueOf(fault.getMessage()))), (before, is) -> {
            DefaultFullHttpResponse out = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(is.status()), Unpooled.wrappedBuffer(is.body()));
            out.headers().set("Content-Type", "application/json").set("Content-Length", is.body().length);
            if (!keep) {
                out.headers().set("Connection", "close");
            }
            var sent = ctx.writeAndFlush(out);
            if (!keep) {
                sent.addListener(ChannelFutureListener.CLOSE);
            }
            return null;
        });
    }

    /** An answer that says what was wrong. */
    public static Host.Answer said(int status, String fault) {
        return new Host.Answer(status, com.eclipsesource.json.Json.object().add("error_message", fault).toString()
                .getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) { }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof java.io.IOException) && !(cause instanceof ReadTimeoutException)) {
            host.wrong("fault on a call: " + cause + " at " + cause.getStackTrace()[0]);
        }
        ctx.close();
    }
}
