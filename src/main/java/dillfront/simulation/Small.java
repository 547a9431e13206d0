package dillfront.simulation;

import dillfront.router.discovery.Closings;
import dillfront.router.recovery.InDoubtKeys;
import dillfront.routing.Decide;
import dillfront.routing.api.Effect;
import dillfront.routing.api.Handle;
import dillfront.routing.api.NodeRow;
import dillfront.routing.api.Outlet;
import dillfront.routing.api.Read;
import dillfront.routing.api.Report;
import dillfront.routing.api.Result;
import dillfront.routing.api.Role;
import dillfront.routing.api.Settings;
import dillfront.routing.api.Standing;
import dillfront.routing.api.TxnType;
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
 * Checks exhaustively a model small enough for all its states: two routers that decide by {@link
 * Decide}, {@link InDoubtKeys} and {@link Closings} themselves, three nodes of one group and two
 * keys. The events are requests, sends, answers, lost connections, server lists, a drain, disk
 * syncs, a router crash, a power loss of all machines, and the passage of time, in every order up
 * to a depth. Each state is reached by replay from the initial state, so no state of the routers is
 * copied. Two orders lead to the same state if each router received the same inputs at the same
 * times and the rest of the model is equal.
 *
 * <p>Invariants: a key takes effect once; a declined transaction never runs; each request of a
 * running router is answered once by its expiry; nothing is sent to a node that a router knows to
 * drain, also after a restart if the drain was persisted; no bounded read is sent to data older
 * than its bound. Injected faults show that each invariant is checked.
 */
public final class Small {

    /** A fault that is injected into the routers. */
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
     * @param states number of explored states
     * @param depth the deepest explored path
     * @param broken the first violated invariant and the steps that lead to it; null if all held
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

    /** Limits on one path; first the number of requests. */
    private static final int ASKS = 3;

    private static final int READS = 1;
    private static final int TICKS = 4;
    private static final int LOSSES = 2;
    private static final int BREAKS = 1;
    private static final int GOSSIP = 1;

    private Small() {}

    /** Explores all states up to this depth in breadth-first order. */
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

    /** A transaction that a client requested. */
    private static final class Ask {
        final Life of;
        final int id;

        /** Key of a write; negative for a read: BOUNDED or ANY. */
        final int key;

        final Duration at;
        Handle handle;
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

    /** One submission of a transaction to a node. */
    private static final class Sent {
        final Ask ask;
        final int node;
        final Duration until;
        final Duration at;
        Where where;
        Result result;
        Report note;

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

        /** In-doubt keys on each router's disk. */
        final List<TreeSet<Integer>> keptKeys = new ArrayList<>();

        final List<TreeSet<String>> keptDrains = new ArrayList<>();

        /** By key, the time at which it last took effect. */
        final Duration[] effect = new Duration[KEYS];

        final int[] effects = new int[KEYS];

        /** By key, the router whose transaction took effect last. */
        final int[] effectBy = new int[KEYS];

        /** The time since which each router has reason to assume that a key may have run. */
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
                // This state lies deep in the search, so the exploration starts where the drain is
                // known and persisted.
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
                        // The second key is used only after the first, since the keys are
                        // symmetric.
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
                    all.add(new Step("r" + r + " receives the list", life::told));
                }
                if (gossip < GOSSIP && life.doubts.inDoubtCount() > 0) {
                    all.add(
                            new Step(
                                    "r" + r + " gossips its in-doubt keys",
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
                                        answered(one, Result.RESET);
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
                all.add(new Step("power loss", this::power));
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

        /** Power loss of all machines; replicas have lost the end of their logs. */
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
                // The first replica follows the primary, the second one receives nothing.
                position[n] = n == 2 ? position[n] : now;
            }
            for (Sent one : List.copyOf(sent)) {
                if ((one.where == Where.OUT || one.where == Where.BACK)
                        && one.until.compareTo(now) <= 0) {
                    boolean yet = one.where == Where.OUT;
                    answered(one, Result.TIMED_OUT);
                    one.where = yet ? Where.STRAY : Where.OVER;
                } else if (one.where == Where.WAITS && one.until.compareTo(now) <= 0) {
                    answered(one, Result.UNSENT);
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
            one.note = new Report(position[one.node], one.node == 0 ? Role.PRIMARY : Role.REPLICA);
            if (key >= 0 && one.node != 0) {
                one.result = Result.MISS;
                return;
            }
            one.result = Result.COMMITTED;
            if (key >= 0 && (effect[key] == null || now.minus(effect[key]).compareTo(WINDOW) > 0)) {
                effect[key] = now;
                one.ask.ran = true;
                if (++effects[key] > 1 && effectBy[key] == one.ask.of.index) {
                    // The network delayed a submission that the router had given up on: the
                    // platform counts the deduplication window from the send.
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

        void answered(Sent one, Result result) {
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

    /** One incarnation of a router: the routing engine and the state between it and the model. */
    private static final class Life implements Outlet, InDoubtKeys.KeyStore, Closings.Keeper {
        final World world;
        final int index;
        final List<Ask> asks = new ArrayList<>();
        final List<String> words = new ArrayList<>();

        /**
         * Changes that are not yet synced to disk: {@code +0} adds a key, {@code -0} removes it,
         * and {@code n2} is a drain.
         */
        final TreeSet<String> unsynced = new TreeSet<>();

        final Duration began;
        final Decide decide;
        final InDoubtKeys doubts;
        final Closings closings = new Closings();
        final Set<Integer> others = new TreeSet<>();
        final Set<Integer> told = new TreeSet<>();
        int generation;

        Life(World world, int index) {
            this.world = world;
            this.index = index;
            began = world.now;
            doubts = new InDoubtKeys(new InDoubtKeys.Limits(16, Duration.ofHours(1)), this);
            decide = new Decide(settings(), this, new SplittableRandom(index));
        }

        private static Settings settings() {
            List<TxnType> types =
                    List.of(
                            new TxnType(
                                    Effect.REFERENCED,
                                    true,
                                    WINDOW,
                                    Read.WRITE,
                                    Duration.ZERO,
                                    EXPIRY.dividedBy(2),
                                    EXPIRY,
                                    6,
                                    0.3),
                            new TxnType(
                                    Effect.REPEATABLE,
                                    true,
                                    WINDOW,
                                    Read.BOUNDED,
                                    BOUND,
                                    EXPIRY.dividedBy(2),
                                    EXPIRY,
                                    2,
                                    0),
                            new TxnType(
                                    Effect.REPEATABLE,
                                    true,
                                    WINDOW,
                                    Read.ANY,
                                    Duration.ZERO,
                                    EXPIRY.dividedBy(2),
                                    EXPIRY,
                                    2,
                                    0));
            return new Settings(
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
         * Restores the persisted state, then applies the server list of the configuration, which is
         * older than all drains.
         */
        void begin() {
            closings.keeper(this);
            if (world.plant != Plant.FORGETS_DRAINS) {
                world.keptDrains
                        .get(index)
                        .forEach(id -> closings.close(id, Standing.DRAINING, 0, 2));
            }
            decide.at(world.now);
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
                Standing said = of > 1 && n == 2 ? Standing.DRAINING : Standing.READY;
                Standing holds = closings.heard("n" + n, said, 0, of);
                rows.add(new NodeRow(n, 0, 0, 1, n == 0, null, holds));
            }
            decide.at(world.now);
            decide.list(true, rows);
            if (world.plant == Plant.KEEPS_POSITIONS && world.started != null) {
                // The position of the second replica that a former incarnation knew, as if it still
                // held.
                decide.heard(1, Report.NOTHING, new Report(world.started, Role.REPLICA));
            }
        }

        void told() {
            list(world.generation);
        }

        void woken() {
            words.add("wake@" + world.now.toMillis());
            decide.at(world.now);
            decide.woken();
        }

        void hears(Life other) {
            words.add("doubts " + doubtsOf(other));
            if (world.plant != Plant.IGNORES_OTHERS) {
                others.addAll(doubtsOf(other));
            }
            // Reports of other routers are not persisted and apply to this incarnation only.
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
            decide.at(world.now);
            if (key >= 0 && !doubts.begin(key, world.now)) {
                answer(ask, "declined");
                return;
            }
            Duration ran = key < 0 ? null : doubts.mayHaveRunSince(key);
            ran = ran == null && others.contains(key) ? InDoubtKeys.BEFORE_THIS_RUN : ran;
            ask.handle =
                    decide.take(
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

        void ended(Sent one, Result result) {
            Ask ask = one.ask;
            words.add("end " + asks.indexOf(ask) + result + one.node + "@" + world.now.toMillis());
            ask.out--;
            boolean told = result == Result.COMMITTED && ask.answer == null;
            if (ask.key >= 0) {
                doubts.recordEnd(ask.key, result.mayHaveRun(), told);
            }
            if (told) {
                answer(ask, "committed");
                if (ask.key >= 0) {
                    world.knows[index][ask.key] = null;
                }
            }
            decide.at(world.now);
            boolean spoke = result == Result.COMMITTED || result == Result.MISS;
            ask.handle.ended(
                    one.node,
                    result,
                    world.now.minus(one.at),
                    ask.answer != null,
                    spoke ? one.note : Report.NOTHING,
                    Report.NOTHING);
            end(ask);
        }

        /** Kills the incarnation; changes that were not synced are lost. */
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
                    decide.at(world.now);
                    if (one.ask.answer == null
                            && !others.contains(one.ask.key)
                            && one.ask.handle.stands(one.node)) {
                        goes(one);
                    } else {
                        world.answered(one, Result.UNSENT);
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

        // ---- callbacks of the routing engine

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
        public void rollBack(int txn) {
            answer(asks.get(txn), "rolled back");
        }

        @Override
        public void release(int node) {}

        @Override
        public void probe(int node) {}

        @Override
        public void follow() {}

        @Override
        public void wake(Duration in) {}

        // ---- storage

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
        public void closed(String id, Standing standing, long startedMs, long of) {
            unsynced.add(id);
        }

        @Override
        public void opened(String id) {}
    }
}
