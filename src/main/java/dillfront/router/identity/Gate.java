package dillfront.router.identity;

import static dillfront.routing.api.Spans.seconds;

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
public final class Gate {

    /** Transactions and sessions of one principal. */
    private static final class Use {
        int out;
        double allowance;
        Duration filledAt = Duration.ZERO;
        int sessions;
    }

    /** The burst of a rate limit is what the rate yields in this time, at least one transaction. */
    private static final Duration AHEAD = Duration.ofSeconds(1);

    private Policy policy = Policy.NOBODY;
    private long epoch;
    private Duration now = Duration.ZERO;
    private Duration unix = Duration.ZERO;
    private Duration readAt = Duration.ZERO;
    private boolean failing;

    /** Retired keys, and until when they are valid for the sessions that they opened. */
    private final Map<String, Duration> ending = new HashMap<>();

    private final Map<String, Use> uses = new HashMap<>();
    private final Shares shares = new Shares();

    /**
     * @param here Unix time, against which the validity of credentials is checked
     */
    public void at(Duration clock, Duration here) {
        now = clock;
        unix = here;
        shares.at(now);
    }

    /** Replaces the policy after the operator's files were read. */
    public void read(Policy next) {
        for (String key : policy.keys()) {
            if (!next.keys().contains(key)) {
                // The shorter of the grace period in force when the key was retired and the new
                // one.
                Duration overlap =
                        next.overlap().compareTo(policy.overlap()) < 0
                                ? next.overlap()
                                : policy.overlap();
                ending.putIfAbsent(key, now.plus(overlap));
            }
        }
        ending.keySet().removeAll(next.keys());
        ending.values().removeIf(until -> until.compareTo(now) <= 0);
        policy = next;
        shares.set(next.shares());
        readAt = now;
        failing = false;
        epoch++;
        for (Iterator<Map.Entry<String, Use>> each = uses.entrySet().iterator(); each.hasNext(); ) {
            Map.Entry<String, Use> one = each.next();
            if (!policy.principals().containsKey(one.getKey())
                    && one.getValue().out == 0
                    && one.getValue().sessions == 0) {
                each.remove();
            }
        }
    }

    /** Keeps the last valid policy, for at most its staleness bound, after a failed read. */
    public void unreadable() {
        readAt = failing ? readAt : now;
        failing = true;
    }

    /**
     * Returns whether the last valid policy is too old to open new sessions. The bound keeps a
     * router from running on an old policy after a file was lost unnoticed.
     */
    public boolean stale() {
        return policy == Policy.NOBODY || failing && now.compareTo(readAt.plus(policy.holds())) > 0;
    }

    public long epoch() {
        return epoch;
    }

    /** Returns whether a token or certificate signed by this key is valid now. */
    public boolean honours(String key) {
        Duration until = ending.get(key);
        return policy.keys().contains(key) || until != null && now.compareTo(until) < 0;
    }

    /** The claims of a credential whose signature was verified by the caller; Unix times. */
    public record Credential(
            String principal, String key, String id, Duration notBefore, Duration expires) {}

    /** Opens a session, or returns the {@link Refusal}. */
    public Object enter(Credential credential) {
        if (stale()) {
            return Refusal.STALE;
        }
        Refusal no = standing(credential);
        return no != null ? no : new Session(credential);
    }

    private Refusal standing(Credential c) {
        if (policy.revoked().contains(c.id)) {
            return Refusal.REVOKED;
        }
        if (!honours(c.key)) {
            return Refusal.KEY_ENDED;
        }
        if (unix.compareTo(c.expires) >= 0 || unix.compareTo(c.notBefore) < 0) {
            return Refusal.EXPIRED;
        }
        return policy.principals().containsKey(c.principal) ? null : Refusal.UNKNOWN;
    }

    /**
     * An authenticated session. Each admitted transaction is released by {@link #done}, the session
     * by {@link #leave}.
     */
    public final class Session {

        private final Credential credential;
        private final Use use;
        private Principal principal;
        private long seen = -1;
        private Refusal over;
        private Duration endsAt;
        private int takenFor = -1;

        private Session(Credential credential) {
            this.credential = credential;
            use = uses.computeIfAbsent(credential.principal, k -> new Use());
            use.sessions++;
            look();
        }

        private void look() {
            seen = epoch;
            over = standing(credential);
            principal = over == null ? policy.principals().get(credential.principal) : principal;
            Duration ends = ending.get(credential.key);
            Duration left = credential.expires.minus(unix);
            endsAt = now.plus(left);
            endsAt = ends != null && ends.compareTo(endsAt) < 0 ? ends : endsAt;
        }

        public String name() {
            return credential.principal;
        }

        /**
         * Returns why the session is no longer valid, or null; called before each transaction and
         * by the sweep over idle sessions.
         */
        public Refusal over() {
            if (seen != epoch) {
                look();
            } else if (over == null && now.compareTo(endsAt) >= 0) {
                look();
                over = over == null ? Refusal.EXPIRED : over;
            }
            return over;
        }

        /** Returns the index of the tenant whose quota applies; -1 for none. */
        public int tenant() {
            return principal == null ? -1 : principal.tenant();
        }

        /**
         * Admits one transaction, which counts as in flight until {@link #done}. After BUSY, {@link
         * #comeBack} returns the delay before a retry.
         *
         * @return null for an admitted transaction
         */
        public Refusal take(int type, boolean write, int group, KeyBytes key) {
            Refusal no = over();
            if (no != null) {
                return no;
            }
            if (principal.rights().verdict(type, write, group, key) != Rights.Verdict.ALLOWED) {
                return Refusal.NO_RIGHT;
            }
            if (principal.atOnce() > 0 && use.out >= principal.atOnce()) {
                return Refusal.BUSY;
            }
            boolean rated = principal.rate() > 0;
            if (rated) {
                fill();
            }
            if (rated && use.allowance < 1 || !lends()) {
                return Refusal.BUSY;
            }
            use.allowance -= rated ? 1 : 0;
            use.out++;
            return null;
        }

        /**
         * Takes one of the tenant's share. A session has one transaction at a time, whose tenant is
         * kept until its release even if the policy changes.
         */
        private boolean lends() {
            boolean may = shares.take(principal.tenant());
            takenFor = may ? principal.tenant() : takenFor;
            return may;
        }

        private void fill() {
            double most = Math.max(1, principal.rate() * seconds(AHEAD));
            double seconds =
                    use.filledAt.isZero()
                            ? most / principal.rate()
                            : seconds(now.minus(use.filledAt));
            use.allowance = Math.min(most, use.allowance + seconds * principal.rate());
            use.filledAt = now;
        }

        /** Returns the delay after BUSY until the rate limit admits a transaction. */
        public Duration comeBack() {
            if (principal.rate() <= 0) {
                return Duration.ZERO;
            }
            double missing = Math.max(0, 1 - use.allowance);
            return Duration.ofNanos((long) (missing / principal.rate() * 1e9));
        }

        /** Returns the rule that decides this access, for the log line of a denial. */
        public String cause(int type, boolean write, int group, KeyBytes key) {
            return principal.rights().cause(type, write, group, key);
        }

        /** Releases an admitted transaction that was answered, or whose client disconnected. */
        public void done() {
            use.out--;
            shares.done(takenFor);
        }

        /** Ends the session when its client connection has closed. */
        public void leave() {
            use.sessions--;
            if (use.sessions == 0
                    && use.out == 0
                    && !policy.principals().containsKey(credential.principal)) {
                uses.remove(credential.principal);
            }
        }
    }

    /** Returns the number of principals in the usage table. */
    public int used() {
        return uses.size();
    }
}
