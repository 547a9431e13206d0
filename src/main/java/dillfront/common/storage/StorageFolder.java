package dillfront.common.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * The file operations that {@link CompactingLog} needs. Written data may be lost on power loss
 * until it is synced, each part of it independently.
 */
public interface StorageFolder extends AutoCloseable {

    /** Returns the content of a file; null if it does not exist. */
    byte[] read(String name) throws IOException;

    /** Appends to a file, and creates it if it does not exist. */
    void append(String name, ByteBuffer bytes) throws IOException;

    /** Makes the appended data of a file survive a power loss. */
    void sync(String name) throws IOException;

    /** Truncates a file to this length, and syncs it. */
    void truncate(String name, long length) throws IOException;

    /**
     * Renames a file and replaces any existing file of the new name. Until {@link #syncDirectory},
     * a power loss may undo the rename, but never leaves it half done.
     */
    void rename(String from, String to) throws IOException;

    void delete(String name) throws IOException;

    /** Makes the current names of all files survive a power loss. */
    void syncDirectory() throws IOException;

    @Override
    void close();

    /** A folder in the local file system, locked while it is open. */
    final class LocalFolder implements StorageFolder {

        private static final String LOCK_FILE_NAME = "memory.lock";

        /** Maximum file size; a longer file cannot be a log. */
        private static final long MAX_FILE_BYTES = 1 << 28;

        private final Path folder;
        private final FileChannel lock;

        /** Name of the file that was appended to last, which is kept open. */
        private String openName;

        private FileChannel openChannel;

        /**
         * Creates the folder if necessary, and locks it.
         *
         * @throws CompactingLog.LockedException if another process has locked the folder
         */
        public LocalFolder(Path folder) throws IOException, CompactingLog.LockedException {
            this.folder = folder;
            Path existing = folder.toAbsolutePath();
            while (!Files.exists(existing)) {
                existing = existing.getParent();
            }
            Files.createDirectories(folder);
            // The name of each created folder is an entry of its parent, which has to be synced.
            for (Path created = folder.toAbsolutePath();
                    !created.equals(existing);
                    created = created.getParent()) {
                syncDirectory(created.getParent());
            }
            lock =
                    FileChannel.open(
                            folder.resolve(LOCK_FILE_NAME),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.WRITE);
            FileLock acquired;
            try {
                acquired = lock.tryLock();
            } catch (OverlappingFileLockException exception) {
                acquired = null;
            }
            if (acquired == null) {
                lock.close();
                throw new CompactingLog.LockedException(
                        "another process holds " + folder.resolve(LOCK_FILE_NAME));
            }
        }

        @Override
        public byte[] read(String name) throws IOException {
            try {
                if (Files.size(folder.resolve(name)) > MAX_FILE_BYTES) {
                    throw new IOException(
                            folder.resolve(name)
                                    + ": file of "
                                    + Files.size(folder.resolve(name))
                                    + " bytes is too long for a log");
                }
                return Files.readAllBytes(folder.resolve(name));
            } catch (NoSuchFileException exception) {
                return null;
            }
        }

        private FileChannel channel(String name) throws IOException {
            if (!name.equals(openName)) {
                closeChannel();
                openChannel =
                        FileChannel.open(
                                folder.resolve(name),
                                StandardOpenOption.CREATE,
                                StandardOpenOption.WRITE);
                openName = name;
            }
            return openChannel;
        }

        private void closeChannel() throws IOException {
            if (openChannel != null) {
                openName = null;
                openChannel.close();
                openChannel = null;
            }
        }

        @Override
        public void append(String name, ByteBuffer bytes) throws IOException {
            FileChannel channel = channel(name);
            long position = channel.size();
            while (bytes.hasRemaining()) {
                position += channel.write(bytes, position);
            }
        }

        @Override
        public void sync(String name) throws IOException {
            channel(name).force(false);
        }

        @Override
        public void truncate(String name, long length) throws IOException {
            channel(name).truncate(length);
            openChannel.force(true);
        }

        @Override
        public void rename(String from, String to) throws IOException {
            closeChannel();
            Files.move(
                    folder.resolve(from),
                    folder.resolve(to),
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        }

        @Override
        public void syncDirectory() throws IOException {
            syncDirectory(folder);
        }

        private static void syncDirectory(Path path) throws IOException {
            try (FileChannel directory = FileChannel.open(path, StandardOpenOption.READ)) {
                directory.force(true);
            }
        }

        @Override
        public void delete(String name) throws IOException {
            closeChannel();
            Files.deleteIfExists(folder.resolve(name));
        }

        @Override
        public void close() {
            try {
                closeChannel();
                lock.close();
            } catch (IOException exception) {
                // All data was already synced.
            }
        }
    }
}
