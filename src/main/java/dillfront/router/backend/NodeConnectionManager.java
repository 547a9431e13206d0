package dillfront.router.backend;

import dillfront.common.logging.Counters;
import dillfront.common.logging.Log;
import dillfront.router.config.MonotonicClock;
import dillfront.router.config.RouterSettings;
import dillfront.router.exchange.Exchange;
import dillfront.router.exchange.Submitter;
import dillfront.router.pace.LoopLagMonitor;
import dillfront.router.pgwire.Messages;
import dillfront.routing.api.NodeReport;
import dillfront.routing.api.NodeRole;
import dillfront.routing.api.SubmissionResult;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Manages all nodes, by member list index, and the connections to them. */
public final class NodeConnectionManager implements Submitter {

    /** Receives the results of health probes. */
    public interface ProbeListener {
        void probeCompleted(int node, boolean answered, NodeReport report);
    }

    /**
     * Calls back on the event loop with true once all pending state is persisted, or with false if
     * that fails.
     */
    public interface PersistenceBarrier {
        void whenPersisted(Consumer<Boolean> then);
    }

    /**
     * Maximum time that a submission waits for persistence, in connect timeouts; after that it ends
     * as unsent.
     */
    private static final int PERSIST_CONNECT_TIMEOUTS = 1;

    RouterSettings settings;
    final MonotonicClock clock;
    final LoopLagMonitor loopLag;
    final Counters counters;
    final Log log;

    /**
     * Delay before a connection is reused; TCP delayed acknowledgements hold back data that follows
     * a response by 40 ms.
     */
    final long reuseDelayNanos;

    /** Maximum length of one node message. */
    final int maxMessageBytes;

    final EventLoop loop;
    private final int maxConnections;
    private final ProbeListener listener;

    /** Pools by node index; connections of a removed node close by themselves. */
    private final List<NodeConnectionPool> pools = new ArrayList<>();

    private int openConnections;

    /** Barrier awaited before a keyed transaction is sent; null if nothing is persisted. */
    private PersistenceBarrier persistenceBarrier;

    /** Reads pending data from discovery; see readDiscovery(). */
    private Runnable discoveryReader = () -> {};

    private long lastDiscoveryReadNanos;

    /**
     * @param maxConnections maximum number of open connections
     * @param maxMessageBytes maximum length of one node message
     */
    public NodeConnectionManager(
            RouterSettings settings,
            MonotonicClock clock,
            LoopLagMonitor loopLag,
            Counters counters,
            Log log,
            EventLoop loop,
            int maxConnections,
            int maxMessageBytes,
            ProbeListener listener) {
        this.settings = settings;
        this.clock = clock;
        this.loopLag = loopLag;
        this.counters = counters;
        this.log = log;
        this.loop = loop;
        this.maxConnections = maxConnections;
        this.maxMessageBytes = maxMessageBytes;
        this.listener = listener;
        reuseDelayNanos = settings.routing().connectTimeout().toNanos() / 4;
        Duration interval = settings.routing().connectTimeout();
        loop.scheduleWithFixedDelay(
                this::closeExpired, interval.toNanos(), interval.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Applies new settings to later sends; the reuse delay and the interval of the expiry check
     * stay as at the start.
     */
    public void applySettings(RouterSettings newSettings) {
        settings = newSettings;
    }

    /** Sets the barrier that keyed transactions await before they are sent. */
    public void persistenceBarrier(PersistenceBarrier barrier) {
        persistenceBarrier = barrier;
    }

    public void discoveryReader(Runnable reader) {
        discoveryReader = reader;
        lastDiscoveryReadNanos = System.nanoTime() - settings.routing().clockStep().toNanos();
    }

    /**
     * Ensures before a send that discovery's data was read within the last clock step, unless the
     * lag monitor confirms that all sockets were read within a tick, even across pauses of the loop
     * or the machine. After a pause all sockets are ready at once and discovery's is one of
     * hundreds, so a send could otherwise overtake an unread drain.
     */
    void readDiscovery() {
        if (loopLag.isSocketDataRead(clock.now())) {
            return;
        }
        long now = System.nanoTime();
        if (now - lastDiscoveryReadNanos >= settings.routing().clockStep().toNanos()) {
            lastDiscoveryReadNanos = now;
            discoveryReader.run();
        }
    }

    /**
     * Updates a node from the member list; idle connections to an old address or process are
     * closed.
     */
    public void updateNode(int node, InetSocketAddress address, long startedMs) {
        while (pools.size() <= node) {
            pools.add(new NodeConnectionPool(this, pools.size()));
        }
        NodeConnectionPool pool = pools.get(node);
        pool.address = address;
        pool.nodeStartedMs = startedMs;
        for (NodeConnection connection : List.copyOf(pool.idle)) {
            if (!connection.isUsable()) {
                connection.close();
            }
        }
    }

    /**
     * Removes a node that has left the member list and has nothing in flight; its index may be
     * reassigned.
     */
    public void removeNode(int node) {
        pools.get(node).address = null;
        pools.get(node).closeIdle();
        pools.set(node, new NodeConnectionPool(this, node));
    }

    @Override
    public void submit(Exchange exchange, int node, Duration timeout) {
        exchange.submitted();
        Submission submission = new Submission(pools.get(node), exchange, timeout);
        if (persistenceBarrier == null || exchange.key() == 0) {
            start(submission, timeout);
        } else {
            startAfterPersist(submission, timeout);
        }
    }

    /**
     * Sends the submission once its key is persisted, if it is still valid then. Without the wait a
     * power loss could erase the record of a write that was sent.
     */
    private void startAfterPersist(Submission submission, Duration timeout) {
        loop.execute(
                () -> {
                    long maxWaitNanos =
                            Math.min(
                                    timeout.toNanos(),
                                    PERSIST_CONNECT_TIMEOUTS
                                            * settings.routing().connectTimeout().toNanos());
                    counters.timers++;
                    submission.timeout =
                            loop.schedule(
                                    () -> submission.end(SubmissionResult.UNSENT),
                                    maxWaitNanos,
                                    TimeUnit.NANOSECONDS);
                    persistenceBarrier.whenPersisted(
                            persisted -> {
                                if (submission.ended) {
                                    return;
                                }
                                long remainingNanos =
                                        timeout.toNanos()
                                                - (System.nanoTime() - submission.startedNanos);
                                if (!persisted || remainingNanos <= 0) {
                                    submission.end(SubmissionResult.UNSENT);
                                    return;
                                }
                                submission.timeout.cancel(false);
                                counters.timers--;
                                submission.timeout = null;
                                dispatch(submission, Duration.ofNanos(remainingNanos));
                            });
                });
    }

    @Override
    public void probe(int node) {
        counters.probes++;
        start(new HealthProbe(pools.get(node)), settings.routing().connectTimeout());
    }

    /**
     * Starts the request after the routing engine's call has returned: a request that ends at once
     * must not call back into the engine.
     */
    private void start(NodeRequest request, Duration timeout) {
        loop.execute(() -> dispatch(request, timeout));
    }

    private void dispatch(NodeRequest request, Duration timeout) {
        counters.timers++;
        request.timeout =
                loop.schedule(() -> onTimeout(request), timeout.toNanos(), TimeUnit.NANOSECONDS);
        readDiscovery();
        NodeConnectionPool pool = request.pool;
        if (!request.isStillValid()) {
            request.end(SubmissionResult.UNSENT);
            return;
        }
        NodeConnection idle = pool.findReusable();
        if (idle != null) {
            pool.idle.remove(idle);
            idle.send(request);
            return;
        }
        if (openConnections >= maxConnections && !closeOldest()) {
            // The router's own limit; it says nothing about the node.
            request.end(SubmissionResult.UNSENT);
            return;
        }
        pool.waiting.add(request);
        if (!pool.idle.isEmpty()) {
            scheduleWaiting(pool);
        }
        new NodeConnection(pool, request).open();
    }

    /**
     * Schedules the waiting requests for when a connection freed now has passed its reuse delay.
     */
    void scheduleWaiting(NodeConnectionPool pool) {
        loop.schedule(pool::sendWaiting, reuseDelayNanos, TimeUnit.NANOSECONDS);
    }

    private void onTimeout(NodeRequest request) {
        if (request.ended) {
            return;
        }
        if (!request.finalReadDone && !loopLag.isTimeLimitValid(request.lagAtStart, clock.now())) {
            // The time limit takes effect after one more read of all sockets.
            request.finalReadDone = true;
            loop.schedule(() -> onTimeout(request), 0, TimeUnit.NANOSECONDS);
            return;
        }
        if (request.connection != null) {
            request.connection.timeOut();
        } else {
            request.pool.waiting.remove(request);
            request.end(SubmissionResult.UNREACHABLE);
        }
    }

    @Override
    public void closeIdleConnections(int node) {
        loop.execute(pools.get(node)::closeIdle);
    }

    void probeCompleted(int node, boolean answered, NodeReport report) {
        listener.probeCompleted(node, answered, report);
    }

    void connectionOpened(NodeConnection connection) {
        openConnections++;
        counters.nodeConnections++;
        counters.dialed++;
    }

    void connectionClosed(NodeConnection connection) {
        openConnections--;
        counters.nodeConnections--;
    }

    /**
     * Closes idle connections before the node does: data written to a connection that the node has
     * closed is lost.
     */
    private void closeExpired() {
        long margin = 4 * settings.routing().connectTimeout().toNanos();
        long maxIdleNanos = Math.max(settings.nodeIdleTimeout().toNanos() - margin, margin);
        long now = System.nanoTime();
        for (NodeConnectionPool pool : pools) {
            while (!pool.idle.isEmpty()
                    && now - pool.idle.peekFirst().idleSinceNanos > maxIdleNanos) {
                pool.idle.peekFirst().close();
            }
        }
    }

    /** Closes the longest-idle connection to free a descriptor; returns false if none is idle. */
    private boolean closeOldest() {
        NodeConnection oldest = null;
        for (NodeConnectionPool pool : pools) {
            NodeConnection oldestIdle = pool.idle.peekFirst();
            if (oldestIdle != null
                    && (oldest == null || oldestIdle.idleSinceNanos - oldest.idleSinceNanos < 0)) {
                oldest = oldestIdle;
            }
        }
        if (oldest != null) {
            oldest.close();
        }
        return oldest != null;
    }

    public void close() {
        pools.forEach(NodeConnectionPool::closeIdle);
    }

    /** Parses a position; decimal digits are parsed in place, any other form as text. */
    Duration parsePosition(ByteBuf message, int offset) {
        long millis = 0;
        int end = message.writerIndex() - 1;
        for (int i = offset; i < end; i++) {
            int digit = message.getByte(i) - '0';
            if (digit < 0 || digit > 9 || end - offset > 15) {
                return parsePosition(Messages.text(message, offset));
            }
            millis = millis * 10 + digit;
        }
        return parsePosition(millis);
    }

    /**
     * Parses a load report: x0 is the position in seconds, x1 the role as 0 or 1. Fields of digits
     * with a decimal point are parsed in place, any other form as text.
     */
    NodeReport parseReport(ByteBuf message, int offset) {
        Duration position = null;
        NodeRole role = null;
        int end = message.writerIndex() - 1;
        int i = offset;
        while (i < end) {
            int name = i;
            boolean named = true;
            while (i < end && message.getByte(i) != '=') {
                named &= message.getByte(i++) != ',';
            }
            // Value in thousandths, rounded down; further digits only set hasRemainder.
            long thousandths = 0;
            int decimalPlaces = -1;
            boolean isDecimal = named && i + 1 < end && message.getByte(i + 1) != ',';
            int length = 0;
            boolean hasRemainder = false;
            i++;
            while (i < end && message.getByte(i) != ',') {
                int digit = message.getByte(i) - '0';
                if (digit == '.' - '0' && decimalPlaces < 0) {
                    decimalPlaces = 0;
                } else if (digit < 0 || digit > 9 || length > 17) {
                    isDecimal = false;
                } else if (decimalPlaces < 3) {
                    thousandths = thousandths * 10 + digit;
                    decimalPlaces += decimalPlaces < 0 ? 0 : 1;
                } else {
                    hasRemainder |= digit > 0;
                }
                i++;
                length++;
            }
            for (int k = Math.max(decimalPlaces, 0); k < 3; k++) {
                thousandths *= 10;
            }
            boolean isKnownField =
                    isDecimal && message.getByte(name) == 'x' && message.getByte(name + 2) == '=';
            boolean isRole = isKnownField && message.getByte(name + 1) == '1';
            if (!isDecimal || isRole && (hasRemainder || thousandths != 0 && thousandths != 1000)) {
                return parseReport(Messages.text(message, offset));
            } else if (isRole) {
                role = thousandths == 1000 ? NodeRole.PRIMARY : NodeRole.REPLICA;
            } else if (isKnownField && message.getByte(name + 1) == '0') {
                position = parsePosition(thousandths - 1);
            }
            i++;
        }
        return new NodeReport(position, role);
    }

    /** Parses a position in Unix milliseconds; null if it is invalid or in the future. */
    Duration parsePosition(String text) {
        try {
            return parsePosition(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return null;
        }
    }

    private Duration parsePosition(long millis) {
        return millis <= 0
                        || millis
                                > clock.unixMillis()
                                        + settings.routing().connectTimeout().toMillis()
                ? null
                : clock.sinceStart(millis);
    }

    /**
     * Parses a load report from text. Its position is rounded by its writer to at most a
     * millisecond, so the lower bound is used. A report that is malformed anywhere is discarded,
     * since its role could not be trusted.
     */
    NodeReport parseReport(String text) {
        Duration position = null;
        NodeRole role = null;
        try {
            for (String field : text.split(",")) {
                String[] named = field.trim().split("=", 2);
                double value = Double.parseDouble(named.length < 2 ? "" : named[1]);
                if (!Double.isFinite(value) || named[0].equals("x1") && value != 0 && value != 1) {
                    throw new NumberFormatException();
                } else if (named[0].equals("x1")) {
                    role = value == 1 ? NodeRole.PRIMARY : NodeRole.REPLICA;
                } else if (named[0].equals("x0")) {
                    position = parsePosition((long) Math.floor(value * 1000 - 1));
                }
            }
        } catch (NumberFormatException e) {
            log.warn(
                    "report-out-of-form", "report", text.substring(0, Math.min(text.length(), 80)));
            return NodeReport.EMPTY;
        }
        return new NodeReport(position, role);
    }
}
