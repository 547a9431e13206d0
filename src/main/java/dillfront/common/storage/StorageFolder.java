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
 * A folder as {@link CompactingLog} needs it. What was written may be lost with the power until it
 * is synced, each part of it by itself.
 */
public interface StorageFolder extends AutoCloseable {

    /** The content of a file; null where there is none. */
    byte[] read(String name) throws IOException;

    /** Appends to a file, which is made where there is none. */
    void append(String name, ByteBuffer bytes) throws IOException;

    /** What was appended to this file survives a loss of power from now on. */
    void sync(String name) throws IOException;

    /** Cuts a file to this length, and syncs it. */
    void truncate(String name, long length) throws IOException;

    /**
     * Renames a file, in place of whatever had that name. After a loss of power it is either so or
     * not, until the names are synced.
     */
    void rename(String from, String to) throws IOException;

    void delete(String name) throws IOException;

    /** The names of all files survive a loss of power from now on. */
    void syncDirectory() throws IOException;

    @Override
    void close();

    /** A folder of this machine, locked for as long as it is open. */
    final class LocalFolder implements StorageFolder {

        private static final String LOCK_FILE_NAME = "memory.lock";

        /** No log is longer. */
        private static final long MAX_FILE_BYTES = 1 << 28;

        private final Path folder;
        private final FileChannel lock;

        /** The file that was appended to last stays open. */
        private String openName;

        private FileChannel openChannel;

        /**
         * @throws Shelf.Held where another process has locked it
         */
        public LocalFolder(Path folder) throws IOException, CompactingLog.LockedException {
            this.folder = folder;
            Path existing = folder.toAbsolutePath();
            while (!Files.exists(existing)) {
                existing = existing.getParent();
            }
            Files.createDirectories(folder);
            // A folder that was made is a name in the one above it.
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
                                    + ": of "
                                    + Files.size(folder.resolve(name))
                                    + " bytes");
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
                // Nothing is left to be written.
            }
        }
    }
}
