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
 * A log file that holds texts under names, and numbers under numbers, and survives the end of the
 * process and of power at any byte. Each put is one record, written and synced before the next, so
 * that a loss takes the last one alone, and all of it. Once the file is several times as long as
 * what is live in it, all that is live goes into a new one, which replaces it atomically. All calls
 * from one thread.
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
public final class CompactingLog {

    /** The file cannot be used, or not now: which, where and why. A put may be tried again. */
    public static final class UnusableLogException extends Exception {
        private static final long serialVersionUID = 1;

        UnusableLogException(String fault) {
            super(fault);
        }
    }

    /** Another process has locked the folder. */
    public static final class LockedException extends Exception {
        private static final long serialVersionUID = 1;

        LockedException(String fault) {
            super(fault);
        }
    }

    public static final String FILE = "memory.log";
    private static final String NEXT_FILE = "memory.next";
    private static final String DAMAGED_FILE = "memory.broken";
    private static final Pattern FORMAT = Pattern.compile("dillfront memory (\\d+)\n");
    private static final byte[] HEADER = "dillfront memory 2\n".getBytes(StandardCharsets.US_ASCII);
    private static final int RECORD_HEADER_BYTES = 8;
    private static final int MIN_BODY_BYTES = 16;
    private static final String OWNER = "";

    /**
     * The file may be so many times as long as what is in it, or so long, before it is written
     * anew.
     */
    private static final int MAX_GROWTH = 4;

    private static final int MIN_COMPACTION_BYTES = 1 << 16;

    /** Of a name, and of a text: its length has two bytes. */
    static final int MAX_TEXT_BYTES = 0xffff;

    private final StorageFolder disk;
    private final String path;
    private final Map<String, String> texts = new HashMap<>();
    private final Map<Long, Long> numbers = new HashMap<>();

    /** Of the file, as far as it is good; and of a new one with the same in it. */
    private long length;

    private long liveBytes;
    private long recordNumber;
    private String damage;
    private boolean movedAside;

    /** A write failed: what is behind the good part is not known. */
    private boolean tailUncertain;

    /**
     * A change of names failed: which file has the name, and which will have it after a loss of
     * power, is not known.
     */
    private boolean namesUncertain;

    /** Where it could not be written anew, that is tried again at this length. */
    private long compactAtLength;

    private CompactingLog(StorageFolder disk, String where) {
        this.disk = disk;
        this.path = where + "/" + FILE;
    }

    /**
     * Opens the log that is there, or begins one.
     *
     * @param folder its name, for messages
     * @param owner the router's name
     * @throws Broken where the file is another router's or of a format that this program does not
     *     know, or cannot be read
     */
    public static CompactingLog open(StorageFolder disk, String folder, String owner)
            throws UnusableLogException {
        return open(disk, folder, owner, false);
    }

    /**
     * As above.
     *
     * @param discardIfDamaged of a file of which more than a torn tail is damaged nothing is taken
     *     over, in no later incarnation either
     */
    public static CompactingLog open(
            StorageFolder disk, String folder, String owner, boolean discardIfDamaged)
            throws UnusableLogException {
        CompactingLog log = new CompactingLog(disk, folder);
        try {
            log.read(owner, discardIfDamaged);
        } catch (IOException bad) {
            throw new UnusableLogException(log.path + ": " + describe(bad));
        }
        return log;
    }

    private void read(String owner, boolean discardIfDamaged)
            throws IOException, UnusableLogException {
        disk.delete(NEXT_FILE);
        byte[] all = disk.read(FILE);
        if (all == null) {
            texts.put(OWNER, owner);
            compact();
            return;
        }
        int at = HEADER.length;
        if (all.length < at || !Arrays.equals(all, 0, at, HEADER, 0, at)) {
            Matcher format =
                    FORMAT.matcher(
                            new String(
                                    all, 0, Math.min(all.length, 32), StandardCharsets.US_ASCII));
            if (format.lookingAt()) {
                throw new UnusableLogException(
                        path + " is of format " + format.group(1) + ", and this program writes 2");
            }
            moveAside(all, "no memory");
            texts.put(OWNER, owner);
            compact();
            return;
        }
        int good = readRecords(all, at);
        String its = texts.putIfAbsent(OWNER, owner);
        if (its != null && !its.equals(owner)) {
            throw new UnusableLogException(
                    path + " is that of router '" + its + "', and this is '" + owner + "'");
        }
        if (good < all.length) {
            String fault = "of " + all.length + " bytes, those from " + good + " on are no record";
            if (good == at || hasRecordAfter(all, good)) {
                // Not the tail alone: something that was durable is lost, so the file is kept for
                // whoever looks into it.
                moveAside(all, fault);
            } else {
                damage = fault;
            }
        } else if (good == at) {
            moveAside(all, "no record");
        }
        if (movedAside && discardIfDamaged) {
            texts.clear();
            numbers.clear();
            texts.put(OWNER, owner);
        }
        if (good == at || good < all.length) {
            compact();
        } else {
            length = good;
            liveBytes = HEADER.length + RECORD_HEADER_BYTES + bodyBytes(texts, numbers);
        }
    }

    /** Reads all records from here on; returns where the first is that is none. */
    private int readRecords(byte[] all, int from) throws UnusableLogException {
        int at = from;
        while (true) {
            int body = bodyLength(all, at, at == from ? -1 : recordNumber + 1);
            if (body < 0) {
                return at;
            }
            readRecord(ByteBuffer.wrap(all, at + RECORD_HEADER_BYTES, body));
            at += RECORD_HEADER_BYTES + body;
        }
    }

    /**
     * How long the body of the record here is; -1 where there is none with this number, or any
     * number where it is negative.
     */
    private static int bodyLength(byte[] all, int at, long number) {
        if (all.length - at < RECORD_HEADER_BYTES + MIN_BODY_BYTES) {
            return -1;
        }
        ByteBuffer in = ByteBuffer.wrap(all, at, all.length - at);
        int length = in.getInt();
        int sum = in.getInt();
        if (length < MIN_BODY_BYTES
                || length > in.remaining()
                || number >= 0 && in.getLong(in.position()) != number) {
            return -1;
        }
        CRC32C crc = new CRC32C();
        crc.update(all, at + RECORD_HEADER_BYTES, length);
        return (int) crc.getValue() == sum ? length : -1;
    }

    /** Whether a complete record lies anywhere behind: it was synced after what is damaged. */
    private static boolean hasRecordAfter(byte[] all, int from) {
        for (int at = from + 1; at < all.length; at++) {
            if (bodyLength(all, at, -1) >= 0) {
                return true;
            }
        }
        return false;
    }

    private void readRecord(ByteBuffer in) throws UnusableLogException {
        try {
            recordNumber = in.getLong();
            for (int i = in.getInt(); i > 0; i--) {
                String name = readText(in);
                put(name, readText(in));
            }
            for (int i = in.getInt(); i > 0; i--) {
                long key = in.getLong();
                boolean there = in.get() != 0;
                long number = in.getLong();
                put(key, there ? number : null);
            }
        } catch (BufferUnderflowException bad) {
            throw new UnusableLogException(
                    path + ": record " + recordNumber + " has a good sum and no form");
        }
    }

    private static String readText(ByteBuffer in) {
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

    private void moveAside(byte[] all, String fault) throws IOException {
        movedAside = true;
        damage = fault + "; the file as it was is kept as " + DAMAGED_FILE;
        disk.delete(DAMAGED_FILE);
        disk.append(DAMAGED_FILE, ByteBuffer.wrap(all));
        disk.sync(DAMAGED_FILE);
    }

    /** Whether more than a torn tail was damaged: the file as it was lies beside. */
    public boolean isMovedAside() {
        return movedAside;
    }

    /** What was damaged of the file that was found; null for nothing. */
    public String fault() {
        return damage == null ? null : path + ": " + damage;
    }

    /**
     * Writes texts and numbers: after a loss of power all of them are there, or none. Where it
     * fails, all or none of them may be there; what was written before stays.
     *
     * @param named an empty text removes its name
     * @param numbered null removes its key
     * @throws IllegalArgumentException where a name or a text is longer than the form can hold;
     *     nothing is written then
     */
    public void put(Map<String, String> named, Map<Long, Long> numbered)
            throws UnusableLogException {
        int size = bodyBytes(named, numbered);
        try {
            if (tailUncertain) {
                disk.truncate(FILE, length);
                tailUncertain = false;
                // A disk that is full gets back what is no longer needed, by this put too: as a
                // whole new file.
                compactWith(named, numbered);
            } else if (namesUncertain) {
                compactWith(named, numbered);
            } else {
                tailUncertain = true;
                disk.append(FILE, encodeRecord(recordNumber + 1, size, named, numbered));
                disk.sync(FILE);
                tailUncertain = false;
                recordNumber++;
                length += RECORD_HEADER_BYTES + size;
                named.forEach(this::put);
                numbered.forEach(this::put);
                compactIfGrown();
            }
        } catch (IOException bad) {
            throw new UnusableLogException(path + ": " + describe(bad));
        }
    }

    /**
     * Compacts the file where it has grown long; if that fails, what was put is on disk all the
     * same.
     */
    private void compactIfGrown() {
        if (length
                <= Math.max(
                        compactAtLength, Math.max(MIN_COMPACTION_BYTES, MAX_GROWTH * liveBytes))) {
            return;
        }
        liveBytes = HEADER.length + RECORD_HEADER_BYTES + bodyBytes(texts, numbers);
        if (length > Math.max(MIN_COMPACTION_BYTES, MAX_GROWTH * liveBytes)) {
            try {
                compact();
            } catch (IOException later) {
                compactAtLength = length + Math.max(MIN_COMPACTION_BYTES, liveBytes);
            }
        }
    }

    /** Writes all that is live, and this, as a new file. */
    private void compactWith(Map<String, String> named, Map<Long, Long> numbered)
            throws IOException {
        Map<String, String> texts = new HashMap<>(this.texts);
        Map<Long, Long> numbers = new HashMap<>(this.numbers);
        named.forEach(this::put);
        numbered.forEach(this::put);
        boolean there = false;
        try {
            compact();
            there = true;
        } finally {
            if (!there) {
                tailUncertain |= !namesUncertain;
                this.texts.clear();
                this.texts.putAll(texts);
                this.numbers.clear();
                this.numbers.putAll(numbers);
            }
        }
    }

    /**
     * Writes all that is live into a new file, which then replaces the former. Until the folder is
     * synced either may be there after a loss of power, so nothing is put into the new one before.
     */
    private void compact() throws IOException {
        disk.delete(NEXT_FILE);
        int body = bodyBytes(texts, numbers);
        disk.append(NEXT_FILE, ByteBuffer.wrap(HEADER));
        disk.append(NEXT_FILE, encodeRecord(recordNumber + 1, body, texts, numbers));
        disk.sync(NEXT_FILE);
        namesUncertain = true;
        disk.rename(NEXT_FILE, FILE);
        recordNumber++;
        length = HEADER.length + RECORD_HEADER_BYTES + body;
        liveBytes = length;
        compactAtLength = 0;
        disk.syncNames();
        namesUncertain = false;
    }

    /** The length of the body of a record with these. */
    private static int bodyBytes(Map<String, String> named, Map<Long, Long> numbered) {
        long size = MIN_BODY_BYTES + 17L * numbered.size();
        for (Map.Entry<String, String> one : named.entrySet()) {
            size += 4 + textBytes(one.getKey()) + textBytes(one.getValue());
        }
        return Math.toIntExact(size);
    }

    /** Bytes of a text in UTF-8. */
    private static int textBytes(String text) {
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
        if (size > MAX_TEXT_BYTES) {
            throw new IllegalArgumentException(
                    "a text of "
                            + size
                            + " bytes, and at most "
                            + MAX_TEXT_BYTES
                            + " are kept under a name");
        }
        return size;
    }

    private static ByteBuffer encodeRecord(
            long number, int size, Map<String, String> named, Map<Long, Long> numbered) {
        ByteBuffer out = ByteBuffer.allocate(RECORD_HEADER_BYTES + size);
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
        crc.update(out.array(), RECORD_HEADER_BYTES, size);
        out.putInt(4, (int) crc.getValue());
        return out.flip();
    }

    /** Texts by their names. */
    public Map<String, String> texts() {
        Map<String, String> all = new HashMap<>(texts);
        all.remove(OWNER);
        return all;
    }

    /** Numbers by their keys. */
    public Map<Long, Long> numbers() {
        return new HashMap<>(numbers);
    }

    /** Unlocks the folder. */
    public void close() {
        disk.close();
    }

    private static String describe(IOException bad) {
        String text = String.valueOf(bad.getMessage()).lines().findFirst().orElse("");
        return bad.getClass() == IOException.class
                ? text
                : bad.getClass().getSimpleName() + " " + text;
    }
}
