package dillfront.simulation.system;

import dillfront.common.environment.Environment;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Simulates one client session, which runs one operation after another and retries an operation
 * where the protocol allows a retry.
 */
final class ClientSession implements Environment.ConnectionListener {

    private static final List<String> NOT_EXECUTED_CODES =
            List.of("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY");
    private static final int MAX_ATTEMPTS = 3;

    private final SystemSimulation simulation;
    private final int number;
    final String readConsistency;
    final String database;
    private final String host;
    final long maxStalenessMillis;
    final Map<String, String> sessionSettings = new TreeMap<>();
    final Map<String, String> preparedStatements = new HashMap<>();
    long lastWriteIndex;
    private Environment.Connection connection;
    private boolean ready;
    private boolean open;
    private long connectionEpoch;
    // State of the operation in progress.
    private List<String> statements = new ArrayList<>();
    private int statementIndex;
    private int attempts;
    private int requestCount;
    private boolean transaction;
    private boolean hasWritten;
    private boolean finalStatementSent;
    private ConsistencyChecker.Attempt firstAttempt;
    private String pendingId;
    private String errorCode;
    private String completionTag;
    private long operationStartMillis;
    private boolean operationActive;

    /** The data plane of a session that runs a single write; null for any other session. */
    private Simulator.Machine singleWriteDataPlane;

    ClientSession(
            SystemSimulation simulation,
            int number,
            String readConsistency,
            String database,
            String host,
            long maxStalenessMillis) {
        this.simulation = simulation;
        this.number = number;
        this.readConsistency = readConsistency;
        this.database = database;
        this.host = host;
        this.maxStalenessMillis = maxStalenessMillis;
    }

    void start() {
        simulation.simulator.scheduleAfter(
                simulation.simulator.random.nextDouble() * 1_000, this::startOperation);
    }

    /** Runs a single write through this data plane, and no other operation. */
    void writeOnce(Simulator.Machine dataPlane) {
        singleWriteDataPlane = dataPlane;
        startOperation();
    }

    private void connect() {
        sessionSettings.clear();
        preparedStatements.clear();
        ready = false;
        open = true;
        // Each connection is a session of its own: it does not inherit the last write of an earlier
        // connection.
        lastWriteIndex = 0;
        long epoch = ++connectionEpoch;
        Simulator.Machine dataPlane =
                singleWriteDataPlane == null ? simulation.dataPlane(number) : singleWriteDataPlane;
        if (dataPlane == null) {
            simulation.simulator.scheduleAfter(100, this::retryConnect);
            return;
        }
        connection =
                simulation.clients.connect(
                        dataPlane.ip + ":" + SystemSimulation.DATA_PLANE_PORT,
                        Environment.Framing.LINES,
                        1_000,
                        this);
        simulation.simulator.scheduleAfter(
                2_000,
                () -> {
                    if (connectionEpoch == epoch && !ready) {
                        disconnected(true);
                    }
                });
    }

    private void retryConnect() {
        open = false;
        operationFailed(true);
    }

    private void startOperation() {
        if (simulation.isEnding() || operationActive) {
            return;
        }
        operationStartMillis = simulation.simulator.millis();
        operationActive = true;
        attempts = 0;
        statements =
                singleWriteDataPlane == null ? statements() : List.of("WRITE k" + number + " d");
        simulation.startedOperations++;
        retry();
    }

    private List<String> statements() {
        var random = simulation.simulator.random;
        List<String> steps = new ArrayList<>();
        transaction = random.nextDouble() < 0.35;
        boolean writes = !readConsistency.equals("bounded") && random.nextDouble() < 0.35;
        if (random.nextDouble() < 0.1) {
            steps.add("SET v" + random.nextInt(2) + " x" + random.nextInt(3));
        }
        String statement = (writes ? "WRITE q" : "READ q") + random.nextInt(3);
        boolean usesPrepared = random.nextDouble() < 0.2;
        if (usesPrepared) {
            steps.add("PREPARE p" + random.nextInt(2) + " " + statement);
        }
        if (transaction) {
            steps.add(writes ? "BEGIN" : "BEGIN READ");
        }
        int statementCount = transaction ? 1 + random.nextInt(4) : 1;
        for (int i = 0; i < statementCount; i++) {
            String key = "k" + random.nextInt(50);
            steps.add(
                    usesPrepared
                            ? "EXECUTE "
                                    + steps.stream()
                                            .filter(candidate -> candidate.startsWith("PREPARE"))
                                            .findFirst()
                                            .orElseThrow()
                                            .split(" ")[1]
                                    + " "
                                    + key
                                    + (writes ? " d" : "")
                            : writes ? "WRITE " + key + " d" : "READ " + key);
        }
        if (transaction) {
            steps.add(random.nextDouble() < 0.1 ? "ROLLBACK" : "COMMIT");
        }
        return steps;
    }

    private void retry() {
        statementIndex = 0;
        hasWritten = false;
        finalStatementSent = false;
        firstAttempt = null;
        attempts++;
        if (!open) {
            connect();
        } else if (ready) {
            sendNext();
        }
    }

    private void sendNext() {
        if (statementIndex >= statements.size()) {
            simulation.served++;
            scheduleNextOperation();
            return;
        }
        String text = statements.get(statementIndex);
        String id = "c" + number + "-" + ++requestCount;
        pendingId = id;
        errorCode = null;
        completionTag = null;
        boolean isSessionControl = text.startsWith("SET") || text.startsWith("PREPARE");
        ConsistencyChecker.Attempt attempt =
                new ConsistencyChecker.Attempt(
                        id,
                        simulation.simulator.micros(),
                        this,
                        isSessionControl ? null : firstAttempt);
        if (!isSessionControl && firstAttempt == null) {
            firstAttempt = attempt;
        }
        simulation.consistencyChecker.attempts.put(id, attempt);
        boolean isWrite =
                text.startsWith("WRITE") || text.startsWith("EXECUTE") && text.endsWith(" d");
        hasWritten |= isWrite;
        finalStatementSent = text.equals("COMMIT") || isWrite && !transaction;
        connection.send(Simulator.bytes("QUERY " + id + " " + text));
        long epoch = connectionEpoch;
        simulation.simulator.scheduleAfter(
                3_000,
                () -> {
                    if (connectionEpoch == epoch && id.equals(pendingId)) {
                        disconnected(true);
                    }
                });
    }

    @Override
    public void onOpen(Environment.Connection opened) {
        connection = opened;
        connection.send(Simulator.bytes("CONNECT " + host + " c" + number));
    }

    @Override
    public void onMessage(byte[] message) {
        String line = Simulator.text(message);
        if (line.startsWith("READY ")) {
            if (!ready) {
                ready = true;
                if (operationActive) {
                    sendNext();
                }
            } else {
                completeStatement(line.charAt(6));
            }
        } else if (line.startsWith("ROW ")) {
            if (!line.equals("ROW r" + pendingId)) {
                simulation.consistencyChecker.reportMisrouted(pendingId, line);
            }
        } else if (line.startsWith("COMPLETE ")) {
            completionTag = line.substring(9);
        } else if (line.startsWith("ERROR ")) {
            errorCode = Simulator.splitFields(line, 3)[1];
        }
    }

    private void completeStatement(char transactionState) {
        if (pendingId == null) {
            return;
        }
        String id = pendingId;
        pendingId = null;
        String text = statements.get(statementIndex);
        if (errorCode == null) {
            boolean executes =
                    text.startsWith("READ")
                            || text.startsWith("WRITE")
                            || text.startsWith("EXECUTE")
                            || text.equals("COMMIT");
            if (executes && !id.equals(simulation.attemptId(database, completionTag))) {
                simulation.consistencyChecker.reportMisrouted(id, completionTag);
            }
            if (text.startsWith("SET")) {
                String[] fields = Simulator.splitFields(text, 3);
                sessionSettings.put(fields[1], fields[2]);
            } else if (text.startsWith("PREPARE")) {
                String[] fields = Simulator.splitFields(text, 3);
                preparedStatements.put(fields[1], fields[2]);
            } else if (finalStatementSent && hasWritten) {
                lastWriteIndex =
                        Math.max(
                                lastWriteIndex,
                                simulation.consistencyChecker.acknowledge(
                                        database, text.equals("COMMIT") ? lastWriteId : id));
            }
            if (text.startsWith("WRITE") || text.startsWith("EXECUTE") && text.endsWith(" d")) {
                lastWriteId = id;
            }
            statementIndex++;
            long epoch = connectionEpoch;
            simulation.simulator.scheduleAfter(
                    transaction ? 5 : 0,
                    () -> {
                        if (connectionEpoch == epoch && ready) {
                            sendNext();
                        }
                    });
            return;
        }
        boolean promisedNotExecuted = NOT_EXECUTED_CODES.contains(errorCode);
        if (promisedNotExecuted && firstAttempt != null) {
            firstAttempt.promisedNotExecuted = true;
        }
        boolean retryAllowed =
                promisedNotExecuted
                        || errorCode.equals("FAILED") && !hasWritten
                        || !finalStatementSent
                        || !hasWritten;
        if (transactionState != 'I') {
            connection.send(
                    Simulator.bytes("QUERY c" + number + "-end" + ++requestCount + " ROLLBACK"));
            // The response to ROLLBACK is not awaited, since the connection is closed.
            connection.close();
            open = false;
            ready = false;
            connectionEpoch++;
        }
        operationFailed(retryAllowed);
    }

    private String lastWriteId = "";

    /**
     * Invalidates scheduled retries, so that at most one continuation of the session is pending.
     */
    private long scheduleEpoch;

    private void disconnected(boolean abnormal) {
        if (!open) {
            return;
        }
        open = false;
        ready = false;
        connectionEpoch++;
        pendingId = null;
        if (connection != null) {
            connection.close();
        }
        if (operationActive) {
            operationFailed(!(finalStatementSent && hasWritten));
        }
    }

    @Override
    public void onClose(String reason) {
        disconnected(!reason.isEmpty());
    }

    private void operationFailed(boolean retryAllowed) {
        pendingId = null;
        long epoch = ++scheduleEpoch;
        if (retryAllowed
                && attempts < MAX_ATTEMPTS
                && simulation.simulator.millis() - operationStartMillis < 6_000) {
            simulation.simulator.scheduleAfter(
                    80 * attempts + simulation.simulator.random.nextInt(40),
                    () -> {
                        if (scheduleEpoch == epoch) {
                            retry();
                        }
                    });
        } else {
            scheduleNextOperation();
        }
    }

    private void scheduleNextOperation() {
        operationActive = false;
        pendingId = null;
        scheduleEpoch++;
        if (singleWriteDataPlane != null) {
            connection.close();
            return;
        }
        simulation.simulator.scheduleAfter(
                200 + simulation.simulator.random.nextInt(600), this::startOperation);
    }
}
