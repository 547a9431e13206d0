package dillfront.router.discovery;

import dillfront.common.logging.Log;
import dillfront.common.network.Address;
import dillfront.router.config.JsonObject;
import dillfront.router.config.MonotonicClock;
import dillfront.router.config.RouterSettings;
import dillfront.routing.api.MemberState;
import dillfront.routing.api.NodeRow;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntPredicate;

/** Reads discovery's member lists and maps node ids to indices. */
public final class MemberList {

    private RouterSettings settings;
    private final MonotonicClock clock;
    private final Log log;

    /** A node's index and its start time (Unix time) in the last list. */
    private record IndexedNode(int index, long startedMs) {}

    /** Listed nodes, and departed nodes whose index is not yet released. */
    private final Map<String, IndexedNode> nodes = new HashMap<>();

    private final ClosedNodes closedNodes = new ClosedNodes();

    /** Ids of nodes that have left the list. */
    private final Set<String> departed = new TreeSet<>();

    /** Indices available for reuse, and the number of indices ever assigned. */
    private final ArrayDeque<Integer> freeIndices = new ArrayDeque<>();

    private int indexCount;

    /** Generation of the latest list read. */
    private long latestGeneration = -1;

    /** Last member of each node, reported again when peers close the node. */
    private final Map<String, Member> membersById = new HashMap<>();

    /** Groups named by any list; only grows. */
    private final Set<Integer> groups = new HashSet<>();

    public MemberList(RouterSettings settings, MonotonicClock clock, Log log) {
        this.settings = settings;
        this.clock = clock;
        this.log = log;
    }

    /** Applies new settings to lists read from now on. */
    public void applySettings(RouterSettings newSettings) {
        settings = newSettings;
    }

    /** Restores a persisted closure; only a newer list or a restart of the node reopens it. */
    public void restoreClosed(String id, MemberState state, long startedMs, long generation) {
        closedNodes.close(id, state, startedMs, generation);
    }

    /** Sets the listener that persists closures. */
    public void setClosureListener(ClosedNodes.Listener listener) {
        closedNodes.listener(listener);
    }

    /** Returns the number of nodes recorded as closed. */
    public int closedNodes() {
        return closedNodes.size();
    }

    /** Returns whether any list has named this group, or no list was read yet. */
    public boolean mayHaveGroup(int group) {
        return groups.isEmpty() || groups.contains(group);
    }

    /** Reads a list; entries that are malformed are logged and skipped. */
    public List<Member> read(JsonObject list) {
        List<Member> members = new ArrayList<>();
        long generation = list.getLong("generation");
        latestGeneration = Math.max(latestGeneration, generation);
        Set<String> omitted = new TreeSet<>();
        if (list.getBoolean("reset")) {
            omitted.addAll(nodes.keySet());
            omitted.removeAll(departed);
            departed.addAll(omitted);
        }
        for (JsonObject entry : list.getObjects("instances")) {
            String id = entry.getString("instanceId");
            InetSocketAddress address = Address.parse(entry.getString("hostPort"));
            MemberState state =
                    switch (entry.getString("lifecycle")) {
                        case "ready" -> MemberState.READY;
                        case "draining" -> MemberState.DRAINING;
                        case "gone" -> MemberState.GONE;
                        default -> null;
                    };
            if (id.isEmpty() || address == null || state == null) {
                log.warn(
                        "list-entry-left-out",
                        "id",
                        id,
                        "address",
                        entry.getString("hostPort"),
                        "lifecycle",
                        entry.getString("lifecycle"));
                continue;
            }
            long startedMs = entry.getLong("startedAtMs");
            MemberState effective = closedNodes.update(id, state, startedMs, generation);
            if (effective != state) {
                log.warn(
                        "list-older",
                        "id",
                        id,
                        "says",
                        state,
                        "holds",
                        effective,
                        "generation",
                        generation);
                state = effective;
            }
            omitted.remove(id);
            if (state == MemberState.GONE) {
                if (!nodes.containsKey(id)) {
                    continue;
                }
                departed.add(id);
            } else {
                departed.remove(id);
            }
            IndexedNode previous = nodes.get(id);
            int node =
                    previous != null
                            ? previous.index
                            : freeIndices.isEmpty() ? indexCount++ : freeIndices.poll();
            nodes.put(id, new IndexedNode(node, startedMs));
            groups.add((int) entry.getLong("cell"));
            membersById.put(
                    id,
                    new Member(
                            id,
                            new NodeRow(
                                    node,
                                    (int) entry.getLong("cell"),
                                    settings.zoneIndex(entry.getString("zone")),
                                    entry.getDouble("weight", 1),
                                    entry.getString("role").equals("leader"),
                                    startedMs == 0 ? null : clock.sinceStart(startedMs),
                                    state),
                            address,
                            startedMs));
            members.add(membersById.get(id));
        }
        // A complete list closes the nodes that it omits.
        for (String id : omitted) {
            closedNodes.close(id, MemberState.GONE, nodes.get(id).startedMs, generation);
        }
        closedNodes.trim(nodes.size());
        return members;
    }

    /**
     * Releases the index of each departed node for which the predicate confirms that nothing refers
     * to it.
     */
    public void removeDeparted(IntPredicate isReleasable) {
        for (Iterator<String> ids = departed.iterator(); ids.hasNext(); ) {
            String id = ids.next();
            if (isReleasable.test(nodes.get(id).index)) {
                freeIndices.add(nodes.remove(id).index);
                membersById.remove(id);
                ids.remove();
            }
        }
    }

    /** Returns the ids of all nodes that have an index. */
    public Set<String> nodeIds() {
        return Set.copyOf(nodes.keySet());
    }

    /** Returns the generation of the latest list read; negative if none was read. */
    public long latestGeneration() {
        return latestGeneration;
    }

    /** Returns a version that changes with closures(). */
    public long closedNodesVersion() {
        return closedNodes.version();
    }

    /**
     * Returns the closures by node id: the generation of the list that closed the node, and the
     * node's start time in it.
     */
    public Map<String, long[]> closures() {
        return closedNodes.entries();
    }

    /**
     * Closes a node that peers' lists have closed in a generation not yet received here. Returns
     * null if the node is unknown, has restarted since, or is closed already.
     */
    public Member closeByPeerReport(String id, long generation, long startedMs) {
        Member member = membersById.get(id);
        if (member == null
                || member.row().standing() != MemberState.READY
                || member.startedMs() > startedMs
                || generation <= latestGeneration) {
            return null;
        }
        closedNodes.close(id, MemberState.DRAINING, startedMs, generation);
        NodeRow row = member.row();
        Member closedMember =
                new Member(
                        id,
                        new NodeRow(
                                row.node(),
                                row.group(),
                                row.zone(),
                                row.size(),
                                row.primary(),
                                row.started(),
                                MemberState.DRAINING),
                        member.address(),
                        member.startedMs());
        membersById.put(id, closedMember);
        return closedMember;
    }

    /** Returns the maximum number of indices in use at once. */
    public int indexCount() {
        return indexCount;
    }
}
