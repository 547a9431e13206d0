package dillfront.routing.api;

import java.time.Duration;
import java.util.List;

/**
 * What an instance is told at its start. Times count from the zero of positions.
 *
 * @param step the shortest time between two calls of the clock
 * @param zone where this router stands
 * @param dial a connection not up within this is given up
 * @param maxPause the longest come-back time that a client heeds; zero where none can be given
 * @param listAsked the member list comes only when asked for
 * @param askWithin where it is asked for: how long an unasked list counts as told
 * @param goneStaysOpen only a node listed as draining is closed to new txns; one gone from the list
 *     is not
 * @param quotas txns a second, over all routers, within each tenant's share
 */
public record Settings(
        Duration step,
        int zone,
        Duration dial,
        Duration maxPause,
        int maxSubmissions,
        boolean probes,
        boolean listAsked,
        Duration askWithin,
        boolean nodesRefuse,
        boolean goneStaysOpen,
        double coldFrom,
        Duration coldFor,
        double tipMultiple,
        Duration tipAfter,
        double probePrice,
        int routers,
        List<TxnType> types,
        List<Double> quotas) {}
