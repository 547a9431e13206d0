package dillfront.routing.api;

import java.time.Duration;
import java.util.List;

/**
 * Settings of the routing engine. Times are durations since the zero of log positions.
 *
 * @param step the shortest time between two updates of the clock
 * @param zone the availability zone of this router
 * @param dial the time limit for opening a connection
 * @param maxPause the longest retry delay that clients honour; zero if no delay can be sent
 * @param maxSubmissions how often one transaction may be submitted to nodes
 * @param probes whether health checks may be sent
 * @param listAsked whether the member list is sent only on request
 * @param askWithin how long a member list that was not requested is valid, if sent only on request
 * @param nodesRefuse whether nodes reject reads that they are too far behind for
 * @param goneStaysOpen whether only draining nodes are closed to new transactions, so that nodes
 *     missing from the list stay open
 * @param coldFrom the share of its full capacity that a node has just after its start
 * @param coldFor how long a node takes to reach full capacity after its start
 * @param tipMultiple the multiple of its capacity that overloads a cold node
 * @param tipAfter how long that load must last to overload the node
 * @param probePrice the cost of one health check, in transactions
 * @param routers the number of routers that share the nodes
 * @param quotas the transactions per second, over all routers, in each tenant's share
 */
public record RoutingSettings(
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
        List<TransactionType> types,
        List<Double> quotas) {}
