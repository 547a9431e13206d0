package dillfront.common.protocol;

/** Where a database server stands between its start and its end; it only ever goes forward. */
public enum ServerState {
    READY("ready"),
    /** It announced its end and serves on for its drain time. */
    DRAINING("draining"),
    /**
     * It announced its end by its leave call alone and may serve on; no more may be heard of it.
     */
    LEAVING("leaving"),
    /** It is gone, and its log with it. */
    LEFT("left");

    private final String wireName;

    ServerState(String wireName) {
        this.wireName = wireName;
    }

    /** The name in heartbeats, messages and on disk. */
    public String wireName() {
        return wireName;
    }

    /** The state of this name; READY where the name is unknown, as newer servers may have more. */
    public static ServerState parse(String wireName) {
        for (ServerState state : values()) {
            if (state.wireName.equals(wireName)) {
                return state;
            }
        }
        return READY;
    }

    /** Whether this state comes later in a server's life than the other. */
    public boolean isAfter(ServerState other) {
        return compareTo(other) > 0;
    }
}
