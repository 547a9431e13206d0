package dillfront.router.plan;

import dillfront.router.config.ConfigException;
import dillfront.router.config.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads the planner's input from a router's configuration: the settings and the member list in
 * discovery's format.
 */
public final class PlannerInputReader {

    private PlannerInputReader() {}

    /**
     * @param config a configuration as the platform delivers it to a router
     * @param requestedPart requested work, as a part of the capacity of all nodes
     * @param mix share of each transaction type in the work; empty for equal shares
     */
    public static PlannerInput read(
            JsonObject config, double requestedPart, Map<String, Double> mix)
            throws ConfigException {
        JsonObject settings = config.getObject("settings");
        List<?> readClasses = settings.getObject("familyInfo").getList("classRead");
        List<JsonObject> types = settings.getObjects("classes");
        List<PlannerInput.TransactionType> transactionTypes = new ArrayList<>();
        Map<String, Double> shares = new TreeMap<>(mix);
        for (int i = 0; i < types.size(); i++) {
            String name = types.get(i).getString("name");
            String readClass = i < readClasses.size() ? String.valueOf(readClasses.get(i)) : "";
            boolean primaryOnly = !List.of("eventual", "lag_bound", "causal").contains(readClass);
            Double share = mix.isEmpty() ? 1.0 / types.size() : shares.getOrDefault(name, 0.0);
            shares.remove(name);
            transactionTypes.add(
                    new PlannerInput.TransactionType(
                            name, primaryOnly, types.get(i).getDouble("worth", 1), share));
        }
        if (!shares.isEmpty()) {
            throw new ConfigException(
                    "the settings define no transaction type '"
                            + shares.keySet().iterator().next()
                            + "'");
        }
        List<PlannerInput.Node> nodes = new ArrayList<>();
        List<String> sites = new ArrayList<>();
        settings.getList("zones").forEach(z -> sites.add(String.valueOf(z)));
        for (JsonObject entry : config.getObject("known").getObjects("instances")) {
            if (!entry.getString("lifecycle").equals("ready")) {
                continue;
            }
            double weight = entry.getDouble("weight", 1);
            String site = entry.getString("zone");
            if (!sites.contains(site)) {
                sites.add(site);
            }
            nodes.add(
                    new PlannerInput.Node(
                            entry.getString("instanceId"),
                            site,
                            (int) entry.getLong("cell"),
                            weight > 0 ? weight : 1,
                            entry.getString("role").equals("leader")));
        }
        if (nodes.isEmpty()) {
            throw new ConfigException("'known' lists no instance with lifecycle 'ready'");
        }
        return new PlannerInput(
                sites,
                nodes,
                transactionTypes,
                requestedPart,
                settings.getObject("charges").getDouble("crossZone", 0));
    }
}
