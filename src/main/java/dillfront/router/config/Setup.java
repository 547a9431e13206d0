package dillfront.router.config;

import dillfront.routing.RoutingEngine;
import dillfront.routing.api.Consistency;
import dillfront.routing.api.Repeatability;
import dillfront.routing.api.RoutingSettings;
import dillfront.routing.api.TransactionType;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings object as the simulator's first message and the configuration file both hold it.
 *
 * @param settings what the module reads of it
 * @param types the names that stand for the indices of settings, as are tenants and zones
 * @param tokensCarried session reads tell how long ago their session last wrote
 * @param idle a connection that carried nothing for so long is closed by the node
 * @param reports nodes tell of themselves: in answers and probes, or in probes alone
 */
public record Setup(
        RoutingSettings settings,
        Map<String, Integer> types,
        Map<String, Integer> tenants,
        Map<String, Integer> zones,
        boolean tokensCarried,
        Duration idle,
        boolean reports) {

    /**
     * @throws BadConfig with the key and the fault
     */
    public static Setup read(Tree setup) {
        Tree family = setup.tree("familyInfo");
        Map<String, Integer> zones = index(setup.list("zones"));
        return new Setup(
                settings(setup, family, zones),
                index(names(setup.trees("classes"))),
                index(names(setup.trees("tenants"))),
                zones,
                family.text("tokens").equals("brought"),
                setup.tree("bounds").span("keepaliveUs"),
                !setup.tree("stats").text("how").equals("off")
                        && !setup.tree("stats").list("fields").isEmpty());
    }

    public int zone(String name) {
        return zones.getOrDefault(name, -1);
    }

    /** Spreads the numbers that stand for sessions over the module's indices. */
    public static int session(long number) {
        return Math.floorMod(number * 0x9E3779B97F4A7C15L >>> 20, RoutingEngine.SESSION_SLOTS);
    }

    // Loops, not streams: these are read at every start, which pays for each class of the JDK that
    // it uses first.

    private static List<String> names(List<Tree> of) {
        List<String> names = new ArrayList<>();
        for (Tree one : of) {
            names.add(one.text("name"));
        }
        return names;
    }

    private static Map<String, Integer> index(List<?> names) {
        Map<String, Integer> into = new HashMap<>();
        for (Object name : names) {
            into.put(String.valueOf(name), into.size());
        }
        return into;
    }

    private static RoutingSettings settings(Tree setup, Tree family, Map<String, Integer> zones) {
        Tree bounds = setup.tree("bounds");
        Tree rules = setup.tree("rules");
        Tree charges = setup.tree("charges");
        List<Tree> classes = setup.trees("classes");
        List<TransactionType> rows = new ArrayList<>();
        for (int i = 0; i < classes.size(); i++) {
            Tree type = classes.get(i);
            rows.add(
                    new TransactionType(
                            switch (type.text("effect")) {
                                case "retryable" -> Repeatability.IDEMPOTENT;
                                case "dedup" -> Repeatability.DEDUPLICATED;
                                default -> Repeatability.NOT_REPEATABLE;
                            },
                            !type.text("dedupScope").equals("all"),
                            type.span("dedupWindowUs"),
                            read(family.list("classRead"), i),
                            i < family.list("classBoundUs").size()
                                    ? micros(family.list("classBoundUs").get(i))
                                    : Duration.ZERO,
                            type.span("targetUs"),
                            type.span("deadlineUs"),
                            type.number("worth", 1),
                            type.number("lateShare", 0)));
        }
        return new RoutingSettings(
                setup.span("stepUs"),
                zones.getOrDefault(setup.text("az"), -1),
                bounds.span("dialTimeoutUs"),
                bounds.flag("retryAfter") ? bounds.span("maxRetryAfterUs") : Duration.ZERO,
                (int) bounds.number("maxAttempts", 1),
                bounds.flag("probes"),
                setup.text("registryMode").equals("ask"),
                rules.span("askWithinUs"),
                !family.text("guards").equals("off"),
                rules.flag("droppedStayOpen"),
                rules.number("coldFrom", 1),
                rules.span("coldUs"),
                rules.number("tipMultiple", 1),
                rules.span("tipAfterUs"),
                charges.number("probe", 0),
                (int) setup.number("groupSize", 1),
                rows,
                quotas(setup.trees("tenants")));
    }

    private static List<Double> quotas(List<Tree> tenants) {
        List<Double> quotas = new ArrayList<>();
        for (Tree tenant : tenants) {
            quotas.add(tenant.number("quotaPerS", 0));
        }
        return quotas;
    }

    private static Consistency read(List<?> reads, int i) {
        return switch (i < reads.size() ? String.valueOf(reads.get(i)) : "") {
            case "eventual" -> Consistency.EVENTUAL;
            case "lag_bound" -> Consistency.BOUNDED_STALENESS;
            case "causal" -> Consistency.SESSION;
            case "mutate" -> Consistency.WRITE;
            default -> Consistency.STRONG;
        };
    }

    private static Duration micros(Object number) {
        return Tree.micros(number instanceof Number n ? n.longValue() : 0);
    }
}
