package dillfront.router.recovery;

import dillfront.router.recovery.GroupRecovery.State;
import java.util.EnumMap;
import java.util.Map;

/**
 * Defines how much each kind of information from before a restart is trusted in each recovery state
 * of its group; implements the table in docs/recovery.md. No such information permits anything: it
 * restricts, or it names the nodes to contact.
 */
public enum TrustPolicy {
    /** The information is ignored. */
    IGNORED,
    /** The information names the nodes to contact; sends depend on present information alone. */
    HINTS,
    /** The information holds back sends that present information would allow. */
    RESTRICTS;

    /** Kind of information, known from an earlier run or reported by peers. */
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
                            // Columns: DARK, CONTESTED, KNOWN, COVERED, WARM
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
