package dillfront.common.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.environment.RingLog;
import dillfront.common.message.MessageCodec;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Configurations, settings, messages: what is good is read, what is not is named, and no bytes do
 * anything else.
 */
class InputParsingTest {

    private static final String GOOD =
            "{'revision_number':7,'routes':[{'name':'r','host_name':'h','path_prefix':'/','route_kind':'bounded_staleness',"
                    + "'timeout_ms':800,'target_latency_ms':300,'priority':1,'service':'s','max_attempts':2,'max_staleness_ms':1500}],"
                    + "'services':[{'name':'s','connection_limit':68,'synchronous_replicas':1}],'limits':{'transaction_idle_ms':2000}}";

    private static byte[] bytes(String text) {
        return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }

    private static String errorOf(String text) {
        return assertThrows(
                        Configuration.InvalidConfigurationException.class,
                        () -> Configuration.parse(bytes(text)))
                .getMessage();
    }

    @Test
    void readsValidConfiguration() throws Configuration.InvalidConfigurationException {
        Configuration configuration = Configuration.parse(bytes(GOOD));
        assertEquals(7, configuration.revision());
        assertEquals(1_500, configuration.route("h").maxStalenessMillis());
        assertEquals(2_000, configuration.transactionIdleMillis());
        assertEquals(68, configuration.services().get("s").connectionLimit());
    }

    @Test
    void namesPlaceOfInvalidField() {
        assertEquals(
                "routes[0].service: no service is named 'x'",
                errorOf(GOOD.replace("'service':'s'", "'service':'x'")));
        assertEquals(
                "routes[0].timeout_ms: 0 is no whole number from 1 to 86400000",
                errorOf(GOOD.replace("800", "0")));
        assertEquals(
                "routes[0].route_kind: 'any' is unknown",
                errorOf(GOOD.replace("bounded_staleness", "any")));
        String route = GOOD.substring(GOOD.indexOf("{'name':'r'"), GOOD.indexOf("],'services'"));
        assertEquals(
                "routes[1]: a second route for host 'h' and prefix '/'",
                errorOf(GOOD.replace(route, route + "," + route.replace("'r'", "'q'"))));
        assertEquals(
                "routes[1].name: 'r' stands twice",
                errorOf(GOOD.replace(route, route + "," + route.replace("'h'", "'i'"))));
        assertEquals(
                "revision_number: 7.5 is no whole number from 0 to 9223372036854775807",
                errorOf(GOOD.replace(":7,", ":7.5,")));
        assertEquals("services: no list", errorOf(GOOD.replace("services'", "others'")));
        assertEquals("the body is no object", errorOf("[]"));
    }

    @Test
    void rejectsConfigurationTruncatedAnywhere() {
        byte[] all = bytes(GOOD);
        for (int length = 0; length < all.length; length++) {
            byte[] cut = java.util.Arrays.copyOf(all, length);
            assertThrows(
                    Configuration.InvalidConfigurationException.class,
                    () -> Configuration.parse(cut));
        }
    }

    @Property(tries = 500)
    void anyBytesFailOnlyWithNamedError(@ForAll byte[] bytes, @ForAll int at, @ForAll byte value) {
        byte[] corrupted = bytes(GOOD);
        corrupted[Math.floorMod(at, corrupted.length)] = value;
        for (byte[] input : List.of(bytes, corrupted)) {
            try {
                Configuration.parse(input);
            } catch (Configuration.InvalidConfigurationException expected) {
                assertTrue(!expected.getMessage().isEmpty());
            }
            try {
                MessageCodec.decode(input);
            } catch (MessageCodec.MalformedMessageException expected) {
                assertTrue(!expected.getMessage().isEmpty());
            }
        }
    }

    @Test
    void messageRoundTrip() throws MessageCodec.MalformedMessageException {
        MessageCodec.Fields fields =
                MessageCodec.decode(
                        MessageCodec.encode(
                                Map.of(
                                        "n",
                                        5,
                                        "t",
                                        "text",
                                        "b",
                                        true,
                                        "y",
                                        new byte[] {1, 2},
                                        "l",
                                        List.of(Map.of("i", "x")))));
        assertEquals(5, fields.number("n", 0));
        assertEquals("text", fields.string("t"));
        assertTrue(fields.flag("b"));
        assertEquals(2, fields.bytes("y").length);
        assertEquals("x", fields.maps("l").get(0).string("i"));
        assertEquals(9, fields.number("t", 9), "a field of another kind is as none");
        assertThrows(
                MessageCodec.MalformedMessageException.class,
                () -> MessageCodec.decode(new byte[] {(byte) 0xdf, 127, 127, 127, 127}));
    }

    /** Guards against a few bytes that ask for more memory than there is: the process would end. */
    @Test
    void rejectsMessageThatClaimsMoreThanItHas() {
        for (int kind : new int[] {0xc6, 0xdb, 0xdd, 0xdf}) {
            byte[] truncated = {(byte) kind, 127, (byte) 255, (byte) 255, (byte) 255, 1};
            assertThrows(
                    MessageCodec.MalformedMessageException.class,
                    () -> MessageCodec.decode(truncated),
                    Integer.toHexString(kind));
            byte[] nested = {
                (byte) 0x81,
                (byte) 0xa1,
                'n',
                (byte) kind,
                127,
                (byte) 255,
                (byte) 255,
                (byte) 255,
                1
            };
            assertThrows(
                    MessageCodec.MalformedMessageException.class,
                    () -> MessageCodec.decode(nested),
                    Integer.toHexString(kind));
        }
    }

    /** Guards against lists of lists of nothing, of which a message of 8 MB holds eight million. */
    @Test
    void rejectsMessageOfTooManyElements() {
        List<Object> empty = java.util.Collections.nCopies(200_000, null);
        byte[] message = MessageCodec.encode(Map.of("l", java.util.Collections.nCopies(40, empty)));
        assertTrue(
                assertThrows(
                                MessageCodec.MalformedMessageException.class,
                                () -> MessageCodec.decode(message))
                        .getMessage()
                        .contains("too many"));
    }

    @Test
    void readsSettingsAndNamesInvalidField(@TempDir Path dir)
            throws IOException, NodeSettings.InvalidSettingsException {
        String good =
                "{'node_name':'n','zone_name':'a','region':'r','ip_address':'10.0.0.1','zones':{'a':'r','b':'q'},'new':1,"
                        + "'listen_addresses':{'front_address':'10.0.0.1:80','readiness_address':'10.0.0.1:81'},'internal_port_range':[7440,7455],"
                        + "'seed_addresses':['10.0.0.2:90'],'bounds':{'grace_period_s':6.5},'data_directory':null,'cloud_api':null}";
        Path file = dir.resolve("node.json");
        Files.write(file, bytes(good));
        NodeSettings settings = NodeSettings.read(file);
        assertEquals(6_500, settings.gracePeriodMillis());
        assertEquals("10.0.0.2:7440", settings.internalAddressOf(settings.seedIps().get(0)));
        assertTrue(
                settings.isSameRegion("a")
                        && !settings.isSameRegion("b")
                        && settings.platformAddress() == null);
        String[][] bad = {
            {"'n',", "5,", "node_name: no text"},
            {"10.0.0.1:80'", "10.0.0.1'", "front_address: '10.0.0.1' is no IP:PORT"},
            {"[7440,7455]", "7440", "internal_port_range: no list of ports"},
            {"'bounds'", "'others'", "bounds: no object"}
        };
        for (String[] replacement : bad) {
            Files.write(file, bytes(good.replace(replacement[0], replacement[1])));
            String message =
                    assertThrows(
                                    NodeSettings.InvalidSettingsException.class,
                                    () -> NodeSettings.read(file))
                            .getMessage();
            assertEquals(file + ": " + replacement[2], message);
        }
        Files.write(file, bytes(good.substring(0, 60)));
        assertTrue(
                assertThrows(
                                NodeSettings.InvalidSettingsException.class,
                                () -> NodeSettings.read(file))
                        .getMessage()
                        .contains("line 1"));
        assertThrows(
                NodeSettings.InvalidSettingsException.class,
                () -> NodeSettings.read(dir.resolve("none")));
    }

    @Test
    void ringLogIsWrittenOnWarning() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        RingLog log = new RingLog(new PrintStream(out, true), "n");
        log.record(1, "a");
        assertEquals(0, out.size());
        log.warn(2, "b");
        assertEquals("n 1 a\nn 2 b\n", out.toString(StandardCharsets.UTF_8));
        for (int i = 0; i < 1_000; i++) {
            log.warn(3, "c");
        }
        assertTrue(out.toString(StandardCharsets.UTF_8).lines().count() < 40, "bounded");
        log.warn(70_000, "later");
        assertTrue(
                out.toString(StandardCharsets.UTF_8).contains("left out"),
                "what was lost is counted");
    }
}
