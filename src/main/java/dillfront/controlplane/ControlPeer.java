package dillfront.controlplane;

import dillfront.common.environment.Environment;
import dillfront.controlplane.failover.PrimaryObservation;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.registry.ReplicationProgress;
import java.util.HashMap;
import java.util.Map;

/** Another control process, as its last word told of it. */
final class ControlPeer implements LeaseManager.Voter {

    final String ip;
    String zone = "";
    Environment.Connection connection;
    boolean connected;
    boolean connecting;
    long connectStartedMillis;
    long connectAttempts;
    long connectAtMillis;
    long connectedAtMillis;

    /** Beats that were heard here before this were told to it. */
    long heartbeatsSentUpToMillis;

    /** Its life, and its clock when it last spoke; that goes back to it with the next word. */
    String incarnation = "";

    long peerClockMillis;

    /** This one's clock when that word was sent which its last word answers. */
    long lastAckSentMillis = Long.MIN_VALUE / 2;

    long lastContactMillis = Long.MIN_VALUE / 2;

    /** The same of its life before this one: what that told fronts, this one does not know. */
    long formerIncarnationContactMillis = Long.MIN_VALUE / 2;

    /** How far each has the other's table of servers, in its present life. */
    ReplicationProgress registryProgress = new ReplicationProgress();

    /** The id of the process that was heard there last; empty before. */
    String id = "";

    /** Of the set of members that it goes by. */
    long epoch;

    /**
     * It belongs to no set and has nothing on its disk, and neither was there ever a system before.
     */
    boolean firstStart;

    boolean leaving;
    String addressesSent = "";
    long promisedNumber;
    String promisedTo = "";
    long grantedAtMillis = LeaseManager.NEVER;

    /** The number of the lease that it asks for, or holds. */
    long requestedNumber;

    /** What those that had its promise before may have said of their lease is over by then. */
    long formerLeaseEndMillis = LeaseManager.NEVER;

    long recordNumber = -1;

    /** Records that all of its fronts have, by service. */
    final Map<String, Long> clearedRecords = new HashMap<>();

    final Map<String, PrimaryObservation> observations = new HashMap<>();
    int dataPlanes;

    ControlPeer(String ip) {
        this.ip = ip;
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
