package dillfront.router.script;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a script into tokens. Indentation by spaces forms blocks, as in Starlark; line breaks
 * within brackets are ignored.
 */
final class Lexer {

    private static final int LONGEST = 1 << 20;
    private static final List<String> SIGNS =
            List.of(
                    "//=", "==", "!=", "<=", ">=", "+=", "-=", "*=", "%=", "//", "+", "-", "*", "%",
                    "<", ">", "=", "(", ")", "[", "]", "{", "}", ",", ":", ".", ";");

    private final String text;
    private final List<Token> tokens = new ArrayList<>();
    private final ArrayDeque<Integer> indents = new ArrayDeque<>(List.of(0));
    private final ArrayDeque<Token> brackets = new ArrayDeque<>();
    private int at;
    private int line = 1;
    private int lineStart;

    private Lexer(String text) {
        this.text = text;
    }

    static List<Token> tokens(String text) throws ScriptError {
        if (text.length() > LONGEST) {
            throw new ScriptError(1, 1, "script is longer than " + LONGEST + " characters");
        }
        return new Lexer(text).all();
    }

    private ScriptError error(String fault) {
        return new ScriptError(line, at - lineStart + 1, fault);
    }

    private void add(Token.Kind kind, String what, int from) {
        tokens.add(new Token(kind, what, line, from - lineStart + 1));
    }

    private char peek() {
        return at < text.length() ? text.charAt(at) : '\0';
    }

    private List<Token> all() throws ScriptError {
        while (at < text.length()) {
            if (brackets.isEmpty() && !indentation()) {
                continue;
            }
            line();
        }
        if (!brackets.isEmpty()) {
            throw new ScriptError(brackets.peek(), brackets.peek().shown() + " is not closed");
        }
        if (!tokens.isEmpty() && tokens.get(tokens.size() - 1).kind() != Token.Kind.NEWLINE) {
            add(Token.Kind.NEWLINE, "", at);
        }
        while (indents.pop() > 0) {
            add(Token.Kind.DEDENT, "", at);
        }
        add(Token.Kind.END, "", at);
        return tokens;
    }

    /** Reads the indentation of a line; false for a line without tokens, which is skipped. */
    private boolean indentation() throws ScriptError {
        int spaces = 0;
        while (peek() == ' ') {
            spaces++;
            at++;
        }
        if (peek() == '\t') {
            throw error("tab in indentation: use spaces");
        }
        if (peek() == '\r' || peek() == '\n' || peek() == '#' || at >= text.length()) {
            while (at < text.length() && peek() != '\n') {
                at++;
            }
            newLine();
            return false;
        }
        if (spaces > indents.peek()) {
            indents.push(spaces);
            add(Token.Kind.INDENT, "", at);
        }
        while (spaces < indents.peek()) {
            indents.pop();
            add(Token.Kind.DEDENT, "", at);
        }
        if (spaces != indents.peek()) {
            throw error("indentation matches no outer block");
        }
        return true;
    }

    private void newLine() {
        at++;
        line++;
        lineStart = at;
    }

    /** Reads the tokens up to the end of the line. */
    private void line() throws ScriptError {
        while (at < text.length()) {
            char c = peek();
            int from = at;
            if (c == '\n') {
                if (brackets.isEmpty()) {
                    add(Token.Kind.NEWLINE, "", at);
                }
                newLine();
                return;
            } else if (c == ' ' || c == '\r' || c == '\t') {
                at++;
            } else if (c == '#') {
                while (at < text.length() && peek() != '\n') {
                    at++;
                }
            } else if (c == '"' || c == '\'') {
                string(c);
            } else if (c >= '0' && c <= '9') {
                while (peek() >= '0' && peek() <= '9' || peek() == '_') {
                    at++;
                }
                if (Character.isLetter(peek()) || peek() == '.') {
                    throw error("expected a whole number (durations are strings, as \"250ms\")");
                }
                add(Token.Kind.NUMBER, text.substring(from, at).replace("_", ""), from);
            } else if (Character.isLetter(c) || c == '_') {
                while (Character.isLetterOrDigit(peek()) || peek() == '_') {
                    at++;
                }
                add(Token.Kind.NAME, text.substring(from, at), from);
            } else {
                sign();
            }
        }
    }

    private void string(char quote) throws ScriptError {
        int from = at++;
        StringBuilder value = new StringBuilder();
        while (peek() != quote) {
            if (at >= text.length() || peek() == '\n') {
                at = from;
                throw error("string is not closed on its line");
            }
            if (peek() == '\\') {
                at++;
                switch (peek()) {
                    case 'n' -> value.append('\n');
                    case 't' -> value.append('\t');
                    case '\\', '"', '\'' -> value.append(peek());
                    default -> throw error("expected one of n t \\ \" ' after \\");
                }
            } else {
                value.append(peek());
            }
            at++;
        }
        at++;
        add(Token.Kind.STRING, value.toString(), from);
    }

    private void sign() throws ScriptError {
        for (String sign : SIGNS) {
            if (text.startsWith(sign, at)) {
                add(Token.Kind.SIGN, sign, at);
                Token token = tokens.get(tokens.size() - 1);
                if ("([{".contains(sign)) {
                    brackets.push(token);
                } else if (")]}".contains(sign)) {
                    if (brackets.isEmpty()
                            || "([{".indexOf(brackets.peek().text()) != ")]}".indexOf(sign)) {
                        throw error("'" + sign + "' has no opening bracket");
                    }
                    brackets.pop();
                }
                at += sign.length();
                return;
            }
        }
        throw error("'" + (peek() < ' ' ? "?" : peek()) + "' is not allowed here");
    }
}
