package dillfront.controlplane.lease;

import dillfront.controlplane.consensus.ReplicatedRegister;
import dillfront.controlplane.consensus.SafetyRule;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * The lease for the one singleton role of the control plane, the failover coordinator.
 *
 * <p>Each member promises a number to one process at a time, on its disk before it says so; a
 * majority's promise makes the number that process's alone for ever, and the upper part of its
 * fencing tokens. The upper bits of a number are the epoch of the members under which it was asked
 * for, so no two sets of members give out the same. A process asks for a number in one incarnation
 * and once. A number that was given up without having been held binds nobody: numbers of holders
 * rise, those of candidates need not.
 *
 * <p>The holder counts its time from before it asked, each member from when it promised, so the
 * holder's ends first. Called on one thread; the clock is the process's own steady one.
 */
public final class LeaseManager {

    /** What the lease needs of the process that it is part of. */
    public interface Context extends ReplicatedRegister.Context {

        /** The epoch of the members that this process goes by; 0 before there are any. */
        long epoch();

        /** Whether this is the id of a member. */
        boolean isMember(String id);

        /** Whether this process is a member. */
        boolean isVoter();

        /** Whether no majority has answered this process of late. */
        boolean isIsolated();

        /** The place of this process among the members, from 0. */
        int memberRank();

        /** For how long the disk has done nothing though there was work for it. */
        long diskStalledMillis();

        /** All peers that are known, members or not. */
        Iterable<? extends Voter> peers();

        /**
         * The highest value of a quantity that a majority of each set of members has reached.
         *
         * @param own the quantity of this process
         */
        long quorumReached(long own, ToLongFunction<Voter> quantity);
    }

    /** A peer, by its last message. */
    public interface Voter {

        /** Empty before the first message. */
        String id();

        /** The epoch of the members that it goes by. */
        long epoch();

        /** What it promised last; 0 for nothing. */
        long promisedNumber();

        /** The id of the process that has its promise. */
        String promisedTo();

        /**
         * The clock of the process that has the promise when that sent the last message by which
         * the promise was given or prolonged.
         */
        long grantedAtMillis();

        /** What it asks for, or holds; 0 for nothing. */
        long requestedNumber();

        /** This process's clock when the last message came. */
        long lastContactMillis();

        /** As {@link LeaseManager#formerLeaseEndMillis}, by its last message. */
        long formerLeaseEndMillis();
    }

    /** How long a promise binds. */
    public static final long DURATION_MS = 2_500;

    /** Bits of a number below the epoch, and of a fencing token below the number. */
    public static final int NUMBER_BITS = 20;

    /** A moment that is earlier than all others. */
    public static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    /** A peer that was silent for so long is taken for gone. */
    public static final long CONTACT_TIMEOUT_MS = 1_300;

    /** The holder's time ends so much earlier than its members' promises. */
    private static final long HOLDER_MARGIN_MS = 250;

    /** Candidates begin one after the other, by their rank. */
    private static final long CANDIDATE_STAGGER_MS = 250;

    /** A holder whose disk has done nothing for so long leaves the role to others. */
    private static final long MAX_DISK_STALL_MS = 1_000;

    private static final String PROMISED = "promised";
    private static final String PROMISED_TO = "promised-to";
    private static final String PROMISED_ABOVE = "promised-above";
    private static final String LAST_REQUESTED = "asked";

    private final Context context;

    // What this process promised, as it is on its disk.
    private long promisedNumber;
    private String promisedTo = "";
    private long promisedUntilMillis;

    /** No number up to this is promised: some process may have held it. On the disk. */
    private long promiseFloor;

    /** The process that has the promise said that it never held that number, and never will. */
    private boolean promiseNeverHeld;

    /** The clock of the process that has the promise, in its last message that was granted. */
    private long grantedAtMillis = NEVER_MILLIS;

    /**
     * Until when the process that has the promise may have said that its lease runs, however soon
     * that ended.
     */
    private long currentLeaseEndMillis = NEVER_MILLIS;

    /** The same of all that had the promise before. */
    private long formerLeaseEndMillis = NEVER_MILLIS;

    private boolean persisting;

    // What this process asks for itself.
    /** What it asks for, or holds; 0 for nothing. */
    private long ownNumber;

    /** The highest number that it ever asked for, in any incarnation. On the disk. */
    private long lastRequestedNumber;

    /** The last number that it asked for and gave up; it never asks for it again. */
    private long abandonedNumber;

    /** The number that it held last in this incarnation, and the epoch then. */
    private long lastHeldNumber;

    private long lastHeldEpoch;
    private long requestAtMillis;
    private boolean resigning;

    public LeaseManager(Context context) {
        this.context = context;
    }

    /**
     * Takes over what the disk holds, at the start. What was promised may still be in use, but for
     * what was promised to this process: that ended with its former incarnation.
     */
    public void restore(Map<String, String> texts) {
        promisedNumber = Long.parseLong(texts.getOrDefault(PROMISED, "0"));
        promisedTo = texts.getOrDefault(PROMISED_TO, "");
        promiseFloor =
                Long.parseLong(texts.getOrDefault(PROMISED_ABOVE, Long.toString(promisedNumber)));
        boolean promisedToSelf = promisedTo.equals(context.selfId());
        lastRequestedNumber =
                Long.parseLong(
                        texts.getOrDefault(
                                LAST_REQUESTED,
                                promisedToSelf ? Long.toString(promisedNumber) : "0"));
        boolean mayBeInUse =
                promisedNumber > 0
                        && !promisedToSelf
                        && !context.isDisabled(SafetyRule.LEASE_AFTER_START);
        promisedUntilMillis = context.nowMillis() + (mayBeInUse ? DURATION_MS : 0);
        requestAtMillis = promisedUntilMillis;
        if (promisedNumber > 0) {
            currentLeaseEndMillis = context.nowMillis() + DURATION_MS;
            formerLeaseEndMillis = currentLeaseEndMillis;
        }
    }

    // ---- queries

    /** What this process promised last; 0 for nothing. */
    public long promisedNumber() {
        return promisedNumber;
    }

    /** The id of the process that has this member's promise. */
    public String promisedTo() {
        return promisedTo;
    }

    /** What it asks of others; on its disk by then, so it asks for that in no later incarnation. */
    public long requestedNumber() {
        return hasOwnPromise() ? ownNumber : 0;
    }

    /** The number of the lease that it asks for or holds; 0 for none. */
    public long number() {
        return ownNumber;
    }

    /** What it asked for and gave up; 0 for nothing. Whoever promised it that is free again. */
    public long abandonedNumber() {
        return abandonedNumber;
    }

    /** Whether it held the lease by the number that it gave up. */
    public boolean abandonedWasHeld() {
        return abandonedNumber == lastHeldNumber;
    }

    /** What this process says of the lease in a message that is sent now. */
    public LeaseMessage message() {
        return new LeaseMessage(
                promisedNumber,
                promisedTo,
                grantedAtMillis,
                Math.max(0, formerLeaseEndMillis() - context.nowMillis()),
                requestedNumber(),
                abandonedNumber,
                abandonedWasHeld());
    }

    private boolean hasOwnPromise() {
        return promisedNumber == ownNumber && promisedTo.equals(context.selfId());
    }

    /** Until when this process holds the lease, by its own clock; -1 where it does not. */
    public long validUntilMillis() {
        if (ownNumber == 0 || !hasOwnPromise() || !context.isVoter()) {
            return -1;
        }
        long now = context.nowMillis();
        // A member that promised is bound for the whole duration from when it was asked, also where
        // the members have changed since.
        long grantedAt = context.quorumReached(now, peer -> grantedToSelfAt(peer, now));
        return grantedAt + DURATION_MS - HOLDER_MARGIN_MS;
    }

    private long grantedToSelfAt(Voter peer, long now) {
        if (peer.promisedNumber() != ownNumber || !peer.promisedTo().equals(context.selfId())) {
            return NEVER_MILLIS;
        }
        return context.isDisabled(SafetyRule.LEASE_FROM_ASKED) ? now : peer.grantedAtMillis();
    }

    /**
     * Until when those that had this member's promise before, or that of others by whom this
     * process holds the lease, may have said that theirs runs: it may have been given back sooner,
     * or have ended with its process.
     */
    public long formerLeaseEndMillis() {
        long end =
                context.isDisabled(SafetyRule.LEASE_FORMER) ? NEVER_MILLIS : formerLeaseEndMillis;
        for (Voter peer : context.peers()) {
            if (promisedNumber == ownNumber
                    && peer.promisedNumber() == ownNumber
                    && peer.promisedTo().equals(context.selfId())) {
                end = Math.max(end, peer.formerLeaseEndMillis());
            }
        }
        return end;
    }

    /** Whether this process holds the lease now. */
    public boolean isHeld() {
        long until = validUntilMillis();
        boolean held = context.nowMillis() < until;
        if (held) {
            lastHeldNumber = ownNumber;
            currentLeaseEndMillis = Math.max(currentLeaseEndMillis, until);
        }
        return held;
    }

    // ---- as a member

    /**
     * A peer asks for this number, or goes on with it. What comes under an older epoch counts for
     * nothing.
     *
     * @param requestedAtMillis the peer's clock when it asked
     */
    public void onRequest(Voter peer, long number, long requestedAtMillis) {
        boolean writePending = persisting && !context.isDisabled(SafetyRule.LEASE_TURNS);
        boolean outdated =
                peer.epoch() < context.epoch() && !context.isDisabled(SafetyRule.OLDER_EPOCHS);
        if (!context.isVoter()
                || writePending
                || number <= 0
                || outdated
                || !context.isMember(peer.id())) {
            // Also what is promised to it no longer runs on while another's promise is on its way
            // to the disk.
            return;
        }
        long now = context.nowMillis();
        if (number == promisedNumber && peer.id().equals(promisedTo)) {
            promisedUntilMillis = now + DURATION_MS;
            currentLeaseEndMillis = promisedUntilMillis;
            grantedAtMillis = Math.max(grantedAtMillis, requestedAtMillis);
            promiseNeverHeld = false;
        } else if (!persisting
                && number > (isPromiseBinding() ? promisedNumber : promiseFloor)
                && mayPromiseTo(peer, now)) {
            promise(number, peer.id(), requestedAtMillis);
        }
    }

    private boolean mayPromiseTo(Voter peer, long now) {
        // What was promised to oneself and came to nothing binds nobody else: candidates of one
        // moment would wait for each other for ever.
        return now >= promisedUntilMillis
                || peer.id().equals(promisedTo)
                || promisedTo.equals(context.selfId()) && !isHeld()
                || context.isDisabled(SafetyRule.LEASE_PROMISE_STANDS);
    }

    /** Whether the number that is promised here may have been held, or may yet be. */
    private boolean isPromiseBinding() {
        if (!promisedTo.equals(context.selfId())) {
            return !promiseNeverHeld;
        }
        return promisedNumber == ownNumber
                || promisedNumber != abandonedNumber
                || promisedNumber == lastHeldNumber
                        && !context.isDisabled(SafetyRule.LEASE_NEVER_HELD);
    }

    /**
     * The process that has the promise gives it back before its time.
     *
     * @param wasHeld whether it held the lease by it
     */
    public void onRelease(Voter peer, long number, boolean wasHeld) {
        if (number == 0 || number != promisedNumber || !peer.id().equals(promisedTo)) {
            return;
        }
        promiseNeverHeld |= !wasHeld;
        if (promisedUntilMillis > context.nowMillis()) {
            promisedUntilMillis = context.nowMillis();
            requestAtMillis =
                    Math.min(
                            requestAtMillis,
                            promisedUntilMillis + context.memberRank() * CANDIDATE_STAGGER_MS);
        }
    }

    private void promise(long number, String to, long requestedAtMillis) {
        persisting = true;
        promisedUntilMillis = context.nowMillis() + DURATION_MS;
        long floor = nextFloor();
        Map<String, String> texts =
                Map.of(
                        PROMISED,
                        Long.toString(number),
                        PROMISED_TO,
                        to,
                        PROMISED_ABOVE,
                        Long.toString(floor),
                        LAST_REQUESTED,
                        Long.toString(lastRequestedNumber));
        context.persist(texts)
                .whenComplete(
                        (ignored, error) -> {
                            persisting = false;
                            if (error == null) {
                                onPromised(number, to, floor, requestedAtMillis);
                            }
                        });
    }

    private long nextFloor() {
        if (context.isDisabled(SafetyRule.LEASE_NUMBERS_RISE)) {
            return 0;
        }
        return isPromiseBinding() ? Math.max(promiseFloor, promisedNumber) : promiseFloor;
    }

    private void onPromised(long number, String to, long floor, long requestedAtMillis) {
        boolean promisedToSelf = to.equals(context.selfId());
        if (!promisedToSelf) {
            // If it asked itself, it has lost; to go on would bind the members that promised it.
            abandon();
        }
        promisedNumber = number;
        promisedTo = to;
        promiseFloor = floor;
        promiseNeverHeld = false;
        formerLeaseEndMillis = Math.max(formerLeaseEndMillis, currentLeaseEndMillis);
        // The own lease counts from when it is held.
        currentLeaseEndMillis = promisedToSelf ? NEVER_MILLIS : context.nowMillis() + DURATION_MS;
        grantedAtMillis = requestedAtMillis;
        promisedUntilMillis = context.nowMillis() + DURATION_MS;
        context.broadcast();
    }

    // ---- as a candidate or holder

    private void abandon() {
        abandonedNumber = Math.max(abandonedNumber, requestedNumber());
        ownNumber = 0;
    }

    /** Gives the lease back and asks for it no more: this process is about to end. */
    public void resign() {
        resigning = true;
        abandon();
    }

    /**
     * Whether a majority is bound to a peer that goes on with its lease and is in contact. To ask
     * then is in vain, and each number that is asked for keeps this member from that peer.
     */
    private boolean isAnotherElected() {
        long since = context.nowMillis() - CONTACT_TIMEOUT_MS;
        for (Voter peer : context.peers()) {
            if (peer.requestedNumber() > 0
                    && peer.lastContactMillis() > since
                    && majorityPromiseMillis(peer) > since) {
                return true;
            }
        }
        return false;
    }

    /** When a majority was last known to have its promise given to this peer. */
    private long majorityPromiseMillis(Voter peer) {
        long own =
                isPromiseTo(promisedNumber, promisedTo, peer) ? context.nowMillis() : NEVER_MILLIS;
        return context.quorumReached(
                own,
                voter ->
                        isPromiseTo(voter.promisedNumber(), voter.promisedTo(), peer)
                                ? voter.lastContactMillis()
                                : NEVER_MILLIS);
    }

    private static boolean isPromiseTo(long number, String to, Voter peer) {
        return number == peer.requestedNumber() && to.equals(peer.id());
    }

    /** Advances timers: asks for the lease, goes on with it, or gives it up. Called often. */
    public void poll() {
        long now = context.nowMillis();
        boolean ineligible = resigning || context.diskStalledMillis() > MAX_DISK_STALL_MS;
        if (isHeld() && !ineligible) {
            lastHeldEpoch = context.epoch();
            promisedUntilMillis = now + DURATION_MS;
            return;
        }
        if (ownNumber > 0 && ownNumber == lastHeldNumber) {
            // It ended: another number next time, so that a member that saw this one pass is not
            // asked to take it again.
            abandon();
            // Other members are asked at once: none may promise anything before this lease's time
            // is over.
            requestAtMillis = lastHeldEpoch == context.epoch() ? now + DURATION_MS : now;
        }
        if (context.isIsolated() && !persisting) {
            // Without contact it cannot win, and binds those that hear it.
            abandon();
        }
        if (!context.isVoter() || context.isIsolated() || persisting || ineligible) {
            // The one that had it last goes first: no member that promised it waits for others.
            boolean wasLastHolder = promisedTo.equals(context.selfId()) && !ineligible;
            long earliest =
                    wasLastHolder ? now : now + CANDIDATE_STAGGER_MS * (1 + context.memberRank());
            requestAtMillis = Math.max(requestAtMillis, earliest);
            return;
        }
        if (now < promisedUntilMillis && !promisedTo.equals(context.selfId())) {
            requestAtMillis = promisedUntilMillis + context.memberRank() * CANDIDATE_STAGGER_MS;
            return;
        }
        if (isAnotherElected()) {
            abandon();
            requestAtMillis =
                    Math.max(requestAtMillis, now + context.memberRank() * CANDIDATE_STAGGER_MS);
            return;
        }
        if (now >= requestAtMillis) {
            request(now);
        }
    }

    private void request(long now) {
        abandon();
        long highest =
                context.isDisabled(SafetyRule.LEASE_ASKED_ONCE)
                        ? promisedNumber
                        : Math.max(promisedNumber, lastRequestedNumber);
        highest = Math.max(highest, context.epoch() << NUMBER_BITS);
        for (Voter peer : context.peers()) {
            // What no members that may be in force can have given out is a damaged message's.
            if (peer.promisedNumber() >> NUMBER_BITS <= context.epoch() + 1) {
                highest = Math.max(highest, peer.promisedNumber());
            }
        }
        requestAtMillis =
                now + 4 * CANDIDATE_STAGGER_MS + context.randomBelow(CANDIDATE_STAGGER_MS * 2);
        lastRequestedNumber = highest + 1;
        promise(lastRequestedNumber, context.selfId(), now);
        ownNumber = lastRequestedNumber;
    }
}
