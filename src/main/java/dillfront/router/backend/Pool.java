package dillfront.router.backend;

import dillfront.routing.api.SubmissionResult;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Iterator;

/** The connections to one node, and the calls that wait for one. */
final class Pool {

    final Fleet fleet;
    final int node;
    InetSocketAddress address;

    /** When the node last started, in Unix time; what was opened before that is not used again. */
    long startedMs;

    /** The one used last at the end: it is used first, so that the others grow old. */
    final ArrayDeque<Connection> idle = new ArrayDeque<>();

    final ArrayDeque<Call> waiting = new ArrayDeque<>();

    Pool(Fleet fleet, int node) {
        this.fleet = fleet;
        this.node = node;
    }

    /**
     * A connection is up and free. After an answer it rests before it is used again: what comes
     * behind that, a second copy or noise, must find no call that would take it for its own answer.
     */
    void free(Connection connection, long restNanos) {
        if (!connection.usable()) {
            connection.close();
            return;
        }
        connection.idleSince = System.nanoTime() + restNanos;
        idle.addLast(connection);
        if (restNanos == 0) {
            carryWaiting();
        } else if (!waiting.isEmpty()) {
            fleet.rested(this);
        }
    }

    /** The one used last of those that have rested; null where none has. */
    Connection rested() {
        long now = System.nanoTime();
        for (Iterator<Connection> latest = idle.descendingIterator(); latest.hasNext(); ) {
            Connection connection = latest.next();
            if (now - connection.idleSince >= 0) {
                return connection;
            }
        }
        return null;
    }

    void carryWaiting() {
        for (Connection free = rested(); free != null && !waiting.isEmpty(); free = rested()) {
            // Before each: the machine may stand still between two of them.
            fleet.look();
            if (free.closed()) {
                continue;
            }
            Call call = waiting.poll();
            if (call.stands()) {
                idle.remove(free);
                free.carry(call);
            } else {
                call.end(SubmissionResult.UNSENT);
            }
        }
    }

    void closeIdle() {
        while (!idle.isEmpty()) {
            idle.poll().close();
        }
    }
}
