package dillfront.simulation.processes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A primary and its replicas, and what they have written. On the stage's loop. */
public final class Group {

    private final Stage stage;
    final int number;
    final List<Node> members = new ArrayList<>();
    private final long windowMs;

    /**
     * When each key last had its effect; the group drops repeats within its window. Ends with the
     * rig.
     */
    private final Map<String, Long> effects = new HashMap<>();

    private long lastMs;

    public Group(Stage stage, int number, long windowMs) {
        this.stage = stage;
        this.number = number;
        this.windowMs = windowMs;
    }

    public List<Node> members() {
        return members;
    }

    /** The position of the commit: each has one of its own, and none is earlier than one before. */
    long commit(Node by, Node.Statement s, long nowMs) {
        lastMs = Math.max(nowMs, lastMs + 1);
        Long before = effects.get(s.key());
        if (before == null || nowMs - before > windowMs) {
            effects.put(s.key(), nowMs);
            stage.happened(new Happening.Ran(by.id, number, s.txn(), s.type(), s.key()));
        }
        return lastMs;
    }

    /** On the loop: a repeat of this key would be dropped. */
    public boolean remembers(String key) {
        Long at = effects.get(key);
        return at != null && System.currentTimeMillis() - at <= windowMs;
    }

    /** By hand: one that takes over leads, the others no longer. */
    public void lead(Node next) {
        stage.run(() -> members.forEach(m -> m.leads(m == next)));
    }
}
