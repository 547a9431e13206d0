package dillfront.host;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
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
    public static final class Invalid extends Exception {
        private static final long serialVersionUID = 1;

        Invalid(String fault) {
            super(fault);
        }
    }

    /** Which reads a route lets a replica serve. */
    public enum Kind {
        PRIMARY,
        BOUNDED,
        OWN
    }

    /**
     * One route. Times in milliseconds.
     *
     * @param stale how old a read may be, where it need not be the newest
     */
    public record Route(
            String name,
            String host,
            Kind kind,
            long timeout,
            long aim,
            long priority,
            String service,
            long attempts,
            long stale) {}

    /** One service; synchronous: how many replicas have a commit before it is answered. */
    public record Service(String name, int connections, int synchronous) {}

    public static final Configuration NONE = new Configuration(-1, new byte[0]);

    private final long version;
    private final byte[] body;
    private final long digest;
    private final Map<String, Route> routes = new HashMap<>();
    private final Map<String, Service> services = new HashMap<>();
    private long transactionIdle = 3_000;

    private Configuration(long version, byte[] body) {
        this.version = version;
        this.body = body;
        digest = Delta.digest(body);
    }

    /**
     * @throws Invalid with the place and the fault
     */
    public static Configuration read(byte[] body) throws Invalid {
        String text;
        try {
            text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString();
        } catch (CharacterCodingException bad) {
            throw new Invalid("the body is not UTF-8");
        }
        JsonObject all;
        try {
            all = Json.parse(text).asObject();
        } catch (ParseException cut) {
            throw new Invalid(
                    "line "
                            + cut.getLocation().line
                            + ", column "
                            + cut.getLocation().column
                            + ": no whole JSON");
        } catch (UnsupportedOperationException other) {
            throw new Invalid("the body is no object");
        } catch (StackOverflowError deep) {
            throw new Invalid("the body is nested too deep");
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
                throw new Invalid(place + ".name: '" + service.name() + "' stands twice");
            }
        }
        Set<String> places = new HashSet<>();
        Set<String> names = new HashSet<>();
        at = 0;
        for (JsonValue one : array(all, "routes")) {
            String place = "routes[" + at++ + "]";
            JsonObject row = object(one, place);
            String kind = text(row, place, "route_kind");
            Kind known =
                    switch (kind) {
                        case "primary" -> Kind.PRIMARY;
                        case "bounded_staleness" -> Kind.BOUNDED;
                        case "read_your_writes" -> Kind.OWN;
                        default ->
                                throw new Invalid(place + ".route_kind: '" + kind + "' is unknown");
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
                throw new Invalid(
                        place + ".service: no service is named '" + route.service() + "'");
            }
            if (!places.add(route.host() + " " + prefix)) {
                throw new Invalid(
                        place
                                + ": a second route for host '"
                                + route.host()
                                + "' and prefix '"
                                + prefix
                                + "'");
            }
            if (!names.add(route.name())) {
                throw new Invalid(place + ".name: '" + route.name() + "' stands twice");
            }
            is.routes.put(route.host(), route);
        }
        JsonValue limits = all.get("limits");
        if (limits != null) {
            is.transactionIdle =
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

    private static Iterable<JsonValue> array(JsonObject in, String name) throws Invalid {
        JsonValue is = in.get(name);
        if (is == null || !is.isArray()) {
            throw new Invalid(name + ": no list");
        }
        return is.asArray();
    }

    private static JsonObject object(JsonValue is, String place) throws Invalid {
        if (!is.isObject()) {
            throw new Invalid(place + ": no object");
        }
        return is.asObject();
    }

    private static String text(JsonObject in, String place, String name) throws Invalid {
        JsonValue is = in.get(name);
        if (is == null || !is.isString() || is.asString().isEmpty()) {
            throw new Invalid(place + "." + name + ": no text");
        }
        return is.asString();
    }

    private static long number(
            JsonObject in, String place, String name, long least, long most, Long otherwise)
            throws Invalid {
        JsonValue is = in.get(name);
        if (is == null && otherwise != null) {
            return otherwise;
        }
        String where = place.isEmpty() ? name : place + "." + name;
        try {
            double number = is == null || !is.isNumber() ? Double.NaN : is.asDouble();
            if (!(number >= least && number <= most) || number != Math.rint(number)) {
                throw new Invalid(
                        where + ": " + is + " is no whole number from " + least + " to " + most);
            }
            return number > 1L << 52 ? Long.parseLong(is.toString()) : (long) number;
        } catch (NumberFormatException bad) {
            throw new Invalid(where + ": " + is + " is no number");
        }
    }

    public long version() {
        return version;
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

    public int size() {
        return routes.size();
    }

    /** How long a transaction may rest, in milliseconds. */
    public long transactionIdle() {
        return transactionIdle;
    }
}
