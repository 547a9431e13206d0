package dillfront.core;

import dillfront.host.Host;
import java.util.HashMap;
import java.util.Map;

/** Another control process, as its last word told of it. */
final class Peer implements Lease.Voter {

    final String ip;
    String zone = "";
    Host.Link link;
    boolean up;
    boolean dialing;
    long dialedAt;
    long dials;
    long dialAt;
    long upAt;

    /** Beats that were heard here before this were told to it. */
    long toldAt;

    /** Its life, and its clock when it last spoke; that goes back to it with the next word. */
    String boot = "";

    long itsNow;

    /** This one's clock when that word was sent which its last word answers. */
    long echo = Long.MIN_VALUE / 2;

    long heard = Long.MIN_VALUE / 2;

    /** The same of its life before this one: what that told fronts, this one does not know. */
    long earlier = Long.MIN_VALUE / 2;

    /** How far each has the other's table of servers, in its present life. */
    Progress table = new Progress();

    /** The id of the process that was heard there last; empty before. */
    String id = "";

    /** Of the set of members that it goes by. */
    long epoch;

    /**
     * It belongs to no set and has nothing on its disk, and neither was there ever a system before.
     */
    boolean fresh;

    boolean leaving;
    String placesTold = "";
    long promised;
    String promisedTo = "";
    long granted = Lease.NEVER;

    /** The number of the lease that it asks for, or holds. */
    long wanted;

    /** What those that had its promise before may have said of their lease is over by then. */
    long formerUntil = Lease.NEVER;

    long record = -1;

    /** Records that all of its fronts have, by service. */
    final Map<String, Long> cleared = new HashMap<>();

    final Map<String, Sight> sights = new HashMap<>();
    int fronts;

    Peer(String ip) {
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
    public long promised() {
        return promised;
    }

    @Override
    public String promisedTo() {
        return promisedTo;
    }

    @Override
    public long granted() {
        return granted;
    }

    @Override
    public long wanted() {
        return wanted;
    }

    @Override
    public long formerUntil() {
        return formerUntil;
    }

    @Override
    public long heard() {
        return heard;
    }
}
