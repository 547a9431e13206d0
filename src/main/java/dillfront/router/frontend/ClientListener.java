package dillfront.router.frontend;

import dillfront.common.logging.Counters;
import dillfront.common.logging.Log;
import dillfront.common.network.Sockets;
import dillfront.router.config.MonotonicClock;
import dillfront.router.exchange.ExchangeHandler;
import dillfront.router.pace.LoopLagMonitor;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.DuplexChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** The door for clients, and those that are in. */
public final class ClientListener {

    /**
     * A connection on which nothing is open may be closed after 2 s, as clients are told; in dial
     * time-outs.
     */
    private static final int IDLE_CONNECT_TIMEOUTS = 8;

    final ExchangeHandler exchangeHandler;
    final Counters counters;
    final Log log;
    final LoopLagMonitor loopLag;
    final MonotonicClock clock;
    private final EventLoop loop;
    private final int maxClients;
    private final int maxActiveClients;
    private final long maxBufferedBytes;
    private final long connectTimeoutNanos;

    /** Refused: they get their last words and no more. */
    private final Set<ClientConnection> rejected = new LinkedHashSet<>();

    /** Nothing that they sent has been of use so far, the ones that came last at the end. */
    private final Set<ClientConnection> newClients = new LinkedHashSet<>();

    /** Those whose queries were taken, the ones answered last at the end. */
    private final Set<ClientConnection> activeClients = new LinkedHashSet<>();

    /**
     * Those of whom something was read that has not been looked at yet, in the order in which it
     * was read.
     */
    private final ArrayDeque<ClientConnection> queue = new ArrayDeque<>();

    private boolean turnScheduled;

    /** Bytes of messages that are not whole yet. */
    private long bufferedBytes;

    private Channel serverChannel;

    /** Null where all are served. */
    ClientAuthenticator authenticator;

    private boolean shuttingDown;

    /**
     * @param maxClients how many clients may be in at once
     * @param maxActiveClients of these, those whose queries were taken
     * @param maxBufferedBytes how many bytes of messages not yet whole may be held for all of them
     * @param connectTimeout how long one that was refused may take to read why; for what else they get, a
     *     multiple of it
     */
    public ClientListener(
            ExchangeHandler exchangeHandler,
            LoopLagMonitor loopLag,
            MonotonicClock clock,
            Counters counters,
            Log log,
            EventLoop loop,
            int maxClients,
            int maxActiveClients,
            long maxBufferedBytes,
            Duration connectTimeout) {
        this.exchangeHandler = exchangeHandler;
        this.loopLag = loopLag;
        this.clock = clock;
        this.counters = counters;
        this.log = log;
        this.loop = loop;
        this.maxClients = maxClients;
        this.maxActiveClients = maxActiveClients;
        this.maxBufferedBytes = maxBufferedBytes;
        connectTimeoutNanos = connectTimeout.toNanos();
        loop.scheduleWithFixedDelay(this::closeExpired, connectTimeoutNanos, connectTimeoutNanos, TimeUnit.NANOSECONDS);
    }

    /** From now on those who come are asked who they are; before the door opens. */
    public void setAuthenticator(ClientAuthenticator newAuthenticator) {
        authenticator = newAuthenticator;
    }

    /** Listens on this address. */
    public ChannelFuture open(InetSocketAddress address) {
        ChannelFuture bound =
                Sockets.listen(
                        loop,
                        address,
                        2 * maxClients,
                        new WriteBufferWaterMark(1 << 15, 1 << 16),
                        () -> new ClientConnection(this));
        serverChannel = bound.channel();
        return bound;
    }

    /**
     * Something was read of a client: it is looked at once the sockets that are ready have been, so
     * that news of the list and answers of nodes go before new queries.
     */
    void queue(ClientConnection client) {
        if (!client.queued) {
            client.queued = true;
            queue.add(client);
        }
        if (!turnScheduled) {
            turnScheduled = true;
            loop.execute(this::processQueue);
        }
    }

    private void processQueue() {
        Duration turnStart = clock.now();
        while (!queue.isEmpty() && loopLag.mayContinueTurn(turnStart, clock.now())) {
            ClientConnection next = queue.poll();
            next.queued = false;
            next.processMessages();
        }
        turnScheduled = !queue.isEmpty();
        if (turnScheduled) {
            // Not execute(): that would come before the next look at the sockets.
            loop.schedule(this::processQueue, 0, TimeUnit.NANOSECONDS);
        }
    }

    void clientConnected(ClientConnection client) {
        counters.accepted++;
        counters.clientConnections++;
        newClients.add(client);
        evictIfFull();
    }

    /** Ends the sending side, and the whole once the client has had time to read what was sent. */
    void closeAfterDelay(ClientConnection client, ChannelHandlerContext ctx) {
        if (newClients.remove(client) || activeClients.remove(client)) {
            rejected.add(client);
        }
        if (ctx.channel() instanceof DuplexChannel socket && socket.isActive()) {
            socket.shutdownOutput();
        }
        loop.schedule(() -> ctx.close(), connectTimeoutNanos, TimeUnit.NANOSECONDS);
    }

    void clientDisconnected(ClientConnection client) {
        if (remove(client)) {
            evictIfFull();
        }
    }

    /** The one place where a client ceases to count. */
    private boolean remove(ClientConnection client) {
        boolean removed = rejected.remove(client) || newClients.remove(client) || activeClients.remove(client);
        counters.clientConnections -= removed ? 1 : 0;
        return removed;
    }

    private void close(ClientConnection client) {
        remove(client);
        client.close();
    }

    /**
     * A query of its own was taken. Clients hold a third of all descriptors at the most, also for
     * those who ask once and stay: near that the one idle longest goes, so that another can come.
     */
    void queryAccepted(ClientConnection client) {
        if (newClients.remove(client)) {
            activeClients.add(client);
            ClientConnection evicted =
                    activeClients.size() >= maxActiveClients ? firstMatching(activeClients, ClientConnection::isIdle) : null;
            if (evicted != null) {
                close(evicted);
            }
        }
    }

    /** It has its answer. */
    void queryAnswered(ClientConnection client) {
        if (activeClients.remove(client)) {
            activeClients.add(client);
        }
        if (shuttingDown) {
            loop.execute(this::closeIdle);
        } else if (size() >= maxClients) {
            loop.execute(this::evictIfFull);
        }
    }

    /**
     * More or less of its messages waits than before. Guards against memory full of messages never
     * sent to their end.
     */
    void bufferedBytesChanged(long additionalBytes) {
        bufferedBytes += additionalBytes;
        if (additionalBytes > 0 && bufferedBytes > maxBufferedBytes) {
            for (Set<ClientConnection> clients : List.of(newClients, activeClients)) {
                for (ClientConnection client : List.copyOf(clients)) {
                    if (bufferedBytes > maxBufferedBytes / 2 && !client.responsePending() && !client.isBetweenQueries()) {
                        close(client);
                    }
                }
            }
        }
    }

    private int size() {
        return rejected.size() + newClients.size() + activeClients.size();
    }

    /**
     * At the limit one has to go, so that there is always room for one more: one that was refused,
     * a stranger who has had time to say something or is one of many, the client idle longest.
     * Where none is, the door waits, and what has come stays in line before it. Guards against
     * hundreds that connect, say nothing or no whole query, and would keep the usual clients out.
     */
    private void evictIfFull() {
        if (size() >= maxClients) {
            ClientConnection evicted = firstMatching(rejected, client -> true);
            boolean newClientsPrevail = newClients.size() > activeClients.size();
            evicted =
                    evicted != null
                            ? evicted
                            : firstMatching(
                                    newClients,
                                    client ->
                                            !client.responsePending()
                                                    && (newClientsPrevail || client.waitedNanos() > connectTimeoutNanos));
            evicted = evicted != null ? evicted : firstMatching(activeClients, ClientConnection::isIdle);
            if (evicted != null) {
                close(evicted);
            }
        }
        boolean accepting = size() < maxClients;
        if (!shuttingDown && serverChannel.config().isAutoRead() != accepting) {
            log.info(
                    "door",
                    "open",
                    accepting,
                    "refused",
                    rejected.size(),
                    "strangers",
                    newClients.size(),
                    "known",
                    activeClients.size());
            serverChannel.config().setAutoRead(accepting);
        }
    }

    private static ClientConnection firstMatching(
            Set<ClientConnection> candidates, Predicate<ClientConnection> condition) {
        for (ClientConnection client : candidates) {
            if (condition.test(client)) {
                return client;
            }
        }
        return null;
    }

    /**
     * Strangers have their time; so has a message to be sent to its end; who is idle goes while the
     * house is half full.
     */
    private void closeExpired() {
        if (authenticator != null) {
            authenticator.tick();
            List.copyOf(activeClients).forEach(ClientConnection::revalidateSession);
            List.copyOf(newClients).forEach(ClientConnection::revalidateSession);
        }
        for (Set<ClientConnection> clients : List.of(newClients, activeClients)) {
            for (ClientConnection client : List.copyOf(clients)) {
                boolean mayStayIdle = clients == activeClients && client.isBetweenQueries() && size() <= maxClients / 2;
                if (!client.responsePending() && !mayStayIdle && client.waitedNanos() > IDLE_CONNECT_TIMEOUTS * connectTimeoutNanos) {
                    close(client);
                }
            }
        }
    }

    /** Nothing new is taken: see ClientConnection.query(). */
    boolean shuttingDown() {
        return shuttingDown;
    }

    /** No new clients; those that are in go once they have their answers. */
    public void beginShutdown() {
        shuttingDown = true;
        serverChannel.close();
        closeIdle();
    }

    private void closeIdle() {
        for (Set<ClientConnection> clients : List.of(newClients, activeClients)) {
            for (ClientConnection client : List.copyOf(clients)) {
                if (client.isIdle()) {
                    close(client);
                }
            }
        }
    }

    /** After leave(): whether all have gone. Those whose answers are out by now go here. */
    public boolean closeIdleAndCheckEmpty() {
        closeIdle();
        return size() == 0;
    }
}
