package dillfront.controlplane.subscription;

import dillfront.common.environment.Environment;
import dillfront.common.protocol.SubscriptionRequest;
import dillfront.common.protocol.SubscriptionResponse.ControlAddress;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.primary.PrimaryObservation;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One data plane that polls this control process, over all the connections it has had here. */
final class Subscription {

    /** Its last request. */
    private SubscriptionRequest request;

    private Environment.Connection connection;
    private boolean waiting;
    private long lastRequestMillis;

    /** The digest of its configuration, which it sends only where that has changed. */
    private long configurationDigest;

    /** The addresses that it was told on this connection. */
    private List<ControlAddress> sentAddresses = List.of();

    /** That no other server leads than the records say, it was told to be certain until then. */
    private long certainUntilMillis = LeaseManager.NEVER_MILLIS;

    private final Map<String, PrimaryObservation> observations = new HashMap<>();

    /** A request came; it waits to be answered. */
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

    /** By service, how it sees the primary; for its owner to change. */
    Map<String, PrimaryObservation> observations() {
        return observations;
    }

    /** Whether these are other addresses than it was told; it is told them now. */
    boolean updateSentAddresses(List<ControlAddress> addresses) {
        boolean changed = !addresses.equals(sentAddresses);
        sentAddresses = addresses;
        return changed;
    }

    /** It may take the records that it has for certain until then. */
    void extendCertainty(long millis) {
        certainUntilMillis = Math.max(certainUntilMillis, millis);
    }

    /** Whether it may take another primary than this record's for certain. */
    boolean mayRelyOnOlderRecord(long recordNumber, long nowMillis) {
        return certainUntilMillis > nowMillis && request.recordNumber() < recordNumber;
    }

    /** Answers the request that waits. */
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
