package dillfront.common.storage;

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
 * Texts under names, and numbers under numbers, in one file that survives the end of the process
 * and of power at any byte. Each put is one record, written and synced before the next, so that a
 * loss takes the last one alone, whole. Once the file is several times what is in it, all that is
 * in it goes into a new one, which takes its place at once. All calls from one thread.
 *
 * <pre>
 *   file    "dillfront memory 2\n"  records
 *   record  4 length of the body   4 CRC32C of the body   body
 *   body    8 number of the record, one more than the one before
 *           4 texts, each  2 length  name in UTF-8  2 length  text in UTF-8; an empty text takes its name out
 *           4 numbers, each  8 key  1 there or not  8 number
 * </pre>
 *
 * Numbers are big-endian. The first record holds all that was there, and under "" the name of the
 * router it belongs to.
 */
public final class Shelf {

    /** The file cannot be used, or not now: which, where and why. */
    public static final class Broken extends Exception {
        private static final long serialVersionUID = 1;

        Broken(String fault) {
            super(fault);
        }
    }

    /** Another process has the folder. */
    public static final class Held extends Exception {
        private static final long serialVersionUID = 1;

        Held(String fault) {
            super(fault);
        }
    }

    public static final String FILE = "memory.log";
    private static final String NEXT = "memory.next";
    private static final String ASIDE = "memory.broken";
    private static final Pattern FORMAT = Pattern.compile("dillfront memory (\\d+)\n");
    private static final byte[] HEAD = "dillfront memory 2\n".getBytes(StandardCharsets.US_ASCII);
    private static final int BEFORE_BODY = 8;
    private static final int LEAST_BODY = 16;
    private static final String OWNER = "";

    /**
     * The file may be so many times as long as what is in it, or so long, before it is written
     * anew.
     */
    private static final int TIMES = 4;

    private static final int LEAST = 1 << 16;

    /** Bytes of a name, and of a text: its length has two of them. */
    static final int LONGEST = 0xffff;

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
    private boolean tailDoubtful;

    /**
     * A change of names failed: which file has the name, and which will have it after a loss of
     * power, is not known.
     */
    private boolean namesDoubtful;

    /** Where it could not be written anew, that is tried again at this length. */
    private long dueAt;

    private Shelf(Disk disk, String where) {
        this.disk = disk;
        this.where = where + "/" + FILE;
    }

    /**
     * Opens what is there, or begins.
     *
     * @param where the folder, for what is said of it
     * @param owner the router's name
     * @throws Broken where the file is another router's or of a format that this program does not
     *     know, or cannot be read
     */
    public static Shelf open(Disk disk, String where, String owner) throws Broken {
        return open(disk, where, owner, false);
    }

    /**
     * @param whole of a file of which more than a torn tail is wrong nothing is taken over, in no
     *     later life either
     */
    public static Shelf open(Disk disk, String where, String owner, boolean whole) throws Broken {
        Shelf shelf = new Shelf(disk, where);
        try {
            shelf.read(owner, whole);
        } catch (IOException bad) {
            throw new Broken(shelf.where + ": " + said(bad));
        }
        return shelf;
    }

    private void read(String owner, boolean whole) throws IOException, Broken {
        disk.delete(NEXT);
        byte[] all = disk.read(FILE);
        if (all == null) {
            texts.put(OWNER, owner);
            anew();
            return;
        }
        int at = HEAD.length;
        if (all.length < at || !Arrays.equals(all, 0, at, HEAD, 0, at)) {
            Matcher format =
                    FORMAT.matcher(
                            new String(
                                    all, 0, Math.min(all.length, 32), StandardCharsets.US_ASCII));
            if (format.lookingAt()) {
                throw new Broken(
                        where + " is of format " + format.group(1) + ", and this program writes 2");
            }
            aside(all, "no memory");
            texts.put(OWNER, owner);
            anew();
            return;
        }
        int good = records(all, at);
        String its = texts.putIfAbsent(OWNER, owner);
        if (its != null && !its.equals(owner)) {
            throw new Broken(
                    where + " is that of router '" + its + "', and this is '" + owner + "'");
        }
        if (good < all.length) {
            String fault = "of " + all.length + " bytes, those from " + good + " on are no record";
            if (good == at || more(all, good)) {
                // Not the tail alone: something that was kept is lost, so the rest is kept for
                // whoever looks into it.
                aside(all, fault);
            } else {
                cut = fault;
            }
        } else if (good == at) {
            aside(all, "no record");
        }
        if (aside && whole) {
            texts.clear();
            numbers.clear();
            texts.put(OWNER, owner);
        }
        if (good == at || good < all.length) {
            anew();
        } else {
            length = good;
            live = HEAD.length + BEFORE_BODY + size(texts, numbers);
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

    /**
     * How long the body of the record here is; -1 where there is none with this number, or any
     * number where it is negative.
     */
    private static int body(byte[] all, int at, long number) {
        if (all.length - at < BEFORE_BODY + LEAST_BODY) {
            return -1;
        }
        ByteBuffer in = ByteBuffer.wrap(all, at, all.length - at);
        int length = in.getInt();
        int sum = in.getInt();
        if (length < LEAST_BODY
                || length > in.remaining()
                || number >= 0 && in.getLong(in.position()) != number) {
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
    public boolean isAside() {
        return aside;
    }

    /** What was wrong with the file that was found; null where nothing was. */
    public String fault() {
        return cut == null ? null : where + ": " + cut;
    }

    /**
     * All of it or nothing is there after a loss of power. Where it fails, all or nothing of it may
     * be there; what was kept before stays.
     *
     * @param named an empty text takes its name out
     * @param numbered null takes its key out
     * @throws IllegalArgumentException where a name or a text is longer than the form can hold;
     *     nothing is written then
     */
    public void put(Map<String, String> named, Map<Long, Long> numbered) throws Broken {
        int size = size(named, numbered);
        try {
            if (tailDoubtful) {
                disk.cut(FILE, length);
                tailDoubtful = false;
                // A disk that is full gets back what is no longer needed, by this put too: as a
                // whole new file.
                anewWith(named, numbered);
            } else if (namesDoubtful) {
                anewWith(named, numbered);
            } else {
                tailDoubtful = true;
                disk.append(FILE, record(record + 1, size, named, numbered));
                disk.sync(FILE);
                tailDoubtful = false;
                record++;
                length += BEFORE_BODY + size;
                named.forEach(this::put);
                numbered.forEach(this::put);
                grown();
            }
        } catch (IOException bad) {
            throw new Broken(where + ": " + said(bad));
        }
    }

    /**
     * Writes the file anew where it has grown long; if that fails, what was put is on the disk all
     * the same.
     */
    private void grown() {
        if (length <= Math.max(dueAt, Math.max(LEAST, TIMES * live))) {
            return;
        }
        live = HEAD.length + BEFORE_BODY + size(texts, numbers);
        if (length > Math.max(LEAST, TIMES * live)) {
            try {
                anew();
            } catch (IOException later) {
                dueAt = length + Math.max(LEAST, live);
            }
        }
    }

    /** All that is here, and this, as a new file. */
    private void anewWith(Map<String, String> named, Map<Long, Long> numbered) throws IOException {
        Map<String, String> texts = new HashMap<>(this.texts);
        Map<Long, Long> numbers = new HashMap<>(this.numbers);
        named.forEach(this::put);
        numbered.forEach(this::put);
        boolean there = false;
        try {
            anew();
            there = true;
        } finally {
            if (!there) {
                tailDoubtful |= !namesDoubtful;
                this.texts.clear();
                this.texts.putAll(texts);
                this.numbers.clear();
                this.numbers.putAll(numbers);
            }
        }
    }

    /**
     * All that is here into a new file, which then takes the place of the former. Until the folder
     * is synced either may be there after a loss of power, so nothing is put into the new one
     * before.
     */
    private void anew() throws IOException {
        disk.delete(NEXT);
        int body = size(texts, numbers);
        disk.append(NEXT, ByteBuffer.wrap(HEAD));
        disk.append(NEXT, record(record + 1, body, texts, numbers));
        disk.sync(NEXT);
        namesDoubtful = true;
        disk.rename(NEXT, FILE);
        record++;
        length = HEAD.length + BEFORE_BODY + body;
        live = length;
        dueAt = 0;
        disk.syncNames();
        namesDoubtful = false;
    }

    /** Bytes of the body of a record with these. */
    private static int size(Map<String, String> named, Map<Long, Long> numbered) {
        long size = LEAST_BODY + 17L * numbered.size();
        for (Map.Entry<String, String> one : named.entrySet()) {
            size += 4 + size(one.getKey()) + size(one.getValue());
        }
        return Math.toIntExact(size);
    }

    /** Bytes of a text in UTF-8. */
    private static int size(String text) {
        int size = text.length();
        int i = 0;
        while (i < text.length()) {
            char c = text.charAt(i++);
            if (c >= 0x80) {
                // Each half of a pair counts for two; one that stands alone is written as '?'.
                boolean pair =
                        Character.isHighSurrogate(c)
                                && i < text.length()
                                && Character.isLowSurrogate(text.charAt(i));
                size += pair ? 2 : Character.isSurrogate(c) ? 0 : c < 0x800 ? 1 : 2;
                i += pair ? 1 : 0;
            }
        }
        if (size > LONGEST) {
            throw new IllegalArgumentException(
                    "a text of "
                            + size
                            + " bytes, and at most "
                            + LONGEST
                            + " are kept under a name");
        }
        return size;
    }

    private static ByteBuffer record(
            long number, int size, Map<String, String> named, Map<Long, Long> numbered) {
        ByteBuffer out = ByteBuffer.allocate(BEFORE_BODY + size);
        out.putInt(size).putInt(0).putLong(number).putInt(named.size());
        for (Map.Entry<String, String> one : named.entrySet()) {
            for (String text : new String[] {one.getKey(), one.getValue()}) {
                byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
                out.putShort((short) bytes.length).put(bytes);
            }
        }
        out.putInt(numbered.size());
        numbered.forEach(
                (key, is) ->
                        out.putLong(key)
                                .put((byte) (is == null ? 0 : 1))
                                .putLong(is == null ? 0 : is));
        CRC32C crc = new CRC32C();
        crc.update(out.array(), BEFORE_BODY, size);
        out.putInt(4, (int) crc.getValue());
        return out.flip();
    }

    /** Texts by their names. */
    public Map<String, String> all() {
        Map<String, String> all = new HashMap<>(texts);
        all.remove(OWNER);
        return all;
    }

    public Map<Long, Long> numbers() {
        return new HashMap<>(numbers);
    }

    public void close() {
        disk.close();
    }

    private static String said(IOException bad) {
        String text = String.valueOf(bad.getMessage()).lines().findFirst().orElse("");
        return bad.getClass() == IOException.class
                ? text
                : bad.getClass().getSimpleName() + " " + text;
    }
}
