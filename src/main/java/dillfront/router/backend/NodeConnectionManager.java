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

/** All nodes, by the indices that the list gave them, and all connections to them. */
public final class NodeConnectionManager implements Submitter {

    /** Where the word of a probe goes. */
    public interface ProbeListener {
        void probeCompleted(int node, boolean answered, NodeReport report);
    }

    /**
     * Who tells, on the loop, once all that was to be kept is; or, with false, that it cannot be.
     */
    public interface PersistenceBarrier {
        void whenPersisted(Consumer<Boolean> then);
    }

    /**
     * A submission waits so long at the most to be kept, in dial time-outs; then it has never been
     * sent.
     */
    private static final int PERSIST_CONNECT_TIMEOUTS = 1;

    RouterSettings settings;
    final MonotonicClock clock;
    final LoopLagMonitor loopLag;
    final Counters counters;
    final Log log;

    /** A peer that acknowledges late holds back what comes behind an answer by 40 ms. */
    final long reuseDelayNanos;

    /** Of one message of a node. */
    final int maxMessageBytes;

    final EventLoop loop;
    private final int maxConnections;
    private final ProbeListener listener;

    /** One a node index; what was opened for a node that is forgotten closes by itself. */
    private final List<NodeConnectionPool> pools = new ArrayList<>();

    private int openConnections;

    /** What has to be kept before a txn with a key is sent; null where nothing is. */
    private PersistenceBarrier persistenceBarrier;

    /** Reads what discovery has written: see look(). */
    private Runnable discoveryReader = () -> {};

    private long lastDiscoveryReadNanos;

    /**
     * @param maxConnections how many connections may be open at once
     * @param maxMessageBytes how many bytes one message of a node may have
     */
    public NodeConnectionManager(
            RouterSettings setup,
            MonotonicClock clock,
            LoopLagMonitor loopLag,
            Counters counters,
            Log log,
            EventLoop loop,
            int maxConnections,
            int maxMessageBytes,
            ProbeListener listener) {
        this.settings = setup;
        this.clock = clock;
        this.loopLag = loopLag;
        this.counters = counters;
        this.log = log;
        this.loop = loop;
        this.maxConnections = maxConnections;
        this.maxMessageBytes = maxMessageBytes;
        this.listener = listener;
        reuseDelayNanos = setup.routing().connectTimeout().toNanos() / 4;
        Duration interval = setup.routing().connectTimeout();
        loop.scheduleWithFixedDelay(
                this::closeExpired, interval.toNanos(), interval.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * For what is sent from now on; what rests and how often old connections are looked for stays
     * as at the start.
     */
    public void applySettings(RouterSettings newSettings) {
        settings = newSettings;
    }

    /** From now on what carries a key is kept before it is sent. */
    public void persistenceBarrier(PersistenceBarrier barrier) {
        persistenceBarrier = barrier;
    }

    public void discoveryReader(Runnable reader) {
        discoveryReader = reader;
        lastDiscoveryReadNanos = System.nanoTime() - settings.routing().clockStep().toNanos();
    }

    /**
     * Before anything is sent: the news were looked at within the last step of the clock, unless
     * the pace is sure that all sockets were within a beat, whatever the loop or the machine did
     * meanwhile. Guards against a send that overtakes a drain which lies unread: after a pause all
     * sockets are ready at once, and discovery's is one among hundreds.
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
     * What the list says of a node: old connections are not used for a new address or a new
     * process.
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
     * The node has left the list and nothing is out there: its index may name another from now on.
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
     * Guards against a write that nobody remembers after a loss of power: it goes once it is kept,
     * if it still stands then.
     */
    private void startAfterPersist(Submission submission, Duration timeout) {
        loop.execute(
                () -> {
                    long maxWaitNanos =
                            Math.min(
                                    timeout.toNanos(),
                                    PERSIST_CONNECT_TIMEOUTS * settings.routing().connectTimeout().toNanos());
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
     * Only once the module has returned: what ends at once must not reach it within its own call.
     */
    private void start(NodeRequest request, Duration timeout) {
        loop.execute(() -> dispatch(request, timeout));
    }

    private void dispatch(NodeRequest request, Duration timeout) {
        counters.timers++;
        request.timeout = loop.schedule(() -> onTimeout(request), timeout.toNanos(), TimeUnit.NANOSECONDS);
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
            // This router's own limit, and no word on the node.
            request.end(SubmissionResult.UNSENT);
            return;
        }
        pool.waiting.add(request);
        if (!pool.idle.isEmpty()) {
            scheduleWaiting(pool);
        }
        new NodeConnection(pool, request).open();
    }

    /** One that is free now will have rested then. */
    void scheduleWaiting(NodeConnectionPool pool) {
        loop.schedule(pool::sendWaiting, reuseDelayNanos, TimeUnit.NANOSECONDS);
    }

    private void onTimeout(NodeRequest request) {
        if (request.ended) {
            return;
        }
        if (!request.finalReadDone && !loopLag.isTimeLimitValid(request.lagAtStart, clock.now())) {
            // After the next look at all sockets.
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

    /** Before the node does: what is written to a connection that it has closed is lost. */
    private void closeExpired() {
        long margin = 4 * settings.routing().connectTimeout().toNanos();
        long maxIdleNanos = Math.max(settings.nodeIdleTimeout().toNanos() - margin, margin);
        long now = System.nanoTime();
        for (NodeConnectionPool pool : pools) {
            while (!pool.idle.isEmpty() && now - pool.idle.peekFirst().idleSinceNanos > maxIdleNanos) {
                pool.idle.peekFirst().close();
            }
        }
    }

    /** Makes room under the limit of descriptors. */
    private boolean closeOldest() {
        NodeConnection oldest = null;
        for (NodeConnectionPool pool : pools) {
            NodeConnection oldestIdle = pool.idle.peekFirst();
            if (oldestIdle != null && (oldest == null || oldestIdle.idleSinceNanos - oldest.idleSinceNanos < 0)) {
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

    /** The ordinary form, digits alone, is read in place. */
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
     * A load report in its ordinary form, fields of digits with a point, is read in place: x0 in
     * seconds, x1 as 0 or 1. Whatever else it may be is read as a text.
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
            // In thousandths, rounded down; what comes behind those is dropped.
            long thousandths = 0;
            int places = -1;
            boolean isDecimal = named && i + 1 < end && message.getByte(i + 1) != ',';
            int length = 0;
            boolean hasRemainder = false;
            i++;
            while (i < end && message.getByte(i) != ',') {
                int digit = message.getByte(i) - '0';
                if (digit == '.' - '0' && places < 0) {
                    places = 0;
                } else if (digit < 0 || digit > 9 || length > 17) {
                    isDecimal = false;
                } else if (places < 3) {
                    thousandths = thousandths * 10 + digit;
                    places += places < 0 ? 0 : 1;
                } else {
                    hasRemainder |= digit > 0;
                }
                i++;
                length++;
            }
            for (int k = Math.max(places, 0); k < 3; k++) {
                thousandths *= 10;
            }
            boolean isKnownField = isDecimal && message.getByte(name) == 'x' && message.getByte(name + 2) == '=';
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

    /** A position in Unix milliseconds; null where it is none, as one that is still to come. */
    Duration parsePosition(String text) {
        try {
            return parsePosition(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return null;
        }
    }

    private Duration parsePosition(long millis) {
        return millis <= 0 || millis > clock.unixMillis() + settings.routing().connectTimeout().toMillis()
                ? null
                : clock.sinceStart(millis);
    }

    /**
     * A load report: its position was rounded by its writer, to no more than a millisecond, so the
     * lower one counts. One that cannot be read whole tells nothing, least of all who is the
     * primary.
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
