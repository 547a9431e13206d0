package dillfront.controlplane.lease;

import dillfront.controlplane.ControlNode;
import dillfront.controlplane.consensus.ReplicatedRegister;
import dillfront.controlplane.consensus.SafetyRule;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * Who does the duty. A number is promised to one process by each voter, on its disk before it says
 * so, so a majority's promise makes it that one's alone for ever; it is also the fencing token. Its
 * upper part is the epoch of the set of members under which it was asked for, so that no two sets
 * give out the same. A process asks for a number in one life, for one time, and once it is on its
 * disk. What it gave up without having held it binds nobody: numbers of holders rise, those of
 * candidates need not. The holder counts its time from before it asked, each voter from when it
 * promised: the holder's ends first.
 */
public final class LeaseManager {

    /** What it needs of the process that it is part of, which knows others as these. */
    public interface Context<V extends Voter> extends ReplicatedRegister.Context {

        /** The number of the set of members that it goes by. */
        long epoch();

        boolean isMember(String id);

        boolean isVoter();

        /** No majority has answered it of late. */
        boolean isIsolated();

        /** Its place among the members. */
        int memberRank();

        /** For how long its disk has done nothing, with work to do. */
        long diskStalledMillis();

        Iterable<V> peers();

        /** The latest moment that a majority of each set in force has reached. */
        long quorumReached(long itself, ToLongFunction<? super V> moment);
    }

    /** Another process, as its last message told of it. */
    public interface Voter {

        String id();

        long epoch();

        long promisedNumber();

        String promisedTo();

        /**
         * This one's clock when it sent the last message that the promise was given for or held on.
         */
        long grantedAtMillis();

        /** The number that it wants or holds itself; 0 for none. */
        long requestedNumber();

        /** This one's clock when it was heard last. */
        long lastContactMillis();

        /** As {@link LeaseManager#formerLeaseEndMillis}, by its last message. */
        long formerLeaseEndMillis();
    }

    static final long DURATION_MS = 2_500;

    /** Bits for the numbers within an epoch. */
    public static final int NUMBER_BITS = 20;

    private static final long HOLDER_MARGIN_MS = 250;
    private static final long STAGGER_MS = 250;

    /** A holder whose disk has done nothing for so long leaves the duty to others. */
    private static final long MAX_DISK_STALL_MS = 1_000;

    public static final long NEVER = Long.MIN_VALUE / 2;

    private final Context<?> context;

    /** What this process promised, as it is on its disk. */
    private long promisedNumber;

    private String promisedTo = "";
    private long promisedUntilMillis;

    /**
     * Until when the one that has the promise may have said that its lease runs, however soon that
     * ended; and so of all promises before.
     */
    private long currentLeaseEndMillis = NEVER;

    private long formerLeaseEndMillis = NEVER;

    /** The clock of the one that has the promise, in the last message of it that was granted. */
    private long grantedAtMillis = NEVER;

    /** No number up to this is promised any more: some process may have held it. On the disk. */
    private long promiseFloor;

    /** The one that has the promise said that it never held that number, and never will. */
    private boolean promiseNeverHeld;

    /** The highest number that it ever asked for, in any life. On the disk. */
    private long lastRequestedNumber;

    /** What it wants or holds itself; 0 for nothing. */
    private long ownNumber;

    /** The number that it held last in this life. */
    private long lastHeldNumber;

    /** The epoch under which it was held last. */
    private long lastHeldEpoch;

    private boolean persisting;
    private long requestAtMillis;
    private boolean resigning;

    /** The last number that it asked for and gave up; it never asks for it again. */
    private long abandonedNumber;

    public LeaseManager(Context<?> core) {
        this.context = core;
    }

    /** Restores what the disk holds; what was promised may still be in use. */
    public void restore(Map<String, String> kept) {
        promisedNumber = Long.parseLong(kept.getOrDefault("promised", "0"));
        promisedTo = kept.getOrDefault("promised-to", "");
        promiseFloor =
                Long.parseLong(kept.getOrDefault("promised-above", Long.toString(promisedNumber)));
        lastRequestedNumber =
                Long.parseLong(
                        kept.getOrDefault(
                                "asked",
                                promisedTo.equals(context.selfId())
                                        ? Long.toString(promisedNumber)
                                        : "0"));
        // What ran when this process ended may still run, but for its own: that ended with it.
        boolean runs =
                promisedNumber > 0
                        && !promisedTo.equals(context.selfId())
                        && !context.isDisabled(SafetyRule.LEASE_AFTER_START);
        promisedUntilMillis = context.nowMillis() + (runs ? DURATION_MS : 0);
        requestAtMillis = promisedUntilMillis;
        if (promisedNumber > 0) {
            currentLeaseEndMillis = context.nowMillis() + DURATION_MS;
            formerLeaseEndMillis = currentLeaseEndMillis;
        }
    }

    public long promisedNumber() {
        return promisedNumber;
    }

    /** The id of the process that has this voter's promise. */
    public String promisedTo() {
        return promisedTo;
    }

    public long grantedAtMillis() {
        return grantedAtMillis;
    }

    /** What it asks of others: on its disk by then, so it asks for that in no later life. */
    public long requestedNumber() {
        return promisedNumber == ownNumber && promisedTo.equals(context.selfId()) ? ownNumber : 0;
    }

    /** The number of the lease, which is the fencing token's upper part. */
    public long number() {
        return ownNumber;
    }

    /**
     * Another wants this number, or goes on with it. What comes under an older epoch counts for
     * nothing.
     *
     * @param asked its clock when it asked
     */
    public void onRequest(Voter p, long number, long asked) {
        boolean turns = persisting && !context.isDisabled(SafetyRule.LEASE_TURNS);
        boolean late = p.epoch() < context.epoch() && !context.isDisabled(SafetyRule.OLDER_EPOCHS);
        if (!context.isVoter() || turns || number <= 0 || late || !context.isMember(p.id())) {
            // Also what is promised to it no longer runs on while another's promise is on its way
            // to the disk.
            return;
        }
        long now = context.nowMillis();
        if (number == promisedNumber && p.id().equals(promisedTo)) {
            promisedUntilMillis = now + DURATION_MS;
            currentLeaseEndMillis = promisedUntilMillis;
            grantedAtMillis = Math.max(grantedAtMillis, asked);
            promiseNeverHeld = false;
        } else if (!persisting
                && number > (promiseBinds() ? promisedNumber : promiseFloor)
                && (now >= promisedUntilMillis
                        || p.id().equals(promisedTo)
                        || promisedTo.equals(context.selfId()) && !isHeld()
                        || context.isDisabled(SafetyRule.LEASE_PROMISE_STANDS))) {
            // What was promised to oneself and came to nothing binds nobody else: candidates of one
            // moment would wait for each other for ever.
            promise(number, p.id(), asked);
        }
    }

    /** Whether the number that is promised here may have been held, or may yet be. */
    private boolean promiseBinds() {
        if (!promisedTo.equals(context.selfId())) {
            return !promiseNeverHeld;
        }
        return promisedNumber == ownNumber
                || promisedNumber != abandonedNumber
                || promisedNumber == lastHeldNumber
                        && !context.isDisabled(SafetyRule.LEASE_NEVER_HELD);
    }

    /**
     * The one that has the promise gives it back before its time, be it that it held the lease by
     * it or never did.
     */
    public void onRelease(Voter p, long number, boolean wasHeld) {
        if (number == 0 || number != promisedNumber || !p.id().equals(promisedTo)) {
            return;
        }
        promiseNeverHeld |= !wasHeld;
        if (promisedUntilMillis > context.nowMillis()) {
            promisedUntilMillis = context.nowMillis();
            requestAtMillis =
                    Math.min(
                            requestAtMillis,
                            promisedUntilMillis + context.memberRank() * STAGGER_MS);
        }
    }

    /** What it asked for and gave up: whoever promised it that is free again; 0 for nothing. */
    public long abandonedNumber() {
        return abandonedNumber;
    }

    /** Whether it held the lease by that. */
    public boolean abandonedWasHeld() {
        return abandonedNumber == lastHeldNumber;
    }

    private void abandon() {
        abandonedNumber = Math.max(abandonedNumber, requestedNumber());
        ownNumber = 0;
    }

    /**
     * Whether a majority is bound to another, which is heard and goes on with it. To ask then is in
     * vain, and each number that is asked for keeps this voter from that one.
     */
    private boolean anotherIsElected() {
        long from = context.nowMillis() - ControlNode.TOUCH_MS;
        for (Voter p : context.peers()) {
            if (p.requestedNumber() > 0
                    && p.lastContactMillis() > from
                    && context.quorumReached(
                                    promisedTo(promisedNumber, promisedTo, p)
                                            ? context.nowMillis()
                                            : NEVER,
                                    v ->
                                            promisedTo(v.promisedNumber(), v.promisedTo(), p)
                                                    ? v.lastContactMillis()
                                                    : NEVER)
                            > from) {
                return true;
            }
        }
        return false;
    }

    private static boolean promisedTo(long number, String to, Voter p) {
        return number == p.requestedNumber() && to.equals(p.id());
    }

    private void promise(long number, String to, long asked) {
        persisting = true;
        promisedUntilMillis = context.nowMillis() + DURATION_MS;
        long above =
                context.isDisabled(SafetyRule.LEASE_NUMBERS_RISE)
                        ? 0
                        : promiseBinds() ? Math.max(promiseFloor, promisedNumber) : promiseFloor;
        context.persist(
                        Map.of(
                                "promised",
                                Long.toString(number),
                                "promised-to",
                                to,
                                "promised-above",
                                Long.toString(above),
                                "asked",
                                Long.toString(lastRequestedNumber)))
                .whenComplete(
                        (done, fault) -> {
                            persisting = false;
                            if (fault == null) {
                                if (!to.equals(context.selfId())) {
                                    // Whoever asked for one himself has lost, or lost it; to go on
                                    // asking would bind those that promised it.
                                    abandon();
                                }
                                promisedNumber = number;
                                promisedTo = to;
                                promiseFloor = above;
                                promiseNeverHeld = false;
                                formerLeaseEndMillis =
                                        Math.max(formerLeaseEndMillis, currentLeaseEndMillis);
                                // One's own counts from when it is held.
                                currentLeaseEndMillis =
                                        to.equals(context.selfId())
                                                ? NEVER
                                                : context.nowMillis() + DURATION_MS;
                                grantedAtMillis = asked;
                                promisedUntilMillis = context.nowMillis() + DURATION_MS;
                                context.broadcast();
                            }
                        });
    }

    /** Until when this process holds it, on its own clock; in the past where it does not. */
    public long validUntilMillis() {
        if (ownNumber == 0
                || promisedNumber != ownNumber
                || !promisedTo.equals(context.selfId())
                || !context.isVoter()) {
            return -1;
        }
        long now = context.nowMillis();
        // Whoever promised is bound for the whole span from when he was asked, also where the set
        // has changed since.
        return context.quorumReached(
                        now,
                        p ->
                                p.promisedNumber() != ownNumber
                                                || !p.promisedTo().equals(context.selfId())
                                        ? NEVER
                                        : context.isDisabled(SafetyRule.LEASE_FROM_ASKED)
                                                ? now
                                                : p.grantedAtMillis())
                + DURATION_MS
                - HOLDER_MARGIN_MS;
    }

    /**
     * Until when those that had this voter's promise before, or that of others by whom this one
     * holds the lease, may have said that theirs runs: it may have been given back sooner, or have
     * ended with its process.
     */
    public long formerLeaseEndMillis() {
        long until = context.isDisabled(SafetyRule.LEASE_FORMER) ? NEVER : formerLeaseEndMillis;
        for (Voter p : context.peers()) {
            boolean counts =
                    promisedNumber == ownNumber
                            && p.promisedNumber() == ownNumber
                            && p.promisedTo().equals(context.selfId());
            until = counts ? Math.max(until, p.formerLeaseEndMillis()) : until;
        }
        return until;
    }

    /** Whether this process holds the lease now. */
    public boolean isHeld() {
        long until = validUntilMillis();
        boolean is = context.nowMillis() < until;
        if (is) {
            lastHeldNumber = ownNumber;
            currentLeaseEndMillis = Math.max(currentLeaseEndMillis, until);
        }
        return is;
    }

    /** From now on it is not wanted here any more. */
    public void resign() {
        resigning = true;
        abandon();
    }

    /** Advances timers: asks for the lease, goes on with it, or gives it up. */
    public void poll() {
        long now = context.nowMillis();
        boolean unfit = resigning || context.diskStalledMillis() > MAX_DISK_STALL_MS;
        if (isHeld() && !unfit) {
            lastHeldEpoch = context.epoch();
            promisedUntilMillis = now + DURATION_MS;
            return;
        }
        if (ownNumber > 0 && ownNumber == lastHeldNumber) {
            // It ended: another number next time, so that whoever saw this one pass is not asked to
            // take it again.
            abandon();
            // Another set is asked at once: nobody else may be promised anything before this one's
            // time is over.
            requestAtMillis = lastHeldEpoch == context.epoch() ? now + DURATION_MS : now;
        }
        if (context.isIsolated() && !persisting) {
            // Whoever hears nobody cannot win, and binds those that hear him.
            abandon();
        }
        if (!context.isVoter() || context.isIsolated() || persisting || unfit) {
            // Whoever had it last goes first: nobody who promised waits for others.
            boolean last = promisedTo.equals(context.selfId()) && !unfit;
            requestAtMillis =
                    Math.max(
                            requestAtMillis,
                            last ? now : now + STAGGER_MS * (1 + context.memberRank()));
            return;
        }
        if (now < promisedUntilMillis && !promisedTo.equals(context.selfId())) {
            requestAtMillis = promisedUntilMillis + context.memberRank() * STAGGER_MS;
            return;
        }
        if (anotherIsElected()) {
            abandon();
            requestAtMillis = Math.max(requestAtMillis, now + context.memberRank() * STAGGER_MS);
            return;
        }
        if (now < requestAtMillis) {
            return;
        }
        abandon();
        long highest =
                Math.max(
                        context.isDisabled(SafetyRule.LEASE_ASKED_ONCE)
                                ? promisedNumber
                                : Math.max(promisedNumber, lastRequestedNumber),
                        context.epoch() << NUMBER_BITS);
        for (Voter p : context.peers()) {
            // What no set that may be in force can have given out is a spoilt message's.
            highest =
                    p.promisedNumber() >> NUMBER_BITS > context.epoch() + 1
                            ? highest
                            : Math.max(highest, p.promisedNumber());
        }
        requestAtMillis = now + 4 * STAGGER_MS + context.randomBelow(STAGGER_MS * 2);
        lastRequestedNumber = highest + 1;
        promise(lastRequestedNumber, context.selfId(), now);
        ownNumber = lastRequestedNumber;
    }
}
