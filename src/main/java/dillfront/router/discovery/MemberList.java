package dillfront.router.discovery;

import dillfront.common.logging.Log;
import dillfront.common.network.Address;
import dillfront.router.config.MonotonicClock;
import dillfront.router.config.RouterSettings;
import dillfront.router.config.JsonObject;
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

/** Reads discovery's lists. Ids become indices here. */
public final class MemberList {

    private RouterSettings settings;
    private final MonotonicClock clock;
    private final Log log;

    /** Its index, and when it last started, in Unix time, as the last list had it. */
    private record IndexedNode(int index, long startedMs) {}

    /** Of the machines in the list, and of those that have left it until they are forgotten. */
    private final Map<String, IndexedNode> nodes = new HashMap<>();

    private final ClosedNodes closedNodes = new ClosedNodes();

    /** Ids of those that have left the list. */
    private final Set<String> departed = new TreeSet<>();

    /** Indices that may be given again, and how many there are in all. */
    private final ArrayDeque<Integer> freeIndices = new ArrayDeque<>();

    private int indexCount;

    /** Of the latest list that was read. */
    private long latestGeneration = -1;

    /** The last row of each, to be said again where others close it. */
    private final Map<String, Member> membersById = new HashMap<>();

    /** Grows with the groups that any list has named. */
    private final Set<Integer> groups = new HashSet<>();

    public MemberList(RouterSettings setup, MonotonicClock clock, Log log) {
        this.settings = setup;
        this.clock = clock;
        this.log = log;
    }

    /** What is read from now on is read by these. */
    public void applySettings(RouterSettings newSettings) {
        settings = newSettings;
    }

    /**
     * A word that closed a node, heard in an earlier life: only a newer word or a new start opens
     * it again.
     */
    public void restoreClosed(String id, MemberState state, long startedMs, long generation) {
        closedNodes.close(id, state, startedMs, generation);
    }

    /** Who keeps such words for a later life. */
    public void setClosureListener(ClosedNodes.Listener listener) {
        closedNodes.listener(listener);
    }

    /** How many nodes are closed by words that are remembered. */
    public int closedNodes() {
        return closedNodes.size();
    }

    /** Whether any list has named this group, or none has come yet. */
    public boolean mayHaveGroup(int group) {
        return groups.isEmpty() || groups.contains(group);
    }

    /** An entry that cannot be read is left out, and does not spoil the others. */
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
            int node = previous != null ? previous.index : freeIndices.isEmpty() ? indexCount++ : freeIndices.poll();
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
        // A whole list closes those that it leaves out.
        for (String id : omitted) {
            closedNodes.close(id, MemberState.GONE, nodes.get(id).startedMs, generation);
        }
        closedNodes.trim(nodes.size());
        return members;
    }

    /**
     * Gives back the index of each node that has left the list, if nobody holds anything of it any
     * more.
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

    /** Of all nodes that a list has named and that are not forgotten. */
    public Set<String> nodeIds() {
        return Set.copyOf(nodes.keySet());
    }

    /** Of the latest list that was read; negative where none was. */
    public long latestGeneration() {
        return latestGeneration;
    }

    /** Changes with closings(). */
    public long closedNodesVersion() {
        return closedNodes.version();
    }

    /**
     * What is closed now, by the ids of nodes: the generation of the list that closed it, and the
     * start it spoke of.
     */
    public Map<String, long[]> closures() {
        return closedNodes.entries();
    }

    /**
     * Others' lists have closed this node, in a generation that no list here has reached: it is
     * closed here as well, as by a word that is remembered. Null where it is not known here, has
     * started since, or is closed already.
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

    /** How many indices were ever needed at once. */
    public int indexCount() {
        return indexCount;
    }
}
