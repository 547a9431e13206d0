package dillfront.simulation;

import dillfront.router.discovery.ClosedNodes;
import dillfront.router.recovery.InDoubtKeys;
import dillfront.routing.RoutingEngine;
import dillfront.routing.api.Consistency;
import dillfront.routing.api.MemberState;
import dillfront.routing.api.NodeReport;
import dillfront.routing.api.NodeRole;
import dillfront.routing.api.NodeRow;
import dillfront.routing.api.Repeatability;
import dillfront.routing.api.RoutingActions;
import dillfront.routing.api.RoutingSettings;
import dillfront.routing.api.SubmissionResult;
import dillfront.routing.api.TransactionHandle;
import dillfront.routing.api.TransactionType;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * All that can happen in a world so small that it can be gone through: two routers that decide by
 * {@link RoutingEngine}, {@link InDoubtKeys} and {@link ClosedNodes} themselves, three nodes of one
 * group, two keys; asks, sends, answers, lost connections, lists, a drain, syncs of the disk, a
 * router's end, power lost by all, and time, in every order up to a depth. Each state is reached
 * anew from the beginning, so nothing in the decisions is copied; two orders are one state where
 * each router has had the same words at the same times, and the rest of the world is the same.
 *
 * <p>What must hold: a key has its effect once; what was declined never runs; each ask of a router
 * that lives has one answer by its expiry; nothing is sent to a node that a router knows to drain,
 * across its lives where it was kept; no bounded read is sent to data older than its bound. A
 * planted fault shows that each is looked at.
 */
public final class Small {

    /** Something that a router is made to do wrong. */
    public enum Plant {
        NONE,
        SENDS_BEFORE_KEPT,
        FORGETS_DOUBTS,
        BELIEVES_OLD_TIMES,
        FORGETS_DRAINS,
        KEEPS_POSITIONS,
        IGNORES_OTHERS,
        LOSES_ANSWERS
    }

    /**
     * @param states that were looked at, and how deep
     * @param broken what did not hold first, and how it came about; null where all held
     */
    public record Found(int states, int depth, String broken) {}

    private static final int ROUTERS = 2;
    private static final int NODES = 3;
    private static final int KEYS = 2;
    private static final int BOUNDED = -1;
    private static final int ANY = -2;
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration WINDOW = TICK.multipliedBy(2);
    private static final Duration EXPIRY = TICK.multipliedBy(2);
    private static final Duration BOUND = TICK;
    private static final Duration COLD = TICK.multipliedBy(40);

    /** How often each thing may happen on one way through. */
    private static final int ASKS = 3;

    private static final int READS = 1;
    private static final int TICKS = 4;
    private static final int LOSSES = 2;
    private static final int BREAKS = 1;
    private static final int GOSSIP = 1;

    private Small() {}

    /** Goes through all states up to this depth, nearest first. */
    public static Found explore(int depth, int most, Plant plant) {
        Set<String> seen = new HashSet<>();
        ArrayDeque<int[]> next = new ArrayDeque<>(List.of(new int[0]));
        int deepest = 0;
        while (!next.isEmpty() && seen.size() < most) {
            int[] path = next.poll();
            World world = new World(plant);
            for (int choice : path) {
                world.step(choice);
            }
            if (world.broken != null) {
                return new Found(
                        seen.size(),
                        path.length,
                        world.broken + " after " + String.join(", ", world.steps));
            }
            if (!seen.add(world.state())) {
                continue;
            }
            deepest = Math.max(deepest, path.length);
            int choices = path.length < depth ? world.choices().size() : 0;
            for (int i = 0; i < choices; i++) {
                int[] longer = Arrays.copyOf(path, path.length + 1);
                longer[path.length] = i;
                next.add(longer);
            }
        }
        return new Found(seen.size(), deepest, null);
    }

    private record Step(String name, Runnable what) {}

    /** A txn that a client asked for. */
    private static final class Ask {
        final Life of;
        final int id;

        /** Negative for a read: BOUNDED or ANY. */
        final int key;

        final Duration at;
        TransactionHandle handle;
        int out;
        String answer;
        boolean ran;
        boolean over;

        Ask(Life of, int id, int key, Duration at) {
            this.of = of;
            this.id = id;
            this.key = key;
            this.at = at;
        }
    }

    private enum Where {
        WAITS,
        OUT,
        BACK,
        STRAY,
        OVER
    }

    /** One submission. */
    private static final class Sent {
        final Ask ask;
        final int node;
        final Duration until;
        final Duration at;
        Where where;
        SubmissionResult result;
        NodeReport note;

        Sent(Ask ask, int node, Duration limit, Duration at, Where where) {
            this.ask = ask;
            this.node = node;
            this.at = at;
            until = at.plus(limit);
            this.where = where;
        }
    }

    private static final class World {
        final Plant plant;
        final List<String> steps = new ArrayList<>();
        final List<Ask> asks = new ArrayList<>();
        final List<Sent> sent = new ArrayList<>();
        final Life[] lives = new Life[ROUTERS];

        /** On each router's disk. */
        final List<TreeSet<Integer>> keptKeys = new ArrayList<>();

        final List<TreeSet<String>> keptDrains = new ArrayList<>();

        /** By key, when it last had its effect, and how often. */
        final Duration[] effect = new Duration[KEYS];

        final int[] effects = new int[KEYS];

        /** Who had the effect's first txn. */
        final int[] effectBy = new int[KEYS];

        /** Which keys each router has reason to know of as having perhaps run, since when. */
        final Duration[][] knows = new Duration[ROUTERS][KEYS];

        final Duration[] position = new Duration[NODES];
        Duration now = Duration.ofSeconds(1000);
        Duration started;
        int generation = 1;
        boolean drains;
        int reads;
        int ticks;
        int losses;
        int breaks;
        int gossip;
        String broken;

        World(Plant plant) {
            this.plant = plant;
            Arrays.fill(position, now);
            for (int r = 0; r < ROUTERS; r++) {
                keptKeys.add(new TreeSet<>());
                keptDrains.add(new TreeSet<>());
                lives[r] = new Life(this, r);
                lives[r].begin();
            }
            if (plant == Plant.FORGETS_DRAINS) {
                // Deep among all orders: it begins where the drain has been told and kept.
                drains = true;
                generation++;
                for (Life life : lives) {
                    life.told();
                    life.sync();
                }
            }
        }

        void breaks(String rule) {
            broken = broken == null ? rule : broken;
        }

        void step(int choice) {
            Step step = choices().get(choice);
            steps.add(step.name);
            step.what.run();
        }

        List<Step> choices() {
            List<Step> all = new ArrayList<>();
            for (int r = 0; r < ROUTERS; r++) {
                Life life = lives[r];
                int who = r;
                if (asks.size() < ASKS) {
                    for (int k = 0; k < KEYS; k++) {
                        int key = k;
                        // The second key comes into play after the first: they are alike.
                        if (k == 0 || asks.stream().anyMatch(a -> a.key == 0)) {
                            all.add(new Step("r" + r + " is asked for k" + k, () -> life.ask(key)));
                        }
                    }
                }
                for (int read = BOUNDED; read >= ANY && reads < READS; read--) {
                    int kind = read;
                    all.add(
                            new Step(
                                    "r"
                                            + r
                                            + " is asked for "
                                            + (read == ANY ? "any read" : "a bounded read"),
                                    () -> {
                                        reads++;
                                        life.ask(kind);
                                    }));
                }
                if (!life.unsynced.isEmpty()) {
                    all.add(new Step("r" + r + " syncs", life::sync));
                }
                if (life.generation < generation) {
                    all.add(new Step("r" + r + " is told", life::told));
                }
                if (gossip < GOSSIP && life.doubts.inDoubtCount() > 0) {
                    all.add(
                            new Step(
                                    "r" + r + " tells its doubts",
                                    () -> {
                                        gossip++;
                                        lives[1 - who].hears(life);
                                    }));
                }
                if (losses < LOSSES && (life.busy() || !life.unsynced.isEmpty())) {
                    all.add(
                            new Step(
                                    "r" + r + " ends",
                                    () -> {
                                        losses++;
                                        life.end();
                                        restart(who);
                                    }));
                }
            }
            for (Sent one : sent) {
                String name = "txn " + one.ask.id + " at n" + one.node;
                if (one.where == Where.OUT || one.where == Where.STRAY) {
                    all.add(new Step(name + " runs", () -> runs(one)));
                }
                if (one.where == Where.BACK) {
                    all.add(new Step(name + " is answered", () -> answered(one, one.result)));
                }
                if (breaks < BREAKS && (one.where == Where.OUT || one.where == Where.BACK)) {
                    all.add(
                            new Step(
                                    name + " breaks",
                                    () -> {
                                        breaks++;
                                        boolean yet = one.where == Where.OUT;
                                        answered(one, SubmissionResult.RESET);
                                        one.where = yet ? Where.STRAY : Where.OVER;
                                    }));
                }
            }
            if (!drains) {
                all.add(
                        new Step(
                                "n2 drains",
                                () -> {
                                    drains = true;
                                    generation++;
                                }));
            }
            if (losses < LOSSES && !sent.isEmpty()) {
                all.add(new Step("power goes", this::power));
            }
            if (ticks < TICKS) {
                all.add(new Step("time", this::tick));
            }
            return all;
        }

        void restart(int r) {
            lives[r] = new Life(this, r);
            lives[r].begin();
        }

        /** All at once; replicas have lost the end of their logs. */
        void power() {
            losses++;
            sent.forEach(s -> s.where = Where.OVER);
            started = now;
            for (int n = 1; n < NODES; n++) {
                position[n] = now.minus(TICK.multipliedBy(8));
            }
            for (Life life : lives) {
                life.end();
            }
            for (int r = 0; r < ROUTERS; r++) {
                restart(r);
            }
        }

        void tick() {
            ticks++;
            now = now.plus(TICK);
            for (int n = 0; n < NODES; n++) {
                // The first replica keeps up, the second stands still.
                position[n] = n == 2 ? position[n] : now;
            }
            for (Sent one : List.copyOf(sent)) {
                if ((one.where == Where.OUT || one.where == Where.BACK)
                        && one.until.compareTo(now) <= 0) {
                    boolean yet = one.where == Where.OUT;
                    answered(one, SubmissionResult.TIMED_OUT);
                    one.where = yet ? Where.STRAY : Where.OVER;
                } else if (one.where == Where.WAITS && one.until.compareTo(now) <= 0) {
                    answered(one, SubmissionResult.UNSENT);
                }
            }
            for (Life life : lives) {
                life.woken();
            }
            for (Ask ask : asks) {
                if (ask.answer == null
                        && lives[ask.of.index] == ask.of
                        && ask.at.plus(EXPIRY).compareTo(now) < 0) {
                    breaks("txn " + ask.id + " has no answer");
                }
            }
        }

        void runs(Sent one) {
            boolean stray = one.where == Where.STRAY;
            one.where = stray ? Where.OVER : Where.BACK;
            int key = one.ask.key;
            one.note =
                    new NodeReport(
                            position[one.node],
                            one.node == 0 ? NodeRole.PRIMARY : NodeRole.REPLICA);
            if (key >= 0 && one.node != 0) {
                one.result = SubmissionResult.MISS;
                return;
            }
            one.result = SubmissionResult.COMMITTED;
            if (key >= 0 && (effect[key] == null || now.minus(effect[key]).compareTo(WINDOW) > 0)) {
                effect[key] = now;
                one.ask.ran = true;
                if (++effects[key] > 1 && effectBy[key] == one.ask.of.index) {
                    // A stray that runs late is the network's doing: the platform counts its window
                    // from the send.
                    if (!stray) {
                        breaks("k" + key + " had its effect twice");
                    }
                }
                effectBy[key] = one.ask.of.index;
                if ("declined".equals(one.ask.answer)) {
                    breaks("txn " + one.ask.id + " was declined, and ran");
                }
            }
        }

        void answered(Sent one, SubmissionResult result) {
            one.where = Where.OVER;
            Life life = one.ask.of;
            if (lives[life.index] == life) {
                life.ended(one, result);
            }
        }

        String state() {
            StringBuilder out = new StringBuilder();
            out.append(now.toMillis())
                    .append(Arrays.toString(effect))
                    .append(Arrays.toString(effects))
                    .append(generation)
                    .append(drains)
                    .append(reads)
                    .append(ticks)
                    .append(losses)
                    .append(breaks)
                    .append(gossip)
                    .append(keptKeys)
                    .append(keptDrains)
                    .append(Arrays.deepToString(knows))
                    .append(Arrays.toString(effectBy));
            Set<String> flying = new TreeSet<>();
            for (Sent one : sent) {
                if (one.where != Where.OVER) {
                    flying.add(
                            one.ask.of.index
                                    + "/"
                                    + one.ask.key
                                    + "/"
                                    + one.node
                                    + one.where
                                    + one.at.toMillis()
                                    + one.result
                                    + one.ask.of.asks.indexOf(one.ask)
                                    + (lives[one.ask.of.index] == one.ask.of));
                }
            }
            out.append(flying).append(asks.size());
            for (Life life : lives) {
                out.append('|').append(life.words).append(life.unsynced);
            }
            return out.toString();
        }
    }

    /** One life of a router: the decisions, and the little that lies between them and the world. */
    private static final class Life
            implements RoutingActions, InDoubtKeys.KeyStore, ClosedNodes.Listener {
        final World world;
        final int index;
        final List<Ask> asks = new ArrayList<>();
        final List<String> words = new ArrayList<>();

        /**
         * What is to be on the disk, and is not yet: {@code +0}, {@code -0} a key, {@code n2} a
         * drain.
         */
        final TreeSet<String> unsynced = new TreeSet<>();

        final Duration began;
        final RoutingEngine decide;
        final InDoubtKeys doubts;
        final ClosedNodes closings = new ClosedNodes();
        final Set<Integer> others = new TreeSet<>();
        final Set<Integer> told = new TreeSet<>();
        int generation;

        Life(World world, int index) {
            this.world = world;
            this.index = index;
            began = world.now;
            doubts = new InDoubtKeys(new InDoubtKeys.Limits(16, Duration.ofHours(1)), this);
            decide = new RoutingEngine(settings(), this, new SplittableRandom(index));
        }

        private static RoutingSettings settings() {
            List<TransactionType> types =
                    List.of(
                            new TransactionType(
                                    Repeatability.DEDUPLICATED,
                                    true,
                                    WINDOW,
                                    Consistency.WRITE,
                                    Duration.ZERO,
                                    EXPIRY.dividedBy(2),
                                    EXPIRY,
                                    6,
                                    0.3),
                            new TransactionType(
                                    Repeatability.IDEMPOTENT,
                                    true,
                                    WINDOW,
                                    Consistency.BOUNDED_STALENESS,
                                    BOUND,
                                    EXPIRY.dividedBy(2),
                                    EXPIRY,
                                    2,
                                    0),
                            new TransactionType(
                                    Repeatability.IDEMPOTENT,
                                    true,
                                    WINDOW,
                                    Consistency.EVENTUAL,
                                    Duration.ZERO,
                                    EXPIRY.dividedBy(2),
                                    EXPIRY,
                                    2,
                                    0));
            return new RoutingSettings(
                    Duration.ofMillis(5),
                    0,
                    TICK,
                    TICK.multipliedBy(4),
                    6,
                    false,
                    false,
                    Duration.ZERO,
                    false,
                    false,
                    1,
                    COLD,
                    2,
                    Duration.ofSeconds(1),
                    0.012,
                    ROUTERS,
                    types,
                    List.of());
        }

        /**
         * What is remembered is told, then the list of the configuration, which is from before all
         * drains.
         */
        void begin() {
            closings.listener(this);
            if (world.plant != Plant.FORGETS_DRAINS) {
                world.keptDrains
                        .get(index)
                        .forEach(id -> closings.close(id, MemberState.DRAINING, 0, 2));
            }
            decide.setTime(world.now);
            for (int key : world.keptKeys.get(index)) {
                if (world.plant == Plant.BELIEVES_OLD_TIMES) {
                    doubts.begin(key, world.now);
                    doubts.recordSend(key, world.now);
                    doubts.recordEnd(key, true, false);
                    doubts.finish(key, world.now);
                } else if (world.plant != Plant.FORGETS_DOUBTS) {
                    doubts.restore(key, world.now);
                }
                world.knows[index][key] = InDoubtKeys.BEFORE_THIS_RUN;
            }
            unsynced.clear();
            list(1);
        }

        private void list(int of) {
            generation = of;
            words.add("list " + of + "@" + world.now.toMillis());
            List<NodeRow> rows = new ArrayList<>();
            for (int n = 0; n < NODES; n++) {
                MemberState said = of > 1 && n == 2 ? MemberState.DRAINING : MemberState.READY;
                MemberState holds = closings.update("n" + n, said, 0, of);
                rows.add(new NodeRow(n, 0, 0, 1, n == 0, null, holds));
            }
            decide.setTime(world.now);
            decide.updateMembers(true, rows);
            if (world.plant == Plant.KEEPS_POSITIONS && world.started != null) {
                // What a former life knew of the second replica, as if it held.
                decide.nodeReported(
                        1, NodeReport.EMPTY, new NodeReport(world.started, NodeRole.REPLICA));
            }
        }

        void told() {
            list(world.generation);
        }

        void woken() {
            words.add("wake@" + world.now.toMillis());
            decide.setTime(world.now);
            decide.onWakeUp();
        }

        void hears(Life other) {
            words.add("doubts " + doubtsOf(other));
            if (world.plant != Plant.IGNORES_OTHERS) {
                others.addAll(doubtsOf(other));
            }
            // Known for this life alone: what others told is not kept, and told again.
            told.addAll(doubtsOf(other));
        }

        private static Set<Integer> doubtsOf(Life other) {
            Set<Integer> keys = new TreeSet<>();
            other.doubts.inDoubt().forEach(key -> keys.add((int) (long) key));
            return keys;
        }

        boolean busy() {
            return asks.stream().anyMatch(a -> a.answer == null || a.out > 0);
        }

        void ask(int key) {
            Ask ask = new Ask(this, world.asks.size(), key, world.now);
            world.asks.add(ask);
            asks.add(ask);
            words.add("ask " + key + "@" + world.now.toMillis());
            decide.setTime(world.now);
            if (key >= 0 && !doubts.begin(key, world.now)) {
                answer(ask, "declined");
                return;
            }
            Duration ran = key < 0 ? null : doubts.mayHaveRunSince(key);
            ran = ran == null && others.contains(key) ? InDoubtKeys.BEFORE_THIS_RUN : ran;
            ask.handle =
                    decide.accept(
                            asks.size() - 1,
                            key < 0 ? -key : 0,
                            -1,
                            -1,
                            0,
                            EXPIRY,
                            null,
                            Duration.ZERO,
                            ran);
            end(ask);
        }

        private void answer(Ask ask, String answer) {
            if (ask.answer != null) {
                world.breaks("txn " + ask.id + " was answered " + ask.answer + " and " + answer);
            }
            ask.answer = answer;
            if (answer.equals("declined") && ask.ran) {
                world.breaks("txn " + ask.id + " ran, and was declined");
            }
        }

        private void end(Ask ask) {
            if (ask.handle != null
                    && ask.answer != null
                    && ask.out == 0
                    && !ask.over
                    && ask.key >= 0) {
                ask.over = true;
                doubts.finish(ask.key, world.now);
            }
        }

        void ended(Sent one, SubmissionResult result) {
            Ask ask = one.ask;
            words.add("end " + asks.indexOf(ask) + result + one.node + "@" + world.now.toMillis());
            ask.out--;
            boolean told = result == SubmissionResult.COMMITTED && ask.answer == null;
            if (ask.key >= 0) {
                doubts.recordEnd(ask.key, result.mayHaveRun(), told);
            }
            if (told) {
                answer(ask, "committed");
                if (ask.key >= 0) {
                    world.knows[index][ask.key] = null;
                }
            }
            decide.setTime(world.now);
            boolean spoke = result == SubmissionResult.COMMITTED || result == SubmissionResult.MISS;
            ask.handle.submissionEnded(
                    one.node,
                    result,
                    world.now.minus(one.at),
                    ask.answer != null,
                    spoke ? one.note : NodeReport.EMPTY,
                    NodeReport.EMPTY);
            end(ask);
        }

        /** Killed: what was not synced is lost. */
        void end() {
            for (Ask ask : asks) {
                ask.answer = ask.answer == null ? "lost" : ask.answer;
            }
            for (Sent one : world.sent) {
                if (one.ask.of == this) {
                    one.where =
                            one.where == Where.OUT
                                    ? Where.STRAY
                                    : one.where == Where.STRAY ? Where.STRAY : Where.OVER;
                }
            }
        }

        void sync() {
            words.add("sync@" + world.now.toMillis());
            for (String what : unsynced) {
                int key = what.charAt(0) == 'n' ? -1 : Integer.parseInt(what.substring(1));
                if (what.charAt(0) == '+') {
                    world.keptKeys.get(index).add(key);
                } else if (what.charAt(0) == '-') {
                    world.keptKeys.get(index).remove(key);
                } else {
                    world.keptDrains.get(index).add(what);
                }
            }
            unsynced.clear();
            for (Sent one : List.copyOf(world.sent)) {
                if (one.where == Where.WAITS && one.ask.of == this) {
                    decide.setTime(world.now);
                    if (one.ask.answer == null
                            && !others.contains(one.ask.key)
                            && one.ask.handle.maySend(one.node)) {
                        goes(one);
                    } else {
                        world.answered(one, SubmissionResult.UNSENT);
                    }
                }
            }
        }

        private void goes(Sent one) {
            one.where = Where.OUT;
            int key = one.ask.key;
            if (one.node == 2 && (generation > 1 || world.keptDrains.get(index).contains("n2"))) {
                world.breaks("txn " + one.ask.id + " was sent to n2, which drains");
            }
            if (one.ask.answer != null) {
                world.breaks("txn " + one.ask.id + " was sent after its answer");
            }
            if (key < 0) {
                if (key == BOUNDED
                        && one.node != 0
                        && world.position[one.node].compareTo(world.now.minus(BOUND)) < 0) {
                    world.breaks("a read was sent to n" + one.node + ", which is too far behind");
                }
                return;
            }
            Duration since =
                    told.contains(key) ? InDoubtKeys.BEFORE_THIS_RUN : world.knows[index][key];
            if (since != null && world.now.minus(since).compareTo(WINDOW) >= 0) {
                world.breaks(
                        "k" + key + " was sent by r" + index + ", which knew that it may have run");
            }
            world.knows[index][key] = since == null ? world.now : since;
        }

        // ---- results

        @Override
        public void submit(int txn, int node, Duration limit) {
            Ask ask = asks.get(txn);
            ask.out++;
            if (ask.key >= 0) {
                doubts.recordSend(ask.key, world.now);
            }
            boolean kept =
                    ask.key < 0
                            || world.plant == Plant.SENDS_BEFORE_KEPT
                            || !unsynced.contains("+" + ask.key)
                                    && world.keptKeys.get(index).contains(ask.key);
            Sent one = new Sent(ask, node, limit, world.now, Where.WAITS);
            world.sent.add(one);
            if (kept && !others.contains(ask.key)) {
                goes(one);
            }
        }

        @Override
        public void decline(int txn, Duration pause) {
            if (world.plant != Plant.LOSES_ANSWERS) {
                answer(asks.get(txn), "declined");
            }
        }

        @Override
        public void reportUnknownOutcome(int txn) {
            answer(asks.get(txn), "rolled back");
        }

        @Override
        public void closeIdleConnections(int node) {}

        @Override
        public void probe(int node) {}

        @Override
        public void watchMemberList() {}

        @Override
        public void scheduleWakeUp(Duration in) {}

        // ---- the disk

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void store(long key) {
            unsynced.remove("-" + key);
            unsynced.add("+" + key);
        }

        @Override
        public void remove(long key) {
            unsynced.remove("+" + key);
            unsynced.add("-" + key);
        }

        @Override
        public void nodeClosed(String id, MemberState standing, long startedMs, long of) {
            unsynced.add(id);
        }

        @Override
        public void nodeOpened(String id) {}
    }
}
