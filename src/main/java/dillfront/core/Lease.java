package dillfront.core;

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
public final class Lease {

    /** What it needs of the process that it is part of, which knows others as these. */
    public interface Ground<V extends Voter> extends Register.Ground {

        /** The number of the set of members that it goes by. */
        long epoch();

        boolean member(String id);

        boolean votes();

        /** No majority has answered it of late. */
        boolean alone();

        /** Its place among the members. */
        int rank();

        /** For how long its disk has done nothing, with work to do. */
        long stalledFor();

        Iterable<V> voters();

        /** The latest moment that a majority of each set in force has reached. */
        long reached(long itself, ToLongFunction<? super V> moment);
    }

    /** Another process, as its last message told of it. */
    public interface Voter {

        String id();

        long epoch();

        long promised();

        String promisedTo();

        /**
         * This one's clock when it sent the last message that the promise was given for or held on.
         */
        long granted();

        /** The number that it wants or holds itself; 0 for none. */
        long wanted();

        /** This one's clock when it was heard last. */
        long heard();

        /** As {@link Lease#formerUntil}, by its last message. */
        long formerUntil();
    }

    static final long SPAN_MS = 2_500;

    /** Bits for the numbers within an epoch. */
    static final int WITHIN = 20;

    private static final long EARLY_MS = 250;
    private static final long STAGGER_MS = 250;

    /** A holder whose disk has done nothing for so long leaves the duty to others. */
    private static final long DISK_MS = 1_000;

    public static final long NEVER = Long.MIN_VALUE / 2;

    private final Ground<?> core;

    /** What this process promised, as it is on its disk. */
    private long promised;

    private String promisedTo = "";
    private long promisedUntil;

    /**
     * Until when the one that has the promise may have said that its lease runs, however soon that
     * ended; and so of all promises before.
     */
    private long countedUntil = NEVER;

    private long formerUntil = NEVER;

    /** The clock of the one that has the promise, in the last message of it that was granted. */
    private long granted = NEVER;

    /** No number up to this is promised any more: some process may have held it. On the disk. */
    private long floor;

    /** The one that has the promise said that it never held that number, and never will. */
    private boolean empty;

    /** The highest number that it ever asked for, in any life. On the disk. */
    private long lastAsked;

    /** What it wants or holds itself; 0 for nothing. */
    private long mine;

    /** The number that it held last in this life. */
    private long held;

    /** The epoch under which it was held last. */
    private long heldEpoch;

    private boolean writing;
    private long candidateAt;
    private boolean leaving;

    /** The last number that it asked for and gave up; it never asks for it again. */
    private long given;

    public Lease(Ground<?> core) {
        this.core = core;
    }

    /** Restores what the disk holds; what was promised may still be in use. */
    public void load(Map<String, String> kept) {
        promised = Long.parseLong(kept.getOrDefault("promised", "0"));
        promisedTo = kept.getOrDefault("promised-to", "");
        floor = Long.parseLong(kept.getOrDefault("promised-above", Long.toString(promised)));
        lastAsked =
                Long.parseLong(
                        kept.getOrDefault(
                                "asked",
                                promisedTo.equals(core.self()) ? Long.toString(promised) : "0"));
        // What ran when this process ended may still run, but for its own: that ended with it.
        boolean runs =
                promised > 0
                        && !promisedTo.equals(core.self())
                        && !core.without(Defence.LEASE_AFTER_START);
        promisedUntil = core.now() + (runs ? SPAN_MS : 0);
        candidateAt = promisedUntil;
        if (promised > 0) {
            countedUntil = core.now() + SPAN_MS;
            formerUntil = countedUntil;
        }
    }

    public long promised() {
        return promised;
    }

    /** The id of the process that has this voter's promise. */
    public String promisedTo() {
        return promisedTo;
    }

    public long granted() {
        return granted;
    }

    /** What it asks of others: on its disk by then, so it asks for that in no later life. */
    public long wanted() {
        return promised == mine && promisedTo.equals(core.self()) ? mine : 0;
    }

    /** The number of the lease, which is the fencing token's upper part. */
    public long number() {
        return mine;
    }

    /**
     * Another wants this number, or goes on with it. What comes under an older epoch counts for
     * nothing.
     *
     * @param asked its clock when it asked
     */
    public void wants(Voter p, long number, long asked) {
        boolean turns = writing && !core.without(Defence.LEASE_TURNS);
        boolean late = p.epoch() < core.epoch() && !core.without(Defence.OLDER_EPOCHS);
        if (!core.votes() || turns || number <= 0 || late || !core.member(p.id())) {
            // Also what is promised to it no longer runs on while another's promise is on its way
            // to the disk.
            return;
        }
        long now = core.now();
        if (number == promised && p.id().equals(promisedTo)) {
            promisedUntil = now + SPAN_MS;
            countedUntil = promisedUntil;
            granted = Math.max(granted, asked);
            empty = false;
        } else if (!writing
                && number > (binds() ? promised : floor)
                && (now >= promisedUntil
                        || p.id().equals(promisedTo)
                        || promisedTo.equals(core.self()) && !holds()
                        || core.without(Defence.LEASE_PROMISE_STANDS))) {
            // What was promised to oneself and came to nothing binds nobody else: candidates of one
            // moment would wait for each other for ever.
            promise(number, p.id(), asked);
        }
    }

    /** Whether the number that is promised here may have been held, or may yet be. */
    private boolean binds() {
        if (!promisedTo.equals(core.self())) {
            return !empty;
        }
        return promised == mine
                || promised != given
                || promised == held && !core.without(Defence.LEASE_NEVER_HELD);
    }

    /**
     * The one that has the promise gives it back before its time, be it that it held the lease by
     * it or never did.
     */
    public void released(Voter p, long number, boolean wasHeld) {
        if (number == 0 || number != promised || !p.id().equals(promisedTo)) {
            return;
        }
        empty |= !wasHeld;
        if (promisedUntil > core.now()) {
            promisedUntil = core.now();
            candidateAt = Math.min(candidateAt, promisedUntil + core.rank() * STAGGER_MS);
        }
    }

    /** What it asked for and gave up: whoever promised it that is free again; 0 for nothing. */
    public long given() {
        return given;
    }

    /** Whether it held the lease by that. */
    public boolean gaveUpHeld() {
        return given == held;
    }

    private void giveUp() {
        given = Math.max(given, wanted());
        mine = 0;
    }

    /**
     * Whether a majority is bound to another, which is heard and goes on with it. To ask then is in
     * vain, and each number that is asked for keeps this voter from that one.
     */
    private boolean led() {
        long from = core.now() - Core.TOUCH_MS;
        for (Voter p : core.voters()) {
            if (p.wanted() > 0
                    && p.heard() > from
                    && core.reached(
                                    bound(promised, promisedTo, p) ? core.now() : NEVER,
                                    v -> bound(v.promised(), v.promisedTo(), p) ? v.heard() : NEVER)
                            > from) {
                return true;
            }
        }
        return false;
    }

    private static boolean bound(long number, String to, Voter p) {
        return number == p.wanted() && to.equals(p.id());
    }

    private void promise(long number, String to, long asked) {
        writing = true;
        promisedUntil = core.now() + SPAN_MS;
        long above =
                core.without(Defence.LEASE_NUMBERS_RISE)
                        ? 0
                        : binds() ? Math.max(floor, promised) : floor;
        core.store(
                        Map.of(
                                "promised",
                                Long.toString(number),
                                "promised-to",
                                to,
                                "promised-above",
                                Long.toString(above),
                                "asked",
                                Long.toString(lastAsked)))
                .whenComplete(
                        (done, fault) -> {
                            writing = false;
                            if (fault == null) {
                                if (!to.equals(core.self())) {
                                    // Whoever asked for one himself has lost, or lost it; to go on
                                    // asking would bind those that promised it.
                                    giveUp();
                                }
                                promised = number;
                                promisedTo = to;
                                floor = above;
                                empty = false;
                                formerUntil = Math.max(formerUntil, countedUntil);
                                // One's own counts from when it is held.
                                countedUntil =
                                        to.equals(core.self()) ? NEVER : core.now() + SPAN_MS;
                                granted = asked;
                                promisedUntil = core.now() + SPAN_MS;
                                core.tell();
                            }
                        });
    }

    /** Until when this process holds it, on its own clock; in the past where it does not. */
    public long until() {
        if (mine == 0 || promised != mine || !promisedTo.equals(core.self()) || !core.votes()) {
            return -1;
        }
        long now = core.now();
        // Whoever promised is bound for the whole span from when he was asked, also where the set
        // has changed since.
        return core.reached(
                        now,
                        p ->
                                p.promised() != mine || !p.promisedTo().equals(core.self())
                                        ? NEVER
                                        : core.without(Defence.LEASE_FROM_ASKED)
                                                ? now
                                                : p.granted())
                + SPAN_MS
                - EARLY_MS;
    }

    /**
     * Until when those that had this voter's promise before, or that of others by whom this one
     * holds the lease, may have said that theirs runs: it may have been given back sooner, or have
     * ended with its process.
     */
    public long formerUntil() {
        long until = core.without(Defence.LEASE_FORMER) ? NEVER : formerUntil;
        for (Voter p : core.voters()) {
            boolean counts =
                    promised == mine && p.promised() == mine && p.promisedTo().equals(core.self());
            until = counts ? Math.max(until, p.formerUntil()) : until;
        }
        return until;
    }

    /** Whether this process holds the lease now. */
    public boolean holds() {
        long until = until();
        boolean is = core.now() < until;
        if (is) {
            held = mine;
            countedUntil = Math.max(countedUntil, until);
        }
        return is;
    }

    /** From now on it is not wanted here any more. */
    void leave() {
        leaving = true;
        giveUp();
    }

    /** Advances timers: asks for the lease, goes on with it, or gives it up. */
    public void look() {
        long now = core.now();
        boolean unfit = leaving || core.stalledFor() > DISK_MS;
        if (holds() && !unfit) {
            heldEpoch = core.epoch();
            promisedUntil = now + SPAN_MS;
            return;
        }
        if (mine > 0 && mine == held) {
            // It ended: another number next time, so that whoever saw this one pass is not asked to
            // take it again.
            giveUp();
            // Another set is asked at once: nobody else may be promised anything before this one's
            // time is over.
            candidateAt = heldEpoch == core.epoch() ? now + SPAN_MS : now;
        }
        if (core.alone() && !writing) {
            // Whoever hears nobody cannot win, and binds those that hear him.
            giveUp();
        }
        if (!core.votes() || core.alone() || writing || unfit) {
            // Whoever had it last goes first: nobody who promised waits for others.
            boolean last = promisedTo.equals(core.self()) && !unfit;
            candidateAt = Math.max(candidateAt, last ? now : now + STAGGER_MS * (1 + core.rank()));
            return;
        }
        if (now < promisedUntil && !promisedTo.equals(core.self())) {
            candidateAt = promisedUntil + core.rank() * STAGGER_MS;
            return;
        }
        if (led()) {
            giveUp();
            candidateAt = Math.max(candidateAt, now + core.rank() * STAGGER_MS);
            return;
        }
        if (now < candidateAt) {
            return;
        }
        giveUp();
        long highest =
                Math.max(
                        core.without(Defence.LEASE_ASKED_ONCE)
                                ? promised
                                : Math.max(promised, lastAsked),
                        core.epoch() << WITHIN);
        for (Voter p : core.voters()) {
            // What no set that may be in force can have given out is a spoilt message's.
            highest =
                    p.promised() >> WITHIN > core.epoch() + 1
                            ? highest
                            : Math.max(highest, p.promised());
        }
        candidateAt = now + 4 * STAGGER_MS + core.chance(STAGGER_MS * 2);
        lastAsked = highest + 1;
        promise(lastAsked, core.self(), now);
        mine = lastAsked;
    }
}
