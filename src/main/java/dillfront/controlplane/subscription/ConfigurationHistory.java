package dillfront.controlplane.subscription;

import dillfront.common.config.Configuration;
import dillfront.common.message.BinaryDelta;
import dillfront.common.message.Compression;
import java.util.ArrayDeque;
import java.util.TreeMap;

/**
 * The newest decided configuration and those before it, for whoever holds one of them and wants the
 * newest. Of those before only what turns each into the one before it is kept, so that hundreds of
 * changes take little room. What is made for one asker serves all others.
 */
public final class ConfigurationHistory {

    private static final int MAX_STEPS = 64;
    private static final int MAX_DELTA_BYTES = 1 << 19;

    /** One that was the newest: what turns the one after it into it. */
    private record Step(long revision, long digest, byte[] reverseDelta) {}

    private final ArrayDeque<Step> steps = new ArrayDeque<>();
    private int deltaBytes;
    private Configuration newest = Configuration.NONE;
    private byte[] compressed;

    /**
     * What turns a version into the newest; empty where that is not known, or no shorter than the
     * whole.
     */
    private final TreeMap<Long, byte[]> deltas = new TreeMap<>();

    /** This one is decided; one that is no newer than what is known changes nothing. */
    public void append(Configuration next) {
        if (next.revision() <= newest.revision()) {
            return;
        }
        if (newest != Configuration.NONE) {
            Step last =
                    new Step(
                            newest.revision(),
                            newest.digest(),
                            BinaryDelta.create(next.body(), newest.body()));
            steps.addFirst(last);
            deltaBytes += last.reverseDelta().length;
            while (steps.size() > MAX_STEPS || deltaBytes > MAX_DELTA_BYTES) {
                deltaBytes -= steps.removeLast().reverseDelta().length;
            }
        }
        newest = next;
        compressed = null;
        deltas.clear();
    }

    public Configuration newest() {
        return newest;
    }

    /** The newest, deflated. */
    public byte[] compressed() {
        if (compressed == null) {
            compressed = Compression.compress(newest.body());
        }
        return compressed;
    }

    /** What turns this one into the newest; null where only the whole serves. */
    public byte[] deltaFrom(long version, long digest) {
        if (version >= newest.revision()) {
            return null;
        }
        Step from = null;
        for (Step p : steps) {
            if (p.revision() <= version) {
                from = p;
                break;
            }
        }
        if (from == null || from.revision() != version || from.digest() != digest) {
            return null;
        }
        byte[] delta = deltas.computeIfAbsent(version, v -> buildDelta(v));
        return delta.length == 0 ? null : delta;
    }

    private byte[] buildDelta(long version) {
        byte[] body = newest.body();
        try {
            for (Step p : steps) {
                body = BinaryDelta.apply(body, p.reverseDelta());
                if (p.revision() == version) {
                    break;
                }
            }
        } catch (BinaryDelta.InvalidDeltaException never) {
            throw new IllegalStateException(never);
        }
        byte[] delta = BinaryDelta.create(body, newest.body());
        return delta.length < compressed().length ? delta : new byte[0];
    }
}
