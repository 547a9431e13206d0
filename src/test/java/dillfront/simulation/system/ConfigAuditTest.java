package dillfront.simulation.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * The auditor of control state finds each harm that the letter names, and takes what is right for
 * right.
 */
class ConfigAuditTest {

    private final Day day = new Day(1, 1, 1, 0, 10_000);
    private final ConfigAudit audit = day.configAudit;
    private final ControlMachine a = day.controls.of("core-a");
    private final ControlMachine b = day.controls.of("core-b");

    private Orders.Order order(long number, int variant) {
        Orders.Order o = day.orders.new Order(number, variant);
        o.sentAt = day.sim.millis();
        audit.sent(o);
        return o;
    }

    private Orders.Order acknowledged(long number, int variant) {
        Orders.Order o = order(number, variant);
        o.acknowledged = true;
        o.over = true;
        audit.ends(audit.calls(o), 200);
        audit.acknowledged(o, a);
        return o;
    }

    private void found(String what) {
        assertTrue(
                day.breaches().stream().anyMatch(x -> x.contains(what)),
                what + " among " + day.breaches());
    }

    private void nothingFound() {
        assertEquals(java.util.List.of(), day.breaches());
    }

    @Test
    void aReadBelowWhatWasAcknowledgedOrReadBefore() {
        acknowledged(5, 0);
        Orders.Order four = order(4, 0);
        ConfigAudit.Reading early = audit.reads(a);
        acknowledged(6, 0);
        audit.read(early, 5, order(5, 0).digest);
        nothingFound();
        audit.read(audit.reads(b), 4, four.digest);
        assertEquals(1, day.control().back);
        found("reads back 4, known before was 6");
    }

    @Test
    void twoContentsUnderOneNumber() {
        acknowledged(5, 0);
        acknowledged(5, 1);
        assertEquals(1, day.control().twoUnderOne);
        found("two contents under 5");
    }

    @Test
    void aContentThatWasOvertakenBeforeItWasDecidedIsNotOneOfTwo() {
        order(6, 0);
        acknowledged(5, 0);
        acknowledged(5, 1);
        nothingFound();
        audit.read(audit.reads(a), 5, order(5, 0).digest);
        audit.read(audit.reads(a), 5, order(5, 1).digest);
        assertEquals(1, day.control().twoUnderOne);
    }

    @Test
    void oneThatWasTakenAndIsRefused() {
        Orders.Order o = acknowledged(5, 0);
        audit.refused(o, b, 409);
        assertEquals(1, day.control().refusedAgain);
        Orders.Order unheard = order(6, 0);
        audit.refused(unheard, b, 409);
        audit.sees("front", 1, false, 6, unheard.digest);
        audit.read(audit.reads(a), 6, unheard.digest);
        audit.close();
        assertEquals(2, day.control().refusedAgain);
    }

    @Test
    void theLoserOfARaceMayBeRefused() {
        acknowledged(5, 0);
        audit.refused(order(5, 1), b, 409);
        day.sim.until(11_000);
        audit.read(audit.reads(a), 5, order(5, 0).digest);
        audit.close();
        nothingFound();
    }

    @Test
    void aHistoryThatNoOrderOfMomentsExplains() {
        int five = audit.calls(order(5, 0));
        audit.read(audit.reads(a), 5, order(5, 0).digest);
        audit.ends(five, 409);
        audit.close();
        found("not linearizable");
    }

    @Test
    void aClearAnswerWithoutAMajority() {
        a.aloneSince = 1_000;
        audit.answered(a, 1_500, 200);
        audit.answered(a, 2_500, 503);
        audit.answered(a, 2_500, 307);
        nothingFound();
        audit.answered(a, 2_500, 409);
        audit.answered(a, 2_500, 200);
        assertEquals(2, day.control().minorityAnswers);
    }

    @Test
    void aFenceOfTwoHolders() {
        audit.acts("core-a", 7);
        audit.acts("core-a", 7);
        nothingFound();
        audit.acts("core-b", 7);
        assertEquals(1, day.control().fenceRepeats);
    }

    @Test
    void aFrontThatGoesBackWithinOneLifeOrStaysBehindInTouch() {
        long five = acknowledged(5, 0).digest;
        long four = order(4, 0).digest;
        audit.sees("front", 1, true, 4, four);
        day.sim.until(2_900);
        audit.sees("front", 1, true, 4, four);
        nothingFound();
        day.sim.until(3_100);
        audit.sees("front", 1, false, 4, four);
        nothingFound();
        audit.sees("front", 1, true, 4, four);
        found("in touch uses 4");
        audit.sees("front", 1, true, 5, five);
        audit.sees("front", 2, false, 4, four);
        assertEquals(0, day.control().back);
        audit.sees("front", 2, false, 5, five);
        audit.sees("front", 2, false, 4, four);
        assertEquals(1, day.control().back);
    }

    @Test
    void anOrderWithoutAnAcknowledgementWhileAllIsSettled() {
        for (ControlMachine c : day.controls.all()) {
            day.controls.start(c, true);
        }
        order(5, 0);
        audit.look();
        day.sim.until(8_900);
        nothingFound();
        day.sim.until(9_200);
        assertEquals(1, day.control().noMajority);
        found("ACKS");
    }

    @Test
    void whatWasAcknowledgedIsGoneAtTheEnd() {
        acknowledged(5, 0);
        day.sim.until(11_000);
        audit.read(audit.reads(a), 4, order(4, 0).digest);
        audit.close();
        assertEquals(1, day.control().lost);
    }

    @Test
    void anAnswerOfAnotherAndACallThatRanTwice() {
        Client client = new Client(day, 0, "primary", "db0", "db0-primary", 1_000);
        Database database = day.audit.databases.get("db0");
        Database.Server primary = database.servers.get(0);
        day.audit.tries.put("w", new Audit.Try("w", 0, client, null));
        day.audit.runs(primary, database.new Connection(primary), "w", "WRITE k d", true);
        nothingFound();
        day.audit.runs(primary, database.new Connection(primary), "w", "WRITE k d", true);
        client.onMessage(Sim.bytes("ROW rother"));
        assertEquals(1, day.control().sentTwice);
        assertEquals(1, day.control().wrongCaller);
    }
}
