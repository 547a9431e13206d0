package dillfront.router.pgwire;

import io.netty.buffer.ByteBuf;

/**
 * Cuts what one peer sends into whole messages, each a slice of the buffer it was read into. Owns
 * what is not yet cut off; gives it back when it is used up, and in release().
 */
public final class FrameDecoder {

    /** Of a client's: a value of 64 KiB in hexadecimal digits, and a statement round it. */
    public static final int MAX_CLIENT_MESSAGE_BYTES = (1 << 17) + (1 << 12);

    /** As PostgreSQL bounds it. */
    private static final int MAX_STARTUP_BYTES = 10_000;

    private ByteBuf buffer;
    private final int maxMessageBytes;
    private boolean awaitingStartup;

    /** A client's. The first message has no type: its startup. */
    public FrameDecoder() {
        this(MAX_CLIENT_MESSAGE_BYTES);
        awaitingStartup = true;
    }

    /** A node's, with messages of at most this length. */
    public FrameDecoder(int longest) {
        this.maxMessageBytes = longest;
    }

    /** Takes the buffer over. */
    public void add(ByteBuf bytes) {
        if (buffer == null) {
            buffer = bytes;
            return;
        }
        if (buffer.refCnt() > 1) {
            // Slices of it are in use elsewhere: it must not grow or move under them.
            ByteBuf replacement = bytes.alloc().buffer(buffer.readableBytes() + bytes.readableBytes());
            replacement.writeBytes(buffer);
            buffer.release();
            buffer = replacement;
        } else {
            buffer.discardSomeReadBytes();
        }
        buffer.writeBytes(bytes);
        bytes.release();
    }

    /** The next whole message, to be released by the caller; null until one is there. */
    public ByteBuf next() throws FrameException {
        int header = awaitingStartup ? 4 : 5;
        if (buffer == null || buffer.readableBytes() < header) {
            return null;
        }
        int length = buffer.getInt(buffer.readerIndex() + header - 4);
        if (length < (awaitingStartup ? 8 : 4) || length > (awaitingStartup ? MAX_STARTUP_BYTES : maxMessageBytes)) {
            throw new FrameException("message length " + length);
        }
        int totalLength = length + header - 4;
        if (buffer.readableBytes() < totalLength) {
            return null;
        }
        ByteBuf frame = buffer.readRetainedSlice(totalLength);
        if (!buffer.isReadable()) {
            release();
        }
        return frame;
    }

    /** The startup is over: from now on each message has its type before its length. */
    public void startupReceived() {
        awaitingStartup = false;
    }

    public int bufferedBytes() {
        return buffer == null ? 0 : buffer.readableBytes();
    }

    /** Releases what has not been read to its end. */
    public void release() {
        if (buffer != null) {
            buffer.release();
            buffer = null;
        }
    }
}
