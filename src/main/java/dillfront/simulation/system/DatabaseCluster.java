package dillfront.simulation.system;

import dillfront.common.database.LogPosition;
import dillfront.common.environment.Environment;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Simulates the database servers of a service as the protocol describes them: one primary, whose
 * log the replicas receive over the network.
 */
final class DatabaseCluster {

    /** One commit: its log position and the attempt that wrote it. */
    static final class Commit {
        final LogPosition position;
        final String attemptId;
        long acknowledged = -1;

        Commit(LogPosition position, String attemptId) {
            this.position = position;
            this.attemptId = attemptId;
        }
    }

    /** Observes the statements that servers run. */
    interface ExecutionObserver {
        /** Called when a read, write or commit runs on a connection. */
        void onExecute(
                Server server,
                Connection connection,
                String id,
                String text,
                boolean startsTransaction);

        void onPromoted(Server server);

        /** Called when a write that the log already holds is committed again. */
        void onDuplicateCommit(Server server, String id);
    }

    final Simulator simulator;
    final String name;
    final int slots;
    final int connectionLimit;
    final double meanWorkMillis;
    double promotionDelayMillis;
    final boolean synchronousReplication;
    double replicationLagMillis = 8;
    final List<Server> servers = new ArrayList<>();
    final ExecutionObserver observer;
    long term = 1;
    private long lastCompletionTag;
    final Map<String, String> attemptByCompletionTag = new HashMap<>();

    DatabaseCluster(
            Simulator simulator,
            String name,
            int slots,
            int connectionLimit,
            double meanWorkMillis,
            double promotionDelayMillis,
            boolean synchronousReplication,
            ExecutionObserver observer) {
        this.simulator = simulator;
        this.name = name;
        this.slots = slots;
        this.connectionLimit = connectionLimit;
        this.meanWorkMillis = meanWorkMillis;
        this.promotionDelayMillis = promotionDelayMillis;
        this.synchronousReplication = synchronousReplication;
        this.observer = observer;
    }

    Server primary() {
        for (Server server : servers) {
            if (server.isPrimary && server.host.up) {
                return server;
            }
        }
        return null;
    }

    Server findServer(String id) {
        return servers.stream().filter(server -> server.id.equals(id)).findFirst().orElse(null);
    }

    /**
     * Promotes a server to primary of the next term with the log that it has received; the other
     * logs are truncated to its length.
     */
    boolean promote(String id) {
        Server target = findServer(id);
        if (target == null || !target.host.up || target.host.poweredOff) {
            return false;
        }
        if (target.isPrimary) {
            return true;
        }
        simulator.scheduleAfter(
                promotionDelayMillis,
                () -> {
                    if (target.isPrimary || !target.host.up) {
                        return;
                    }
                    observer.onPromoted(target);
                    term++;
                    for (Server server : servers) {
                        if (server != target) {
                            server.isPrimary = false;
                            server.truncateLog(target.log.size());
                        }
                        server.pausedForTerm = 0;
                    }
                    target.isPrimary = true;
                    target.term = term;
                    target.appliedCount = target.log.size();
                    target.notifyRoleChange();
                });
        return true;
    }

    final class Server {
        final Simulator.Machine host;
        final String id;
        final String address;
        boolean isPrimary;
        boolean draining;

        /** The server sends no more heartbeats. */
        boolean heartbeatsStopped;

        long term = 1;

        /** Term of the PAUSE request in effect, which stops replication; 0 for none. */
        long pausedForTerm;

        /** The received log; the first appliedCount entries are applied. */
        final List<Commit> log = new ArrayList<>();

        int appliedCount;

        /** Probability that a response is lost. */
        double responseLossRate;

        /** The server receives no log entries and does not notice. */
        boolean replicationBlocked;

        /** The server receives log entries up to this log size only. */
        int maxReceivedLogSize = Integer.MAX_VALUE;

        /**
         * Time when the initial copy of a new server is complete; the server receives nothing
         * before.
         */
        long copiedAtMillis;

        private int busySlots;
        private final List<Runnable> queue = new ArrayList<>();
        int connections;
        Runnable onRoleChange = () -> {};

        Server(Simulator.Machine host, String id, int port) {
            this.host = host;
            this.id = id;
            address = host.ip + ":" + port;
            servers.add(this);
            open(port);
        }

        void open(int port) {
            host.listen(port, environment -> new Connection(this));
        }

        void notifyRoleChange() {
            onRoleChange.run();
        }

        LogPosition position() {
            return log.isEmpty() ? new LogPosition(1, 0) : log.get(log.size() - 1).position;
        }

        LogPosition appliedPosition() {
            return appliedCount == 0 ? new LogPosition(1, 0) : log.get(appliedCount - 1).position;
        }

        void truncateLog(int length) {
            while (log.size() > length) {
                log.remove(log.size() - 1);
            }
            appliedCount = Math.min(appliedCount, log.size());
        }

        /**
         * Receives the missing entries of the primary's log and applies them after the replication
         * lag.
         */
        void replicateFrom(Server primary) {
            if (pausedForTerm != 0
                    || !host.up
                    || host.poweredOff
                    || replicationBlocked
                    || simulator.millis() < copiedAtMillis
                    || isPrimary
                    || !primary.isPrimary
                    || simulator.cut(host, primary.host)) {
                return;
            }
            boolean received = false;
            while (log.size() < Math.min(primary.log.size(), maxReceivedLogSize)) {
                log.add(primary.log.get(log.size()));
                received = true;
            }
            if (received) {
                term = primary.term;
                int size = log.size();
                simulator.scheduleAfter(
                        replicationLagMillis * (0.5 + simulator.random.nextDouble()),
                        () -> {
                            if (!isPrimary) {
                                appliedCount = Math.max(appliedCount, Math.min(size, log.size()));
                            }
                        });
            }
        }

        /**
         * Runs work of this duration in a free slot or queues it; returns false if the queue is
         * full.
         */
        boolean runInSlot(double durationMillis, Runnable completion) {
            if (busySlots >= slots) {
                if (queue.size() >= slots * 8) {
                    return false;
                }
                queue.add(() -> startWork(durationMillis, completion));
                return true;
            }
            startWork(durationMillis, completion);
            return true;
        }

        private void startWork(double durationMillis, Runnable completion) {
            busySlots++;
            host.schedule(
                    Math.round(durationMillis),
                    () -> {
                        busySlots--;
                        if (!queue.isEmpty()) {
                            queue.remove(0).run();
                        }
                        completion.run();
                    });
        }

        void stop(boolean powerLoss) {
            host.down(powerLoss);
            busySlots = 0;
            queue.clear();
            connections = 0;
            pausedForTerm = 0;
        }

        void commit(Connection connection, String id, List<String> writes, Runnable completion) {
            Commit last = null;
            for (String write : writes.isEmpty() ? List.of("") : writes) {
                if (write.isEmpty()) {
                    continue;
                }
                if (log.stream().anyMatch(commit -> commit.attemptId.equals(write))) {
                    observer.onDuplicateCommit(this, write);
                }
                last = new Commit(new LogPosition(term, position().index() + 1), write);
                log.add(last);
            }
            appliedCount = log.size();
            if (last == null) {
                completion.run();
                return;
            }
            Commit lastCommit = last;
            int size = log.size();
            int incarnation = host.incarnation;
            boolean[] acknowledged = new boolean[1];
            Runnable acknowledge =
                    () -> {
                        if (!acknowledged[0] && host.incarnation == incarnation && host.up) {
                            acknowledged[0] = true;
                            completion.run();
                        }
                    };
            if (!synchronousReplication) {
                acknowledge.run();
            }
            for (Server server : servers) {
                if (server != this) {
                    replicateTo(server, size, acknowledge, lastCommit);
                }
            }
        }

        private void replicateTo(Server target, int size, Runnable acknowledge, Commit commit) {
            simulator.scheduleAfter(
                    simulator.latencyMillis(host, target.host),
                    () -> {
                        if (!isPrimary || log.size() < size || log.get(size - 1) != commit) {
                            return;
                        }
                        target.replicateFrom(this);
                        if (target.log.size() >= size && target.log.get(size - 1) == commit) {
                            simulator.scheduleAfter(
                                    simulator.latencyMillis(host, target.host), acknowledge);
                        } else if (host.up) {
                            simulator.scheduleAfter(
                                    20, () -> replicateTo(target, size, acknowledge, commit));
                        }
                    });
        }
    }

    /** One client connection of a server. */
    final class Connection implements Environment.ConnectionListener {
        final Server server;
        private Environment.Connection clientConnection;
        private boolean connected;
        private boolean closed;
        final Map<String, String> sessionSettings = new TreeMap<>();
        final Map<String, String> preparedStatements = new HashMap<>();
        char state = 'I';
        boolean readOnly;
        final List<String> transactionWrites = new ArrayList<>();

        /** The statement that first read, wrote or committed in the current transaction. */
        String firstStatementId;

        private final List<String> received = new ArrayList<>();
        private boolean executing;

        Connection(Server server) {
            this.server = server;
        }

        @Override
        public void onOpen(Environment.Connection opened) {
            clientConnection = opened;
            server.connections++;
        }

        @Override
        public void onClose(String reason) {
            if (!closed) {
                closed = true;
                server.connections--;
            }
        }

        private void sendLine(String line) {
            clientConnection.send(Simulator.bytes(line));
        }

        private void closeConnection() {
            clientConnection.close();
            onClose("ended");
        }

        @Override
        public void onMessage(byte[] message) {
            received.add(Simulator.text(message));
            processNext();
        }

        private void processNext() {
            while (!executing && !closed && !received.isEmpty()) {
                handleLine(received.remove(0));
            }
        }

        private void sendReady() {
            sendLine("READY " + state + " " + server.appliedPosition());
        }

        private void sendComplete(String completionTag) {
            sendLine("COMPLETE " + completionTag);
            sendReady();
        }

        private void sendError(String code) {
            sendLine("ERROR " + code + " " + server.id);
            if (state == 'T' && !code.equals("BUSY")) {
                state = 'E';
            }
            sendReady();
        }

        private void handleLine(String line) {
            String[] fields = Simulator.splitFields(line, 4);
            if (!connected) {
                if (!"CONNECT".equals(fields[0])
                        || !name.equals(fields[1])
                        || fields[3] != null && !fields[3].equals(server.id)) {
                    sendLine("ERROR WRONGNODE");
                    closeConnection();
                } else if (server.connections > connectionLimit) {
                    sendLine("ERROR TOOMANY");
                    closeConnection();
                } else {
                    connected = true;
                    executing = true;
                    server.runInSlot(
                            12,
                            () -> {
                                executing = false;
                                sendReady();
                                processNext();
                            });
                }
            } else if (line.equals("GOODBYE")) {
                closeConnection();
            } else {
                String[] statement = Simulator.splitFields(line, 3);
                handleQuery(statement[1], statement[2]);
            }
        }

        private void handleQuery(String id, String statement) {
            String text = statement;
            LogPosition requiredPosition = null;
            if (text.startsWith("AFTER ")) {
                String[] fields = Simulator.splitFields(text, 3);
                requiredPosition = LogPosition.parse(fields[1]);
                text = fields[2];
            }
            String[] fields = Simulator.splitFields(text, 4);
            switch (fields[0]) {
                case "SET":
                    sessionSettings.put(fields[1], text.substring(text.indexOf(' ', 4) + 1));
                    sendComplete("-");
                    break;
                case "RESET":
                    sessionSettings.clear();
                    preparedStatements.clear();
                    sendComplete("-");
                    break;
                case "PREPARE":
                    preparedStatements.put(fields[1], fields[2] + " " + fields[3]);
                    sendComplete("-");
                    break;
                case "STATUS":
                    state(server);
                    break;
                case "PAUSE":
                    if (Long.parseLong(fields[1]) > DatabaseCluster.this.term
                            && !server.isPrimary) {
                        server.pausedForTerm = Long.parseLong(fields[1]);
                    }
                    state(server);
                    break;
                case "RESUME":
                    server.pausedForTerm = 0;
                    state(server);
                    break;
                case "STEPDOWN":
                    if (Long.parseLong(fields[1]) > server.term && server.isPrimary) {
                        server.isPrimary = false;
                        server.notifyRoleChange();
                    }
                    state(server);
                    break;
                case "BEGIN":
                    readOnly = "READ".equals(fields[1]);
                    if (!readOnly && !server.isPrimary) {
                        sendError("READONLY");
                    } else if (requiredPosition != null
                            && !server.appliedPosition().covers(requiredPosition)) {
                        sendError("LAGGING");
                    } else {
                        state = 'T';
                        transactionWrites.clear();
                        firstStatementId = null;
                        sendComplete("-");
                    }
                    break;
                case "ROLLBACK":
                    state = 'I';
                    transactionWrites.clear();
                    sendComplete("-");
                    break;
                default:
                    execute(id, text, fields, requiredPosition);
            }
        }

        private void state(Server server) {
            sendLine(
                    "ROW "
                            + (server.isPrimary ? "primary" : "replica")
                            + " "
                            + server.term
                            + " "
                            + server.position()
                            + " "
                            + server.pausedForTerm
                            + " 0 "
                            + server.busySlots
                            + " "
                            + server.connections);
            sendComplete("-");
        }

        private void execute(
                String id, String text, String[] fields, LogPosition requiredPosition) {
            String prepared =
                    fields[0].equals("EXECUTE") ? preparedStatements.get(fields[1]) : null;
            boolean isCommit = fields[0].equals("COMMIT");
            boolean isWrite =
                    fields[0].equals("WRITE") || prepared != null && prepared.startsWith("WRITE");
            if (fields[0].equals("EXECUTE") && prepared == null) {
                sendError("UNKNOWN");
                return;
            }
            if (state == 'E') {
                state = isCommit ? 'I' : 'E';
                sendError("MALFORMED");
                return;
            }
            boolean inWriteTransaction = state == 'T' && !readOnly;
            if ((isWrite || inWriteTransaction && !(isCommit && transactionWrites.isEmpty()))
                    && !server.isPrimary) {
                if (isCommit) {
                    state = 'I';
                    transactionWrites.clear();
                }
                sendError("READONLY");
                return;
            }
            if (requiredPosition != null && !server.appliedPosition().covers(requiredPosition)) {
                sendError("LAGGING");
                return;
            }
            executing = true;
            double workMillis = meanWorkMillis * (0.4 + 1.2 * simulator.random.nextDouble());
            boolean startsTransaction = state == 'I' || firstStatementId == null;
            boolean accepted =
                    server.runInSlot(
                            workMillis,
                            () -> {
                                if (closed && (state != 'I' || !isWrite)) {
                                    return;
                                }
                                if ((isWrite || inWriteTransaction)
                                        && !server.isPrimary
                                        && !(isCommit && transactionWrites.isEmpty())) {
                                    executing = false;
                                    if (isCommit) {
                                        state = 'I';
                                    }
                                    sendError("READONLY");
                                    processNext();
                                    return;
                                }
                                firstStatementId = id;
                                observer.onExecute(
                                        server,
                                        this,
                                        id,
                                        prepared == null ? text : prepared + " " + text,
                                        startsTransaction);
                                if (isWrite) {
                                    transactionWrites.add(id);
                                }
                                boolean executesCommit = isCommit || isWrite && state == 'I';
                                Runnable response =
                                        () -> {
                                            executing = false;
                                            if (closed) {
                                                return;
                                            }
                                            if (server.responseLossRate > 0
                                                    && simulator.random.nextDouble()
                                                            < server.responseLossRate) {
                                                executing = true;
                                                return;
                                            }
                                            String completionTag = name + "." + ++lastCompletionTag;
                                            attemptByCompletionTag.put(completionTag, id);
                                            if (!isWrite && !isCommit) {
                                                sendLine("ROW r" + id);
                                            }
                                            sendComplete(completionTag);
                                            processNext();
                                        };
                                if (executesCommit) {
                                    List<String> writes = new ArrayList<>(transactionWrites);
                                    transactionWrites.clear();
                                    state = 'I';
                                    server.commit(this, id, writes, response);
                                } else {
                                    response.run();
                                }
                            });
            if (!accepted) {
                executing = false;
                sendError("BUSY");
            }
        }
    }
}
