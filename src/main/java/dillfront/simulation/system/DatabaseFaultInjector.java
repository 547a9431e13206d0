package dillfront.simulation.system;

import java.util.ArrayList;
import java.util.List;

/**
 * Injects faults of database servers and bursts of writes, as described by a line of a scenario.
 */
final class DatabaseFaultInjector {

    /** Sessions with a single write are numbered from here on. */
    private static final int FIRST_SINGLE_WRITE_SESSION = 1_000;

    /** The share of data planes that a primary is isolated from. */
    private static final double ISOLATED_SHARE = 0.4;

    private static final double RESPONSE_LOSS_RATE = 0.2;
    private static final double REPLICATION_LAG_MILLIS = 8;

    private final SystemSimulation simulation;
    private final Simulator simulator;
    private final DatabaseServers servers;
    private int replacementCount;
    private int singleWriteSessions;

    DatabaseFaultInjector(SystemSimulation simulation, DatabaseServers servers) {
        this.simulation = simulation;
        this.servers = servers;
        simulator = simulation.simulator;
    }

    /** Injects the fault of a line; returns false if the line is no fault of a database. */
    boolean inject(String[] args, String line, long millis) {
        switch (args[0]) {
            case "crash", "dark" -> {
                DatabaseCluster database = simulation.database(args[1]);
                crash(database, select(database, args[2]), args[0].equals("dark"), millis);
            }
            case "restart" -> {
                DatabaseCluster database = simulation.database(args[1]);
                restart(database, select(database, args[2]), millis);
            }
            case "release" -> {
                DatabaseCluster database = simulation.database(args[1]);
                drainAndStop(
                        database,
                        select(database, args[2]),
                        line.contains(" same"),
                        line.contains(" longer") ? millis : 0,
                        line.contains(" by leave"));
            }
            case "gone" -> {
                DatabaseCluster database = simulation.database(args[1]);
                removePermanently(database, select(database, args[2]), line.contains(" same"));
            }
            case "add" -> addReplica(simulation.database(args[1]), args[2]);
            case "lag" -> slowReplication(simulation.database(args[1]), args[2], millis);
            case "promotes" ->
                    simulation.database(args[1]).promotionDelayMillis = Double.parseDouble(args[2]);
            case "lose" -> loseResponses(select(simulation.database(args[1]), args[2]), millis);
            case "deaf" -> blockReplication(select(simulation.database(args[1]), args[2]), millis);
            case "receive" ->
                    limitReplication(
                            simulation.database(args[1]),
                            args[3],
                            Integer.parseInt(args[2]),
                            millis);
            case "writes" ->
                    writeConcurrently(
                            simulation.database(args[1]),
                            Integer.parseInt(args[2]),
                            simulation.findMachine(args[3]));
            case "primary_cut" -> isolatePrimary(simulation.database(args[1]), args[2], millis);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void slowReplication(DatabaseCluster database, String factor, long durationMillis) {
        database.replicationLagMillis = REPLICATION_LAG_MILLIS * Double.parseDouble(factor);
        simulator.scheduleAfter(
                durationMillis, () -> database.replicationLagMillis = REPLICATION_LAG_MILLIS);
    }

    private void loseResponses(DatabaseCluster.Server server, long durationMillis) {
        if (server != null) {
            server.responseLossRate = RESPONSE_LOSS_RATE;
            simulator.scheduleAfter(durationMillis, () -> server.responseLossRate = 0);
        }
    }

    private void blockReplication(DatabaseCluster.Server server, long durationMillis) {
        if (server != null) {
            simulation.logEvent("block replication to " + server.id);
            server.replicationBlocked = true;
            simulator.scheduleAfter(durationMillis, () -> server.replicationBlocked = false);
        }
    }

    /** Selects a server: the primary, one by id, the last replica, or else the first replica. */
    private DatabaseCluster.Server select(DatabaseCluster database, String selector) {
        DatabaseCluster.Server primary = database.primary();
        if (selector.equals("primary")) {
            return primary;
        }
        if (database.findServer(selector) != null) {
            return database.findServer(selector);
        }
        List<DatabaseCluster.Server> replicas =
                database.servers.stream()
                        .filter(server -> server != primary && server.host.up)
                        .toList();
        return replicas.isEmpty()
                ? null
                : replicas.get(selector.equals("last") ? replicas.size() - 1 : 0);
    }

    /** Crashes a server for a while: by power loss, or with its connections reset. */
    private void crash(
            DatabaseCluster database,
            DatabaseCluster.Server server,
            boolean powerLoss,
            long durationMillis) {
        if (server == null) {
            return;
        }
        simulation.logEvent(
                (powerLoss ? "dark " : "crash ")
                        + server.id
                        + (server.isPrimary ? " (primary)" : ""));
        if (server.isPrimary) {
            simulation.consistencyChecker.primaryLost(database.name);
        }
        server.stop(powerLoss);
        simulator.scheduleAfter(
                durationMillis,
                () -> {
                    simulation.logEvent("restart " + server.id);
                    // The restarted server keeps its log and address and gets a new id.
                    server.host.up();
                    database.servers.remove(server);
                    DatabaseCluster.Server restarted =
                            database
                            .new Server(
                                    server.host,
                                    server.id.replaceAll("r\\d*$", "") + "r" + ++replacementCount,
                                    Integer.parseInt(
                                            server.address.substring(
                                                    server.address.indexOf(':') + 1)));
                    restarted.log.addAll(server.log);
                    restarted.appliedCount = server.appliedCount;
                    restarted.term = server.term;
                    restarted.isPrimary = server.isPrimary;
                    restarted.onRoleChange =
                            () -> servers.sendHeartbeat(database, restarted, false, 0);
                    DatabaseCluster.Server primary =
                            database.servers.stream()
                                    .filter(other -> other != restarted && other.isPrimary)
                                    .findFirst()
                                    .orElse(null);
                    if (primary != null) {
                        restarted.isPrimary = false;
                        restarted.truncateLog(commonPrefixLength(restarted, primary));
                    }
                    servers.startHeartbeats(database, restarted);
                });
    }

    /**
     * Restarts a replica, which keeps its log, its address and its id, and is not paused any more.
     */
    private void restart(DatabaseCluster database, DatabaseCluster.Server server, long downMillis) {
        if (server == null || server.isPrimary) {
            return;
        }
        int port = Integer.parseInt(server.address.substring(server.address.indexOf(':') + 1));
        simulation.logEvent("restart " + server.id + " with its id");
        server.stop(false);
        simulator.scheduleAfter(
                downMillis,
                () -> {
                    if (database.servers.contains(server)) {
                        server.host.up();
                        server.open(port);
                        servers.startHeartbeats(database, server);
                    }
                });
    }

    /**
     * Removes a server and its log permanently; an empty replacement starts after 2 s, at another
     * address or at the same.
     */
    private void removePermanently(
            DatabaseCluster database, DatabaseCluster.Server server, boolean sameAddress) {
        if (server == null) {
            return;
        }
        simulation.logEvent(
                "permanent loss of " + server.id + (server.isPrimary ? " (primary)" : ""));
        if (server.isPrimary) {
            simulation.consistencyChecker.primaryLost(database.name);
        }
        server.stop(true);
        server.isPrimary = false;
        database.servers.remove(server);
        addReplacement(database, server, sameAddress, 2_000);
    }

    /** Starts an empty server, which copies the log of the primary. */
    private void addReplacement(
            DatabaseCluster database,
            DatabaseCluster.Server removed,
            boolean sameAddress,
            long delayMillis) {
        simulator.scheduleAfter(
                delayMillis,
                () -> {
                    int port =
                            Integer.parseInt(
                                    removed.address.substring(removed.address.indexOf(':') + 1));
                    DatabaseCluster.Server replacement;
                    if (sameAddress) {
                        removed.host.up();
                        replacement =
                                database
                                .new Server(
                                        removed.host,
                                        removed.id.replaceAll("r\\d*$", "")
                                                + "r"
                                                + ++replacementCount,
                                        port);
                        DatabaseCluster.Server restarted = replacement;
                        replacement.onRoleChange =
                                () -> servers.sendHeartbeat(database, restarted, false, 0);
                        servers.startHeartbeats(database, replacement);
                    } else {
                        replacement =
                                servers.createServer(
                                        database,
                                        removed.host.zone,
                                        100 + ++replacementCount,
                                        port);
                    }
                    replacement.copiedAtMillis =
                            simulator.millis() + 300 + simulator.random.nextInt(1_200);
                    simulation.logEvent("start replacement " + replacement.id);
                });
    }

    /** Adds an empty replica in a zone, which copies the log of the primary. */
    private void addReplica(DatabaseCluster database, String zone) {
        String address = database.servers.get(0).address;
        DatabaseCluster.Server replica =
                servers.createServer(
                        database,
                        zone,
                        100 + ++replacementCount,
                        Integer.parseInt(address.substring(address.indexOf(':') + 1)));
        replica.copiedAtMillis = simulator.millis() + 300 + simulator.random.nextInt(1_200);
        simulation.logEvent("start " + replica.id);
    }

    /**
     * Lets all replicas but the draining ones and one other receive this number of commits, and
     * then nothing.
     */
    private void limitReplication(
            DatabaseCluster database, String exceptedId, int commits, long durationMillis) {
        for (DatabaseCluster.Server server : database.servers) {
            if (server.isPrimary || server.draining || server.id.equals(exceptedId)) {
                continue;
            }
            simulation.logEvent(server.id + " receives " + commits + " more");
            server.maxReceivedLogSize = server.log.size() + commits;
            simulator.scheduleAfter(
                    durationMillis, () -> server.maxReceivedLogSize = Integer.MAX_VALUE);
        }
    }

    /** Runs one write on each of several new sessions of a data plane, all at the same time. */
    private void writeConcurrently(
            DatabaseCluster database, int writes, Simulator.Machine dataPlane) {
        simulation.logEvent(writes + " concurrent writes through " + dataPlane.name);
        for (int i = 0; i < writes; i++) {
            new ClientSession(
                            simulation,
                            FIRST_SINGLE_WRITE_SESSION + singleWriteSessions++,
                            "primary",
                            database.name,
                            database.name + "-primary",
                            2_500)
                    .writeOnce(dataPlane);
        }
    }

    /**
     * Isolates the primary from the other servers, the control machines, or some of the data
     * planes.
     */
    private void isolatePrimary(DatabaseCluster database, String peers, long durationMillis) {
        DatabaseCluster.Server primary = database.primary();
        if (primary == null) {
            return;
        }
        simulation.logEvent("primary " + primary.id + " is isolated from " + peers);
        List<Simulator.Machine> isolatedFrom = new ArrayList<>();
        switch (peers) {
            case "replicas" ->
                    database.servers.stream()
                            .filter(server -> server != primary)
                            .forEach(server -> isolatedFrom.add(server.host));
            case "core" ->
                    simulation
                            .controlCluster
                            .machines()
                            .forEach(controlMachine -> isolatedFrom.add(controlMachine.host));
            default ->
                    isolatedFrom.addAll(
                            simulation.disturbDataPlanes(ISOLATED_SHARE, durationMillis));
        }
        isolatedFrom.forEach(machine -> simulator.cut(primary.host, machine, true));
        simulator.scheduleAfter(
                durationMillis,
                () -> isolatedFrom.forEach(machine -> simulator.cut(primary.host, machine, false)));
    }

    private static int commonPrefixLength(DatabaseCluster.Server a, DatabaseCluster.Server b) {
        int length = 0;
        while (length < a.log.size()
                && length < b.log.size()
                && a.log.get(length) == b.log.get(length)) {
            length++;
        }
        return length;
    }

    /**
     * Drains a server, which counts as a synchronous replica until it stops, and removes it with
     * its log. An empty replacement starts beforehand at another address, or afterwards at the
     * same.
     */
    private void drainAndStop(
            DatabaseCluster database,
            DatabaseCluster.Server server,
            boolean sameAddress,
            long extraMillis,
            boolean byLeaveMessage) {
        if (server == null) {
            return;
        }
        simulation.logEvent("drain " + server.id + (byLeaveMessage ? " by leave message" : ""));
        if (!sameAddress) {
            addReplacement(database, server, false, 0);
        }
        simulator.scheduleAfter(
                1_500,
                () -> {
                    if (byLeaveMessage) {
                        // An older heartbeat arrives late; no heartbeats follow the leave message.
                        String delayedHeartbeat = servers.heartbeatBody(database, server);
                        server.heartbeatsStopped = true;
                        servers.sendHeartbeat(database, server, true, 0);
                        server.host.schedule(
                                3_000,
                                () ->
                                        servers.send(
                                                server,
                                                "/Instances.Heartbeat/" + server.id,
                                                delayedHeartbeat,
                                                acknowledged -> {}));
                    } else {
                        server.draining = true;
                        servers.sendHeartbeat(database, server, false, 0);
                    }
                    simulator.scheduleAfter(
                            7_500 + extraMillis,
                            () -> {
                                if (server.host.up && !byLeaveMessage) {
                                    servers.sendHeartbeat(database, server, true, 0);
                                }
                                simulator.scheduleAfter(
                                        300,
                                        () -> {
                                            simulation.logEvent(
                                                    "stopped "
                                                            + server.id
                                                            + (server.isPrimary
                                                                    ? " (primary)"
                                                                    : ""));
                                            if (server.isPrimary) {
                                                simulation.consistencyChecker.primaryLost(
                                                        database.name);
                                            }
                                            server.stop(false);
                                            database.servers.remove(server);
                                            server.isPrimary = false;
                                            if (sameAddress) {
                                                addReplacement(database, server, true, 2_000);
                                            }
                                        });
                            });
                });
    }
}
