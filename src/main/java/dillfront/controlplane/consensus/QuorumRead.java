package dillfront.controlplane.consensus;

import dillfront.common.config.Configuration;
import java.util.function.Predicate;

/**
 * A linearizable read of the configuration. It returns what is decided once a majority of the
 * members of just that value has answered since the read began, and nothing that any of them
 * accepted is above it. A majority of older members does not do: they may have been replaced, and
 * know no more than by whom.
 */
public final class QuorumRead {

    /** The value whose members were counted, and the ballot that a result must have reached. */
    private RegisterValue countedValue;

    private Ballot minimumBallot;

    /**
     * Looks whether the read can end.
     *
     * @param answered whether the process of this id is this one, or answered a message that was
     *     sent since the read began
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
