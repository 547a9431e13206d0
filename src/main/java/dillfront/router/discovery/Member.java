package dillfront.router.discovery;

import dillfront.routing.api.NodeRow;
import java.net.InetSocketAddress;

/**
 * One entry of a list: its id, which is the same for all routers, what the module reads of it, and
 * where the node is.
 */
public record Member(String id, NodeRow row, InetSocketAddress address, long startedMs) {}
