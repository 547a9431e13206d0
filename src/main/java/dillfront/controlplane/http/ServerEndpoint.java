package dillfront.controlplane.http;

import dillfront.common.environment.Environment.HttpResponse;
import dillfront.common.protocol.ServerRow;
import dillfront.common.protocol.ServerState;
import dillfront.controlplane.http.RequestFields.InvalidRequestException;
import dillfront.controlplane.registry.DatabaseServer;
import dillfront.controlplane.registry.ServerRegistry;
import dillfront.controlplane.state.ControlState;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;

/**
 * The calls of database servers: heartbeats, and the leave before a planned end. What binds all
 * data planes, that a server drains or leaves, is on the disks of a majority before it is
 * acknowledged.
 */
public final class ServerEndpoint {

    /** Is told of what servers said. */
    public interface Listener {

        /** A heartbeat came that is not older than another of the same server. */
        void onHeartbeat(DatabaseServer server);

        /** Heartbeats may be forgotten by their age. */
        void onHeartbeatsReceived();

        /** The server table changed. */
        void onRegistryChanged();
    }

    /** A server waits a second for an answer. */
    private static final long TIMEOUT_MS = 850;

    private final ControlState state;
    private final LongFunction<CompletableFuture<Void>> awaitMajority;
    private final BooleanSupplier isLeaving;
    private final Listener listener;

    /**
     * @param awaitMajority completes once a majority has the server table up to a version
     * @param isLeaving whether this process is about to end
     */
    public ServerEndpoint(
            ControlState state,
            LongFunction<CompletableFuture<Void>> awaitMajority,
            BooleanSupplier isLeaving,
            Listener listener) {
        this.state = state;
        this.awaitMajority = awaitMajority;
        this.isLeaving = isLeaving;
        this.listener = listener;
    }

    CompletableFuture<HttpResponse> heartbeat(String id, byte[] body) {
        ServerRow row;
        try {
            row = parse(id, body);
        } catch (InvalidRequestException exception) {
            return Responses.completedError(Responses.BAD_REQUEST, exception.getMessage());
        }
        if (isUnavailable()) {
            // Servers are not redirected: they go on by themselves at once, and a second is most of
            // what a heartbeat has.
            return Responses.completedError(Responses.UNAVAILABLE, Responses.ISOLATED);
        }
        ServerRegistry registry = state.registry();
        DatabaseServer known = registry.get(id);
        // A call that was sent before another that is known here says nothing of now.
        boolean isLate = known != null && row.callSequence() < known.callSequence();
        boolean changed =
                registry.merge(row, isLate ? known.lastContactMillis() : state.nowMillis());
        DatabaseServer server = registry.get(id);
        if (server == null) {
            return Responses.completedError(Responses.BAD_REQUEST, "no id in the path");
        }
        if (known == null) {
            registry.replacePredecessors(server);
        }
        if (!isLate) {
            server.onDirectHeartbeat(state.nowMillis());
            listener.onHeartbeat(server);
        }
        listener.onHeartbeatsReceived();
        if (changed) {
            listener.onRegistryChanged();
        }
        return server.isDraining()
                ? acknowledgeAfterMajority(server)
                : Responses.completed(Responses.acknowledged());
    }

    private static ServerRow parse(String id, byte[] body) throws InvalidRequestException {
        RequestFields fields = RequestFields.parse(body);
        return new ServerRow(
                id,
                fields.string("service"),
                fields.string("address"),
                fields.string("zone_name"),
                ServerState.parse(fields.string("state")),
                fields.string("database_role"),
                fields.number("call_sequence", 0));
    }

    CompletableFuture<HttpResponse> leave(String id) {
        if (isUnavailable()) {
            return Responses.completedError(Responses.UNAVAILABLE, Responses.ISOLATED);
        }
        if (id.isEmpty()) {
            return Responses.completedError(Responses.BAD_REQUEST, "no id in the path");
        }
        // Also where the server is not known here: others may know it, and all are to.
        long previousVersion = state.registry().version();
        DatabaseServer server = state.registry().markLeaving(id);
        if (state.registry().version() > previousVersion) {
            listener.onRegistryChanged();
        }
        return acknowledgeAfterMajority(server);
    }

    private boolean isUnavailable() {
        return state.cluster().isIsolated() || isLeaving.getAsBoolean();
    }

    private CompletableFuture<HttpResponse> acknowledgeAfterMajority(DatabaseServer server) {
        return Responses.within(
                state.environment(),
                TIMEOUT_MS,
                awaitMajority.apply(server.lastChangeVersion()),
                ignored -> Responses.acknowledged());
    }
}
