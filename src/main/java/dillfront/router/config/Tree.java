package dillfront.router.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One JSON object read whole, for the rare messages: configuration, settings and member lists. */
public final class Tree {

    private static final JsonFactory JSON = new JsonFactory();

    private final Map<String, Object> values = new HashMap<>();

    /** A text that holds one object and nothing else. */
    public static Tree parse(InputStream text) throws IOException {
        try (JsonParser json = JSON.createParser(text)) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("not an object");
            }
            Tree tree = read(json);
            if (json.nextToken() != null) {
                throw new IOException("more than one object");
            }
            return tree;
        }
    }

    /** The parser stands at the object's opening brace, and is left at its closing one. */
    public static Tree read(JsonParser json) throws IOException {
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

    /** As it was written; null where it was not. */
    Object value(String name) {
        return values.get(name);
    }

    public Tree tree(String name) {
        return values.get(name) instanceof Tree tree ? tree : new Tree();
    }

    /** The objects of a list that has to be there. */
    public List<Tree> trees(String name) {
        List<Tree> trees = new ArrayList<>();
        for (Object one : list(name)) {
            if (one instanceof Tree tree) {
                trees.add(tree);
            }
        }
        return trees;
    }

    public List<?> list(String name) {
        return values.get(name) instanceof List<?> list ? list : List.of();
    }

    public String text(String name) {
        return values.get(name) instanceof String text ? text : "";
    }

    public boolean flag(String name) {
        return Boolean.TRUE.equals(values.get(name));
    }

    public double number(String name, double otherwise) {
        return values.get(name) instanceof Number number ? number.doubleValue() : otherwise;
    }

    public long whole(String name) {
        return values.get(name) instanceof Number number ? number.longValue() : 0;
    }

    public Duration span(String name) {
        return micros(whole(name));
    }

    public static Duration micros(long us) {
        return Duration.ofSeconds(
                Math.floorDiv(us, 1_000_000L), Math.floorMod(us, 1_000_000L) * 1000);
    }
}
