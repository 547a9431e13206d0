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
 * Runs all simulated components of a rig on one event loop, which gives their events one order, and
 * records the events for {@link InvariantChecker}. Buffers are unpooled, because memory
 * measurements in the same process count pooled ones.
 */
public final class TestHarness implements AutoCloseable {

    /**
     * An event that has not occurred by then counts as missing. Far beyond any delay of a loaded
     * machine.
     */
    private static final long TIMEOUT_MS = 30_000;

    /**
     * Address at which simulated components listen. Connections originate from 127.0.0.1, so none
     * of them takes the port of a listener that is closed for a while.
     */
    public static final String HOST = "127.0.0.2";

    private final NioEventLoopGroup loopGroup = new NioEventLoopGroup(1, TestHarness::newThread);
    private final EventLoop loop = loopGroup.next();
    private final long startNanos = System.nanoTime();

    /**
     * All events in order. Accessed on the loop only. Never trimmed, as the harness ends with its
     * rig.
     */
    private final List<Event> events = new ArrayList<>();

    private final Map<String, Long> acknowledgedGeneration = new HashMap<>();

    /**
     * Owner of each open connection, by both ports, as one local port may connect to several
     * targets.
     */
    private final Map<Long, String> connectionOwner = new HashMap<>();

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "test-harness");
        thread.setDaemon(true);
        return thread;
    }

    public EventLoop loop() {
        return loop;
    }

    /** Returns the nanoseconds since the harness was created. */
    public long nowNanos() {
        return System.nanoTime() - startNanos;
    }

    /** Records an event. Call on the loop. */
    void recordEvent(Event event) {
        events.add(event);
        if (event instanceof Event.ListAcknowledged acknowledged) {
            acknowledgedGeneration.put(acknowledged.subscription(), acknowledged.generation());
        }
    }

    /**
     * Returns the latest generation that this subscription, {@code r1#2<a0}, has acknowledged, or a
     * negative number if none. Call on the loop.
     */
    long acknowledgedGeneration(String subscription) {
        return acknowledgedGeneration.getOrDefault(subscription, -1L);
    }

    /**
     * Registers the owner of an open connection, or removes it if {@code owner} is null. Call on
     * the loop.
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

    /**
     * Returns the owner of an accepted connection, or its port if the owner is unknown. Call on the
     * loop.
     */
    String connectionOwner(Channel accepted) {
        int clientPort = ((InetSocketAddress) accepted.remoteAddress()).getPort();
        return connectionOwner.getOrDefault(
                portPair(clientPort, port(accepted)), "port-" + clientPort);
    }

    /** Passes all events so far to the consumer, in order. Call on the loop. */
    void forEachEvent(Consumer<Event> consumer) {
        events.forEach(consumer);
    }

    /**
     * Returns how many statements of this router incarnation the node has received. Call on the
     * loop.
     */
    long statementsReceived(String incarnation, String node) {
        return events.stream()
                .filter(
                        event ->
                                event instanceof Event.StatementReceived statement
                                        && statement.incarnation().equals(incarnation)
                                        && statement.node().equals(node))
                .count();
    }

    /** Returns how many write statements this node has received. Call on the loop. */
    long writesReceived(String node) {
        return events.stream()
                .filter(
                        event ->
                                event instanceof Event.StatementReceived statement
                                        && statement.node().equals(node)
                                        && TransactionMix.type(statement.type()).isWrite())
                .count();
    }

    /** Returns a copy of all events so far. */
    public List<Event> events() {
        return call(() -> List.copyOf(events));
    }

    /** Runs the task on the loop and returns its result. */
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

    /** Runs the task on the loop and waits for its end. */
    public void run(Runnable task) {
        call(
                () -> {
                    task.run();
                    return null;
                });
    }

    /** Waits until the condition, evaluated on the loop, is true; throws after 30 s. */
    public void await(String description, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        while (!call(condition::getAsBoolean)) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IllegalStateException("timed out waiting until " + description);
            }
            sleepBriefly();
        }
    }

    /**
     * Runs the task once all sockets that are readable now have been read. As loopback delivers at
     * once, that includes everything a process had written before the message just read. Call on
     * the loop.
     */
    void afterNextPoll(Runnable task) {
        loop.schedule(() -> loop.schedule(task, 0, TimeUnit.NANOSECONDS), 0, TimeUnit.NANOSECONDS);
    }

    /**
     * Opens a listener on loopback; port 0 picks a free one. Call off the loop: a closed listener
     * releases its port only at the loop's next poll, so binding to a port in use is retried.
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
                throw new IllegalStateException("cannot listen on port " + port, bound.cause());
            }
            sleepBriefly();
        }
    }

    /** Sleeps 1 ms between two evaluations of a condition. */
    static void sleepBriefly() {
        try {
            Thread.sleep(1);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Resets a connection, as a machine without its state does. */
    static void resetConnection(Channel channel) {
        try {
            ((SocketChannelConfig) channel.config()).setSoLinger(0);
        } catch (ChannelException e) {
            // The peer closed the connection at the same time.
        }
        channel.close();
    }

    static int port(Channel channel) {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /**
     * Returns a loopback address with a free port. No other component of a rig uses that address,
     * so no connection takes the port while a process is down.
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
     * Gives the channel unpooled buffers before the first read, then replaces itself by the actual
     * handler.
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
