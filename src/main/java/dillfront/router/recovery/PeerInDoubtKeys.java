package dillfront.router.recovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * What other instances have said that they have in doubt, and what they say that this one said in
 * an earlier life, which it may have forgotten with its disk. It restricts and never permits: an
 * instance that lies can hold back the writes of keys that it knows, and one in 10,000 others; one
 * that claims everything is not heard. Nobody is waited for.
 *
 * <p>Of each instance the latest word counts, and the last one of its life before that, for as long
 * as a client may come again: one that comes back without its disk says nothing, and knew
 * something. Rows are as many as instances.
 */
public final class PeerInDoubtKeys {

    /** A word and when it came. */
    private record Report(int runId, KeyDigest keys, Duration at) {}

    private static final class InstanceReports {
        Report current;
        Report previous;

        /** What it says that this instance said. */
        Report forThisInstance;
    }

    private final List<InstanceReports> instances = new ArrayList<>();
    private final Duration retention;
    private long accepted;
    private long rejected;

    /**
     * @param retention for how long a client may come again with the same key
     */
    public PeerInDoubtKeys(int instanceCount, Duration retention) {
        this.retention = retention;
        for (int i = 0; i < instanceCount; i++) {
            instances.add(new InstanceReports());
        }
    }

    /**
     * An instance says what it has in doubt, in this life of it: any other than the last is a new
     * one.
     */
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

    /** An instance says what this one had in doubt in an earlier life. */
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
     * What an instance said in its life before this one, to be told back to it; null where nothing
     * is known.
     */
    public long[] previousRunKeys(int instance) {
        Report report = instances.get(instance).previous;
        return report == null ? null : report.keys.words();
    }

    /** Which life of an instance has last said something; 0 where none has. */
    public int lastRun(int instance) {
        Report report = instances.get(instance).current;
        return report == null ? 0 : report.runId;
    }

    /** Whether any of them may have this key in doubt. */
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

    /** Forgets what has expired by now. */
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

    /** How many say that they have anything in doubt, or had in their life before. */
    public long reportingInstances() {
        return instances.stream()
                .filter(r -> r.current != null && !r.current.keys.isEmpty() || r.previous != null)
                .count();
    }

    /** How many say that this instance had something in doubt in an earlier life. */
    public long echoingInstances() {
        return instances.stream().filter(r -> r.forThisInstance != null).count();
    }

    public long accepted() {
        return accepted;
    }

    /** Words that claimed everything. */
    public long rejected() {
        return rejected;
    }
}
