package dillfront.simulation.system;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.database.LogPosition;
import dillfront.common.environment.Environment;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The auditor of simulated days finds what it is there for. */
class AuditTest {

    private final Day day = new Day(1, 1, 1, 0, 10_000);
    private final Database database = day.audit.databases.get("db0");
    private final Database.Server primary = database.servers.get(0);
    private final Database.Server replica = database.servers.get(1);

    private void wrote(String id, long number, Database.Server... at) {
        Database.Commit commit = new Database.Commit(new LogPosition(1, number), id);
        for (Database.Server s : at) {
            s.log.add(commit);
            s.applied = s.log.size();
        }
    }

    private Client client(String kind) {
        Client c = new Client(day, 0, kind, "db0", "db0-" + kind, 1_000);
        return c;
    }

    private Audit.Try asks(String id, Client by) {
        Audit.Try is = new Audit.Try(id, day.sim.micros(), by, null);
        day.audit.tries.put(id, is);
        return is;
    }

    private void found(String rule) {
        assertTrue(
                day.breaches().stream().anyMatch(b -> b.startsWith(rule)),
                rule + " among " + day.breaches());
    }

    @Test
    void aReadThatLacksWhatWasAcknowledged() {
        wrote("w", 1, primary);
        day.audit.acknowledge("db0", "w");
        day.sim.until(5);
        asks("r", client("primary"));
        Database.Connection by = database.new Connection(replica);
        day.audit.runs(replica, by, "r", "READ k", true);
        found("STALE");
    }

    @Test
    void aReadThatIsYoungEnoughIsNone() {
        wrote("w", 1, primary);
        day.audit.acknowledge("db0", "w");
        day.sim.until(500);
        asks("r", client("bounded"));
        day.audit.runs(replica, database.new Connection(replica), "r", "READ k", true);
        assertTrue(day.breaches().isEmpty(), day.breaches().toString());
        day.sim.until(1_600);
        asks("later", client("bounded"));
        day.audit.runs(replica, database.new Connection(replica), "later", "READ k", true);
        found("STALE");
    }

    @Test
    void aPromotionThatLosesACommit() {
        wrote("w", 1, primary);
        day.audit.acknowledge("db0", "w");
        day.audit.promoted(replica);
        found("LOST");
    }

    /** Guards against an auditor that lets more pass as given up than a person said. */
    @Test
    void aPromotionThatLosesWhatWasGivenUpAndNoMore() {
        wrote("v", 1, primary, replica);
        wrote("w", 2, primary);
        day.audit.acknowledge("db0", "v");
        day.audit.acknowledge("db0", "w");
        Audit.Given refused = day.audit.gives("db0", new LogPosition(1, 1), new LogPosition(1, 2));
        day.audit.refused(refused);
        day.audit.gives("db0", new LogPosition(1, 0), new LogPosition(1, 1));
        day.audit.promoted(replica);
        found("LOST");
        day.audit.breaches.clear();
        day.audit.gives("db0", new LogPosition(1, 1), new LogPosition(1, 2));
        day.audit.promoted(replica);
        assertTrue(day.breaches().isEmpty() && day.givenUp() == 1, day.breaches().toString());
        // It counted once; the next loss is another.
        wrote("x", 3, primary);
        day.audit.acknowledge("db0", "x");
        day.audit.promoted(replica);
        found("LOST");
    }

    @Test
    void aLossThatIsOverIsNotGivenUpAnyMore() {
        wrote("w", 1, primary);
        day.audit.acknowledge("db0", "w");
        day.audit.gives("db0", new LogPosition(1, 0), new LogPosition(1, 2));
        wrote("x", 2, primary);
        day.audit.acknowledge("db0", "x");
        day.audit.promoted(replica);
        found("LOST");
    }

    @Test
    void aWriteThatIsThereTwiceOrThoughItWasPromisedNotToBe() {
        wrote("w", 1, primary);
        wrote("w", 2, primary);
        asks("w", client("primary")).promised = true;
        day.audit.close();
        found("TWICE");
        found("REFUSED");
    }

    @Test
    void valuesOfAnotherAndWhatNobodyAsked() {
        asks("r", client("primary"));
        Database.Connection by = database.new Connection(primary);
        by.values.put("a", "b");
        day.audit.runs(primary, by, "r", "READ k", true);
        found("PINNED");
        day.audit.runs(primary, by, "nobody", "READ k", true);
        found("UNASKED");
    }

    @Test
    void workThatComesToADrainedServer() {
        asks("r", client("primary"));
        day.audit.drained.put(primary.id, 0L);
        day.sim.until(8_000);
        day.audit.runs(primary, database.new Connection(primary), "r", "READ k", true);
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
        day.sim.until(1_000);
        assertTrue(
                replica.leads && !primary.leads && primary.log.size() == 1, primary.log.toString());
        assertTrue(day.breaches().isEmpty(), day.breaches().toString());
    }

    /** What a client says out of form is answered by the page, and nothing else is harmed. */
    @Test
    void whatIsOutOfFormIsAnswered() {
        day.play();
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
                day.front(0).ip + ":" + Day.FRONT,
                Environment.Framing.LINES,
                500,
                new Environment.ConnectionListener() {
                    @Override
                    public void onOpen(Environment.Connection link) {
                        for (String line : lines) {
                            link.send(Sim.bytes(line));
                        }
                    }

                    @Override
                    public void onMessage(byte[] message) {
                        heard.add(Sim.text(message));
                    }

                    @Override
                    public void onClose(String why) {
                        heard.add("closed");
                    }
                });
        day.sim.until(day.sim.millis() + 200);
    }
}
