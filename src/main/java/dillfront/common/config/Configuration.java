package dillfront.common.config;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import dillfront.common.message.BinaryDelta;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A whole configuration of the operator's, read and checked by hand; each fault names its place.
 */
public final class Configuration {

    /** It is not valid: where, and what is wrong there. */
    public static final class InvalidConfigurationException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidConfigurationException(String fault) {
            super(fault);
        }
    }

    /** Which reads a route lets a replica serve. */
    public enum ReadConsistency {
        PRIMARY,
        BOUNDED_STALENESS,
        READ_YOUR_WRITES
    }

    /**
     * One route. Times in milliseconds.
     *
     * @param maxStalenessMillis how old a read may be, where it need not be the newest
     */
    public record Route(
            String name,
            String database,
            ReadConsistency consistency,
            long timeoutMillis,
            long targetLatencyMillis,
            long priority,
            String service,
            long maxAttempts,
            long maxStalenessMillis) {}

    /** One service; synchronous: how many replicas have a commit before it is answered. */
    public record Service(String name, int connectionLimit, int synchronousReplicas) {}

    public static final Configuration NONE = new Configuration(-1, new byte[0]);

    private final long revision;
    private final byte[] body;
    private final long digest;
    private final Map<String, Route> routes = new HashMap<>();
    private final Map<String, Service> services = new HashMap<>();
    private long transactionIdleMillis = 3_000;

    private Configuration(long version, byte[] body) {
        this.revision = version;
        this.body = body;
        digest = BinaryDelta.digest(body);
    }

    /**
     * @throws Invalid with the place and the fault
     */
    public static Configuration parse(byte[] body) throws InvalidConfigurationException {
        String text;
        try {
            text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString();
        } catch (CharacterCodingException bad) {
            throw new InvalidConfigurationException("the body is not UTF-8");
        }
        JsonObject all;
        try {
            all = Json.parse(text).asObject();
        } catch (ParseException cut) {
            throw new InvalidConfigurationException(
                    "line "
                            + cut.getLocation().line
                            + ", column "
                            + cut.getLocation().column
                            + ": no whole JSON");
        } catch (UnsupportedOperationException other) {
            throw new InvalidConfigurationException("the body is no object");
        } catch (StackOverflowError deep) {
            throw new InvalidConfigurationException("the body is nested too deep");
        }
        Configuration is =
                new Configuration(
                        number(all, "", "revision_number", 0, Long.MAX_VALUE, null), body);
        int at = 0;
        for (JsonValue one : array(all, "services")) {
            String place = "services[" + at++ + "]";
            JsonObject row = object(one, place);
            Service service =
                    new Service(
                            text(row, place, "name"),
                            (int)
                                    number(
                                            row,
                                            place,
                                            "connection_limit",
                                            1,
                                            Integer.MAX_VALUE,
                                            (long) Integer.MAX_VALUE),
                            (int) number(row, place, "synchronous_replicas", 0, 1000, 0L));
            if (is.services.put(service.name(), service) != null) {
                throw new InvalidConfigurationException(
                        place + ".name: '" + service.name() + "' stands twice");
            }
        }
        Set<String> places = new HashSet<>();
        Set<String> names = new HashSet<>();
        at = 0;
        for (JsonValue one : array(all, "routes")) {
            String place = "routes[" + at++ + "]";
            JsonObject row = object(one, place);
            String kind = text(row, place, "route_kind");
            ReadConsistency known =
                    switch (kind) {
                        case "primary" -> ReadConsistency.PRIMARY;
                        case "bounded_staleness" -> ReadConsistency.BOUNDED_STALENESS;
                        case "read_your_writes" -> ReadConsistency.READ_YOUR_WRITES;
                        default ->
                                throw new InvalidConfigurationException(
                                        place + ".route_kind: '" + kind + "' is unknown");
                    };
            String prefix = row.get("path_prefix") == null ? "/" : text(row, place, "path_prefix");
            Route route =
                    new Route(
                            text(row, place, "name"),
                            text(row, place, "host_name"),
                            known,
                            number(row, place, "timeout_ms", 1, 86_400_000, null),
                            number(row, place, "target_latency_ms", 0, 86_400_000, 0L),
                            number(row, place, "priority", 0, 1_000_000, 0L),
                            text(row, place, "service"),
                            number(row, place, "max_attempts", 0, 1_000_000, 1L),
                            number(row, place, "max_staleness_ms", 0, 86_400_000, 0L));
            if (!is.services.containsKey(route.service())) {
                throw new InvalidConfigurationException(
                        place + ".service: no service is named '" + route.service() + "'");
            }
            if (!places.add(route.database() + " " + prefix)) {
                throw new InvalidConfigurationException(
                        place
                                + ": a second route for host '"
                                + route.database()
                                + "' and prefix '"
                                + prefix
                                + "'");
            }
            if (!names.add(route.name())) {
                throw new InvalidConfigurationException(
                        place + ".name: '" + route.name() + "' stands twice");
            }
            is.routes.put(route.database(), route);
        }
        JsonValue limits = all.get("limits");
        if (limits != null) {
            is.transactionIdleMillis =
                    number(
                            object(limits, "limits"),
                            "limits",
                            "transaction_idle_ms",
                            1,
                            86_400_000,
                            3_000L);
        }
        return is;
    }

    private static Iterable<JsonValue> array(JsonObject in, String name)
            throws InvalidConfigurationException {
        JsonValue is = in.get(name);
        if (is == null || !is.isArray()) {
            throw new InvalidConfigurationException(name + ": no list");
        }
        return is.asArray();
    }

    private static JsonObject object(JsonValue is, String place)
            throws InvalidConfigurationException {
        if (!is.isObject()) {
            throw new InvalidConfigurationException(place + ": no object");
        }
        return is.asObject();
    }

    private static String text(JsonObject in, String place, String name)
            throws InvalidConfigurationException {
        JsonValue is = in.get(name);
        if (is == null || !is.isString() || is.asString().isEmpty()) {
            throw new InvalidConfigurationException(place + "." + name + ": no text");
        }
        return is.asString();
    }

    private static long number(
            JsonObject in, String place, String name, long least, long most, Long otherwise)
            throws InvalidConfigurationException {
        JsonValue is = in.get(name);
        if (is == null && otherwise != null) {
            return otherwise;
        }
        String where = place.isEmpty() ? name : place + "." + name;
        try {
            double number = is == null || !is.isNumber() ? Double.NaN : is.asDouble();
            if (!(number >= least && number <= most) || number != Math.rint(number)) {
                throw new InvalidConfigurationException(
                        where + ": " + is + " is no whole number from " + least + " to " + most);
            }
            return number > 1L << 52 ? Long.parseLong(is.toString()) : (long) number;
        } catch (NumberFormatException bad) {
            throw new InvalidConfigurationException(where + ": " + is + " is no number");
        }
    }

    public long revision() {
        return revision;
    }

    /** As the operator sent it. */
    public byte[] body() {
        return body;
    }

    /** Of the body: with the version it says which one this is. */
    public long digest() {
        return digest;
    }

    /** Null where no route has this database. */
    public Route route(String host) {
        return routes.get(host);
    }

    public Map<String, Service> services() {
        return services;
    }

    public int routeCount() {
        return routes.size();
    }

    /** How long a transaction may rest, in milliseconds. */
    public long transactionIdleMillis() {
        return transactionIdleMillis;
    }
}
