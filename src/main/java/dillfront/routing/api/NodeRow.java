package dillfront.routing.api;

import java.time.Duration;

/**
 * One node of the member list.
 *
 * @param group the replication group of the node
 * @param size the node's capacity relative to a node of size 1
 * @param primary whether the list names the node as its group's primary
 * @param started when the node last started; null if that is long ago
 */
public record NodeRow(
        int node,
        int group,
        int zone,
        double size,
        boolean primary,
        Duration started,
        MemberState standing) {}
