package dillfront.dataplane;

import dillfront.common.config.Configuration;
import dillfront.common.config.Configuration.Route;
import dillfront.common.database.LogPosition;
import dillfront.common.environment.Environment;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * One client's connection. The session holds a server connection only while a transaction is open
 * or a statement runs; the client's variables and prepared statements are stored here and replayed
 * on each server connection. Statements run one at a time; pipelined statements are queued.
 */
final class ClientSession implements Environment.ConnectionListener {

    private static final int MAX_PIPELINED = 32;
    private static final int MAX_SESSION_NAMES = 400;

    /** Limit of the output that a client has not read yet. */
    private static final long MAX_UNREAD_BYTES = 4 << 20;

    /**
     * Lower bound of the delay suggested to a refused client, which is otherwise half of the
     * route's target latency.
     */
    private static final long MIN_RETRY_AFTER_MS = 50;

    /** Delay suggested to a client whose value or statement finds no memory. */
    private static final long NO_MEMORY_RETRY_AFTER_MS = 1_000;

    /** A session whose waiting statements are larger than this is not read any further. */
    private static final long MAX_READ_AHEAD_BYTES = 64 * 1024;

    private static final char IN_FAILED_TRANSACTION = 'E';

    private final DataPlaneNode node;
    private final Map<String, String> variables = new HashMap<>();
    private final Map<String, String> preparedDefinitions = new HashMap<>();
    private final SessionMemory memory;
    private final ArrayDeque<String> pipelinedLines = new ArrayDeque<>();

    /** The memory of the lines that wait behind a running statement. */
    private final MemoryReservation pipelinedMemory;

    private Environment.Connection clientConnection;

    /** The database that the client named in CONNECT; null before CONNECT. */
    private String database;

    /** The log position of the client's last acknowledged write; null if there is none. */
    private LogPosition lastWritePosition;

    /** The open transaction; null if there is none. */
    private Transaction transaction;

    /** Whether the open transaction has failed: COMMIT and ROLLBACK both roll it back. */
    private boolean transactionFailed;

    /** The running statement; null if there is none. */
    private StatementExecution runningStatement;

    private boolean closed;

    // Shutdown of the process.
    private boolean closesWhenIdle;
    private boolean closesAfterStatement;

    /** Whether the client connected after the shutdown began; the session serves one operation. */
    private boolean acceptedDuringShutdown;

    /** Whether CONNECT is rejected, as no operation could complete before the process exits. */
    private boolean rejectsConnect;

    private boolean hasRunOperation;

    ClientSession(DataPlaneNode node) {
        this.node = node;
        memory = new SessionMemory(node.memory());
        pipelinedMemory = new MemoryReservation(node.memory());
    }

    // ---- state for the executions

    DataPlaneNode node() {
        return node;
    }

    Map<String, String> variables() {
        return variables;
    }

    LogPosition lastWritePosition() {
        return lastWritePosition;
    }

    void onWriteAcknowledged(LogPosition position) {
        lastWritePosition = LogPosition.max(lastWritePosition, position);
    }

    boolean isClosed() {
        return closed;
    }

    /** Returns whether the given transaction is the open one. */
    boolean isCurrentTransaction(Transaction candidate) {
        return transaction == candidate;
    }

    // ---- client messages

    @Override
    public void onOpen(Environment.Connection connection) {
        clientConnection = connection;
    }

    @Override
    public void onMessage(byte[] line) {
        for (byte b : line) {
            if (b >= 0 && b < ' ' && b != '\t') {
                closeWithError("MALFORMED", "a control character");
                return;
            }
        }
        if (pipelinedLines.size() >= MAX_PIPELINED) {
            closeWithError("MALFORMED", "too much at once");
            return;
        }
        if (runningStatement != null && !queue(line.length)) {
            closeWithError("TOOLARGE", "too much at once");
            return;
        }
        pipelinedLines.add(new String(line, StandardCharsets.ISO_8859_1));
        runNext();
    }

    /** Reserves the memory of a line that has to wait; returns whether there is enough. */
    private boolean queue(long bytes) {
        if (!pipelinedMemory.tryAdd(bytes)) {
            return false;
        }
        clientConnection.setReading(pipelinedMemory.bytes() <= MAX_READ_AHEAD_BYTES);
        return true;
    }

    private String nextLine() {
        if (pipelinedMemory.bytes() > 0 && pipelinedLines.size() == 1) {
            pipelinedMemory.releaseAll();
            clientConnection.setReading(true);
        }
        return pipelinedLines.poll();
    }

    private void closeWithError(String code, String text) {
        send("ERROR " + code + " " + text);
        close();
    }

    private void runNext() {
        while (!closed && runningStatement == null && !pipelinedLines.isEmpty()) {
            handle(nextLine());
        }
        if (closed || runningStatement != null) {
            return;
        }
        if (closesWhenIdle && transaction == null && (hasRunOperation || !acceptedDuringShutdown)) {
            close();
        } else if (closesAfterStatement) {
            closeAfterStatement();
        }
    }

    private void handle(String line) {
        int separator = line.indexOf(' ');
        String command = separator < 0 ? line : line.substring(0, separator);
        String arguments = separator < 0 ? "" : line.substring(separator + 1);
        if (command.equals("CONNECT") && database == null) {
            connect(arguments);
        } else if (command.equals("QUERY") && database != null) {
            query(arguments);
        } else if (command.equals("GOODBYE") && arguments.isEmpty()) {
            close();
        } else {
            closeWithError("MALFORMED", "no word that fits here");
        }
    }

    private void connect(String arguments) {
        int separator = arguments.indexOf(' ');
        String name = separator < 0 ? arguments : arguments.substring(0, separator);
        if (name.isEmpty() || separator < 0) {
            closeWithError("MALFORMED", "CONNECT database who");
        } else if (rejectsConnect) {
            closeWithError("BUSY", "the router ends");
        } else if (node.configuration() == Configuration.NONE) {
            closeWithError("BUSY", "no configuration yet");
        } else if (node.configuration().route(name) == null) {
            closeWithError("NODATABASE", name);
        } else {
            database = name;
            send("READY I -");
        }
    }

    private void query(String arguments) {
        int separator = arguments.indexOf(' ');
        if (separator < 1 || separator == arguments.length() - 1 || arguments.startsWith("- ")) {
            closeWithError("MALFORMED", "QUERY id text");
        } else {
            query(arguments.substring(0, separator), arguments.substring(separator + 1));
        }
    }

    private void query(String id, String text) {
        node.counters.statements++;
        Statement statement = Statement.parse(text);
        boolean endsTransaction =
                statement.verb() == Statement.Verb.COMMIT
                        || statement.verb() == Statement.Verb.ROLLBACK;
        if (transactionFailed && !endsTransaction) {
            replyError("MALFORMED", "the transaction failed");
            return;
        }
        if (transaction != null) {
            transaction.cancelIdleTimeout();
        }
        switch (statement.verb()) {
            case MALFORMED -> replyError("MALFORMED", "no statement");
            case SET -> set(statement);
            case PREPARE -> prepare(statement);
            case DEALLOCATE -> deallocate(statement);
            case BEGIN, BEGIN_READ -> begin(id, statement);
            case ROLLBACK -> rollBack();
            case COMMIT -> commit(id, text, statement);
            default -> execute(id, text, statement);
        }
    }

    // ---- statements without a server

    private void set(Statement statement) {
        store(variables, statement, "values");
    }

    /** Stores a value or prepared statement, unless there are too many or too large ones. */
    private void store(Map<String, String> entries, Statement statement, String kind) {
        if (!entries.containsKey(statement.name()) && entries.size() >= MAX_SESSION_NAMES) {
            replyError("TOOLARGE", "too many " + kind);
            return;
        }
        switch (memory.put(entries, statement.name(), statement.arguments())) {
            case STORED -> replyCompleted();
            case SESSION_FULL -> replyError("TOOLARGE", "too large " + kind + " of the session");
            case PROCESS_FULL ->
                    replyError(
                            "BUSY", "not kept; come back in " + NO_MEMORY_RETRY_AFTER_MS + " ms");
            default -> throw new IllegalStateException("result of " + statement.verb());
        }
    }

    private void prepare(Statement statement) {
        store(preparedDefinitions, statement, "prepared names");
    }

    private void deallocate(Statement statement) {
        if (memory.remove(preparedDefinitions, statement.name()) == null) {
            replyError("UNKNOWN", statement.name());
        } else {
            replyCompleted();
        }
    }

    private Route route() {
        return node.configuration().route(database);
    }

    private void begin(String id, Statement statement) {
        Route route = route();
        if (transaction != null) {
            replyError("MALFORMED", "a transaction is open");
        } else if (route == null) {
            replyError("NODATABASE", database);
        } else {
            boolean readOnly = statement.verb() == Statement.Verb.BEGIN_READ;
            transaction = new Transaction(this, readOnly, id, route);
            hasRunOperation = true;
            replyCompleted();
            startIdleTimeout(transaction);
            transaction.open();
        }
    }

    private void startIdleTimeout(Transaction idleTransaction) {
        idleTransaction.startIdleTimeout(
                () -> {
                    if (transaction == idleTransaction
                            && runningStatement == null
                            && !transactionFailed) {
                        transactionFailed = true;
                        idleTransaction.release(true);
                    }
                });
    }

    private void rollBack() {
        if (transaction == null) {
            replyError("MALFORMED", "no transaction");
        } else {
            endTransaction();
            send("COMPLETE -\r\nREADY I -");
        }
    }

    private void commit(String id, String text, Statement statement) {
        if (transaction == null) {
            replyError("MALFORMED", "no transaction");
        } else if (transactionFailed) {
            endTransaction();
            send("ERROR ABORTED the transaction failed\r\nREADY I -");
        } else {
            run(new StatementExecution(this, id, text, statement, transaction.route, null));
        }
    }

    /** Ends the transaction for the client and rolls it back at the server. */
    private void endTransaction() {
        Transaction endedTransaction = transaction;
        transactionFailed = false;
        clearTransaction();
        endedTransaction.release(true);
    }

    /** Clears the open transaction. */
    void clearTransaction() {
        transaction.cancelIdleTimeout();
        transaction = null;
    }

    /** Marks the transaction as failed; the client must still end it. */
    void failTransaction() {
        transactionFailed = true;
    }

    // ---- statements for a server

    private void execute(String id, String text, Statement statement) {
        Route route = transaction != null ? transaction.route : route();
        if (route == null) {
            replyError("NODATABASE", database);
            return;
        }
        String preparedDefinition = null;
        if (statement.verb() == Statement.Verb.EXECUTE) {
            preparedDefinition = preparedDefinitions.get(statement.name());
            if (preparedDefinition == null) {
                replyError("UNKNOWN", statement.name());
                return;
            }
        }
        run(new StatementExecution(this, id, text, statement, route, preparedDefinition));
    }

    private void run(StatementExecution statement) {
        runningStatement = statement;
        hasRunOperation = true;
        if (!statement.reserveMemory()) {
            refuse(statement, NO_MEMORY_RETRY_AFTER_MS);
            return;
        }
        statement.startTimeout(() -> onTimeout(statement));
        if (transaction != null) {
            transaction.run(statement);
        } else {
            statement.acquire();
        }
    }

    /**
     * A statement that timed out is never retried. Closing its connection cancels it at the server.
     */
    private void onTimeout(StatementExecution statement) {
        if (statement.finished) {
            return;
        }
        if (statement.connection == null) {
            refuse(statement);
            return;
        }
        ServerConnection serverConnection = statement.connection;
        statement.finished = true;
        if (transaction != null) {
            transactionFailed = true;
            transaction.onConnectionAborting();
            if (statement.isCommit()) {
                clearTransaction();
                transactionFailed = false;
            }
        }
        serverConnection.abort("time-out");
        statement.finished = false;
        fail(statement, "TIMEOUT", "no answer in " + statement.route.timeoutMillis() + " ms");
    }

    // ---- replies

    private char transactionStatus() {
        if (transactionFailed) {
            return IN_FAILED_TRANSACTION;
        }
        return transaction != null ? QueryResult.IN_TRANSACTION : QueryResult.IDLE;
    }

    private void replyCompleted() {
        send("COMPLETE -\r\nREADY " + transactionStatus() + " -");
    }

    /** Sends an error of the data plane itself; an open transaction fails with it. */
    private void replyError(String code, String text) {
        if (transaction != null) {
            transactionFailed = true;
        }
        send("ERROR " + code + " " + text + "\r\nREADY " + transactionStatus() + " -");
    }

    private void finish(StatementExecution statement) {
        statement.finish();
        runningStatement = null;
    }

    /** Sends the result of a completed statement. */
    void complete(StatementExecution statement, QueryResult result) {
        finish(statement);
        node.counters.completed++;
        StringBuilder response = new StringBuilder();
        result.rows().forEach(row -> response.append("ROW ").append(row).append("\r\n"));
        response.append("COMPLETE ")
                .append(result.completionTag())
                .append("\r\nREADY ")
                .append(transactionStatus())
                .append(' ')
                .append(result.position() == null ? "-" : result.position());
        send(response.toString());
        if (transaction != null) {
            startIdleTimeout(transaction);
        }
        runNext();
    }

    /** Sends the error of a failed statement: the server's, or one of the data plane itself. */
    void fail(StatementExecution statement, String code, String text) {
        finish(statement);
        if (code.equals("UNCERTAIN") || code.equals("TIMEOUT")) {
            node.counters.uncertain++;
        } else {
            node.counters.rejected++;
        }
        replyError(code, text);
        runNext();
    }

    /** Refuses a statement that was not run, with a suggested retry delay. */
    void refuse(StatementExecution statement) {
        refuse(statement, Math.max(MIN_RETRY_AFTER_MS, statement.route.targetLatencyMillis() / 2));
    }

    private void refuse(StatementExecution statement, long retryAfterMillis) {
        if (transaction != null) {
            transaction.failAndRollBack();
        }
        fail(statement, "BUSY", "not run; come back in " + retryAfterMillis + " ms");
    }

    private void send(String lines) {
        if (!closed) {
            clientConnection.send(lines.getBytes(StandardCharsets.ISO_8859_1));
            if (clientConnection.pendingBytes() > MAX_UNREAD_BYTES) {
                onClose("output limit exceeded");
                clientConnection.close();
            }
        }
    }

    // ---- close

    private void close() {
        if (!closed) {
            Environment.Connection connection = clientConnection;
            onClose("ended");
            connection.close();
        }
    }

    @Override
    public void onClose(String reason) {
        if (closed) {
            return;
        }
        if (reason.equals("too long")) {
            send("ERROR TOOLARGE a message of more than 1 MiB");
        }
        closed = true;
        if (runningStatement != null) {
            StatementExecution statement = runningStatement;
            ServerConnection serverConnection = statement.connection;
            finish(statement);
            if (transaction != null && serverConnection != null) {
                // Closing the connection rolls back the running statement, except for a COMMIT in
                // progress, which completes or fails at the server.
                transaction.onConnectionAborting();
                serverConnection.abort("client closed its connection");
            }
        }
        if (transaction != null) {
            endTransaction();
        }
        memory.releaseAll();
        pipelinedMemory.releaseAll();
        node.onSessionClosed(this);
    }

    /**
     * Called if the client connected after the shutdown of the process began.
     *
     * @param tooLateForOperation whether no operation could complete before the process exits
     */
    void onAcceptedDuringShutdown(boolean tooLateForOperation) {
        closesWhenIdle = true;
        acceptedDuringShutdown = true;
        rejectsConnect = tooLateForOperation;
    }

    /** Closes the session once it is idle, as the process shuts down. */
    void closeWhenIdle() {
        closesWhenIdle = true;
        runNext();
    }

    /**
     * Closes the session at half of the grace period: an open idle transaction is aborted, a
     * running statement is completed first.
     */
    void closeAfterStatement() {
        closesWhenIdle = true;
        closesAfterStatement = true;
        if (runningStatement == null) {
            if (transaction != null) {
                send("ERROR ABORTED the router ends; nothing of the transaction is kept");
            }
            close();
        }
    }
}
