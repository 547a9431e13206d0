package dillfront.core;

import dillfront.host.Configuration;
import java.util.function.Predicate;

/**
 * A read of the configuration. It returns what is decided once a majority of the sets of just that
 * value has answered since it began, and nothing that was accepted by any of them is above it. A
 * majority of an older set does not do: it may have been dropped, and know no more than by whom.
 */
public final class Reading {

    private Value counted;
    private Ballot least;

    /**
     * Null while it is not known.
     *
     * @param fresh whether this process, or one that has answered a message of it that was sent
     *     since the read began, has that id
     */
    public Configuration look(Register register, Predicate<String> fresh) {
        Value is = register.decided();
        if (is == null) {
            return null;
        }
        boolean same =
                least == null
                        || counted.members().equals(is.members())
                                && counted.outgoing().equals(is.outgoing());
        if (!same && !register.without(Defence.READ_BY_ITS_SETS)) {
            least = null;
        }
        if (least == null && is.quorum(fresh)) {
            least = register.highest();
            counted = is;
        }
        return least != null && register.decidedBallot().compareTo(least) >= 0
                ? is.configuration()
                : null;
    }
}
