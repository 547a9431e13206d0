package dillfront.common.storage;

import java.nio.file.Path;
import java.util.Map;

/**
 * Texts under names, kept in a folder so that each put is there whole or not at all after a loss of
 * power. From one thread.
 */
public final class KeyValueStore {

    /** The folder cannot be used: which, and why. A put may be tried again. */
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
     * @throws Broken where it cannot be read, or is another's
     */
    public static KeyValueStore open(Path folder, String owner) throws StorageException {
        try {
            return open(new StorageFolder.LocalFolder(folder), folder.toString(), owner);
        } catch (java.io.IOException | CompactingLog.LockedException exception) {
            throw new StorageException(folder + ": " + exception.getMessage());
        }
    }

    /** Opens the store on any disk, as tests do. */
    public static KeyValueStore open(StorageFolder folder, String path, String owner)
            throws StorageException {
        try {
            return new KeyValueStore(CompactingLog.open(folder, path, owner, true));
        } catch (CompactingLog.UnusableLogException exception) {
            throw new StorageException(exception.getMessage());
        }
    }

    /**
     * Whether more than the last record was damaged: what was durable may be gone, so nothing of it
     * was taken over, and the folder begins anew.
     */
    public boolean isDamaged() {
        return log.isQuarantined();
    }

    /** All texts by their names. */
    public Map<String, String> entries() {
        return log.strings();
    }

    /**
     * Returns once it is on the disk; an empty text takes its name out.
     *
     * @throws Broken where it may be there or not; what was kept before stays, and the next put
     *     tries the disk again
     * @throws IllegalArgumentException where a name or a text has more than 65,535 bytes in UTF-8
     */
    public void put(Map<String, String> values) throws StorageException {
        try {
            log.put(values, Map.of());
        } catch (CompactingLog.UnusableLogException exception) {
            throw new StorageException(exception.getMessage());
        }
    }
}
