package dillfront.controlplane.http;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import dillfront.common.database.LogPosition;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads the fields of a JSON request body. */
final class RequestFields {

    /** Reports an invalid request body; the message names the field and the fault. */
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

    /** Returns a required, non-empty string. */
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

    /** Returns an integer that is sent as a string. */
    long numberFromString(String name) throws InvalidRequestException {
        String string = string(name);
        try {
            return Long.parseLong(string);
        } catch (NumberFormatException exception) {
            throw new InvalidRequestException(String.valueOf(exception.getMessage()));
        }
    }

    /** Returns a log position; null if the string is not one. */
    LogPosition position(String name) throws InvalidRequestException {
        return LogPosition.parse(string(name));
    }

    /** Returns a list of strings; empty if the field is missing. */
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
