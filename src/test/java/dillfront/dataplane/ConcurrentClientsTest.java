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
 * Random sessions through one data plane to a primary and a replica whose answers are lost, late,
 * cut or refused: each client gets the answers to what it asked, no write takes effect twice, none
 * that was promised not to, and no connection is left behind.
 */
class ConcurrentClientsTest {

    private static final int SCENARIOS = 150;
    private static final int STEPS = 1_500;
    private static final int CLIENTS = 6;
    private static final Set<String> NOT_RUN_CODES =
            Set.of("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY");

    /** One of the database servers' connections. */
    private static final class ServerConnectionStub {
        final ScriptedEnvironment.Line line;
        final boolean isPrimary;
        int processedLines;
        boolean unresponsive;
        char transactionStatus = 'I';
        final Map<String, String> variables = new TreeMap<>();
        final List<String> transactionWrites = new ArrayList<>();

        ServerConnectionStub(ScriptedEnvironment.Line line) {
            this.line = line;
            isPrimary = line.address.equals("10.0.0.8:1");
        }
    }

    /** One client, and what it was told. */
    private static final class ClientStub {
        ScriptedEnvironment.Line line;
        boolean connected;
        char transactionStatus = 'I';
        String pendingId;
        String statement = "";
        int processedLines;
        final Map<String, String> variables = new TreeMap<>();
        final List<String> rows = new ArrayList<>();
        String completionTag;
        String errorCode;

        /** The writes of the transaction that is open. */
        List<String> transactionWrites = new ArrayList<>();
    }

    private final class Scenario {
        final long seed;
        final SplittableRandom random;
        final ScriptedEnvironment environment = new ScriptedEnvironment();
        final DataPlaneNode node;
        final DatabaseService service;
        final Map<ScriptedEnvironment.Line, ServerConnectionStub> connections =
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

        void check(boolean is, String what) {
            assertTrue(
                    is,
                    () ->
                            "seed "
                                    + seed
                                    + ": "
                                    + what
                                    + "\n"
                                    + String.join(
                                            "\n",
                                            trace.subList(
                                                    Math.max(0, trace.size() - 60), trace.size())));
        }

        // ---- the servers

        void processNextLine(ServerConnectionStub c) {
            ScriptedEnvironment.Line line = c.line;
            if (c.unresponsive || c.processedLines >= line.sent.size()) {
                return;
            }
            String next = line.sent.get(c.processedLines++);
            if (next.startsWith("CONNECT")) {
                if (randomFault(0.03)) {
                    line.reset();
                } else {
                    line.say(randomFault(0.02) ? "ERROR TOOMANY" : "READY I 1.1");
                }
                return;
            }
            if (!next.startsWith("QUERY ")) {
                return;
            }
            String[] part = next.split(" ", 3);
            String text = part[2].replaceFirst("^AFTER \\S+ ", "");
            double fault = faultFree ? 1 : random.nextDouble();
            boolean runs = fault >= 0.12;
            if (fault < 0.04
                    && !text.startsWith("SET")
                    && !text.equals("RESET")
                    && !text.equals("ROLLBACK")) {
                line.say("ERROR BUSY later", "READY " + c.transactionStatus + " -");
                return;
            }
            if (fault < 0.07 || !runs && text.equals("ROLLBACK")) {
                trace.add("reset before " + part[1] + " " + text);
                connectionResets++;
                c.unresponsive = true;
                line.reset();
                return;
            }
            if (!runs && !text.startsWith("SET") && text.startsWith("READ")) {
                line.say("ERROR FAILED it broke", "READY " + c.transactionStatus + " -");
                return;
            }
            List<String> answer = execute(c, part[1], text);
            if (fault < 0.16) {
                trace.add("reset after " + part[1] + " " + text);
                connectionResets++;
                c.unresponsive = true;
                line.reset();
            } else if (fault < 0.18) {
                trace.add("lost answer to " + part[1] + " " + text);
                c.unresponsive = randomFault(0.5);
            } else {
                line.say(answer.toArray(new String[0]));
            }
        }

        private boolean randomFault(double of) {
            return !faultFree && random.nextDouble() < of;
        }

        private List<String> execute(ServerConnectionStub c, String id, String text) {
            String stamp = id.equals("-") ? "-" : "s:" + id;
            List<String> rows = new ArrayList<>();
            if (text.startsWith("SET ")) {
                c.variables.put(text.split(" ")[1], text.split(" ")[2]);
            } else if (text.equals("RESET")) {
                c.variables.clear();
            } else if (text.equals("STATUS")) {
                rows.add("ROW " + (c.isPrimary ? "primary" : "replica") + " 1 1.5 0 0 0 1");
            } else if (text.startsWith("BEGIN")) {
                check(c.transactionStatus == 'I', "a transaction begins within another: " + id);
                c.transactionStatus = 'T';
                c.transactionWrites.clear();
            } else if (text.equals("ROLLBACK")) {
                c.transactionStatus = 'I';
                c.transactionWrites.clear();
            } else if (text.equals("COMMIT")) {
                check(c.transactionStatus == 'T', "a commit outside a transaction: " + id);
                c.transactionWrites.forEach(w -> writeCounts.merge(w, 1, Integer::sum));
                c.transactionWrites.clear();
                c.transactionStatus = 'I';
            } else {
                ClientStub by = clientsByStatementId.get(id);
                if (by != null && id.equals(by.pendingId)) {
                    check(
                            c.variables.equals(by.variables),
                            "PINNED: " + id + " runs with " + c.variables + " for " + by.variables);
                }
                if (text.startsWith("WRITE ")) {
                    check(c.isPrimary, "a write at a replica: " + id);
                    if (c.transactionStatus == 'T') {
                        c.transactionWrites.add(id);
                    } else {
                        writeCounts.merge(id, 1, Integer::sum);
                    }
                } else {
                    rows.add("ROW r:" + id);
                }
            }
            rows.add("COMPLETE " + stamp);
            rows.add("READY " + c.transactionStatus + " 1.5");
            return rows;
        }

        /**
         * What had been sent before it was closed may run all the same, and is heard by nobody;
         * what was open rolls back.
         */
        private void processAfterClose(ServerConnectionStub c) {
            while (c.processedLines < c.line.sent.size() && random.nextBoolean()) {
                String next = c.line.sent.get(c.processedLines++);
                if (next.startsWith("QUERY ") && !c.unresponsive) {
                    String[] part = next.split(" ", 3);
                    execute(c, part[1], part[2].replaceFirst("^AFTER \\S+ ", ""));
                }
            }
        }

        // ---- the clients

        void sendNextStatement(ClientStub c) {
            if (c.line == null || c.line.closed) {
                c.line =
                        new ScriptedEnvironment.Line(
                                "client", Environment.Framing.LINES, node.accept());
                c.line.open();
                c.processedLines = 0;
                c.pendingId = null;
                c.transactionStatus = 'I';
                c.variables.clear();
                c.transactionWrites = new ArrayList<>();
                c.connected = false;
                c.line.say("CONNECT " + (random.nextBoolean() ? "h" : "b") + " me");
                return;
            }
            if (c.pendingId != null || !c.connected) {
                return;
            }
            int kind = random.nextInt(10);
            String text;
            if (c.transactionStatus == 'E') {
                text = "ROLLBACK";
            } else if (c.transactionStatus == 'T') {
                text =
                        kind < 3
                                ? "READ k"
                                : kind < 7 ? "WRITE k d" : kind < 9 ? "COMMIT" : "ROLLBACK";
            } else {
                text =
                        kind < 3
                                ? "READ k"
                                : kind < 6
                                        ? "WRITE k d"
                                        : kind < 7
                                                ? "SET v"
                                                        + random.nextInt(2)
                                                        + " x"
                                                        + random.nextInt(3)
                                                : "BEGIN";
            }
            String id = "q" + ++lastId;
            c.pendingId = id;
            c.statement = text;
            c.rows.clear();
            c.completionTag = null;
            c.errorCode = null;
            clientsByStatementId.put(id, c);
            trace.add(
                    environment.nowMillis()
                            + " client "
                            + clients.indexOf(c)
                            + " "
                            + id
                            + " "
                            + text);
            if (text.startsWith("SET ")) {
                c.variables.put(text.split(" ")[1], text.split(" ")[2]);
            }
            if (text.startsWith("WRITE") && c.transactionStatus == 'T') {
                c.transactionWrites.add(id);
            }
            c.line.say("QUERY " + id + " " + text);
        }

        void processReplies(ClientStub c) {
            while (c.line != null && c.processedLines < c.line.sent.size()) {
                String line = c.line.sent.get(c.processedLines++);
                String[] part = line.split(" ", 3);
                if (part[0].equals("ROW")) {
                    c.rows.add(line.substring(4));
                } else if (part[0].equals("COMPLETE")) {
                    c.completionTag = line.substring(9);
                } else if (part[0].equals("ERROR")) {
                    c.errorCode = part[1];
                } else if (!c.connected) {
                    c.connected = true;
                } else {
                    check(c.pendingId != null, "an answer to nothing: " + line);
                    onReply(c, part[1].charAt(0));
                }
            }
        }

        private void onReply(ClientStub c, char state) {
            String id = c.pendingId;
            c.pendingId = null;
            trace.add(
                    environment.nowMillis()
                            + " client "
                            + clients.indexOf(c)
                            + " "
                            + id
                            + " has "
                            + (c.errorCode == null ? c.completionTag : c.errorCode)
                            + " "
                            + state);
            boolean own =
                    c.statement.startsWith("SET")
                            || c.statement.equals("BEGIN")
                            || c.statement.equals("ROLLBACK");
            boolean single = c.transactionStatus == 'I' && c.statement.startsWith("WRITE");
            if (c.errorCode == null) {
                completedStatements++;
                check(
                        c.completionTag.equals(own ? "-" : "s:" + id),
                        "MIXED: " + id + " is answered with " + c.completionTag);
                check(
                        c.rows.equals(
                                c.statement.startsWith("READ") ? List.of("r:" + id) : List.of()),
                        "MIXED: " + id + " has rows " + c.rows);
                if (single || c.statement.equals("COMMIT")) {
                    for (String write : single ? List.of(id) : c.transactionWrites) {
                        check(
                                writeCounts.getOrDefault(write, 0) == 1,
                                "LOST: " + write + " was acknowledged with " + id);
                    }
                }
            } else if (NOT_RUN_CODES.contains(c.errorCode)) {
                writesNotRun.addAll(single ? List.of(id) : c.transactionWrites);
            }
            if (c.statement.equals("ROLLBACK")) {
                writesNotRun.addAll(c.transactionWrites);
            }
            if (state == 'I') {
                c.transactionWrites = new ArrayList<>();
            }
            c.transactionStatus = state;
        }

        void advance() {
            for (ScriptedEnvironment.Line line : environment.dialed) {
                connections.computeIfAbsent(
                        line,
                        l -> {
                            if (!l.closed && !randomFault(0.02)) {
                                l.open();
                            }
                            return new ServerConnectionStub(l);
                        });
            }
            environment.dialed.clear();
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
                    trace.add("client " + clients.indexOf(c) + " goes");
                    c.line.reset();
                } else if (!faultFree && random.nextInt(4) == 0) {
                    sendNextStatement(c);
                }
            }
            environment.pass(random.nextInt(10) == 0 ? random.nextInt(200) : random.nextInt(8));
        }

        void run() {
            for (int i = 0; i < STEPS; i++) {
                advance();
            }
            faultFree = true;
            for (int i = 0; i < 400; i++) {
                advance();
                environment.pass(20);
            }
            for (ClientStub c : clients) {
                check(
                        c.line == null || c.line.closed || c.pendingId == null,
                        "a client waits for ever: " + c.pendingId);
            }
            writeCounts.forEach((write, times) -> check(times == 1, "TWICE: " + write));
            writesNotRun.forEach(
                    write ->
                            check(
                                    !writeCounts.containsKey(write),
                                    "REFUSED: "
                                            + write
                                            + " was promised to be kept nowhere, and is"));
            for (ServerPool s : service.servers.values()) {
                long held =
                        clients.stream()
                                .filter(
                                        c ->
                                                c.line != null
                                                        && !c.line.closed
                                                        && c.transactionStatus == 'T')
                                .count();
                check(
                        s.busyConnections == 0,
                        s.id + " counts " + s.busyConnections + " that are out");
                check(
                        s.connections.stream()
                                .allMatch(c -> c.oldestSentMillis() == Long.MAX_VALUE),
                        s.id + " has a connection whose answer is awaited for ever");
                check(
                        s.connections.size() - s.idleConnections.size() <= held,
                        s.id
                                + " has "
                                + s.connections.size()
                                + " connections, "
                                + s.idleConnections.size()
                                + " at rest");
                check(
                        s.connectsInProgress == 0,
                        s.id + " counts " + s.connectsInProgress + " that are dialed");
            }
        }
    }

    @Test
    void clientsGetOwnResponsesAndNoWriteRunsTwice()
            throws Configuration.InvalidConfigurationException {
        int served = 0;
        int cut = 0;
        for (int seed = 1; seed <= SCENARIOS; seed++) {
            Scenario day = new Scenario(seed);
            day.run();
            served += day.completedStatements;
            cut += day.connectionResets;
        }
        assertTrue(served > 100 * SCENARIOS, "served " + served);
        assertTrue(cut > 5 * SCENARIOS, "cut " + cut);
    }
}
