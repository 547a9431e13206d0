package dillfront.dataplane;

import dillfront.common.environment.Environment;
import dillfront.common.protocol.SubscriptionResponse.ControlAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Which control processes there are to ask: those that a control process named last, and then those
 * of the settings; in contact before silent ones, and of the own region first. One that was left is
 * not gone back to by choice for a while.
 */
final class ControlPlaneSources {

    private static final int MAX_SOURCES = 16;

    private static final int RANK_COUNT = 4;

    /** A control process; lower ranks are asked first. */
    private record Source(String ip, boolean local, boolean unreachable) {

        int rank() {
            return (unreachable ? 2 : 0) + (local ? 0 : 1);
        }
    }

    /**
     * @param abandonedMillis when the source was left
     * @param untilMillis it is not gone back to by choice before
     */
    private record Cooldown(long abandonedMillis, long untilMillis) {}

    private final Environment environment;
    private final Predicate<String> isLocalRegion;

    /** What a control process named last. */
    private List<Source> receivedSources = List.of();

    /** All that may be asked, in their order. */
    private final List<String> orderedIps = new ArrayList<>();

    private final TreeMap<String, Cooldown> cooldowns = new TreeMap<>();

    /**
     * @param isLocalRegion whether a zone is in the own region
     */
    ControlPlaneSources(Environment environment, Predicate<String> isLocalRegion) {
        this.environment = environment;
        this.isLocalRegion = isLocalRegion;
    }

    /**
     * Takes over where control processes are.
     *
     * @param isolated the process that says so hears no majority and may know fewer: what it names
     *     comes behind what is known
     * @param seeds the addresses of the settings, which count whatever is named: all that was named
     *     may be gone
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
     * What is named replaces what was named before, so that the list does not fill with the dead.
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

    /** A source was left: it is not gone back to by choice for so long. */
    void startCooldown(String ip, long cooldownMillis) {
        if (orderedIps.contains(ip)) {
            long now = environment.nowMillis();
            cooldowns.put(ip, new Cooldown(now, now + cooldownMillis));
        }
    }

    /** When a source was left that is not to be gone back to yet; else the earliest moment. */
    private long abandonedMillis(String ip) {
        Cooldown cooldown = cooldowns.get(ip);
        return cooldown != null && cooldown.untilMillis() > environment.nowMillis()
                ? cooldown.abandonedMillis()
                : Long.MIN_VALUE;
    }

    private boolean isCoolingDown(String ip) {
        return abandonedMillis(ip) != Long.MIN_VALUE;
    }

    /** The first that was not left of late; else the one that was left first. Null for none. */
    String select() {
        String selected = orderedIps.isEmpty() ? null : orderedIps.get(0);
        for (String ip : orderedIps) {
            selected = abandonedMillis(ip) < abandonedMillis(selected) ? ip : selected;
        }
        return selected;
    }

    /** Whether all but this one were left of late. */
    boolean isOnlyAvailable(String currentIp) {
        return orderedIps.stream().allMatch(ip -> ip.equals(currentIp) || isCoolingDown(ip));
    }

    /** One in contact and of the own region, where the present one is of another; null for none. */
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
