package dillfront.simulation.system;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.database.LogPosition;
import dillfront.common.environment.Environment;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The auditor of simulated days finds what it is there for. */
class ConsistencyCheckerTest {

    private final SystemSimulation day = new SystemSimulation(1, 1, 1, 0, 10_000);
    private final DatabaseCluster database = day.consistencyChecker.databases.get("db0");
    private final DatabaseCluster.Server primary = database.servers.get(0);
    private final DatabaseCluster.Server replica = database.servers.get(1);

    private void wrote(String id, long number, DatabaseCluster.Server... at) {
        DatabaseCluster.Commit commit = new DatabaseCluster.Commit(new LogPosition(1, number), id);
        for (DatabaseCluster.Server s : at) {
            s.log.add(commit);
            s.appliedCount = s.log.size();
        }
    }

    private ClientSession client(String kind) {
        ClientSession c = new ClientSession(day, 0, kind, "db0", "db0-" + kind, 1_000);
        return c;
    }

    private ConsistencyChecker.Attempt asks(String id, ClientSession by) {
        ConsistencyChecker.Attempt is = new ConsistencyChecker.Attempt(id, day.simulator.micros(), by, null);
        day.consistencyChecker.attempts.put(id, is);
        return is;
    }

    private void found(String rule) {
        assertTrue(
                day.violations().stream().anyMatch(b -> b.startsWith(rule)),
                rule + " among " + day.violations());
    }

    @Test
    void aReadThatLacksWhatWasAcknowledged() {
        wrote("w", 1, primary);
        day.consistencyChecker.acknowledge("db0", "w");
        day.simulator.runUntil(5);
        asks("r", client("primary"));
        DatabaseCluster.Connection by = database.new Connection(replica);
        day.consistencyChecker.onExecute(replica, by, "r", "READ k", true);
        found("STALE");
    }

    @Test
    void aReadThatIsYoungEnoughIsNone() {
        wrote("w", 1, primary);
        day.consistencyChecker.acknowledge("db0", "w");
        day.simulator.runUntil(500);
        asks("r", client("bounded"));
        day.consistencyChecker.onExecute(replica, database.new Connection(replica), "r", "READ k", true);
        assertTrue(day.violations().isEmpty(), day.violations().toString());
        day.simulator.runUntil(1_600);
        asks("later", client("bounded"));
        day.consistencyChecker.onExecute(replica, database.new Connection(replica), "later", "READ k", true);
        found("STALE");
    }

    @Test
    void aPromotionThatLosesACommit() {
        wrote("w", 1, primary);
        day.consistencyChecker.acknowledge("db0", "w");
        day.consistencyChecker.onPromoted(replica);
        found("LOST");
    }

    /** Guards against an auditor that lets more pass as given up than a person said. */
    @Test
    void aPromotionThatLosesWhatWasGivenUpAndNoMore() {
        wrote("v", 1, primary, replica);
        wrote("w", 2, primary);
        day.consistencyChecker.acknowledge("db0", "v");
        day.consistencyChecker.acknowledge("db0", "w");
        ConsistencyChecker.AcceptedLoss refused = day.consistencyChecker.lossAcceptanceSent("db0", new LogPosition(1, 1), new LogPosition(1, 2));
        day.consistencyChecker.lossAcceptanceRejected(refused);
        day.consistencyChecker.lossAcceptanceSent("db0", new LogPosition(1, 0), new LogPosition(1, 1));
        day.consistencyChecker.onPromoted(replica);
        found("LOST");
        day.consistencyChecker.violations.clear();
        day.consistencyChecker.lossAcceptanceSent("db0", new LogPosition(1, 1), new LogPosition(1, 2));
        day.consistencyChecker.onPromoted(replica);
        assertTrue(day.violations().isEmpty() && day.acceptedLostCommits() == 1, day.violations().toString());
        // It counted once; the next loss is another.
        wrote("x", 3, primary);
        day.consistencyChecker.acknowledge("db0", "x");
        day.consistencyChecker.onPromoted(replica);
        found("LOST");
    }

    @Test
    void aLossThatIsOverIsNotGivenUpAnyMore() {
        wrote("w", 1, primary);
        day.consistencyChecker.acknowledge("db0", "w");
        day.consistencyChecker.lossAcceptanceSent("db0", new LogPosition(1, 0), new LogPosition(1, 2));
        wrote("x", 2, primary);
        day.consistencyChecker.acknowledge("db0", "x");
        day.consistencyChecker.onPromoted(replica);
        found("LOST");
    }

    @Test
    void aWriteThatIsThereTwiceOrThoughItWasPromisedNotToBe() {
        wrote("w", 1, primary);
        wrote("w", 2, primary);
        asks("w", client("primary")).promisedNotExecuted = true;
        day.consistencyChecker.checkFinalLogs();
        found("TWICE");
        found("REFUSED");
    }

    @Test
    void valuesOfAnotherAndWhatNobodyAsked() {
        asks("r", client("primary"));
        DatabaseCluster.Connection by = database.new Connection(primary);
        by.sessionSettings.put("a", "b");
        day.consistencyChecker.onExecute(primary, by, "r", "READ k", true);
        found("PINNED");
        day.consistencyChecker.onExecute(primary, by, "nobody", "READ k", true);
        found("UNASKED");
    }

    @Test
    void workThatComesToADrainedServer() {
        asks("r", client("primary"));
        day.consistencyChecker.drainAcknowledgedMicros.put(primary.id, 0L);
        day.simulator.runUntil(8_000);
        day.consistencyChecker.onExecute(primary, database.new Connection(primary), "r", "READ k", true);
        found("DRAIN");
    }

    /**
     * Guards the stand-in: a promoted replica leads with what it had, and what was not received is
     * cut back elsewhere.
     */
    @Test
    void aPromotionCutsBack() {
        wrote("a", 1, primary, replica, database.servers.get(2));
        wrote("b", 2, primary);
        database.promote(replica.id);
        day.simulator.runUntil(1_000);
        assertTrue(
                replica.isPrimary && !primary.isPrimary && primary.log.size() == 1, primary.log.toString());
        assertTrue(day.violations().isEmpty(), day.violations().toString());
    }

    /** What a client says out of form is answered by the page, and nothing else is harmed. */
    @Test
    void whatIsOutOfFormIsAnswered() {
        day.run();
        List<String> heard = new java.util.ArrayList<>();
        say(heard, "CONNECT nosuch me");
        say(heard, "HELLO");
        say(heard, "CONNECT db0-primary me", "QUERY");
        say(heard, "CONNECT db0-primary me", "QUERY - READ k");
        say(heard, "CONNECT db0-primary me", "QUERY 1 READ k\nQUERY 2 READ k");
        say(
                heard,
                "CONNECT db0-primary me",
                "QUERY 1 SING",
                "QUERY 2 COMMIT",
                "QUERY 3 EXECUTE p k",
                "QUERY 4 SET a b",
                "GOODBYE");
        assertTrue(
                heard.equals(
                        List.of(
                                "ERROR NODATABASE nosuch",
                                "closed",
                                "ERROR MALFORMED no word that fits here",
                                "closed",
                                "READY I -",
                                "ERROR MALFORMED QUERY id text",
                                "closed",
                                "READY I -",
                                "ERROR MALFORMED QUERY id text",
                                "closed",
                                "READY I -",
                                "ERROR MALFORMED a control character",
                                "closed",
                                "READY I -",
                                "ERROR MALFORMED no statement",
                                "READY I -",
                                "ERROR MALFORMED no transaction",
                                "READY I -",
                                "ERROR UNKNOWN p",
                                "READY I -",
                                "COMPLETE -",
                                "READY I -",
                                "closed")),
                heard.toString());
    }

    private void say(List<String> heard, String... lines) {
        day.clients.connect(
                day.dataPlane(0).ip + ":" + SystemSimulation.DATA_PLANE_PORT,
                Environment.Framing.LINES,
                500,
                new Environment.ConnectionListener() {
                    @Override
                    public void onOpen(Environment.Connection link) {
                        for (String line : lines) {
                            link.send(Simulator.bytes(line));
                        }
                    }

                    @Override
                    public void onMessage(byte[] message) {
                        heard.add(Simulator.text(message));
                    }

                    @Override
                    public void onClose(String why) {
                        heard.add("closed");
                    }
                });
        day.simulator.runUntil(day.simulator.millis() + 200);
    }
}
