package dillfront.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/**
 * Who does the duty. A number is promised to one process by each voter, on its disk before it says so, so a majority's
 * promise makes it that one's alone for ever; it is also the fence. The holder counts its time from before it asked, each
 * voter from when it promised: the holder's ends first.
 */
final class Lease {

    static final long SPAN_MS = 2_500;
    private static final long EARLY_MS = 250;
    private static final long STAGGER_MS = 250;

    private final Core core;
    /** What this process promised, as it is on its disk. */
    private long promised;
    private String promisedTo = "";
    private long promisedUntil;
    /** What it wants or holds itself; 0 for nothing. */
    private long mine;
    private long heldSince = -1;
    private boolean writing;
    private long candidateAt;

    Lease(Core core) {
        this.core = core;
    }

    void load(Map<String, String> kept) {
        promised = Long.parseLong(kept.getOrDefault("promised", "0"));
        promisedTo = kept.getOrDefault("promised-to", "");
        // What ran when this process ended may still run, but for its own: that ended with it.
        promisedUntil = core.host.now() + (promised > 0 && !promisedTo.equals(core.ip()) ? SPAN_MS : 0);
        candidateAt = promisedUntil;
    }

    /** After a loss of the disk: no lower number than others know of, and what they granted may run. */
    void recover(long others) {
        promised = Math.max(promised, others);
        promisedUntil = core.host.now() + SPAN_MS;
    }

    long promised() {
        return promised;
    }

    String promisedTo() {
        return promisedTo;
    }

    long wanted() {
        return mine;
    }

    /** The number of the lease, which is the fence. */
    long number() {
        return mine;
    }

    /** Another wants this number, or goes on with it. */
    void wants(Peer p, long number) {
        if (!core.votes() || number <= 0) {
            return;
        }
        long now = core.host.now();
        if (number == promised && p.ip.equals(promisedTo)) {
            promisedUntil = now + SPAN_MS;
        } else if (number > promised && (now >= promisedUntil || p.ip.equals(promisedTo))) {
            promise(number, p.ip);
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
                promisedUntil = core.host.now() + SPAN_MS;
                core.poke();
            }
        });
    }

    /** Until when this process holds it, on its own clock; in the past where it does not. */
    long until() {
        if (mine == 0 || promised != mine || !promisedTo.equals(core.ip())) {
            return -1;
        }
        List<Long> asked = new ArrayList<>();
        asked.add(core.host.now());
        for (Peer p : core.peers()) {
            if (p.voter && !p.recovering && p.promised == mine && p.promisedTo.equals(core.ip())) {
                asked.add(p.echo);
            }
        }
        asked.sort(Collections.reverseOrder());
        return asked.size() < core.majority() ? -1 : asked.get(core.majority() - 1) + SPAN_MS - EARLY_MS;
    }

    boolean holds() {
        return core.host.now() < until();
    }

    /** Since when, without a gap; -1 where it does not. */
    long since() {
        return heldSince;
    }

    void look() {
        long now = core.host.now();
        if (holds()) {
            heldSince = heldSince < 0 ? now : heldSince;
            promisedUntil = now + SPAN_MS;
            return;
        }
        if (heldSince >= 0) {
            // It ended: another number next time, so that whoever saw this one pass is not asked to take it again.
            heldSince = -1;
            mine = 0;
            candidateAt = now + SPAN_MS;
        }
        if (!core.votes() || core.alone() || writing) {
            candidateAt = Math.max(candidateAt, now + STAGGER_MS * (1 + core.rank()));
            return;
        }
        if (now < promisedUntil && !promisedTo.equals(core.ip())) {
            candidateAt = promisedUntil + core.rank() * STAGGER_MS;
            return;
        }
        if (now < candidateAt) {
            return;
        }
        long highest = promised;
        for (Peer p : core.peers()) {
            highest = Math.max(highest, p.promised);
        }
        mine = highest + 1;
        candidateAt = now + 4 * STAGGER_MS + core.host.chance().nextInt((int) STAGGER_MS * 2);
        promise(mine, core.ip());
    }
}
