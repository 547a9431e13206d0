package dillfront.clients;

import dillfront.exchange.Desk;
import dillfront.log.Counters;
import dillfront.log.Log;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The door for clients, and those that are in. */
public final class Clients {

    final Desk desk;
    final Counters counters;
    final Log log;
    private final EventLoop loop;
    private final int most;
    private final Duration linger;
    /** Those that are in, the ones answered last at the end. */
    private final Set<ClientConnection> in = new LinkedHashSet<>();
    private Channel door;
    private boolean leaving;

    /**
     * @param most how many clients may be in at once
     * @param linger how long one that was refused may take to read why
     */
    public Clients(Desk desk, Counters counters, Log log, EventLoop loop, int most, Duration linger) {
        this.desk = desk;
        this.counters = counters;
        this.log = log;
        this.loop = loop;
        this.most = most;
        this.linger = linger;
    }

    public ChannelFuture open(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, most)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(1 << 15, 1 << 16))
                .childHandler(new ChannelInitializer<NioSocketChannel>() {
                    @Override
                    protected void initChannel(NioSocketChannel channel) {
                        channel.pipeline().addLast(new ClientConnection(Clients.this));
                    }
                }).bind(address);
        door = bound.channel();
        return bound;
    }

    void opened(ClientConnection client) {
        counters.accepted++;
        counters.clientConnections++;
        in.add(client);
        makeRoom();
    }

    /** Ends the sending side, and the whole once the client has had time to read what was sent. */
    void closeSoon(ChannelHandlerContext ctx) {
        if (ctx.channel() instanceof DuplexChannel socket && socket.isActive()) {
            socket.shutdownOutput();
        }
        loop.schedule(() -> ctx.close(), linger.toNanos(), TimeUnit.NANOSECONDS);
    }

    void closed(ClientConnection client) {
        if (in.remove(client)) {
            counters.clientConnections--;
            makeRoom();
        }
    }

    /** It has its answer. */
    void free(ClientConnection client) {
        if (in.remove(client)) {
            in.add(client);
        }
        if (leaving) {
            loop.execute(this::closeIdle);
        } else if (in.size() >= most) {
            loop.execute(this::makeRoom);
        }
    }

    /** At the limit the client that has been idle longest goes; where none is, the door waits. */
    private void makeRoom() {
        if (in.size() >= most) {
            for (ClientConnection client : in) {
                if (client.idle()) {
                    client.close();
                    break;
                }
            }
        }
        boolean open = in.size() < most;
        if (door.config().isAutoRead() != open) {
            log.info("door", "open", open, "clients", in.size());
            door.config().setAutoRead(open);
        }
    }

    /** No new clients; those that are in go once they have their answers. */
    public void leave() {
        leaving = true;
        door.close();
        closeIdle();
    }

    private void closeIdle() {
        for (ClientConnection client : List.copyOf(in)) {
            if (client.idle()) {
                client.close();
            }
        }
    }

    public boolean empty() {
        return in.isEmpty();
    }
}
