package dillfront.dataplane;

import dillfront.common.database.AcceptedDataLoss;
import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.database.LogPosition;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** One service: its servers, who leads it, and what is known of its log. */
final class Service {

    final String name;
    final Front front;

    /** By id, so that every order is the same each time. */
    final TreeMap<String, Server> servers = new TreeMap<>();

    final Floors floors = new Floors();

    /** Who leads by the record of the duty's holder; empty where there is none. */
    String primary = "";

    boolean moving;
    long record = -1;
    int connections = Integer.MAX_VALUE;

    /** Reads that may go to the primary though a replica could serve them. */
    double spill = SPILL_BURST;

    /** Transactions that are open at the primary. */
    int openAtPrimary;

    /** Of the commits whose answers came here. */
    AcknowledgedCommits acknowledged = AcknowledgedCommits.NONE;

    /** What a person gave up, as the record says; null for nothing. */
    AcceptedDataLoss loss;

    private final List<Runnable> waiting = new ArrayList<>();

    private static final double SPILL_BURST = 4;
    private static final double SPILL = 0.25;

    /** Where no replica is as near as the primary. */
    private static final double SPILL_NEAR = 0.6;

    /** How much busier one that is near may be than one in another region. */
    private static final double FAR = 2;

    /** What a primary must be less busy by to take what a replica could. */
    private static final double LEADS = 1;

    Service(Front front, String name) {
        this.front = front;
        this.name = name;
    }

    /** The one to write to; null while none is known, or it moves. */
    Server primary() {
        Server is = moving ? null : record < 0 ? claims() : servers.get(primary);
        return is == null || is.gone || is.drained() ? null : is;
    }

    /** Before there is a record: the one that says so itself, which is no more than a guess. */
    private Server claims() {
        Server one = null;
        for (Server s : servers.values()) {
            if (s.leads) {
                if (one != null) {
                    return null;
                }
                one = s;
            }
        }
        return one;
    }

    /** That it leads is sure until then, whatever else happens. */
    boolean sure(Server s) {
        return !moving && s.id.equals(primary) && front.host.nowMillis() < front.news.sureUntil();
    }

    /**
     * Where a read goes that a replica may serve: the least busy of those that should have what it
     * needs; a bounded share to the primary, while that is less busy still. Null where no replica
     * will do.
     *
     * @param without those that were tried
     */
    Server replica(LogPosition need, List<Server> without) {
        Server lead = primary();
        Server best = null;
        double least = Double.MAX_VALUE;
        long now = front.host.nowMillis();
        boolean near =
                lead != null
                        && lead.near
                        && servers.values().stream()
                                .noneMatch(s -> s != lead && s.near && s.usable());
        spill = Math.min(SPILL_BURST, spill + (near ? SPILL_NEAR : SPILL));
        for (Server s : servers.values()) {
            if (!s.usable()
                    || without.contains(s)
                    || need == null && s != lead
                    || s != lead && s.laggingUntil > now) {
                continue;
            }
            double busy = (s.out + 0.5) * s.pace + (s.near ? 0 : FAR);
            if (s == lead) {
                if (need != null && (spill < 1 || s.pace > 1.5)) {
                    continue;
                }
                busy += LEADS;
            }
            if (busy < least) {
                least = busy;
                best = s;
            }
        }
        if (best == lead && best != null && need != null) {
            spill -= 1;
        }
        return best;
    }

    /** Since when there is no primary to ask; -1 while there is. */
    private long leaderlessFrom = -1;

    private boolean despaired;

    /**
     * Whether a primary may be there soon: a move takes no longer than a few beats of the servers,
     * else nobody knows.
     */
    boolean hopeful() {
        Server lead = primary();
        if (lead != null && lead.reachable()) {
            leaderlessFrom = -1;
            despaired = false;
            return true;
        }
        long now = front.host.nowMillis();
        leaderlessFrom = leaderlessFrom < 0 ? now : leaderlessFrom;
        boolean hope = now - leaderlessFrom < HOPE_BEATS * front.settings.heartbeatIntervalMillis();
        if (!hope && !despaired) {
            front.host.warn(
                    "no primary of "
                            + name
                            + " for "
                            + (now - leaderlessFrom)
                            + " ms, recorded is '"
                            + primary
                            + "'"
                            + (moving ? ", moving" : ""));
        }
        despaired = !hope;
        return hope;
    }

    private static final double HOPE_BEATS = 2;

    /** What was last told of the primary. */
    private int told;

    /** Whether the primary is seen otherwise than was told. */
    boolean seesOtherwise() {
        Server lead = servers.get(primary);
        int sees = lead == null ? 0 : lead.sight();
        boolean other = sees < 0 != told < 0;
        told = sees;
        return other;
    }

    /** A replica leaves and takes its log along: what was acknowledged is told meanwhile. */
    boolean loses() {
        for (Server s : servers.values()) {
            if (s.draining) {
                return true;
            }
        }
        return false;
    }

    /** What a read has to wait for, of what it would: no log has what was given up. */
    LogPosition without(LogPosition need) {
        return loss == null ? need : loss.exclude(need);
    }

    /**
     * This server answered a commit. Behind a loss its log may be shorter than what was given up;
     * what it acknowledges stands past that all the same, in a later term, and is not given up with
     * it.
     */
    void acknowledged(Server by, LogPosition before, LogPosition answered) {
        LogPosition behind =
                loss != null && loss.losesCommits() && by.id.equals(primary)
                        ? LogPosition.max(before, loss.lostUpTo())
                        : before;
        acknowledged = acknowledged.merge(AcknowledgedCommits.ofResponse(behind, answered));
    }

    /** Runs once something has changed that whoever waits should look at. */
    void await(Runnable again) {
        waiting.add(again);
    }

    void changed() {
        if (!waiting.isEmpty()) {
            List<Runnable> now = new ArrayList<>(waiting);
            waiting.clear();
            now.forEach(Runnable::run);
        }
    }

    void forget(Runnable again) {
        waiting.remove(again);
    }
}
