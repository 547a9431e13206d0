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

    private static final int MAX_STEPS = 64;
    private static final int MAX_DELTA_BYTES = 1 << 19;
    private static final byte[] NONE = new byte[0];

    /**
     * A previous configuration.
     *
     * @param reverseDelta the delta from its successor to it
     */
    private record PreviousConfiguration(long revision, long digest, byte[] reverseDelta) {}

    /** The newest previous configuration first. */
    private final ArrayDeque<PreviousConfiguration> steps = new ArrayDeque<>();

    private int deltaBytes;
    private Configuration newest = Configuration.NONE;

    /** The newest configuration, compressed; null until first requested. */
    private byte[] compressed;

    /**
     * By revision, the delta to the newest configuration; {@link #NONE} if the compressed
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
            steps.addFirst(
                    new PreviousConfiguration(newest.revision(), newest.digest(), reverseDelta));
            deltaBytes += reverseDelta.length;
            while (steps.size() > MAX_STEPS || deltaBytes > MAX_DELTA_BYTES) {
                deltaBytes -= steps.removeLast().reverseDelta().length;
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
        PreviousConfiguration step = newestStepUpTo(revision);
        if (step == null || step.revision() != revision || step.digest() != digest) {
            return null;
        }
        byte[] delta = deltas.computeIfAbsent(revision, this::buildDelta);
        return delta.length == 0 ? null : delta;
    }

    private PreviousConfiguration newestStepUpTo(long revision) {
        for (PreviousConfiguration step : steps) {
            if (step.revision() <= revision) {
                return step;
            }
        }
        return null;
    }

    private byte[] buildDelta(long revision) {
        byte[] body = newest.body();
        try {
            for (PreviousConfiguration step : steps) {
                body = BinaryDelta.apply(body, step.reverseDelta());
                if (step.revision() == revision) {
                    break;
                }
            }
        } catch (BinaryDelta.InvalidDeltaException impossible) {
            throw new IllegalStateException(impossible);
        }
        byte[] delta = BinaryDelta.create(body, newest.body());
        return delta.length < compressed().length ? delta : NONE;
    }
}
