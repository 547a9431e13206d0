package dillfront.common.storage;

import java.nio.file.Path;
import java.util.Map;

/**
 * Stores strings by name in a folder. Each put is atomic with respect to power loss. All calls are
 * made on one thread.
 */
public final class KeyValueStore {

    /**
     * Reports that the folder cannot be used; the message names the folder and the fault. A put may
     * be retried.
     */
    public static final class StorageException extends Exception {
        private static final long serialVersionUID = 1;

        StorageException(String message) {
            super(message);
        }
    }

    private final CompactingLog log;

    private KeyValueStore(CompactingLog log) {
        this.log = log;
    }

    /**
     * Opens the store in a folder, and creates the folder if necessary.
     *
     * @throws StorageException if the folder cannot be read, is locked, or belongs to another owner
     */
    public static KeyValueStore open(Path folder, String owner) throws StorageException {
        try {
            return open(new StorageFolder.LocalFolder(folder), folder.toString(), owner);
        } catch (java.io.IOException | CompactingLog.LockedException exception) {
            throw new StorageException(folder + ": " + exception.getMessage());
        }
    }

    /** Opens the store on a given implementation of the file operations, for tests. */
    public static KeyValueStore open(StorageFolder folder, String path, String owner)
            throws StorageException {
        try {
            return new KeyValueStore(CompactingLog.open(folder, path, owner, true));
        } catch (CompactingLog.UnusableLogException exception) {
            throw new StorageException(exception.getMessage());
        }
    }

    /**
     * Returns whether more than the last record was damaged. Durable data may then be lost, so the
     * content was discarded and the store starts empty.
     */
    public boolean isDamaged() {
        return log.isQuarantined();
    }

    /** Returns all strings by name. */
    public Map<String, String> entries() {
        return log.strings();
    }

    /**
     * Stores strings by name, and returns once they are on disk; an empty value removes its name.
     *
     * @throws StorageException if the write failed, so that all or none of the values may be on
     *     disk; earlier values stay, and the next put retries the disk
     * @throws IllegalArgumentException if a name or a value is longer than 65,535 bytes in UTF-8
     */
    public void put(Map<String, String> values) throws StorageException {
        try {
            log.put(values, Map.of());
        } catch (CompactingLog.UnusableLogException exception) {
            throw new StorageException(exception.getMessage());
        }
    }
}
