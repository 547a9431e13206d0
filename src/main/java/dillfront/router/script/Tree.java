package dillfront.router.script;

import java.util.List;

/** The syntax tree of a script. Each node holds its token, whose place goes into errors. */
final class Tree {

    private Tree() {}

    /** An expression. */
    sealed interface Value
            permits Literal,
                    Name,
                    Items,
                    Entries,
                    Call,
                    Index,
                    Method,
                    Unary,
                    Binary,
                    Choice,
                    Comprehension {
        Token at();
    }

    record Literal(Token at, Object value) implements Value {}

    record Name(Token at) implements Value {}

    record Items(Token at, List<Value> values) implements Value {}

    record Entries(Token at, List<Value> keys, List<Value> values) implements Value {}

    /**
     * A call.
     *
     * @param of the called function
     * @param names of keyword arguments; null for positional ones
     */
    record Call(Token at, Value of, List<Token> names, List<Value> values) implements Value {}

    record Index(Token at, Value of, Value index) implements Value {}

    /** A call of a method; {@code at} is its name. */
    record Method(Token at, Value of, List<Value> values) implements Value {}

    record Unary(Token at, Value of) implements Value {}

    record Binary(Token at, Value left, Value right) implements Value {}

    record Choice(Token at, Value when, Value then, Value otherwise) implements Value {}

    record Comprehension(Token at, Value each, List<Token> names, Value in, Value when)
            implements Value {}

    /** A statement. */
    sealed interface Step permits Set, Do, If, For, Def, Return, Leave {
        Token at();
    }

    /**
     * An assignment.
     *
     * @param sign "=", or the operator of an augmented assignment
     */
    record Set(Token at, List<Token> names, String sign, Value value) implements Step {}

    record Do(Token at, Value value) implements Step {}

    record If(Token at, Value when, List<Step> then, List<Step> otherwise) implements Step {}

    record For(Token at, List<Token> names, Value in, List<Step> each) implements Step {}

    /**
     * A function definition.
     *
     * @param names the function, then its parameters
     * @param defaults one per parameter; null for none
     */
    record Def(Token at, List<Token> names, List<Value> defaults, List<Step> steps)
            implements Step {}

    record Return(Token at, Value value) implements Step {}

    /** A {@code break}, {@code continue} or {@code pass}. */
    record Leave(Token at) implements Step {}
}
