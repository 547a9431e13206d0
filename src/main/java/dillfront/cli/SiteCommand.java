package dillfront.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import dillfront.router.config.ConfigException;
import dillfront.router.config.JsonObject;
import dillfront.router.plan.LoadPlan;
import dillfront.router.plan.LoadPlanner;
import dillfront.router.plan.PlannerInput;
import dillfront.router.plan.PlannerInputReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plans how load is redistributed after the loss of sites, offline. */
@Command(
        name = "site",
        description = "Plans for the loss of sites.",
        mixinStandardHelpOptions = true,
        subcommands = SiteCommand.PlanCommand.class)
final class SiteCommand implements Runnable {

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "expected plan");
    }

    @Command(
            name = "plan",
            mixinStandardHelpOptions = true,
            description =
                    "Prints the redistributed load, the refused load and its limits, for the loss of each site and each pair.",
            footer = {
                "",
                "Example:",
                "  dillfront site plan config.json --use 0.7 --mix view=0.6,move=0.4 --lost north"
            })
    static final class PlanCommand implements Callable<Integer> {

        @Parameters(
                paramLabel = "CONFIG",
                description = "a router's configuration, with its settings and the list in 'known'")
        private Path file;

        @Option(
                names = "--use",
                paramLabel = "PART",
                defaultValue = "0.7",
                description =
                        "the load, as a part of the capacity of all servers (${DEFAULT-VALUE})")
        private double utilization;

        @Option(
                names = "--mix",
                paramLabel = "TYPE=SHARE",
                split = ",",
                description =
                        "the share of each transaction type in the load; equal shares by default")
        private Map<String, Double> typeShares = new TreeMap<>();

        @Option(
                names = "--lost",
                paramLabel = "SITE",
                split = ",",
                description = "only for the loss of these sites")
        private List<String> lostSites = List.of();

        @Option(names = "--json", description = "print JSON instead of a table")
        private boolean json;

        @Override
        public Integer call() {
            double sumOfShares =
                    typeShares.values().stream().mapToDouble(Double::doubleValue).sum();
            if (utilization <= 0
                    || !typeShares.isEmpty() && Math.abs(sumOfShares - 1) > 0.001
                    || typeShares.values().stream().anyMatch(s -> s < 0)) {
                return RootCommand.fail(
                        utilization <= 0
                                ? "--use " + utilization + ": expected more than 0"
                                : "--mix: sum of shares is "
                                        + sumOfShares
                                        + ", expected 1 and no negative share");
            }
            PlannerInput estate;
            try (InputStream in = Files.newInputStream(file)) {
                estate = PlannerInputReader.read(JsonObject.parse(in), utilization, typeShares);
            } catch (NoSuchFileException e) {
                return RootCommand.fail(file + ": no such file");
            } catch (IOException | ConfigException e) {
                return RootCommand.fail(
                        file
                                + ": "
                                + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            }
            for (String site : lostSites) {
                if (!estate.sites().contains(site)) {
                    return RootCommand.fail(
                            "--lost "
                                    + site
                                    + ": no such site, expected one of "
                                    + String.join(", ", estate.sites()));
                }
            }
            List<LoadPlan> plans =
                    lostSites.isEmpty()
                            ? LoadPlanner.allPlans(estate)
                            : List.of(LoadPlanner.plan(estate, new TreeSet<>(lostSites)));
            System.out.print(json ? json(estate, plans) : table(estate, plans));
            return 0;
        }
    }

    private static String labelOf(LoadPlan plan) {
        return plan.lost().isEmpty() ? "none" : String.join("+", plan.lost());
    }

    static String table(PlannerInput estate, List<LoadPlan> plans) {
        StringBuilder out =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "%-24s %6s %7s  %s%n",
                                "lost",
                                "served",
                                "crosses",
                                "refused, most first"));
        for (LoadPlan plan : plans) {
            double crosses =
                    plan.groups().stream()
                            .flatMap(g -> g.loads().stream())
                            .mapToDouble(LoadPlan.TypeLoad::crossSite)
                            .sum();
            Map<Double, List<String>> refused = new TreeMap<>((a, b) -> Double.compare(b, a));
            for (PlannerInput.TransactionType kind : estate.transactionTypes()) {
                double share = plan.refusedPart(kind.name());
                if (share > 0.0005) {
                    refused.computeIfAbsent(share, k -> new java.util.ArrayList<>())
                            .add(String.format(Locale.ROOT, "%s %.1f%%", kind.name(), share * 100));
                }
            }
            out.append(
                    String.format(
                            Locale.ROOT,
                            "%-24s %5.1f%% %6.1f%%  %s%n",
                            labelOf(plan),
                            100 * plan.served() / plan.requested(),
                            100 * crosses / plan.requested(),
                            refused.isEmpty()
                                    ? "-"
                                    : String.join(
                                            ", ",
                                            refused.values().stream()
                                                    .flatMap(List::stream)
                                                    .toList())));
        }
        for (LoadPlan plan : plans) {
            for (LoadPlan.Group group : plan.groups()) {
                List<String> limits =
                        group.loads().stream()
                                .filter(r -> r.limit() != LoadPlan.Limit.NONE)
                                .map(
                                        r ->
                                                String.format(
                                                        Locale.ROOT,
                                                        "%s: %s, %.1f%% refused",
                                                        r.type(),
                                                        describe(r.limit()),
                                                        100 * (1 - r.served() / r.requested())))
                                .toList();
                if (group.needsElection() || !limits.isEmpty()) {
                    out.append(
                            String.format(
                                    Locale.ROOT,
                                    "%n%s, group %d: %d of %d members left, %s",
                                    labelOf(plan),
                                    group.number(),
                                    group.left(),
                                    group.members(),
                                    group.primary() == null
                                            ? "none to lead"
                                            : group.needsElection()
                                                    ? "no primary until one takes over (planned for "
                                                            + group.primary()
                                                            + ")"
                                                    : group.primary() + " leads"));
                    limits.forEach(b -> out.append("\n  ").append(b));
                }
            }
        }
        return out.append('\n').toString().replace("\n\n\n", "\n\n");
    }

    private static String describe(LoadPlan.Limit limit) {
        return switch (limit) {
            case NO_MEMBER -> "no member is left";
            case PRIMARY -> "the primary is full";
            case MEMBERS -> "all members are full";
            case NONE -> "";
        };
    }

    /** Rounds to six decimals; digits beyond are rounding errors of the solver. */
    private static double roundToMillionth(double amount) {
        return Math.round(amount * 1e6) / 1e6;
    }

    static String json(PlannerInput estate, List<LoadPlan> plans) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            out.writeStartObject();
            out.writeNumberField("use", estate.requestedPart());
            out.writeArrayFieldStart("plans");
            for (LoadPlan plan : plans) {
                out.writeStartObject();
                out.writeArrayFieldStart("lost");
                for (String site : plan.lost()) {
                    out.writeString(site);
                }
                out.writeEndArray();
                out.writeNumberField("asked", roundToMillionth(plan.requested()));
                out.writeNumberField("served", roundToMillionth(plan.served()));
                out.writeArrayFieldStart("groups");
                for (LoadPlan.Group group : plan.groups()) {
                    out.writeStartObject();
                    out.writeNumberField("group", group.number());
                    out.writeNumberField("members", group.members());
                    out.writeNumberField("left", group.left());
                    out.writeStringField("primary", group.primary());
                    out.writeBooleanField("elects", group.needsElection());
                    out.writeArrayFieldStart("kinds");
                    for (LoadPlan.TypeLoad row : group.loads()) {
                        out.writeStartObject();
                        out.writeStringField("kind", row.type());
                        out.writeNumberField("asked", roundToMillionth(row.requested()));
                        out.writeNumberField("served", roundToMillionth(row.served()));
                        out.writeNumberField("crosses", roundToMillionth(row.crossSite()));
                        out.writeStringField("limit", row.limit().name().toLowerCase(Locale.ROOT));
                        out.writeArrayFieldStart("flows");
                        for (LoadPlan.Flow flow : row.flows()) {
                            out.writeStartObject();
                            out.writeStringField("from", flow.fromSite());
                            out.writeStringField("node", flow.node());
                            out.writeStringField("at", flow.at());
                            out.writeNumberField("amount", roundToMillionth(flow.amount()));
                            out.writeEndObject();
                        }
                        out.writeEndArray();
                        out.writeEndObject();
                    }
                    out.writeEndArray();
                    out.writeEndObject();
                }
                out.writeEndArray();
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return text.append('\n').toString();
    }
}
