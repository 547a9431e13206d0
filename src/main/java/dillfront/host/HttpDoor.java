package dillfront.host;

import dillfront.sockets.Ears;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.CompletableFuture;

/**
 * One HTTP connection: calls in, each answered in its turn. Bodies, silence, calls that are under way and answers that
 * nobody reads are bounded; what is sent beyond that stays in the socket.
 */
public final class HttpDoor extends Ears {

    private static final int LONGEST_BODY = 1 << 20;
    private static final int SILENT_S = 60;
    static final int MOST_CALLS = 8;
    /** Above all that a call may take by itself. */
    static final long LONGEST_MS = 10_000;
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** What is called, and what it answers. */
    public interface Calls {
        CompletableFuture<Host.Answer> call(String method, String path, byte[] body);
    }

    private final Host host;
    private final Calls calls;
    private final Turns turns;
    private ChannelHandlerContext ctx;
    /** What was read while too much was under way. */
    private final ArrayDeque<HttpObject> ahead = new ArrayDeque<>();
    /** The call that is being read. */
    private HttpRequest head;
    private ByteBuf body;
    /** It waits to be told that its body may come. */
    private boolean expects;
    /** After a call that is the last one, or no HTTP: whatever follows is no call. */
    private boolean ends;

    HttpDoor(Host host, Calls calls, long longestMs) {
        this.host = host;
        this.calls = calls;
        turns = new Turns(host, longestMs, this::write);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
        ctx.pipeline().addBefore(ctx.name(), "silence", new ReadTimeoutHandler(SILENT_S));
        ctx.pipeline().addBefore(ctx.name(), "codec", new HttpServerCodec());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object in) {
        ahead.add((HttpObject) in);
        goOn();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        goOn();
    }

    private boolean room() {
        return turns.size() < MOST_CALLS && ctx.channel().isWritable();
    }

    private void goOn() {
        while (!ahead.isEmpty() && (ends || room())) {
            HttpObject next = ahead.poll();
            try {
                read(next);
            } finally {
                ReferenceCountUtil.release(next);
            }
        }
        if (ctx.channel().config().isAutoRead() != ahead.isEmpty()) {
            ctx.channel().config().setAutoRead(ahead.isEmpty());
        }
    }

    private void read(HttpObject part) {
        if (ends) {
            return;
        }
        if (part.decoderResult().isFailure()) {
            refuse(400, "the request is no HTTP", true);
            return;
        }
        if (part instanceof HttpRequest request) {
            begin(request);
        }
        if (part instanceof HttpContent content && head != null) {
            if (body.readableBytes() + content.content().readableBytes() > LONGEST_BODY) {
                refuse(413, "a body of more than " + LONGEST_BODY + " bytes", !HttpUtil.isKeepAlive(head));
                return;
            }
            body.writeBytes(content.content());
            if (part instanceof LastHttpContent) {
                call();
            }
        }
    }

    private void begin(HttpRequest request) {
        head = request;
        body = Unpooled.buffer(256);
        String expected = request.headers().get("Expect");
        boolean large = HttpUtil.getContentLength(request, 0L) > LONGEST_BODY;
        if (expected != null && (large || !expected.equalsIgnoreCase("100-continue"))) {
            // Whether its body comes all the same, nobody can say: what follows is not read as calls.
            refuse(large ? 413 : 417, "not expected", true);
        } else if (large) {
            refuse(413, "a body of more than " + LONGEST_BODY + " bytes", !HttpUtil.isKeepAlive(request));
        } else if (expected != null) {
            expects = true;
            mayGoOn();
        }
    }

    /** In its turn as well: before, it would pass for a word on an earlier call. */
    private void mayGoOn() {
        if (expects && turns.size() == 0) {
            expects = false;
            // Not through the codec, which would take it for the answer.
            ctx.pipeline().context("codec").writeAndFlush(Unpooled.wrappedBuffer(CONTINUE));
        }
    }

    /** The rest of its body, if any, is passed over. */
    private void refuse(int status, String why, boolean last) {
        head = null;
        body = null;
        expects = false;
        ends = last;
        turns.take(last).answer(said(status, why));
    }

    private void call() {
        HttpRequest request = head;
        head = null;
        expects = false;
        ends = !HttpUtil.isKeepAlive(request);
        Turns.Turn turn = turns.take(ends);
        byte[] all = new byte[body.readableBytes()];
        body.readBytes(all);
        body = null;
        String uri = request.uri();
        int query = uri.indexOf('?');
        try {
            calls.call(request.method().name(), query < 0 ? uri : uri.substring(0, query), all).whenComplete((is, fault) ->
                    turn.answer(fault != null ? said(503, String.valueOf(fault.getMessage()))
                            : is == null || is.body() == null ? said(500, "no answer") : is));
        } catch (RuntimeException | StackOverflowError fault) {
            // This call alone pays for it, not those beside it on the connection.
            wrong(fault);
            turn.answer(said(500, "fault in " + request.method().name()));
        }
    }

    private void write(Host.Answer is, boolean last) {
        DefaultFullHttpResponse out = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(is.status()),
                Unpooled.wrappedBuffer(is.body()));
        out.headers().set("Content-Type", "application/json").set("Content-Length", is.body().length);
        if (last) {
            out.headers().set("Connection", "close");
        }
        var sent = ctx.writeAndFlush(out);
        if (last) {
            sent.addListener(ChannelFutureListener.CLOSE);
        }
        mayGoOn();
        if (!ahead.isEmpty()) {
            // Not at once: an answer may come while the next call is being read.
            ctx.channel().eventLoop().execute(this::goOn);
        }
    }

    /** An answer that says what was wrong. */
    public static Host.Answer said(int status, String fault) {
        return new Host.Answer(status, com.eclipsesource.json.Json.object().add("error_message", fault).toString()
                .getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        ends = true;
        turns.end();
        ahead.forEach(ReferenceCountUtil::release);
        ahead.clear();
    }

    private void wrong(Throwable fault) {
        host.wrong("fault on a call: " + fault + " at " + (fault.getStackTrace().length == 0 ? "-" : fault.getStackTrace()[0]));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof java.io.IOException) && !(cause instanceof ReadTimeoutException)) {
            wrong(cause);
        }
        ctx.close();
    }
}
