package dillfront.controlplane.http;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import dillfront.common.database.LogPosition;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The fields of a call's JSON body. */
final class RequestFields {

    /** A body, or a field of it, is not of its form: which, and why. */
    static final class InvalidRequestException extends Exception {

        private static final long serialVersionUID = 1;

        InvalidRequestException(String message) {
            super(message);
        }
    }

    private final JsonObject fields;

    private RequestFields(JsonObject fields) {
        this.fields = fields;
    }

    static RequestFields parse(byte[] body) throws InvalidRequestException {
        try {
            return new RequestFields(
                    Json.parse(new String(body, StandardCharsets.UTF_8)).asObject());
        } catch (ParseException | UnsupportedOperationException exception) {
            throw new InvalidRequestException(String.valueOf(exception.getMessage()));
        }
    }

    /** A text that has to be there and may not be empty. */
    String string(String name) throws InvalidRequestException {
        JsonValue value = fields.get(name);
        if (value == null || !value.isString() || value.asString().isEmpty()) {
            throw new InvalidRequestException(name + ": no text");
        }
        return value.asString();
    }

    long number(String name, long defaultValue) throws InvalidRequestException {
        try {
            return fields.getLong(name, defaultValue);
        } catch (UnsupportedOperationException | NumberFormatException exception) {
            throw new InvalidRequestException(String.valueOf(exception.getMessage()));
        }
    }

    /** A whole number that is sent as a text. */
    long numberFromString(String name) throws InvalidRequestException {
        String string = string(name);
        try {
            return Long.parseLong(string);
        } catch (NumberFormatException exception) {
            throw new InvalidRequestException(String.valueOf(exception.getMessage()));
        }
    }

    /** A position in a log; null where the text is none. */
    LogPosition position(String name) throws InvalidRequestException {
        return LogPosition.parse(string(name));
    }

    /** The texts of a list; empty where there is no such field. */
    List<String> strings(String name) throws InvalidRequestException {
        List<String> strings = new ArrayList<>();
        if (fields.get(name) != null) {
            try {
                fields.get(name).asArray().forEach(element -> strings.add(element.asString()));
            } catch (UnsupportedOperationException exception) {
                throw new InvalidRequestException(String.valueOf(exception.getMessage()));
            }
        }
        return strings;
    }
}
