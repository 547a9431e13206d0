package dillfront.router.pgwire;

import dillfront.router.identity.KeyBytes;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * A client's statement, read in place. Keeps numbers, and the places in the message where the
 * waiting time stands, never the bytes.
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
    private static final byte[] WAIT = ascii("d");
    private static final byte[] GROUP = ascii("cluster");
    private static final byte[] AFTER = ascii("after");
    private static final byte[] MARK = ascii("k");

    /** Its client's name for the type. */
    public String type;

    public boolean write;

    /** A hash of what tells this txn from all others. */
    public long id;

    /** A hash of the quoted key, which names the session where there is one. */
    public long key;

    /** A hash of the idempotency key that a referenced txn carries; 0 where there is none. */
    public long mark;

    public long waitMs = -1;
    public int group;

    /** Unix time of the session's last write; 0 where it has none, or does not say. */
    public long afterMs;

    /** Where the digits of the waiting time begin and end in the message. */
    public int waitFrom;

    public int waitTo;

    /** Where the key begins in the message, and its bytes. */
    private int keyFrom;

    private int keyLength;

    private final ByteBuf message;
    private final int end;
    private int at;

    private Statement(ByteBuf message) {
        this.message = message;
        at = message.readerIndex() + 5;
        end = message.writerIndex() - 1;
    }

    /** Reads a query message, type and length before it and a zero behind. */
    public static Statement read(ByteBuf message) throws BadStatement {
        Statement statement = new Statement(message);
        statement.read();
        return statement;
    }

    /** Of the key, while the message is still whoever's it was when it was read. */
    @Override
    public int length() {
        return keyLength;
    }

    @Override
    public byte byteAt(int index) {
        return message.getByte(keyFrom + index);
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private void read() throws BadStatement {
        if (end < at || message.getByte(end) != 0) {
            throw new BadStatement("no zero behind the statement");
        }
        write = !skip(SELECT);
        if (write && !skip(INSERT)) {
            throw new BadStatement("neither the read nor the write that is served here");
        }
        int from = at;
        while (at < end && message.getByte(at) != '\'') {
            at++;
        }
        if (at == from) {
            throw new BadStatement("no key");
        }
        key = hash(from, at);
        keyFrom = from;
        keyLength = at - from;
        if (write) {
            expect(VALUE);
            int digits = at;
            while (at < end && Character.digit(message.getByte(at), 16) >= 0) {
                at++;
            }
            if ((at - digits) % 2 != 0) {
                throw new BadStatement("the value has half a byte");
            }
            expect(RETURNING);
        } else {
            expect(COMMENT);
        }
        comment();
        expect(END);
        if (at != end) {
            throw new BadStatement("something behind the comment");
        }
    }

    private void comment() throws BadStatement {
        boolean named = false;
        boolean grouped = false;
        int from = at;
        while (true) {
            int name = at;
            int equals = stop('=');
            if (equals == name || at >= end || message.getByte(at) != '=') {
                throw new BadStatement("a name without a value");
            }
            at++;
            int value = at;
            int to = stop(',');
            if (is(name, equals, ID)) {
                named = to > value;
                id = hash(value, to);
            } else if (is(name, equals, TYPE)) {
                type = text(value, to);
            } else if (is(name, equals, WAIT)) {
                waitMs = number(value, to);
                waitFrom = value - message.readerIndex();
                waitTo = to - message.readerIndex();
            } else if (is(name, equals, GROUP)) {
                group = (int) Math.min(Integer.MAX_VALUE, number(value, to));
                grouped = true;
            } else if (is(name, equals, MARK)) {
                mark = hash(value, to);
            } else if (is(name, equals, AFTER)) {
                afterMs = number(value, to);
            }
            if (at >= end || message.getByte(at) != ',') {
                break;
            }
            at++;
        }
        if (at == from || !named || type == null || waitMs < 0 || !grouped) {
            throw new BadStatement("the comment lacks id, c, d or cluster");
        }
    }

    /** Goes on to this character or to what ends a comment's entry. */
    private int stop(char mark) {
        while (at < end
                && message.getByte(at) != mark
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

    private boolean is(int from, int to, byte[] name) {
        return to - from == name.length && Messages.is(message, from, name);
    }

    private String text(int from, int to) {
        return message.toString(from, to - from, StandardCharsets.UTF_8);
    }

    private long number(int from, int to) throws BadStatement {
        long number = 0;
        for (int i = from; i < to; i++) {
            int digit = message.getByte(i) - '0';
            if (digit < 0 || digit > 9) {
                throw new BadStatement("no number: '" + text(from, Math.min(to, from + 40)) + "'");
            }
            number = number * 10 + digit;
        }
        if (to == from || to - from > 17) {
            throw new BadStatement("no number, or too long a one");
        }
        return number;
    }

    private boolean skip(byte[] words) {
        // No words hold a zero, and one stands at the end: none can match beyond it.
        boolean there = Messages.is(message, at, words);
        at += there ? words.length : 0;
        return there;
    }

    private void expect(byte[] words) throws BadStatement {
        if (!skip(words)) {
            throw new BadStatement("out of form at byte " + (at - message.readerIndex() - 5));
        }
    }
}
