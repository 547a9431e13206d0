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
 * One client's connection. It holds a connection to a server only while a transaction is open or a
 * statement runs; its variables and prepared names are kept here and replayed there. One statement
 * runs at a time; those that the client sends ahead wait.
 */
final class ClientSession implements Environment.ConnectionListener {

    private static final int MAX_PIPELINED = 32;
    private static final int MAX_SESSION_NAMES = 400;

    /** Bytes that a client may leave unread. */
    private static final long MAX_UNREAD_BYTES = 4 << 20;

    /** A refused client is asked to wait for half of its target latency, and at least so long. */
    private static final long MIN_RETRY_AFTER_MS = 50;

    private static final char IN_FAILED_TRANSACTION = 'E';

    private final DataPlaneNode node;
    private final Map<String, String> variables = new HashMap<>();
    private final Map<String, String> preparedDefinitions = new HashMap<>();
    private final ArrayDeque<String> pipelinedLines = new ArrayDeque<>();
    private Environment.Connection clientConnection;

    /** The database that it named in CONNECT; null before. */
    private String database;

    /** The position of its last acknowledged write; null for none. */
    private LogPosition lastWritePosition;

    /** Null while no transaction is open. */
    private Transaction transaction;

    /** The transaction failed: its end rolls back. */
    private boolean transactionFailed;

    /** The statement that runs; null for none. */
    private StatementExecution runningStatement;

    private boolean closed;

    // The end of the process.
    private boolean closesWhenIdle;
    private boolean closesAfterStatement;

    /** It came when the process was already about to end: it gets one operation. */
    private boolean acceptedDuringShutdown;

    /** Or none, as that could not end in time any more. */
    private boolean rejectsConnect;

    private boolean hasRunOperation;

    ClientSession(DataPlaneNode node) {
        this.node = node;
    }

    // ---- what its executions need

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

    /** Whether this transaction is the one that is open. */
    boolean isCurrentTransaction(Transaction candidate) {
        return transaction == candidate;
    }

    // ---- what the client sends

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
        pipelinedLines.add(new String(line, StandardCharsets.ISO_8859_1));
        runNext();
    }

    private void closeWithError(String code, String text) {
        send("ERROR " + code + " " + text);
        close();
    }

    private void runNext() {
        while (!closed && runningStatement == null && !pipelinedLines.isEmpty()) {
            handle(pipelinedLines.poll());
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

    // ---- statements that are answered here

    private void set(Statement statement) {
        if (!variables.containsKey(statement.name()) && variables.size() >= MAX_SESSION_NAMES) {
            replyError("TOOLARGE", "too many values");
        } else {
            variables.put(statement.name(), statement.arguments());
            replyCompleted();
        }
    }

    private void prepare(Statement statement) {
        if (preparedDefinitions.size() >= MAX_SESSION_NAMES) {
            replyError("TOOLARGE", "too many prepared names");
        } else {
            preparedDefinitions.put(statement.name(), statement.arguments());
            replyCompleted();
        }
    }

    private void deallocate(Statement statement) {
        if (preparedDefinitions.remove(statement.name()) == null) {
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

    /** The transaction is over for the client: what is open at the server is rolled back. */
    private void endTransaction() {
        Transaction endedTransaction = transaction;
        transactionFailed = false;
        clearTransaction();
        endedTransaction.release(true);
    }

    /** No transaction is open any more. */
    void clearTransaction() {
        transaction.cancelIdleTimeout();
        transaction = null;
    }

    /** The transaction has failed; the client's own end of it is still to come. */
    void failTransaction() {
        transactionFailed = true;
    }

    // ---- statements that go to a server

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
        statement.startTimeout(() -> onTimeout(statement));
        if (transaction != null) {
            transaction.run(statement);
        } else {
            statement.acquire();
        }
    }

    /** A statement whose time is over is never run again: what runs is cut with its connection. */
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

    /** An error of the data plane's own; inside a transaction it fails it. */
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

    /** The statement completed. */
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

    /** The statement failed, with the server's error or one of the data plane's own. */
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

    /** The statement was not run, and is given up: the client is told when to come back. */
    void refuse(StatementExecution statement) {
        if (transaction != null) {
            transaction.failAndRollBack();
        }
        long retryAfterMillis =
                Math.max(MIN_RETRY_AFTER_MS, statement.route.targetLatencyMillis() / 2);
        fail(statement, "BUSY", "not run; come back in " + retryAfterMillis + " ms");
    }

    private void send(String lines) {
        if (!closed) {
            clientConnection.send(lines.getBytes(StandardCharsets.ISO_8859_1));
            if (clientConnection.pendingBytes() > MAX_UNREAD_BYTES) {
                onClose("reads nothing");
                clientConnection.close();
            }
        }
    }

    // ---- the end

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
                // What runs is cut with its connection: it rolls back, or the commit that is under
                // way goes its own way.
                transaction.onConnectionAborting();
                serverConnection.abort("client left");
            }
        }
        if (transaction != null) {
            endTransaction();
        }
        node.onSessionClosed(this);
    }

    /**
     * The process was about to end before this client came.
     *
     * @param tooLateForOperation no operation could end in time any more
     */
    void onAcceptedDuringShutdown(boolean tooLateForOperation) {
        closesWhenIdle = true;
        acceptedDuringShutdown = true;
        rejectsConnect = tooLateForOperation;
    }

    /** The process ends: the session is closed once it is idle. */
    void closeWhenIdle() {
        closesWhenIdle = true;
        runNext();
    }

    /**
     * The process ends now: an open transaction is told that nothing of it is kept, a statement
     * that runs is waited for.
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
