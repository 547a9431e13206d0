package dillfront.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class StatementTest {

    private static String parse(String text) {
        Statement statement = Statement.parse(text);
        return statement.verb() + "|" + statement.name() + "|" + statement.arguments();
    }

    @Test
    void parsesProtocolStatements() {
        assertEquals("BEGIN||", parse("BEGIN"));
        assertEquals("BEGIN_READ||", parse("BEGIN READ"));
        assertEquals("READ||1a4", parse("READ 1a4"));
        assertEquals("WRITE||1a4 a text of words", parse("WRITE 1a4 a text of words"));
        assertEquals("SET|zone|a b", parse("SET zone a b"));
        assertEquals("PREPARE|s1|WRITE q2c", parse("PREPARE s1 WRITE q2c"));
        assertEquals("EXECUTE|s1|1a4 x y", parse("EXECUTE s1 1a4 x y"));
        assertEquals("DEALLOCATE|s1|", parse("DEALLOCATE s1"));
    }

    @Test
    void rejectsMalformedStatements() {
        for (String malformed :
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
            assertEquals("MALFORMED||", parse(malformed), malformed);
        }
    }

    @Property(tries = 2_000)
    void parsesAnyTextWithoutException(@ForAll String text) {
        Statement.parse(text);
        Statement.parse("EXECUTE " + text);
        Statement.parse("PREPARE " + text);
    }
}
