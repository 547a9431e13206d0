package dillfront.controlplane.subscription;

import dillfront.common.config.Configuration;
import dillfront.common.message.BinaryDelta;
import dillfront.common.message.Compression;
import java.util.ArrayDeque;
import java.util.TreeMap;

/**
 * The newest decided configuration and those before it, for data planes that have one of them and
 * want the newest. Of those before only the delta back from its successor is kept, so that hundreds
 * of changes take little room. A delta that was made for one data plane serves all others.
 */
final class ConfigurationHistory {

    private static final int MAX_PREVIOUS_CONFIGURATIONS = 64;
    private static final int MAX_TOTAL_DELTA_BYTES = 1 << 19;
    private static final byte[] NO_DELTA = new byte[0];

    /**
     * A configuration that was the newest.
     *
     * @param reverseDelta what turns its successor into it
     */
    private record PreviousConfiguration(long revision, long digest, byte[] reverseDelta) {}

    /** The newest step first. */
    private final ArrayDeque<PreviousConfiguration> previous = new ArrayDeque<>();

    private int deltaBytes;
    private Configuration newest = Configuration.NONE;

    /** The newest configuration, compressed; null until it is asked for. */
    private byte[] compressed;

    /** By revision, the delta to the newest; {@link #NO_DELTA} where the whole is no longer. */
    private final TreeMap<Long, byte[]> deltas = new TreeMap<>();

    /** This configuration is decided; one that is not newer changes nothing. */
    void append(Configuration decided) {
        if (decided.revision() <= newest.revision()) {
            return;
        }
        if (newest != Configuration.NONE) {
            byte[] reverseDelta = BinaryDelta.create(decided.body(), newest.body());
            previous.addFirst(
                    new PreviousConfiguration(newest.revision(), newest.digest(), reverseDelta));
            deltaBytes += reverseDelta.length;
            while (previous.size() > MAX_PREVIOUS_CONFIGURATIONS
                    || deltaBytes > MAX_TOTAL_DELTA_BYTES) {
                deltaBytes -= previous.removeLast().reverseDelta().length;
            }
        }
        newest = decided;
        compressed = null;
        deltas.clear();
    }

    Configuration newest() {
        return newest;
    }

    /** The newest configuration, compressed. */
    byte[] compressed() {
        if (compressed == null) {
            compressed = Compression.compress(newest.body());
        }
        return compressed;
    }

    /**
     * What turns a configuration into the newest.
     *
     * @return null where only the whole serves
     */
    byte[] deltaFrom(long revision, long digest) {
        if (revision >= newest.revision()) {
            return null;
        }
        PreviousConfiguration configuration = newestUpTo(revision);
        if (configuration == null
                || configuration.revision() != revision
                || configuration.digest() != digest) {
            return null;
        }
        byte[] delta = deltas.computeIfAbsent(revision, this::buildDelta);
        return delta.length == 0 ? null : delta;
    }

    private PreviousConfiguration newestUpTo(long revision) {
        for (PreviousConfiguration configuration : previous) {
            if (configuration.revision() <= revision) {
                return configuration;
            }
        }
        return null;
    }

    private byte[] buildDelta(long revision) {
        byte[] body = newest.body();
        try {
            for (PreviousConfiguration configuration : previous) {
                body = BinaryDelta.apply(body, configuration.reverseDelta());
                if (configuration.revision() == revision) {
                    break;
                }
            }
        } catch (BinaryDelta.InvalidDeltaException exception) {
            throw new IllegalStateException(exception);
        }
        byte[] delta = BinaryDelta.create(body, newest.body());
        return delta.length < compressed().length ? delta : NO_DELTA;
    }
}
