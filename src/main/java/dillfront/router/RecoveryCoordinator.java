package dillfront.router;

import dillfront.common.logging.Log;
import dillfront.router.config.RouterSettings;
import dillfront.router.discovery.Member;
import dillfront.router.memory.RouterStateStore;
import dillfront.router.recovery.GroupRecovery;
import dillfront.router.recovery.InDoubtKeys;
import dillfront.router.recovery.PeerInDoubtKeys;
import dillfront.router.site.SiteHealthMonitor;
import dillfront.routing.api.HealthObservation;
import dillfront.routing.api.MemberState;
import dillfront.routing.api.NodeReport;
import dillfront.routing.api.NodeRole;
import dillfront.routing.api.NodeRow;
import dillfront.routing.api.RoutingSettings;
import dillfront.routing.api.SubmissionResult;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntFunction;

/**
 * Tracks state that outlives a single transaction, as far as the operator's file enables it: keyed
 * transactions in doubt, and the recovery state of each group. Connects these decisions to the
 * state store and the router's events. Runs on the event loop.
 */
final class RecoveryCoordinator implements GroupRecovery.Listener, SiteHealthMonitor.Listener {

    /**
     * Maximum number of state changes logged per window; the window is 40 connect timeouts. Further
     * changes are only counted.
     */
    private static final int MAX_LOG_LINES_PER_WINDOW = 64;

    private static final int LOG_WINDOW_CONNECT_TIMEOUTS = 40;

    private final Log log;

    /** Null if keyed transactions are not tracked. */
    private final InDoubtKeys inDoubtKeys;

    private final RouterStateStore stateStore;
    private final GroupRecovery groupRecovery;

    /** Null if site health monitoring is off. */
    private final SiteHealthMonitor siteHealth;

    private Map<Integer, String> zoneNames = Map.of();
    private Duration connectTimeout;
    private Duration logWindowStart = Duration.ZERO;
    private int logLinesInWindow;
    private long suppressedLogLines;
    private Duration now = Duration.ZERO;

    /** Keys that other routers report as in doubt; null if peers do not report them. */
    private PeerInDoubtKeys peerInDoubtKeys;

    /**
     * @param limits limits on tracked keys; null if keyed transactions are not tracked
     * @param stateStore null if no state is persisted
     * @param watchesSites whether node failures are evaluated per site
     */
    RecoveryCoordinator(
            InDoubtKeys.Limits limits,
            RouterStateStore stateStore,
            boolean watchesSites,
            RouterSettings routerSettings,
            Duration startTime,
            Log log) {
        this.log = log;
        this.stateStore = stateStore;
        RoutingSettings settings = routerSettings.routing();
        connectTimeout = settings.connectTimeout();
        updateZoneNames(routerSettings);
        siteHealth =
                watchesSites
                        ? new SiteHealthMonitor(
                                zoneNames.getOrDefault(settings.zone(), ""), connectTimeout, this)
                        : null;
        inDoubtKeys = limits == null ? null : new InDoubtKeys(limits, stateStore);
        groupRecovery = new GroupRecovery(startTime, connectTimeout, settings.warmUpTime(), this);
        if (stateStore != null) {
            stateStore.primaries().forEach(groupRecovery::restorePrimary);
            if (inDoubtKeys != null) {
                stateStore.inDoubtKeys().forEach(key -> inDoubtKeys.restore(key, startTime));
            }
        }
    }

    void peerInDoubtKeys(PeerInDoubtKeys peerKeys) {
        peerInDoubtKeys = peerKeys;
    }

    private boolean isInDoubtAtPeer(long key) {
        return peerInDoubtKeys != null && peerInDoubtKeys.mayBeInDoubt(key);
    }

    InDoubtKeys inDoubtKeys() {
        return inDoubtKeys;
    }

    void applySettings(RouterSettings newSettings) {
        connectTimeout = newSettings.routing().connectTimeout();
        groupRecovery.settings(connectTimeout, newSettings.routing().warmUpTime());
        updateZoneNames(newSettings);
        if (siteHealth != null) {
            siteHealth.setDialTimeout(connectTimeout);
        }
    }

    private void updateZoneNames(RouterSettings routerSettings) {
        Map<Integer, String> namesByIndex = new HashMap<>();
        routerSettings.zoneIndices().forEach((name, index) -> namesByIndex.put(index, name));
        zoneNames = namesByIndex;
    }

    // ---- transactions

    boolean tracksKeys() {
        return inDoubtKeys != null;
    }

    boolean begin(long key, Duration time) {
        return inDoubtKeys.begin(key, time);
    }

    /**
     * Returns since when the transaction may have run; null if neither this router nor a peer has
     * it in doubt.
     */
    Duration mayHaveRunSince(long key) {
        Duration since = inDoubtKeys.mayHaveRunSince(key);
        return since == null && isInDoubtAtPeer(key) ? InDoubtKeys.BEFORE_THIS_RUN : since;
    }

    void recordSend(long key, Duration time) {
        inDoubtKeys.recordSend(key, time);
    }

    void finish(long key, Duration time) {
        inDoubtKeys.finish(key, time);
    }

    /**
     * Records the end of a submission.
     *
     * @param key key of the transaction; 0 if it has none
     */
    void recordSubmissionEnd(
            long key,
            int node,
            SubmissionResult result,
            boolean clientAnswered,
            NodeReport report,
            Duration time) {
        if (key != 0) {
            inDoubtKeys.recordEnd(key, result.mayHaveRun(), clientAnswered);
        }
        if (result == SubmissionResult.UNREACHABLE || result == SubmissionResult.TIMED_OUT) {
            groupRecovery.recordNoAnswer(node);
        } else if (result != SubmissionResult.UNSENT
                && result != SubmissionResult.WITHDRAWN
                && result != SubmissionResult.RESET) {
            groupRecovery.recordAnswer(node, report.role(), report.position(), time);
        }
    }

    /**
     * Returns whether a write may go to this node now; checked again immediately before the send,
     * since another router may report the key as in doubt while the write waits for the state store
     * or a connection.
     *
     * @param key key of the transaction; 0 if it has none
     */
    boolean mayWrite(long key, int node, Duration time) {
        return (key == 0 || !isInDoubtAtPeer(key)) && groupRecovery.mayWrite(node, time);
    }

    /**
     * Discards the report of a node that claims to be the primary but is not accepted for writes:
     * its replay position counts as little as its role.
     */
    NodeReport trustedReport(int node, NodeReport report, Duration time) {
        return report.role() == NodeRole.PRIMARY && !groupRecovery.isPrimaryAccepted(node, time)
                ? NodeReport.EMPTY
                : report;
    }

    // ---- nodes

    void recordProbe(int node, boolean answered, NodeReport report, Duration time) {
        if (answered) {
            groupRecovery.recordAnswer(node, report.role(), report.position(), time);
        } else {
            groupRecovery.recordNoAnswer(node);
        }
    }

    void updateMembers(List<Member> members) {
        for (Member member : members) {
            NodeRow row = member.row();
            groupRecovery.updateNode(
                    row.node(),
                    member.id(),
                    row.group(),
                    row.started(),
                    row.standing() == MemberState.READY);
            if (siteHealth != null) {
                siteHealth.updateNode(
                        row.node(),
                        zoneNames.getOrDefault(row.zone(), "?"),
                        row.standing() == MemberState.READY);
            }
        }
    }

    void setDiscoveryAvailable(boolean available) {
        groupRecovery.discoveryAvailable(available);
    }

    void removeNode(int node) {
        groupRecovery.removeNode(node);
        if (siteHealth != null) {
            siteHealth.removeNode(node);
        }
    }

    /**
     * @param observations the router's health observation of each node, by node index
     * @param nodeCount number of node indices in use
     */
    void tick(Duration time, int nodeCount, IntFunction<HealthObservation> observations) {
        now = time;
        groupRecovery.tick(time);
        for (int node = 0; node < nodeCount && siteHealth != null; node++) {
            siteHealth.observe(node, observations.apply(node));
        }
        if (siteHealth != null) {
            siteHealth.tick(time);
        }
        if (inDoubtKeys != null) {
            inDoubtKeys.expire(time);
        }
        if (peerInDoubtKeys != null) {
            peerInDoubtKeys.expire(time);
        }
    }

    private boolean mayLog() {
        if (now.minus(logWindowStart)
                        .compareTo(connectTimeout.multipliedBy(LOG_WINDOW_CONNECT_TIMEOUTS))
                > 0) {
            logWindowStart = now;
            logLinesInWindow = 0;
        }
        if (logLinesInWindow++ >= MAX_LOG_LINES_PER_WINDOW) {
            suppressedLogLines++;
            return false;
        }
        return true;
    }

    @Override
    public void groupStateChanged(int group, GroupRecovery.State from, GroupRecovery.State to) {
        if (mayLog()) {
            log.info(
                    "recovery",
                    "group",
                    group,
                    "from",
                    name(from),
                    "to",
                    name(to),
                    "loss",
                    name(groupRecovery.outageScope()),
                    "sure",
                    String.format(Locale.ROOT, "%.2f", groupRecovery.confidence()));
        }
    }

    @Override
    public void siteStateChanged(
            String site, SiteHealthMonitor.State from, SiteHealthMonitor.State to) {
        if (mayLog()) {
            log.info("site", "site", site, "from", name(from), "to", name(to));
        }
    }

    @Override
    public void siteStateChanged(
            SiteHealthMonitor.Reachability from, SiteHealthMonitor.Reachability to) {
        if (mayLog()) {
            log.info("site", "self", name(to), "from", name(from));
        }
    }

    private static String name(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    @Override
    public void leads(int group, String node) {
        if (stateStore != null) {
            stateStore.storePrimary(group, node);
        }
    }

    /** Returns the status shown to the operator: sections of names and values in display order. */
    Map<String, Object> status(int closedNodeCount, int reportingPeerCount) {
        Map<String, Object> sections = new LinkedHashMap<>();
        Map<String, Object> recovery = new LinkedHashMap<>();
        recovery.put("loss", name(groupRecovery.outageScope()));
        recovery.put("sure", Math.round(groupRecovery.confidence() * 100) / 100.0);
        recovery.put("closings", closedNodeCount);
        recovery.put("witnesses", reportingPeerCount);
        recovery.put("writes_held_back", groupRecovery.heldWrites());
        recovery.put("changes_unsaid", suppressedLogLines);
        sections.put("recovery", recovery);
        Map<String, Object> states = new LinkedHashMap<>();
        groupRecovery
                .states()
                .forEach(
                        (group, state) ->
                                states.put(
                                        String.valueOf(group),
                                        name(state)
                                                + (groupRecovery.awaitedPrimary(group) == null
                                                        ? ""
                                                        : ", awaits "
                                                                + groupRecovery.awaitedPrimary(
                                                                        group))));
        sections.put("groups", states);
        if (siteHealth != null) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("self", name(siteHealth.reachability()));
            siteHealth.states().forEach((site, state) -> fields.put(site, name(state)));
            sections.put("sites", fields);
        }
        if (stateStore != null) {
            Map<String, Object> storeStatus = stateStore.status();
            storeStatus.put("leaders", String.join(",", groupRecovery.leaders()));
            sections.put("memory", storeStatus);
        }
        if (inDoubtKeys != null) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("in_doubt", inDoubtKeys.inDoubtCount());
            fields.put("kept", inDoubtKeys.size());
            fields.put("met", inDoubtKeys.repeated());
            fields.put("settled", inDoubtKeys.resolved());
            fields.put("refused", inDoubtKeys.refused());
            sections.put("doubts", fields);
        }
        if (peerInDoubtKeys != null) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("telling", peerInDoubtKeys.reportingInstances());
            fields.put("echoing", peerInDoubtKeys.echoingInstances());
            fields.put("heard", peerInDoubtKeys.accepted());
            fields.put("refused", peerInDoubtKeys.rejected());
            sections.put("others", fields);
        }
        return sections;
    }
}
