package dillfront.router.script;

import dillfront.router.script.Token.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** A recursive-descent parser. A syntax error names what was expected and what was found. */
final class Parser {

    private static final int DEEPEST = 64;
    private static final Set<String> WORDS =
            Set.of(
                    "if",
                    "elif",
                    "else",
                    "for",
                    "in",
                    "def",
                    "return",
                    "pass",
                    "break",
                    "continue",
                    "and",
                    "or",
                    "not",
                    "True",
                    "False",
                    "None",
                    "while",
                    "lambda",
                    "load",
                    "import",
                    "class");

    /** Binary operators by ascending precedence; operators of one level associate to the left. */
    private static final List<Set<String>> BINARY =
            List.of(
                    Set.of("or"),
                    Set.of("and"),
                    Set.of("==", "!=", "<", ">", "<=", ">=", "in"),
                    Set.of("+", "-"),
                    Set.of("*", "//", "%"));

    private final List<Token> tokens;
    private int at;
    private int depth;
    private boolean inFunction;
    private int inLoop;

    private Parser(List<Token> tokens) {
        this.tokens = tokens;
    }

    static List<Tree.Step> parse(String text) throws ScriptError {
        Parser parser = new Parser(Lexer.tokens(text));
        List<Tree.Step> steps = new ArrayList<>();
        while (parser.peek().kind() != Kind.END) {
            parser.step(steps);
        }
        return steps;
    }

    private Token peek() {
        return tokens.get(at);
    }

    private Token next() {
        return tokens.get(at++);
    }

    private boolean takes(String sign) {
        if (peek().is(sign)) {
            at++;
            return true;
        }
        return false;
    }

    private ScriptError expected(String what) {
        return new ScriptError(peek(), "expected " + what + ", found " + peek().shown());
    }

    private Token expect(String sign) throws ScriptError {
        if (!peek().is(sign)) {
            throw expected("'" + sign + "'");
        }
        return next();
    }

    private Token name() throws ScriptError {
        if (peek().kind() != Kind.NAME || WORDS.contains(peek().text())) {
            throw expected("a name");
        }
        return next();
    }

    private void endOfLine() throws ScriptError {
        if (peek().kind() != Kind.NEWLINE) {
            throw expected("the end of the line");
        }
        next();
    }

    /**
     * Enters one level of nesting, whose bound protects the stack. Callers leave the level by
     * depth--, except on an error, which ends the parse.
     */
    private void deeper(Token at, String what) throws ScriptError {
        if (++depth > DEEPEST) {
            throw new ScriptError(at, what + " are nested more than " + DEEPEST + " levels deep");
        }
    }

    // ---- statements

    private void step(List<Tree.Step> into) throws ScriptError {
        Token first = peek();
        switch (first.kind() == Kind.NAME ? first.text() : "") {
            case "if" -> into.add(choice());
            case "for" -> {
                next();
                List<Token> names = names();
                expect("in");
                Tree.Value in = value();
                inLoop++;
                into.add(new Tree.For(first, names, in, block()));
                inLoop--;
            }
            case "def" -> into.add(function());
            case "while", "lambda", "load", "import", "class" ->
                    throw new ScriptError(first, "'" + first.text() + "' is not supported");
            default -> {
                small(into);
                endOfLine();
            }
        }
    }

    private void small(List<Tree.Step> into) throws ScriptError {
        Token first = peek();
        if (first.is("pass") || first.is("break") || first.is("continue")) {
            if (!first.is("pass") && inLoop == 0) {
                throw new ScriptError(first, "'" + first.text() + "' outside a for loop");
            }
            into.add(new Tree.Leave(next()));
        } else if (first.is("return")) {
            if (!inFunction) {
                throw new ScriptError(first, "'return' outside a function");
            }
            next();
            into.add(new Tree.Return(first, peek().kind() == Kind.NEWLINE ? null : value()));
        } else {
            Tree.Value value = value();
            if (value instanceof Tree.Name && (peek().is("=") || peek().is(","))) {
                at--;
                List<Token> names = names();
                expect("=");
                into.add(new Tree.Set(first, names, "=", value()));
            } else if (value instanceof Tree.Name
                    && peek().kind() == Kind.SIGN
                    && peek().text().length() > 1
                    && peek().text().endsWith("=")
                    && !"==!=<=>=".contains(peek().text())) {
                String sign = next().text();
                into.add(
                        new Tree.Set(
                                first,
                                List.of(first),
                                sign.substring(0, sign.length() - 1),
                                value()));
            } else {
                into.add(new Tree.Do(first, value));
            }
        }
    }

    private List<Token> names() throws ScriptError {
        List<Token> names = new ArrayList<>(List.of(name()));
        while (takes(",")) {
            names.add(name());
        }
        return names;
    }

    private Tree.Step choice() throws ScriptError {
        Token first = next();
        Tree.Value when = value();
        List<Tree.Step> then = block();
        List<Tree.Step> otherwise = List.of();
        if (peek().is("elif")) {
            otherwise = List.of(choice());
        } else if (takes("else")) {
            otherwise = block();
        }
        return new Tree.If(first, when, then, otherwise);
    }

    private Tree.Step function() throws ScriptError {
        Token first = next();
        if (inFunction) {
            throw new ScriptError(first, "nested functions are not supported");
        }
        Token called = name();
        expect("(");
        List<Token> names = new ArrayList<>(List.of(called));
        List<Tree.Value> defaults = new ArrayList<>();
        while (!peek().is(")")) {
            names.add(name());
            defaults.add(takes("=") ? value() : null);
            if (!peek().is(")")) {
                expect(",");
            }
        }
        next();
        inFunction = true;
        int loops = inLoop;
        inLoop = 0;
        List<Tree.Step> steps = block();
        inLoop = loops;
        inFunction = false;
        return new Tree.Def(first, names, defaults, steps);
    }

    private List<Tree.Step> block() throws ScriptError {
        expect(":");
        List<Tree.Step> steps = new ArrayList<>();
        if (peek().kind() != Kind.NEWLINE) {
            small(steps);
            endOfLine();
            return steps;
        }
        next();
        if (peek().kind() != Kind.INDENT) {
            throw expected("an indented block");
        }
        next();
        deeper(peek(), "blocks");
        while (peek().kind() != Kind.DEDENT) {
            step(steps);
        }
        next();
        depth--;
        return steps;
    }

    // ---- expressions

    private Tree.Value value() throws ScriptError {
        deeper(peek(), "expressions");
        Tree.Value value = binary(0);
        if (peek().is("if")) {
            Token at = next();
            Tree.Value when = binary(0);
            expect("else");
            value = new Tree.Choice(at, when, value, value());
        }
        depth--;
        return value;
    }

    private Tree.Value binary(int row) throws ScriptError {
        if (row == BINARY.size()) {
            return unary();
        }
        if (row == 2 && peek().is("not")) {
            Token sign = next();
            deeper(sign, "expressions");
            Tree.Value of = binary(row);
            depth--;
            return new Tree.Unary(sign, of);
        }
        Tree.Value left = binary(row + 1);
        while ((peek().kind() == Kind.SIGN || peek().kind() == Kind.NAME)
                && BINARY.get(row).contains(peek().text())) {
            Token sign = next();
            left = new Tree.Binary(sign, left, binary(row + 1));
            if (row == 2
                    && BINARY.get(row).contains(peek().text())
                    && peek().kind() != Kind.STRING) {
                throw new ScriptError(peek(), "chained comparisons are not supported: use 'and'");
            }
        }
        return left;
    }

    private Tree.Value unary() throws ScriptError {
        if (peek().is("-")) {
            Token sign = next();
            deeper(sign, "expressions");
            Tree.Value of = unary();
            depth--;
            return new Tree.Unary(sign, of);
        }
        Tree.Value value = primary();
        while (true) {
            if (peek().is("(")) {
                value = call(value);
            } else if (peek().is("[")) {
                Token at = next();
                value = new Tree.Index(at, value, value());
                expect("]");
            } else if (peek().is(".")) {
                next();
                Token method = name();
                if (!peek().is("(")) {
                    throw expected("'(' after the name of a method");
                }
                Tree.Call call = call(value);
                if (call.names().stream().anyMatch(n -> n != null)) {
                    throw new ScriptError(method, "methods take no keyword arguments");
                }
                value = new Tree.Method(method, value, call.values());
            } else {
                return value;
            }
        }
    }

    private Tree.Call call(Tree.Value of) throws ScriptError {
        Token at = expect("(");
        List<Token> names = new ArrayList<>();
        List<Tree.Value> values = new ArrayList<>();
        while (!peek().is(")")) {
            boolean named = peek().kind() == Kind.NAME && tokens.get(this.at + 1).is("=");
            if (!named && names.stream().anyMatch(n -> n != null)) {
                throw expected("a keyword argument after a keyword argument");
            }
            names.add(named ? name() : null);
            if (named) {
                next();
            }
            values.add(value());
            if (!peek().is(")")) {
                expect(",");
            }
        }
        next();
        return new Tree.Call(of instanceof Tree.Name name ? name.at() : at, of, names, values);
    }

    private Tree.Value primary() throws ScriptError {
        Token first = peek();
        switch (first.kind()) {
            case NUMBER -> {
                next();
                try {
                    return new Tree.Literal(first, Long.parseLong(first.text()));
                } catch (NumberFormatException large) {
                    throw new ScriptError(first, "number exceeds 64 bits");
                }
            }
            case STRING -> {
                next();
                return new Tree.Literal(first, first.text());
            }
            case NAME -> {
                switch (first.text()) {
                    case "True", "False" -> {
                        next();
                        return new Tree.Literal(first, first.text().equals("True"));
                    }
                    case "None" -> {
                        next();
                        return new Tree.Literal(first, null);
                    }
                    default -> {
                        return new Tree.Name(name());
                    }
                }
            }
            default -> {}
        }
        if (takes("(")) {
            Tree.Value value = value();
            expect(")");
            return value;
        }
        if (takes("[")) {
            return items(first);
        }
        if (takes("{")) {
            List<Tree.Value> keys = new ArrayList<>();
            List<Tree.Value> values = new ArrayList<>();
            while (!peek().is("}")) {
                keys.add(value());
                expect(":");
                values.add(value());
                if (!peek().is("}")) {
                    expect(",");
                }
            }
            next();
            return new Tree.Entries(first, keys, values);
        }
        throw expected("a value");
    }

    private Tree.Value items(Token first) throws ScriptError {
        List<Tree.Value> values = new ArrayList<>();
        while (!peek().is("]")) {
            values.add(value());
            if (values.size() == 1 && peek().is("for")) {
                next();
                List<Token> names = names();
                expect("in");
                Tree.Value in = binary(0);
                Tree.Value when = takes("if") ? binary(0) : null;
                expect("]");
                return new Tree.Comprehension(first, values.get(0), names, in, when);
            }
            if (!peek().is("]")) {
                expect(",");
            }
        }
        next();
        return new Tree.Items(first, values);
    }
}
