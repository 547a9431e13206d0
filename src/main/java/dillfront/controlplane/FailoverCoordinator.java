package dillfront.controlplane;

import com.eclipsesource.json.Json;
import dillfront.common.config.Configuration;
import dillfront.common.database.AcceptedDataLoss;
import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.database.LogPosition;
import dillfront.controlplane.failover.PrimaryObservation;
import dillfront.controlplane.failover.PrimaryRecord;
import dillfront.controlplane.lease.FencingTokens;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.registry.DatabaseServer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The one duty there is: which server leads each service. Only the holder of the lease acts. A
 * service whose primary is lost or drains is first recorded as moving, and nothing is done before a
 * majority has that record: whoever holds the lease next finds it and goes on. A replica is named
 * only when no acknowledged commit can be missing from its log, and no front can still take another
 * for the primary.
 */
final class FailoverCoordinator {

    private static final long PROBE_MS = 500;

    /**
     * Suspicion is cheap to be wrong about: a primary that answers while its service moves leads
     * on.
     */
    private static final long SUSPECT_MS = 300;

    private static final long PROBE_GAP_MS = 250;
    private static final long PLATFORM_MS = 1_500;
    private static final long AGAIN_MS = 200;

    /** The page says some hundred ms from a call to the new primary. */
    private static final long PROMOTES_MS = 1_500;

    /** Open transactions may end, before a planned move. */
    private static final long OPEN_MS = 900;

    /**
     * A replica gets so long to receive what the old primary had last, before the longest log is
     * taken as it is.
     */
    private static final long CATCH_UP_MS = 2_500;

    /** A server that was silent for so long when its primary was still there is not waited for. */
    private static final long LONG_SILENT_MS = 10_000;

    /**
     * One that said that it leaves does not come back: with so many questions in vain it has ended.
     */
    private static final int ENDED_AFTER = 2;

    /**
     * Where logs may lack a commit, they receive for so long before they are stopped and looked at
     * again.
     */
    private static final long RECEIVE_MS = 1_000;

    /** Where it is not known whether they do, for so long altogether. */
    private static final long UNSURE_MS = 4_000;

    private static final long RESUME_MS = 500;
    private static final long TELL_WAIT_MS = 1_000;

    /**
     * A word that was on its way when a service settled has arrived, or never does, once this is
     * over.
     */
    private static final long ON_ITS_WAY_MS = 3_500;

    private static final long NO_LEAD_MS = 4_000;

    /**
     * From the platform's yes until the one named is asked whether it leads, and from one such
     * question to the next.
     */
    private static final long LEAD_FROM_MS = 350;

    private static final long LEAD_PROBE_MS = 350;
    private static final long LEAD_GAP_MS = 150;

    /**
     * From one look at whether a replica has what a primary that drains had to the next; twice as
     * long each time, up to a bound.
     */
    private static final long COMPARE_GAP_MS = 60;

    private static final long COMPARE_MOST_MS = 500;

    /** A lease that ends sooner is no ground to begin a call on. */
    private static final long LEFT_MS = 300;

    /** What is watched of a primary that leads. */
    private static final class Watch {
        int misses;
        long probedAt = Long.MIN_VALUE / 2;
        boolean probing;
        boolean calling;
        long refusedUntil;

        /**
         * Whether another could take over from one that drains is being asked, and when it was
         * asked last.
         */
        boolean comparing;

        long comparedAt = Long.MIN_VALUE / 2;
        long compareGap = COMPARE_GAP_MS;

        /** Of the record under which replicas are resumed: those that have not answered yet. */
        long resuming = -1;

        long resumingFrom;
        final TreeSet<String> paused = new TreeSet<>();
        final TreeSet<String> asking = new TreeSet<>();
        final Map<String, Long> askAgain = new TreeMap<>();
    }

    private enum Step {
        CLEAR,
        STOP,
        CHOOSE,
        NAME,
        WAIT
    }

    /** A service on its way to another primary. */
    private static final class Move {
        PrimaryRecord lead;
        final boolean planned;
        final long since;

        /**
         * Found as it was left by an earlier holder: a call of that one may still be on its way.
         */
        final boolean inherited;

        Step step = Step.CLEAR;
        boolean busy;
        long again;
        boolean stepped;
        LogPosition last;
        long steppedAt;
        boolean forced;
        boolean paused;

        /** Of its PAUSE. */
        long term;

        /**
         * Since when every log that is left lacks what may have been acknowledged; -1 while that is
         * not so.
         */
        long lacksFrom = -1;

        /** What no log that is left holds; null while that is not so. */
        DataLossManager.MissingCommits lack;

        /** Whoever leads is asked how far its log reaches. */
        boolean measuring;

        long toldLackAt = Long.MIN_VALUE / 2;
        long toldWaitAt = Long.MIN_VALUE / 2;
        final Map<String, ServerQuery.ServerStatus> rows = new TreeMap<>();
        final TreeSet<String> asking = new TreeSet<>();
        final Map<String, Long> askAgain = new TreeMap<>();

        /** How often each gave no answer at all, one after the other. */
        final Map<String, Integer> unanswered = new TreeMap<>();

        final TreeSet<String> refused = new TreeSet<>();

        /**
         * Once it is named, it is the only one that may lead, until the platform says that the call
         * is not carried out.
         */
        String target;

        long namedAt;
        boolean named;
        long fence;
        boolean fenced;

        /** The platform did not take that call: it is asked again from then on. */
        long fenceAgain;

        boolean anew;

        /**
         * The one named said that it leads before it was named: that it still says so in a beat
         * tells nothing.
         */
        boolean claimed;

        /** When calls of earlier holders were known to be fenced off. */
        long fencedAt = Long.MIN_VALUE / 2;

        Move(PrimaryRecord lead, boolean planned, boolean inherited, long since) {
            this.lead = lead;
            this.planned = planned;
            this.inherited = inherited;
            paused = lead.replicationPaused() || inherited;
            this.since = since;
        }
    }

    private final ControlNode core;
    private final Map<String, Watch> watches = new TreeMap<>();
    private final Map<String, Move> moves = new TreeMap<>();

    /** The lease under which all of this was begun. */
    private long held;

    private long heldFrom;
    private boolean taken;
    private long awayAt = Long.MIN_VALUE / 2;
    private final FencingTokens numbers;

    FailoverCoordinator(ControlNode core) {
        this.core = core;
        numbers = new FencingTokens(core);
    }

    /** This process holds the lease and knows all that earlier holders recorded. */
    boolean settled() {
        return taken && core.lease.isHeld() && core.lease.number() == held;
    }

    private long now() {
        return core.host.nowMillis();
    }

    void poll() {
        if (!core.lease.isHeld()) {
            if (held != 0) {
                held = 0;
                taken = false;
                moves.clear();
                watches.clear();
            }
            return;
        }
        if (held != core.lease.number()) {
            held = core.lease.number();
            heldFrom = now();
            numbers.startLease(held);
            taken = false;
            moves.clear();
            watches.clear();
        }
        if (!taken) {
            take();
            return;
        }
        TreeSet<String> suspected = new TreeSet<>();
        for (String service : core.registry.services()) {
            Move move = moves.get(service);
            if (move != null) {
                go(move);
            } else {
                PrimaryRecord lead = core.lead(service);
                if (lead == null) {
                    begin(service);
                } else {
                    if (lead.replicationPaused()) {
                        resume(lead);
                    }
                    if (watch(lead)) {
                        suspected.add(service);
                    }
                }
            }
        }
        core.suspects(suspected);
    }

    /**
     * Once a majority has answered since the lease began, what earlier holders recorded is known,
     * and is recorded anew.
     */
    private void take() {
        if (!core.quorum(
                true, p -> core.records.covers(p.lastAckSentMillis >= heldFrom, p.recordNumber))) {
            return;
        }
        taken = true;
        List<PrimaryRecord> mine = core.records.renumberAll(this::number);
        for (PrimaryRecord lead : mine) {
            if (lead.moving()) {
                moves.put(lead.service(), new Move(lead, false, true, now()));
            }
        }
        if (!mine.isEmpty()) {
            core.news();
        }
        core.poke();
    }

    private long number() {
        return numbers.next();
    }

    private Watch watchOf(String service) {
        return watches.computeIfAbsent(service, s -> new Watch());
    }

    private DatabaseServer leader(String service) {
        DatabaseServer leads = null;
        for (DatabaseServer m : core.registry.serversOf(service)) {
            if (m.isPrimary()
                    && now() - m.lastHeardMillis < 3 * core.settings.heartbeatIntervalMillis()) {
                if (leads != null) {
                    return null;
                }
                leads = m;
            }
        }
        return leads;
    }

    /**
     * Nothing is recorded: the one that says it leads does. Where others held this duty before,
     * their calls are fenced first.
     */
    private void begin(String service) {
        Watch w = watchOf(service);
        DatabaseServer leads = leader(service);
        if (leads == null || w.calling || now() < w.refusedUntil) {
            return;
        }
        if (core.settings.firstStart() && held == (1L << LeaseManager.NUMBER_BITS) + 1) {
            core.lead(new PrimaryRecord(service, number(), leads.id, false, false));
            return;
        }
        w.calling = true;
        name(service, leads.id, number())
                .whenComplete(
                        (status, fault) -> {
                            w.calling = false;
                            w.refusedUntil = now() + AGAIN_MS;
                            boolean unheard = fault != null && ++w.misses >= 2;
                            if (settled()
                                    && core.lead(service) == null
                                    && (fault == null && status == 200 || unheard)) {
                                w.misses = 0;
                                core.lead(
                                        new PrimaryRecord(
                                                service, number(), leads.id, false, true));
                            }
                        });
    }

    /**
     * Tells the platform. Each choice has a fence of its own, above all before: a call that was
     * held up on its way, and for which another was made since, is refused there.
     */
    private java.util.concurrent.CompletableFuture<Integer> name(
            String service, String id, long fence) {
        String json = Json.object().add("service", service).add("instance_id", id).toString();
        return core.host
                .post(
                        core.settings.platformAddress(),
                        "/promotion",
                        json,
                        Map.of(
                                "Dillfront-Duty-Holder",
                                core.settings.nodeName(),
                                "Dillfront-Fence-Number",
                                Long.toString(fence)),
                        (int) PLATFORM_MS)
                .thenApply(dillfront.common.environment.Environment.HttpResponse::status);
    }

    // ---- a primary that leads

    /** Whether it is suspected. */
    private boolean watch(PrimaryRecord lead) {
        DatabaseServer m = core.registry.get(lead.primary());
        Watch w = watchOf(lead.service());
        DatabaseServer says = leader(lead.service());
        if (says != null
                && !says.id.equals(lead.primary())
                && (m == null || m.hasLeft() || !m.isPrimary())) {
            // Promoted by a call of an earlier holder that arrived late: so it is.
            core.lead(
                    new PrimaryRecord(
                            lead.service(), number(), says.id, false, lead.replicationPaused()));
            return false;
        }
        if (m == null || m.hasLeft()) {
            move(lead, false);
            return false;
        }
        if (m.isDraining()) {
            handOver(lead, m);
        }
        PrimaryObservation seen = seen(lead.service(), lead.primary());
        boolean quiet = silent(m);
        boolean suspect = quiet || seen.unreachable() > 0 && seen.unreachable() >= seen.reachable();
        if (!suspect) {
            w.misses = 0;
            return seen.unreachable() > 0;
        }
        if (w.probing || now() < w.probedAt + PROBE_GAP_MS) {
            return true;
        }
        w.probing = true;
        w.probedAt = now();
        ServerQuery.ask(core, m, SUSPECT_MS, null)
                .whenComplete(
                        (row, fault) -> {
                            w.probing = false;
                            w.probedAt = now();
                            boolean alive =
                                    fault == null
                                            || fault instanceof ServerQuery.NoResponseException u
                                                    && u.serverAlive;
                            w.misses = alive ? 0 : w.misses + 1;
                            PrimaryObservation sees = seen(lead.service(), lead.primary());
                            boolean others =
                                    sees.unreachable() > sees.reachable()
                                            || sees.reachable() == 0 && silent(m);
                            int enough = sees.unreachable() >= 2 && sees.reachable() == 0 ? 1 : 2;
                            if (w.misses >= enough
                                    && others
                                    && settled()
                                    && core.lead(lead.service()) == lead) {
                                move(lead, false);
                            }
                        });
        return true;
    }

    /** It missed two beats and more, and not because this process was away. */
    private boolean silent(DatabaseServer m) {
        return now() - Math.max(m.lastHeardMillis, awayAt)
                > core.settings.heartbeatIntervalMillis() * 5 / 2;
    }

    /** This process itself was away until now. */
    void away() {
        awayAt = now();
    }

    private PrimaryObservation seen(String service, String primary) {
        PrimaryObservation all = core.subscriptions.observation(service, primary);
        for (ControlPeer p : core.peers()) {
            PrimaryObservation one = p.observations.get(service);
            if (core.touch(p) && one != null && one.primary().equals(primary)) {
                all = all.merge(one);
            }
        }
        return all;
    }

    /**
     * One that drains leads on until another, which stays, has received all that it had when it was
     * asked.
     */
    private void handOver(PrimaryRecord lead, DatabaseServer from) {
        Watch w = watchOf(lead.service());
        List<DatabaseServer> heirs = new ArrayList<>();
        for (DatabaseServer m : core.registry.serversOf(lead.service())) {
            if (!m.id.equals(lead.primary())
                    && !m.isDraining()
                    && now() - m.lastHeardMillis < 2 * core.settings.heartbeatIntervalMillis()) {
                heirs.add(m);
            }
        }
        if (heirs.isEmpty() || w.comparing || now() < w.comparedAt + w.compareGap) {
            return;
        }
        w.comparing = true;
        ServerQuery.ask(core, from, PROBE_MS, null)
                .whenComplete(
                        (has, fault) -> {
                            w.comparing = false;
                            w.comparedAt = now();
                            w.compareGap = Math.min(COMPARE_MOST_MS, 2 * w.compareGap);
                            if (fault != null) {
                                return;
                            }
                            for (DatabaseServer heir : heirs) {
                                ServerQuery.ask(core, heir, PROBE_MS, null)
                                        .whenComplete(
                                                (row, none) -> {
                                                    if (none == null
                                                            && row.position().covers(has.position())
                                                            && settled()
                                                            && core.lead(lead.service()) == lead) {
                                                        move(lead, true);
                                                    }
                                                });
                            }
                        });
    }

    // ---- a service that moves

    private void move(PrimaryRecord lead, boolean planned) {
        watchOf(lead.service()).misses = 0;
        PrimaryRecord moving = lead.startMove(number());
        core.lead(moving);
        moves.put(lead.service(), new Move(moving, planned, false, now()));
        if (planned) {
            core.host.trace("move " + lead.service() + " from " + lead.primary() + " planned");
        } else {
            core.host.warn("move " + lead.service() + " from " + lead.primary() + " lost");
        }
        core.poke();
    }

    private boolean mayAct() {
        return settled() && core.lease.validUntilMillis() - now() > LEFT_MS;
    }

    /** A majority of control processes has the record. */
    private boolean recorded(Move m) {
        return core.quorum(
                core.records.durableNumber() >= m.lead.number(),
                p -> p.recordNumber >= m.lead.number());
    }

    /** No front takes the old one for sure any more: each has said so, or its time is over. */
    private boolean cleared(Move m) {
        // Of earlier holders nothing is sure for longer than this past the end of their lease.
        long former =
                Math.max(heldFrom, core.lease.formerLeaseEndMillis()) + ControlNode.PAST_MS + 100;
        long over = now() - ControlNode.SURE_MS - 100;
        if (now() < former
                || !core.subscriptions.allHaveRecord(m.lead.number()) && m.since > over) {
            return false;
        }
        for (ControlPeer p : core.peers()) {
            // What it passes on as sure, it asked for in a word that was heard here; with the last
            // of them that is over too. So
            // it is with what it passed on in an earlier life, of which it cannot say that its
            // fronts have heard since.
            boolean told = p.clearedRecords.getOrDefault(m.lead.service(), -1L) >= m.lead.number();
            if (!told && Math.min(p.lastContactMillis, m.since) > over
                    || Math.min(p.formerIncarnationContactMillis, m.since) > over) {
                return false;
            }
        }
        return true;
    }

    private void go(Move m) {
        if (!mayAct() || !recorded(m) || m.measuring) {
            return;
        }
        String service = m.lead.service();
        DatabaseServer from = core.registry.get(m.lead.primary());
        DatabaseServer leads = leader(service);
        if (leads != null
                && !leads.id.equals(m.lead.primary())
                && (from == null || from.hasLeft() || !from.isPrimary())) {
            settle(m, leads.id);
        }
        if (moves.get(service) != m
                || m.measuring
                || m.step != Step.NAME && m.step != Step.WAIT && promotes(m)) {
            // It is over, or as good as over: nobody else is named.
            return;
        }
        if (m.fenced && !m.anew && m.step != Step.NAME && m.step != Step.WAIT) {
            // What was heard of logs and leaders before may be no more, now that the earlier
            // holder's call is carried out.
            m.anew = true;
            m.rows.clear();
            m.step = Step.STOP;
        }
        switch (m.step) {
            case CLEAR:
                boolean quiet =
                        !m.planned
                                || cleared(m)
                                        && seen(service, m.lead.primary()).openTransactions() == 0;
                if (quiet || now() > m.since + OPEN_MS) {
                    // Nothing is to be waited for before the next step.
                    m.step = Step.STOP;
                    stop(m, from);
                }
                break;
            case STOP:
                stop(m, from);
                break;
            case CHOOSE:
                if (cleared(m)) {
                    choose(m, from);
                }
                break;
            case NAME:
                call(m);
                break;
            default:
                wait(m);
        }
    }

    private void stop(Move m, DatabaseServer from) {
        if (m.planned && !m.forced) {
            stepDown(m, from);
        } else {
            pause(m, from);
        }
    }

    /** A primary that drains stops of its own will; what it had last is what the next must have. */
    private void stepDown(Move m, DatabaseServer from) {
        if (m.busy || now() < m.again) {
            return;
        }
        if (from == null || from.hasLeft()) {
            m.forced = true;
            return;
        }
        if (!m.stepped) {
            m.busy = true;
            ServerQuery.ask(core, from, PROBE_MS, row -> "STEPDOWN " + row.nextTerm())
                    .whenComplete(
                            (row, fault) -> {
                                m.busy = false;
                                m.again = now() + AGAIN_MS;
                                if (fault == null && !row.isPrimary()) {
                                    m.stepped = true;
                                    m.steppedAt = now();
                                    m.last = row.position();
                                    m.again = 0;
                                    poll();
                                } else if (now() > m.since + CATCH_UP_MS) {
                                    m.forced = true;
                                }
                            });
            return;
        }
        if (now() > m.steppedAt + CATCH_UP_MS) {
            m.forced = true;
            m.rows.clear();
            return;
        }
        for (DatabaseServer r : core.registry.serversOf(m.lead.service())) {
            if (r.id.equals(m.lead.primary())
                    || r.isDraining()
                    || now() - r.lastHeardMillis > 2 * core.settings.heartbeatIntervalMillis()) {
                continue;
            }
            ask(
                    m,
                    r,
                    60,
                    null,
                    row -> {
                        if (row.position().covers(m.last) && m.step == Step.STOP) {
                            m.rows.clear();
                            m.rows.put(r.id, row);
                            m.step = Step.CHOOSE;
                        }
                    });
        }
    }

    private void ask(
            Move m,
            DatabaseServer to,
            long gap,
            java.util.function.Function<ServerQuery.ServerStatus, String> then,
            java.util.function.Consumer<ServerQuery.ServerStatus> got) {
        if (m.asking.contains(to.id) || now() < m.askAgain.getOrDefault(to.id, 0L)) {
            return;
        }
        m.asking.add(to.id);
        ServerQuery.ask(core, to, PROBE_MS, then)
                .whenComplete(
                        (row, fault) -> {
                            m.asking.remove(to.id);
                            m.askAgain.put(to.id, now() + gap);
                            boolean alive =
                                    fault == null
                                            || fault instanceof ServerQuery.NoResponseException u
                                                    && u.serverAlive;
                            m.unanswered.put(
                                    to.id, alive ? 0 : m.unanswered.getOrDefault(to.id, 0) + 1);
                            if (fault == null && moves.get(m.lead.service()) == m) {
                                got.accept(row);
                                poll();
                            }
                        });
    }

    /**
     * Each replica's log is stopped, so that nothing can be acknowledged behind the choice; the old
     * one may turn out to live.
     */
    private void pause(Move m, DatabaseServer from) {
        if (from != null && !from.hasLeft()) {
            ask(
                    m,
                    from,
                    AGAIN_MS,
                    null,
                    row -> {
                        if (row.isPrimary() && !m.stepped) {
                            lives(m, from);
                        } else {
                            m.rows.put(from.id, row);
                        }
                    });
        }
        if (now() < m.again) {
            return;
        }
        boolean all = true;
        int replicas = 0;
        for (DatabaseServer r : core.registry.serversOf(m.lead.service())) {
            if (r.id.equals(m.lead.primary())) {
                continue;
            }
            replicas++;
            if (m.rows.containsKey(r.id)) {
                continue;
            }
            long goneFor =
                    (from == null ? now() : Math.max(from.lastHeardMillis, m.since))
                            - r.lastHeardMillis;
            boolean ended = r.isLeaving() && m.unanswered.getOrDefault(r.id, 0) >= ENDED_AFTER;
            if (goneFor > LONG_SILENT_MS && !r.isLeaving() || givenUp(m, r)) {
                continue;
            }
            all &= ended;
            m.paused = true;
            ask(
                    m,
                    r,
                    AGAIN_MS,
                    row -> pauses(m, row),
                    row -> {
                        if (row.isPrimary()) {
                            settle(m, r.id);
                        } else if (row.pauseTerm() != 0) {
                            m.rows.put(r.id, row);
                        } else {
                            // It knows of no later term, but its service does: that one is passed
                            // over until it is high enough.
                            m.term++;
                            m.askAgain.remove(r.id);
                        }
                    });
        }
        if (m.stepped
                && from != null
                && !from.hasLeft()
                && !silent(from)
                && !m.rows.containsKey(from.id)) {
            // It runs, and has all.
            all = false;
        }
        if (all && replicas > 0 && !m.rows.isEmpty()) {
            m.step = Step.CHOOSE;
            return;
        }
        outOfReach(m);
        if (now() > m.since + TELL_WAIT_MS && now() > m.toldWaitAt + LONG_SILENT_MS) {
            m.toldWaitAt = now();
            List<String> waited = new ArrayList<>();
            core.registry.serversOf(m.lead.service()).forEach(r -> waited.add(r.id));
            waited.removeAll(m.rows.keySet());
            core.host.trace(
                    "move " + m.lead.service() + ": not stopped yet, or out of reach: " + waited);
        }
    }

    /** A person said that this move does not wait for it; it does once that one is heard again. */
    private boolean givenUp(Move m, DatabaseServer r) {
        AcceptedDataLoss loss = m.lead.acceptedLoss();
        return loss != null
                && loss.moveNumber() == m.lead.moveNumber()
                && loss.unreachableServers().contains(r.id)
                && silent(r);
    }

    /**
     * All that can be heard are stopped, and others that may have more were silent for long: that
     * these are given up is for a person.
     */
    private void outOfReach(Move m) {
        List<String> silent = new ArrayList<>();
        for (DatabaseServer r : core.registry.serversOf(m.lead.service())) {
            if (r.id.equals(m.lead.primary()) || m.rows.containsKey(r.id) || givenUp(m, r)) {
                continue;
            }
            if (now() - Math.max(r.lastHeardMillis, awayAt) < LONG_SILENT_MS) {
                m.lack = m.lack == null || m.lack.unreachableServers().isEmpty() ? m.lack : null;
                return;
            }
            silent.add(r.id);
        }
        LogPosition furthest = null;
        for (Map.Entry<String, ServerQuery.ServerStatus> one : m.rows.entrySet()) {
            DatabaseServer r = core.registry.get(one.getKey());
            furthest =
                    r == null || r.hasLeft()
                            ? furthest
                            : LogPosition.max(furthest, one.getValue().position());
        }
        if (furthest != null && !silent.isEmpty()) {
            m.lack =
                    new DataLossManager.MissingCommits(
                            m.lead.service(),
                            m.lead.moveNumber(),
                            furthest,
                            known(m),
                            silent,
                            m.lead.primary(),
                            m.lack == null ? now() : m.lack.sinceMillis());
        }
    }

    /** What is known to be acknowledged, without what a person gave up. */
    private AcknowledgedCommits known(Move m) {
        AcknowledgedCommits known = core.subscriptions.acknowledgedCommits(m.lead.service());
        if (m.last != null) {
            known = known.merge(new AcknowledgedCommits(LogPosition.NONE, m.last));
        }
        return m.lead.acceptedLoss() == null ? known : m.lead.acceptedLoss().exclude(known);
    }

    /**
     * Above the newest term of the service, which a replica that received nothing for long does not
     * know itself.
     */
    private String pauses(Move m, ServerQuery.ServerStatus row) {
        m.term =
                Math.max(
                        m.term,
                        Math.max(
                                row.nextTerm(),
                                core.subscriptions
                                                .acknowledgedCommits(m.lead.service())
                                                .upperBound()
                                                .term()
                                        + 1));
        return moves.get(m.lead.service()) == m && mayAct() ? "PAUSE " + m.term : null;
    }

    /**
     * It was not lost: replicas receive again, and it goes on leading; a call of an earlier holder
     * is fenced off before.
     */
    private void lives(Move m, DatabaseServer from) {
        if (m.step == Step.STOP || m.step == Step.CHOOSE) {
            core.host.trace("move " + m.lead.service() + ": " + from.id + " lives");
            settle(m, from.id);
        }
    }

    /**
     * This one leads, whoever made it. Not while another is named: what it acknowledged would be
     * lost once that one leads. And where an earlier holder may have named one, its call is fenced
     * off first, while fronts still hold what they have; and what the platform had begun by then is
     * waited for: that this one leads now is no proof that it will.
     */
    private void settle(Move m, String id) {
        if (m.busy || m.named && !id.equals(m.target)) {
            return;
        }
        if (m.inherited && !m.fenced) {
            if (now() < m.fenceAgain) {
                return;
            }
            m.busy = true;
            name(m.lead.service(), id, number())
                    .whenComplete(
                            (status, fault) -> {
                                m.busy = false;
                                m.fenceAgain = now() + AGAIN_MS;
                                m.fenced = fault == null && status == 200;
                                m.fencedAt = m.fenced ? now() : m.fencedAt;
                                if (m.fenced && moves.get(m.lead.service()) == m && settled()) {
                                    settle(m, id);
                                }
                            });
            return;
        }
        if (!promotes(m)) {
            done(m, id);
        }
    }

    /** The platform may still carry out what an earlier holder asked for. */
    private boolean promotes(Move m) {
        return m.inherited && now() < m.fencedAt + PROMOTES_MS;
    }

    private static String resumes(ServerQuery.ServerStatus row) {
        return row.pauseTerm() != 0 ? "RESUME" : null;
    }

    /**
     * Each replica is told at once, and again until it has said that it receives when no PAUSE can
     * be on its way any more; before that is recorded, the next holder goes on with it.
     */
    private void resume(PrimaryRecord lead) {
        Watch w = watchOf(lead.service());
        if (w.resuming != lead.number()) {
            w.resuming = lead.number();
            w.resumingFrom = now();
            w.askAgain.clear();
            w.paused.clear();
            core.registry.serversOf(lead.service()).forEach(r -> w.paused.add(r.id));
            w.paused.remove(lead.primary());
        }
        w.paused.removeIf(id -> core.registry.get(id) == null || core.registry.get(id).hasLeft());
        if (w.paused.isEmpty()) {
            core.lead(lead.finishMove(number(), lead.primary(), false, lead.acceptedLoss()));
            return;
        }
        for (String id : w.paused) {
            DatabaseServer r = core.registry.get(id);
            if (w.asking.contains(id) || now() < w.askAgain.getOrDefault(id, 0L) || silent(r)) {
                continue;
            }
            w.asking.add(id);
            long asked = now();
            long last = w.resumingFrom + ON_ITS_WAY_MS;
            ServerQuery.ask(core, r, 2 * PROBE_MS, FailoverCoordinator::resumes)
                    .whenComplete(
                            (row, fault) -> {
                                w.asking.remove(id);
                                boolean receives = fault == null && row.pauseTerm() == 0;
                                w.askAgain.put(
                                        id, receives ? Math.max(last, now()) : now() + RESUME_MS);
                                if (receives && asked >= last && w.resuming == lead.number()) {
                                    w.paused.remove(id);
                                }
                            });
        }
    }

    /**
     * No log that is left is known to hold all that was acknowledged: they receive for a while, in
     * case the old primary reaches them though nobody here reaches it; then they are stopped and
     * looked at again.
     */
    private void lacks(Move m, LogPosition furthest, AcknowledgedCommits known) {
        if (now() - m.toldLackAt > LONG_SILENT_MS) {
            m.toldLackAt = now();
            core.host.warn(
                    "move "
                            + m.lead.service()
                            + ": the longest log that is left ends at "
                            + furthest
                            + " and lacks what was"
                            + " acknowledged, "
                            + known
                            + "; waiting for "
                            + m.lead.primary()
                            + " or another that has it");
        }
        // Past that only commits can be missing that were under way together; that is waited for no
        // longer than UNSURE_MS.
        m.lack =
                furthest.covers(known.lowerBound())
                        ? null
                        : new DataLossManager.MissingCommits(
                                m.lead.service(),
                                m.lead.moveNumber(),
                                furthest,
                                known,
                                List.of(),
                                m.lead.primary(),
                                m.lack == null ? now() : m.lack.sinceMillis());
        for (DatabaseServer r : core.registry.serversOf(m.lead.service())) {
            ServerQuery.ask(core, r, PROBE_MS, FailoverCoordinator::resumes);
        }
        m.rows.clear();
        m.step = Step.STOP;
        m.forced = true;
        m.again = now() + RECEIVE_MS;
    }

    /**
     * Whether this log may be named: it lacks no acknowledged commit that any front in touch, or
     * gone since, knows of.
     */
    private boolean holdsAll(Move m, LogPosition furthest, AcknowledgedCommits known) {
        Configuration.Service is =
                core.register.committedConfiguration().services().get(m.lead.service());
        if (is != null && is.synchronousReplicas() == 0) {
            return true;
        }
        if (!furthest.covers(known.lowerBound())) {
            return false;
        }
        if (furthest.covers(known.upperBound()) || m.last == null && !misses(m)) {
            return true;
        }
        m.lacksFrom = m.lacksFrom < 0 ? now() : m.lacksFrom;
        return now() > m.lacksFrom + UNSURE_MS;
    }

    /**
     * Whether a replica that counted for commits a moment before the primary was lost is not among
     * those that were asked.
     */
    private boolean misses(Move m) {
        for (DatabaseServer r : core.registry.all()) {
            if (r.service.equals(m.lead.service())
                    && !r.id.equals(m.lead.primary())
                    && !m.rows.containsKey(r.id)
                    && (!r.hasLeft()
                            || m.since - r.lastHeardMillis
                                    < 3 * core.settings.heartbeatIntervalMillis())) {
                return true;
            }
        }
        return false;
    }

    /** What services wait for that have no log left with all that was acknowledged. */
    List<DataLossManager.MissingCommits> lacking() {
        List<DataLossManager.MissingCommits> all = new ArrayList<>();
        moves.values().stream().filter(m -> m.lack != null).forEach(m -> all.add(m.lack));
        return all;
    }

    /**
     * A person gives up what no log that is left holds: recorded first, like all that the next
     * holder must go on with.
     */
    void giveUp(DataLossManager.MissingCommits shown) {
        Move m = moves.get(shown.service());
        if (!settled() || m == null || m.lack == null || !m.lack.matches(shown)) {
            return;
        }
        AcceptedDataLoss given =
                AcceptedDataLoss.accept(
                        shown.moveNumber(),
                        shown.longestLogEnd(),
                        shown.acknowledged(),
                        shown.unreachableServers(),
                        m.lead.acceptedLoss());
        core.host.warn(
                "data loss accepted: "
                        + m.lead.service()
                        + " goes on from "
                        + shown.longestLogEnd()
                        + ", acknowledged was "
                        + shown.acknowledged()
                        + "; "
                        + m.lead.primary()
                        + " is given up"
                        + (shown.unreachableServers().isEmpty()
                                ? ""
                                : ", and what these have, out of reach: "
                                        + shown.unreachableServers()));
        m.lack = null;
        m.lead = m.lead.withAcceptedLoss(number(), given);
        core.lead(m.lead);
        core.poke();
    }

    private void choose(Move m, DatabaseServer from) {
        String best = null;
        LogPosition furthest = null;
        boolean bestDrains = false;
        for (Map.Entry<String, ServerQuery.ServerStatus> one : m.rows.entrySet()) {
            DatabaseServer r = core.registry.get(one.getKey());
            if (r == null || r.hasLeft() || m.refused.contains(r.id)) {
                continue;
            }
            int further = furthest == null ? 1 : one.getValue().position().compareTo(furthest);
            if (further > 0 || further == 0 && bestDrains && !r.isDraining()) {
                best = r.id;
                furthest = one.getValue().position();
                bestDrains = r.isDraining();
            }
        }
        for (String id : m.refused) {
            // One that is not running, and may hold more than the others: it is waited for.
            ServerQuery.ServerStatus row = m.rows.get(id);
            if (best != null && row != null && row.position().compareTo(furthest) > 0) {
                best = null;
            }
        }
        AcknowledgedCommits known = known(m);
        if (best != null && !holdsAll(m, furthest, known)) {
            m.refused.clear();
            lacks(m, furthest, known);
            return;
        }
        if (best == null) {
            m.refused.clear();
            m.rows.clear();
            m.step = Step.STOP;
            m.forced = true;
            m.again = now() + AGAIN_MS;
            return;
        }
        m.lack = null;
        m.target = best;
        m.fence = number();
        m.claimed = core.registry.get(best).isPrimary();
        m.step = Step.NAME;
        call(m);
    }

    private void call(Move m) {
        if (m.busy || now() < m.again || !mayAct()) {
            return;
        }
        m.busy = true;
        m.named = true;
        m.namedAt = now();
        core.host.trace("name " + m.lead.service() + " " + m.target + " fence " + m.fence);
        name(m.lead.service(), m.target, m.fence)
                .whenComplete(
                        (status, fault) -> {
                            m.busy = false;
                            m.again = now() + AGAIN_MS;
                            if (fault == null && status == 200) {
                                m.step = Step.WAIT;
                                m.again = now() + LEAD_FROM_MS;
                            } else if (fault == null && status == 409) {
                                m.named = false;
                                m.refused.add(m.target);
                                m.step = Step.CHOOSE;
                            }
                        });
    }

    private void wait(Move m) {
        DatabaseServer target = core.registry.get(m.target);
        if (target == null || target.hasLeft() || now() > m.namedAt + NO_LEAD_MS) {
            // The platform is asked again: that it is not running is the only ground to choose
            // another.
            m.step = Step.NAME;
            return;
        }
        if (target.isPrimary() && !m.claimed) {
            done(m, target.id);
        } else if (now() >= m.again) {
            ask(
                    m,
                    target,
                    LEAD_GAP_MS,
                    null,
                    row -> {
                        if (row.isPrimary()) {
                            done(m, target.id);
                        }
                    });
        }
    }

    private void done(Move m, String primary) {
        if (m.measuring || moves.get(m.lead.service()) != m || !settled()) {
            return;
        }
        AcceptedDataLoss loss = m.lead.acceptedLoss();
        DatabaseServer leads = core.registry.get(primary);
        if (loss == null || !loss.losesCommits()) {
            done(m, primary, loss);
        } else if (leads == null) {
            done(m, primary, loss.withLeaderAt(loss.lostUpTo()));
        } else {
            // What it holds is not given up; where that is not heard, nothing is.
            m.measuring = true;
            ServerQuery.ask(core, leads, PROBE_MS, null)
                    .whenComplete(
                            (row, fault) -> {
                                m.measuring = false;
                                if (moves.get(m.lead.service()) == m && settled()) {
                                    done(
                                            m,
                                            primary,
                                            loss.withLeaderAt(
                                                    fault == null && row.isPrimary()
                                                            ? row.position()
                                                            : loss.lostUpTo()));
                                }
                            });
        }
    }

    private void done(Move m, String primary, AcceptedDataLoss loss) {
        moves.remove(m.lead.service());
        core.host.trace(
                "lead " + m.lead.service() + " " + primary + " after " + (now() - m.since) + " ms");
        PrimaryRecord leads = m.lead.finishMove(number(), primary, m.paused, loss);
        core.lead(leads);
        core.poke();
        if (m.paused) {
            resume(leads);
        }
    }
}
