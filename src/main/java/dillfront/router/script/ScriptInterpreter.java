package dillfront.router.script;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Runs a script: whole numbers, strings, truth, None, lists, dicts, functions without recursion,
 * for over what is finite. It reads no file, clock or chance, so the same text does the same; and
 * it ends, since its steps are bounded. What it has to say it says by calls of words that the
 * program gives it.
 */
public final class ScriptInterpreter {

    private static final long MAX_STEPS = 2_000_000;
    private static final int MAX_LENGTH = 100_000;

    /** A word that the program gives to scripts. */
    public interface HostFunction {
        /**
         * @return the value of the call: null, Boolean, Long, String, List or Map
         */
        Object call(Arguments arguments) throws ScriptException;
    }

    /** What a call was given. Each is taken once; done() finds those that nobody wanted. */
    public static final class Arguments {

        private final Token token;
        private final List<Object> positional;
        private final Map<String, Object> keyword;
        private final Map<String, Token> keywordTokens;
        private int positionalTaken;

        Arguments(
                Token token,
                List<Object> positional,
                Map<String, Object> keyword,
                Map<String, Token> keywordTokens) {
            this.token = token;
            this.positional = positional;
            this.keyword = keyword;
            this.keywordTokens = keywordTokens;
        }

        /** The next by place, or the one of this name; null where it is not there. */
        public Object take(String name) throws ScriptException {
            if (positionalTaken < positional.size()) {
                if (keyword.containsKey(name)) {
                    throw new ScriptException(
                            keywordTokens.get(name), "'" + name + "' is given twice");
                }
                return positional.get(positionalTaken++);
            }
            return keyword.remove(name);
        }

        /**
         * @throws ScriptException where the value is no text
         */
        public String string(String name, String defaultValue) throws ScriptException {
            Object value = take(name);
            if (value != null && !(value instanceof String)) {
                throw error(name, "expected a string for '" + name + "', found " + describe(value));
            }
            return value == null ? defaultValue : (String) value;
        }

        /**
         * @throws ScriptException where the value is no whole number
         */
        public long number(String name, long defaultValue) throws ScriptException {
            Object value = take(name);
            if (value != null && !(value instanceof Long)) {
                throw error(name, "expected a number for '" + name + "', found " + describe(value));
            }
            return value == null ? defaultValue : (Long) value;
        }

        /**
         * @throws ScriptException where the value is no list
         */
        public List<?> list(String name) throws ScriptException {
            Object value = take(name);
            if (value != null && !(value instanceof List)) {
                throw error(name, "expected a list for '" + name + "', found " + describe(value));
            }
            return value == null ? List.of() : (List<?>) value;
        }

        /**
         * @throws ScriptException where the call has an argument that nobody read
         */
        public void requireAllTaken() throws ScriptException {
            if (positionalTaken < positional.size()) {
                throw new ScriptException(token, "too many arguments for '" + token.text() + "'");
            }
            for (String name : keyword.keySet()) {
                throw new ScriptException(
                        keywordTokens.get(name), "'" + token.text() + "' takes no '" + name + "'");
            }
        }

        /** Line of the call. */
        public int line() {
            return token.line();
        }

        /** At the argument of this name, or at the call. */
        public ScriptException error(String name, String message) {
            return new ScriptException(keywordTokens.getOrDefault(name, token), message);
        }
    }

    private record UserFunction(SyntaxTree.FunctionDefinition definition, List<Object> defaults) {}

    /** How a list of steps ended. */
    private enum Completion {
        NORMAL,
        BREAK,
        CONTINUE,
        RETURN
    }

    private final Map<String, HostFunction> hostFunctions;
    private final Map<String, Object> globals = new HashMap<>();
    private final Set<String> activeFunctions = new HashSet<>();
    private Map<String, Object> locals;
    private Object returnValue;
    private long steps;

    private ScriptInterpreter(Map<String, HostFunction> hostFunctions) {
        this.hostFunctions = hostFunctions;
    }

    /** Runs it to its end. */
    public static void run(String text, Map<String, HostFunction> hostFunctions)
            throws ScriptException {
        ScriptInterpreter script = new ScriptInterpreter(hostFunctions);
        script.execute(Parser.parse(text));
    }

    private void countStep(Token token) throws ScriptException {
        if (++steps > MAX_STEPS) {
            throw new ScriptException(
                    token, "more than " + MAX_STEPS + " steps: it does not end in time");
        }
    }

    // ---- steps

    private Completion execute(List<SyntaxTree.Statement> statements) throws ScriptException {
        for (SyntaxTree.Statement statement : statements) {
            Completion completion = one(statement);
            if (completion != Completion.NORMAL) {
                return completion;
            }
        }
        return Completion.NORMAL;
    }

    private Completion one(SyntaxTree.Statement statement) throws ScriptException {
        countStep(statement.at());
        if (statement instanceof SyntaxTree.Assignment assignment) {
            Object value = evaluate(assignment.value());
            if (!assignment.operator().equals("=")) {
                value =
                        applyOperator(
                                assignment.at(),
                                assignment.operator(),
                                resolve(assignment.at()),
                                value);
            }
            bind(assignment.names(), value, assignment.at());
        } else if (statement instanceof SyntaxTree.ExpressionStatement expression) {
            evaluate(expression.value());
        } else if (statement instanceof SyntaxTree.IfStatement ifStatement) {
            return execute(
                    isTruthy(evaluate(ifStatement.condition()))
                            ? ifStatement.whenTrue()
                            : ifStatement.whenFalse());
        } else if (statement instanceof SyntaxTree.ForStatement loop) {
            for (Object element : elements(loop.at(), evaluate(loop.iterable()))) {
                countStep(loop.at());
                bind(loop.names(), element, loop.at());
                Completion completion = execute(loop.body());
                if (completion == Completion.BREAK) {
                    break;
                } else if (completion == Completion.RETURN) {
                    return completion;
                }
            }
        } else if (statement instanceof SyntaxTree.FunctionDefinition definition) {
            List<Object> defaults = new ArrayList<>();
            for (SyntaxTree.Expression defaultValue : definition.defaults()) {
                defaults.add(defaultValue == null ? null : evaluate(defaultValue));
            }
            bind(
                    List.of(definition.names().get(0)),
                    new UserFunction(definition, defaults),
                    definition.at());
        } else if (statement instanceof SyntaxTree.ReturnStatement returned) {
            returnValue = returned.value() == null ? null : evaluate(returned.value());
            return Completion.RETURN;
        } else if (statement instanceof SyntaxTree.ControlStatement control) {
            return control.at().matches("break")
                    ? Completion.BREAK
                    : control.at().matches("continue") ? Completion.CONTINUE : Completion.NORMAL;
        }
        return Completion.NORMAL;
    }

    private void bind(List<Token> names, Object value, Token token) throws ScriptException {
        Map<String, Object> scope = locals == null ? globals : locals;
        if (names.size() == 1) {
            if (hostFunctions.containsKey(names.get(0).text())) {
                throw new ScriptException(
                        names.get(0), "'" + names.get(0).text() + "' is a word of the program");
            }
            scope.put(names.get(0).text(), value);
            return;
        }
        if (!(value instanceof List<?> list) || list.size() != names.size()) {
            throw new ScriptException(
                    token, "expected a list of " + names.size() + ", found " + describe(value));
        }
        for (int i = 0; i < names.size(); i++) {
            scope.put(names.get(i).text(), list.get(i));
        }
    }

    private List<?> elements(Token token, Object value) throws ScriptException {
        if (value instanceof List<?> list) {
            return new ArrayList<>(list);
        }
        if (value instanceof Map<?, ?> map) {
            return new ArrayList<>(map.keySet());
        }
        throw new ScriptException(
                token, "expected a list or dict to go through, found " + describe(value));
    }

    private static final Object NOT_BUILT_IN = new Object();

    // ---- values

    private Object resolve(Token name) throws ScriptException {
        if (locals != null && locals.containsKey(name.text())) {
            return locals.get(name.text());
        }
        if (globals.containsKey(name.text())) {
            return globals.get(name.text());
        }
        throw new ScriptException(name, "no name '" + name.text() + "' is known here");
    }

    private Object evaluate(SyntaxTree.Expression expression) throws ScriptException {
        countStep(expression.at());
        if (expression instanceof SyntaxTree.Literal literal) {
            return literal.value();
        } else if (expression instanceof SyntaxTree.Name name) {
            return resolve(name.at());
        } else if (expression instanceof SyntaxTree.ListLiteral listLiteral) {
            List<Object> list = new ArrayList<>();
            for (SyntaxTree.Expression element : listLiteral.values()) {
                list.add(evaluate(element));
            }
            return list;
        } else if (expression instanceof SyntaxTree.DictLiteral dictLiteral) {
            Map<Object, Object> map = new LinkedHashMap<>();
            for (int i = 0; i < dictLiteral.keys().size(); i++) {
                Object key = evaluate(dictLiteral.keys().get(i));
                if (map.containsKey(key)) {
                    throw new ScriptException(
                            dictLiteral.keys().get(i).at(),
                            "the key " + describe(key) + " is there twice");
                }
                map.put(
                        checkKey(dictLiteral.keys().get(i).at(), key),
                        evaluate(dictLiteral.values().get(i)));
            }
            return map;
        } else if (expression instanceof SyntaxTree.Call call) {
            return call(call);
        } else if (expression instanceof SyntaxTree.Index index) {
            return index(index);
        } else if (expression instanceof SyntaxTree.MethodCall method) {
            return method(method);
        } else if (expression instanceof SyntaxTree.Unary unary) {
            Object value = evaluate(unary.operand());
            if (unary.at().matches("not")) {
                return !isTruthy(value);
            }
            return -requireNumber(unary.at(), value);
        } else if (expression instanceof SyntaxTree.Binary binary) {
            Object left = evaluate(binary.left());
            if (binary.at().matches("and") || binary.at().matches("or")) {
                return isTruthy(left) == binary.at().matches("or")
                        ? left
                        : evaluate(binary.right());
            }
            return applyOperator(binary.at(), binary.at().text(), left, evaluate(binary.right()));
        } else if (expression instanceof SyntaxTree.Conditional conditional) {
            return isTruthy(evaluate(conditional.condition()))
                    ? evaluate(conditional.whenTrue())
                    : evaluate(conditional.whenFalse());
        } else if (expression instanceof SyntaxTree.Comprehension comprehension) {
            return comprehension(comprehension);
        }
        throw new IllegalStateException();
    }

    private Object comprehension(SyntaxTree.Comprehension comprehension) throws ScriptException {
        List<Object> list = new ArrayList<>();
        Map<String, Object> outer = locals;
        List<?> iterated = elements(comprehension.at(), evaluate(comprehension.iterable()));
        // Names of its own, as in Starlark.
        locals = new HashMap<>(outer == null ? Map.of() : outer);
        for (Object element : iterated) {
            countStep(comprehension.at());
            bind(comprehension.names(), element, comprehension.at());
            if (comprehension.condition() == null
                    || isTruthy(evaluate(comprehension.condition()))) {
                list.add(evaluate(comprehension.element()));
            }
        }
        locals = outer;
        return list;
    }

    private Object call(SyntaxTree.Call call) throws ScriptException {
        List<Object> positional = new ArrayList<>();
        Map<String, Object> keyword = new LinkedHashMap<>();
        Map<String, Token> keywordTokens = new HashMap<>();
        for (int i = 0; i < call.arguments().size(); i++) {
            Object value = evaluate(call.arguments().get(i));
            Token name = call.keywords().get(i);
            if (name == null) {
                positional.add(value);
            } else if (keyword.containsKey(name.text())) {
                throw new ScriptException(name, "'" + name.text() + "' is given twice");
            } else {
                keyword.put(name.text(), value);
                keywordTokens.put(name.text(), name);
            }
        }
        if (call.function() instanceof SyntaxTree.Name name
                && hostFunctions.containsKey(name.at().text())) {
            return hostFunctions
                    .get(name.at().text())
                    .call(new Arguments(name.at(), positional, keyword, keywordTokens));
        }
        if (call.function() instanceof SyntaxTree.Name name
                && !globals.containsKey(name.at().text())) {
            Object result = callBuiltIn(name.at(), positional);
            if (result != NOT_BUILT_IN) {
                return result;
            }
        }
        if (!(evaluate(call.function()) instanceof UserFunction function)) {
            throw new ScriptException(call.at(), "this is no function");
        }
        return call(call.at(), function, positional, keyword, keywordTokens);
    }

    private Object call(
            Token token,
            UserFunction function,
            List<Object> positional,
            Map<String, Object> keyword,
            Map<String, Token> keywordTokens)
            throws ScriptException {
        SyntaxTree.FunctionDefinition definition = function.definition();
        String functionName = definition.names().get(0).text();
        Map<String, Object> callScope = new HashMap<>();
        for (int i = 0; i < definition.defaults().size(); i++) {
            String name = definition.names().get(i + 1).text();
            if (i < positional.size()) {
                callScope.put(name, positional.get(i));
            } else if (keyword.containsKey(name)) {
                callScope.put(name, keyword.remove(name));
            } else if (definition.defaults().get(i) != null) {
                callScope.put(name, function.defaults().get(i));
            } else {
                throw new ScriptException(token, "'" + functionName + "' needs '" + name + "'");
            }
        }
        if (positional.size() > definition.defaults().size()) {
            throw new ScriptException(token, "too many arguments for '" + functionName + "'");
        }
        for (String name : keyword.keySet()) {
            throw new ScriptException(
                    keywordTokens.get(name), "'" + functionName + "' takes no '" + name + "'");
        }
        if (!activeFunctions.add(functionName)) {
            throw new ScriptException(
                    token, "'" + functionName + "' calls itself; functions here don't");
        }
        Map<String, Object> outer = locals;
        locals = callScope;
        returnValue = null;
        execute(definition.body());
        locals = outer;
        activeFunctions.remove(functionName);
        Object result = returnValue;
        returnValue = null;
        return result;
    }

    /** Words of the language itself; NONE where it is none. */
    private Object callBuiltIn(Token token, List<Object> arguments) throws ScriptException {
        switch (token.text()) {
            case "len" -> {
                Object argument = one(token, arguments);
                return argument instanceof List<?> list
                        ? (Object) (long) list.size()
                        : argument instanceof Map<?, ?> map
                                ? (long) map.size()
                                : (long) requireString(token, argument).length();
            }
            case "str" -> {
                Object argument = one(token, arguments);
                return argument instanceof String ? argument : describe(argument);
            }
            case "range" -> {
                long from = arguments.size() > 1 ? requireNumber(token, arguments.get(0)) : 0;
                long to =
                        arguments.isEmpty()
                                ? 0
                                : requireNumber(token, arguments.get(arguments.size() > 1 ? 1 : 0));
                if (arguments.isEmpty() || arguments.size() > 2 || to - from > MAX_LENGTH) {
                    throw new ScriptException(
                            token,
                            "expected range(to) or range(from, to) of at most " + MAX_LENGTH);
                }
                List<Object> list = new ArrayList<>();
                for (long i = from; i < to; i++) {
                    countStep(token);
                    list.add(i);
                }
                return list;
            }
            case "fail" ->
                    throw new ScriptException(token, requireString(token, one(token, arguments)));
            default -> {
                return NOT_BUILT_IN;
            }
        }
    }

    private static Object one(Token token, List<Object> arguments) throws ScriptException {
        if (arguments.size() != 1) {
            throw new ScriptException(token, "'" + token.text() + "' takes one argument");
        }
        return arguments.get(0);
    }

    private Object index(SyntaxTree.Index index) throws ScriptException {
        Object container = evaluate(index.container());
        Object key = evaluate(index.index());
        if (container instanceof Map<?, ?> map) {
            if (!map.containsKey(key)) {
                throw new ScriptException(index.at(), "no key " + describe(key));
            }
            return map.get(key);
        }
        if (container instanceof List<?> list) {
            long position = requireNumber(index.at(), key);
            position = position < 0 ? position + list.size() : position;
            if (position < 0 || position >= list.size()) {
                throw new ScriptException(
                        index.at(), "no element " + describe(key) + " in a list of " + list.size());
            }
            return list.get((int) position);
        }
        throw new ScriptException(
                index.at(), "expected a list or dict, found " + describe(container));
    }

    private Object method(SyntaxTree.MethodCall method) throws ScriptException {
        Object receiver = evaluate(method.receiver());
        List<Object> arguments = new ArrayList<>();
        for (SyntaxTree.Expression argument : method.arguments()) {
            arguments.add(evaluate(argument));
        }
        Token token = method.at();
        if (receiver instanceof String text) {
            switch (token.text()) {
                case "format" -> {
                    String result = text;
                    for (Object argument : arguments) {
                        result =
                                result.replaceFirst(
                                        "\\{\\}",
                                        java.util.regex.Matcher.quoteReplacement(
                                                argument instanceof String s
                                                        ? s
                                                        : describe(argument)));
                    }
                    return checkLength(token, result);
                }
                case "join" -> {
                    StringBuilder result = new StringBuilder();
                    for (Object argument : elements(token, one(token, arguments))) {
                        result.append(result.length() == 0 ? "" : text)
                                .append(requireString(token, argument));
                    }
                    return checkLength(token, result.toString());
                }
                default -> {}
            }
        } else if (receiver instanceof Map<?, ?> map) {
            switch (token.text()) {
                case "get" -> {
                    if (arguments.isEmpty() || arguments.size() > 2) {
                        throw new ScriptException(
                                token, "'get' takes a key and what stands for none");
                    }
                    return map.containsKey(arguments.get(0))
                            ? map.get(arguments.get(0))
                            : arguments.size() > 1 ? arguments.get(1) : null;
                }
                case "keys" -> {
                    return new ArrayList<>(map.keySet());
                }
                case "items" -> {
                    List<Object> pairs = new ArrayList<>();
                    map.forEach((k, v) -> pairs.add(java.util.Arrays.asList(k, v)));
                    return pairs;
                }
                default -> {}
            }
        }
        throw new ScriptException(token, describe(receiver) + " has no '" + token.text() + "'");
    }

    private static String checkLength(Token token, String text) throws ScriptException {
        if (text.length() > MAX_LENGTH) {
            throw new ScriptException(token, "a string longer than " + MAX_LENGTH);
        }
        return text;
    }

    private Object applyOperator(Token token, String operator, Object left, Object right)
            throws ScriptException {
        switch (operator) {
            case "==":
                return java.util.Objects.equals(left, right);
            case "!=":
                return !java.util.Objects.equals(left, right);
            case "in":
                return right instanceof Map<?, ?> map
                        ? map.containsKey(left)
                        : right instanceof String text
                                ? (Object) text.contains(requireString(token, left))
                                : elements(token, right).contains(left);
            case "+":
                if (left instanceof String a && right instanceof String b) {
                    return checkLength(token, a + b);
                }
                if (left instanceof List<?> a && right instanceof List<?> b) {
                    List<Object> joined = new ArrayList<>(a);
                    joined.addAll(b);
                    steps += joined.size();
                    if (joined.size() > MAX_LENGTH) {
                        throw new ScriptException(token, "a list longer than " + MAX_LENGTH);
                    }
                    return joined;
                }
                break;
            case "<", ">", "<=", ">=":
                if (left instanceof String a && right instanceof String b) {
                    return compare(operator, a.compareTo(b));
                }
                return compare(
                        operator,
                        Long.compare(requireNumber(token, left), requireNumber(token, right)));
            default:
                break;
        }
        long a = requireNumber(token, left);
        long b = requireNumber(token, right);
        try {
            switch (operator) {
                case "+":
                    return Math.addExact(a, b);
                case "-":
                    return Math.subtractExact(a, b);
                case "*":
                    return Math.multiplyExact(a, b);
                case "//":
                    return Math.floorDiv(a, b);
                case "%":
                    return Math.floorMod(a, b);
                default:
                    throw new ScriptException(token, "'" + operator + "' has no meaning here");
            }
        } catch (ArithmeticException e) {
            throw new ScriptException(
                    token,
                    b == 0 && !operator.equals("*")
                            ? "a division by zero"
                            : "a number beyond 64 bits");
        }
    }

    private static boolean compare(String operator, int order) {
        return switch (operator) {
            case "<" -> order < 0;
            case ">" -> order > 0;
            case "<=" -> order <= 0;
            default -> order >= 0;
        };
    }

    private static boolean isTruthy(Object value) {
        return value instanceof Boolean b
                ? b
                : value instanceof Long n
                        ? n != 0
                        : value instanceof String s
                                ? !s.isEmpty()
                                : value instanceof List<?> list
                                        ? !list.isEmpty()
                                        : value instanceof Map<?, ?> map
                                                ? !map.isEmpty()
                                                : value != null;
    }

    private static long requireNumber(Token token, Object value) throws ScriptException {
        if (value instanceof Long number) {
            return number;
        }
        throw new ScriptException(token, "expected a number, found " + describe(value));
    }

    private static String requireString(Token token, Object value) throws ScriptException {
        if (value instanceof String text) {
            return text;
        }
        throw new ScriptException(token, "expected a string, found " + describe(value));
    }

    private static Object checkKey(Token token, Object value) throws ScriptException {
        if (value instanceof List || value instanceof Map) {
            throw new ScriptException(
                    token, "expected a string or number as a key, found " + describe(value));
        }
        return value;
    }

    /** As a script would write it, shortened. */
    static String describe(Object value) {
        String text =
                value == null
                        ? "None"
                        : value instanceof String
                                ? '"' + (String) value + '"'
                                : value instanceof Boolean b
                                        ? b ? "True" : "False"
                                        : value instanceof List<?> list
                                                ? "a list of " + list.size()
                                                : value instanceof Map<?, ?> map
                                                        ? "a dict of " + map.size()
                                                        : value instanceof UserFunction
                                                                ? "a function"
                                                                : String.valueOf(value);
        return text.length() > 60 ? text.substring(0, 57) + "..." : text;
    }
}
