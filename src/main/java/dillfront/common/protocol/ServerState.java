package dillfront.common.protocol;

/** The lifecycle state of a database server, which only ever advances. */
public enum ServerState {
    READY("ready"),
    /** The server announced its shutdown and serves for its drain time. */
    DRAINING("draining"),
    /**
     * The server announced its shutdown by a leave call without draining before; it may still
     * serve, and may send no more heartbeats.
     */
    LEAVING("leaving"),
    /** The server is gone, together with its transaction log. */
    LEFT("left");

    private final String wireName;

    ServerState(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name in heartbeats, in messages and on disk. */
    public String wireName() {
        return wireName;
    }

    /**
     * Returns the state with this name; READY for an unknown name, because newer servers may have
     * more states.
     */
    public static ServerState parse(String wireName) {
        for (ServerState state : values()) {
            if (state.wireName.equals(wireName)) {
                return state;
            }
        }
        return READY;
    }

    /** Returns whether this state is later in the lifecycle than the other. */
    public boolean isAfter(ServerState other) {
        return compareTo(other) > 0;
    }
}
