package dillfront.common.environment;

import dillfront.common.network.TerminalHandler;
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
 * Serves the requests of one HTTP connection, one at a time. Pipelined responses are matched to
 * requests by their order only, so the handler starts a request after the response to the previous
 * one. The size of bodies, idle time, handling time and unread responses are bounded; input beyond
 * that stays in the socket buffer.
 */
public final class HttpServerHandler extends TerminalHandler {

    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int IDLE_TIMEOUT_S = 60;

    /** Above the time that any endpoint takes by itself. */
    static final long MAX_HANDLING_MS = 10_000;

    private static final byte[] CONTINUE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** Handles requests. */
    public interface HttpEndpoint {
        CompletableFuture<Environment.HttpResponse> call(String method, String path, byte[] body);
    }

    private final Environment environment;
    private final HttpEndpoint endpoint;
    private final long timeoutMillis;
    private ChannelHandlerContext ctx;

    /** The request in progress; null for none. */
    private Exchange current;

    /** Input that arrived during the request in progress. */
    private final ArrayDeque<HttpObject> pendingParts = new ArrayDeque<>();

    /** The request whose body is being read. */
    private HttpRequest currentRequest;

    private ByteBuf body;

    /** Set after the last request or malformed input; all further input is discarded. */
    private boolean lastRequest;

    HttpServerHandler(Environment environment, HttpEndpoint endpoint, long timeoutMillis) {
        this.environment = environment;
        this.endpoint = endpoint;
        this.timeoutMillis = timeoutMillis;
    }

    /** A request in progress, which gets one response unless the connection closes before. */
    private final class Exchange {
        private final boolean last;
        private final Environment.Timer timeout;

        Exchange(boolean last) {
            this.last = last;
            current = this;
            timeout =
                    environment.schedule(
                            timeoutMillis,
                            () ->
                                    respond(
                                            errorResponse(
                                                    503, "no answer in " + timeoutMillis + " ms")));
        }

        void respond(Environment.HttpResponse response) {
            if (current == this) {
                timeout.cancel();
                current = null;
                write(response, last);
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
                        new IdleStateHandler(true, 0, 0, IDLE_TIMEOUT_S, TimeUnit.SECONDS));
        ctx.pipeline().addBefore(ctx.name(), "codec", new HttpServerCodec());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object received) {
        pendingParts.add((HttpObject) received);
        readNext();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        // Deferred: the event may be fired from within the write of a response.
        ctx.channel().eventLoop().execute(this::readNext);
    }

    private void readNext() {
        while (!pendingParts.isEmpty()
                && (lastRequest || current == null && ctx.channel().isWritable())) {
            HttpObject next = pendingParts.poll();
            try {
                read(next);
            } finally {
                ReferenceCountUtil.release(next);
            }
        }
        if (ctx.channel().config().isAutoRead() != pendingParts.isEmpty()) {
            ctx.channel().config().setAutoRead(pendingParts.isEmpty());
        }
    }

    private void read(HttpObject part) {
        if (lastRequest) {
            return;
        }
        if (part.decoderResult().isFailure()) {
            refuse(400, "the request is no HTTP", true);
            return;
        }
        if (part instanceof HttpRequest request) {
            startRequest(request);
        }
        if (part instanceof HttpContent content && currentRequest != null) {
            if (body.readableBytes() + content.content().readableBytes() > MAX_BODY_BYTES) {
                refuse(
                        413,
                        "a body of more than " + MAX_BODY_BYTES + " bytes",
                        !HttpUtil.isKeepAlive(currentRequest));
                return;
            }
            body.writeBytes(content.content());
            if (part instanceof LastHttpContent) {
                dispatch();
            }
        }
    }

    private void startRequest(HttpRequest request) {
        currentRequest = request;
        body = Unpooled.buffer(256);
        String expectation = request.headers().get("Expect");
        boolean tooLarge = HttpUtil.getContentLength(request, 0L) > MAX_BODY_BYTES;
        if (expectation != null && (tooLarge || !expectation.equalsIgnoreCase("100-continue"))) {
            // The client may or may not send the body after the refusal, so the following bytes
            // cannot be parsed as requests.
            refuse(tooLarge ? 413 : 417, "not expected", true);
        } else if (tooLarge) {
            refuse(
                    413,
                    "a body of more than " + MAX_BODY_BYTES + " bytes",
                    !HttpUtil.isKeepAlive(request));
        } else if (expectation != null) {
            // Bypasses the codec, which would take it for the final response.
            ctx.pipeline().context("codec").writeAndFlush(Unpooled.wrappedBuffer(CONTINUE));
        }
    }

    /** Responds with an error; the rest of the body is discarded. */
    private void refuse(int status, String message, boolean last) {
        currentRequest = null;
        body = null;
        lastRequest = last;
        new Exchange(last).respond(errorResponse(status, message));
    }

    private void dispatch() {
        HttpRequest request = currentRequest;
        currentRequest = null;
        lastRequest = !HttpUtil.isKeepAlive(request);
        Exchange exchange = new Exchange(lastRequest);
        byte[] content = new byte[body.readableBytes()];
        body.readBytes(content);
        body = null;
        String uri = request.uri();
        int queryStart = uri.indexOf('?');
        try {
            endpoint.call(
                            request.method().name(),
                            queryStart < 0 ? uri : uri.substring(0, queryStart),
                            content)
                    .whenComplete(
                            (response, error) ->
                                    exchange.respond(
                                            error != null
                                                    ? errorResponse(
                                                            503, String.valueOf(error.getMessage()))
                                                    : response == null || response.body() == null
                                                            ? errorResponse(500, "no answer")
                                                            : response));
        } catch (RuntimeException | StackOverflowError error) {
            // The fault fails this request only, not the others on the connection.
            reportError(error);
            exchange.respond(errorResponse(500, "fault in " + request.method().name()));
        }
    }

    private void write(Environment.HttpResponse response, boolean last) {
        DefaultFullHttpResponse out =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(response.status()),
                        Unpooled.wrappedBuffer(response.body()));
        out.headers()
                .set("Content-Type", "application/json")
                .set("Content-Length", response.body().length);
        if (response.location() != null) {
            out.headers().set("Location", response.location());
        }
        if (last) {
            out.headers().set("Connection", "close");
        }
        var written = ctx.writeAndFlush(out);
        if (last) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        if (!pendingParts.isEmpty()) {
            // Deferred: this method may be called from within the read of a request.
            ctx.channel().eventLoop().execute(this::readNext);
        }
    }

    /**
     * Closes an idle connection. The idle handler observes output, so a client that reads a large
     * response slowly does not count as idle.
     */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            ctx.close();
        }
    }

    /** Creates a response with an error message. */
    public static Environment.HttpResponse errorResponse(int status, String message) {
        return new Environment.HttpResponse(
                status,
                com.eclipsesource.json.Json.object()
                        .add("error_message", message)
                        .toString()
                        .getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        lastRequest = true;
        if (current != null) {
            current.timeout.cancel();
            current = null;
        }
        pendingParts.forEach(ReferenceCountUtil::release);
        pendingParts.clear();
    }

    private void reportError(Throwable error) {
        environment.warn(
                "error in a request: "
                        + error
                        + " at "
                        + (error.getStackTrace().length == 0 ? "-" : error.getStackTrace()[0]));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            reportError(cause);
        }
        ctx.close();
    }
}
