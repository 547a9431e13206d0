package dillfront.core;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import dillfront.host.Acknowledged;
import dillfront.host.Configuration;
import dillfront.host.Host;
import dillfront.host.HttpDoor;
import dillfront.host.Pack;
import dillfront.host.Settings;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

/**
 * One control process. It and its like tell each other what they have, often and at once where
 * something changed; there is no log and no leader. One loop calls all of it.
 */
public final class Core implements Lease.Ground<Peer> {

    private static final long TICK_MS = 400;
    private static final long LOOK_MS = 50;
    private static final long LATE_MS = 300;

    /** One that was not heard for so long is out of touch. */
    static final long TOUCH_MS = 1_300;

    /** What a majority answered so long ago is fresh: two ticks, and the way there and back. */
    private static final long FRESH_MS = 850;

    /**
     * That a primary leads is sure for no longer than this after the duty's holder last said so.
     */
    static final long SURE_MS = 3_000;

    /**
     * Nor for longer than this past the end of its lease. At the most for which the next holder's
     * wait covers clocks that differ by a tenth: (2250 + 600) * 1.1 < 2500 + 700 / 1.1.
     */
    static final long PAST_MS = 600;

    private static final int DIAL_MS = 700;
    private static final long REDIAL_MS = 200;

    /** A dial that is out for so long went to a life that is over, where another is heard. */
    private static final long HANGS_MS = 100;

    /** A connection that brought no answer for so long is left. */
    private static final long DEAF_MS = 1_500;

    /** Who calls waits a second for an answer. */
    static final long ANSWER_MS = 900;

    /** Where it ends in order, others get so long to have what only it holds. */
    private static final long HAND_OVER_MS = 2_000;

    private static final long LAST_WORD_MS = 50;
    private static final long FORGOTTEN_MS = 60_000;
    private static final long BEAT_ANSWER_MS = 850;

    /**
     * One that said that it leaves has ended by then, even where it serves on for many seconds past
     * its time.
     */
    private static final long ENDED_MS = 30_000;

    private static final long FEWER_MS = 15_000;
    static final long TOGETHER_MS = 20;
    private static final int MOST_BEATS = 60_000;
    private static final int MOST_PEERS = 32;

    final Host host;
    final Settings settings;
    final Members members = new Members();
    final Table table = new Table(this, members);
    final Records records = new Records(this);
    final Register register;
    final Lease lease;
    final Askers askers;
    final Duty duty;
    final DataLosses losses;
    private final Store store;
    private final String boot;

    /** The seeds of the first start of all; empty where this process began later. */
    private String firstSeeds = "";

    private final TreeMap<String, Peer> peers = new TreeMap<>();

    /**
     * Those that beat here, the last one first; one that beat again stands there twice for a while.
     */
    private final ArrayDeque<Member> beats = new ArrayDeque<>();

    private String id = "";

    /** Its id is on the disk, so it may be told. */
    private boolean named;

    private boolean leaving;
    private final Settling settling = new Settling();
    private TreeSet<String> changesTo = new TreeSet<>();
    private boolean poked;
    private long pokedAt = -TOGETHER_MS;
    private boolean telling;
    private long toldAt = -TOGETHER_MS;
    private long lookedAt;
    private long awayAt = Long.MIN_VALUE / 2;
    private boolean wasAlone;
    private boolean inContact;
    private TreeSet<String> suspects = new TreeSet<>();
    private long suspectsAt;
    private long sureUntil = Long.MIN_VALUE / 2;
    private long started;
    private int fronts = 1;
    private long frontsAt;

    private record Waits(long change, CompletableFuture<Void> done) {}

    /** Who waits until the disks of a majority have the table as far as this. */
    private final List<Waits> waits = new ArrayList<>();

    /**
     * @param store the disk; it may refuse writes, which are tried again
     */
    public Core(Host host, Settings settings, Store store) {
        this.host = host;
        this.settings = settings;
        this.store = new Durable(host, store);
        boot = Long.toHexString(host.chance().nextLong());
        register = new Register(this);
        lease = new Lease(this);
        askers = new Askers(this);
        duty = new Duty(this);
        losses = new DataLosses(this);
    }

    /** Takes over what the disk holds, and begins. */
    public void start() throws Configuration.Invalid {
        started = host.now();
        Map<String, String> kept = store.all();
        id = kept.getOrDefault("id", "");
        if (id.isEmpty()) {
            // An empty disk, or a damaged one: whoever was here before, this is another.
            id = ip() + "/" + Long.toHexString(host.chance().nextLong());
            firstSeeds = settings.first() ? sortedSeeds() : "";
            store(Map.of("id", id, "first-seeds", firstSeeds))
                    .thenRun(
                            () -> {
                                named = true;
                                poke();
                            });
        } else {
            named = true;
            firstSeeds = kept.getOrDefault("first-seeds", "");
        }
        register.load(kept);
        table.load(kept, started);
        records.load(kept);
        fronts = Integer.parseInt(kept.getOrDefault("fronts", "1"));
        frontsAt = started;
        lease.load(kept);
        seeds(settings.seedIps());
        found();
        tick();
        look();
    }

    private String sortedSeeds() {
        return String.join(",", new TreeSet<>(settings.seedIps()));
    }

    /** It is at its first start, or was ended during that and has its disk and the same seeds. */
    private boolean firstStart() {
        return !firstSeeds.isEmpty() && firstSeeds.equals(sortedSeeds());
    }

    /** Where others may be found, by the settings. */
    public void seeds(List<String> ips) {
        ips.forEach(this::peer);
    }

    private void peer(String ip) {
        if (ip.equals(ip()) || peers.containsKey(ip)) {
            return;
        }
        if (peers.size() >= MOST_PEERS) {
            peers.values()
                    .removeIf(
                            p ->
                                    !member(p.id)
                                            && host.now() - Math.max(p.heard, started)
                                                    > FORGOTTEN_MS);
        }
        if (peers.size() < MOST_PEERS) {
            peers.put(ip, new Peer(ip));
        }
    }

    // ---- what its parts ask

    String ip() {
        return settings.ip();
    }

    String boot() {
        return boot;
    }

    Iterable<Peer> peers() {
        return peers.values();
    }

    /**
     * Where control processes are, each with its zone, and whether it is heard; those that are come
     * first.
     */
    List<Object> places() {
        List<Object> places = new ArrayList<>();
        places.add(new TreeMap<>(Map.of("i", ip(), "z", settings.zone())));
        peers.values().stream()
                .filter(this::touch)
                .forEach(p -> places.add(new TreeMap<>(Map.of("i", p.ip, "z", p.zone))));
        peers.values().stream()
                .filter(p -> !touch(p))
                .forEach(p -> places.add(new TreeMap<>(Map.of("i", p.ip, "z", p.zone, "s", true))));
        return places;
    }

    @Override
    public String self() {
        return id;
    }

    String id() {
        return id;
    }

    @Override
    public long now() {
        return host.now();
    }

    @Override
    public long chance(long below) {
        return host.chance().nextLong(below);
    }

    @Override
    public void tell() {
        poke();
    }

    @Override
    public boolean holds() {
        return duty.settled();
    }

    /** A newer value is decided: members and configuration. */
    @Override
    public void decided(Value value) {
        value.members().forEach(member -> peer(Value.ip(member)));
        news();
    }

    /** The number of the set of members that this process goes by; 0 before there is one. */
    @Override
    public long epoch() {
        return register.held() == null ? 0 : register.held().epoch();
    }

    @Override
    public boolean member(String of) {
        Value is = register.held();
        return is != null && (is.members().contains(of) || is.outgoing().contains(of));
    }

    /** Whether its own word counts. */
    @Override
    public boolean votes() {
        return member(id);
    }

    @Override
    public int rank() {
        return register.held() == null ? 0 : register.held().members().headSet(id).size();
    }

    private Peer peerOf(String of) {
        Peer p = peers.get(Value.ip(of));
        return p != null && p.id.equals(of) ? p : null;
    }

    /** Whether a majority of each set in force has this, itself where it says so. */
    boolean quorum(boolean itself, Predicate<Peer> other) {
        Value is = register.held();
        return is != null
                && is.quorum(
                        of ->
                                of.equals(id)
                                        ? itself
                                        : peerOf(of) != null && other.test(peerOf(of)));
    }

    @Override
    public long reached(long itself, ToLongFunction<? super Peer> moment) {
        Value is = register.held();
        return is == null
                ? Lease.NEVER
                : is.reached(
                        of ->
                                of.equals(id)
                                        ? itself
                                        : peerOf(of) == null
                                                ? Lease.NEVER
                                                : moment.applyAsLong(peerOf(of)));
    }

    @Override
    public Iterable<Peer> voters() {
        return peers.values();
    }

    @Override
    public long stalledFor() {
        return store.stalledFor();
    }

    boolean touch(Peer p) {
        return host.now() - p.heard < TOUCH_MS;
    }

    /** No majority has answered it of late: it may know less than others do. */
    @Override
    public boolean alone() {
        return reached(host.now(), p -> p.echo) < host.now() - TOUCH_MS;
    }

    @Override
    public CompletableFuture<Void> store(Map<String, String> texts) {
        return store.put(texts);
    }

    Lead lead(String service) {
        return records.of(service);
    }

    /** Takes a record in where it is newer. */
    void lead(Lead next) {
        if (records.take(next)) {
            news();
            poke();
        }
    }

    /** The holder suspects the primaries of these: whoever sees them is asked what he sees. */
    void suspects(TreeSet<String> now) {
        if (!now.equals(suspects)) {
            suspects = now;
            suspectsAt++;
            news();
            if (duty.settled()) {
                poke();
            }
        }
    }

    List<Object> suspects() {
        return new ArrayList<>(suspects);
    }

    long suspectsAt() {
        return suspectsAt;
    }

    private void keep() {
        table.keep(
                peers.values().stream().map(p -> p.table).toList(),
                () -> {
                    acknowledge();
                    poke();
                });
    }

    /** For how long from now it is sure that no other leads than the records say. */
    long sureFor() {
        if (duty.settled()) {
            return Math.min(SURE_MS, lease.until() - host.now() + PAST_MS);
        }
        return sureUntil - host.now();
    }

    int fronts() {
        return fronts;
    }

    /**
     * There is news for fronts: at once, or together with what else comes within a moment of the
     * last.
     */
    void news() {
        if (!telling) {
            telling = true;
            host.after(
                    Math.max(0, toldAt + TOGETHER_MS - host.now()),
                    () -> {
                        telling = false;
                        toldAt = host.now();
                        askers.news();
                    });
        }
    }

    // ---- the words between control processes

    /** A word to all: at once, or together with what else comes within a moment of the last. */
    void poke() {
        if (!poked) {
            poked = true;
            host.after(
                    Math.max(0, pokedAt + TOGETHER_MS - host.now()),
                    () -> {
                        poked = false;
                        pokedAt = host.now();
                        peers.values().forEach(this::tell);
                    });
        }
    }

    private void tick() {
        host.after(TICK_MS, this::tick);
        int asking = askers.count();
        for (Peer p : peers.values()) {
            if (p.up && host.now() - Math.max(p.echo, p.upAt) > DEAF_MS) {
                // What is on its way there may wait for seconds behind what a cut has swallowed.
                leave(p);
            }
            if (!p.up && host.now() >= p.dialAt) {
                dial(p);
            }
            if (touch(p)) {
                asking += p.fronts;
            }
        }
        // Fewer are believed only after a while: those that start again come back to their
        // connections.
        int many = Math.max(1, asking);
        if (many >= fronts) {
            frontsAt = host.now();
        }
        if (many > fronts || many < fronts && host.now() - frontsAt > FEWER_MS) {
            fronts = many;
            frontsAt = host.now();
            store(Map.of("fronts", Integer.toString(fronts)));
        }
        peers.values().forEach(this::tell);
        register.retain(of -> peerOf(of) != null);
        if (members.expire(host.now(), ENDED_MS)) {
            news();
        }
    }

    private void look() {
        host.after(LOOK_MS, this::look);
        if (host.now() - lookedAt > LATE_MS) {
            // Whoever was away himself has no ground to call others silent.
            duty.away();
            awayAt = host.now();
        }
        lookedAt = host.now();
        noticeContact();
        boolean is = alone();
        if (is != wasAlone && host.now() > started + TOUCH_MS) {
            wasAlone = is;
            host.wrong(
                    is ? "no majority of control processes is heard" : "a majority is heard again");
        }
        lease.look();
        duty.look();
        register.look();
        found();
        change();
        acknowledge();
        keep();
    }

    /** Whoever waits here is told at once that contact is there, or gone. */
    private void noticeContact() {
        if (alone() == inContact) {
            inContact = !inContact;
            askers.news();
        }
    }

    /**
     * The first set of members, by one process alone: the lowest of the seeds, once each of them
     * has said that it is at its first start and belongs to nothing.
     */
    private void found() {
        List<String> ips = new ArrayList<>(new TreeSet<>(settings.seedIps()));
        if (!firstStart()
                || !named
                || !register.blank()
                || ips.isEmpty()
                || !ips.get(0).equals(ip())) {
            return;
        }
        TreeSet<String> ids = new TreeSet<>();
        ids.add(id);
        for (String ip : ips) {
            Peer p = peers.get(ip);
            if (p != null && p.fresh && p.echo >= started) {
                ids.add(p.id);
            }
        }
        if (ids.size() == ips.size()) {
            host.note("founded by " + ids);
            register.found(ids);
        }
    }

    /** Who counts, as the holder of the lease sees it. */
    private void change() {
        Value is = register.decided();
        if (is == null || !duty.settled() || !register.highest().equals(register.decidedBallot())) {
            return;
        }
        if (!is.joint()) {
            settling.none();
            List<Membership.Process> seen = new ArrayList<>();
            seen.add(new Membership.Process(id, settings.zone(), 0, true, leaving));
            for (Peer p : peers.values()) {
                if (!p.id.isEmpty()) {
                    long silent = host.now() - Math.max(Math.max(p.heard, started), awayAt);
                    boolean near =
                            p.echo > host.now() - TOUCH_MS
                                    && p.epoch == is.epoch()
                                    && p.record >= records.newest()
                                    && register.acceptedBy(p.id).equals(register.decidedBallot());
                    seen.add(new Membership.Process(p.id, p.zone, silent, near, p.leaving));
                }
            }
            for (String member : is.members()) {
                if (peerOf(member) == null && !member.equals(id)) {
                    long silent = host.now() - Math.max(started, awayAt);
                    boolean another =
                            peers.containsKey(Value.ip(member))
                                    && !peers.get(Value.ip(member)).id.isEmpty();
                    seen.add(
                            new Membership.Process(
                                    member, "", another ? Long.MAX_VALUE : silent, false, false));
                }
            }
            TreeSet<String> next = Membership.next(is.members(), seen, settings.losses());
            if (next.equals(is.members())) {
                changesTo = next;
            } else {
                if (!next.equals(changesTo)) {
                    host.wrong("members " + is.members() + " to " + next);
                    changesTo = next;
                }
                register.members(is.epoch(), next);
            }
            return;
        }
        // All that the old set had when it agreed to the joint one is known here; then the new one
        // has it on its disks.
        Ballot joint = register.decidedBallot();
        if (settling.may(
                is,
                joint,
                of -> register.acceptedBy(of).equals(joint),
                table.changes(),
                records.newest(),
                this::onDisk)) {
            register.settle(is.epoch());
        }
    }

    private boolean onDisk(String of, long change, long record) {
        return of.equals(id)
                ? table.durable() >= change && records.durable() >= record
                : peerOf(of) != null
                        && table.kept(peerOf(of).table) >= change
                        && peerOf(of).record >= record;
    }

    private void leave(Peer p) {
        p.link.close();
        p.up = false;
        p.dialAt = host.now() + REDIAL_MS;
    }

    private void dial(Peer p) {
        p.dialAt = host.now() + DIAL_MS + REDIAL_MS;
        p.dialing = true;
        p.dialedAt = host.now();
        p.up = false;
        long mine = ++p.dials;
        p.link =
                host.dial(
                        settings.innerOf(p.ip),
                        Host.Form.FRAMES,
                        DIAL_MS,
                        new Host.Ear() {
                            @Override
                            public void opened(Host.Link link) {
                                if (mine != p.dials) {
                                    return;
                                }
                                p.link = link;
                                p.up = true;
                                p.dialing = false;
                                p.upAt = host.now();
                                p.toldAt = host.now() - 2 * settings.beat();
                                p.placesTold = "";
                                register.again(p.id);
                                tell(p);
                            }

                            @Override
                            public void message(byte[] message) {
                                // Words come on the other's own connection.
                            }

                            @Override
                            public void closed(String why) {
                                if (mine == p.dials) {
                                    p.up = false;
                                    p.dialing = false;
                                    p.dialAt = host.now() + REDIAL_MS;
                                }
                            }
                        });
    }

    private void tell(Peer p) {
        if (!p.up || !named) {
            return;
        }
        if (p.link.waiting() > 1 << 20) {
            leave(p);
            return;
        }
        long now = host.now();
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("t", "word");
        out.put("i", ip());
        out.put("z", settings.zone());
        out.put("b", boot);
        out.put("n", now);
        out.put("e", p.itsNow);
        out.put("eb", p.boot);
        out.put("id", id);
        out.put("ep", epoch());
        if (!p.id.isEmpty()) {
            out.put("rg", register.say(p.id));
        }
        if (register.blank() && firstStart()) {
            out.put("fs", true);
        }
        if (leaving) {
            out.put("lv", true);
        }
        if (lease.given() > 0) {
            out.put("rl", lease.given());
            out.put("rh", lease.gaveUpHeld());
        }
        List<String> places = new ArrayList<>();
        peers.values()
                .forEach(
                        o -> {
                            if (touch(o)) {
                                places.add(o.ip);
                            }
                        });
        if (!places.toString().equals(p.placesTold)) {
            p.placesTold = places.toString();
            out.put("pl", places);
        }
        table.say(out, p.table);
        List<Object> alive = new ArrayList<>();
        for (Member m : beats) {
            if (m.heardHere < p.toldAt) {
                break;
            }
            alive.add(m.id);
            alive.add(now - m.heardHere);
            alive.add(m.sequence);
        }
        if (!alive.isEmpty()) {
            out.put("al", alive);
        }
        p.toldAt = now + 1;
        out.put("p", lease.promised());
        out.put("pt", lease.promisedTo());
        out.put("pg", lease.granted());
        if (lease.formerUntil() > now) {
            out.put("pf", lease.formerUntil() - now);
        }
        out.put("w", lease.wanted());
        records.say(out, p.record);
        List<Object> cleared = new ArrayList<>();
        List<Object> sights = new ArrayList<>();
        for (Lead lead : records.all()) {
            if (lead.moving() && askers.cleared(lead.number())) {
                cleared.add(lead.service());
                cleared.add(lead.number());
            }
            Sight seen = askers.sight(lead.service(), lead.primary());
            if (seen.lost() > 0 || lead.moving()) {
                sights.add(
                        List.of(
                                lead.service(),
                                lead.primary(),
                                seen.well(),
                                seen.lost(),
                                seen.open(),
                                askers.acknowledged(lead.service()).toString()));
            }
        }
        if (!cleared.isEmpty()) {
            out.put("cl", cleared);
        }
        if (!sights.isEmpty()) {
            out.put("s", sights);
        }
        if (duty.settled()) {
            out.put("h", true);
            out.put("hl", lease.until() - now);
        }
        losses.tell(out);
        out.put("f", askers.count());
        if (duty.settled() && !suspects.isEmpty()) {
            out.put("sq", suspects());
        }
        p.link.send(Pack.write(out));
    }

    /** A word of another control process. */
    private void heard(Pack.Fields in) {
        String ip = in.text("i");
        peer(ip);
        Peer p = peers.get(ip);
        if (p == null) {
            return;
        }
        long now = host.now();
        if (in.text("id").isEmpty()) {
            return;
        }
        if (in.text("b").equals(p.boot) && in.number("n", 0) < p.itsNow) {
            // Older than what it said last.
            return;
        }
        if (!in.text("b").equals(p.boot) || !in.text("id").equals(p.id)) {
            p.boot = in.text("b");
            p.earlier = p.heard;
            // An answer at once, on a connection to this life: it counts nobody whom it has not
            // heard answer, and what went out
            // to its life before may hang for long.
            if (p.up && p.earlier > started || p.dialing && host.now() - p.dialedAt > HANGS_MS) {
                p.link.close();
                dial(p);
            }
            poke();
            p.id = in.text("id");
            p.table = new Progress();
            p.promised = 0;
            p.promisedTo = "";
            p.wanted = 0;
            p.echo = Long.MIN_VALUE / 2;
            p.record = -1;
            p.cleared.clear();
        }
        p.heard = now;
        if (!p.up && !p.dialing) {
            // It is there: whoever waits for the next tick hears no answer before.
            dial(p);
        }
        p.zone = in.text("z");
        p.itsNow = in.number("n", 0);
        boolean ours = in.text("eb").equals(boot);
        if (ours) {
            p.echo = Math.max(p.echo, in.number("e", Long.MIN_VALUE / 2));
        }
        boolean changed = table.hear(in, p.table, ours);
        List<String> alive = in.texts("al");
        for (int i = 0; i + 2 < alive.size(); i += 3) {
            Member m = members.get(alive.get(i));
            if (m != null) {
                m.heard = Math.max(m.heard, now - Long.parseLong(alive.get(i + 1)));
                m.sequence = Math.max(m.sequence, Long.parseLong(alive.get(i + 2)));
            }
        }
        p.epoch = in.number("ep", 0);
        p.fresh = in.bit("fs");
        p.leaving = in.bit("lv");
        in.texts("pl").forEach(this::peer);
        if (in.all().get("rg") instanceof Map<?, ?> map) {
            @SuppressWarnings("unchecked")
            Map<String, Object> fields = (Map<String, Object>) map;
            try {
                register.hear(p.id, new Pack.Fields(fields));
            } catch (Configuration.Invalid never) {
                host.wrong(
                        "a configuration of " + ip + " is not understood: " + never.getMessage());
            }
        }
        p.promised = in.number("p", 0);
        p.promisedTo = in.text("pt");
        p.granted = in.number("pg", Lease.NEVER);
        p.wanted = in.number("w", 0);
        p.formerUntil = in.number("pf", 0) > 0 ? now + in.number("pf", 0) : Lease.NEVER;
        p.record = in.number("k", -1);
        if (records.hear(in)) {
            news();
            poke();
        }
        List<String> cleared = in.texts("cl");
        p.cleared.clear();
        for (int i = 0; i + 1 < cleared.size(); i += 2) {
            p.cleared.put(cleared.get(i), Long.parseLong(cleared.get(i + 1)));
        }
        p.sights.clear();
        Object seen = in.all().get("s");
        if (seen instanceof List<?> list) {
            for (Object one : list) {
                if (one instanceof List<?> row && row.size() == 6) {
                    p.sights.put(
                            String.valueOf(row.get(0)),
                            new Sight(
                                    String.valueOf(row.get(1)),
                                    ((Number) row.get(2)).intValue(),
                                    ((Number) row.get(3)).intValue(),
                                    ((Number) row.get(4)).intValue()));
                    askers.acknowledged(
                            String.valueOf(row.get(0)),
                            Acknowledged.of(String.valueOf(row.get(5))));
                }
            }
        }
        p.fronts = (int) in.number("f", 0);
        if (in.bit("h")) {
            suspects(new TreeSet<>(in.texts("sq")));
        }
        losses.heard(in, ours);
        lease.wants(p, p.wanted, p.itsNow);
        lease.released(p, in.number("rl", 0), in.bit("rh"));
        if (in.bit("h") && ours && p.promised >= lease.promised()) {
            // Dated from before the holder looked at its clock: it ends no later than by that
            // one's.
            long left = Math.min(SURE_MS, in.number("hl", -PAST_MS) + PAST_MS);
            sureUntil = Math.max(sureUntil, in.number("e", Long.MIN_VALUE / 2) + left);
        }
        if (changed) {
            news();
            poke();
            keep();
        }
        noticeContact();
        register.look();
        duty.look();
        acknowledge();
    }

    /**
     * Ends in order: what only this process holds is on the disks of others first, a set that has
     * enough without it goes on without it, and the lease goes back before its time.
     */
    public void leave(Runnable end) {
        if (leaving) {
            return;
        }
        leaving = true;
        host.note("leaves");
        peers.values().forEach(this::tell);
        leave(end, host.now() + Math.min(HAND_OVER_MS, settings.grace() / 2));
    }

    private void leave(Runnable end, long until) {
        Value is = register.held();
        boolean others =
                is == null
                        || !votes()
                        || is.quorum(
                                of ->
                                        of.equals(id)
                                                || onDisk(of, members.changes(), records.durable())
                                                        && register.acceptedBy(of)
                                                                        .compareTo(
                                                                                register.accepted())
                                                                >= 0);
        boolean stays = is != null && votes() && is.members().size() > 2 * settings.losses() + 1;
        if (host.now() < until && (!others || stays)) {
            change();
            host.after(TOGETHER_MS, () -> leave(end, until));
            return;
        }
        lease.leave();
        peers.values().forEach(this::tell);
        host.after(LAST_WORD_MS, end);
    }

    // ---- what a majority has heard

    private CompletableFuture<Void> majorityHas(long change) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        waits.add(new Waits(change, done));
        keep();
        poke();
        acknowledge();
        return done;
    }

    private void acknowledge() {
        if (waits.isEmpty()) {
            return;
        }
        long agreed = reached(table.durable(), p -> table.kept(p.table, p.epoch, epoch()));
        List<Waits> over = new ArrayList<>();
        waits.removeIf(w -> w.done().isDone() || w.change() <= agreed && over.add(w));
        over.forEach(w -> w.done().complete(null));
    }

    /**
     * Completes once a majority has answered what was sent since then; fails at once where it is
     * out of contact.
     */
    private CompletableFuture<Void> contact(long since) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        contact(since, done);
        return done;
    }

    private void contact(long since, CompletableFuture<Void> done) {
        if (reached(host.now(), p -> p.echo) >= since) {
            done.complete(null);
        } else if (alone()) {
            done.completeExceptionally(new IllegalStateException(NOBODY));
        } else {
            host.after(TOGETHER_MS, () -> contact(since, done));
        }
    }

    /**
     * Completes with what was decided at some moment from now on, as a majority that answers from
     * now on says.
     */
    private CompletableFuture<Configuration> read() {
        CompletableFuture<Configuration> done = new CompletableFuture<>();
        peers.values().forEach(this::tell);
        read(host.now(), new Reading(), done);
        return done;
    }

    private void read(long from, Reading reading, CompletableFuture<Configuration> done) {
        if (done.isDone()) {
            return;
        }
        if (alone()) {
            done.completeExceptionally(new IllegalStateException(NOBODY));
            return;
        }
        Configuration is =
                reading.look(
                        register,
                        of -> of.equals(id) || peerOf(of) != null && peerOf(of).echo >= from);
        if (is != null) {
            done.complete(is);
        } else {
            host.after(TOGETHER_MS, () -> read(from, reading, done));
        }
    }

    // ---- the doors

    /** Whoever connects to the inner port: other control processes and fronts. */
    public Host.Ear accept() {
        return new Host.Ear() {
            private Host.Link link;

            @Override
            public void opened(Host.Link opened) {
                link = opened;
            }

            @Override
            public void message(byte[] message) {
                try {
                    Pack.Fields in = Pack.read(message);
                    if (in.text("t").equals("word")) {
                        heard(in);
                    } else if (in.text("t").equals("news")) {
                        askers.asked(link, in);
                    }
                } catch (Pack.Bad
                        | ClassCastException
                        | NumberFormatException
                        | NullPointerException bad) {
                    host.wrong("a message that is none: " + bad.getMessage());
                    link.close();
                }
            }

            @Override
            public void closed(String why) {
                // It comes again.
            }
        };
    }

    private static final String BEAT = "/Instances.Heartbeat/";
    private static final String LEAVE = "/Instances.Leave/";

    /** The calls of database servers and operators. */
    public CompletableFuture<Host.Answer> call(String method, String path, byte[] body) {
        boolean post = method.equals("POST");
        if (path.startsWith(BEAT)) {
            return post ? beat(path.substring(BEAT.length()), body) : said(405, "POST only");
        } else if (path.startsWith(LEAVE)) {
            return post ? leave(path.substring(LEAVE.length())) : said(405, "POST only");
        } else if (path.equals("/Configuration.Replace")) {
            return post ? replace(path, body) : said(405, "POST only");
        } else if (path.equals("/Configuration.Read")) {
            return method.equals("GET") ? answerRead(path) : said(405, "GET only");
        }
        if (path.equals(DataLosses.ACCEPT)) {
            return !post ? said(405, "POST only") : losses.accept(body, !alone() && !leaving);
        }
        if (path.equals("/status")) {
            return CompletableFuture.completedFuture(
                    new Host.Answer(
                            200,
                            Json.object()
                                    .add("status", status())
                                    .add("lacking", losses.shown())
                                    .toString()
                                    .getBytes(StandardCharsets.UTF_8)));
        }
        return said(404, "no such call");
    }

    static CompletableFuture<Host.Answer> said(int status, String fault) {
        return CompletableFuture.completedFuture(HttpDoor.said(status, fault));
    }

    static final String NOBODY = "no majority of control processes is heard; ask another";
    private static final Host.Answer FINE =
            new Host.Answer(200, "{}".getBytes(StandardCharsets.UTF_8));

    /**
     * It can decide nothing: no majority answers it, it is about to end, or its disk stands still.
     */
    private boolean unfit() {
        return alone() || leaving || store.stalledFor() > ANSWER_MS;
    }

    /** 503 where another call here may do better. */
    private Host.Answer failed(String path, String fault) {
        return unfit() ? elsewhere(path) : HttpDoor.said(503, fault);
    }

    /**
     * The caller is sent on to one of those that were heard last; to a member, or where members are
     * not known to a seed, where this process was started out of contact. He may know nobody else,
     * or call here again and again. One that is down itself costs him a second, as one that he
     * picks may; two that are cut off send him back and forth twice, and no further. Servers are
     * not sent on: they go on by themselves at once, and a second is most of what a beat has.
     */
    private Host.Answer elsewhere(String path) {
        List<Peer> able = new ArrayList<>();
        long last = peers.values().stream().mapToLong(p -> p.heard).max().orElse(Long.MIN_VALUE);
        Value is = register.held();
        for (Peer p : peers.values()) {
            boolean member =
                    is == null || is.members().stream().anyMatch(of -> Value.ip(of).equals(p.ip));
            if (last >= started
                    ? !p.leaving && p.heard > last - TOUCH_MS
                    : member && host.now() > started + TOUCH_MS) {
                able.add(p);
            }
        }
        if (able.isEmpty()) {
            return HttpDoor.said(503, NOBODY);
        }
        String to =
                able.get(host.chance().nextInt(able.size())).ip
                        + settings.control().substring(settings.control().lastIndexOf(':'));
        return new Host.Answer(307, HttpDoor.said(307, NOBODY).body(), "http://" + to + path);
    }

    /** An answer once this is done, or 503 where it is not done in time. */
    CompletableFuture<Host.Answer> once(
            CompletableFuture<?> done, long ms, Supplier<Host.Answer> answer) {
        return once(done, ms, answer, fault -> HttpDoor.said(503, fault));
    }

    /** An answer once this is done, or another where it fails or is not done in time. */
    private CompletableFuture<Host.Answer> once(
            CompletableFuture<?> done,
            long ms,
            Supplier<Host.Answer> answer,
            Function<String, Host.Answer> otherwise) {
        CompletableFuture<Host.Answer> out = new CompletableFuture<>();
        done.whenComplete(
                (is, fault) ->
                        out.complete(
                                fault == null
                                        ? answer.get()
                                        : otherwise.apply(fault.getMessage())));
        host.after(
                ms,
                () -> {
                    if (out.complete(otherwise.apply("no majority in time"))) {
                        done.cancel(false);
                    }
                });
        return out;
    }

    private CompletableFuture<Host.Answer> beat(String id, byte[] body) {
        Map<String, Object> row = new HashMap<>();
        try {
            JsonObject in = Json.parse(new String(body, StandardCharsets.UTF_8)).asObject();
            row.put("i", id);
            row.put("v", text(in, "service"));
            row.put("a", text(in, "address"));
            row.put("z", text(in, "zone_name"));
            row.put("st", text(in, "state"));
            row.put("ro", text(in, "database_role"));
            row.put("q", in.getLong("call_sequence", 0));
        } catch (ParseException | UnsupportedOperationException | NumberFormatException bad) {
            return said(400, String.valueOf(bad.getMessage()));
        }
        if (alone() || leaving) {
            // Whoever is heard by a majority is to hear it.
            return said(503, NOBODY);
        }
        Member before = members.get(id);
        // One that was sent before another that is known here says nothing of now.
        boolean late = before != null && (long) row.get("q") < before.sequence;
        boolean changed = members.merge(new Pack.Fields(row), late ? before.heard : host.now());
        Member m = members.get(id);
        if (m == null) {
            return said(400, "no id in the path");
        }
        if (before == null) {
            members.succeeds(m);
        }
        if (!late) {
            m.heardHere = host.now();
            beats.addFirst(m);
        }
        while (!beats.isEmpty()
                && (host.now() - beats.getLast().heardHere > 3 * settings.beat()
                        || beats.size() > MOST_BEATS)) {
            beats.removeLast();
        }
        if (changed) {
            news();
            poke();
            duty.look();
        }
        // That it drains binds everybody, so a majority must know before it is told so.
        return m.draining()
                ? once(majorityHas(m.changed), BEAT_ANSWER_MS, () -> FINE)
                : CompletableFuture.completedFuture(FINE);
    }

    static String text(JsonObject in, String name) {
        JsonValue is = in.get(name);
        if (is == null || !is.isString() || is.asString().isEmpty()) {
            throw new UnsupportedOperationException(name + ": no text");
        }
        return is.asString();
    }

    private CompletableFuture<Host.Answer> leave(String id) {
        if (alone() || leaving) {
            return said(503, NOBODY);
        }
        if (id.isEmpty()) {
            return said(400, "no id in the path");
        }
        // Also where it is not known here: others may know it, and all are to.
        long before = members.changes();
        Member m = members.leaves(id);
        if (members.changes() > before) {
            news();
            poke();
            duty.look();
        }
        return once(majorityHas(m.changed), BEAT_ANSWER_MS, () -> FINE);
    }

    private CompletableFuture<Host.Answer> replace(String path, byte[] body) {
        Configuration next;
        try {
            next = Configuration.read(body);
        } catch (Configuration.Invalid bad) {
            return said(400, bad.getMessage());
        }
        if (unfit()) {
            return CompletableFuture.completedFuture(elsewhere(path));
        }
        // Also what was decided before, or is only heard to be, is said on the ground of a
        // majority's answer just now.
        CompletableFuture<Value.Outcome> order = register.order(next);
        CompletableFuture<Value.Outcome> done =
                order.thenCompose(
                        outcome -> contact(host.now() - FRESH_MS).thenApply(is -> outcome));
        // One that is given up here is proposed no more, unless it is under way.
        done.whenComplete((is, fault) -> order.cancel(false));
        return once(
                done,
                ANSWER_MS,
                () ->
                        done.join() == Value.Outcome.CONFLICT
                                ? HttpDoor.said(
                                        409,
                                        "revision_number "
                                                + next.version()
                                                + " has another content")
                                : FINE,
                fault -> failed(path, fault));
    }

    private CompletableFuture<Host.Answer> answerRead(String path) {
        if (alone() || leaving) {
            return CompletableFuture.completedFuture(elsewhere(path));
        }
        CompletableFuture<Configuration> done = read();
        return once(
                done,
                ANSWER_MS,
                () ->
                        done.join() == Configuration.NONE
                                ? HttpDoor.said(503, "no configuration yet")
                                : new Host.Answer(200, done.join().body()),
                fault -> failed(path, fault));
    }

    /** One line for operators and logs. */
    public String status() {
        StringBuilder line =
                new StringBuilder("version=")
                        .append(register.committed().version())
                        .append(" held=")
                        .append(
                                register.held() == null
                                        ? -1
                                        : register.held().configuration().version())
                        .append(" epoch=")
                        .append(epoch())
                        .append(" members=")
                        .append(register.held() == null ? "none" : register.held().members())
                        .append(
                                register.held() != null && register.held().joint()
                                        ? " outgoing=" + register.held().outgoing()
                                        : "")
                        .append(votes() ? "" : " learner")
                        .append(alone() ? " alone" : "")
                        .append(leaving ? " leaving" : "")
                        .append(" lease=")
                        .append(lease.number())
                        .append(lease.holds() ? " held" : "")
                        .append(" promised=")
                        .append(lease.promised())
                        .append(" to=")
                        .append(lease.promisedTo())
                        .append(" fronts=")
                        .append(fronts);
        records.all()
                .forEach(
                        l ->
                                line.append(" | ")
                                        .append(l.service())
                                        .append(" primary=")
                                        .append(l.primary())
                                        .append(l.moving() ? " moving" : "")
                                        .append(losses.status(l.service())));
        return line.toString();
    }
}
