package dillfront.dataplane;

import dillfront.common.database.LogPosition;
import dillfront.common.database.ServerResponseReader;
import dillfront.common.database.ServerResponseReader.ProtocolViolationException;
import dillfront.common.database.ServerResponseReader.ServerResponse;
import dillfront.common.environment.Environment;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One connection to a database server. Its borrower sends one statement at a time; what must hold
 * before, the session's variables and prepared names, goes ahead of it in the same write.
 */
final class ServerConnection implements Environment.ConnectionListener {

    /** Takes what became of a statement, once. */
    interface ResponseHandler {

        void onResponse(QueryResult result);
    }

    private record PendingQuery(ResponseHandler handler, long sentMillis, long deadlineMillis) {}

    /**
     * A statement of the data plane's own that is not answered by then is lost, and with it the
     * order of what follows.
     */
    private static final long INTERNAL_TIMEOUT_MS = 1_500;

    /** A connection that remembers more prepared names is reset. */
    private static final int MAX_PREPARED = 500;

    /** What a RESET costs beside the variables that follow, in statements. */
    private static final int RESET_COST = 5;

    /** The id of statements that no client sent. */
    private static final String INTERNAL_ID = "-";

    final ServerPool pool;
    private final ServerResponseReader responses = new ServerResponseReader();
    private final Map<String, String> variables = new HashMap<>();
    private final Set<String> preparedDefinitions = new HashSet<>();
    private final ArrayDeque<PendingQuery> pendingQueries = new ArrayDeque<>();
    private Environment.Connection socket;
    private boolean closed;

    /** By the last answer. */
    private char lastTransactionStatus = QueryResult.IDLE;

    ServerConnection(ServerPool pool) {
        this.pool = pool;
    }

    private long now() {
        return pool.environment().nowMillis();
    }

    void connect() {
        pool.node.counters.connectionsOpened++;
        socket =
                pool.environment()
                        .connect(
                                pool.address,
                                Environment.Framing.LINES,
                                ServerPool.CONNECT_TIMEOUT_MS,
                                this);
        pool.environment()
                .schedule(
                        ServerPool.CONNECT_TIMEOUT_MS,
                        () -> {
                            if (!responses.isConnected() && !closed) {
                                onClose("silent");
                                socket.close();
                            }
                        });
    }

    @Override
    public void onOpen(Environment.Connection opened) {
        socket = opened;
        sendLine(
                "CONNECT "
                        + pool.service.name
                        + " "
                        + pool.node.settings.nodeName()
                        + " "
                        + pool.id);
    }

    private void sendLine(String line) {
        socket.send(line.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** How many statements a session with these variables needs here first. */
    int setupCost(Map<String, String> sessionVariables) {
        int equalCount = 0;
        for (Map.Entry<String, String> variable : variables.entrySet()) {
            if (!sessionVariables.containsKey(variable.getKey())) {
                return sessionVariables.size() + RESET_COST;
            }
            equalCount +=
                    variable.getValue().equals(sessionVariables.get(variable.getKey())) ? 1 : 0;
        }
        return sessionVariables.size() - equalCount;
    }

    // ---- sending

    /** Makes the variables those of a session; what is sent goes ahead of the next statement. */
    private void applyVariables(Map<String, String> sessionVariables, StringBuilder statements) {
        boolean hasExtraVariables = !sessionVariables.keySet().containsAll(variables.keySet());
        boolean hasTooManyPrepared =
                preparedDefinitions.size() > MAX_PREPARED
                        && lastTransactionStatus == QueryResult.IDLE;
        if (hasExtraVariables || hasTooManyPrepared) {
            appendInternal(statements, "RESET");
            variables.clear();
            preparedDefinitions.clear();
        }
        sessionVariables.forEach(
                (name, value) -> {
                    if (!value.equals(variables.get(name))) {
                        appendInternal(statements, "SET " + name + " " + value);
                        variables.put(name, value);
                    }
                });
    }

    private void appendInternal(StringBuilder statements, String statement) {
        statements.append("QUERY - ").append(statement).append("\r\n");
        addPending(
                new PendingQuery(
                        result -> {
                            if (result.outcome() == QueryResult.Outcome.FAILED) {
                                // What follows would run with other variables than its client was
                                // told of.
                                abort("out of step");
                            }
                        },
                        now(),
                        Long.MAX_VALUE));
    }

    private void addPending(PendingQuery query) {
        pendingQueries.add(query);
        responses.expectResponse();
    }

    /** Sends a statement of the data plane's own, with nothing ahead of it. */
    void query(String statement, ResponseHandler handler) {
        query(null, null, INTERNAL_ID, statement, now() + INTERNAL_TIMEOUT_MS, handler);
    }

    /**
     * Sends a statement once what goes ahead is set.
     *
     * @param sessionVariables the session's variables; null for no matter which
     * @param preparedDefinition what must be prepared, as "READ shape" or "WRITE shape"; null for
     *     nothing
     * @param id the client's, for the server to know a repeated statement by
     * @param deadlineMillis without an answer by then the connection is left
     */
    void query(
            Map<String, String> sessionVariables,
            String preparedDefinition,
            String id,
            String statement,
            long deadlineMillis,
            ResponseHandler handler) {
        StringBuilder statements = new StringBuilder();
        boolean wasIdle = pendingQueries.isEmpty();
        if (sessionVariables != null) {
            applyVariables(sessionVariables, statements);
        }
        if (preparedDefinition != null && preparedDefinitions.add(preparedDefinition)) {
            appendInternal(
                    statements,
                    "PREPARE " + preparedName(preparedDefinition) + " " + preparedDefinition);
        }
        statements.append("QUERY ").append(id).append(' ').append(statement);
        if (closed) {
            handler.onResponse(QueryResult.notSent());
            return;
        }
        addPending(new PendingQuery(handler, now(), deadlineMillis));
        pool.busyConnections += wasIdle ? 1 : 0;
        sendLine(statements.toString());
    }

    /** The name under which all sessions use this shape here. */
    static String preparedName(String preparedDefinition) {
        return preparedDefinition.charAt(0)
                + preparedDefinition.substring(preparedDefinition.indexOf(' ') + 1);
    }

    /** When the oldest statement that is not answered was sent; the end of time for none. */
    long oldestSentMillis() {
        PendingQuery oldest = pendingQueries.peekFirst();
        return oldest == null ? Long.MAX_VALUE : oldest.sentMillis();
    }

    /** Leaves it where an answer is overdue, whatever else came from the server. */
    void closeIfOverdue(long nowMillis) {
        for (PendingQuery query : pendingQueries) {
            if (nowMillis >= query.deadlineMillis()) {
                abort("not answered");
                return;
            }
        }
    }

    // ---- receiving

    @Override
    public void onMessage(byte[] line) {
        pool.onResponse();
        boolean wasConnected = responses.isConnected();
        ServerResponse response;
        try {
            response = responses.read(line);
        } catch (ProtocolViolationException violation) {
            pool.environment()
                    .trace(
                            "connection-left server="
                                    + pool.id
                                    + " fault="
                                    + violation.getMessage());
            abort(violation.getMessage());
            return;
        }
        if (response == null) {
            return;
        }
        lastTransactionStatus = response.transactionStatus();
        pool.knownPosition = LogPosition.max(pool.knownPosition, response.logPosition());
        if (wasConnected) {
            complete(response);
        } else if (response.errorCode() != null) {
            abort(response.errorCode());
        } else {
            pool.connectsInProgress--;
            pool.release(this);
        }
    }

    private void complete(ServerResponse response) {
        PendingQuery query = pendingQueries.poll();
        if (pendingQueries.isEmpty()) {
            pool.busyConnections = Math.max(0, pool.busyConnections - 1);
        }
        query.handler().onResponse(QueryResult.of(response));
    }

    // ---- the end

    /** Ends it from this side, as broken: all that waits for an answer is told so. */
    void abort(String reason) {
        if (!closed) {
            onClose(reason);
            socket.close();
        }
    }

    /** Ends it while nothing is outstanding. */
    void close() {
        if (!closed) {
            sendLine("GOODBYE");
            abort("left");
        }
    }

    @Override
    public void onClose(String reason) {
        if (closed) {
            return;
        }
        closed = true;
        boolean wasConnected = responses.isConnected();
        if (!wasConnected) {
            pool.connectsInProgress--;
        }
        if (!pendingQueries.isEmpty()) {
            pool.busyConnections = Math.max(0, pool.busyConnections - 1);
        }
        pool.onConnectionClosed(this, wasConnected, reason);
        List<PendingQuery> unanswered = new ArrayList<>(pendingQueries);
        pendingQueries.clear();
        unanswered.forEach(query -> query.handler().onResponse(QueryResult.connectionLost(reason)));
    }

    boolean isClosed() {
        return closed;
    }
}
