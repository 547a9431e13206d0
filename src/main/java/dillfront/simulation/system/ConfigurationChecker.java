package dillfront.simulation.system;

import dillfront.simulation.LinearizabilityChecker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * Checks the control plane's invariants on what operators, the platform and the data planes
 * observe: configuration history, acknowledgement deadlines, lease holders, fencing tokens and
 * responses of isolated processes.
 */
final class ConfigurationChecker {

    private static final long MAX_APPLY_MILLIS = 3_000;
    private static final long MAX_ACKNOWLEDGE_MILLIS = 5_000;

    /**
     * Maximum age of the last contact with a majority at which a control process may still give a
     * conclusive response.
     */
    private static final long MAX_CONTACT_AGE_MILLIS = 1_000;

    private static final double CHECK_INTERVAL_MILLIS = 20;
    private static final long NOT_COMPLETED_MILLIS = 99_999;

    /** Maximum time without a lease holder while the cluster is stable. */
    private static final long MAX_WITHOUT_HOLDER_MILLIS = 1_500;

    /** A read in progress and the oldest revision that it may return. */
    static final class PendingRead {
        final ControlMachine source;
        final long minRevision;
        private final int historyCall;

        PendingRead(ControlMachine source, long minRevision, int historyCall) {
            this.source = source;
            this.minRevision = minRevision;
            this.historyCall = historyCall;
        }
    }

    private record AcknowledgedRevision(long revision, long atMillis) {}

    private final SystemSimulation simulation;
    private final Simulator simulator;
    private final ConsistencyChecker consistencyChecker;
    private final LinearizabilityChecker history = new LinearizabilityChecker();
    private final List<ConfigurationClient.Change> pendingChanges = new ArrayList<>();
    private final List<AcknowledgedRevision> acknowledgements = new ArrayList<>();
    private long highestAcknowledgedRevision;
    private long highestSentRevision;

    /** The highest revision that a completed read has returned. */
    private long highestReadRevision;

    /** The highest revision that was read after the end of the simulation. */
    private long finalReadRevision = -1;

    /** By revision: the digests of all contents that were in effect or confirmed as decided. */
    private final Map<Long, Map<Long, String>> decidedContents = new HashMap<>();

    private final List<ConfigurationClient.Change> rejectedChanges = new ArrayList<>();
    private final Map<Long, String> holderByFencingToken = new TreeMap<>();
    private final Map<String, long[]> dataPlaneStates = new LinkedHashMap<>();
    private boolean concurrentHoldersReported;
    private long lastHolderSeenMillis;
    private boolean missingHolderReported;
    int machineLosses;
    int acknowledged;
    int lostChanges;
    int revisionRegressions;
    int conflictingContents;
    int rejectedAfterAcknowledge;
    int minorityResponses;
    int concurrentLeaseHolders;
    int fencingTokenReuses;
    int replacements;
    int overdueChanges;
    int caughtUpChanges;
    final List<Long> replacementMillis = new ArrayList<>();
    final List<Long> catchUpMillis = new ArrayList<>();

    /**
     * For each acknowledged revision: the time from the first request until the first
     * acknowledgement.
     */
    final List<Long> acknowledgeMillis = new ArrayList<>();

    ConfigurationChecker(SystemSimulation simulation) {
        this.simulation = simulation;
        this.simulator = simulation.simulator;
        this.consistencyChecker = simulation.consistencyChecker;
    }

    static long digest(byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(content);
        return crc.getValue();
    }

    long highestAcknowledgedRevision() {
        return highestAcknowledgedRevision;
    }

    // Configuration changes

    /** Records that a change is sent to a process: one call of the history. */
    int beginCall(ConfigurationClient.Change change) {
        return history.begin(
                simulator.millis(), "operator", change.revision, Long.toHexString(change.digest));
    }

    /** Records the outcome of a call; status 0 stands for no response. */
    void endCall(int call, int status) {
        history.end(
                call,
                simulator.millis(),
                status == 200
                        ? LinearizabilityChecker.Outcome.ACKNOWLEDGED
                        : status == 409
                                ? LinearizabilityChecker.Outcome.REFUSED
                                : LinearizabilityChecker.Outcome.UNKNOWN);
    }

    void changeSent(ConfigurationClient.Change change) {
        pendingChanges.add(change);
        highestSentRevision = Math.max(highestSentRevision, change.revision);
    }

    /**
     * Reports a conclusive response of a process that had no majority since before the request was
     * sent.
     */
    void checkResponse(ControlMachine responder, long sentAtMillis, int status) {
        boolean conclusive = status < 500 && status != 307 && status != 408 && status != 429;
        if (conclusive
                && responder.isolatedSinceMillis >= 0
                && responder.isolatedSinceMillis + MAX_CONTACT_AGE_MILLIS <= sentAtMillis) {
            minorityResponses++;
            consistencyChecker.reportViolation(
                    "MINORITY",
                    responder.host.name
                            + " responds "
                            + status
                            + " to a request sent "
                            + (sentAtMillis - responder.isolatedSinceMillis)
                            + " ms after its isolation");
        }
    }

    void acknowledged(ConfigurationClient.Change change, ControlMachine responder) {
        boolean first =
                acknowledgements.stream()
                        .noneMatch(acknowledged -> acknowledged.revision() == change.revision);
        if (first) {
            acknowledged++;
            acknowledgements.add(new AcknowledgedRevision(change.revision, simulator.millis()));
            acknowledgeMillis.add(simulator.millis() - change.sentAtMillis);
            simulation.measureApply(change.revision, simulator.millis());
        }
        highestAcknowledgedRevision = Math.max(highestAcknowledgedRevision, change.revision);
        // A higher revision in flight may have superseded this one before it was decided; the
        // acknowledgement then decides nothing.
        if (highestSentRevision <= change.revision
                || decidedContents.containsKey(change.revision)) {
            recordDecided(change.revision, change.digest, "acknowledged by " + responder.host.name);
        }
    }

    private void recordDecided(long revision, long digest, String evidence) {
        Map<Long, String> contents =
                decidedContents.computeIfAbsent(revision, key -> new LinkedHashMap<>());
        if (contents.putIfAbsent(digest, evidence) == null && contents.size() == 2) {
            conflictingContents++;
            consistencyChecker.reportViolation(
                    "CONFIG", "two contents under " + revision + ": " + contents.values());
        }
    }

    void changeRejected(ConfigurationClient.Change change, ControlMachine responder, int status) {
        rejectedChanges.add(change);
        if (change.acknowledged) {
            rejectedAfterAcknowledge(change, responder.host.name + " responds " + status);
        }
    }

    private void rejectedAfterAcknowledge(ConfigurationClient.Change change, String evidence) {
        rejectedAfterAcknowledge++;
        consistencyChecker.reportViolation(
                "CONFIG",
                "version " + change.revision + " was accepted and is rejected: " + evidence);
    }

    // Reads

    PendingRead beginRead(ControlMachine source) {
        return new PendingRead(
                source,
                Math.max(highestAcknowledgedRevision, highestReadRevision),
                history.begin(simulator.millis(), source.host.name));
    }

    void endRead(PendingRead pendingRead, long revision, long digest) {
        history.end(
                pendingRead.historyCall, simulator.millis(), revision, Long.toHexString(digest));
        if (revision < pendingRead.minRevision) {
            revisionRegressions++;
            consistencyChecker.reportViolation(
                    "CONFIG",
                    pendingRead.source.host.name
                            + " reads "
                            + revision
                            + ", although already known: "
                            + pendingRead.minRevision);
        }
        highestReadRevision = Math.max(highestReadRevision, revision);
        finalReadRevision = simulation.hasEnded() ? Math.max(finalReadRevision, revision) : -1;
        recordDecided(revision, digest, "read at " + pendingRead.source.host.name);
    }

    // Platform calls

    void fencingTokenUsed(String holder, long fencingToken) {
        String previousHolder = holderByFencingToken.putIfAbsent(fencingToken, holder);
        if (previousHolder != null && !previousHolder.equals(holder)) {
            fencingTokenReuses++;
            consistencyChecker.reportViolation(
                    "FENCE", fencingToken + " is used by " + previousHolder + " and by " + holder);
        }
        simulation.controlCluster.lastActive(holder);
    }

    // Observed state of the processes

    void processStarted(ControlMachine machine) {
        machine.catchUpRevision = highestAcknowledgedRevision;
        machine.catchUpChanges = acknowledged - machine.changesWhenCaughtUp;
        machine.majorityContactSinceMillis = simulator.millis();
    }

    void checkPeriodically() {
        simulator.scheduleAfter(CHECK_INTERVAL_MILLIS, this::checkPeriodically);
        int holders = 0;
        StringBuilder holderNames = new StringBuilder();
        for (ControlMachine machine : simulation.controlCluster.machines()) {
            if (!machine.isRunning() || machine.node == null) {
                continue;
            }
            if (!simulation.controlCluster.reachesMajority(machine)) {
                machine.majorityContactSinceMillis = simulator.millis();
            }
            String status = machine.node.status();
            if (status.contains(" held ")) {
                holders++;
                holderNames.append(' ').append(machine.host.name);
            }
            if (machine.catchUpRevision >= 0
                    && statusField(status, "held=") >= machine.catchUpRevision) {
                if (machine.catchUpChanges > 0) {
                    caughtUpChanges += machine.catchUpChanges;
                    catchUpMillis.add(simulator.millis() - machine.majorityContactSinceMillis);
                }
                machine.catchUpRevision = -1;
            }
            if (machine.catchUpRevision < 0) {
                machine.changesWhenCaughtUp = acknowledged;
            }
            if (machine.awaitingMembership && isMember(machine)) {
                machine.awaitingMembership = false;
                replacementMillis.add(simulator.millis() - machine.majorityContactSinceMillis);
            }
        }
        if (holders > 1 && !concurrentHoldersReported) {
            concurrentLeaseHolders++;
            consistencyChecker.reportViolation("LEASE", "held by" + holderNames);
        }
        concurrentHoldersReported = holders > 1;
        lastHolderSeenMillis =
                holders > 0 || !simulation.controlCluster.isStable()
                        ? simulator.millis()
                        : lastHolderSeenMillis;
        if (simulator.millis() - lastHolderSeenMillis > MAX_WITHOUT_HOLDER_MILLIS
                && !missingHolderReported) {
            consistencyChecker.reportViolation(
                    "LEASE",
                    "no holder for "
                            + MAX_WITHOUT_HOLDER_MILLIS
                            + " ms although the cluster is stable");
        }
        missingHolderReported =
                simulator.millis() - lastHolderSeenMillis > MAX_WITHOUT_HOLDER_MILLIS;
        checkOverdueChanges();
    }

    private static long statusField(String status, String name) {
        int start = status.indexOf(name);
        if (start < 0) {
            return -1;
        }
        int end = status.indexOf(' ', start);
        try {
            return Long.parseLong(
                    status.substring(start + name.length(), end < 0 ? status.length() : end));
        } catch (NumberFormatException invalid) {
            return -1;
        }
    }

    /** Returns whether all running processes list the candidate as a voting member. */
    private boolean isMember(ControlMachine candidate) {
        for (ControlMachine observer : simulation.controlCluster.machines()) {
            if (observer.isRunning() && observer.node != null) {
                String status = observer.node.status();
                int start = status.indexOf("members=[");
                String members =
                        start < 0 ? "" : status.substring(start, status.indexOf(']', start) + 1);
                if (!members.matches(".*[\\[ ,]" + candidate.host.ip.replace(".", "\\.") + "/.*")
                        || status.contains(" outgoing=")
                        || observer == candidate && status.contains(" learner")) {
                    return false;
                }
            }
        }
        return true;
    }

    private void checkOverdueChanges() {
        long stableSince = simulation.controlCluster.stableSinceMillis();
        pendingChanges.removeIf(
                change -> {
                    if (change.finished
                            || change.accepted
                            || change.conflicting != null && change.conflicting.accepted) {
                        return true;
                    }
                    if (simulator.millis() - Math.max(change.sentAtMillis, stableSince)
                            > MAX_ACKNOWLEDGE_MILLIS + change.transferMillis()) {
                        overdueChanges++;
                        consistencyChecker.reportViolation(
                                "ACKS",
                                "version "
                                        + change.revision
                                        + " of "
                                        + change.sentAtMillis
                                        + " has no acknowledgement, cluster stable since "
                                        + stableSince);
                        return true;
                    }
                    return false;
                });
    }

    /**
     * Checks the configuration of a data plane at one moment: its revision never decreases within
     * an incarnation, and a connected data plane applies an acknowledged revision within the limit.
     */
    void checkDataPlane(
            String dataPlane, int incarnation, boolean connected, long revision, long digest) {
        long[] state = dataPlaneStates.computeIfAbsent(dataPlane, name -> new long[] {-1, -1, -1});
        if (state[0] != incarnation) {
            state[0] = incarnation;
            state[1] = -1;
        }
        if (revision < state[1]) {
            revisionRegressions++;
            consistencyChecker.reportViolation(
                    "CONFIG", dataPlane + " regresses from " + state[1] + " to " + revision);
        }
        state[1] = revision;
        if (revision > 0) {
            recordDecided(revision, digest, "in effect at " + dataPlane);
        }
        if (!connected || state[2] >= highestAcknowledgedRevision) {
            return;
        }
        long required = -1;
        for (int i = acknowledgements.size() - 1;
                i >= 0 && i > acknowledgements.size() - 200;
                i--) {
            AcknowledgedRevision acknowledged = acknowledgements.get(i);
            required =
                    acknowledged.atMillis() + MAX_APPLY_MILLIS < simulator.millis()
                            ? Math.max(required, acknowledged.revision())
                            : required;
        }
        if (revision < required && state[2] < required) {
            state[2] = required;
            consistencyChecker.reportViolation(
                    "CONFIG",
                    dataPlane
                            + " is connected and uses "
                            + revision
                            + ", "
                            + required
                            + " was acknowledged more than "
                            + MAX_APPLY_MILLIS
                            + " ms before");
        }
    }

    // End of the simulation

    /** Checks the final state after the configuration was read back from all processes. */
    void checkFinalState() {
        String historyViolation = history.check();
        if (historyViolation != null) {
            revisionRegressions++;
            consistencyChecker.reportViolation("CONFIG", historyViolation);
        }
        if (finalReadRevision < highestAcknowledgedRevision) {
            lostChanges++;
            consistencyChecker.reportViolation(
                    "LOST",
                    "read back "
                            + finalReadRevision
                            + ", acknowledged "
                            + highestAcknowledgedRevision);
        }
        for (ConfigurationClient.Change change : rejectedChanges) {
            if (!change.acknowledged
                    && decidedContents
                            .getOrDefault(change.revision, Map.of())
                            .containsKey(change.digest)) {
                rejectedAfterAcknowledge(change, "its content is in effect");
            }
        }
        for (ControlMachine machine : simulation.controlCluster.machines()) {
            if (machine.awaitingMembership
                    && machine.isRunning()
                    && simulator.millis() - machine.majorityContactSinceMillis
                            > 2 * ControlCluster.CATCH_UP_MILLIS) {
                replacementMillis.add(NOT_COMPLETED_MILLIS);
            }
            if (machine.catchUpRevision >= 0
                    && machine.catchUpChanges > 0
                    && machine.isRunning()
                    && simulator.millis() - machine.majorityContactSinceMillis
                            > 2 * ControlCluster.CATCH_UP_MILLIS) {
                catchUpMillis.add(NOT_COMPLETED_MILLIS);
            }
        }
    }
}
