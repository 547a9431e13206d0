package dillfront.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.environment.Environment;
import dillfront.common.environment.ScriptedEnvironment;
import dillfront.common.message.MessageCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests malformed and corrupted calls and messages: each is rejected or ignored, none causes
 * damage, and later valid ones are served.
 */
class ControlHttpApiTest {

    private static final int ITERATIONS = 4_000;
    private static final String VALID_CONFIGURATION =
            "{'revision_number':7,'routes':[{'name':'r','host_name':'h','path_prefix':'/','route_kind':'primary',"
                    + "'timeout_ms':800,'service':'s'}],'services':[{'name':'s','connection_limit':68}]}";
    private static final String VALID_HEARTBEAT =
            "{'service':'s','address':'10.0.0.9:80','zone_name':'z','state':'ready','database_role':'replica',"
                    + "'call_sequence':4}";
    private static final String VALID_DATA_LOSS =
            "{'service':'s','move':'7','log_position':'1.5','least_acknowledged':'1.7','most_acknowledged':'1.8'}";
    private static final Object[] UNEXPECTED_VALUES = {
        null,
        "",
        "x",
        -1L,
        Long.MAX_VALUE,
        Long.MIN_VALUE,
        true,
        new byte[] {1},
        List.of(),
        List.of(1L, "x"),
        Map.of(),
        Map.of("i", 5L),
        List.of(Map.of("i", "q"))
    };

    private final ScriptedEnvironment environment = new ScriptedEnvironment();
    private final SplittableRandom random = new SplittableRandom(8_241);
    private static final String ACCEPT_DATA_LOSS_PATH = "/Services.AcceptDataLoss";
    private ControlNode node;

    @BeforeEach
    void start() throws Exception {
        node = SingleNode.start(environment);
        environment.advance(SingleNode.LEASE_ACQUIRED_MS);
        assertEquals(200, call("POST", "/Configuration.Replace", bytes(VALID_CONFIGURATION)));
    }

    private static byte[] bytes(String text) {
        return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }

    private int call(String method, String path, byte[] body) {
        CompletableFuture<Environment.HttpResponse> result = node.handle(method, path, body);
        for (int i = 0; i < 50 && !result.isDone(); i++) {
            environment.advance(100);
        }
        assertTrue(result.isDone(), method + " " + path + " has no answer within 5 s");
        return result.join().status();
    }

    /**
     * Returns a copy with one to four corruptions: a changed byte, a truncation or a repetition.
     */
    private byte[] corrupted(byte[] original) {
        byte[] result = original.clone();
        for (int i = random.nextInt(1, 5); i > 0; i--) {
            int position = random.nextInt(result.length);
            switch (random.nextInt(4)) {
                case 0 -> result[position] = (byte) random.nextInt(256);
                case 1 -> result[position] = (byte) "{}[]\":,0-.eE\\u".charAt(random.nextInt(14));
                case 2 -> result = java.util.Arrays.copyOf(result, Math.max(1, position));
                default -> {
                    byte[] longer = new byte[result.length + position];
                    System.arraycopy(result, 0, longer, 0, result.length);
                    System.arraycopy(result, 0, longer, result.length, position);
                    result = longer;
                }
            }
        }
        return result;
    }

    /**
     * Guards against a malformed body that changes state or leaves the caller without an answer.
     */
    @Test
    void answersMalformedBodies() {
        Set<Integer> allowedStatuses = Set.of(200, 400, 404, 405, 409, 503);
        String[] paths = {
            "/Configuration.Replace",
            "/Instances.Heartbeat/i-1",
            "/Instances.Heartbeat/",
            "/Instances.Leave/i-9",
            "/",
            "/Configuration.Read",
            ACCEPT_DATA_LOSS_PATH,
            "/Instances.Heartbeat/" + "x".repeat(5_000),
            "/Instances.Heartbeat/i\n1"
        };
        String[] methods = {"POST", "POST", "POST", "GET", "PUT", "HEAD"};
        for (int i = 0; i < ITERATIONS; i++) {
            String path = paths[random.nextInt(paths.length)];
            byte[] body =
                    random.nextInt(20) == 0
                            ? "[".repeat(20_000).getBytes(StandardCharsets.US_ASCII)
                            : corrupted(
                                    bytes(
                                            path.contains("Beat") || path.contains("Instances")
                                                    ? VALID_HEARTBEAT
                                                    : path.equals(ACCEPT_DATA_LOSS_PATH)
                                                            ? VALID_DATA_LOSS
                                                            : VALID_CONFIGURATION));
            String method = methods[random.nextInt(methods.length)];
            int status = call(method, path, body);
            assertTrue(
                    allowedStatuses.contains(status),
                    () ->
                            status
                                    + " for "
                                    + method
                                    + " "
                                    + path
                                    + " "
                                    + new String(body, StandardCharsets.ISO_8859_1));
        }
        assertEquals(
                200,
                call(
                        "POST",
                        "/Configuration.Replace",
                        bytes(VALID_CONFIGURATION.replace(":7,", ":9000000000000000000,"))));
        assertEquals(200, call("POST", "/Instances.Heartbeat/i-2", bytes(VALID_HEARTBEAT)));
        assertEquals(200, call("GET", "/Configuration.Read", new byte[0]));
    }

    private static Map<String, Object> peerMessage() {
        Map<String, Object> fields =
                new HashMap<>(
                        Map.of(
                                "t",
                                "word",
                                "i",
                                "10.0.0.2",
                                "id",
                                "10.0.0.2/1",
                                "z",
                                "z",
                                "b",
                                "b1",
                                "n",
                                5L,
                                "e",
                                3L,
                                "eb",
                                "x",
                                "r",
                                2L));
        fields.put("a", 0L);
        fields.put("ak", 0L);
        fields.put(
                "m",
                List.of(
                        Map.of(
                                "i",
                                "i-7",
                                "v",
                                "s",
                                "a",
                                "10.0.0.7:1",
                                "z",
                                "z",
                                "st",
                                "ready",
                                "ro",
                                "replica",
                                "q",
                                3L)));
        fields.put("al", List.of("i-7", 5L, 6L));
        fields.put("ep", 1L);
        fields.put("pl", List.of("10.0.0.2"));
        fields.put("p", 1L);
        fields.put("pt", "10.0.0.2/1");
        fields.put("w", 0L);
        fields.put("k", -1L);
        fields.put(
                "l",
                List.of(
                        Map.of(
                                "s",
                                "s",
                                "k",
                                1L,
                                "p",
                                "i-7",
                                "m",
                                false,
                                "dl",
                                "1 1.5 1.7 1.8 1.5 1.8")));
        fields.put("cl", List.of("s", 1L));
        fields.put("s", List.of(List.of("s", "i-7", 1L, 0L, 0L, "-")));
        fields.put("f", 1L);
        fields.put("h", true);
        fields.put("sq", List.of("s"));
        fields.put("rg", Map.of("v", 1L));
        fields.put(
                "dl",
                List.of(
                        Map.of(
                                "s", "s", "mv", 1L, "l", "1.5", "a", "1.7 1.8", "p", "i-7", "t",
                                5L)));
        fields.put("du", fields.get("dl"));
        return fields;
    }

    private void receivePeerMessage(ControlNode receiver, String ip, boolean leaving) {
        Map<String, Object> message = peerMessage();
        message.putAll(Map.of("i", ip, "id", ip + "/1", "lv", leaving, "pl", List.of()));
        ScriptedEnvironment.ScriptedConnection connection =
                new ScriptedEnvironment.ScriptedConnection(
                        "peer", Environment.Framing.FRAMES, receiver.accept());
        connection.open();
        connection.receive(new String(MessageCodec.encode(message), StandardCharsets.ISO_8859_1));
    }

    private static Environment.HttpResponse answer(
            ControlNode receiver, String method, String path, String body) {
        return receiver.handle(method, path, bytes(body)).join();
    }

    /**
     * Guards against three faults of an isolated process: a configuration request that waits there
     * until the partition ends, a redirect to a process that is known to have left, and an invalid
     * request that is redirected instead of rejected.
     */
    @Test
    void redirectsToLastContactedPeerWhileIsolated() throws Exception {
        ControlNode isolated = SingleNode.start(environment, "10.0.0.2", "10.0.0.3");
        assertEquals(
                503,
                answer(isolated, "POST", "/Configuration.Replace", VALID_CONFIGURATION).status(),
                "no peer was in contact yet, and others may be starting");
        environment.advance(2_000);
        Set<String> redirects = new TreeSet<>();
        for (int i = 0; i < 40; i++) {
            Environment.HttpResponse response =
                    answer(isolated, "POST", "/Configuration.Replace", VALID_CONFIGURATION);
            redirects.add(response.status() + " " + response.location());
        }
        assertEquals(
                "[307 http://10.0.0.2:8002/Configuration.Replace, 307 http://10.0.0.3:8002/Configuration.Replace]",
                redirects.toString());
        receivePeerMessage(isolated, "10.0.0.2", false);
        environment.advance(2_000);
        receivePeerMessage(isolated, "10.0.0.3", false);
        environment.advance(20_000);
        for (int i = 0; i < 20; i++) {
            Environment.HttpResponse response =
                    answer(isolated, "POST", "/Configuration.Replace", VALID_CONFIGURATION);
            assertEquals(
                    "307 http://10.0.0.3:8002/Configuration.Replace",
                    response.status() + " " + response.location());
        }
        Environment.HttpResponse read = answer(isolated, "GET", "/Configuration.Read", "");
        assertEquals(
                "307 http://10.0.0.3:8002/Configuration.Read",
                read.status() + " " + read.location());
        assertEquals(400, answer(isolated, "POST", "/Configuration.Replace", "{}").status());
        assertEquals(
                503,
                answer(isolated, "POST", "/Instances.Heartbeat/i-1", VALID_HEARTBEAT).status());
        assertEquals(
                503, answer(isolated, "POST", "/Instances.Leave/i-1", VALID_HEARTBEAT).status());
        receivePeerMessage(isolated, "10.0.0.2", false);
        receivePeerMessage(isolated, "10.0.0.3", true);
        environment.advance(20_000);
        Environment.HttpResponse afterLeave =
                answer(isolated, "POST", "/Configuration.Replace", VALID_CONFIGURATION);
        assertEquals(
                "307 http://10.0.0.2:8002/Configuration.Replace",
                afterLeave.status() + " " + afterLeave.location());
    }

    private static Map<String, Object> pollMessage() {
        Map<String, Object> fields =
                new HashMap<>(
                        Map.of(
                                "t", "news", "n", "f1", "z", "z", "q", 1L, "b", "", "r", 0L, "c",
                                6L, "k", -1L));
        fields.put("sn", -1L);
        fields.put("s", List.of(Map.of("s", "s", "o", 1L, "p", "i-7", "h", 1L, "a", "-")));
        return fields;
    }

    /** Returns a copy of the message with one value replaced or removed, at any depth. */
    private Map<String, Object> mutated(Map<String, Object> fields) {
        Map<String, Object> result = new java.util.TreeMap<>(fields);
        List<String> names = new ArrayList<>(result.keySet());
        if (names.isEmpty()) {
            return result;
        }
        String name = names.get(random.nextInt(names.size()));
        result.put(name, mutatedValue(result.get(name)));
        return result;
    }

    @SuppressWarnings("unchecked")
    private Object mutatedValue(Object original) {
        if (original instanceof Map<?, ?> map && random.nextInt(3) > 0) {
            return mutated((Map<String, Object>) map);
        }
        if (original instanceof List<?> list && !list.isEmpty() && random.nextInt(3) > 0) {
            List<Object> result = new ArrayList<>(list);
            int index = random.nextInt(result.size());
            if (random.nextInt(4) == 0) {
                result.remove(index);
            } else {
                result.set(index, mutatedValue(result.get(index)));
            }
            return result;
        }
        return UNEXPECTED_VALUES[random.nextInt(UNEXPECTED_VALUES.length)];
    }

    /**
     * Guards against a message that terminates the process or prevents it from handling later
     * messages.
     */
    @Test
    void survivesMalformedMessages() {
        for (int i = 0; i < ITERATIONS; i++) {
            Map<String, Object> message = random.nextBoolean() ? peerMessage() : pollMessage();
            Object type = message.get("t");
            for (int n = random.nextInt(3); n > 0; n--) {
                message = new HashMap<>(mutated(message));
                message.put("t", type);
            }
            Map<String, Object> fields = message;
            byte[] bytes = MessageCodec.encode(fields);
            byte[] sent = random.nextInt(4) == 0 ? corrupted(bytes) : bytes;
            ScriptedEnvironment.ScriptedConnection connection =
                    new ScriptedEnvironment.ScriptedConnection(
                            "peer", Environment.Framing.FRAMES, node.accept());
            connection.open();
            connection.receive(new String(sent, StandardCharsets.ISO_8859_1));
            connection.reset();
            environment.advance(5);
        }
        environment.advance(5_000);
        assertEquals(200, call("GET", "/Configuration.Read", new byte[0]));
        assertEquals(
                200,
                call(
                        "POST",
                        "/Configuration.Replace",
                        bytes(VALID_CONFIGURATION.replace(":7,", ":8,"))));
        ScriptedEnvironment.ScriptedConnection dataPlane =
                new ScriptedEnvironment.ScriptedConnection(
                        "front", Environment.Framing.FRAMES, node.accept());
        dataPlane.open();
        dataPlane.receive(
                new String(MessageCodec.encode(pollMessage()), StandardCharsets.ISO_8859_1));
        environment.advance(1_000);
        assertEquals(1, dataPlane.sent.size(), "a valid request is answered");
    }
}
