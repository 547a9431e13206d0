package dillfront.router.discovery;

import dillfront.common.logging.Log;
import dillfront.common.network.Address;
import dillfront.router.config.Clock;
import dillfront.router.config.Setup;
import dillfront.router.config.Tree;
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

    private Setup setup;
    private final Clock clock;
    private final Log log;

    /** Its index, and when it last started, in Unix time, as the last list had it. */
    private record Known(int index, long startedMs) {}

    /** Of the machines in the list, and of those that have left it until they are forgotten. */
    private final Map<String, Known> nodes = new HashMap<>();

    private final Closings closings = new Closings();

    /** Ids of those that have left the list. */
    private final Set<String> left = new TreeSet<>();

    /** Indices that may be given again, and how many there are in all. */
    private final ArrayDeque<Integer> free = new ArrayDeque<>();

    private int indices;

    /** Of the latest list that was read. */
    private long latest = -1;

    /** The last row of each, to be said again where others close it. */
    private final Map<String, Member> rows = new HashMap<>();

    /** Grows with the groups that any list has named. */
    private final Set<Integer> groups = new HashSet<>();

    public MemberList(Setup setup, Clock clock, Log log) {
        this.setup = setup;
        this.clock = clock;
        this.log = log;
    }

    /** What is read from now on is read by these. */
    public void settings(Setup next) {
        setup = next;
    }

    /**
     * A word that closed a node, heard in an earlier life: only a newer word or a new start opens
     * it again.
     */
    public void recall(String id, MemberState standing, long startedMs, long generation) {
        closings.close(id, standing, startedMs, generation);
    }

    /** Who keeps such words for a later life. */
    public void keeper(Closings.Keeper keeper) {
        closings.keeper(keeper);
    }

    /** How many nodes are closed by words that are remembered. */
    public int closings() {
        return closings.size();
    }

    /** Whether any list has named this group, or none has come yet. */
    public boolean mayHave(int group) {
        return groups.isEmpty() || groups.contains(group);
    }

    /** An entry that cannot be read is left out, and does not spoil the others. */
    public List<Member> read(Tree list) {
        List<Member> members = new ArrayList<>();
        long generation = list.whole("generation");
        latest = Math.max(latest, generation);
        Set<String> open = new TreeSet<>();
        if (list.flag("reset")) {
            open.addAll(nodes.keySet());
            open.removeAll(left);
            left.addAll(open);
        }
        for (Tree entry : list.trees("instances")) {
            String id = entry.text("instanceId");
            InetSocketAddress address = Address.parse(entry.text("hostPort"));
            MemberState standing =
                    switch (entry.text("lifecycle")) {
                        case "ready" -> MemberState.READY;
                        case "draining" -> MemberState.DRAINING;
                        case "gone" -> MemberState.GONE;
                        default -> null;
                    };
            if (id.isEmpty() || address == null || standing == null) {
                log.warn(
                        "list-entry-left-out",
                        "id",
                        id,
                        "address",
                        entry.text("hostPort"),
                        "lifecycle",
                        entry.text("lifecycle"));
                continue;
            }
            long startedMs = entry.whole("startedAtMs");
            MemberState holds = closings.heard(id, standing, startedMs, generation);
            if (holds != standing) {
                log.warn(
                        "list-older",
                        "id",
                        id,
                        "says",
                        standing,
                        "holds",
                        holds,
                        "generation",
                        generation);
                standing = holds;
            }
            open.remove(id);
            if (standing == MemberState.GONE) {
                if (!nodes.containsKey(id)) {
                    continue;
                }
                left.add(id);
            } else {
                left.remove(id);
            }
            Known before = nodes.get(id);
            int node = before != null ? before.index : free.isEmpty() ? indices++ : free.poll();
            nodes.put(id, new Known(node, startedMs));
            groups.add((int) entry.whole("cell"));
            rows.put(
                    id,
                    new Member(
                            id,
                            new NodeRow(
                                    node,
                                    (int) entry.whole("cell"),
                                    setup.zone(entry.text("zone")),
                                    entry.number("weight", 1),
                                    entry.text("role").equals("leader"),
                                    startedMs == 0 ? null : clock.since(startedMs),
                                    standing),
                            address,
                            startedMs));
            members.add(rows.get(id));
        }
        // A whole list closes those that it leaves out.
        for (String id : open) {
            closings.close(id, MemberState.GONE, nodes.get(id).startedMs, generation);
        }
        closings.trim(nodes.size());
        return members;
    }

    /**
     * Gives back the index of each node that has left the list, if nobody holds anything of it any
     * more.
     */
    public void forget(IntPredicate over) {
        for (Iterator<String> ids = left.iterator(); ids.hasNext(); ) {
            String id = ids.next();
            if (over.test(nodes.get(id).index)) {
                free.add(nodes.remove(id).index);
                rows.remove(id);
                ids.remove();
            }
        }
    }

    /** Of all nodes that a list has named and that are not forgotten. */
    public Set<String> ids() {
        return Set.copyOf(nodes.keySet());
    }

    /** Of the latest list that was read; negative where none was. */
    public long latest() {
        return latest;
    }

    /** Changes with closings(). */
    public long closingsVersion() {
        return closings.version();
    }

    /**
     * What is closed now, by the ids of nodes: the generation of the list that closed it, and the
     * start it spoke of.
     */
    public Map<String, long[]> closed() {
        return closings.words();
    }

    /**
     * Others' lists have closed this node, in a generation that no list here has reached: it is
     * closed here as well, as by a word that is remembered. Null where it is not known here, has
     * started since, or is closed already.
     */
    public Member closedElsewhere(String id, long generation, long startedMs) {
        Member member = rows.get(id);
        if (member == null
                || member.row().standing() != MemberState.READY
                || member.startedMs() > startedMs
                || generation <= latest) {
            return null;
        }
        closings.close(id, MemberState.DRAINING, startedMs, generation);
        NodeRow row = member.row();
        Member now =
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
        rows.put(id, now);
        return now;
    }

    /** How many indices were ever needed at once. */
    public int indices() {
        return indices;
    }
}
