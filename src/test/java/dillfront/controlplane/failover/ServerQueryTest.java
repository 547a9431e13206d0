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

    private static final String REPLICA = "ROW replica 3 3.7 0 12 2 17";

    private final ScriptedEnvironment host = new ScriptedEnvironment();
    private LeaseManager lease;
    private DatabaseServer to;

    @BeforeEach
    void holder() throws Exception {
        lease = SingleNode.leaseOf(SingleNode.start(host));
        host.advance(SingleNode.HOLDS_MS);
        assertTrue(lease.isHeld(), "alone, it holds the lease");
        ServerRegistry registry = new ServerRegistry();
        registry.merge(
                new ServerRow("i-1", "db", "10.0.0.9:5432", "z", ServerState.READY, "replica", 1),
                0);
        to = registry.get("i-1");
    }

    private ScriptedEnvironment.ScriptedConnection ask(
            Function<ServerStatus, String> then, CompletableFuture<ServerStatus> into) {
        ServerQuery.send(host, lease, to, 500, then)
                .whenComplete(
                        (row, fault) -> {
                            if (fault == null) {
                                into.complete(row);
                            } else {
                                into.completeExceptionally(fault);
                            }
                        });
        ScriptedEnvironment.ScriptedConnection line = host.lastConnection();
        line.open();
        assertEquals("CONNECT db control i-1", line.lastSent());
        return line;
    }

    private static String fault(CompletableFuture<ServerStatus> of) {
        assertTrue(of.isDone(), "nothing came of it");
        try {
            return "answered " + of.join();
        } catch (CompletionException is) {
            return is.getCause().getMessage();
        }
    }

    @Test
    void resultIsTheAnswerOfTheCommand() {
        CompletableFuture<ServerStatus> is = new CompletableFuture<>();
        ScriptedEnvironment.ScriptedConnection line = ask(row -> "PAUSE " + row.nextTerm(), is);
        line.receive("READY I -");
        assertEquals("QUERY - STATUS", line.lastSent());
        line.receive(REPLICA, "COMPLETE -", "READY I 3.7");
        assertEquals("QUERY - PAUSE 4", line.lastSent());
        assertFalse(is.isDone());
        line.receive("ROW replica 3 3.9 4 0 0 17", "COMPLETE -", "READY I 3.9");
        assertEquals(9, is.join().position().index());
        assertTrue(line.closed);
    }

    /**
     * Guards against a row that was there before anything was asked, and against half an answer.
     */
    @Test
    void failsOnAnswersOutOfStep() {
        CompletableFuture<ServerStatus> early = new CompletableFuture<>();
        ask(null, early)
                .receive("ROW primary 9 9.9 0 0 0 1", "READY I -", "COMPLETE -", "READY I 3.7");
        assertTrue(fault(early).contains("row out of place"), fault(early));
        CompletableFuture<ServerStatus> half = new CompletableFuture<>();
        ask(null, half).receive("READY I -", REPLICA, "READY I 3.7");
        assertTrue(fault(half).contains("half an answer"), fault(half));
        CompletableFuture<ServerStatus> twice = new CompletableFuture<>();
        ScriptedEnvironment.ScriptedConnection line = ask(row -> "PAUSE " + row.nextTerm(), twice);
        line.receive("READY I -", REPLICA, "COMPLETE -", "READY I 3.7", "READY I 3.7");
        assertTrue(fault(twice).contains("half an answer"), fault(twice));
    }

    @Test
    void refusalTellsWhetherTheServerIsAlive() {
        for (String[] one :
                new String[][] {{"ERROR WRONGNODE i-2", "false"}, {"ERROR TOOMANY", "true"}}) {
            CompletableFuture<ServerStatus> is = new CompletableFuture<>();
            ask(null, is).receive(one[0]);
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
        ScriptedEnvironment.ScriptedConnection line = ask(row -> "PAUSE 4", busy);
        line.receive("READY I -", "ERROR BUSY later", "READY I -");
        assertTrue(busy.isCompletedExceptionally());
        assertFalse(line.sent.contains("QUERY - PAUSE 4"));
    }

    /**
     * Guards against a word that goes out once the process runs again: by then another holds the
     * lease.
     */
    @Test
    void sendsNoCommandAfterAPause() {
        CompletableFuture<ServerStatus> is = new CompletableFuture<>();
        ScriptedEnvironment.ScriptedConnection line = ask(row -> "STEPDOWN " + row.nextTerm(), is);
        line.receive("READY I -");
        host.pauseProcess(20_000);
        line.receive("ROW primary 3 3.7 0 0 0 17", "COMPLETE -", "READY I 3.7");
        assertFalse(line.sent.contains("QUERY - STEPDOWN 4"), "said 20 s late: " + line.sent);
        assertTrue(is.isCompletedExceptionally());
    }

    /** The same where its time is not over, but the lease is. */
    @Test
    void sendsNoCommandWithoutTheLease() {
        CompletableFuture<ServerStatus> is = new CompletableFuture<>();
        ServerQuery.send(host, lease, to, 60_000, row -> "STEPDOWN " + row.nextTerm())
                .whenComplete((row, fault) -> is.complete(row));
        ScriptedEnvironment.ScriptedConnection line = host.lastConnection();
        line.open();
        line.receive("READY I -");
        lease.resign();
        assertFalse(lease.isHeld());
        line.receive("ROW primary 3 3.7 0 0 0 17", "COMPLETE -", "READY I 3.7");
        assertFalse(
                line.sent.contains("QUERY - STEPDOWN 4"), "said without the lease: " + line.sent);
        assertTrue(is.isDone());
    }

    /** An answer after its time finds nobody; the connection is left. */
    @Test
    void failsAfterTheTimeout() {
        CompletableFuture<ServerStatus> is = new CompletableFuture<>();
        ScriptedEnvironment.ScriptedConnection line = ask(null, is);
        line.receive("READY I -");
        host.advance(600);
        assertEquals("no answer in 500 ms", fault(is));
        assertTrue(line.closed);
        assertEquals("GOODBYE", line.lastSent());
    }
}
