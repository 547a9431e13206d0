package dillfront.router.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dillfront.common.logging.Log;
import dillfront.router.config.JsonObject;
import dillfront.router.config.MonotonicClock;
import dillfront.router.config.RouterSettings;
import dillfront.routing.RoutingHarness;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the HTTP decoder and the member list reader with complete, split and malformed input. */
class ListTest {

    private final StringBuilder trace = new StringBuilder();

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private static String parse(String... pieces) {
        StringBuilder output = new StringBuilder();
        HttpResponseDecoder answers = new HttpResponseDecoder();
        try {
            for (String piece : pieces) {
                answers.add(bytes(piece));
                for (ByteBuf body = answers.next(); body != null; body = answers.next()) {
                    output.append(answers.status())
                            .append(" '")
                            .append(body.toString(StandardCharsets.UTF_8))
                            .append("' ");
                    body.release();
                }
            }
        } catch (HttpFormatException e) {
            output.append(e.getMessage());
        }
        answers.release();
        return output.append('\n').toString();
    }

    @Test
    void decodesResponses() throws IOException {
        String responses =
                "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 3\r\n\r\n{a}HTTP/1.1 503 No\r\ncontent-length:0\r\n\r\n";
        String expected = parse(responses);
        trace.append(expected);
        for (int at = 1; at < responses.length(); at++) {
            assertEquals(
                    expected,
                    parse(responses.substring(0, at), responses.substring(at)),
                    "cut at " + at);
        }
        assertEquals(expected, parse(responses.split("")), "byte by byte");
        trace.append(
                parse(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{a}\r\n0\r\n\r\n"));
        trace.append(parse("HTTP/1.1 200 OK\r\n\r\n{a}"));
        trace.append(parse("HTTP/1.1 200 OK\r\nContent-Length: 3x\r\n\r\n{a}"));
        trace.append(parse("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n{a}"));
        trace.append(parse("HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n{a}"));
        trace.append(parse("SSH-2.0-x\r\n\r\n"));
        trace.append(parse("x".repeat(9000)));
        RoutingHarness.assertTraceEquals("http", trace);
    }

    /** Guards against an index table that grows with every node that ever existed. */
    @Test
    void reusesIndicesOfReplacedNodes() throws IOException {
        MemberList list =
                new MemberList(
                        RouterSettings.read(new JsonObject()),
                        new MonotonicClock(),
                        new Log(System.err));
        String entry =
                "{'instanceId':'s-%d','hostPort':'10.1.0.18:5432','zone':'a','cell':3,'lifecycle':'%s'}";
        StringBuilder output = new StringBuilder();
        for (int day = 0; day < 1000; day++) {
            String change =
                    day % 10 == 9
                            ? String.format(entry, day, "ready")
                            : String.format(entry, day, "ready")
                                    + ","
                                    + String.format(entry, day - 1, "gone");
            List<Member> members =
                    list.read(
                            JsonObject.parse(
                                    new ByteArrayInputStream(
                                            ("{'generation':1,'reset':"
                                                            + (day % 10 == 9)
                                                            + ",'instances':["
                                                            + change
                                                            + "]}")
                                                    .replace('\'', '"')
                                                    .getBytes(StandardCharsets.UTF_8))));
            if (day < 3) {
                members.forEach(
                        m -> output.append(m.row().node()).append(m.row().standing()).append(' '));
            }
            // Index 0 is never released; all others are released up to a day late.
            int currentDay = day;
            list.removeDeparted(node -> node > 0 && currentDay % 2 == 0);
        }
        assertEquals("0READY 1READY 0GONE 2READY 1GONE | 4", output + "| " + list.indexCount());
    }

    @Test
    void skipsUnreadableEntry() throws IOException {
        ByteArrayOutputStream logLines = new ByteArrayOutputStream();
        RouterSettings setup = RouterSettings.read(new JsonObject());
        MemberList list =
                new MemberList(
                        setup, new MonotonicClock(), new Log(new PrintStream(logLines, true)));
        String entry =
                "{'instanceId':'s-1','hostPort':'10.1.0.18:5432','zone':'a','cell':3,'lifecycle':'ready',"
                        + "'weight':1.5,'startedAtMs':0,'role':'leader'}";
        String text =
                "{'generation':41,'reset':true,'instances':["
                        + entry
                        + ","
                        + entry.replace("s-1", "s-2")
                                .replace("'ready'", "'draining'")
                                .replace("leader", "follower")
                        + ","
                        + entry.replace("ready", "asleep")
                        + ","
                        + entry.replace("10.1.0.18:5432", "db.example:5432")
                        + ","
                        + entry.replace("5432", "99999")
                        + ","
                        + entry.replace("'s-1'", "7")
                        + ",5,"
                        + entry.replace("ready", "gone")
                        + "]}";
        List<Member> members =
                list.read(
                        JsonObject.parse(
                                new ByteArrayInputStream(
                                        text.replace('\'', '"').getBytes(StandardCharsets.UTF_8))));
        members.forEach(m -> trace.append(m).append('\n'));
        trace.append("group 3: ")
                .append(list.mayHaveGroup(3))
                .append(", group 4: ")
                .append(list.mayHaveGroup(4))
                .append('\n');
        logLines.toString(StandardCharsets.UTF_8)
                .lines()
                .forEach(line -> trace.append(line.substring(line.indexOf("WARN"))).append('\n'));
        RoutingHarness.assertTraceEquals("list", trace);
    }
}
