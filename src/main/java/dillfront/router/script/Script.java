package dillfront.router.script;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Interprets a script with whole numbers, strings, booleans, None, lists, dicts, functions without
 * recursion and for loops over finite values. A script has no access to files, clocks or random
 * numbers, so the same text has the same result; a bound on its steps ends each run. Its effects
 * are calls of the functions that the host program provides.
 */
public final class Script {

    private static final long STEPS = 2_000_000;
    private static final int LARGEST = 100_000;

    /** A function that the host program provides to scripts. */
    public interface Word {
        /**
         * @return the value of the call: null, Boolean, Long, String, List or Map
         */
        Object call(Arguments arguments) throws ScriptError;
    }

    /** The arguments of a call. Each is taken once; {@link #done} rejects those that are left. */
    public static final class Arguments {

        private final Token at;
        private final List<Object> placed;
        private final Map<String, Object> named;
        private final Map<String, Token> where;
        private int taken;

        Arguments(
                Token at,
                List<Object> placed,
                Map<String, Object> named,
                Map<String, Token> where) {
            this.at = at;
            this.placed = placed;
            this.named = named;
            this.where = where;
        }

        /**
         * Takes the next positional argument, or the keyword argument of this name; null for none.
         */
        public Object take(String name) throws ScriptError {
            if (taken < placed.size()) {
                if (named.containsKey(name)) {
                    throw new ScriptError(where.get(name), "'" + name + "' is given twice");
                }
                return placed.get(taken++);
            }
            return named.remove(name);
        }

        /**
         * @throws ScriptError if the value is not a string
         */
        public String text(String name, String otherwise) throws ScriptError {
            Object value = take(name);
            if (value != null && !(value instanceof String)) {
                throw error(name, "expected a string for '" + name + "', found " + shown(value));
            }
            return value == null ? otherwise : (String) value;
        }

        /**
         * @throws ScriptError if the value is not a number
         */
        public long number(String name, long otherwise) throws ScriptError {
            Object value = take(name);
            if (value != null && !(value instanceof Long)) {
                throw error(name, "expected a number for '" + name + "', found " + shown(value));
            }
            return value == null ? otherwise : (Long) value;
        }

        /**
         * @throws ScriptError if the value is not a list
         */
        public List<?> list(String name) throws ScriptError {
            Object value = take(name);
            if (value != null && !(value instanceof List)) {
                throw error(name, "expected a list for '" + name + "', found " + shown(value));
            }
            return value == null ? List.of() : (List<?>) value;
        }

        /**
         * @throws ScriptError if the call has an argument that was not taken
         */
        public void done() throws ScriptError {
            if (taken < placed.size()) {
                throw new ScriptError(at, "too many arguments for '" + at.text() + "'");
            }
            for (String name : named.keySet()) {
                throw new ScriptError(
                        where.get(name), "'" + at.text() + "' has no argument '" + name + "'");
            }
        }

        /** Returns the line of the call. */
        public int line() {
            return at.line();
        }

        /** Creates an error at the argument of this name, or at the call if it has none. */
        public ScriptError error(String name, String fault) {
            return new ScriptError(where.getOrDefault(name, at), fault);
        }
    }

    private record Function(Tree.Def def, List<Object> defaults) {}

    /** How a block of statements ended. */
    private enum End {
        THROUGH,
        BREAK,
        CONTINUE,
        RETURN
    }

    private final Map<String, Word> words;
    private final Map<String, Object> globals = new HashMap<>();
    private final Set<String> running = new HashSet<>();
    private Map<String, Object> locals;
    private Object returned;
    private long steps;

    private Script(Map<String, Word> words) {
        this.words = words;
    }

    /** Parses and runs a script. */
    public static void run(String text, Map<String, Word> words) throws ScriptError {
        Script script = new Script(words);
        script.all(Parser.parse(text));
    }

    private void step(Token at) throws ScriptError {
        if (++steps > STEPS) {
            throw new ScriptError(at, "more than " + STEPS + " steps: script does not end in time");
        }
    }

    // ---- statements

    private End all(List<Tree.Step> of) throws ScriptError {
        for (Tree.Step one : of) {
            End end = one(one);
            if (end != End.THROUGH) {
                return end;
            }
        }
        return End.THROUGH;
    }

    private End one(Tree.Step step) throws ScriptError {
        step(step.at());
        if (step instanceof Tree.Set set) {
            Object value = value(set.value());
            if (!set.sign().equals("=")) {
                value = binary(set.at(), set.sign(), lookUp(set.at()), value);
            }
            bind(set.names(), value, set.at());
        } else if (step instanceof Tree.Do what) {
            value(what.value());
        } else if (step instanceof Tree.If choice) {
            return all(truth(value(choice.when())) ? choice.then() : choice.otherwise());
        } else if (step instanceof Tree.For loop) {
            for (Object each : items(loop.at(), value(loop.in()))) {
                step(loop.at());
                bind(loop.names(), each, loop.at());
                End end = all(loop.each());
                if (end == End.BREAK) {
                    break;
                } else if (end == End.RETURN) {
                    return end;
                }
            }
        } else if (step instanceof Tree.Def def) {
            List<Object> defaults = new ArrayList<>();
            for (Tree.Value one : def.defaults()) {
                defaults.add(one == null ? null : value(one));
            }
            bind(List.of(def.names().get(0)), new Function(def, defaults), def.at());
        } else if (step instanceof Tree.Return back) {
            returned = back.value() == null ? null : value(back.value());
            return End.RETURN;
        } else if (step instanceof Tree.Leave leave) {
            return leave.at().is("break")
                    ? End.BREAK
                    : leave.at().is("continue") ? End.CONTINUE : End.THROUGH;
        }
        return End.THROUGH;
    }

    private void bind(List<Token> names, Object value, Token at) throws ScriptError {
        Map<String, Object> into = locals == null ? globals : locals;
        if (names.size() == 1) {
            if (words.containsKey(names.get(0).text())) {
                throw new ScriptError(
                        names.get(0),
                        "'"
                                + names.get(0).text()
                                + "' is a built-in function and cannot be assigned");
            }
            into.put(names.get(0).text(), value);
            return;
        }
        if (!(value instanceof List<?> list) || list.size() != names.size()) {
            throw new ScriptError(
                    at, "expected a list of " + names.size() + " values, found " + shown(value));
        }
        for (int i = 0; i < names.size(); i++) {
            into.put(names.get(i).text(), list.get(i));
        }
    }

    private List<?> items(Token at, Object value) throws ScriptError {
        if (value instanceof List<?> list) {
            return new ArrayList<>(list);
        }
        if (value instanceof Map<?, ?> map) {
            return new ArrayList<>(map.keySet());
        }
        throw new ScriptError(at, "expected a list or dict to iterate over, found " + shown(value));
    }

    private static final Object NONE = new Object();

    // ---- expressions

    private Object lookUp(Token name) throws ScriptError {
        if (locals != null && locals.containsKey(name.text())) {
            return locals.get(name.text());
        }
        if (globals.containsKey(name.text())) {
            return globals.get(name.text());
        }
        throw new ScriptError(name, "name '" + name.text() + "' is not defined");
    }

    private Object value(Tree.Value of) throws ScriptError {
        step(of.at());
        if (of instanceof Tree.Literal literal) {
            return literal.value();
        } else if (of instanceof Tree.Name name) {
            return lookUp(name.at());
        } else if (of instanceof Tree.Items items) {
            List<Object> list = new ArrayList<>();
            for (Tree.Value one : items.values()) {
                list.add(value(one));
            }
            return list;
        } else if (of instanceof Tree.Entries entries) {
            Map<Object, Object> map = new LinkedHashMap<>();
            for (int i = 0; i < entries.keys().size(); i++) {
                Object key = value(entries.keys().get(i));
                if (map.containsKey(key)) {
                    throw new ScriptError(
                            entries.keys().get(i).at(), "key " + shown(key) + " is defined twice");
                }
                map.put(key(entries.keys().get(i).at(), key), value(entries.values().get(i)));
            }
            return map;
        } else if (of instanceof Tree.Call call) {
            return call(call);
        } else if (of instanceof Tree.Index index) {
            return index(index);
        } else if (of instanceof Tree.Method method) {
            return method(method);
        } else if (of instanceof Tree.Unary unary) {
            Object value = value(unary.of());
            if (unary.at().is("not")) {
                return !truth(value);
            }
            return -number(unary.at(), value);
        } else if (of instanceof Tree.Binary binary) {
            Object left = value(binary.left());
            if (binary.at().is("and") || binary.at().is("or")) {
                return truth(left) == binary.at().is("or") ? left : value(binary.right());
            }
            return binary(binary.at(), binary.at().text(), left, value(binary.right()));
        } else if (of instanceof Tree.Choice choice) {
            return truth(value(choice.when())) ? value(choice.then()) : value(choice.otherwise());
        } else if (of instanceof Tree.Comprehension each) {
            return comprehension(each);
        }
        throw new IllegalStateException();
    }

    private Object comprehension(Tree.Comprehension each) throws ScriptError {
        List<Object> list = new ArrayList<>();
        Map<String, Object> outer = locals;
        List<?> in = items(each.at(), value(each.in()));
        // A comprehension has its own scope, as in Starlark.
        locals = new HashMap<>(outer == null ? Map.of() : outer);
        for (Object one : in) {
            step(each.at());
            bind(each.names(), one, each.at());
            if (each.when() == null || truth(value(each.when()))) {
                list.add(value(each.each()));
            }
        }
        locals = outer;
        return list;
    }

    private Object call(Tree.Call call) throws ScriptError {
        List<Object> placed = new ArrayList<>();
        Map<String, Object> named = new LinkedHashMap<>();
        Map<String, Token> where = new HashMap<>();
        for (int i = 0; i < call.values().size(); i++) {
            Object value = value(call.values().get(i));
            Token name = call.names().get(i);
            if (name == null) {
                placed.add(value);
            } else if (named.containsKey(name.text())) {
                throw new ScriptError(name, "'" + name.text() + "' is given twice");
            } else {
                named.put(name.text(), value);
                where.put(name.text(), name);
            }
        }
        if (call.of() instanceof Tree.Name name && words.containsKey(name.at().text())) {
            return words.get(name.at().text()).call(new Arguments(name.at(), placed, named, where));
        }
        if (call.of() instanceof Tree.Name name && !globals.containsKey(name.at().text())) {
            Object built = built(name.at(), placed);
            if (built != NONE) {
                return built;
            }
        }
        if (!(value(call.of()) instanceof Function function)) {
            throw new ScriptError(call.at(), "called value is not a function");
        }
        return call(call.at(), function, placed, named, where);
    }

    private Object call(
            Token at,
            Function function,
            List<Object> placed,
            Map<String, Object> named,
            Map<String, Token> where)
            throws ScriptError {
        Tree.Def def = function.def();
        String called = def.names().get(0).text();
        Map<String, Object> own = new HashMap<>();
        for (int i = 0; i < def.defaults().size(); i++) {
            String name = def.names().get(i + 1).text();
            if (i < placed.size()) {
                own.put(name, placed.get(i));
            } else if (named.containsKey(name)) {
                own.put(name, named.remove(name));
            } else if (def.defaults().get(i) != null) {
                own.put(name, function.defaults().get(i));
            } else {
                throw new ScriptError(at, "'" + called + "' needs '" + name + "'");
            }
        }
        if (placed.size() > def.defaults().size()) {
            throw new ScriptError(at, "too many arguments for '" + called + "'");
        }
        for (String name : named.keySet()) {
            throw new ScriptError(
                    where.get(name), "'" + called + "' has no argument '" + name + "'");
        }
        if (!running.add(called)) {
            throw new ScriptError(at, "'" + called + "' calls itself: recursion is not supported");
        }
        Map<String, Object> outer = locals;
        locals = own;
        returned = null;
        all(def.steps());
        locals = outer;
        running.remove(called);
        Object result = returned;
        returned = null;
        return result;
    }

    /** Calls a built-in function of the language; returns {@link #NONE} if there is none. */
    private Object built(Token at, List<Object> given) throws ScriptError {
        switch (at.text()) {
            case "len" -> {
                Object of = one(at, given);
                return of instanceof List<?> list
                        ? (Object) (long) list.size()
                        : of instanceof Map<?, ?> map
                                ? (long) map.size()
                                : (long) text(at, of).length();
            }
            case "str" -> {
                Object of = one(at, given);
                return of instanceof String ? of : shown(of);
            }
            case "range" -> {
                long from = given.size() > 1 ? number(at, given.get(0)) : 0;
                long to = given.isEmpty() ? 0 : number(at, given.get(given.size() > 1 ? 1 : 0));
                if (given.isEmpty() || given.size() > 2 || to - from > LARGEST) {
                    throw new ScriptError(
                            at, "expected range(to) or range(from, to) of at most " + LARGEST);
                }
                List<Object> list = new ArrayList<>();
                for (long i = from; i < to; i++) {
                    step(at);
                    list.add(i);
                }
                return list;
            }
            case "fail" -> throw new ScriptError(at, text(at, one(at, given)));
            default -> {
                return NONE;
            }
        }
    }

    private static Object one(Token at, List<Object> given) throws ScriptError {
        if (given.size() != 1) {
            throw new ScriptError(at, "'" + at.text() + "' takes one argument");
        }
        return given.get(0);
    }

    private Object index(Tree.Index index) throws ScriptError {
        Object of = value(index.of());
        Object key = value(index.index());
        if (of instanceof Map<?, ?> map) {
            if (!map.containsKey(key)) {
                throw new ScriptError(index.at(), "dict has no key " + shown(key));
            }
            return map.get(key);
        }
        if (of instanceof List<?> list) {
            long at = number(index.at(), key);
            at = at < 0 ? at + list.size() : at;
            if (at < 0 || at >= list.size()) {
                throw new ScriptError(
                        index.at(),
                        "index " + shown(key) + " is out of range for a list of " + list.size());
            }
            return list.get((int) at);
        }
        throw new ScriptError(index.at(), "expected a list or dict, found " + shown(of));
    }

    private Object method(Tree.Method method) throws ScriptError {
        Object of = value(method.of());
        List<Object> given = new ArrayList<>();
        for (Tree.Value one : method.values()) {
            given.add(value(one));
        }
        Token at = method.at();
        if (of instanceof String text) {
            switch (at.text()) {
                case "format" -> {
                    String result = text;
                    for (Object one : given) {
                        result =
                                result.replaceFirst(
                                        "\\{\\}",
                                        java.util.regex.Matcher.quoteReplacement(
                                                one instanceof String s ? s : shown(one)));
                    }
                    return bounded(at, result);
                }
                case "join" -> {
                    StringBuilder result = new StringBuilder();
                    for (Object one : items(at, one(at, given))) {
                        result.append(result.length() == 0 ? "" : text).append(text(at, one));
                    }
                    return bounded(at, result.toString());
                }
                default -> {}
            }
        } else if (of instanceof Map<?, ?> map) {
            switch (at.text()) {
                case "get" -> {
                    if (given.isEmpty() || given.size() > 2) {
                        throw new ScriptError(at, "'get' takes a key and an optional default");
                    }
                    return map.containsKey(given.get(0))
                            ? map.get(given.get(0))
                            : given.size() > 1 ? given.get(1) : null;
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
        throw new ScriptError(at, shown(of) + " has no method '" + at.text() + "'");
    }

    private static String bounded(Token at, String text) throws ScriptError {
        if (text.length() > LARGEST) {
            throw new ScriptError(at, "string is longer than " + LARGEST);
        }
        return text;
    }

    private Object binary(Token at, String sign, Object left, Object right) throws ScriptError {
        switch (sign) {
            case "==":
                return java.util.Objects.equals(left, right);
            case "!=":
                return !java.util.Objects.equals(left, right);
            case "in":
                return right instanceof Map<?, ?> map
                        ? map.containsKey(left)
                        : right instanceof String text
                                ? (Object) text.contains(text(at, left))
                                : items(at, right).contains(left);
            case "+":
                if (left instanceof String a && right instanceof String b) {
                    return bounded(at, a + b);
                }
                if (left instanceof List<?> a && right instanceof List<?> b) {
                    List<Object> both = new ArrayList<>(a);
                    both.addAll(b);
                    steps += both.size();
                    if (both.size() > LARGEST) {
                        throw new ScriptError(at, "list is longer than " + LARGEST);
                    }
                    return both;
                }
                break;
            case "<", ">", "<=", ">=":
                if (left instanceof String a && right instanceof String b) {
                    return compare(sign, a.compareTo(b));
                }
                return compare(sign, Long.compare(number(at, left), number(at, right)));
            default:
                break;
        }
        long a = number(at, left);
        long b = number(at, right);
        try {
            switch (sign) {
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
                    throw new ScriptError(at, "'" + sign + "' is not supported here");
            }
        } catch (ArithmeticException bad) {
            throw new ScriptError(
                    at,
                    b == 0 && !sign.equals("*") ? "division by zero" : "number exceeds 64 bits");
        }
    }

    private static boolean compare(String sign, int order) {
        return switch (sign) {
            case "<" -> order < 0;
            case ">" -> order > 0;
            case "<=" -> order <= 0;
            default -> order >= 0;
        };
    }

    private static boolean truth(Object value) {
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

    private static long number(Token at, Object value) throws ScriptError {
        if (value instanceof Long number) {
            return number;
        }
        throw new ScriptError(at, "expected a number, found " + shown(value));
    }

    private static String text(Token at, Object value) throws ScriptError {
        if (value instanceof String text) {
            return text;
        }
        throw new ScriptError(at, "expected a string, found " + shown(value));
    }

    private static Object key(Token at, Object value) throws ScriptError {
        if (value instanceof List || value instanceof Map) {
            throw new ScriptError(
                    at, "expected a string or number as a key, found " + shown(value));
        }
        return value;
    }

    /** Returns a value in the syntax of scripts, shortened to 60 characters. */
    static String shown(Object value) {
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
                                                        : value instanceof Function
                                                                ? "a function"
                                                                : String.valueOf(value);
        return text.length() > 60 ? text.substring(0, 57) + "..." : text;
    }
}
