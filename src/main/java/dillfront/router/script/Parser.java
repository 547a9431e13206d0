package dillfront.router.script;

import dillfront.router.script.Token.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** From words to a tree, by descent; says what it expected where it can't go on. */
final class Parser {

    private static final int MAX_DEPTH = 64;
    private static final Set<String> RESERVED_WORDS =
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

    /** Weakest first; of one row from left to right. */
    private static final List<Set<String>> BINARY_OPERATORS =
            List.of(
                    Set.of("or"),
                    Set.of("and"),
                    Set.of("==", "!=", "<", ">", "<=", ">=", "in"),
                    Set.of("+", "-"),
                    Set.of("*", "//", "%"));

    private final List<Token> tokens;
    private int position;
    private int depth;
    private boolean inFunction;
    private int inLoop;

    private Parser(List<Token> tokens) {
        this.tokens = tokens;
    }

    static List<SyntaxTree.Statement> parse(String text) throws ScriptException {
        Parser parser = new Parser(Lexer.tokens(text));
        List<SyntaxTree.Statement> statements = new ArrayList<>();
        while (parser.peek().kind() != Kind.END) {
            parser.statement(statements);
        }
        return statements;
    }

    private Token peek() {
        return tokens.get(position);
    }

    private Token next() {
        return tokens.get(position++);
    }

    private boolean accept(String text) {
        if (peek().matches(text)) {
            position++;
            return true;
        }
        return false;
    }

    private ScriptException expected(String what) {
        return new ScriptException(peek(), "expected " + what + ", found " + peek().describe());
    }

    private Token expect(String text) throws ScriptException {
        if (!peek().matches(text)) {
            throw expected("'" + text + "'");
        }
        return next();
    }

    private Token name() throws ScriptException {
        if (peek().kind() != Kind.NAME || RESERVED_WORDS.contains(peek().text())) {
            throw expected("a name");
        }
        return next();
    }

    private void endOfLine() throws ScriptException {
        if (peek().kind() != Kind.NEWLINE) {
            throw expected("the end of the line");
        }
        next();
    }

    /** Guards the stack: what goes in comes out by depth--, and a fault ends the whole. */
    private void enterLevel(Token token, String what) throws ScriptException {
        if (++depth > MAX_DEPTH) {
            throw new ScriptException(token, what + " are more than " + MAX_DEPTH + " deep");
        }
    }

    // ---- steps

    private void statement(List<SyntaxTree.Statement> statements) throws ScriptException {
        Token first = peek();
        switch (first.kind() == Kind.NAME ? first.text() : "") {
            case "if" -> statements.add(ifStatement());
            case "for" -> {
                next();
                List<Token> names = names();
                expect("in");
                SyntaxTree.Expression iterable = expression();
                inLoop++;
                statements.add(new SyntaxTree.ForStatement(first, names, iterable, block()));
                inLoop--;
            }
            case "def" -> statements.add(functionDefinition());
            case "while", "lambda", "load", "import", "class" ->
                    throw new ScriptException(
                            first, "'" + first.text() + "' is not part of these scripts");
            default -> {
                simpleStatement(statements);
                endOfLine();
            }
        }
    }

    private void simpleStatement(List<SyntaxTree.Statement> statements) throws ScriptException {
        Token first = peek();
        if (first.matches("pass") || first.matches("break") || first.matches("continue")) {
            if (!first.matches("pass") && inLoop == 0) {
                throw new ScriptException(first, "'" + first.text() + "' outside of a for");
            }
            statements.add(new SyntaxTree.ControlStatement(next()));
        } else if (first.matches("return")) {
            if (!inFunction) {
                throw new ScriptException(first, "'return' outside of a function");
            }
            next();
            statements.add(
                    new SyntaxTree.ReturnStatement(
                            first, peek().kind() == Kind.NEWLINE ? null : expression()));
        } else {
            SyntaxTree.Expression value = expression();
            if (value instanceof SyntaxTree.Name && (peek().matches("=") || peek().matches(","))) {
                position--;
                List<Token> names = names();
                expect("=");
                statements.add(new SyntaxTree.Assignment(first, names, "=", expression()));
            } else if (value instanceof SyntaxTree.Name
                    && peek().kind() == Kind.OPERATOR
                    && peek().text().length() > 1
                    && peek().text().endsWith("=")
                    && !"==!=<=>=".contains(peek().text())) {
                String operator = next().text();
                statements.add(
                        new SyntaxTree.Assignment(
                                first,
                                List.of(first),
                                operator.substring(0, operator.length() - 1),
                                expression()));
            } else {
                statements.add(new SyntaxTree.ExpressionStatement(first, value));
            }
        }
    }

    private List<Token> names() throws ScriptException {
        List<Token> names = new ArrayList<>(List.of(name()));
        while (accept(",")) {
            names.add(name());
        }
        return names;
    }

    private SyntaxTree.Statement ifStatement() throws ScriptException {
        Token first = next();
        SyntaxTree.Expression condition = expression();
        List<SyntaxTree.Statement> whenTrue = block();
        List<SyntaxTree.Statement> whenFalse = List.of();
        if (peek().matches("elif")) {
            whenFalse = List.of(ifStatement());
        } else if (accept("else")) {
            whenFalse = block();
        }
        return new SyntaxTree.IfStatement(first, condition, whenTrue, whenFalse);
    }

    private SyntaxTree.Statement functionDefinition() throws ScriptException {
        Token first = next();
        if (inFunction) {
            throw new ScriptException(first, "a function within a function");
        }
        Token functionName = name();
        expect("(");
        List<Token> names = new ArrayList<>(List.of(functionName));
        List<SyntaxTree.Expression> defaults = new ArrayList<>();
        while (!peek().matches(")")) {
            names.add(name());
            defaults.add(accept("=") ? expression() : null);
            if (!peek().matches(")")) {
                expect(",");
            }
        }
        next();
        inFunction = true;
        int loops = inLoop;
        inLoop = 0;
        List<SyntaxTree.Statement> body = block();
        inLoop = loops;
        inFunction = false;
        return new SyntaxTree.FunctionDefinition(first, names, defaults, body);
    }

    private List<SyntaxTree.Statement> block() throws ScriptException {
        expect(":");
        List<SyntaxTree.Statement> statements = new ArrayList<>();
        if (peek().kind() != Kind.NEWLINE) {
            simpleStatement(statements);
            endOfLine();
            return statements;
        }
        next();
        if (peek().kind() != Kind.INDENT) {
            throw expected("an indented block");
        }
        next();
        enterLevel(peek(), "blocks");
        while (peek().kind() != Kind.DEDENT) {
            statement(statements);
        }
        next();
        depth--;
        return statements;
    }

    // ---- values

    private SyntaxTree.Expression expression() throws ScriptException {
        enterLevel(peek(), "values");
        SyntaxTree.Expression value = binary(0);
        if (peek().matches("if")) {
            Token token = next();
            SyntaxTree.Expression condition = binary(0);
            expect("else");
            value = new SyntaxTree.Conditional(token, condition, value, expression());
        }
        depth--;
        return value;
    }

    private SyntaxTree.Expression binary(int level) throws ScriptException {
        if (level == BINARY_OPERATORS.size()) {
            return unary();
        }
        if (level == 2 && peek().matches("not")) {
            Token operator = next();
            enterLevel(operator, "values");
            SyntaxTree.Expression operand = binary(level);
            depth--;
            return new SyntaxTree.Unary(operator, operand);
        }
        SyntaxTree.Expression left = binary(level + 1);
        while ((peek().kind() == Kind.OPERATOR || peek().kind() == Kind.NAME)
                && BINARY_OPERATORS.get(level).contains(peek().text())) {
            Token operator = next();
            left = new SyntaxTree.Binary(operator, left, binary(level + 1));
            if (level == 2
                    && BINARY_OPERATORS.get(level).contains(peek().text())
                    && peek().kind() != Kind.STRING) {
                throw new ScriptException(peek(), "comparisons in a row: use brackets and 'and'");
            }
        }
        return left;
    }

    private SyntaxTree.Expression unary() throws ScriptException {
        if (peek().matches("-")) {
            Token operator = next();
            enterLevel(operator, "values");
            SyntaxTree.Expression operand = unary();
            depth--;
            return new SyntaxTree.Unary(operator, operand);
        }
        SyntaxTree.Expression value = primary();
        while (true) {
            if (peek().matches("(")) {
                value = call(value);
            } else if (peek().matches("[")) {
                Token bracket = next();
                value = new SyntaxTree.Index(bracket, value, expression());
                expect("]");
            } else if (peek().matches(".")) {
                next();
                Token method = name();
                if (!peek().matches("(")) {
                    throw expected("'(' behind the name of a method");
                }
                SyntaxTree.Call call = call(value);
                if (call.keywords().stream().anyMatch(n -> n != null)) {
                    throw new ScriptException(method, "a method takes no names of arguments");
                }
                value = new SyntaxTree.MethodCall(method, value, call.arguments());
            } else {
                return value;
            }
        }
    }

    private SyntaxTree.Call call(SyntaxTree.Expression function) throws ScriptException {
        Token bracket = expect("(");
        List<Token> names = new ArrayList<>();
        List<SyntaxTree.Expression> values = new ArrayList<>();
        while (!peek().matches(")")) {
            boolean named =
                    peek().kind() == Kind.NAME && tokens.get(this.position + 1).matches("=");
            if (!named && names.stream().anyMatch(n -> n != null)) {
                throw expected("an argument with its name, as those before");
            }
            names.add(named ? name() : null);
            if (named) {
                next();
            }
            values.add(expression());
            if (!peek().matches(")")) {
                expect(",");
            }
        }
        next();
        return new SyntaxTree.Call(
                function instanceof SyntaxTree.Name name ? name.at() : bracket,
                function,
                names,
                values);
    }

    private SyntaxTree.Expression primary() throws ScriptException {
        Token first = peek();
        switch (first.kind()) {
            case NUMBER -> {
                next();
                try {
                    return new SyntaxTree.Literal(first, Long.parseLong(first.text()));
                } catch (NumberFormatException e) {
                    throw new ScriptException(first, "a number beyond 64 bits");
                }
            }
            case STRING -> {
                next();
                return new SyntaxTree.Literal(first, first.text());
            }
            case NAME -> {
                switch (first.text()) {
                    case "True", "False" -> {
                        next();
                        return new SyntaxTree.Literal(first, first.text().equals("True"));
                    }
                    case "None" -> {
                        next();
                        return new SyntaxTree.Literal(first, null);
                    }
                    default -> {
                        return new SyntaxTree.Name(name());
                    }
                }
            }
            default -> {}
        }
        if (accept("(")) {
            SyntaxTree.Expression value = expression();
            expect(")");
            return value;
        }
        if (accept("[")) {
            return listLiteral(first);
        }
        if (accept("{")) {
            List<SyntaxTree.Expression> keys = new ArrayList<>();
            List<SyntaxTree.Expression> values = new ArrayList<>();
            while (!peek().matches("}")) {
                keys.add(expression());
                expect(":");
                values.add(expression());
                if (!peek().matches("}")) {
                    expect(",");
                }
            }
            next();
            return new SyntaxTree.DictLiteral(first, keys, values);
        }
        throw expected("a value");
    }

    private SyntaxTree.Expression listLiteral(Token first) throws ScriptException {
        List<SyntaxTree.Expression> values = new ArrayList<>();
        while (!peek().matches("]")) {
            values.add(expression());
            if (values.size() == 1 && peek().matches("for")) {
                next();
                List<Token> names = names();
                expect("in");
                SyntaxTree.Expression iterable = binary(0);
                SyntaxTree.Expression condition = accept("if") ? binary(0) : null;
                expect("]");
                return new SyntaxTree.Comprehension(
                        first, values.get(0), names, iterable, condition);
            }
            if (!peek().matches("]")) {
                expect(",");
            }
        }
        next();
        return new SyntaxTree.ListLiteral(first, values);
    }
}
