package dillfront.router.discovery;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Decodes an HTTP/1.1 server's responses; only responses with a Content-Length are supported. Owns
 * undecoded data, which is released when consumed and in release().
 */
public final class HttpResponseDecoder {

    private static final int MAX_HEAD_BYTES = 1 << 13;
    private static final int MAX_BODY_BYTES = 1 << 21;

    private ByteBuf buffer;
    private int status;
    private int bodyLength = -1;

    /** Takes ownership of the buffer. */
    public void add(ByteBuf bytes) {
        if (buffer == null) {
            buffer = bytes;
        } else {
            buffer.discardSomeReadBytes();
            buffer.writeBytes(bytes);
            bytes.release();
        }
    }

    /**
     * Returns the body of the next complete response, to be released by the caller; null if it is
     * incomplete.
     */
    public ByteBuf next() throws HttpFormatException {
        if (buffer != null && bodyLength < 0) {
            parseHead();
        }
        if (buffer == null || bodyLength < 0 || buffer.readableBytes() < bodyLength) {
            return null;
        }
        ByteBuf body = buffer.readRetainedSlice(bodyLength);
        bodyLength = -1;
        if (!buffer.isReadable()) {
            release();
        } else {
            ByteBuf remaining = buffer.copy();
            buffer.release();
            buffer = remaining;
        }
        return body;
    }

    /** Returns the status of the response whose body was returned last. */
    public int status() {
        return status;
    }

    private void parseHead() throws HttpFormatException {
        int end = -1;
        for (int i = buffer.readerIndex(); i + 3 < buffer.writerIndex() && end < 0; i++) {
            if (buffer.getByte(i) == '\r' && buffer.getInt(i) == 0x0d0a0d0a) {
                end = i;
            }
        }
        if (end < 0
                ? buffer.readableBytes() > MAX_HEAD_BYTES
                : end - buffer.readerIndex() > MAX_HEAD_BYTES) {
            throw new HttpFormatException("head too long");
        }
        if (end < 0) {
            return;
        }
        String[] lines =
                buffer.toString(
                                buffer.readerIndex(),
                                end - buffer.readerIndex(),
                                StandardCharsets.ISO_8859_1)
                        .split("\r\n");
        buffer.readerIndex(end + 4);
        String statusLine = lines[0];
        boolean isHttp1 = statusLine.startsWith("HTTP/1.0 ") || statusLine.startsWith("HTTP/1.1 ");
        int statusCode =
                isHttp1
                                && statusLine.length() >= 12
                                && (statusLine.length() == 12 || statusLine.charAt(12) == ' ')
                        ? parseDigits(statusLine.substring(9, 12), 3)
                        : -1;
        if (statusCode < 0) {
            throw new HttpFormatException("no status line");
        }
        status = statusCode;
        int contentLength = -1;
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            String name =
                    colon < 0 ? "" : lines[i].substring(0, colon).trim().toLowerCase(Locale.ROOT);
            String value = colon < 0 ? "" : lines[i].substring(colon + 1).trim();
            if (name.equals("transfer-encoding")) {
                throw new HttpFormatException("an answer in chunks");
            } else if (name.equals("content-length")) {
                int length = parseDigits(value, 9);
                if (length < 0 || contentLength >= 0 && contentLength != length) {
                    throw new HttpFormatException("length " + value);
                }
                contentLength = length;
            }
        }
        if (contentLength < 0 || contentLength > MAX_BODY_BYTES) {
            throw new HttpFormatException(
                    contentLength < 0 ? "no length" : "length " + contentLength);
        }
        bodyLength = contentLength;
    }

    /**
     * Parses at most the given number of decimal digits; returns a negative number for any other
     * text.
     */
    private static int parseDigits(String text, int maxDigits) {
        int number = text.isEmpty() || text.length() > maxDigits ? -1 : 0;
        for (int i = 0; i < text.length() && number >= 0; i++) {
            int digit = text.charAt(i) - '0';
            number = digit >= 0 && digit <= 9 ? number * 10 + digit : -1;
        }
        return number;
    }

    /** Releases undecoded data. */
    public void release() {
        if (buffer != null) {
            buffer.release();
            buffer = null;
        }
    }
}
