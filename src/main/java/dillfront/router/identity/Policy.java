package dillfront.router.identity;

import java.time.Duration;
import java.util.Map;
import java.util.Set;

/**
 * An immutable snapshot of the access policy from one read of the operator's files.
 *
 * @param principals by name
 * @param keys ids of the valid signing keys and certificate issuers
 * @param revoked ids of revoked credentials: serial numbers of certificates, ids of tokens
 * @param overlap grace period in which a retired key is still valid for sessions that it opened
 * @param holds how long the policy stays in force while the files cannot be read
 * @param shares bounds on the transactions in flight of each tenant
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

    /** A policy without tenant shares. */
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
