package dillfront.router.script;

import java.util.List;

/** A script as it was read. Each part knows the word at which it stands, for errors. */
final class Tree {

    private Tree() {}

    /** What has a value. */
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
     * @param names of keyword arguments, null for those by place
     */
    record Call(Token at, Value of, List<Token> names, List<Value> values) implements Value {}

    record Index(Token at, Value of, Value index) implements Value {}

    /** A method by its name, which is called at once. */
    record Method(Token at, Value of, List<Value> values) implements Value {}

    record Unary(Token at, Value of) implements Value {}

    record Binary(Token at, Value left, Value right) implements Value {}

    record Choice(Token at, Value when, Value then, Value otherwise) implements Value {}

    record Comprehension(Token at, Value each, List<Token> names, Value in, Value when)
            implements Value {}

    /** What is done. */
    sealed interface Step permits Set, Do, If, For, Def, Return, Leave {
        Token at();
    }

    /**
     * @param sign = or one with an operator in front
     */
    record Set(Token at, List<Token> names, String sign, Value value) implements Step {}

    record Do(Token at, Value value) implements Step {}

    record If(Token at, Value when, List<Step> then, List<Step> otherwise) implements Step {}

    record For(Token at, List<Token> names, Value in, List<Step> each) implements Step {}

    /**
     * @param defaults null where there is none
     */
    record Def(Token at, List<Token> names, List<Value> defaults, List<Step> steps)
            implements Step {}

    record Return(Token at, Value value) implements Step {}

    /** break, continue or pass. */
    record Leave(Token at) implements Step {}
}
