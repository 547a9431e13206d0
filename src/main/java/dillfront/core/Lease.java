package dillfront.core;

import java.util.Map;

/**
 * Who does the duty. A number is promised to one process by each voter, on its disk before it says so, so a majority's
 * promise makes it that one's alone for ever; it is also the fencing token. Its upper part is the epoch of the set of members under
 * which it was asked for, so that no two sets give out the same. The holder counts its time from before it asked, each voter from
 * when it promised: the holder's ends first.
 */
final class Lease {

    static final long SPAN_MS = 2_500;
    /** Bits for the numbers within an epoch. */
    static final int WITHIN = 20;
    private static final long EARLY_MS = 250;
    private static final long STAGGER_MS = 250;
    /** A holder whose disk has done nothing for so long leaves the duty to others. */
    private static final long DISK_MS = 1_000;

    private final Core core;
    /** What this process promised, as it is on its disk. */
    private long promised;
    private String promisedTo = "";
    private long promisedUntil;
    /** What it wants or holds itself; 0 for nothing. */
    private long mine;
    private long heldSince = -1;
    /** The epoch under which it was held last. */
    private long heldEpoch;
    private boolean writing;
    private long candidateAt;
    private boolean leaving;

    Lease(Core core) {
        this.core = core;
    }

    void load(Map<String, String> kept) {
        promised = Long.parseLong(kept.getOrDefault("promised", "0"));
        promisedTo = kept.getOrDefault("promised-to", "");
        // What ran when this process ended may still run, but for its own: that ended with it.
        promisedUntil = core.host.now() + (promised > 0 && !promisedTo.equals(core.id()) ? SPAN_MS : 0);
        candidateAt = promisedUntil;
    }

    long promised() {
        return promised;
    }

    /** The id of the process that has this voter's promise. */
    String promisedTo() {
        return promisedTo;
    }

    long wanted() {
        return mine;
    }

    /** The number of the lease, which is the fencing token's upper part. */
    long number() {
        return mine;
    }

    /** Another wants this number, or goes on with it. What comes under an older epoch counts for nothing. */
    void wants(Peer p, long number) {
        if (!core.votes() || number <= 0 || p.epoch < core.epoch() || !core.member(p.id)) {
            return;
        }
        long now = core.host.now();
        if (number == promised && p.id.equals(promisedTo)) {
            promisedUntil = now + SPAN_MS;
        } else if (number > promised && (now >= promisedUntil || p.id.equals(promisedTo) || promisedTo.equals(core.id()) && !holds())) {
            // What was promised to oneself and came to nothing binds nobody else: candidates of one moment would wait for each other for ever.
            promise(number, p.id);
        }
    }

    /** The one that has the promise gives the duty back before its time. */
    void released(Peer p, long number) {
        if (number > 0 && number == promised && p.id.equals(promisedTo)) {
            promisedUntil = Math.min(promisedUntil, core.host.now());
        }
    }

    private void promise(long number, String to) {
        if (writing) {
            return;
        }
        writing = true;
        promisedUntil = core.host.now() + SPAN_MS;
        core.store(Map.of("promised", Long.toString(number), "promised-to", to)).whenComplete((done, fault) -> {
            writing = false;
            if (fault == null) {
                promised = number;
                promisedTo = to;
                if (!to.equals(core.id())) {
                    // Whoever asked for a lower one has lost; to go on asking would bind those that promised it.
                    mine = 0;
                }
                promisedUntil = core.host.now() + SPAN_MS;
                core.poke();
            }
        });
    }

    /** Until when this process holds it, on its own clock; in the past where it does not. */
    long until() {
        if (mine == 0 || promised != mine || !promisedTo.equals(core.id()) || !core.votes()) {
            return -1;
        }
        // Whoever promised is bound for the whole span, also where the set has changed since.
        return core.reached(core.host.now(), p -> p.promised == mine && p.promisedTo.equals(core.id())
                ? p.echo : Long.MIN_VALUE / 2) + SPAN_MS - EARLY_MS;
    }

    boolean holds() {
        return core.host.now() < until();
    }

    /** Since when, without a gap; -1 where it does not. */
    long since() {
        return heldSince;
    }

    /** From now on it is not wanted here any more; returns the number to give back, 0 for none. */
    long leave() {
        leaving = true;
        long back = mine;
        mine = 0;
        heldSince = -1;
        return back;
    }

    void look() {
        long now = core.host.now();
        boolean unfit = leaving || core.stalledFor() > DISK_MS;
        if (holds() && !unfit) {
            heldSince = heldSince < 0 ? now : heldSince;
            heldEpoch = core.epoch();
            promisedUntil = now + SPAN_MS;
            return;
        }
        if (heldSince >= 0) {
            // It ended: another number next time, so that whoever saw this one pass is not asked to take it again.
            heldSince = -1;
            mine = 0;
            // Another set is asked at once: nobody else may be promised anything before this one's time is over.
            candidateAt = heldEpoch == core.epoch() ? now + SPAN_MS : now;
        }
        if (!core.votes() || core.alone() || writing || unfit) {
            candidateAt = Math.max(candidateAt, now + STAGGER_MS * (1 + core.rank()));
            return;
        }
        if (now < promisedUntil && !promisedTo.equals(core.id())) {
            candidateAt = promisedUntil + core.rank() * STAGGER_MS;
            return;
        }
        if (now < candidateAt) {
            return;
        }
        long highest = Math.max(promised, core.epoch() << WITHIN);
        for (Peer p : core.peers()) {
            highest = Math.max(highest, p.promised);
        }
        candidateAt = now + 4 * STAGGER_MS + core.host.chance().nextInt((int) STAGGER_MS * 2);
        mine = highest + 1;
        promise(mine, core.id());
    }
}
