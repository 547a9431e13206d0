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

/**
 * One JSON object in memory, used for infrequent messages: configuration, settings and member
 * lists.
 */
public final class JsonObject {

    private static final JsonFactory JSON = new JsonFactory();

    private final Map<String, Object> values = new HashMap<>();

    /** Parses a text that consists of exactly one object. */
    public static JsonObject parse(InputStream text) throws IOException {
        try (JsonParser json = JSON.createParser(text)) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("not an object");
            }
            JsonObject tree = read(json);
            if (json.nextToken() != null) {
                throw new IOException("more than one object");
            }
            return tree;
        }
    }

    /**
     * Reads one object; the parser is at its opening brace, and at its closing brace afterwards.
     */
    public static JsonObject read(JsonParser json) throws IOException {
        JsonObject tree = new JsonObject();
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

    /** Returns the value as parsed; null if it is absent. */
    Object value(String name) {
        return values.get(name);
    }

    public JsonObject getObject(String name) {
        return values.get(name) instanceof JsonObject tree ? tree : new JsonObject();
    }

    /** Returns the objects of a list; elements of other types are skipped. */
    public List<JsonObject> getObjects(String name) {
        List<JsonObject> trees = new ArrayList<>();
        for (Object element : getList(name)) {
            if (element instanceof JsonObject tree) {
                trees.add(tree);
            }
        }
        return trees;
    }

    public List<?> getList(String name) {
        return values.get(name) instanceof List<?> list ? list : List.of();
    }

    public String getString(String name) {
        return values.get(name) instanceof String text ? text : "";
    }

    public boolean getBoolean(String name) {
        return Boolean.TRUE.equals(values.get(name));
    }

    public double getDouble(String name, double defaultValue) {
        return values.get(name) instanceof Number number ? number.doubleValue() : defaultValue;
    }

    public long getLong(String name) {
        return values.get(name) instanceof Number number ? number.longValue() : 0;
    }

    public Duration getDuration(String name) {
        return microsToDuration(getLong(name));
    }

    public static Duration microsToDuration(long micros) {
        return Duration.ofSeconds(
                Math.floorDiv(micros, 1_000_000L), Math.floorMod(micros, 1_000_000L) * 1000);
    }
}
