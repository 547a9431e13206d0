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
 * The settings object shared by the simulator's first message and the configuration file.
 *
 * @param routing settings of the routing engine
 * @param typeIndices indices of the transaction types by name; likewise for tenants and zones
 * @param hasSessionTokens whether session reads state the time of the session's last write
 * @param nodeIdleTimeout a node closes a connection that was idle for this long
 * @param hasLoadReports whether nodes send load reports, in responses and probes or in probes only
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

    /** Maps a session's hash to one of the routing engine's session slots. */
    public static int sessionSlot(long number) {
        return Math.floorMod(number * 0x9E3779B97F4A7C15L >>> 20, RoutingEngine.SESSION_SLOTS);
    }

    // Loops instead of streams: this code runs at every start, which pays for each JDK class that
    // it loads first.

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

    private static RoutingSettings routing(
            JsonObject settingsJson, JsonObject familyInfo, Map<String, Integer> zones) {
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
                bounds.getBoolean("retryAfter")
                        ? bounds.getDuration("maxRetryAfterUs")
                        : Duration.ZERO,
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
