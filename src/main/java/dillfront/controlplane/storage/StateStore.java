package dillfront.controlplane.storage;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** The disk of a control process: texts under names. */
public interface StateStore {

    /**
     * A text has at most so many letters; a disk may hold it in two bytes of length, with up to
     * three a letter.
     */
    int MAX_LENGTH_CHARS = 0xffff / 3;

    /** What was there at the start. */
    Map<String, String> initialState();

    /**
     * Completes on the loop once all of it is on the disk, in the order of the calls; fails where
     * it is not.
     */
    CompletableFuture<Void> put(Map<String, String> entries);

    /** For how long what was given to the disk has been waiting for it, in milliseconds. */
    default long stalledMillis() {
        return 0;
    }
}
