package dillfront.router.gossip;

import static dillfront.routing.api.Durations.multiply;

import dillfront.routing.api.HealthObservation;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * What this router tells others of nodes: only what it sees itself, when it begins, again while
 * there is new evidence, and once more when it is over. Says nothing new where enough others have
 * said it already, nor of more than a few nodes a second: a router that finds everything ill is
 * more likely ill itself.
 */
public final class Witness {

    /** Said again after this part of the time for which claims stand, while it lasts. */
    private static final double AGAIN = 0.5;

    /** New claims, in the time for which claims stand. */
    private static final int MOST = 16;

    /** Takes what is to be said. */
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
     * @param enough others have said it already, so that one more voice adds nothing
     */
    public void seen(
            int node, HealthObservation sight, boolean enough, Duration now, Telling telling) {
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
        if (!sight.isFaulty()) {
            if (row.said && sight.health() == HealthObservation.Health.WELL) {
                telling.say(node, Symptom.WELL, 0, Duration.ZERO);
                row.said = false;
            }
            row.ill = false;
            return;
        }
        row.since = row.ill ? row.since : now;
        boolean due =
                !row.ill
                        || now.minus(row.saidAt).compareTo(multiply(lasts, AGAIN)) >= 0
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
