package dillfront.router.discovery;

import dillfront.routing.api.MemberState;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides which closures from member lists hold. A closed node reopens only by a list that is known
 * to be newer, or by a restart of the node. An older list, from a discovery agent that lags, was
 * restored or has just started, would otherwise reopen a node that is draining or gone. Closures
 * count from every list.
 *
 * <p>A list is newer if its generation is higher, whichever source provides it. Consequence: if
 * discovery restarts its generations, a closed node that is ready again without a restart stays
 * closed until the generations have caught up.
 *
 * <p>Depends on the contents of the lists only; uses no clock and no socket.
 */
public final class ClosedNodes {

    /** Receives each change, to persist it across restarts. */
    public interface Listener {
        void nodeClosed(String id, MemberState standing, long startedMs, long generation);

        void nodeOpened(String id);
    }

    /**
     * Capacity in multiples of the current list's length; the nodes closed first are evicted first.
     */
    private static final int CAPACITY_IN_LISTS = 4;

    private static final int MIN_CAPACITY = 64;

    /**
     * The last closure of a node: the generation of the list, the state it set, and the node's
     * start time in it.
     */
    private record ClosedNode(long generation, MemberState state, long startedMs) {}

    /**
     * Closed nodes by id, oldest closure first; entries leave when the node reopens or the capacity
     * is exceeded.
     */
    private final Map<String, ClosedNode> closed = new LinkedHashMap<>();

    private Listener listener;
    private long version;

    /**
     * Sets the listener for later changes; persisted closures are restored by close() before that.
     */
    public void listener(Listener newListener) {
        listener = newListener;
    }

    /**
     * Applies a member list's entry for a node and returns the effective state.
     *
     * @param generation generation of that list
     * @param startedMs start time of the node in that list
     */
    public MemberState update(String id, MemberState reported, long startedMs, long generation) {
        ClosedNode previous = closed.get(id);
        boolean outdated =
                previous != null
                        && generation <= previous.generation
                        && startedMs <= previous.startedMs;
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
     * Records a closure; an older one is ignored. A draining node that is reported as gone stays
     * draining, since DRAINING is the more restrictive state.
     */
    public void close(String id, MemberState reported, long startedMs, long generation) {
        ClosedNode previous = closed.get(id);
        if (previous == null
                || generation >= previous.generation
                || startedMs > previous.startedMs) {
            boolean wasDraining =
                    previous != null
                            && previous.state == MemberState.DRAINING
                            && startedMs <= previous.startedMs;
            closed.remove(id);
            ClosedNode updated =
                    new ClosedNode(
                            previous == null
                                    ? generation
                                    : Math.max(generation, previous.generation),
                            wasDraining ? MemberState.DRAINING : reported,
                            previous == null ? startedMs : Math.max(startedMs, previous.startedMs));
            closed.put(id, updated);
            version += updated.equals(previous) ? 0 : 1;
            if (listener != null && !updated.equals(previous)) {
                listener.nodeClosed(id, updated.state, updated.startedMs, updated.generation);
            }
        }
    }

    /** Returns the closures in force by node id, latest last, as generation and start time. */
    Map<String, long[]> entries() {
        Map<String, long[]> entries = new LinkedHashMap<>();
        closed.forEach(
                (id, closing) ->
                        entries.put(id, new long[] {closing.generation, closing.startedMs}));
        return entries;
    }

    /** Returns a version that changes with the closures. */
    long version() {
        return version;
    }

    int size() {
        return closed.size();
    }

    /** Evicts the oldest closures beyond the capacity for a list of this length. */
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
