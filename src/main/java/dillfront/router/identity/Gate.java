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
public final class Gate {

    /** What one principal uses. */
    private static final class Use {
        int out;
        double allowance;
        Duration filledAt = Duration.ZERO;
        int sessions;
    }

    /** A principal may be ahead by what its rate gives in this time, or by one txn. */
    private static final Duration AHEAD = Duration.ofSeconds(1);

    private Policy policy = Policy.NOBODY;
    private long epoch;
    private Duration now = Duration.ZERO;
    private Duration unix = Duration.ZERO;
    private Duration readAt = Duration.ZERO;
    private boolean failing;

    /** Keys that count for those who are in, until then. */
    private final Map<String, Duration> ending = new HashMap<>();

    private final Map<String, Use> uses = new HashMap<>();
    private final Shares shares = new Shares();

    /**
     * @param here Unix time, for what credentials say of their own
     */
    public void at(Duration clock, Duration here) {
        now = clock;
        unix = here;
        shares.at(now);
    }

    /** The files were read: this holds from now on. */
    public void read(Policy next) {
        for (String key : policy.keys()) {
            if (!next.keys().contains(key)) {
                // By the overlap that was in force when it ended, or the new one where that is
                // shorter.
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

    /** They could not be read, or made no sense: what was read last stands for its time. */
    public void unreadable() {
        readAt = failing ? readAt : now;
        failing = true;
    }

    /**
     * The last good state is too old to let anybody new in. Guards against a file that is lost and
     * nobody notices.
     */
    public boolean stale() {
        return policy == Policy.NOBODY || failing && now.compareTo(readAt.plus(policy.holds())) > 0;
    }

    public long epoch() {
        return epoch;
    }

    /**
     * Whether a token or certificate by this key may begin a session now: keys that end only serve
     * those who are in.
     */
    public boolean honours(String key) {
        Duration until = ending.get(key);
        return policy.keys().contains(key) || until != null && now.compareTo(until) < 0;
    }

    /**
     * What a credential says, found right by whoever checked its signature. Times are Unix times.
     */
    public record Credential(
            String principal, String key, String id, Duration notBefore, Duration expires) {}

    /** Lets someone in, or says why not. */
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

    /** Someone who is in. Each txn that was taken ends by done(); the session by leave(). */
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
         * Null where it still stands; asked before each txn, and by whoever closes idle sessions.
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

        /** One txn of a session at a time: its tenant is remembered until it is done. */
        private boolean lends() {
            boolean may = shares.take(principal.tenant());
            takenFor = may ? principal.tenant() : takenFor;
            return may;
        }

        private void fill() {
            double most = Math.max(1, principal.rate() * toSeconds(AHEAD));
            double seconds =
                    use.filledAt.isZero()
                            ? most / principal.rate()
                            : toSeconds(now.minus(use.filledAt));
            use.allowance = Math.min(most, use.allowance + seconds * principal.rate());
            use.filledAt = now;
        }

        /** After BUSY: when it is worth coming back. */
        public Duration comeBack() {
            if (principal.rate() <= 0) {
                return Duration.ZERO;
            }
            double missing = Math.max(0, 1 - use.allowance);
            return Duration.ofNanos((long) (missing / principal.rate() * 1e9));
        }

        /** Which rule has decided; for the record of a denial. */
        public String cause(int type, boolean write, int group, KeyBytes key) {
            return principal.rights().cause(type, write, group, key);
        }

        /** A txn that was taken has its final answer, or its client is gone. */
        public void done() {
            use.out--;
            shares.done(takenFor);
        }

        /** The client's connection is gone. */
        public void leave() {
            use.sessions--;
            if (use.sessions == 0
                    && use.out == 0
                    && !policy.principals().containsKey(credential.principal)) {
                uses.remove(credential.principal);
            }
        }
    }

    /** Rows of use: the principals of the policy that came, and those who are still in. */
    public int used() {
        return uses.size();
    }
}
