package dillfront.router.discovery;

import dillfront.routing.api.MemberState;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which words of the lists stand: a word that closed a node is undone only by one that is known to
 * be newer, or by a new start of that node. Guards against a list that is older than what was told
 * before, as one from an agent that lags, was restored, or has just begun: it would open again what
 * drains or is gone. Words that close count from anyone.
 *
 * <p>Newer is what has a higher generation, whoever tells it. Harm: where a discovery numbers its
 * lists from anew, a node that was closed before and is ready again without a restart stays closed
 * until the numbers have caught up.
 *
 * <p>Pure: no clock, no socket; decided by what the lists say alone.
 */
public final class ClosedNodes {

    /** Who is told of each change, so that a later life may begin with them. */
    public interface Listener {
        void nodeClosed(String id, MemberState standing, long startedMs, long generation);

        void nodeOpened(String id);
    }

    /**
     * How many nodes are remembered, in lists of the present length; those closed first are
     * forgotten first.
     */
    private static final int CAPACITY_IN_LISTS = 4;

    private static final int MIN_CAPACITY = 64;

    /**
     * The last word that closed a node: of which list, what it said, and the start of the process
     * that it spoke of.
     */
    private record ClosedNode(long generation, MemberState state, long startedMs) {}

    /** Emptied by words that open a node again, and at the bound. */
    private final Map<String, ClosedNode> closed = new LinkedHashMap<>();

    private Listener listener;
    private long version;

    /** From now on; what is remembered from before is told by close() before that. */
    public void listener(Listener newListener) {
        listener = newListener;
    }

    /**
     * A list says this of a node; what holds after it.
     *
     * @param generation of that list
     * @param startedMs when the node last started, as the list has it
     */
    public MemberState update(String id, MemberState reported, long startedMs, long generation) {
        ClosedNode previous = closed.get(id);
        boolean outdated =
                previous != null && generation <= previous.generation && startedMs <= previous.startedMs;
        if (reported != MemberState.READY) {
            close(id, reported, startedMs, generation);
            return reported;
        }
        if (outdated) {
            return previous.state;
        }
        if (closed.remove(id) != null) {
            version++;
            if (listener != null) {
                listener.nodeOpened(id);
            }
        }
        return reported;
    }

    /**
     * An older word that comes later says nothing new. One that drained stays drained when it is
     * gone: that binds more.
     */
    public void close(String id, MemberState reported, long startedMs, long generation) {
        ClosedNode previous = closed.get(id);
        if (previous == null || generation >= previous.generation || startedMs > previous.startedMs) {
            boolean drained =
                    previous != null
                            && previous.state == MemberState.DRAINING
                            && startedMs <= previous.startedMs;
            closed.remove(id);
            ClosedNode updated =
                    new ClosedNode(
                            previous == null ? generation : Math.max(generation, previous.generation),
                            drained ? MemberState.DRAINING : reported,
                            previous == null ? startedMs : Math.max(startedMs, previous.startedMs));
            closed.put(id, updated);
            version += updated.equals(previous) ? 0 : 1;
            if (listener != null && !updated.equals(previous)) {
                listener.nodeClosed(id, updated.state, updated.startedMs, updated.generation);
            }
        }
    }

    /** The words that hold, by the ids of their nodes, the latest last. */
    Map<String, long[]> entries() {
        Map<String, long[]> entries = new LinkedHashMap<>();
        closed.forEach(
                (id, closing) -> entries.put(id, new long[] {closing.generation, closing.startedMs}));
        return entries;
    }

    /** Changes with what is closed. */
    long version() {
        return version;
    }

    int size() {
        return closed.size();
    }

    /** So many nodes are listed now: what goes beyond the bound is forgotten. */
    void trim(int listed) {
        int capacity = Math.max(MIN_CAPACITY, CAPACITY_IN_LISTS * listed);
        Iterator<String> oldestFirst = closed.keySet().iterator();
        while (closed.size() > capacity) {
            String evictedId = oldestFirst.next();
            oldestFirst.remove();
            if (listener != null) {
                listener.nodeOpened(evictedId);
            }
        }
    }
}
