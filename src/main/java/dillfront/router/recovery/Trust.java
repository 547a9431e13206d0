package dillfront.router.recovery;

import dillfront.router.recovery.Groups.State;
import java.util.EnumMap;
import java.util.Map;

/**
 * What is trusted of each thing that is known from before, at each state of its group; the table of
 * docs/recovery.md in code. Nothing from before permits, at any state: it restricts, or it tells
 * where to look.
 */
public enum Trust {
    /** It counts for nothing. */
    NONE,
    /** It tells whom to ask; what is sent goes by the present alone. */
    ASKS,
    /** It holds something back that the present would let through. */
    RESTRICTS;

    /** A thing that an earlier life knew, or that others say it knew. */
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
                            //                            DARK       CONTESTED  KNOWN      COVERED
                            //  WARM
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
