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
 * What a router keeps in mind beyond the txn that asks, where the operator's file has it:
 * referenced txns that may have run, and how far each group has come back. Joins these decisions to
 * the disk and to the router's words. On the loop.
 */
final class RecoveryCoordinator implements GroupRecovery.Listener, SiteHealthMonitor.Listener {

    /**
     * State changes that are logged within one span of this length, in dial time-outs; the rest are
     * counted.
     */
    private static final int MAX_LOG_LINES_PER_WINDOW = 64;

    private static final int LOG_WINDOW_CONNECT_TIMEOUTS = 40;

    private final Log log;

    /** Null where it is off. */
    private final InDoubtKeys inDoubtKeys;

    private final RouterStateStore stateStore;
    private final GroupRecovery groupRecovery;

    /** Null where they are not watched. */
    private final SiteHealthMonitor siteHealth;

    private Map<Integer, String> zoneNames = Map.of();
    private Duration connectTimeout;
    private Duration logWindowStart = Duration.ZERO;
    private int logLinesInWindow;
    private long suppressedLogLines;
    private Duration now = Duration.ZERO;

    /** What other routers have in doubt; null where none tells. */
    private PeerInDoubtKeys peerInDoubtKeys;

    /**
     * @param bounds of the txns in doubt; null where they are not kept in mind
     * @param memory null where nothing is remembered
     * @param watchesSites what is lost is judged by site
     */
    RecoveryCoordinator(
            InDoubtKeys.Limits bounds,
            RouterStateStore memory,
            boolean watchesSites,
            RouterSettings setup,
            Duration began,
            Log log) {
        this.log = log;
        this.stateStore = memory;
        RoutingSettings settings = setup.routing();
        connectTimeout = settings.connectTimeout();
        updateZoneNames(setup);
        siteHealth =
                watchesSites
                        ? new SiteHealthMonitor(zoneNames.getOrDefault(settings.zone(), ""), connectTimeout, this)
                        : null;
        inDoubtKeys = bounds == null ? null : new InDoubtKeys(bounds, memory);
        groupRecovery = new GroupRecovery(began, connectTimeout, settings.warmUpTime(), this);
        if (memory != null) {
            memory.primaries().forEach(groupRecovery::restorePrimary);
            if (inDoubtKeys != null) {
                memory.inDoubtKeys().forEach(key -> inDoubtKeys.restore(key, began));
            }
        }
    }

    void peerInDoubtKeys(PeerInDoubtKeys tell) {
        peerInDoubtKeys = tell;
    }

    private boolean isInDoubtAtPeer(long key) {
        return peerInDoubtKeys != null && peerInDoubtKeys.mayBeInDoubt(key);
    }

    InDoubtKeys inDoubtKeys() {
        return inDoubtKeys;
    }

    void applySettings(RouterSettings next) {
        connectTimeout = next.routing().connectTimeout();
        groupRecovery.settings(connectTimeout, next.routing().warmUpTime());
        updateZoneNames(next);
        if (siteHealth != null) {
            siteHealth.setDialTimeout(connectTimeout);
        }
    }

    private void updateZoneNames(RouterSettings setup) {
        Map<Integer, String> names = new HashMap<>();
        setup.zoneIndices().forEach((name, index) -> names.put(index, name));
        zoneNames = names;
    }

    // ---- txns

    boolean tracksKeys() {
        return inDoubtKeys != null;
    }

    boolean begin(long key, Duration clock) {
        return inDoubtKeys.begin(key, clock);
    }

    /** Since when it may have run; null where nothing here or elsewhere says so. */
    Duration mayHaveRunSince(long key) {
        Duration ran = inDoubtKeys.mayHaveRunSince(key);
        return ran == null && isInDoubtAtPeer(key) ? InDoubtKeys.BEFORE_THIS_RUN : ran;
    }

    void recordSend(long key, Duration clock) {
        inDoubtKeys.recordSend(key, clock);
    }

    void finish(long key, Duration clock) {
        inDoubtKeys.finish(key, clock);
    }

    /** A submission ended, of a txn with a key or without (0). */
    void recordSubmissionEnd(
            long key,
            int node,
            SubmissionResult result,
            boolean told,
            NodeReport note,
            Duration clock) {
        if (key != 0) {
            inDoubtKeys.recordEnd(key, result.mayHaveRun(), told);
        }
        if (result == SubmissionResult.UNREACHABLE || result == SubmissionResult.TIMED_OUT) {
            groupRecovery.recordNoAnswer(node);
        } else if (result != SubmissionResult.UNSENT
                && result != SubmissionResult.WITHDRAWN
                && result != SubmissionResult.RESET) {
            groupRecovery.recordAnswer(node, note.role(), note.position(), clock);
        }
    }

    /**
     * Whether a write of this key, 0 where it has none, may go to this node now; asked again at the
     * send. Guards against a write that waited for the disk or a connection while another router
     * told that it may have run.
     */
    boolean mayWrite(long key, int node, Duration clock) {
        return (key == 0 || !isInDoubtAtPeer(key)) && groupRecovery.mayWrite(node, clock);
    }

    /**
     * One that claims to lead, and gets no write, stands at no present either: nothing that it says
     * of itself counts.
     */
    NodeReport trustedReport(int node, NodeReport says, Duration clock) {
        return says.role() == NodeRole.PRIMARY && !groupRecovery.isPrimaryAccepted(node, clock)
                ? NodeReport.EMPTY
                : says;
    }

    // ---- nodes

    void recordProbe(int node, boolean answered, NodeReport report, Duration clock) {
        if (answered) {
            groupRecovery.recordAnswer(node, report.role(), report.position(), clock);
        } else {
            groupRecovery.recordNoAnswer(node);
        }
    }

    void updateMembers(List<Member> members) {
        for (Member m : members) {
            NodeRow row = m.row();
            groupRecovery.updateNode(
                    row.node(),
                    m.id(),
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

    void setDiscoveryAvailable(boolean there) {
        groupRecovery.discoveryAvailable(there);
    }

    void removeNode(int node) {
        groupRecovery.removeNode(node);
        if (siteHealth != null) {
            siteHealth.removeNode(node);
        }
    }

    /**
     * @param sees what the router sees of each node, by its index, of so many
     */
    void tick(Duration clock, int nodes, IntFunction<HealthObservation> sees) {
        now = clock;
        groupRecovery.tick(clock);
        for (int node = 0; node < nodes && siteHealth != null; node++) {
            siteHealth.observe(node, sees.apply(node));
        }
        if (siteHealth != null) {
            siteHealth.tick(clock);
        }
        if (inDoubtKeys != null) {
            inDoubtKeys.expire(clock);
        }
        if (peerInDoubtKeys != null) {
            peerInDoubtKeys.expire(clock);
        }
    }

    private boolean mayLog() {
        if (now.minus(logWindowStart).compareTo(connectTimeout.multipliedBy(LOG_WINDOW_CONNECT_TIMEOUTS)) > 0) {
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

    private static String name(Enum<?> of) {
        return of.name().toLowerCase(Locale.ROOT);
    }

    @Override
    public void leads(int group, String node) {
        if (stateStore != null) {
            stateStore.storePrimary(group, node);
        }
    }

    /** For the operator: sections of names and values, in the order in which they are shown. */
    Map<String, Object> status(int closings, int witnesses) {
        Map<String, Object> all = new LinkedHashMap<>();
        Map<String, Object> recovery = new LinkedHashMap<>();
        recovery.put("loss", name(groupRecovery.outageScope()));
        recovery.put("sure", Math.round(groupRecovery.confidence() * 100) / 100.0);
        recovery.put("closings", closings);
        recovery.put("witnesses", witnesses);
        recovery.put("writes_held_back", groupRecovery.heldWrites());
        recovery.put("changes_unsaid", suppressedLogLines);
        all.put("recovery", recovery);
        Map<String, Object> states = new LinkedHashMap<>();
        groupRecovery.states()
                .forEach(
                        (group, state) ->
                                states.put(
                                        String.valueOf(group),
                                        name(state)
                                                + (groupRecovery.awaitedPrimary(group) == null
                                                        ? ""
                                                        : ", awaits "
                                                                + groupRecovery.awaitedPrimary(group))));
        all.put("groups", states);
        if (siteHealth != null) {
            Map<String, Object> rows = new LinkedHashMap<>();
            rows.put("self", name(siteHealth.reachability()));
            siteHealth.states().forEach((site, state) -> rows.put(site, name(state)));
            all.put("sites", rows);
        }
        if (stateStore != null) {
            Map<String, Object> kept = stateStore.status();
            kept.put("leaders", String.join(",", groupRecovery.leaders()));
            all.put("memory", kept);
        }
        if (inDoubtKeys != null) {
            Map<String, Object> rows = new LinkedHashMap<>();
            rows.put("in_doubt", inDoubtKeys.inDoubtCount());
            rows.put("kept", inDoubtKeys.size());
            rows.put("met", inDoubtKeys.repeated());
            rows.put("settled", inDoubtKeys.resolved());
            rows.put("refused", inDoubtKeys.refused());
            all.put("doubts", rows);
        }
        if (peerInDoubtKeys != null) {
            Map<String, Object> rows = new LinkedHashMap<>();
            rows.put("telling", peerInDoubtKeys.reportingInstances());
            rows.put("echoing", peerInDoubtKeys.echoingInstances());
            rows.put("heard", peerInDoubtKeys.accepted());
            rows.put("refused", peerInDoubtKeys.rejected());
            all.put("others", rows);
        }
        return all;
    }
}
