package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** One database server: the wire towards data planes and control planes, and its beats. */
final class DatabaseServer {

    private static final long BEAT_MILLIS = 1_200;
    private static final long TELLING_OF_END_MILLIS = 400;

    final String id;
    final String zone;
    private final DatabaseService service;
    private final String listenAddress;

    /** The address that is told in beats; that of a relay, if one stands before the server. */
    private final String toldAddress;

    private final List<String> controls;

    // State of the log, guarded by the service.
    final List<DatabaseService.Entry> log = new ArrayList<>();
    final List<Double> receivedMillis = new ArrayList<>();
    int applied;
    long term;
    long pausedTerm;
    volatile boolean up;

    /** Counts the starts, so that work of an earlier life is dropped. */
    volatile int life;

    // Troubles.
    volatile boolean deaf;

    /** Whether its beats do not arrive. */
    volatile boolean cutFromControl;

    volatile double receiveMillis = 2;
    volatile double applyLagMillis = 8;

    volatile String state = "ready";
    private volatile boolean beats;
    private final AtomicInteger sequence = new AtomicInteger();
    private final Object beatSignal = new Object();
    private ServerSocket listener;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    DatabaseServer(
            DatabaseService service, String id, String zone, String listenAddress, String toldAddress, List<String> controls) {
        this.service = service;
        this.id = id;
        this.zone = zone;
        this.listenAddress = listenAddress;
        this.toldAddress = toldAddress;
        this.controls = controls;
        synchronized (service) {
            service.servers.put(id, this);
            DatabaseServer source = service.source;
            if (source != null) {
                // A new server starts with a copy of the log.
                log.addAll(source.log);
                source.log.forEach(entry -> receivedMillis.add(Recorder.now()));
                applied = log.size();
                term = source.term;
            }
        }
    }

    void start() throws IOException {
        int colon = listenAddress.lastIndexOf(':');
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(
                new InetSocketAddress(
                        InetAddress.getByName(listenAddress.substring(0, colon)),
                        Integer.parseInt(listenAddress.substring(colon + 1))),
                200);
        listener = socket;
        life++;
        pausedTerm = 0;
        up = true;
        beats = true;
        int thisLife = life;
        daemon(() -> accept(socket), id + " accept");
        daemon(() -> beat(thisLife), id + " beats");
        Recorder.record("%s runs", id);
    }

    private static void daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Ends the process: its connections are reset and its log stays. */
    void stop() {
        up = false;
        beats = false;
        life++;
        try {
            if (listener != null) {
                listener.close();
            }
            for (Socket socket : connections) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        } catch (IOException e) {
            // It is closed.
        }
        connections.clear();
        Recorder.record("%s has ended", id);
    }

    // ---- beats

    private String role() {
        return service.leader == this ? "primary" : "replica";
    }

    void beatNow() {
        synchronized (beatSignal) {
            beatSignal.notifyAll();
        }
    }

    private void beat(int thisLife) {
        int control = Math.abs(id.hashCode()) % controls.size();
        while (beats && life == thisLife) {
            String body =
                    "{\"service\":\"" + service.name + "\",\"address\":\"" + toldAddress + "\",\"zone_name\":\"" + zone
                            + "\",\"revision_number\":\"v1\",\"free_slots\":8,\"state\":\"" + state
                            + "\",\"cold_remaining_ms\":0,\"database_role\":\"" + role() + "\",\"call_sequence\":"
                            + sequence.incrementAndGet() + "}";
            for (int tries = 0; tries < controls.size() && beats && !cutFromControl; tries++) {
                if (post("/Instances.Heartbeat/" + id, body, controls.get(control))) {
                    break;
                }
                control = (control + 1) % controls.size();
            }
            synchronized (beatSignal) {
                try {
                    beatSignal.wait(BEAT_MILLIS);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    private static boolean post(String path, String body, String control) {
        return Deployment.call("POST", "http://" + control + path, body).status() == 200;
    }

    /** Tells that the server drains and waits for the acknowledgement. */
    void drain() throws Exception {
        state = "draining";
        beatNow();
        String body =
                "{\"service\":\"" + service.name + "\",\"address\":\"" + toldAddress + "\",\"zone_name\":\"" + zone
                        + "\",\"revision_number\":\"v1\",\"free_slots\":8,\"state\":\"draining\",\"cold_remaining_ms\":0,"
                        + "\"database_role\":\"" + role() + "\",\"call_sequence\":" + sequence.incrementAndGet() + "}";
        callUntilAcknowledged("/Instances.Heartbeat/" + id, body);
        Recorder.record("%s drains, acknowledged", id);
    }

    /** Tells that the server leaves, waits for the acknowledgement, and ends. */
    void leave() throws Exception {
        callUntilAcknowledged("/Instances.Leave/" + id, "{}");
        Recorder.record("%s has left, acknowledged", id);
        beats = false;
        beatNow();
        stop();
    }

    private void callUntilAcknowledged(String path, String body) throws Exception {
        double end = Recorder.now() + 10_000;
        while (Recorder.now() < end) {
            for (String control : controls) {
                if (post(path, body, control)) {
                    return;
                }
            }
            Thread.sleep(TELLING_OF_END_MILLIS / 4);
        }
        throw new CannotRunException(id + " got no acknowledgement");
    }

    // ---- the wire

    private void accept(ServerSocket socket) {
        while (up) {
            try {
                Socket accepted = socket.accept();
                accepted.setTcpNoDelay(true);
                connections.add(accepted);
                daemon(() -> serve(accepted), id + " connection");
            } catch (IOException e) {
                return;
            }
        }
    }

    /** The state of one connection. */
    private final class Session {
        final OutputStream out;
        final Map<String, String> prepared = new HashMap<>();
        final Map<String, String> written = new HashMap<>();
        char state = 'I';
        boolean plain;

        Session(OutputStream out) {
            this.out = out;
        }

        void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void complete(List<String> rows, String stamp) throws IOException {
            StringBuilder text = new StringBuilder();
            rows.forEach(row -> text.append("ROW ").append(row).append("\r\n"));
            send(text + "COMPLETE " + stamp + "\r\nREADY " + state + " " + position() + "\r\n");
        }

        void error(String code, boolean fails) throws IOException {
            if (state == 'T' && fails) {
                state = 'E';
            }
            send("ERROR " + code + " " + id + "\r\nREADY " + state + " " + position() + "\r\n");
        }
    }

    String received() {
        return log.isEmpty() ? service.newestTerm + ".1199" : log.get(log.size() - 1).position();
    }

    private String position() {
        synchronized (service) {
            return applied == 0 ? "3.1199" : log.get(applied - 1).position();
        }
    }

    private void serve(Socket socket) {
        int thisLife = life;
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            Session session = new Session(socket.getOutputStream());
            String line = in.readLine();
            if (line == null) {
                return;
            }
            String[] connect = line.split(" ");
            if (connect.length < 3
                    || !connect[0].equals("CONNECT")
                    || !connect[1].equals(service.name)
                    || connect.length > 3 && !connect[3].equals(id)) {
                session.send("ERROR WRONGNODE " + id + "\r\n");
                return;
            }
            Thread.sleep(12);
            session.send("READY I " + position() + "\r\n");
            while ((line = in.readLine()) != null && !line.equals("GOODBYE") && life == thisLife) {
                String[] query = line.split(" ", 3);
                query(session, query[1], query[2], thisLife);
            }
        } catch (IOException | InterruptedException e) {
            // The connection ended.
        } finally {
            connections.remove(socket);
        }
    }

    private void query(Session session, String queryId, String text, int thisLife) throws IOException, InterruptedException {
        String statement = text;
        String after = null;
        if (statement.startsWith("AFTER ")) {
            String[] parts = statement.split(" ", 3);
            after = parts[1];
            statement = parts[2];
        }
        String[] words = statement.split(" ", 4);
        switch (words[0]) {
            case "STATUS", "PAUSE", "RESUME", "STEPDOWN" -> control(session, words);
            case "SET", "DEALLOCATE" -> session.complete(List.of(), "-");
            case "RESET" -> {
                session.prepared.clear();
                session.complete(List.of(), "-");
            }
            case "PREPARE" -> {
                session.prepared.put(words[1], words[2]);
                session.complete(List.of(), "-");
            }
            case "BEGIN" -> begin(session, words.length > 1, after);
            case "ROLLBACK" -> {
                session.state = 'I';
                session.written.clear();
                session.complete(List.of(), "-");
            }
            case "COMMIT" -> {
                Thread.sleep(5);
                if (session.state == 'E') {
                    session.state = 'I';
                    session.written.clear();
                    session.complete(List.of(), "-");
                } else if (session.written.isEmpty()) {
                    session.state = 'I';
                    session.complete(List.of(), stamp(queryId));
                } else {
                    commit(session, queryId, Map.copyOf(session.written), thisLife);
                    session.written.clear();
                }
            }
            case "READ" -> read(session, queryId, words[1], after);
            case "WRITE" -> {
                Thread.sleep(workMillis(words[2]));
                if (session.state == 'I') {
                    commit(session, queryId, Map.of(words[1], words[2]), thisLife);
                } else if (session.state == 'E' || !leads()) {
                    session.error(session.state == 'E' ? "MALFORMED" : "READONLY", true);
                } else {
                    session.written.put(words[1], words[2]);
                    session.complete(List.of(), stamp(queryId));
                }
            }
            default -> session.error("UNKNOWN", true);
        }
    }

    private static String stamp(String queryId) {
        return "9." + queryId;
    }

    /** The work of a write in milliseconds, which its data may name as wNN. */
    private static long workMillis(String data) {
        return data.matches("w\\d+.*") ? Long.parseLong(data.replaceAll("^w(\\d+).*$", "$1")) : 5;
    }

    private boolean leads() {
        return service.leader == this;
    }

    private void begin(Session session, boolean read, String after) throws IOException {
        if (after != null && lacks(after)) {
            session.error("LAGGING", false);
        } else if (!read && !leads()) {
            session.error("READONLY", false);
        } else {
            session.state = 'T';
            session.plain = !read;
            session.complete(List.of(), "-");
        }
    }

    private boolean lacks(String after) {
        String[] wanted = after.split("\\.");
        String[] held = position().split("\\.");
        int byTerm = Long.compare(Long.parseLong(held[0]), Long.parseLong(wanted[0]));
        return byTerm < 0 || byTerm == 0 && Long.parseLong(held[1]) < Long.parseLong(wanted[1]);
    }

    private void read(Session session, String queryId, String thing, String after) throws IOException, InterruptedException {
        if (after != null && lacks(after)) {
            Recorder.record("%s answers LAGGING to %s AFTER %s, has %s", id, queryId, after, position());
            session.error("LAGGING", false);
            return;
        }
        if (session.state == 'T' && session.plain && !leads()) {
            session.error("READONLY", true);
            return;
        }
        Thread.sleep(3);
        List<String> rows = new ArrayList<>();
        String ready;
        synchronized (service) {
            for (int i = applied - 1; i >= 0 && rows.isEmpty(); i--) {
                String value = log.get(i).data().get(thing);
                if (value != null) {
                    rows.add(value);
                }
            }
            service.reads.add(
                    new DatabaseService.ReadRun(
                            queryId, id, Recorder.now(), applied, List.copyOf(log.subList(0, applied))));
            ready = position();
        }
        Recorder.record("%s runs read %s%s on its log up to %s", id, queryId, after == null ? "" : " AFTER " + after, ready);
        session.complete(rows, stamp(queryId));
    }

    private void commit(Session session, String queryId, Map<String, String> data, int thisLife)
            throws IOException, InterruptedException {
        if (!up || life != thisLife) {
            throw new IOException("ended");
        }
        if (!leads()) {
            session.error("READONLY", true);
            return;
        }
        if (service.commit(this, queryId, data, thisLife) == null) {
            throw new IOException("not told");
        }
        session.state = 'I';
        session.complete(List.of(), stamp(queryId));
    }

    private void control(Session session, String[] words) throws IOException {
        String row;
        synchronized (service) {
            long asked = words.length > 1 ? Long.parseLong(words[1]) : 0;
            long newest = Math.max(term, pausedTerm);
            if (words[0].equals("PAUSE") && !leads() && asked > newest) {
                pausedTerm = asked;
            } else if (words[0].equals("RESUME")) {
                pausedTerm = 0;
            } else if (words[0].equals("STEPDOWN") && leads() && asked > term) {
                service.leader = null;
                beatNow();
            }
            row = role() + " " + term + " " + received() + " " + pausedTerm + " 8 0 " + connections.size();
        }
        if (!words[0].equals("STATUS")) {
            Recorder.record("%s is told %s: %s", id, String.join(" ", words), row);
        }
        session.complete(List.of(row), "-");
    }
}
