package dillfront.controlplane.lease;

/** Stores a peer's lease state according to its last message. */
public final class PeerLease implements LeaseManager.Voter {

    private String id = "";
    private long epoch;
    private long promisedNumber;
    private String promisedTo = "";
    private long grantedAtMillis = LeaseManager.NEVER_MILLIS;
    private long requestedNumber;
    private long formerLeaseEndMillis = LeaseManager.NEVER_MILLIS;
    private long lastContactMillis = LeaseManager.NEVER_MILLIS;

    /** Resets the state for another process or incarnation at the peer's address. */
    public void reset(String newId) {
        id = newId;
        promisedNumber = 0;
        promisedTo = "";
        requestedNumber = 0;
    }

    /** Records the local time at which a message arrived. */
    public void recordContact(long nowMillis) {
        lastContactMillis = nowMillis;
    }

    /** Sets the epoch of the peer's current members. */
    public void epoch(long newEpoch) {
        epoch = newEpoch;
    }

    /** Updates the state from a message that arrived now. */
    public void update(LeaseMessage message, long nowMillis) {
        promisedNumber = message.promisedNumber();
        promisedTo = message.promisedTo();
        grantedAtMillis = message.grantedAtMillis();
        requestedNumber = message.requestedNumber();
        formerLeaseEndMillis =
                message.formerLeaseRemainingMillis() > 0
                        ? nowMillis + message.formerLeaseRemainingMillis()
                        : LeaseManager.NEVER_MILLIS;
    }

    @Override
    public String id() {
        return id;
    }

    @Override
    public long epoch() {
        return epoch;
    }

    @Override
    public long promisedNumber() {
        return promisedNumber;
    }

    @Override
    public String promisedTo() {
        return promisedTo;
    }

    @Override
    public long grantedAtMillis() {
        return grantedAtMillis;
    }

    @Override
    public long requestedNumber() {
        return requestedNumber;
    }

    @Override
    public long formerLeaseEndMillis() {
        return formerLeaseEndMillis;
    }

    @Override
    public long lastContactMillis() {
        return lastContactMillis;
    }
}
