package dillfront.simulation;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonValue;
import dillfront.common.config.Configuration;
import dillfront.common.environment.Environment;
import dillfront.common.environment.NettyEnvironment;
import dillfront.common.message.BinaryDelta;
import dillfront.common.message.Compression;
import dillfront.common.message.MessageCodec;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Three real control processes on loopback, and hollow fronts and database servers in this one:
 * they ask for news and beat as the real ones do, and do nothing else. What a front hears and says,
 * and what control spends, at three sizes.
 */
public final class CapacityMeasure {

    private static final int INTERNAL_PORT = 17_400;
    private static final int CONTROL_PORT = 17_300;
    private static final String[] IPS = ControlPlaneProcesses.IPS;
    private static final long HEARTBEAT_MS = ControlPlaneProcesses.HEARTBEAT_MS;

    /** Where all hollow servers are asked how they are, each at an address of its own. */
    private static final int STUB_SERVER_PORT = 17_500;

    private static final int MEASURE_SECONDS = 6;
    private static final int SETTLE_SECONDS = 4;
    private static final int CHANGES = 5;
    private static final int MAX_ATTEMPTS = 60;

    private final NettyEnvironment environment = new NettyEnvironment(1);
    private final ControlPlaneProcesses processes =
            new ControlPlaneProcesses(
                    "capacity",
                    CONTROL_PORT,
                    INTERNAL_PORT,
                    "-Xmx192m",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-jar",
                    "target/dillfront.jar");
    private final AtomicLong bytes = new AtomicLong();
    private final AtomicLong messages = new AtomicLong();
    private final int dataPlanes;
    private final int databases;
    private final long[] receivedRevisions;
    private final AtomicInteger pendingDataPlanes = new AtomicInteger();
    private CompletableFuture<Void> receivedByAll = new CompletableFuture<>();

    private CapacityMeasure(int dataPlanes) throws IOException {
        this.dataPlanes = dataPlanes;
        databases = dataPlanes / 4;
        receivedRevisions = new long[dataPlanes];
    }

    private record Row(
            int dataPlanes,
            double bytes,
            double messages,
            double cpuShare,
            long configMs,
            double peakMb) {}

    /** Prints a line of results for each number of data planes. */
    public static void main(String[] args) throws Exception {
        List<Row> rows = new ArrayList<>();
        for (int dataPlanes : new int[] {50, 200, 800}) {
            CapacityMeasure measure = new CapacityMeasure(dataPlanes);
            try {
                rows.add(measure.run());
                System.err.println(rows.get(rows.size() - 1));
            } finally {
                measure.close();
            }
        }
        Row small = rows.get(0);
        Row large = rows.get(rows.size() - 1);
        double sizes = Math.log((double) large.dataPlanes() / small.dataPlanes());
        double growth =
                Math.pow(
                        10,
                        Math.log(
                                        Math.max(1e-6, large.cpuShare())
                                                / Math.max(1e-6, small.cpuShare()))
                                / sizes);
        for (Row row : rows) {
            System.out.printf(
                    "capacity: routers=%d bytes_a_router=%.0f messages_a_router=%.2f control_core_share=%.4f config_ms_p99=%d "
                            + "control_mb=%.0f growth_10x=%.1f%n",
                    row.dataPlanes(),
                    row.bytes(),
                    row.messages(),
                    row.cpuShare(),
                    row.configMs(),
                    row.peakMb(),
                    growth);
        }
        System.exit(0);
    }

    /** Leads, and does nothing. */
    private static final class StubServer implements Environment.ConnectionListener {
        private Environment.Connection connection;

        @Override
        public void onOpen(Environment.Connection opened) {
            connection = opened;
        }

        @Override
        public void onMessage(byte[] message) {
            String line = new String(message, StandardCharsets.US_ASCII);
            connection.send(
                    (line.startsWith("CONNECT")
                                    ? "READY I 1.1"
                                    : "ROW primary 1 1.1 0 0 0 1\r\nCOMPLETE -\r\nREADY I 1.1")
                            .getBytes(StandardCharsets.US_ASCII));
        }

        @Override
        public void onClose(String reason) {
            // It comes again.
        }
    }

    private Row run() throws Exception {
        environment.listen(
                "0.0.0.0:" + STUB_SERVER_PORT,
                Environment.Framing.LINES,
                accepted -> new StubServer());
        processes.start(true);
        TimeUnit.MILLISECONDS.sleep(1_500);
        configure(1).get(10, TimeUnit.SECONDS);
        environment
                .eventLoop()
                .submit(
                        () -> {
                            for (int i = 0; i < dataPlanes; i++) {
                                new StubDataPlane(i).connect();
                            }
                            for (int database = 0; database < databases; database++) {
                                for (int server = 0; server < 3; server++) {
                                    scheduleHeartbeats(
                                            "i-" + database + "-" + server,
                                            "127.1."
                                                    + database
                                                    + "."
                                                    + (10 + server)
                                                    + ":"
                                                    + STUB_SERVER_PORT,
                                            "db" + database,
                                            server == 0,
                                            environment.random().nextInt((int) HEARTBEAT_MS));
                                }
                            }
                        })
                .get();
        TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
        long cpuBefore = processes.cpuNanos();
        long bytesBefore = bytes.get();
        long messagesBefore = messages.get();
        TimeUnit.SECONDS.sleep(MEASURE_SECONDS);
        double cpuShare = (processes.cpuNanos() - cpuBefore) / 1e9 / MEASURE_SECONDS / IPS.length;
        double bytesEach = (double) (bytes.get() - bytesBefore) / MEASURE_SECONDS / dataPlanes;
        double messagesEach =
                (double) (messages.get() - messagesBefore) / MEASURE_SECONDS / dataPlanes;
        List<Long> latenciesMillis = new ArrayList<>();
        for (int revision = 2; revision < 2 + CHANGES; revision++) {
            receivedByAll = new CompletableFuture<>();
            pendingDataPlanes.set(dataPlanes);
            configure(revision).get(10, TimeUnit.SECONDS);
            long startNanos = System.nanoTime();
            receivedByAll.get(20, TimeUnit.SECONDS);
            latenciesMillis.add((System.nanoTime() - startNanos) / 1_000_000);
        }
        Collections.sort(latenciesMillis);
        double peakMb = 0;
        for (int i = 0; i < IPS.length; i++) {
            peakMb = Math.max(peakMb, processes.peakMb(i));
        }
        return new Row(
                dataPlanes,
                bytesEach,
                messagesEach,
                cpuShare,
                latenciesMillis.get(latenciesMillis.size() - 1),
                peakMb);
    }

    private CompletableFuture<Environment.HttpResponse> configure(long revision) {
        JsonArray routes = Json.array().asArray();
        JsonArray services = Json.array().asArray();
        for (int database = 0; database < databases; database++) {
            services.add(
                    Json.object()
                            .add("name", "db" + database)
                            .add("connection_limit", 100)
                            .add("synchronous_replicas", 1));
            routes.add(
                    Json.object()
                            .add("name", "r" + database)
                            .add("host_name", "h" + database)
                            .add("path_prefix", "/")
                            .add("route_kind", "primary")
                            .add("timeout_ms", 1_000 + revision)
                            .add("priority", 1)
                            .add("service", "db" + database));
        }
        JsonValue body =
                Json.object()
                        .add("revision_number", revision)
                        .add("routes", routes)
                        .add("services", services);
        CompletableFuture<Environment.HttpResponse> accepted = new CompletableFuture<>();
        send(body.toString(), MAX_ATTEMPTS, accepted);
        return accepted;
    }

    /** As an operator does: one that got no clear answer goes again as it was. */
    private void send(
            String body, int attemptsLeft, CompletableFuture<Environment.HttpResponse> accepted) {
        environment
                .post(
                        processes.controlAddress(attemptsLeft),
                        "/Configuration.Replace",
                        body,
                        Map.of(),
                        8_000)
                .whenComplete(
                        (response, error) -> {
                            if (error == null && response.status() == 200) {
                                accepted.complete(response);
                            } else if (attemptsLeft == 0
                                    || error == null && response.status() < 500) {
                                accepted.completeExceptionally(
                                        error == null
                                                ? new IllegalStateException(
                                                        "status " + response.status())
                                                : error);
                            } else {
                                environment.schedule(
                                        100, () -> send(body, attemptsLeft - 1, accepted));
                            }
                        });
    }

    private void scheduleHeartbeats(
            String id, String address, String service, boolean isPrimary, long delayMillis) {
        environment.schedule(
                delayMillis,
                () -> {
                    String body =
                            Json.object()
                                    .add("service", service)
                                    .add("address", address)
                                    .add("zone_name", "z")
                                    .add("state", "ready")
                                    .add("database_role", isPrimary ? "primary" : "replica")
                                    .add("call_sequence", environment.nowMillis())
                                    .toString();
                    environment.post(
                            processes.controlAddress(environment.random().nextInt(IPS.length)),
                            "/Instances.Heartbeat/" + id,
                            body,
                            Map.of(),
                            1_000);
                    scheduleHeartbeats(id, address, service, isPrimary, HEARTBEAT_MS);
                });
    }

    /** A front that asks for news, and keeps nothing but what it has. */
    private final class StubDataPlane implements Environment.ConnectionListener {
        private final int number;
        private Environment.Connection connection;
        private String peerIncarnation = "";
        private long tableVersion;
        private long requestNumber;
        private long recordNumber = -1;
        private long suspicionVersion = -1;
        private byte[] configuration = new byte[0];
        private boolean digestSent;

        StubDataPlane(int number) {
            this.number = number;
        }

        void connect() {
            connection =
                    environment.connect(
                            processes.internalAddress(number),
                            Environment.Framing.FRAMES,
                            1_000,
                            this);
        }

        @Override
        public void onOpen(Environment.Connection opened) {
            connection = opened;
            requestUpdates();
        }

        private void requestUpdates() {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("t", "news");
            fields.put("n", "front-" + number);
            fields.put("q", ++requestNumber);
            fields.put("b", peerIncarnation);
            fields.put("r", tableVersion);
            fields.put("c", receivedRevisions[number]);
            if (!digestSent) {
                digestSent = true;
                fields.put("cd", BinaryDelta.digest(configuration));
            }
            fields.put("k", recordNumber);
            fields.put("sn", suspicionVersion);
            byte[] message = MessageCodec.encode(fields);
            bytes.addAndGet(message.length + 4L);
            messages.incrementAndGet();
            connection.send(message);
        }

        @Override
        public void onMessage(byte[] message) {
            bytes.addAndGet(message.length + 4L);
            messages.incrementAndGet();
            try {
                MessageCodec.Fields fields = MessageCodec.decode(message);
                if (fields.has("b")) {
                    peerIncarnation = fields.string("b");
                    tableVersion = fields.number("r", 0);
                }
                suspicionVersion = fields.number("sn", suspicionVersion);
                fields.maps("p")
                        .forEach(row -> recordNumber = Math.max(recordNumber, row.number("k", 0)));
                if (fields.has("cb")) {
                    // Of a text that sends each configuration whole.
                    configuration = fields.bytes("cb");
                    receivedRevisions[number] = Configuration.parse(configuration).revision();
                    if (pendingDataPlanes.decrementAndGet() == 0) {
                        receivedByAll.complete(null);
                    }
                } else if (fields.has("cv")) {
                    configuration =
                            fields.has("cx")
                                    ? BinaryDelta.apply(configuration, fields.bytes("cx"))
                                    : Compression.decompress(
                                            fields.bytes("cz"), BinaryDelta.MAX_BYTES);
                    receivedRevisions[number] = fields.number("cv", -1);
                    digestSent = false;
                    if (pendingDataPlanes.decrementAndGet() == 0) {
                        receivedByAll.complete(null);
                    }
                }
                if (fields.number("q", -1) == requestNumber && fields.flag("alone")) {
                    // A real one would go on to another; this one asks the same again.
                    environment.schedule(100, this::requestUpdates);
                } else if (fields.number("q", -1) == requestNumber) {
                    requestUpdates();
                }
            } catch (MessageCodec.MalformedMessageException
                    | BinaryDelta.InvalidDeltaException
                    | Compression.CorruptDataException
                    | Configuration.InvalidConfigurationException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void onClose(String reason) {
            environment.schedule(200, this::connect);
        }
    }

    private void close() throws IOException, InterruptedException {
        processes.close();
        environment
                .eventLoop()
                .parent()
                .shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
                .await(3, TimeUnit.SECONDS);
    }
}
