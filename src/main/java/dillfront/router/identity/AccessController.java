package dillfront.router.identity;

import static dillfront.routing.api.Durations.toSeconds;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Who is in, and what of his txns may be taken. One for a router. A change of the policy raises its
 * epoch; each session looks at the epoch before each txn, so that a change is felt at the very next
 * one, and costs the others one comparison. What was taken is none of its business any more: a
 * revocation ends a session, never a txn.
 *
 * <p>Pure: times are spans since the start, Unix times come with the credentials. The table of keys
 * that have ended holds as many as have in one overlap; that of use, the principals of the policy.
 */
public final class AccessController {

    /** What one principal uses. */
    private static final class PrincipalUsage {
        int inFlight;
        double rateTokens;
        Duration refilledAt = Duration.ZERO;
        int sessions;
    }

    /** A principal may be ahead by what its rate gives in this time, or by one txn. */
    private static final Duration RATE_BURST = Duration.ofSeconds(1);

    private Policy policy = Policy.EMPTY;
    private long epoch;
    private Duration now = Duration.ZERO;
    private Duration unixNow = Duration.ZERO;
    private Duration policyReadAt = Duration.ZERO;
    private boolean policyUnreadable;

    /** Keys that count for those who are in, until then. */
    private final Map<String, Duration> retiredKeys = new HashMap<>();

    private final Map<String, PrincipalUsage> usageByPrincipal = new HashMap<>();
    private final TenantShares shares = new TenantShares();

    /**
     * @param unixTime Unix time, for what credentials say of their own
     */
    public void updateTime(Duration monotonicTime, Duration unixTime) {
        now = monotonicTime;
        unixNow = unixTime;
        shares.updateTime(now);
    }

    /** The files were read: this holds from now on. */
    public void replacePolicy(Policy next) {
        for (String key : policy.keys()) {
            if (!next.keys().contains(key)) {
                // By the overlap that was in force when it ended, or the new one where that is
                // shorter.
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

    /** They could not be read, or made no sense: what was read last stands for its time. */
    public void markPolicyUnreadable() {
        policyReadAt = policyUnreadable ? policyReadAt : now;
        policyUnreadable = true;
    }

    /**
     * The last good state is too old to let anybody new in. Guards against a file that is lost and
     * nobody notices.
     */
    public boolean isStale() {
        return policy == Policy.EMPTY
                || policyUnreadable && now.compareTo(policyReadAt.plus(policy.maxStaleness())) > 0;
    }

    public long epoch() {
        return epoch;
    }

    /**
     * Whether a token or certificate by this key may begin a session now: keys that end only serve
     * those who are in.
     */
    public boolean acceptsKey(String key) {
        Duration until = retiredKeys.get(key);
        return policy.keys().contains(key) || until != null && now.compareTo(until) < 0;
    }

    /**
     * What a credential says, found right by whoever checked its signature. Times are Unix times.
     */
    public record Credential(
            String principal, String key, String id, Duration notBefore, Duration expires) {}

    /** Lets someone in, or says why not. */
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

    /** Someone who is in. Each txn that was taken ends by done(); the session by leave(). */
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
         * Null where it still stands; asked before each txn, and by whoever closes idle sessions.
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

        /** The tenant for the decisions' quotas. */
        public int tenant() {
            return principal == null ? -1 : principal.tenant();
        }

        /**
         * Whether this txn may be taken now; if so it counts as out until done(). The wait after
         * BUSY is told by comeBack().
         *
         * @return null where it may
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

        /** One txn of a session at a time: its tenant is remembered until it is done. */
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

        /** After BUSY: when it is worth coming back. */
        public Duration retryDelay() {
            if (principal.transactionsPerSecond() <= 0) {
                return Duration.ZERO;
            }
            double missing = Math.max(0, 1 - usage.rateTokens);
            return Duration.ofNanos((long) (missing / principal.transactionsPerSecond() * 1e9));
        }

        /** Which rule has decided; for the record of a denial. */
        public String decidingRule(int type, boolean write, int group, KeyBytes key) {
            return principal.rights().decidingRule(type, write, group, key);
        }

        /** A txn that was taken has its final answer, or its client is gone. */
        public void release() {
            usage.inFlight--;
            shares.release(admittedTenant);
        }

        /** The client's connection is gone. */
        public void close() {
            usage.sessions--;
            if (usage.sessions == 0
                    && usage.inFlight == 0
                    && !policy.principals().containsKey(credential.principal)) {
                usageByPrincipal.remove(credential.principal);
            }
        }
    }

    /** Rows of use: the principals of the policy that came, and those who are still in. */
    public int usageCount() {
        return usageByPrincipal.size();
    }
}
