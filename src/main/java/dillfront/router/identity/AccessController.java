package dillfront.router.identity;

import static dillfront.routing.api.Durations.toSeconds;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Authenticates the sessions of one router and admits their transactions under the current policy.
 * Each change of the policy raises the epoch; a session compares epochs before each transaction, so
 * that a change applies to the next transaction and an unchanged policy costs one comparison. A
 * revocation ends a session, never an admitted transaction.
 *
 * <p>The class reads no clock: times are durations since the start, and credentials carry Unix
 * times. The table of retired keys is bounded by the keys that are retired within one grace period,
 * the usage table by the principals of the policy and of the open sessions.
 */
public final class AccessController {

    /** Transactions and sessions of one principal. */
    private static final class PrincipalUsage {
        int inFlight;
        double rateTokens;
        Duration refilledAt = Duration.ZERO;
        int sessions;
    }

    /** The burst of a rate limit is what the rate yields in this time, at least one transaction. */
    private static final Duration RATE_BURST = Duration.ofSeconds(1);

    private Policy policy = Policy.EMPTY;
    private long epoch;
    private Duration now = Duration.ZERO;
    private Duration unixNow = Duration.ZERO;
    private Duration policyReadAt = Duration.ZERO;
    private boolean policyUnreadable;

    /** Retired keys, and the end of the grace period in which they are still accepted. */
    private final Map<String, Duration> retiredKeys = new HashMap<>();

    private final Map<String, PrincipalUsage> usageByPrincipal = new HashMap<>();
    private final TenantShares shares = new TenantShares();

    /**
     * @param unixTime Unix time, against which the validity of credentials is checked
     */
    public void updateTime(Duration monotonicTime, Duration unixTime) {
        now = monotonicTime;
        unixNow = unixTime;
        shares.updateTime(now);
    }

    /** Replaces the policy after the operator's files were read. */
    public void replacePolicy(Policy next) {
        for (String key : policy.keys()) {
            if (!next.keys().contains(key)) {
                // The shorter of the grace period in force when the key was retired and the new
                // one.
                Duration overlap =
                        next.keyGracePeriod().compareTo(policy.keyGracePeriod()) < 0
                                ? next.keyGracePeriod()
                                : policy.keyGracePeriod();
                retiredKeys.putIfAbsent(key, now.plus(overlap));
            }
        }
        retiredKeys.keySet().removeAll(next.keys());
        retiredKeys.values().removeIf(until -> until.compareTo(now) <= 0);
        policy = next;
        shares.configure(next.shares());
        policyReadAt = now;
        policyUnreadable = false;
        epoch++;
        for (Iterator<Map.Entry<String, PrincipalUsage>> iterator =
                        usageByPrincipal.entrySet().iterator();
                iterator.hasNext(); ) {
            Map.Entry<String, PrincipalUsage> entry = iterator.next();
            if (!policy.principals().containsKey(entry.getKey())
                    && entry.getValue().inFlight == 0
                    && entry.getValue().sessions == 0) {
                iterator.remove();
            }
        }
    }

    /** Keeps the last valid policy, for at most its staleness bound, after a failed read. */
    public void markPolicyUnreadable() {
        policyReadAt = policyUnreadable ? policyReadAt : now;
        policyUnreadable = true;
    }

    /**
     * Returns whether the last valid policy is too old to open new sessions. The bound keeps a
     * router from running on an old policy after a file was lost unnoticed.
     */
    public boolean isStale() {
        return policy == Policy.EMPTY
                || policyUnreadable && now.compareTo(policyReadAt.plus(policy.maxStaleness())) > 0;
    }

    public long epoch() {
        return epoch;
    }

    /** Returns whether a token or certificate signed by this key is valid now. */
    public boolean acceptsKey(String key) {
        Duration until = retiredKeys.get(key);
        return policy.keys().contains(key) || until != null && now.compareTo(until) < 0;
    }

    /** The claims of a credential whose signature was verified by the caller; Unix times. */
    public record Credential(
            String principal, String key, String id, Duration notBefore, Duration expires) {}

    /** Opens a session, or returns the {@link Refusal}. */
    public Object openSession(Credential credential) {
        if (isStale()) {
            return Refusal.STALE;
        }
        Refusal refusal = validate(credential);
        return refusal != null ? refusal : new Session(credential);
    }

    private Refusal validate(Credential credential) {
        if (policy.revokedCredentials().contains(credential.id)) {
            return Refusal.REVOKED;
        }
        if (!acceptsKey(credential.key)) {
            return Refusal.KEY_ENDED;
        }
        if (unixNow.compareTo(credential.expires) >= 0
                || unixNow.compareTo(credential.notBefore) < 0) {
            return Refusal.EXPIRED;
        }
        return policy.principals().containsKey(credential.principal) ? null : Refusal.UNKNOWN;
    }

    /**
     * An authenticated session. Each admitted transaction is released by {@link #release}, the
     * session by {@link #close}.
     */
    public final class Session {

        private final Credential credential;
        private final PrincipalUsage usage;
        private Principal principal;
        private long validatedEpoch = -1;
        private Refusal refusal;
        private Duration validUntil;
        private int admittedTenant = -1;

        private Session(Credential credential) {
            this.credential = credential;
            usage =
                    usageByPrincipal.computeIfAbsent(
                            credential.principal, k -> new PrincipalUsage());
            usage.sessions++;
            revalidate();
        }

        private void revalidate() {
            validatedEpoch = epoch;
            refusal = validate(credential);
            principal = refusal == null ? policy.principals().get(credential.principal) : principal;
            Duration keyExpiry = retiredKeys.get(credential.key);
            Duration remaining = credential.expires.minus(unixNow);
            validUntil = now.plus(remaining);
            validUntil =
                    keyExpiry != null && keyExpiry.compareTo(validUntil) < 0
                            ? keyExpiry
                            : validUntil;
        }

        public String principalName() {
            return credential.principal;
        }

        /**
         * Returns why the session is no longer valid, or null; called before each transaction and
         * by the sweep over idle sessions.
         */
        public Refusal refusal() {
            if (validatedEpoch != epoch) {
                revalidate();
            } else if (refusal == null && now.compareTo(validUntil) >= 0) {
                revalidate();
                refusal = refusal == null ? Refusal.EXPIRED : refusal;
            }
            return refusal;
        }

        /** Returns the index of the tenant whose quota applies; -1 for none. */
        public int tenant() {
            return principal == null ? -1 : principal.tenant();
        }

        /**
         * Admits one transaction, which counts as in flight until {@link #release}. After BUSY,
         * {@link #retryDelay} returns the delay before a retry.
         *
         * @return null for an admitted transaction
         */
        public Refusal admit(int type, boolean write, int group, KeyBytes key) {
            Refusal current = refusal();
            if (current != null) {
                return current;
            }
            if (principal.rights().verdict(type, write, group, key) != Rights.Verdict.ALLOWED) {
                return Refusal.NO_RIGHT;
            }
            if (principal.maxInFlight() > 0 && usage.inFlight >= principal.maxInFlight()) {
                return Refusal.BUSY;
            }
            boolean rateLimited = principal.transactionsPerSecond() > 0;
            if (rateLimited) {
                refillRateTokens();
            }
            if (rateLimited && usage.rateTokens < 1 || !acquireShare()) {
                return Refusal.BUSY;
            }
            usage.rateTokens -= rateLimited ? 1 : 0;
            usage.inFlight++;
            return null;
        }

        /**
         * Takes one of the tenant's share. A session has one transaction at a time, whose tenant is
         * kept until its release even if the policy changes.
         */
        private boolean acquireShare() {
            boolean acquired = shares.tryAcquire(principal.tenant());
            admittedTenant = acquired ? principal.tenant() : admittedTenant;
            return acquired;
        }

        private void refillRateTokens() {
            double burst = Math.max(1, principal.transactionsPerSecond() * toSeconds(RATE_BURST));
            double elapsedSeconds =
                    usage.refilledAt.isZero()
                            ? burst / principal.transactionsPerSecond()
                            : toSeconds(now.minus(usage.refilledAt));
            usage.rateTokens =
                    Math.min(
                            burst,
                            usage.rateTokens + elapsedSeconds * principal.transactionsPerSecond());
            usage.refilledAt = now;
        }

        /** Returns the delay after BUSY until the rate limit admits a transaction. */
        public Duration retryDelay() {
            if (principal.transactionsPerSecond() <= 0) {
                return Duration.ZERO;
            }
            double missing = Math.max(0, 1 - usage.rateTokens);
            return Duration.ofNanos((long) (missing / principal.transactionsPerSecond() * 1e9));
        }

        /** Returns the rule that decides this access, for the log line of a denial. */
        public String decidingRule(int type, boolean write, int group, KeyBytes key) {
            return principal.rights().decidingRule(type, write, group, key);
        }

        /** Releases an admitted transaction that was answered, or whose client disconnected. */
        public void release() {
            usage.inFlight--;
            shares.release(admittedTenant);
        }

        /** Ends the session when its client connection has closed. */
        public void close() {
            usage.sessions--;
            if (usage.sessions == 0
                    && usage.inFlight == 0
                    && !policy.principals().containsKey(credential.principal)) {
                usageByPrincipal.remove(credential.principal);
            }
        }
    }

    /** Returns the number of principals in the usage table. */
    public int usageCount() {
        return usageByPrincipal.size();
    }
}
