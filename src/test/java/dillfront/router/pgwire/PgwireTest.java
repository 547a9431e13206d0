package dillfront.router.pgwire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dillfront.routing.RoutingHarness;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the frame decoder and the statement parser with complete, split and malformed input. */
class PgwireTest {

    private final StringBuilder trace = new StringBuilder();

    private static ByteBuf query(String text) {
        return Messages.query(Unpooled.buffer(), text);
    }

    /** Returns what the decoder makes of these pieces. */
    private static String decode(boolean startsWithStartup, ByteBuf... pieces) {
        StringBuilder output = new StringBuilder();
        FrameDecoder frames =
                startsWithStartup
                        ? new FrameDecoder()
                        : new FrameDecoder(FrameDecoder.MAX_CLIENT_MESSAGE_BYTES);
        try {
            for (ByteBuf piece : pieces) {
                frames.add(piece);
                for (ByteBuf message = frames.next(); message != null; message = frames.next()) {
                    output.append(message.readableBytes())
                            .append(
                                    startsWithStartup
                                            ? "startup "
                                            : (char) message.getByte(0) + " ");
                    if (startsWithStartup) {
                        frames.startupReceived();
                        startsWithStartup = false;
                    }
                    message.release();
                }
            }
        } catch (FrameException e) {
            output.append(e.getMessage());
        }
        output.append(" left ").append(frames.bufferedBytes());
        frames.release();
        return output.toString();
    }

    @Test
    void decodesMessagesAtEverySplit() throws IOException {
        ByteBuf all = Messages.startup(Unpooled.buffer(), "worker", "catalog");
        all.writeBytes(query(""))
                .writeBytes(query("SELECT 1"))
                .writeBytes(Messages.ready(Unpooled.buffer()));
        String expected = decode(true, all.copy());
        trace.append("whole: ").append(expected).append('\n');
        for (int at = 1; at < all.readableBytes(); at++) {
            assertEquals(
                    expected,
                    decode(true, all.copy(0, at), all.copy(at, all.readableBytes() - at)),
                    "cut at " + at);
        }
        ByteBuf[] bytes = new ByteBuf[all.readableBytes()];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = all.copy(i, 1);
        }
        assertEquals(expected, decode(true, bytes), "byte by byte");
        trace.append("short startup: ")
                .append(decode(true, Unpooled.buffer().writeInt(7).writeInt(0)))
                .append('\n');
        trace.append("long startup: ")
                .append(decode(true, Unpooled.buffer().writeInt(10_001).writeInt(0)))
                .append('\n');
        trace.append("length 3: ")
                .append(decode(false, Unpooled.buffer().writeByte('Q').writeInt(3)))
                .append('\n');
        trace.append("negative: ")
                .append(decode(false, Unpooled.buffer().writeByte('Q').writeInt(-1)))
                .append('\n');
        trace.append("longest: ")
                .append(
                        decode(
                                false,
                                Unpooled.buffer()
                                        .writeByte('Q')
                                        .writeInt(FrameDecoder.MAX_CLIENT_MESSAGE_BYTES)))
                .append('\n');
        trace.append("longer: ")
                .append(
                        decode(
                                false,
                                Unpooled.buffer()
                                        .writeByte('Q')
                                        .writeInt(FrameDecoder.MAX_CLIENT_MESSAGE_BYTES + 1)))
                .append('\n');
        RoutingHarness.assertTraceEquals("messages", trace);
    }

    /** Guards against slices in use that change when the buffer they were cut from grows. */
    @Test
    void keepsSliceIntactWhileNextMessageArrives() throws FrameException {
        FrameDecoder frames = new FrameDecoder(FrameDecoder.MAX_CLIENT_MESSAGE_BYTES);
        ByteBuf two = query("first").writeBytes(query("second"));
        frames.add(two.copy(0, 14));
        ByteBuf first = frames.next();
        frames.add(two.copy(14, two.readableBytes() - 14));
        ByteBuf second = frames.next();
        assertEquals(
                "first|second",
                first.toString(5, 5, StandardCharsets.US_ASCII)
                        + "|"
                        + second.toString(5, 6, StandardCharsets.US_ASCII));
        assertEquals(0, frames.bufferedBytes());
        first.release();
        second.release();
        assertEquals("0 0", first.refCnt() + " " + second.refCnt());
    }

    @Test
    void parsesStatements() throws IOException {
        String select =
                "SELECT body FROM objects WHERE oid = '7f3a' /* id=9b,c=basket,d=480,cluster=2 */";
        String insert =
                "INSERT INTO objects (oid, body) VALUES ('7f3a', '\\x9f03') RETURNING body "
                        + "/* id=9b,c=order,d=480,k=5c0f,cluster=2 */";
        String[] cases = {
            select,
            insert,
            select.replace("cluster=2", "cluster=2,after=1767225600123,r=1,new=x"),
            select.replace("d=480", "d=0"),
            select.replace("7f3a", ""),
            select.replace("SELECT", "select"),
            select + ";",
            select.replace(" */", ""),
            select.replace("id=9b,", ""),
            select.replace("c=basket,", ""),
            select.replace("d=480,", ""),
            select.replace("cluster=2", "cluster=two"),
            select.replace("d=480", "d=-1"),
            select.replace("d=480", "d=99999999999999999999"),
            select.replace("d=480", "d="),
            select.replace("d=480", "d"),
            select.replace("id=9b", "id="),
            select.replace("body FROM", "secret FROM"),
            "DROP TABLE objects",
            "",
            insert.replace("9f03", "9f0"),
            insert.replace("9f03", "9g03"),
            insert.replace("9f03", ""),
            select.replace("'7f3a'", "'7f'''"),
            select.replace("/* ", "/* /* ")
        };
        for (String text : cases) {
            trace.append(text).append("\n   ");
            ByteBuf message = query(text);
            try {
                Statement statement = Statement.read(message);
                trace.append(statement.write ? "write" : "read")
                        .append(" type ")
                        .append(statement.type)
                        .append(" wait ")
                        .append(statement.timeoutMs)
                        .append(" group ")
                        .append(statement.group)
                        .append(" after ")
                        .append(statement.lastWriteMs)
                        .append(" digits ")
                        .append(
                                message.toString(
                                        statement.timeoutStart,
                                        statement.timeoutEnd - statement.timeoutStart,
                                        StandardCharsets.US_ASCII));
            } catch (StatementFormatException e) {
                trace.append(e.getMessage());
            }
            trace.append('\n');
        }
        RoutingHarness.assertTraceEquals("statements", trace);
        // Every truncated statement is malformed, never a partial transaction.
        for (int length = 0; length < insert.length(); length++) {
            ByteBuf message = query(insert.substring(0, length));
            org.junit.jupiter.api.Assertions.assertThrows(
                    StatementFormatException.class, () -> Statement.read(message));
        }
    }
}
