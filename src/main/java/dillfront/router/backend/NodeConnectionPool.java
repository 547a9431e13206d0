package dillfront.router.backend;

import dillfront.routing.api.SubmissionResult;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Iterator;

/** The connections to one node, and the calls that wait for one. */
final class NodeConnectionPool {

    final NodeConnectionManager manager;
    final int node;
    InetSocketAddress address;

    /** When the node last started, in Unix time; what was opened before that is not used again. */
    long nodeStartedMs;

    /** The one used last at the end: it is used first, so that the others grow old. */
    final ArrayDeque<NodeConnection> idle = new ArrayDeque<>();

    final ArrayDeque<NodeRequest> waiting = new ArrayDeque<>();

    NodeConnectionPool(NodeConnectionManager fleet, int node) {
        this.manager = fleet;
        this.node = node;
    }

    /**
     * A connection is up and free. After an answer it rests before it is used again: what comes
     * behind that, a second copy or noise, must find no call that would take it for its own answer.
     */
    void addIdle(NodeConnection connection, long restNanos) {
        if (!connection.isUsable()) {
            connection.close();
            return;
        }
        connection.idleSinceNanos = System.nanoTime() + restNanos;
        idle.addLast(connection);
        if (restNanos == 0) {
            sendWaiting();
        } else if (!waiting.isEmpty()) {
            manager.scheduleWaiting(this);
        }
    }

    /** The one used last of those that have rested; null where none has. */
    NodeConnection findReusable() {
        long now = System.nanoTime();
        for (Iterator<NodeConnection> newestFirst = idle.descendingIterator(); newestFirst.hasNext(); ) {
            NodeConnection connection = newestFirst.next();
            if (now - connection.idleSinceNanos >= 0) {
                return connection;
            }
        }
        return null;
    }

    void sendWaiting() {
        for (NodeConnection connection = findReusable(); connection != null && !waiting.isEmpty(); connection = findReusable()) {
            // Before each: the machine may stand still between two of them.
            manager.readDiscovery();
            if (connection.isClosed()) {
                continue;
            }
            NodeRequest request = waiting.poll();
            if (request.isStillValid()) {
                idle.remove(connection);
                connection.send(request);
            } else {
                request.end(SubmissionResult.UNSENT);
            }
        }
    }

    void closeIdle() {
        while (!idle.isEmpty()) {
            idle.poll().close();
        }
    }
}
