package dillfront.router.gossip;

import static dillfront.routing.api.Spans.times;

import dillfront.routing.api.Sight;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides which of this router's own observations of nodes are published as claims: when a symptom
 * begins, again while there is new evidence, and once more when it has ended. A claim is left out
 * if enough peers have made it already. The number of claims is also limited, since a router that
 * finds every node unhealthy is more likely unhealthy itself.
 */
public final class Witness {

    /** Interval between repeated claims on a lasting symptom, as a part of a claim's validity. */
    private static final double AGAIN = 0.5;

    /** Maximum number of new claims per claim validity. */
    private static final int MOST = 16;

    /** Receives the claims to publish. */
    public interface Telling {
        void say(int node, Symptom symptom, int evidence, Duration since);
    }

    private static final class Row {
        boolean ill;
        boolean said;
        Duration since = Duration.ZERO;
        Duration saidAt = Duration.ZERO;
    }

    private final Duration lasts;
    private final List<Row> rows = new ArrayList<>();
    private double allowance = MOST;
    private Duration filledAt = Duration.ZERO;

    public Witness(Tuning tuning) {
        lasts = tuning.lasts();
    }

    /**
     * @param enough enough peers have made the claim, so one more adds nothing
     */
    public void seen(int node, Sight sight, boolean enough, Duration now, Telling telling) {
        while (rows.size() <= node) {
            rows.add(new Row());
        }
        allowance =
                Math.min(
                        MOST,
                        allowance
                                + MOST * (double) now.minus(filledAt).toNanos() / lasts.toNanos());
        filledAt = now;
        Row row = rows.get(node);
        if (!sight.ill()) {
            if (row.said && sight.health() == Sight.Health.WELL) {
                telling.say(node, Symptom.WELL, 0, Duration.ZERO);
                row.said = false;
            }
            row.ill = false;
            return;
        }
        row.since = row.ill ? row.since : now;
        boolean due =
                !row.ill
                        || now.minus(row.saidAt).compareTo(times(lasts, AGAIN)) >= 0
                                && sight.evidence() > 0;
        row.ill = true;
        if (due && !enough && allowance >= 1) {
            allowance--;
            row.said = true;
            row.saidAt = now;
            telling.say(
                    node,
                    switch (sight.health()) {
                        case LOST -> Symptom.UNREACHABLE;
                        case FAILING -> Symptom.REFUSING;
                        default -> Symptom.HUNG;
                    },
                    sight.evidence(),
                    now.minus(row.since));
        }
    }

    public void forget(int node) {
        if (node < rows.size()) {
            rows.set(node, new Row());
        }
    }
}
