package dillfront.dataplane;

import dillfront.common.environment.Environment;
import dillfront.common.protocol.SubscriptionResponse.ControlAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The control processes that can be polled, in order of preference: the addresses that a control
 * process sent last, then the addresses of the settings; reachable ones before silent ones, and
 * ones of the local region first. An abandoned source is not selected again during its cooldown,
 * unless no other source remains.
 */
final class ControlPlaneSources {

    private static final int MAX_SOURCES = 16;

    private static final int RANKS = 4;

    /** A control process; a lower rank is preferred. */
    private record Source(String ip, boolean local, boolean silent) {

        int rank() {
            return (silent ? 2 : 0) + (local ? 0 : 1);
        }
    }

    /**
     * The time in which a source is not selected again.
     *
     * @param leftMillis when the source was abandoned
     * @param untilMillis when the cooldown ends
     */
    private record Cooldown(long leftMillis, long untilMillis) {}

    private final Environment environment;
    private final Predicate<String> isLocalRegion;

    /** The sources that a control process sent last. */
    private List<Source> named = List.of();

    /** All sources in order of preference. */
    private final List<String> ips = new ArrayList<>();

    private final TreeMap<String, Cooldown> cooldowns = new TreeMap<>();

    /**
     * Creates an empty list of sources.
     *
     * @param isLocalRegion whether a zone is in the local region
     */
    ControlPlaneSources(Environment environment, Predicate<String> isLocalRegion) {
        this.environment = environment;
        this.isLocalRegion = isLocalRegion;
    }

    /**
     * Applies the addresses of control processes from a response.
     *
     * @param isolated whether the sender is isolated from the majority and may know fewer
     *     addresses: its addresses are added after the known ones
     * @param seeds the addresses of the settings; they are always kept, as all the received
     *     addresses may be out of date
     */
    void update(List<ControlAddress> addresses, boolean isolated, List<String> seeds) {
        List<Source> next = isolated ? new ArrayList<>(named) : new ArrayList<>();
        for (ControlAddress address : addresses) {
            boolean known = isolated && named.stream().anyMatch(s -> s.ip().equals(address.ip()));
            if (!known) {
                next.add(
                        new Source(
                                address.ip(),
                                isLocalRegion.test(address.zoneName()),
                                isolated || address.silent()));
            }
        }
        named = next;
        arrange(seeds);
    }

    /**
     * Rebuilds the order of preference. Received addresses replace the earlier ones, so that
     * removed control processes do not accumulate.
     */
    void arrange(List<String> seeds) {
        ips.clear();
        for (int rank = 0; rank < RANKS; rank++) {
            for (Source source : named) {
                if (source.rank() == rank
                        && ips.size() < MAX_SOURCES
                        && !ips.contains(source.ip())) {
                    ips.add(source.ip());
                }
            }
        }
        seeds.stream().filter(ip -> !ips.contains(ip)).forEach(ips::add);
        cooldowns.keySet().retainAll(ips);
    }

    int size() {
        return ips.size();
    }

    /** Starts the cooldown of an abandoned source. */
    void onLeft(String ip, long cooldownMillis) {
        if (ips.contains(ip)) {
            long now = environment.nowMillis();
            cooldowns.put(ip, new Cooldown(now, now + cooldownMillis));
        }
    }

    /**
     * Returns when a source in cooldown was abandoned; {@code Long.MIN_VALUE} if it is not in
     * cooldown.
     */
    private long leftMillis(String ip) {
        Cooldown cooldown = cooldowns.get(ip);
        return cooldown != null && cooldown.untilMillis() > environment.nowMillis()
                ? cooldown.leftMillis()
                : Long.MIN_VALUE;
    }

    private boolean isCoolingDown(String ip) {
        return leftMillis(ip) != Long.MIN_VALUE;
    }

    /**
     * Returns the first source that is not in cooldown, else the one that was abandoned first; null
     * if there is no source.
     */
    String next() {
        String best = ips.isEmpty() ? null : ips.get(0);
        for (String ip : ips) {
            best = leftMillis(ip) < leftMillis(best) ? ip : best;
        }
        return best;
    }

    /** Returns whether all other sources are in cooldown. */
    boolean isLastResort(String current) {
        return ips.stream().allMatch(ip -> ip.equals(current) || isCoolingDown(ip));
    }

    /**
     * Returns a reachable source of the local region if the current one is in another region; else
     * null.
     */
    String betterThan(String current) {
        for (Source source : named) {
            if (source.ip().equals(current) && source.local()) {
                return null;
            }
        }
        for (Source source : named) {
            if (source.local() && !source.silent() && !isCoolingDown(source.ip())) {
                return source.ip();
            }
        }
        return null;
    }
}
