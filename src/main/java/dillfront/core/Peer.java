package dillfront.core;

import dillfront.host.Host;
import java.util.HashMap;
import java.util.Map;

/** Another control process, as its last word told of it. */
final class Peer {

    final String ip;
    String zone = "";
    Host.Link link;
    boolean up;
    long dialAt;
    /** Beats that were heard here before this were told to it. */
    long toldAt;
    /** Its life, and its clock when it last spoke; that goes back to it with the next word. */
    String boot = "";
    long itsNow;
    /** This one's clock when that word was sent which its last word answers. */
    long echo = Long.MIN_VALUE / 2;
    long heard = Long.MIN_VALUE / 2;
    /** How far it has this one's table of servers. */
    long knows;
    /** How far this one has its table. */
    long known;
    long version = -1;
    long digest;
    long committed = -1;
    boolean recovering;
    boolean voter;
    long promised;
    String promisedTo = "";
    long record = -1;
    /** Records that all of its fronts have, by service. */
    final Map<String, Long> cleared = new HashMap<>();
    final Map<String, Sight> sights = new HashMap<>();
    int fronts;

    Peer(String ip) {
        this.ip = ip;
    }
}
