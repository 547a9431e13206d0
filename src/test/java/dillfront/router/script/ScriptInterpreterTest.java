package dillfront.router.script;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Scripts, what they say, and where they go wrong. */
class ScriptInterpreterTest {

    private static String run(String text) {
        List<String> output = new ArrayList<>();
        try {
            ScriptInterpreter.run(
                    text,
                    Map.of(
                            "say",
                            arguments -> {
                                Object value = arguments.take("what");
                                arguments.requireAllTaken();
                                output.add(
                                        value instanceof String s
                                                ? s
                                                : ScriptInterpreter.describe(value));
                                return null;
                            }));
        } catch (ScriptException e) {
            output.add(e.line() + ":" + e.column() + " " + e.getMessage());
        }
        return String.join("|", output);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            quoteCharacter = '`',
            value = {
                "1 + 2 * 3 - -4; 11",
                "7 // 2 * 2 + 7 % 2; 7",
                "-7 // 2; -4",
                "not 1 == 2 and 3 in [1, 3]; True",
                "\"a\" + \"b\" if 2 > 1 else 5; ab",
                "[1, 2, 3][-1]; 3",
                "{\"a\": 5}[\"a\"]; 5",
                "{}.get(\"x\", 9); 9",
                "len([i * i for i in range(2, 6) if i % 2 == 0]); 2",
                "\"-\".join([str(i) for i in range(3)]); 0-1-2",
                "\"r{}:{}\".format(1, \"x\"); r1:x",
                "0 or \"none\"; none",
                "len({\"a\": 1, \"b\": 2}.items()); 2",
                "str([1]) + str(None); a list of 1None"
            })
    void evaluatesExpressions(String expression, String expected) {
        assertEquals(expected, run("say(" + expression + ")"));
    }

    @Test
    void executesStatements() {
        assertEquals(
                "0|6|done 3",
                run(
                        """
                def two(n, by = 2):  # doubles
                    if n > 5:
                        return "much"
                    elif n == 1:
                        return None
                    return n * by

                count = 0
                for i, word in [[0, "a"], [1, "b"], [1, "c"]]:
                    count += 1
                    if i == 1 and word == "c":
                        say(what = two(1, by = 4) or two(3))
                        continue
                    elif i == 1: pass
                    else:
                        say(two(i))
                say("done {}".format(count))
                """));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            quoteCharacter = '`',
            value = {
                "say(1;1:4 this '(' is not closed",
                "say(x);1:5 no name 'x' is known here",
                "a = 1 +;1:8 expected a value, found the end of the line",
                "say(1, 2);1:1 too many arguments for 'say'",
                "say(which = 1);1:5 'say' takes no 'which'",
                "say(what = 1, what = 2);1:15 'what' is given twice",
                "while True: pass;1:1 'while' is not part of these scripts",
                "say(\"a);1:5 this string is not closed on its line",
                "say(1 / 2);1:7 '/' has no meaning here",
                "say(1.5);1:6 expected a whole number (spans are strings, as \"250ms\")",
                "say(1 // 0);1:7 a division by zero",
                "say(9223372036854775807 + 1);1:25 a number beyond 64 bits",
                "say([1][4]);1:8 no element 4 in a list of 1",
                "say(1 + \"a\");1:7 expected a number, found \"a\"",
                "return 1;1:1 'return' outside of a function",
                "if 1 say(2);1:6 expected ':', found 'say'",
                "say = 4;1:1 'say' is a word of the program",
                "say({\"a\": 1, \"a\": 2});1:14 the key \"a\" is there twice",
                "say(1 < 2 < 3);1:11 comparisons in a row: use brackets and 'and'",
                "say(\"\\q\");1:7 expected one of n t \\ \" ' behind \\"
            })
    void reportsPlaceAndError(String text, String message) {
        assertEquals(message, run(text));
    }

    @Test
    void rejectsInvalidIndentation() {
        assertEquals(
                "3:3 this line's indentation is that of no block above",
                run("if 1:\n    a = 1\n  b = 2\n"));
        assertEquals("2:1 expected an indented block, found 'a'", run("if 1:\na = 1\n"));
        assertEquals("2:1 a tab: blocks are indented by spaces", run("if 1:\n\ta = 1\n"));
    }

    @Test
    void boundsStepsSizesAndNesting() {
        assertTrue(
                run("""
                for a in range(100000):
                    for b in range(100000):
                        c = a
                """)
                        .endsWith("it does not end in time"));
        assertEquals(
                "2:12 'f' calls itself; functions here don't",
                run("def f(n):\n    return f(n)\nf(1)\n"));
        assertTrue(
                run("a = [1]\nfor i in range(40):\n    a = a + a\n")
                        .contains("a list longer than 100000"));
        assertTrue(
                run("a = \"x\"\nfor i in range(40):\n    a = a + a\n")
                        .contains("a string longer than 100000"));
        assertTrue(run("say(" + "(".repeat(500) + "1" + ")".repeat(500) + ")").contains("deep"));
        assertTrue(run("say(" + "-".repeat(5000) + "1)").contains("deep"));
        assertTrue(
                run("say(" + "not ".repeat(5000) + "1)").contains("deep"), "no stack is overrun");
    }

    @Property(tries = 500, seed = "21")
    void anyTextRunsOrFailsWithScriptException(
            @ForAll @StringLength(max = 60) @CharRange(from = ' ', to = '~') String text) {
        // Ends, with something said or a place named; nothing else is thrown.
        String firstRun = run(text.replace('~', '\n'));
        assertEquals(firstRun, run(text.replace('~', '\n')));
    }
}
