package dillfront.router.script;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * From text to words. Indentation by spaces makes blocks, as in Starlark; within brackets lines go
 * on.
 */
final class Lexer {

    private static final int MAX_SCRIPT_LENGTH = 1 << 20;
    private static final List<String> OPERATORS =
            List.of(
                    "//=", "==", "!=", "<=", ">=", "+=", "-=", "*=", "%=", "//", "+", "-", "*", "%",
                    "<", ">", "=", "(", ")", "[", "]", "{", "}", ",", ":", ".", ";");

    private final String text;
    private final List<Token> tokens = new ArrayList<>();
    private final ArrayDeque<Integer> indents = new ArrayDeque<>(List.of(0));
    private final ArrayDeque<Token> brackets = new ArrayDeque<>();
    private int position;
    private int line = 1;
    private int lineStart;

    private Lexer(String text) {
        this.text = text;
    }

    static List<Token> tokens(String text) throws ScriptException {
        if (text.length() > MAX_SCRIPT_LENGTH) {
            throw new ScriptException(1, 1, "longer than " + MAX_SCRIPT_LENGTH + " characters");
        }
        return new Lexer(text).readAll();
    }

    private ScriptException error(String message) {
        return new ScriptException(line, position - lineStart + 1, message);
    }

    private void add(Token.Kind kind, String text, int start) {
        tokens.add(new Token(kind, text, line, start - lineStart + 1));
    }

    private char peek() {
        return position < text.length() ? text.charAt(position) : '\0';
    }

    private List<Token> readAll() throws ScriptException {
        while (position < text.length()) {
            if (brackets.isEmpty() && !readIndentation()) {
                continue;
            }
            line();
        }
        if (!brackets.isEmpty()) {
            throw new ScriptException(
                    brackets.peek(), "this " + brackets.peek().describe() + " is not closed");
        }
        if (!tokens.isEmpty() && tokens.get(tokens.size() - 1).kind() != Token.Kind.NEWLINE) {
            add(Token.Kind.NEWLINE, "", position);
        }
        while (indents.pop() > 0) {
            add(Token.Kind.DEDENT, "", position);
        }
        add(Token.Kind.END, "", position);
        return tokens;
    }

    /** The spaces at the begin of a line; false where the line holds nothing else. */
    private boolean readIndentation() throws ScriptException {
        int spaces = 0;
        while (peek() == ' ') {
            spaces++;
            position++;
        }
        if (peek() == '\t') {
            throw error("a tab: blocks are indented by spaces");
        }
        if (peek() == '\r' || peek() == '\n' || peek() == '#' || position >= text.length()) {
            while (position < text.length() && peek() != '\n') {
                position++;
            }
            newLine();
            return false;
        }
        if (spaces > indents.peek()) {
            indents.push(spaces);
            add(Token.Kind.INDENT, "", position);
        }
        while (spaces < indents.peek()) {
            indents.pop();
            add(Token.Kind.DEDENT, "", position);
        }
        if (spaces != indents.peek()) {
            throw error("this line's indentation is that of no block above");
        }
        return true;
    }

    private void newLine() {
        position++;
        line++;
        lineStart = position;
    }

    /** Words up to the end of the line. */
    private void line() throws ScriptException {
        while (position < text.length()) {
            char c = peek();
            int start = position;
            if (c == '\n') {
                if (brackets.isEmpty()) {
                    add(Token.Kind.NEWLINE, "", position);
                }
                newLine();
                return;
            } else if (c == ' ' || c == '\r' || c == '\t') {
                position++;
            } else if (c == '#') {
                while (position < text.length() && peek() != '\n') {
                    position++;
                }
            } else if (c == '"' || c == '\'') {
                readString(c);
            } else if (c >= '0' && c <= '9') {
                while (peek() >= '0' && peek() <= '9' || peek() == '_') {
                    position++;
                }
                if (Character.isLetter(peek()) || peek() == '.') {
                    throw error("expected a whole number (spans are strings, as \"250ms\")");
                }
                add(Token.Kind.NUMBER, text.substring(start, position).replace("_", ""), start);
            } else if (Character.isLetter(c) || c == '_') {
                while (Character.isLetterOrDigit(peek()) || peek() == '_') {
                    position++;
                }
                add(Token.Kind.NAME, text.substring(start, position), start);
            } else {
                readOperator();
            }
        }
    }

    private void readString(char quote) throws ScriptException {
        int start = position++;
        StringBuilder value = new StringBuilder();
        while (peek() != quote) {
            if (position >= text.length() || peek() == '\n') {
                position = start;
                throw error("this string is not closed on its line");
            }
            if (peek() == '\\') {
                position++;
                switch (peek()) {
                    case 'n' -> value.append('\n');
                    case 't' -> value.append('\t');
                    case '\\', '"', '\'' -> value.append(peek());
                    default -> throw error("expected one of n t \\ \" ' behind \\");
                }
            } else {
                value.append(peek());
            }
            position++;
        }
        position++;
        add(Token.Kind.STRING, value.toString(), start);
    }

    private void readOperator() throws ScriptException {
        for (String operator : OPERATORS) {
            if (text.startsWith(operator, position)) {
                add(Token.Kind.OPERATOR, operator, position);
                Token token = tokens.get(tokens.size() - 1);
                if ("([{".contains(operator)) {
                    brackets.push(token);
                } else if (")]}".contains(operator)) {
                    if (brackets.isEmpty()
                            || "([{".indexOf(brackets.peek().text()) != ")]}".indexOf(operator)) {
                        throw error("this " + operator + " closes nothing");
                    }
                    brackets.pop();
                }
                position += operator.length();
                return;
            }
        }
        throw error("'" + (peek() < ' ' ? "?" : peek()) + "' has no meaning here");
    }
}
