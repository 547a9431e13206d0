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
 * Calls and messages that are spoilt in any way: each is refused or passed over, none does harm,
 * and what follows is served.
 */
class ControlHttpApiTest {

    private static final int TRIES = 4_000;
    private static final String GOOD =
            "{'revision_number':7,'routes':[{'name':'r','host_name':'h','path_prefix':'/','route_kind':'primary',"
                    + "'timeout_ms':800,'service':'s'}],'services':[{'name':'s','connection_limit':68}]}";
    private static final String BEAT =
            "{'service':'s','address':'10.0.0.9:80','zone_name':'z','state':'ready','database_role':'replica',"
                    + "'call_sequence':4}";
    private static final String LOSS =
            "{'service':'s','move':'7','log_position':'1.5','least_acknowledged':'1.7','most_acknowledged':'1.8'}";
    private static final Object[] ODD = {
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

    private final ScriptedEnvironment host = new ScriptedEnvironment();
    private final SplittableRandom random = new SplittableRandom(8_241);
    private static final String ACCEPT_DATA_LOSS = "/Services.AcceptDataLoss";
    private ControlNode core;

    @BeforeEach
    void start() throws Exception {
        core = SingleNode.start(host);
        host.advance(SingleNode.HOLDS_MS);
        assertEquals(200, call("POST", "/Configuration.Replace", bytes(GOOD)));
    }

    private static byte[] bytes(String text) {
        return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }

    private int call(String method, String path, byte[] body) {
        CompletableFuture<Environment.HttpResponse> is = core.handle(method, path, body);
        for (int i = 0; i < 50 && !is.isDone(); i++) {
            host.advance(100);
        }
        assertTrue(is.isDone(), method + " " + path + " has no answer within 5 s");
        return is.join().status();
    }

    /** One byte after the other is changed, lost or doubled, up to four of them. */
    private byte[] spoilt(byte[] good) {
        byte[] is = good.clone();
        for (int i = random.nextInt(1, 5); i > 0; i--) {
            int at = random.nextInt(is.length);
            switch (random.nextInt(4)) {
                case 0 -> is[at] = (byte) random.nextInt(256);
                case 1 -> is[at] = (byte) "{}[]\":,0-.eE\\u".charAt(random.nextInt(14));
                case 2 -> is = java.util.Arrays.copyOf(is, Math.max(1, at));
                default -> {
                    byte[] more = new byte[is.length + at];
                    System.arraycopy(is, 0, more, 0, is.length);
                    System.arraycopy(is, 0, more, is.length, at);
                    is = more;
                }
            }
        }
        return is;
    }

    /**
     * Guards against a body that is not understood and changes something, or whose caller hears
     * nothing.
     */
    @Test
    void answersAnyBody() {
        Set<Integer> usual = Set.of(200, 400, 404, 405, 409, 503);
        String[] paths = {
            "/Configuration.Replace",
            "/Instances.Heartbeat/i-1",
            "/Instances.Heartbeat/",
            "/Instances.Leave/i-9",
            "/",
            "/Configuration.Read",
            ACCEPT_DATA_LOSS,
            "/Instances.Heartbeat/" + "x".repeat(5_000),
            "/Instances.Heartbeat/i\n1"
        };
        String[] methods = {"POST", "POST", "POST", "GET", "PUT", "HEAD"};
        for (int i = 0; i < TRIES; i++) {
            String path = paths[random.nextInt(paths.length)];
            byte[] body =
                    random.nextInt(20) == 0
                            ? "[".repeat(20_000).getBytes(StandardCharsets.US_ASCII)
                            : spoilt(
                                    bytes(
                                            path.contains("Beat") || path.contains("Instances")
                                                    ? BEAT
                                                    : path.equals(ACCEPT_DATA_LOSS) ? LOSS : GOOD));
            String method = methods[random.nextInt(methods.length)];
            int status = call(method, path, body);
            assertTrue(
                    usual.contains(status),
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
                        bytes(GOOD.replace(":7,", ":9000000000000000000,"))));
        assertEquals(200, call("POST", "/Instances.Heartbeat/i-2", bytes(BEAT)));
        assertEquals(200, call("GET", "/Configuration.Read", new byte[0]));
    }

    private static Map<String, Object> word() {
        Map<String, Object> is =
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
        is.put("a", 0L);
        is.put("ak", 0L);
        is.put(
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
        is.put("al", List.of("i-7", 5L, 6L));
        is.put("ep", 1L);
        is.put("pl", List.of("10.0.0.2"));
        is.put("p", 1L);
        is.put("pt", "10.0.0.2/1");
        is.put("w", 0L);
        is.put("k", -1L);
        is.put(
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
        is.put("cl", List.of("s", 1L));
        is.put("s", List.of(List.of("s", "i-7", 1L, 0L, 0L, "-")));
        is.put("f", 1L);
        is.put("h", true);
        is.put("sq", List.of("s"));
        is.put("rg", Map.of("v", 1L));
        is.put(
                "dl",
                List.of(
                        Map.of(
                                "s", "s", "mv", 1L, "l", "1.5", "a", "1.7 1.8", "p", "i-7", "t",
                                5L)));
        is.put("du", is.get("dl"));
        return is;
    }

    private void hears(ControlNode of, String ip, boolean leaving) {
        Map<String, Object> word = word();
        word.putAll(Map.of("i", ip, "id", ip + "/1", "lv", leaving, "pl", List.of()));
        ScriptedEnvironment.ScriptedConnection line =
                new ScriptedEnvironment.ScriptedConnection(
                        "peer", Environment.Framing.FRAMES, of.accept());
        line.open();
        line.receive(new String(MessageCodec.encode(word), StandardCharsets.ISO_8859_1));
    }

    private static Environment.HttpResponse answer(
            ControlNode of, String method, String path, String body) {
        return of.handle(method, path, bytes(body)).join();
    }

    /**
     * Guards against an order that waits for the end of a cut at the one machine that can't take
     * it, against a caller who is sent to one that is known to be gone, and against a wrong order
     * that is sent round instead of being refused.
     */
    @Test
    void redirectsToLastContactedPeerWhileIsolated() throws Exception {
        ControlNode cut = SingleNode.start(host, "10.0.0.2", "10.0.0.3");
        assertEquals(
                503,
                answer(cut, "POST", "/Configuration.Replace", GOOD).status(),
                "it has heard nobody, and others may be starting too");
        host.advance(2_000);
        Set<String> seeds = new TreeSet<>();
        for (int i = 0; i < 40; i++) {
            Environment.HttpResponse order = answer(cut, "POST", "/Configuration.Replace", GOOD);
            seeds.add(order.status() + " " + order.location());
        }
        assertEquals(
                "[307 http://10.0.0.2:8002/Configuration.Replace, 307 http://10.0.0.3:8002/Configuration.Replace]",
                seeds.toString());
        hears(cut, "10.0.0.2", false);
        host.advance(2_000);
        hears(cut, "10.0.0.3", false);
        host.advance(20_000);
        for (int i = 0; i < 20; i++) {
            Environment.HttpResponse order = answer(cut, "POST", "/Configuration.Replace", GOOD);
            assertEquals(
                    "307 http://10.0.0.3:8002/Configuration.Replace",
                    order.status() + " " + order.location());
        }
        Environment.HttpResponse read = answer(cut, "GET", "/Configuration.Read", "");
        assertEquals(
                "307 http://10.0.0.3:8002/Configuration.Read",
                read.status() + " " + read.location());
        assertEquals(400, answer(cut, "POST", "/Configuration.Replace", "{}").status());
        assertEquals(503, answer(cut, "POST", "/Instances.Heartbeat/i-1", BEAT).status());
        assertEquals(503, answer(cut, "POST", "/Instances.Leave/i-1", BEAT).status());
        hears(cut, "10.0.0.2", false);
        hears(cut, "10.0.0.3", true);
        host.advance(20_000);
        Environment.HttpResponse later = answer(cut, "POST", "/Configuration.Replace", GOOD);
        assertEquals(
                "307 http://10.0.0.2:8002/Configuration.Replace",
                later.status() + " " + later.location());
    }

    private static Map<String, Object> question() {
        Map<String, Object> is =
                new HashMap<>(
                        Map.of(
                                "t", "news", "n", "f1", "z", "z", "q", 1L, "b", "", "r", 0L, "c",
                                6L, "k", -1L));
        is.put("sn", -1L);
        is.put("s", List.of(Map.of("s", "s", "o", 1L, "p", "i-7", "h", 1L, "a", "-")));
        return is;
    }

    /** The same with another value somewhere in it, or one value less. */
    private Map<String, Object> odd(Map<String, Object> of) {
        Map<String, Object> is = new java.util.TreeMap<>(of);
        List<String> names = new ArrayList<>(is.keySet());
        if (names.isEmpty()) {
            return is;
        }
        String name = names.get(random.nextInt(names.size()));
        is.put(name, oddValue(is.get(name)));
        return is;
    }

    @SuppressWarnings("unchecked")
    private Object oddValue(Object of) {
        if (of instanceof Map<?, ?> map && random.nextInt(3) > 0) {
            return odd((Map<String, Object>) map);
        }
        if (of instanceof List<?> list && !list.isEmpty() && random.nextInt(3) > 0) {
            List<Object> is = new ArrayList<>(list);
            int at = random.nextInt(is.size());
            if (random.nextInt(4) == 0) {
                is.remove(at);
            } else {
                is.set(at, oddValue(is.get(at)));
            }
            return is;
        }
        return ODD[random.nextInt(ODD.length)];
    }

    /** Guards against a message that ends the process, or leaves it deaf to those that follow. */
    @Test
    void ignoresOrDisconnectsOnAnyMessage() {
        for (int i = 0; i < TRIES; i++) {
            Map<String, Object> message = random.nextBoolean() ? word() : question();
            Object type = message.get("t");
            for (int n = random.nextInt(3); n > 0; n--) {
                message = new HashMap<>(odd(message));
                message.put("t", type);
            }
            Map<String, Object> said = message;
            byte[] bytes = MessageCodec.encode(said);
            byte[] sent = random.nextInt(4) == 0 ? spoilt(bytes) : bytes;
            ScriptedEnvironment.ScriptedConnection line =
                    new ScriptedEnvironment.ScriptedConnection(
                            "peer", Environment.Framing.FRAMES, core.accept());
            line.open();
            line.receive(new String(sent, StandardCharsets.ISO_8859_1));
            line.reset();
            host.advance(5);
        }
        host.advance(5_000);
        assertEquals(200, call("GET", "/Configuration.Read", new byte[0]));
        assertEquals(
                200, call("POST", "/Configuration.Replace", bytes(GOOD.replace(":7,", ":8,"))));
        ScriptedEnvironment.ScriptedConnection front =
                new ScriptedEnvironment.ScriptedConnection(
                        "front", Environment.Framing.FRAMES, core.accept());
        front.open();
        front.receive(new String(MessageCodec.encode(question()), StandardCharsets.ISO_8859_1));
        host.advance(1_000);
        assertEquals(1, front.sent.size(), "a question is answered");
    }
}
