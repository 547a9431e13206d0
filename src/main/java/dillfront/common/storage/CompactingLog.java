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
 * A compacting log file that stores strings by name and numbers by numeric key, and survives a
 * crash or a power loss at any byte. Each put is one record, which is written and synced before the
 * next one, so a failure loses at most the last record, and loses it as a whole. A file that has
 * grown to several times the size of its live entries is compacted into a new file, which replaces
 * it atomically. All calls are made on one thread.
 *
 * <pre>
 *   file    "dillfront memory 2\n"  records
 *   record  4 length of the body   4 CRC32C of the body   body
 *   body    8 record number, one more than that of the previous record
 *           4 count of strings, each  2 length  name in UTF-8  2 length  value in UTF-8; an empty value removes the name
 *           4 count of numbers, each  8 key  1 present or not  8 number
 * </pre>
 *
 * Numbers are big-endian. The first record holds all entries that were live when the file was
 * written, and the owner's name under "".
 */
public final class CompactingLog {

    /**
     * Reports that the file cannot be used, permanently or for now; the message names the file and
     * the fault. A put may be retried.
     */
    public static final class UnusableLogException extends Exception {
        private static final long serialVersionUID = 1;

        UnusableLogException(String fault) {
            super(fault);
        }
    }

    /** Reports that another process has locked the folder. */
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
     * The file is compacted when it is longer than this multiple of its live entries, and longer
     * than {@link #MIN_COMPACTION_BYTES}.
     */
    private static final int MAX_GROWTH = 4;

    private static final int MIN_COMPACTION_BYTES = 1 << 16;

    /** Maximum length of a name or a value, whose length is stored in two bytes. */
    static final int MAX_TEXT_BYTES = 0xffff;

    private final StorageFolder disk;
    private final String path;
    private final Map<String, String> strings = new HashMap<>();
    private final Map<Long, Long> numbers = new HashMap<>();

    /**
     * Length of the valid part of the file; {@link #liveBytes} is the length after a compaction.
     */
    private long length;

    private long liveBytes;
    private long recordNumber;
    private String damage;
    private boolean movedAside;

    /** Whether a write failed, so that the content after the valid part is unknown. */
    private boolean tailUncertain;

    /**
     * Whether a rename failed, so that it is unknown which file has the name, and which one will
     * have it after a power loss.
     */
    private boolean namesUncertain;

    /** After a failed compaction, the length at which the next one is attempted. */
    private long compactAtLength;

    private CompactingLog(StorageFolder disk, String where) {
        this.disk = disk;
        this.path = where + "/" + FILE;
    }

    /**
     * Opens the log in a folder, or creates one.
     *
     * @param folder the path of the folder, for messages
     * @param owner the name of the owner, which is stored in the file
     * @throws UnusableLogException if the file belongs to another owner, has an unknown format, or
     *     cannot be read
     */
    public static CompactingLog open(StorageFolder disk, String folder, String owner)
            throws UnusableLogException {
        return open(disk, folder, owner, false);
    }

    /**
     * Opens the log in a folder, or creates one.
     *
     * @param discardIfDamaged whether to discard the content, now and at any later start, if more
     *     than a torn tail is damaged
     * @throws UnusableLogException if the file belongs to another owner, has an unknown format, or
     *     cannot be read
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
            strings.put(OWNER, owner);
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
            moveAside(all, "missing file header");
            strings.put(OWNER, owner);
            compact();
            return;
        }
        int good = readRecords(all, at);
        String its = strings.putIfAbsent(OWNER, owner);
        if (its != null && !its.equals(owner)) {
            throw new UnusableLogException(
                    path + " is that of router '" + its + "', and this is '" + owner + "'");
        }
        if (good < all.length) {
            String fault =
                    "file of " + all.length + " bytes: the record at byte " + good + " is invalid";
            if (good == at || hasRecordAfter(all, good)) {
                // More than the tail is damaged, so durable data is lost; the file is kept for
                // inspection.
                moveAside(all, fault);
            } else {
                damage = fault;
            }
        } else if (good == at) {
            moveAside(all, "no valid record");
        }
        if (movedAside && discardIfDamaged) {
            strings.clear();
            numbers.clear();
            strings.put(OWNER, owner);
        }
        if (good == at || good < all.length) {
            compact();
        } else {
            length = good;
            liveBytes = HEADER.length + RECORD_HEADER_BYTES + bodyBytes(strings, numbers);
        }
    }

    /**
     * Applies all records from this position on, and returns the position after the last valid one.
     */
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
     * Returns the length of the body of the record at this position; -1 if there is no valid record
     * with this number. A negative number matches any record.
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

    /** Returns whether a valid record follows. Such a record was synced after the damaged part. */
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
                    path
                            + ": record "
                            + recordNumber
                            + " has a valid checksum but an invalid body");
        }
    }

    private static String readText(ByteBuffer in) {
        byte[] bytes = new byte[in.getShort() & 0xffff];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private void put(String name, String text) {
        if (text.isEmpty()) {
            strings.remove(name);
        } else {
            strings.put(name, text);
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
        damage = fault + "; the damaged file is kept as " + DAMAGED_FILE;
        disk.delete(DAMAGED_FILE);
        disk.append(DAMAGED_FILE, ByteBuffer.wrap(all));
        disk.sync(DAMAGED_FILE);
    }

    /**
     * Returns whether more than a torn tail was damaged, so that the original file was kept under
     * another name.
     */
    public boolean isQuarantined() {
        return movedAside;
    }

    /** Returns a description of the damage found on opening; null if there was none. */
    public String damage() {
        return damage == null ? null : path + ": " + damage;
    }

    /**
     * Writes strings and numbers atomically: after a power loss, either all or none of them are
     * present. If the call fails, that holds as well, and earlier entries stay.
     *
     * @param named values by name; an empty value removes its name
     * @param numbered numbers by key; null removes its key
     * @throws IllegalArgumentException if a name or value is too long for the format; nothing is
     *     written then
     */
    public void put(Map<String, String> named, Map<Long, Long> numbered)
            throws UnusableLogException {
        int size = bodyBytes(named, numbered);
        try {
            if (tailUncertain) {
                disk.truncate(FILE, length);
                tailUncertain = false;
                // Compaction frees the space of obsolete records, so this put can succeed on a full
                // disk.
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
     * Compacts the file if it has grown too long. A failure is ignored, because the entries are
     * already on disk.
     */
    private void compactIfGrown() {
        if (length
                <= Math.max(
                        compactAtLength, Math.max(MIN_COMPACTION_BYTES, MAX_GROWTH * liveBytes))) {
            return;
        }
        liveBytes = HEADER.length + RECORD_HEADER_BYTES + bodyBytes(strings, numbers);
        if (length > Math.max(MIN_COMPACTION_BYTES, MAX_GROWTH * liveBytes)) {
            try {
                compact();
            } catch (IOException later) {
                compactAtLength = length + Math.max(MIN_COMPACTION_BYTES, liveBytes);
            }
        }
    }

    /** Writes all live entries and these to a new file. */
    private void compactWith(Map<String, String> named, Map<Long, Long> numbered)
            throws IOException {
        Map<String, String> texts = new HashMap<>(this.strings);
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
                this.strings.clear();
                this.strings.putAll(texts);
                this.numbers.clear();
                this.numbers.putAll(numbers);
            }
        }
    }

    /**
     * Writes all live entries to a new file, which then replaces the current one. Until the
     * directory is synced, a power loss may leave either file under the name, so nothing is written
     * to the new file before.
     */
    private void compact() throws IOException {
        disk.delete(NEXT_FILE);
        int body = bodyBytes(strings, numbers);
        disk.append(NEXT_FILE, ByteBuffer.wrap(HEADER));
        disk.append(NEXT_FILE, encodeRecord(recordNumber + 1, body, strings, numbers));
        disk.sync(NEXT_FILE);
        namesUncertain = true;
        disk.rename(NEXT_FILE, FILE);
        recordNumber++;
        length = HEADER.length + RECORD_HEADER_BYTES + body;
        liveBytes = length;
        compactAtLength = 0;
        disk.syncDirectory();
        namesUncertain = false;
    }

    /** Returns the length of the body of a record with these entries. */
    private static int bodyBytes(Map<String, String> named, Map<Long, Long> numbered) {
        long size = MIN_BODY_BYTES + 17L * numbered.size();
        for (Map.Entry<String, String> one : named.entrySet()) {
            size += 4 + textBytes(one.getKey()) + textBytes(one.getValue());
        }
        return Math.toIntExact(size);
    }

    /** Returns the length of a string in UTF-8. */
    private static int textBytes(String text) {
        int size = text.length();
        int i = 0;
        while (i < text.length()) {
            char c = text.charAt(i++);
            if (c >= 0x80) {
                // Each half of a surrogate pair counts for two bytes; an unpaired surrogate is
                // encoded as '?'.
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
                    "name or value of "
                            + size
                            + " bytes exceeds the maximum of "
                            + MAX_TEXT_BYTES
                            + " bytes");
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

    /** Returns the strings by name. */
    public Map<String, String> strings() {
        Map<String, String> all = new HashMap<>(strings);
        all.remove(OWNER);
        return all;
    }

    /** Returns the numbers by key. */
    public Map<Long, Long> numbers() {
        return new HashMap<>(numbers);
    }

    /** Closes the files and unlocks the folder. */
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
