package dillfront.simulation;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import dillfront.common.environment.Environment;
import dillfront.common.environment.NettyEnvironment;
import dillfront.common.message.BinaryDelta;
import dillfront.common.message.Compression;
import dillfront.common.message.MessageCodec;
import dillfront.common.storage.KeyValueStore;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Three real control processes on loopback, a front that only asks, and hundreds of changes of a
 * configuration of 300 routes: what the front and a control process hear for each, how long each
 * takes, and how long a process is behind that was away for 600. Before that, what a disk takes for
 * such changes. The first argument is another jar to measure, which may be of a text that sends
 * each configuration whole, or "disk" for the disk alone.
 */
public final class ChangesMeasure {

    private static final int INTERNAL_PORT = 17_700;
    private static final int CONTROL_PORT = 17_600;
    private static final int ROUTES = 300;
    private static final int CHANGES = 200;
    private static final int MISSED_CHANGES = 600;
    private static final long AWAIT_TIMEOUT_MS = 30_000;

    private final NettyEnvironment environment = new NettyEnvironment(1);
    private final ControlPlaneProcesses processes;
    private final AtomicLong receivedBytes = new AtomicLong();
    private final AtomicLong receivedRevision = new AtomicLong(-1);
    private final List<Long> latenciesMillis = new ArrayList<>();
    private long revision;
    private int configurationBytes;

    private ChangesMeasure(String jar) throws IOException {
        processes =
                new ControlPlaneProcesses(
                        "changes",
                        CONTROL_PORT,
                        INTERNAL_PORT,
                        "-Xms40m",
                        "-Xmx40m",
                        "-Xss256k",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-jar",
                        jar);
    }

    /** Prints one line of results; a full run takes one to two minutes. */
    public static void main(String[] args) throws Exception {
        ChangesMeasure measure =
                new ChangesMeasure(args.length > 0 ? args[0] : "target/dillfront.jar");
        try {
            measure.measureDisk();
            if (!(args.length > 0 && args[0].equals("disk"))) {
                measure.run();
            }
        } finally {
            measure.close();
        }
        System.exit(0);
    }

    private void run() throws Exception {
        processes.start(true);
        TimeUnit.MILLISECONDS.sleep(2_500);
        configure();
        environment.eventLoop().submit(() -> new StubDataPlane().connect()).get();
        await(() -> receivedRevision.get() == revision);
        long bytesBefore = receivedBytes.get();
        long readBefore = processes.ioCounter(1, "rchar");
        long writtenBefore = processes.ioCounter(1, "write_bytes");
        long cpuBefore = processes.cpuNanos(1);
        latenciesMillis.clear();
        for (int i = 0; i < CHANGES; i++) {
            configure();
            TimeUnit.MILLISECONDS.sleep(20);
        }
        await(() -> receivedRevision.get() == revision);
        Collections.sort(latenciesMillis);
        System.out.printf(
                "changes: routes=%d bytes=%d changes=%d front_bytes_a_change=%d control_read_a_change=%d control_disk_a_change=%d "
                        + "control_cpu_ms_a_change=%.1f acknowledged_ms_p50=%d acknowledged_ms_p99=%d%n",
                ROUTES,
                configurationBytes,
                CHANGES,
                (receivedBytes.get() - bytesBefore) / CHANGES,
                (processes.ioCounter(1, "rchar") - readBefore) / CHANGES,
                (processes.ioCounter(1, "write_bytes") - writtenBefore) / CHANGES,
                (processes.cpuNanos(1) - cpuBefore) / 1e6 / CHANGES,
                latenciesMillis.get(CHANGES / 2),
                latenciesMillis.get(CHANGES * 99 / 100));
        for (boolean deleteData : new boolean[] {false, true}) {
            processes.kill(2, false);
            for (int i = 0; i < MISSED_CHANGES; i++) {
                configure();
            }
            if (deleteData) {
                processes.kill(2, true);
            }
            long startNanos = System.nanoTime();
            processes.start(2, false);
            await(() -> status(2).contains("version=" + revision + " "));
            System.out.printf(
                    "changes: behind=%d emptied=%b catch_up_ms=%d read=%d peak_mb=%.0f%n",
                    MISSED_CHANGES,
                    deleteData,
                    (System.nanoTime() - startNanos) / 1_000_000,
                    processes.ioCounter(2, "rchar"),
                    processes.peakMb(2));
        }
        System.out.println("changes: " + status(0));
    }

    /**
     * A configuration of some 300 KB, kept as a control process keeps it: how long a put takes, and
     * how long the file gets.
     */
    private void measureDisk() throws Exception {
        Path data = Files.createDirectories(processes.folder().resolve("disk"));
        KeyValueStore store = KeyValueStore.open(data, "measure");
        List<Long> putMicros = new ArrayList<>();
        long maxFileBytes = 0;
        for (int i = 0; i < MISSED_CHANGES; i++) {
            Map<String, String> entries = new LinkedHashMap<>();
            for (int piece = 0; piece < 19; piece++) {
                entries.put(
                        "piece" + piece,
                        (i + " " + piece + ",").repeat(16_000 / (i + " " + piece + ",").length()));
            }
            long startNanos = System.nanoTime();
            store.put(entries);
            putMicros.add((System.nanoTime() - startNanos) / 1_000);
            maxFileBytes = Math.max(maxFileBytes, Files.size(data.resolve("memory.log")));
        }
        Collections.sort(putMicros);
        Runtime runtime = Runtime.getRuntime();
        System.out.printf(
                "changes: disk_bytes=%d puts=%d put_us_p50=%d put_us_p99=%d put_us_most=%d file_most=%d heap_most_mb=%d%n",
                19 * 16_000,
                MISSED_CHANGES,
                putMicros.get(MISSED_CHANGES / 2),
                putMicros.get(MISSED_CHANGES * 99 / 100),
                putMicros.get(MISSED_CHANGES - 1),
                maxFileBytes,
                runtime.maxMemory() >> 20);
    }

    private interface Condition {
        boolean isMet() throws Exception;
    }

    private static void await(Condition condition) throws Exception {
        long startNanos = System.nanoTime();
        while (!condition.isMet()) {
            if (System.nanoTime() - startNanos > AWAIT_TIMEOUT_MS * 1_000_000) {
                throw new IllegalStateException("not within " + AWAIT_TIMEOUT_MS + " ms");
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private String status(int index) {
        try {
            return new String(
                    environment
                            .post(processes.controlAddress(index), "/status", "{}", Map.of(), 1_000)
                            .join()
                            .body(),
                    StandardCharsets.UTF_8);
        } catch (CompletionException e) {
            return "";
        }
    }

    /**
     * One time-out changes, and every tenth time a route goes and another comes. Sent until it is
     * taken.
     */
    private void configure() throws Exception {
        revision++;
        JsonArray routes = Json.array().asArray();
        JsonArray services = Json.array().asArray();
        for (int i = 0; i < ROUTES; i++) {
            long number = i + ROUTES * (revision / 10 > i ? 1 : 0);
            routes.add(
                    Json.object()
                            .add("name", "r-" + Long.toHexString(number * 7_919))
                            .add("host_name", "host" + number * 104_729)
                            .add("path_prefix", "/")
                            .add("route_kind", "read_your_writes")
                            .add("timeout_ms", i == revision % ROUTES ? 950 : 800)
                            .add("target_latency_ms", 600)
                            .add("priority", 2)
                            .add("service", "service" + i % 40)
                            .add("max_attempts", 2)
                            .add("max_staleness_ms", 2_500));
        }
        for (int i = 0; i < 40; i++) {
            services.add(
                    Json.object()
                            .add("name", "service" + i)
                            .add("health_path", "/health")
                            .add("connection_limit", 68)
                            .add("protocol", "h1")
                            .add("tls_enabled", false)
                            .add("synchronous_replicas", 1));
        }
        String body =
                Json.object()
                        .add("revision_number", revision)
                        .add("routes", routes)
                        .add("services", services)
                        .toString();
        configurationBytes = body.length();
        long startNanos = System.nanoTime();
        for (int attempt = 0; attempt < 50; attempt++) {
            try {
                Environment.HttpResponse response =
                        environment
                                .post(
                                        processes.controlAddress(attempt % 2),
                                        "/Configuration.Replace",
                                        body,
                                        Map.of(),
                                        5_000)
                                .join();
                if (response.status() == 200) {
                    latenciesMillis.add((System.nanoTime() - startNanos) / 1_000_000);
                    return;
                }
            } catch (CompletionException e) {
                // To the next.
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        throw new IllegalStateException("version " + revision + " was not taken");
    }

    /** Asks the second process, which takes no orders here, and keeps the bytes alone. */
    private final class StubDataPlane implements Environment.ConnectionListener {
        private Environment.Connection connection;
        private String peerIncarnation = "";
        private long tableVersion;
        private long requestNumber;
        private long suspicionVersion = -1;
        private byte[] configuration = new byte[0];
        private boolean digestSent;

        void connect() {
            connection =
                    environment.connect(
                            processes.internalAddress(1), Environment.Framing.FRAMES, 1_000, this);
        }

        @Override
        public void onOpen(Environment.Connection opened) {
            connection = opened;
            requestUpdates();
        }

        private void requestUpdates() {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("t", "news");
            fields.put("n", "front-1");
            fields.put("q", ++requestNumber);
            fields.put("b", peerIncarnation);
            fields.put("r", tableVersion);
            fields.put("c", receivedRevision.get());
            if (!digestSent) {
                digestSent = true;
                fields.put("cd", BinaryDelta.digest(configuration));
            }
            fields.put("sn", suspicionVersion);
            connection.send(MessageCodec.encode(fields));
        }

        @Override
        public void onMessage(byte[] message) {
            receivedBytes.addAndGet(message.length + 4L);
            try {
                MessageCodec.Fields fields = MessageCodec.decode(message);
                if (fields.has("b")) {
                    peerIncarnation = fields.string("b");
                    tableVersion = fields.number("r", 0);
                }
                suspicionVersion = fields.number("sn", suspicionVersion);
                byte[] received =
                        fields.has("cb")
                                ? fields.bytes("cb")
                                : fields.has("cx")
                                        ? BinaryDelta.apply(configuration, fields.bytes("cx"))
                                        : fields.has("cz")
                                                ? Compression.decompress(
                                                        fields.bytes("cz"), BinaryDelta.MAX_BYTES)
                                                : configuration;
                if (received != configuration) {
                    configuration = received;
                    digestSent = false;
                    receivedRevision.set(
                            Json.parse(new String(configuration, StandardCharsets.UTF_8))
                                    .asObject()
                                    .getLong("revision_number", -1));
                }
                if (fields.flag("alone")) {
                    environment.schedule(100, this::requestUpdates);
                } else if (fields.number("q", -1) == requestNumber) {
                    requestUpdates();
                }
            } catch (MessageCodec.MalformedMessageException
                    | BinaryDelta.InvalidDeltaException
                    | Compression.CorruptDataException e) {
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
