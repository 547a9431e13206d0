package dillfront.controlplane.lease;

import dillfront.controlplane.consensus.ReplicatedRegister;
import dillfront.controlplane.consensus.SafetyRule;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * Manages the lease for the failover coordinator, the singleton role of the control plane.
 *
 * <p>Each member promises a lease number to one process at a time, on disk before the member
 * reports the promise. Promises of a majority assign the number to that process permanently; the
 * number forms the upper part of the process's fencing tokens. The upper bits of a number are the
 * member epoch of the request, so two member sets never assign the same number. A process requests
 * a number only once and in a single incarnation. An abandoned number that was never held does not
 * bind members: the numbers of holders increase, those of candidates need not.
 *
 * <p>The holder measures its lease from before the request, each member measures its promise from
 * when it promised, so the holder's lease ends first. Not thread-safe: all calls come from one
 * thread, and the clock is the process's monotonic clock.
 */
public final class LeaseManager {

    /** The services that the surrounding process provides to the lease. */
    public interface Context extends ReplicatedRegister.Context {

        /** Returns the epoch of this process's current members; 0 before there are any. */
        long epoch();

        /** Returns whether the id is that of a member. */
        boolean isMember(String id);

        /** Returns whether this process is a member. */
        boolean isVoter();

        /** Returns whether this process has had no recent answers from a majority. */
        boolean isIsolated();

        /** Returns the index of this process among the members, starting at 0. */
        int memberRank();

        /** Returns how long pending disk writes have made no progress. */
        long diskStalledMillis();

        /** Returns all known peers, whether members or not. */
        Iterable<? extends Voter> peers();

        /**
         * Returns the highest value that a majority of each member set has reached.
         *
         * @param own the value of this process
         */
        long quorumReached(long own, ToLongFunction<Voter> quantity);
    }

    /** The state of a peer according to its last message. */
    public interface Voter {

        /** Returns the id of the peer; empty before the first message. */
        String id();

        /** Returns the epoch of the peer's current members. */
        long epoch();

        /** Returns the last number that the peer promised; 0 for none. */
        long promisedNumber();

        /** Returns the id of the process that holds the peer's promise. */
        String promisedTo();

        /**
         * Returns the send time of the last message by which the promise was granted or extended,
         * on the clock of the process that holds the promise.
         */
        long grantedAtMillis();

        /** Returns the number that the peer requests or holds; 0 for none. */
        long requestedNumber();

        /** Returns the local time at which the last message from the peer arrived. */
        long lastContactMillis();

        /**
         * Returns {@link LeaseManager#formerLeaseEndMillis} according to the peer's last message.
         */
        long formerLeaseEndMillis();
    }

    /** Duration for which a promise binds a member. */
    public static final long DURATION_MS = 2_500;

    /**
     * The number of bits of a lease number below the epoch, and of a fencing token below the lease
     * number.
     */
    public static final int NUMBER_BITS = 20;

    /** A time before all others. */
    public static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    /** Silence after which a peer counts as unreachable. */
    public static final long CONTACT_TIMEOUT_MS = 1_300;

    /** The holder's lease ends earlier than the members' promises by this margin. */
    private static final long HOLDER_MARGIN_MS = 250;

    /** Delay between the first requests of candidates, which start in the order of their ranks. */
    private static final long CANDIDATE_STAGGER_MS = 250;

    /** Disk stall after which the holder gives up the lease. */
    private static final long MAX_DISK_STALL_MS = 1_000;

    private static final String PROMISED = "promised";
    private static final String PROMISED_TO = "promised-to";
    private static final String PROMISED_ABOVE = "promised-above";
    private static final String LAST_REQUESTED = "asked";

    private final Context context;

    // The promise of this process, as stored on disk.
    private long promisedNumber;
    private String promisedTo = "";
    private long promisedUntilMillis;

    /**
     * Numbers up to this one are not promised, because a process may have held them. Stored on
     * disk.
     */
    private long promiseFloor;

    /**
     * Whether the process that holds the promise reported that it never held that number and never
     * will.
     */
    private boolean promiseNeverHeld;

    /**
     * The send time of the last granted message, on the clock of the process that holds the
     * promise.
     */
    private long grantedAtMillis = NEVER_MILLIS;

    /**
     * The latest time at which the process that holds the promise may have claimed that its lease
     * ends, even if the lease ended earlier.
     */
    private long currentLeaseEndMillis = NEVER_MILLIS;

    /** The same for all processes that held the promise before. */
    private long formerLeaseEndMillis = NEVER_MILLIS;

    private boolean persisting;

    // The requests of this process.
    /** The number that this process requests or holds; 0 for none. */
    private long ownNumber;

    /** The highest number that this process requested in any incarnation. Stored on disk. */
    private long lastRequestedNumber;

    /**
     * The last number that this process requested and abandoned. An abandoned number is never
     * requested again.
     */
    private long abandonedNumber;

    /** The last number held in this incarnation, and the epoch at that time. */
    private long lastHeldNumber;

    private long lastHeldEpoch;
    private long requestAtMillis;
    private boolean resigning;

    public LeaseManager(Context context) {
        this.context = context;
    }

    /**
     * Restores the state from disk at startup. A promise to another process may still be in use; a
     * promise to this process ended with its former incarnation.
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

    /** Returns the last number that this process promised; 0 for none. */
    public long promisedNumber() {
        return promisedNumber;
    }

    /** Returns the id of the process that holds this member's promise. */
    public String promisedTo() {
        return promisedTo;
    }

    /**
     * Returns the number that this process requests from others; 0 for none. The number is already
     * on disk, so no later incarnation requests it.
     */
    public long requestedNumber() {
        return hasOwnPromise() ? ownNumber : 0;
    }

    /** Returns the number that this process requests or holds; 0 for none. */
    public long number() {
        return ownNumber;
    }

    /**
     * Returns the last number that this process requested and abandoned; 0 for none. Members that
     * promised that number are no longer bound.
     */
    public long abandonedNumber() {
        return abandonedNumber;
    }

    /** Returns whether this process held the lease under the abandoned number. */
    public boolean abandonedWasHeld() {
        return abandonedNumber == lastHeldNumber;
    }

    /** Returns the lease part of a message that is sent now. */
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

    /** Returns whether this process has promised the number that the peer requests or holds. */
    public boolean isPromisedTo(Voter peer) {
        return promisedNumber > 0 && isPromiseTo(promisedNumber, promisedTo, peer);
    }

    private boolean hasOwnPromise() {
        return promisedNumber == ownNumber && promisedTo.equals(context.selfId());
    }

    /**
     * Returns the time until which this process holds the lease, on its own clock; -1 if it does
     * not.
     */
    public long validUntilMillis() {
        if (ownNumber == 0 || !hasOwnPromise() || !context.isVoter()) {
            return -1;
        }
        long now = context.nowMillis();
        // A promise binds the member for the whole duration since the request, even if the members
        // have changed since.
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
     * Returns the latest time at which former holders may have claimed that their leases end.
     * Covers former promises of this process and of the members that granted this process its
     * current lease. A former lease may have been released earlier or have ended with its process.
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

    /** Returns whether this process holds the lease now. */
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
     * Handles a peer's request for a number or for an extension. Requests under an older epoch are
     * ignored.
     *
     * @param requestedAtMillis the time of the request on the peer's clock
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
            // While the promise to another process is being written, the existing promise is not
            // extended either.
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
        // A promise to this process that did not win the lease does not bind it against other
        // candidates; otherwise simultaneous candidates would block each other.
        return now >= promisedUntilMillis
                || peer.id().equals(promisedTo)
                || promisedTo.equals(context.selfId()) && !isHeld()
                || context.isDisabled(SafetyRule.LEASE_PROMISE_STANDS);
    }

    /** Returns whether the promised number may have been held or may still become held. */
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
     * Handles the early release of a promise by the process that holds it.
     *
     * @param wasHeld whether the peer held the lease under this number
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
            // The own request has lost; continuing it would bind the members that promised.
            abandon();
        }
        promisedNumber = number;
        promisedTo = to;
        promiseFloor = floor;
        promiseNeverHeld = false;
        formerLeaseEndMillis = Math.max(formerLeaseEndMillis, currentLeaseEndMillis);
        // The own lease end is recorded when the lease is held.
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

    /** Releases the lease and stops requesting it, because this process is shutting down. */
    public void resign() {
        resigning = true;
        abandon();
    }

    /**
     * Returns whether a majority has promised to a peer that extends its lease and is in contact. A
     * request would fail then, and would keep this member from promising to that peer.
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

    /** Returns the latest time at which a majority is known to have promised to the peer. */
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

    /** Advances timers, and requests, extends or abandons the lease. Called periodically. */
    public void poll() {
        long now = context.nowMillis();
        boolean ineligible = resigning || context.diskStalledMillis() > MAX_DISK_STALL_MS;
        if (isHeld() && !ineligible) {
            lastHeldEpoch = context.epoch();
            promisedUntilMillis = now + DURATION_MS;
            return;
        }
        if (ownNumber > 0 && ownNumber == lastHeldNumber) {
            // The lease ended. The next request uses another number, because members that saw this
            // one expire must not be asked to promise it again.
            abandon();
            // After a change of the epoch, the new request is made immediately: no member promises
            // to another process before this lease's duration has passed.
            requestAtMillis = lastHeldEpoch == context.epoch() ? now + DURATION_MS : now;
        }
        if (context.isIsolated() && !persisting) {
            // An isolated process cannot win the lease, and its request would bind the members that
            // receive it.
            abandon();
        }
        if (!context.isVoter() || context.isIsolated() || persisting || ineligible) {
            // The last holder goes first, because the members that promised to it do not wait for
            // other candidates.
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
            // A number beyond the next epoch cannot have been assigned by any current members; it
            // stems from a damaged message.
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
