package dillfront.simulation;

import com.eclipsesource.json.Json;
import dillfront.common.environment.Environment;
import dillfront.common.environment.NettyEnvironment;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * A stand-in for a database server, for measurements with real processes: heartbeats, STATUS,
 * PAUSE, RESUME, STEPDOWN, and statements of data planes. All servers of a group share one log, as
 * with synchronous replicas. On one environment's thread.
 */
final class StubDatabaseServer {

    private static final int HEARTBEAT_TIMEOUT_MS = 900;

    /** The servers of one service. */
    static final class Group {
        final String service;
        final List<StubDatabaseServer> servers = new ArrayList<>();

        /** Keys that were written. */
        final TreeSet<String> written = new TreeSet<>();

        private long term = 1;
        private long index = 1;

        Group(String service) {
            this.service = service;
        }

        StubDatabaseServer primary() {
            return servers.stream().filter(s -> s.primary).findFirst().orElse(null);
        }

        /** The platform makes this server the primary; whether it runs. */
        boolean promote(String id) {
            for (StubDatabaseServer server : servers) {
                if (server.id.equals(id) && server.running) {
                    servers.forEach(other -> other.primary = other == server);
                    server.pauseTerm = 0;
                    term++;
                    server.heartbeat();
                    return true;
                }
            }
            return false;
        }

        private String position() {
            return term + "." + index;
        }
    }

    private final NettyEnvironment environment;
    private final Group group;
    private final String id;
    private final String address;
    private final List<String> controls;
    private final long intervalMillis;
    private boolean primary;
    private boolean running = true;
    private long pauseTerm;
    private long callSequence;

    StubDatabaseServer(
            NettyEnvironment environment,
            Group group,
            String id,
            String address,
            List<String> controls,
            long intervalMillis)
            throws IOException {
        this.environment = environment;
        this.group = group;
        this.id = id;
        this.address = address;
        this.controls = controls;
        this.intervalMillis = intervalMillis;
        primary = group.servers.isEmpty();
        group.servers.add(this);
        environment.listen(address, Environment.Framing.LINES, accepted -> new Session());
        environment.eventLoop().execute(this::scheduleHeartbeats);
    }

    String id() {
        return id;
    }

    /** It is lost: it answers nothing any more, and sends no heartbeat. */
    void fail() {
        running = false;
        primary = false;
    }

    /** It runs again, as a replica. */
    void restart() {
        running = true;
        pauseTerm = 0;
    }

    private void scheduleHeartbeats() {
        environment.schedule(intervalMillis, this::scheduleHeartbeats);
        heartbeat();
    }

    private void heartbeat() {
        if (!running) {
            return;
        }
        String body =
                Json.object()
                        .add("service", group.service)
                        .add("address", address)
                        .add("zone_name", "a")
                        .add("state", "ready")
                        .add("database_role", primary ? "primary" : "replica")
                        .add("call_sequence", ++callSequence)
                        .toString();
        String control = controls.get((int) (callSequence % controls.size()));
        environment.post(
                control, "/Instances.Heartbeat/" + id, body, Map.of(), HEARTBEAT_TIMEOUT_MS);
    }

    /** One connection. */
    private final class Session implements Environment.ConnectionListener {
        private Environment.Connection connection;

        @Override
        public void onOpen(Environment.Connection opened) {
            connection = opened;
        }

        @Override
        public void onMessage(byte[] message) {
            if (!running) {
                connection.close();
                return;
            }
            String line = new String(message, StandardCharsets.ISO_8859_1);
            if (line.startsWith("CONNECT ")) {
                send("READY I " + group.position());
            } else if (line.equals("GOODBYE")) {
                connection.close();
            } else {
                answer(line.split(" ", 3)[2]);
            }
        }

        private void answer(String statement) {
            String[] tokens = statement.split(" ");
            switch (tokens[0]) {
                case "STATUS" -> status();
                case "PAUSE" -> {
                    pauseTerm = Long.parseLong(tokens[1]);
                    status();
                }
                case "RESUME" -> {
                    pauseTerm = 0;
                    status();
                }
                case "STEPDOWN" -> {
                    primary = false;
                    status();
                }
                case "WRITE" -> write(tokens[1]);
                case "READ", "AFTER" -> send("ROW v\r\nCOMPLETE -\r\nREADY I " + group.position());
                default -> send("COMPLETE -\r\nREADY I " + group.position());
            }
        }

        private void status() {
            send(
                    "ROW "
                            + (primary ? "primary " : "replica ")
                            + group.term
                            + " "
                            + group.position()
                            + " "
                            + pauseTerm
                            + " 0 0 1\r\nCOMPLETE -\r\nREADY I "
                            + group.position());
        }

        private void write(String key) {
            if (!primary) {
                send("ERROR READONLY " + id + "\r\nREADY I " + group.position());
                return;
            }
            group.index++;
            group.written.add(key);
            send("COMPLETE " + group.position() + "\r\nREADY I " + group.position());
        }

        private void send(String lines) {
            connection.send(lines.getBytes(StandardCharsets.ISO_8859_1));
        }

        @Override
        public void onClose(String reason) {
            // The next connection is another session.
        }
    }
}
