package dillfront.drill;

import com.fasterxml.jackson.core.JsonGenerator;
import dillfront.Decide;
import dillfront.port.Effect;
import dillfront.port.Handle;
import dillfront.port.ListRole;
import dillfront.port.NodeRow;
import dillfront.port.Outlet;
import dillfront.port.Read;
import dillfront.port.Report;
import dillfront.port.Result;
import dillfront.port.Settings;
import dillfront.port.Standing;
import dillfront.port.TxnType;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** One router: its own module, and the indices that stand for the wire's ids. */
final class Instance implements Outlet {

    private final int who;
    private final JsonGenerator reply;
    private final Decide decide;
    private final long zeroUs;
    private final boolean tokensCarried;

    private final Map<String, Integer> types = new HashMap<>();
    private final Map<String, Integer> tenants = new HashMap<>();
    private final Map<String, Integer> zones = new HashMap<>();

    /** Grows with the machines that any list has named. */
    private final Map<String, Integer> nodes = new HashMap<>();
    private final List<String> nodeIds = new ArrayList<>();

    /** Held from the txn's arrival until it is answered and nothing of it is out. */
    private final Map<Long, Integer> txns = new HashMap<>();
    private final List<Txn> slots = new ArrayList<>();
    private final List<Integer> free = new ArrayList<>();

    /** What the adapter keeps of a txn; the slot is used again once it is over. */
    private static final class Txn {
        long corr;
        Handle handle;
        int out;
        boolean answered;
    }

    Instance(int who, long seed, Tree setup, JsonGenerator reply) {
        this.who = who;
        this.reply = reply;
        Tree family = setup.tree("familyInfo");
        zeroUs = family.whole("originTimeUs");
        tokensCarried = family.text("tokens").equals("brought");
        index(setup.list("zones"), zones);
        index(setup.trees("tenants").stream().map(t -> t.text("name")).toList(), tenants);
        index(setup.trees("classes").stream().map(t -> t.text("name")).toList(), types);
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        decide = new Decide(settings(setup, family), this, chance);
    }

    private static void index(List<?> names, Map<String, Integer> into) {
        names.forEach(name -> into.put(String.valueOf(name), into.size()));
    }

    private Settings settings(Tree setup, Tree family) {
        Tree bounds = setup.tree("bounds");
        Tree rules = setup.tree("rules");
        Tree charges = setup.tree("charges");
        List<Tree> classes = setup.trees("classes");
        List<TxnType> rows = new ArrayList<>();
        for (int i = 0; i < classes.size(); i++) {
            Tree type = classes.get(i);
            rows.add(new TxnType(
                    switch (type.text("effect")) {
                        case "retryable" -> Effect.REPEATABLE;
                        case "dedup" -> Effect.REFERENCED;
                        default -> Effect.ONCE_ONLY;
                    },
                    !type.text("dedupScope").equals("all"), type.span("dedupWindowUs"),
                    read(family.list("classRead"), i),
                    i < family.list("classBoundUs").size()
                            ? micros(family.list("classBoundUs").get(i)) : Duration.ZERO,
                    type.span("targetUs"), type.span("deadlineUs"), type.number("worth", 1), type.number("lateShare", 0)));
        }
        return new Settings(setup.span("stepUs"), zones.getOrDefault(setup.text("az"), -1),
                bounds.span("dialTimeoutUs"),
                bounds.flag("retryAfter") ? bounds.span("maxRetryAfterUs") : Duration.ZERO,
                (int) bounds.number("maxAttempts", 1), bounds.flag("probes"),
                setup.text("registryMode").equals("ask"), rules.span("askWithinUs"),
                switch (family.text("listRole")) {
                    case "trailing" -> ListRole.TRAILING;
                    case "static" -> ListRole.AS_AT_START;
                    default -> ListRole.ABSENT;
                },
                !family.text("guards").equals("off"), rules.flag("droppedStayOpen"),
                rules.number("coldFrom", 1), rules.span("coldUs"), rules.number("tipMultiple", 1),
                rules.span("tipAfterUs"), charges.number("probe", 0),
                (int) setup.number("groupSize", 1), rows,
                setup.trees("tenants").stream().map(t -> t.number("quotaPerS", 0)).toList());
    }

    private static Read read(List<?> reads, int i) {
        return switch (i < reads.size() ? String.valueOf(reads.get(i)) : "") {
            case "eventual" -> Read.ANY;
            case "lag_bound" -> Read.BOUNDED;
            case "causal" -> Read.SESSION;
            case "mutate" -> Read.WRITE;
            default -> Read.FRESH;
        };
    }

    private static Duration micros(Object number) {
        return Drill.micros(number instanceof Number n ? n.longValue() : 0);
    }

    void at(long clockUs) {
        decide.at(Drill.micros(clockUs - zeroUs));
    }

    void list(boolean whole, List<Tree> entries) {
        List<NodeRow> rows = new ArrayList<>();
        for (Tree entry : entries) {
            String id = entry.text("node");
            Integer node = nodes.get(id);
            if (node == null) {
                node = nodeIds.size();
                nodes.put(id, node);
                nodeIds.add(id);
            }
            long started = entry.whole("lastStartUs");
            rows.add(new NodeRow(node, (int) entry.whole("db"), zones.getOrDefault(entry.text("locality"), -1),
                    entry.number("scale", 1), entry.number("primary", 0) == 1,
                    started == 0 ? null : Drill.micros(started - zeroUs),
                    switch ((int) entry.whole("availability")) {
                        case 1 -> Standing.READY;
                        case 2 -> Standing.DRAINING;
                        default -> Standing.GONE;
                    }));
        }
        decide.list(whole, rows);
    }

    void listFailed() {
        decide.listFailed();
    }

    void arrived(Event e) throws BadInput {
        Integer type = types.get(e.qos);
        if (type == null) {
            throw e.fault("unknown qos '" + e.qos + "'");
        }
        int slot = free.isEmpty() ? slots.size() : free.remove(free.size() - 1);
        if (slot == slots.size()) {
            slots.add(new Txn());
        }
        Txn txn = slots.get(slot);
        txn.corr = e.corr;
        txn.out = 0;
        txn.answered = false;
        txn.handle = null;
        txns.put(e.corr, slot);
        int session = e.hasUser ? (int) Math.floorMod(e.user * 0x9E3779B97F4A7C15L >>> 20, Decide.SESSIONS) : -1;
        Duration token = !tokensCarried || Double.isNaN(e.lastWriteMs) ? null
                : Duration.ofNanos((long) Math.floor(e.lastWriteMs * 1e6));
        txn.handle = decide.take(slot, type, tenants.getOrDefault(e.account, -1), session,
                (int) e.partitionNo, Drill.micros(e.expiresInUs), token);
        releaseIfOver(slot);
    }

    void ended(Event e) throws BadInput {
        Result result = e.result();
        Report note = note(e.stand);
        Integer node = nodes.get(e.node);
        Integer slot = txns.get(e.corr);
        if (node == null) {
            return;
        }
        if (slot == null) {
            decide.heard(node, note, e.report);
            return;
        }
        Txn txn = slots.get(slot);
        txn.out--;
        txn.answered |= e.finished;
        txn.handle.ended(node, result, Drill.micros(e.durationUs), e.finished, note, e.report);
        releaseIfOver(slot);
    }

    private static Report note(long note) {
        if (note == 0) {
            return Report.NOTHING;
        }
        long ms = note / 4;
        return new Report(ms == 0 ? null : Duration.ofMillis(ms), Event.role(note % 4));
    }

    void left(Event e) {
        Integer slot = txns.get(e.corr);
        if (slot != null) {
            Txn txn = slots.get(slot);
            txn.answered = true;
            txn.handle.left();
            releaseIfOver(slot);
        }
    }

    void probed(Event e) throws BadInput {
        Integer node = nodes.get(e.node);
        if (node != null) {
            decide.probed(node, e.result() == Result.COMMITTED, e.report);
        }
    }

    void woken() {
        decide.woken();
    }

    private void releaseIfOver(int slot) {
        Txn txn = slots.get(slot);
        if (txn.handle != null && txn.answered && txn.out <= 0) {
            txns.remove(txn.corr, slot);
            txn.handle = null;
            free.add(slot);
        }
    }

    private void write(String kind, Fields fields) {
        try {
            reply.writeStartObject();
            reply.writeStringField("kind", kind);
            reply.writeNumberField("who", who);
            fields.write();
            reply.writeEndObject();
            reply.writeRaw('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private interface Fields {
        void write() throws IOException;
    }

    @Override
    public void submit(int txn, int node, Duration limit) {
        slots.get(txn).out++;
        write("HandOff", () -> {
            reply.writeNumberField("corr", slots.get(txn).corr);
            reply.writeNumberField("limitUs", limit.toNanos() / 1000);
            reply.writeStringField("node", nodeIds.get(node));
        });
    }

    @Override
    public void decline(int txn, Duration pause) {
        slots.get(txn).answered = true;
        write("Reject", () -> {
            reply.writeNumberField("corr", slots.get(txn).corr);
            if (!pause.isZero()) {
                reply.writeNumberField("pauseUs", pause.toNanos() / 1000);
            }
        });
    }

    @Override
    public void rollBack(int txn) {
        slots.get(txn).answered = true;
        write("EndFailed", () -> reply.writeNumberField("corr", slots.get(txn).corr));
    }

    @Override
    public void release(int node) {
        write("DropConns", () -> reply.writeStringField("node", nodeIds.get(node)));
    }

    @Override
    public void probe(int node) {
        write("Touch", () -> reply.writeStringField("node", nodeIds.get(node)));
    }

    @Override
    public void follow() {
        write("Tail", () -> reply.writeBooleanField("on", true));
    }

    @Override
    public void wake(Duration in) {
        write("WakeAt", () -> {
            reply.writeNumberField("sleepForUs", in.toNanos() / 1000);
            reply.writeNumberField("ctx", 0);
        });
    }
}
