package dillfront.controlplane.primary;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * The services whose primary the lease holder suspects. Data planes are asked what they see of
 * those. Called on one thread.
 */
public final class SuspectedPrimaries {

    private final Runnable onChange;
    private TreeSet<String> services = new TreeSet<>();
    private long version;

    /**
     * @param onChange runs after each change
     */
    public SuspectedPrimaries(Runnable onChange) {
        this.onChange = onChange;
    }

    /** These services and no others are suspected from now on. */
    public void replace(Collection<String> suspected) {
        TreeSet<String> next = new TreeSet<>(suspected);
        if (!next.equals(services)) {
            services = next;
            version++;
            onChange.run();
        }
    }

    /** The services, by their names. */
    public List<String> services() {
        return new ArrayList<>(services);
    }

    /** Rises with each change, within this incarnation of the process. */
    public long version() {
        return version;
    }
}
