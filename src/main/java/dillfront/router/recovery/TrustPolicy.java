package dillfront.router.recovery;

import dillfront.router.recovery.GroupRecovery.State;
import java.util.EnumMap;
import java.util.Map;

/**
 * What is trusted of each thing that is known from before, at each state of its group; the table of
 * docs/recovery.md in code. Nothing from before permits, at any state: it restricts, or it tells
 * where to look.
 */
public enum TrustPolicy {
    /** It counts for nothing. */
    IGNORED,
    /** It tells whom to ask; what is sent goes by the present alone. */
    HINTS,
    /** It holds something back that the present would let through. */
    RESTRICTS;

    /** A thing that an earlier life knew, or that others say it knew. */
    public enum Knowledge {
        MEMBER_LIST,
        CLOSED_NODE,
        FORMER_PRIMARY,
        IN_DOUBT_KEYS,
        PEER_IN_DOUBT_KEYS,
        REPLAY_POSITION,
        WARMTH,
        CONCURRENCY_LIMIT
    }

    private static final Map<Knowledge, TrustPolicy[]> TABLE =
            new EnumMap<>(
                    Map.of(
                            //                            DARK       CONTESTED  KNOWN      COVERED
                            //  WARM
                            Knowledge.MEMBER_LIST,
                                    new TrustPolicy[] {HINTS, HINTS, HINTS, HINTS, HINTS},
                            Knowledge.CLOSED_NODE,
                                    new TrustPolicy[] {
                                        RESTRICTS, RESTRICTS, RESTRICTS, RESTRICTS, RESTRICTS
                                    },
                            Knowledge.FORMER_PRIMARY,
                                    new TrustPolicy[] {
                                        RESTRICTS, RESTRICTS, IGNORED, IGNORED, IGNORED
                                    },
                            Knowledge.IN_DOUBT_KEYS,
                                    new TrustPolicy[] {
                                        RESTRICTS, RESTRICTS, RESTRICTS, RESTRICTS, RESTRICTS
                                    },
                            Knowledge.PEER_IN_DOUBT_KEYS,
                                    new TrustPolicy[] {
                                        RESTRICTS, RESTRICTS, RESTRICTS, RESTRICTS, RESTRICTS
                                    },
                            Knowledge.REPLAY_POSITION,
                                    new TrustPolicy[] {IGNORED, IGNORED, IGNORED, IGNORED, IGNORED},
                            Knowledge.WARMTH,
                                    new TrustPolicy[] {IGNORED, IGNORED, IGNORED, IGNORED, IGNORED},
                            Knowledge.CONCURRENCY_LIMIT,
                                    new TrustPolicy[] {
                                        IGNORED, IGNORED, IGNORED, IGNORED, IGNORED
                                    }));

    public static TrustPolicy of(Knowledge knowledge, State state) {
        return TABLE.get(knowledge)[state.ordinal()];
    }
}
