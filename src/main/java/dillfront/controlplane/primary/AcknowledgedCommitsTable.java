package dillfront.controlplane.primary;

import dillfront.common.database.AcknowledgedCommits;
import java.util.HashMap;
import java.util.Map;

/** What any data plane ever told of acknowledged commits, here or at another control process. */
public final class AcknowledgedCommitsTable {

    private static final int MAX_SERVICES = 6_000;

    private final Map<String, AcknowledgedCommits> byService = new HashMap<>();

    /** What is known of this service. */
    public AcknowledgedCommits get(String service) {
        return byService.getOrDefault(service, AcknowledgedCommits.NONE);
    }

    /** More is known; services beyond the bound are passed over. */
    public void merge(String service, AcknowledgedCommits commits) {
        boolean fits = byService.size() < MAX_SERVICES || byService.containsKey(service);
        if (fits && !commits.equals(AcknowledgedCommits.NONE)) {
            byService.merge(service, commits, AcknowledgedCommits::merge);
        }
    }
}
