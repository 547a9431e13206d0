package dillfront.controlplane;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.environment.Environment;
import dillfront.common.environment.ManualEnvironment;
import dillfront.common.message.BinaryDelta;
import dillfront.common.message.Compression;
import dillfront.common.message.MessageCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * What a control process tells fronts: a configuration as what changed, and nothing at all where it
 * is out of contact.
 */
class DataPlaneSubscriptionsTest {

    private final ManualEnvironment host = new ManualEnvironment();
    private final List<MessageCodec.Fields> answers = new ArrayList<>();

    private Environment.ConnectionListener front(ControlNode core) {
        Environment.ConnectionListener ear = core.accept();
        ear.onOpen(
                new Environment.Connection() {
                    @Override
                    public void send(byte[] message) {
                        try {
                            answers.add(MessageCodec.decode(message));
                        } catch (MessageCodec.MalformedMessageException bad) {
                            throw new AssertionError(bad);
                        }
                    }

                    @Override
                    public void close() {
                        // It stays.
                    }

                    @Override
                    public long pendingBytes() {
                        return 0;
                    }
                });
        return ear;
    }

    private MessageCodec.Fields ask(
            Environment.ConnectionListener ear, long question, Object... fields) {
        Map<String, Object> out =
                new HashMap<>(Map.of("t", "news", "n", "front-1", "q", question, "b", "", "c", -1));
        for (int i = 0; i < fields.length; i += 2) {
            out.put((String) fields[i], fields[i + 1]);
        }
        answers.clear();
        ear.onMessage(MessageCodec.encode(out));
        host.advanceTo(host.nowMillis() + 700);
        assertEquals(1, answers.size());
        assertEquals(question, answers.get(0).number("q", -1));
        return answers.get(0);
    }

    private static byte[] configuration(long version) {
        StringBuilder text = new StringBuilder("{\"revision_number\":" + version + ",\"routes\":[");
        for (int i = 0; i < 40; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"r")
                    .append(i)
                    .append("\",\"host_name\":\"h")
                    .append(i)
                    .append("\",\"route_kind\":\"primary\",\"timeout_ms\":")
                    .append(i == version ? 900 : 800)
                    .append(",\"service\":\"s\"}");
        }
        return text.append("],\"services\":[{\"name\":\"s\"}]}")
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    private void configure(ControlNode core, long version) {
        CompletableFuture<Environment.HttpResponse> answer =
                core.handle("POST", "/Configuration.Replace", configuration(version));
        host.advanceTo(host.nowMillis() + 1_000);
        assertEquals(200, answer.join().status());
    }

    @Test
    void sendsDeltaToDataPlaneThatHasAnEarlierRevision() throws Exception {
        ControlNode core = SingleNode.start(host);
        Environment.ConnectionListener front = front(core);
        configure(core, 1);
        MessageCodec.Fields first = ask(front, 1);
        assertArrayEquals(
                configuration(1), Compression.decompress(first.bytes("cz"), BinaryDelta.MAX_BYTES));
        assertEquals(1, first.number("cv", -1));
        for (long v = 2; v <= 6; v++) {
            configure(core, v);
        }
        long digest = BinaryDelta.digest(configuration(2));
        MessageCodec.Fields second = ask(front, 2, "c", 2L, "cd", digest);
        assertArrayEquals(
                configuration(6), BinaryDelta.apply(configuration(2), second.bytes("cx")));
        assertNull(second.bytes("cz"));
        assertTrue(second.bytes("cx").length < 100, second.bytes("cx").length + " bytes");
        // The digest is said once; it holds until another is said.
        assertTrue(ask(front, 3, "c", 2L).has("cx"));
        assertTrue(ask(front, 4, "c", 2L, "cw", true).has("cz"), "asked for whole");
        assertTrue(
                ask(front, 5, "c", 2L, "cd", digest + 1).has("cz"),
                "another content under this number");
        assertTrue(ask(front, 6, "c", 1L, "cd", BinaryDelta.digest(configuration(1))).has("cx"));
        MessageCodec.Fields none =
                ask(front, 7, "c", 6L, "b", second.string("b"), "r", second.number("r", 0));
        assertEquals(
                Set.of("q", "f", "su"),
                subset(none, "q", "f", "su", "cv", "cx", "cz", "cp", "m"),
                none.all().toString());
    }

    private static Set<String> subset(MessageCodec.Fields of, String... names) {
        Set<String> there = new java.util.TreeSet<>(Set.of(names));
        there.retainAll(of.all().keySet());
        return there;
    }

    /**
     * It hears neither of the two others: whatever it has, it says that alone, and where others may
     * be found, at once.
     */
    @Test
    void sendsOnlyAddressesWhileIsolated() throws Exception {
        ControlNode core = SingleNode.start(host, "10.0.0.2", "10.0.0.3");
        Environment.ConnectionListener front = front(core);
        core.handle(
                "POST",
                "/Instances.Heartbeat/i-1",
                ("{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone_name\":\"a\",\"state\":\"ready\","
                                + "\"database_role\":\"primary\",\"call_sequence\":1}")
                        .getBytes(StandardCharsets.UTF_8));
        host.advanceTo(3_000);
        answers.clear();
        front.onMessage(
                MessageCodec.encode(Map.of("t", "news", "n", "front-1", "q", 5, "b", "", "c", -1)));
        assertEquals(1, answers.size(), "at once");
        assertEquals(
                Map.of(
                        "q",
                        5L,
                        "alone",
                        true,
                        "cp",
                        List.of(
                                Map.of("i", "10.0.0.1", "z", "a"),
                                Map.of("i", "10.0.0.2", "z", "", "s", true),
                                Map.of("i", "10.0.0.3", "z", "", "s", true))),
                answers.get(0).all());
        // One that knows nobody better waits for contact, and no longer than for news.
        answers.clear();
        front.onMessage(
                MessageCodec.encode(
                        Map.of("t", "news", "n", "front-1", "q", 6, "b", "", "c", -1, "hw", true)));
        host.advanceTo(3_500);
        assertEquals(0, answers.size());
        host.advanceTo(3_700);
        assertEquals(
                Set.of("q", "alone"),
                subset(answers.get(0), "q", "alone", "b", "r", "m", "cv", "cx", "cz", "p", "su"));
    }

    /**
     * Of a primary it says 'sure' for no longer than 600 ms past the end of its lease, which is
     * 2250 ms from its last question.
     */
    @Test
    void certaintyOfHolderEndsSoonAfterItsLease() throws Exception {
        ControlNode core = SingleNode.start(host);
        Environment.ConnectionListener front = front(core);
        configure(core, 1);
        assertEquals(2_850, ask(front, 1).number("su", 0));
    }

    /**
     * What is left of another's lease counts from this one's clock when it said what that one had
     * heard last.
     */
    @Test
    void passesOnCertaintyWithTheRemainingLease() throws Exception {
        ControlNode core = SingleNode.start(host, "10.0.0.2");
        Environment.ConnectionListener other = core.accept();
        host.advanceTo(5_000);
        long now = host.nowMillis();
        holderSays(core, other, 1, now - 300, 1_000);
        assertEquals(1_000 + 600 - 300, core.certainMillis());
        host.advanceTo(now + 200);
        assertEquals(1_000 + 600 - 500, core.certainMillis());
        // Over for more than that, or from one that says nothing of its lease: nothing is sure that
        // was not before.
        holderSays(core, other, 2, now, -700);
        assertEquals(1_000 + 600 - 500, core.certainMillis());
        holderSays(core, other, 3, now, 1 << 20);
        assertEquals(3_000 - 200, core.certainMillis());
    }

    private static void holderSays(
            ControlNode core,
            Environment.ConnectionListener ear,
            long clock,
            long echo,
            long left) {
        ear.onMessage(
                MessageCodec.encode(
                        Map.of(
                                "t",
                                "word",
                                "i",
                                "10.0.0.2",
                                "id",
                                "10.0.0.2/1",
                                "b",
                                "other",
                                "n",
                                clock,
                                "e",
                                echo,
                                "eb",
                                core.incarnation(),
                                "p",
                                (1L << 20) + 1,
                                "h",
                                true,
                                "hl",
                                left)));
    }
}
