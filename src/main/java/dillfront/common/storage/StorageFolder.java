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
    void syncNames() throws IOException;

    @Override
    void close();

    /** A folder of this machine, locked for as long as it is open. */
    final class LocalFolder implements StorageFolder {

        private static final String LOCK = "memory.lock";

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
                                    + ": of "
                                    + Files.size(folder.resolve(of))
                                    + " bytes");
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
        public void syncNames() throws IOException {
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
                // Nothing is left to be written.
            }
        }
    }
}
