package dillfront.benchmark;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Passes bytes on between each client and one node, and looks at nothing: what the sockets alone
 * cost. Configured as a router is, by the file that LB_CONFIG names, of which it reads two
 * addresses.
 */
public final class TcpRelay {

    private TcpRelay() {}

    /** Relays connections byte for byte; the arguments are the two addresses. */
    public static void main(String[] args) throws Exception {
        String config =
                Files.readString(Path.of(System.getenv("LB_CONFIG")), StandardCharsets.US_ASCII);
        InetSocketAddress listen = parseAddress(config, "\"listen\":\"");
        InetSocketAddress node = parseAddress(config, "\"hostPort\":\"");
        NioEventLoopGroup loop = new NioEventLoopGroup(1);
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(
                        new ChannelInitializer<NioSocketChannel>() {
                            @Override
                            protected void initChannel(NioSocketChannel client) {
                                Channel server =
                                        new Bootstrap()
                                                .group(loop)
                                                .channel(NioSocketChannel.class)
                                                .option(ChannelOption.TCP_NODELAY, true)
                                                .handler(new ForwardingHandler(client))
                                                .connect(node)
                                                .addListener(
                                                        connected ->
                                                                client.config().setAutoRead(true))
                                                .channel();
                                client.pipeline().addLast(new ForwardingHandler(server));
                            }
                        })
                .bind(listen)
                .sync()
                .channel()
                .closeFuture()
                .sync();
    }

    private static InetSocketAddress parseAddress(String config, String prefix) {
        int start = config.indexOf(prefix) + prefix.length();
        String[] parts = config.substring(start, config.indexOf('"', start)).split(":");
        return new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
    }

    private static final class ForwardingHandler extends ChannelInboundHandlerAdapter {

        private final Channel target;

        ForwardingHandler(Channel target) {
            this.target = target;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            target.writeAndFlush(bytes);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            target.close();
        }
    }
}
