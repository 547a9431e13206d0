package dillfront.controlplane.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.environment.ScriptedEnvironment;
import dillfront.common.protocol.ServerRow;
import dillfront.common.protocol.ServerState;
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
 * STATUS and the word that follows from it: whose answer counts, and when nothing is said any more.
 */
class ServerQueryTest {

    private static final String REPLICA_ROW = "ROW replica 3 3.7 0 12 2 17";

    private final ScriptedEnvironment environment = new ScriptedEnvironment();
    private LeaseManager lease;
    private DatabaseServer server;

    @BeforeEach
    void acquireLease() throws Exception {
        lease = SingleNode.leaseOf(SingleNode.start(environment));
        environment.pass(SingleNode.LEASE_ACQUIRED_MS);
        assertTrue(lease.isHeld(), "alone, it holds the lease");
        ServerRegistry registry = new ServerRegistry();
        registry.merge(
                new ServerRow("i-1", "db", "10.0.0.9:5432", "z", ServerState.READY, "replica", 1),
                0);
        server = registry.get("i-1");
    }

    private ScriptedEnvironment.Line startQuery(
            Function<ServerStatus, String> then, CompletableFuture<ServerStatus> into) {
        ServerQuery.send(environment, lease, server, 500, then)
                .whenComplete(
                        (row, fault) -> {
                            if (fault == null) {
                                into.complete(row);
                            } else {
                                into.completeExceptionally(fault);
                            }
                        });
        ScriptedEnvironment.Line line = environment.lastDialed();
        line.open();
        assertEquals("CONNECT db control i-1", line.last());
        return line;
    }

    private static String failureMessage(CompletableFuture<ServerStatus> of) {
        assertTrue(of.isDone(), "nothing came of it");
        try {
            return "answered " + of.join();
        } catch (CompletionException is) {
            return is.getCause().getMessage();
        }
    }

    @Test
    void returnsStatusAfterCommand() {
        CompletableFuture<ServerStatus> is = new CompletableFuture<>();
        ScriptedEnvironment.Line line = startQuery(row -> "PAUSE " + row.nextTerm(), is);
        line.say("READY I -");
        assertEquals("QUERY - STATUS", line.last());
        line.say(REPLICA_ROW, "COMPLETE -", "READY I 3.7");
        assertEquals("QUERY - PAUSE 4", line.last());
        assertFalse(is.isDone());
        line.say("ROW replica 3 3.9 4 0 0 17", "COMPLETE -", "READY I 3.9");
        assertEquals(9, is.join().position().index());
        assertTrue(line.closed);
    }

    /**
     * Guards against a row that was there before anything was asked, and against half an answer.
     */
    @Test
    void failsOnUnexpectedOrIncompleteAnswers() {
        CompletableFuture<ServerStatus> early = new CompletableFuture<>();
        startQuery(null, early)
                .say("ROW primary 9 9.9 0 0 0 1", "READY I -", "COMPLETE -", "READY I 3.7");
        assertTrue(failureMessage(early).contains("row out of place"), failureMessage(early));
        CompletableFuture<ServerStatus> half = new CompletableFuture<>();
        startQuery(null, half).say("READY I -", REPLICA_ROW, "READY I 3.7");
        assertTrue(failureMessage(half).contains("half an answer"), failureMessage(half));
        CompletableFuture<ServerStatus> twice = new CompletableFuture<>();
        ScriptedEnvironment.Line line = startQuery(row -> "PAUSE " + row.nextTerm(), twice);
        line.say("READY I -", REPLICA_ROW, "COMPLETE -", "READY I 3.7", "READY I 3.7");
        assertTrue(failureMessage(twice).contains("half an answer"), failureMessage(twice));
    }

    @Test
    void reportsWhetherRefusingServerIsAlive() {
        for (String[] one :
                new String[][] {{"ERROR WRONGNODE i-2", "false"}, {"ERROR TOOMANY", "true"}}) {
            CompletableFuture<ServerStatus> is = new CompletableFuture<>();
            startQuery(null, is).say(one[0]);
            is.exceptionally(
                    fault -> {
                        assertEquals(
                                Boolean.parseBoolean(one[1]),
                                ((ServerQueryException) fault).isServerAlive());
                        return null;
                    });
            assertTrue(is.isCompletedExceptionally());
        }
        CompletableFuture<ServerStatus> busy = new CompletableFuture<>();
        ScriptedEnvironment.Line line = startQuery(row -> "PAUSE 4", busy);
        line.say("READY I -", "ERROR BUSY later", "READY I -");
        assertTrue(busy.isCompletedExceptionally());
        assertFalse(line.sent.contains("QUERY - PAUSE 4"));
    }

    /**
     * Guards against a word that goes out once the process runs again: by then another holds the
     * lease.
     */
    @Test
    void sendsNoCommandAfterProcessPause() {
        CompletableFuture<ServerStatus> is = new CompletableFuture<>();
        ScriptedEnvironment.Line line = startQuery(row -> "STEPDOWN " + row.nextTerm(), is);
        line.say("READY I -");
        environment.freeze(20_000);
        line.say("ROW primary 3 3.7 0 0 0 17", "COMPLETE -", "READY I 3.7");
        assertFalse(line.sent.contains("QUERY - STEPDOWN 4"), "said 20 s late: " + line.sent);
        assertTrue(is.isCompletedExceptionally());
    }

    /** The same where its time is not over, but the lease is. */
    @Test
    void sendsNoCommandWithoutTheLease() {
        CompletableFuture<ServerStatus> is = new CompletableFuture<>();
        ServerQuery.send(environment, lease, server, 60_000, row -> "STEPDOWN " + row.nextTerm())
                .whenComplete((row, fault) -> is.complete(row));
        ScriptedEnvironment.Line line = environment.lastDialed();
        line.open();
        line.say("READY I -");
        lease.resign();
        assertFalse(lease.isHeld());
        line.say("ROW primary 3 3.7 0 0 0 17", "COMPLETE -", "READY I 3.7");
        assertFalse(
                line.sent.contains("QUERY - STEPDOWN 4"), "said without the lease: " + line.sent);
        assertTrue(is.isDone());
    }

    /** An answer after its time finds nobody; the connection is left. */
    @Test
    void failsAfterTheTimeout() {
        CompletableFuture<ServerStatus> is = new CompletableFuture<>();
        ScriptedEnvironment.Line line = startQuery(null, is);
        line.say("READY I -");
        environment.pass(600);
        assertEquals("no answer in 500 ms", failureMessage(is));
        assertTrue(line.closed);
        assertEquals("GOODBYE", line.last());
    }
}
