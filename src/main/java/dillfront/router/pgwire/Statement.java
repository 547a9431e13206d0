package dillfront.router.pgwire;

import dillfront.router.identity.KeyBytes;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * A client's statement, parsed in place. Keeps hashes, numbers and offsets into the message; copies
 * no statement text other than the type.
 */
public final class Statement implements KeyBytes {

    private static final byte[] SELECT = ascii("SELECT body FROM objects WHERE oid = '");
    private static final byte[] INSERT = ascii("INSERT INTO objects (oid, body) VALUES ('");
    private static final byte[] VALUE = ascii("', '\\x");
    private static final byte[] RETURNING = ascii("') RETURNING body /* ");
    private static final byte[] COMMENT = ascii("' /* ");
    private static final byte[] END = ascii(" */");
    private static final byte[] ID = ascii("id");
    private static final byte[] TYPE = ascii("c");
    private static final byte[] TIMEOUT = ascii("d");
    private static final byte[] GROUP = ascii("cluster");
    private static final byte[] LAST_WRITE = ascii("after");
    private static final byte[] IDEMPOTENCY_KEY = ascii("k");

    /** Transaction type, as named by the client. */
    public String type;

    public boolean write;

    /** Hash of the transaction id. */
    public long idHash;

    /** Hash of the quoted object key, which also identifies the session, if any. */
    public long keyHash;

    /** Hash of the idempotency key; 0 if there is none. */
    public long idempotencyKeyHash;

    public long timeoutMs = -1;
    public int group;

    /** Unix time of the session's last write; 0 if there was none or it is not stated. */
    public long lastWriteMs;

    /** Start and end of the time limit's digits in the message. */
    public int timeoutStart;

    public int timeoutEnd;

    /** Start and length of the object key in the message. */
    private int keyStart;

    private int keyLength;

    private final ByteBuf message;
    private final int end;
    private int at;

    private Statement(ByteBuf message) {
        this.message = message;
        at = message.readerIndex() + 5;
        end = message.writerIndex() - 1;
    }

    /** Parses a query message, including its type, length and terminating zero. */
    public static Statement read(ByteBuf message) throws StatementFormatException {
        Statement statement = new Statement(message);
        statement.read();
        return statement;
    }

    /** Returns the length of the object key; valid while the message is retained. */
    @Override
    public int length() {
        return keyLength;
    }

    @Override
    public byte byteAt(int index) {
        return message.getByte(keyStart + index);
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private void read() throws StatementFormatException {
        if (end < at || message.getByte(end) != 0) {
            throw new StatementFormatException("no zero behind the statement");
        }
        write = !skipIfPresent(SELECT);
        if (write && !skipIfPresent(INSERT)) {
            throw new StatementFormatException(
                    "neither the read nor the write that is served here");
        }
        int from = at;
        while (at < end && message.getByte(at) != '\'') {
            at++;
        }
        if (at == from) {
            throw new StatementFormatException("no key");
        }
        keyHash = hash(from, at);
        keyStart = from;
        keyLength = at - from;
        if (write) {
            expect(VALUE);
            int digits = at;
            while (at < end && Character.digit(message.getByte(at), 16) >= 0) {
                at++;
            }
            if ((at - digits) % 2 != 0) {
                throw new StatementFormatException("the value has half a byte");
            }
            expect(RETURNING);
        } else {
            expect(COMMENT);
        }
        readComment();
        expect(END);
        if (at != end) {
            throw new StatementFormatException("something behind the comment");
        }
    }

    private void readComment() throws StatementFormatException {
        boolean hasId = false;
        boolean hasGroup = false;
        int from = at;
        while (true) {
            int nameStart = at;
            int nameEnd = scanTo('=');
            if (nameEnd == nameStart || at >= end || message.getByte(at) != '=') {
                throw new StatementFormatException("a name without a value");
            }
            at++;
            int valueStart = at;
            int valueEnd = scanTo(',');
            if (matches(nameStart, nameEnd, ID)) {
                hasId = valueEnd > valueStart;
                idHash = hash(valueStart, valueEnd);
            } else if (matches(nameStart, nameEnd, TYPE)) {
                type = readText(valueStart, valueEnd);
            } else if (matches(nameStart, nameEnd, TIMEOUT)) {
                timeoutMs = readNumber(valueStart, valueEnd);
                timeoutStart = valueStart - message.readerIndex();
                timeoutEnd = valueEnd - message.readerIndex();
            } else if (matches(nameStart, nameEnd, GROUP)) {
                group = (int) Math.min(Integer.MAX_VALUE, readNumber(valueStart, valueEnd));
                hasGroup = true;
            } else if (matches(nameStart, nameEnd, IDEMPOTENCY_KEY)) {
                idempotencyKeyHash = hash(valueStart, valueEnd);
            } else if (matches(nameStart, nameEnd, LAST_WRITE)) {
                lastWriteMs = readNumber(valueStart, valueEnd);
            }
            if (at >= end || message.getByte(at) != ',') {
                break;
            }
            at++;
        }
        if (at == from || !hasId || type == null || timeoutMs < 0 || !hasGroup) {
            throw new StatementFormatException("the comment lacks id, c, d or cluster");
        }
    }

    /** Advances to the delimiter or to the end of the comment entry. */
    private int scanTo(char delimiter) {
        while (at < end
                && message.getByte(at) != delimiter
                && message.getByte(at) != ','
                && message.getByte(at) != ' '
                && message.getByte(at) != '*') {
            at++;
        }
        return at;
    }

    private long hash(int from, int to) {
        long hash = 0xcbf29ce484222325L;
        for (int i = from; i < to; i++) {
            hash = (hash ^ message.getByte(i)) * 0x100000001b3L;
        }
        return hash;
    }

    private boolean matches(int from, int to, byte[] name) {
        return to - from == name.length && Messages.matchesAt(message, from, name);
    }

    private String readText(int from, int to) {
        return message.toString(from, to - from, StandardCharsets.UTF_8);
    }

    private long readNumber(int from, int to) throws StatementFormatException {
        long number = 0;
        for (int i = from; i < to; i++) {
            int digit = message.getByte(i) - '0';
            if (digit < 0 || digit > 9) {
                throw new StatementFormatException(
                        "no number: '" + readText(from, Math.min(to, from + 40)) + "'");
            }
            number = number * 10 + digit;
        }
        if (to == from || to - from > 17) {
            throw new StatementFormatException("no number, or too long a one");
        }
        return number;
    }

    private boolean skipIfPresent(byte[] literal) {
        // No literal contains a zero byte, and the message ends with one, so no match extends
        // beyond the end.
        boolean present = Messages.matchesAt(message, at, literal);
        at += present ? literal.length : 0;
        return present;
    }

    private void expect(byte[] literal) throws StatementFormatException {
        if (!skipIfPresent(literal)) {
            throw new StatementFormatException(
                    "out of form at byte " + (at - message.readerIndex() - 5));
        }
    }
}
