package dillfront.controlplane.failover;

import dillfront.common.database.AcceptedDataLoss;
import dillfront.common.protocol.PrimaryRecord;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.peer.PeerMessage;
import dillfront.controlplane.primary.MissingCommits;
import dillfront.controlplane.state.ControlState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Services of which no log is left with all that was acknowledged, as the lease holder reports, and
 * an operator's acceptance that these commits are lost. An acceptance may come to any control
 * process: it goes along with that one's messages until the primary record says so, under this
 * lease holder or the next.
 */
public final class DataLossManager {

    /** What became of an operator's acceptance. */
    public sealed interface Acceptance {

        /** The record says so, on the disks of a majority. */
        record Accepted(AcceptedDataLoss loss) implements Acceptance {}

        /**
         * Something else is missing.
         *
         * @param missing what is known to be missing; null for nothing
         */
        record Conflict(MissingCommits missing) implements Acceptance {}

        /** Not known yet, or too much is under way: it may be sent again. */
        record Unavailable(String reason) implements Acceptance {}
    }

    /** How long an acceptance is passed on: as long as its caller waits for an answer. */
    public static final long ACCEPTANCE_TIMEOUT_MS = 900;

    private static final long POLL_MS = 20;
    private static final int MAX_ACCEPTANCES = 64;

    private record PendingAcceptance(MissingCommits shown, long untilMillis) {}

    private final ControlState state;
    private final FailoverCoordinator failover;
    private List<MissingCommits> reported = List.of();
    private long reportedMillis = LeaseManager.NEVER_MILLIS;

    /** The lease of the process that reported. */
    private long reportedByLease;

    private final List<PendingAcceptance> acceptances = new ArrayList<>();

    public DataLossManager(ControlState state, FailoverCoordinator failover) {
        this.state = state;
        this.failover = failover;
    }

    /** What is missing, as the lease holder says; empty where no holder is known. */
    public Optional<List<MissingCommits>> missing() {
        if (failover.isActing()) {
            return Optional.of(failover.missingCommits());
        }
        boolean recent = state.nowMillis() - reportedMillis < LeaseManager.CONTACT_TIMEOUT_MS;
        return recent ? Optional.of(reported) : Optional.empty();
    }

    /** What is known to be missing of this service; null for nothing. */
    public MissingCommits missing(String service) {
        for (MissingCommits commits : missing().orElse(List.of())) {
            if (commits.service().equals(service)) {
                return commits;
            }
        }
        return null;
    }

    // ---- between control processes

    /** What this process says to its peers. */
    public PeerMessage.DataLossReport report() {
        acceptances.removeIf(acceptance -> acceptance.untilMillis() <= state.nowMillis());
        return new PeerMessage.DataLossReport(
                failover.isActing() ? failover.missingCommits() : List.of(),
                acceptances.stream().map(PendingAcceptance::shown).toList());
    }

    /**
     * Takes a peer's message.
     *
     * @param fromHolder the peer acts as lease holder, and answers what this incarnation said
     * @param leaseNumber what the peer promised last: of two that say they hold the lease, the one
     *     with the later number does
     */
    public void receive(PeerMessage.DataLossReport report, boolean fromHolder, long leaseNumber) {
        boolean outdated = state.nowMillis() - reportedMillis >= LeaseManager.CONTACT_TIMEOUT_MS;
        if (fromHolder && (leaseNumber >= reportedByLease || outdated)) {
            reportedByLease = leaseNumber;
            reported = report.missing();
            reportedMillis = state.nowMillis();
        }
        report.accepted().forEach(failover::acceptDataLoss);
    }

    // ---- an operator's call

    /**
     * An operator accepts the loss of the commits that he was shown, and of no others.
     *
     * @return what becomes of it; it may not complete, so the caller bounds its wait
     */
    public CompletableFuture<Acceptance> accept(MissingCommits shown) {
        PrimaryRecord record = state.records().get(shown.service());
        if (!isAccepted(record, shown)) {
            Optional<Acceptance> refusal = refusal(record, shown);
            if (refusal.isPresent()) {
                return CompletableFuture.completedFuture(refusal.get());
            }
            acceptances.add(
                    new PendingAcceptance(shown, state.nowMillis() + ACCEPTANCE_TIMEOUT_MS));
            failover.acceptDataLoss(shown);
        }
        state.peerUpdates().request();
        CompletableFuture<Acceptance> result = new CompletableFuture<>();
        awaitRecord(shown, state.nowMillis(), result);
        return result;
    }

    private Optional<Acceptance> refusal(PrimaryRecord record, MissingCommits shown) {
        if (missing().isEmpty()) {
            return unavailable("nobody holds the duty; ask again");
        }
        MissingCommits known = missing(shown.service());
        if (known == null && record != null && record.moving()) {
            return unavailable("it moves, and nobody has found yet what is lacking; ask again");
        }
        if (known == null || !known.matches(shown)) {
            return Optional.of(new Acceptance.Conflict(known));
        }
        return acceptances.size() >= MAX_ACCEPTANCES
                ? unavailable("too many such calls; ask again")
                : Optional.empty();
    }

    private static Optional<Acceptance> unavailable(String reason) {
        return Optional.of(new Acceptance.Unavailable(reason));
    }

    private static boolean isAccepted(PrimaryRecord record, MissingCommits shown) {
        return record != null
                && record.acceptedLoss() != null
                && record.acceptedLoss()
                        .matches(
                                shown.moveNumber(),
                                shown.longestLogEnd(),
                                shown.acknowledged(),
                                shown.unreachableServers());
    }

    /**
     * Until a majority that answers from now on has the record on its disks, or something else is
     * missing.
     */
    private void awaitRecord(
            MissingCommits shown, long sinceMillis, CompletableFuture<Acceptance> result) {
        if (result.isDone()) {
            return;
        }
        PrimaryRecord record = state.records().get(shown.service());
        MissingCommits known = missing(shown.service());
        if (isAccepted(record, shown)) {
            if (isOnMajority(record.number(), sinceMillis)) {
                result.complete(new Acceptance.Accepted(record.acceptedLoss()));
                return;
            }
        } else if (known != null && !known.matches(shown) || record == null || !record.moving()) {
            result.complete(new Acceptance.Conflict(known));
            return;
        }
        state.environment().schedule(POLL_MS, () -> awaitRecord(shown, sinceMillis, result));
    }

    private boolean isOnMajority(long recordNumber, long sinceMillis) {
        return state.cluster()
                .isQuorum(
                        state.records().durableNumber() >= recordNumber,
                        peer ->
                                peer.lastAcknowledgedSendMillis() >= sinceMillis
                                        && peer.recordNumber() >= recordNumber);
    }
}
