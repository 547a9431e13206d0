package dillfront.common.config;

import dillfront.common.message.BinaryDelta;
import java.util.Map;

/** One revision of the operator's configuration, valid and complete. */
public final class Configuration {

    /** A configuration is not valid: the message names the place and the fault. */
    public static final class InvalidConfigurationException extends Exception {

        private static final long serialVersionUID = 1;

        InvalidConfigurationException(String message) {
            super(message);
        }
    }

    /** Which reads of a route a replica may serve. */
    public enum ReadConsistency {
        /** None: all go to the primary. */
        PRIMARY,
        /** Reads of data that is not older than the route's bound. */
        BOUNDED_STALENESS,
        /** The same, and each session reads its own writes. */
        READ_YOUR_WRITES
    }

    /**
     * A route: the database name that clients connect to, and how its statements are served.
     *
     * @param timeoutMillis after which a statement is answered with a time-out
     * @param targetLatencyMillis within which an answer is worth most
     * @param priority lower ones get a server connection first
     * @param maxAttempts of a read that may have run
     * @param maxStalenessMillis how old a bounded read may be
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
     * A service.
     *
     * @param connectionLimit of each of its servers
     * @param synchronousReplicas how many replicas have a commit before it is answered
     */
    public record Service(String name, int connectionLimit, int synchronousReplicas) {}

    /** What is in force before the operator has sent any. */
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
     * @param routes by the name of their database
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
     * Reads and checks a configuration, as JSON in UTF-8.
     *
     * @throws InvalidConfigurationException with the place and the fault
     */
    public static Configuration parse(byte[] body) throws InvalidConfigurationException {
        return new ConfigurationParser(body).parse();
    }

    /** The operator's revision_number; -1 for {@link #NONE}. */
    public long revision() {
        return revision;
    }

    /** As the operator sent it. */
    public byte[] body() {
        return body;
    }

    /** Of the body: with the revision it identifies the configuration. */
    public long digest() {
        return digest;
    }

    /** The route of this database; null for none. */
    public Route route(String database) {
        return routes.get(database);
    }

    /** The services by their names. */
    public Map<String, Service> services() {
        return services;
    }

    public int routeCount() {
        return routes.size();
    }

    /** How long an open transaction may rest between two statements. */
    public long transactionIdleMillis() {
        return transactionIdleMillis;
    }
}
