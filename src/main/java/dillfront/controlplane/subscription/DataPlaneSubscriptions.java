package dillfront.controlplane.subscription;

import dillfront.common.config.Configuration;
import dillfront.common.environment.Environment;
import dillfront.common.protocol.PrimaryRecord;
import dillfront.common.protocol.SubscriptionCodec;
import dillfront.common.protocol.SubscriptionRequest;
import dillfront.common.protocol.SubscriptionRequest.PrimaryView;
import dillfront.common.protocol.SubscriptionResponse;
import dillfront.common.protocol.SubscriptionResponse.ConfigurationUpdate;
import dillfront.common.protocol.SubscriptionResponse.ControlAddress;
import dillfront.common.protocol.SubscriptionResponse.RegistryUpdate;
import dillfront.common.protocol.SubscriptionResponse.SuspectsUpdate;
import dillfront.controlplane.primary.DataPlaneObservations;
import dillfront.controlplane.primary.PrimaryObservation;
import dillfront.controlplane.state.ControlState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Serves the long polls of data planes: each request waits until there is an update that the data
 * plane does not have, or until a timeout. All calls are made on one thread.
 */
public final class DataPlaneSubscriptions implements DataPlaneObservations {

    /** Gives the subscriptions access to the rest of the process. */
    public interface Source {

        /** Returns the incarnation, which is new with each start of the process. */
        String incarnation();

        /** Returns the addresses of the control processes, this one first. */
        List<ControlAddress> controlAddresses();

        /**
         * Returns for how long, in milliseconds, no server other than the recorded primary can be
         * the primary.
         */
        long primaryCertaintyMillis();

        /** Returns the number of data planes that share the connection limits. */
        int dataPlaneCount();

        /** Called when a data plane reports an observation that a failover may wait for. */
        void onPrimaryObserved();
    }

    /**
     * The part of a held request's waiting time that is added to the certainty, which the data
     * plane counts from sending the request: less than 1 / 1.1 / 1.1, for clock rates that differ
     * by 10% each way.
     */
    private static final long HELD_TIME_PERCENT = 80;

    private static final long MAX_WAIT_MS = 600;

    /**
     * A data plane that has not polled for this long is not counted, and its observations are
     * ignored.
     */
    private static final long ACTIVE_MS = 1_500;

    private static final long EXPIRY_MS = 60_000;
    private static final int MAX_SUBSCRIPTIONS = 6_000;
    private static final int MAX_OPEN_TRANSACTIONS = 1 << 20;

    private final ControlState state;
    private final Source source;
    private final TreeMap<String, Subscription> subscriptions = new TreeMap<>();
    private final ConfigurationHistory configurations = new ConfigurationHistory();

    public DataPlaneSubscriptions(ControlState state, Source source) {
        this.state = state;
        this.source = source;
    }

    // ---- requests

    /** Handles a request received on this connection. */
    public void onRequest(Environment.Connection connection, SubscriptionRequest request) {
        String name = request.nodeName();
        boolean hasCapacity =
                subscriptions.size() < MAX_SUBSCRIPTIONS || subscriptions.containsKey(name);
        if (name.isEmpty() || !hasCapacity) {
            return;
        }
        Subscription subscription = subscriptions.computeIfAbsent(name, node -> new Subscription());
        long previousRecord =
                subscription.request() == null ? -1 : subscription.request().recordNumber();
        subscription.onRequest(request, connection, state.nowMillis());
        boolean relevant = applyObservations(subscription, previousRecord);
        if (!respondIfBehind(subscription)) {
            long id = request.requestId();
            state.environment()
                    .schedule(
                            MAX_WAIT_MS,
                            () -> {
                                if (subscription.isWaitingFor(id)) {
                                    respond(subscription);
                                }
                            });
        }
        if (relevant) {
            source.onPrimaryObserved();
        }
    }

    /**
     * Applies the data plane's observations of primaries. Peers are updated at once if a lease
     * holder may wait for one of them.
     *
     * @param previousRecord the newest record that the data plane had before
     * @return whether a failover may wait for one of the observations
     */
    private boolean applyObservations(Subscription subscription, long previousRecord) {
        SubscriptionRequest request = subscription.request();
        Map<String, PrimaryObservation> previous = new HashMap<>(subscription.observations());
        int unreachableBefore = subscription.unreachablePrimaries();
        subscription.observations().clear();
        boolean relevant = false;
        boolean awaited = false;
        List<String> suspects = state.suspects().services();
        int unreachableNow = 0;
        for (PrimaryView view : request.primaries()) {
            String service = view.service();
            state.acknowledgedCommits().merge(service, view.acknowledged());
            PrimaryObservation observed = observation(view);
            subscription.observations().put(service, observed);
            unreachableNow += observed.unreachable();
            PrimaryRecord record = state.records().get(service);
            boolean moving = record != null && record.moving();
            relevant |=
                    observed.unreachable() > 0
                            || record == null
                            || moving
                            || suspects.contains(service);
            awaited |=
                    moving
                            && (receivedRecord(record, previousRecord, request)
                                    || hasDrained(previous.get(service), observed));
        }
        if (unreachableBefore != unreachableNow || awaited) {
            state.peerUpdates().request();
        }
        return relevant;
    }

    private static boolean receivedRecord(
            PrimaryRecord record, long previousRecord, SubscriptionRequest request) {
        return previousRecord < record.number() && request.recordNumber() >= record.number();
    }

    private static boolean hasDrained(PrimaryObservation previous, PrimaryObservation observed) {
        return previous != null
                && previous.openTransactions() > 0
                && observed.openTransactions() == 0;
    }

    private static PrimaryObservation observation(PrimaryView view) {
        return new PrimaryObservation(
                view.primary(),
                view.reachability() > 0 ? 1 : 0,
                view.reachability() < 0 ? 1 : 0,
                (int) Math.max(0, Math.min(MAX_OPEN_TRANSACTIONS, view.openTransactions())));
    }

    // ---- responses

    /** Answers the waiting requests of data planes that lack an update. */
    public void publish() {
        configurations.append(state.register().committedConfiguration());
        for (Subscription subscription : subscriptions.values()) {
            if (subscription.isWaiting()) {
                respondIfBehind(subscription);
            }
        }
    }

    /**
     * Answers a data plane that lacks an update, and returns whether it did. An isolated process
     * reports only its isolation.
     */
    private boolean respondIfBehind(Subscription subscription) {
        boolean isolated = state.cluster().isIsolated();
        if (isolated && subscription.request().waitsForQuorum()) {
            return false;
        }
        boolean behind = isolated || isBehind(subscription.request());
        if (behind) {
            respond(subscription);
        }
        return behind;
    }

    private boolean isBehind(SubscriptionRequest request) {
        boolean suspectsChanged =
                request.suspectsVersion() != state.suspects().version()
                        && (request.suspectsVersion() >= 0
                                || !state.suspects().services().isEmpty());
        return !request.incarnation().equals(source.incarnation())
                || request.registryVersion() < state.registry().version()
                || request.configurationRevision()
                        < state.register().committedConfiguration().revision()
                || request.recordNumber() < state.records().newestNumber()
                || suspectsChanged;
    }

    private void respond(Subscription subscription) {
        subscription.respond(SubscriptionCodec.encode(response(subscription)));
    }

    private SubscriptionResponse response(Subscription subscription) {
        SubscriptionRequest request = subscription.request();
        if (state.cluster().isIsolated()) {
            // The state may be outdated, so the response only names other control processes.
            return SubscriptionResponse.isolated(request.requestId(), source.controlAddresses());
        }
        RegistryUpdate registry = registryUpdate(request);
        ConfigurationUpdate configuration = configurationUpdate(subscription);
        List<PrimaryRecord> records = new ArrayList<>();
        for (PrimaryRecord record : state.records().all()) {
            if (request.recordNumber() < record.number()) {
                records.add(record);
            }
        }
        SuspectsUpdate suspects =
                request.suspectsVersion() == state.suspects().version()
                        ? null
                        : new SuspectsUpdate(
                                state.suspects().version(), state.suspects().services());
        long certaintyMillis = source.primaryCertaintyMillis();
        if (certaintyMillis > 0) {
            subscription.extendCertainty(state.nowMillis() + certaintyMillis);
            certaintyMillis += heldMillis(subscription) * HELD_TIME_PERCENT / 100;
        }
        List<ControlAddress> addresses = source.controlAddresses();
        return new SubscriptionResponse(
                request.requestId(),
                false,
                registry,
                configuration,
                records,
                suspects,
                source.dataPlaneCount(),
                Math.max(0, certaintyMillis),
                subscription.updateSentAddresses(addresses) ? addresses : null);
    }

    /** Returns for how long the request that is answered now has waited. */
    private long heldMillis(Subscription subscription) {
        return state.nowMillis() - subscription.lastRequestMillis();
    }

    /** Returns null if the data plane has the current server table. */
    private RegistryUpdate registryUpdate(SubscriptionRequest request) {
        boolean complete = !request.incarnation().equals(source.incarnation());
        if (!complete && request.registryVersion() >= state.registry().version()) {
            return null;
        }
        return new RegistryUpdate(
                source.incarnation(),
                state.registry().version(),
                complete,
                state.registry().rowsSince(complete ? -1 : request.registryVersion()));
    }

    /** Returns null if the data plane has the newest configuration. */
    private ConfigurationUpdate configurationUpdate(Subscription subscription) {
        SubscriptionRequest request = subscription.request();
        configurations.append(state.register().committedConfiguration());
        Configuration newest = configurations.newest();
        if (request.configurationRevision() >= newest.revision()) {
            return null;
        }
        byte[] delta =
                request.fullConfiguration()
                        ? null
                        : configurations.deltaFrom(
                                request.configurationRevision(),
                                subscription.configurationDigest());
        return new ConfigurationUpdate(
                newest.revision(), delta, delta == null ? configurations.compressed() : null);
    }

    // ---- state and observations of the data planes

    @Override
    public boolean allHaveRecord(long recordNumber) {
        long now = state.nowMillis();
        for (Subscription subscription : subscriptions.values()) {
            if (subscription.mayRelyOnOlderRecord(recordNumber, now)) {
                return false;
            }
        }
        return true;
    }

    @Override
    public PrimaryObservation observation(String service, String primary) {
        PrimaryObservation all = PrimaryObservation.none(primary);
        for (Subscription subscription : subscriptions.values()) {
            PrimaryObservation observed = subscription.observations().get(service);
            if (observed != null && observed.primary().equals(primary) && isActive(subscription)) {
                all = all.merge(observed);
            }
        }
        return all;
    }

    private boolean isActive(Subscription subscription) {
        return state.nowMillis() - subscription.lastRequestMillis() < ACTIVE_MS;
    }

    /** Returns the number of data planes that poll this process. */
    public int activeCount() {
        long now = state.nowMillis();
        subscriptions
                .values()
                .removeIf(subscription -> now - subscription.lastRequestMillis() > EXPIRY_MS);
        int count = 0;
        for (Subscription subscription : subscriptions.values()) {
            count += isActive(subscription) ? 1 : 0;
        }
        return count;
    }
}
