package dillfront.common.message;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * Computes and applies a binary delta between two byte strings that are mostly equal: a sequence of
 * copies from the base, and of literal bytes. Both inputs are split into chunks after each '}' and
 * '[', so that unchanged objects of a list are found wherever they moved.
 *
 * <pre>
 *   delta   1 format   length and CRC32C of the base   length and CRC32C of the target   steps
 *   step    varint  length * 2, plus one for a copy
 *           copy:     varint  offset in the base relative to the end of the previous copy: offset * 2, or -offset * 2 - 1
 *           literal:  the bytes
 * </pre>
 *
 * A varint has seven bits per byte, lowest bits first; checksums are four bytes, big-endian.
 */
public final class BinaryDelta {

    /** Reports a malformed delta, or one of another base. */
    public static final class InvalidDeltaException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidDeltaException(String fault) {
            super(fault);
        }
    }

    /**
     * Maximum length of an input. Messages between the system's processes, which may carry a full
     * configuration, are bounded as well.
     */
    public static final int MAX_BYTES = 1 << 20;

    private static final byte FORMAT_VERSION = 1;

    /** Minimum length of all chunks but the last, which bounds their number. */
    private static final int MIN_CHUNK = 16;

    /** Minimum length of a partial copy; a shorter one does not pay for its header. */
    private static final int MIN_COPY = 8;

    private BinaryDelta() {}

    public static long digest(byte[] text) {
        CRC32C crc = new CRC32C();
        crc.update(text);
        return crc.getValue();
    }

    /**
     * Returns the delta from one byte string to another. The result is deterministic, and never
     * much longer than the target.
     *
     * @throws IllegalArgumentException if an input is longer than {@link #MAX_BYTES}
     */
    public static byte[] create(byte[] base, byte[] next) {
        if (base.length > MAX_BYTES || next.length > MAX_BYTES) {
            throw new IllegalArgumentException(
                    "input is too long: " + Math.max(base.length, next.length) + " bytes");
        }
        return new Encoder(base, next).encode();
    }

    /** Returns the start of each chunk, followed by the length of the input. */
    private static int[] chunkBounds(byte[] text) {
        int[] from = new int[text.length / MIN_CHUNK + 2];
        int count = 1;
        for (int i = 0; i < text.length; i++) {
            if ((text[i] == '}' || text[i] == '[')
                    && i + 1 - from[count - 1] >= MIN_CHUNK
                    && i + 1 < text.length) {
                from[count++] = i + 1;
            }
        }
        from[count++] = text.length;
        return Arrays.copyOf(from, count);
    }

    private static final class Encoder {

        private final byte[] base;
        private final byte[] target;
        private final int[] baseChunks;

        /**
         * Open-addressing hash table of the base's chunks by content. Each entry is one more than
         * the index of the first chunk with this content.
         */
        private final int[] chunkIndex;

        private final ByteArrayOutputStream out = new ByteArrayOutputStream();

        /** The pending copy, and the pending literal of the target that follows it. */
        private int copyStart;

        private int copyEnd;
        private int literalStart;
        private int literalEnd;
        private int lastCopyEnd;

        Encoder(byte[] base, byte[] next) {
            this.base = base;
            this.target = next;
            baseChunks = chunkBounds(base);
            chunkIndex = new int[Integer.highestOneBit(baseChunks.length) * 4];
            for (int k = 0; k < baseChunks.length - 1; k++) {
                int slot = slot(base, baseChunks[k], baseChunks[k + 1]);
                if (chunkIndex[slot] == 0) {
                    chunkIndex[slot] = k + 1;
                }
            }
        }

        /** Returns the slot of a chunk in the hash table, or the free slot for it. */
        private int slot(byte[] text, int from, int to) {
            long hash = to - from;
            for (int i = from; i < to; i++) {
                hash = (hash ^ text[i]) * 0x9E3779B97F4A7C15L;
                hash ^= hash >>> 29;
            }
            int slot = (int) (hash >>> 32) & chunkIndex.length - 1;
            while (chunkIndex[slot] != 0
                    && !Arrays.equals(
                            base,
                            baseChunks[chunkIndex[slot] - 1],
                            baseChunks[chunkIndex[slot]],
                            text,
                            from,
                            to)) {
                slot = slot + 1 & chunkIndex.length - 1;
            }
            return slot;
        }

        byte[] encode() {
            out.write(FORMAT_VERSION);
            writeHeader(base);
            writeHeader(target);
            int[] targetChunks = chunkBounds(target);
            // The chunk of the base that follows if nothing has moved.
            int expected = 0;
            for (int k = 0; k < targetChunks.length - 1; k++) {
                int from = targetChunks[k];
                int to = targetChunks[k + 1];
                if (expected >= baseChunks.length - 1
                        || !Arrays.equals(
                                base,
                                baseChunks[expected],
                                baseChunks[expected + 1],
                                target,
                                from,
                                to)) {
                    int found = chunkIndex[slot(target, from, to)] - 1;
                    if (found < 0) {
                        expected += addChangedChunk(expected, from, to) ? 1 : 0;
                        continue;
                    }
                    expected = found;
                }
                addCopy(baseChunks[expected], baseChunks[expected + 1]);
                expected++;
            }
            flush();
            return out.toByteArray();
        }

        /**
         * Adds a chunk that is not in the base, as copies of the prefix and suffix that it shares
         * with the base's chunk at this position, and a literal between them.
         */
        private boolean addChangedChunk(int at, int from, int to) {
            int first = at < baseChunks.length - 1 ? baseChunks[at] : base.length;
            int last = at < baseChunks.length - 1 ? baseChunks[at + 1] : base.length;
            int common = Math.min(to - from, last - first);
            int prefix = Arrays.mismatch(base, first, first + common, target, from, from + common);
            prefix = prefix < 0 ? common : prefix;
            int suffix = 0;
            while (suffix < common - prefix && base[last - 1 - suffix] == target[to - 1 - suffix]) {
                suffix++;
            }
            prefix = prefix < MIN_COPY ? 0 : prefix;
            suffix = suffix < MIN_COPY ? 0 : suffix;
            addCopy(first, first + prefix);
            addLiteral(from + prefix, to - suffix);
            addCopy(last - suffix, last);
            return prefix + suffix > 0;
        }

        private void addCopy(int from, int to) {
            if (from == to) {
                return;
            }
            if (literalStart == literalEnd && copyEnd == from && copyStart < copyEnd) {
                copyEnd = to;
                return;
            }
            flush();
            copyStart = from;
            copyEnd = to;
        }

        private void addLiteral(int from, int to) {
            if (from == to) {
                return;
            }
            if (literalStart == literalEnd) {
                literalStart = from;
            }
            literalEnd = to;
        }

        /** Writes the pending copy and the literal after it. */
        private void flush() {
            if (copyStart < copyEnd) {
                writeVarint((copyEnd - copyStart) * 2 + 1);
                int way = copyStart - lastCopyEnd;
                writeVarint(way >= 0 ? way * 2 : -way * 2 - 1);
                lastCopyEnd = copyEnd;
                copyStart = copyEnd;
            }
            if (literalStart < literalEnd) {
                writeVarint((literalEnd - literalStart) * 2);
                out.write(target, literalStart, literalEnd - literalStart);
                literalStart = literalEnd;
            }
        }

        private void writeHeader(byte[] text) {
            writeVarint(text.length);
            out.writeBytes(ByteBuffer.allocate(4).putInt((int) digest(text)).array());
        }

        private void writeVarint(int is) {
            int rest = is;
            for (; rest > 0x7f; rest >>>= 7) {
                out.write(rest & 0x7f | 0x80);
            }
            out.write(rest);
        }
    }

    /**
     * Applies a delta to its base, which is left unmodified.
     *
     * @throws InvalidDeltaException if the delta is damaged or belongs to another base
     */
    public static byte[] apply(byte[] base, byte[] delta) throws InvalidDeltaException {
        ByteBuffer in = ByteBuffer.wrap(delta);
        if (!in.hasRemaining() || in.get() != FORMAT_VERSION) {
            throw new InvalidDeltaException("unknown delta format");
        }
        if (readVarint(in) != base.length || readChecksum(in) != (int) digest(base)) {
            throw new InvalidDeltaException("delta does not match the base");
        }
        int length = readVarint(in);
        int sum = readChecksum(in);
        if (length > MAX_BYTES) {
            throw new InvalidDeltaException("target is too long: " + length + " bytes");
        }
        byte[] text = new byte[length];
        int at = 0;
        int lastEnd = 0;
        while (in.hasRemaining()) {
            int step = readVarint(in);
            int size = step >>> 1;
            if (size == 0 || size > length - at) {
                throw new InvalidDeltaException(
                        "invalid step of "
                                + size
                                + " bytes at byte "
                                + at
                                + " of a target of length "
                                + length);
            }
            if ((step & 1) != 0) {
                int way = readVarint(in);
                int from = lastEnd + ((way & 1) == 0 ? way >>> 1 : -(way + 1 >>> 1));
                if (from < 0 || from > base.length - size) {
                    throw new InvalidDeltaException(
                            "copy out of bounds: from byte "
                                    + from
                                    + " of the base, length "
                                    + size
                                    + " bytes");
                }
                System.arraycopy(base, from, text, at, size);
                lastEnd = from + size;
            } else if (size > in.remaining()) {
                throw new InvalidDeltaException("truncated literal");
            } else {
                in.get(text, at, size);
            }
            at += size;
        }
        if (at != length || sum != (int) digest(text)) {
            throw new InvalidDeltaException(
                    "result does not match the target's length and checksum");
        }
        return text;
    }

    private static int readChecksum(ByteBuffer in) throws InvalidDeltaException {
        if (in.remaining() < 4) {
            throw new InvalidDeltaException("truncated header");
        }
        return in.getInt();
    }

    private static int readVarint(ByteBuffer in) throws InvalidDeltaException {
        int is = 0;
        for (int shift = 0; shift < 28; shift += 7) {
            if (!in.hasRemaining()) {
                break;
            }
            byte part = in.get();
            is |= (part & 0x7f) << shift;
            if (part >= 0) {
                return is;
            }
        }
        throw new InvalidDeltaException("invalid varint");
    }
}
