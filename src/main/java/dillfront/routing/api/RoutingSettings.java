package dillfront.routing.api;

import java.time.Duration;
import java.util.List;

/**
 * Settings of the routing engine. Times are durations since the zero of log positions.
 *
 * @param clockStep the shortest time between two updates of the clock
 * @param zone the availability zone of this router
 * @param connectTimeout the time limit for opening a connection
 * @param maxRetryDelay the longest retry delay that clients honour; zero if no delay can be sent
 * @param maxSubmissions how often one transaction may be submitted to nodes
 * @param probesEnabled whether health checks may be sent
 * @param memberListOnRequest whether the member list is sent only on request
 * @param memberListValidity how long the member list is valid without a new request, if sent only
 *     on request
 * @param nodesRejectStaleReads whether nodes reject reads that they are too far behind for
 * @param unlistedNodesStayOpen whether only draining nodes are closed to new transactions, so that
 *     nodes missing from the list stay open
 * @param initialCapacityShare the share of its full capacity that a node has just after its start
 * @param warmUpTime how long a node takes to reach full capacity after its start
 * @param overloadMultiple the multiple of its capacity that overloads a node that warms up
 * @param overloadTime how long that load must last to overload the node
 * @param probeCost the cost of one health check, in transactions
 * @param routerCount the number of routers that share the nodes
 * @param tenantQuotas the transactions per second, over all routers, in each tenant's share
 */
public record RoutingSettings(
        Duration clockStep,
        int zone,
        Duration connectTimeout,
        Duration maxRetryDelay,
        int maxSubmissions,
        boolean probesEnabled,
        boolean memberListOnRequest,
        Duration memberListValidity,
        boolean nodesRejectStaleReads,
        boolean unlistedNodesStayOpen,
        double initialCapacityShare,
        Duration warmUpTime,
        double overloadMultiple,
        Duration overloadTime,
        double probeCost,
        int routerCount,
        List<TransactionType> transactionTypes,
        List<Double> tenantQuotas) {}
