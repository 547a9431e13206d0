package dillfront.host;

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
public final class Delta {

    /** This is no delta, or not one of this base. */
    public static final class Bad extends Exception {
        private static final long serialVersionUID = 1;

        Bad(String fault) {
            super(fault);
        }
    }

    /** No text is longer: a message of the system's own, which holds a whole one, is not either. */
    public static final int MOST = 1 << 20;

    private static final byte FORM = 1;

    /** No piece is shorter, but for the last, so that their number is bounded. */
    private static final int LEAST_PIECE = 16;

    /** A run is not worth its own numbers below. */
    private static final int LEAST_RUN = 8;

    private Delta() {}

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
    public static byte[] of(byte[] base, byte[] next) {
        if (base.length > MOST || next.length > MOST) {
            throw new IllegalArgumentException(
                    "a text of " + Math.max(base.length, next.length) + " bytes");
        }
        return new Writer(base, next).write();
    }

    /** One text, cut; where each piece begins, and the end. */
    private static int[] pieces(byte[] text) {
        int[] from = new int[text.length / LEAST_PIECE + 2];
        int count = 1;
        for (int i = 0; i < text.length; i++) {
            if ((text[i] == '}' || text[i] == '[')
                    && i + 1 - from[count - 1] >= LEAST_PIECE
                    && i + 1 < text.length) {
                from[count++] = i + 1;
            }
        }
        from[count++] = text.length;
        return Arrays.copyOf(from, count);
    }

    private static final class Writer {

        private final byte[] base;
        private final byte[] next;
        private final int[] olds;

        /**
         * Pieces of the base by their content: one more than the number of the first, at the place
         * of its hash or behind it.
         */
        private final int[] table;

        private final ByteArrayOutputStream out = new ByteArrayOutputStream();

        /** The run that is not written yet, and the bytes of the text that wait before it. */
        private int runFrom;

        private int runEnd;
        private int bytesFrom;
        private int bytesEnd;
        private int lastEnd;

        Writer(byte[] base, byte[] next) {
            this.base = base;
            this.next = next;
            olds = pieces(base);
            table = new int[Integer.highestOneBit(olds.length) * 4];
            for (int k = 0; k < olds.length - 1; k++) {
                int slot = slot(base, olds[k], olds[k + 1]);
                if (table[slot] == 0) {
                    table[slot] = k + 1;
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
            int slot = (int) (hash >>> 32) & table.length - 1;
            while (table[slot] != 0
                    && !Arrays.equals(
                            base, olds[table[slot] - 1], olds[table[slot]], text, from, to)) {
                slot = slot + 1 & table.length - 1;
            }
            return slot;
        }

        byte[] write() {
            out.write(FORM);
            head(base);
            head(next);
            int[] news = pieces(next);
            // The piece of the base that is expected next, as nothing has moved.
            int at = 0;
            for (int k = 0; k < news.length - 1; k++) {
                int from = news[k];
                int to = news[k + 1];
                if (at >= olds.length - 1
                        || !Arrays.equals(base, olds[at], olds[at + 1], next, from, to)) {
                    int found = table[slot(next, from, to)] - 1;
                    if (found < 0) {
                        at += changed(at, from, to) ? 1 : 0;
                        continue;
                    }
                    at = found;
                }
                run(olds[at], olds[at + 1]);
                at++;
            }
            flush();
            return out.toByteArray();
        }

        /** A piece of its own: what it has in common with the one that stood here, at both ends. */
        private boolean changed(int at, int from, int to) {
            int first = at < olds.length - 1 ? olds[at] : base.length;
            int last = at < olds.length - 1 ? olds[at + 1] : base.length;
            int same = Math.min(to - from, last - first);
            int before = Arrays.mismatch(base, first, first + same, next, from, from + same);
            before = before < 0 ? same : before;
            int behind = 0;
            while (behind < same - before && base[last - 1 - behind] == next[to - 1 - behind]) {
                behind++;
            }
            before = before < LEAST_RUN ? 0 : before;
            behind = behind < LEAST_RUN ? 0 : behind;
            run(first, first + before);
            bytes(from + before, to - behind);
            run(last - behind, last);
            return before + behind > 0;
        }

        private void run(int from, int to) {
            if (from == to) {
                return;
            }
            if (bytesFrom == bytesEnd && runEnd == from && runFrom < runEnd) {
                runEnd = to;
                return;
            }
            flush();
            runFrom = from;
            runEnd = to;
        }

        private void bytes(int from, int to) {
            if (from == to) {
                return;
            }
            if (bytesFrom == bytesEnd) {
                bytesFrom = from;
            }
            bytesEnd = to;
        }

        /** A run and the bytes behind it. */
        private void flush() {
            if (runFrom < runEnd) {
                number((runEnd - runFrom) * 2 + 1);
                int way = runFrom - lastEnd;
                number(way >= 0 ? way * 2 : -way * 2 - 1);
                lastEnd = runEnd;
                runFrom = runEnd;
            }
            if (bytesFrom < bytesEnd) {
                number((bytesEnd - bytesFrom) * 2);
                out.write(next, bytesFrom, bytesEnd - bytesFrom);
                bytesFrom = bytesEnd;
            }
        }

        private void head(byte[] text) {
            number(text.length);
            out.writeBytes(ByteBuffer.allocate(4).putInt((int) digest(text)).array());
        }

        private void number(int is) {
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
    public static byte[] apply(byte[] base, byte[] delta) throws Bad {
        ByteBuffer in = ByteBuffer.wrap(delta);
        if (!in.hasRemaining() || in.get() != FORM) {
            throw new Bad("no delta of a form that is known");
        }
        if (number(in) != base.length || sum(in) != (int) digest(base)) {
            throw new Bad("a delta of another base");
        }
        int length = number(in);
        int sum = sum(in);
        if (length > MOST) {
            throw new Bad("a text of " + length + " bytes");
        }
        byte[] text = new byte[length];
        int at = 0;
        int lastEnd = 0;
        while (in.hasRemaining()) {
            int step = number(in);
            int size = step >>> 1;
            if (size == 0 || size > length - at) {
                throw new Bad("a step of " + size + " bytes at " + at + " of " + length);
            }
            if ((step & 1) != 0) {
                int way = number(in);
                int from = lastEnd + ((way & 1) == 0 ? way >>> 1 : -(way + 1 >>> 1));
                if (from < 0 || from > base.length - size) {
                    throw new Bad("a run from " + from + " on, of " + size + " bytes");
                }
                System.arraycopy(base, from, text, at, size);
                lastEnd = from + size;
            } else if (size > in.remaining()) {
                throw new Bad("ends within its bytes");
            } else {
                in.get(text, at, size);
            }
            at += size;
        }
        if (at != length || sum != (int) digest(text)) {
            throw new Bad("what it makes is not the text it was made for");
        }
        return text;
    }

    private static int sum(ByteBuffer in) throws Bad {
        if (in.remaining() < 4) {
            throw new Bad("ends within its head");
        }
        return in.getInt();
    }

    private static int number(ByteBuffer in) throws Bad {
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
        throw new Bad("a number that does not end");
    }
}
