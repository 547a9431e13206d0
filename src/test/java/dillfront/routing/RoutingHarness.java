package dillfront.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

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
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGeneratorFactory;

/**
 * Runs one routing engine on a simulated clock and records its actions, one per line, in a trace
 * that is compared with an expected one.
 */
public final class RoutingHarness implements RoutingActions {

    static final int VIEW = 0;
    static final int OWN = 1;
    static final int ANY = 2;
    static final int FRESH = 3;
    static final int MOVE = 4;
    static final int ONCE = 5;
    private static final String[] NAMES = {"view", "own", "any", "fresh", "move", "once"};

    final StringBuilder trace = new StringBuilder();
    final List<TransactionHandle> txns = new ArrayList<>();
    private final List<String> names = new ArrayList<>();
    private boolean showProbes;
    private long wakeAt = -1;
    final RoutingEngine decide;
    long ms;

    /** Time that requests spend in the router's receive queue before they are accepted. */
    Duration waited = Duration.ZERO;

    Duration ran;
    private final Map<Integer, Integer> at = new TreeMap<>();

    /**
     * @param nodesRefuse whether nodes reject reads that they are too far behind for
     */
    RoutingHarness(boolean nodesRefuse) {
        this(nodesRefuse, false, false);
    }

    RoutingHarness(boolean nodesRefuse, boolean listAsked, boolean goneStaysOpen) {
        this(nodesRefuse, listAsked, goneStaysOpen, 300);
    }

    /**
     * @param anySla the SLA time of eventually consistent reads in ms; their typical response time
     *     starts at a quarter of it
     */
    RoutingHarness(boolean nodesRefuse, boolean listAsked, boolean goneStaysOpen, long anySla) {
        List<TransactionType> types =
                List.of(
                        new TransactionType(
                                Repeatability.IDEMPOTENT,
                                true,
                                ms(2000),
                                Consistency.BOUNDED_STALENESS,
                                ms(200),
                                ms(300),
                                ms(2000),
                                3,
                                0),
                        new TransactionType(
                                Repeatability.IDEMPOTENT,
                                true,
                                ms(2000),
                                Consistency.SESSION,
                                ms(0),
                                ms(600),
                                ms(2000),
                                2,
                                0),
                        new TransactionType(
                                Repeatability.IDEMPOTENT,
                                true,
                                ms(2000),
                                Consistency.EVENTUAL,
                                ms(0),
                                ms(anySla),
                                ms(2000),
                                2,
                                0),
                        new TransactionType(
                                Repeatability.IDEMPOTENT,
                                true,
                                ms(2000),
                                Consistency.STRONG,
                                ms(0),
                                ms(400),
                                ms(2000),
                                2,
                                0),
                        new TransactionType(
                                Repeatability.DEDUPLICATED,
                                true,
                                ms(2000),
                                Consistency.WRITE,
                                ms(0),
                                ms(750),
                                ms(2000),
                                6,
                                0.3),
                        new TransactionType(
                                Repeatability.NOT_REPEATABLE,
                                true,
                                ms(2000),
                                Consistency.WRITE,
                                ms(0),
                                ms(750),
                                ms(2000),
                                6,
                                0.3));
        decide =
                new RoutingEngine(
                        new RoutingSettings(
                                ms(5),
                                0,
                                ms(250),
                                ms(2000),
                                6,
                                true,
                                listAsked,
                                ms(10000),
                                nodesRefuse,
                                goneStaysOpen,
                                0.16,
                                ms(16000),
                                2,
                                ms(1000),
                                0.012,
                                3,
                                types,
                                List.of(50.0, 50.0)),
                        this,
                        RandomGeneratorFactory.of("L64X128MixRandom").create(1));
        decide.setTime(ms(0));
    }

    static Duration ms(long n) {
        return Duration.ofMillis(n);
    }

    /** Lists three members of one group in this zone, with node 0 as the primary. */
    RoutingHarness three() {
        decide.updateMembers(
                true,
                List.of(
                        row(0, true, null, MemberState.READY),
                        row(1, false, null, MemberState.READY),
                        row(2, false, null, MemberState.READY)));
        return this;
    }

    static NodeRow row(int node, boolean primary, Duration started, MemberState standing) {
        return new NodeRow(node, 7, 0, 1, primary, started, standing);
    }

    void change(NodeRow... rows) {
        decide.updateMembers(false, List.of(rows));
    }

    /** Advances the clock, and runs the periodic work that is due on the way. */
    void to(long then) {
        while (wakeAt >= 0 && wakeAt <= then) {
            ms = wakeAt;
            wakeAt = -1;
            decide.setTime(ms(ms));
            decide.onWakeUp();
        }
        ms = then;
        decide.setTime(ms(ms));
    }

    RoutingHarness showProbes() {
        showProbes = true;
        return this;
    }

    /** Commits the transaction at its node after the given time in ms. */
    void well(int txn, long took) {
        ended(
                txn,
                SubmissionResult.COMMITTED,
                took,
                at.getOrDefault(txn, 0) == 0 ? NodeRole.PRIMARY : NodeRole.REPLICA,
                ms);
    }

    /** Returns the node that the transaction is submitted to, or -1. */
    int whereIs(int txn) {
        return at.getOrDefault(txn, -1);
    }

    void note(String what) {
        trace.append("# ").append(what).append('\n');
    }

    /** Delivers a node's report as the answer to a probe. */
    void report(int node, long position, NodeRole role) {
        decide.probed(node, true, new NodeReport(ms(position), role));
    }

    /** Runs steps without recording them in the trace. */
    void mute(Runnable scene) {
        int length = trace.length();
        scene.run();
        trace.setLength(length);
    }

    int take(int type) {
        return take(type, 2000, null);
    }

    int take(int type, long expiry, Duration token) {
        return take(type, -1, expiry, token);
    }

    int take(int type, int tenant, long expiry, Duration token) {
        int id = txns.size();
        names.add(NAMES[type] + id);
        txns.add(null);
        txns.set(
                id,
                decide.accept(
                        id,
                        type,
                        tenant,
                        type == OWN || type == MOVE ? 3 : -1,
                        7,
                        ms(expiry),
                        token,
                        waited,
                        ran));
        return id;
    }

    /** Opens the connection for a submission late; the submission ends unsent if it is outdated. */
    void connected(int txn) {
        boolean stands = txns.get(txn).stands(at.get(txn));
        say(
                "%s connected to node %d: %s",
                names.get(txn), at.get(txn), stands ? "goes" : "goes no more");
        if (!stands) {
            ended(txn, SubmissionResult.UNSENT, 0, null, 0);
        }
    }

    /** Ends the transaction's pending submission, if there is one. */
    void ended(int txn, SubmissionResult result, long took, NodeRole role, long position) {
        if (!at.containsKey(txn)) {
            return;
        }
        int node = at.remove(txn);
        boolean closed = result == SubmissionResult.COMMITTED;
        trace.append(String.format("%5d   %s at node %d: %s\n", ms, names.get(txn), node, result));
        txns.get(txn)
                .submissionEnded(
                        node,
                        result,
                        ms(took),
                        closed,
                        new NodeReport(role == null ? null : ms(position), role),
                        NodeReport.EMPTY);
    }

    /**
     * Compares the trace with the expected one. The actual trace is written to target/traces, from
     * where it can replace the expected trace after an intended change.
     */
    void compare(String name) throws IOException {
        compare(name, trace);
    }

    /** Compares any trace with the expected trace of that name in src/test/resources/traces. */
    public static void compare(String name, CharSequence trace) throws IOException {
        Path seen = Path.of("target", "traces", name + ".txt");
        Files.createDirectories(seen.getParent());
        Files.writeString(seen, trace);
        try (InputStream kept =
                RoutingHarness.class.getResourceAsStream("/traces/" + name + ".txt")) {
            assertNotNull(kept, () -> "no expected trace in src/test/resources/traces for " + name);
            assertEquals(new String(kept.readAllBytes(), StandardCharsets.UTF_8), trace.toString());
        }
    }

    private void say(String what, Object... args) {
        trace.append(String.format("%5d ", ms)).append(String.format(what, args)).append('\n');
    }

    @Override
    public void submit(int txn, int node, Duration limit) {
        at.put(txn, node);
        say("%s -> node %d, limit %d", names.get(txn), node, limit.toMillis());
    }

    @Override
    public void decline(int txn, Duration pause) {
        say("%s declined, back in %d", names.get(txn), pause.toMillis());
    }

    @Override
    public void reportUnknownOutcome(int txn) {
        say("%s rolled back", names.get(txn));
    }

    @Override
    public void release(int node) {
        say("free connections to node %d closed", node);
    }

    @Override
    public void probe(int node) {
        if (showProbes) {
            say("probe node %d", node);
        }
    }

    @Override
    public void watchMemberList() {
        say("asks for the list");
    }

    @Override
    public void scheduleWakeUp(Duration in) {
        wakeAt = ms + in.toMillis();
    }
}
