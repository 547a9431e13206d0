package dillfront.simulation.processes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A primary and its replicas, and what they have written. On the stage's loop. */
public final class NodeGroup {

    private final TestHarness harness;
    final int number;
    final List<SimulatedNode> members = new ArrayList<>();
    private final long dedupWindowMs;

    /**
     * When each key last had its effect; the group drops repeats within its window. Ends with the
     * rig.
     */
    private final Map<String, Long> lastEffectMs = new HashMap<>();

    private long lastCommitMs;

    public NodeGroup(TestHarness stage, int number, long windowMs) {
        this.harness = stage;
        this.number = number;
        this.dedupWindowMs = windowMs;
    }

    public List<SimulatedNode> members() {
        return members;
    }

    /** The position of the commit: each has one of its own, and none is earlier than one before. */
    long commit(SimulatedNode by, SimulatedNode.Statement s, long nowMs) {
        lastCommitMs = Math.max(nowMs, lastCommitMs + 1);
        Long before = lastEffectMs.get(s.key());
        if (before == null || nowMs - before > dedupWindowMs) {
            lastEffectMs.put(s.key(), nowMs);
            harness.recordEvent(new Event.WriteApplied(by.id, number, s.txn(), s.type(), s.key()));
        }
        return lastCommitMs;
    }

    /** On the loop: a repeat of this key would be dropped. */
    public boolean deduplicates(String key) {
        Long at = lastEffectMs.get(key);
        return at != null && System.currentTimeMillis() - at <= dedupWindowMs;
    }

    /** By hand: one that takes over leads, the others no longer. */
    public void promote(SimulatedNode next) {
        harness.run(() -> members.forEach(m -> m.primary(m == next)));
    }
}
