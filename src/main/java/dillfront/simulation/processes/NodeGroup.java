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

    public NodeGroup(TestHarness harness, int number, long dedupWindowMs) {
        this.harness = harness;
        this.number = number;
        this.dedupWindowMs = dedupWindowMs;
    }

    public List<SimulatedNode> members() {
        return members;
    }

    /** The position of the commit: each has one of its own, and none is earlier than one before. */
    long commit(SimulatedNode node, SimulatedNode.Statement statement, long nowMs) {
        lastCommitMs = Math.max(nowMs, lastCommitMs + 1);
        Long previousMs = lastEffectMs.get(statement.key());
        if (previousMs == null || nowMs - previousMs > dedupWindowMs) {
            lastEffectMs.put(statement.key(), nowMs);
            harness.recordEvent(
                    new Event.WriteApplied(
                            node.id, number, statement.txn(), statement.type(), statement.key()));
        }
        return lastCommitMs;
    }

    /** On the loop: a repeat of this key would be dropped. */
    public boolean deduplicates(String key) {
        Long lastMs = lastEffectMs.get(key);
        return lastMs != null && System.currentTimeMillis() - lastMs <= dedupWindowMs;
    }

    /** By hand: one that takes over leads, the others no longer. */
    public void promote(SimulatedNode newPrimary) {
        harness.run(() -> members.forEach(member -> member.primary(member == newPrimary)));
    }
}
