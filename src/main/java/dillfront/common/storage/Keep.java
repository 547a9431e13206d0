package dillfront.common.storage;

import java.nio.file.Path;
import java.util.Map;

/**
 * Texts under names, kept in a folder so that each put is there whole or not at all after a loss of
 * power. From one thread.
 */
public final class Keep {

    /** The folder cannot be used: which, and why. */
    public static final class Broken extends Exception {
        private static final long serialVersionUID = 1;

        Broken(String fault) {
            super(fault);
        }
    }

    private final Shelf shelf;

    private Keep(Shelf shelf) {
        this.shelf = shelf;
    }

    /**
     * @throws Broken where it cannot be read, or is another's
     */
    public static Keep open(Path folder, String owner) throws Broken {
        try {
            return on(new Disk.Folder(folder), folder.toString(), owner);
        } catch (java.io.IOException | Shelf.Held bad) {
            throw new Broken(folder + ": " + bad.getMessage());
        }
    }

    /** Opens the store on any disk, as tests do. */
    public static Keep on(Disk disk, String where, String owner) throws Broken {
        try {
            return new Keep(Shelf.open(disk, where, owner, true));
        } catch (Shelf.Broken bad) {
            throw new Broken(bad.getMessage());
        }
    }

    /**
     * More than the last record was damaged: what was kept may be gone, so nothing of it was taken
     * over, and the folder begins anew.
     */
    public boolean damaged() {
        return shelf.isAside();
    }

    public Map<String, String> all() {
        return shelf.all();
    }

    /**
     * Returns once it is on the disk; an empty text takes its name out.
     *
     * @throws Broken where it may be there or not; what was kept before stays, and the next put
     *     tries the disk again
     * @throws IllegalArgumentException where a name or a text has more than 65,535 bytes in UTF-8
     */
    public void put(Map<String, String> texts) throws Broken {
        try {
            shelf.put(texts, Map.of());
        } catch (Shelf.Broken bad) {
            throw new Broken(bad.getMessage());
        }
    }
}
