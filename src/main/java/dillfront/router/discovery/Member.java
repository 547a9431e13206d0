package dillfront.router.discovery;

import dillfront.routing.api.NodeRow;
import java.net.InetSocketAddress;

/**
 * One member list entry: an id that is the same for all routers, the row for the routing engine,
 * and the node's address.
 */
public record Member(String id, NodeRow row, InetSocketAddress address, long startedMs) {}
