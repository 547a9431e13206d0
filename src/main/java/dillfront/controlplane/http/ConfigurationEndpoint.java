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
 * The operator's calls: replace the configuration, and read it. Where this process can decide
 * nothing, the caller is redirected to another.
 */
public final class ConfigurationEndpoint {

    /** A caller waits a second for an answer. */
    private static final long TIMEOUT_MS = 900;

    /** What a majority answered so long ago is recent: two ticks, and the way there and back. */
    private static final long MAX_CONTACT_AGE_MS = 850;

    private static final long POLL_INTERVAL_MS = 20;

    private final ControlState state;
    private final PeerTable peers;
    private final StateStore store;
    private final BooleanSupplier isLeaving;
    private final Runnable sendToPeers;
    private final long createdMillis;

    /**
     * @param isLeaving whether this process is about to end
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
        // Also what was decided before, or is only heard to be, is said on the ground of a
        // majority's answer just now.
        CompletableFuture<RegisterValue.Outcome> result =
                proposal.thenCompose(
                        outcome ->
                                awaitContact(state.nowMillis() - MAX_CONTACT_AGE_MS)
                                        .thenApply(done -> outcome));
        // A proposal whose caller was answered is proposed no more, unless it is under way.
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

    /** Until a majority that answers from the beginning on says what is decided. */
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
     * Completes once a majority has answered what was sent since then; fails at once where this
     * process is out of contact.
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

    // ---- where this process cannot answer

    /** It hears no majority, is about to end, or its disk stands still. */
    private boolean cannotCommit() {
        return state.cluster().isIsolated()
                || isLeaving.getAsBoolean()
                || store.stalledMillis() > TIMEOUT_MS;
    }

    private HttpResponse failure(String path, String message) {
        return cannotCommit() ? redirect(path) : Responses.error(Responses.UNAVAILABLE, message);
    }

    /**
     * Sends the caller to a process that was heard last; or to a member, or where members are not
     * known to a seed, where this process was started out of contact. The caller may know no other,
     * or call here again and again. A process that is down itself costs him a second, as one that
     * he picks may; two that are cut off send him back and forth twice, and no further.
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
