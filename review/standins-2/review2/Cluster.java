package review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins of one service's database servers and of the platform that promotes one of them. The
 * servers share one lock; a replica receives the primary's log some milliseconds late, and with one
 * synchronous replica a commit is answered once one replica has received it.
 */
final class Cluster {

    record Entry(long term, long number, String thing, String data, long madeNanos) {}

    /** A statement of a client that reached a server, single or the first of a transaction. */
    record Arrival(String who, String id, String text, long nanos) {}

    final Record record;
    final String service;
    final int heartbeatMillis;
    volatile int promoteMillis = 600;

    /** How long the platform takes before it handles a call. */
    volatile int platformDelayMillis = 0;

    /** Whether the platform's answers are lost after the call was carried out. */
    volatile Runnable onPromotionCall = () -> {};

    final List<Server> servers = new ArrayList<>();
    volatile List<String> controlAddresses = List.of();
    private final Map<String, Long> fences = new HashMap<>();
    private HttpServer platform;
    volatile boolean ended;

    /** Data of commits cut back by a promotion, with the time of the cut. */
    final Map<String, Long> cutBack = new ConcurrentHashMap<>();

    /** How often each data was committed, over all logs that ever led. */
    final Map<String, Integer> committed = new ConcurrentHashMap<>();

    Cluster(Record record, String service, int heartbeatMillis) {
        this.record = record;
        this.service = service;
        this.heartbeatMillis = heartbeatMillis;
    }

    // ---- platform

    String startPlatform(String ip) throws IOException {
        platform = HttpServer.create(new InetSocketAddress(InetAddress.getByName(ip), 0), 64);
        platform.setExecutor(Executors.newCachedThreadPool(Cluster::daemon));
        platform.createContext("/promotion", this::promotion);
        platform.start();
        return ip + ":" + platform.getAddress().getPort();
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    private void promotion(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String id = field(body, "instance_id");
        String holder = exchange.getRequestHeaders().getFirst("Dillfront-Duty-Holder");
        long fence = Long.parseLong(exchange.getRequestHeaders().getFirst("Dillfront-Fence-Number"));
        record.line("platform: promotion of " + id + " by " + holder + " fence " + fence);
        onPromotionCall.run();
        sleep(platformDelayMillis);
        int status;
        synchronized (this) {
            long seen = fences.getOrDefault(service, -1L);
            Server server = server(id);
            if (fence < seen || server == null || !server.alive) {
                status = 409;
            } else {
                status = 200;
                if (!server.primary && !server.promoting) {
                    server.promoting = true;
                    daemon(
                                    () -> {
                                        sleep(promoteMillis);
                                        lead(server);
                                    })
                            .start();
                }
            }
            fences.put(service, Math.max(seen, fence));
        }
        record.line("platform: answers " + status + " for " + id);
        exchange.sendResponseHeaders(status, -1);
        exchange.close();
    }

    /** The named server leads the next term with what it has received, and nothing more. */
    private synchronized void lead(Server server) {
        server.promoting = false;
        if (!server.alive) {
            return;
        }
        long term = 0;
        for (Server other : servers) {
            term = Math.max(term, other.term);
        }
        Server former = primary();
        for (Server other : servers) {
            other.pausedTerm = 0;
            if (other == server) {
                continue;
            }
            other.primary = false;
            int common = commonLength(server, other);
            while (other.log.size() > common) {
                Entry cut = other.log.remove(other.log.size() - 1);
                cutBack.putIfAbsent(cut.data(), System.nanoTime());
            }
        }
        server.term = term + 1;
        server.logTerm = server.term;
        server.primary = true;
        server.roleChanged = true;
        record.line(
                "promoted: "
                        + server.id
                        + " leads term "
                        + server.term
                        + " with "
                        + server.log.size()
                        + " commits, instead of "
                        + (former == null ? "-" : former.id)
                        + "; cut back "
                        + cutBack.size());
        notifyAll();
    }

    private static int commonLength(Server a, Server b) {
        int length = Math.min(a.log.size(), b.log.size());
        int common = 0;
        while (common < length && a.log.get(common).equals(b.log.get(common))) {
            common++;
        }
        return common;
    }

    synchronized Server primary() {
        for (Server server : servers) {
            if (server.primary && server.alive) {
                return server;
            }
        }
        return null;
    }

    synchronized boolean isKept(Server server, String data) {
        return server != null
                && server.log.stream().anyMatch(entry -> entry.data().equals(data));
    }

    synchronized Server server(String id) {
        for (Server server : servers) {
            if (server.id.equals(id)) {
                return server;
            }
        }
        return null;
    }

    static String field(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
        return matcher.find() ? matcher.group(1) : "";
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- servers

    Server addServer(String id, String ip, String zone, boolean primary) throws IOException {
        Server server = new Server(id, ip, zone, primary);
        synchronized (this) {
            server.term = 3;
            server.logTerm = 3;
            for (Server other : servers) {
                server.term = Math.max(server.term, other.term);
            }
            servers.add(server);
        }
        daemon(server::accept).start();
        daemon(server::beat).start();
        daemon(server::receive).start();
        record.line("server " + id + " starts as " + server.role() + " at " + server.address);
        return server;
    }

    /** One database server. */
    final class Server {
        final String id;
        final String zone;
        final String address;
        private ServerSocket listener;
        boolean primary;
        boolean promoting;
        long term;
        long logTerm;
        long pausedTerm;
        final List<Entry> log = new ArrayList<>();
        volatile boolean alive = true;
        volatile boolean roleChanged;
        volatile String state = "ready";
        volatile int lagMillis = 8;
        volatile int workMillis = 8;
        volatile boolean deaf;

        /** Callers whose paths to this server are cut: names of data planes, or "control". */
        final Set<String> cutFrom = ConcurrentHashMap.newKeySet();

        /** Rows of an answer to READ. */
        volatile List<String> rows = null;

        volatile int statusMillis = 0;
        final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
        private long callSequence;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

        Server(String id, String ip, String zone, boolean primary) throws IOException {
            this.id = id;
            this.zone = zone;
            this.primary = primary;
            listener = new ServerSocket(0, 256, InetAddress.getByName(ip));
            address = ip + ":" + listener.getLocalPort();
        }

        String role() {
            return primary ? "primary" : "replica";
        }

        String position() {
            return logTerm + "." + log.size();
        }

        /** Ends without a word; its connections are reset. */
        void crash() {
            record.line("server " + id + " crashes as " + role());
            synchronized (Cluster.this) {
                alive = false;
                Cluster.this.notifyAll();
            }
            try {
                listener.close();
            } catch (IOException ignored) {
                // It is closed.
            }
            for (Socket socket : sockets) {
                close(socket);
            }
        }

        /** Crashes, and returns with its log; the restart ends a PAUSE. */
        void restart(int downMillis) throws IOException {
            crash();
            sleep(downMillis);
            String[] parts = address.split(":");
            synchronized (Cluster.this) {
                listener = new ServerSocket();
                listener.setReuseAddress(true);
                listener.bind(
                        new InetSocketAddress(
                                InetAddress.getByName(parts[0]), Integer.parseInt(parts[1])),
                        256);
                pausedTerm = 0;
                alive = true;
            }
            daemon(this::accept).start();
            daemon(this::beat).start();
            daemon(this::receive).start();
            record.line("server " + id + " returns as " + role() + " at " + position());
        }

        // ---- heartbeats

        void beat() {
            int target = 0;
            long next = System.nanoTime();
            while (alive && !ended) {
                if (System.nanoTime() < next && !roleChanged) {
                    sleep(5);
                    continue;
                }
                roleChanged = false;
                next = System.nanoTime() + heartbeatMillis * 1_000_000L;
                List<String> controls = controlAddresses;
                for (int tries = 0; tries < controls.size() && alive; tries++) {
                    if (call(controls.get(target % controls.size()), "Heartbeat", beatBody())) {
                        break;
                    }
                    target++;
                }
            }
        }

        /** Says that this server drains; returns when that was acknowledged, 0 if it was not. */
        long drain() {
            state = "draining";
            for (int tries = 0; tries < 10; tries++) {
                List<String> controls = controlAddresses;
                if (call(controls.get(tries % controls.size()), "Heartbeat", beatBody())) {
                    return System.nanoTime();
                }
            }
            return 0;
        }

        /** Says that this server leaves, after its drain, and ends. */
        void leave() {
            List<String> controls = controlAddresses;
            for (int tries = 0; tries < 5; tries++) {
                if (call(controls.get(tries % controls.size()), "Leave", "{}")) {
                    break;
                }
            }
            crash();
        }

        private String beatBody() {
            synchronized (Cluster.this) {
                return "{\"service\":\""
                        + service
                        + "\",\"address\":\""
                        + address
                        + "\",\"zone_name\":\""
                        + zone
                        + "\",\"revision_number\":\"v1\",\"free_slots\":10,\"state\":\""
                        + state
                        + "\",\"cold_remaining_ms\":0,\"database_role\":\""
                        + role()
                        + "\",\"call_sequence\":"
                        + ++callSequence
                        + "}";
            }
        }

        /** Calls control; returns whether it acknowledged within a second. */
        boolean call(String control, String method, String body) {
            if (cutFrom.contains("control")) {
                sleep(1_000);
                return false;
            }
            try {
                HttpURLConnection http =
                        (HttpURLConnection)
                                new URL("http://" + control + "/Instances." + method + "/" + id)
                                        .openConnection();
                http.setConnectTimeout(1_000);
                http.setReadTimeout(1_000);
                http.setRequestMethod("POST");
                http.setDoOutput(true);
                http.setRequestProperty("Content-Type", "application/json");
                http.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
                int status = http.getResponseCode();
                http.disconnect();
                return status / 100 == 2;
            } catch (IOException e) {
                return false;
            }
        }

        // ---- replication

        void receive() {
            while (alive && !ended) {
                sleep(1);
                synchronized (Cluster.this) {
                    Server source = Cluster.this.primary();
                    if (source == null
                            || source == this
                            || deaf
                            || pausedTerm != 0
                            || source.cutFrom.contains(id)) {
                        continue;
                    }
                    long until = System.nanoTime() - lagMillis * 1_000_000L;
                    boolean changed = false;
                    while (log.size() < source.log.size()
                            && source.log.get(log.size()).madeNanos() <= until) {
                        log.add(source.log.get(log.size()));
                        changed = true;
                    }
                    if (log.size() <= source.log.size()) {
                        term = Math.max(term, source.term);
                        logTerm = source.logTerm;
                    }
                    if (changed) {
                        Cluster.this.notifyAll();
                    }
                }
            }
        }

        // ---- connections

        void accept() {
            while (alive && !ended) {
                try {
                    Socket socket = listener.accept();
                    sockets.add(socket);
                    daemon(new Session(this, socket)::run).start();
                } catch (IOException e) {
                    return;
                }
            }
        }
    }

    static void close(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException ignored) {
            // It is closed.
        }
    }

    private static final class Cut extends IOException {
        private static final long serialVersionUID = 1;
    }

    /** One caller's connection to a server. */
    private final class Session {
        private final Server server;
        private final Socket socket;
        private InputStream in;
        private OutputStream out;
        private String who = "";
        private char state = 'I';
        private boolean readOnly;
        private long beginTerm;
        private final List<String[]> writes = new ArrayList<>();
        private final Map<String, String> values = new TreeMap<>();
        private final Map<String, String> prepared = new HashMap<>();

        Session(Server server, Socket socket) {
            this.server = server;
            this.socket = socket;
        }

        void run() {
            try {
                socket.setTcpNoDelay(true);
                in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
                out = new BufferedOutputStream(socket.getOutputStream(), 1 << 16);
                String[] connect = readLine().split(" ");
                who = connect[2];
                awaitPath();
                boolean wrong =
                        !connect[1].equals(service)
                                || connect.length > 3 && !connect[3].equals(server.id);
                if (wrong) {
                    send("ERROR WRONGNODE " + server.id);
                    return;
                }
                sleep(2);
                ready();
                while (server.alive) {
                    String line = readLine();
                    awaitPath();
                    if (line.equals("GOODBYE")) {
                        return;
                    }
                    String[] parts = line.split(" ", 3);
                    query(parts[1], parts[2]);
                }
            } catch (IOException e) {
                // The connection ended, and its transaction is rolled back.
            } finally {
                server.sockets.remove(socket);
                close(socket);
            }
        }

        /** Holds the connection silent while its path is cut. */
        private void awaitPath() throws IOException {
            while (server.cutFrom.contains(who)) {
                sleep(5);
                if (!server.alive || ended) {
                    throw new Cut();
                }
            }
        }

        private String readLine() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            while (true) {
                int next = in.read();
                if (next < 0) {
                    throw new IOException("closed");
                }
                if (next == '\n') {
                    return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
                }
                line.write(next);
            }
        }

        private void send(String lines) throws IOException {
            awaitPath();
            out.write((lines + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        private void ready() throws IOException {
            String position;
            synchronized (Cluster.this) {
                position = server.position();
            }
            send("READY " + state + " " + position);
        }

        private void answer(String result) throws IOException {
            String position;
            synchronized (Cluster.this) {
                position = server.position();
            }
            send(result + "\r\nREADY " + state + " " + position);
        }

        private void fail(String error) throws IOException {
            if (state == 'T') {
                state = 'E';
            }
            answer("ERROR " + error);
        }

        private void query(String id, String text) throws IOException {
            if (!id.equals("-") && state == 'I') {
                server.arrivals.add(
                        new Arrival(who, id, Record.brief(text), System.nanoTime()));
            }
            String statement = text;
            if (statement.startsWith("AFTER ")) {
                String[] parts = statement.split(" ", 3);
                statement = parts[2];
                if (!covers(parts[1])) {
                    fail("LAGGING " + server.id);
                    return;
                }
            }
            String[] parts = statement.split(" ");
            switch (parts[0]) {
                case "STATUS" -> {
                    sleep(server.statusMillis);
                    status();
                }
                case "PAUSE" -> {
                    synchronized (Cluster.this) {
                        long pause = Long.parseLong(parts[1]);
                        if (!server.primary && pause > server.term) {
                            server.pausedTerm = pause;
                            record.line("server " + server.id + " is paused at " + server.position());
                        }
                    }
                    status();
                }
                case "RESUME" -> {
                    synchronized (Cluster.this) {
                        server.pausedTerm = 0;
                    }
                    record.line("server " + server.id + " is resumed");
                    status();
                }
                case "STEPDOWN" -> {
                    synchronized (Cluster.this) {
                        if (server.primary && Long.parseLong(parts[1]) > server.term) {
                            server.primary = false;
                            server.roleChanged = true;
                            record.line("server " + server.id + " steps down at " + server.position());
                            Cluster.this.notifyAll();
                        }
                    }
                    status();
                }
                case "RESET" -> {
                    values.clear();
                    prepared.clear();
                    answer("COMPLETE -");
                }
                case "SET" -> {
                    String[] words = statement.split(" ", 3);
                    values.put(words[1], words[2]);
                    answer("COMPLETE -");
                }
                case "PREPARE" -> {
                    String[] words = statement.split(" ", 3);
                    prepared.put(words[1], words[2]);
                    answer("COMPLETE -");
                }
                case "DEALLOCATE" -> {
                    prepared.remove(parts[1]);
                    answer("COMPLETE -");
                }
                case "BEGIN" -> begin(parts.length > 1);
                case "ROLLBACK" -> {
                    state = 'I';
                    writes.clear();
                    answer("COMPLETE -");
                }
                case "COMMIT" -> commit(id);
                case "READ" -> read(id, parts[1]);
                case "WRITE" -> write(id, statement.split(" ", 3));
                case "EXECUTE" -> {
                    String[] words = statement.split(" ", 4);
                    String shape = prepared.get(words[1]);
                    if (shape == null) {
                        fail("UNKNOWN " + words[1]);
                    } else if (shape.startsWith("READ")) {
                        read(id, words[2]);
                    } else {
                        write(id, new String[] {"WRITE", words[2], words.length > 3 ? words[3] : ""});
                    }
                }
                default -> fail("MALFORMED");
            }
        }

        private boolean covers(String position) {
            String[] parts = position.split("\\.");
            long term = Long.parseLong(parts[0]);
            long number = Long.parseLong(parts[1]);
            synchronized (Cluster.this) {
                return server.logTerm > term
                        || server.logTerm == term && server.log.size() >= number;
            }
        }

        private void status() throws IOException {
            String row;
            synchronized (Cluster.this) {
                row =
                        "ROW "
                                + server.role()
                                + " "
                                + server.term
                                + " "
                                + server.position()
                                + " "
                                + server.pausedTerm
                                + " "
                                + server.lagMillis
                                + " 1 "
                                + server.sockets.size();
            }
            send(row);
            answer("COMPLETE -");
        }

        private boolean lostLead() {
            return !server.primary || server.term != beginTerm;
        }

        private void begin(boolean onlyReads) throws IOException {
            synchronized (Cluster.this) {
                if (onlyReads || server.primary) {
                    state = 'T';
                    readOnly = onlyReads;
                    beginTerm = server.term;
                    writes.clear();
                }
            }
            if (state == 'T') {
                answer("COMPLETE -");
            } else {
                fail("READONLY " + server.id);
            }
        }

        private void read(String id, String thing) throws IOException {
            if (state == 'E') {
                fail("MALFORMED");
                return;
            }
            sleep(server.workMillis);
            String value = "none";
            synchronized (Cluster.this) {
                if (state == 'T' && !readOnly && lostLead()) {
                    value = null;
                } else {
                    for (int i = server.log.size() - 1; i >= 0; i--) {
                        if (server.log.get(i).thing().equals(thing)) {
                            value = server.log.get(i).data();
                            break;
                        }
                    }
                }
            }
            if (value == null) {
                fail("READONLY " + server.id);
                return;
            }
            record.line("server " + server.id + " ran " + id + " READ " + thing);
            List<String> rows = server.rows;
            if (rows == null) {
                answer("ROW " + value + "\r\nCOMPLETE " + stamp(id));
                return;
            }
            for (String row : rows) {
                send("ROW " + row);
            }
            answer("COMPLETE " + stamp(id));
        }

        private String stamp(String id) {
            return server.id + "." + id;
        }

        private void write(String id, String[] words) throws IOException {
            if (state == 'E') {
                fail("MALFORMED");
                return;
            }
            sleep(server.workMillis);
            boolean leads;
            synchronized (Cluster.this) {
                leads = server.primary && !(state == 'T' && (readOnly || lostLead()));
                if (leads && state == 'T') {
                    writes.add(new String[] {words[1], words[2]});
                }
            }
            if (!leads) {
                fail("READONLY " + server.id);
            } else if (state == 'T') {
                answer("COMPLETE " + stamp(id));
            } else {
                writes.clear();
                writes.add(new String[] {words[1], words[2]});
                keep(id);
            }
        }

        private void commit(String id) throws IOException {
            if (state != 'T') {
                state = 'I';
                answer("ERROR ABORTED");
                return;
            }
            state = 'I';
            if (writes.isEmpty()) {
                answer("COMPLETE " + stamp(id));
                return;
            }
            synchronized (Cluster.this) {
                if (lostLead()) {
                    writes.clear();
                }
            }
            if (writes.isEmpty()) {
                answer("ERROR READONLY " + server.id);
            } else {
                keep(id);
            }
        }

        /** Commits the writes, and answers once one replica has received them. */
        private void keep(String id) throws IOException {
            int end;
            long term;
            synchronized (Cluster.this) {
                term = server.term;
                for (String[] write : writes) {
                    server.log.add(
                            new Entry(
                                    term,
                                    server.log.size() + 1,
                                    write[0],
                                    write[1],
                                    System.nanoTime()));
                    committed.merge(write[1], 1, Integer::sum);
                    record.line(
                            "server "
                                    + server.id
                                    + " ran "
                                    + id
                                    + " WRITE "
                                    + Record.brief(write[1])
                                    + " at "
                                    + server.position());
                }
                end = server.log.size();
                writes.clear();
                while (!isReceived(end)) {
                    if (!server.alive || ended || !server.primary || server.term != term) {
                        throw new Cut();
                    }
                    try {
                        Cluster.this.wait(20);
                    } catch (InterruptedException e) {
                        throw new Cut();
                    }
                }
            }
            answer("COMPLETE " + stamp(id));
        }

        private boolean isReceived(int end) {
            for (Server other : servers) {
                if (other != server && other.alive && other.log.size() >= end) {
                    return true;
                }
            }
            return false;
        }
    }
}
