package dillfront.simulation.system;

import com.eclipsesource.json.Json;
import java.util.List;
import java.util.function.Consumer;

/** Creates the simulated database servers and sends their calls to the control plane. */
final class DatabaseServers {

    private final SystemSimulation simulation;
    private final Simulator simulator;
    private long callSequence;

    DatabaseServers(SystemSimulation simulation) {
        this.simulation = simulation;
        simulator = simulation.simulator;
    }

    /** Creates a running replica on a machine of its own. */
    DatabaseCluster.Server createServer(
            DatabaseCluster database, String zone, int index, int port) {
        Simulator.Machine machine =
                simulator
                .new Machine(
                        database.name + "-" + zone + index,
                        zone,
                        "10.8." + database.name.substring(2) + "." + (10 + index));
        DatabaseCluster.Server server =
                database.new Server(machine, database.name + "-" + zone + index, port);
        server.onRoleChange = () -> sendHeartbeat(database, server, false, 0);
        startHeartbeats(database, server);
        return server;
    }

    void startHeartbeats(DatabaseCluster database, DatabaseCluster.Server server) {
        int incarnation = server.host.incarnation;
        server.host.schedule(
                simulator.random.nextInt((int) SystemSimulation.HEARTBEAT_INTERVAL_MILLIS),
                new Runnable() {
                    @Override
                    public void run() {
                        if (server.host.incarnation == incarnation
                                && database.servers.contains(server)) {
                            if (!server.heartbeatsStopped) {
                                sendHeartbeat(database, server, false, 0);
                            }
                            server.host.schedule(SystemSimulation.HEARTBEAT_INTERVAL_MILLIS, this);
                        }
                    }
                });
    }

    /**
     * Sends a heartbeat to random control machines until one acknowledges it, up to seven times.
     */
    void sendHeartbeat(
            DatabaseCluster database,
            DatabaseCluster.Server server,
            boolean isLeaving,
            int attempts) {
        if (!server.host.up || attempts > 6) {
            return;
        }
        boolean isDraining = server.draining || isLeaving;
        String body = heartbeatBody(database, server);
        send(
                server,
                (isLeaving ? "/Instances.Leave/" : "/Instances.Heartbeat/") + server.id,
                body,
                acknowledged -> {
                    if (!acknowledged) {
                        server.host.schedule(
                                50L * (attempts + 1),
                                () -> sendHeartbeat(database, server, isLeaving, attempts + 1));
                    } else if (isDraining) {
                        simulation.consistencyChecker.drainAcknowledgedMicros.putIfAbsent(
                                server.id, simulator.micros());
                    }
                });
    }

    /** Builds a heartbeat with the server's current state. */
    String heartbeatBody(DatabaseCluster database, DatabaseCluster.Server server) {
        return Json.object()
                .add("service", database.name)
                .add("address", server.address)
                .add("zone_name", server.host.zone)
                .add("state", server.draining ? "draining" : "ready")
                .add("database_role", server.isPrimary ? "primary" : "replica")
                .add("call_sequence", ++callSequence)
                .toString();
    }

    /** Sends a call to a random control machine. */
    void send(
            DatabaseCluster.Server server,
            String path,
            String body,
            Consumer<Boolean> acknowledged) {
        List<ControlMachine> machines = simulation.controlCluster.knownMachines();
        ControlMachine target = machines.get(simulator.random.nextInt(machines.size()));
        simulation
                .controlCluster
                .call(server.host, "POST", target, path, Simulator.bytes(body), 1_000)
                .whenComplete(
                        (result, failure) ->
                                acknowledged.accept(
                                        failure == null && result.response().status() == 200));
    }
}
