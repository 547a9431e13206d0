package dillfront.simulation.system;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import dillfront.common.config.Configuration;
import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import dillfront.dataplane.DataPlaneNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * One day of the whole system in simulated time: both programs' own code, database servers, an
 * operator, the platform, clients, and an auditor. Three zones, each a region; a control machine in
 * each.
 */
public final class Day {

    static final int FRONT = 8_000;
    static final int READY = 8_001;
    private static final int DATABASE = 8_080;
    private static final int PLATFORM = 8_783;
    static final String[] ZONES = {"a", "b", "c"};
    private static final long BEAT_MS = 1_200;

    private static final class FrontMachine {
        Sim.Machine machine;
        DataPlaneNode front;

        /** Since when nothing has happened to it. */
        long calmFrom;

        Configuration had = Configuration.NONE;
        long digest;
    }

    final Sim sim;
    final Audit audit;
    final Sim.Machine clients;
    private final Sim.Machine platform;
    final Controls controls;
    final Orders orders;
    final ConfigAudit configAudit;
    private final DataLossCalls dataLossCalls;
    private final TreeMap<String, FrontMachine> fronts = new TreeMap<>();
    private final Map<String, Database> databases = new TreeMap<>();
    private final Map<String, long[]> fences = new HashMap<>();
    private boolean platformDown;

    /** Until then it answers 429 at once. */
    private long platformBusyUntil;

    private int platformCalls;

    /** Calls that come before are carried out only then. */
    private long platformSlowUntil;

    private final List<Client> sessions = new ArrayList<>();
    private final long length;
    int owed;
    int served;
    private int replaced;

    /** What happened, for whoever looks into a seed. */
    public final List<String> story = new ArrayList<>();

    public Day(long seed, int frontsEach, int services, int sessionsEach, long lengthMs) {
        this(seed, frontsEach, services, sessionsEach, lengthMs, ZONES.length);
    }

    /** With so many control machines. */
    public Day(
            long seed,
            int frontsEach,
            int services,
            int sessionsEach,
            long lengthMs,
            int controlMachines) {
        sim = new Sim(seed);
        audit = new Audit(sim);
        length = lengthMs;
        clients = sim.new Machine("clients", "a", "10.9.0.1");
        platform = sim.new Machine("platform", "a", "10.9.0.2");
        orders = new Orders(this, sim.new Machine("operator", "b", "10.9.0.3"));
        configAudit = new ConfigAudit(this);
        dataLossCalls = new DataLossCalls(this, sim.new Machine("person", "c", "10.9.0.4"));
        audit.forgets =
                (database, number) ->
                        sessions.stream()
                                .filter(s -> s.database.equals(database))
                                .forEach(s -> s.token = Math.min(s.token, number));
        controls = new Controls(this, controlMachines, (m, first) -> settings(m, true, first));
        platform.serve(PLATFORM, this::promotion);
        for (int z = 0; z < ZONES.length; z++) {
            for (int i = 0; i < frontsEach; i++) {
                FrontMachine f = new FrontMachine();
                f.machine =
                        sim.new Machine("front-" + ZONES[z] + i, ZONES[z], "10." + z + ".1." + i);
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
                sessions.add(
                        new Client(
                                this,
                                sessions.size(),
                                kind,
                                db.name,
                                db.name + "-" + kind,
                                kind.equals("bounded") ? 1_500 : 2_500));
            }
        }
    }

    boolean over() {
        return sim.millis() > length - 3_000;
    }

    boolean ended() {
        return sim.millis() >= length;
    }

    int databases() {
        return databases.size();
    }

    Iterable<String> databaseNames() {
        return databases.keySet();
    }

    String stamp(String database, String stamp) {
        return databases.get(database).stamps.get(stamp);
    }

    // ---- database servers

    private Database.Server server(Database db, String zone, int number, int port) {
        Sim.Machine m =
                sim
                .new Machine(
                        db.name + "-" + zone + number,
                        zone,
                        "10.8." + db.name.substring(2) + "." + (10 + number));
        Database.Server s = db.new Server(m, db.name + "-" + zone + number, port);
        s.roleTold = () -> beat(db, s, false, 0);
        beats(db, s);
        return s;
    }

    private void beats(Database db, Database.Server s) {
        int life = s.machine.life;
        s.machine.schedule(
                sim.random.nextInt((int) BEAT_MS),
                new Runnable() {
                    @Override
                    public void run() {
                        if (s.machine.life == life && db.servers.contains(s)) {
                            if (!s.quiet) {
                                beat(db, s, false, 0);
                            }
                            s.machine.schedule(BEAT_MS, this);
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
        boolean drains = s.draining || leaves;
        String json = said(db, s);
        send(
                s,
                (leaves ? "/Instances.Leave/" : "/Instances.Heartbeat/") + s.id,
                json,
                is -> {
                    if (!is) {
                        s.machine.schedule(50L * (tries + 1), () -> beat(db, s, leaves, tries + 1));
                    } else if (drains) {
                        audit.drained.putIfAbsent(s.id, sim.micros());
                    }
                });
    }

    /** What it says of itself now. */
    private String said(Database db, Database.Server s) {
        return Json.object()
                .add("service", db.name)
                .add("address", s.address)
                .add("zone_name", s.machine.zone)
                .add("state", s.draining ? "draining" : "ready")
                .add("database_role", s.leads ? "primary" : "replica")
                .add("call_sequence", ++calls)
                .toString();
    }

    private void send(
            Database.Server s,
            String path,
            String json,
            java.util.function.Consumer<Boolean> acknowledged) {
        List<ControlMachine> all = controls.known();
        ControlMachine to = all.get(sim.random.nextInt(all.size()));
        controls.call(s.machine, "POST", to, path, Sim.bytes(json), 1_000)
                .whenComplete(
                        (is, fault) ->
                                acknowledged.accept(fault == null && is.answer().status() == 200));
    }

    private CompletableFuture<Environment.HttpResponse> promotion(
            String method, String path, byte[] body, Map<String, String> headers) {
        if (platformDown) {
            return new CompletableFuture<>();
        }
        platformCalls++;
        if (sim.millis() < platformBusyUntil) {
            return CompletableFuture.completedFuture(
                    new Environment.HttpResponse(429, new byte[0]));
        }
        if (sim.millis() < platformSlowUntil) {
            CompletableFuture<Environment.HttpResponse> late = new CompletableFuture<>();
            sim.at(
                    platformSlowUntil * 1_000,
                    () -> promotion(method, path, body, headers).thenAccept(late::complete));
            return late;
        }
        JsonObject in = Json.parse(Sim.text(body)).asObject();
        String service = in.getString("service", "");
        long fence = Long.parseLong(headers.getOrDefault("Dillfront-Fence-Number", "0"));
        long[] seen = fences.computeIfAbsent(service, s -> new long[1]);
        String holder = headers.getOrDefault("Dillfront-Duty-Holder", "");
        configAudit.acts(holder, fence);
        story.add(
                sim.millis() + " platform: " + in.getString("instance_id", "") + " fence " + fence);
        if (fence < seen[0]) {
            return CompletableFuture.completedFuture(
                    new Environment.HttpResponse(409, new byte[0]));
        }
        seen[0] = fence;
        boolean done = databases.get(service).promote(in.getString("instance_id", ""));
        return CompletableFuture.completedFuture(
                new Environment.HttpResponse(done ? 200 : 409, new byte[0]));
    }

    // ---- the system's machines

    private NodeSettings settings(Sim.Machine m, boolean control, boolean first) {
        Map<String, String> regions = new HashMap<>();
        for (String zone : ZONES) {
            regions.put(zone, "r" + zone);
        }
        return new NodeSettings(
                m.name,
                m.zone,
                "r" + m.zone,
                regions,
                m.ip,
                control ? null : m.ip + ":" + FRONT,
                control ? null : m.ip + ":" + READY,
                control ? m.ip + ":" + Controls.HTTP : null,
                Controls.INNER,
                controls.seeds(),
                first,
                control ? "/" : null,
                1,
                BEAT_MS,
                3_500,
                6_000,
                platform.ip + ":" + PLATFORM);
    }

    private void startFront(FrontMachine f, boolean first) {
        f.machine.up();
        f.calmFrom = sim.millis();
        DataPlaneNode front = new DataPlaneNode(f.machine, settings(f.machine, false, first));
        f.front = front;
        f.machine.listen(FRONT, h -> front.accept());
        front.start();
    }

    /** Each front's configuration is looked at, over and over. */
    private void lookAtFronts() {
        sim.after(50, this::lookAtFronts);
        boolean settled = controls.settled();
        for (FrontMachine f : fronts.values()) {
            if (!f.machine.up || f.front == null) {
                continue;
            }
            boolean touch =
                    settled
                            && !f.machine.frozen()
                            && sim.millis() - f.calmFrom >= Controls.IN_TOUCH_MS;
            for (ControlMachine c : controls.all()) {
                touch &= !controls.reachesMajority(c) || !sim.cut(f.machine, c.machine);
            }
            Configuration has = f.front.configuration();
            configAudit.sees(
                    f.machine.name,
                    f.machine.life,
                    touch,
                    has.revision(),
                    has == f.had ? f.digest : ConfigAudit.digest(has.body()));
            if (has != f.had) {
                f.had = has;
                f.digest = ConfigAudit.digest(has.body());
            }
        }
    }

    /** For a client: one of the fronts that are ready, by its number and by chance. */
    Sim.Machine front(int number) {
        List<Sim.Machine> ready = new ArrayList<>();
        for (FrontMachine f : fronts.values()) {
            if (f.machine.up && f.front.isReady()) {
                ready.add(f.machine);
            }
        }
        return ready.isEmpty() ? null : ready.get((number + sim.random.nextInt(2)) % ready.size());
    }

    /** Once it is acknowledged: until every front that was in touch has it. */
    void applied(long of, long acknowledged) {
        boolean all = true;
        for (FrontMachine f : fronts.values()) {
            boolean counts = f.machine.up && f.calmFrom < acknowledged - Controls.IN_TOUCH_MS;
            all &= !counts || f.front.configurationRevision() >= of;
        }
        if (all) {
            audit.configMs.add(sim.millis() - acknowledged);
        } else if (sim.millis() - acknowledged < 20_000) {
            sim.after(
                    sim.millis() - acknowledged < 1_000 ? 5 : 100, () -> applied(of, acknowledged));
        }
    }

    // ---- what happens

    void say(String what) {
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
        if (db.of(which) != null) {
            return db.of(which);
        }
        List<Database.Server> replicas =
                db.servers.stream().filter(s -> s != leader && s.machine.up).toList();
        return replicas.isEmpty()
                ? null
                : replicas.get(which.equals("last") ? replicas.size() - 1 : 0);
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
        sim.after(
                forMs,
                () -> {
                    say("back " + s.id);
                    // It has its log and its address, and a new id.
                    s.machine.up();
                    db.servers.remove(s);
                    Database.Server next =
                            db
                            .new Server(
                                    s.machine,
                                    s.id.replaceAll("r\\d*$", "") + "r" + ++replaced,
                                    Integer.parseInt(
                                            s.address.substring(s.address.indexOf(':') + 1)));
                    next.log.addAll(s.log);
                    next.applied = s.applied;
                    next.term = s.term;
                    next.leads = s.leads;
                    next.roleTold = () -> beat(db, next, false, 0);
                    Database.Server leads =
                            db.servers.stream()
                                    .filter(x -> x != next && x.leads)
                                    .findFirst()
                                    .orElse(null);
                    if (leads != null) {
                        next.leads = false;
                        next.cutBack(common(next, leads));
                    }
                    beats(db, next);
                });
    }

    /**
     * Gone for good, with its log; after a while a new, empty one comes at another address, or at
     * the same.
     */
    private void gone(Database db, Database.Server s, boolean same) {
        if (s == null) {
            return;
        }
        say("gone for good " + s.id + (s.leads ? " (primary)" : ""));
        if (s.leads) {
            audit.leaderless(db.name);
        }
        s.stop(true);
        s.leads = false;
        db.servers.remove(s);
        comes(db, s, same, 2_000);
    }

    /** A new server with nothing, that copies what there is from the primary. */
    private void comes(Database db, Database.Server old, boolean same, long inMs) {
        sim.after(
                inMs,
                () -> {
                    int port =
                            Integer.parseInt(old.address.substring(old.address.indexOf(':') + 1));
                    Database.Server next;
                    if (same) {
                        old.machine.up();
                        next =
                                db
                                .new Server(
                                        old.machine,
                                        old.id.replaceAll("r\\d*$", "") + "r" + ++replaced,
                                        port);
                        Database.Server mine = next;
                        next.roleTold = () -> beat(db, mine, false, 0);
                        beats(db, next);
                    } else {
                        next = server(db, old.machine.zone, 100 + ++replaced, port);
                    }
                    next.copiedAt = sim.millis() + 300 + sim.random.nextInt(1_200);
                    say("new " + next.id);
                });
    }

    /**
     * The primary's machine does not reach the others of its kind, the control machines, or some of
     * the fronts.
     */
    private void primaryCut(Database db, String from, long forMs) {
        Database.Server p = db.leader();
        if (p == null) {
            return;
        }
        say("primary " + p.id + " is cut off from " + from);
        List<Sim.Machine> off = new ArrayList<>();
        switch (from) {
            case "replicas" ->
                    db.servers.stream().filter(s -> s != p).forEach(s -> off.add(s.machine));
            case "core" -> controls.all().forEach(c -> off.add(c.machine));
            default ->
                    fronts.values().stream()
                            .filter(f -> sim.random.nextDouble() < 0.4)
                            .forEach(
                                    f -> {
                                        off.add(f.machine);
                                        f.calmFrom = sim.millis() + forMs;
                                    });
        }
        off.forEach(m -> sim.cut(p.machine, m, true));
        sim.after(forMs, () -> off.forEach(m -> sim.cut(p.machine, m, false)));
    }

    private static int common(Database.Server a, Database.Server b) {
        int same = 0;
        while (same < a.log.size() && same < b.log.size() && a.log.get(same) == b.log.get(same)) {
            same++;
        }
        return same;
    }

    /**
     * It drains, counts as a synchronous replica until it is gone, and takes its log along. A new
     * one, empty, starts first at another address, or later at the same.
     */
    private void release(
            Database db, Database.Server s, boolean same, long longerMs, boolean byLeave) {
        if (s == null) {
            return;
        }
        say("release " + s.id + (byLeave ? " by its leave" : ""));
        if (!same) {
            comes(db, s, false, 0);
        }
        sim.after(
                1_500,
                () -> {
                    if (byLeave) {
                        // What it said before comes late, and its beats end.
                        String late = said(db, s);
                        s.quiet = true;
                        beat(db, s, true, 0);
                        s.machine.schedule(
                                3_000,
                                () -> send(s, "/Instances.Heartbeat/" + s.id, late, is -> {}));
                    } else {
                        s.draining = true;
                        beat(db, s, false, 0);
                    }
                    sim.after(
                            7_500 + longerMs,
                            () -> {
                                if (s.machine.up && !byLeave) {
                                    beat(db, s, true, 0);
                                }
                                sim.after(
                                        300,
                                        () -> {
                                            say("ended " + s.id + (s.leads ? " (primary)" : ""));
                                            if (s.leads) {
                                                audit.leaderless(db.name);
                                            }
                                            s.stop(false);
                                            db.servers.remove(s);
                                            s.leads = false;
                                            if (same) {
                                                comes(db, s, true, 2_000);
                                            }
                                        });
                            });
                });
    }

    /** Whoever runs is told of other seeds. */
    void reseed() {
        fronts.values().stream()
                .filter(f -> f.machine.up)
                .forEach(f -> f.front.updateSettings(settings(f.machine, false, false)));
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
        sim.after(
                in,
                () -> {
                    if (!f.machine.up) {
                        startFront(f, false);
                    }
                });
    }

    private void cut(String a, String b, long forMs) {
        Sim.Machine x = machine(a);
        Sim.Machine y = machine(b);
        if (x == null || y == null) {
            // It was replaced, and who comes for it is not there yet.
            return;
        }
        say("cut " + a + " " + b);
        sim.cut(x, y, true);
        controls.event();
        for (FrontMachine f : fronts.values()) {
            if (f.machine == x || f.machine == y) {
                f.calmFrom = sim.millis() + forMs;
            }
        }
        sim.after(
                forMs,
                () -> {
                    sim.cut(x, y, false);
                    controls.event();
                });
    }

    private Sim.Machine machine(String name) {
        if (name.startsWith("core")
                || name.equals("leader")
                || name.equals("seed")
                || name.equals("other")) {
            ControlMachine c = controls.of(name);
            return c == null ? null : c.machine;
        }
        return sim.machines.stream()
                .filter(m -> m.name.equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no machine " + name));
    }

    private void restartAll(boolean power) {
        say(power ? "all lose power" : "all are killed");
        controls.loseAll(power, null, 900);
        fronts.values().forEach(f -> f.machine.down(power));
        sim.after(
                900,
                () ->
                        fronts.values().stream()
                                .filter(f -> !f.machine.up)
                                .forEach(f -> startFront(f, false)));
    }

    /**
     * One thing that happens, as a line of a scenario says it.
     *
     * @throws IllegalArgumentException where the line is none
     */
    public void happen(String line) {
        String[] w = line.trim().split("\\s+");
        long ms =
                w.length > 2 && w[w.length - 2].equals("for")
                        ? Math.round(Double.parseDouble(w[w.length - 1]) * 1_000)
                        : 3_000;
        if (new ControlTroubles(this).happen(w, line, ms)) {
            return;
        }
        switch (w[0]) {
            case "crash":
            case "dark":
                {
                    Database db = database(w[1]);
                    crash(db, which(db, w[2]), w[0].equals("dark"), ms);
                    break;
                }
            case "release":
                {
                    Database db = database(w[1]);
                    release(
                            db,
                            which(db, w[2]),
                            line.contains(" same"),
                            line.contains(" longer") ? ms : 0,
                            line.contains(" by leave"));
                    break;
                }
            case "lag":
                database(w[1]).lagMs = 8 * Double.parseDouble(w[2]);
                sim.after(ms, () -> database(w[1]).lagMs = 8);
                break;
            case "promotes":
                database(w[1]).promoteMs = Double.parseDouble(w[2]);
                break;
            case "lose":
                {
                    Database.Server s = which(database(w[1]), w[2]);
                    if (s != null) {
                        s.lost = 0.2;
                        sim.after(ms, () -> s.lost = 0);
                    }
                    break;
                }
            case "gone":
                {
                    Database db = database(w[1]);
                    gone(db, which(db, w[2]), line.contains(" same"));
                    break;
                }
            case "deaf":
                {
                    Database.Server s = which(database(w[1]), w[2]);
                    if (s != null) {
                        say("deaf " + s.id);
                        s.deaf = true;
                        sim.after(ms, () -> s.deaf = false);
                    }
                    break;
                }
            case "primary_cut":
                primaryCut(database(w[1]), w[2], ms);
                break;
            case "kill":
            case "power":
                front(w[1].substring(6), w[0].equals("power"), ms);
                break;
            case "reset":
                {
                    FrontMachine f = fronts.get(w[1].substring(6));
                    say("reset " + w[1]);
                    f.calmFrom = Math.max(f.calmFrom, sim.millis());
                    f.machine.reset();
                    break;
                }
            case "freeze":
                {
                    FrontMachine f = fronts.get(w[1].substring(6));
                    say("freeze " + w[1] + " for " + ms);
                    f.machine.freeze(ms);
                    f.calmFrom = sim.millis() + ms;
                    break;
                }
            case "cut":
                cut(w[1], w[2], ms);
                break;
            case "leave":
                {
                    FrontMachine f = fronts.get(w[1].substring(6));
                    say("SIGTERM " + w[1]);
                    f.calmFrom = Long.MAX_VALUE / 2;
                    if (f.machine.up) {
                        f.front.shutDown(
                                () -> {
                                    f.machine.down(false);
                                    back(f, 300);
                                });
                    }
                    break;
                }
            case "platform":
                if (w[1].equals("slow")) {
                    platformSlowUntil = sim.millis() + ms;
                    break;
                }
                if (w[1].equals("busy")) {
                    platformBusyUntil = sim.millis() + ms;
                    break;
                }
                platformDown = true;
                sim.after(ms, () -> platformDown = false);
                break;
            case "accept":
                dataLossCalls.happen(
                        database(w[1]).name, w.length > 2 && !w[2].equals("for") ? w[2] : "", ms);
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
        controls.startAll();
        fronts.values()
                .forEach(f -> sim.after(sim.random.nextDouble() * 300, () -> startFront(f, true)));
        sim.after(300, () -> orders.change(null, c -> {}));
        configAudit.look();
        lookAtFronts();
        sim.until(4_000);
        sessions.forEach(Client::start);
        sim.until(length);
        readBack();
        audit.close();
    }

    /** The operator asks for the newest, over and over, at each. */
    private void readBack() {
        for (int i = 0; i < 8; i++) {
            sim.after(i * 500L, () -> controls.all().forEach(c -> orders.read(c, 1_000)));
        }
        sim.until(length + 6_000);
        configAudit.close();
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
                "crash " + db + " primary for " + s,
                "dark " + db + " primary for " + s,
                "crash " + db + " replica for " + s,
                "dark " + db + " replica for " + s,
                "release " + db + " primary",
                "release " + db + " replica",
                "lag " + db + " 100 for " + s,
                "lose " + db + " primary for " + s,
                "kill " + front + " for 1",
                "power " + front + " for " + s,
                "kill core-" + zone + " for 1",
                "power core-" + zone + " for " + s,
                "wipe core-" + zone + " for " + s,
                "holder for " + s,
                "cut core-" + zone + " " + front + " for " + s,
                "leave " + front,
                "configure",
                "configure",
                "all power",
                "all killed",
                "platform for " + s,
            };
            double at = from + r.nextDouble() * (i == 0 ? 1 : 5);
            String what = kinds[r.nextInt(kinds.length)];
            // One control machine may be lost at once, and it has to catch up before the next.
            boolean control =
                    what.contains("core-") || what.startsWith("holder") || what.startsWith("all");
            if (control && lost) {
                what = "configure";
            }
            lost |= control;
            at(at, what);
        }
        at(from + 7, "configure");
    }

    /**
     * The worst days, by chance: all that may happen to control machines, one loss after the other,
     * and much besides.
     */
    public void worst() {
        new WorstDay(this).plan();
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

    /** Calls that the platform answered, be it that it had too many. */
    int platformCalls() {
        return platformCalls;
    }

    /**
     * Of each promotion: from the loss of the primary until the next was named, in milliseconds.
     */
    public List<Long> promoteMs() {
        return audit.promoteMs;
    }

    public List<Long> configMs() {
        return audit.configMs;
    }

    /** Acknowledged commits that a person gave up. */
    public int givenUp() {
        return audit.givenUp;
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
        return databases.values().stream()
                .flatMap(db -> db.servers.stream())
                .filter(s -> s.machine.up && s.held != 0)
                .map(s -> s.id)
                .toList();
    }

    public ControlCounts control() {
        return new ControlCounts(audit, configAudit);
    }

    /** The state of all processes, for whoever looks into a seed. */
    public List<String> status() {
        List<String> all = controls.status();
        fronts.values().forEach(f -> all.add(f.machine.name + " " + f.front.status()));
        return all;
    }
}
