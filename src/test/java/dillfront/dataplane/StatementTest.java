package dillfront.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class StatementTest {

    private static String read(String text) {
        Statement is = Statement.parse(text);
        return is.verb() + "|" + is.name() + "|" + is.arguments();
    }

    @Test
    void parsesStatementsOfTheWire() {
        assertEquals("BEGIN||", read("BEGIN"));
        assertEquals("BEGIN_READ||", read("BEGIN READ"));
        assertEquals("READ||1a4", read("READ 1a4"));
        assertEquals("WRITE||1a4 a text of words", read("WRITE 1a4 a text of words"));
        assertEquals("SET|zone|a b", read("SET zone a b"));
        assertEquals("PREPARE|s1|WRITE q2c", read("PREPARE s1 WRITE q2c"));
        assertEquals("EXECUTE|s1|1a4 x y", read("EXECUTE s1 1a4 x y"));
        assertEquals("DEALLOCATE|s1|", read("DEALLOCATE s1"));
    }

    @Test
    void rejectsOtherStatements() {
        for (String bad :
                new String[] {
                    "",
                    " ",
                    "READ",
                    "READ ",
                    "READ a b",
                    "WRITE a",
                    "WRITE a ",
                    "BEGIN WRITE",
                    "BEGIN ",
                    "COMMIT now",
                    "SET a",
                    "PREPARE s",
                    "PREPARE s LOOK q",
                    "PREPARE s READ",
                    "PREPARE s READ q r",
                    "EXECUTE s",
                    "read a",
                    "AFTER 1.2 READ a",
                    "STATUS"
                }) {
            assertEquals("MALFORMED||", read(bad), bad);
        }
    }

    @Property(tries = 2_000)
    void anyTextIsReadOrRefused(@ForAll String text) {
        Statement.parse(text);
        Statement.parse("EXECUTE " + text);
        Statement.parse("PREPARE " + text);
    }
}
