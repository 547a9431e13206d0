package dillfront.router.pgwire;

import io.netty.buffer.ByteBuf;

/**
 * Decodes one peer's stream into complete messages, each a slice of the buffer it was read into.
 * Owns undecoded data, which is released when consumed and in release().
 */
public final class FrameDecoder {

    /**
     * Limit for client messages: a 64 KiB value in hexadecimal digits plus the statement around it.
     */
    public static final int MAX_CLIENT_MESSAGE_BYTES = (1 << 17) + (1 << 12);

    /** Same limit as PostgreSQL. */
    private static final int MAX_STARTUP_BYTES = 10_000;

    private ByteBuf buffer;
    private final int maxMessageBytes;
    private boolean awaitingStartup;

    /**
     * Creates a decoder for a client's stream, whose first message is an untyped startup message.
     */
    public FrameDecoder() {
        this(MAX_CLIENT_MESSAGE_BYTES);
        awaitingStartup = true;
    }

    /** Creates a decoder for a node's stream with the given maximum message length. */
    public FrameDecoder(int maxMessageBytes) {
        this.maxMessageBytes = maxMessageBytes;
    }

    /** Takes ownership of the buffer. */
    public void add(ByteBuf bytes) {
        if (buffer == null) {
            buffer = bytes;
            return;
        }
        if (buffer.refCnt() > 1) {
            // Slices of the buffer are in use, so it must not grow or move.
            ByteBuf replacement =
                    bytes.alloc().buffer(buffer.readableBytes() + bytes.readableBytes());
            replacement.writeBytes(buffer);
            buffer.release();
            buffer = replacement;
        } else {
            buffer.discardSomeReadBytes();
        }
        buffer.writeBytes(bytes);
        bytes.release();
    }

    /**
     * Returns the next complete message, to be released by the caller; null if it is incomplete.
     */
    public ByteBuf next() throws FrameException {
        int header = awaitingStartup ? 4 : 5;
        if (buffer == null || buffer.readableBytes() < header) {
            return null;
        }
        int length = buffer.getInt(buffer.readerIndex() + header - 4);
        if (length < (awaitingStartup ? 8 : 4)
                || length > (awaitingStartup ? MAX_STARTUP_BYTES : maxMessageBytes)) {
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

    /** Ends the startup phase: every later message has a type byte before its length. */
    public void startupReceived() {
        awaitingStartup = false;
    }

    public int bufferedBytes() {
        return buffer == null ? 0 : buffer.readableBytes();
    }

    /** Releases undecoded data. */
    public void release() {
        if (buffer != null) {
            buffer.release();
            buffer = null;
        }
    }
}
