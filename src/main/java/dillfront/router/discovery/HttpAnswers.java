package dillfront.router.discovery;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Cuts an HTTP/1.1 server's answers out of what it sends. Only answers of a stated length are read.
 * Owns what is not yet cut off; gives it back when it is used up, and in release().
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
        if (end < 0
                ? held.readableBytes() > LONGEST_HEAD
                : end - held.readerIndex() > LONGEST_HEAD) {
            throw new BadHttp("head too long");
        }
        if (end < 0) {
            return;
        }
        String[] lines =
                held.toString(
                                held.readerIndex(),
                                end - held.readerIndex(),
                                StandardCharsets.ISO_8859_1)
                        .split("\r\n");
        held.readerIndex(end + 4);
        String first = lines[0];
        boolean known = first.startsWith("HTTP/1.0 ") || first.startsWith("HTTP/1.1 ");
        int code =
                known && first.length() >= 12 && (first.length() == 12 || first.charAt(12) == ' ')
                        ? number(first.substring(9, 12), 3)
                        : -1;
        if (code < 0) {
            throw new BadHttp("no status line");
        }
        status = code;
        int stated = -1;
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            String name =
                    colon < 0 ? "" : lines[i].substring(0, colon).trim().toLowerCase(Locale.ROOT);
            String value = colon < 0 ? "" : lines[i].substring(colon + 1).trim();
            if (name.equals("transfer-encoding")) {
                throw new BadHttp("an answer in chunks");
            } else if (name.equals("content-length")) {
                int length = number(value, 9);
                if (length < 0 || stated >= 0 && stated != length) {
                    throw new BadHttp("length " + value);
                }
                stated = length;
            }
        }
        if (stated < 0 || stated > LONGEST_BODY) {
            throw new BadHttp(stated < 0 ? "no length" : "length " + stated);
        }
        length = stated;
    }

    /** Digits and nothing else, at most so many; negative where it is no such number. */
    private static int number(String text, int most) {
        int number = text.isEmpty() || text.length() > most ? -1 : 0;
        for (int i = 0; i < text.length() && number >= 0; i++) {
            int digit = text.charAt(i) - '0';
            number = digit >= 0 && digit <= 9 ? number * 10 + digit : -1;
        }
        return number;
    }

    /** Releases what has not been read to its end. */
    public void release() {
        if (held != null) {
            held.release();
            held = null;
        }
    }
}
