package dillfront.router.plan;

import dillfront.router.config.BadConfig;
import dillfront.router.config.Tree;
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
    public static PlannerInput read(Tree config, double requestedPart, Map<String, Double> mix)
            throws BadConfig {
        Tree settings = config.tree("settings");
        List<?> readClasses = settings.tree("familyInfo").list("classRead");
        List<Tree> types = settings.trees("classes");
        List<PlannerInput.TransactionType> transactionTypes = new ArrayList<>();
        Map<String, Double> shares = new TreeMap<>(mix);
        for (int i = 0; i < types.size(); i++) {
            String name = types.get(i).text("name");
            String readClass = i < readClasses.size() ? String.valueOf(readClasses.get(i)) : "";
            boolean primaryOnly = !List.of("eventual", "lag_bound", "causal").contains(readClass);
            Double share = mix.isEmpty() ? 1.0 / types.size() : shares.getOrDefault(name, 0.0);
            shares.remove(name);
            transactionTypes.add(
                    new PlannerInput.TransactionType(
                            name, primaryOnly, types.get(i).number("worth", 1), share));
        }
        if (!shares.isEmpty()) {
            throw new BadConfig(
                    "the settings define no transaction type '"
                            + shares.keySet().iterator().next()
                            + "'");
        }
        List<PlannerInput.Node> nodes = new ArrayList<>();
        List<String> sites = new ArrayList<>();
        settings.list("zones").forEach(z -> sites.add(String.valueOf(z)));
        for (Tree entry : config.tree("known").trees("instances")) {
            if (!entry.text("lifecycle").equals("ready")) {
                continue;
            }
            double weight = entry.number("weight", 1);
            String site = entry.text("zone");
            if (!sites.contains(site)) {
                sites.add(site);
            }
            nodes.add(
                    new PlannerInput.Node(
                            entry.text("instanceId"),
                            site,
                            (int) entry.whole("cell"),
                            weight > 0 ? weight : 1,
                            entry.text("role").equals("leader")));
        }
        if (nodes.isEmpty()) {
            throw new BadConfig("'known' lists no instance with lifecycle 'ready'");
        }
        return new PlannerInput(
                sites,
                nodes,
                transactionTypes,
                requestedPart,
                settings.tree("charges").number("crossZone", 0));
    }
}
