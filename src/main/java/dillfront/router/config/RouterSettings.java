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
 * @param routing what the module reads of it
 * @param typeIndices the names that stand for the indices of settings, as are tenants and zones
 * @param hasSessionTokens session reads tell how long ago their session last wrote
 * @param nodeIdleTimeout a connection that carried nothing for so long is closed by the node
 * @param hasLoadReports nodes tell of themselves: in answers and probes, or in probes alone
 */
public record RouterSettings(
        RoutingSettings routing,
        Map<String, Integer> typeIndices,
        Map<String, Integer> tenantIndices,
        Map<String, Integer> zoneIndices,
        boolean hasSessionTokens,
        Duration nodeIdleTimeout,
        boolean hasLoadReports) {

    /**
     * @throws ConfigException with the key and the fault
     */
    public static RouterSettings read(JsonObject settingsJson) {
        JsonObject familyInfo = settingsJson.getObject("familyInfo");
        Map<String, Integer> zones = indexByName(settingsJson.getList("zones"));
        return new RouterSettings(
                routing(settingsJson, familyInfo, zones),
                indexByName(names(settingsJson.getObjects("classes"))),
                indexByName(names(settingsJson.getObjects("tenants"))),
                zones,
                familyInfo.getString("tokens").equals("brought"),
                settingsJson.getObject("bounds").getDuration("keepaliveUs"),
                !settingsJson.getObject("stats").getString("how").equals("off")
                        && !settingsJson.getObject("stats").getList("fields").isEmpty());
    }

    public int zoneIndex(String name) {
        return zoneIndices.getOrDefault(name, -1);
    }

    /** Spreads the numbers that stand for sessions over the module's indices. */
    public static int sessionSlot(long number) {
        return Math.floorMod(number * 0x9E3779B97F4A7C15L >>> 20, RoutingEngine.SESSION_SLOTS);
    }

    // Loops, not streams: these are read at every start, which pays for each class of the JDK that
    // it uses first.

    private static List<String> names(List<JsonObject> objects) {
        List<String> names = new ArrayList<>();
        for (JsonObject entry : objects) {
            names.add(entry.getString("name"));
        }
        return names;
    }

    private static Map<String, Integer> indexByName(List<?> names) {
        Map<String, Integer> indices = new HashMap<>();
        for (Object name : names) {
            indices.put(String.valueOf(name), indices.size());
        }
        return indices;
    }

    private static RoutingSettings routing(JsonObject settingsJson, JsonObject familyInfo, Map<String, Integer> zones) {
        JsonObject bounds = settingsJson.getObject("bounds");
        JsonObject rules = settingsJson.getObject("rules");
        JsonObject charges = settingsJson.getObject("charges");
        List<JsonObject> classes = settingsJson.getObjects("classes");
        List<TransactionType> transactionTypes = new ArrayList<>();
        for (int i = 0; i < classes.size(); i++) {
            JsonObject transactionType = classes.get(i);
            transactionTypes.add(
                    new TransactionType(
                            switch (transactionType.getString("effect")) {
                                case "retryable" -> Repeatability.IDEMPOTENT;
                                case "dedup" -> Repeatability.DEDUPLICATED;
                                default -> Repeatability.NOT_REPEATABLE;
                            },
                            !transactionType.getString("dedupScope").equals("all"),
                            transactionType.getDuration("dedupWindowUs"),
                            read(familyInfo.getList("classRead"), i),
                            i < familyInfo.getList("classBoundUs").size()
                                    ? toDuration(familyInfo.getList("classBoundUs").get(i))
                                    : Duration.ZERO,
                            transactionType.getDuration("targetUs"),
                            transactionType.getDuration("deadlineUs"),
                            transactionType.getDouble("worth", 1),
                            transactionType.getDouble("lateShare", 0)));
        }
        return new RoutingSettings(
                settingsJson.getDuration("stepUs"),
                zones.getOrDefault(settingsJson.getString("az"), -1),
                bounds.getDuration("dialTimeoutUs"),
                bounds.getBoolean("retryAfter") ? bounds.getDuration("maxRetryAfterUs") : Duration.ZERO,
                (int) bounds.getDouble("maxAttempts", 1),
                bounds.getBoolean("probes"),
                settingsJson.getString("registryMode").equals("ask"),
                rules.getDuration("askWithinUs"),
                !familyInfo.getString("guards").equals("off"),
                rules.getBoolean("droppedStayOpen"),
                rules.getDouble("coldFrom", 1),
                rules.getDuration("coldUs"),
                rules.getDouble("tipMultiple", 1),
                rules.getDuration("tipAfterUs"),
                charges.getDouble("probe", 0),
                (int) settingsJson.getDouble("groupSize", 1),
                transactionTypes,
                quotas(settingsJson.getObjects("tenants")));
    }

    private static List<Double> quotas(List<JsonObject> tenants) {
        List<Double> quotas = new ArrayList<>();
        for (JsonObject tenant : tenants) {
            quotas.add(tenant.getDouble("quotaPerS", 0));
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

    private static Duration toDuration(Object number) {
        return JsonObject.microsToDuration(number instanceof Number n ? n.longValue() : 0);
    }
}
