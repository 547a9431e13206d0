package dillfront.router.identity;

import java.time.Duration;
import java.util.Map;
import java.util.Set;

/**
 * An immutable snapshot of the access policy from one read of the operator's files.
 *
 * @param principals by name
 * @param keys ids of the valid signing keys and certificate issuers
 * @param revokedCredentials ids of revoked credentials: serial numbers of certificates, ids of
 *     tokens
 * @param keyGracePeriod grace period in which a retired key is still accepted
 * @param maxStaleness how long the policy stays in force while the files cannot be read
 * @param shares bounds on the transactions in flight of each tenant
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

    /** A policy without tenant shares. */
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
