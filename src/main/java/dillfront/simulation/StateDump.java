package dillfront.simulation;

import dillfront.common.config.Configuration;
import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * The state of objects as a text, by their fields: two that give the same text go on alike. Only
 * for small worlds.
 */
final class StateDump {

    private static final Map<Class<?>, List<Field>> FIELDS_BY_CLASS = new HashMap<>();
    private static final String PROJECT_PACKAGE = "dillfront.";

    private final StringBuilder out = new StringBuilder();

    StateDump add(Object value) {
        if (value == null) {
            out.append('-');
        } else if (value instanceof Configuration configuration) {
            out.append(configuration.revision())
                    .append('/')
                    .append(new String(configuration.body(), StandardCharsets.UTF_8));
        } else if (value instanceof byte[] bytes) {
            out.append(new String(bytes, StandardCharsets.UTF_8));
        } else if (value instanceof CompletableFuture<?> future) {
            out.append(future.isDone());
        } else if (value instanceof Map<?, ?> map) {
            Map<?, ?> sorted = map instanceof TreeMap ? map : new TreeMap<>(map);
            out.append('{');
            sorted.forEach((key, element) -> add(key).add(element));
            out.append('}');
        } else if (value instanceof Collection<?> elements) {
            out.append('[');
            elements.forEach(this::add);
            out.append(']');
        } else if (value.getClass().isArray()) {
            out.append('[');
            for (int i = 0; i < Array.getLength(value); i++) {
                add(Array.get(value, i));
            }
            out.append(']');
        } else if (value instanceof Enum<?>
                || !value.getClass().getName().startsWith(PROJECT_PACKAGE)) {
            out.append(value);
        } else if (!(value instanceof ControlPlaneModel.ControlProcess)) {
            out.append('(');
            for (Field field : fields(value.getClass())) {
                try {
                    add(field.get(value));
                } catch (IllegalAccessException e) {
                    throw new IllegalStateException(e);
                }
            }
            out.append(')');
        }
        out.append(' ');
        return this;
    }

    private static List<Field> fields(Class<?> type) {
        synchronized (FIELDS_BY_CLASS) {
            return FIELDS_BY_CLASS.computeIfAbsent(
                    type,
                    key -> {
                        List<Field> fields = new ArrayList<>();
                        for (Field field : key.getDeclaredFields()) {
                            if (!Modifier.isStatic(field.getModifiers()) && !field.isSynthetic()) {
                                field.setAccessible(true);
                                fields.add(field);
                            }
                        }
                        return fields;
                    });
        }
    }

    @Override
    public String toString() {
        return out.toString();
    }
}
