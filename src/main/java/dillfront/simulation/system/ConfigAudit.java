package dillfront.simulation.system;

import dillfront.simulation.LinearizabilityChecker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * Judges what operators, the platform and the fronts saw of control state, by the rules and by the
 * letter's five points.
 */
final class ConfigAudit {

    private static final long APPLY_MS = 3_000;
    private static final long ACKNOWLEDGE_MS = 5_000;

    /** What is said on the ground of contact with a majority so long ago is still fresh. */
    private static final long FRESH_MS = 1_000;

    private static final double LOOK_MS = 20;
    private static final long NEVER_MS = 99_999;

    /** While all is settled, the lease is without a holder no longer than this. */
    private static final long HELD_MS = 1_500;

    /** A read under way, and what it must not go below. */
    static final class Reading {
        final ControlMachine from;
        final long floor;
        private final int call;

        Reading(ControlMachine from, long floor, int call) {
            this.from = from;
            this.floor = floor;
            this.call = call;
        }
    }

    private record Acknowledged(long number, long at) {}

    private final Day day;
    private final Sim sim;
    private final Audit audit;
    private final LinearizabilityChecker history = new LinearizabilityChecker();
    private final List<Orders.Order> open = new ArrayList<>();
    private final List<Acknowledged> acknowledgements = new ArrayList<>();
    private long highestAcknowledged;
    private long highestSent;

    /** The highest that any read that is over has shown. */
    private long highestRead;

    /** The highest that was read back once the day was over. */
    private long lastRead = -1;

    /** By number: the contents that were in force or confirmed as the decided one. */
    private final Map<Long, Map<Long, String>> decided = new HashMap<>();

    private final List<Orders.Order> refusals = new ArrayList<>();
    private final Map<Long, String> fences = new TreeMap<>();
    private final Map<String, long[]> fronts = new LinkedHashMap<>();
    private boolean twoHold;
    private long heldAt;
    private boolean unheld;
    int losses;
    int acknowledged;
    int lost;
    int back;
    int twoUnderOne;
    int refusedAgain;
    int minorityAnswers;
    int twoHolders;
    int fenceRepeats;
    int replaced;
    int noMajority;
    int behindChanges;
    final List<Long> replaceMs = new ArrayList<>();
    final List<Long> catchUpMs = new ArrayList<>();

    /** From when each number was first sent until it was first acknowledged. */
    final List<Long> acknowledgeMs = new ArrayList<>();

    ConfigAudit(Day day) {
        this.day = day;
        this.sim = day.sim;
        this.audit = day.audit;
    }

    static long digest(byte[] of) {
        CRC32C crc = new CRC32C();
        crc.update(of);
        return crc.getValue();
    }

    long highestAcknowledged() {
        return highestAcknowledged;
    }

    // ---- orders

    /** An order is sent to a process: one call of the history. */
    int calls(Orders.Order o) {
        return history.begin(sim.millis(), "operator", o.number, Long.toHexString(o.digest));
    }

    /** What came of it; 0 for nothing. */
    void ends(int call, int status) {
        history.end(
                call,
                sim.millis(),
                status == 200
                        ? LinearizabilityChecker.Outcome.ACKNOWLEDGED
                        : status == 409 ? LinearizabilityChecker.Outcome.REFUSED : LinearizabilityChecker.Outcome.UNKNOWN);
    }

    void sent(Orders.Order o) {
        open.add(o);
        highestSent = Math.max(highestSent, o.number);
    }

    /** A clear answer of a process that has been without a majority since before it was asked. */
    void answered(ControlMachine by, long askedAt, int status) {
        boolean clear = status < 500 && status != 307 && status != 408 && status != 429;
        if (clear && by.aloneSince >= 0 && by.aloneSince + FRESH_MS <= askedAt) {
            minorityAnswers++;
            audit.breach(
                    "MINORITY",
                    by.machine.name
                            + " answers "
                            + status
                            + " to what was asked "
                            + (askedAt - by.aloneSince)
                            + " ms after it was cut off");
        }
    }

    void acknowledged(Orders.Order o, ControlMachine by) {
        boolean first = acknowledgements.stream().noneMatch(a -> a.number() == o.number);
        if (first) {
            acknowledged++;
            acknowledgements.add(new Acknowledged(o.number, sim.millis()));
            acknowledgeMs.add(sim.millis() - o.sentAt);
            day.applied(o.number, sim.millis());
        }
        highestAcknowledged = Math.max(highestAcknowledged, o.number);
        // With a higher one on its way it may have been overtaken before it was decided, and
        // changes nothing.
        if (highestSent <= o.number || decided.containsKey(o.number)) {
            decides(o.number, o.digest, "acknowledged by " + by.machine.name);
        }
    }

    private void decides(long number, long digest, String where) {
        Map<Long, String> contents = decided.computeIfAbsent(number, n -> new LinkedHashMap<>());
        if (contents.putIfAbsent(digest, where) == null && contents.size() == 2) {
            twoUnderOne++;
            audit.breach("CONFIG", "two contents under " + number + ": " + contents.values());
        }
    }

    void refused(Orders.Order o, ControlMachine by, int status) {
        refusals.add(o);
        if (o.acknowledged) {
            refusedAgain(o, by.machine.name + " answers " + status);
        }
    }

    private void refusedAgain(Orders.Order o, String how) {
        refusedAgain++;
        audit.breach("CONFIG", "version " + o.number + " was taken and is refused: " + how);
    }

    // ---- reads

    Reading reads(ControlMachine from) {
        return new Reading(
                from,
                Math.max(highestAcknowledged, highestRead),
                history.begin(sim.millis(), from.machine.name));
    }

    void read(Reading reading, long number, long digest) {
        history.end(reading.call, sim.millis(), number, Long.toHexString(digest));
        if (number < reading.floor) {
            back++;
            audit.breach(
                    "CONFIG",
                    reading.from.machine.name
                            + " reads back "
                            + number
                            + ", known before was "
                            + reading.floor);
        }
        highestRead = Math.max(highestRead, number);
        lastRead = day.ended() ? Math.max(lastRead, number) : -1;
        decides(number, digest, "read at " + reading.from.machine.name);
    }

    // ---- the platform

    void acts(String holder, long fence) {
        String before = fences.putIfAbsent(fence, holder);
        if (before != null && !before.equals(holder)) {
            fenceRepeats++;
            audit.breach("FENCE", fence + " is used by " + before + " and by " + holder);
        }
        day.controls.acted(holder);
    }

    // ---- what is seen of processes

    void started(ControlMachine c) {
        c.behind = highestAcknowledged;
        c.behindBy = acknowledged - c.hadChanges;
        c.contactFrom = sim.millis();
    }

    void look() {
        sim.after(LOOK_MS, this::look);
        int holders = 0;
        StringBuilder who = new StringBuilder();
        for (ControlMachine c : day.controls.all()) {
            if (!c.runs() || c.core == null) {
                continue;
            }
            if (!day.controls.reachesMajority(c)) {
                c.contactFrom = sim.millis();
            }
            String status = c.core.status();
            if (status.contains(" held ")) {
                holders++;
                who.append(' ').append(c.machine.name);
            }
            if (c.behind >= 0 && field(status, "held=") >= c.behind) {
                if (c.behindBy > 0) {
                    behindChanges += c.behindBy;
                    catchUpMs.add(sim.millis() - c.contactFrom);
                }
                c.behind = -1;
            }
            if (c.behind < 0) {
                c.hadChanges = acknowledged;
            }
            if (c.replaces && member(c)) {
                c.replaces = false;
                replaceMs.add(sim.millis() - c.contactFrom);
            }
        }
        if (holders > 1 && !twoHold) {
            twoHolders++;
            audit.breach("LEASE", "held by" + who);
        }
        twoHold = holders > 1;
        heldAt = holders > 0 || !day.controls.settled() ? sim.millis() : heldAt;
        if (sim.millis() - heldAt > HELD_MS && !unheld) {
            audit.breach(
                    "LEASE", "nobody has held it for " + HELD_MS + " ms though all is settled");
        }
        unheld = sim.millis() - heldAt > HELD_MS;
        overdue();
    }

    private static long field(String status, String name) {
        int at = status.indexOf(name);
        if (at < 0) {
            return -1;
        }
        int end = status.indexOf(' ', at);
        try {
            return Long.parseLong(
                    status.substring(at + name.length(), end < 0 ? status.length() : end));
        } catch (NumberFormatException other) {
            return -1;
        }
    }

    /** All that run count it among those whose disks make a majority. */
    private boolean member(ControlMachine c) {
        for (ControlMachine o : day.controls.all()) {
            if (o.runs() && o.core != null) {
                String status = o.core.status();
                int at = status.indexOf("members=[");
                String set = at < 0 ? "" : status.substring(at, status.indexOf(']', at) + 1);
                if (!set.matches(".*[\\[ ,]" + c.machine.ip.replace(".", "\\.") + "/.*")
                        || status.contains(" outgoing=")
                        || o == c && status.contains(" learner")) {
                    return false;
                }
            }
        }
        return true;
    }

    private void overdue() {
        long settled = day.controls.settledSince();
        open.removeIf(
                o -> {
                    if (o.over || o.taken || o.rival != null && o.rival.taken) {
                        return true;
                    }
                    if (sim.millis() - Math.max(o.sentAt, settled) > ACKNOWLEDGE_MS + o.bytesMs()) {
                        noMajority++;
                        audit.breach(
                                "ACKS",
                                "version "
                                        + o.number
                                        + " of "
                                        + o.sentAt
                                        + " has no acknowledgement, settled since "
                                        + settled);
                        return true;
                    }
                    return false;
                });
    }

    /** A front's configuration, at any moment of its life. */
    void sees(String front, int life, boolean inTouch, long number, long digest) {
        long[] was = fronts.computeIfAbsent(front, f -> new long[] {-1, -1, -1});
        if (was[0] != life) {
            was[0] = life;
            was[1] = -1;
        }
        if (number < was[1]) {
            back++;
            audit.breach("CONFIG", front + " goes back from " + was[1] + " to " + number);
        }
        was[1] = number;
        if (number > 0) {
            decides(number, digest, "in force at " + front);
        }
        if (!inTouch || was[2] >= highestAcknowledged) {
            return;
        }
        long need = -1;
        for (int i = acknowledgements.size() - 1;
                i >= 0 && i > acknowledgements.size() - 200;
                i--) {
            Acknowledged a = acknowledgements.get(i);
            need = a.at() + APPLY_MS < sim.millis() ? Math.max(need, a.number()) : need;
        }
        if (number < need && was[2] < need) {
            was[2] = need;
            audit.breach(
                    "CONFIG",
                    front
                            + " in touch uses "
                            + number
                            + ", "
                            + need
                            + " was acknowledged over "
                            + APPLY_MS
                            + " ms before");
        }
    }

    // ---- the end

    /** After the operator has read back what there is. */
    void close() {
        String wrong = history.check();
        if (wrong != null) {
            back++;
            audit.breach("CONFIG", wrong);
        }
        if (lastRead < highestAcknowledged) {
            lost++;
            audit.breach("LOST", "read back " + lastRead + ", acknowledged " + highestAcknowledged);
        }
        for (Orders.Order o : refusals) {
            if (!o.acknowledged && decided.getOrDefault(o.number, Map.of()).containsKey(o.digest)) {
                refusedAgain(o, "what is in force was refused");
            }
        }
        for (ControlMachine c : day.controls.all()) {
            if (c.replaces && c.runs() && sim.millis() - c.contactFrom > 2 * Controls.CATCH_UP_MS) {
                replaceMs.add(NEVER_MS);
            }
            if (c.behind >= 0
                    && c.behindBy > 0
                    && c.runs()
                    && sim.millis() - c.contactFrom > 2 * Controls.CATCH_UP_MS) {
                catchUpMs.add(NEVER_MS);
            }
        }
    }
}
