package dillfront.core;

import dillfront.host.Configuration;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.zip.CRC32C;

/**
 * The configuration: the highest version holds. It is acknowledged, and told to fronts, once the disks of a majority hold it
 * or a higher one; so any majority that is asked later knows of it, and nothing that was in force is ever taken back.
 */
final class Register {

    private static final int PIECE = 16_000;

    private final Core core;
    private Configuration held = Configuration.NONE;
    private long durable = -1;
    private Configuration committed = Configuration.NONE;
    private int pieces;

    private record Waits(long version, CompletableFuture<Void> done) { }

    private final List<Waits> waits = new ArrayList<>();

    Register(Core core) {
        this.core = core;
    }

    /** From the disk, at the start. */
    void load(Map<String, String> kept) throws Configuration.Invalid {
        pieces = Integer.parseInt(kept.getOrDefault("pieces", "0"));
        if (pieces > 0) {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < pieces; i++) {
                text.append(kept.getOrDefault("piece" + i, ""));
            }
            held = Configuration.read(text.toString().getBytes(StandardCharsets.UTF_8));
            durable = held.version();
        }
    }

    Configuration held() {
        return held;
    }

    Configuration committed() {
        return committed;
    }

    long durable() {
        return durable;
    }

    static long digest(Configuration of) {
        CRC32C crc = new CRC32C();
        crc.update(of.body());
        return crc.getValue();
    }

    /** Takes a version in where it is above what is held; completes once a majority has it or a higher one. */
    CompletableFuture<Void> put(Configuration next) {
        hold(next);
        return reached(next.version());
    }

    /** Completes once a majority has this version or a higher one. */
    CompletableFuture<Void> reached(long version) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        waits.add(new Waits(version, done));
        look();
        return done;
    }

    void hold(Configuration next) {
        if (next.version() <= held.version()) {
            return;
        }
        held = next;
        String text = new String(next.body(), StandardCharsets.UTF_8);
        Map<String, String> record = new HashMap<>();
        int count = 0;
        for (int at = 0; at < text.length(); count++) {
            int end = Math.min(text.length(), at + PIECE);
            if (end < text.length() && Character.isHighSurrogate(text.charAt(end - 1))) {
                end--;
            }
            record.put("piece" + count, text.substring(at, end));
            at = end;
        }
        for (int i = count; i < pieces; i++) {
            record.put("piece" + i, "");
        }
        pieces = count;
        record.put("pieces", Integer.toString(count));
        core.store(record).thenRun(() -> {
            durable = Math.max(durable, next.version());
            look();
            core.poke();
        });
    }

    /** Whether a majority has what is held here, or higher. */
    void look() {
        if (durable == held.version() && durable > committed.version()) {
            int have = core.votes() ? 1 : 0;
            long digest = digest(held);
            boolean told = false;
            for (Peer p : core.peers()) {
                boolean has = p.version > durable || p.version == durable && p.digest == digest;
                have += p.voter && !p.recovering && has ? 1 : 0;
                told |= p.committed > durable || p.committed == durable && p.digest == digest;
            }
            if (have >= core.majority() || told) {
                committed = held;
                core.news();
                core.poke();
            }
        }
        List<Waits> over = new ArrayList<>();
        waits.removeIf(w -> w.done().isDone() || w.version() <= committed.version() && over.add(w));
        over.forEach(w -> w.done().complete(null));
    }
}
