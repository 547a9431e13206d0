package dillfront.controlplane.subscription;

import dillfront.common.environment.Environment;
import dillfront.common.protocol.SubscriptionRequest;
import dillfront.common.protocol.SubscriptionResponse.ControlAddress;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.primary.PrimaryObservation;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The subscription of one data plane, across all its connections to this process. */
final class Subscription {

    /** The last request. */
    private SubscriptionRequest request;

    private Environment.Connection connection;
    private boolean waiting;
    private long lastRequestMillis;

    /** The digest of the data plane's configuration, which it sends only after a change. */
    private long configurationDigest;

    /** The addresses that were sent on this connection. */
    private List<ControlAddress> sentAddresses = List.of();

    /**
     * Until when the data plane may rely on its records: no server other than the recorded primary
     * can be the primary before this time.
     */
    private long certainUntilMillis = LeaseManager.NEVER_MILLIS;

    private final Map<String, PrimaryObservation> observations = new HashMap<>();

    /** Records a request that waits for its response. */
    void onRequest(SubscriptionRequest newRequest, Environment.Connection from, long nowMillis) {
        if (connection != from) {
            connection = from;
            sentAddresses = List.of();
        }
        request = newRequest;
        lastRequestMillis = nowMillis;
        waiting = true;
        if (newRequest.configurationDigest() != null) {
            configurationDigest = newRequest.configurationDigest();
        }
    }

    SubscriptionRequest request() {
        return request;
    }

    boolean isWaiting() {
        return waiting;
    }

    boolean isWaitingFor(long requestId) {
        return waiting && request.requestId() == requestId;
    }

    long lastRequestMillis() {
        return lastRequestMillis;
    }

    long configurationDigest() {
        return configurationDigest;
    }

    /**
     * Returns the data plane's observation of each service's primary; the caller may modify the
     * map.
     */
    Map<String, PrimaryObservation> observations() {
        return observations;
    }

    /** Records the addresses as sent, and returns whether they differ from the previous ones. */
    boolean updateSentAddresses(List<ControlAddress> addresses) {
        boolean changed = !addresses.equals(sentAddresses);
        sentAddresses = addresses;
        return changed;
    }

    /** Extends the time until which the data plane may rely on its records. */
    void extendCertainty(long millis) {
        certainUntilMillis = Math.max(certainUntilMillis, millis);
    }

    /** Returns whether the data plane may still rely on an older record than this one. */
    boolean mayRelyOnOlderRecord(long recordNumber, long nowMillis) {
        return certainUntilMillis > nowMillis && request.recordNumber() < recordNumber;
    }

    /** Answers the waiting request. */
    void respond(byte[] response) {
        waiting = false;
        connection.send(response);
    }

    int unreachablePrimaries() {
        int count = 0;
        for (PrimaryObservation observation : observations.values()) {
            count += observation.unreachable();
        }
        return count;
    }
}
