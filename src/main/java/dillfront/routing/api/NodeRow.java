package dillfront.routing.api;

import java.time.Duration;

/**
 * One row of the member list.
 *
 * @param started when it last started; null where that is long ago
 */
public record NodeRow(
        int node,
        int group,
        int zone,
        double size,
        boolean primary,
        Duration started,
        MemberState standing) {}
