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

/** The listener for clients and its connected clients. */
public final class ClientListener {

    /**
     * A connection without an open transaction may be closed after 2 s, as documented for clients;
     * in connect timeouts.
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

    /** Rejected clients, which stay only until they have read the error. */
    private final Set<ClientConnection> rejected = new LinkedHashSet<>();

    /** Clients without an accepted query so far, oldest connection first. */
    private final Set<ClientConnection> newClients = new LinkedHashSet<>();

    /** Clients with at least one accepted query, least recently answered first. */
    private final Set<ClientConnection> activeClients = new LinkedHashSet<>();

    /** Connections with unprocessed data, in the order in which it was read. */
    private final ArrayDeque<ClientConnection> queue = new ArrayDeque<>();

    private boolean turnScheduled;

    /** Bytes of incomplete messages buffered for all clients. */
    private long bufferedBytes;

    private Channel serverChannel;

    /** Null if clients are not authenticated. */
    ClientAuthenticator authenticator;

    private boolean shuttingDown;

    /**
     * @param maxClients maximum number of connected clients
     * @param maxActiveClients maximum number of clients with an accepted query
     * @param maxBufferedBytes maximum number of bytes of incomplete messages for all clients
     * @param connectTimeout how long a rejected client may take to read the error; other client
     *     timeouts are multiples of it
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
        loop.scheduleWithFixedDelay(
                this::closeExpired, connectTimeoutNanos, connectTimeoutNanos, TimeUnit.NANOSECONDS);
    }

    /** Enables authentication; called before the listener opens. */
    public void setAuthenticator(ClientAuthenticator newAuthenticator) {
        authenticator = newAuthenticator;
    }

    /** Binds the listener to the address. */
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
     * Queues a client with unprocessed data. The queue is processed after all ready sockets have
     * been read, so that member list updates and node responses take precedence over new queries.
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
            // Not execute(), whose task would run before the next select.
            loop.schedule(this::processQueue, 0, TimeUnit.NANOSECONDS);
        }
    }

    void clientConnected(ClientConnection client) {
        counters.accepted++;
        counters.clientConnections++;
        newClients.add(client);
        evictIfFull();
    }

    /**
     * Closes the sending side now, and the connection once the client has had time to read the
     * error.
     */
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

    /** Removes the client from its set; the only place where the client count decreases. */
    private boolean remove(ClientConnection client) {
        boolean removed =
                rejected.remove(client)
                        || newClients.remove(client)
                        || activeClients.remove(client);
        counters.clientConnections -= removed ? 1 : 0;
        return removed;
    }

    private void close(ClientConnection client) {
        remove(client);
        client.close();
    }

    /**
     * Records an accepted query. Active clients hold at most a third of all descriptors, even if
     * they query once and stay connected: close to that limit the longest-idle client is closed for
     * the next one.
     */
    void queryAccepted(ClientConnection client) {
        if (newClients.remove(client)) {
            activeClients.add(client);
            ClientConnection evicted =
                    activeClients.size() >= maxActiveClients
                            ? firstMatching(activeClients, ClientConnection::isIdle)
                            : null;
            if (evicted != null) {
                close(evicted);
            }
        }
    }

    /** Records that the client's response was sent. */
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
     * Adjusts the number of buffered bytes. Above the limit, clients with incomplete messages are
     * closed, so that messages that are never completed cannot exhaust the memory.
     */
    void bufferedBytesChanged(long additionalBytes) {
        bufferedBytes += additionalBytes;
        if (additionalBytes > 0 && bufferedBytes > maxBufferedBytes) {
            for (Set<ClientConnection> clients : List.of(newClients, activeClients)) {
                for (ClientConnection client : List.copyOf(clients)) {
                    if (bufferedBytes > maxBufferedBytes / 2
                            && !client.responsePending()
                            && !client.isBetweenQueries()) {
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
     * Closes one client at the limit, so that one more can always connect: first a rejected client,
     * then a new client that had time to send a query or belongs to a majority of new clients, then
     * the longest-idle active client. If none qualifies, accepting pauses and connections remain in
     * the backlog. Otherwise hundreds of connections without a complete query would lock out
     * regular clients.
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
                                                    && (newClientsPrevail
                                                            || client.waitedNanos()
                                                                    > connectTimeoutNanos));
            evicted =
                    evicted != null
                            ? evicted
                            : firstMatching(activeClients, ClientConnection::isIdle);
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
     * Closes expired clients: new clients and incomplete messages have a time limit, and idle
     * clients are closed once more than half of the connections are in use.
     */
    private void closeExpired() {
        if (authenticator != null) {
            authenticator.tick();
            List.copyOf(activeClients).forEach(ClientConnection::revalidateSession);
            List.copyOf(newClients).forEach(ClientConnection::revalidateSession);
        }
        for (Set<ClientConnection> clients : List.of(newClients, activeClients)) {
            for (ClientConnection client : List.copyOf(clients)) {
                boolean mayStayIdle =
                        clients == activeClients
                                && client.isBetweenQueries()
                                && size() <= maxClients / 2;
                if (!client.responsePending()
                        && !mayStayIdle
                        && client.waitedNanos() > IDLE_CONNECT_TIMEOUTS * connectTimeoutNanos) {
                    close(client);
                }
            }
        }
    }

    /** Returns whether new queries are declined; see ClientConnection.handleQuery(). */
    boolean shuttingDown() {
        return shuttingDown;
    }

    /** Stops accepting clients; connected clients are closed once they are answered. */
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

    /** Closes idle clients and returns whether none is left; called after beginShutdown(). */
    public boolean closeIdleAndCheckEmpty() {
        closeIdle();
        return size() == 0;
    }
}
