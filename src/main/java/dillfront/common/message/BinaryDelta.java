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

        InvalidDeltaException(String fault) {
            super(fault);
        }
    }

    /** No text is longer: a message of the system's own, which holds a whole one, is not either. */
    public static final int MAX_BYTES = 1 << 20;

    private static final byte FORMAT_VERSION = 1;

    /** No piece is shorter, but for the last, so that their number is bounded. */
    private static final int MIN_CHUNK = 16;

    /** A run is not worth its own numbers below. */
    private static final int MIN_COPY = 8;

    private BinaryDelta() {}

    public static long digest(byte[] text) {
        CRC32C crc = new CRC32C();
        crc.update(text);
        return crc.getValue();
    }

    /**
     * The same for the same two texts always, and never much longer than the second.
     *
     * @throws IllegalArgumentException where one is longer than any text may be
     */
    public static byte[] create(byte[] base, byte[] next) {
        if (base.length > MAX_BYTES || next.length > MAX_BYTES) {
            throw new IllegalArgumentException(
                    "a text of " + Math.max(base.length, next.length) + " bytes");
        }
        return new Encoder(base, next).encode();
    }

    /** One text, cut; where each piece begins, and the end. */
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

        /** Where this piece stands in the table, or would. */
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
            // The piece of the base that is expected next, as nothing has moved.
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

        /** A piece of its own: what it has in common with the one that stood here, at both ends. */
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

        /** A run and the bytes behind it. */
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
        int sum = readChecksum(in);
        if (length > MAX_BYTES) {
            throw new InvalidDeltaException("a text of " + length + " bytes");
        }
        byte[] text = new byte[length];
        int at = 0;
        int lastEnd = 0;
        while (in.hasRemaining()) {
            int step = readVarint(in);
            int size = step >>> 1;
            if (size == 0 || size > length - at) {
                throw new InvalidDeltaException(
                        "a step of " + size + " bytes at " + at + " of " + length);
            }
            if ((step & 1) != 0) {
                int way = readVarint(in);
                int from = lastEnd + ((way & 1) == 0 ? way >>> 1 : -(way + 1 >>> 1));
                if (from < 0 || from > base.length - size) {
                    throw new InvalidDeltaException(
                            "a run from " + from + " on, of " + size + " bytes");
                }
                System.arraycopy(base, from, text, at, size);
                lastEnd = from + size;
            } else if (size > in.remaining()) {
                throw new InvalidDeltaException("ends within its bytes");
            } else {
                in.get(text, at, size);
            }
            at += size;
        }
        if (at != length || sum != (int) digest(text)) {
            throw new InvalidDeltaException("what it makes is not the text it was made for");
        }
        return text;
    }

    private static int readChecksum(ByteBuffer in) throws InvalidDeltaException {
        if (in.remaining() < 4) {
            throw new InvalidDeltaException("ends within its head");
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
        throw new InvalidDeltaException("a number that does not end");
    }
}
