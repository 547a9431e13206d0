package dillfront.controlplane.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.environment.Environment;
import dillfront.common.environment.ScriptedEnvironment;
import dillfront.common.protocol.ServerRow;
import dillfront.common.protocol.ServerState;
import dillfront.common.protocol.ServerStatus;
import dillfront.controlplane.SingleNode;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.registry.DatabaseServer;
import dillfront.controlplane.registry.ServerRegistry;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests the STATUS query and the command that follows: which answers count, and when no command is
 * sent.
 */
class ServerQueryTest {

    private static final String REPLICA_ROW = "ROW replica 3 3.7 0 12 2 17";

    private final ScriptedEnvironment environment = new ScriptedEnvironment();
    private LeaseManager lease;
    private DatabaseServer server;

    @BeforeEach
    void acquireLease() throws Exception {
        lease = SingleNode.leaseOf(SingleNode.start(environment));
        environment.advance(SingleNode.LEASE_ACQUIRED_MS);
        assertTrue(lease.isHeld(), "a single process holds the lease");
        ServerRegistry registry = new ServerRegistry(environment::nowMillis);
        registry.merge(
                new ServerRow("i-1", "db", "10.0.0.9:5432", "z", ServerState.READY, "replica", 1),
                0);
        server = registry.get("i-1");
    }

    private ScriptedEnvironment.ScriptedConnection startQuery(
            Function<ServerStatus, String> command, CompletableFuture<ServerStatus> result) {
        ServerQuery.send(environment, lease, server, 500, command)
                .whenComplete(
                        (status, error) -> {
                            if (error == null) {
                                result.complete(status);
                            } else {
                                result.completeExceptionally(error);
                            }
                        });
        ScriptedEnvironment.ScriptedConnection connection = environment.lastConnection();
        connection.open();
        assertEquals("CONNECT db control i-1", connection.lastSent());
        return connection;
    }

    private static String failureMessage(CompletableFuture<ServerStatus> result) {
        assertTrue(result.isDone(), "the query has not completed");
        try {
            return "answered " + result.join();
        } catch (CompletionException exception) {
            return exception.getCause().getMessage();
        }
    }

    @Test
    void returnsStatusAfterCommand() {
        CompletableFuture<ServerStatus> result = new CompletableFuture<>();
        ScriptedEnvironment.ScriptedConnection connection =
                startQuery(status -> "PAUSE " + status.nextTerm(), result);
        connection.receive("READY I -");
        assertEquals("QUERY - STATUS", connection.lastSent());
        connection.receive(REPLICA_ROW, "COMPLETE -", "READY I 3.7");
        assertEquals("QUERY - PAUSE 4", connection.lastSent());
        assertFalse(result.isDone());
        connection.receive("ROW replica 3 3.9 4 0 0 17", "COMPLETE -", "READY I 3.9");
        assertEquals(9, result.join().position().index());
        assertTrue(connection.closed);
    }

    /** Guards against accepting a row that arrives before any query, or an incomplete answer. */
    @Test
    void failsOnUnexpectedOrIncompleteAnswers() {
        CompletableFuture<ServerStatus> unexpectedRow = new CompletableFuture<>();
        startQuery(null, unexpectedRow)
                .receive("ROW primary 9 9.9 0 0 0 1", "READY I -", "COMPLETE -", "READY I 3.7");
        assertTrue(
                failureMessage(unexpectedRow).contains("row out of place"),
                failureMessage(unexpectedRow));
        CompletableFuture<ServerStatus> incomplete = new CompletableFuture<>();
        startQuery(null, incomplete).receive("READY I -", REPLICA_ROW, "READY I 3.7");
        assertTrue(
                failureMessage(incomplete).contains("half an answer"), failureMessage(incomplete));
        CompletableFuture<ServerStatus> missingCommandResponse = new CompletableFuture<>();
        ScriptedEnvironment.ScriptedConnection connection =
                startQuery(status -> "PAUSE " + status.nextTerm(), missingCommandResponse);
        connection.receive("READY I -", REPLICA_ROW, "COMPLETE -", "READY I 3.7", "READY I 3.7");
        assertTrue(
                failureMessage(missingCommandResponse).contains("half an answer"),
                failureMessage(missingCommandResponse));
    }

    /** Returns the error of a query that has failed. */
    private static Throwable error(CompletableFuture<ServerStatus> result) {
        assertTrue(result.isCompletedExceptionally());
        return result.handle((status, failure) -> failure).join();
    }

    @Test
    void reportsWhetherRefusingServerIsAlive() {
        for (String[] refusal :
                new String[][] {{"ERROR WRONGNODE i-2", "false"}, {"ERROR TOOMANY", "true"}}) {
            CompletableFuture<ServerStatus> result = new CompletableFuture<>();
            startQuery(null, result).receive(refusal[0]);
            boolean alive = Boolean.parseBoolean(refusal[1]);
            assertEquals(alive, ServerQueryException.showsServerAlive(error(result)), refusal[0]);
            assertEquals(!alive, ServerQueryException.showsServerEnded(error(result)), refusal[0]);
        }
    }

    /** Only a refused connection shows that no process is there: a server may be out of reach. */
    @Test
    void takesOnlyRefusedConnectionForEndOfServer() {
        for (String reason : new String[] {Environment.REFUSED, "unreachable", "broken"}) {
            CompletableFuture<ServerStatus> result = new CompletableFuture<>();
            startQuery(null, result).fail(reason);
            assertFalse(ServerQueryException.showsServerAlive(error(result)), reason);
            assertEquals(
                    reason.equals(Environment.REFUSED),
                    ServerQueryException.showsServerEnded(error(result)),
                    reason);
        }
    }

    @Test
    void sendsNoCommandToBusyServer() {
        CompletableFuture<ServerStatus> busy = new CompletableFuture<>();
        ScriptedEnvironment.ScriptedConnection connection = startQuery(status -> "PAUSE 4", busy);
        connection.receive("READY I -", "ERROR BUSY later", "READY I -");
        assertTrue(busy.isCompletedExceptionally());
        assertFalse(connection.sent.contains("QUERY - PAUSE 4"));
    }

    /**
     * Guards against a command sent after the process was paused, when another process may hold the
     * lease.
     */
    @Test
    void sendsNoCommandAfterProcessPause() {
        CompletableFuture<ServerStatus> result = new CompletableFuture<>();
        ScriptedEnvironment.ScriptedConnection connection =
                startQuery(status -> "STEPDOWN " + status.nextTerm(), result);
        connection.receive("READY I -");
        environment.pauseProcess(20_000);
        connection.receive("ROW primary 3 3.7 0 0 0 17", "COMPLETE -", "READY I 3.7");
        assertFalse(
                connection.sent.contains("QUERY - STEPDOWN 4"),
                "command sent 20 s late: " + connection.sent);
        assertTrue(result.isCompletedExceptionally());
    }

    /**
     * Guards against a command sent after the lease ended, although the query's timeout has not
     * passed.
     */
    @Test
    void sendsNoCommandWithoutTheLease() {
        CompletableFuture<ServerStatus> result = new CompletableFuture<>();
        ServerQuery.send(
                        environment,
                        lease,
                        server,
                        60_000,
                        status -> "STEPDOWN " + status.nextTerm())
                .whenComplete((status, error) -> result.complete(status));
        ScriptedEnvironment.ScriptedConnection connection = environment.lastConnection();
        connection.open();
        connection.receive("READY I -");
        lease.resign();
        assertFalse(lease.isHeld());
        connection.receive("ROW primary 3 3.7 0 0 0 17", "COMPLETE -", "READY I 3.7");
        assertFalse(
                connection.sent.contains("QUERY - STEPDOWN 4"),
                "command sent without the lease: " + connection.sent);
        assertTrue(result.isDone());
    }

    /** A query without a timely answer fails, and its connection is closed. */
    @Test
    void failsAfterTheTimeout() {
        CompletableFuture<ServerStatus> result = new CompletableFuture<>();
        ScriptedEnvironment.ScriptedConnection connection = startQuery(null, result);
        connection.receive("READY I -");
        environment.advance(600);
        assertEquals("no answer in 500 ms", failureMessage(result));
        assertTrue(connection.closed);
        assertEquals("GOODBYE", connection.lastSent());
    }
}
