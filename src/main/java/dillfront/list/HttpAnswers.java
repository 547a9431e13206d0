package dillfront.list;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Cuts an HTTP/1.1 server's answers out of what it sends. Only answers of a stated length are read. Owns what is
 * not yet cut off; gives it back when it is used up, and in release().
 */
public final class HttpAnswers {

    private static final int LONGEST_HEAD = 1 << 13;
    private static final int LONGEST_BODY = 1 << 21;

    private ByteBuf held;
    private int status;
    private int length = -1;

    /** Takes the buffer over. */
    public void add(ByteBuf in) {
        if (held == null) {
            held = in;
        } else {
            held.discardSomeReadBytes();
            held.writeBytes(in);
            in.release();
        }
    }

    /** The body of the next whole answer, to be released by the caller; null until one is there. */
    public ByteBuf next() throws BadHttp {
        if (held != null && length < 0) {
            head();
        }
        if (held == null || length < 0 || held.readableBytes() < length) {
            return null;
        }
        ByteBuf body = held.readRetainedSlice(length);
        length = -1;
        if (!held.isReadable()) {
            release();
        } else {
            ByteBuf rest = held.copy();
            held.release();
            held = rest;
        }
        return body;
    }

    /** Of the answer whose body was last given. */
    public int status() {
        return status;
    }

    private void head() throws BadHttp {
        int end = -1;
        for (int i = held.readerIndex(); i + 3 < held.writerIndex() && end < 0; i++) {
            if (held.getByte(i) == '\r' && held.getInt(i) == 0x0d0a0d0a) {
                end = i;
            }
        }
        if (end < 0 ? held.readableBytes() > LONGEST_HEAD : end - held.readerIndex() > LONGEST_HEAD) {
            throw new BadHttp("head too long");
        }
        if (end < 0) {
            return;
        }
        String[] lines = held.toString(held.readerIndex(), end - held.readerIndex(), StandardCharsets.ISO_8859_1)
                .split("\r\n");
        held.readerIndex(end + 4);
        if (!lines[0].matches("HTTP/1\\.[01] \\d{3}( .*)?")) {
            throw new BadHttp("no status line");
        }
        status = Integer.parseInt(lines[0].substring(9, 12));
        int stated = -1;
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            String name = colon < 0 ? "" : lines[i].substring(0, colon).trim().toLowerCase(Locale.ROOT);
            String value = colon < 0 ? "" : lines[i].substring(colon + 1).trim();
            if (name.equals("transfer-encoding")) {
                throw new BadHttp("an answer in chunks");
            } else if (name.equals("content-length")) {
                if (!value.matches("\\d{1,9}") || stated >= 0 && stated != Integer.parseInt(value)) {
                    throw new BadHttp("length " + value);
                }
                stated = Integer.parseInt(value);
            }
        }
        if (stated < 0 || stated > LONGEST_BODY) {
            throw new BadHttp(stated < 0 ? "no length" : "length " + stated);
        }
        length = stated;
    }

    public void release() {
        if (held != null) {
            held.release();
            held = null;
        }
    }
}
