package dillfront.controlplane.consensus;

import dillfront.common.config.Configuration;
import java.util.function.Predicate;

/**
 * A read of the configuration. It returns what is decided once a majority of the sets of just that
 * value has answered since it began, and nothing that was accepted by any of them is above it. A
 * majority of an older set does not do: it may have been dropped, and know no more than by whom.
 */
public final class QuorumRead {

    private RegisterValue countedValue;
    private Ballot minimumBallot;

    /**
     * Null while it is not known.
     *
     * @param fresh whether this process, or one that has answered a message of it that was sent
     *     since the read began, has that id
     */
    public Configuration poll(ReplicatedRegister register, Predicate<String> fresh) {
        RegisterValue is = register.decidedValue();
        if (is == null) {
            return null;
        }
        boolean same =
                minimumBallot == null
                        || countedValue.members().equals(is.members())
                                && countedValue.outgoing().equals(is.outgoing());
        if (!same && !register.isDisabled(SafetyRule.READ_BY_ITS_SETS)) {
            minimumBallot = null;
        }
        if (minimumBallot == null && is.isQuorum(fresh)) {
            minimumBallot = register.highestKnownBallot();
            countedValue = is;
        }
        return minimumBallot != null && register.decidedBallot().compareTo(minimumBallot) >= 0
                ? is.configuration()
                : null;
    }
}
