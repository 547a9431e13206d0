package dillfront.dataplane;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.config.Configuration;
import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import dillfront.common.environment.ScriptedEnvironment;
import dillfront.common.protocol.PrimaryRecord;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Random sessions through one data plane to a primary and a replica whose responses are lost,
 * delayed, cut off or errors. Each client gets the responses to its own statements, no write takes
 * effect twice, no write takes effect after an error that excludes this, and no connection is
 * leaked.
 */
class ConcurrentClientsTest {

    private static final int SCENARIOS = 150;
    private static final int STEPS = 1_500;
    private static final int CLIENTS = 6;
    private static final Set<String> NOT_RUN_CODES =
            Set.of("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY");

    /** A connection to one of the stubbed database servers. */
    private static final class ServerConnectionStub {
        final ScriptedEnvironment.ScriptedConnection line;
        final boolean isPrimary;
        int processedLines;
        boolean unresponsive;
        char transactionStatus = 'I';
        final Map<String, String> variables = new TreeMap<>();
        final List<String> transactionWrites = new ArrayList<>();

        ServerConnectionStub(ScriptedEnvironment.ScriptedConnection line) {
            this.line = line;
            isPrimary = line.address.equals("10.0.0.8:1");
        }
    }

    /** A client and the reply that it has received so far. */
    private static final class ClientStub {
        ScriptedEnvironment.ScriptedConnection line;
        boolean connected;
        char transactionStatus = 'I';
        String pendingId;
        String statement = "";
        int processedLines;
        final Map<String, String> variables = new TreeMap<>();
        final List<String> rows = new ArrayList<>();
        String completionTag;
        String errorCode;

        /** The writes of the open transaction. */
        List<String> transactionWrites = new ArrayList<>();
    }

    private final class Scenario {
        final long seed;
        final SplittableRandom random;
        final ScriptedEnvironment environment = new ScriptedEnvironment();
        final DataPlaneNode node;
        final DatabaseService service;
        final Map<ScriptedEnvironment.ScriptedConnection, ServerConnectionStub> connections =
                new LinkedHashMap<>();
        final List<ClientStub> clients = new ArrayList<>();
        final Map<String, ClientStub> clientsByStatementId = new HashMap<>();
        final Map<String, Integer> writeCounts = new HashMap<>();
        final Set<String> writesNotRun = new HashSet<>();
        final List<String> trace = new ArrayList<>();
        int lastId;
        int completedStatements;
        int connectionResets;
        boolean faultFree;

        Scenario(long seed) throws Configuration.InvalidConfigurationException {
            this.seed = seed;
            random = new SplittableRandom(seed);
            node =
                    new DataPlaneNode(
                            environment,
                            new NodeSettings(
                                    "f",
                                    "z",
                                    "r",
                                    Map.of("z", "r"),
                                    "10.0.0.1",
                                    "10.0.0.1:80",
                                    "10.0.0.1:81",
                                    null,
                                    7_440,
                                    List.of(),
                                    true,
                                    null,
                                    0,
                                    1_200,
                                    7_000,
                                    6_000,
                                    null));
            node.start();
            node.onConfiguration(
                    Configuration.parse(
                            ("{'revision_number':1,'routes':[{'name':'r','host_name':'h','route_kind':'primary',"
                                            + "'timeout_ms':800,'target_latency_ms':300,'service':'s','max_attempts':2},{'name':'b','host_name':'b',"
                                            + "'route_kind':'bounded_staleness','max_staleness_ms':1000,'timeout_ms':800,'target_latency_ms':300,'service':'s',"
                                            + "'max_attempts':3}],'services':[{'name':'s','connection_limit':24}]}")
                                    .replace('\'', '"')
                                    .getBytes(StandardCharsets.UTF_8)));
            service = node.service("s");
            service.servers.put("i-1", new ServerPool(node, service, "i-1", "10.0.0.8:1", "z"));
            service.servers.put("i-2", new ServerPool(node, service, "i-2", "10.0.0.9:1", "z"));
            service.onRecord(new PrimaryRecord("s", 1, "i-1", false, false));
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new ClientStub());
            }
        }

        void check(boolean holds, String failure) {
            assertTrue(
                    holds,
                    () ->
                            "seed "
                                    + seed
                                    + ": "
                                    + failure
                                    + "\n"
                                    + String.join(
                                            "\n",
                                            trace.subList(
                                                    Math.max(0, trace.size() - 60), trace.size())));
        }

        // ---- servers

        void processNextLine(ServerConnectionStub connection) {
            ScriptedEnvironment.ScriptedConnection line = connection.line;
            if (connection.unresponsive || connection.processedLines >= line.sent.size()) {
                return;
            }
            String request = line.sent.get(connection.processedLines++);
            if (request.startsWith("CONNECT")) {
                if (randomFault(0.03)) {
                    line.reset();
                } else {
                    line.receive(randomFault(0.02) ? "ERROR TOOMANY" : "READY I 1.1");
                }
                return;
            }
            if (!request.startsWith("QUERY ")) {
                return;
            }
            String[] fields = request.split(" ", 3);
            String text = fields[2].replaceFirst("^AFTER \\S+ ", "");
            double fault = faultFree ? 1 : random.nextDouble();
            boolean executes = fault >= 0.12;
            if (fault < 0.04
                    && !text.startsWith("SET")
                    && !text.equals("RESET")
                    && !text.equals("ROLLBACK")) {
                line.receive("ERROR BUSY later", "READY " + connection.transactionStatus + " -");
                return;
            }
            if (fault < 0.07 || !executes && text.equals("ROLLBACK")) {
                trace.add("reset before " + fields[1] + " " + text);
                connectionResets++;
                connection.unresponsive = true;
                line.reset();
                return;
            }
            if (!executes && !text.startsWith("SET") && text.startsWith("READ")) {
                line.receive(
                        "ERROR FAILED it broke", "READY " + connection.transactionStatus + " -");
                return;
            }
            List<String> response = execute(connection, fields[1], text);
            if (fault < 0.16) {
                trace.add("reset after " + fields[1] + " " + text);
                connectionResets++;
                connection.unresponsive = true;
                line.reset();
            } else if (fault < 0.18) {
                trace.add("lost response to " + fields[1] + " " + text);
                connection.unresponsive = randomFault(0.5);
            } else {
                line.receive(response.toArray(new String[0]));
            }
        }

        private boolean randomFault(double probability) {
            return !faultFree && random.nextDouble() < probability;
        }

        private List<String> execute(ServerConnectionStub connection, String id, String text) {
            String completionTag = id.equals("-") ? "-" : "s:" + id;
            List<String> rows = new ArrayList<>();
            if (text.startsWith("SET ")) {
                connection.variables.put(text.split(" ")[1], text.split(" ")[2]);
            } else if (text.equals("RESET")) {
                connection.variables.clear();
            } else if (text.equals("STATUS")) {
                rows.add(
                        "ROW " + (connection.isPrimary ? "primary" : "replica") + " 1 1.5 0 0 0 1");
            } else if (text.startsWith("BEGIN")) {
                check(connection.transactionStatus == 'I', "BEGIN inside a transaction: " + id);
                connection.transactionStatus = 'T';
                connection.transactionWrites.clear();
            } else if (text.equals("ROLLBACK")) {
                connection.transactionStatus = 'I';
                connection.transactionWrites.clear();
            } else if (text.equals("COMMIT")) {
                check(connection.transactionStatus == 'T', "COMMIT outside a transaction: " + id);
                connection.transactionWrites.forEach(
                        write -> writeCounts.merge(write, 1, Integer::sum));
                connection.transactionWrites.clear();
                connection.transactionStatus = 'I';
            } else {
                ClientStub client = clientsByStatementId.get(id);
                if (client != null && id.equals(client.pendingId)) {
                    check(
                            connection.variables.equals(client.variables),
                            "PINNED: "
                                    + id
                                    + " runs with variables "
                                    + connection.variables
                                    + " instead of "
                                    + client.variables);
                }
                if (text.startsWith("WRITE ")) {
                    check(connection.isPrimary, "write at a replica: " + id);
                    if (connection.transactionStatus == 'T') {
                        connection.transactionWrites.add(id);
                    } else {
                        writeCounts.merge(id, 1, Integer::sum);
                    }
                } else {
                    rows.add("ROW r:" + id);
                }
            }
            rows.add("COMPLETE " + completionTag);
            rows.add("READY " + connection.transactionStatus + " 1.5");
            return rows;
        }

        /**
         * Statements that were sent before the close may still run; their responses are lost, and
         * an open transaction rolls back.
         */
        private void processAfterClose(ServerConnectionStub connection) {
            while (connection.processedLines < connection.line.sent.size()
                    && random.nextBoolean()) {
                String request = connection.line.sent.get(connection.processedLines++);
                if (request.startsWith("QUERY ") && !connection.unresponsive) {
                    String[] fields = request.split(" ", 3);
                    execute(connection, fields[1], fields[2].replaceFirst("^AFTER \\S+ ", ""));
                }
            }
        }

        // ---- clients

        void sendNextStatement(ClientStub client) {
            if (client.line == null || client.line.closed) {
                client.line =
                        new ScriptedEnvironment.ScriptedConnection(
                                "client", Environment.Framing.LINES, node.accept());
                client.line.open();
                client.processedLines = 0;
                client.pendingId = null;
                client.transactionStatus = 'I';
                client.variables.clear();
                client.transactionWrites = new ArrayList<>();
                client.connected = false;
                client.line.receive("CONNECT " + (random.nextBoolean() ? "h" : "b") + " me");
                return;
            }
            if (client.pendingId != null || !client.connected) {
                return;
            }
            int choice = random.nextInt(10);
            String text;
            if (client.transactionStatus == 'E') {
                text = "ROLLBACK";
            } else if (client.transactionStatus == 'T') {
                text =
                        choice < 3
                                ? "READ k"
                                : choice < 7 ? "WRITE k d" : choice < 9 ? "COMMIT" : "ROLLBACK";
            } else {
                text =
                        choice < 3
                                ? "READ k"
                                : choice < 6
                                        ? "WRITE k d"
                                        : choice < 7
                                                ? "SET v"
                                                        + random.nextInt(2)
                                                        + " x"
                                                        + random.nextInt(3)
                                                : "BEGIN";
            }
            String id = "q" + ++lastId;
            client.pendingId = id;
            client.statement = text;
            client.rows.clear();
            client.completionTag = null;
            client.errorCode = null;
            clientsByStatementId.put(id, client);
            trace.add(
                    environment.nowMillis()
                            + " client "
                            + clients.indexOf(client)
                            + " "
                            + id
                            + " "
                            + text);
            if (text.startsWith("SET ")) {
                client.variables.put(text.split(" ")[1], text.split(" ")[2]);
            }
            if (text.startsWith("WRITE") && client.transactionStatus == 'T') {
                client.transactionWrites.add(id);
            }
            client.line.receive("QUERY " + id + " " + text);
        }

        void processReplies(ClientStub client) {
            while (client.line != null && client.processedLines < client.line.sent.size()) {
                String line = client.line.sent.get(client.processedLines++);
                String[] fields = line.split(" ", 3);
                if (fields[0].equals("ROW")) {
                    client.rows.add(line.substring(4));
                } else if (fields[0].equals("COMPLETE")) {
                    client.completionTag = line.substring(9);
                } else if (fields[0].equals("ERROR")) {
                    client.errorCode = fields[1];
                } else if (!client.connected) {
                    client.connected = true;
                } else {
                    check(
                            client.pendingId != null,
                            "response without an outstanding request: " + line);
                    onReply(client, fields[1].charAt(0));
                }
            }
        }

        private void onReply(ClientStub client, char transactionStatus) {
            String id = client.pendingId;
            client.pendingId = null;
            trace.add(
                    environment.nowMillis()
                            + " client "
                            + clients.indexOf(client)
                            + " "
                            + id
                            + " got "
                            + (client.errorCode == null ? client.completionTag : client.errorCode)
                            + " "
                            + transactionStatus);
            boolean answeredByDataPlane =
                    client.statement.startsWith("SET")
                            || client.statement.equals("BEGIN")
                            || client.statement.equals("ROLLBACK");
            boolean isSingleWrite =
                    client.transactionStatus == 'I' && client.statement.startsWith("WRITE");
            if (client.errorCode == null) {
                completedStatements++;
                check(
                        client.completionTag.equals(answeredByDataPlane ? "-" : "s:" + id),
                        "MIXED: " + id + " got the response " + client.completionTag);
                check(
                        client.rows.equals(
                                client.statement.startsWith("READ")
                                        ? List.of("r:" + id)
                                        : List.of()),
                        "MIXED: " + id + " got the rows " + client.rows);
                if (isSingleWrite || client.statement.equals("COMMIT")) {
                    for (String write : isSingleWrite ? List.of(id) : client.transactionWrites) {
                        check(
                                writeCounts.getOrDefault(write, 0) == 1,
                                "LOST: " + write + " was acknowledged with " + id);
                    }
                }
            } else if (NOT_RUN_CODES.contains(client.errorCode)) {
                writesNotRun.addAll(isSingleWrite ? List.of(id) : client.transactionWrites);
            }
            if (client.statement.equals("ROLLBACK")) {
                writesNotRun.addAll(client.transactionWrites);
            }
            if (transactionStatus == 'I') {
                client.transactionWrites = new ArrayList<>();
            }
            client.transactionStatus = transactionStatus;
        }

        void advance() {
            for (ScriptedEnvironment.ScriptedConnection line : environment.connections) {
                connections.computeIfAbsent(
                        line,
                        key -> {
                            if (!key.closed && !randomFault(0.02)) {
                                key.open();
                            }
                            return new ServerConnectionStub(key);
                        });
            }
            environment.connections.clear();
            for (ServerConnectionStub c : new ArrayList<>(connections.values())) {
                if (c.line.closed) {
                    processAfterClose(c);
                    connections.remove(c.line);
                } else if (faultFree || random.nextInt(3) > 0) {
                    processNextLine(c);
                }
            }
            for (ClientStub c : clients) {
                processReplies(c);
                if (c.line != null && randomFault(0.004)) {
                    trace.add("client " + clients.indexOf(c) + " disconnects");
                    c.line.reset();
                } else if (!faultFree && random.nextInt(4) == 0) {
                    sendNextStatement(c);
                }
            }
            environment.advance(random.nextInt(10) == 0 ? random.nextInt(200) : random.nextInt(8));
        }

        void run() {
            for (int i = 0; i < STEPS; i++) {
                advance();
            }
            faultFree = true;
            for (int i = 0; i < 400; i++) {
                advance();
                environment.advance(20);
            }
            for (ClientStub client : clients) {
                check(
                        client.line == null || client.line.closed || client.pendingId == null,
                        "client waits for a response forever: " + client.pendingId);
            }
            writeCounts.forEach((write, times) -> check(times == 1, "TWICE: " + write));
            writesNotRun.forEach(
                    write ->
                            check(
                                    !writeCounts.containsKey(write),
                                    "REFUSED: "
                                            + write
                                            + " took effect after an error that excludes this"));
            for (ServerPool server : service.servers.values()) {
                long openTransactions =
                        clients.stream()
                                .filter(
                                        client ->
                                                client.line != null
                                                        && !client.line.closed
                                                        && client.transactionStatus == 'T')
                                .count();
                check(
                        server.busyConnections == 0,
                        server.id + " counts " + server.busyConnections + " busy connections");
                check(
                        server.connections.stream()
                                .allMatch(
                                        connection ->
                                                connection.oldestSentMillis() == Long.MAX_VALUE),
                        server.id + " has a connection that waits for a response forever");
                check(
                        server.connections.size() - server.idleConnections.size()
                                <= openTransactions,
                        server.id
                                + " has "
                                + server.connections.size()
                                + " connections, "
                                + server.idleConnections.size()
                                + " idle");
                check(
                        server.connectsInProgress == 0,
                        server.id
                                + " counts "
                                + server.connectsInProgress
                                + " connects in progress");
            }
        }
    }

    @Test
    void clientsGetOwnResponsesAndNoWriteRunsTwice()
            throws Configuration.InvalidConfigurationException {
        int completedStatements = 0;
        int connectionResets = 0;
        for (int seed = 1; seed <= SCENARIOS; seed++) {
            Scenario scenario = new Scenario(seed);
            scenario.run();
            completedStatements += scenario.completedStatements;
            connectionResets += scenario.connectionResets;
        }
        assertTrue(
                completedStatements > 100 * SCENARIOS,
                "completed statements: " + completedStatements);
        assertTrue(connectionResets > 5 * SCENARIOS, "connection resets: " + connectionResets);
    }
}
