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
 * Judges what operators, the platform and the fronts saw of control state, by the rules and by the
 * letter's five points.
 */
final class ConfigurationChecker {

    private static final long MAX_APPLY_MILLIS = 3_000;
    private static final long MAX_ACKNOWLEDGE_MILLIS = 5_000;

    /** What is said on the ground of contact with a majority so long ago is still fresh. */
    private static final long MAX_CONTACT_AGE_MILLIS = 1_000;

    private static final double CHECK_INTERVAL_MILLIS = 20;
    private static final long NOT_COMPLETED_MILLIS = 99_999;

    /** While all is settled, the lease is without a holder no longer than this. */
    private static final long MAX_WITHOUT_HOLDER_MILLIS = 1_500;

    /** A read under way, and what it must not go below. */
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

    /** The highest that any read that is over has shown. */
    private long highestReadRevision;

    /** The highest that was read back once the day was over. */
    private long finalReadRevision = -1;

    /** By number: the contents that were in force or confirmed as the decided one. */
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

    /** From when each number was first sent until it was first acknowledged. */
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

    // ---- orders

    /** An order is sent to a process: one call of the history. */
    int beginCall(ConfigurationClient.Change change) {
        return history.begin(
                simulator.millis(), "operator", change.revision, Long.toHexString(change.digest));
    }

    /** What came of it; 0 for nothing. */
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

    /** A clear answer of a process that has been without a majority since before it was asked. */
    void checkResponse(ControlMachine responder, long sentAtMillis, int status) {
        boolean conclusive = status < 500 && status != 307 && status != 408 && status != 429;
        if (conclusive
                && responder.isolatedSinceMillis >= 0
                && responder.isolatedSinceMillis + MAX_CONTACT_AGE_MILLIS <= sentAtMillis) {
            minorityResponses++;
            consistencyChecker.reportViolation(
                    "MINORITY",
                    responder.host.name
                            + " answers "
                            + status
                            + " to what was asked "
                            + (sentAtMillis - responder.isolatedSinceMillis)
                            + " ms after it was cut off");
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
        // With a higher one on its way it may have been overtaken before it was decided, and
        // changes nothing.
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
            rejectedAfterAcknowledge(change, responder.host.name + " answers " + status);
        }
    }

    private void rejectedAfterAcknowledge(ConfigurationClient.Change change, String evidence) {
        rejectedAfterAcknowledge++;
        consistencyChecker.reportViolation(
                "CONFIG", "version " + change.revision + " was taken and is refused: " + evidence);
    }

    // ---- reads

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
                            + " reads back "
                            + revision
                            + ", known before was "
                            + pendingRead.minRevision);
        }
        highestReadRevision = Math.max(highestReadRevision, revision);
        finalReadRevision = simulation.hasEnded() ? Math.max(finalReadRevision, revision) : -1;
        recordDecided(revision, digest, "read at " + pendingRead.source.host.name);
    }

    // ---- the platform

    void fencingTokenUsed(String holder, long fencingToken) {
        String previousHolder = holderByFencingToken.putIfAbsent(fencingToken, holder);
        if (previousHolder != null && !previousHolder.equals(holder)) {
            fencingTokenReuses++;
            consistencyChecker.reportViolation(
                    "FENCE", fencingToken + " is used by " + previousHolder + " and by " + holder);
        }
        simulation.controlCluster.lastActive(holder);
    }

    // ---- what is seen of processes

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
                    "nobody has held it for "
                            + MAX_WITHOUT_HOLDER_MILLIS
                            + " ms though all is settled");
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

    /** All that run count it among those whose disks make a majority. */
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
                                        + " has no acknowledgement, settled since "
                                        + stableSince);
                        return true;
                    }
                    return false;
                });
    }

    /** A front's configuration, at any moment of its life. */
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
                    "CONFIG", dataPlane + " goes back from " + state[1] + " to " + revision);
        }
        state[1] = revision;
        if (revision > 0) {
            recordDecided(revision, digest, "in force at " + dataPlane);
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
                            + " in touch uses "
                            + revision
                            + ", "
                            + required
                            + " was acknowledged over "
                            + MAX_APPLY_MILLIS
                            + " ms before");
        }
    }

    // ---- the end

    /** After the operator has read back what there is. */
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
                rejectedAfterAcknowledge(change, "what is in force was refused");
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
