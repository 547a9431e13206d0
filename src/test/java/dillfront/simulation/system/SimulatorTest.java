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

    private final Simulator sim = new Simulator(1);
    private final Simulator.Machine a = sim.new Machine("a", "a", "10.0.0.1");
    private final Simulator.Machine b = sim.new Machine("b", "b", "10.0.0.2");
    private final List<String> heard = new ArrayList<>();
    private Environment.Connection link;
    private Environment.Connection far;

    private Environment.ConnectionListener ear(String who) {
        return new Environment.ConnectionListener() {
            @Override
            public void onOpen(Environment.Connection opened) {
                if (who.equals("a")) {
                    link = opened;
                } else {
                    far = opened;
                }
            }

            @Override
            public void onMessage(byte[] message) {
                heard.add(who + " " + Simulator.text(message));
            }

            @Override
            public void onClose(String why) {
                heard.add(who + " closed");
            }
        };
    }

    private void connect() {
        b.listen(1, h -> ear("b"));
        a.connect("10.0.0.2:1", Environment.Framing.FRAMES, 500, ear("a"));
        sim.runUntil(100);
    }

    @Test
    void whatACutHoldsUpArrivesAfterItInOrder() {
        connect();
        sim.cutOneWay(a, b, true);
        link.send(Simulator.bytes("one"));
        link.send(Simulator.bytes("two"));
        link.close();
        far.send(Simulator.bytes("back"));
        sim.runUntil(1_000);
        assertEquals(List.of(), heard);
        sim.cutOneWay(a, b, false);
        sim.runUntil(2_000);
        assertEquals(List.of("b one", "b two", "b closed"), heard);
    }

    @Test
    void oneWayIsCutAndTheOtherIsNot() {
        connect();
        sim.cutOneWay(a, b, true);
        far.send(Simulator.bytes("back"));
        sim.runUntil(200);
        assertEquals(List.of("a back"), heard);
        sim.cut(a, b, true);
        sim.cut(a, b, false);
        link.send(Simulator.bytes("one"));
        sim.runUntil(800);
        assertEquals(List.of("a back"), heard);
    }

    @Test
    void whatIsHeldUpIsLostWithThePowerOfItsSender() {
        connect();
        sim.cut(a, b, true);
        link.send(Simulator.bytes("one"));
        sim.runUntil(200);
        a.down(true);
        sim.cut(a, b, false);
        sim.runUntil(2_000);
        assertEquals(List.of(), heard);
    }

    @Test
    void aPausedProcessHearsAllOfItLaterAndItsClockHasGoneOn() {
        connect();
        long was = b.nowMillis();
        b.pause(1_000);
        link.send(Simulator.bytes("one"));
        b.schedule(1, () -> heard.add("timer"));
        sim.runUntil(1_050);
        assertEquals(List.of(), heard);
        sim.runUntil(1_200);
        assertEquals(List.of("timer", "b one"), heard);
        assertEquals(1_100, b.nowMillis() - was);
    }

    @Test
    void aDiskKeepsWhatItAnsweredAndOfTheRestAFirstPart() {
        int none = 0;
        int some = 0;
        for (int i = 0; i < 40; i++) {
            SimulatedDisk disk = new SimulatedDisk(sim, a);
            CompletableFuture<Void> one = disk.put(Map.of("one", "1", "gone", "1"));
            sim.runUntil(sim.millis() + 20);
            assertTrue(one.isDone());
            CompletableFuture<Void> two = disk.put(Map.of("two", "1", "gone", ""));
            CompletableFuture<Void> three = disk.put(Map.of("three", "1"));
            disk.interrupt();
            sim.runUntil(sim.millis() + 20);
            assertFalse(two.isDone() || three.isDone());
            Map<String, String> all = disk.initialState();
            assertTrue(all.containsKey("one"));
            assertTrue(all.containsKey("two") || !all.containsKey("three"));
            assertTrue(all.containsKey("two") != all.containsKey("gone"));
            none += all.containsKey("two") ? 0 : 1;
            some += all.containsKey("three") ? 1 : 0;
        }
        assertTrue(none > 0 && some > 0, none + " " + some);
    }

    @Test
    void aDiskInTroubleWaitsOrRefuses() {
        SimulatedDisk disk = new SimulatedDisk(sim, a);
        disk.stall(1_000);
        CompletableFuture<Void> waits = disk.put(Map.of("one", "1"));
        sim.runUntil(900);
        assertFalse(waits.isDone());
        sim.runUntil(1_100);
        assertTrue(waits.isDone() && disk.initialState().containsKey("one"));
        disk.setRejectsWrites(true);
        CompletableFuture<Void> refused = disk.put(Map.of("two", "1"));
        sim.runUntil(1_200);
        assertTrue(refused.isCompletedExceptionally() && !disk.initialState().containsKey("two"));
        disk.setRejectsWrites(false);
        CompletableFuture<Void> again = disk.put(Map.of("two", "1"));
        sim.runUntil(1_300);
        assertTrue(again.isDone() && !again.isCompletedExceptionally());
    }
}
