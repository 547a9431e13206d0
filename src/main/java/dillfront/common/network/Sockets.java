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
 * Channels made by hand, on the one loop. Netty's bootstraps would copy themselves, look up names
 * that are numbers here, and load classes for all that at every start.
 */
public final class Sockets {

    private Sockets() {}

    /**
     * Opens one to this address; on the loop. The handler is its only one. Null where no descriptor
     * is left.
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
     * A door: each that comes gets a handler of its own; on the loop. Its channel is the future's.
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
                                // No descriptor was left: those who wait in line are let in a
                                // little later, not at once again.
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
