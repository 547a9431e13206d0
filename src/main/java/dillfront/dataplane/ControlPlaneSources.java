package dillfront.dataplane;

import dillfront.common.environment.Environment;
import dillfront.common.protocol.SubscriptionResponse.ControlAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The control processes that can be polled, in order of preference: the addresses that a control
 * process sent last, then the addresses of the settings; reachable ones before unreachable ones,
 * and ones of the local region first. An abandoned source is not selected again during its
 * cooldown, unless no other source remains.
 */
final class ControlPlaneSources {

    private static final int MAX_SOURCES = 16;

    private static final int RANK_COUNT = 4;

    /** A control process; a lower rank is preferred. */
    private record Source(String ip, boolean local, boolean unreachable) {

        int rank() {
            return (unreachable ? 2 : 0) + (local ? 0 : 1);
        }
    }

    /**
     * The time in which a source is not selected again.
     *
     * @param abandonedMillis when the source was abandoned
     * @param untilMillis when the cooldown ends
     */
    private record Cooldown(long abandonedMillis, long untilMillis) {}

    private final Environment environment;
    private final Predicate<String> isLocalRegion;

    /** The sources that a control process sent last. */
    private List<Source> receivedSources = List.of();

    /** All sources in order of preference. */
    private final List<String> orderedIps = new ArrayList<>();

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
        List<Source> updated = isolated ? new ArrayList<>(receivedSources) : new ArrayList<>();
        for (ControlAddress address : addresses) {
            boolean known =
                    isolated
                            && receivedSources.stream()
                                    .anyMatch(source -> source.ip().equals(address.ip()));
            if (!known) {
                updated.add(
                        new Source(
                                address.ip(),
                                isLocalRegion.test(address.zoneName()),
                                isolated || address.unresponsive()));
            }
        }
        receivedSources = updated;
        updateOrder(seeds);
    }

    /**
     * Rebuilds the order of preference. Received addresses replace the earlier ones, so that
     * removed control processes do not accumulate.
     */
    void updateOrder(List<String> seeds) {
        orderedIps.clear();
        for (int rank = 0; rank < RANK_COUNT; rank++) {
            for (Source source : receivedSources) {
                if (source.rank() == rank
                        && orderedIps.size() < MAX_SOURCES
                        && !orderedIps.contains(source.ip())) {
                    orderedIps.add(source.ip());
                }
            }
        }
        seeds.stream().filter(ip -> !orderedIps.contains(ip)).forEach(orderedIps::add);
        cooldowns.keySet().retainAll(orderedIps);
    }

    int size() {
        return orderedIps.size();
    }

    /** Starts the cooldown of an abandoned source. */
    void startCooldown(String ip, long cooldownMillis) {
        if (orderedIps.contains(ip)) {
            long now = environment.nowMillis();
            cooldowns.put(ip, new Cooldown(now, now + cooldownMillis));
        }
    }

    /**
     * Returns when a source in cooldown was abandoned; {@code Long.MIN_VALUE} if it is not in
     * cooldown.
     */
    private long abandonedMillis(String ip) {
        Cooldown cooldown = cooldowns.get(ip);
        return cooldown != null && cooldown.untilMillis() > environment.nowMillis()
                ? cooldown.abandonedMillis()
                : Long.MIN_VALUE;
    }

    private boolean isCoolingDown(String ip) {
        return abandonedMillis(ip) != Long.MIN_VALUE;
    }

    /**
     * Returns the first source that is not in cooldown, else the one that was abandoned first; null
     * if there is no source.
     */
    String select() {
        String selected = orderedIps.isEmpty() ? null : orderedIps.get(0);
        for (String ip : orderedIps) {
            selected = abandonedMillis(ip) < abandonedMillis(selected) ? ip : selected;
        }
        return selected;
    }

    /** Returns whether all other sources are in cooldown. */
    boolean isOnlyAvailable(String currentIp) {
        return orderedIps.stream().allMatch(ip -> ip.equals(currentIp) || isCoolingDown(ip));
    }

    /**
     * Returns a reachable source of the local region if the current one is in another region; else
     * null.
     */
    String findBetter(String currentIp) {
        for (Source source : receivedSources) {
            if (source.ip().equals(currentIp) && source.local()) {
                return null;
            }
        }
        for (Source source : receivedSources) {
            if (source.local() && !source.unreachable() && !isCoolingDown(source.ip())) {
                return source.ip();
            }
        }
        return null;
    }
}
