package dillfront.memory;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.h2.mvstore.DataUtils;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/**
 * Texts under keys in one file that survives the end of the process at any byte, by H2's MVStore: each put is one commit,
 * synced. Every call from one thread but all(), which reads a version.
 */
final class Shelf {

    /** The file cannot be used, or not now: which, where and why. */
    static final class Broken extends Exception {
        private static final long serialVersionUID = 1;

        Broken(String fault) {
            super(fault);
        }
    }

    /** Another process has the file. */
    static final class Held extends Exception {
        private static final long serialVersionUID = 1;

        Held(String fault) {
            super(fault);
        }
    }

    private static final String FORMAT = "1";
    private static final int CACHE_MB = 1;

    private final Path file;
    private final MVStore store;
    private final MVMap<String, String> texts;
    private final MVMap<String, String> about;

    private Shelf(Path file, MVStore store) {
        this.file = file;
        this.store = store;
        texts = store.openMap("texts");
        about = store.openMap("about");
    }

    static Shelf open(Path file) throws Broken, Held {
        MVStore store = null;
        try {
            store = new MVStore.Builder().fileName(file.toString()).autoCommitDisabled().cacheSize(CACHE_MB).open();
            return new Shelf(file, store);
        } catch (MVStoreException | IllegalArgumentException | IllegalStateException bad) {
            if (store != null) {
                store.closeImmediately();
            }
            if (bad instanceof MVStoreException known && known.getErrorCode() == DataUtils.ERROR_FILE_LOCKED) {
                throw new Held("another process holds " + file);
            }
            throw new Broken(file + ": " + first(bad));
        }
    }

    /** Null where the file is this router's, from now on at the latest; else why it is not. */
    String claim(String name) {
        String format = about.putIfAbsent("format", FORMAT);
        String owner = about.putIfAbsent("owner", name);
        if (format != null && !format.equals(FORMAT)) {
            return file + " is of format " + format + ", and this program writes " + FORMAT;
        }
        return owner == null || owner.equals(name) ? null : file + " is that of router '" + owner + "', and this is '" + name + "'";
    }

    /** All of it or nothing is there after a loss of power. An empty text takes its key out. */
    void put(Map<String, String> batch) throws Broken {
        try {
            batch.forEach((key, text) -> {
                if (text.isEmpty()) {
                    texts.remove(key);
                } else {
                    texts.put(key, text);
                }
            });
            store.commit();
            store.sync();
        } catch (MVStoreException | IllegalStateException bad) {
            throw new Broken(file + ": " + first(bad));
        }
    }

    Map<String, String> all() {
        return new HashMap<>(texts);
    }

    void close() {
        try {
            store.close();
        } catch (MVStoreException | IllegalStateException bad) {
            store.closeImmediately();
        }
    }

    private static String first(Exception bad) {
        return String.valueOf(bad.getMessage()).lines().findFirst().orElse("");
    }
}
