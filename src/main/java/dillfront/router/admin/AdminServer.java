package dillfront.router.admin;

import dillfront.common.logging.Log;
import dillfront.common.network.Sockets;
import dillfront.common.network.TerminalHandler;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * Serves status queries of the operator on loopback: one line in, one text out, then close.
 * Connections, line length and time are limited, so that a misbehaving client costs little.
 */
public final class AdminServer {

    private static final int MAX_CONNECTIONS = 4;
    private static final int MAX_QUERY_CHARS = 64;
    private static final long QUERY_TIMEOUT_MS = 1000;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Log log;
    private final UnaryOperator<String> responder;
    private Channel serverChannel;
    private int open;

    /**
     * @param responder returns the text for a query, given without its line terminator
     */
    public AdminServer(
            EventLoop loop, InetSocketAddress address, Log log, UnaryOperator<String> responder) {
        this.loop = loop;
        this.address = address;
        this.log = log;
        this.responder = responder;
    }

    /** Binds the server; called on the event loop. */
    public void open() {
        Sockets.listen(
                        loop,
                        address,
                        MAX_CONNECTIONS,
                        WriteBufferWaterMark.DEFAULT,
                        QueryHandler::new)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                log.warn(
                                        "control-not-bound",
                                        "address",
                                        address,
                                        "fault",
                                        done.cause());
                            }
                        })
                .addListener((ChannelFutureListener) done -> serverChannel = done.channel());
    }

    public void close() {
        if (serverChannel != null) {
            serverChannel.close();
        }
    }

    /** One connection; its count is released in channelInactive. */
    private final class QueryHandler extends TerminalHandler {

        private final StringBuilder query = new StringBuilder();
        private ScheduledFuture<?> timeout;
        private boolean admitted;
        private boolean answered;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (open >= MAX_CONNECTIONS) {
                ctx.close();
                return;
            }
            open++;
            admitted = true;
            timeout = loop.schedule(() -> ctx.close(), QUERY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object data) {
            ByteBuf bytes = (ByteBuf) data;
            try {
                while (bytes.isReadable() && !answered) {
                    char c = (char) bytes.readUnsignedByte();
                    if (c == '\n') {
                        answered = true;
                        String text = responder.apply(query.toString().strip());
                        ctx.writeAndFlush(
                                        ByteBufUtil.encodeString(
                                                ctx.alloc(),
                                                java.nio.CharBuffer.wrap(text),
                                                StandardCharsets.UTF_8))
                                .addListener(ChannelFutureListener.CLOSE);
                    } else if (query.length() >= MAX_QUERY_CHARS) {
                        ctx.close();
                        return;
                    } else {
                        query.append(c);
                    }
                }
            } finally {
                bytes.release();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (admitted) {
                admitted = false;
                open--;
                timeout.cancel(false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
