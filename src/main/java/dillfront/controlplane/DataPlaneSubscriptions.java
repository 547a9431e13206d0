package dillfront.controlplane;

import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.environment.Environment;
import dillfront.common.message.MessageCodec;
import dillfront.controlplane.failover.PrimaryObservation;
import dillfront.controlplane.failover.PrimaryRecord;
import dillfront.controlplane.subscription.ConfigurationHistory;
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
final class DataPlaneSubscriptions {

    private static final long HOLD_MS = 600;

    /** A front that has not asked for so long is not counted. */
    private static final long COUNTED_MS = 1_500;

    private static final long FORGOTTEN_MS = 60_000;
    private static final int MOST = 6_000;

    /** One front, over all the connections it has had here. */
    private static final class Subscription {
        Environment.Connection link;
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
        final Map<String, PrimaryObservation> sights = new HashMap<>();
    }

    private final ControlNode core;
    private final TreeMap<String, Subscription> fronts = new TreeMap<>();

    /**
     * By service: what any front ever told of acknowledged commits, here or at another control
     * process.
     */
    private final Map<String, AcknowledgedCommits> acknowledged = new HashMap<>();

    private final ConfigurationHistory versions = new ConfigurationHistory();

    DataPlaneSubscriptions(ControlNode core) {
        this.core = core;
    }

    void onPoll(Environment.Connection link, MessageCodec.Fields in) {
        String name = in.string("n");
        if (name.isEmpty() || fronts.size() >= MOST && !fronts.containsKey(name)) {
            return;
        }
        Subscription a = fronts.computeIfAbsent(name, n -> new Subscription());
        if (a.link != link) {
            a.link = link;
            a.places = List.of();
        }
        a.question = in.number("q", 0);
        a.heard = core.host.nowMillis();
        a.waits = true;
        a.boot = in.string("b");
        a.has = in.number("r", 0);
        a.version = in.number("c", -1);
        a.digest = in.number("cd", a.digest);
        a.wantsWhole = in.flag("cw");
        a.patient = in.flag("hw");
        int lost = 0;
        for (PrimaryObservation seen : a.sights.values()) {
            lost += seen.unreachable();
        }
        long had = a.record;
        a.record = in.number("k", -1);
        a.suspects = in.number("sn", -1);
        Map<String, PrimaryObservation> saw = new HashMap<>(a.sights);
        a.sights.clear();
        boolean news = false;
        boolean waited = false;
        List<Object> suspected = core.suspects();
        for (MessageCodec.Fields row : in.maps("s")) {
            String service = row.string("s");
            long sees = row.number("h", 0);
            acknowledgedCommits(service, AcknowledgedCommits.parse(row.string("a")));
            a.sights.put(
                    service,
                    new PrimaryObservation(
                            row.string("p"),
                            sees > 0 ? 1 : 0,
                            sees < 0 ? 1 : 0,
                            (int) Math.max(0, Math.min(1 << 20, row.number("o", 0)))));
            lost -= sees < 0 ? 1 : 0;
            PrimaryRecord lead = core.lead(service);
            news |= sees < 0 || lead == null || lead.moving() || suspected.contains(service);
            // Whoever holds the duty waits for just this.
            PrimaryObservation before = saw.get(service);
            waited |=
                    lead != null
                            && lead.moving()
                            && (had < lead.number() && a.record >= lead.number()
                                    || before != null
                                            && before.openTransactions() > 0
                                            && a.sights.get(service).openTransactions() == 0);
        }
        if (lost != 0 || waited) {
            core.poke();
        }
        long question = a.question;
        if (!answer(a)) {
            core.host.schedule(
                    HOLD_MS,
                    () -> {
                        if (a.waits && a.question == question) {
                            send(a);
                        }
                    });
        }
        if (news) {
            core.failover.poll();
        }
    }

    /**
     * Whether this front lacks anything, and has been told so. Out of contact with a majority it is
     * told that, and no more.
     */
    private boolean answer(Subscription a) {
        if (core.isIsolated() && a.patient) {
            return false;
        }
        boolean lacks =
                core.isIsolated()
                        || !a.boot.equals(core.boot())
                        || a.has < core.registry.version()
                        || a.version < core.register.committedConfiguration().revision()
                        || a.record < core.records.newestNumber()
                        || a.suspects != core.suspectsAt()
                                && (a.suspects >= 0 || !core.suspects().isEmpty());
        if (lacks) {
            send(a);
        }
        return lacks;
    }

    private void send(Subscription a) {
        a.waits = false;
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("q", a.question);
        if (core.isIsolated()) {
            // What it has may be old by now: another is to be asked, of those that it knows of.
            out.put("alone", true);
            out.put("cp", core.places());
            a.link.send(MessageCodec.encode(out));
            return;
        }
        boolean whole = !a.boot.equals(core.boot());
        if (whole || a.has < core.registry.version()) {
            out.put("b", core.boot());
            out.put("r", core.registry.version());
            out.put("w", whole);
            out.put("m", core.registry.rowsSince(whole ? -1 : a.has));
        }
        versions.append(core.register.committedConfiguration());
        if (a.version < versions.newest().revision()) {
            byte[] delta = a.wantsWhole ? null : versions.deltaFrom(a.version, a.digest);
            out.put("cv", versions.newest().revision());
            out.put(delta == null ? "cz" : "cx", delta == null ? versions.compressed() : delta);
        }
        List<Object> records = new ArrayList<>();
        for (PrimaryRecord lead : core.records.all()) {
            if (a.record < lead.number()) {
                records.add(lead.toRow());
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
            a.sureTill = Math.max(a.sureTill, core.host.nowMillis() + sure);
        }
        List<Object> places = core.places();
        if (!places.equals(a.places)) {
            a.places = places;
            out.put("cp", places);
        }
        a.link.send(MessageCodec.encode(out));
    }

    /** There is news: whoever waits and lacks it is answered. */
    void publish() {
        versions.append(core.register.committedConfiguration());
        for (Subscription a : fronts.values()) {
            if (a.waits) {
                answer(a);
            }
        }
    }

    /** Whether all who ask here have this record, or hold nothing sure against it. */
    boolean allHaveRecord(long record) {
        long now = core.host.nowMillis();
        for (Subscription a : fronts.values()) {
            if (a.sureTill > now && a.record < record) {
                return false;
            }
        }
        return true;
    }

    PrimaryObservation observation(String service, String primary) {
        PrimaryObservation all = new PrimaryObservation(primary, 0, 0, 0);
        long now = core.host.nowMillis();
        for (Subscription a : fronts.values()) {
            PrimaryObservation one = a.sights.get(service);
            if (one != null && one.primary().equals(primary) && now - a.heard < 1_500) {
                all = all.merge(one);
            }
        }
        return all;
    }

    AcknowledgedCommits acknowledgedCommits(String service) {
        return acknowledged.getOrDefault(service, AcknowledgedCommits.NONE);
    }

    void acknowledgedCommits(String service, AcknowledgedCommits also) {
        if (!also.equals(AcknowledgedCommits.NONE)
                && (acknowledged.size() < MOST || acknowledged.containsKey(service))) {
            acknowledged.merge(service, also, AcknowledgedCommits::merge);
        }
    }

    /** How many ask here. */
    int activeCount() {
        long now = core.host.nowMillis();
        fronts.values().removeIf(a -> now - a.heard > FORGOTTEN_MS);
        int count = 0;
        for (Subscription a : fronts.values()) {
            count += now - a.heard < COUNTED_MS ? 1 : 0;
        }
        return count;
    }
}
