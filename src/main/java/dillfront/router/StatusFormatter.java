package dillfront.router;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.Map;

/** Formats an instance's status as text, one line per section, or as JSON. */
final class StatusFormatter {

    private StatusFormatter() {}

    static String toText(Map<String, Object> sections) {
        StringBuilder out = new StringBuilder();
        sections.forEach(
                (section, rows) -> {
                    out.append(section);
                    ((Map<?, ?>) rows)
                            .forEach(
                                    (name, value) ->
                                            out.append(' ')
                                                    .append(name)
                                                    .append('=')
                                                    .append(
                                                            String.valueOf(value)
                                                                            .matches(".*[ ,:].*")
                                                                    ? "\"" + value + "\""
                                                                    : value));
                    out.append('\n');
                });
        return out.toString();
    }

    static String toJson(Map<String, Object> sections) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            writeObject(out, sections);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return text.append('\n').toString();
    }

    private static void writeObject(JsonGenerator out, Map<?, ?> rows) throws IOException {
        out.writeStartObject();
        for (Map.Entry<?, ?> row : rows.entrySet()) {
            out.writeFieldName(String.valueOf(row.getKey()));
            if (row.getValue() instanceof Map<?, ?> inner) {
                writeObject(out, inner);
            } else if (row.getValue() instanceof Boolean flag) {
                out.writeBoolean(flag);
            } else if (row.getValue() instanceof Number number) {
                out.writeNumber(String.valueOf(number));
            } else {
                out.writeString(String.valueOf(row.getValue()));
            }
        }
        out.writeEndObject();
    }
}
