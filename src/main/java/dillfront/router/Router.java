package dillfront.router;

import dillfront.common.logging.Counters;
import dillfront.common.logging.Log;
import dillfront.router.backend.NodeConnectionManager;
import dillfront.router.config.JsonObject;
import dillfront.router.config.MonotonicClock;
import dillfront.router.config.RouterConfig;
import dillfront.router.config.RouterSettings;
import dillfront.router.discovery.DiscoveryClient;
import dillfront.router.discovery.Member;
import dillfront.router.discovery.MemberList;
import dillfront.router.discovery.PeerClosureReports;
import dillfront.router.exchange.Exchange;
import dillfront.router.exchange.ExchangeHandler;
import dillfront.router.exchange.ResponseReceiver;
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
 * Connects the routing engine to the network: network events become calls of the engine, and its
 * decisions become network actions.
 */
final class Router
        implements RoutingActions,
                ExchangeHandler,
                NodeConnectionManager.ProbeListener,
                DiscoveryClient.Listener,
                PeerHealthExchange.RoutingDecisions,
                PeerRestrictionSync.ClosedNodeLists {

    /** Divisor of the memory limit that bounds one node message: 2 MB of 128 MB. */
    private static final int RESPONSE_MEMORY_DIVISOR = 64;

    private RouterSettings settings;
    private final MonotonicClock clock;
    private final Counters counters;
    private final Log log;
    private final EventLoop loop;
    private final LoopLagMonitor loopLag;

    /** Total event loop lag that the routing engine has been notified of. */
    private Duration reported = Duration.ZERO;

    private final MemberList members;
    private final RoutingEngine engine;
    private final NodeConnectionManager connectionManager;

    /** In-flight exchanges by slot; a slot is reused once its exchange has finished. */
    private final List<Exchange> exchanges = new ArrayList<>();

    /** Ids of the transactions that occupy a slot. */
    private final Set<Long> openTransactionIds = new HashSet<>();

    private boolean hasMemberList;

    /** Latest expiry of all accepted transactions. */
    private Duration lastExpiry = Duration.ZERO;

    private final List<Integer> freeSlots = new ArrayList<>();

    /** Null if gossip is off. */
    private PeerHealthExchange peerHealth;

    /** Number of peers whose member lists have closed at least one node. */
    private int reportingPeers;

    /** Null if no state is kept beyond transactions in flight. */
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

    /** Returns whether a member list is loaded; nothing can be served before that. */
    boolean hasMemberList() {
        return hasMemberList;
    }

    /** Returns the time by which each accepted transaction is answered or has expired. */
    Duration lastExpiry() {
        return lastExpiry;
    }

    /** Sets the discovery client, whose pending updates are read before anything is sent. */
    void setDiscoveryClient(DiscoveryClient client) {
        connectionManager.discoveryReader(client::readPending);
    }

    /** Configures persistence of the member list. Called before the first list is applied. */
    void configureMemberList(Consumer<MemberList> configurer) {
        configurer.accept(members);
    }

    /** Returns the number of nodes recorded as closed. */
    int closedNodes() {
        return members.closedNodes();
    }

    /** Returns the number of peers whose member lists have closed at least one node. */
    int reporters() {
        return reportingPeers;
    }

    /**
     * Sets the recovery coordinator and, if not null, the barrier that a keyed transaction awaits
     * before it is sent. Called before the first list is applied.
     */
    void setRecovery(
            RecoveryCoordinator coordinator, NodeConnectionManager.PersistenceBarrier barrier) {
        recovery = coordinator;
        connectionManager.persistenceBarrier(barrier);
    }

    /** Sets the exchange of health reports with peers. Called before the first list is applied. */
    void setPeerHealth(PeerHealthExchange health) {
        peerHealth = health;
    }

    void close() {
        connectionManager.close();
    }

    /**
     * Applies new settings to transactions accepted and sent from now on; the caller then requests
     * the complete member list.
     */
    void applySettings(RouterSettings newSettings) {
        tick();
        settings = newSettings;
        loopLag.setStep(newSettings.routing().clockStep());
        members.applySettings(newSettings);
        connectionManager.applySettings(newSettings);
        engine.applySettings(newSettings.routing());
        if (recovery != null) {
            recovery.applySettings(newSettings);
        }
    }

    // ---- network events

    @Override
    public void tick() {
        Duration now = clock.now();
        Duration lag = loopLag.totalLag(now);
        engine.setTime(now);
        if (lag.compareTo(reported) > 0) {
            engine.recordPause(lag.minus(reported));
            reported = lag;
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
        List<Member> received = members.read(list);
        received.forEach(
                member ->
                        connectionManager.updateNode(
                                member.row().node(), member.address(), member.startedMs()));
        hasMemberList = true;
        tick();
        List<NodeRow> rows = new ArrayList<>(received.size());
        for (Member member : received) {
            rows.add(member.row());
        }
        engine.updateMembers(list.getBoolean("reset"), rows);
        if (peerHealth != null) {
            received.forEach(member -> peerHealth.addNode(member.row().node(), member.id()));
        }
        if (recovery != null) {
            recovery.updateMembers(received);
        }
        removeDepartedNodes();
    }

    /**
     * Removes nodes that have left the member list from all tables, each as soon as nothing is in
     * flight to it.
     */
    private void removeDepartedNodes() {
        members.removeDeparted(
                node -> {
                    boolean removed = engine.forgetNode(node);
                    if (removed) {
                        connectionManager.removeNode(node);
                        if (peerHealth != null) {
                            peerHealth.removeNode(node);
                        }
                        if (recovery != null) {
                            recovery.removeNode(node);
                        }
                    }
                    return removed;
                });
        counters.nodeRows = members.indexCount();
    }

    /** Records that discovery itself, rather than the configuration, has provided a member list. */
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
            Statement statement,
            ByteBuf message,
            ResponseReceiver receiver,
            Duration timeSinceReceived,
            int tenant) {
        Integer type = settings.typeIndices().get(statement.type);
        if (type == null || !members.mayHaveGroup(statement.group)) {
            return null;
        }
        // Nodes distinguish transactions by id only, so a second transaction with an open id could
        // receive the first one's result.
        if (!openTransactionIds.add(statement.idHash)) {
            return null;
        }
        tick();
        boolean tracked =
                recovery != null
                        && recovery.tracksKeys()
                        && statement.idempotencyKeyHash != 0
                        && settings.routing().transactionTypes().get(type).repeatability()
                                == Repeatability.DEDUPLICATED;
        long key = tracked ? InDoubtKeys.hash(statement.group, statement.idempotencyKeyHash) : 0;
        if (tracked && !recovery.begin(key, clock.now())) {
            return declineUntracked(statement, message, receiver);
        }
        int slot = freeSlots.isEmpty() ? exchanges.size() : freeSlots.remove(freeSlots.size() - 1);
        Exchange exchange = new Exchange(this, slot, statement, message, receiver, key);
        if (slot == exchanges.size()) {
            exchanges.add(exchange);
        } else {
            exchanges.set(slot, exchange);
        }
        counters.startedTransactions++;
        counters.openTransactions++;
        Duration now = clock.now();
        Duration timeSinceLastWrite =
                !settings.hasSessionTokens()
                        ? null
                        : statement.lastWriteMs == 0
                                ? Duration.ZERO
                                : now.minus(clock.sinceStart(statement.lastWriteMs));
        Duration timeout = clientTimeout(statement, type);
        Duration expiry = now.minus(timeSinceReceived).plus(timeout);
        lastExpiry = expiry.compareTo(lastExpiry) > 0 ? expiry : lastExpiry;
        exchange.accepted(
                engine.accept(
                        slot,
                        type,
                        tenant,
                        RouterSettings.sessionSlot(statement.keyHash),
                        statement.group,
                        timeout,
                        timeSinceLastWrite,
                        timeSinceReceived,
                        tracked ? recovery.mayHaveRunSince(key) : null));
        return exchange;
    }

    /**
     * Declines a keyed transaction that cannot be tracked, with the longest retry delay that
     * clients honor. It was never sent.
     */
    private Exchange declineUntracked(
            Statement statement, ByteBuf message, ResponseReceiver receiver) {
        openTransactionIds.remove(statement.idHash);
        counters.startedTransactions++;
        Exchange declined = new Exchange(this, -1, statement, message, receiver, 0);
        declined.decline(settings.routing().maxRetryDelay());
        message.release();
        return declined;
    }

    @Override
    public void submissionEnded(
            Exchange exchange,
            int node,
            SubmissionResult result,
            boolean clientAnswered,
            NodeReport report) {
        if (recovery != null) {
            recovery.recordSubmissionEnd(
                    exchange.key(), node, result, clientAnswered, report, clock.now());
        }
    }

    @Override
    public NodeReport trustedReport(int node, NodeReport report) {
        return recovery == null ? report : recovery.trustedReport(node, report, clock.now());
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

    /** Returns the client's timeout, capped by the total timeout of the transaction type. */
    private Duration clientTimeout(Statement statement, int type) {
        long maxTimeoutMillis =
                settings.routing().transactionTypes().get(type).totalClientTimeout().toMillis();
        return Duration.ofMillis(Math.min(statement.timeoutMs, maxTimeoutMillis));
    }

    @Override
    public void exchangeFinished(Exchange exchange) {
        if (exchange.key() != 0) {
            recovery.finish(exchange.key(), clock.now());
        }
        exchanges.set(exchange.slot(), null);
        openTransactionIds.remove(exchange.statement().idHash);
        freeSlots.add(exchange.slot());
        counters.openTransactions--;
    }

    @Override
    public void probeCompleted(int node, boolean answered, NodeReport report) {
        tick();
        if (recovery != null) {
            recovery.recordProbe(node, answered, report, clock.now());
        }
        engine.probeCompleted(node, answered, trustedReport(node, report));
    }

    // ---- peer reports

    @Override
    public long closedVersion() {
        return members.closedNodesVersion();
    }

    @Override
    public Map<String, long[]> closed() {
        return members.closures();
    }

    /** Closes nodes that enough peers report as closed by member lists newer than the one here. */
    @Override
    public void peerReportsChanged(PeerClosureReports reports) {
        reportingPeers = reports.reportingInstances();
        List<PeerClosureReports.Closure> newerClosures =
                reports.closuresNewerThan(members.latestGeneration());
        if (newerClosures.isEmpty()) {
            return;
        }
        Map<Long, String> idsByHash = new HashMap<>();
        members.nodeIds().forEach(id -> idsByHash.put(PeerRegistry.hash(id), id));
        List<Member> closedMembers = new ArrayList<>();
        for (PeerClosureReports.Closure closure : newerClosures) {
            String id = idsByHash.get(closure.nodeHash());
            Member member =
                    id == null
                            ? null
                            : members.closeByPeerReport(
                                    id, closure.generation(), closure.startedMs());
            if (member != null) {
                closedMembers.add(member);
                log.info(
                        "closed-elsewhere",
                        "id",
                        id,
                        "generation",
                        closure.generation(),
                        "latest_here",
                        members.latestGeneration());
            }
        }
        if (!closedMembers.isEmpty()) {
            tick();
            engine.updateMembers(false, closedMembers.stream().map(Member::row).toList());
            if (recovery != null) {
                recovery.updateMembers(closedMembers);
            }
        }
    }

    @Override
    public HealthObservation observeHealth(int node) {
        return engine.observeHealth(node);
    }

    @Override
    public void setSuspected(int node, boolean suspected) {
        tick();
        engine.setSuspected(node, suspected);
    }

    @Override
    public void better(int node) {
        tick();
        engine.advanceTrial(node);
    }

    // ---- actions of the routing engine

    @Override
    public void submit(int slot, int node, Duration timeout) {
        counters.submitted++;
        Exchange exchange = exchanges.get(slot);
        if (exchange.key() != 0) {
            recovery.recordSend(exchange.key(), clock.now());
        }
        connectionManager.submit(exchange, node, timeout);
    }

    @Override
    public void decline(int slot, Duration retryAfter) {
        exchanges.get(slot).decline(retryAfter);
    }

    @Override
    public void reportUnknownOutcome(int slot) {
        exchanges.get(slot).rollBack();
    }

    @Override
    public void closeIdleConnections(int node) {
        connectionManager.closeIdleConnections(node);
    }

    @Override
    public void probe(int node) {
        connectionManager.probe(node);
    }

    /** Does nothing: the discovery client runs continuously. */
    @Override
    public void watchMemberList() {}

    @Override
    public void scheduleWakeUp(Duration delay) {
        loopLag.expectTick(clock.now().plus(delay));
        loop.schedule(
                () -> {
                    try {
                        tick();
                        loopLag.recordTick(clock.now());
                        counters.longestLoopTurnMillis =
                                Math.max(
                                        counters.longestLoopTurnMillis,
                                        loopLag.longestLag().toMillis());
                        engine.onWakeUp();
                        if (peerHealth != null) {
                            peerHealth.tick(clock.now());
                        }
                        if (recovery != null) {
                            recovery.tick(clock.now(), members.indexCount(), engine::observeHealth);
                        }
                        removeDepartedNodes();
                    } catch (RuntimeException e) {
                        // An exception in a timer task would be stored in its future unnoticed, and
                        // the periodic tick would stop.
                        log.warn("beat", "fault", e);
                    }
                },
                delay.toNanos(),
                TimeUnit.NANOSECONDS);
    }
}
