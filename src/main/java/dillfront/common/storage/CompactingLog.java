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

        UnusableLogException(String message) {
            super(message);
        }
    }

    /** Reports that another process has locked the folder. */
    public static final class LockedException extends Exception {
        private static final long serialVersionUID = 1;

        LockedException(String message) {
            super(message);
        }
    }

    public static final String FILE_NAME = "memory.log";
    private static final String NEXT_FILE_NAME = "memory.next";
    private static final String DAMAGED_FILE_NAME = "memory.broken";
    private static final Pattern FORMAT = Pattern.compile("dillfront memory (\\d+)\n");
    private static final byte[] HEADER = "dillfront memory 2\n".getBytes(StandardCharsets.US_ASCII);
    private static final int RECORD_HEADER_BYTES = 8;
    private static final int MIN_BODY_BYTES = 16;
    private static final String OWNER_NAME = "";

    /**
     * The file is compacted when it is longer than this multiple of its live entries, and longer
     * than {@link #MIN_COMPACTION_BYTES}.
     */
    private static final int MAX_GROWTH_FACTOR = 4;

    private static final int MIN_COMPACTION_BYTES = 1 << 16;

    /** Maximum length of a name or a value, whose length is stored in two bytes. */
    static final int MAX_TEXT_BYTES = 0xffff;

    private final StorageFolder folder;
    private final String path;
    private final Map<String, String> strings = new HashMap<>();
    private final Map<Long, Long> numbers = new HashMap<>();

    /**
     * Length of the valid part of the file; {@link #liveBytes} is the length after a compaction.
     */
    private long validLength;

    private long liveBytes;
    private long recordNumber;
    private String damage;
    private boolean quarantined;

    /** Whether a write failed, so that the content after the valid part is unknown. */
    private boolean tailUncertain;

    /**
     * Whether a rename failed, so that it is unknown which file has the name, and which one will
     * have it after a power loss.
     */
    private boolean directoryUncertain;

    /** After a failed compaction, the length at which the next one is attempted. */
    private long nextCompactionLength;

    private CompactingLog(StorageFolder folder, String folderPath) {
        this.folder = folder;
        this.path = folderPath + "/" + FILE_NAME;
    }

    /**
     * Opens the log in a folder, or creates one.
     *
     * @param folderPath the path of the folder, for messages
     * @param owner the name of the owner, which is stored in the file
     * @throws UnusableLogException if the file belongs to another owner, has an unknown format, or
     *     cannot be read
     */
    public static CompactingLog open(StorageFolder folder, String folderPath, String owner)
            throws UnusableLogException {
        return open(folder, folderPath, owner, false);
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
            StorageFolder folder, String folderPath, String owner, boolean discardIfDamaged)
            throws UnusableLogException {
        CompactingLog log = new CompactingLog(folder, folderPath);
        try {
            log.read(owner, discardIfDamaged);
        } catch (IOException exception) {
            throw new UnusableLogException(log.path + ": " + describe(exception));
        }
        return log;
    }

    private void read(String owner, boolean discardIfDamaged)
            throws IOException, UnusableLogException {
        folder.delete(NEXT_FILE_NAME);
        byte[] content = folder.read(FILE_NAME);
        if (content == null) {
            strings.put(OWNER_NAME, owner);
            compact();
            return;
        }
        int position = HEADER.length;
        if (content.length < position
                || !Arrays.equals(content, 0, position, HEADER, 0, position)) {
            Matcher format =
                    FORMAT.matcher(
                            new String(
                                    content,
                                    0,
                                    Math.min(content.length, 32),
                                    StandardCharsets.US_ASCII));
            if (format.lookingAt()) {
                throw new UnusableLogException(
                        path + " is of format " + format.group(1) + ", and this program writes 2");
            }
            quarantine(content, "missing file header");
            strings.put(OWNER_NAME, owner);
            compact();
            return;
        }
        int validEnd = readRecords(content, position);
        String storedOwner = strings.putIfAbsent(OWNER_NAME, owner);
        if (storedOwner != null && !storedOwner.equals(owner)) {
            throw new UnusableLogException(
                    path + " is that of router '" + storedOwner + "', and this is '" + owner + "'");
        }
        if (validEnd < content.length) {
            String description =
                    "file of "
                            + content.length
                            + " bytes: the record at byte "
                            + validEnd
                            + " is invalid";
            if (validEnd == position || hasRecordAfter(content, validEnd)) {
                // More than the tail is damaged, so durable data is lost; the file is kept for
                // inspection.
                quarantine(content, description);
            } else {
                damage = description;
            }
        } else if (validEnd == position) {
            quarantine(content, "no valid record");
        }
        if (quarantined && discardIfDamaged) {
            strings.clear();
            numbers.clear();
            strings.put(OWNER_NAME, owner);
        }
        if (validEnd == position || validEnd < content.length) {
            compact();
        } else {
            validLength = validEnd;
            liveBytes = HEADER.length + RECORD_HEADER_BYTES + bodyBytes(strings, numbers);
        }
    }

    /**
     * Applies all records from this position on, and returns the position after the last valid one.
     */
    private int readRecords(byte[] content, int from) throws UnusableLogException {
        int position = from;
        while (true) {
            int body = bodyLength(content, position, position == from ? -1 : recordNumber + 1);
            if (body < 0) {
                return position;
            }
            readRecord(ByteBuffer.wrap(content, position + RECORD_HEADER_BYTES, body));
            position += RECORD_HEADER_BYTES + body;
        }
    }

    /**
     * Returns the length of the body of the record at this position; -1 if there is no valid record
     * with this number. A negative number matches any record.
     */
    private static int bodyLength(byte[] content, int position, long number) {
        if (content.length - position < RECORD_HEADER_BYTES + MIN_BODY_BYTES) {
            return -1;
        }
        ByteBuffer in = ByteBuffer.wrap(content, position, content.length - position);
        int length = in.getInt();
        int checksum = in.getInt();
        if (length < MIN_BODY_BYTES
                || length > in.remaining()
                || number >= 0 && in.getLong(in.position()) != number) {
            return -1;
        }
        CRC32C crc = new CRC32C();
        crc.update(content, position + RECORD_HEADER_BYTES, length);
        return (int) crc.getValue() == checksum ? length : -1;
    }

    /** Returns whether a valid record follows. Such a record was synced after the damaged part. */
    private static boolean hasRecordAfter(byte[] content, int from) {
        for (int position = from + 1; position < content.length; position++) {
            if (bodyLength(content, position, -1) >= 0) {
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
                boolean present = in.get() != 0;
                long number = in.getLong();
                put(key, present ? number : null);
            }
        } catch (BufferUnderflowException exception) {
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

    private void put(String name, String value) {
        if (value.isEmpty()) {
            strings.remove(name);
        } else {
            strings.put(name, value);
        }
    }

    private void put(Long key, Long number) {
        if (number == null) {
            numbers.remove(key);
        } else {
            numbers.put(key, number);
        }
    }

    private void quarantine(byte[] content, String description) throws IOException {
        quarantined = true;
        damage = description + "; the damaged file is kept as " + DAMAGED_FILE_NAME;
        folder.delete(DAMAGED_FILE_NAME);
        folder.append(DAMAGED_FILE_NAME, ByteBuffer.wrap(content));
        folder.sync(DAMAGED_FILE_NAME);
    }

    /**
     * Returns whether more than a torn tail was damaged, so that the original file was kept under
     * another name.
     */
    public boolean isQuarantined() {
        return quarantined;
    }

    /** Returns a description of the damage found on opening; null if there was none. */
    public String damage() {
        return damage == null ? null : path + ": " + damage;
    }

    /**
     * Writes strings and numbers atomically: after a power loss, either all or none of them are
     * present. If the call fails, that holds as well, and earlier entries stay.
     *
     * @param stringUpdates values by name; an empty value removes its name
     * @param numberUpdates numbers by key; null removes its key
     * @throws IllegalArgumentException if a name or value is too long for the format; nothing is
     *     written then
     */
    public void put(Map<String, String> stringUpdates, Map<Long, Long> numberUpdates)
            throws UnusableLogException {
        int size = bodyBytes(stringUpdates, numberUpdates);
        try {
            if (tailUncertain) {
                folder.truncate(FILE_NAME, validLength);
                tailUncertain = false;
                // Compaction frees the space of obsolete records, so this put can succeed on a full
                // disk.
                compactIncluding(stringUpdates, numberUpdates);
            } else if (directoryUncertain) {
                compactIncluding(stringUpdates, numberUpdates);
            } else {
                tailUncertain = true;
                folder.append(
                        FILE_NAME,
                        encodeRecord(recordNumber + 1, size, stringUpdates, numberUpdates));
                folder.sync(FILE_NAME);
                tailUncertain = false;
                recordNumber++;
                validLength += RECORD_HEADER_BYTES + size;
                stringUpdates.forEach(this::put);
                numberUpdates.forEach(this::put);
                compactIfGrown();
            }
        } catch (IOException exception) {
            throw new UnusableLogException(path + ": " + describe(exception));
        }
    }

    /**
     * Compacts the file if it has grown too long. A failure is ignored, because the entries are
     * already on disk.
     */
    private void compactIfGrown() {
        if (validLength
                <= Math.max(
                        nextCompactionLength,
                        Math.max(MIN_COMPACTION_BYTES, MAX_GROWTH_FACTOR * liveBytes))) {
            return;
        }
        liveBytes = HEADER.length + RECORD_HEADER_BYTES + bodyBytes(strings, numbers);
        if (validLength > Math.max(MIN_COMPACTION_BYTES, MAX_GROWTH_FACTOR * liveBytes)) {
            try {
                compact();
            } catch (IOException exception) {
                nextCompactionLength = validLength + Math.max(MIN_COMPACTION_BYTES, liveBytes);
            }
        }
    }

    /** Writes all live entries and these to a new file. */
    private void compactIncluding(Map<String, String> stringUpdates, Map<Long, Long> numberUpdates)
            throws IOException {
        Map<String, String> previousStrings = new HashMap<>(this.strings);
        Map<Long, Long> previousNumbers = new HashMap<>(this.numbers);
        stringUpdates.forEach(this::put);
        numberUpdates.forEach(this::put);
        boolean compacted = false;
        try {
            compact();
            compacted = true;
        } finally {
            if (!compacted) {
                tailUncertain |= !directoryUncertain;
                this.strings.clear();
                this.strings.putAll(previousStrings);
                this.numbers.clear();
                this.numbers.putAll(previousNumbers);
            }
        }
    }

    /**
     * Writes all live entries to a new file, which then replaces the current one. Until the
     * directory is synced, a power loss may leave either file under the name, so nothing is written
     * to the new file before.
     */
    private void compact() throws IOException {
        folder.delete(NEXT_FILE_NAME);
        int body = bodyBytes(strings, numbers);
        folder.append(NEXT_FILE_NAME, ByteBuffer.wrap(HEADER));
        folder.append(NEXT_FILE_NAME, encodeRecord(recordNumber + 1, body, strings, numbers));
        folder.sync(NEXT_FILE_NAME);
        directoryUncertain = true;
        folder.rename(NEXT_FILE_NAME, FILE_NAME);
        recordNumber++;
        validLength = HEADER.length + RECORD_HEADER_BYTES + body;
        liveBytes = validLength;
        nextCompactionLength = 0;
        folder.syncDirectory();
        directoryUncertain = false;
    }

    /** Returns the length of the body of a record with these entries. */
    private static int bodyBytes(Map<String, String> stringUpdates, Map<Long, Long> numberUpdates) {
        long size = MIN_BODY_BYTES + 17L * numberUpdates.size();
        for (Map.Entry<String, String> entry : stringUpdates.entrySet()) {
            size += 4 + textBytes(entry.getKey()) + textBytes(entry.getValue());
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
                boolean isPair =
                        Character.isHighSurrogate(c)
                                && i < text.length()
                                && Character.isLowSurrogate(text.charAt(i));
                size += isPair ? 2 : Character.isSurrogate(c) ? 0 : c < 0x800 ? 1 : 2;
                i += isPair ? 1 : 0;
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
            long newRecordNumber,
            int size,
            Map<String, String> stringUpdates,
            Map<Long, Long> numberUpdates) {
        ByteBuffer out = ByteBuffer.allocate(RECORD_HEADER_BYTES + size);
        out.putInt(size).putInt(0).putLong(newRecordNumber).putInt(stringUpdates.size());
        for (Map.Entry<String, String> entry : stringUpdates.entrySet()) {
            for (String text : new String[] {entry.getKey(), entry.getValue()}) {
                byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
                out.putShort((short) bytes.length).put(bytes);
            }
        }
        out.putInt(numberUpdates.size());
        numberUpdates.forEach(
                (key, number) ->
                        out.putLong(key)
                                .put((byte) (number == null ? 0 : 1))
                                .putLong(number == null ? 0 : number));
        CRC32C crc = new CRC32C();
        crc.update(out.array(), RECORD_HEADER_BYTES, size);
        out.putInt(4, (int) crc.getValue());
        return out.flip();
    }

    /** Returns the strings by name. */
    public Map<String, String> strings() {
        Map<String, String> content = new HashMap<>(strings);
        content.remove(OWNER_NAME);
        return content;
    }

    /** Returns the numbers by key. */
    public Map<Long, Long> numbers() {
        return new HashMap<>(numbers);
    }

    /** Closes the files and unlocks the folder. */
    public void close() {
        folder.close();
    }

    private static String describe(IOException exception) {
        String text = String.valueOf(exception.getMessage()).lines().findFirst().orElse("");
        return exception.getClass() == IOException.class
                ? text
                : exception.getClass().getSimpleName() + " " + text;
    }
}
