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
 * A folder as a memory needs it. What was written may be lost with the power until it is synced,
 * each part of it by itself.
 */
public interface Disk extends AutoCloseable {

    /** Null where there is no such file. */
    byte[] read(String name) throws IOException;

    void append(String name, ByteBuffer bytes) throws IOException;

    void sync(String name) throws IOException;

    void cut(String name, long length) throws IOException;

    /**
     * In the place of whatever had that name. After a loss of power it is either so or not, until
     * the names are synced.
     */
    void rename(String from, String to) throws IOException;

    void delete(String name) throws IOException;

    /** All files have the names that they have now also after a loss of power. */
    void syncNames() throws IOException;

    @Override
    void close();

    /** A folder of this machine, held by a lock for as long as it is open. */
    final class Folder implements Disk {

        private static final String LOCK = "memory.lock";

        /** More than any memory may have. */
        private static final long MOST = 1 << 28;

        private final Path folder;
        private final FileChannel lock;

        /** What was appended to last stays open. */
        private String name;

        private FileChannel open;

        /**
         * @throws Shelf.Held where another process has it
         */
        public Folder(Path folder) throws IOException, Shelf.Held {
            this.folder = folder;
            Path there = folder.toAbsolutePath();
            while (!Files.exists(there)) {
                there = there.getParent();
            }
            Files.createDirectories(folder);
            // A folder that was made is a name in the one above it.
            for (Path made = folder.toAbsolutePath();
                    !made.equals(there);
                    made = made.getParent()) {
                syncNames(made.getParent());
            }
            lock =
                    FileChannel.open(
                            folder.resolve(LOCK),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.WRITE);
            FileLock held;
            try {
                held = lock.tryLock();
            } catch (OverlappingFileLockException here) {
                held = null;
            }
            if (held == null) {
                lock.close();
                throw new Shelf.Held("another process holds " + folder.resolve(LOCK));
            }
        }

        @Override
        public byte[] read(String of) throws IOException {
            try {
                if (Files.size(folder.resolve(of)) > MOST) {
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
            if (!of.equals(name)) {
                shut();
                open =
                        FileChannel.open(
                                folder.resolve(of),
                                StandardOpenOption.CREATE,
                                StandardOpenOption.WRITE);
                name = of;
            }
            return open;
        }

        private void shut() throws IOException {
            if (open != null) {
                name = null;
                open.close();
                open = null;
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
        public void cut(String of, long length) throws IOException {
            channel(of).truncate(length);
            open.force(true);
        }

        @Override
        public void rename(String from, String to) throws IOException {
            shut();
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
            shut();
            Files.deleteIfExists(folder.resolve(of));
        }

        @Override
        public void close() {
            try {
                shut();
                lock.close();
            } catch (IOException over) {
                // Nothing is left to be written.
            }
        }
    }
}
