package dillfront.router.plan;

import dillfront.router.config.BadConfig;
import dillfront.router.config.Tree;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** An estate out of what a router is told: the settings, and the list in discovery's form. */
public final class PlannerInputReader {

    private PlannerInputReader() {}

    /**
     * @param config a configuration, as the platform gives it to a router
     * @param requestedPart what is asked, as a part of what all nodes can do
     * @param mix the share of each txn type in the work; empty where all have the same
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
                    "no txn type '" + shares.keySet().iterator().next() + "' in the settings");
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
            throw new BadConfig("'known' lists no node that is ready");
        }
        return new PlannerInput(
                sites,
                nodes,
                transactionTypes,
                requestedPart,
                settings.tree("charges").number("crossZone", 0));
    }
}
