package dillfront.router.identity;

import java.time.Duration;
import java.util.Map;
import java.util.Set;

/**
 * All that is known of who may do what, as one reading of the operator's files gave it; never
 * changed, only replaced.
 *
 * @param principals by name
 * @param keys ids of the signing keys and certificates' issuers that count now
 * @param revoked ids of credentials that count no more: serials of certificates, ids of tokens
 * @param overlap for how long a key that is no longer among the keys still counts for those who
 *     came by it
 * @param holds for how long this state stands when it can't be read again
 * @param shares how many txns of each tenant may be out at once
 */
public record Policy(
        Map<String, Principal> principals,
        Set<String> keys,
        Set<String> revoked,
        Duration overlap,
        Duration holds,
        Shares.Setting shares) {

    public static final Policy NOBODY =
            new Policy(
                    Map.of(),
                    Set.of(),
                    Set.of(),
                    Duration.ZERO,
                    Duration.ZERO,
                    Shares.Setting.NONE);

    /** Where tenants have no shares. */
    public Policy(
            Map<String, Principal> principals,
            Set<String> keys,
            Set<String> revoked,
            Duration overlap,
            Duration holds) {
        this(principals, keys, revoked, overlap, holds, Shares.Setting.NONE);
    }

    public Policy {
        principals = Map.copyOf(principals);
        keys = Set.copyOf(keys);
        revoked = Set.copyOf(revoked);
    }
}
