package dillfront.core;

import dillfront.host.Acknowledged;
import dillfront.host.Host;
import dillfront.host.Pack;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The fronts that ask this control process for news: each question waits until there is some, or a
 * while.
 */
final class Askers {

    private static final long HOLD_MS = 600;

    /** A front that has not asked for so long is not counted. */
    private static final long COUNTED_MS = 1_500;

    private static final long FORGOTTEN_MS = 60_000;
    private static final int MOST = 6_000;

    /** One front, over all the connections it has had here. */
    private static final class Asker {
        Host.Link link;
        long question;
        long heard;
        boolean waits;

        /**
         * It knows nobody better: it would rather wait for contact here than ask in vain elsewhere.
         */
        boolean patient;

        String boot = "";
        long has;
        long version = -1;

        /** Of its configuration; it says so where that has changed. */
        long digest;

        boolean wantsWhole;

        /** The places that it was told on this connection. */
        List<Object> places = List.of();

        /** That no other leads was said to hold until then. */
        long sureTill;

        long record = -1;
        long suspects = -1;
        final Map<String, Sight> sights = new HashMap<>();
    }

    private final Core core;
    private final TreeMap<String, Asker> fronts = new TreeMap<>();

    /**
     * By service: what any front ever told of acknowledged commits, here or at another control
     * process.
     */
    private final Map<String, Acknowledged> acknowledged = new HashMap<>();

    private final Versions versions = new Versions();

    Askers(Core core) {
        this.core = core;
    }

    void asked(Host.Link link, Pack.Fields in) {
        String name = in.text("n");
        if (name.isEmpty() || fronts.size() >= MOST && !fronts.containsKey(name)) {
            return;
        }
        Asker a = fronts.computeIfAbsent(name, n -> new Asker());
        if (a.link != link) {
            a.link = link;
            a.places = List.of();
        }
        a.question = in.number("q", 0);
        a.heard = core.host.now();
        a.waits = true;
        a.boot = in.text("b");
        a.has = in.number("r", 0);
        a.version = in.number("c", -1);
        a.digest = in.number("cd", a.digest);
        a.wantsWhole = in.bit("cw");
        a.patient = in.bit("hw");
        int lost = 0;
        for (Sight seen : a.sights.values()) {
            lost += seen.lost();
        }
        long had = a.record;
        a.record = in.number("k", -1);
        a.suspects = in.number("sn", -1);
        Map<String, Sight> saw = new HashMap<>(a.sights);
        a.sights.clear();
        boolean news = false;
        boolean waited = false;
        List<Object> suspected = core.suspects();
        for (Pack.Fields row : in.list("s")) {
            String service = row.text("s");
            long sees = row.number("h", 0);
            acknowledged(service, Acknowledged.of(row.text("a")));
            a.sights.put(
                    service,
                    new Sight(
                            row.text("p"),
                            sees > 0 ? 1 : 0,
                            sees < 0 ? 1 : 0,
                            (int) Math.max(0, Math.min(1 << 20, row.number("o", 0)))));
            lost -= sees < 0 ? 1 : 0;
            Lead lead = core.lead(service);
            news |= sees < 0 || lead == null || lead.moving() || suspected.contains(service);
            // Whoever holds the duty waits for just this.
            Sight before = saw.get(service);
            waited |=
                    lead != null
                            && lead.moving()
                            && (had < lead.number() && a.record >= lead.number()
                                    || before != null
                                            && before.open() > 0
                                            && a.sights.get(service).open() == 0);
        }
        if (lost != 0 || waited) {
            core.poke();
        }
        long question = a.question;
        if (!answer(a)) {
            core.host.after(
                    HOLD_MS,
                    () -> {
                        if (a.waits && a.question == question) {
                            send(a);
                        }
                    });
        }
        if (news) {
            core.duty.look();
        }
    }

    /**
     * Whether this front lacks anything, and has been told so. Out of contact with a majority it is
     * told that, and no more.
     */
    private boolean answer(Asker a) {
        if (core.alone() && a.patient) {
            return false;
        }
        boolean lacks =
                core.alone()
                        || !a.boot.equals(core.boot())
                        || a.has < core.members.changes()
                        || a.version < core.register.committed().version()
                        || a.record < core.records.newest()
                        || a.suspects != core.suspectsAt()
                                && (a.suspects >= 0 || !core.suspects().isEmpty());
        if (lacks) {
            send(a);
        }
        return lacks;
    }

    private void send(Asker a) {
        a.waits = false;
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("q", a.question);
        if (core.alone()) {
            // What it has may be old by now: another is to be asked, of those that it knows of.
            out.put("alone", true);
            out.put("cp", core.places());
            a.link.send(Pack.write(out));
            return;
        }
        boolean whole = !a.boot.equals(core.boot());
        if (whole || a.has < core.members.changes()) {
            out.put("b", core.boot());
            out.put("r", core.members.changes());
            out.put("w", whole);
            out.put("m", core.members.since(whole ? -1 : a.has));
        }
        versions.decided(core.register.committed());
        if (a.version < versions.newest().version()) {
            byte[] delta = a.wantsWhole ? null : versions.since(a.version, a.digest);
            out.put("cv", versions.newest().version());
            out.put(delta == null ? "cz" : "cx", delta == null ? versions.whole() : delta);
        }
        List<Object> records = new ArrayList<>();
        for (Lead lead : core.records.all()) {
            if (a.record < lead.number()) {
                records.add(lead.row());
            }
        }
        if (!records.isEmpty()) {
            out.put("p", records);
        }
        if (a.suspects != core.suspectsAt()) {
            out.put("sn", core.suspectsAt());
            out.put("sq", core.suspects());
        }
        out.put("f", core.fronts());
        long sure = core.sureFor();
        if (sure > 0) {
            out.put("su", sure);
            // It counts from its question, which was before now.
            a.sureTill = Math.max(a.sureTill, core.host.now() + sure);
        }
        List<Object> places = core.places();
        if (!places.equals(a.places)) {
            a.places = places;
            out.put("cp", places);
        }
        a.link.send(Pack.write(out));
    }

    /** There is news: whoever waits and lacks it is answered. */
    void news() {
        versions.decided(core.register.committed());
        for (Asker a : fronts.values()) {
            if (a.waits) {
                answer(a);
            }
        }
    }

    /** Whether all who ask here have this record, or hold nothing sure against it. */
    boolean cleared(long record) {
        long now = core.host.now();
        for (Asker a : fronts.values()) {
            if (a.sureTill > now && a.record < record) {
                return false;
            }
        }
        return true;
    }

    Sight sight(String service, String primary) {
        Sight all = new Sight(primary, 0, 0, 0);
        long now = core.host.now();
        for (Asker a : fronts.values()) {
            Sight one = a.sights.get(service);
            if (one != null && one.primary().equals(primary) && now - a.heard < 1_500) {
                all = all.plus(one);
            }
        }
        return all;
    }

    Acknowledged acknowledged(String service) {
        return acknowledged.getOrDefault(service, Acknowledged.NONE);
    }

    void acknowledged(String service, Acknowledged also) {
        if (!also.equals(Acknowledged.NONE)
                && (acknowledged.size() < MOST || acknowledged.containsKey(service))) {
            acknowledged.merge(service, also, Acknowledged::and);
        }
    }

    /** How many ask here. */
    int count() {
        long now = core.host.now();
        fronts.values().removeIf(a -> now - a.heard > FORGOTTEN_MS);
        int count = 0;
        for (Asker a : fronts.values()) {
            count += now - a.heard < COUNTED_MS ? 1 : 0;
        }
        return count;
    }
}
