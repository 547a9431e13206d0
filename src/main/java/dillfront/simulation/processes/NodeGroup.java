package dillfront.simulation.processes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds a primary, its replicas and the writes that they have committed. All calls run on the
 * harness's loop.
 */
public final class NodeGroup {

    private final TestHarness harness;
    final int number;
    final List<SimulatedNode> members = new ArrayList<>();
    private final long dedupWindowMs;

    /**
     * When each idempotency key last took effect, in Unix milliseconds. Repeats within the
     * deduplication window are dropped. Never trimmed, as the group ends with its rig.
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

    /**
     * Applies a write unless it is a repeat, and returns its commit position. Positions are unique
     * and increase.
     */
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

    /** Returns whether a repeat of this key would be dropped now. Call on the loop. */
    public boolean deduplicates(String key) {
        Long lastMs = lastEffectMs.get(key);
        return lastMs != null && System.currentTimeMillis() - lastMs <= dedupWindowMs;
    }

    /** Makes this node the primary and all other members replicas. */
    public void promote(SimulatedNode newPrimary) {
        harness.run(() -> members.forEach(member -> member.primary(member == newPrimary)));
    }
}
