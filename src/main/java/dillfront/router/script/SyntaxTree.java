package dillfront.router.script;

import java.util.List;

/** A script as it was read. Each part knows the word at which it stands, for errors. */
final class SyntaxTree {

    private SyntaxTree() {}

    /** What has a value. */
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
     * @param keywords of keyword arguments, null for those by place
     */
    record Call(Token at, Expression function, List<Token> keywords, List<Expression> arguments)
            implements Expression {}

    record Index(Token at, Expression container, Expression index) implements Expression {}

    /** A method by its name, which is called at once. */
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

    /** What is done. */
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
     * @param operator = or one with an operator in front
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
     * @param defaults null where there is none
     */
    record FunctionDefinition(
            Token at, List<Token> names, List<Expression> defaults, List<Statement> body)
            implements Statement {}

    record ReturnStatement(Token at, Expression value) implements Statement {}

    /** break, continue or pass. */
    record ControlStatement(Token at) implements Statement {}
}
