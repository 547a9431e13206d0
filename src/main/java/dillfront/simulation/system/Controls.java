package dillfront.simulation.system;

import dillfront.common.config.Configuration;
import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import dillfront.controlplane.ControlNode;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;

/**
 * The control machines of a day: which there are, who knows of them, and what has happened to them.
 */
final class Controls {

    static final int HTTP = 8_002;
    static final int INNER = 7_400;
    static final long IN_TOUCH_MS = 4_000;
    static final long CATCH_UP_MS = 4_000;
    private static final long LIST_MS = 3_000;
    private static final int SEEDS = 3;
    private static final double START_MS = 300;
    private static final double GRACE_MS = 6_000;

    private record Listed(long from, List<ControlMachine> machines) {}

    private final Day day;
    private final Sim sim;
    private final BiFunction<Sim.Machine, Boolean, NodeSettings> settings;
    private final TreeMap<String, ControlMachine> all = new TreeMap<>();
    private final ArrayDeque<Listed> lists = new ArrayDeque<>();

    /** What the settings name; null for the first of those that are there. */
    private List<ControlMachine> turned;

    private int added;

    /** When something last happened to one of them, or between them. */
    private long eventAt = -IN_TOUCH_MS;

    /**
     * Until then one of them counts as lost: for catch_up_s after it is back, or after its
     * successor's start.
     */
    private long lostUntil;

    /** The one that acted or acknowledged last. */
    private String acted = "";

    Controls(Day day, int many, BiFunction<Sim.Machine, Boolean, NodeSettings> settings) {
        this.day = day;
        this.sim = day.sim;
        this.settings = settings;
        for (int i = 0; i < many; i++) {
            String zone = Day.ZONES[i % Day.ZONES.length];
            add(
                    "core-" + zone + (i < Day.ZONES.length ? "" : i / Day.ZONES.length),
                    zone,
                    1 + i / Day.ZONES.length);
        }
        lists.clear();
        lists.add(new Listed(-LIST_MS, List.copyOf(all.values())));
    }

    private ControlMachine add(String name, String zone, int number) {
        ControlMachine c =
                new ControlMachine(
                        sim,
                        sim.new Machine(name, zone, "10." + zone.charAt(0) % 'a' + ".0." + number));
        all.put(name, c);
        listed();
        return c;
    }

    private void listed() {
        lists.add(new Listed(sim.millis(), List.copyOf(all.values())));
        while (lists.size() > 1 && second().from() <= sim.millis() - LIST_MS) {
            lists.remove();
        }
    }

    private Listed second() {
        return lists.stream().skip(1).findFirst().orElseThrow();
    }

    /** As the list stood that callers have. */
    List<ControlMachine> known() {
        while (lists.size() > 1 && second().from() <= sim.millis() - LIST_MS) {
            lists.remove();
        }
        return lists.peek().machines();
    }

    Iterable<ControlMachine> all() {
        return all.values();
    }

    int count() {
        return all.size();
    }

    ControlMachine at(String ip) {
        return all.values().stream().filter(c -> c.machine.ip.equals(ip)).findFirst().orElse(null);
    }

    /**
     * By name; or `leader`, the one that acted or acknowledged last; `seed`, the first one of the
     * settings; `other`, neither.
     */
    ControlMachine of(String name) {
        ControlMachine is =
                switch (name) {
                    case "leader" ->
                            all.containsKey(acted) ? all.get(acted) : all.firstEntry().getValue();
                    case "seed" ->
                            seedMachines().stream()
                                    .filter(c -> !c.gone)
                                    .findFirst()
                                    .orElse(all.firstEntry().getValue());
                    case "other" ->
                            all.values().stream()
                                    .filter(c -> !c.machine.name.equals(acted) && c.machine.up)
                                    .findFirst()
                                    .orElse(null);
                    default -> all.get(name);
                };
        if (is == null) {
            // It was replaced: whoever came for it.
            is =
                    all.values().stream()
                            .filter(c -> c.machine.name.startsWith(name + "-"))
                            .findFirst()
                            .orElse(null);
        }
        return is;
    }

    /** What was answered in the end, by whom, and when that one was asked. */
    record Answered(Environment.HttpResponse answer, ControlMachine by, long askedAt) {}

    /** A call as all make it: a 307 is followed twice, and each that is asked is given so long. */
    CompletableFuture<Answered> call(
            Sim.Machine from,
            String method,
            ControlMachine to,
            String path,
            byte[] body,
            int timeoutMs) {
        CompletableFuture<Answered> done = new CompletableFuture<>();
        call(from, method, to.machine.ip + ":" + HTTP, path, body, timeoutMs, 2, done);
        return done;
    }

    private void call(
            Sim.Machine from,
            String method,
            String address,
            String path,
            byte[] body,
            int timeoutMs,
            int more,
            CompletableFuture<Answered> done) {
        long askedAt = sim.millis();
        ControlMachine to = at(address.substring(0, address.indexOf(':')));
        from.call(method, address, path, body, Map.of(), timeoutMs)
                .whenComplete(
                        (is, fault) -> {
                            if (fault != null) {
                                done.completeExceptionally(fault);
                            } else if (is.status() == 307 && is.location() != null && more > 0) {
                                URI location = URI.create(is.location());
                                call(
                                        from,
                                        method,
                                        location.getAuthority(),
                                        location.getPath(),
                                        body,
                                        timeoutMs,
                                        more - 1,
                                        done);
                            } else {
                                done.complete(new Answered(is, to, askedAt));
                            }
                        });
    }

    void acted(String name) {
        acted = name;
    }

    private List<ControlMachine> seedMachines() {
        // A file that names none that is there any more has been written anew by then.
        boolean of = turned != null && turned.stream().anyMatch(c -> !c.gone);
        return of ? turned : known().stream().limit(SEEDS).toList();
    }

    List<String> seeds() {
        return seedMachines().stream().map(c -> c.machine.ip + ":" + HTTP).toList();
    }

    /** Other seeds are named from now on: those given first, then the last ones that are there. */
    void turn(List<ControlMachine> first) {
        List<ControlMachine> next = new ArrayList<>(first);
        all.descendingMap().values().stream().filter(c -> !next.contains(c)).forEach(next::add);
        turned = List.copyOf(next.subList(0, Math.min(SEEDS, next.size())));
        day.say("seeds " + turned.stream().map(c -> c.machine.name).toList());
    }

    void startAll() {
        all.values()
                .forEach(c -> sim.after(sim.random.nextDouble() * START_MS, () -> start(c, true)));
    }

    void start(ControlMachine c, boolean first) {
        if (c.gone || c.machine.up && c.core != null) {
            return;
        }
        event();
        c.machine.up();
        c.startedAt = sim.millis();
        ControlNode core = new ControlNode(c.machine, settings.apply(c.machine, first), c.disk);
        c.core = core;
        c.machine.listen(INNER, h -> core.accept());
        c.machine.serve(HTTP, (method, path, body, headers) -> core.handle(method, path, body));
        day.configAudit.started(c);
        try {
            core.start();
        } catch (Configuration.InvalidConfigurationException bad) {
            day.audit.breach("FAULT", c.machine.name + " does not start: " + bad.getMessage());
        }
    }

    // ---- whether a majority is there

    /** Something happened to one of them, or between two. */
    void event() {
        eventAt = sim.millis();
        sim.after(0, this::contact);
    }

    private static boolean joined(Sim sim, ControlMachine a, ControlMachine b) {
        return a.runs() && b.runs() && !sim.cut(a.machine, b.machine);
    }

    /** It runs, and reaches more than half of them both ways, with itself. */
    boolean reachesMajority(ControlMachine c) {
        int have = c.runs() ? 1 : 0;
        for (ControlMachine o : all.values()) {
            have += o != c && joined(sim, c, o) ? 1 : 0;
        }
        return 2 * have > all.size();
    }

    private void contact() {
        for (ControlMachine c : all.values()) {
            boolean alone = c.runs() && !reachesMajority(c);
            c.aloneSince = !alone ? -1 : c.aloneSince < 0 ? sim.millis() : c.aloneSince;
        }
    }

    /**
     * Since when more than half have run and been connected with nothing happening; the future
     * where that is not so.
     */
    long settledSince() {
        boolean connected = all.values().stream().anyMatch(this::reachesMajority);
        return connected ? eventAt + IN_TOUCH_MS : Long.MAX_VALUE / 2;
    }

    boolean settled() {
        return sim.millis() >= settledSince();
    }

    // ---- what happens to them

    long lostUntil() {
        return lostUntil;
    }

    private void lostFor(long ms) {
        lostUntil = Math.max(lostUntil, sim.millis() + ms + CATCH_UP_MS);
    }

    /**
     * Its process ends, or its power goes, and it is back after a while; with an empty disk where
     * it is wiped.
     */
    void lose(ControlMachine c, boolean power, boolean wipe, long forMs) {
        if (c == null || !c.machine.up) {
            return;
        }
        day.say((wipe ? "wipe " : power ? "power " : "kill ") + c.machine.name);
        day.configAudit.losses++;
        event();
        lostFor(forMs);
        c.core = null;
        c.down(power);
        if (wipe) {
            c.disk.wipe();
            c.replaces = true;
        }
        sim.after(
                forMs,
                () -> {
                    if (!c.machine.up && !c.gone) {
                        day.say("back " + c.machine.name);
                        start(c, false);
                    }
                });
    }

    /** Killed, and again soon after each start, for so long. */
    void hard(ControlMachine c, long forMs) {
        long until = sim.millis() + forMs;
        new Runnable() {
            @Override
            public void run() {
                if (sim.millis() < until) {
                    lose(c, sim.random.nextBoolean(), false, 200 + sim.random.nextInt(300));
                    sim.after(600 + sim.random.nextInt(900), this);
                }
            }
        }.run();
    }

    /**
     * Gone for good; an empty one comes at another address. Planned: that one first, then SIGTERM.
     */
    void replace(ControlMachine old, boolean planned, long inMs) {
        if (old == null || old.gone || !all.containsKey(old.machine.name)) {
            return;
        }
        String base =
                old.machine.name.contains("-r")
                        ? old.machine.name.substring(0, old.machine.name.indexOf("-r"))
                        : old.machine.name;
        day.say((planned ? "planned replacement of " : "gone for good ") + old.machine.name);
        int number = ++added;
        lostFor(inMs);
        Runnable comes =
                () -> {
                    ControlMachine c = add(base + "-r" + number, old.machine.zone, 100 + number);
                    c.replaces = true;
                    day.configAudit.replaced++;
                    day.say("new " + c.machine.name);
                    start(c, false);
                };
        if (planned) {
            comes.run();
            sim.after(inMs, () -> terminate(old));
        } else {
            end(old, true);
            sim.after(inMs, comes);
        }
    }

    private void end(ControlMachine c, boolean power) {
        day.configAudit.losses++;
        event();
        lostFor(0);
        c.gone = true;
        c.core = null;
        if (c.machine.up) {
            c.down(power);
        }
        all.remove(c.machine.name);
        listed();
    }

    /** SIGTERM, SIGKILL once the grace is over, and it is not started again. */
    private void terminate(ControlMachine c) {
        if (c.gone) {
            return;
        }
        day.say("SIGTERM " + c.machine.name);
        event();
        lostFor(0);
        c.gone = true;
        Runnable ends =
                () -> {
                    if (all.containsKey(c.machine.name)) {
                        day.say("ended " + c.machine.name);
                        end(c, false);
                    }
                };
        if (c.core == null) {
            ends.run();
        } else {
            ControlNode core = c.core;
            c.machine.enter(() -> core.shutDown(ends));
            sim.after(GRACE_MS, ends);
        }
    }

    void freeze(ControlMachine c, long forMs) {
        if (c == null || !c.runs()) {
            return;
        }
        day.say("freeze " + c.machine.name + " for " + forMs);
        day.configAudit.losses++;
        lostFor(forMs);
        c.machine.freeze(forMs);
        event();
        sim.after(forMs, this::event);
    }

    /**
     * Cut off from all others of its kind. way: both, in (it hears nothing), out (it is not heard).
     */
    void cutOff(List<ControlMachine> off, String way, boolean restarts, long forMs) {
        List<ControlMachine> rest = all.values().stream().filter(c -> !off.contains(c)).toList();
        day.say(
                "cut off "
                        + off.stream().map(c -> c.machine.name).toList()
                        + " "
                        + way
                        + " for "
                        + forMs);
        day.configAudit.losses += off.size();
        lostFor(forMs);
        cut(off, rest, way, true);
        sim.after(
                forMs,
                () -> {
                    day.say("joined " + off.stream().map(c -> c.machine.name).toList());
                    cut(off, rest, way, false);
                });
        if (restarts) {
            sim.after(forMs / 3.0, () -> off.forEach(c -> lose(c, false, false, 300)));
            sim.after(forMs * 2 / 3.0, () -> rest.forEach(c -> lose(c, false, false, 300)));
        }
    }

    private void cut(List<ControlMachine> off, List<ControlMachine> rest, String way, boolean is) {
        for (ControlMachine a : off) {
            for (ControlMachine b : rest) {
                if (!way.equals("in")) {
                    sim.cutWay(a.machine, b.machine, is);
                }
                if (!way.equals("out")) {
                    sim.cutWay(b.machine, a.machine, is);
                }
            }
        }
        event();
    }

    void disk(ControlMachine c, String how, double times, long forMs) {
        if (c == null) {
            return;
        }
        day.say(how + " " + c.machine.name + " for " + forMs);
        day.configAudit.losses++;
        lostFor(forMs);
        switch (how) {
            case "disk_stall" -> c.disk.stall(forMs);
            case "disk_slow" -> {
                c.disk.slow(times);
                sim.after(forMs, () -> c.disk.slow(1));
            }
            default -> {
                c.disk.refuse(true);
                sim.after(forMs, () -> c.disk.refuse(false));
            }
        }
    }

    /** All at once: without power, or killed. */
    void loseAll(boolean power, ControlMachine wiped, long forMs) {
        List.copyOf(all.values())
                .forEach(
                        c ->
                                lose(
                                        c,
                                        power || c == wiped,
                                        c == wiped,
                                        forMs + sim.random.nextInt(300)));
    }

    List<String> status() {
        List<String> lines = new ArrayList<>();
        all.values()
                .forEach(
                        c ->
                                lines.add(
                                        c.machine.name
                                                + " "
                                                + (c.core == null ? "down" : c.core.status())));
        return lines;
    }
}
