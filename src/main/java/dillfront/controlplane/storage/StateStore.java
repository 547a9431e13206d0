package dillfront.controlplane.storage;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Persists the state of a control process as strings by key. */
public interface StateStore {

    /**
     * Maximum length of a key or value, in characters. A store may keep the length in two bytes,
     * and UTF-8 takes up to three bytes per character.
     */
    int MAX_LENGTH_CHARS = 0xffff / 3;

    /** Returns the entries that were on disk at the start. */
    Map<String, String> initialState();

    /**
     * Stores the entries; an empty value removes its key. The returned future completes on the
     * event loop once all of them are on disk, in the order of the calls, and fails if they are
     * not.
     */
    CompletableFuture<Void> put(Map<String, String> entries);

    /** Returns for how long the oldest pending put has been waiting, in milliseconds. */
    default long stalledMillis() {
        return 0;
    }
}
