package dillfront.simulation.system;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * What may happen to control machines and to the configuration, as a line of a scenario says it.
 */
final class ControlTroubles {

    private static final int AFTER_ACK_MS = 4;
    private static final int TIMED_MS = 400;
    private static final int CLOSING_MS = 50;

    private final Day day;
    private final Controls controls;
    private final Sim sim;

    ControlTroubles(Day day) {
        this.day = day;
        controls = day.controls;
        sim = day.sim;
    }

    private static boolean isControl(String name) {
        return name.startsWith("core")
                || name.equals("leader")
                || name.equals("seed")
                || name.equals("other");
    }

    private static int number(String[] w, int at, int otherwise) {
        return w.length > at && w[at].matches("\\d+") ? Integer.parseInt(w[at]) : otherwise;
    }

    /** Whether the line was one of these. */
    boolean happen(String[] w, String line, long ms) {
        ControlMachine c = w.length > 1 && isControl(w[1]) ? controls.of(w[1]) : null;
        switch (w[0]) {
            case "kill", "power", "wipe" -> {
                if (w.length < 2 || !isControl(w[1])) {
                    return false;
                }
                controls.lose(c, !w[0].equals("kill"), w[0].equals("wipe"), ms);
            }
            case "freeze" -> {
                if (!isControl(w[1])) {
                    return false;
                }
                controls.freeze(c, ms);
            }
            case "holder" -> {
                for (ControlMachine m : controls.all()) {
                    if (m.runs() && m.core != null && m.core.status().contains(" held ")) {
                        controls.lose(m, true, false, ms);
                        break;
                    }
                }
            }
            case "core_cut" -> coreCut(c, line, number(w, 2, 1), ms);
            case "replace" ->
                    controls.replace(
                            c, line.contains(" planned"), line.contains(" for ") ? ms : 1_000);
            case "seeds" -> {
                controls.turn(c == null ? List.of() : List.of(c));
                day.reseed();
            }
            case "reset" -> {
                if (!isControl(w[1])) {
                    return false;
                }
                day.say("reset " + c.machine.name);
                controls.event();
                c.machine.reset();
            }
            case "hard" -> controls.hard(c, ms);
            case "disk_stall", "disk_slow", "disk_refuse" ->
                    controls.disk(c, w[0], number(w, 2, 30), ms);
            case "after_ack" -> afterAck(w[1], number(w, 2, 1), ms);
            case "closing" -> closing(w[1], ms);
            case "configure" -> day.orders.change(null, x -> {});
            case "order" -> {
                if (line.contains(" hard")) {
                    day.orders.hard(c);
                } else {
                    day.orders.change(c, x -> {});
                }
            }
            case "repeat" -> day.orders.repeatOld();
            case "repeat_refused" -> day.orders.repeatRefused();
            case "storm" -> storm(number(w, 1, 100), number(w, 2, 50));
            case "race" -> {
                int gap = number(w, 2, 1_000);
                for (int i = 0; i < number(w, 1, 1); i++) {
                    sim.after((double) i * gap, day.orders::race);
                }
            }
            case "big" -> day.orders.more = number(w, 1, 350);
            case "lossy" -> {
                day.orders.lost = Double.parseDouble(w[1]);
                sim.after(ms, () -> day.orders.lost = 0);
            }
            case "reads" -> day.orders.reading(number(w, 1, 700));
            default -> {
                return false;
            }
        }
        return true;
    }

    private void storm(int many, int gap) {
        day.say("storm of " + many);
        for (int i = 0; i < many; i++) {
            sim.after((double) i * gap, () -> day.orders.change(null, x -> {}));
        }
    }

    /**
     * Of these, `meet` sends a change to the one that is cut off, in the middle of it and as it
     * returns.
     */
    private void coreCut(ControlMachine c, String line, int many, long ms) {
        List<ControlMachine> off = new ArrayList<>();
        off.add(c);
        for (ControlMachine o : controls.all()) {
            if (off.size() < many && o != c) {
                off.add(o);
            }
        }
        if (line.contains(" meet")) {
            sim.after(ms * 0.4, () -> day.orders.change(c, x -> {}));
            sim.after(ms + 5, () -> day.orders.change(c, x -> {}));
        }
        if (line.contains(" seeds")) {
            controls.turn(off);
            day.reseed();
        }
        controls.cutOff(
                off,
                line.contains(" in ") ? "in" : line.contains(" out ") ? "out" : "both",
                line.contains(" both"),
                ms);
    }

    /**
     * Whoever acknowledges the change, and some more, are lost within a few milliseconds; timed:
     * some time after it was sent. Not where another is lost by then.
     */
    private void afterAck(String how, int many, long ms) {
        Consumer<ControlMachine> strike =
                by ->
                        sim.after(
                                1 + sim.random.nextInt(AFTER_ACK_MS),
                                () -> {
                                    if (sim.millis() < controls.lostUntil()) {
                                        return;
                                    }
                                    int left = many;
                                    if (by != null) {
                                        controls.lose(
                                                by, !how.equals("kill"), how.equals("wipe"), ms);
                                        left--;
                                    }
                                    for (ControlMachine o : List.copyOf(controls.known())) {
                                        if (left > 0 && o != by) {
                                            controls.lose(
                                                    o, !how.equals("kill"), how.equals("wipe"), ms);
                                            left--;
                                        }
                                    }
                                });
        if (how.equals("timed")) {
            ControlMachine to = controls.of("leader");
            day.orders.change(to, x -> {});
            sim.after(
                    5 + sim.random.nextInt(TIMED_MS),
                    () -> {
                        if (sim.millis() >= controls.lostUntil()) {
                            controls.lose(to, true, false, ms);
                        }
                    });
        } else {
            day.orders.change(null, strike);
        }
    }

    /**
     * Right after a change was acknowledged all lose power (also where another is lost already), or
     * all are killed, or one loses its disk, the others their power or not; timed: some time after
     * it was sent.
     */
    private void closing(String how, long ms) {
        if (how.equals("timed")) {
            day.orders.change(null, x -> {});
            sim.after(5 + sim.random.nextInt(TIMED_MS), () -> controls.loseAll(true, null, ms));
            return;
        }
        day.orders.change(
                null,
                by ->
                        sim.after(
                                1 + sim.random.nextInt(CLOSING_MS),
                                () -> {
                                    day.say("closing " + how);
                                    boolean one = sim.millis() >= controls.lostUntil();
                                    switch (one ? how : "power") {
                                        case "power" -> controls.loseAll(true, null, ms);
                                        case "kill" -> controls.loseAll(false, null, ms);
                                        case "wipe_power" -> controls.loseAll(true, by, ms);
                                        default -> controls.lose(by, true, true, ms);
                                    }
                                }));
    }
}
