package dillfront.router;

import dillfront.common.logging.Counters;
import dillfront.common.logging.Log;
import dillfront.router.backend.NodeConnectionManager;
import dillfront.router.config.MonotonicClock;
import dillfront.router.config.RouterConfig;
import dillfront.router.config.RouterSettings;
import dillfront.router.config.JsonObject;
import dillfront.router.discovery.Member;
import dillfront.router.discovery.MemberList;
import dillfront.router.discovery.DiscoveryClient;
import dillfront.router.discovery.PeerClosureReports;
import dillfront.router.exchange.ResponseReceiver;
import dillfront.router.exchange.ExchangeHandler;
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
                ExchangeHandler,
                NodeConnectionManager.ProbeListener,
                DiscoveryClient.Listener,
                PeerHealthExchange.RoutingDecisions,
                PeerRestrictionSync.ClosedNodeLists {

    /** The part of the memory that one answer may take: 2 MB where it is 128. */
    private static final int RESPONSE_MEMORY_DIVISOR = 64;

    private RouterSettings settings;
    private final MonotonicClock clock;
    private final Counters counters;
    private final Log log;
    private final EventLoop loop;
    private final LoopLagMonitor loopLag;

    /** Of its own delay, what the module has been told. */
    private Duration reported = Duration.ZERO;

    private final MemberList members;
    private final RoutingEngine engine;
    private final NodeConnectionManager connectionManager;

    /** A slot is used again once its txn is over. */
    private final List<Exchange> exchanges = new ArrayList<>();

    /** Of the txns that hold a slot. */
    private final Set<Long> openTransactionIds = new HashSet<>();

    private boolean hasMemberList;

    /** The last expiry of all that was taken. */
    private Duration lastExpiry = Duration.ZERO;

    private final List<Integer> freeSlots = new ArrayList<>();

    /** Null where gossip is off. */
    private PeerHealthExchange peerHealth;

    /** How many others say that their lists have closed anything. */
    private int reportingPeers;

    /** Null where nothing is kept in mind beyond the txns that are out. */
    private RecoveryCoordinator recovery;

    Router(
            RouterConfig config,
            MonotonicClock clock,
            Counters counters,
            Log log,
            EventLoop loop,
            int nodeConnections) {
        this.settings = config.settings();
        this.clock = clock;
        this.counters = counters;
        this.log = log;
        this.loop = loop;
        loopLag = new LoopLagMonitor(settings.routing().clockStep());
        members = new MemberList(settings, clock, log);
        connectionManager =
                new NodeConnectionManager(
                        settings,
                        clock,
                        loopLag,
                        counters,
                        log,
                        loop,
                        nodeConnections,
                        (int) (config.memoryMb() << 20) / RESPONSE_MEMORY_DIVISOR,
                        this);
        engine = new RoutingEngine(settings.routing(), this, new SplittableRandom(config.seed()));
    }

    /** Some list is there: before that, nothing can be served. */
    boolean hasMemberList() {
        return hasMemberList;
    }

    /** By then each txn that was taken so far is answered, or nobody waits for it any more. */
    Duration lastExpiry() {
        return lastExpiry;
    }

    /** Where the news come from, which go before all that is sent. */
    void setDiscoveryClient(DiscoveryClient watch) {
        connectionManager.discoveryReader(watch::readPending);
    }

    /**
     * Who remembers for a later life, and what is remembered from an earlier one. Before the first
     * list.
     */
    void configureMemberList(Consumer<MemberList> memory) {
        memory.accept(members);
    }

    /** How many nodes are closed by words that are remembered. */
    int closedNodeCount() {
        return members.closedNodes();
    }

    int reportingPeerCount() {
        return reportingPeers;
    }

    /**
     * What is kept in mind beyond the txns that are out, and, where not null, what a txn with a key
     * waits for. Before the first list.
     */
    void setRecovery(RecoveryCoordinator by, NodeConnectionManager.PersistenceBarrier before) {
        recovery = by;
        connectionManager.persistenceBarrier(before);
    }

    /** Others' words on nodes come through these. Before the first list. */
    void setPeerHealth(PeerHealthExchange others) {
        peerHealth = others;
    }

    void close() {
        connectionManager.close();
    }

    /**
     * Other settings from now on, for what is taken and sent; the caller asks for the whole list
     * then.
     */
    void applySettings(RouterSettings next) {
        tick();
        settings = next;
        loopLag.setStep(next.routing().clockStep());
        members.applySettings(next);
        connectionManager.applySettings(next);
        engine.applySettings(next.routing());
        if (recovery != null) {
            recovery.applySettings(next);
        }
    }

    // ---- words of the network

    @Override
    public void tick() {
        Duration now = clock.now();
        Duration behind = loopLag.totalLag(now);
        engine.setTime(now);
        if (behind.compareTo(reported) > 0) {
            engine.recordPause(behind.minus(reported));
            reported = behind;
        }
    }

    LoopLagMonitor loopLag() {
        return loopLag;
    }

    MonotonicClock clock() {
        return clock;
    }

    @Override
    public void listReceived(JsonObject list) {
        List<Member> read = members.read(list);
        read.forEach(m -> connectionManager.updateNode(m.row().node(), m.address(), m.startedMs()));
        hasMemberList = true;
        tick();
        List<NodeRow> rows = new ArrayList<>(read.size());
        for (Member m : read) {
            rows.add(m.row());
        }
        engine.updateMembers(list.getBoolean("reset"), rows);
        if (peerHealth != null) {
            read.forEach(m -> peerHealth.addNode(m.row().node(), m.id()));
        }
        if (recovery != null) {
            recovery.updateMembers(read);
        }
        removeDepartedNodes();
    }

    /** Who has left the list goes from all tables at once, as soon as nothing of it is out. */
    private void removeDepartedNodes() {
        members.removeDeparted(
                node -> {
                    boolean over = engine.forgetNode(node);
                    if (over) {
                        connectionManager.removeNode(node);
                        if (peerHealth != null) {
                            peerHealth.removeNode(node);
                        }
                        if (recovery != null) {
                            recovery.removeNode(node);
                        }
                    }
                    return over;
                });
        counters.nodes = members.indexCount();
    }

    /** Discovery itself has told a list. */
    void reported() {
        if (recovery != null) {
            recovery.setDiscoveryAvailable(true);
        }
    }

    @Override
    public void listFailed() {
        tick();
        if (recovery != null) {
            recovery.setDiscoveryAvailable(false);
        }
        engine.memberListFailed();
    }

    @Override
    public Exchange begin(
            Statement statement, ByteBuf message, ResponseReceiver asker, Duration waited, int tenant) {
        Integer type = settings.typeIndices().get(statement.type);
        if (type == null || !members.mayHaveGroup(statement.group)) {
            return null;
        }
        // Guards against one client's query that passes for another's: nodes tell txns apart by
        // nothing else.
        if (!openTransactionIds.add(statement.idHash)) {
            return null;
        }
        tick();
        boolean marked =
                recovery != null
                        && recovery.tracksKeys()
                        && statement.idempotencyKeyHash != 0
                        && settings.routing().transactionTypes().get(type).repeatability()
                                == Repeatability.DEDUPLICATED;
        long key = marked ? InDoubtKeys.hash(statement.group, statement.idempotencyKeyHash) : 0;
        if (marked && !recovery.begin(key, clock.now())) {
            return declineUntracked(statement, message, asker);
        }
        int slot = freeSlots.isEmpty() ? exchanges.size() : freeSlots.remove(freeSlots.size() - 1);
        Exchange exchange = new Exchange(this, slot, statement, message, asker, key);
        if (slot == exchanges.size()) {
            exchanges.add(exchange);
        } else {
            exchanges.set(slot, exchange);
        }
        counters.taken++;
        counters.txns++;
        Duration now = clock.now();
        Duration token =
                !settings.hasSessionTokens()
                        ? null
                        : statement.lastWriteMs == 0
                                ? Duration.ZERO
                                : now.minus(clock.sinceStart(statement.lastWriteMs));
        Duration patience = clientTimeout(statement, type);
        Duration expiry = now.minus(waited).plus(patience);
        lastExpiry = expiry.compareTo(lastExpiry) > 0 ? expiry : lastExpiry;
        exchange.accepted(
                engine.accept(
                        slot,
                        type,
                        tenant,
                        RouterSettings.sessionSlot(statement.keyHash),
                        statement.group,
                        patience,
                        token,
                        waited,
                        marked ? recovery.mayHaveRunSince(key) : null));
        return exchange;
    }

    /**
     * It cannot be kept in mind, so it is not begun: told at once, with the longest come-back time
     * that clients heed.
     */
    private Exchange declineUntracked(Statement statement, ByteBuf message, ResponseReceiver asker) {
        openTransactionIds.remove(statement.idHash);
        counters.taken++;
        Exchange never = new Exchange(this, -1, statement, message, asker, 0);
        never.decline(settings.routing().maxRetryDelay());
        message.release();
        return never;
    }

    @Override
    public void submissionEnded(
            Exchange exchange, int node, SubmissionResult result, boolean told, NodeReport note) {
        if (recovery != null) {
            recovery.recordSubmissionEnd(exchange.key(), node, result, told, note, clock.now());
        }
    }

    @Override
    public NodeReport trustedReport(int node, NodeReport says) {
        return recovery == null ? says : recovery.trustedReport(node, says, clock.now());
    }

    @Override
    public boolean maySend(Exchange exchange, int node) {
        return recovery == null
                || !exchange.statement().write
                || recovery.mayWrite(exchange.key(), node, clock.now());
    }

    @Override
    public int typeIndex(String name) {
        return settings.typeIndices().getOrDefault(name, -1);
    }

    /** Nobody waits longer than the settings let his type wait, whatever he says. */
    private Duration clientTimeout(Statement statement, int type) {
        long longest =
                settings.routing().transactionTypes().get(type).totalClientTimeout().toMillis();
        return Duration.ofMillis(Math.min(statement.timeoutMs, longest));
    }

    @Override
    public void exchangeFinished(Exchange exchange) {
        if (exchange.key() != 0) {
            recovery.finish(exchange.key(), clock.now());
        }
        exchanges.set(exchange.slot(), null);
        openTransactionIds.remove(exchange.statement().idHash);
        freeSlots.add(exchange.slot());
        counters.txns--;
    }

    @Override
    public void probeCompleted(int node, boolean answered, NodeReport report) {
        tick();
        if (recovery != null) {
            recovery.recordProbe(node, answered, report, clock.now());
        }
        engine.probeCompleted(node, answered, trustedReport(node, report));
    }

    // ---- what others say

    @Override
    public long closedVersion() {
        return members.closedNodesVersion();
    }

    @Override
    public Map<String, long[]> closed() {
        return members.closures();
    }

    /** What is closed elsewhere by lists that have not come here yet is closed here too. */
    @Override
    public void peerReportsChanged(PeerClosureReports witnesses) {
        reportingPeers = witnesses.reportingInstances();
        List<PeerClosureReports.Closure> newer = witnesses.closuresNewerThan(members.latestGeneration());
        if (newer.isEmpty()) {
            return;
        }
        Map<Long, String> ids = new HashMap<>();
        members.nodeIds().forEach(id -> ids.put(PeerRegistry.hash(id), id));
        List<Member> closed = new ArrayList<>();
        for (PeerClosureReports.Closure word : newer) {
            String id = ids.get(word.nodeHash());
            Member member =
                    id == null
                            ? null
                            : members.closeByPeerReport(id, word.generation(), word.startedMs());
            if (member != null) {
                closed.add(member);
                log.info(
                        "closed-elsewhere",
                        "id",
                        id,
                        "generation",
                        word.generation(),
                        "latest_here",
                        members.latestGeneration());
            }
        }
        if (!closed.isEmpty()) {
            tick();
            engine.updateMembers(false, closed.stream().map(Member::row).toList());
            if (recovery != null) {
                recovery.updateMembers(closed);
            }
        }
    }

    @Override
    public HealthObservation observeHealth(int node) {
        return engine.observeHealth(node);
    }

    @Override
    public void setSuspected(int node, boolean doubted) {
        tick();
        engine.setSuspected(node, doubted);
    }

    @Override
    public void better(int node) {
        tick();
        engine.advanceTrial(node);
    }

    // ---- results of the module

    @Override
    public void submit(int txn, int node, Duration limit) {
        counters.submitted++;
        Exchange exchange = exchanges.get(txn);
        if (exchange.key() != 0) {
            recovery.recordSend(exchange.key(), clock.now());
        }
        connectionManager.submit(exchange, node, limit);
    }

    @Override
    public void decline(int txn, Duration pause) {
        exchanges.get(txn).decline(pause);
    }

    @Override
    public void reportUnknownOutcome(int txn) {
        exchanges.get(txn).rollBack();
    }

    @Override
    public void closeIdleConnections(int node) {
        connectionManager.closeIdleConnections(node);
    }

    @Override
    public void probe(int node) {
        connectionManager.probe(node);
    }

    /** The watch goes on by itself on sockets. */
    @Override
    public void watchMemberList() {}

    @Override
    public void scheduleWakeUp(Duration in) {
        loopLag.expectTick(clock.now().plus(in));
        loop.schedule(
                () -> {
                    try {
                        tick();
                        loopLag.recordTick(clock.now());
                        counters.longestTurnMs =
                                Math.max(counters.longestTurnMs, loopLag.longestLag().toMillis());
                        engine.onWakeUp();
                        if (peerHealth != null) {
                            peerHealth.tick(clock.now());
                        }
                        if (recovery != null) {
                            recovery.tick(clock.now(), members.indexCount(), engine::observeHealth);
                        }
                        removeDepartedNodes();
                    } catch (RuntimeException fault) {
                        // A timer's fault would vanish in its future, and the clock's beat with it.
                        log.warn("beat", "fault", fault);
                    }
                },
                in.toNanos(),
                TimeUnit.NANOSECONDS);
    }
}
