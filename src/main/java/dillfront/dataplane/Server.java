package dillfront.dataplane;

import dillfront.common.database.LogPosition;
import dillfront.common.environment.Environment;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** One database server of a service, with this front's connections to it. */
final class Server {

    /** A dial that waits longer is given up; the server is taken for out of reach. */
    static final int DIAL_MS = 900;

    /** Nothing was heard for so long while something was out: it may be dark. */
    static final long SILENT_MS = 450;

    private static final long RETRY_MS = 120;
    private static final long RETRY_MOST_MS = 1_000;

    /** Who waits for a connection. */
    interface Waiter {

        /**
         * @return whether it still wants one
         */
        boolean wants();

        long rank();

        Map<String, String> values();

        void got(Connection connection);

        /** There will be none for now: out of reach, or no longer to be used. */
        void none(String why);
    }

    final Front front;
    final Service service;
    final String id;
    final String address;
    final String zone;
    final boolean near;
    boolean draining;
    private long drainedAt;
    boolean gone;

    /** Leave to lead, as it said itself in its beat. */
    boolean leads;

    /** How far its log was at the least, by any of its answers. */
    LogPosition seen;

    final List<Connection> idle = new ArrayList<>();
    final List<Connection> all = new ArrayList<>();
    private final List<Waiter> waiters = new ArrayList<>();
    int dialing;
    int out;

    /** The usual time of an answer over this server's usual for such work: 1 in calm. */
    double pace = 1;

    long heardAt;
    long laggingUntil;
    private long lagFor = 50;
    long downSince = -1;
    private long tryAt;
    private long retry = RETRY_MS;

    /** It refuses more connections than it has of this front. */
    private long fullUntil;

    Server(Front front, Service service, String id, String address, String zone) {
        this.front = front;
        this.service = service;
        this.id = id;
        this.address = address;
        this.zone = zone;
        near = front.settings.isSameRegion(zone);
        heardAt = front.host.nowMillis();
    }

    /** Whether new work may go there: a drained or silent one gets none. */
    boolean usable() {
        return !gone && !draining && reachable();
    }

    boolean reachable() {
        return !gone && downSince < 0 && !silent();
    }

    /** Something is out for long and nothing at all came back since. */
    boolean silent() {
        if (out == 0) {
            return false;
        }
        long oldest = Long.MAX_VALUE;
        for (Connection c : all) {
            oldest = Math.min(oldest, c.oldest());
        }
        return oldest != Long.MAX_VALUE
                && front.host.nowMillis() - Math.max(oldest, heardAt) > SILENT_MS;
    }

    void heard() {
        heardAt = front.host.nowMillis();
        if (downSince >= 0) {
            downSince = -1;
            retry = RETRY_MS;
            service.changed();
        }
    }

    void lagging() {
        laggingUntil = front.host.nowMillis() + lagFor;
        lagFor = Math.min(800, lagFor * 2);
    }

    void fresh() {
        lagFor = Math.max(50, lagFor - 1);
    }

    /** A connection for this one, now or later. */
    void take(Waiter waiter) {
        Connection best = null;
        int least = Integer.MAX_VALUE;
        for (int i = idle.size() - 1; i >= 0 && least > 0; i--) {
            int cost = idle.get(i).cost(waiter.values());
            if (cost < least) {
                least = cost;
                best = idle.get(i);
            }
        }
        if (best != null) {
            idle.remove(best);
            best.held = true;
            waiter.got(best);
            return;
        }
        int at = waiters.size();
        while (at > 0 && waiters.get(at - 1).rank() > waiter.rank()) {
            at--;
        }
        waiters.add(at, waiter);
        grow();
    }

    /** No more connections than its part, and no more dials than are waited for. */
    private void grow() {
        waiters.removeIf(w -> !w.wants());
        long now = front.host.nowMillis();
        while (!gone
                && dialing < waiters.size()
                && all.size() < front.connectionsEach(service)
                && now >= fullUntil) {
            if (downSince >= 0 && (now < tryAt || dialing > 0)) {
                break;
            }
            dialing++;
            Connection fresh = new Connection(this);
            all.add(fresh);
            fresh.dial();
        }
        if (dialing == 0 && downSince >= 0) {
            drop("down");
        } else if (all.isEmpty() && now < fullUntil) {
            drop("full");
        }
    }

    /** Looks whether it is back, where it was out of reach. */
    void tryAgain() {
        if (downSince >= 0 && dialing == 0 && front.host.nowMillis() >= tryAt && !leaves()) {
            dialing++;
            Connection fresh = new Connection(this);
            all.add(fresh);
            fresh.dial();
        }
    }

    /**
     * One that went dark forgets its connections: a write on one of them would be cut later, and
     * nobody could say if it ran. One that leaves may go on for long, and keeps none either.
     */
    void look() {
        if (!idle.isEmpty() && (leaves() || silent())) {
            new ArrayList<>(idle).forEach(Connection::close);
        }
        if (leaves()) {
            drop("leaves");
        }
    }

    /**
     * Connections whose answers were lost, and for which nobody waits any more: else they would be
     * nobody's for ever.
     */
    void leaveOverdue() {
        if (out > 0) {
            long now = front.host.nowMillis();
            new ArrayList<>(all).forEach(c -> c.overdue(now));
        }
    }

    /** It is started, or free again. */
    void free(Connection c) {
        c.held = false;
        if (leaves()) {
            drop("leaves");
            c.close();
            return;
        }
        if (all.size() > front.connectionsEach(service) && waiters.isEmpty()) {
            c.close();
            return;
        }
        Iterator<Waiter> next = waiters.iterator();
        while (next.hasNext()) {
            Waiter w = next.next();
            next.remove();
            if (w.wants()) {
                c.held = true;
                w.got(c);
                return;
            }
        }
        idle.add(c);
    }

    void ended(Connection c, boolean started, String why) {
        all.remove(c);
        idle.remove(c);
        long now = front.host.nowMillis();
        if (!started) {
            if (why.equals("TOOMANY")) {
                fullUntil = now + 200;
                heard();
                if (all.isEmpty()) {
                    drop("full");
                }
                return;
            }
            if (why.equals("WRONGNODE")) {
                // Another has its address: this one is gone, whatever the list says yet.
                leave();
                service.changed();
                return;
            }
            if (downSince < 0) {
                downSince = now;
                service.changed();
            }
            tryAt = now + retry + front.host.random().nextInt((int) retry);
            retry = Math.min(RETRY_MOST_MS, retry * 2);
            if (dialing == 0) {
                drop("down");
            }
        } else if (!waiters.isEmpty()) {
            grow();
        }
    }

    /** All that wait look elsewhere. */
    void drop(String why) {
        List<Waiter> over = new ArrayList<>(waiters);
        waiters.clear();
        over.forEach(
                w -> {
                    if (w.wants()) {
                        w.none(why);
                    }
                });
    }

    void leave() {
        gone = true;
        new ArrayList<>(idle).forEach(Connection::close);
        drop("gone");
    }

    /**
     * Nothing new goes there; but to one that leads, until another does or its time is nearly over.
     */
    void drain() {
        draining = true;
        drainedAt = front.host.nowMillis();
        if (service.primary() != this) {
            new ArrayList<>(idle).forEach(Connection::close);
            drop("draining");
        }
    }

    /** It drains, and what reached it now could be too late. */
    boolean drained() {
        return draining && front.host.nowMillis() > drainedAt + front.settings.drainMillis();
    }

    /**
     * It drains or is gone, and is not the primary, or no longer to be used as such: nothing begins
     * there.
     */
    boolean leaves() {
        return gone || draining && service.primary() != this;
    }

    /** How this front sees it: 1 heard just now, -1 out of reach, 0 not known. */
    int sight() {
        if (downSince >= 0 || silent()) {
            return -1;
        }
        return front.host.nowMillis() - heardAt < SILENT_MS && !all.isEmpty() ? 1 : 0;
    }

    Environment host() {
        return front.host;
    }
}
