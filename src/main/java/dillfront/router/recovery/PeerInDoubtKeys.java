package dillfront.router.recovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * Tracks the in-doubt keys reported by other instances, and those that they report for an earlier
 * run of this one, which it may have lost with its disk. The data only restricts and never permits:
 * a lying instance can hold back writes of keys that it knows, and of one in 10,000 others; a
 * filter that matches every key is rejected. No send waits for these reports.
 *
 * <p>For each instance the latest report counts, and the last one of its previous run, for as long
 * as a client may retry: an instance that restarts without its disk reports nothing, although its
 * previous run had keys in doubt. The number of rows is the number of instances.
 */
public final class PeerInDoubtKeys {

    /** A report, the run that it belongs to, and its arrival time. */
    private record Report(int runId, KeyDigest keys, Duration at) {}

    private static final class InstanceReports {
        Report current;
        Report previous;

        /** What the instance reports for an earlier run of this one. */
        Report forThisInstance;
    }

    private final List<InstanceReports> instances = new ArrayList<>();
    private final Duration retention;
    private long accepted;
    private long rejected;

    /**
     * @param retention how long a client may retry with the same key
     */
    public PeerInDoubtKeys(int instanceCount, Duration retention) {
        this.retention = retention;
        for (int i = 0; i < instanceCount; i++) {
            instances.add(new InstanceReports());
        }
    }

    /** Handles the in-doubt keys of an instance. A run other than the last one is a new run. */
    public void receive(int instance, int runId, long[] words, Duration now) {
        KeyDigest digest = parse(words);
        if (digest == null) {
            return;
        }
        InstanceReports reports = instances.get(instance);
        if (reports.current != null
                && runId != reports.current.runId
                && !reports.current.keys.isEmpty()) {
            reports.previous = reports.current;
        }
        reports.current = new Report(runId, digest, now);
    }

    /** Handles the in-doubt keys that an instance remembers of an earlier run of this one. */
    public void receiveEcho(int instance, long[] words, Duration now) {
        KeyDigest digest = parse(words);
        if (digest != null && !digest.isEmpty()) {
            instances.get(instance).forThisInstance = new Report(0, digest, now);
        }
    }

    private KeyDigest parse(long[] words) {
        KeyDigest digest = KeyDigest.parse(words);
        accepted += digest == null ? 0 : 1;
        rejected += digest == null ? 1 : 0;
        return digest;
    }

    /**
     * Returns the keys that an instance reported in its previous run, to be sent back to it; null
     * if none are known.
     */
    public long[] previousRunKeys(int instance) {
        Report report = instances.get(instance).previous;
        return report == null ? null : report.keys.words();
    }

    /** Returns the run of an instance's latest report; 0 if there is none. */
    public int lastRun(int instance) {
        Report report = instances.get(instance).current;
        return report == null ? 0 : report.runId;
    }

    /** Returns whether any report contains this key. */
    public boolean mayBeInDoubt(long key) {
        for (InstanceReports reports : instances) {
            if (contains(reports.current, key)
                    || contains(reports.previous, key)
                    || contains(reports.forThisInstance, key)) {
                return true;
            }
        }
        return false;
    }

    private static boolean contains(Report report, long key) {
        return report != null && report.keys.mayContain(key);
    }

    /** Removes expired reports. */
    public void expire(Duration now) {
        for (Iterator<InstanceReports> iterator = instances.iterator(); iterator.hasNext(); ) {
            InstanceReports reports = iterator.next();
            reports.current =
                    isExpired(reports.current, now)
                            ? new Report(reports.current.runId, KeyDigest.of(List.of(), 1), now)
                            : reports.current;
            reports.previous = isExpired(reports.previous, now) ? null : reports.previous;
            reports.forThisInstance =
                    isExpired(reports.forThisInstance, now) ? null : reports.forThisInstance;
        }
    }

    private boolean isExpired(Report report, Duration now) {
        return report != null && report.at.plus(retention).compareTo(now) <= 0;
    }

    /** Returns how many instances report keys in doubt, or did in their previous run. */
    public long reportingInstances() {
        return instances.stream()
                .filter(r -> r.current != null && !r.current.keys.isEmpty() || r.previous != null)
                .count();
    }

    /** Returns how many instances report keys in doubt for an earlier run of this one. */
    public long echoingInstances() {
        return instances.stream().filter(r -> r.forThisInstance != null).count();
    }

    public long accepted() {
        return accepted;
    }

    /** Returns the reports rejected because they match every key. */
    public long rejected() {
        return rejected;
    }
}
