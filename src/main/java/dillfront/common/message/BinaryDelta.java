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

        InvalidDeltaException(String message) {
            super(message);
        }
    }

    /**
     * Maximum length of an input. Messages between the system's processes, which may carry a full
     * configuration, are bounded as well.
     */
    public static final int MAX_BYTES = 1 << 20;

    private static final byte FORMAT_VERSION = 1;

    /** Minimum length of all chunks but the last, which bounds their number. */
    private static final int MIN_CHUNK_BYTES = 16;

    /** Minimum length of a partial copy; a shorter one does not pay for its header. */
    private static final int MIN_COPY_BYTES = 8;

    private BinaryDelta() {}

    public static long digest(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return crc.getValue();
    }

    /**
     * Returns the delta from one byte string to another. The result is deterministic, and never
     * much longer than the target.
     *
     * @throws IllegalArgumentException if an input is longer than {@link #MAX_BYTES}
     */
    public static byte[] create(byte[] base, byte[] target) {
        if (base.length > MAX_BYTES || target.length > MAX_BYTES) {
            throw new IllegalArgumentException(
                    "input is too long: " + Math.max(base.length, target.length) + " bytes");
        }
        return new Encoder(base, target).encode();
    }

    /** Returns the start of each chunk, followed by the length of the input. */
    private static int[] chunkBounds(byte[] input) {
        int[] bounds = new int[input.length / MIN_CHUNK_BYTES + 2];
        int count = 1;
        for (int i = 0; i < input.length; i++) {
            if ((input[i] == '}' || input[i] == '[')
                    && i + 1 - bounds[count - 1] >= MIN_CHUNK_BYTES
                    && i + 1 < input.length) {
                bounds[count++] = i + 1;
            }
        }
        bounds[count++] = input.length;
        return Arrays.copyOf(bounds, count);
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

        Encoder(byte[] base, byte[] target) {
            this.base = base;
            this.target = target;
            baseChunks = chunkBounds(base);
            chunkIndex = new int[Integer.highestOneBit(baseChunks.length) * 4];
            for (int chunk = 0; chunk < baseChunks.length - 1; chunk++) {
                int slot = slot(base, baseChunks[chunk], baseChunks[chunk + 1]);
                if (chunkIndex[slot] == 0) {
                    chunkIndex[slot] = chunk + 1;
                }
            }
        }

        /** Returns the slot of a chunk in the hash table, or the free slot for it. */
        private int slot(byte[] input, int from, int to) {
            long hash = to - from;
            for (int i = from; i < to; i++) {
                hash = (hash ^ input[i]) * 0x9E3779B97F4A7C15L;
                hash ^= hash >>> 29;
            }
            int slot = (int) (hash >>> 32) & chunkIndex.length - 1;
            while (chunkIndex[slot] != 0
                    && !Arrays.equals(
                            base,
                            baseChunks[chunkIndex[slot] - 1],
                            baseChunks[chunkIndex[slot]],
                            input,
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
            for (int chunk = 0; chunk < targetChunks.length - 1; chunk++) {
                int from = targetChunks[chunk];
                int to = targetChunks[chunk + 1];
                if (expected >= baseChunks.length - 1
                        || !Arrays.equals(
                                base,
                                baseChunks[expected],
                                baseChunks[expected + 1],
                                target,
                                from,
                                to)) {
                    int index = chunkIndex[slot(target, from, to)] - 1;
                    if (index < 0) {
                        expected += addChangedChunk(expected, from, to) ? 1 : 0;
                        continue;
                    }
                    expected = index;
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
        private boolean addChangedChunk(int expected, int from, int to) {
            int baseFrom = expected < baseChunks.length - 1 ? baseChunks[expected] : base.length;
            int baseTo = expected < baseChunks.length - 1 ? baseChunks[expected + 1] : base.length;
            int maxCommon = Math.min(to - from, baseTo - baseFrom);
            int prefix =
                    Arrays.mismatch(
                            base, baseFrom, baseFrom + maxCommon, target, from, from + maxCommon);
            prefix = prefix < 0 ? maxCommon : prefix;
            int suffix = 0;
            while (suffix < maxCommon - prefix
                    && base[baseTo - 1 - suffix] == target[to - 1 - suffix]) {
                suffix++;
            }
            prefix = prefix < MIN_COPY_BYTES ? 0 : prefix;
            suffix = suffix < MIN_COPY_BYTES ? 0 : suffix;
            addCopy(baseFrom, baseFrom + prefix);
            addLiteral(from + prefix, to - suffix);
            addCopy(baseTo - suffix, baseTo);
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
                int offset = copyStart - lastCopyEnd;
                writeVarint(offset >= 0 ? offset * 2 : -offset * 2 - 1);
                lastCopyEnd = copyEnd;
                copyStart = copyEnd;
            }
            if (literalStart < literalEnd) {
                writeVarint((literalEnd - literalStart) * 2);
                out.write(target, literalStart, literalEnd - literalStart);
                literalStart = literalEnd;
            }
        }

        private void writeHeader(byte[] input) {
            writeVarint(input.length);
            out.writeBytes(ByteBuffer.allocate(4).putInt((int) digest(input)).array());
        }

        private void writeVarint(int value) {
            int rest = value;
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
        int checksum = readChecksum(in);
        if (length > MAX_BYTES) {
            throw new InvalidDeltaException("target is too long: " + length + " bytes");
        }
        byte[] target = new byte[length];
        int position = 0;
        int lastEnd = 0;
        while (in.hasRemaining()) {
            int step = readVarint(in);
            int size = step >>> 1;
            if (size == 0 || size > length - position) {
                throw new InvalidDeltaException(
                        "invalid step of "
                                + size
                                + " bytes at byte "
                                + position
                                + " of a target of length "
                                + length);
            }
            if ((step & 1) != 0) {
                int encodedOffset = readVarint(in);
                int from =
                        lastEnd
                                + ((encodedOffset & 1) == 0
                                        ? encodedOffset >>> 1
                                        : -(encodedOffset + 1 >>> 1));
                if (from < 0 || from > base.length - size) {
                    throw new InvalidDeltaException(
                            "copy out of bounds: from byte "
                                    + from
                                    + " of the base, length "
                                    + size
                                    + " bytes");
                }
                System.arraycopy(base, from, target, position, size);
                lastEnd = from + size;
            } else if (size > in.remaining()) {
                throw new InvalidDeltaException("truncated literal");
            } else {
                in.get(target, position, size);
            }
            position += size;
        }
        if (position != length || checksum != (int) digest(target)) {
            throw new InvalidDeltaException(
                    "result does not match the target's length and checksum");
        }
        return target;
    }

    private static int readChecksum(ByteBuffer in) throws InvalidDeltaException {
        if (in.remaining() < 4) {
            throw new InvalidDeltaException("truncated header");
        }
        return in.getInt();
    }

    private static int readVarint(ByteBuffer in) throws InvalidDeltaException {
        int value = 0;
        for (int shift = 0; shift < 28; shift += 7) {
            if (!in.hasRemaining()) {
                break;
            }
            byte next = in.get();
            value |= (next & 0x7f) << shift;
            if (next >= 0) {
                return value;
            }
        }
        throw new InvalidDeltaException("invalid varint");
    }
}
