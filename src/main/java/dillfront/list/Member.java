package dillfront.list;

import dillfront.port.NodeRow;
import java.net.InetSocketAddress;

/** One entry of a list: what the module reads of it, and where the node is. */
public record Member(NodeRow row, InetSocketAddress address, long startedMs) {}
