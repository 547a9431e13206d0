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
 * One router and a clock; what the module does is written down, a line a decision, and compared.
 */
public final class RoutingHarness implements RoutingActions {

    static final int BOUNDED_READ = 0;
    static final int SESSION_READ = 1;
    static final int EVENTUAL_READ = 2;
    static final int STRONG_READ = 3;
    static final int DEDUPLICATED_WRITE = 4;
    static final int UNREPEATABLE_WRITE = 5;
    private static final String[] TYPE_NAMES = {"view", "own", "any", "fresh", "move", "once"};

    final StringBuilder trace = new StringBuilder();
    final List<TransactionHandle> handles = new ArrayList<>();
    private final List<String> names = new ArrayList<>();
    private boolean traceProbes;
    private long wakeUpMillis = -1;
    final RoutingEngine engine;
    long millis;

    /** In line at the router, before it is taken. */
    Duration queueTime = Duration.ZERO;

    Duration earlierRunSince;
    private final Map<Integer, Integer> submittedTo = new TreeMap<>();

    /**
     * @param nodesRejectStaleReads nodes turn away reads that they are too far behind for
     */
    RoutingHarness(boolean nodesRejectStaleReads) {
        this(nodesRejectStaleReads, false, false);
    }

    RoutingHarness(
            boolean nodesRejectStaleReads,
            boolean memberListOnRequest,
            boolean unlistedNodesStayOpen) {
        this(nodesRejectStaleReads, memberListOnRequest, unlistedNodesStayOpen, 300);
    }

    /**
     * @param eventualSlaMillis the SLA time of any reads: a quarter of it is what they are taken to
     *     last at first
     */
    RoutingHarness(
            boolean nodesRejectStaleReads,
            boolean memberListOnRequest,
            boolean unlistedNodesStayOpen,
            long eventualSlaMillis) {
        List<TransactionType> types =
                List.of(
                        new TransactionType(
                                Repeatability.IDEMPOTENT,
                                true,
                                millis(2000),
                                Consistency.BOUNDED_STALENESS,
                                millis(200),
                                millis(300),
                                millis(2000),
                                3,
                                0),
                        new TransactionType(
                                Repeatability.IDEMPOTENT,
                                true,
                                millis(2000),
                                Consistency.SESSION,
                                millis(0),
                                millis(600),
                                millis(2000),
                                2,
                                0),
                        new TransactionType(
                                Repeatability.IDEMPOTENT,
                                true,
                                millis(2000),
                                Consistency.EVENTUAL,
                                millis(0),
                                millis(eventualSlaMillis),
                                millis(2000),
                                2,
                                0),
                        new TransactionType(
                                Repeatability.IDEMPOTENT,
                                true,
                                millis(2000),
                                Consistency.STRONG,
                                millis(0),
                                millis(400),
                                millis(2000),
                                2,
                                0),
                        new TransactionType(
                                Repeatability.DEDUPLICATED,
                                true,
                                millis(2000),
                                Consistency.WRITE,
                                millis(0),
                                millis(750),
                                millis(2000),
                                6,
                                0.3),
                        new TransactionType(
                                Repeatability.NOT_REPEATABLE,
                                true,
                                millis(2000),
                                Consistency.WRITE,
                                millis(0),
                                millis(750),
                                millis(2000),
                                6,
                                0.3));
        engine =
                new RoutingEngine(
                        new RoutingSettings(
                                millis(5),
                                0,
                                millis(250),
                                millis(2000),
                                6,
                                true,
                                memberListOnRequest,
                                millis(10000),
                                nodesRejectStaleReads,
                                unlistedNodesStayOpen,
                                0.16,
                                millis(16000),
                                2,
                                millis(1000),
                                0.012,
                                3,
                                types,
                                List.of(50.0, 50.0)),
                        this,
                        RandomGeneratorFactory.of("L64X128MixRandom").create(1));
        engine.setTime(millis(0));
    }

    static Duration millis(long count) {
        return Duration.ofMillis(count);
    }

    /** Three members of one group, all in this zone; node 0 is listed as the primary. */
    RoutingHarness withThreeNodes() {
        engine.updateMembers(
                true,
                List.of(
                        nodeRow(0, true, null, MemberState.READY),
                        nodeRow(1, false, null, MemberState.READY),
                        nodeRow(2, false, null, MemberState.READY)));
        return this;
    }

    static NodeRow nodeRow(int node, boolean primary, Duration startedAt, MemberState standing) {
        return new NodeRow(node, 7, 0, 1, primary, startedAt, standing);
    }

    void changeMembers(NodeRow... rows) {
        engine.updateMembers(false, List.of(rows));
    }

    /** Moves the clock on, with every wake on the way. */
    void advanceTo(long untilMillis) {
        while (wakeUpMillis >= 0 && wakeUpMillis <= untilMillis) {
            millis = wakeUpMillis;
            wakeUpMillis = -1;
            engine.setTime(millis(millis));
            engine.onWakeUp();
        }
        millis = untilMillis;
        engine.setTime(millis(millis));
    }

    RoutingHarness traceProbes() {
        traceProbes = true;
        return this;
    }

    /** Ends the txn well after the time it took at its node, whatever that is. */
    void commit(int transaction, long tookMillis) {
        endSubmission(
                transaction,
                SubmissionResult.COMMITTED,
                tookMillis,
                submittedTo.getOrDefault(transaction, 0) == 0 ? NodeRole.PRIMARY : NodeRole.REPLICA,
                millis);
    }

    /** Where the txn is out to; -1 where nowhere. */
    int nodeOf(int transaction) {
        return submittedTo.getOrDefault(transaction, -1);
    }

    void comment(String text) {
        trace.append("# ").append(text).append('\n');
    }

    /** What a node says of itself by a probe's report. */
    void reportNode(int node, long positionMillis, NodeRole role) {
        engine.probeCompleted(node, true, new NodeReport(millis(positionMillis), role));
    }

    /** A few lines that say nothing new are left out of the trace. */
    void runUntraced(Runnable steps) {
        int length = trace.length();
        steps.run();
        trace.setLength(length);
    }

    int accept(int type) {
        return accept(type, 2000, null);
    }

    int accept(int type, long timeoutMillis, Duration sinceLastWrite) {
        return accept(type, -1, timeoutMillis, sinceLastWrite);
    }

    int accept(int type, int tenant, long timeoutMillis, Duration sinceLastWrite) {
        int id = handles.size();
        names.add(TYPE_NAMES[type] + id);
        handles.add(null);
        handles.set(
                id,
                engine.accept(
                        id,
                        type,
                        tenant,
                        type == SESSION_READ || type == DEDUPLICATED_WRITE ? 3 : -1,
                        7,
                        millis(timeoutMillis),
                        sinceLastWrite,
                        queueTime,
                        earlierRunSince));
        return id;
    }

    /** Its connection is up only now: may it still go? If not, it ends unsent. */
    void openConnection(int transaction) {
        boolean maySend = handles.get(transaction).maySend(submittedTo.get(transaction));
        record(
                "%s connected to node %d: %s",
                names.get(transaction),
                submittedTo.get(transaction),
                maySend ? "goes" : "goes no more");
        if (!maySend) {
            endSubmission(transaction, SubmissionResult.UNSENT, 0, null, 0);
        }
    }

    /** Nothing happens where the txn is not out. */
    void endSubmission(
            int transaction,
            SubmissionResult result,
            long tookMillis,
            NodeRole role,
            long positionMillis) {
        if (!submittedTo.containsKey(transaction)) {
            return;
        }
        int node = submittedTo.remove(transaction);
        boolean answered = result == SubmissionResult.COMMITTED;
        trace.append(
                String.format(
                        "%5d   %s at node %d: %s\n", millis, names.get(transaction), node, result));
        handles.get(transaction)
                .submissionEnded(
                        node,
                        result,
                        millis(tookMillis),
                        answered,
                        new NodeReport(role == null ? null : millis(positionMillis), role),
                        NodeReport.EMPTY);
    }

    /**
     * What was seen is also left in target/traces, to be read and kept where a change was meant.
     */
    void assertTraceEquals(String name) throws IOException {
        assertTraceEquals(name, trace);
    }

    /** For the traces of other parts too. */
    public static void assertTraceEquals(String name, CharSequence trace) throws IOException {
        Path actual = Path.of("target", "traces", name + ".txt");
        Files.createDirectories(actual.getParent());
        Files.writeString(actual, trace);
        try (InputStream expected =
                RoutingHarness.class.getResourceAsStream("/traces/" + name + ".txt")) {
            assertNotNull(expected, () -> "no trace kept for " + name);
            assertEquals(
                    new String(expected.readAllBytes(), StandardCharsets.UTF_8), trace.toString());
        }
    }

    private void record(String format, Object... args) {
        trace.append(String.format("%5d ", millis))
                .append(String.format(format, args))
                .append('\n');
    }

    @Override
    public void submit(int transaction, int node, Duration timeout) {
        submittedTo.put(transaction, node);
        record("%s -> node %d, limit %d", names.get(transaction), node, timeout.toMillis());
    }

    @Override
    public void decline(int transaction, Duration retryDelay) {
        record("%s declined, back in %d", names.get(transaction), retryDelay.toMillis());
    }

    @Override
    public void reportUnknownOutcome(int transaction) {
        record("%s rolled back", names.get(transaction));
    }

    @Override
    public void closeIdleConnections(int node) {
        record("free connections to node %d closed", node);
    }

    @Override
    public void probe(int node) {
        if (traceProbes) {
            record("probe node %d", node);
        }
    }

    @Override
    public void watchMemberList() {
        record("asks for the list");
    }

    @Override
    public void scheduleWakeUp(Duration delay) {
        wakeUpMillis = millis + delay.toMillis();
    }
}
