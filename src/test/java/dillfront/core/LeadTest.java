package dillfront.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import dillfront.host.Acknowledged;
import dillfront.host.DataLoss;
import dillfront.host.Pack;
import dillfront.host.Position;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What was recorded of a service is the same on a disk, and at another process. */
class LeadTest {

    private final DataLoss loss =
            DataLoss.of(
                    5,
                    new Position(1, 10),
                    new Acknowledged(new Position(1, 70), new Position(1, 72)),
                    List.of("i\n3"),
                    null);

    private static Lead passed(Lead of) throws Pack.Bad {
        assertEquals(of, Lead.kept(of.service(), of.kept()));
        return Lead.of(Pack.read(Pack.write(of.row())));
    }

    @Test
    void allOfItIsPassedOnAndKept() throws Pack.Bad {
        Lead one = new Lead("db", 3, "i-1", false, true);
        assertEquals(one, passed(one));
        Lead moving = one.moves(5);
        assertEquals(moving, passed(moving));
        assertEquals(5, moving.move());
        Lead given = moving.again(8).without(9, loss);
        assertEquals(given, passed(given));
        assertEquals(5, given.move(), "it is the same move under the next holder");
        Lead leads = given.leads(10, "i-2", false, loss);
        assertEquals(leads, passed(leads));
        assertEquals(0, leads.move());
        assertEquals(loss, leads.moves(12).loss());
    }

    @Test
    void textsOfBeforeAreRead() {
        assertEquals(new Lead("db", 3, "i-1", true, true), Lead.kept("db", "3\ni-1\ntrue"));
        assertEquals(
                new Lead("db", 3, "i-1", false, false), Lead.kept("db", "3\ni-1\nfalse\nfalse"));
        assertNull(Lead.kept("db", "3\ni-1"));
    }
}
