package dillfront.simulation.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.environment.Environment;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** The simulated network, processes and disks do what the pages say of real ones. */
class SimulatorTest {

    private final Simulator simulator = new Simulator(1);
    private final Simulator.Machine machineA = simulator.new Machine("a", "a", "10.0.0.1");
    private final Simulator.Machine machineB = simulator.new Machine("b", "b", "10.0.0.2");
    private final List<String> received = new ArrayList<>();
    private Environment.Connection clientEnd;
    private Environment.Connection serverEnd;

    private Environment.ConnectionListener listener(String side) {
        return new Environment.ConnectionListener() {
            @Override
            public void onOpen(Environment.Connection opened) {
                if (side.equals("a")) {
                    clientEnd = opened;
                } else {
                    serverEnd = opened;
                }
            }

            @Override
            public void onMessage(byte[] message) {
                received.add(side + " " + Simulator.text(message));
            }

            @Override
            public void onClose(String reason) {
                received.add(side + " closed");
            }
        };
    }

    private void connect() {
        machineB.listen(1, environment -> listener("b"));
        machineA.connect("10.0.0.2:1", Environment.Framing.FRAMES, 500, listener("a"));
        simulator.runUntil(100);
    }

    @Test
    void deliversBlockedMessagesInOrderAfterCut() {
        connect();
        simulator.cutOneWay(machineA, machineB, true);
        clientEnd.send(Simulator.bytes("one"));
        clientEnd.send(Simulator.bytes("two"));
        clientEnd.close();
        serverEnd.send(Simulator.bytes("back"));
        simulator.runUntil(1_000);
        assertEquals(List.of(), received);
        simulator.cutOneWay(machineA, machineB, false);
        simulator.runUntil(2_000);
        assertEquals(List.of("b one", "b two", "b closed"), received);
    }

    @Test
    void cutsOneDirectionOnly() {
        connect();
        simulator.cutOneWay(machineA, machineB, true);
        serverEnd.send(Simulator.bytes("back"));
        simulator.runUntil(200);
        assertEquals(List.of("a back"), received);
        simulator.cut(machineA, machineB, true);
        simulator.cut(machineA, machineB, false);
        clientEnd.send(Simulator.bytes("one"));
        simulator.runUntil(800);
        assertEquals(List.of("a back"), received);
    }

    @Test
    void dropsBlockedMessagesWhenSenderLosesPower() {
        connect();
        simulator.cut(machineA, machineB, true);
        clientEnd.send(Simulator.bytes("one"));
        simulator.runUntil(200);
        machineA.down(true);
        simulator.cut(machineA, machineB, false);
        simulator.runUntil(2_000);
        assertEquals(List.of(), received);
    }

    @Test
    void defersEventsWhilePausedAndKeepsClockRunning() {
        connect();
        long clockBefore = machineB.nowMillis();
        machineB.pause(1_000);
        clientEnd.send(Simulator.bytes("one"));
        machineB.schedule(1, () -> received.add("timer"));
        simulator.runUntil(1_050);
        assertEquals(List.of(), received);
        simulator.runUntil(1_200);
        assertEquals(List.of("timer", "b one"), received);
        assertEquals(1_100, machineB.nowMillis() - clockBefore);
    }

    @Test
    void diskKeepsCompletedWritesAndPrefixOfPendingOnes() {
        int withoutSecond = 0;
        int withThird = 0;
        for (int i = 0; i < 40; i++) {
            SimulatedDisk disk = new SimulatedDisk(simulator, machineA);
            CompletableFuture<Void> first = disk.put(Map.of("one", "1", "gone", "1"));
            simulator.runUntil(simulator.millis() + 20);
            assertTrue(first.isDone());
            CompletableFuture<Void> second = disk.put(Map.of("two", "1", "gone", ""));
            CompletableFuture<Void> third = disk.put(Map.of("three", "1"));
            disk.interrupt();
            simulator.runUntil(simulator.millis() + 20);
            assertFalse(second.isDone() || third.isDone());
            Map<String, String> state = disk.initialState();
            assertTrue(state.containsKey("one"));
            assertTrue(state.containsKey("two") || !state.containsKey("three"));
            assertTrue(state.containsKey("two") != state.containsKey("gone"));
            withoutSecond += state.containsKey("two") ? 0 : 1;
            withThird += state.containsKey("three") ? 1 : 0;
        }
        assertTrue(withoutSecond > 0 && withThird > 0, withoutSecond + " " + withThird);
    }

    @Test
    void faultyDiskDelaysOrRejectsWrites() {
        SimulatedDisk disk = new SimulatedDisk(simulator, machineA);
        disk.stall(1_000);
        CompletableFuture<Void> stalled = disk.put(Map.of("one", "1"));
        simulator.runUntil(900);
        assertFalse(stalled.isDone());
        simulator.runUntil(1_100);
        assertTrue(stalled.isDone() && disk.initialState().containsKey("one"));
        disk.setRejectsWrites(true);
        CompletableFuture<Void> rejected = disk.put(Map.of("two", "1"));
        simulator.runUntil(1_200);
        assertTrue(rejected.isCompletedExceptionally() && !disk.initialState().containsKey("two"));
        disk.setRejectsWrites(false);
        CompletableFuture<Void> retried = disk.put(Map.of("two", "1"));
        simulator.runUntil(1_300);
        assertTrue(retried.isDone() && !retried.isCompletedExceptionally());
    }
}
