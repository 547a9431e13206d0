package dillfront.routing.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import dillfront.router.config.JsonObject;
import dillfront.router.config.RouterSettings;
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

    private final int id;
    private final JsonGenerator replyWriter;
    private final RoutingEngine engine;
    private final long originUs;
    private final RouterSettings setup;

    /** Node indices by id; grows with each node that appears in a member list. */
    private final Map<String, Integer> nodes = new HashMap<>();

    private final List<String> nodeIds = new ArrayList<>();

    /** Slots by transaction id, until the transaction is answered and no submission is pending. */
    private final Map<Long, Integer> slotsById = new HashMap<>();

    private final List<Transaction> slots = new ArrayList<>();
    private final List<Integer> freeSlots = new ArrayList<>();

    /** Adapter state of one transaction; its slot is reused after the transaction has finished. */
    private static final class Transaction {
        long corr;
        TransactionHandle handle;
        int pending;
        boolean answered;
    }

    SimulatedRouter(int id, long seed, JsonObject setup, JsonGenerator replyWriter) {
        this.id = id;
        this.replyWriter = replyWriter;
        this.setup = RouterSettings.read(setup);
        originUs = setup.getObject("familyInfo").getLong("originTimeUs");
        RandomGenerator random = new SplittableRandom(seed);
        engine = new RoutingEngine(this.setup.routing(), this, random);
    }

    void setTime(long timeUs) {
        engine.setTime(JsonObject.microsToDuration(timeUs - originUs));
    }

    void updateMembers(boolean complete, List<JsonObject> entries) {
        List<NodeRow> rows = new ArrayList<>();
        for (JsonObject entry : entries) {
            String id = entry.getString("node");
            Integer node = nodes.get(id);
            if (node == null) {
                node = nodeIds.size();
                nodes.put(id, node);
                nodeIds.add(id);
            }
            long startedUs = entry.getLong("lastStartUs");
            rows.add(
                    new NodeRow(
                            node,
                            (int) entry.getLong("db"),
                            setup.zoneIndex(entry.getString("locality")),
                            entry.getDouble("scale", 1),
                            entry.getDouble("primary", 0) == 1,
                            startedUs == 0
                                    ? null
                                    : JsonObject.microsToDuration(startedUs - originUs),
                            switch ((int) entry.getLong("availability")) {
                                case 1 -> MemberState.READY;
                                case 2 -> MemberState.DRAINING;
                                default -> MemberState.GONE;
                            }));
        }
        engine.updateMembers(complete, rows);
    }

    void memberListFailed() {
        engine.memberListFailed();
    }

    void requestArrived(SimulatorEvent event) throws InvalidInputException {
        Integer type = setup.typeIndices().get(event.qos);
        if (type == null) {
            throw event.invalid("unknown qos '" + event.qos + "'");
        }
        int slot = freeSlots.isEmpty() ? slots.size() : freeSlots.remove(freeSlots.size() - 1);
        if (slot == slots.size()) {
            slots.add(new Transaction());
        }
        Transaction transaction = slots.get(slot);
        transaction.corr = event.corr;
        transaction.pending = 0;
        transaction.answered = false;
        transaction.handle = null;
        slotsById.put(event.corr, slot);
        int session = event.hasUser ? RouterSettings.sessionSlot(event.user) : -1;
        Duration sinceLastWrite =
                !setup.hasSessionTokens() || Double.isNaN(event.lastWriteMs)
                        ? null
                        : Duration.ofNanos((long) Math.floor(event.lastWriteMs * 1e6));
        transaction.handle =
                engine.accept(
                        slot,
                        type,
                        setup.tenantIndices().getOrDefault(event.account, -1),
                        session,
                        (int) event.partitionNo,
                        JsonObject.microsToDuration(event.expiresInUs),
                        sinceLastWrite,
                        Duration.ZERO,
                        null);
        releaseIfFinished(slot);
    }

    void attemptEnded(SimulatorEvent event) throws InvalidInputException {
        SubmissionResult result = event.result();
        NodeReport current = nodeState(event.stand);
        Integer node = nodes.get(event.node);
        Integer slot = slotsById.get(event.corr);
        if (node == null) {
            return;
        }
        if (slot == null) {
            engine.nodeReported(node, current, event.report);
            return;
        }
        Transaction transaction = slots.get(slot);
        transaction.pending--;
        transaction.answered |= event.finished;
        transaction.handle.submissionEnded(
                node,
                result,
                JsonObject.microsToDuration(event.durationUs),
                event.finished,
                current,
                event.report);
        releaseIfFinished(slot);
    }

    private static NodeReport nodeState(long stand) {
        if (stand == 0) {
            return NodeReport.EMPTY;
        }
        long positionMillis = stand / 4;
        return new NodeReport(
                positionMillis == 0 ? null : Duration.ofMillis(positionMillis),
                SimulatorEvent.role(stand % 4));
    }

    void clientDisconnected(SimulatorEvent event) {
        Integer slot = slotsById.get(event.corr);
        if (slot != null) {
            Transaction transaction = slots.get(slot);
            transaction.answered = true;
            transaction.handle.clientDisconnected();
            releaseIfFinished(slot);
        }
    }

    void probeAnswered(SimulatorEvent event) throws InvalidInputException {
        Integer node = nodes.get(event.node);
        if (node != null) {
            engine.probeCompleted(node, event.result() == SubmissionResult.COMMITTED, event.report);
        }
    }

    void onWakeUp() {
        engine.onWakeUp();
    }

    private void releaseIfFinished(int slot) {
        Transaction transaction = slots.get(slot);
        if (transaction.handle != null && transaction.answered && transaction.pending <= 0) {
            slotsById.remove(transaction.corr, slot);
            transaction.handle = null;
            freeSlots.add(slot);
        }
    }

    private void write(String kind, FieldWriter fieldWriter) {
        try {
            replyWriter.writeStartObject();
            replyWriter.writeStringField("kind", kind);
            replyWriter.writeNumberField("who", id);
            fieldWriter.write();
            replyWriter.writeEndObject();
            replyWriter.writeRaw('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private interface FieldWriter {
        void write() throws IOException;
    }

    @Override
    public void submit(int slot, int node, Duration timeout) {
        slots.get(slot).pending++;
        write(
                "HandOff",
                () -> {
                    replyWriter.writeNumberField("corr", slots.get(slot).corr);
                    replyWriter.writeNumberField("limitUs", timeout.toNanos() / 1000);
                    replyWriter.writeStringField("node", nodeIds.get(node));
                });
    }

    @Override
    public void decline(int slot, Duration retryDelay) {
        slots.get(slot).answered = true;
        write(
                "Reject",
                () -> {
                    replyWriter.writeNumberField("corr", slots.get(slot).corr);
                    if (!retryDelay.isZero()) {
                        replyWriter.writeNumberField("pauseUs", retryDelay.toNanos() / 1000);
                    }
                });
    }

    @Override
    public void reportUnknownOutcome(int slot) {
        slots.get(slot).answered = true;
        write("EndFailed", () -> replyWriter.writeNumberField("corr", slots.get(slot).corr));
    }

    @Override
    public void closeIdleConnections(int node) {
        write("DropConns", () -> replyWriter.writeStringField("node", nodeIds.get(node)));
    }

    @Override
    public void probe(int node) {
        write("Touch", () -> replyWriter.writeStringField("node", nodeIds.get(node)));
    }

    @Override
    public void watchMemberList() {
        write("Tail", () -> replyWriter.writeBooleanField("on", true));
    }

    @Override
    public void scheduleWakeUp(Duration delay) {
        write(
                "WakeAt",
                () -> {
                    replyWriter.writeNumberField("sleepForUs", delay.toNanos() / 1000);
                    replyWriter.writeNumberField("ctx", 0);
                });
    }
}
