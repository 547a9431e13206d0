package dillfront.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.host.Host;
import dillfront.host.Pack;
import dillfront.host.ScriptedHost;
import dillfront.host.Settings;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Servers that say that they leave, with or without a word of draining before, and what of them
 * comes late.
 */
class LeavesTest {

    private final ScriptedHost host = new ScriptedHost();
    private final Map<String, String> disk = new TreeMap<>();
    private Core core;

    /** Writes that were made while the disk stood still. */
    private boolean stands;

    private CompletableFuture<Void> writes = CompletableFuture.completedFuture(null);

    @BeforeEach
    void start() throws Exception {
        Settings settings =
                new Settings(
                        "c",
                        "z",
                        "r",
                        Map.of("z", "r"),
                        "10.0.0.1",
                        null,
                        null,
                        "10.0.0.1:80",
                        7_440,
                        List.of("10.0.0.1:80"),
                        true,
                        "unused",
                        0,
                        1_200,
                        7_000,
                        6_000,
                        null);
        core =
                new Core(
                        host,
                        settings,
                        new Store() {
                            @Override
                            public Map<String, String> all() {
                                return disk;
                            }

                            @Override
                            public CompletableFuture<Void> put(Map<String, String> texts) {
                                CompletableFuture<Void> done =
                                        stands ? writes : CompletableFuture.completedFuture(null);
                                return done.thenRun(() -> disk.putAll(texts));
                            }
                        });
        core.start();
        host.pass(6_000);
    }

    private CompletableFuture<Host.Answer> call(String path, String body) {
        return core.call("POST", path, body.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    private void beat(String id, String state, String role, long sequence) {
        assertEquals(
                200,
                answered(
                        call(
                                "/Instances.Heartbeat/" + id,
                                "{'service':'s','address':'10.0.0.9:80','zone_name':'z','state':'"
                                        + state
                                        + "','database_role':'"
                                        + role
                                        + "','call_sequence':"
                                        + sequence
                                        + "}")));
    }

    private int leave(String id) {
        return answered(call("/Instances.Leave/" + id, "{}"));
    }

    private int answered(CompletableFuture<Host.Answer> call) {
        host.pass(500);
        assertTrue(call.isDone(), "an answer within half a second");
        return call.join().status();
    }

    private static Pack.Fields row(String id, String service, String state, long sequence) {
        return new Pack.Fields(
                new HashMap<>(
                        Map.of(
                                "i",
                                id,
                                "v",
                                service,
                                "a",
                                "10.0.0.9:80",
                                "z",
                                "z",
                                "st",
                                state,
                                "ro",
                                "replica",
                                "q",
                                sequence)));
    }

    @Test
    void oneThatNeverDrainedServesOnAndCounts() {
        beat("i-1", "ready", "primary", 4);
        assertEquals(200, leave("i-1"));
        Member m = core.members.get("i-1");
        assertTrue(m.draining() && !m.left(), m.state);
        assertEquals(List.of(m), core.members.of("s"));
        assertEquals(200, leave("i-1"));
        assertFalse(m.left(), "its leave may come twice, as its answer may be lost");
    }

    @Test
    void oneThatDrainedIsGone() {
        beat("i-1", "ready", "replica", 4);
        beat("i-1", "draining", "replica", 5);
        assertEquals(200, leave("i-1"));
        assertTrue(core.members.get("i-1").left());
        assertEquals(List.of(), core.members.of("s"));
    }

    @Test
    void noBeatBringsItBack() {
        beat("i-1", "ready", "replica", 4);
        leave("i-1");
        beat("i-1", "ready", "replica", 3);
        beat("i-1", "ready", "replica", 9);
        beat("i-1", "draining", "replica", 10);
        assertEquals("leaving", core.members.get("i-1").state);
        core.members.merge(row("i-1", "s", "ready", 12), 0);
        assertEquals("leaving", core.members.get("i-1").state);
    }

    @Test
    void theLeaveOfOneThatIsNotKnownStands() {
        assertEquals(200, leave("i-7"));
        beat("i-7", "ready", "primary", 4);
        Member m = core.members.get("i-7");
        assertEquals("s", m.service);
        assertEquals("10.0.0.9:80", m.address);
        assertTrue(m.draining(), "a beat that was on its way does not undo it");
    }

    @Test
    void itIsToldToThoseThatKnowIt() throws Exception {
        leave("i-7");
        Members other = new Members();
        other.merge(row("i-7", "s", "ready", 4), 0);
        for (Object told : core.members.since(0)) {
            @SuppressWarnings("unchecked")
            Map<String, Object> fields = (Map<String, Object>) told;
            assertTrue(other.merge(Pack.read(Pack.write(fields)), 0));
        }
        assertTrue(other.get("i-7").draining());
        assertEquals("s", other.get("i-7").service);
        assertEquals("10.0.0.9:80", other.get("i-7").address);
    }

    @Test
    void itIsAcknowledgedOnceTheDiskHasIt() {
        stands = true;
        writes = new CompletableFuture<>();
        CompletableFuture<Host.Answer> call = call("/Instances.Leave/i-7", "{}");
        host.pass(500);
        assertFalse(call.isDone(), "not on a disk yet");
        writes.complete(null);
        host.pass(200);
        assertEquals(200, call.join().status());
        Members again = new Members();
        again.load(disk, 0);
        again.merge(row("i-7", "s", "ready", 4), 0);
        assertTrue(again.get("i-7").draining(), "the next life knows it too");
    }

    @Test
    void aBeatThatComesLateSaysNothingOfNow() {
        beat("i-1", "ready", "replica", 4);
        long heard = core.members.get("i-1").heard;
        host.pass(3_000);
        beat("i-1", "ready", "primary", 3);
        Member m = core.members.get("i-1");
        assertEquals(heard, m.heard);
        assertEquals("replica", m.role);
        beat("i-1", "ready", "replica", 5);
        assertTrue(m.heard > heard);
    }

    @Test
    void oneThatServesOnForVeryLongIsGoneInTheEnd() {
        beat("i-1", "ready", "replica", 4);
        leave("i-1");
        host.pass(25_000);
        assertFalse(core.members.get("i-1").left(), "it may serve on for many seconds");
        host.pass(10_000);
        assertTrue(core.members.get("i-1").left());
    }

    @Test
    void withoutAnIdNothingLeaves() {
        assertEquals(400, leave(""));
    }
}
