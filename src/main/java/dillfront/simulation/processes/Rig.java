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
     * @param deadlineMs how long clients of each type may wait, by the settings
     * @param command what starts a router; null for this JVM's own classes
     * @param settings what is changed in the text of the settings, which is in single quotes there
     * @param operatorFile the text of the operator's file for a router, by the rig and its index;
     *     null for none
     */
    public record Plan(
            int routers,
            int groups,
            int membersPerGroup,
            List<String> zones,
            long deadlineMs,
            SimulatedNode.Capacity capacity,
            List<String> command,
            UnaryOperator<String> settings,
            BiFunction<Rig, Integer, String> operatorFile) {

        /** So many routers, groups, and members a group. */
        public static Plan of(int routers, int groups, int members) {
            return new Plan(
                    routers,
                    groups,
                    members,
                    List.of("a"),
                    2000,
                    new SimulatedNode.Capacity(4, 2000, 0.2, 4000, 2, 1000),
                    null,
                    UnaryOperator.identity(),
                    null);
        }

        /** The same plan over these zones, in turn. */
        public Plan zones(String... names) {
            return new Plan(
                    routers,
                    groups,
                    membersPerGroup,
                    List.of(names),
                    deadlineMs,
                    capacity,
                    command,
                    settings,
                    operatorFile);
        }

        public Plan deadline(long ms) {
            return new Plan(
                    routers,
                    groups,
                    membersPerGroup,
                    zones,
                    ms,
                    capacity,
                    command,
                    settings,
                    operatorFile);
        }

        public Plan capacity(SimulatedNode.Capacity newCapacity) {
            return new Plan(
                    routers,
                    groups,
                    membersPerGroup,
                    zones,
                    deadlineMs,
                    newCapacity,
                    command,
                    settings,
                    operatorFile);
        }

        public Plan command(List<String> newCommand) {
            return new Plan(
                    routers,
                    groups,
                    membersPerGroup,
                    zones,
                    deadlineMs,
                    capacity,
                    newCommand,
                    settings,
                    operatorFile);
        }

        public Plan operatorFile(BiFunction<Rig, Integer, String> newOperatorFile) {
            return new Plan(
                    routers,
                    groups,
                    membersPerGroup,
                    zones,
                    deadlineMs,
                    capacity,
                    command,
                    settings,
                    newOperatorFile);
        }
    }

    private static final long INITIAL_GENERATION = 41;

    private final Plan plan;
    private final Path folder;
    private final TestHarness harness = new TestHarness();
    private final Thread shutdownHook = new Thread(this::stopProcesses, "rig");
    private final List<NodeGroup> groups = new ArrayList<>();
    private final Map<String, SimulatedNode> nodes = new LinkedHashMap<>();
    private final DiscoveryCatalog catalog;
    private final List<RouterProcess> routers = new ArrayList<>();

    /** By router and node. */
    private final Map<String, TcpFaultProxy> nodeProxies = new HashMap<>();

    /** By router: its agents, as many as it was ever moved to, and the ways there. */
    private final List<List<DiscoveryAgent>> agents = new ArrayList<>();

    private final List<List<TcpFaultProxy>> agentProxies = new ArrayList<>();
    private final List<UdpFaultProxy> udpProxies = new ArrayList<>();

    /** Sets all up; the routers are started by start(). */
    public Rig(Plan plan) throws IOException {
        this.plan = plan;
        folder = Files.createTempDirectory("dillfront-rig");
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        List<DiscoveryCatalog.Entry> entries = new ArrayList<>();
        for (int groupIndex = 0; groupIndex < plan.groups; groupIndex++) {
            NodeGroup group = new NodeGroup(harness, groupIndex, TransactionMix.DEDUP_WINDOW_MS);
            groups.add(group);
            for (int memberIndex = 0; memberIndex < plan.membersPerGroup; memberIndex++) {
                String id = "s-" + (groupIndex * plan.membersPerGroup + memberIndex);
                nodes.put(
                        id, new SimulatedNode(harness, id, group, memberIndex == 0, plan.capacity));
                entries.add(
                        new DiscoveryCatalog.Entry(
                                id,
                                groupIndex,
                                plan.zones.get(memberIndex % plan.zones.size()),
                                "ready",
                                0,
                                memberIndex == 0));
            }
        }
        catalog = new DiscoveryCatalog(INITIAL_GENERATION, entries);
        for (int routerIndex = 0; routerIndex < plan.routers; routerIndex++) {
            String name = "r" + routerIndex;
            Path config = folder.resolve(name + ".json");
            List<String> command = plan.command != null ? plan.command : routerCommand();
            Map<String, String> extraEnvironment = new HashMap<>();
            if (plan.operatorFile != null) {
                extraEnvironment.put("LB_OPERATOR", folder.resolve(name + ".star").toString());
            }
            RouterProcess router =
                    new RouterProcess(
                            harness,
                            name,
                            TestHarness.freeAddress(routerIndex),
                            config,
                            command,
                            extraEnvironment);
            routers.add(router);
            for (SimulatedNode node : nodes.values()) {
                nodeProxies.put(
                        name + ">" + node.id(),
                        new TcpFaultProxy(
                                harness,
                                router::incarnation,
                                () -> TestHarness.localAddress(node.port())));
            }
            agents.add(new ArrayList<>());
            agentProxies.add(new ArrayList<>());
            addAgent(routerIndex);
            writeConfiguration(routerIndex, 0);
        }
        for (int routerIndex = 0;
                routerIndex < plan.routers && plan.operatorFile != null;
                routerIndex++) {
            Files.writeString(
                    folder.resolve("r" + routerIndex + ".star"),
                    plan.operatorFile.apply(this, routerIndex));
        }
    }

    /** The program by this JVM's own classes, as the deployment would start it. */
    public static List<String> routerCommand() {
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
        routers.forEach(RouterProcess::start);
        routers.forEach(RouterProcess::awaitServing);
    }

    public TestHarness harness() {
        return harness;
    }

    public Path folder() {
        return folder;
    }

    public List<RouterProcess> routers() {
        return routers;
    }

    public RouterProcess router(int routerIndex) {
        return routers.get(routerIndex);
    }

    public List<NodeGroup> groups() {
        return groups;
    }

    public SimulatedNode node(String id) {
        return nodes.get(id);
    }

    public List<SimulatedNode> nodes() {
        return List.copyOf(nodes.values());
    }

    public DiscoveryCatalog catalog() {
        return catalog;
    }

    /** The way from a router to a node. */
    public TcpFaultProxy nodeProxy(int router, String nodeId) {
        return nodeProxies.get("r" + router + ">" + nodeId);
    }

    public TcpFaultProxy agentProxy(int router, int agent) {
        return agentProxies.get(router).get(agent);
    }

    public DiscoveryAgent agent(int router, int agent) {
        return agents.get(router).get(agent);
    }

    /** One agent more for this router, at a port of its own; its number. */
    public int addAgent(int routerIndex) {
        String name = "r" + routerIndex;
        DiscoveryAgent agent =
                new DiscoveryAgent(
                        harness,
                        "a" + agents.get(routerIndex).size(),
                        catalog,
                        id -> nodes.get(id).port());
        agent.setNodePorts(name, id -> nodeProxies.get(name + ">" + id).port());
        agents.get(routerIndex).add(agent);
        agentProxies
                .get(routerIndex)
                .add(
                        new TcpFaultProxy(
                                harness,
                                routers.get(routerIndex)::incarnation,
                                () -> TestHarness.localAddress(agent.port())));
        return agents.get(routerIndex).size() - 1;
    }

    /**
     * Writes the router's configuration, with discovery at this agent of its own and the first list
     * as known.
     */
    public void writeConfiguration(int routerIndex, int agent) {
        String name = "r" + routerIndex;
        List<String> known = new ArrayList<>();
        for (DiscoveryCatalog.Entry entry :
                catalog.versionAt(INITIAL_GENERATION).entries().values()) {
            known.add(
                    DiscoveryAgent.entryJson(
                            entry, nodeProxies.get(name + ">" + entry.id()).port()));
        }
        String text =
                "{'name':'"
                        + name
                        + "','listen':'"
                        + routers.get(routerIndex).address().getHostString()
                        + ":"
                        + routers.get(routerIndex).address().getPort()
                        + "','discovery':'"
                        + TestHarness.HOST
                        + ":"
                        + agentProxies.get(routerIndex).get(agent).port()
                        + "','seed':'"
                        + Long.toHexString(0x8c1f30d27a5be964L + routerIndex)
                        + "','limits':"
                        + "{'cores':1.0,'memory_mb':128,'sockets':512},'known':{'generation':"
                        + INITIAL_GENERATION
                        + ",'reset':true,"
                        + "'instances':["
                        + String.join(",", known)
                        + "]},'settings':"
                        + plan.settings.apply(
                                TransactionMix.settingsJson(
                                        plan.zones.get(routerIndex % plan.zones.size()),
                                        plan.zones,
                                        plan.routers,
                                        plan.deadlineMs,
                                        plan.capacity))
                        + "}";
        try {
            Path newFile = folder.resolve(name + ".next");
            Files.writeString(newFile, text.replace('\'', '"'));
            Files.move(
                    newFile,
                    routers.get(routerIndex).configFile(),
                    java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException ex) {
            throw new IllegalStateException(ex);
        }
    }

    /**
     * On the loop: the latest generation that this life has shown at this agent to have read;
     * negative where none.
     */
    public long acknowledgedGeneration(String subscription) {
        return harness.acknowledgedGeneration(subscription);
    }

    /**
     * Datagrams between these two are lost from now on, both ways, or pass; for routers that talk.
     */
    public void setPartitioned(int first, int second, boolean partitioned) {
        udpProxies.get(first).setBlocked(second, partitioned);
        udpProxies.get(second).setBlocked(first, partitioned);
    }

    /**
     * A hub before each router's datagrams, whose own sockets are at these addresses. Before
     * start().
     */
    public List<UdpFaultProxy> udpProxies(List<InetSocketAddress> sockets) {
        if (udpProxies.isEmpty()) {
            sockets.forEach(socket -> udpProxies.add(new UdpFaultProxy(harness, socket, sockets)));
        }
        return udpProxies;
    }

    /** Power is gone for all at once: routers, nodes, and the agents that routers are at. */
    public void losePower() {
        routers.stream().filter(router -> !router.isDown()).forEach(RouterProcess::kill);
        nodes.values().stream().filter(SimulatedNode::isListening).forEach(SimulatedNode::kill);
        agents.forEach(
                routerAgents ->
                        routerAgents.stream()
                                .filter(DiscoveryAgent::isListening)
                                .forEach(DiscoveryAgent::close));
    }

    /** A node is back, cold, with its data so far behind what it had, and discovery knows of it. */
    public void restartNode(SimulatedNode node, long lostDataMs) {
        node.start(lostDataMs);
        harness.run(
                () -> {
                    DiscoveryCatalog.Entry previous = catalog.entry(node.id());
                    catalog.update(previous.readyWithStart(node.startedMs));
                });
    }

    /** A client of this router asks once, with no write of its session before. */
    public CompletableFuture<Event.QueryEnded> submit(
            int router, String type, int group, String key, long timeoutMs) {
        CompletableFuture<Event.QueryEnded> answer = new CompletableFuture<>();
        harness.run(
                () ->
                        routers.get(router)
                                .client()
                                .submit(type, group, key, timeoutMs, 0, answer::complete));
        return answer;
    }

    /** How often nodes have read a statement with this key, and how often it had its effect. */
    public long[] receivedAndAppliedCounts(String key) {
        long[] counts = new long[2];
        harness.run(
                () ->
                        harness.forEachEvent(
                                event -> {
                                    counts[0] +=
                                            event instanceof Event.StatementReceived statement
                                                            && statement.key().equals(key)
                                                    ? 1
                                                    : 0;
                                    counts[1] +=
                                            event instanceof Event.WriteApplied write
                                                            && write.key().equals(key)
                                                    ? 1
                                                    : 0;
                                }));
        return counts;
    }

    /** Until nobody waits for an answer. */
    public void awaitAllAnswered() {
        harness.await(
                "all clients had their answers",
                () -> routers.stream().allMatch(router -> router.client().pendingCount() == 0));
    }

    private void stopProcesses() {
        routers.forEach(RouterProcess::close);
    }

    @Override
    public void close() throws IOException {
        stopProcesses();
        harness.close();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path file : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
