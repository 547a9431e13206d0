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
 * Serializes the state of objects to text, field by field. Two object graphs with the same text
 * behave the same from then on. Meant for small models only, since every field is written out.
 */
final class Dump {

    private static final Map<Class<?>, List<Field>> FIELDS = new HashMap<>();
    private static final String OURS = "dillfront.";

    private final StringBuilder out = new StringBuilder();

    Dump add(Object what) {
        if (what == null) {
            out.append('-');
        } else if (what instanceof Configuration one) {
            out.append(one.revision())
                    .append('/')
                    .append(new String(one.body(), StandardCharsets.UTF_8));
        } else if (what instanceof byte[] bytes) {
            out.append(new String(bytes, StandardCharsets.UTF_8));
        } else if (what instanceof CompletableFuture<?> future) {
            out.append(future.isDone());
        } else if (what instanceof Map<?, ?> map) {
            Map<?, ?> sorted = map instanceof TreeMap ? map : new TreeMap<>(map);
            out.append('{');
            sorted.forEach((name, is) -> add(name).add(is));
            out.append('}');
        } else if (what instanceof Collection<?> all) {
            out.append('[');
            all.forEach(this::add);
            out.append(']');
        } else if (what.getClass().isArray()) {
            out.append('[');
            for (int i = 0; i < Array.getLength(what); i++) {
                add(Array.get(what, i));
            }
            out.append(']');
        } else if (what instanceof Enum<?> || !what.getClass().getName().startsWith(OURS)) {
            out.append(what);
        } else if (!(what instanceof ControlWorld.Process)) {
            out.append('(');
            for (Field field : fields(what.getClass())) {
                try {
                    add(field.get(what));
                } catch (IllegalAccessException never) {
                    throw new IllegalStateException(never);
                }
            }
            out.append(')');
        }
        out.append(' ');
        return this;
    }

    private static List<Field> fields(Class<?> of) {
        synchronized (FIELDS) {
            return FIELDS.computeIfAbsent(
                    of,
                    c -> {
                        List<Field> all = new ArrayList<>();
                        for (Field field : c.getDeclaredFields()) {
                            if (!Modifier.isStatic(field.getModifiers()) && !field.isSynthetic()) {
                                field.setAccessible(true);
                                all.add(field);
                            }
                        }
                        return all;
                    });
        }
    }

    @Override
    public String toString() {
        return out.toString();
    }
}
