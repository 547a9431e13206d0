package dillfront.simulation.system;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import dillfront.common.config.Configuration;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The operators of a day. They pick among the control machines of a list that lags, go on after a
 * failure, a 5xx, 408, 429 or a silence with a pause that grows, and send the same order again, to
 * any process; up to eight are under way at once.
 */
final class Orders {

    private static final int AT_ONCE = 8;
    private static final long SILENCE_MS = 1_000;
    private static final double ROUTE_MS = 3;
    private static final long PAUSE_MS = 100;
    private static final long MOST_PAUSE_MS = 800;
    private static final Set<Integer> LAST = Set.of(400, 409, 412, 413, 422);
    private static final Set<Integer> AGAIN = Set.of(307, 408, 429);

    /** One change, or one of two under one number. */
    final class Order {
        final long number;
        final byte[] body;
        final long digest;
        final int routes;
        long sentAt = -1;
        boolean acknowledged;

        /** It was acknowledged, though that may have been lost on its way. */
        boolean taken;

        boolean refused;

        /** No more is done for it. */
        boolean over;

        /** The other one under its number. */
        Order rival;

        private int tries;
        private int others;
        private ControlMachine first;

        /** Nobody but the first is called, again and again until it answers. */
        private boolean hard;

        /** Tried since it last began with all of them anew. */
        private final List<ControlMachine> tried = new ArrayList<>();

        /** Told which process acknowledged it, once. */
        private Consumer<ControlMachine> then = c -> {};

        Order(long number, int variant) {
            this.number = number;
            routes = day.databases() * 3 + more;
            body = body(number, variant);
            digest = ConfigAudit.digest(body);
        }

        /** How long it may take where nothing is wrong. */
        double bytesMs() {
            return routes * ROUTE_MS;
        }
    }

    private final Day day;
    private final Sim sim;
    private final Sim.Machine operator;
    private final ArrayDeque<Order> queue = new ArrayDeque<>();
    private int underWay;
    private long number = 1;

    /** Routes that make the configuration bigger. */
    int more;

    /** Each answer is lost on its way with this chance. */
    double lost;

    final List<Order> all = new ArrayList<>();

    Orders(Day day, Sim.Machine operator) {
        this.day = day;
        this.sim = day.sim;
        this.operator = operator;
    }

    private byte[] body(long of, int variant) {
        JsonArray routes = Json.array().asArray();
        JsonArray services = Json.array().asArray();
        for (String name : day.databaseNames()) {
            services.add(
                    Json.object()
                            .add("name", name)
                            .add("connection_limit", 60)
                            .add("synchronous_replicas", 1));
            for (String[] kind :
                    new String[][] {
                        {"primary", "primary"},
                        {"bounded", "bounded_staleness"},
                        {"own", "read_your_writes"}
                    }) {
                routes.add(
                        Json.object()
                                .add("name", name + kind[0])
                                .add("host_name", name + "-" + kind[0])
                                .add("path_prefix", "/")
                                .add("route_kind", kind[1])
                                .add("timeout_ms", 1_000 + of % 1_000)
                                .add("target_latency_ms", 400 + variant)
                                .add("priority", 1)
                                .add("service", name)
                                .add("max_attempts", 2)
                                .add(
                                        "max_staleness_ms",
                                        kind[0].equals("bounded") ? 1_500 : 2_500));
            }
        }
        for (int i = 0; i < more; i++) {
            routes.add(
                    Json.object()
                            .add("name", "more" + i)
                            .add("host_name", "more" + i)
                            .add("path_prefix", "/")
                            .add("route_kind", "primary")
                            .add("timeout_ms", 1_000 + of % 1_000)
                            .add("target_latency_ms", 400)
                            .add("priority", 1)
                            .add("service", "db0"));
        }
        return Json.object()
                .add("revision_number", of)
                .add("routes", routes)
                .add("services", services)
                .add("limits", Json.object().add("transaction_idle_ms", 3_000))
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    /** The next number with a content of its own; sent to this one first, if one is given. */
    Order change(ControlMachine first, Consumer<ControlMachine> then) {
        Order o = new Order(number++, 0);
        o.first = first;
        o.then = then;
        add(o);
        return o;
    }

    /** To this one alone, again and again until it answers or names another. */
    void hard(ControlMachine only) {
        Order o = new Order(number++, 0);
        o.first = only;
        o.hard = true;
        add(o);
    }

    private void add(Order o) {
        all.add(o);
        queue.add(o);
        take();
    }

    /** Two operators, one number, two contents, to two processes at once. */
    void race() {
        Order one = new Order(number, 0);
        Order two = new Order(number++, 1);
        one.rival = two;
        two.rival = one;
        List<ControlMachine> to = day.controls.known();
        int at = sim.random.nextInt(to.size());
        one.first = to.get(at);
        two.first = to.get((at + 1) % to.size());
        add(one);
        add(two);
    }

    private void take() {
        while (underWay < AT_ONCE && !queue.isEmpty()) {
            Order o = queue.poll();
            underWay++;
            o.sentAt = sim.millis();
            day.configAudit.sent(o);
            send(o);
        }
    }

    private ControlMachine any() {
        List<ControlMachine> list = day.controls.known();
        return list.get(sim.random.nextInt(list.size()));
    }

    /** One that was not tried yet; anew once all were. */
    private ControlMachine another(List<ControlMachine> tried) {
        List<ControlMachine> left = new ArrayList<>(day.controls.known());
        left.removeAll(tried);
        if (left.isEmpty()) {
            tried.clear();
            return any();
        }
        return left.get(sim.random.nextInt(left.size()));
    }

    private void send(Order o) {
        ControlMachine to =
                (o.tries++ == 0 || o.hard) && o.first != null ? o.first : another(o.tried);
        o.tried.add(to);
        long began = sim.millis();
        long silence = SILENCE_MS + Math.round(o.bytesMs());
        boolean unheard = lost > 0 && sim.random.nextDouble() < lost;
        int call = day.configAudit.calls(o);
        day.controls
                .call(operator, "POST", to, "/Configuration.Replace", o.body, (int) silence)
                .whenComplete(
                        (is, fault) -> {
                            int status = fault == null ? is.answer().status() : 503;
                            if (fault == null) {
                                day.configAudit.answered(is.by(), is.askedAt(), status);
                                o.taken |= status == 200;
                            }
                            day.configAudit.ends(call, fault == null && !unheard ? status : 0);
                            if (fault == null && unheard) {
                                sim.at((began + silence) * 1_000, () -> again(o));
                            } else {
                                heard(o, fault == null ? is.by() : to, status);
                            }
                        });
    }

    private void again(Order o) {
        sim.after(
                Math.min(MOST_PAUSE_MS, PAUSE_MS << Math.min(6, o.tries)),
                () -> {
                    if (!o.over && !day.ended()) {
                        send(o);
                    }
                });
    }

    private void heard(Order o, ControlMachine to, int status) {
        if (status >= 200 && status < 300) {
            boolean early = !o.acknowledged;
            o.acknowledged = true;
            day.configAudit.acknowledged(o, to);
            end(o);
            if (early) {
                day.controls.acted(to.machine.name);
                o.then.accept(to);
                if (sim.random.nextDouble() < 0.15) {
                    sim.after(100 + sim.random.nextInt(3_000), () -> repeat(o));
                }
            }
        } else if (status >= 500 || AGAIN.contains(status)) {
            again(o);
        } else if (LAST.contains(status) || ++o.others >= 3) {
            o.refused = true;
            day.configAudit.refused(o, to, status);
            end(o);
        } else {
            again(o);
        }
    }

    private void end(Order o) {
        if (!o.over) {
            o.over = true;
            underWay--;
            take();
        }
    }

    /** One that was acknowledged is sent again, to any process. */
    void repeat(Order o) {
        if (day.ended()) {
            return;
        }
        ControlMachine to = any();
        int call = day.configAudit.calls(o);
        day.controls
                .call(
                        operator,
                        "POST",
                        to,
                        "/Configuration.Replace",
                        o.body,
                        (int) (SILENCE_MS + o.bytesMs()))
                .whenComplete(
                        (is, fault) -> {
                            int status = fault == null ? is.answer().status() : 0;
                            day.configAudit.ends(call, status);
                            if (fault != null) {
                                return;
                            }
                            day.configAudit.answered(is.by(), is.askedAt(), status);
                            if (status >= 400 && status < 500 && !AGAIN.contains(status)) {
                                day.configAudit.refused(o, is.by(), status);
                            } else if (status == 200) {
                                day.configAudit.acknowledged(o, is.by());
                            }
                        });
    }

    /** An old one that was acknowledged, or any of the last, again. */
    void repeatOld() {
        List<Order> old = all.stream().filter(o -> o.acknowledged).toList();
        if (!old.isEmpty()) {
            repeat(old.get(sim.random.nextInt(old.size())));
        }
    }

    /**
     * One that was refused for the other content of its number, as if that answer had been lost.
     */
    void repeatRefused() {
        List<Order> refused = all.stream().filter(o -> o.refused).toList();
        if (!refused.isEmpty()) {
            repeat(refused.get(sim.random.nextInt(refused.size())));
        }
    }

    /** Reads the configuration from any process, over and over. */
    void reading(long gapMs) {
        if (!day.ended()) {
            read(any(), 1_000);
            sim.after(gapMs * (0.5 + sim.random.nextDouble()), () -> reading(gapMs));
        }
    }

    void read(ControlMachine from, int timeoutMs) {
        ConfigAudit.Reading reading = day.configAudit.reads(from);
        day.controls
                .call(operator, "GET", from, "/Configuration.Read", new byte[0], timeoutMs)
                .whenComplete(
                        (is, fault) -> {
                            if (fault != null || is.answer().status() != 200) {
                                return;
                            }
                            day.configAudit.answered(is.by(), is.askedAt(), 200);
                            byte[] body = is.answer().body();
                            try {
                                day.configAudit.read(
                                        reading,
                                        Configuration.parse(body).revision(),
                                        ConfigAudit.digest(body));
                            } catch (Configuration.InvalidConfigurationException bad) {
                                day.audit.breach("CONFIG", bad.getMessage());
                            }
                        });
    }
}
