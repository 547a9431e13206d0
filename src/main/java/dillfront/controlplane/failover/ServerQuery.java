package dillfront.controlplane.failover;

import dillfront.common.database.ServerResponseReader;
import dillfront.common.database.ServerResponseReader.ProtocolViolationException;
import dillfront.common.database.ServerResponseReader.ServerResponse;
import dillfront.common.environment.Environment;
import dillfront.common.protocol.ServerStatus;
import dillfront.controlplane.failover.ServerQueryException.Evidence;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.registry.DatabaseServer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Queries a database server on a new connection: sends STATUS, and optionally a command that
 * depends on the status. The command is sent only while the lease under which the query began is
 * held.
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
     * Requests a server's status and sends the command that results from the status.
     *
     * @param command returns the command, or null for none; the status after the command is the
     *     result
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
                timeoutMillis,
                () -> query.fail("no answer in " + timeoutMillis + " ms", Evidence.NONE));
        return query.result;
    }

    private void fail(String message, Evidence evidence) {
        if (!result.isDone()) {
            if (responses.isConnected()) {
                sendLine("GOODBYE");
            }
            connection.close();
            result.completeExceptionally(new ServerQueryException(message, evidence));
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
            fail(exception.getMessage(), Evidence.ALIVE);
            return;
        }
        if (response == null) {
            return;
        }
        if (response.errorCode() != null) {
            // WRONGNODE means that another server uses the address, so the queried one is not
            // running there.
            fail(
                    response.errorCode() + " " + response.errorMessage(),
                    response.errorCode().equals(SERVER_MISMATCH_CODE)
                            ? Evidence.ENDED
                            : Evidence.ALIVE);
        } else if (environment.nowMillis() >= deadlineMillis) {
            // The process was paused, so a command would be based on an outdated decision.
            fail("answer arrived after the timeout", Evidence.ALIVE);
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
            fail("server answer contains no valid status", Evidence.ALIVE);
            return;
        }
        String next = commandSent || command == null ? null : command.apply(status);
        if (next == null) {
            sendLine("GOODBYE");
            connection.close();
            result.complete(status);
        } else if (lease.number() != leaseNumber || !lease.isHeld()) {
            fail("lease lost during the query", Evidence.ALIVE);
        } else {
            commandSent = true;
            sendStatement(next);
        }
    }

    @Override
    public void onClose(String reason) {
        boolean refused = reason.equals(Environment.REFUSED);
        result.completeExceptionally(
                new ServerQueryException(reason, refused ? Evidence.ENDED : Evidence.NONE));
    }
}
