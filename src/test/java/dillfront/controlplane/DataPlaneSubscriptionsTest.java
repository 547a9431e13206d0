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
 * Tests the messages of a control process to data planes: configurations are sent as deltas, and an
 * isolated process sends only addresses.
 */
class DataPlaneSubscriptionsTest {

    private final ManualEnvironment environment = new ManualEnvironment();
    private final List<MessageCodec.Fields> answers = new ArrayList<>();
    private Runnable onAnswer = () -> {};

    private Environment.ConnectionListener connectDataPlane(ControlNode node) {
        Environment.ConnectionListener listener = node.accept();
        listener.onOpen(
                new Environment.Connection() {
                    @Override
                    public void send(byte[] message) {
                        try {
                            answers.add(MessageCodec.decode(message));
                            onAnswer.run();
                        } catch (MessageCodec.MalformedMessageException exception) {
                            throw new AssertionError(exception);
                        }
                    }

                    @Override
                    public void close() {
                        // The test keeps the connection.
                    }

                    @Override
                    public long pendingBytes() {
                        return 0;
                    }
                });
        return listener;
    }

    private MessageCodec.Fields poll(
            Environment.ConnectionListener listener, long requestNumber, Object... fields) {
        Map<String, Object> request =
                new HashMap<>(
                        Map.of("t", "news", "n", "front-1", "q", requestNumber, "b", "", "c", -1));
        for (int i = 0; i < fields.length; i += 2) {
            request.put((String) fields[i], fields[i + 1]);
        }
        answers.clear();
        listener.onMessage(MessageCodec.encode(request));
        environment.advanceTo(environment.nowMillis() + 700);
        assertEquals(1, answers.size());
        assertEquals(requestNumber, answers.get(0).number("q", -1));
        return answers.get(0);
    }

    private static byte[] configuration(long revision) {
        StringBuilder text =
                new StringBuilder("{\"revision_number\":" + revision + ",\"routes\":[");
        for (int i = 0; i < 40; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"r")
                    .append(i)
                    .append("\",\"host_name\":\"h")
                    .append(i)
                    .append("\",\"route_kind\":\"primary\",\"timeout_ms\":")
                    .append(i == revision ? 900 : 800)
                    .append(",\"service\":\"s\"}");
        }
        return text.append("],\"services\":[{\"name\":\"s\"}]}")
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    private void configure(ControlNode node, long revision) {
        CompletableFuture<Environment.HttpResponse> answer =
                node.handle("POST", "/Configuration.Replace", configuration(revision));
        environment.advanceTo(environment.nowMillis() + 1_000);
        assertEquals(200, answer.join().status());
    }

    @Test
    void sendsDeltaToDataPlaneThatHasAnEarlierRevision() throws Exception {
        ControlNode node = SingleNode.start(environment);
        Environment.ConnectionListener dataPlane = connectDataPlane(node);
        configure(node, 1);
        MessageCodec.Fields first = poll(dataPlane, 1);
        assertArrayEquals(
                configuration(1), Compression.decompress(first.bytes("cz"), BinaryDelta.MAX_BYTES));
        assertEquals(1, first.number("cv", -1));
        for (long revision = 2; revision <= 6; revision++) {
            configure(node, revision);
        }
        long digest = BinaryDelta.digest(configuration(2));
        MessageCodec.Fields second = poll(dataPlane, 2, "c", 2L, "cd", digest);
        assertArrayEquals(
                configuration(6), BinaryDelta.apply(configuration(2), second.bytes("cx")));
        assertNull(second.bytes("cz"));
        assertTrue(second.bytes("cx").length < 100, second.bytes("cx").length + " bytes");
        // The data plane sends the digest once; it holds until the data plane sends another.
        assertTrue(poll(dataPlane, 3, "c", 2L).has("cx"));
        assertTrue(
                poll(dataPlane, 4, "c", 2L, "cw", true).has("cz"),
                "a complete configuration was requested");
        assertTrue(
                poll(dataPlane, 5, "c", 2L, "cd", digest + 1).has("cz"),
                "the revision has another content");
        assertTrue(
                poll(dataPlane, 6, "c", 1L, "cd", BinaryDelta.digest(configuration(1))).has("cx"));
        MessageCodec.Fields upToDate =
                poll(dataPlane, 7, "c", 6L, "b", second.string("b"), "r", second.number("r", 0));
        assertEquals(
                Set.of("q", "f", "su"),
                presentFields(upToDate, "q", "f", "su", "cv", "cx", "cz", "cp", "m"),
                upToDate.values().toString());
    }

    private static Set<String> presentFields(MessageCodec.Fields fields, String... names) {
        Set<String> present = new java.util.TreeSet<>(Set.of(names));
        present.retainAll(fields.values().keySet());
        return present;
    }

    /**
     * An isolated process immediately sends only its isolation and the addresses of other
     * processes, and nothing of its own state.
     */
    @Test
    void sendsOnlyAddressesWhileIsolated() throws Exception {
        ControlNode node = SingleNode.start(environment, "10.0.0.2", "10.0.0.3");
        Environment.ConnectionListener dataPlane = connectDataPlane(node);
        node.handle(
                "POST",
                "/Instances.Heartbeat/i-1",
                ("{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone_name\":\"a\",\"state\":\"ready\","
                                + "\"database_role\":\"primary\",\"call_sequence\":1}")
                        .getBytes(StandardCharsets.UTF_8));
        environment.advanceTo(3_000);
        answers.clear();
        dataPlane.onMessage(
                MessageCodec.encode(Map.of("t", "news", "n", "front-1", "q", 5, "b", "", "c", -1)));
        assertEquals(1, answers.size(), "isolation is reported immediately");
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
                answers.get(0).values());
        // A data plane without a better process waits for the process to regain contact, but no
        // longer than for an update.
        answers.clear();
        dataPlane.onMessage(
                MessageCodec.encode(
                        Map.of("t", "news", "n", "front-1", "q", 6, "b", "", "c", -1, "hw", true)));
        environment.advanceTo(3_500);
        assertEquals(0, answers.size());
        environment.advanceTo(3_700);
        assertEquals(
                Set.of("q", "alone"),
                presentFields(
                        answers.get(0), "q", "alone", "b", "r", "m", "cv", "cx", "cz", "p", "su"));
    }

    /**
     * The trust period of a primary record ends 600 ms after the lease, which ends 2250 ms after
     * the holder's last request.
     */
    @Test
    void boundsCertaintyByLeaseOfHolder() throws Exception {
        ControlNode node = SingleNode.start(environment);
        Environment.ConnectionListener dataPlane = connectDataPlane(node);
        configure(node, 1);
        assertEquals(2_850, poll(dataPlane, 1).number("su", 0));
    }

    /**
     * A data plane counts the certainty from when it sent the request. Guards against a certainty
     * that ends earlier by the whole time for which the request was held.
     */
    @Test
    void addsMostOfTheHeldTimeToCertainty() throws Exception {
        ControlNode node = SingleNode.start(environment);
        Environment.ConnectionListener dataPlane = connectDataPlane(node);
        configure(node, 1);
        MessageCodec.Fields first = poll(dataPlane, 1);
        long requestedMillis = environment.nowMillis();
        long[] answeredMillis = new long[1];
        long[] remainingMillis = new long[1];
        onAnswer =
                () -> {
                    answeredMillis[0] = environment.nowMillis();
                    remainingMillis[0] = node.primaryCertaintyMillis();
                };
        MessageCodec.Fields held =
                poll(dataPlane, 2, "c", 1L, "b", first.string("b"), "r", first.number("r", 0));
        long heldMillis = answeredMillis[0] - requestedMillis;
        assertTrue(heldMillis >= 600, "held for " + heldMillis);
        assertEquals(remainingMillis[0] + heldMillis * 4 / 5, held.number("su", 0));
    }

    /**
     * The remaining lease of another holder is measured from when this process sent the message
     * that the holder answered.
     */
    @Test
    void derivesCertaintyFromRemainingLeaseOfPeer() throws Exception {
        ControlNode node = SingleNode.start(environment, "10.0.0.2");
        Environment.ConnectionListener peer = node.accept();
        environment.advanceTo(5_000);
        long now = environment.nowMillis();
        sendHolderMessage(node, peer, 1, now - 300, 1_000);
        assertEquals(1_000 + 600 - 300, node.primaryCertaintyMillis());
        environment.advanceTo(now + 200);
        assertEquals(1_000 + 600 - 500, node.primaryCertaintyMillis());
        // An expired lease, or a holder without a lease time, does not extend the trust period.
        sendHolderMessage(node, peer, 2, now, -700);
        assertEquals(1_000 + 600 - 500, node.primaryCertaintyMillis());
        sendHolderMessage(node, peer, 3, now, 1 << 20);
        assertEquals(3_000 - 200, node.primaryCertaintyMillis());
    }

    private static void sendHolderMessage(
            ControlNode node,
            Environment.ConnectionListener listener,
            long sentAtMillis,
            long answeredSendMillis,
            long leaseRemainingMillis) {
        listener.onMessage(
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
                                sentAtMillis,
                                "e",
                                answeredSendMillis,
                                "eb",
                                node.incarnation(),
                                "p",
                                (1L << 20) + 1,
                                "h",
                                true,
                                "hl",
                                leaseRemainingMillis)));
    }
}
