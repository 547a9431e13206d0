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

        private static final String LOCK = "memory.lock";

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
                syncNames(created.getParent());
            }
            lock =
                    FileChannel.open(
                            folder.resolve(LOCK),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.WRITE);
            FileLock acquired;
            try {
                acquired = lock.tryLock();
            } catch (OverlappingFileLockException here) {
                acquired = null;
            }
            if (acquired == null) {
                lock.close();
                throw new CompactingLog.LockedException(
                        "another process holds " + folder.resolve(LOCK));
            }
        }

        @Override
        public byte[] read(String of) throws IOException {
            try {
                if (Files.size(folder.resolve(of)) > MAX_FILE_BYTES) {
                    throw new IOException(
                            folder.resolve(of)
                                    + ": file of "
                                    + Files.size(folder.resolve(of))
                                    + " bytes is too long for a log");
                }
                return Files.readAllBytes(folder.resolve(of));
            } catch (NoSuchFileException none) {
                return null;
            }
        }

        private FileChannel channel(String of) throws IOException {
            if (!of.equals(openName)) {
                closeChannel();
                openChannel =
                        FileChannel.open(
                                folder.resolve(of),
                                StandardOpenOption.CREATE,
                                StandardOpenOption.WRITE);
                openName = of;
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
        public void append(String to, ByteBuffer bytes) throws IOException {
            FileChannel channel = channel(to);
            long at = channel.size();
            while (bytes.hasRemaining()) {
                at += channel.write(bytes, at);
            }
        }

        @Override
        public void sync(String of) throws IOException {
            channel(of).force(false);
        }

        @Override
        public void truncate(String of, long length) throws IOException {
            channel(of).truncate(length);
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
            syncNames(folder);
        }

        private static void syncNames(Path of) throws IOException {
            try (FileChannel names = FileChannel.open(of, StandardOpenOption.READ)) {
                names.force(true);
            }
        }

        @Override
        public void delete(String of) throws IOException {
            closeChannel();
            Files.deleteIfExists(folder.resolve(of));
        }

        @Override
        public void close() {
            try {
                closeChannel();
                lock.close();
            } catch (IOException over) {
                // All data was already synced.
            }
        }
    }
}
