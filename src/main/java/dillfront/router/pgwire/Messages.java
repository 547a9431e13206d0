package dillfront.router.pgwire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/** Encodes protocol messages and decodes the small ones. */
public final class Messages {

    /** Code in a client's startup message: version 3.0, or a special request in its place. */
    public static final int PROTOCOL_VERSION = 196608;

    public static final int CANCEL_REQUEST = 80877102;
    public static final int SSL_REQUEST = 80877103;
    public static final int GSSENC_REQUEST = 80877104;

    public static final String DECLINED = "53300";
    public static final String ROLLED_BACK = "40003";
    public static final String SYNTAX_ERROR = "42601";
    public static final String FEATURE_NOT_SUPPORTED = "0A000";
    public static final String PROTOCOL_VIOLATION = "08P01";

    private Messages() {}

    /** Writes the messages that complete a client's startup. */
    public static ByteBuf sessionStart(ByteBuf out) {
        out.writeByte('R').writeInt(8).writeInt(0);
        parameter(out, "server_version", "15.0");
        parameter(out, "server_encoding", "UTF8");
        parameter(out, "client_encoding", "UTF8");
        parameter(out, "standard_conforming_strings", "on");
        out.writeByte('K').writeInt(12).writeInt(0).writeInt(0);
        return ready(out);
    }

    private static void parameter(ByteBuf out, String name, String value) {
        out.writeByte('S').writeInt(4 + name.length() + value.length() + 2);
        text(out, name);
        text(out, value);
    }

    public static ByteBuf ready(ByteBuf out) {
        return out.writeByte('Z').writeInt(5).writeByte('I');
    }

    private static final ByteBuf READY =
            Unpooled.unreleasableBuffer(ready(Unpooled.directBuffer(6, 6)));

    /** Returns a preallocated ReadyForQuery message. */
    public static ByteBuf ready() {
        return READY.duplicate();
    }

    public static ByteBuf emptyQuery(ByteBuf out) {
        return ready(out.writeByte('I').writeInt(4));
    }

    /**
     * @param detail null if there is none
     */
    public static ByteBuf error(
            ByteBuf out, boolean fatal, String code, String message, String detail) {
        int start = out.writerIndex();
        out.writeByte('E').writeInt(0);
        String severity = fatal ? "FATAL" : "ERROR";
        field(out, 'S', severity);
        field(out, 'V', severity);
        field(out, 'C', code);
        field(out, 'M', message);
        if (detail != null) {
            field(out, 'D', detail);
        }
        out.writeByte(0);
        return out.setInt(start + 1, out.writerIndex() - start - 1);
    }

    private static void field(ByteBuf out, char name, String value) {
        out.writeByte(name);
        text(out, value);
    }

    private static void text(ByteBuf out, String text) {
        ByteBufUtil.writeUtf8(out, text);
        out.writeByte(0);
    }

    /** Writes a StartupMessage of version 3.0. */
    public static ByteBuf startup(ByteBuf out, String user, String database) {
        int start = out.writerIndex();
        out.writeInt(0).writeInt(PROTOCOL_VERSION);
        text(out, "user");
        text(out, user);
        text(out, "database");
        text(out, database);
        out.writeByte(0);
        return out.setInt(start, out.writerIndex() - start);
    }

    public static ByteBuf query(ByteBuf out, String statement) {
        out.writeByte('Q').writeInt(4 + statement.length() + 1);
        text(out, statement);
        return out;
    }

    /** Returns the user named by a startup message; empty if it names none. */
    public static String user(ByteBuf message) {
        int offset = message.readerIndex() + 8;
        int end = message.writerIndex();
        while (offset < end && message.getByte(offset) != 0) {
            int nameTo = indexOfZero(message, offset, end);
            int valueTo = indexOfZero(message, Math.min(end, nameTo + 1), end);
            if (nameTo - offset == 4
                    && message.toString(offset, 4, StandardCharsets.US_ASCII).equals("user")) {
                return message.toString(
                        nameTo + 1,
                        Math.max(0, Math.min(valueTo - nameTo - 1, 256)),
                        StandardCharsets.UTF_8);
            }
            offset = valueTo + 1;
        }
        return "";
    }

    private static int indexOfZero(ByteBuf message, int from, int end) {
        int offset = from;
        while (offset < end && message.getByte(offset) != 0) {
            offset++;
        }
        return offset;
    }

    /** Returns the password of a password message. */
    public static String password(ByteBuf message) {
        int from = message.readerIndex() + 5;
        return message.toString(
                from,
                indexOfZero(message, from, message.writerIndex()) - from,
                StandardCharsets.UTF_8);
    }

    /** Returns the SQLSTATE of an error message; empty if there is none. */
    public static String sqlState(ByteBuf message) {
        int offset = message.readerIndex() + 5;
        while (offset < message.writerIndex() && message.getByte(offset) != 0) {
            int terminator = message.indexOf(offset, message.writerIndex(), (byte) 0);
            if (terminator < 0) {
                return "";
            }
            if (message.getByte(offset) == 'C') {
                return message.toString(
                        offset + 1, terminator - offset - 1, StandardCharsets.US_ASCII);
            }
            offset = terminator + 1;
        }
        return "";
    }

    /**
     * Returns the offset of the value in a ParameterStatus message of this name; negative if the
     * name differs or the message is malformed.
     */
    public static int parameterValueOffset(ByteBuf message, byte[] name) {
        int from = message.readerIndex() + 5;
        int value = from + name.length + 1;
        return matchesAt(message, from, name)
                        && value < message.writerIndex()
                        && message.getByte(value - 1) == 0
                        && message.getByte(message.writerIndex() - 1) == 0
                ? value
                : -1;
    }

    /** Returns whether the message contains these bytes at the offset. */
    public static boolean matchesAt(ByteBuf message, int offset, byte[] bytes) {
        if (offset + bytes.length > message.writerIndex()) {
            return false;
        }
        for (int i = 0; i < bytes.length; i++) {
            if (message.getByte(offset + i) != bytes[i]) {
                return false;
            }
        }
        return true;
    }

    /** Returns the text from the offset to the terminating zero at the end of the message. */
    public static String text(ByteBuf message, int offset) {
        return message.toString(offset, message.writerIndex() - 1 - offset, StandardCharsets.UTF_8);
    }

    /**
     * Returns the only column of a row as text; null if there is more than one column or its value
     * is null.
     */
    public static String column(ByteBuf row) {
        int offset = row.readerIndex() + 5;
        if (!hasOneColumn(row)) {
            return null;
        }
        return row.toString(offset + 6, row.getInt(offset + 2), StandardCharsets.UTF_8);
    }

    /** Returns whether a row description consists of exactly one field. */
    public static boolean hasOneField(ByteBuf description) {
        int offset = description.readerIndex() + 5;
        int terminator =
                description.readableBytes() < 7 || description.getShort(offset) != 1
                        ? -1
                        : description.indexOf(offset + 2, description.writerIndex(), (byte) 0);
        return terminator >= 0 && description.writerIndex() - terminator == 19;
    }

    /** Returns whether a message consists of one zero-terminated string. */
    public static boolean hasOneString(ByteBuf message) {
        int from = message.readerIndex() + 5;
        return message.indexOf(from, message.writerIndex(), (byte) 0) == message.writerIndex() - 1;
    }

    /** Returns whether a row consists of exactly one column. */
    public static boolean hasOneColumn(ByteBuf row) {
        int offset = row.readerIndex() + 5;
        return row.readableBytes() >= 11
                && row.getShort(offset) == 1
                && row.getInt(offset + 2) == row.readableBytes() - 11;
    }

    /** Returns whether a query is empty: only whitespace and semicolons. */
    public static boolean isBlankQuery(ByteBuf query) {
        for (int i = query.readerIndex() + 5; i < query.writerIndex(); i++) {
            byte c = query.getByte(i);
            if (c != 0 && c != ' ' && c != ';' && c != '\n' && c != '\t' && c != '\r') {
                return false;
            }
        }
        return true;
    }
}
