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

    private static final int RANKS = 4;

    /** A control process; lower ranks are asked first. */
    private record Source(String ip, boolean local, boolean silent) {

        int rank() {
            return (silent ? 2 : 0) + (local ? 0 : 1);
        }
    }

    /**
     * @param leftMillis when the source was left
     * @param untilMillis it is not gone back to by choice before
     */
    private record Cooldown(long leftMillis, long untilMillis) {}

    private final Environment environment;
    private final Predicate<String> isLocalRegion;

    /** What a control process named last. */
    private List<Source> named = List.of();

    /** All that may be asked, in their order. */
    private final List<String> ips = new ArrayList<>();

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
        List<Source> next = isolated ? new ArrayList<>(named) : new ArrayList<>();
        for (ControlAddress address : addresses) {
            boolean known = isolated && named.stream().anyMatch(s -> s.ip().equals(address.ip()));
            if (!known) {
                next.add(
                        new Source(
                                address.ip(),
                                isLocalRegion.test(address.zoneName()),
                                isolated || address.unresponsive()));
            }
        }
        named = next;
        arrange(seeds);
    }

    /**
     * What is named replaces what was named before, so that the list does not fill with the dead.
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

    /** A source was left: it is not gone back to by choice for so long. */
    void onLeft(String ip, long cooldownMillis) {
        if (ips.contains(ip)) {
            long now = environment.nowMillis();
            cooldowns.put(ip, new Cooldown(now, now + cooldownMillis));
        }
    }

    /** When a source was left that is not to be gone back to yet; else the earliest moment. */
    private long leftMillis(String ip) {
        Cooldown cooldown = cooldowns.get(ip);
        return cooldown != null && cooldown.untilMillis() > environment.nowMillis()
                ? cooldown.leftMillis()
                : Long.MIN_VALUE;
    }

    private boolean isCoolingDown(String ip) {
        return leftMillis(ip) != Long.MIN_VALUE;
    }

    /** The first that was not left of late; else the one that was left first. Null for none. */
    String next() {
        String best = ips.isEmpty() ? null : ips.get(0);
        for (String ip : ips) {
            best = leftMillis(ip) < leftMillis(best) ? ip : best;
        }
        return best;
    }

    /** Whether all but this one were left of late. */
    boolean isLastResort(String current) {
        return ips.stream().allMatch(ip -> ip.equals(current) || isCoolingDown(ip));
    }

    /** One in contact and of the own region, where the present one is of another; null for none. */
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
