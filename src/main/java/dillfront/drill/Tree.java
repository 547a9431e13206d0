package dillfront.drill;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One JSON object read whole, for the rare messages: settings and member lists. */
final class Tree {

    private final Map<String, Object> values = new HashMap<>();

    /** The parser stands at the object's opening brace, and is left at its closing one. */
    static Tree read(JsonParser json) throws IOException {
        Tree tree = new Tree();
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String name = json.currentName();
            json.nextToken();
            tree.values.put(name, value(json));
        }
        return tree;
    }

    private static Object value(JsonParser json) throws IOException {
        return switch (json.currentToken()) {
            case START_OBJECT -> read(json);
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (json.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(json));
                }
                yield list;
            }
            case VALUE_NUMBER_INT -> json.getLongValue();
            case VALUE_NUMBER_FLOAT -> json.getDoubleValue();
            case VALUE_TRUE, VALUE_FALSE -> json.getBooleanValue();
            case VALUE_NULL -> null;
            default -> json.getText();
        };
    }

    Tree tree(String name) {
        return values.get(name) instanceof Tree tree ? tree : new Tree();
    }

    List<Tree> trees(String name) {
        return list(name).stream().filter(Tree.class::isInstance).map(Tree.class::cast).toList();
    }

    List<?> list(String name) {
        return values.get(name) instanceof List<?> list ? list : List.of();
    }

    String text(String name) {
        return values.get(name) instanceof String text ? text : "";
    }

    boolean flag(String name) {
        return Boolean.TRUE.equals(values.get(name));
    }

    double number(String name, double otherwise) {
        return values.get(name) instanceof Number number ? number.doubleValue() : otherwise;
    }

    long whole(String name) {
        return values.get(name) instanceof Number number ? number.longValue() : 0;
    }

    Duration span(String name) {
        return Drill.micros(whole(name));
    }
}
