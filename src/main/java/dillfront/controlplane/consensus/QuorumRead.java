package dillfront.controlplane.consensus;

import dillfront.common.config.Configuration;
import java.util.function.Predicate;

/**
 * Performs a linearizable read of the configuration. The read returns the decided value once a
 * majority of the members of that value has answered since the read began and none of them has
 * accepted a higher ballot. A majority of a former member set is not sufficient: those members may
 * have been replaced, and may know only their direct successors.
 */
public final class QuorumRead {

    /** The value whose members were counted, and the minimum ballot of the result. */
    private RegisterValue countedValue;

    private Ballot minimumBallot;

    /**
     * Checks whether the read is complete.
     *
     * @param answered whether the process with this id is the local one or has answered a message
     *     that was sent after the read began
     * @return null while the result is not known
     */
    public Configuration poll(ReplicatedRegister register, Predicate<String> answered) {
        RegisterValue decided = register.decidedValue();
        if (decided == null) {
            return null;
        }
        if (minimumBallot != null
                && !hasSameMembers(decided)
                && !register.isDisabled(SafetyRule.READ_BY_ITS_SETS)) {
            minimumBallot = null;
        }
        if (minimumBallot == null && decided.isQuorum(answered)) {
            minimumBallot = register.highestKnownBallot();
            countedValue = decided;
        }
        boolean isCurrent =
                minimumBallot != null && register.decidedBallot().compareTo(minimumBallot) >= 0;
        return isCurrent ? decided.configuration() : null;
    }

    private boolean hasSameMembers(RegisterValue value) {
        return countedValue.members().equals(value.members())
                && countedValue.outgoing().equals(value.outgoing());
    }
}
