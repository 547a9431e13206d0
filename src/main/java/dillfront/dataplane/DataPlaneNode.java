package dillfront.dataplane;

import dillfront.common.config.Configuration;
import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The data plane of one machine: its client sessions, its server connections and the state received
 * from the control plane. All methods must be called on the environment's thread.
 */
public final class DataPlaneNode {

    /** The part of a server's connection limit that is left to the control plane's queries. */
    private static final int RESERVED_CONNECTIONS = 8;

    private static final int MIN_CONNECTIONS = 2;
    private static final long POLL_INTERVAL_MS = 100;
    private static final int BYTES_TO_KIB_SHIFT = 10;

    /** The maximum staleness of reads for which primary positions are kept. */
    private static final long MAX_READ_STALENESS_MS = 3_000;

    /**
     * Delay from SIGTERM to the closing of idle sessions: by then the platform has most likely
     * noticed that the process is not ready.
     */
    private static final long CLOSE_IDLE_DELAY_MS = 2_300;

    /**
     * Delay from SIGTERM before the process may exit: by then the platform has certainly noticed
     * that the process is not ready. Clients that it routes here before are served.
     */
    private static final long MIN_SHUTDOWN_MS = 3_200;

    /** Counts of events since the start. */
    public static final class Counters {
        long sessions;
        long statements;
        long completed;
        long rejected;
        long uncertain;
        long connectionsOpened;
        long laggingReplies;
        long primaryChecks;

        /** Commits whose success arrived while the primary was not certain. */
        long unconfirmedCommits;

        /** The number of statements that completed. */
        public long completed() {
            return completed;
        }
    }

    final Environment environment;
    NodeSettings settings;
    private final MemoryBudget memory;
    final ControlPlaneClient controlPlane;
    final Counters counters = new Counters();
    private final TreeMap<String, DatabaseService> services = new TreeMap<>();
    private final List<ClientSession> sessions = new ArrayList<>();
    private Configuration configuration = Configuration.NONE;

    // Shutdown of the process.
    private boolean shuttingDown;
    private boolean closingIdleSessions;
    private boolean closingAllSessions;
    private boolean exitAllowed;
    private Runnable onShutdownComplete = () -> {};

    public DataPlaneNode(Environment environment, NodeSettings settings) {
        this(environment, settings, MemoryBudget.ofHeap());
    }

    DataPlaneNode(Environment environment, NodeSettings settings, MemoryBudget memory) {
        this.environment = environment;
        this.settings = settings;
        this.memory = memory;
        controlPlane = new ControlPlaneClient(this);
    }

    /** Connects to a control process and starts the periodic checks. */
    public void start() {
        controlPlane.start();
        poll();
    }

    /** Applies changed settings; at run time, only the control process addresses take effect. */
    public void updateSettings(NodeSettings newSettings) {
        settings = newSettings;
        controlPlane.onSettingsChanged();
    }

    public NodeSettings settings() {
        return settings;
    }

    /** The budget of the heap that clients occupy. */
    MemoryBudget memory() {
        return memory;
    }

    public Counters counters() {
        return counters;
    }

    private void poll() {
        environment.schedule(POLL_INTERVAL_MS, this::poll);
        for (DatabaseService service : services.values()) {
            for (ServerPool server : List.copyOf(service.servers.values())) {
                server.reconnectIfDue();
                server.closeIdleIfUnusable();
                server.closeOverdue();
            }
            service.notifyWaiters();
            service.expectsPrimarySoon();
            if (service.checkReachabilityChange()) {
                controlPlane.requestUpdate();
            }
        }
    }

    // ---- configuration and services

    /** The revision of the configuration in force; -1 if there is none. */
    public long configurationRevision() {
        return configuration.revision();
    }

    /** The configuration in force. */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Applies a configuration with a higher revision; it takes effect from the next transaction of
     * each session on. An older revision is ignored.
     */
    void onConfiguration(Configuration newConfiguration) {
        if (newConfiguration.revision() <= configuration.revision()) {
            return;
        }
        configuration = newConfiguration;
        for (Configuration.Service service : newConfiguration.services().values()) {
            DatabaseService configured = service(service.name());
            configured.connectionLimit = service.connectionLimit();
            configured.replicatesSynchronously = service.synchronousReplicas() != 0;
        }
    }

    /** Returns the service of this name, and creates it if it is new. */
    DatabaseService service(String name) {
        return services.computeIfAbsent(name, this::createService);
    }

    private DatabaseService createService(String name) {
        DatabaseService service = new DatabaseService(this, name);
        service.primaryPositions.setMaxStaleness(MAX_READ_STALENESS_MS);
        return service;
    }

    Iterable<DatabaseService> services() {
        return services.values();
    }

    /**
     * Returns this data plane's share of a server's connection limit. The share leaves room for one
     * more data plane.
     */
    int maxConnectionsPerServer(DatabaseService service) {
        int available = service.connectionLimit - RESERVED_CONNECTIONS;
        return Math.max(MIN_CONNECTIONS, available / (controlPlane.dataPlanes() + 1));
    }

    /**
     * Returns whether clients can be served: there is a configuration, and the primary of some
     * service is known or is being moved. During a move, no other data plane knows more, and
     * replicas still serve reads. Without contact to the control plane, commits of a service with
     * synchronous replicas cannot be acknowledged, and another data plane may be in contact.
     */
    public boolean isReady() {
        if (shuttingDown || configuration == Configuration.NONE) {
            return false;
        }
        for (DatabaseService service : services.values()) {
            boolean mayCommit = controlPlane.isInContact() || !service.replicatesSynchronously;
            if (mayCommit && (service.primary() != null || service.moving)) {
                return true;
            }
        }
        return false;
    }

    // ---- sessions

    /** Creates the session of a new client connection. */
    public Environment.ConnectionListener accept() {
        ClientSession session = new ClientSession(this);
        sessions.add(session);
        counters.sessions++;
        if (closingIdleSessions) {
            session.onAcceptedDuringShutdown(closingAllSessions);
        }
        return session;
    }

    void onSessionClosed(ClientSession session) {
        sessions.remove(session);
        completeShutdownIfIdle();
    }

    // ---- shutdown

    private void completeShutdownIfIdle() {
        if (exitAllowed && sessions.isEmpty()) {
            onShutdownComplete.run();
        }
    }

    /**
     * Shuts down in steps. The node reports that it is not ready at once; idle sessions are closed
     * once the platform has noticed that; open transactions may run until half of the grace period.
     *
     * @param onComplete runs once the process may exit
     */
    public void shutDown(Runnable onComplete) {
        if (shuttingDown) {
            return;
        }
        shuttingDown = true;
        onShutdownComplete = onComplete;
        long halfGracePeriodMillis = settings.gracePeriodMillis() / 2;
        environment.schedule(
                Math.min(CLOSE_IDLE_DELAY_MS, halfGracePeriodMillis * 3 / 4),
                this::closeIdleSessions);
        environment.schedule(Math.min(MIN_SHUTDOWN_MS, halfGracePeriodMillis), this::allowExit);
        environment.schedule(halfGracePeriodMillis, this::closeAllSessions);
        environment.schedule(settings.gracePeriodMillis() * 5 / 6, onShutdownComplete);
    }

    private void closeIdleSessions() {
        closingIdleSessions = true;
        List.copyOf(sessions).forEach(ClientSession::closeWhenIdle);
    }

    private void allowExit() {
        exitAllowed = true;
        completeShutdownIfIdle();
    }

    private void closeAllSessions() {
        closingAllSessions = true;
        List.copyOf(sessions).forEach(ClientSession::closeAfterStatement);
    }

    /** Returns one line of status for operators and logs. */
    public String status() {
        StringBuilder line = new StringBuilder();
        line.append("version=").append(configuration.revision());
        line.append(" sessions=").append(sessions.size());
        line.append(" fronts=").append(controlPlane.dataPlanes());
        line.append(" source=").append(controlPlane.source());
        line.append(" served=").append(counters.completed);
        line.append(" refused=").append(counters.rejected);
        line.append(" unsure=").append(counters.uncertain);
        line.append(" unconfirmed=").append(counters.unconfirmedCommits);
        line.append(" dialed=").append(counters.connectionsOpened);
        line.append(" memory_kib=").append(memory.reservedBytes() >> BYTES_TO_KIB_SHIFT);
        line.append(" memory_refusals=").append(memory.refusals());
        for (DatabaseService service : services.values()) {
            line.append(" | ").append(service.name);
            line.append(" primary=").append(service.primary);
            line.append(service.moving ? " moving" : "");
            line.append(" servers=").append(service.servers.size());
        }
        return line.toString();
    }
}
