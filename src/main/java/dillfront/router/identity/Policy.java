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
 * @param revokedCredentials ids of credentials that count no more: serials of certificates, ids of
 *     tokens
 * @param keyGracePeriod for how long a key that is no longer among the keys still counts for those
 *     who came by it
 * @param maxStaleness for how long this state stands when it can't be read again
 * @param shares how many txns of each tenant may be out at once
 */
public record Policy(
        Map<String, Principal> principals,
        Set<String> keys,
        Set<String> revokedCredentials,
        Duration keyGracePeriod,
        Duration maxStaleness,
        TenantShares.Limits shares) {

    public static final Policy EMPTY =
            new Policy(
                    Map.of(),
                    Set.of(),
                    Set.of(),
                    Duration.ZERO,
                    Duration.ZERO,
                    TenantShares.Limits.NONE);

    /** Where tenants have no shares. */
    public Policy(
            Map<String, Principal> principals,
            Set<String> keys,
            Set<String> revoked,
            Duration overlap,
            Duration holds) {
        this(principals, keys, revoked, overlap, holds, TenantShares.Limits.NONE);
    }

    public Policy {
        principals = Map.copyOf(principals);
        keys = Set.copyOf(keys);
        revokedCredentials = Set.copyOf(revokedCredentials);
    }
}
