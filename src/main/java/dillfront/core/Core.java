package dillfront.core;

import dillfront.host.Acknowledged;
import dillfront.host.Configuration;
import dillfront.host.Host;
import dillfront.host.HttpDoor;
import dillfront.host.Pack;
import dillfront.host.Settings;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
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

/**
 * One control process. It and its like tell each other what they have, often and at once where something changed; there is
 * no log and no leader. One loop calls all of it.
 */
public final class Core {

    private static final long TICK_MS = 400;
    private static final long LOOK_MS = 50;
    private static final long LATE_MS = 300;
    /** One that was not heard for so long is out of touch. */
    private static final long TOUCH_MS = 1_300;
    /** That a primary leads is sure for so long after the duty's holder last said so. */
    static final long SURE_MS = 3_000;
    private static final int DIAL_MS = 700;
    private static final long REDIAL_MS = 200;
    private static final long ANSWER_MS = 4_500;
    private static final long BEAT_ANSWER_MS = 850;
    private static final long FEWER_MS = 15_000;
    private static final long TOGETHER_MS = 20;
    private static final int MOST_BEATS = 60_000;
    private static final int MOST_PEERS = 32;

    final Host host;
    final Settings settings;
    final Members members = new Members();
    final Register register;
    final Lease lease;
    final Askers askers;
    final Duty duty;
    private final Store store;
    private final String boot;
    private final TreeMap<String, Peer> peers = new TreeMap<>();
    private TreeSet<String> voters = new TreeSet<>();
    private final TreeMap<String, Lead> leads = new TreeMap<>();
    /** The newest record that is known here, and that is on the disk with all before it. */
    private long record = -1;
    private long durableRecord = -1;
    /** The change of the table of servers that the disk has. */
    private long keptChange;
    /** Those that beat here, the last one first; one that beat again stands there twice for a while. */
    private final ArrayDeque<Member> beats = new ArrayDeque<>();
    private boolean keeping;
    private boolean recovering;
    private boolean poked;
    private long pokedAt = -TOGETHER_MS;
    private boolean telling;
    private long toldAt = -TOGETHER_MS;
    private long lookedAt;
    private boolean wasAlone;
    private TreeSet<String> suspects = new TreeSet<>();
    private long suspectsAt;
    private long sureFrom = Long.MIN_VALUE / 2;
    private long started;
    private int fronts = 1;
    private long frontsAt;

    private record Waits(long change, CompletableFuture<Void> done) { }

    /** Who waits until a majority has the table as far as this. */
    private final List<Waits> waits = new ArrayList<>();

    public Core(Host host, Settings settings, Store store) {
        this.host = host;
        this.settings = settings;
        this.store = store;
        boot = Long.toHexString(host.chance().nextLong());
        register = new Register(this);
        lease = new Lease(this);
        askers = new Askers(this);
        duty = new Duty(this);
    }

    /** Takes over what the disk holds, and begins. */
    public void start() throws Configuration.Invalid {
        started = host.now();
        Map<String, String> kept = store.all();
        if (kept.containsKey("voters")) {
            voters.addAll(List.of(kept.get("voters").split(",")));
        } else {
            voters.addAll(settings.seedIps());
            // An empty disk in a system that has been running: what this process had promised is not known here.
            recovering = !settings.first();
            if (settings.first()) {
                store(Map.of("voters", String.join(",", voters)));
            }
        }
        register.load(kept);
        members.load(kept, started);
        keptChange = members.changes();
        kept.forEach((name, text) -> {
            Lead lead = name.startsWith(LEAD) ? Lead.kept(name.substring(LEAD.length()), text) : null;
            if (lead != null) {
                leads.put(lead.service(), lead);
                record = Math.max(record, lead.number());
            }
        });
        durableRecord = record;
        fronts = Integer.parseInt(kept.getOrDefault("fronts", "1"));
        frontsAt = started;
        lease.load(kept);
        voters.forEach(this::peer);
        settings.seedIps().forEach(this::peer);
        tick();
        look();
    }

    private void peer(String ip) {
        if (!ip.equals(ip()) && !peers.containsKey(ip) && peers.size() < MOST_PEERS) {
            Peer p = new Peer(ip);
            p.voter = voters.contains(ip);
            peers.put(ip, p);
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

    /** Where control processes are, each with its zone. */
    List<Object> places() {
        List<Object> places = new ArrayList<>();
        peers.values().forEach(p -> places.add(Map.of("i", p.ip, "z", p.zone)));
        places.add(Map.of("i", ip(), "z", settings.zone()));
        return places;
    }

    int majority() {
        return voters.size() / 2 + 1;
    }

    /** Whether its own word counts: a voter that has not lost its disk, or has caught up since. */
    boolean votes() {
        return !recovering && voters.contains(ip());
    }

    int rank() {
        return voters.headSet(ip()).size();
    }

    boolean touch(Peer p) {
        return host.now() - p.heard < TOUCH_MS;
    }

    /** It does not hear a majority. */
    boolean alone() {
        int have = voters.contains(ip()) ? 1 : 0;
        for (Peer p : peers.values()) {
            have += p.voter && touch(p) ? 1 : 0;
        }
        return have < majority();
    }

    CompletableFuture<Void> store(Map<String, String> texts) {
        return store.put(texts);
    }

    Iterable<Lead> leads() {
        return leads.values();
    }

    Lead lead(String service) {
        return leads.get(service);
    }

    /** Takes a record in where it is newer. */
    void lead(Lead next) {
        Lead is = leads.get(next.service());
        record = Math.max(record, next.number());
        if (is == null || is.number() < next.number()) {
            leads.put(next.service(), next);
            long upTo = record;
            store(Map.of(LEAD + next.service(), next.kept())).thenRun(() -> {
                durableRecord = Math.max(durableRecord, upTo);
                poke();
            });
            news();
            poke();
        }
    }

    long record() {
        return record;
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

    /** What is on this disk of the records. */
    long durableRecord() {
        return durableRecord;
    }

    /** The table goes to the disk behind what happens: a restart then begins with it, and servers tell again anyway. */
    private void keep() {
        if (keeping || members.changes() == keptChange) {
            return;
        }
        keeping = true;
        long upTo = members.changes();
        store(members.kept(keptChange)).whenComplete((done, fault) -> {
            keeping = false;
            keptChange = fault == null ? upTo : keptChange;
        });
    }

    /** For how long from now it is sure that no other leads than the records say. */
    long sureFor() {
        if (duty.settled()) {
            return SURE_MS;
        }
        return sureFrom + SURE_MS - host.now();
    }

    int fronts() {
        return fronts;
    }

    /** There is news for fronts: at once, or together with what else comes within a moment of the last. */
    void news() {
        if (!telling) {
            telling = true;
            host.after(Math.max(0, toldAt + TOGETHER_MS - host.now()), () -> {
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
            host.after(Math.max(0, pokedAt + TOGETHER_MS - host.now()), () -> {
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
            if (!p.up && host.now() >= p.dialAt) {
                dial(p);
            }
            if (touch(p)) {
                asking += p.fronts;
            }
        }
        // Fewer are believed only after a while: those that start again come back to their connections.
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
    }

    private void look() {
        host.after(LOOK_MS, this::look);
        if (host.now() - lookedAt > LATE_MS) {
            // Whoever was away himself has no ground to call others silent.
            duty.away();
        }
        lookedAt = host.now();
        boolean is = alone();
        if (is != wasAlone && host.now() > started + TOUCH_MS) {
            wasAlone = is;
            host.wrong(is ? "no majority of control processes is heard" : "a majority is heard again");
        }
        lease.look();
        duty.look();
        register.look();
        acknowledge();
        keep();
    }

    private void dial(Peer p) {
        p.dialAt = host.now() + DIAL_MS + REDIAL_MS;
        p.link = host.dial(settings.innerOf(p.ip), Host.Form.FRAMES, DIAL_MS, new Host.Ear() {
            @Override
            public void opened(Host.Link link) {
                p.link = link;
                p.up = true;
                p.toldAt = host.now() - 2 * settings.beat();
                tell(p);
            }

            @Override
            public void message(byte[] message) {
                // Words come on the other's own connection.
            }

            @Override
            public void closed(String why) {
                p.up = false;
                p.dialAt = host.now() + REDIAL_MS;
            }
        });
    }

    private void tell(Peer p) {
        if (!p.up) {
            return;
        }
        if (p.link.waiting() > 1 << 20) {
            p.link.close();
            p.up = false;
            p.dialAt = host.now() + REDIAL_MS;
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
        out.put("r", members.changes());
        out.put("a", p.known);
        List<Object> rows = members.since(p.knows);
        if (!rows.isEmpty()) {
            out.put("m", rows);
        }
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
        out.put("v", register.durable());
        out.put("d", Register.digest(register.held()));
        out.put("c", register.committed().version());
        if (p.version >= -1 && p.heard > 0 && p.version < register.durable()) {
            out.put("cb", register.held().body());
        }
        out.put("p", lease.promised());
        out.put("pt", lease.promisedTo());
        out.put("w", lease.wanted());
        if (recovering) {
            out.put("rec", true);
        }
        out.put("k", durableRecord);
        List<Object> records = new ArrayList<>();
        List<Object> cleared = new ArrayList<>();
        List<Object> sights = new ArrayList<>();
        for (Lead lead : leads.values()) {
            if (lead.number() > p.record) {
                records.add(lead.row());
            }
            if (lead.moving() && askers.cleared(lead.number())) {
                cleared.add(lead.service());
                cleared.add(lead.number());
            }
            Sight seen = askers.sight(lead.service(), lead.primary());
            if (seen.lost() > 0 || lead.moving()) {
                sights.add(List.of(lead.service(), lead.primary(), seen.well(), seen.lost(), seen.open(),
                        askers.acknowledged(lead.service()).toString()));
            }
        }
        if (!records.isEmpty()) {
            out.put("l", records);
        }
        if (!cleared.isEmpty()) {
            out.put("cl", cleared);
        }
        if (!sights.isEmpty()) {
            out.put("s", sights);
        }
        if (duty.settled()) {
            out.put("h", true);
        }
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
        if (!in.text("b").equals(p.boot)) {
            p.boot = in.text("b");
            p.known = 0;
            p.knows = 0;
            p.echo = Long.MIN_VALUE / 2;
            p.record = -1;
            p.cleared.clear();
        }
        p.heard = now;
        p.zone = in.text("z");
        p.itsNow = in.number("n", 0);
        boolean ours = in.text("eb").equals(boot);
        if (ours) {
            p.echo = Math.max(p.echo, in.number("e", Long.MIN_VALUE / 2));
            p.knows = in.number("a", 0);
        } else {
            p.knows = 0;
        }
        boolean changed = false;
        for (Pack.Fields row : in.list("m")) {
            changed |= members.merge(row, 0);
        }
        p.known = Math.max(p.known, in.number("r", 0));
        List<String> alive = in.texts("al");
        for (int i = 0; i + 2 < alive.size(); i += 3) {
            Member m = members.get(alive.get(i));
            if (m != null) {
                m.heard = Math.max(m.heard, now - Long.parseLong(alive.get(i + 1)));
                m.sequence = Math.max(m.sequence, Long.parseLong(alive.get(i + 2)));
            }
        }
        p.version = in.number("v", -1);
        p.digest = in.number("d", 0);
        p.committed = in.number("c", -1);
        p.recovering = in.bit("rec");
        byte[] body = in.bytes("cb");
        if (body != null) {
            try {
                register.hold(Configuration.read(body));
            } catch (Configuration.Invalid never) {
                host.wrong("a configuration of " + ip + " is not understood: " + never.getMessage());
            }
        }
        p.promised = in.number("p", 0);
        p.promisedTo = in.text("pt");
        p.record = in.number("k", -1);
        for (Pack.Fields row : in.list("l")) {
            lead(Lead.of(row));
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
                    p.sights.put(String.valueOf(row.get(0)), new Sight(String.valueOf(row.get(1)),
                            ((Number) row.get(2)).intValue(), ((Number) row.get(3)).intValue(), ((Number) row.get(4)).intValue()));
                    askers.acknowledged(String.valueOf(row.get(0)), Acknowledged.of(String.valueOf(row.get(5))));
                }
            }
        }
        p.fronts = (int) in.number("f", 0);
        if (in.bit("h")) {
            suspects(new TreeSet<>(in.texts("sq")));
        }
        lease.wants(p, in.number("w", 0));
        if (in.bit("h") && ours && p.promised >= lease.promised()) {
            sureFrom = Math.max(sureFrom, in.number("e", Long.MIN_VALUE / 2));
        }
        if (recovering) {
            recover();
        }
        if (changed) {
            news();
            poke();
        }
        register.look();
        duty.look();
        acknowledge();
    }

    /** Once a majority of voters that kept their disks has answered this life, all that was ever agreed is known here. */
    private void recover() {
        int have = 0;
        long promised = 0;
        long version = -1;
        for (Peer p : peers.values()) {
            if (p.voter && !p.recovering && p.echo >= started) {
                have++;
                promised = Math.max(promised, p.promised);
                version = Math.max(version, p.version);
            }
        }
        if (have >= majority() && register.durable() >= version) {
            lease.recover(promised);
            recovering = false;
            store(Map.of("voters", String.join(",", voters), "promised", Long.toString(lease.promised()), "promised-to", "-"));
        }
    }

    // ---- what a majority has heard

    private CompletableFuture<Void> majorityHas(long change) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        waits.add(new Waits(change, done));
        poke();
        acknowledge();
        return done;
    }

    private void acknowledge() {
        if (waits.isEmpty()) {
            return;
        }
        List<Long> have = new ArrayList<>();
        if (voters.contains(ip())) {
            have.add(Long.MAX_VALUE);
        }
        for (Peer p : peers.values()) {
            if (p.voter) {
                have.add(p.knows);
            }
        }
        have.sort(java.util.Collections.reverseOrder());
        long agreed = have.size() < majority() ? -1 : have.get(majority() - 1);
        List<Waits> over = new ArrayList<>();
        waits.removeIf(w -> w.done().isDone() || w.change() <= agreed && over.add(w));
        over.forEach(w -> w.done().complete(null));
    }

    /** Completes once a majority has answered a word that was sent from now on. */
    private CompletableFuture<Long> freshMajority() {
        long from = host.now();
        CompletableFuture<Long> done = new CompletableFuture<>();
        peers.values().forEach(this::tell);
        fresh(from, from + ANSWER_MS, done);
        return done;
    }

    private void fresh(long from, long until, CompletableFuture<Long> done) {
        int have = votes() ? 1 : 0;
        long version = register.durable();
        for (Peer p : peers.values()) {
            if (p.voter && !p.recovering && p.echo >= from) {
                have++;
                version = Math.max(version, p.version);
            }
        }
        if (have >= majority()) {
            done.complete(version);
        } else if (host.now() >= until) {
            done.completeExceptionally(new IllegalStateException("no majority answers"));
        } else {
            host.after(20, () -> fresh(from, until, done));
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
                } catch (Pack.Bad | ClassCastException | NumberFormatException bad) {
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

    private static final String LEAD = "lead:";
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
            return post ? replace(body) : said(405, "POST only");
        } else if (path.equals("/Configuration.Read")) {
            return method.equals("GET") ? read() : said(405, "GET only");
        }
        if (path.equals("/status")) {
            return CompletableFuture.completedFuture(new Host.Answer(200, Json.object().add("status", status()).toString()
                    .getBytes(StandardCharsets.UTF_8)));
        }
        return said(404, "no such call");
    }

    private static CompletableFuture<Host.Answer> said(int status, String fault) {
        return CompletableFuture.completedFuture(HttpDoor.said(status, fault));
    }

    private static final Host.Answer FINE = new Host.Answer(200, "{}".getBytes(StandardCharsets.UTF_8));

    /** An answer once this is done, or 503 where it is not done in time. */
    private CompletableFuture<Host.Answer> once(CompletableFuture<?> done, long ms, java.util.function.Supplier<Host.Answer> answer) {
        CompletableFuture<Host.Answer> out = new CompletableFuture<>();
        done.whenComplete((is, fault) -> out.complete(fault == null ? answer.get() : HttpDoor.said(503, fault.getMessage())));
        host.after(ms, () -> {
            if (out.complete(HttpDoor.said(503, "no majority in time"))) {
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
        boolean fresh = members.get(id) == null;
        boolean changed = members.merge(new Pack.Fields(row), host.now());
        Member m = members.get(id);
        if (m == null) {
            return said(400, "no id in the path");
        }
        if (fresh) {
            members.succeeds(m);
        }
        m.heard = host.now();
        m.heardHere = host.now();
        beats.addFirst(m);
        while (host.now() - beats.getLast().heardHere > 3 * settings.beat() || beats.size() > MOST_BEATS) {
            beats.removeLast();
        }
        if (changed) {
            news();
            poke();
            duty.look();
        }
        // That it drains binds everybody, so a majority must know before it is told so.
        return m.draining() ? once(majorityHas(m.changed), BEAT_ANSWER_MS, () -> FINE) : CompletableFuture.completedFuture(FINE);
    }

    private static String text(JsonObject in, String name) {
        JsonValue is = in.get(name);
        if (is == null || !is.isString() || is.asString().isEmpty()) {
            throw new UnsupportedOperationException(name + ": no text");
        }
        return is.asString();
    }

    private CompletableFuture<Host.Answer> leave(String id) {
        Member m = members.get(id);
        if (m == null) {
            return CompletableFuture.completedFuture(FINE);
        }
        if (members.left(id)) {
            news();
            duty.look();
        }
        return once(majorityHas(m.changed), BEAT_ANSWER_MS, () -> FINE);
    }

    private CompletableFuture<Host.Answer> replace(byte[] body) {
        Configuration next;
        try {
            next = Configuration.read(body);
        } catch (Configuration.Invalid bad) {
            return said(400, bad.getMessage());
        }
        return once(register.put(next), ANSWER_MS, () -> FINE);
    }

    /** The newest: a majority is asked, and what it has is on a majority before it is answered. */
    private CompletableFuture<Host.Answer> read() {
        CompletableFuture<Void> done = freshMajority().thenCompose(version -> version < 0
                ? CompletableFuture.failedFuture(new IllegalStateException("no configuration yet"))
                : register.reached(version));
        return once(done, ANSWER_MS, () -> new Host.Answer(200, register.committed().body()));
    }

    /** One line for operators and logs. */
    public String status() {
        StringBuilder line = new StringBuilder("version=").append(register.committed().version()).append(" held=")
                .append(register.held().version()).append(" voters=").append(voters).append(alone() ? " alone" : "")
                .append(recovering ? " recovering" : "").append(" lease=").append(lease.number()).append(lease.holds() ? " held" : "")
                .append(" promised=").append(lease.promised()).append(" to=").append(lease.promisedTo()).append(" fronts=").append(fronts);
        leads.values().forEach(l -> line.append(" | ").append(l.service()).append(" primary=").append(l.primary()).append(l.moving() ? " moving" : ""));
        return line.toString();
    }
}
