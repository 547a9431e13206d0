package dillfront.common.message;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * What turns one text into another, where most of it stays: runs that are copied from the base, and
 * bytes between them. Both are cut into pieces behind each '}' and '[', so that a list of objects
 * of which a few changed is found again whatever moved.
 *
 * <pre>
 *   delta   1 form   length and CRC32C of the base   length and CRC32C of the text   steps
 *   step    number  length * 2, and one more for a run that is copied
 *           a run:  number  from where in the base, as the way from the end of the run before: way * 2, or -way * 2 - 1
 *           else:   the bytes
 * </pre>
 *
 * Lengths and numbers are of seven bits a byte, the lowest first; sums are four bytes, big-endian.
 */
public final class BinaryDelta {

    /** This is no delta, or not one of this base. */
    public static final class InvalidDeltaException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidDeltaException(String message) {
            super(message);
        }
    }

    /** No text is longer: a message of the system's own, which holds a whole one, is not either. */
    public static final int MAX_BYTES = 1 << 20;

    private static final byte FORMAT_VERSION = 1;

    /** No piece is shorter, but for the last, so that their number is bounded. */
    private static final int MIN_CHUNK_BYTES = 16;

    /** A run is not worth its own numbers below. */
    private static final int MIN_COPY_BYTES = 8;

    private BinaryDelta() {}

    public static long digest(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return crc.getValue();
    }

    /**
     * The same for the same two texts always, and never much longer than the second.
     *
     * @throws IllegalArgumentException where one is longer than any text may be
     */
    public static byte[] create(byte[] base, byte[] target) {
        if (base.length > MAX_BYTES || target.length > MAX_BYTES) {
            throw new IllegalArgumentException(
                    "a text of " + Math.max(base.length, target.length) + " bytes");
        }
        return new Encoder(base, target).encode();
    }

    /** One text, cut; where each piece begins, and the end. */
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
         * Pieces of the base by their content: one more than the number of the first, at the place
         * of its hash or behind it.
         */
        private final int[] chunkIndex;

        private final ByteArrayOutputStream out = new ByteArrayOutputStream();

        /** The run that is not written yet, and the bytes of the text that wait before it. */
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

        /** Where this piece stands in the table, or would. */
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
            // The piece of the base that is expected next, as nothing has moved.
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

        /** A piece of its own: what it has in common with the one that stood here, at both ends. */
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

        /** A run and the bytes behind it. */
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
     * The text that the delta makes of this base, which is left as it is.
     *
     * @throws Bad where it is of another base, or damaged: then there is no text at all
     */
    public static byte[] apply(byte[] base, byte[] delta) throws InvalidDeltaException {
        ByteBuffer in = ByteBuffer.wrap(delta);
        if (!in.hasRemaining() || in.get() != FORMAT_VERSION) {
            throw new InvalidDeltaException("no delta of a form that is known");
        }
        if (readVarint(in) != base.length || readChecksum(in) != (int) digest(base)) {
            throw new InvalidDeltaException("a delta of another base");
        }
        int length = readVarint(in);
        int checksum = readChecksum(in);
        if (length > MAX_BYTES) {
            throw new InvalidDeltaException("a text of " + length + " bytes");
        }
        byte[] target = new byte[length];
        int position = 0;
        int lastEnd = 0;
        while (in.hasRemaining()) {
            int step = readVarint(in);
            int size = step >>> 1;
            if (size == 0 || size > length - position) {
                throw new InvalidDeltaException(
                        "a step of " + size + " bytes at " + position + " of " + length);
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
                            "a run from " + from + " on, of " + size + " bytes");
                }
                System.arraycopy(base, from, target, position, size);
                lastEnd = from + size;
            } else if (size > in.remaining()) {
                throw new InvalidDeltaException("ends within its bytes");
            } else {
                in.get(target, position, size);
            }
            position += size;
        }
        if (position != length || checksum != (int) digest(target)) {
            throw new InvalidDeltaException("what it makes is not the text it was made for");
        }
        return target;
    }

    private static int readChecksum(ByteBuffer in) throws InvalidDeltaException {
        if (in.remaining() < 4) {
            throw new InvalidDeltaException("ends within its head");
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
        throw new InvalidDeltaException("a number that does not end");
    }
}
