package dillfront.router.backend;

import dillfront.common.logging.Counters;
import dillfront.common.logging.Log;
import dillfront.router.config.Clock;
import dillfront.router.config.Setup;
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
public final class Fleet implements Submitter {

    /** Where the word of a probe goes. */
    public interface Listener {
        void probed(int node, boolean answered, NodeReport report);
    }

    /**
     * Who tells, on the loop, once all that was to be kept is; or, with false, that it cannot be.
     */
    public interface Kept {
        void whenKept(Consumer<Boolean> then);
    }

    /**
     * A submission waits so long at the most to be kept, in dial time-outs; then it has never been
     * sent.
     */
    private static final int KEPT_DIALS = 1;

    Setup setup;
    final Clock clock;
    final LoopLagMonitor pace;
    final Counters counters;
    final Log log;

    /** A peer that acknowledges late holds back what comes behind an answer by 40 ms. */
    final long restNanos;

    /** Of one message of a node. */
    final int longest;

    final EventLoop loop;
    private final int most;
    private final Listener listener;

    /** One a node index; what was opened for a node that is forgotten closes by itself. */
    private final List<Pool> pools = new ArrayList<>();

    private int open;

    /** What has to be kept before a txn with a key is sent; null where nothing is. */
    private Kept kept;

    /** Reads what discovery has written: see look(). */
    private Runnable news = () -> {};

    private long lookedNanos;

    /**
     * @param most how many connections may be open at once
     * @param longest how many bytes one message of a node may have
     */
    public Fleet(
            Setup setup,
            Clock clock,
            LoopLagMonitor pace,
            Counters counters,
            Log log,
            EventLoop loop,
            int most,
            int longest,
            Listener listener) {
        this.setup = setup;
        this.clock = clock;
        this.pace = pace;
        this.counters = counters;
        this.log = log;
        this.loop = loop;
        this.most = most;
        this.longest = longest;
        this.listener = listener;
        restNanos = setup.settings().connectTimeout().toNanos() / 4;
        Duration every = setup.settings().connectTimeout();
        loop.scheduleWithFixedDelay(
                this::closeOld, every.toNanos(), every.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * For what is sent from now on; what rests and how often old connections are looked for stays
     * as at the start.
     */
    public void settings(Setup next) {
        setup = next;
    }

    /** From now on what carries a key is kept before it is sent. */
    public void kept(Kept by) {
        kept = by;
    }

    public void news(Runnable look) {
        news = look;
        lookedNanos = System.nanoTime() - setup.settings().clockStep().toNanos();
    }

    /**
     * Before anything is sent: the news were looked at within the last step of the clock, unless
     * the pace is sure that all sockets were within a beat, whatever the loop or the machine did
     * meanwhile. Guards against a send that overtakes a drain which lies unread: after a pause all
     * sockets are ready at once, and discovery's is one among hundreds.
     */
    void look() {
        if (pace.isSocketDataRead(clock.now())) {
            return;
        }
        long now = System.nanoTime();
        if (now - lookedNanos >= setup.settings().clockStep().toNanos()) {
            lookedNanos = now;
            news.run();
        }
    }

    /**
     * What the list says of a node: old connections are not used for a new address or a new
     * process.
     */
    public void known(int node, InetSocketAddress address, long startedMs) {
        while (pools.size() <= node) {
            pools.add(new Pool(this, pools.size()));
        }
        Pool pool = pools.get(node);
        pool.address = address;
        pool.startedMs = startedMs;
        for (Connection connection : List.copyOf(pool.idle)) {
            if (!connection.usable()) {
                connection.close();
            }
        }
    }

    /**
     * The node has left the list and nothing is out there: its index may name another from now on.
     */
    public void forget(int node) {
        pools.get(node).address = null;
        pools.get(node).closeIdle();
        pools.set(node, new Pool(this, node));
    }

    @Override
    public void submit(Exchange exchange, int node, Duration limit) {
        exchange.submitted();
        Submission submission = new Submission(pools.get(node), exchange, limit);
        if (kept == null || exchange.key() == 0) {
            start(submission, limit);
        } else {
            startKept(submission, limit);
        }
    }

    /**
     * Guards against a write that nobody remembers after a loss of power: it goes once it is kept,
     * if it still stands then.
     */
    private void startKept(Submission submission, Duration limit) {
        loop.execute(
                () -> {
                    long most =
                            Math.min(
                                    limit.toNanos(),
                                    KEPT_DIALS * setup.settings().connectTimeout().toNanos());
                    counters.timers++;
                    submission.limit =
                            loop.schedule(
                                    () -> submission.end(SubmissionResult.UNSENT),
                                    most,
                                    TimeUnit.NANOSECONDS);
                    kept.whenKept(
                            well -> {
                                if (submission.ended) {
                                    return;
                                }
                                long left =
                                        limit.toNanos()
                                                - (System.nanoTime() - submission.startedNanos);
                                if (!well || left <= 0) {
                                    submission.end(SubmissionResult.UNSENT);
                                    return;
                                }
                                submission.limit.cancel(false);
                                counters.timers--;
                                submission.limit = null;
                                go(submission, Duration.ofNanos(left));
                            });
                });
    }

    @Override
    public void probe(int node) {
        counters.probes++;
        start(new Probe(pools.get(node)), setup.settings().connectTimeout());
    }

    /**
     * Only once the module has returned: what ends at once must not reach it within its own call.
     */
    private void start(Call call, Duration limit) {
        loop.execute(() -> go(call, limit));
    }

    private void go(Call call, Duration limit) {
        counters.timers++;
        call.limit = loop.schedule(() -> late(call), limit.toNanos(), TimeUnit.NANOSECONDS);
        look();
        Pool pool = call.pool;
        if (!call.stands()) {
            call.end(SubmissionResult.UNSENT);
            return;
        }
        Connection idle = pool.rested();
        if (idle != null) {
            pool.idle.remove(idle);
            idle.carry(call);
            return;
        }
        if (open >= most && !closeOldest()) {
            // This router's own limit, and no word on the node.
            call.end(SubmissionResult.UNSENT);
            return;
        }
        pool.waiting.add(call);
        if (!pool.idle.isEmpty()) {
            rested(pool);
        }
        new Connection(pool, call).open();
    }

    /** One that is free now will have rested then. */
    void rested(Pool pool) {
        loop.schedule(pool::carryWaiting, restNanos, TimeUnit.NANOSECONDS);
    }

    private void late(Call call) {
        if (call.ended) {
            return;
        }
        if (!call.lastLook && !pace.isTimeLimitValid(call.behindAtStart, clock.now())) {
            // After the next look at all sockets.
            call.lastLook = true;
            loop.schedule(() -> late(call), 0, TimeUnit.NANOSECONDS);
            return;
        }
        if (call.connection != null) {
            call.connection.giveUp();
        } else {
            call.pool.waiting.remove(call);
            call.end(SubmissionResult.UNREACHABLE);
        }
    }

    @Override
    public void release(int node) {
        loop.execute(pools.get(node)::closeIdle);
    }

    void probed(int node, boolean answered, NodeReport report) {
        listener.probed(node, answered, report);
    }

    void opened(Connection connection) {
        open++;
        counters.nodeConnections++;
        counters.dialed++;
    }

    void closed(Connection connection) {
        open--;
        counters.nodeConnections--;
    }

    /** Before the node does: what is written to a connection that it has closed is lost. */
    private void closeOld() {
        long margin = 4 * setup.settings().connectTimeout().toNanos();
        long idle = Math.max(setup.idle().toNanos() - margin, margin);
        long now = System.nanoTime();
        for (Pool pool : pools) {
            while (!pool.idle.isEmpty() && now - pool.idle.peekFirst().idleSince > idle) {
                pool.idle.peekFirst().close();
            }
        }
    }

    /** Makes room under the limit of descriptors. */
    private boolean closeOldest() {
        Connection oldest = null;
        for (Pool pool : pools) {
            Connection first = pool.idle.peekFirst();
            if (first != null && (oldest == null || first.idleSince - oldest.idleSince < 0)) {
                oldest = first;
            }
        }
        if (oldest != null) {
            oldest.close();
        }
        return oldest != null;
    }

    public void close() {
        pools.forEach(Pool::closeIdle);
    }

    /** The ordinary form, digits alone, is read in place. */
    Duration position(ByteBuf message, int at) {
        long ms = 0;
        int end = message.writerIndex() - 1;
        for (int i = at; i < end; i++) {
            int digit = message.getByte(i) - '0';
            if (digit < 0 || digit > 9 || end - at > 15) {
                return position(Messages.text(message, at));
            }
            ms = ms * 10 + digit;
        }
        return position(ms);
    }

    /**
     * A load report in its ordinary form, fields of digits with a point, is read in place: x0 in
     * seconds, x1 as 0 or 1. Whatever else it may be is read as a text.
     */
    NodeReport report(ByteBuf message, int at) {
        Duration position = null;
        NodeRole role = null;
        int end = message.writerIndex() - 1;
        int i = at;
        while (i < end) {
            int name = i;
            boolean named = true;
            while (i < end && message.getByte(i) != '=') {
                named &= message.getByte(i++) != ',';
            }
            // In thousandths, rounded down; what comes behind those is dropped.
            long thousandths = 0;
            int places = -1;
            boolean plain = named && i + 1 < end && message.getByte(i + 1) != ',';
            int length = 0;
            boolean rest = false;
            i++;
            while (i < end && message.getByte(i) != ',') {
                int digit = message.getByte(i) - '0';
                if (digit == '.' - '0' && places < 0) {
                    places = 0;
                } else if (digit < 0 || digit > 9 || length > 17) {
                    plain = false;
                } else if (places < 3) {
                    thousandths = thousandths * 10 + digit;
                    places += places < 0 ? 0 : 1;
                } else {
                    rest |= digit > 0;
                }
                i++;
                length++;
            }
            for (int k = Math.max(places, 0); k < 3; k++) {
                thousandths *= 10;
            }
            boolean own = plain && message.getByte(name) == 'x' && message.getByte(name + 2) == '=';
            boolean isRole = own && message.getByte(name + 1) == '1';
            if (!plain || isRole && (rest || thousandths != 0 && thousandths != 1000)) {
                return report(Messages.text(message, at));
            } else if (isRole) {
                role = thousandths == 1000 ? NodeRole.PRIMARY : NodeRole.REPLICA;
            } else if (own && message.getByte(name + 1) == '0') {
                position = position(thousandths - 1);
            }
            i++;
        }
        return new NodeReport(position, role);
    }

    /** A position in Unix milliseconds; null where it is none, as one that is still to come. */
    Duration position(String text) {
        try {
            return position(Long.parseLong(text));
        } catch (NumberFormatException none) {
            return null;
        }
    }

    private Duration position(long ms) {
        return ms <= 0 || ms > clock.unixMillis() + setup.settings().connectTimeout().toMillis()
                ? null
                : clock.since(ms);
    }

    /**
     * A load report: its position was rounded by its writer, to no more than a millisecond, so the
     * lower one counts. One that cannot be read whole tells nothing, least of all who is the
     * primary.
     */
    NodeReport report(String text) {
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
                    position = position((long) Math.floor(value * 1000 - 1));
                }
            }
        } catch (NumberFormatException none) {
            log.warn(
                    "report-out-of-form", "report", text.substring(0, Math.min(text.length(), 80)));
            return NodeReport.EMPTY;
        }
        return new NodeReport(position, role);
    }
}
