package dillfront.simulation.processes;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

/**
 * A whole installation on loopback: routers as real processes, nodes, an agent of discovery for
 * each router, clients, and a relay on each way between them. All that it started it ends, also
 * where a test fails in the middle.
 */
public final class Rig implements AutoCloseable {

    /**
     * What there is to be.
     *
     * @param zones routers and the members of a group stand in them by turns
     * @param expiryMs how long clients of each type may wait, by the settings
     * @param command what starts a router; null for this JVM's own classes
     * @param settings what is changed in the text of the settings, which is in single quotes there
     * @param operator the text of the operator's file for a router, by the rig and its index; null
     *     for none
     */
    public record Plan(
            int routers,
            int groups,
            int members,
            List<String> zones,
            long expiryMs,
            Node.Work work,
            List<String> command,
            UnaryOperator<String> settings,
            BiFunction<Rig, Integer, String> operator) {

        /** So many routers, groups, and members a group. */
        public static Plan of(int routers, int groups, int members) {
            return new Plan(
                    routers,
                    groups,
                    members,
                    List.of("a"),
                    2000,
                    new Node.Work(4, 2000, 0.2, 4000, 2, 1000),
                    null,
                    UnaryOperator.identity(),
                    null);
        }

        /** The same plan over these zones, in turn. */
        public Plan zones(String... names) {
            return new Plan(
                    routers,
                    groups,
                    members,
                    List.of(names),
                    expiryMs,
                    work,
                    command,
                    settings,
                    operator);
        }

        public Plan expiry(long ms) {
            return new Plan(routers, groups, members, zones, ms, work, command, settings, operator);
        }

        public Plan work(Node.Work other) {
            return new Plan(
                    routers, groups, members, zones, expiryMs, other, command, settings, operator);
        }

        public Plan command(List<String> other) {
            return new Plan(
                    routers, groups, members, zones, expiryMs, work, other, settings, operator);
        }

        public Plan operator(BiFunction<Rig, Integer, String> text) {
            return new Plan(
                    routers, groups, members, zones, expiryMs, work, command, settings, text);
        }
    }

    private static final long FIRST_GENERATION = 41;

    private final Plan plan;
    private final Path folder;
    private final Stage stage = new Stage();
    private final Thread atExit = new Thread(this::endProcesses, "rig");
    private final List<Group> groups = new ArrayList<>();
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Catalogue catalogue;
    private final List<Router> routers = new ArrayList<>();

    /** By router and node. */
    private final Map<String, Relay> toNode = new HashMap<>();

    /** By router: its agents, as many as it was ever moved to, and the ways there. */
    private final List<List<Agent>> agents = new ArrayList<>();

    private final List<List<Relay>> toAgent = new ArrayList<>();
    private final List<Hub> hubs = new ArrayList<>();

    /** Sets all up; the routers are started by start(). */
    public Rig(Plan plan) throws IOException {
        this.plan = plan;
        folder = Files.createTempDirectory("dillfront-rig");
        Runtime.getRuntime().addShutdownHook(atExit);
        List<Catalogue.Entry> entries = new ArrayList<>();
        for (int g = 0; g < plan.groups; g++) {
            Group group = new Group(stage, g, Mix.WINDOW_MS);
            groups.add(group);
            for (int m = 0; m < plan.members; m++) {
                String id = "s-" + (g * plan.members + m);
                nodes.put(id, new Node(stage, id, group, m == 0, plan.work));
                entries.add(
                        new Catalogue.Entry(
                                id, g, plan.zones.get(m % plan.zones.size()), "ready", 0, m == 0));
            }
        }
        catalogue = new Catalogue(FIRST_GENERATION, entries);
        for (int r = 0; r < plan.routers; r++) {
            String name = "r" + r;
            Path config = folder.resolve(name + ".json");
            List<String> command = plan.command != null ? plan.command : own();
            Map<String, String> more = new HashMap<>();
            if (plan.operator != null) {
                more.put("LB_OPERATOR", folder.resolve(name + ".star").toString());
            }
            Router router = new Router(stage, name, Stage.free(r), config, command, more);
            routers.add(router);
            for (Node node : nodes.values()) {
                toNode.put(
                        name + ">" + node.id(),
                        new Relay(stage, router::life, () -> Stage.here(node.port())));
            }
            agents.add(new ArrayList<>());
            toAgent.add(new ArrayList<>());
            addAgent(r);
            configure(r, 0);
        }
        for (int r = 0; r < plan.routers && plan.operator != null; r++) {
            Files.writeString(folder.resolve("r" + r + ".star"), plan.operator.apply(this, r));
        }
    }

    /** The program by this JVM's own classes, as the deployment would start it. */
    public static List<String> own() {
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-Xmx64m",
                "-XX:TieredStopAtLevel=1",
                "-Djava.net.preferIPv4Stack=true",
                "-cp",
                System.getProperty("java.class.path"),
                "dillfront.cli.Main",
                "serve");
    }

    /** Starts all routers side by side, and returns once all serve. */
    public void start() {
        routers.forEach(Router::start);
        routers.forEach(Router::awaitServing);
    }

    public Stage stage() {
        return stage;
    }

    public Path folder() {
        return folder;
    }

    public List<Router> routers() {
        return routers;
    }

    public Router router(int r) {
        return routers.get(r);
    }

    public List<Group> groups() {
        return groups;
    }

    public Node node(String id) {
        return nodes.get(id);
    }

    public List<Node> nodes() {
        return List.copyOf(nodes.values());
    }

    public Catalogue catalogue() {
        return catalogue;
    }

    /** The way from a router to a node. */
    public Relay link(int router, String node) {
        return toNode.get("r" + router + ">" + node);
    }

    public Relay agentLink(int router, int agent) {
        return toAgent.get(router).get(agent);
    }

    public Agent agent(int router, int agent) {
        return agents.get(router).get(agent);
    }

    /** One agent more for this router, at a port of its own; its number. */
    public int addAgent(int r) {
        String name = "r" + r;
        Agent agent =
                new Agent(stage, "a" + agents.get(r).size(), catalogue, id -> nodes.get(id).port());
        agent.way(name, id -> toNode.get(name + ">" + id).port());
        agents.get(r).add(agent);
        toAgent.get(r).add(new Relay(stage, routers.get(r)::life, () -> Stage.here(agent.port())));
        return agents.get(r).size() - 1;
    }

    /**
     * Writes the router's configuration, with discovery at this agent of its own and the first list
     * as known.
     */
    public void configure(int r, int agent) {
        String name = "r" + r;
        List<String> known = new ArrayList<>();
        for (Catalogue.Entry e : catalogue.upTo(FIRST_GENERATION).entries().values()) {
            known.add(Agent.row(e, toNode.get(name + ">" + e.id()).port()));
        }
        String text =
                "{'name':'"
                        + name
                        + "','listen':'"
                        + routers.get(r).address().getHostString()
                        + ":"
                        + routers.get(r).address().getPort()
                        + "','discovery':'"
                        + Stage.HOST
                        + ":"
                        + toAgent.get(r).get(agent).port()
                        + "','seed':'"
                        + Long.toHexString(0x8c1f30d27a5be964L + r)
                        + "','limits':"
                        + "{'cores':1.0,'memory_mb':128,'sockets':512},'known':{'generation':"
                        + FIRST_GENERATION
                        + ",'reset':true,"
                        + "'instances':["
                        + String.join(",", known)
                        + "]},'settings':"
                        + plan.settings.apply(
                                Mix.settings(
                                        plan.zones.get(r % plan.zones.size()),
                                        plan.zones,
                                        plan.routers,
                                        plan.expiryMs,
                                        plan.work))
                        + "}";
        try {
            Path next = folder.resolve(name + ".next");
            Files.writeString(next, text.replace('\'', '"'));
            Files.move(next, routers.get(r).config(), java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException bad) {
            throw new IllegalStateException(bad);
        }
    }

    /**
     * On the loop: the latest generation that this life has shown at this agent to have read;
     * negative where none.
     */
    public long heard(String lifeAndAgent) {
        return stage.heard(lifeAndAgent);
    }

    /**
     * Datagrams between these two are lost from now on, both ways, or pass; for routers that talk.
     */
    public void apart(int one, int other, boolean lost) {
        hubs.get(one).cut(other, lost);
        hubs.get(other).cut(one, lost);
    }

    /**
     * A hub before each router's datagrams, whose own sockets are at these addresses. Before
     * start().
     */
    public List<Hub> hubs(List<InetSocketAddress> sockets) {
        if (hubs.isEmpty()) {
            sockets.forEach(s -> hubs.add(new Hub(stage, s, sockets)));
        }
        return hubs;
    }

    /** Power is gone for all at once: routers, nodes, and the agents that routers are at. */
    public void cut() {
        routers.stream().filter(r -> !r.down()).forEach(Router::kill);
        nodes.values().stream().filter(Node::up).forEach(Node::kill);
        agents.forEach(all -> all.stream().filter(Agent::up).forEach(Agent::close));
    }

    /** A node is back, cold, with its data so far behind what it had, and discovery knows of it. */
    public void back(Node node, long lostMs) {
        node.start(lostMs);
        stage.run(
                () -> {
                    Catalogue.Entry before = catalogue.entry(node.id());
                    catalogue.change(before.startedAt(node.startedMs));
                });
    }

    /** A client of this router asks once, with no write of its session before. */
    public CompletableFuture<Happening.Answered> ask(
            int router, String type, int group, String key, long waitMs) {
        CompletableFuture<Happening.Answered> answer = new CompletableFuture<>();
        stage.run(
                () ->
                        routers.get(router)
                                .caller()
                                .ask(type, group, key, waitMs, 0, answer::complete));
        return answer;
    }

    /** How often nodes have read a statement with this key, and how often it had its effect. */
    public long[] count(String key) {
        long[] counts = new long[2];
        stage.run(
                () ->
                        stage.each(
                                h -> {
                                    counts[0] +=
                                            h instanceof Happening.Sent s && s.key().equals(key)
                                                    ? 1
                                                    : 0;
                                    counts[1] +=
                                            h instanceof Happening.Ran r && r.key().equals(key)
                                                    ? 1
                                                    : 0;
                                }));
        return counts;
    }

    /** Until nobody waits for an answer. */
    public void settle() {
        stage.await(
                "all clients had their answers",
                () -> routers.stream().allMatch(r -> r.caller().waiting() == 0));
    }

    private void endProcesses() {
        routers.forEach(Router::close);
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        stage.close();
        Runtime.getRuntime().removeShutdownHook(atExit);
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path file : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
