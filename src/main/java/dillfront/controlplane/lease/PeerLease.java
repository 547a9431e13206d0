package dillfront.controlplane.lease;

/** The lease as a peer sees it, by its last message. */
public final class PeerLease implements LeaseManager.Voter {

    private String id = "";
    private long epoch;
    private long promisedNumber;
    private String promisedTo = "";
    private long grantedAtMillis = LeaseManager.NEVER_MILLIS;
    private long requestedNumber;
    private long formerLeaseEndMillis = LeaseManager.NEVER_MILLIS;
    private long lastContactMillis = LeaseManager.NEVER_MILLIS;

    /** Another process is there, or another incarnation of the same. */
    public void reset(String newId) {
        id = newId;
        promisedNumber = 0;
        promisedTo = "";
        requestedNumber = 0;
    }

    /** A message came at this moment of this process's clock. */
    public void recordContact(long nowMillis) {
        lastContactMillis = nowMillis;
    }

    /** The epoch of the members that the peer goes by. */
    public void epoch(long newEpoch) {
        epoch = newEpoch;
    }

    /** Takes over what a message that came now says. */
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
