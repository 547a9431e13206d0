package dillfront.router;

import dillfront.common.logging.Log;
import dillfront.router.config.Setup;
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
final class Ledger implements GroupRecovery.Listener, SiteHealthMonitor.Listener {

    /**
     * State changes that are logged within one span of this length, in dial time-outs; the rest are
     * counted.
     */
    private static final int LINES = 64;

    private static final int LINES_DIALS = 40;

    private final Log log;

    /** Null where it is off. */
    private final InDoubtKeys doubts;

    private final RouterStateStore memory;
    private final GroupRecovery groups;

    /** Null where they are not watched. */
    private final SiteHealthMonitor sites;

    private Map<Integer, String> zones = Map.of();
    private Duration dial;
    private Duration linesFrom = Duration.ZERO;
    private int lines;
    private long unsaid;
    private Duration now = Duration.ZERO;

    /** What other routers have in doubt; null where none tells. */
    private PeerInDoubtKeys others;

    /**
     * @param bounds of the txns in doubt; null where they are not kept in mind
     * @param memory null where nothing is remembered
     * @param watchesSites what is lost is judged by site
     */
    Ledger(
            InDoubtKeys.Limits bounds,
            RouterStateStore memory,
            boolean watchesSites,
            Setup setup,
            Duration began,
            Log log) {
        this.log = log;
        this.memory = memory;
        RoutingSettings settings = setup.settings();
        dial = settings.connectTimeout();
        named(setup);
        sites =
                watchesSites
                        ? new SiteHealthMonitor(zones.getOrDefault(settings.zone(), ""), dial, this)
                        : null;
        doubts = bounds == null ? null : new InDoubtKeys(bounds, memory);
        groups = new GroupRecovery(began, dial, settings.warmUpTime(), this);
        if (memory != null) {
            memory.primaries().forEach(groups::restorePrimary);
            if (doubts != null) {
                memory.inDoubtKeys().forEach(key -> doubts.restore(key, began));
            }
        }
    }

    void others(PeerInDoubtKeys tell) {
        others = tell;
    }

    private boolean elsewhere(long key) {
        return others != null && others.mayBeInDoubt(key);
    }

    InDoubtKeys doubts() {
        return doubts;
    }

    void settings(Setup next) {
        dial = next.settings().connectTimeout();
        groups.settings(dial, next.settings().warmUpTime());
        named(next);
        if (sites != null) {
            sites.setDialTimeout(dial);
        }
    }

    private void named(Setup setup) {
        Map<Integer, String> names = new HashMap<>();
        setup.zones().forEach((name, index) -> names.put(index, name));
        zones = names;
    }

    // ---- txns

    boolean keeps() {
        return doubts != null;
    }

    boolean take(long key, Duration clock) {
        return doubts.begin(key, clock);
    }

    /** Since when it may have run; null where nothing here or elsewhere says so. */
    Duration ran(long key) {
        Duration ran = doubts.mayHaveRunSince(key);
        return ran == null && elsewhere(key) ? InDoubtKeys.BEFORE_THIS_RUN : ran;
    }

    void sends(long key, Duration clock) {
        doubts.recordSend(key, clock);
    }

    void over(long key, Duration clock) {
        doubts.finish(key, clock);
    }

    /** A submission ended, of a txn with a key or without (0). */
    void ended(
            long key,
            int node,
            SubmissionResult result,
            boolean told,
            NodeReport note,
            Duration clock) {
        if (key != 0) {
            doubts.recordEnd(key, result.mayHaveRun(), told);
        }
        if (result == SubmissionResult.UNREACHABLE || result == SubmissionResult.TIMED_OUT) {
            groups.recordNoAnswer(node);
        } else if (result != SubmissionResult.UNSENT
                && result != SubmissionResult.WITHDRAWN
                && result != SubmissionResult.RESET) {
            groups.recordAnswer(node, note.role(), note.position(), clock);
        }
    }

    /**
     * Whether a write of this key, 0 where it has none, may go to this node now; asked again at the
     * send. Guards against a write that waited for the disk or a connection while another router
     * told that it may have run.
     */
    boolean mayWrite(long key, int node, Duration clock) {
        return (key == 0 || !elsewhere(key)) && groups.mayWrite(node, clock);
    }

    /**
     * One that claims to lead, and gets no write, stands at no present either: nothing that it says
     * of itself counts.
     */
    NodeReport believed(int node, NodeReport says, Duration clock) {
        return says.role() == NodeRole.PRIMARY && !groups.isPrimaryAccepted(node, clock)
                ? NodeReport.EMPTY
                : says;
    }

    // ---- nodes

    void probed(int node, boolean answered, NodeReport report, Duration clock) {
        if (answered) {
            groups.recordAnswer(node, report.role(), report.position(), clock);
        } else {
            groups.recordNoAnswer(node);
        }
    }

    void listed(List<Member> members) {
        for (Member m : members) {
            NodeRow row = m.row();
            groups.updateNode(
                    row.node(),
                    m.id(),
                    row.group(),
                    row.started(),
                    row.standing() == MemberState.READY);
            if (sites != null) {
                sites.updateNode(
                        row.node(),
                        zones.getOrDefault(row.zone(), "?"),
                        row.standing() == MemberState.READY);
            }
        }
    }

    void discovery(boolean there) {
        groups.discoveryAvailable(there);
    }

    void forget(int node) {
        groups.removeNode(node);
        if (sites != null) {
            sites.removeNode(node);
        }
    }

    /**
     * @param sees what the router sees of each node, by its index, of so many
     */
    void beat(Duration clock, int nodes, IntFunction<HealthObservation> sees) {
        now = clock;
        groups.tick(clock);
        for (int node = 0; node < nodes && sites != null; node++) {
            sites.observe(node, sees.apply(node));
        }
        if (sites != null) {
            sites.tick(clock);
        }
        if (doubts != null) {
            doubts.expire(clock);
        }
        if (others != null) {
            others.expire(clock);
        }
    }

    private boolean mayLog() {
        if (now.minus(linesFrom).compareTo(dial.multipliedBy(LINES_DIALS)) > 0) {
            linesFrom = now;
            lines = 0;
        }
        if (lines++ >= LINES) {
            unsaid++;
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
                    name(groups.outageScope()),
                    "sure",
                    String.format(Locale.ROOT, "%.2f", groups.confidence()));
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
        if (memory != null) {
            memory.storePrimary(group, node);
        }
    }

    /** For the operator: sections of names and values, in the order in which they are shown. */
    Map<String, Object> status(int closings, int witnesses) {
        Map<String, Object> all = new LinkedHashMap<>();
        Map<String, Object> recovery = new LinkedHashMap<>();
        recovery.put("loss", name(groups.outageScope()));
        recovery.put("sure", Math.round(groups.confidence() * 100) / 100.0);
        recovery.put("closings", closings);
        recovery.put("witnesses", witnesses);
        recovery.put("writes_held_back", groups.heldWrites());
        recovery.put("changes_unsaid", unsaid);
        all.put("recovery", recovery);
        Map<String, Object> states = new LinkedHashMap<>();
        groups.states()
                .forEach(
                        (group, state) ->
                                states.put(
                                        String.valueOf(group),
                                        name(state)
                                                + (groups.awaitedPrimary(group) == null
                                                        ? ""
                                                        : ", awaits "
                                                                + groups.awaitedPrimary(group))));
        all.put("groups", states);
        if (sites != null) {
            Map<String, Object> rows = new LinkedHashMap<>();
            rows.put("self", name(sites.reachability()));
            sites.states().forEach((site, state) -> rows.put(site, name(state)));
            all.put("sites", rows);
        }
        if (memory != null) {
            Map<String, Object> kept = memory.status();
            kept.put("leaders", String.join(",", groups.leaders()));
            all.put("memory", kept);
        }
        if (doubts != null) {
            Map<String, Object> rows = new LinkedHashMap<>();
            rows.put("in_doubt", doubts.inDoubtCount());
            rows.put("kept", doubts.size());
            rows.put("met", doubts.repeated());
            rows.put("settled", doubts.resolved());
            rows.put("refused", doubts.refused());
            all.put("doubts", rows);
        }
        if (others != null) {
            Map<String, Object> rows = new LinkedHashMap<>();
            rows.put("telling", others.reportingInstances());
            rows.put("echoing", others.echoingInstances());
            rows.put("heard", others.accepted());
            rows.put("refused", others.rejected());
            all.put("others", rows);
        }
        return all;
    }
}
