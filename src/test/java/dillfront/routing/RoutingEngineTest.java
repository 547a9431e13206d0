package dillfront.routing;

import static dillfront.routing.RoutingHarness.ANY;
import static dillfront.routing.RoutingHarness.FRESH;
import static dillfront.routing.RoutingHarness.MOVE;
import static dillfront.routing.RoutingHarness.ONCE;
import static dillfront.routing.RoutingHarness.OWN;
import static dillfront.routing.RoutingHarness.VIEW;
import static dillfront.routing.RoutingHarness.ms;
import static dillfront.routing.RoutingHarness.row;
import static dillfront.routing.api.NodeRole.PRIMARY;
import static dillfront.routing.api.NodeRole.REPLICA;

import dillfront.routing.api.MemberState;
import dillfront.routing.api.NodeReport;
import dillfront.routing.api.SubmissionResult;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Each test runs a short sequence of events and compares the engine's actions with the expected
 * trace in src/test/resources/traces.
 */
class RoutingEngineTest {

    private final RoutingHarness s = new RoutingHarness(false).three();

    private void known(long position) {
        s.report(0, position, PRIMARY);
        s.report(1, position, REPLICA);
        s.report(2, position, REPLICA);
    }

    @Test
    void classSplit() throws IOException {
        s.to(10);
        known(5);
        for (int type : new int[] {VIEW, OWN, ANY, FRESH, MOVE, ONCE}) {
            s.take(type);
        }
        s.compare("class-split");
    }

    @Test
    void boundedReadsNeedAKnownPosition() throws IOException {
        s.to(10);
        known(5);
        s.to(205);
        s.take(VIEW);
        s.note("a position ages: 5 is 201 old");
        s.to(206);
        for (int i = 0; i < 12; i++) {
            s.take(VIEW);
        }
        s.note("a report frees what was held");
        s.report(2, 200, REPLICA);
        s.compare("bounded-read");
    }

    /**
     * Guards against sending a read whose replica was current at its selection but is too far
     * behind once a connection is open.
     */
    @Test
    void whatWaitedForAConnectionIsTestedAgain() throws IOException {
        s.to(10);
        known(5);
        int[] reads = {s.take(VIEW), s.take(VIEW), s.take(ANY), s.take(FRESH)};
        s.to(205);
        s.connected(reads[0]);
        s.to(206);
        s.connected(reads[1]);
        s.note("the primary says that it is none, then drains");
        s.report(0, 206, REPLICA);
        s.connected(reads[3]);
        s.change(row(0, false, null, MemberState.DRAINING));
        s.connected(reads[2]);
        s.compare("connected-late");
    }

    @Test
    void sessionReadsSeeTheirWrites() throws IOException {
        s.to(10);
        known(5);
        int write = s.take(MOVE);
        s.to(60);
        s.ended(write, SubmissionResult.COMMITTED, 50, PRIMARY, 52);
        s.note("its writes stand at 52; the replicas are known to 5, then node 2 to 52");
        s.take(OWN);
        s.report(2, 52, REPLICA);
        s.take(OWN);
        s.note("carried: written 20 before, so at 40; a millisecond is kept for rounding");
        s.take(OWN, 2000, ms(20));
        s.compare("session-read");
    }

    @Test
    void replicaErrorsFallBackAndTimeOutsAreSurfaced() throws IOException {
        s.to(10);
        known(5);
        int refused = s.take(VIEW);
        int broken = s.take(ANY);
        int slow = s.take(OWN);
        s.to(20);
        s.ended(refused, SubmissionResult.MISS, 10, REPLICA, 5);
        s.ended(broken, SubmissionResult.RESET, 10, null, 0);
        s.to(700);
        s.ended(slow, SubmissionResult.TIMED_OUT, 600, null, 0);
        s.compare("errors-and-time-outs");
    }

    @Test
    void writesThatMayHaveRun() throws IOException {
        s.to(10);
        known(5);
        int move = s.take(MOVE);
        int once = s.take(ONCE);
        int untouched = s.take(ONCE);
        s.to(20);
        s.ended(move, SubmissionResult.RESET, 10, null, 0);
        s.ended(once, SubmissionResult.RESET, 10, null, 0);
        s.ended(untouched, SubmissionResult.UNREACHABLE, 10, null, 0);
        s.to(2100);
        s.compare("may-have-run");
    }

    @Test
    void aLostPrimaryIsSearchedFor() throws IOException {
        s.to(10);
        known(5);
        int write = s.take(ONCE);
        s.to(20);
        s.ended(write, SubmissionResult.MISS, 10, REPLICA, 5);
        s.ended(write, SubmissionResult.MISS, 5, REPLICA, 5);
        s.ended(write, SubmissionResult.MISS, 5, REPLICA, 5);
        s.note("one round of misses: waits until one says that it is the primary");
        s.to(300);
        s.report(2, 290, PRIMARY);
        s.compare("lost-primary");
    }

    @Test
    void aHungPrimaryIsSentNoMore() throws IOException {
        s.to(10);
        known(5);
        for (int i = 0; i < 4; i++) {
            s.take(ONCE);
        }
        s.to(500);
        s.note("four are out and nothing has come back: the next is held, then declined in time");
        s.take(ONCE, 1000, null);
        s.to(1600);
        s.compare("hung-primary");
    }

    @Test
    void drainsAreKept() throws IOException {
        s.to(10);
        known(5);
        s.change(row(1, false, null, MemberState.DRAINING), row(2, false, null, MemberState.GONE));
        s.take(VIEW);
        s.take(ANY);
        s.change(row(0, true, null, MemberState.DRAINING));
        s.take(MOVE, 500, null);
        s.to(600);
        s.compare("drains");
    }

    @Test
    void aColdNodeIsRampedUp() throws IOException {
        s.to(10);
        known(5);
        s.change(row(1, false, ms(10), MemberState.READY));
        for (int quarter = 0; quarter < 4; quarter++) {
            int[] went = new int[3];
            s.mute(
                    () -> {
                        for (int i = 0; i < 50; i++) {
                            s.to(s.ms + 80);
                            known(s.ms);
                            int[] txns = {s.take(VIEW), s.take(VIEW), s.take(VIEW), s.take(VIEW)};
                            for (int txn : txns) {
                                went[s.whereIs(txn)]++;
                                s.well(txn, 80);
                            }
                        }
                    });
            s.note(
                    went[1]
                            + " of 200 to the cold node 1, "
                            + went[2]
                            + " to node 2, "
                            + went[0]
                            + " to the primary");
        }
        s.compare("cold-node");
    }

    @Test
    void aSlowNodeGetsLessRoom() throws IOException {
        s.to(10);
        known(5);
        s.mute(
                () -> {
                    for (int i = 0; i < 40; i++) {
                        s.to(s.ms + 100);
                        known(s.ms);
                        s.well(s.take(FRESH), 700);
                    }
                });
        s.note(
                "answers took 700 of an SLA time of 400: how many are let out now, before and after a second");
        for (int i = 0; i < 4; i++) {
            s.take(FRESH, 1500, null);
        }
        s.to(s.ms + 1000);
        s.compare("slow-node");
    }

    @Test
    void refusingNodesAreTriedUntilTheyRefuse() throws IOException {
        RoutingHarness r = new RoutingHarness(true).three();
        r.to(10);
        r.report(0, 5, PRIMARY);
        r.report(1, 5, REPLICA);
        r.to(600);
        r.note(
                "node 1 is known to 5 only, and it is 600: it may be tried, as it turns away what it cannot answer");
        int view = r.take(VIEW);
        r.to(605);
        r.ended(view, SubmissionResult.MISS, 5, REPLICA, 0);
        r.note("it has refused one: no more until it is known past that");
        r.take(OWN, 2000, ms(100));
        r.report(1, 606, REPLICA);
        r.to(900);
        r.take(VIEW);
        r.compare("refusing-nodes");
    }

    /**
     * Guards against closing running nodes that are missing from the member list, and against
     * reopening a draining node along with them.
     */
    @Test
    void whatIsWronglyListedAsGoneServesOn() throws IOException {
        RoutingHarness r = new RoutingHarness(false, false, true).three();
        r.to(10);
        r.report(0, 9, PRIMARY);
        r.report(1, 9, REPLICA);
        r.report(2, 9, REPLICA);
        r.change(row(2, false, null, MemberState.DRAINING));
        r.note("node 2 drains, then the list calls all three gone");
        r.decide.updateMembers(true, List.of());
        r.change(row(2, false, null, MemberState.GONE));
        int view = r.take(VIEW);
        int move = r.take(MOVE);
        r.to(60);
        r.well(view, 50);
        r.well(move, 50);
        r.note(
                "node 1 has really died: found by its answers, and its row is given back once it has been away for the warm-up");
        for (int i = 0; i < 8; i++) {
            r.report(0, r.ms, PRIMARY);
            int one = r.take(ANY);
            r.to(r.ms + 50);
            if (r.whereIs(one) == 1) {
                r.ended(one, SubmissionResult.UNREACHABLE, 1, null, 0);
            } else {
                r.well(one, 50);
            }
        }
        r.note("node 1 forgotten now: " + r.decide.forgetNode(1));
        r.mute(
                () -> {
                    r.decide.probed(1, false, NodeReport.EMPTY);
                    r.to(r.ms + 17_000);
                    r.decide.probed(1, false, NodeReport.EMPTY);
                });
        r.note(
                "and 17 s later: "
                        + r.decide.forgetNode(1)
                        + "; node 0, which answers: "
                        + r.decide.forgetNode(0));
        r.change(row(2, false, null, MemberState.READY));
        r.note("node 2 is listed as ready again");
        r.take(ANY);
        r.compare("wrong-list");
    }

    /** Guards against reads that each wait 100 ms at a replica that is known to lag. */
    @Test
    void aReadThatWaitedInVainTellsHowFarBehindItsReplicaIs() throws IOException {
        RoutingHarness r = new RoutingHarness(true).three();
        r.to(1000);
        r.report(0, 995, PRIMARY);
        r.report(1, 500, REPLICA);
        r.report(2, 500, REPLICA);
        r.note("positions are older than the bound; the nodes guard it, so one is tried");
        int view = r.take(VIEW);
        r.to(1100);
        r.note("it waited for 100 ms there, and the replica was at 700");
        r.ended(view, SubmissionResult.MISS, 100, REPLICA, 700);
        r.to(1110);
        r.take(VIEW);
        r.take(VIEW);
        r.note("within the bound again by its own word");
        r.report(1, 1109, REPLICA);
        r.report(2, 1109, REPLICA);
        r.take(VIEW);
        r.compare("waiting-read");
    }

    /** Guards against equal load on nodes of different speed if the list gives no sizes. */
    @Test
    void aNodeOfHalfTheSpeedGetsLessWhereNoSizeIsTold() throws IOException {
        s.to(10);
        known(5);
        int[] went = new int[3];
        s.mute(
                () -> {
                    for (int i = 0; i < 100; i++) {
                        s.to(s.ms + 120);
                        known(s.ms);
                        int[] views = {s.take(ANY), s.take(ANY), s.take(ANY), s.take(ANY)};
                        s.to(s.ms + 10);
                        for (int view : views) {
                            int where = s.whereIs(view);
                            if (where >= 0) {
                                went[where] += i < 50 ? 0 : 1;
                                s.well(view, where == 1 ? 100 : 50);
                            }
                        }
                    }
                });
        s.note(
                "of 200, after as many to learn: "
                        + went[1]
                        + " to node 1, which takes twice as long, "
                        + went[2]
                        + " to node 2, "
                        + went[0]
                        + " to the primary");
        s.compare("no-sizes");
    }

    /**
     * Guards against long reads that stall replication on every replica, and against tying them to
     * one replica after they no longer stall it.
     */
    @Test
    void readsThatStallGoToTheReplicaFurthestBehind() throws IOException {
        RoutingHarness r = new RoutingHarness(true, false, false, 2000).three();
        r.to(10);
        r.report(1, 5, REPLICA);
        r.report(2, 8, REPLICA);
        r.note("any reads last longer than the tightest bound: node 1 is furthest behind");
        int[] long1 = {r.take(ANY), r.take(ANY)};
        r.to(400);
        r.note(
                "their answers come from positions that stood still: node 1 keeps them, current reads go to node 2");
        for (int txn : long1) {
            r.ended(txn, SubmissionResult.COMMITTED, 390, REPLICA, 6);
        }
        r.report(2, 395, REPLICA);
        int view = r.take(VIEW);
        int more = r.take(ANY);
        r.to(800);
        r.ended(view, SubmissionResult.COMMITTED, 100, REPLICA, 795);
        r.ended(more, SubmissionResult.COMMITTED, 400, REPLICA, 7);
        r.mute(
                () -> {
                    for (int i = 0; i < 6; i++) {
                        int one = r.take(ANY);
                        r.to(r.ms + 400);
                        r.ended(one, SubmissionResult.COMMITTED, 400, REPLICA, r.ms - 10);
                    }
                });
        r.note("six answers told of positions that went on: it stalls nothing, and goes to either");
        for (int i = 0; i < 4; i++) {
            r.take(ANY);
        }
        r.compare("stalling-reads");
    }

    /** Guards against idle nodes after reducing every limit because all nodes are slow. */
    @Test
    void whereAllAreSlowAlikeRoomStays() throws IOException {
        s.to(10);
        known(5);
        s.mute(
                () -> {
                    for (int i = 0; i < 40; i++) {
                        s.to(s.ms + 50);
                        known(s.ms);
                        int[] views = {
                            s.take(VIEW),
                            s.take(VIEW),
                            s.take(VIEW),
                            s.take(VIEW),
                            s.take(VIEW),
                            s.take(VIEW)
                        };
                        s.to(s.ms + 50);
                        for (int view : views) {
                            s.well(view, i < 20 ? 50 : 240);
                        }
                    }
                });
        s.note(
                "answers take 240 of an SLA time of 300 at every node; out at once to nodes 0, 1, 2:");
        int[] out = new int[3];
        known(s.ms);
        s.mute(
                () -> {
                    for (int i = 0; i < 12; i++) {
                        int where = s.whereIs(s.take(VIEW));
                        if (where >= 0) {
                            out[where]++;
                        }
                    }
                });
        s.note(out[0] + ", " + out[1] + ", " + out[2]);
        s.compare("slow-alike");
    }

    @Test
    void probesArePaidFor() throws IOException {
        RoutingHarness r = new RoutingHarness(false).showProbes().three();
        r.note("a fresh router probes each once, then only as its txns pay for");
        r.to(3000);
        r.take(ANY);
        r.to(3020);
        r.compare("probes");
    }

    @Test
    void whereMostNodesFailTheyAreStillLeftAlone() throws IOException {
        s.to(10);
        known(5);
        s.mute(
                () -> {
                    for (int i = 0; i < 12; i++) {
                        s.to(s.ms + 50);
                        known(s.ms);
                        s.ended(s.take(ANY), SubmissionResult.UNREACHABLE, 1, null, 0);
                    }
                });
        s.note(
                "all three are out of reach: one trial each a second, the rest is held and declined");
        for (int i = 0; i < 6; i++) {
            s.take(ANY);
        }
        s.to(s.ms + 400);
        s.compare("most-nodes-fail");
    }

    @Test
    void spareTxnsTakeOnlyPlentyOfRoom() throws IOException {
        s.to(10);
        known(5);
        s.note("of two tenants with 50 a second each over three routers, one sends 30 at once");
        int[] went = new int[2];
        s.mute(
                () -> {
                    for (int i = 0; i < 30; i++) {
                        went[s.whereIs(s.take(FRESH, 0, 2000, null)) < 0 ? 1 : 0]++;
                    }
                });
        s.note(
                went[0]
                        + " were sent, "
                        + went[1]
                        + " declined; the other tenant, and a repeat past its SLA time:");
        s.take(FRESH, 1, 2000, null);
        s.take(FRESH, 1, 1500, null);
        s.compare("spare");
    }

    @Test
    void whereTheListIsAskedForAndGoneStaysOpen() throws IOException {
        RoutingHarness r = new RoutingHarness(false, true, true).three();
        r.to(30);
        r.note(
                "node 1 is gone from the list, which proves nothing here; node 2 drains first, and stays closed");
        r.change(row(1, false, null, MemberState.GONE), row(2, false, null, MemberState.DRAINING));
        r.change(row(2, false, null, MemberState.GONE));
        r.report(1, 25, REPLICA);
        r.report(2, 25, REPLICA);
        r.take(VIEW);
        r.take(VIEW);
        r.decide.listFailed();
        r.to(3000);
        r.compare("asked-list");
    }

    /**
     * Guards against measuring an outage from the node's removal rather than from its last answer,
     * which makes the outage seem short and a running primary seem restarted.
     */
    @Test
    void aPrimaryCutOffAndStillPrimaryIsNotTakenForColdOnceItIsBack() throws IOException {
        s.to(10);
        known(5);
        s.mute(
                () -> {
                    for (int i = 0; i < 40; i++) {
                        s.to(10 + 25 * i);
                        s.well(s.take(FRESH), 50);
                    }
                });
        s.note("last heard at 985; time-outs, and much later no connections");
        for (int txn : new int[] {s.take(FRESH), s.take(FRESH), s.take(FRESH), s.take(FRESH)}) {
            s.ended(txn, SubmissionResult.TIMED_OUT, 1000, null, 0);
        }
        s.to(6500);
        s.ended(s.take(FRESH), SubmissionResult.UNREACHABLE, 250, null, 0);
        s.to(9000);
        s.note(
                "at 9000 its first probe is lost as well, the next is answered: it still is the primary");
        s.decide.probed(0, false, NodeReport.EMPTY);
        s.to(9250);
        s.report(0, 9240, PRIMARY);
        int[] went = new int[2];
        s.mute(
                () -> {
                    for (int i = 0; i < 40; i++) {
                        s.to(9250 + 50 * i);
                        int txn = s.take(FRESH);
                        went[s.whereIs(txn) < 0 ? 1 : 0]++;
                        s.well(txn, 50);
                    }
                });
        s.note(
                "of 40 in the next two seconds "
                        + went[0]
                        + " are sent at once, "
                        + went[1]
                        + " are not");
        s.compare("cut-off");
    }

    @Test
    void aNodeOutOfReachAnswersAProbeFirst() throws IOException {
        s.to(10);
        known(5);
        s.change(row(1, false, null, MemberState.GONE));
        for (int i = 0; i < 6; i++) {
            s.to(s.ms + 500);
            s.report(0, s.ms, PRIMARY);
            s.mute(() -> s.report(2, s.ms, REPLICA));
            int txn = s.take(ONCE, 1500, null);
            s.ended(
                    txn,
                    i < 3 ? SubmissionResult.UNREACHABLE : SubmissionResult.COMMITTED,
                    1,
                    PRIMARY,
                    s.ms);
        }
        s.to(6000);
        s.compare("out-of-reach");
    }

    /** Fails connections to node 0, each after the given time; then its first probe succeeds. */
    private void returns(long took) {
        int fresh = s.take(ONCE);
        s.mute(
                () -> {
                    for (int i = 0; i < 4; i++) {
                        s.ended(fresh, SubmissionResult.UNREACHABLE, took, null, 0);
                        s.to(s.ms + 1500);
                        s.report(0, s.ms, PRIMARY);
                        s.ended(s.take(ONCE), SubmissionResult.UNREACHABLE, took, null, 0);
                    }
                    s.to(s.ms + 200);
                });
        known(s.ms);
    }

    private void oneView() {
        int view = s.take(VIEW);
        s.to(s.ms + 40);
        s.well(view, 40);
    }

    @Test
    void refusedConnectionsAreNoDeath() throws IOException {
        s.to(10);
        known(5);
        s.note(
                "node 0 refuses connections at once but answers its first probe: it is up, and free ones are closed");
        returns(1);
        oneView();
        oneView();
        s.to(s.ms + 4000);
        known(s.ms);
        s.note(
                "four seconds later they are kept again, and also where connections fail by time-out");
        oneView();
        returns(250);
        oneView();
        s.compare("refused-connections");
    }

    @Test
    void errorsAtAnyNodeAreTheTxns() throws IOException {
        s.to(10);
        known(5);
        s.note("each read errs at a second node too: that is surfaced, then the first error is");
        for (int i = 0; i < 8; i++) {
            known(s.ms);
            int bad = s.take(VIEW);
            s.to(s.ms + 20);
            s.ended(bad, SubmissionResult.ERROR, 5, null, 0);
            s.ended(bad, SubmissionResult.ERROR, 5, null, 0);
        }
        s.note("no node has lost its standing");
        known(s.ms);
        s.take(VIEW);
        s.take(FRESH);
        s.take(ANY);
        s.compare("errors-anywhere");
    }

    /** Guards against excluding nodes because of malformed answers that every node returns. */
    @Test
    void spoiltAnswersFallBackAndCostNoNodeItsStanding() throws IOException {
        s.to(10);
        known(5);
        s.note(
                "may have run: a read falls back, a referenced write goes again, one that runs once is rolled back");
        int[] txns = {s.take(VIEW), s.take(MOVE), s.take(ONCE)};
        s.to(30);
        for (int txn : txns) {
            s.ended(txn, SubmissionResult.SPOILT, 20, null, 0);
        }
        s.mute(
                () -> {
                    for (int i = 0; i < 9; i++) {
                        known(s.ms);
                        int bad = s.take(ANY);
                        s.to(s.ms + 20);
                        s.ended(bad, SubmissionResult.SPOILT, 20, null, 0);
                        s.well(bad, 20);
                    }
                });
        s.note("nine more came spoilt: no node has lost its standing");
        known(s.ms);
        s.take(ANY);
        s.take(ANY);
        s.take(FRESH);
        s.compare("spoilt");
    }

    /**
     * Guards against excluding nodes because of broken connections, which occur on every node,
     * mostly with pooled connections.
     */
    @Test
    void fewResetsInARowCostNoNodeItsStanding() throws IOException {
        s.to(10);
        known(5);
        s.note("the primary's connections break four times for one write; it goes again each time");
        int write = s.take(MOVE);
        for (int i = 0; i < 4; i++) {
            s.to(s.ms + 1);
            s.ended(write, SubmissionResult.RESET, 0, null, 0);
        }
        s.note("a fresh read still goes there");
        s.take(FRESH);
        s.well(write, 20);
        s.mute(
                () -> {
                    for (int i = 0; i < 12; i++) {
                        s.ended(s.take(ONCE), SubmissionResult.RESET, 0, null, 0);
                    }
                });
        s.note("where no more than resets comes it is left out, but for trials");
        s.take(ONCE);
        s.take(ONCE);
        s.compare("resets");
    }

    /**
     * Guards against a node table that grows with every replaced machine, and against applying
     * events of a removed node to the next node with its index.
     */
    @Test
    void aNodeThatLeftGivesItsRowBackOnceNothingIsOut() throws IOException {
        s.to(10);
        known(5);
        int[] reads = {s.take(ANY), s.take(ANY), s.take(ANY)};
        s.change(row(1, false, null, MemberState.GONE));
        s.note("listed: " + s.decide.forgetNode(2) + ", something out: " + s.decide.forgetNode(1));
        s.to(20);
        for (int read : reads) {
            s.well(read, 10);
        }
        s.note("all ended: " + s.decide.forgetNode(1));
        s.to(2000);
        s.note("the index names a new node, of which nothing is known: it is probed");
        s.showProbes().change(row(1, false, ms(1990), MemberState.READY));
        s.compare("row-given-back");
    }

    @Test
    void aNodeThatOnlyTurnsWorkAwayIsTriedAtGaps() throws IOException {
        s.to(10);
        known(5);
        s.note(
                "the primary has hung with its queue full: it answers at once, and its probes are well");
        for (int i = 0; i < 12; i++) {
            s.to(s.ms + 400);
            s.mute(() -> known(s.ms));
            int write = s.take(ONCE, 300, null);
            while (s.whereIs(write) >= 0) {
                s.ended(write, SubmissionResult.FULL, 1, null, 0);
            }
        }
        s.compare("only-full");
    }
}
