package dillfront.router.recovery;

import dillfront.router.recovery.Groups.State;
import java.util.EnumMap;
import java.util.Map;

/**
 * Defines how much each kind of information from before a restart is trusted in each recovery state
 * of its group; implements the table in docs/recovery.md. No such information permits anything: it
 * restricts, or it tells which nodes to contact.
 */
public enum Trust {
    /** The information is ignored. */
    NONE,
    /** The information tells which nodes to contact; sends depend on present information alone. */
    ASKS,
    /** The information holds back sends that present information would allow. */
    RESTRICTS;

    /** Kind of information, known from an earlier run or reported by peers. */
    public enum Thing {
        LIST,
        CLOSING,
        LEADER,
        DOUBT,
        OTHERS_DOUBT,
        POSITION,
        WARMTH,
        ROOM
    }

    private static final Map<Thing, Trust[]> TABLE =
            new EnumMap<>(
                    Map.of(
                            // Columns: DARK, CONTESTED, KNOWN, COVERED, WARM
                            Thing.LIST, new Trust[] {ASKS, ASKS, ASKS, ASKS, ASKS},
                            Thing.CLOSING,
                                    new Trust[] {
                                        RESTRICTS, RESTRICTS, RESTRICTS, RESTRICTS, RESTRICTS
                                    },
                            Thing.LEADER, new Trust[] {RESTRICTS, RESTRICTS, NONE, NONE, NONE},
                            Thing.DOUBT,
                                    new Trust[] {
                                        RESTRICTS, RESTRICTS, RESTRICTS, RESTRICTS, RESTRICTS
                                    },
                            Thing.OTHERS_DOUBT,
                                    new Trust[] {
                                        RESTRICTS, RESTRICTS, RESTRICTS, RESTRICTS, RESTRICTS
                                    },
                            Thing.POSITION, new Trust[] {NONE, NONE, NONE, NONE, NONE},
                            Thing.WARMTH, new Trust[] {NONE, NONE, NONE, NONE, NONE},
                            Thing.ROOM, new Trust[] {NONE, NONE, NONE, NONE, NONE}));

    public static Trust of(Thing thing, State state) {
        return TABLE.get(thing)[state.ordinal()];
    }
}
