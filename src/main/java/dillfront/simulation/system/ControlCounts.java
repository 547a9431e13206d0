package dillfront.simulation.system;

import java.util.ArrayList;
import java.util.List;

/**
 * What a day, or many, brought to control state: what was lost, what became of it, and the counts
 * of harm.
 */
public final class ControlCounts {

    public long machineLosses;
    public long acknowledgedChanges;
    public long lostChanges;
    public long revisionRegressions;
    public long conflictingContents;
    public long rejectedAfterAcknowledge;
    public long minorityResponses;
    public long concurrentLeaseHolders;
    public long fencingTokenReuses;
    public long replacements;
    public long overdueChanges;
    public long caughtUpChanges;
    public long misroutedResponses;
    public long duplicateExecutions;
    public final List<Long> replacementMillis = new ArrayList<>();
    public final List<Long> catchUpMillis = new ArrayList<>();
    public final List<Long> acknowledgeMillis = new ArrayList<>();

    public ControlCounts() {}

    ControlCounts(ConsistencyChecker consistency, ConfigurationChecker configuration) {
        machineLosses = configuration.machineLosses;
        acknowledgedChanges = configuration.acknowledged;
        lostChanges = configuration.lostChanges;
        revisionRegressions = configuration.revisionRegressions;
        conflictingContents = configuration.conflictingContents;
        rejectedAfterAcknowledge = configuration.rejectedAfterAcknowledge;
        minorityResponses = configuration.minorityResponses;
        concurrentLeaseHolders = configuration.concurrentLeaseHolders;
        fencingTokenReuses = configuration.fencingTokenReuses;
        replacements = configuration.replacements;
        overdueChanges = configuration.overdueChanges;
        caughtUpChanges = configuration.caughtUpChanges;
        misroutedResponses = consistency.reportMisrouted;
        duplicateExecutions = consistency.duplicateExecutions;
        replacementMillis.addAll(configuration.replacementMillis);
        catchUpMillis.addAll(configuration.catchUpMillis);
        acknowledgeMillis.addAll(configuration.acknowledgeMillis);
    }

    /** Adds what was counted elsewhere. */
    public void add(ControlCounts other) {
        machineLosses += other.machineLosses;
        acknowledgedChanges += other.acknowledgedChanges;
        lostChanges += other.lostChanges;
        revisionRegressions += other.revisionRegressions;
        conflictingContents += other.conflictingContents;
        rejectedAfterAcknowledge += other.rejectedAfterAcknowledge;
        minorityResponses += other.minorityResponses;
        concurrentLeaseHolders += other.concurrentLeaseHolders;
        fencingTokenReuses += other.fencingTokenReuses;
        replacements += other.replacements;
        overdueChanges += other.overdueChanges;
        caughtUpChanges += other.caughtUpChanges;
        misroutedResponses += other.misroutedResponses;
        duplicateExecutions += other.duplicateExecutions;
        replacementMillis.addAll(other.replacementMillis);
        catchUpMillis.addAll(other.catchUpMillis);
        acknowledgeMillis.addAll(other.acknowledgeMillis);
    }
}
