package dillfront.routing.api;

import java.time.Duration;
import java.util.List;

/**
 * What an instance is told at its start. Times count from the zero of positions.
 *
 * @param clockStep the shortest time between two calls of the clock
 * @param zone where this router stands
 * @param connectTimeout a connection not up within this is given up
 * @param maxRetryDelay the longest come-back time that a client heeds; zero where none can be given
 * @param memberListOnRequest the member list comes only when asked for
 * @param memberListValidity where it is asked for: how long an unasked list counts as told
 * @param unlistedNodesStayOpen only a node listed as draining is closed to new txns; one gone from
 *     the list is not
 * @param tenantQuotas txns a second, over all routers, within each tenant's share
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
