package dillfront.common.network;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Creates channels on an event loop without Netty's bootstraps, which would copy their options,
 * resolve host names and load more classes at each start.
 */
public final class Sockets {

    private Sockets() {}

    /**
     * Opens a connection with a single handler; called on the event loop.
     *
     * @return null if no file descriptor is left
     */
    public static ChannelFuture connect(
            EventLoop loop, InetSocketAddress address, TerminalHandler handler, int timeoutMs) {
        NioSocketChannel channel;
        try {
            channel = new NioSocketChannel();
        } catch (ChannelException e) {
            return null;
        }
        channel.config().setTcpNoDelay(true).setConnectTimeoutMillis(timeoutMs);
        channel.pipeline().addLast(handler);
        ChannelFuture registered = loop.register(channel);
        return registered.isSuccess() ? channel.connect(address) : registered;
    }

    /**
     * Opens a listener with one handler per accepted connection; called on the event loop. The
     * returned future holds the server channel.
     */
    public static ChannelFuture listen(
            EventLoop loop,
            InetSocketAddress address,
            int backlog,
            WriteBufferWaterMark writeBufferLimits,
            Supplier<TerminalHandler> handlers) {
        NioServerSocketChannel server = new NioServerSocketChannel();
        server.config().setBacklog(backlog).setReuseAddress(true);
        server.pipeline()
                .addLast(
                        new TerminalHandler() {
                            @Override
                            public void channelRead(ChannelHandlerContext ctx, Object message) {
                                NioSocketChannel client = (NioSocketChannel) message;
                                client.config()
                                        .setTcpNoDelay(true)
                                        .setWriteBufferWaterMark(writeBufferLimits);
                                client.pipeline().addLast(handlers.get());
                                loop.register(client)
                                        .addListener(
                                                done -> {
                                                    if (!done.isSuccess()) {
                                                        client.unsafe().closeForcibly();
                                                    }
                                                });
                            }

                            @Override
                            public void exceptionCaught(
                                    ChannelHandlerContext ctx, Throwable cause) {
                                // Out of file descriptors: accept pending connections after a
                                // pause instead of retrying in a tight loop.
                                Channel channel = ctx.channel();
                                if (channel.config().isAutoRead()) {
                                    channel.config().setAutoRead(false);
                                    loop.schedule(
                                            () -> channel.config().setAutoRead(true),
                                            1,
                                            TimeUnit.SECONDS);
                                }
                                ctx.fireExceptionCaught(cause);
                            }
                        });
        ChannelFuture registered = loop.register(server);
        return registered.isSuccess() ? server.bind(address) : registered;
    }
}
