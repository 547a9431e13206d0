package dillfront.common.config;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import dillfront.common.config.Configuration.InvalidConfigurationException;
import dillfront.common.config.Configuration.ReadConsistency;
import dillfront.common.config.Configuration.Route;
import dillfront.common.config.Configuration.Service;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Reads and checks one configuration; each fault names its place. */
final class ConfigurationParser {

    private static final long DAY_MS = 86_400_000;
    private static final long MAX_COUNT = 1_000_000;
    private static final long MAX_SYNCHRONOUS_REPLICAS = 1_000;
    static final long DEFAULT_TRANSACTION_IDLE_MS = 3_000;

    /** Whole numbers above this are not exact as floating point. */
    private static final long MAX_EXACT_DOUBLE = 1L << 52;

    private final byte[] body;
    private final Map<String, Service> services = new HashMap<>();
    private final Map<String, Route> routes = new HashMap<>();
    private final Set<String> routeKeys = new HashSet<>();
    private final Set<String> routeNames = new HashSet<>();

    ConfigurationParser(byte[] body) {
        this.body = body;
    }

    Configuration parse() throws InvalidConfigurationException {
        JsonObject root = parseJson();
        long revision = number(root, "", "revision_number", 0, Long.MAX_VALUE, null);
        int index = 0;
        for (JsonValue element : array(root, "services")) {
            parseService(element, "services[" + index++ + "]");
        }
        index = 0;
        for (JsonValue element : array(root, "routes")) {
            parseRoute(element, "routes[" + index++ + "]");
        }
        return new Configuration(revision, body, routes, services, transactionIdle(root));
    }

    private JsonObject parseJson() throws InvalidConfigurationException {
        String text;
        try {
            text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString();
        } catch (CharacterCodingException e) {
            throw new InvalidConfigurationException("the body is not UTF-8");
        }
        try {
            return Json.parse(text).asObject();
        } catch (ParseException e) {
            throw new InvalidConfigurationException(
                    "line "
                            + e.getLocation().line
                            + ", column "
                            + e.getLocation().column
                            + ": no whole JSON");
        } catch (UnsupportedOperationException e) {
            throw new InvalidConfigurationException("the body is no object");
        } catch (StackOverflowError e) {
            throw new InvalidConfigurationException("the body is nested too deep");
        }
    }

    private void parseService(JsonValue element, String place)
            throws InvalidConfigurationException {
        JsonObject row = object(element, place);
        long unlimited = Integer.MAX_VALUE;
        Service service =
                new Service(
                        text(row, place, "name"),
                        (int) number(row, place, "connection_limit", 1, unlimited, unlimited),
                        (int)
                                number(
                                        row,
                                        place,
                                        "synchronous_replicas",
                                        0,
                                        MAX_SYNCHRONOUS_REPLICAS,
                                        0L));
        if (services.put(service.name(), service) != null) {
            throw new InvalidConfigurationException(
                    place + ".name: '" + service.name() + "' stands twice");
        }
    }

    private void parseRoute(JsonValue element, String place) throws InvalidConfigurationException {
        JsonObject row = object(element, place);
        ReadConsistency consistency = consistency(text(row, place, "route_kind"), place);
        String prefix = row.get("path_prefix") == null ? "/" : text(row, place, "path_prefix");
        Route route =
                new Route(
                        text(row, place, "name"),
                        text(row, place, "host_name"),
                        consistency,
                        number(row, place, "timeout_ms", 1, DAY_MS, null),
                        number(row, place, "target_latency_ms", 0, DAY_MS, 0L),
                        number(row, place, "priority", 0, MAX_COUNT, 0L),
                        text(row, place, "service"),
                        number(row, place, "max_attempts", 0, MAX_COUNT, 1L),
                        number(row, place, "max_staleness_ms", 0, DAY_MS, 0L));
        if (!services.containsKey(route.service())) {
            throw new InvalidConfigurationException(
                    place + ".service: no service is named '" + route.service() + "'");
        }
        if (!routeKeys.add(route.database() + " " + prefix)) {
            throw new InvalidConfigurationException(
                    place
                            + ": a second route for host '"
                            + route.database()
                            + "' and prefix '"
                            + prefix
                            + "'");
        }
        if (!routeNames.add(route.name())) {
            throw new InvalidConfigurationException(
                    place + ".name: '" + route.name() + "' stands twice");
        }
        routes.put(route.database(), route);
    }

    private static ReadConsistency consistency(String kind, String place)
            throws InvalidConfigurationException {
        return switch (kind) {
            case "primary" -> ReadConsistency.PRIMARY;
            case "bounded_staleness" -> ReadConsistency.BOUNDED_STALENESS;
            case "read_your_writes" -> ReadConsistency.READ_YOUR_WRITES;
            default ->
                    throw new InvalidConfigurationException(
                            place + ".route_kind: '" + kind + "' is unknown");
        };
    }

    private static long transactionIdle(JsonObject root) throws InvalidConfigurationException {
        JsonValue limits = root.get("limits");
        return limits == null
                ? DEFAULT_TRANSACTION_IDLE_MS
                : number(
                        object(limits, "limits"),
                        "limits",
                        "transaction_idle_ms",
                        1,
                        DAY_MS,
                        DEFAULT_TRANSACTION_IDLE_MS);
    }

    // ---- fields

    private static Iterable<JsonValue> array(JsonObject in, String name)
            throws InvalidConfigurationException {
        JsonValue value = in.get(name);
        if (value == null || !value.isArray()) {
            throw new InvalidConfigurationException(name + ": no list");
        }
        return value.asArray();
    }

    private static JsonObject object(JsonValue value, String place)
            throws InvalidConfigurationException {
        if (!value.isObject()) {
            throw new InvalidConfigurationException(place + ": no object");
        }
        return value.asObject();
    }

    private static String text(JsonObject in, String place, String name)
            throws InvalidConfigurationException {
        JsonValue value = in.get(name);
        if (value == null || !value.isString() || value.asString().isEmpty()) {
            throw new InvalidConfigurationException(place + "." + name + ": no text");
        }
        return value.asString();
    }

    /**
     * @param defaultValue stands for a field that is not there; null where it has to be
     */
    private static long number(
            JsonObject in, String place, String name, long min, long max, Long defaultValue)
            throws InvalidConfigurationException {
        JsonValue value = in.get(name);
        if (value == null && defaultValue != null) {
            return defaultValue;
        }
        String field = place.isEmpty() ? name : place + "." + name;
        try {
            double number = value == null || !value.isNumber() ? Double.NaN : value.asDouble();
            if (!(number >= min && number <= max) || number != Math.rint(number)) {
                throw new InvalidConfigurationException(
                        field + ": " + value + " is no whole number from " + min + " to " + max);
            }
            return number > MAX_EXACT_DOUBLE ? Long.parseLong(value.toString()) : (long) number;
        } catch (NumberFormatException e) {
            throw new InvalidConfigurationException(field + ": " + value + " is no number");
        }
    }
}
