package dillfront.routing.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import dillfront.router.config.Setup;
import dillfront.router.config.Tree;
import dillfront.routing.RoutingEngine;
import dillfront.routing.api.MemberState;
import dillfront.routing.api.NodeReport;
import dillfront.routing.api.NodeRow;
import dillfront.routing.api.RoutingActions;
import dillfront.routing.api.SubmissionResult;
import dillfront.routing.api.TransactionHandle;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** One simulated router: its routing engine, and the indices assigned to the protocol's ids. */
final class SimulatedRouter implements RoutingActions {

    private final int who;
    private final JsonGenerator reply;
    private final RoutingEngine decide;
    private final long zeroUs;
    private final Setup setup;

    /** Node indices by id; grows with each node that appears in a member list. */
    private final Map<String, Integer> nodes = new HashMap<>();

    private final List<String> nodeIds = new ArrayList<>();

    /** Slots by transaction id, until the transaction is answered and no submission is pending. */
    private final Map<Long, Integer> txns = new HashMap<>();

    private final List<Txn> slots = new ArrayList<>();
    private final List<Integer> free = new ArrayList<>();

    /** Adapter state of one transaction; its slot is reused after the transaction has finished. */
    private static final class Txn {
        long corr;
        TransactionHandle handle;
        int out;
        boolean answered;
    }

    SimulatedRouter(int who, long seed, Tree setup, JsonGenerator reply) {
        this.who = who;
        this.reply = reply;
        this.setup = Setup.read(setup);
        zeroUs = setup.tree("familyInfo").whole("originTimeUs");
        RandomGenerator chance = new SplittableRandom(seed);
        decide = new RoutingEngine(this.setup.settings(), this, chance);
    }

    void at(long clockUs) {
        decide.setTime(Tree.micros(clockUs - zeroUs));
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
            rows.add(
                    new NodeRow(
                            node,
                            (int) entry.whole("db"),
                            setup.zone(entry.text("locality")),
                            entry.number("scale", 1),
                            entry.number("primary", 0) == 1,
                            started == 0 ? null : Tree.micros(started - zeroUs),
                            switch ((int) entry.whole("availability")) {
                                case 1 -> MemberState.READY;
                                case 2 -> MemberState.DRAINING;
                                default -> MemberState.GONE;
                            }));
        }
        decide.updateMembers(whole, rows);
    }

    void listFailed() {
        decide.listFailed();
    }

    void arrived(SimulatorEvent e) throws InvalidInputException {
        Integer type = setup.types().get(e.qos);
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
        int session = e.hasUser ? Setup.session(e.user) : -1;
        Duration token =
                !setup.tokensCarried() || Double.isNaN(e.lastWriteMs)
                        ? null
                        : Duration.ofNanos((long) Math.floor(e.lastWriteMs * 1e6));
        txn.handle =
                decide.accept(
                        slot,
                        type,
                        setup.tenants().getOrDefault(e.account, -1),
                        session,
                        (int) e.partitionNo,
                        Tree.micros(e.expiresInUs),
                        token,
                        Duration.ZERO,
                        null);
        releaseIfOver(slot);
    }

    void ended(SimulatorEvent e) throws InvalidInputException {
        SubmissionResult result = e.result();
        NodeReport note = note(e.stand);
        Integer node = nodes.get(e.node);
        Integer slot = txns.get(e.corr);
        if (node == null) {
            return;
        }
        if (slot == null) {
            decide.nodeReported(node, note, e.report);
            return;
        }
        Txn txn = slots.get(slot);
        txn.out--;
        txn.answered |= e.finished;
        txn.handle.submissionEnded(
                node, result, Tree.micros(e.durationUs), e.finished, note, e.report);
        releaseIfOver(slot);
    }

    private static NodeReport note(long note) {
        if (note == 0) {
            return NodeReport.EMPTY;
        }
        long ms = note / 4;
        return new NodeReport(
                ms == 0 ? null : Duration.ofMillis(ms), SimulatorEvent.role(note % 4));
    }

    void left(SimulatorEvent e) {
        Integer slot = txns.get(e.corr);
        if (slot != null) {
            Txn txn = slots.get(slot);
            txn.answered = true;
            txn.handle.left();
            releaseIfOver(slot);
        }
    }

    void probed(SimulatorEvent e) throws InvalidInputException {
        Integer node = nodes.get(e.node);
        if (node != null) {
            decide.probed(node, e.result() == SubmissionResult.COMMITTED, e.report);
        }
    }

    void woken() {
        decide.onWakeUp();
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
        write(
                "HandOff",
                () -> {
                    reply.writeNumberField("corr", slots.get(txn).corr);
                    reply.writeNumberField("limitUs", limit.toNanos() / 1000);
                    reply.writeStringField("node", nodeIds.get(node));
                });
    }

    @Override
    public void decline(int txn, Duration pause) {
        slots.get(txn).answered = true;
        write(
                "Reject",
                () -> {
                    reply.writeNumberField("corr", slots.get(txn).corr);
                    if (!pause.isZero()) {
                        reply.writeNumberField("pauseUs", pause.toNanos() / 1000);
                    }
                });
    }

    @Override
    public void reportUnknownOutcome(int txn) {
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
    public void watchMemberList() {
        write("Tail", () -> reply.writeBooleanField("on", true));
    }

    @Override
    public void scheduleWakeUp(Duration in) {
        write(
                "WakeAt",
                () -> {
                    reply.writeNumberField("sleepForUs", in.toNanos() / 1000);
                    reply.writeNumberField("ctx", 0);
                });
    }
}
