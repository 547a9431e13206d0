package dillfront.router.backend;

import dillfront.routing.api.SubmissionResult;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Iterator;

/** The connections to one node and the requests waiting for a connection. */
final class NodeConnectionPool {

    final NodeConnectionManager manager;
    final int node;
    InetSocketAddress address;

    /** Unix time of the node's last start; connections opened before it are not reused. */
    long nodeStartedMs;

    /**
     * Idle connections, most recently used last. The most recently used one is taken first, so that
     * the others expire.
     */
    final ArrayDeque<NodeConnection> idle = new ArrayDeque<>();

    final ArrayDeque<NodeRequest> waiting = new ArrayDeque<>();

    NodeConnectionPool(NodeConnectionManager manager, int node) {
        this.manager = manager;
        this.node = node;
    }

    /**
     * Adds an idle connection. After a response it is not reused during the reuse delay: data after
     * the response, such as a duplicate, must not be treated as the next request's response.
     */
    void addIdle(NodeConnection connection, long reuseDelayNanos) {
        if (!connection.isUsable()) {
            connection.close();
            return;
        }
        connection.idleSinceNanos = System.nanoTime() + reuseDelayNanos;
        idle.addLast(connection);
        if (reuseDelayNanos == 0) {
            sendWaiting();
        } else if (!waiting.isEmpty()) {
            manager.scheduleWaiting(this);
        }
    }

    /**
     * Returns the most recently used connection whose reuse delay has passed; null if there is
     * none.
     */
    NodeConnection findReusable() {
        long now = System.nanoTime();
        for (Iterator<NodeConnection> newestFirst = idle.descendingIterator();
                newestFirst.hasNext(); ) {
            NodeConnection connection = newestFirst.next();
            if (now - connection.idleSinceNanos >= 0) {
                return connection;
            }
        }
        return null;
    }

    void sendWaiting() {
        for (NodeConnection connection = findReusable();
                connection != null && !waiting.isEmpty();
                connection = findReusable()) {
            // Before each send: the machine may pause between two of them.
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
