package dillfront.lab;

import dillfront.Decide;
import dillfront.gossip.Hearsay;
import dillfront.gossip.Symptom;
import dillfront.gossip.Tuning;
import dillfront.gossip.Witness;
import dillfront.gossip.Word;
import dillfront.port.Effect;
import dillfront.port.Handle;
import dillfront.port.ListRole;
import dillfront.port.NodeRow;
import dillfront.port.Outlet;
import dillfront.port.Read;
import dillfront.port.Report;
import dillfront.port.Result;
import dillfront.port.Role;
import dillfront.port.Settings;
import dillfront.port.Sight;
import dillfront.port.Standing;
import dillfront.port.TxnType;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Routers with the decisions as they are, each with txns of its own, before nodes that one script makes hang; with gossip
 * or without. Tells what the txns earned and how long routers went on sending to what hung.
 */
public final class World {

    /** What one run is. */
    public record Script(int routers, int groups, int members, double txnsPerSecond, int hung, Duration hangs,
            Duration lasts, Duration end, boolean gossip, Lie lie, long seed) {}

    /** What the last router says to others, if it lies. */
    public enum Lie { NONE, ALL, PRIMARIES, HALF }

    /**
     * What came of it.
     *
     * @param value earned, as a part of what was asked
     * @param stopped from the first router's own evidence until the last stopped pouring
     * @param poured txns sent to what hung after the first router's evidence, trials included
     * @param doubts falsely held: node-beats at which a node that was well was doubted by hearsay, of all node-beats
     * @param bytes that one instance sent a second, in the mean
     */
    public record Outcome(double value, Duration stopped, int poured, double doubts, double bytes) {}

    private static final Duration BEAT = Duration.ofMillis(20);
    private static final Duration DIAL = Duration.ofMillis(250);
    private static final Duration WORK = Duration.ofMillis(20);
    /** A router that sends one txn after such a gap, with nothing else out there, only tries the node. */
    private static final Duration TRIAL = DIAL;
    private static final Duration CLIENT = Duration.ofMillis(750);

    private final Script script;
    private final Time time = new Time();
    private final Tuning tuning = Tuning.USUAL;
    private final RandomGenerator chance;
    private final List<Router> routers = new ArrayList<>();
    private final Crowd crowd;
    private Duration firstEvidence;
    private Duration lastPour = Duration.ZERO;
    private int poured;
    private double asked;
    private double earned;
    private long beats;
    private long falseDoubts;

    private World(Script script) {
        this.script = script;
        chance = new SplittableRandom(script.seed);
        for (int i = 0; i < script.routers; i++) {
            routers.add(new Router(i));
        }
        crowd = !script.gossip ? null : new Crowd(script.routers, tuning, time, script.seed + 1,
                (at, claim, age) -> routers.get(at).claimed(claim, age));
    }

    public static Outcome play(Script script) {
        return new World(script).play();
    }

    private Outcome play() {
        if (crowd != null) {
            crowd.start();
        }
        for (Router router : routers) {
            router.list();
            router.arrive();
            router.beat();
        }
        if (script.lie != Lie.NONE) {
            time.after(script.hangs.dividedBy(2), this::lie);
        }
        time.until(script.end);
        Duration stopped = firstEvidence == null || lastPour.compareTo(firstEvidence) < 0 ? Duration.ZERO
                : lastPour.minus(firstEvidence);
        return new Outcome(earned / asked, stopped, poured, falseDoubts / (double) Math.max(1, beats),
                crowd == null ? 0 : crowd.bytes() / (time.now().toNanos() / 1e9));
    }

    private void lie() {
        Crowd.Instance liar = crowd.instances[script.routers - 1];
        liar.at();
        for (int node = 0; node < nodes(); node++) {
            boolean says = switch (script.lie) {
                case ALL -> true;
                case PRIMARIES -> node % script.members == 0;
                case HALF -> node < nodes() / 2;
                default -> false;
            };
            if (says) {
                liar.gossip.claim(node, Symptom.HUNG, 5, Duration.ofSeconds(1));
            }
        }
        time.after(tuning.period(), this::lie);
    }

    private int nodes() {
        return script.groups * script.members;
    }

    private boolean hangs(int node, Duration at) {
        return node == script.hung && at.compareTo(script.hangs) >= 0
                && at.compareTo(script.hangs.plus(script.lasts)) < 0;
    }

    private static Settings settings(int routers) {
        Duration ms = Duration.ofMillis(1);
        return new Settings(ms.multipliedBy(5), 0, DIAL, Duration.ofSeconds(2), 6, true, false, Duration.ZERO,
                ListRole.AS_AT_START, false, false, 0.2, Duration.ofSeconds(9), 2, Duration.ofSeconds(1), 0.012, routers,
                List.of(new TxnType(Effect.REPEATABLE, false, Duration.ZERO, Read.BOUNDED, ms.multipliedBy(200),
                                ms.multipliedBy(300), CLIENT, 3, 0),
                        new TxnType(Effect.REPEATABLE, false, Duration.ZERO, Read.ANY, Duration.ZERO,
                                ms.multipliedBy(300), CLIENT, 2, 0),
                        new TxnType(Effect.REFERENCED, true, Duration.ofSeconds(2), Read.WRITE, Duration.ZERO,
                                CLIENT, CLIENT, 6, 0)), List.of());
    }

    private final class Txn {
        final int type;
        final Duration came = time.now();
        Handle handle;
        int submission;
        boolean over;

        Txn(int type) {
            this.type = type;
        }
    }

    private final class Router implements Outlet {

        private final int index;
        private final Decide decide;
        private final RandomGenerator mine;
        private final Hearsay hearsay;
        private final Witness witness = new Witness(tuning);
        private final List<Txn> txns = new ArrayList<>();
        /** At the node that hangs: the last send, or the begin of a doubt; and how many are out. */
        private Duration heldBack;
        private boolean doubts;
        private final boolean[] better = new boolean[nodes()];
        private int outAtHung;

        Router(int index) {
            this.index = index;
            mine = new SplittableRandom(script.seed * 1_000_003 + index);
            decide = new Decide(settings(script.routers), this, new SplittableRandom(mine.nextLong()));
            hearsay = new Hearsay(tuning, script.routers);
        }

        void list() {
            List<NodeRow> rows = new ArrayList<>();
            for (int n = 0; n < nodes(); n++) {
                rows.add(new NodeRow(n, n / script.members, 0, 1, n % script.members == 0, null, Standing.READY));
            }
            decide.at(time.now());
            decide.list(true, rows);
            hearsay.nodes(rows.size());
        }

        void arrive() {
            Duration gap = Duration.ofNanos((long) (-Math.log(1 - mine.nextDouble()) / script.txnsPerSecond * 1e9));
            time.after(gap, () -> {
                double kind = mine.nextDouble();
                int type = kind < 0.2 ? 0 : kind < 0.85 ? 1 : 2;
                Txn txn = new Txn(type);
                txns.add(txn);
                asked += type == 0 ? 3 : type == 1 ? 2 : 6;
                decide.at(time.now());
                int id = txns.size() - 1;
                Handle handle = decide.take(id, type, -1, -1, mine.nextInt(script.groups), CLIENT, null, Duration.ZERO);
                txn.handle = handle;
                arrive();
            });
        }

        /** What the daemon does at its beat, and nothing more. */
        void beat() {
            time.after(BEAT, () -> {
                decide.at(time.now());
                hearsay.at(time.now());
                for (int n = 0; n < nodes(); n++) {
                    Sight sight = decide.sees(n);
                    if (sight.ill() && n == script.hung && firstEvidence == null && hangs(n, time.now())) {
                        firstEvidence = time.now();
                    }
                    if (crowd != null) {
                        hearsay.seen(n, sight);
                        crowd.instances[index].at();
                        if (script.lie == Lie.NONE || index < script.routers - 1) {
                            witness.seen(n, sight, hearsay.enough(n), time.now(),
                                    (node, symptom, evidence, since) ->
                                            crowd.instances[index].gossip.claim(node, symptom, evidence, since));
                        }
                        boolean doubted = hearsay.doubted(n);
                        doubt(n, doubted);
                        beats++;
                        falseDoubts += doubted && !hangs(n, time.now()) && (n != script.hung
                                || time.now().compareTo(script.hangs) < 0) ? 1 : 0;
                    }
                }
                hearsay.woken();
                beat();
            });
        }

        void claimed(Word word, Duration age) {
            hearsay.at(time.now());
            int node = (int) word.subject();
            if (hearsay.heard(word.origin(), node, Symptom.values()[word.detail()], age, word.since())) {
                crowd.instances[index].gossip.passOn(word, word.origin());
            }
            decide.at(time.now());
            doubt(node, hearsay.doubted(node));
        }

        private void doubt(int node, boolean doubted) {
            if (node == script.hung) {
                heldBack = doubted && !doubts && heldBack == null ? time.now() : heldBack;
                doubts = doubted;
            }
            decide.doubted(node, doubted);
            if (hearsay.better(node) && !better[node]) {
                decide.better(node);
            }
            better[node] = hearsay.better(node);
        }

        @Override
        public void submit(int id, int node, Duration limit) {
            Txn txn = txns.get(id);
            Duration now = time.now();
            if (hangs(node, now)) {
                boolean tries = heldBack != null && outAtHung == 0 && now.minus(heldBack).compareTo(TRIAL) >= 0;
                heldBack = now;
                lastPour = tries ? lastPour : now;
                poured += firstEvidence == null ? 0 : 1;
            }
            outAtHung += node == script.hung ? 1 : 0;
            Duration work = Duration.ofNanos((long) (WORK.toNanos() * (0.5 + mine.nextDouble())));
            boolean answers = !hangs(node, now) && !hangs(node, now.plus(work)) && work.compareTo(limit) < 0;
            time.after(answers ? work : limit, () -> {
                decide.at(time.now());
                outAtHung -= node == script.hung ? 1 : 0;
                Duration position = time.now().minusMillis(node % script.members == 0 ? 0 : 20);
                Role role = node % script.members == 0 ? Role.PRIMARY : Role.REPLICA;
                boolean first = answers && !txn.over;
                if (first) {
                    txn.over = true;
                    boolean timely = time.now().minus(txn.came).toMillis() <= (txn.type == 2 ? 750 : 300);
                    earned += timely ? txn.type == 0 ? 3 : txn.type == 1 ? 2 : 6 : 0;
                }
                Report note = answers ? new Report(position, role) : Report.NOTHING;
                txn.handle.ended(node, answers ? Result.COMMITTED : Result.TIMED_OUT, time.now().minus(now), txn.over,
                        note, Report.NOTHING);
            });
        }

        @Override
        public void decline(int txn, Duration pause) {
            txns.get(txn).over = true;
        }

        @Override
        public void rollBack(int txn) {
            txns.get(txn).over = true;
        }

        @Override
        public void release(int node) {}

        /** A hung node answers no probe either. */
        @Override
        public void probe(int node) {
            boolean answers = !hangs(node, time.now());
            time.after(answers ? Duration.ofMillis(2) : DIAL, () -> {
                decide.at(time.now());
                Role role = node % script.members == 0 ? Role.PRIMARY : Role.REPLICA;
                decide.probed(node, answers, answers ? new Report(time.now().minusMillis(20), role) : Report.NOTHING);
            });
        }

        @Override
        public void follow() {}

        @Override
        public void wake(Duration in) {
            time.after(in, () -> {
                decide.at(time.now());
                decide.woken();
            });
        }
    }
}
