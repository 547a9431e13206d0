package dillfront.controlplane.failover;

import dillfront.common.database.ServerResponseReader;
import dillfront.common.database.ServerResponseReader.ProtocolViolationException;
import dillfront.common.database.ServerResponseReader.ServerResponse;
import dillfront.common.environment.Environment;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.registry.DatabaseServer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * One query to a database server, on a connection of its own: STATUS, and a command that may follow
 * from its answer. A command is sent only while the lease is held under which the query began.
 */
final class ServerQuery implements Environment.ConnectionListener {

    private static final String SERVER_MISMATCH_CODE = "WRONGNODE";

    private final Environment environment;
    private final LeaseManager lease;
    private final DatabaseServer server;
    private final Function<ServerStatus, String> command;
    private final long leaseNumber;
    private final long deadlineMillis;
    private final CompletableFuture<ServerStatus> result = new CompletableFuture<>();
    private final ServerResponseReader responses = new ServerResponseReader();
    private Environment.Connection connection;
    private boolean commandSent;

    private ServerQuery(
            Environment environment,
            LeaseManager lease,
            DatabaseServer server,
            long timeoutMillis,
            Function<ServerStatus, String> command) {
        this.environment = environment;
        this.lease = lease;
        this.server = server;
        this.command = command;
        leaseNumber = lease.number();
        deadlineMillis = environment.nowMillis() + timeoutMillis;
    }

    /**
     * Asks a server for its status, and sends it the command that follows from that.
     *
     * @param command gives the command, or null for none; its answer is the result then
     * @return the last status; fails with {@link ServerQueryException}
     */
    static CompletableFuture<ServerStatus> send(
            Environment environment,
            LeaseManager lease,
            DatabaseServer server,
            long timeoutMillis,
            Function<ServerStatus, String> command) {
        ServerQuery query = new ServerQuery(environment, lease, server, timeoutMillis, command);
        query.connection =
                environment.connect(
                        server.address(), Environment.Framing.LINES, (int) timeoutMillis, query);
        environment.schedule(
                timeoutMillis, () -> query.fail("no answer in " + timeoutMillis + " ms", false));
        return query.result;
    }

    private void fail(String message, boolean serverAlive) {
        if (!result.isDone()) {
            if (responses.isConnected()) {
                sendLine("GOODBYE");
            }
            connection.close();
            result.completeExceptionally(new ServerQueryException(message, serverAlive));
        }
    }

    private void sendLine(String line) {
        connection.send(line.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void sendStatement(String statement) {
        responses.expectResponse();
        sendLine("QUERY - " + statement);
    }

    @Override
    public void onOpen(Environment.Connection opened) {
        connection = opened;
        sendLine("CONNECT " + server.service() + " control " + server.id());
    }

    @Override
    public void onMessage(byte[] message) {
        if (result.isDone()) {
            return;
        }
        boolean wasConnected = responses.isConnected();
        ServerResponse response;
        try {
            response = responses.read(message);
        } catch (ProtocolViolationException exception) {
            fail(exception.getMessage(), true);
            return;
        }
        if (response == null) {
            return;
        }
        if (response.errorCode() != null) {
            // At its address another server may be: then this one is not.
            fail(
                    response.errorCode() + " " + response.errorMessage(),
                    !response.errorCode().equals(SERVER_MISMATCH_CODE));
        } else if (environment.nowMillis() >= deadlineMillis) {
            // This process was paused: what it would send now was decided long ago.
            fail("answered too late", true);
        } else if (!wasConnected) {
            sendStatement("STATUS");
        } else {
            onStatus(lastStatus(response.rows()));
        }
    }

    private static ServerStatus lastStatus(List<String> rows) {
        return rows.isEmpty() ? null : ServerStatus.parse(rows.get(rows.size() - 1));
    }

    private void onStatus(ServerStatus status) {
        if (status == null) {
            fail("no status in its answer", true);
            return;
        }
        String next = commandSent || command == null ? null : command.apply(status);
        if (next == null) {
            sendLine("GOODBYE");
            connection.close();
            result.complete(status);
        } else if (lease.number() != leaseNumber || !lease.isHeld()) {
            fail("the lease is over", true);
        } else {
            commandSent = true;
            sendStatement(next);
        }
    }

    @Override
    public void onClose(String reason) {
        result.completeExceptionally(new ServerQueryException(reason, false));
    }
}
