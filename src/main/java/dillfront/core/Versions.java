package dillfront.core;

import dillfront.host.Configuration;
import dillfront.host.Deflate;
import dillfront.host.Delta;
import java.util.ArrayDeque;
import java.util.TreeMap;

/**
 * The newest decided configuration and those before it, for whoever holds one of them and wants the
 * newest. Of those before only what turns each into the one before it is kept, so that hundreds of
 * changes take little room. What is made for one asker serves all others.
 */
final class Versions {

    private static final int MOST = 64;
    private static final int MOST_BYTES = 1 << 19;

    /** One that was the newest: what turns the one after it into it. */
    private record Past(long version, long digest, byte[] back) {}

    private final ArrayDeque<Past> past = new ArrayDeque<>();
    private int bytes;
    private Configuration newest = Configuration.NONE;
    private byte[] whole;

    /**
     * What turns a version into the newest; empty where that is not known, or no shorter than the
     * whole.
     */
    private final TreeMap<Long, byte[]> made = new TreeMap<>();

    /** This one is decided; one that is no newer than what is known changes nothing. */
    void decided(Configuration next) {
        if (next.version() <= newest.version()) {
            return;
        }
        if (newest != Configuration.NONE) {
            Past last =
                    new Past(
                            newest.version(),
                            newest.digest(),
                            Delta.of(next.body(), newest.body()));
            past.addFirst(last);
            bytes += last.back().length;
            while (past.size() > MOST || bytes > MOST_BYTES) {
                bytes -= past.removeLast().back().length;
            }
        }
        newest = next;
        whole = null;
        made.clear();
    }

    Configuration newest() {
        return newest;
    }

    /** The newest, deflated. */
    byte[] whole() {
        if (whole == null) {
            whole = Deflate.of(newest.body());
        }
        return whole;
    }

    /** What turns this one into the newest; null where only the whole serves. */
    byte[] since(long version, long digest) {
        if (version >= newest.version()) {
            return null;
        }
        Past from = null;
        for (Past p : past) {
            if (p.version() <= version) {
                from = p;
                break;
            }
        }
        if (from == null || from.version() != version || from.digest() != digest) {
            return null;
        }
        byte[] delta = made.computeIfAbsent(version, v -> make(v));
        return delta.length == 0 ? null : delta;
    }

    private byte[] make(long version) {
        byte[] body = newest.body();
        try {
            for (Past p : past) {
                body = Delta.apply(body, p.back());
                if (p.version() == version) {
                    break;
                }
            }
        } catch (Delta.Bad never) {
            throw new IllegalStateException(never);
        }
        byte[] delta = Delta.of(body, newest.body());
        return delta.length < whole().length ? delta : new byte[0];
    }
}
