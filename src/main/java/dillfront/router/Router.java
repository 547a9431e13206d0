package dillfront.router;

import dillfront.common.logging.Counters;
import dillfront.common.logging.Log;
import dillfront.router.backend.Fleet;
import dillfront.router.config.Clock;
import dillfront.router.config.Config;
import dillfront.router.config.Setup;
import dillfront.router.config.Tree;
import dillfront.router.discovery.Member;
import dillfront.router.discovery.MemberList;
import dillfront.router.discovery.Watch;
import dillfront.router.discovery.Witnesses;
import dillfront.router.exchange.Asker;
import dillfront.router.exchange.Desk;
import dillfront.router.exchange.Exchange;
import dillfront.router.pace.LoopLagMonitor;
import dillfront.router.peers.PeerHealthExchange;
import dillfront.router.peers.PeerRegistry;
import dillfront.router.peers.PeerRestrictionSync;
import dillfront.router.pgwire.Statement;
import dillfront.router.recovery.InDoubtKeys;
import dillfront.routing.RoutingEngine;
import dillfront.routing.api.HealthObservation;
import dillfront.routing.api.NodeReport;
import dillfront.routing.api.NodeRow;
import dillfront.routing.api.Repeatability;
import dillfront.routing.api.RoutingActions;
import dillfront.routing.api.SubmissionResult;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The module and what it drives: words of the network become its calls, its results go out again.
 */
final class Router
        implements RoutingActions,
                Desk,
                Fleet.Listener,
                Watch.Listener,
                PeerHealthExchange.RoutingDecisions,
                PeerRestrictionSync.ClosedNodeLists {

    /** The part of the memory that one answer may take: 2 MB where it is 128. */
    private static final int LONGEST_PART = 64;

    private Setup setup;
    private final Clock clock;
    private final Counters counters;
    private final Log log;
    private final EventLoop loop;
    private final LoopLagMonitor pace;

    /** Of its own delay, what the module has been told. */
    private Duration told = Duration.ZERO;

    private final MemberList members;
    private final RoutingEngine decide;
    private final Fleet fleet;

    /** A slot is used again once its txn is over. */
    private final List<Exchange> slots = new ArrayList<>();

    /** Of the txns that hold a slot. */
    private final Set<Long> ids = new HashSet<>();

    private boolean listed;

    /** The last expiry of all that was taken. */
    private Duration owedUntil = Duration.ZERO;

    private final List<Integer> free = new ArrayList<>();

    /** Null where gossip is off. */
    private PeerHealthExchange neighbours;

    /** How many others say that their lists have closed anything. */
    private int telling;

    /** Null where nothing is kept in mind beyond the txns that are out. */
    private Ledger ledger;

    Router(
            Config config,
            Clock clock,
            Counters counters,
            Log log,
            EventLoop loop,
            int nodeConnections) {
        this.setup = config.setup();
        this.clock = clock;
        this.counters = counters;
        this.log = log;
        this.loop = loop;
        pace = new LoopLagMonitor(setup.settings().clockStep());
        members = new MemberList(setup, clock, log);
        fleet =
                new Fleet(
                        setup,
                        clock,
                        pace,
                        counters,
                        log,
                        loop,
                        nodeConnections,
                        (int) (config.memoryMb() << 20) / LONGEST_PART,
                        this);
        decide = new RoutingEngine(setup.settings(), this, new SplittableRandom(config.seed()));
    }

    /** Some list is there: before that, nothing can be served. */
    boolean listed() {
        return listed;
    }

    /** By then each txn that was taken so far is answered, or nobody waits for it any more. */
    Duration owedUntil() {
        return owedUntil;
    }

    /** Where the news come from, which go before all that is sent. */
    void watch(Watch watch) {
        fleet.news(watch::look);
    }

    /**
     * Who remembers for a later life, and what is remembered from an earlier one. Before the first
     * list.
     */
    void remembers(Consumer<MemberList> memory) {
        memory.accept(members);
    }

    /** How many nodes are closed by words that are remembered. */
    int closings() {
        return members.closings();
    }

    int witnesses() {
        return telling;
    }

    /**
     * What is kept in mind beyond the txns that are out, and, where not null, what a txn with a key
     * waits for. Before the first list.
     */
    void keeps(Ledger by, Fleet.Kept before) {
        ledger = by;
        fleet.kept(before);
    }

    /** Others' words on nodes come through these. Before the first list. */
    void hears(PeerHealthExchange others) {
        neighbours = others;
    }

    void close() {
        fleet.close();
    }

    /**
     * Other settings from now on, for what is taken and sent; the caller asks for the whole list
     * then.
     */
    void settings(Setup next) {
        tick();
        setup = next;
        pace.setStep(next.settings().clockStep());
        members.settings(next);
        fleet.settings(next);
        decide.applySettings(next.settings());
        if (ledger != null) {
            ledger.settings(next);
        }
    }

    // ---- words of the network

    @Override
    public void tick() {
        Duration now = clock.now();
        Duration behind = pace.totalLag(now);
        decide.setTime(now);
        if (behind.compareTo(told) > 0) {
            decide.recordPause(behind.minus(told));
            told = behind;
        }
    }

    LoopLagMonitor pace() {
        return pace;
    }

    Clock clock() {
        return clock;
    }

    @Override
    public void list(Tree list) {
        List<Member> read = members.read(list);
        read.forEach(m -> fleet.known(m.row().node(), m.address(), m.startedMs()));
        listed = true;
        tick();
        List<NodeRow> rows = new ArrayList<>(read.size());
        for (Member m : read) {
            rows.add(m.row());
        }
        decide.updateMembers(list.flag("reset"), rows);
        if (neighbours != null) {
            read.forEach(m -> neighbours.addNode(m.row().node(), m.id()));
        }
        if (ledger != null) {
            ledger.listed(read);
        }
        forget();
    }

    /** Who has left the list goes from all tables at once, as soon as nothing of it is out. */
    private void forget() {
        members.forget(
                node -> {
                    boolean over = decide.forgetNode(node);
                    if (over) {
                        fleet.forget(node);
                        if (neighbours != null) {
                            neighbours.removeNode(node);
                        }
                        if (ledger != null) {
                            ledger.forget(node);
                        }
                    }
                    return over;
                });
        counters.nodeRows = members.indices();
    }

    /** Discovery itself has told a list. */
    void told() {
        if (ledger != null) {
            ledger.discovery(true);
        }
    }

    @Override
    public void listFailed() {
        tick();
        if (ledger != null) {
            ledger.discovery(false);
        }
        decide.memberListFailed();
    }

    @Override
    public Exchange take(
            Statement statement, ByteBuf message, Asker asker, Duration waited, int tenant) {
        Integer type = setup.types().get(statement.type);
        if (type == null || !members.mayHave(statement.group)) {
            return null;
        }
        // Guards against one client's query that passes for another's: nodes tell txns apart by
        // nothing else.
        if (!ids.add(statement.id)) {
            return null;
        }
        tick();
        boolean marked =
                ledger != null
                        && ledger.keeps()
                        && statement.mark != 0
                        && setup.settings().transactionTypes().get(type).repeatability()
                                == Repeatability.DEDUPLICATED;
        long key = marked ? InDoubtKeys.hash(statement.group, statement.mark) : 0;
        if (marked && !ledger.take(key, clock.now())) {
            return refused(statement, message, asker);
        }
        int slot = free.isEmpty() ? slots.size() : free.remove(free.size() - 1);
        Exchange exchange = new Exchange(this, slot, statement, message, asker, key);
        if (slot == slots.size()) {
            slots.add(exchange);
        } else {
            slots.set(slot, exchange);
        }
        counters.startedTransactions++;
        counters.openTransactions++;
        Duration now = clock.now();
        Duration token =
                !setup.tokensCarried()
                        ? null
                        : statement.afterMs == 0
                                ? Duration.ZERO
                                : now.minus(clock.since(statement.afterMs));
        Duration patience = patience(statement, type);
        Duration expiry = now.minus(waited).plus(patience);
        owedUntil = expiry.compareTo(owedUntil) > 0 ? expiry : owedUntil;
        exchange.taken(
                decide.accept(
                        slot,
                        type,
                        tenant,
                        Setup.session(statement.key),
                        statement.group,
                        patience,
                        token,
                        waited,
                        marked ? ledger.ran(key) : null));
        return exchange;
    }

    /**
     * It cannot be kept in mind, so it is not begun: told at once, with the longest come-back time
     * that clients heed.
     */
    private Exchange refused(Statement statement, ByteBuf message, Asker asker) {
        ids.remove(statement.id);
        counters.startedTransactions++;
        Exchange never = new Exchange(this, -1, statement, message, asker, 0);
        never.decline(setup.settings().maxRetryDelay());
        message.release();
        return never;
    }

    @Override
    public void ended(
            Exchange exchange, int node, SubmissionResult result, boolean told, NodeReport note) {
        if (ledger != null) {
            ledger.ended(exchange.key(), node, result, told, note, clock.now());
        }
    }

    @Override
    public NodeReport believed(int node, NodeReport says) {
        return ledger == null ? says : ledger.believed(node, says, clock.now());
    }

    @Override
    public boolean may(Exchange exchange, int node) {
        return ledger == null
                || !exchange.statement().write
                || ledger.mayWrite(exchange.key(), node, clock.now());
    }

    @Override
    public int type(String name) {
        return setup.types().getOrDefault(name, -1);
    }

    /** Nobody waits longer than the settings let his type wait, whatever he says. */
    private Duration patience(Statement statement, int type) {
        long longest =
                setup.settings().transactionTypes().get(type).totalClientTimeout().toMillis();
        return Duration.ofMillis(Math.min(statement.waitMs, longest));
    }

    @Override
    public void over(Exchange exchange) {
        if (exchange.key() != 0) {
            ledger.over(exchange.key(), clock.now());
        }
        slots.set(exchange.slot(), null);
        ids.remove(exchange.statement().id);
        free.add(exchange.slot());
        counters.openTransactions--;
    }

    @Override
    public void probed(int node, boolean answered, NodeReport report) {
        tick();
        if (ledger != null) {
            ledger.probed(node, answered, report, clock.now());
        }
        decide.probeCompleted(node, answered, believed(node, report));
    }

    // ---- what others say

    @Override
    public long closedVersion() {
        return members.closingsVersion();
    }

    @Override
    public Map<String, long[]> closed() {
        return members.closed();
    }

    /** What is closed elsewhere by lists that have not come here yet is closed here too. */
    @Override
    public void peerReportsChanged(Witnesses witnesses) {
        telling = witnesses.telling();
        List<Witnesses.Word> newer = witnesses.newerThan(members.latest());
        if (newer.isEmpty()) {
            return;
        }
        Map<Long, String> ids = new HashMap<>();
        members.ids().forEach(id -> ids.put(PeerRegistry.hash(id), id));
        List<Member> closed = new ArrayList<>();
        for (Witnesses.Word word : newer) {
            String id = ids.get(word.node());
            Member member =
                    id == null
                            ? null
                            : members.closedElsewhere(id, word.generation(), word.startedMs());
            if (member != null) {
                closed.add(member);
                log.info(
                        "closed-elsewhere",
                        "id",
                        id,
                        "generation",
                        word.generation(),
                        "latest_here",
                        members.latest());
            }
        }
        if (!closed.isEmpty()) {
            tick();
            decide.updateMembers(false, closed.stream().map(Member::row).toList());
            if (ledger != null) {
                ledger.listed(closed);
            }
        }
    }

    @Override
    public HealthObservation observeHealth(int node) {
        return decide.observeHealth(node);
    }

    @Override
    public void setSuspected(int node, boolean doubted) {
        tick();
        decide.setSuspected(node, doubted);
    }

    @Override
    public void better(int node) {
        tick();
        decide.advanceTrial(node);
    }

    // ---- results of the module

    @Override
    public void submit(int txn, int node, Duration limit) {
        counters.submitted++;
        Exchange exchange = slots.get(txn);
        if (exchange.key() != 0) {
            ledger.sends(exchange.key(), clock.now());
        }
        fleet.submit(exchange, node, limit);
    }

    @Override
    public void decline(int txn, Duration pause) {
        slots.get(txn).decline(pause);
    }

    @Override
    public void reportUnknownOutcome(int txn) {
        slots.get(txn).rollBack();
    }

    @Override
    public void closeIdleConnections(int node) {
        fleet.release(node);
    }

    @Override
    public void probe(int node) {
        fleet.probe(node);
    }

    /** The watch goes on by itself on sockets. */
    @Override
    public void watchMemberList() {}

    @Override
    public void scheduleWakeUp(Duration in) {
        pace.expectTick(clock.now().plus(in));
        loop.schedule(
                () -> {
                    try {
                        tick();
                        pace.recordTick(clock.now());
                        counters.longestLoopTurnMillis =
                                Math.max(
                                        counters.longestLoopTurnMillis,
                                        pace.longestLag().toMillis());
                        decide.onWakeUp();
                        if (neighbours != null) {
                            neighbours.tick(clock.now());
                        }
                        if (ledger != null) {
                            ledger.beat(clock.now(), members.indices(), decide::observeHealth);
                        }
                        forget();
                    } catch (RuntimeException fault) {
                        // A timer's fault would vanish in its future, and the clock's beat with it.
                        log.warn("beat", "fault", fault);
                    }
                },
                in.toNanos(),
                TimeUnit.NANOSECONDS);
    }
}
