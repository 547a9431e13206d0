package dillfront.controlplane.primary;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * Tracks the services whose primaries the lease holder suspects. Data planes are asked for
 * observations of these primaries. Not thread-safe: all calls come from one thread.
 */
public final class SuspectedPrimaries {

    private final Runnable onChange;
    private TreeSet<String> services = new TreeSet<>();
    private long version;

    /**
     * Creates an empty set.
     *
     * @param onChange runs after each change
     */
    public SuspectedPrimaries(Runnable onChange) {
        this.onChange = onChange;
    }

    /** Replaces the set of suspected services. */
    public void replace(Collection<String> suspected) {
        TreeSet<String> next = new TreeSet<>(suspected);
        if (!next.equals(services)) {
            services = next;
            version++;
            onChange.run();
        }
    }

    /** Returns the services, ordered by name. */
    public List<String> services() {
        return new ArrayList<>(services);
    }

    /**
     * Returns the version of the set, which increases with each change within one incarnation of
     * the process.
     */
    public long version() {
        return version;
    }
}
