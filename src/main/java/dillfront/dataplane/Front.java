package dillfront.dataplane;

import dillfront.common.config.Configuration;
import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The data plane of one machine: its sessions, its connections, and what it was told. One loop
 * calls all of it.
 */
public final class Front {

    /** How much of a connection limit is left for the control plane's own questions. */
    private static final int FOR_CONTROL = 8;

    private static final long LOOK_MS = 100;

    /**
     * From SIGTERM on: sessions at rest are closed, once the platform has most likely seen that it
     * is not ready.
     */
    private static final long CLOSES_MS = 2_300;

    /** And it has surely seen it: who is sent here until then is served. */
    private static final long SENT_MS = 3_200;

    /** What was done since the start. */
    public static final class Counts {
        public long sessions;
        public long asked;
        public long served;
        public long refused;
        public long unsure;
        public long dialed;
        public long lagging;
        public long verified;
    }

    final Environment host;
    public NodeSettings settings;
    final News news;
    public final Counts counts = new Counts();
    private final TreeMap<String, Service> services = new TreeMap<>();
    private Configuration configuration = Configuration.NONE;
    private final List<Session> sessions = new ArrayList<>();
    private boolean leaving;
    private boolean leftAll;
    private boolean endsNow;
    private boolean mayEnd;
    private Runnable end = () -> {};

    public Front(Environment host, NodeSettings settings) {
        this.host = host;
        this.settings = settings;
        news = new News(this);
    }

    public void start() {
        news.start();
        look();
    }

    /** Other settings: only where control is found is taken over while it runs. */
    public void settings(NodeSettings next) {
        settings = next;
        news.seeds();
    }

    private void look() {
        host.schedule(LOOK_MS, this::look);
        for (Service service : services.values()) {
            for (Server s : new ArrayList<>(service.servers.values())) {
                s.tryAgain();
                s.look();
                s.leaveOverdue();
            }
            service.changed();
            service.hopeful();
            if (service.seesOtherwise()) {
                news.tell();
            }
        }
    }

    /** The version of the configuration that is in force here; -1 for none. */
    public long version() {
        return configuration.revision();
    }

    public Configuration configuration() {
        return configuration;
    }

    /** A higher version binds from each session's next transaction on; a lower one never. */
    void configured(Configuration next) {
        if (next.revision() <= configuration.revision()) {
            return;
        }
        configuration = next;
        next.services()
                .values()
                .forEach(is -> service(is.name()).connections = is.connectionLimit());
    }

    Service service(String name) {
        return services.computeIfAbsent(
                name,
                n -> {
                    Service s = new Service(this, n);
                    s.floors.reach(3_000);
                    return s;
                });
    }

    Iterable<Service> services() {
        return services.values();
    }

    /**
     * Of a server's connections, this front's part: what the whole fleet can hold, also with one
     * more of us.
     */
    int connectionsEach(Service service) {
        return Math.max(2, (service.connections - FOR_CONTROL) / (news.fronts() + 1));
    }

    /**
     * Whether it can serve: it has a configuration and knows who leads some service, or led it
     * before a move that is under way: no other front knows better, and replicas serve meanwhile.
     */
    public boolean ready() {
        if (leaving || configuration == Configuration.NONE) {
            return false;
        }
        for (Service s : services.values()) {
            if (s.primary() != null || s.moving) {
                return true;
            }
        }
        return false;
    }

    /** A client is there. */
    public Environment.ConnectionListener accept() {
        Session session = new Session(this);
        sessions.add(session);
        counts.sessions++;
        if (leftAll) {
            session.cameLate(endsNow);
        }
        return session;
    }

    void ended(Session session) {
        sessions.remove(session);
        endsWhereNobodyIs();
    }

    private void endsWhereNobodyIs() {
        if (mayEnd && sessions.isEmpty()) {
            end.run();
        }
    }

    boolean leftAll() {
        return leftAll;
    }

    /**
     * Ends in order: at once it is ready no more; once the platform has seen that, sessions at rest
     * are closed, and transactions have until half of the grace.
     */
    public void leave(Runnable done) {
        if (leaving) {
            return;
        }
        leaving = true;
        end = done;
        long half = settings.gracePeriodMillis() / 2;
        host.schedule(
                Math.min(CLOSES_MS, half * 3 / 4),
                () -> {
                    leftAll = true;
                    new ArrayList<>(sessions).forEach(Session::leaveAtRest);
                });
        host.schedule(
                Math.min(SENT_MS, half),
                () -> {
                    mayEnd = true;
                    endsWhereNobodyIs();
                });
        host.schedule(
                half,
                () -> {
                    endsNow = true;
                    new ArrayList<>(sessions).forEach(Session::leaveNow);
                });
        host.schedule(settings.gracePeriodMillis() * 5 / 6, end);
    }

    /** One line for operators and logs. */
    public String status() {
        StringBuilder line =
                new StringBuilder("version=")
                        .append(configuration.revision())
                        .append(" sessions=")
                        .append(sessions.size())
                        .append(" fronts=")
                        .append(news.fronts())
                        .append(" source=")
                        .append(news.source())
                        .append(" served=")
                        .append(counts.served)
                        .append(" refused=")
                        .append(counts.refused)
                        .append(" unsure=")
                        .append(counts.unsure)
                        .append(" dialed=")
                        .append(counts.dialed);
        for (Service s : services.values()) {
            line.append(" | ")
                    .append(s.name)
                    .append(" primary=")
                    .append(s.primary)
                    .append(s.moving ? " moving" : "")
                    .append(" servers=")
                    .append(s.servers.size());
        }
        return line.toString();
    }
}
