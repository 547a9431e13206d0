package dillfront.controlplane.http;

import dillfront.common.config.Configuration;
import dillfront.common.environment.Environment.HttpResponse;
import dillfront.controlplane.consensus.QuorumRead;
import dillfront.controlplane.consensus.RegisterValue;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.peer.PeerState;
import dillfront.controlplane.peer.PeerTable;
import dillfront.controlplane.state.ControlState;
import dillfront.controlplane.storage.StateStore;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * Serves the operator's calls that replace and read the configuration. A process that cannot commit
 * redirects the caller to another one.
 */
public final class ConfigurationEndpoint {

    /** 100 ms less than the second that a caller waits for a response. */
    private static final long TIMEOUT_MS = 900;

    /** Maximum age of an acknowledgement by a majority: two ticks and a round trip. */
    private static final long MAX_CONTACT_AGE_MS = 850;

    private static final long POLL_INTERVAL_MS = 20;

    private final ControlState state;
    private final PeerTable peers;
    private final StateStore store;
    private final BooleanSupplier isLeaving;
    private final Runnable sendToPeers;
    private final long createdMillis;

    /**
     * Creates the endpoint.
     *
     * @param isLeaving whether this process is shutting down
     * @param sendToPeers sends a message to all peers at once
     */
    public ConfigurationEndpoint(
            ControlState state,
            PeerTable peers,
            StateStore store,
            BooleanSupplier isLeaving,
            Runnable sendToPeers) {
        this.state = state;
        this.peers = peers;
        this.store = store;
        this.isLeaving = isLeaving;
        this.sendToPeers = sendToPeers;
        createdMillis = state.nowMillis();
    }

    CompletableFuture<HttpResponse> replace(String path, byte[] body) {
        Configuration configuration;
        try {
            configuration = Configuration.parse(body);
        } catch (Configuration.InvalidConfigurationException exception) {
            return Responses.completedError(Responses.BAD_REQUEST, exception.getMessage());
        }
        if (cannotCommit()) {
            return Responses.completed(redirect(path));
        }
        CompletableFuture<RegisterValue.Outcome> proposal = state.register().propose(configuration);
        // A value that was decided earlier, or is only known from a peer, is reported only after a
        // majority has acknowledged a recent message of this process.
        CompletableFuture<RegisterValue.Outcome> result =
                proposal.thenCompose(
                        outcome ->
                                awaitContact(state.nowMillis() - MAX_CONTACT_AGE_MS)
                                        .thenApply(done -> outcome));
        // After the response to its caller, a proposal is dropped unless it is already in progress.
        result.whenComplete((outcome, failure) -> proposal.cancel(false));
        return Responses.within(
                state.environment(),
                TIMEOUT_MS,
                result,
                outcome -> response(outcome, configuration),
                message -> failure(path, message));
    }

    private static HttpResponse response(
            RegisterValue.Outcome outcome, Configuration configuration) {
        return outcome == RegisterValue.Outcome.CONFLICT
                ? Responses.error(
                        Responses.CONFLICT,
                        "revision_number " + configuration.revision() + " has another content")
                : Responses.acknowledged();
    }

    CompletableFuture<HttpResponse> read(String path) {
        if (state.cluster().isIsolated() || isLeaving.getAsBoolean()) {
            return Responses.completed(redirect(path));
        }
        CompletableFuture<Configuration> result = new CompletableFuture<>();
        sendToPeers.run();
        pollRead(state.nowMillis(), new QuorumRead(), result);
        return Responses.within(
                state.environment(),
                TIMEOUT_MS,
                result,
                configuration ->
                        configuration == Configuration.NONE
                                ? Responses.error(Responses.UNAVAILABLE, "no configuration yet")
                                : Responses.ok(configuration.body()),
                message -> failure(path, message));
    }

    /**
     * Polls until a majority that has acknowledged a message sent after the start of the read
     * reports the decided value.
     */
    private void pollRead(
            long sinceMillis, QuorumRead read, CompletableFuture<Configuration> result) {
        if (result.isDone()) {
            return;
        }
        if (state.cluster().isIsolated()) {
            result.completeExceptionally(new IllegalStateException(Responses.ISOLATED));
            return;
        }
        Configuration configuration =
                read.poll(state.register(), id -> hasAcknowledged(id, sinceMillis));
        if (configuration != null) {
            result.complete(configuration);
        } else {
            state.environment()
                    .schedule(POLL_INTERVAL_MS, () -> pollRead(sinceMillis, read, result));
        }
    }

    private boolean hasAcknowledged(String id, long sinceMillis) {
        if (id.equals(state.cluster().selfId())) {
            return true;
        }
        PeerState peer = state.cluster().peer(id);
        return peer != null && peer.lastAcknowledgedSendMillis() >= sinceMillis;
    }

    /**
     * Returns a future that completes once a majority has acknowledged a message sent after this
     * time. It fails at once if this process is isolated.
     */
    private CompletableFuture<Void> awaitContact(long sinceMillis) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        pollContact(sinceMillis, done);
        return done;
    }

    private void pollContact(long sinceMillis, CompletableFuture<Void> done) {
        if (state.cluster().lastQuorumContactMillis() >= sinceMillis) {
            done.complete(null);
        } else if (state.cluster().isIsolated()) {
            done.completeExceptionally(new IllegalStateException(Responses.ISOLATED));
        } else {
            state.environment().schedule(POLL_INTERVAL_MS, () -> pollContact(sinceMillis, done));
        }
    }

    // ---- redirects

    /**
     * Returns whether this process is isolated from a majority, shutting down, or stalled by its
     * disk.
     */
    private boolean cannotCommit() {
        return state.cluster().isIsolated()
                || isLeaving.getAsBoolean()
                || store.stalledMillis() > TIMEOUT_MS;
    }

    private HttpResponse failure(String path, String message) {
        return cannotCommit() ? redirect(path) : Responses.error(Responses.UNAVAILABLE, message);
    }

    /**
     * Redirects the caller to a peer with recent contact. If this process has had no contact since
     * its start, it chooses a member, or a seed while the members are unknown: the caller may know
     * no other address, or would retry here without end.
     *
     * <p>A redirect to a process that is down costs the caller one second, as its own choice may.
     * Two isolated processes redirect to each other at most twice.
     */
    private HttpResponse redirect(String path) {
        List<PeerState> targets = new ArrayList<>();
        long lastContact =
                peers.all().stream()
                        .mapToLong(PeerState::lastContactMillis)
                        .max()
                        .orElse(Long.MIN_VALUE);
        for (PeerState peer : peers.all()) {
            if (isRedirectTarget(peer, lastContact)) {
                targets.add(peer);
            }
        }
        if (targets.isEmpty()) {
            return Responses.error(Responses.UNAVAILABLE, Responses.ISOLATED);
        }
        PeerState target = targets.get(state.environment().random().nextInt(targets.size()));
        String own = state.settings().controlAddress();
        String address = target.ip() + own.substring(own.lastIndexOf(':'));
        return new HttpResponse(
                Responses.TEMPORARY_REDIRECT,
                Responses.error(Responses.TEMPORARY_REDIRECT, Responses.ISOLATED).body(),
                "http://" + address + path);
    }

    private boolean isRedirectTarget(PeerState peer, long lastContact) {
        if (lastContact >= createdMillis) {
            return !peer.isLeaving()
                    && peer.lastContactMillis() > lastContact - LeaseManager.CONTACT_TIMEOUT_MS;
        }
        RegisterValue value = state.register().acceptedValue();
        boolean mayBeMember =
                value == null
                        || value.members().stream()
                                .anyMatch(id -> RegisterValue.ipOf(id).equals(peer.ip()));
        return mayBeMember && state.nowMillis() > createdMillis + LeaseManager.CONTACT_TIMEOUT_MS;
    }
}
