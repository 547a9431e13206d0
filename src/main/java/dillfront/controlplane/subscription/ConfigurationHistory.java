package dillfront.controlplane.subscription;

import dillfront.common.config.Configuration;
import dillfront.common.message.BinaryDelta;
import dillfront.common.message.Compression;
import java.util.ArrayDeque;
import java.util.TreeMap;

/**
 * Keeps the newest decided configuration and its predecessors, to send deltas to data planes that
 * have one of them. Of each predecessor only the delta from its successor is kept, so that hundreds
 * of changes need little memory. A delta is computed once for all data planes.
 */
final class ConfigurationHistory {

    private static final int MAX_PREVIOUS_CONFIGURATIONS = 64;
    private static final int MAX_TOTAL_DELTA_BYTES = 1 << 19;
    private static final byte[] NO_DELTA = new byte[0];

    /**
     * A previous configuration.
     *
     * @param reverseDelta the delta from its successor to it
     */
    private record PreviousConfiguration(long revision, long digest, byte[] reverseDelta) {}

    /** The newest previous configuration first. */
    private final ArrayDeque<PreviousConfiguration> previous = new ArrayDeque<>();

    private int deltaBytes;
    private Configuration newest = Configuration.NONE;

    /** The newest configuration, compressed; null until first requested. */
    private byte[] compressed;

    /**
     * By revision, the delta to the newest configuration; {@link #NO_DELTA} if the compressed
     * configuration is not longer.
     */
    private final TreeMap<Long, byte[]> deltas = new TreeMap<>();

    /** Adds a decided configuration; one that is not newer has no effect. */
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

    /** Returns the newest configuration, compressed. */
    byte[] compressed() {
        if (compressed == null) {
            compressed = Compression.compress(newest.body());
        }
        return compressed;
    }

    /**
     * Returns the delta from a configuration to the newest one.
     *
     * @return null if the full configuration has to be sent
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
