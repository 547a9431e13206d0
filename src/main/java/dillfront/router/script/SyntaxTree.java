package dillfront.router.script;

import java.util.List;

/** The syntax tree of a script. Each node holds its token, whose place goes into errors. */
final class SyntaxTree {

    private SyntaxTree() {}

    /** An expression. */
    sealed interface Expression
            permits Literal,
                    Name,
                    ListLiteral,
                    DictLiteral,
                    Call,
                    Index,
                    MethodCall,
                    Unary,
                    Binary,
                    Conditional,
                    Comprehension {
        Token at();
    }

    record Literal(Token at, Object value) implements Expression {}

    record Name(Token at) implements Expression {}

    record ListLiteral(Token at, List<Expression> values) implements Expression {}

    record DictLiteral(Token at, List<Expression> keys, List<Expression> values)
            implements Expression {}

    /**
     * A call.
     *
     * @param function the called function
     * @param keywords names of keyword arguments; null for positional ones
     */
    record Call(Token at, Expression function, List<Token> keywords, List<Expression> arguments)
            implements Expression {}

    record Index(Token at, Expression container, Expression index) implements Expression {}

    /** A call of a method; {@code at} is its name. */
    record MethodCall(Token at, Expression receiver, List<Expression> arguments)
            implements Expression {}

    record Unary(Token at, Expression operand) implements Expression {}

    record Binary(Token at, Expression left, Expression right) implements Expression {}

    record Conditional(Token at, Expression condition, Expression whenTrue, Expression whenFalse)
            implements Expression {}

    record Comprehension(
            Token at,
            Expression element,
            List<Token> names,
            Expression iterable,
            Expression condition)
            implements Expression {}

    /** A statement. */
    sealed interface Statement
            permits Assignment,
                    ExpressionStatement,
                    IfStatement,
                    ForStatement,
                    FunctionDefinition,
                    ReturnStatement,
                    ControlStatement {
        Token at();
    }

    /**
     * An assignment.
     *
     * @param operator "=", or the operator of an augmented assignment
     */
    record Assignment(Token at, List<Token> names, String operator, Expression value)
            implements Statement {}

    record ExpressionStatement(Token at, Expression value) implements Statement {}

    record IfStatement(
            Token at, Expression condition, List<Statement> whenTrue, List<Statement> whenFalse)
            implements Statement {}

    record ForStatement(Token at, List<Token> names, Expression iterable, List<Statement> body)
            implements Statement {}

    /**
     * A function definition.
     *
     * @param names the function, then its parameters
     * @param defaults one per parameter; null for none
     */
    record FunctionDefinition(
            Token at, List<Token> names, List<Expression> defaults, List<Statement> body)
            implements Statement {}

    record ReturnStatement(Token at, Expression value) implements Statement {}

    /** A {@code break}, {@code continue} or {@code pass}. */
    record ControlStatement(Token at) implements Statement {}
}
