package dillfront.simulation.processes;

import dillfront.common.network.Sockets;
import dillfront.common.network.TerminalHandler;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannelConfig;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Where all stand-ins of a rig play: one thread, so that what happens has one order, and a record
 * of it that the auditor reads. Buffers are not pooled: what is measured in the same process counts
 * pooled ones.
 */
public final class TestHarness implements AutoCloseable {

    /**
     * What has not come by then never comes: far beyond any time that a machine under load may
     * take.
     */
    private static final long TIMEOUT_MS = 30_000;

    /**
     * Where stand-ins listen. Connections come from 127.0.0.1: none of them takes the port of a
     * door that is shut for a while.
     */
    public static final String HOST = "127.0.0.2";

    private final NioEventLoopGroup loopGroup = new NioEventLoopGroup(1, TestHarness::newThread);
    private final EventLoop loop = loopGroup.next();
    private final long startNanos = System.nanoTime();

    /** All that happened, in its order; on the loop. Ends with the rig. */
    private final List<Event> events = new ArrayList<>();

    private final Map<String, Long> acknowledgedGeneration = new HashMap<>();

    /**
     * Who is behind a connection, by both its ports, as one port may serve to several places;
     * emptied as they close.
     */
    private final Map<Long, String> connectionOwner = new HashMap<>();

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "stage");
        thread.setDaemon(true);
        return thread;
    }

    public EventLoop loop() {
        return loop;
    }

    /** Nanoseconds since the stage was set. */
    public long nowNanos() {
        return System.nanoTime() - startNanos;
    }

    /** On the loop. */
    void recordEvent(Event event) {
        events.add(event);
        if (event instanceof Event.ListAcknowledged acknowledged) {
            acknowledgedGeneration.put(acknowledged.subscription(), acknowledged.generation());
        }
    }

    /**
     * On the loop: what this life has last shown to have read at this agent, {@code r1#2<a0};
     * negative where nothing.
     */
    long acknowledgedGeneration(String subscription) {
        return acknowledgedGeneration.getOrDefault(subscription, -1L);
    }

    /**
     * On the loop: this connection, open on our side, is one of whoever is named; null once it is
     * over.
     */
    void connectionOwner(int clientPort, int serverPort, String owner) {
        if (owner == null) {
            connectionOwner.remove(portPair(clientPort, serverPort));
        } else {
            connectionOwner.put(portPair(clientPort, serverPort), owner);
        }
    }

    private static long portPair(int clientPort, int serverPort) {
        return (long) clientPort << 16 | serverPort;
    }

    /** On the loop: who is behind one that was accepted; its port where nobody is known. */
    String connectionOwner(Channel accepted) {
        int clientPort = ((InetSocketAddress) accepted.remoteAddress()).getPort();
        return connectionOwner.getOrDefault(
                portPair(clientPort, port(accepted)), "port-" + clientPort);
    }

    /** On the loop: what happened so far, in its order. */
    void forEachEvent(Consumer<Event> consumer) {
        events.forEach(consumer);
    }

    /** On the loop: how many statements of this life of a router the node has read so far. */
    long statementsReceived(String incarnation, String node) {
        return events.stream()
                .filter(
                        event ->
                                event instanceof Event.StatementReceived statement
                                        && statement.incarnation().equals(incarnation)
                                        && statement.node().equals(node))
                .count();
    }

    /** On the loop: how many statements that write this node has read so far. */
    long writesReceived(String node) {
        return events.stream()
                .filter(
                        event ->
                                event instanceof Event.StatementReceived statement
                                        && statement.node().equals(node)
                                        && TransactionMix.type(statement.type()).isWrite())
                .count();
    }

    /** A copy of what happened so far. */
    public List<Event> events() {
        return call(() -> List.copyOf(events));
    }

    /** Done on the loop; returns once it is. */
    public <T> T call(Callable<T> task) {
        if (loop.inEventLoop()) {
            try {
                return task.call();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }
        try {
            return loop.submit(task).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Runs this on the stage's event loop and waits for it. */
    public void run(Runnable task) {
        call(
                () -> {
                    task.run();
                    return null;
                });
    }

    /** Waits until this is so, as looked at on the loop; not for how long, but for what. */
    public void await(String description, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        while (!call(condition::getAsBoolean)) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IllegalStateException("it never came that " + description);
            }
            sleepBriefly();
        }
    }

    /**
     * On the loop: done once all sockets that are ready now have been read. What a process had
     * written before a word of its own that was just read lies in some socket here by then, as
     * loopback delivers at once.
     */
    void afterNextPoll(Runnable task) {
        loop.schedule(() -> loop.schedule(task, 0, TimeUnit.NANOSECONDS), 0, TimeUnit.NANOSECONDS);
    }

    /**
     * A door on loopback; port 0 asks for one. Off the loop: one that was just shut lets go of its
     * port only as the loop next looks at its sockets, so a port that is taken is tried again.
     */
    Channel listen(int port, Supplier<TerminalHandler> handlerFactory) {
        long deadlineNanos = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        while (true) {
            ChannelFuture bound =
                    call(
                            () ->
                                    Sockets.listen(
                                            loop,
                                            localAddress(port),
                                            1024,
                                            WriteBufferWaterMark.DEFAULT,
                                            () -> new UnpooledInitializer(handlerFactory.get())));
            bound.awaitUninterruptibly(TIMEOUT_MS);
            if (bound.isSuccess()) {
                return bound.channel();
            }
            if (!(bound.cause() instanceof BindException)
                    || System.nanoTime() - deadlineNanos > 0) {
                throw new IllegalStateException("port " + port, bound.cause());
            }
            sleepBriefly();
        }
    }

    /** Between two looks at what is awaited. */
    static void sleepBriefly() {
        try {
            Thread.sleep(1);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Ends a connection as a machine does that knows nothing of it. */
    static void resetConnection(Channel channel) {
        try {
            ((SocketChannelConfig) channel.config()).setSoLinger(0);
        } catch (ChannelException e) {
            // The other side has ended it in this moment.
        }
        channel.close();
    }

    static int port(Channel channel) {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /**
     * A loopback address of its own, with a port that nobody listens on now. Nothing else in a rig
     * uses that address, so that none of its many connections takes the port while a process is
     * down.
     */
    static InetSocketAddress freeAddress(int number) {
        String host = "127.0.1." + (1 + number);
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return new InetSocketAddress(host, socket.getLocalPort());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static InetSocketAddress localAddress(int port) {
        return new InetSocketAddress(HOST, port);
    }

    @Override
    public void close() {
        loopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(TIMEOUT_MS);
    }

    /**
     * Has the channel use buffers of its own before anything is read, then leaves it to the handler
     * meant.
     */
    private static final class UnpooledInitializer extends TerminalHandler {

        private final TerminalHandler delegate;

        UnpooledInitializer(TerminalHandler delegate) {
            this.delegate = delegate;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            ctx.channel().config().setAllocator(UnpooledByteBufAllocator.DEFAULT);
            ctx.pipeline().replace(this, null, delegate);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object read) {}

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {}
    }
}
