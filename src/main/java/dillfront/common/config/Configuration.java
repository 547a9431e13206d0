package dillfront.common.config;

import dillfront.common.message.BinaryDelta;
import java.util.Map;

/** An immutable, validated revision of the operator's configuration. */
public final class Configuration {

    /** A configuration is invalid; the message has the place and the error. */
    public static final class InvalidConfigurationException extends Exception {

        private static final long serialVersionUID = 1;

        InvalidConfigurationException(String message) {
            super(message);
        }
    }

    /** Which reads of a route a replica may serve. */
    public enum ReadConsistency {
        /** All reads go to the primary. */
        PRIMARY,
        /** Replicas serve reads within the route's bound on staleness. */
        BOUNDED_STALENESS,
        /** As bounded staleness, and each session reads its own writes. */
        READ_YOUR_WRITES
    }

    /**
     * A route: the database name that clients connect to, and how its statements are served.
     *
     * @param timeoutMillis after which a statement fails with a time-out
     * @param targetLatencyMillis desired latency of a response
     * @param priority routes with lower values get a server connection first
     * @param maxAttempts bound on the attempts of a read
     * @param maxStalenessMillis bound on the staleness of reads from replicas
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

    /**
     * A service: a primary and its replicas.
     *
     * @param connectionLimit bound on the connections to each server
     * @param synchronousReplicas replicas that must have a commit before it is acknowledged
     */
    public record Service(String name, int connectionLimit, int synchronousReplicas) {}

    /** The empty configuration, in force until the operator has sent one. */
    public static final Configuration NONE =
            new Configuration(
                    -1,
                    new byte[0],
                    Map.of(),
                    Map.of(),
                    ConfigurationParser.DEFAULT_TRANSACTION_IDLE_MS);

    private final long revision;
    private final byte[] body;
    private final long digest;
    private final Map<String, Route> routes;
    private final Map<String, Service> services;
    private final long transactionIdleMillis;

    /**
     * @param routes by database name
     */
    Configuration(
            long revision,
            byte[] body,
            Map<String, Route> routes,
            Map<String, Service> services,
            long transactionIdleMillis) {
        this.revision = revision;
        this.body = body;
        this.routes = routes;
        this.services = services;
        this.transactionIdleMillis = transactionIdleMillis;
        digest = BinaryDelta.digest(body);
    }

    /**
     * Parses and validates a configuration, JSON in UTF-8.
     *
     * @throws InvalidConfigurationException with the place and the error
     */
    public static Configuration parse(byte[] body) throws InvalidConfigurationException {
        return new ConfigurationParser(body).parse();
    }

    /** Returns the operator's revision_number; -1 for {@link #NONE}. */
    public long revision() {
        return revision;
    }

    /** Returns the JSON text as the operator sent it. */
    public byte[] body() {
        return body;
    }

    /** Returns the digest of the body, which with the revision identifies the configuration. */
    public long digest() {
        return digest;
    }

    /** Returns the route of a database; null for none. */
    public Route route(String database) {
        return routes.get(database);
    }

    /** Returns the services by name. */
    public Map<String, Service> services() {
        return services;
    }

    public int routeCount() {
        return routes.size();
    }

    /** Returns the idle timeout of open transactions between two statements. */
    public long transactionIdleMillis() {
        return transactionIdleMillis;
    }
}
