package dillfront.controlplane.primary;

import dillfront.common.database.AcknowledgedCommits;
import java.util.HashMap;
import java.util.Map;

/**
 * Stores, per service, the acknowledged commits that data planes reported to any control process.
 */
public final class AcknowledgedCommitsTable {

    private static final int MAX_SERVICES = 6_000;

    private final Map<String, AcknowledgedCommits> byService = new HashMap<>();

    /** Returns the known acknowledged commits of the service. */
    public AcknowledgedCommits get(String service) {
        return byService.getOrDefault(service, AcknowledgedCommits.NONE);
    }

    /**
     * Merges acknowledged commits into those of the service. Services beyond the limit are ignored.
     */
    public void merge(String service, AcknowledgedCommits commits) {
        boolean fits = byService.size() < MAX_SERVICES || byService.containsKey(service);
        if (fits && !commits.equals(AcknowledgedCommits.NONE)) {
            byService.merge(service, commits, AcknowledgedCommits::merge);
        }
    }
}
