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
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * One HTTP connection: calls in, one after the other. Answers are told apart by nothing but their
 * order, so the next call begins once the one before has its answer, and whoever sends several at
 * once sees them done in that order. Bodies, silence, the time of a call and answers that nobody
 * reads are bounded; what is sent beyond that stays in the socket.
 */
public final class HttpDoor extends Ears {

    private static final int LONGEST_BODY = 1 << 20;
    private static final int SILENT_S = 60;

    /** Above all that a call may take by itself. */
    static final long LONGEST_MS = 10_000;

    private static final byte[] CONTINUE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** What is called, and what it answers. */
    public interface Calls {
        CompletableFuture<Host.Answer> call(String method, String path, byte[] body);
    }

    private final Host host;
    private final Calls calls;
    private final long longestMs;
    private ChannelHandlerContext ctx;

    /** The call that is not answered yet; null where none is. */
    private Turn turn;

    /** What was read meanwhile. */
    private final ArrayDeque<HttpObject> ahead = new ArrayDeque<>();

    /** The call that is being read. */
    private HttpRequest head;

    private ByteBuf body;

    /** After a call that is the last one, or no HTTP: whatever follows is no call. */
    private boolean ends;

    HttpDoor(Host host, Calls calls, long longestMs) {
        this.host = host;
        this.calls = calls;
        this.longestMs = longestMs;
    }

    /** One call's turn to be answered: once, and not after the connection is over. */
    private final class Turn {
        private final boolean last;
        private final Host.Timer limit;

        Turn(boolean last) {
            this.last = last;
            turn = this;
            limit =
                    host.after(
                            longestMs,
                            () -> answer(said(503, "no answer in " + longestMs + " ms")));
        }

        void answer(Host.Answer is) {
            if (turn == this) {
                limit.cancel();
                turn = null;
                write(is, last);
            }
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
        ctx.pipeline()
                .addBefore(
                        ctx.name(),
                        "silence",
                        new IdleStateHandler(true, 0, 0, SILENT_S, TimeUnit.SECONDS));
        ctx.pipeline().addBefore(ctx.name(), "codec", new HttpServerCodec());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object in) {
        ahead.add((HttpObject) in);
        goOn();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        // Not at once: it may be an answer that is just being written.
        ctx.channel().eventLoop().execute(this::goOn);
    }

    private void goOn() {
        while (!ahead.isEmpty() && (ends || turn == null && ctx.channel().isWritable())) {
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
                refuse(
                        413,
                        "a body of more than " + LONGEST_BODY + " bytes",
                        !HttpUtil.isKeepAlive(head));
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
            // Whether its body comes all the same, nobody can say: what follows is not read as
            // calls.
            refuse(large ? 413 : 417, "not expected", true);
        } else if (large) {
            refuse(
                    413,
                    "a body of more than " + LONGEST_BODY + " bytes",
                    !HttpUtil.isKeepAlive(request));
        } else if (expected != null) {
            // Not through the codec, which would take it for the answer.
            ctx.pipeline().context("codec").writeAndFlush(Unpooled.wrappedBuffer(CONTINUE));
        }
    }

    /** The rest of its body, if any, is passed over. */
    private void refuse(int status, String why, boolean last) {
        head = null;
        body = null;
        ends = last;
        new Turn(last).answer(said(status, why));
    }

    private void call() {
        HttpRequest request = head;
        head = null;
        ends = !HttpUtil.isKeepAlive(request);
        Turn its = new Turn(ends);
        byte[] all = new byte[body.readableBytes()];
        body.readBytes(all);
        body = null;
        String uri = request.uri();
        int query = uri.indexOf('?');
        try {
            calls.call(request.method().name(), query < 0 ? uri : uri.substring(0, query), all)
                    .whenComplete(
                            (is, fault) ->
                                    its.answer(
                                            fault != null
                                                    ? said(503, String.valueOf(fault.getMessage()))
                                                    : is == null || is.body() == null
                                                            ? said(500, "no answer")
                                                            : is));
        } catch (RuntimeException | StackOverflowError fault) {
            // This call alone pays for it, not those beside it on the connection.
            wrong(fault);
            its.answer(said(500, "fault in " + request.method().name()));
        }
    }

    private void write(Host.Answer is, boolean last) {
        DefaultFullHttpResponse out =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(is.status()),
                        Unpooled.wrappedBuffer(is.body()));
        out.headers()
                .set("Content-Type", "application/json")
                .set("Content-Length", is.body().length);
        if (is.location() != null) {
            out.headers().set("Location", is.location());
        }
        if (last) {
            out.headers().set("Connection", "close");
        }
        var sent = ctx.writeAndFlush(out);
        if (last) {
            sent.addListener(ChannelFutureListener.CLOSE);
        }
        if (!ahead.isEmpty()) {
            // Not at once: an answer may come while the next call is being read.
            ctx.channel().eventLoop().execute(this::goOn);
        }
    }

    /**
     * Nothing came or went for long. Whoever takes long to read an answer is not silent while he
     * reads.
     */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            ctx.close();
        }
    }

    /** An answer that says what was wrong. */
    public static Host.Answer said(int status, String fault) {
        return new Host.Answer(
                status,
                com.eclipsesource.json.Json.object()
                        .add("error_message", fault)
                        .toString()
                        .getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        ends = true;
        if (turn != null) {
            turn.limit.cancel();
            turn = null;
        }
        ahead.forEach(ReferenceCountUtil::release);
        ahead.clear();
    }

    private void wrong(Throwable fault) {
        host.wrong(
                "fault on a call: "
                        + fault
                        + " at "
                        + (fault.getStackTrace().length == 0 ? "-" : fault.getStackTrace()[0]));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            wrong(cause);
        }
        ctx.close();
    }
}
