package dillfront.servers;

import dillfront.port.Result;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;

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

    /** A connection is up and free. */
    void free(Connection connection) {
        if (!connection.usable()) {
            connection.close();
            return;
        }
        while (!waiting.isEmpty()) {
            Call call = waiting.poll();
            if (call.stands()) {
                connection.carry(call);
                return;
            }
            call.end(Result.UNSENT);
        }
        if (connection.isOpen() && !connection.busy() && !idle.contains(connection)) {
            connection.idleSince = System.nanoTime();
            idle.addLast(connection);
        }
    }

    void closeIdle() {
        while (!idle.isEmpty()) {
            idle.poll().close();
        }
    }
}
