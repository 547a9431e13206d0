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
 * One connection to a database server. Its borrower sends one statement at a time. The session
 * variables and prepared statements that the statement needs are set by statements in the same
 * write.
 */
final class ServerConnection implements Environment.ConnectionListener {

    /** Receives the result of a statement, once. */
    interface ResponseHandler {

        void onResponse(QueryResult result);
    }

    private record PendingQuery(ResponseHandler handler, long sentMillis, long deadlineMillis) {}

    /**
     * If a statement of the data plane itself has no response within this time, the response is
     * lost and later responses cannot be assigned; the connection is closed.
     */
    private static final long INTERNAL_TIMEOUT_MS = 1_500;

    /** A connection with more prepared statements than this is reset. */
    private static final int MAX_PREPARED = 500;

    /** The cost of a RESET in statements, besides the variables that must be set again. */
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

    /** The memory of the large lines of the response that is being received. */
    private final MemoryReservation responseMemory;

    /** The status in the last response. */
    private char lastTransactionStatus = QueryResult.IDLE;

    ServerConnection(ServerPool pool) {
        this.pool = pool;
        responseMemory = new MemoryReservation(pool.node.memory());
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

    /**
     * Returns the number of statements that must be sent before a session with these variables can
     * use this connection.
     */
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

    /**
     * Returns whether the variables occupy more memory than an idle connection may keep. Their
     * session accounts for them only while it uses the connection.
     */
    boolean holdsLargeVariables() {
        long bytes = 0;
        for (Map.Entry<String, String> variable : variables.entrySet()) {
            bytes += variable.getKey().length() + variable.getValue().length();
        }
        return bytes > MemoryBudget.SMALL_BYTES;
    }

    // ---- requests

    /**
     * Changes the variables of this connection to those of a session; appends the required
     * statements.
     */
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
                                // The next statement would run with other variables than the client
                                // has set.
                                abort("session setup failed");
                            }
                        },
                        now(),
                        Long.MAX_VALUE));
    }

    private void addPending(PendingQuery query) {
        pendingQueries.add(query);
        responses.expectResponse();
    }

    /** Sends a statement of the data plane itself, without session variables. */
    void query(String statement, ResponseHandler handler) {
        query(null, null, INTERNAL_ID, statement, now() + INTERNAL_TIMEOUT_MS, handler);
    }

    /**
     * Sends a statement, preceded by the statements that set up its session.
     *
     * @param sessionVariables the session's variables; null if they are irrelevant
     * @param preparedDefinition the definition of the required prepared statement, "READ shape" or
     *     "WRITE shape"; null if there is none
     * @param id the client's id, by which the server recognizes a repeated statement
     * @param deadlineMillis the connection is closed if there is no response by then
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

    /**
     * Returns the name under which all sessions use this prepared statement on a server connection.
     */
    static String preparedName(String preparedDefinition) {
        return preparedDefinition.charAt(0)
                + preparedDefinition.substring(preparedDefinition.indexOf(' ') + 1);
    }

    /**
     * Returns when the oldest unanswered statement was sent; {@code Long.MAX_VALUE} if there is
     * none.
     */
    long oldestSentMillis() {
        PendingQuery oldest = pendingQueries.peekFirst();
        return oldest == null ? Long.MAX_VALUE : oldest.sentMillis();
    }

    /**
     * Aborts the connection if a response is overdue, even if other responses were received since.
     */
    void closeIfOverdue(long nowMillis) {
        for (PendingQuery query : pendingQueries) {
            if (nowMillis >= query.deadlineMillis()) {
                abort("response overdue");
                return;
            }
        }
    }

    // ---- responses

    @Override
    public void onMessage(byte[] line) {
        pool.onResponse();
        if (!responseMemory.tryAddLarge(line.length)) {
            abort("response exceeds the memory");
            return;
        }
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
        responseMemory.releaseAll();
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

    // ---- close

    /** Closes the connection as broken; every unanswered statement is completed as lost. */
    void abort(String reason) {
        if (!closed) {
            onClose(reason);
            socket.close();
        }
    }

    /** Closes the connection in order, while no response is due. */
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
        responseMemory.releaseAll();
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
