package dillfront.lab.whole;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import dillfront.core.Core;
import dillfront.core.Store;
import dillfront.front.Front;
import dillfront.host.Configuration;
import dillfront.host.Host;
import dillfront.host.Settings;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * One day of the whole system in simulated time: both programs' own code, database servers, an operator, the platform, clients,
 * and an auditor. Three zones, each a region; a control machine in each.
 */
public final class Day {

    static final int FRONT = 8_000;
    static final int READY = 8_001;
    private static final int CONTROL = 8_002;
    private static final int INNER = 7_400;
    private static final int DATABASE = 8_080;
    private static final int PLATFORM = 8_783;
    private static final String[] ZONES = {"a", "b", "c"};
    private static final long BEAT_MS = 1_200;
    private static final double SYNC_MS = 3;

    /** What is on a machine's disk: synced with every put that was answered. */
    private final class Disk implements Store {
        final Map<String, String> kept = new HashMap<>();
        private final Sim.Machine machine;
        private long freeAt;

        Disk(Sim.Machine machine) {
            this.machine = machine;
        }

        @Override
        public Map<String, String> all() {
            return new HashMap<>(kept);
        }

        @Override
        public CompletableFuture<Void> put(Map<String, String> texts) {
            CompletableFuture<Void> done = new CompletableFuture<>();
            freeAt = Math.max(freeAt, sim.micros()) + Math.round(SYNC_MS * 1_000);
            int life = machine.life;
            sim.at(freeAt, () -> {
                if (machine.life == life) {
                    texts.forEach((name, text) -> {
                        if (text.isEmpty()) {
                            kept.remove(name);
                        } else {
                            kept.put(name, text);
                        }
                    });
                    done.complete(null);
                }
            });
            return done;
        }
    }

    private static final class ControlMachine {
        Sim.Machine machine;
        Disk disk;
        Core core;
        boolean wiped;
    }

    private static final class FrontMachine {
        Sim.Machine machine;
        Front front;
        /** Since when nothing has happened to it. */
        long calmFrom;
    }

    final Sim sim;
    final Audit audit;
    final Sim.Machine clients;
    private final Sim.Machine platform;
    private final Sim.Machine operator;
    private final TreeMap<String, ControlMachine> controls = new TreeMap<>();
    private final TreeMap<String, FrontMachine> fronts = new TreeMap<>();
    private final Map<String, Database> databases = new TreeMap<>();
    private final Map<String, long[]> fences = new HashMap<>();
    private boolean platformDown;
    private final List<Client> sessions = new ArrayList<>();
    private final long length;
    private long version = 1;
    private long acknowledgedVersion;
    private boolean fresh = true;
    int owed;
    int served;
    private int replaced;
    /** What happened, for whoever looks into a seed. */
    public final List<String> story = new ArrayList<>();

    public Day(long seed, int frontsEach, int services, int sessionsEach, long lengthMs) {
        sim = new Sim(seed);
        audit = new Audit(sim);
        length = lengthMs;
        clients = sim.new Machine("clients", "a", "10.9.0.1");
        platform = sim.new Machine("platform", "a", "10.9.0.2");
        operator = sim.new Machine("operator", "b", "10.9.0.3");
        platform.serve(PLATFORM, this::promotion);
        for (int z = 0; z < ZONES.length; z++) {
            ControlMachine c = new ControlMachine();
            c.machine = sim.new Machine("core-" + ZONES[z], ZONES[z], "10." + z + ".0.1");
            c.disk = new Disk(c.machine);
            controls.put(ZONES[z], c);
            for (int i = 0; i < frontsEach; i++) {
                FrontMachine f = new FrontMachine();
                f.machine = sim.new Machine("front-" + ZONES[z] + i, ZONES[z], "10." + z + ".1." + i);
                fronts.put(ZONES[z] + i, f);
            }
        }
        for (int s = 0; s < services; s++) {
            Database db = new Database(sim, "db" + s, 6, 60, 8, 300, true, audit);
            databases.put(db.name, db);
            audit.databases.put(db.name, db);
            for (int z = 0; z < ZONES.length; z++) {
                server(db, ZONES[(z + s) % ZONES.length], z, DATABASE + s);
            }
            db.servers.get(0).leads = true;
            String[] kinds = {"primary", "bounded", "own"};
            for (int i = 0; i < sessionsEach; i++) {
                String kind = kinds[i % 3];
                sessions.add(new Client(this, sessions.size(), kind, db.name, db.name + "-" + kind, kind.equals("bounded") ? 1_500 : 2_500));
            }
        }
    }

    boolean over() {
        return sim.millis() > length - 3_000;
    }

    String stamp(String database, String stamp) {
        return databases.get(database).stamps.get(stamp);
    }

    // ---- database servers

    private Database.Server server(Database db, String zone, int number, int port) {
        Sim.Machine m = sim.new Machine(db.name + "-" + zone + number, zone, "10.8." + db.name.substring(2) + "." + (10 + number));
        Database.Server s = db.new Server(m, db.name + "-" + zone + number, port);
        s.roleTold = () -> beat(db, s, false, 0);
        beats(db, s);
        return s;
    }

    private void beats(Database db, Database.Server s) {
        int life = s.machine.life;
        s.machine.after(sim.random.nextInt((int) BEAT_MS), new Runnable() {
            @Override
            public void run() {
                if (s.machine.life == life && db.servers.contains(s)) {
                    beat(db, s, false, 0);
                    s.machine.after(BEAT_MS, this);
                }
            }
        });
    }

    private long calls;

    /** To one control machine after the other, until one answers. */
    private void beat(Database db, Database.Server s, boolean leaves, int tries) {
        if (!s.machine.up || tries > 6) {
            return;
        }
        List<ControlMachine> all = new ArrayList<>(controls.values());
        ControlMachine to = all.get(sim.random.nextInt(all.size()));
        boolean drains = s.draining;
        String json = Json.object().add("service", db.name).add("address", s.address).add("zone_name", s.machine.zone)
                .add("state", drains ? "draining" : "ready").add("database_role", s.leads ? "primary" : "replica")
                .add("call_sequence", ++calls).toString();
        String path = (leaves ? "/Instances.Leave/" : "/Instances.Heartbeat/") + s.id;
        s.machine.call("POST", to.machine.ip + ":" + CONTROL, path, Sim.bytes(json), Map.of(), 1_000).whenComplete((is, fault) -> {
            if (fault != null || is.status() != 200) {
                s.machine.after(50L * (tries + 1), () -> beat(db, s, leaves, tries + 1));
            } else if (drains) {
                audit.drained.putIfAbsent(s.id, sim.micros());
            }
        });
    }

    private CompletableFuture<Host.Answer> promotion(String method, String path, byte[] body, Map<String, String> headers) {
        if (platformDown) {
            return new CompletableFuture<>();
        }
        JsonObject in = Json.parse(Sim.text(body)).asObject();
        String service = in.getString("service", "");
        long fence = Long.parseLong(headers.getOrDefault("Dillfront-Fence-Number", "0"));
        long[] seen = fences.computeIfAbsent(service, s -> new long[1]);
        story.add(sim.millis() + " platform: " + in.getString("instance_id", "") + " fence " + fence);
        if (fence < seen[0]) {
            return CompletableFuture.completedFuture(new Host.Answer(409, new byte[0]));
        }
        seen[0] = fence;
        boolean done = databases.get(service).promote(in.getString("instance_id", ""));
        return CompletableFuture.completedFuture(new Host.Answer(done ? 200 : 409, new byte[0]));
    }

    // ---- the system's machines

    private Settings settings(Sim.Machine m, boolean control) {
        Map<String, String> regions = new HashMap<>();
        List<String> seeds = new ArrayList<>();
        for (String zone : ZONES) {
            regions.put(zone, "r" + zone);
            seeds.add(controls.get(zone).machine.ip + ":" + CONTROL);
        }
        return new Settings(m.name, m.zone, "r" + m.zone, regions, m.ip, control ? null : m.ip + ":" + FRONT,
                control ? null : m.ip + ":" + READY, control ? m.ip + ":" + CONTROL : null, INNER, seeds, fresh, control ? "/" : null,
                1, BEAT_MS, 7_000, 6_000, platform.ip + ":" + PLATFORM);
    }

    private void startControl(ControlMachine c) {
        c.machine.up();
        Core core = new Core(c.machine, settings(c.machine, true), c.disk);
        c.core = core;
        c.machine.listen(INNER, h -> core.accept());
        c.machine.serve(CONTROL, (method, path, body, headers) -> core.call(method, path, body));
        try {
            core.start();
        } catch (Configuration.Invalid bad) {
            throw new IllegalStateException(bad);
        }
    }

    private void startFront(FrontMachine f) {
        f.machine.up();
        f.calmFrom = sim.millis();
        Front front = new Front(f.machine, settings(f.machine, false));
        f.front = front;
        f.machine.listen(FRONT, h -> front.accept());
        front.start();
    }

    /** For a client: one of the fronts that are ready, by its number and by chance. */
    Sim.Machine front(int number) {
        List<Sim.Machine> ready = new ArrayList<>();
        for (FrontMachine f : fronts.values()) {
            if (f.machine.up && f.front.ready()) {
                ready.add(f.machine);
            }
        }
        return ready.isEmpty() ? null : ready.get((number + sim.random.nextInt(2)) % ready.size());
    }

    private byte[] configuration(long of) {
        JsonArray routes = Json.array().asArray();
        JsonArray services = Json.array().asArray();
        for (String name : databases.keySet()) {
            services.add(Json.object().add("name", name).add("connection_limit", 60).add("synchronous_replicas", 1));
            for (String[] kind : new String[][] {{"primary", "primary"}, {"bounded", "bounded_staleness"}, {"own", "read_your_writes"}}) {
                routes.add(Json.object().add("name", name + kind[0]).add("host_name", name + "-" + kind[0]).add("path_prefix", "/")
                        .add("route_kind", kind[1]).add("timeout_ms", 1_000 + of).add("target_latency_ms", 400).add("priority", 1)
                        .add("service", name).add("max_attempts", 2).add("max_staleness_ms", kind[0].equals("bounded") ? 1_500 : 2_500));
            }
        }
        return Json.object().add("revision_number", of).add("routes", routes).add("services", services)
                .add("limits", Json.object().add("transaction_idle_ms", 3_000)).toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Sends it until it is taken, to one control machine after the other. */
    void configure() {
        long of = version++;
        configure(of, sim.millis(), 0);
    }

    private void configure(long of, long since, int tries) {
        List<ControlMachine> all = new ArrayList<>(controls.values());
        ControlMachine to = all.get((int) ((of + tries) % all.size()));
        operator.call("POST", to.machine.ip + ":" + CONTROL, "/Configuration.Replace", configuration(of), Map.of(), 2_000).whenComplete((is, fault) -> {
            if (fault != null || is.status() >= 500) {
                if (tries < 30) {
                    operator.after(100, () -> configure(of, since, tries + 1));
                }
                return;
            }
            acknowledgedVersion = Math.max(acknowledgedVersion, of);
            long acknowledged = sim.millis();
            applied(of, acknowledged);
        });
    }

    private void applied(long of, long acknowledged) {
        boolean all = true;
        for (FrontMachine f : fronts.values()) {
            boolean counts = f.machine.up && f.calmFrom < acknowledged - 4_000;
            all &= !counts || f.front.version() >= of;
        }
        long took = sim.millis() - acknowledged;
        if (all) {
            audit.configMs.add(took);
        } else if (took > 3_000 && coreCalm(acknowledged)) {
            audit.breach("CONFIG", "version " + of + " is not in force everywhere after " + took + " ms");
        } else {
            sim.after(5, () -> applied(of, acknowledged));
        }
    }

    private long coreTrouble = -100_000;

    private boolean coreCalm(long since) {
        return coreTrouble < since - 4_000;
    }

    // ---- what happens

    private void say(String what) {
        story.add(sim.millis() + " " + what);
    }

    private Database database(String name) {
        Database db = databases.get(name);
        if (db == null) {
            throw new IllegalArgumentException("no database " + name);
        }
        return db;
    }

    private Database.Server which(Database db, String which) {
        Database.Server leader = db.leader();
        if (which.equals("primary")) {
            return leader;
        }
        List<Database.Server> replicas = db.servers.stream().filter(s -> s != leader && s.machine.up).toList();
        return replicas.isEmpty() ? null : replicas.get(which.equals("last") ? replicas.size() - 1 : 0);
    }

    /** A server is down for a while; dark, or with its connections reset. */
    private void crash(Database db, Database.Server s, boolean dark, long forMs) {
        if (s == null) {
            return;
        }
        say((dark ? "dark " : "crash ") + s.id + (s.leads ? " (primary)" : ""));
        if (s.leads) {
            audit.leaderless(db.name);
        }
        s.stop(dark);
        sim.after(forMs, () -> {
            say("back " + s.id);
            // It has its log and its address, and a new id.
            s.machine.up();
            db.servers.remove(s);
            Database.Server next = db.new Server(s.machine, s.id.replaceAll("r\\d*$", "") + "r" + ++replaced, Integer.parseInt(
                    s.address.substring(s.address.indexOf(':') + 1)));
            next.log.addAll(s.log);
            next.applied = s.applied;
            next.term = s.term;
            next.leads = s.leads;
            next.roleTold = () -> beat(db, next, false, 0);
            Database.Server leads = db.servers.stream().filter(x -> x != next && x.leads).findFirst().orElse(null);
            if (leads != null) {
                next.leads = false;
                next.cutBack(common(next, leads));
            }
            beats(db, next);
        });
    }

    private static int common(Database.Server a, Database.Server b) {
        int same = 0;
        while (same < a.log.size() && same < b.log.size() && a.log.get(same) == b.log.get(same)) {
            same++;
        }
        return same;
    }

    /** A new server of another id starts first, empty, and receives; the one that leaves takes its log along. */
    private void release(Database db, Database.Server s) {
        if (s == null) {
            return;
        }
        say("release " + s.id);
        int port = Integer.parseInt(s.address.substring(s.address.indexOf(':') + 1));
        Database.Server next = server(db, s.machine.zone, 100 + ++replaced, port);
        say("new " + next.id);
        leave(db, s);
    }

    /** It drains, receiving and counting to its end, and takes its log along. */
    private void leave(Database db, Database.Server s) {
        if (s == null) {
            return;
        }
        say("leave " + s.id);
        sim.after(1_500, () -> {
            s.draining = true;
            beat(db, s, false, 0);
            sim.after(7_500, () -> {
                if (s.machine.up) {
                    beat(db, s, true, 0);
                }
                sim.after(300, () -> {
                    say("ended " + s.id);
                    if (s.leads) {
                        audit.leaderless(db.name);
                    }
                    s.stop(false);
                    db.servers.remove(s);
                    s.leads = false;
                });
            });
        });
    }

    private void control(String zone, boolean power, boolean wipe, long forMs) {
        ControlMachine c = controls.get(zone);
        if (!c.machine.up) {
            return;
        }
        say((wipe ? "wipe " : power ? "power " : "kill ") + c.machine.name);
        coreTrouble = sim.millis() + forMs;
        c.machine.down(power);
        if (wipe) {
            c.disk.kept.clear();
        }
        sim.after(forMs, () -> {
            if (!c.machine.up) {
                say("back " + c.machine.name);
                startControl(c);
            }
        });
    }

    private void front(String key, boolean power, long forMs) {
        FrontMachine f = fronts.get(key);
        if (f == null || !f.machine.up) {
            return;
        }
        say((power ? "power " : "kill ") + f.machine.name);
        f.machine.down(power);
        f.calmFrom = Long.MAX_VALUE / 2;
        back(f, forMs);
    }

    private void back(FrontMachine f, long in) {
        sim.after(in, () -> {
            if (!f.machine.up) {
                startFront(f);
            }
        });
    }

    private void cut(String a, String b, long forMs) {
        Sim.Machine x = machine(a);
        Sim.Machine y = machine(b);
        say("cut " + a + " " + b);
        if (a.startsWith("core") || b.startsWith("core")) {
            coreTrouble = sim.millis() + forMs;
        }
        sim.cut(x, y, true);
        for (FrontMachine f : fronts.values()) {
            if (f.machine == x || f.machine == y) {
                f.calmFrom = sim.millis() + forMs;
            }
        }
        sim.after(forMs, () -> sim.cut(x, y, false));
    }

    private Sim.Machine machine(String name) {
        return sim.machines.stream().filter(m -> m.name.equals(name)).findFirst().orElseThrow(() -> new IllegalArgumentException("no machine " + name));
    }

    private void restartAll(boolean power) {
        say(power ? "all lose power" : "all are killed");
        coreTrouble = sim.millis() + 1_500;
        fresh = false;
        controls.values().forEach(c -> c.machine.down(power));
        fronts.values().forEach(f -> f.machine.down(power));
        sim.after(900, () -> {
            controls.values().stream().filter(c -> !c.machine.up).forEach(this::startControl);
            fronts.values().stream().filter(f -> !f.machine.up).forEach(this::startFront);
        });
    }

    /**
     * One thing that happens, as a line of a scenario says it.
     *
     * @throws IllegalArgumentException where the line is none
     */
    public void happen(String line) {
        String[] w = line.trim().split("\\s+");
        long ms = w.length > 2 && w[w.length - 2].equals("for") ? Math.round(Double.parseDouble(w[w.length - 1]) * 1_000) : 3_000;
        switch (w[0]) {
            case "crash":
            case "dark": {
                Database db = database(w[1]);
                crash(db, which(db, w[2]), w[0].equals("dark"), ms);
                break;
            }
            case "release": {
                Database db = database(w[1]);
                release(db, which(db, w[2]));
                break;
            }
            case "retire": {
                Database db = database(w[1]);
                leave(db, which(db, w[2]));
                break;
            }
            case "deaf": {
                Database.Server s = which(database(w[1]), w[2]);
                if (s != null) {
                    say("deaf " + s.id);
                    s.deaf = true;
                    sim.after(ms, () -> s.deaf = false);
                }
                break;
            }
            case "lag":
                database(w[1]).lagMs = 8 * Double.parseDouble(w[2]);
                sim.after(ms, () -> database(w[1]).lagMs = 8);
                break;
            case "promotes":
                database(w[1]).promoteMs = Double.parseDouble(w[2]);
                break;
            case "lose": {
                Database.Server s = which(database(w[1]), w[2]);
                if (s != null) {
                    s.lost = 0.2;
                    sim.after(ms, () -> s.lost = 0);
                }
                break;
            }
            case "kill":
            case "power":
            case "wipe":
                fresh = false;
                if (w[1].startsWith("core-")) {
                    control(w[1].substring(5), !w[0].equals("kill"), w[0].equals("wipe"), ms);
                } else {
                    front(w[1].substring(6), !w[0].equals("kill"), ms);
                }
                break;
            case "holder":
                fresh = false;
                for (Map.Entry<String, ControlMachine> c : controls.entrySet()) {
                    if (c.getValue().machine.up && c.getValue().core.status().contains(" held ")) {
                        control(c.getKey(), true, false, ms);
                        break;
                    }
                }
                break;
            case "cut":
                cut(w[1], w[2], ms);
                break;
            case "leave": {
                FrontMachine f = fronts.get(w[1].substring(6));
                say("SIGTERM " + w[1]);
                f.calmFrom = Long.MAX_VALUE / 2;
                if (f.machine.up) {
                    f.front.leave(() -> {
                        f.machine.down(false);
                        back(f, 300);
                    });
                }
                break;
            }
            case "configure":
                configure();
                break;
            case "platform":
                platformDown = true;
                sim.after(ms, () -> platformDown = false);
                break;
            case "all":
                restartAll(w[1].equals("power"));
                break;
            default:
                throw new IllegalArgumentException("nothing happens by '" + line + "'");
        }
    }

    /** Plays it; what happens was set by at() before. */
    public void play() {
        controls.values().forEach(this::startControl);
        fronts.values().forEach(this::startFront);
        sim.after(300, this::configure);
        sim.until(4_000);
        sessions.forEach(Client::start);
        sim.until(length);
        readBack();
        audit.close();
    }

    /** The operator reads the newest back. */
    private void readBack() {
        long[] got = {-1};
        for (ControlMachine c : controls.values()) {
            operator.call("GET", c.machine.ip + ":" + CONTROL, "/Configuration.Read", new byte[0], Map.of(), 3_000).whenComplete((is, fault) -> {
                if (fault == null && is.status() == 200) {
                    try {
                        got[0] = Math.max(got[0], Configuration.read(is.body()).version());
                        if (Configuration.read(is.body()).version() < acknowledgedVersion) {
                            audit.breach("CONFIG", c.machine.name + " reads back " + Configuration.read(is.body()).version());
                        }
                    } catch (Configuration.Invalid bad) {
                        audit.breach("CONFIG", bad.getMessage());
                    }
                }
            });
        }
        sim.until(length + 4_000);
        if (got[0] < acknowledgedVersion) {
            audit.breach("CONFIG", "read back " + got[0] + ", acknowledged " + acknowledgedVersion);
        }
    }

    public void at(double seconds, String what) {
        sim.at(Math.round(seconds * 1e6), () -> happen(what));
    }

    /** Some troubles by chance, alone and together, each over before the day is. */
    public void random() {
        var r = sim.random.split();
        int many = 1 + r.nextInt(4);
        double from = 6 + r.nextDouble() * 3;
        boolean lost = false;
        for (int i = 0; i < many; i++) {
            String db = "db" + r.nextInt(databases.size());
            String zone = ZONES[r.nextInt(3)];
            String front = "front-" + zone + r.nextInt(fronts.size() / 3);
            double s = 2 + r.nextDouble() * 5;
            String[] kinds = {
                "crash " + db + " primary for " + s, "dark " + db + " primary for " + s, "crash " + db + " replica for " + s,
                "dark " + db + " replica for " + s, "release " + db + " primary", "release " + db + " replica", "lag " + db + " 100 for " + s,
                "lose " + db + " primary for " + s, "kill " + front + " for 1", "power " + front + " for " + s, "kill core-" + zone + " for 1",
                "power core-" + zone + " for " + s, "wipe core-" + zone + " for " + s, "holder for " + s, "cut core-" + zone + " " + front + " for " + s,
                "leave " + front, "configure", "configure", "all power", "all killed", "platform for " + s,
            };
            double at = from + r.nextDouble() * (i == 0 ? 1 : 5);
            String what = kinds[r.nextInt(kinds.length)];
            // One control machine may be lost at once, and it has to catch up before the next.
            boolean control = what.contains("core-") || what.startsWith("holder") || what.startsWith("all");
            if (control && lost) {
                what = "configure";
            }
            lost |= control;
            at(at, what);
        }
        at(from + 7, "configure");
    }

    public List<String> breaches() {
        return audit.breaches;
    }

    public double served() {
        return owed == 0 ? 0 : (double) served / owed;
    }

    public int promotions() {
        return audit.promotions;
    }

    /** Of each promotion: from the loss of the primary until the next was named, in milliseconds. */
    public List<Long> promoteMs() {
        return audit.promoteMs;
    }

    public List<Long> configMs() {
        return audit.configMs;
    }

    public int lost() {
        return audit.lost;
    }

    public int twice() {
        return audit.twice;
    }

    public int stale() {
        return audit.staleReads;
    }

    /** What processes noted. */
    public List<String> told() {
        return sim.told;
    }

    /** Servers that were told to stop receiving and never to go on. */
    public List<String> paused() {
        return databases.values().stream().flatMap(db -> db.servers.stream()).filter(s -> s.machine.up && s.held != 0).map(s -> s.id).toList();
    }

    /** The state of all processes, for whoever looks into a seed. */
    public List<String> status() {
        List<String> all = new ArrayList<>();
        controls.values().forEach(c -> all.add(c.machine.name + " " + c.core.status()));
        fronts.values().forEach(f -> all.add(f.machine.name + " " + f.front.status()));
        return all;
    }
}
