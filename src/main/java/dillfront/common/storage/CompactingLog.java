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

        UnusableLogException(String message) {
            super(message);
        }
    }

    /** Another process has locked the folder. */
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
     * The file may be so many times as long as what is in it, or so long, before it is written
     * anew.
     */
    private static final int MAX_GROWTH_FACTOR = 4;

    private static final int MIN_COMPACTION_BYTES = 1 << 16;

    /** Of a name, and of a text: its length has two bytes. */
    static final int MAX_TEXT_BYTES = 0xffff;

    private final StorageFolder folder;
    private final String path;
    private final Map<String, String> strings = new HashMap<>();
    private final Map<Long, Long> numbers = new HashMap<>();

    /** Of the file, as far as it is good; and of a new one with the same in it. */
    private long validLength;

    private long liveBytes;
    private long recordNumber;
    private String damage;
    private boolean quarantined;

    /** A write failed: what is behind the good part is not known. */
    private boolean tailUncertain;

    /**
     * A change of names failed: which file has the name, and which will have it after a loss of
     * power, is not known.
     */
    private boolean directoryUncertain;

    /** Where it could not be written anew, that is tried again at this length. */
    private long nextCompactionLength;

    private CompactingLog(StorageFolder folder, String folderPath) {
        this.folder = folder;
        this.path = folderPath + "/" + FILE_NAME;
    }

    /**
     * Opens the log that is there, or begins one.
     *
     * @param folderPath its name, for messages
     * @param owner the router's name
     * @throws Broken where the file is another router's or of a format that this program does not
     *     know, or cannot be read
     */
    public static CompactingLog open(StorageFolder folder, String folderPath, String owner)
            throws UnusableLogException {
        return open(folder, folderPath, owner, false);
    }

    /**
     * As above.
     *
     * @param discardIfDamaged of a file of which more than a torn tail is damaged nothing is taken
     *     over, in no later incarnation either
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
            quarantine(content, "no memory");
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
                    "of " + content.length + " bytes, those from " + validEnd + " on are no record";
            if (validEnd == position || hasRecordAfter(content, validEnd)) {
                // Not the tail alone: something that was durable is lost, so the file is kept for
                // whoever looks into it.
                quarantine(content, description);
            } else {
                damage = description;
            }
        } else if (validEnd == position) {
            quarantine(content, "no record");
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

    /** Reads all records from here on; returns where the first is that is none. */
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
     * How long the body of the record here is; -1 where there is none with this number, or any
     * number where it is negative.
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

    /** Whether a complete record lies anywhere behind: it was synced after what is damaged. */
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
                    path + ": record " + recordNumber + " has a good sum and no form");
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
        damage = description + "; the file as it was is kept as " + DAMAGED_FILE_NAME;
        folder.delete(DAMAGED_FILE_NAME);
        folder.append(DAMAGED_FILE_NAME, ByteBuffer.wrap(content));
        folder.sync(DAMAGED_FILE_NAME);
    }

    /** Whether more than a torn tail was damaged: the file as it was lies beside. */
    public boolean isQuarantined() {
        return quarantined;
    }

    /** What was damaged of the file that was found; null for nothing. */
    public String damage() {
        return damage == null ? null : path + ": " + damage;
    }

    /**
     * Writes texts and numbers: after a loss of power all of them are there, or none. Where it
     * fails, all or none of them may be there; what was written before stays.
     *
     * @param stringUpdates an empty text removes its name
     * @param numberUpdates null removes its key
     * @throws IllegalArgumentException where a name or a text is longer than the form can hold;
     *     nothing is written then
     */
    public void put(Map<String, String> stringUpdates, Map<Long, Long> numberUpdates)
            throws UnusableLogException {
        int size = bodyBytes(stringUpdates, numberUpdates);
        try {
            if (tailUncertain) {
                folder.truncate(FILE_NAME, validLength);
                tailUncertain = false;
                // A disk that is full gets back what is no longer needed, by this put too: as a
                // whole new file.
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
     * Compacts the file where it has grown long; if that fails, what was put is on disk all the
     * same.
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

    /** Writes all that is live, and this, as a new file. */
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
     * Writes all that is live into a new file, which then replaces the former. Until the folder is
     * synced either may be there after a loss of power, so nothing is put into the new one before.
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

    /** The length of the body of a record with these. */
    private static int bodyBytes(Map<String, String> stringUpdates, Map<Long, Long> numberUpdates) {
        long size = MIN_BODY_BYTES + 17L * numberUpdates.size();
        for (Map.Entry<String, String> entry : stringUpdates.entrySet()) {
            size += 4 + textBytes(entry.getKey()) + textBytes(entry.getValue());
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
                    "a text of "
                            + size
                            + " bytes, and at most "
                            + MAX_TEXT_BYTES
                            + " are kept under a name");
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

    /** Texts by their names. */
    public Map<String, String> strings() {
        Map<String, String> content = new HashMap<>(strings);
        content.remove(OWNER_NAME);
        return content;
    }

    /** Numbers by their keys. */
    public Map<Long, Long> numbers() {
        return new HashMap<>(numbers);
    }

    /** Unlocks the folder. */
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
