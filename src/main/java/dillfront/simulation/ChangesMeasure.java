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
 * Measures configuration changes: three real control-plane processes on loopback, a stub data plane
 * that only requests updates, and hundreds of changes of a configuration of 300 routes. Reports the
 * bytes that the data plane and a control-plane process receive per change, the latency of a
 * change, and the catch-up time of a process that missed 600 changes. Measures the disk time of
 * such changes first. The first argument is another jar to measure, whose revision may send each
 * configuration complete, or "disk" for the disk measurement alone.
 */
public final class ChangesMeasure {

    private static final int INNER = 17_700;
    private static final int CONTROL = 17_600;
    private static final int ROUTES = 300;
    private static final int CHANGES = 200;
    private static final int AWAY = 600;
    private static final long WITHIN_MS = 30_000;

    private final NettyEnvironment host = new NettyEnvironment(1);
    private final ControlPlaneProcesses processes;
    private final AtomicLong heard = new AtomicLong();
    private final AtomicLong has = new AtomicLong(-1);
    private final List<Long> took = new ArrayList<>();
    private long version;
    private int length;

    private ChangesMeasure(String jar) throws IOException {
        processes =
                new ControlPlaneProcesses(
                        "changes",
                        CONTROL,
                        INNER,
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
        ChangesMeasure one = new ChangesMeasure(args.length > 0 ? args[0] : "target/dillfront.jar");
        try {
            one.disk();
            if (!(args.length > 0 && args[0].equals("disk"))) {
                one.run();
            }
        } finally {
            one.end();
        }
        System.exit(0);
    }

    private void run() throws Exception {
        processes.start(true);
        TimeUnit.MILLISECONDS.sleep(2_500);
        configure();
        host.eventLoop().submit(() -> new Front().dial()).get();
        await(() -> has.get() == version);
        long front = heard.get();
        long read = processes.ioCounter(1, "rchar");
        long written = processes.ioCounter(1, "write_bytes");
        long cpu = processes.cpuNanos(1);
        took.clear();
        for (int i = 0; i < CHANGES; i++) {
            configure();
            TimeUnit.MILLISECONDS.sleep(20);
        }
        await(() -> has.get() == version);
        Collections.sort(took);
        System.out.printf(
                "changes: routes=%d bytes=%d changes=%d front_bytes_a_change=%d control_read_a_change=%d control_disk_a_change=%d "
                        + "control_cpu_ms_a_change=%.1f acknowledged_ms_p50=%d acknowledged_ms_p99=%d%n",
                ROUTES,
                length,
                CHANGES,
                (heard.get() - front) / CHANGES,
                (processes.ioCounter(1, "rchar") - read) / CHANGES,
                (processes.ioCounter(1, "write_bytes") - written) / CHANGES,
                (processes.cpuNanos(1) - cpu) / 1e6 / CHANGES,
                took.get(CHANGES / 2),
                took.get(CHANGES * 99 / 100));
        for (boolean emptied : new boolean[] {false, true}) {
            processes.kill(2, false);
            for (int i = 0; i < AWAY; i++) {
                configure();
            }
            if (emptied) {
                processes.kill(2, true);
            }
            long from = System.nanoTime();
            processes.start(2, false);
            await(() -> status(2).contains("version=" + version + " "));
            System.out.printf(
                    "changes: behind=%d emptied=%b catch_up_ms=%d read=%d peak_mb=%.0f%n",
                    AWAY,
                    emptied,
                    (System.nanoTime() - from) / 1_000_000,
                    processes.ioCounter(2, "rchar"),
                    processes.peakMb(2));
        }
        System.out.println("changes: " + status(0));
    }

    /**
     * Measures the latency of a put and the size of the file for a configuration of about 300 KB,
     * stored as a control-plane process stores it.
     */
    private void disk() throws Exception {
        Path data = Files.createDirectories(processes.folder().resolve("disk"));
        KeyValueStore keep = KeyValueStore.open(data, "measure");
        List<Long> puts = new ArrayList<>();
        long most = 0;
        for (int i = 0; i < AWAY; i++) {
            Map<String, String> texts = new LinkedHashMap<>();
            for (int piece = 0; piece < 19; piece++) {
                texts.put(
                        "piece" + piece,
                        (i + " " + piece + ",").repeat(16_000 / (i + " " + piece + ",").length()));
            }
            long from = System.nanoTime();
            keep.put(texts);
            puts.add((System.nanoTime() - from) / 1_000);
            most = Math.max(most, Files.size(data.resolve("memory.log")));
        }
        Collections.sort(puts);
        Runtime run = Runtime.getRuntime();
        System.out.printf(
                "changes: disk_bytes=%d puts=%d put_us_p50=%d put_us_p99=%d put_us_most=%d file_most=%d heap_most_mb=%d%n",
                19 * 16_000,
                AWAY,
                puts.get(AWAY / 2),
                puts.get(AWAY * 99 / 100),
                puts.get(AWAY - 1),
                most,
                run.maxMemory() >> 20);
    }

    private interface Is {
        boolean so() throws Exception;
    }

    private static void await(Is is) throws Exception {
        long from = System.nanoTime();
        while (!is.so()) {
            if (System.nanoTime() - from > WITHIN_MS * 1_000_000) {
                throw new IllegalStateException("condition not met within " + WITHIN_MS + " ms");
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private String status(int of) {
        try {
            return new String(
                    host.post(processes.controlAddress(of), "/status", "{}", Map.of(), 1_000)
                            .join()
                            .body(),
                    StandardCharsets.UTF_8);
        } catch (CompletionException notYet) {
            return "";
        }
    }

    /**
     * Sends a configuration in which one timeout has changed and in which every tenth revision
     * replaces one route. Retries until the configuration is accepted.
     */
    private void configure() throws Exception {
        version++;
        JsonArray routes = Json.array().asArray();
        JsonArray services = Json.array().asArray();
        for (int i = 0; i < ROUTES; i++) {
            long number = i + ROUTES * (version / 10 > i ? 1 : 0);
            routes.add(
                    Json.object()
                            .add("name", "r-" + Long.toHexString(number * 7_919))
                            .add("host_name", "host" + number * 104_729)
                            .add("path_prefix", "/")
                            .add("route_kind", "read_your_writes")
                            .add("timeout_ms", i == version % ROUTES ? 950 : 800)
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
                        .add("revision_number", version)
                        .add("routes", routes)
                        .add("services", services)
                        .toString();
        length = body.length();
        long from = System.nanoTime();
        for (int tries = 0; tries < 50; tries++) {
            try {
                Environment.HttpResponse answer =
                        host.post(
                                        processes.controlAddress(tries % 2),
                                        "/Configuration.Replace",
                                        body,
                                        Map.of(),
                                        5_000)
                                .join();
                if (answer.status() == 200) {
                    took.add((System.nanoTime() - from) / 1_000_000);
                    return;
                }
            } catch (CompletionException again) {
                // Retry at the next process.
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        throw new IllegalStateException("version " + version + " was not accepted after 50 attempts");
    }

    /**
     * Stub data plane that requests updates from the second process, which receives no
     * configuration calls here, and stores only the configuration bytes.
     */
    private final class Front implements Environment.ConnectionListener {
        private Environment.Connection link;
        private String boot = "";
        private long table;
        private long question;
        private long suspects = -1;
        private byte[] body = new byte[0];
        private boolean told;

        void dial() {
            link = host.connect(processes.internalAddress(1), Environment.Framing.FRAMES, 1_000, this);
        }

        @Override
        public void onOpen(Environment.Connection opened) {
            link = opened;
            ask();
        }

        private void ask() {
            Map<String, Object> out = new LinkedHashMap<>();
            out.put("t", "news");
            out.put("n", "front-1");
            out.put("q", ++question);
            out.put("b", boot);
            out.put("r", table);
            out.put("c", has.get());
            if (!told) {
                told = true;
                out.put("cd", BinaryDelta.digest(body));
            }
            out.put("sn", suspects);
            link.send(MessageCodec.encode(out));
        }

        @Override
        public void onMessage(byte[] message) {
            heard.addAndGet(message.length + 4L);
            try {
                MessageCodec.Fields in = MessageCodec.decode(message);
                if (in.has("b")) {
                    boot = in.string("b");
                    table = in.number("r", 0);
                }
                suspects = in.number("sn", suspects);
                byte[] next =
                        in.has("cb")
                                ? in.bytes("cb")
                                : in.has("cx")
                                        ? BinaryDelta.apply(body, in.bytes("cx"))
                                        : in.has("cz")
                                                ? Compression.decompress(
                                                        in.bytes("cz"), BinaryDelta.MAX_BYTES)
                                                : body;
                if (next != body) {
                    body = next;
                    told = false;
                    has.set(
                            Json.parse(new String(body, StandardCharsets.UTF_8))
                                    .asObject()
                                    .getLong("revision_number", -1));
                }
                if (in.flag("alone")) {
                    host.schedule(100, this::ask);
                } else if (in.number("q", -1) == question) {
                    ask();
                }
            } catch (MessageCodec.MalformedMessageException
                    | BinaryDelta.InvalidDeltaException
                    | Compression.CorruptDataException bad) {
                throw new IllegalStateException(bad);
            }
        }

        @Override
        public void onClose(String why) {
            host.schedule(200, this::dial);
        }
    }

    private void end() throws IOException, InterruptedException {
        processes.close();
        host.eventLoop()
                .parent()
                .shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
                .await(3, TimeUnit.SECONDS);
    }
}
