package dillfront.router.pgwire;

import io.netty.buffer.ByteBuf;

/**
 * Cuts what one peer sends into whole messages, each a slice of the buffer it was read into. Owns
 * what is not yet cut off; gives it back when it is used up, and in release().
 */
public final class Frames {

    /** Of a client's: a value of 64 KiB in hexadecimal digits, and a statement round it. */
    public static final int LONGEST = (1 << 17) + (1 << 12);

    /** As PostgreSQL bounds it. */
    private static final int LONGEST_STARTUP = 10_000;

    private ByteBuf held;
    private final int longest;
    private boolean untyped;

    /** A client's. The first message has no type: its startup. */
    public Frames() {
        this(LONGEST);
        untyped = true;
    }

    /** A node's, with messages of at most this length. */
    public Frames(int longest) {
        this.longest = longest;
    }

    /** Takes the buffer over. */
    public void add(ByteBuf in) {
        if (held == null) {
            held = in;
            return;
        }
        if (held.refCnt() > 1) {
            // Slices of it are in use elsewhere: it must not grow or move under them.
            ByteBuf fresh = in.alloc().buffer(held.readableBytes() + in.readableBytes());
            fresh.writeBytes(held);
            held.release();
            held = fresh;
        } else {
            held.discardSomeReadBytes();
        }
        held.writeBytes(in);
        in.release();
    }

    /** The next whole message, to be released by the caller; null until one is there. */
    public ByteBuf next() throws BadFrame {
        int header = untyped ? 4 : 5;
        if (held == null || held.readableBytes() < header) {
            return null;
        }
        int length = held.getInt(held.readerIndex() + header - 4);
        if (length < (untyped ? 8 : 4) || length > (untyped ? LONGEST_STARTUP : longest)) {
            throw new BadFrame("message length " + length);
        }
        int whole = length + header - 4;
        if (held.readableBytes() < whole) {
            return null;
        }
        ByteBuf frame = held.readRetainedSlice(whole);
        if (!held.isReadable()) {
            release();
        }
        return frame;
    }

    /** The startup is over: from now on each message has its type before its length. */
    public void typed() {
        untyped = false;
    }

    public int waiting() {
        return held == null ? 0 : held.readableBytes();
    }

    /** Releases what has not been read to its end. */
    public void release() {
        if (held != null) {
            held.release();
            held = null;
        }
    }
}
