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
public final class Relay {

    private Relay() {}

    /** Relays connections byte for byte; the arguments are the two addresses. */
    public static void main(String[] args) throws Exception {
        String config =
                Files.readString(Path.of(System.getenv("LB_CONFIG")), StandardCharsets.US_ASCII);
        InetSocketAddress listen = address(config, "\"listen\":\"");
        InetSocketAddress node = address(config, "\"hostPort\":\"");
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
                                                .handler(new Passing(client))
                                                .connect(node)
                                                .addListener(
                                                        done -> client.config().setAutoRead(true))
                                                .channel();
                                client.pipeline().addLast(new Passing(server));
                            }
                        })
                .bind(listen)
                .sync()
                .channel()
                .closeFuture()
                .sync();
    }

    private static InetSocketAddress address(String config, String after) {
        int from = config.indexOf(after) + after.length();
        String[] parts = config.substring(from, config.indexOf('"', from)).split(":");
        return new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
    }

    private static final class Passing extends ChannelInboundHandlerAdapter {

        private final Channel other;

        Passing(Channel other) {
            this.other = other;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            other.writeAndFlush(bytes);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            other.close();
        }
    }
}
