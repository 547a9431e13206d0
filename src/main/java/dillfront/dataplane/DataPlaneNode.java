package dillfront.dataplane;

import dillfront.common.config.Configuration;
import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The data plane of one machine: its sessions, its connections, and what the control plane told it.
 * All methods are called on the environment's thread.
 */
public final class DataPlaneNode {

    /** How many connections of a server's limit are left for the control plane's own queries. */
    private static final int RESERVED_CONNECTIONS = 8;

    private static final int MIN_CONNECTIONS = 2;
    private static final long POLL_INTERVAL_MS = 100;

    /** Bounds how old reads may be of which positions are remembered. */
    private static final long MAX_READ_STALENESS_MS = 3_000;

    /**
     * From SIGTERM on: idle sessions are closed, once the platform has most likely seen that the
     * process is not ready.
     */
    private static final long CLOSE_IDLE_DELAY_MS = 2_300;

    /** And it has surely seen it: a client that is sent here until then is served. */
    private static final long MIN_SHUTDOWN_MS = 3_200;

    /** What was done since the start. */
    public static final class Counters {
        long sessions;
        long statements;
        long completed;
        long rejected;
        long uncertain;
        long connectionsOpened;
        long laggingReplies;
        long primaryChecks;

        /** Statements that were answered. */
        public long completed() {
            return completed;
        }
    }

    final Environment environment;
    NodeSettings settings;
    final ControlPlaneClient controlPlane;
    final Counters counters = new Counters();
    private final TreeMap<String, DatabaseService> services = new TreeMap<>();
    private final List<ClientSession> sessions = new ArrayList<>();
    private Configuration configuration = Configuration.NONE;

    // The end of the process.
    private boolean shuttingDown;
    private boolean closingIdleSessions;
    private boolean closingAllSessions;
    private boolean exitAllowed;
    private Runnable onShutdownComplete = () -> {};

    public DataPlaneNode(Environment environment, NodeSettings settings) {
        this.environment = environment;
        this.settings = settings;
        controlPlane = new ControlPlaneClient(this);
    }

    /** Connects to a control process, and begins. */
    public void start() {
        controlPlane.start();
        poll();
    }

    /** Other settings: only where the control plane is found is taken over while it runs. */
    public void updateSettings(NodeSettings newSettings) {
        settings = newSettings;
        controlPlane.onSettingsChanged();
    }

    public NodeSettings settings() {
        return settings;
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

    /** The revision of the configuration that is in force here; -1 for none. */
    public long configurationRevision() {
        return configuration.revision();
    }

    /** The configuration that is in force here. */
    public Configuration configuration() {
        return configuration;
    }

    /** A higher revision binds from each session's next transaction on; a lower one never does. */
    void onConfiguration(Configuration newConfiguration) {
        if (newConfiguration.revision() <= configuration.revision()) {
            return;
        }
        configuration = newConfiguration;
        for (Configuration.Service service : newConfiguration.services().values()) {
            service(service.name()).connectionLimit = service.connectionLimit();
        }
    }

    /** The service of this name; it is made where it is new. */
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
     * This data plane's share of a server's connections: what all data planes can have, also with
     * one more of them.
     */
    int maxConnectionsPerServer(DatabaseService service) {
        int available = service.connectionLimit - RESERVED_CONNECTIONS;
        return Math.max(MIN_CONNECTIONS, available / (controlPlane.dataPlanes() + 1));
    }

    /**
     * Whether it can serve: it has a configuration and knows the primary of some service, or knew
     * it before a move that is under way. No other data plane knows better, and replicas serve
     * meanwhile.
     */
    public boolean isReady() {
        if (shuttingDown || configuration == Configuration.NONE) {
            return false;
        }
        for (DatabaseService service : services.values()) {
            if (service.primary() != null || service.moving) {
                return true;
            }
        }
        return false;
    }

    // ---- sessions

    /** A client connects. */
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

    // ---- the end

    private void completeShutdownIfIdle() {
        if (exitAllowed && sessions.isEmpty()) {
            onShutdownComplete.run();
        }
    }

    /**
     * Ends in order: at once it is ready no more; once the platform has seen that, idle sessions
     * are closed, and transactions have until half of the grace period.
     *
     * @param onComplete runs once the process may end
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

    /** One line for operators and logs. */
    public String status() {
        StringBuilder line = new StringBuilder();
        line.append("version=").append(configuration.revision());
        line.append(" sessions=").append(sessions.size());
        line.append(" fronts=").append(controlPlane.dataPlanes());
        line.append(" source=").append(controlPlane.source());
        line.append(" served=").append(counters.completed);
        line.append(" refused=").append(counters.rejected);
        line.append(" unsure=").append(counters.uncertain);
        line.append(" dialed=").append(counters.connectionsOpened);
        for (DatabaseService service : services.values()) {
            line.append(" | ").append(service.name);
            line.append(" primary=").append(service.primary);
            line.append(service.moving ? " moving" : "");
            line.append(" servers=").append(service.servers.size());
        }
        return line.toString();
    }
}
