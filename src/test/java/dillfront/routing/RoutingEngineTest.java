package dillfront.routing;

import static dillfront.routing.RoutingHarness.BOUNDED_READ;
import static dillfront.routing.RoutingHarness.DEDUPLICATED_WRITE;
import static dillfront.routing.RoutingHarness.EVENTUAL_READ;
import static dillfront.routing.RoutingHarness.SESSION_READ;
import static dillfront.routing.RoutingHarness.STRONG_READ;
import static dillfront.routing.RoutingHarness.UNREPEATABLE_WRITE;
import static dillfront.routing.RoutingHarness.millis;
import static dillfront.routing.RoutingHarness.nodeRow;
import static dillfront.routing.api.NodeRole.PRIMARY;
import static dillfront.routing.api.NodeRole.REPLICA;

import dillfront.routing.api.MemberState;
import dillfront.routing.api.NodeReport;
import dillfront.routing.api.SubmissionResult;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Each test plays a short scene; its decisions are kept, to be read, in src/test/resources/traces.
 */
class RoutingEngineTest {

    private final RoutingHarness harness = new RoutingHarness(false).withThreeNodes();

    private void reportAllNodes(long positionMillis) {
        harness.reportNode(0, positionMillis, PRIMARY);
        harness.reportNode(1, positionMillis, REPLICA);
        harness.reportNode(2, positionMillis, REPLICA);
    }

    @Test
    void sendsEachTransactionTypeToPermittedNodes() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        for (int type :
                new int[] {
                    BOUNDED_READ,
                    SESSION_READ,
                    EVENTUAL_READ,
                    STRONG_READ,
                    DEDUPLICATED_WRITE,
                    UNREPEATABLE_WRITE
                }) {
            harness.accept(type);
        }
        harness.assertTraceEquals("class-split");
    }

    @Test
    void queuesBoundedReadsUntilAPositionIsKnown() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        harness.advanceTo(205);
        harness.accept(BOUNDED_READ);
        harness.comment("a position ages: 5 is 201 old");
        harness.advanceTo(206);
        for (int i = 0; i < 12; i++) {
            harness.accept(BOUNDED_READ);
        }
        harness.comment("a report frees what was held");
        harness.reportNode(2, 200, REPLICA);
        harness.assertTraceEquals("bounded-read");
    }

    /**
     * Guards against reads that were fresh when they were decided and are old when a connection is
     * up.
     */
    @Test
    void checksSubmissionAgainAfterWaitForConnection() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        int[] reads = {
            harness.accept(BOUNDED_READ),
            harness.accept(BOUNDED_READ),
            harness.accept(EVENTUAL_READ),
            harness.accept(STRONG_READ)
        };
        harness.advanceTo(205);
        harness.openConnection(reads[0]);
        harness.advanceTo(206);
        harness.openConnection(reads[1]);
        harness.comment("the primary says that it is none, then drains");
        harness.reportNode(0, 206, REPLICA);
        harness.openConnection(reads[3]);
        harness.changeMembers(nodeRow(0, false, null, MemberState.DRAINING));
        harness.openConnection(reads[2]);
        harness.assertTraceEquals("connected-late");
    }

    @Test
    void sessionReadsSeeTheWritesOfTheirSession() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        int write = harness.accept(DEDUPLICATED_WRITE);
        harness.advanceTo(60);
        harness.endSubmission(write, SubmissionResult.COMMITTED, 50, PRIMARY, 52);
        harness.comment("its writes stand at 52; the replicas are known to 5, then node 2 to 52");
        harness.accept(SESSION_READ);
        harness.reportNode(2, 52, REPLICA);
        harness.accept(SESSION_READ);
        harness.comment("carried: written 20 before, so at 40; a millisecond is kept for rounding");
        harness.accept(SESSION_READ, 2000, millis(20));
        harness.assertTraceEquals("session-read");
    }

    @Test
    void replicaErrorsFallBackToPrimaryAndTimeoutsAreReported() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        int refused = harness.accept(BOUNDED_READ);
        int broken = harness.accept(EVENTUAL_READ);
        int slow = harness.accept(SESSION_READ);
        harness.advanceTo(20);
        harness.endSubmission(refused, SubmissionResult.MISS, 10, REPLICA, 5);
        harness.endSubmission(broken, SubmissionResult.RESET, 10, null, 0);
        harness.advanceTo(700);
        harness.endSubmission(slow, SubmissionResult.TIMED_OUT, 600, null, 0);
        harness.assertTraceEquals("errors-and-time-outs");
    }

    @Test
    void resubmitsWritesThatMayHaveRunOnlyIfSafe() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        int move = harness.accept(DEDUPLICATED_WRITE);
        int once = harness.accept(UNREPEATABLE_WRITE);
        int untouched = harness.accept(UNREPEATABLE_WRITE);
        harness.advanceTo(20);
        harness.endSubmission(move, SubmissionResult.RESET, 10, null, 0);
        harness.endSubmission(once, SubmissionResult.RESET, 10, null, 0);
        harness.endSubmission(untouched, SubmissionResult.UNREACHABLE, 10, null, 0);
        harness.advanceTo(2100);
        harness.assertTraceEquals("may-have-run");
    }

    @Test
    void searchesForPrimaryAfterRejectedWrite() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        int write = harness.accept(UNREPEATABLE_WRITE);
        harness.advanceTo(20);
        harness.endSubmission(write, SubmissionResult.MISS, 10, REPLICA, 5);
        harness.endSubmission(write, SubmissionResult.MISS, 5, REPLICA, 5);
        harness.endSubmission(write, SubmissionResult.MISS, 5, REPLICA, 5);
        harness.comment("one round of misses: waits until one says that it is the primary");
        harness.advanceTo(300);
        harness.reportNode(2, 290, PRIMARY);
        harness.assertTraceEquals("lost-primary");
    }

    @Test
    void sendsNothingMoreToHungPrimary() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        for (int i = 0; i < 4; i++) {
            harness.accept(UNREPEATABLE_WRITE);
        }
        harness.advanceTo(500);
        harness.comment(
                "four are out and nothing has come back: the next is held, then declined in time");
        harness.accept(UNREPEATABLE_WRITE, 1000, null);
        harness.advanceTo(1600);
        harness.assertTraceEquals("hung-primary");
    }

    @Test
    void sendsNothingToDrainingNodes() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        harness.changeMembers(
                nodeRow(1, false, null, MemberState.DRAINING),
                nodeRow(2, false, null, MemberState.GONE));
        harness.accept(BOUNDED_READ);
        harness.accept(EVENTUAL_READ);
        harness.changeMembers(nodeRow(0, true, null, MemberState.DRAINING));
        harness.accept(DEDUPLICATED_WRITE, 500, null);
        harness.advanceTo(600);
        harness.assertTraceEquals("drains");
    }

    @Test
    void rampsUpLoadOnWarmingNode() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        harness.changeMembers(nodeRow(1, false, millis(10), MemberState.READY));
        for (int quarter = 0; quarter < 4; quarter++) {
            int[] sentToNode = new int[3];
            harness.runUntraced(
                    () -> {
                        for (int i = 0; i < 50; i++) {
                            harness.advanceTo(harness.millis + 80);
                            reportAllNodes(harness.millis);
                            int[] transactions = {
                                harness.accept(BOUNDED_READ),
                                harness.accept(BOUNDED_READ),
                                harness.accept(BOUNDED_READ),
                                harness.accept(BOUNDED_READ)
                            };
                            for (int transaction : transactions) {
                                sentToNode[harness.nodeOf(transaction)]++;
                                harness.commit(transaction, 80);
                            }
                        }
                    });
            harness.comment(
                    sentToNode[1]
                            + " of 200 to the cold node 1, "
                            + sentToNode[2]
                            + " to node 2, "
                            + sentToNode[0]
                            + " to the primary");
        }
        harness.assertTraceEquals("cold-node");
    }

    @Test
    void reducesConcurrencyLimitOfSlowNode() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        harness.runUntraced(
                () -> {
                    for (int i = 0; i < 40; i++) {
                        harness.advanceTo(harness.millis + 100);
                        reportAllNodes(harness.millis);
                        harness.commit(harness.accept(STRONG_READ), 700);
                    }
                });
        harness.comment(
                "answers took 700 of an SLA time of 400: how many are let out now, before and after a second");
        for (int i = 0; i < 4; i++) {
            harness.accept(STRONG_READ, 1500, null);
        }
        harness.advanceTo(harness.millis + 1000);
        harness.assertTraceEquals("slow-node");
    }

    @Test
    void sendsReadsToReplicasOfUnknownLagUntilRejected() throws IOException {
        RoutingHarness configured = new RoutingHarness(true).withThreeNodes();
        configured.advanceTo(10);
        configured.reportNode(0, 5, PRIMARY);
        configured.reportNode(1, 5, REPLICA);
        configured.advanceTo(600);
        configured.comment(
                "node 1 is known to 5 only, and it is 600: it may be tried, as it turns away what it cannot answer");
        int view = configured.accept(BOUNDED_READ);
        configured.advanceTo(605);
        configured.endSubmission(view, SubmissionResult.MISS, 5, REPLICA, 0);
        configured.comment("it has refused one: no more until it is known past that");
        configured.accept(SESSION_READ, 2000, millis(100));
        configured.reportNode(1, 606, REPLICA);
        configured.advanceTo(900);
        configured.accept(BOUNDED_READ);
        configured.assertTraceEquals("refusing-nodes");
    }

    /**
     * Guards against a list that calls serving nodes gone, and against taking a drain back with it.
     */
    @Test
    void keepsUsingRunningNodesMissingFromTheList() throws IOException {
        RoutingHarness configured = new RoutingHarness(false, false, true).withThreeNodes();
        configured.advanceTo(10);
        configured.reportNode(0, 9, PRIMARY);
        configured.reportNode(1, 9, REPLICA);
        configured.reportNode(2, 9, REPLICA);
        configured.changeMembers(nodeRow(2, false, null, MemberState.DRAINING));
        configured.comment("node 2 drains, then the list calls all three gone");
        configured.engine.updateMembers(true, List.of());
        configured.changeMembers(nodeRow(2, false, null, MemberState.GONE));
        int view = configured.accept(BOUNDED_READ);
        int move = configured.accept(DEDUPLICATED_WRITE);
        configured.advanceTo(60);
        configured.commit(view, 50);
        configured.commit(move, 50);
        configured.comment(
                "node 1 has really died: found by its answers, and its row is given back once it has been away for the warm-up");
        for (int i = 0; i < 8; i++) {
            configured.reportNode(0, configured.millis, PRIMARY);
            int one = configured.accept(EVENTUAL_READ);
            configured.advanceTo(configured.millis + 50);
            if (configured.nodeOf(one) == 1) {
                configured.endSubmission(one, SubmissionResult.UNREACHABLE, 1, null, 0);
            } else {
                configured.commit(one, 50);
            }
        }
        configured.comment("node 1 forgotten now: " + configured.engine.forgetNode(1));
        configured.runUntraced(
                () -> {
                    configured.engine.probeCompleted(1, false, NodeReport.EMPTY);
                    configured.advanceTo(configured.millis + 17_000);
                    configured.engine.probeCompleted(1, false, NodeReport.EMPTY);
                });
        configured.comment(
                "and 17 s later: "
                        + configured.engine.forgetNode(1)
                        + "; node 0, which answers: "
                        + configured.engine.forgetNode(0));
        configured.changeMembers(nodeRow(2, false, null, MemberState.READY));
        configured.comment("node 2 is listed as ready again");
        configured.accept(EVENTUAL_READ);
        configured.assertTraceEquals("wrong-list");
    }

    /**
     * Guards against reads that wait at a replica which is known to lag, a tenth of a second each.
     */
    @Test
    void learnsReplicaLagFromRejectedRead() throws IOException {
        RoutingHarness configured = new RoutingHarness(true).withThreeNodes();
        configured.advanceTo(1000);
        configured.reportNode(0, 995, PRIMARY);
        configured.reportNode(1, 500, REPLICA);
        configured.reportNode(2, 500, REPLICA);
        configured.comment(
                "positions are older than the bound; the nodes guard it, so one is tried");
        int view = configured.accept(BOUNDED_READ);
        configured.advanceTo(1100);
        configured.comment("it waited for 100 ms there, and the replica was at 700");
        configured.endSubmission(view, SubmissionResult.MISS, 100, REPLICA, 700);
        configured.advanceTo(1110);
        configured.accept(BOUNDED_READ);
        configured.accept(BOUNDED_READ);
        configured.comment("within the bound again by its own word");
        configured.reportNode(1, 1109, REPLICA);
        configured.reportNode(2, 1109, REPLICA);
        configured.accept(BOUNDED_READ);
        configured.assertTraceEquals("waiting-read");
    }

    /** Guards against a fleet whose sizes nobody tells being filled as if all were alike. */
    @Test
    void sendsLessToSlowerNodeWithoutListedSizes() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        int[] sentToNode = new int[3];
        harness.runUntraced(
                () -> {
                    for (int i = 0; i < 100; i++) {
                        harness.advanceTo(harness.millis + 120);
                        reportAllNodes(harness.millis);
                        int[] views = {
                            harness.accept(EVENTUAL_READ),
                            harness.accept(EVENTUAL_READ),
                            harness.accept(EVENTUAL_READ),
                            harness.accept(EVENTUAL_READ)
                        };
                        harness.advanceTo(harness.millis + 10);
                        for (int view : views) {
                            int where = harness.nodeOf(view);
                            if (where >= 0) {
                                sentToNode[where] += i < 50 ? 0 : 1;
                                harness.commit(view, where == 1 ? 100 : 50);
                            }
                        }
                    }
                });
        harness.comment(
                "of 200, after as many to learn: "
                        + sentToNode[1]
                        + " to node 1, which takes twice as long, "
                        + sentToNode[2]
                        + " to node 2, "
                        + sentToNode[0]
                        + " to the primary");
        harness.assertTraceEquals("no-sizes");
    }

    /**
     * Guards against long reads that keep every replica behind, and against their being held to one
     * that others need.
     */
    @Test
    void sendsReplicationStallingReadsToFurthestLaggingReplica() throws IOException {
        RoutingHarness configured = new RoutingHarness(true, false, false, 2000).withThreeNodes();
        configured.advanceTo(10);
        configured.reportNode(1, 5, REPLICA);
        configured.reportNode(2, 8, REPLICA);
        configured.comment(
                "any reads last longer than the tightest bound: node 1 is furthest behind");
        int[] long1 = {configured.accept(EVENTUAL_READ), configured.accept(EVENTUAL_READ)};
        configured.advanceTo(400);
        configured.comment(
                "their answers come from positions that stood still: node 1 keeps them, current reads go to node 2");
        for (int transaction : long1) {
            configured.endSubmission(transaction, SubmissionResult.COMMITTED, 390, REPLICA, 6);
        }
        configured.reportNode(2, 395, REPLICA);
        int view = configured.accept(BOUNDED_READ);
        int more = configured.accept(EVENTUAL_READ);
        configured.advanceTo(800);
        configured.endSubmission(view, SubmissionResult.COMMITTED, 100, REPLICA, 795);
        configured.endSubmission(more, SubmissionResult.COMMITTED, 400, REPLICA, 7);
        configured.runUntraced(
                () -> {
                    for (int i = 0; i < 6; i++) {
                        int one = configured.accept(EVENTUAL_READ);
                        configured.advanceTo(configured.millis + 400);
                        configured.endSubmission(
                                one,
                                SubmissionResult.COMMITTED,
                                400,
                                REPLICA,
                                configured.millis - 10);
                    }
                });
        configured.comment(
                "six answers told of positions that went on: it stalls nothing, and goes to either");
        for (int i = 0; i < 4; i++) {
            configured.accept(EVENTUAL_READ);
        }
        configured.assertTraceEquals("stalling-reads");
    }

    /** Guards against nodes left idle because all are slow at once. */
    @Test
    void keepsConcurrencyLimitsIfAllNodesAreSlow() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        harness.runUntraced(
                () -> {
                    for (int i = 0; i < 40; i++) {
                        harness.advanceTo(harness.millis + 50);
                        reportAllNodes(harness.millis);
                        int[] views = {
                            harness.accept(BOUNDED_READ),
                            harness.accept(BOUNDED_READ),
                            harness.accept(BOUNDED_READ),
                            harness.accept(BOUNDED_READ),
                            harness.accept(BOUNDED_READ),
                            harness.accept(BOUNDED_READ)
                        };
                        harness.advanceTo(harness.millis + 50);
                        for (int view : views) {
                            harness.commit(view, i < 20 ? 50 : 240);
                        }
                    }
                });
        harness.comment(
                "answers take 240 of an SLA time of 300 at every node; out at once to nodes 0, 1, 2:");
        int[] out = new int[3];
        reportAllNodes(harness.millis);
        harness.runUntraced(
                () -> {
                    for (int i = 0; i < 12; i++) {
                        int where = harness.nodeOf(harness.accept(BOUNDED_READ));
                        if (where >= 0) {
                            out[where]++;
                        }
                    }
                });
        harness.comment(out[0] + ", " + out[1] + ", " + out[2]);
        harness.assertTraceEquals("slow-alike");
    }

    @Test
    void limitsProbesByAcceptedTransactions() throws IOException {
        RoutingHarness configured = new RoutingHarness(false).traceProbes().withThreeNodes();
        configured.comment("a fresh router probes each once, then only as its txns pay for");
        configured.advanceTo(3000);
        configured.accept(EVENTUAL_READ);
        configured.advanceTo(3020);
        configured.assertTraceEquals("probes");
    }

    @Test
    void excludesFailingNodesEvenIfTheMajorityFails() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        harness.runUntraced(
                () -> {
                    for (int i = 0; i < 12; i++) {
                        harness.advanceTo(harness.millis + 50);
                        reportAllNodes(harness.millis);
                        harness.endSubmission(
                                harness.accept(EVENTUAL_READ),
                                SubmissionResult.UNREACHABLE,
                                1,
                                null,
                                0);
                    }
                });
        harness.comment(
                "all three are out of reach: one trial each a second, the rest is held and declined");
        for (int i = 0; i < 6; i++) {
            harness.accept(EVENTUAL_READ);
        }
        harness.advanceTo(harness.millis + 400);
        harness.assertTraceEquals("most-nodes-fail");
    }

    @Test
    void limitsConcurrencyOfLowPriorityTransactions() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        harness.comment(
                "of two tenants with 50 a second each over three routers, one sends 30 at once");
        int[] sentToNode = new int[2];
        harness.runUntraced(
                () -> {
                    for (int i = 0; i < 30; i++) {
                        sentToNode[
                                harness.nodeOf(harness.accept(STRONG_READ, 0, 2000, null)) < 0
                                        ? 1
                                        : 0]++;
                    }
                });
        harness.comment(
                sentToNode[0]
                        + " were sent, "
                        + sentToNode[1]
                        + " declined; the other tenant, and a repeat past its SLA time:");
        harness.accept(STRONG_READ, 1, 2000, null);
        harness.accept(STRONG_READ, 1, 1500, null);
        harness.assertTraceEquals("spare");
    }

    @Test
    void requestsListAgainAndKeepsUnlistedNodesOpen() throws IOException {
        RoutingHarness configured = new RoutingHarness(false, true, true).withThreeNodes();
        configured.advanceTo(30);
        configured.comment(
                "node 1 is gone from the list, which proves nothing here; node 2 drains first, and stays closed");
        configured.changeMembers(
                nodeRow(1, false, null, MemberState.GONE),
                nodeRow(2, false, null, MemberState.DRAINING));
        configured.changeMembers(nodeRow(2, false, null, MemberState.GONE));
        configured.reportNode(1, 25, REPLICA);
        configured.reportNode(2, 25, REPLICA);
        configured.accept(BOUNDED_READ);
        configured.accept(BOUNDED_READ);
        configured.engine.memberListFailed();
        configured.advanceTo(3000);
        configured.assertTraceEquals("asked-list");
    }

    /**
     * Guards against counting an absence from when a node was given up: much of it is over by then.
     */
    @Test
    void doesNotTreatReconnectedPrimaryAsRestarted() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        harness.runUntraced(
                () -> {
                    for (int i = 0; i < 40; i++) {
                        harness.advanceTo(10 + 25 * i);
                        harness.commit(harness.accept(STRONG_READ), 50);
                    }
                });
        harness.comment("last heard at 985; time-outs, and much later no connections");
        for (int transaction :
                new int[] {
                    harness.accept(STRONG_READ),
                    harness.accept(STRONG_READ),
                    harness.accept(STRONG_READ),
                    harness.accept(STRONG_READ)
                }) {
            harness.endSubmission(transaction, SubmissionResult.TIMED_OUT, 1000, null, 0);
        }
        harness.advanceTo(6500);
        harness.endSubmission(
                harness.accept(STRONG_READ), SubmissionResult.UNREACHABLE, 250, null, 0);
        harness.advanceTo(9000);
        harness.comment(
                "at 9000 its first probe is lost as well, the next is answered: it still is the primary");
        harness.engine.probeCompleted(0, false, NodeReport.EMPTY);
        harness.advanceTo(9250);
        harness.reportNode(0, 9240, PRIMARY);
        int[] sentToNode = new int[2];
        harness.runUntraced(
                () -> {
                    for (int i = 0; i < 40; i++) {
                        harness.advanceTo(9250 + 50 * i);
                        int transaction = harness.accept(STRONG_READ);
                        sentToNode[harness.nodeOf(transaction) < 0 ? 1 : 0]++;
                        harness.commit(transaction, 50);
                    }
                });
        harness.comment(
                "of 40 in the next two seconds "
                        + sentToNode[0]
                        + " are sent at once, "
                        + sentToNode[1]
                        + " are not");
        harness.assertTraceEquals("cut-off");
    }

    @Test
    void requiresProbeAnswerFromUnreachableNode() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        harness.changeMembers(nodeRow(1, false, null, MemberState.GONE));
        for (int i = 0; i < 6; i++) {
            harness.advanceTo(harness.millis + 500);
            harness.reportNode(0, harness.millis, PRIMARY);
            harness.runUntraced(() -> harness.reportNode(2, harness.millis, REPLICA));
            int transaction = harness.accept(UNREPEATABLE_WRITE, 1500, null);
            harness.endSubmission(
                    transaction,
                    i < 3 ? SubmissionResult.UNREACHABLE : SubmissionResult.COMMITTED,
                    1,
                    PRIMARY,
                    harness.millis);
        }
        harness.advanceTo(6000);
        harness.assertTraceEquals("out-of-reach");
    }

    /** Gives no connection at node 0, each after that time; then it answers its first probe. */
    private void failConnectionsThenAnswerProbe(long tookMillis) {
        int write = harness.accept(UNREPEATABLE_WRITE);
        harness.runUntraced(
                () -> {
                    for (int i = 0; i < 4; i++) {
                        harness.endSubmission(
                                write, SubmissionResult.UNREACHABLE, tookMillis, null, 0);
                        harness.advanceTo(harness.millis + 1500);
                        harness.reportNode(0, harness.millis, PRIMARY);
                        harness.endSubmission(
                                harness.accept(UNREPEATABLE_WRITE),
                                SubmissionResult.UNREACHABLE,
                                tookMillis,
                                null,
                                0);
                    }
                    harness.advanceTo(harness.millis + 200);
                });
        reportAllNodes(harness.millis);
    }

    private void commitBoundedRead() {
        int view = harness.accept(BOUNDED_READ);
        harness.advanceTo(harness.millis + 40);
        harness.commit(view, 40);
    }

    @Test
    void doesNotTreatRefusedConnectionsAsRestart() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        harness.comment(
                "node 0 refuses connections at once but answers its first probe: it is up, and free ones are closed");
        failConnectionsThenAnswerProbe(1);
        commitBoundedRead();
        commitBoundedRead();
        harness.advanceTo(harness.millis + 4000);
        reportAllNodes(harness.millis);
        harness.comment(
                "four seconds later they are kept again, and also where connections fail by time-out");
        commitBoundedRead();
        failConnectionsThenAnswerProbe(250);
        commitBoundedRead();
        harness.assertTraceEquals("refused-connections");
    }

    @Test
    void doesNotBlameNodesForErrorsOnEveryNode() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        harness.comment(
                "each read errs at a second node too: that is surfaced, then the first error is");
        for (int i = 0; i < 8; i++) {
            reportAllNodes(harness.millis);
            int bad = harness.accept(BOUNDED_READ);
            harness.advanceTo(harness.millis + 20);
            harness.endSubmission(bad, SubmissionResult.ERROR, 5, null, 0);
            harness.endSubmission(bad, SubmissionResult.ERROR, 5, null, 0);
        }
        harness.comment("no node has lost its standing");
        reportAllNodes(harness.millis);
        harness.accept(BOUNDED_READ);
        harness.accept(STRONG_READ);
        harness.accept(EVENTUAL_READ);
        harness.assertTraceEquals("errors-anywhere");
    }

    /** Guards against leaving nodes out for answers that come spoilt from any of them. */
    @Test
    void malformedAnswersFallBackWithoutExcludingNodes() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        harness.comment(
                "may have run: a read falls back, a referenced write goes again, one that runs once is rolled back");
        int[] transactions = {
            harness.accept(BOUNDED_READ),
            harness.accept(DEDUPLICATED_WRITE),
            harness.accept(UNREPEATABLE_WRITE)
        };
        harness.advanceTo(30);
        for (int transaction : transactions) {
            harness.endSubmission(transaction, SubmissionResult.SPOILT, 20, null, 0);
        }
        harness.runUntraced(
                () -> {
                    for (int i = 0; i < 9; i++) {
                        reportAllNodes(harness.millis);
                        int bad = harness.accept(EVENTUAL_READ);
                        harness.advanceTo(harness.millis + 20);
                        harness.endSubmission(bad, SubmissionResult.SPOILT, 20, null, 0);
                        harness.commit(bad, 20);
                    }
                });
        harness.comment("nine more came spoilt: no node has lost its standing");
        reportAllNodes(harness.millis);
        harness.accept(EVENTUAL_READ);
        harness.accept(EVENTUAL_READ);
        harness.accept(STRONG_READ);
        harness.assertTraceEquals("spoilt");
    }

    /**
     * Guards against leaving nodes out for connections that break at any node, kept ones above all.
     */
    @Test
    void fewConsecutiveResetsDoNotExcludeNode() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        harness.comment(
                "the primary's connections break four times for one write; it goes again each time");
        int write = harness.accept(DEDUPLICATED_WRITE);
        for (int i = 0; i < 4; i++) {
            harness.advanceTo(harness.millis + 1);
            harness.endSubmission(write, SubmissionResult.RESET, 0, null, 0);
        }
        harness.comment("a fresh read still goes there");
        harness.accept(STRONG_READ);
        harness.commit(write, 20);
        harness.runUntraced(
                () -> {
                    for (int i = 0; i < 12; i++) {
                        harness.endSubmission(
                                harness.accept(UNREPEATABLE_WRITE),
                                SubmissionResult.RESET,
                                0,
                                null,
                                0);
                    }
                });
        harness.comment("where no more than resets comes it is left out, but for trials");
        harness.accept(UNREPEATABLE_WRITE);
        harness.accept(UNREPEATABLE_WRITE);
        harness.assertTraceEquals("resets");
    }

    /**
     * Guards against tables that grow with machines that are replaced, and against words meant for
     * the last holder.
     */
    @Test
    void removesUnlistedNodeAfterItsLastSubmission() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        int[] reads = {
            harness.accept(EVENTUAL_READ),
            harness.accept(EVENTUAL_READ),
            harness.accept(EVENTUAL_READ)
        };
        harness.changeMembers(nodeRow(1, false, null, MemberState.GONE));
        harness.comment(
                "listed: "
                        + harness.engine.forgetNode(2)
                        + ", something out: "
                        + harness.engine.forgetNode(1));
        harness.advanceTo(20);
        for (int read : reads) {
            harness.commit(read, 10);
        }
        harness.comment("all ended: " + harness.engine.forgetNode(1));
        harness.advanceTo(2000);
        harness.comment("the index names a new node, of which nothing is known: it is probed");
        harness.traceProbes().changeMembers(nodeRow(1, false, millis(1990), MemberState.READY));
        harness.assertTraceEquals("row-given-back");
    }

    @Test
    void sendsOnlyTrialsToNodeThatRejectsAllWork() throws IOException {
        harness.advanceTo(10);
        reportAllNodes(5);
        harness.comment(
                "the primary has hung with its queue full: it answers at once, and its probes are well");
        for (int i = 0; i < 12; i++) {
            harness.advanceTo(harness.millis + 400);
            harness.runUntraced(() -> reportAllNodes(harness.millis));
            int write = harness.accept(UNREPEATABLE_WRITE, 300, null);
            while (harness.nodeOf(write) >= 0) {
                harness.endSubmission(write, SubmissionResult.FULL, 1, null, 0);
            }
        }
        harness.assertTraceEquals("only-full");
    }
}
