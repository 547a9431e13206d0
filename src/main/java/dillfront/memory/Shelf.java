package dillfront.memory;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;

/**
 * Texts under names, and numbers under numbers, in one file that survives the end of the process and of power at any byte. Each
 * put is one record, written and synced before the next, so that a loss takes the last one alone, whole. Once the file is
 * several times what is in it, all that is in it goes into a new one, which takes its place at once. All calls from one thread.
 *
 * <pre>
 *   file    "dillfront memory 2\n"  records
 *   record  4 length of the body   4 CRC32C of the body   body
 *   body    8 number of the record, one more than the one before
 *           4 texts, each  2 length  name in UTF-8  2 length  text in UTF-8; an empty text takes its name out
 *           4 numbers, each  8 key  1 there or not  8 number
 * </pre>
 *
 * Numbers are big-endian. The first record holds all that was there, and under "" the name of the router it belongs to.
 */
final class Shelf {

    /** The file cannot be used, or not now: which, where and why. */
    static final class Broken extends Exception {
        private static final long serialVersionUID = 1;

        Broken(String fault) {
            super(fault);
        }
    }

    /** Another process has the folder. */
    static final class Held extends Exception {
        private static final long serialVersionUID = 1;

        Held(String fault) {
            super(fault);
        }
    }

    static final String FILE = "memory.log";
    private static final String NEXT = "memory.next";
    private static final String ASIDE = "memory.broken";
    private static final Pattern FORMAT = Pattern.compile("dillfront memory (\\d+)\n");
    private static final byte[] HEAD = "dillfront memory 2\n".getBytes(StandardCharsets.US_ASCII);
    private static final int BEFORE_BODY = 8;
    private static final int LEAST_BODY = 16;
    private static final String OWNER = "";
    /** The file may be so many times as long as what is in it, or so long, before it is written anew. */
    private static final int TIMES = 4;
    private static final int LEAST = 1 << 16;

    private final Disk disk;
    private final String where;
    private final Map<String, String> texts = new HashMap<>();
    private final Map<Long, Long> numbers = new HashMap<>();
    /** Of the file, as far as it is good; and of a new one with the same in it. */
    private long length;
    private long live;
    private long record;
    private String cut;
    private boolean aside;
    /** A write failed: what is behind the good part is not known. */
    private boolean doubtful;

    private Shelf(Disk disk, String where) {
        this.disk = disk;
        this.where = where + "/" + FILE;
    }

    /**
     * Opens what is there, or begins.
     *
     * @param where the folder, for what is said of it
     * @param owner the router's name
     * @throws Broken where the file is another router's or of a format that this program does not know, or cannot be read
     */
    static Shelf open(Disk disk, String where, String owner) throws Broken {
        Shelf shelf = new Shelf(disk, where);
        try {
            shelf.read(owner);
        } catch (IOException bad) {
            throw new Broken(shelf.where + ": " + said(bad));
        }
        return shelf;
    }

    private void read(String owner) throws IOException, Broken {
        disk.delete(NEXT);
        byte[] all = disk.read(FILE);
        if (all == null) {
            texts.put(OWNER, owner);
            anew();
            return;
        }
        int at = HEAD.length;
        if (all.length < at || !Arrays.equals(all, 0, at, HEAD, 0, at)) {
            Matcher format = FORMAT.matcher(new String(all, 0, Math.min(all.length, 32), StandardCharsets.US_ASCII));
            if (format.lookingAt()) {
                throw new Broken(where + " is of format " + format.group(1) + ", and this program writes 2");
            }
            aside(all, "no memory");
            texts.put(OWNER, owner);
            anew();
            return;
        }
        int good = records(all, at);
        String its = texts.putIfAbsent(OWNER, owner);
        if (its != null && !its.equals(owner)) {
            throw new Broken(where + " is that of router '" + its + "', and this is '" + owner + "'");
        }
        if (good < all.length) {
            String fault = "of " + all.length + " bytes, those from " + good + " on are no record";
            if (more(all, good)) {
                // Not the tail alone: something that was kept is lost, so the rest is kept for whoever looks into it.
                aside(all, fault);
            } else {
                cut = fault;
            }
        }
        if (good == at || good < all.length) {
            anew();
        } else {
            length = good;
            live = size();
        }
    }

    /** Takes in all records from here on, and returns where the first is that is none. */
    private int records(byte[] all, int from) throws Broken {
        int at = from;
        while (true) {
            int body = body(all, at, at == from ? -1 : record + 1);
            if (body < 0) {
                return at;
            }
            take(ByteBuffer.wrap(all, at + BEFORE_BODY, body));
            at += BEFORE_BODY + body;
        }
    }

    /** How long the body of the record here is; -1 where there is none with this number, or any number where it is negative. */
    private static int body(byte[] all, int at, long number) {
        if (all.length - at < BEFORE_BODY + LEAST_BODY) {
            return -1;
        }
        ByteBuffer in = ByteBuffer.wrap(all, at, all.length - at);
        int length = in.getInt();
        int sum = in.getInt();
        if (length < LEAST_BODY || length > in.remaining() || number >= 0 && in.getLong(in.position()) != number) {
            return -1;
        }
        CRC32C crc = new CRC32C();
        crc.update(all, at + BEFORE_BODY, length);
        return (int) crc.getValue() == sum ? length : -1;
    }

    /** Whether a whole record lies anywhere behind: then it was synced after what is broken. */
    private static boolean more(byte[] all, int from) {
        for (int at = from + 1; at < all.length; at++) {
            if (body(all, at, -1) >= 0) {
                return true;
            }
        }
        return false;
    }

    private void take(ByteBuffer in) throws Broken {
        try {
            record = in.getLong();
            for (int i = in.getInt(); i > 0; i--) {
                String name = text(in);
                put(name, text(in));
            }
            for (int i = in.getInt(); i > 0; i--) {
                long key = in.getLong();
                boolean there = in.get() != 0;
                long number = in.getLong();
                put(key, there ? number : null);
            }
        } catch (BufferUnderflowException bad) {
            throw new Broken(where + ": record " + record + " has a good sum and no form");
        }
    }

    private static String text(ByteBuffer in) {
        byte[] bytes = new byte[in.getShort() & 0xffff];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private void put(String name, String text) {
        if (text.isEmpty()) {
            texts.remove(name);
        } else {
            texts.put(name, text);
        }
    }

    private void put(Long key, Long number) {
        if (number == null) {
            numbers.remove(key);
        } else {
            numbers.put(key, number);
        }
    }

    private void aside(byte[] all, String fault) throws IOException {
        aside = true;
        cut = fault + "; the file as it was is kept as " + ASIDE;
        disk.delete(ASIDE);
        disk.append(ASIDE, ByteBuffer.wrap(all));
        disk.sync(ASIDE);
    }

    /** More than a torn tail was wrong, and the file as it was lies beside. */
    boolean isAside() {
        return aside;
    }

    /** What was wrong with the file that was found; null where nothing was. */
    String fault() {
        return cut == null ? null : where + ": " + cut;
    }

    /**
     * All of it or nothing is there after a loss of power.
     *
     * @param named an empty text takes its name out
     * @param numbered null takes its key out
     */
    void put(Map<String, String> named, Map<Long, Long> numbered) throws Broken {
        try {
            if (doubtful) {
                // A disk that is full gets back what is no longer needed, by this put too: as a whole new file.
                disk.cut(FILE, length);
                Map<String, String> texts = new HashMap<>(this.texts);
                Map<Long, Long> numbers = new HashMap<>(this.numbers);
                named.forEach(this::put);
                numbered.forEach(this::put);
                try {
                    anew();
                    doubtful = false;
                    return;
                } finally {
                    if (doubtful) {
                        this.texts.clear();
                        this.texts.putAll(texts);
                        this.numbers.clear();
                        this.numbers.putAll(numbers);
                    }
                }
            }
            ByteBuffer bytes = record(record + 1, named, numbered);
            int size = bytes.remaining();
            doubtful = true;
            disk.append(FILE, bytes);
            disk.sync(FILE);
            doubtful = false;
            record++;
            length += size;
            named.forEach(this::put);
            numbered.forEach(this::put);
            if (length > Math.max(LEAST, TIMES * live)) {
                live = size();
                if (length > Math.max(LEAST, TIMES * live)) {
                    anew();
                }
            }
        } catch (IOException bad) {
            throw new Broken(where + ": " + said(bad));
        }
    }

    /** All that is here into a new file, which then takes the place of the former. */
    private void anew() throws IOException {
        disk.delete(NEXT);
        ByteBuffer all = record(record + 1, texts, numbers);
        int size = HEAD.length + all.remaining();
        disk.append(NEXT, ByteBuffer.wrap(HEAD));
        disk.append(NEXT, all);
        disk.sync(NEXT);
        disk.rename(NEXT, FILE);
        record++;
        length = size;
        live = size;
    }

    private int size() {
        return HEAD.length + record(0, texts, numbers).remaining();
    }

    private static ByteBuffer record(long number, Map<String, String> named, Map<Long, Long> numbered) {
        int size = LEAST_BODY + numbered.size() * 17;
        byte[][] parts = new byte[2 * named.size()][];
        int at = 0;
        for (Map.Entry<String, String> one : named.entrySet()) {
            parts[at++] = one.getKey().getBytes(StandardCharsets.UTF_8);
            parts[at++] = one.getValue().getBytes(StandardCharsets.UTF_8);
        }
        for (byte[] part : parts) {
            size += 2 + part.length;
        }
        ByteBuffer out = ByteBuffer.allocate(BEFORE_BODY + size);
        out.putInt(size).putInt(0).putLong(number).putInt(named.size());
        for (byte[] part : parts) {
            out.putShort((short) part.length).put(part);
        }
        out.putInt(numbered.size());
        numbered.forEach((key, is) -> out.putLong(key).put((byte) (is == null ? 0 : 1)).putLong(is == null ? 0 : is));
        CRC32C crc = new CRC32C();
        crc.update(out.array(), BEFORE_BODY, size);
        out.putInt(4, (int) crc.getValue());
        return out.flip();
    }

    /** Texts by their names. */
    Map<String, String> all() {
        Map<String, String> all = new HashMap<>(texts);
        all.remove(OWNER);
        return all;
    }

    Map<Long, Long> numbers() {
        return new HashMap<>(numbers);
    }

    void close() {
        disk.close();
    }

    private static String said(IOException bad) {
        String text = String.valueOf(bad.getMessage()).lines().findFirst().orElse("");
        return bad.getClass() == IOException.class ? text : bad.getClass().getSimpleName() + " " + text;
    }
}
