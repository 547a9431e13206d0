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
 * Measures the capacity of the control plane: three real control-plane processes on loopback, with
 * stub data planes and stub database servers in this process that request updates and send
 * heartbeats as the real ones do, and nothing else. Reports the traffic per data plane and the
 * resource usage of the control plane at three sizes.
 */
public final class CapacityMeasure {

    private static final int INNER = 17_400;
    private static final int CONTROL = 17_300;
    private static final String[] IPS = ControlPlaneProcesses.IPS;
    private static final long BEAT_MS = ControlPlaneProcesses.HEARTBEAT_MS;

    /** Port of all stub database servers, each at an address of its own. */
    private static final int HOLLOW = 17_500;

    private static final int CALM_S = 6;
    private static final int SETTLE_S = 4;
    private static final int CHANGES = 5;
    private static final int TRIES = 60;

    private final NettyEnvironment host = new NettyEnvironment(1);
    private final ControlPlaneProcesses processes =
            new ControlPlaneProcesses(
                    "capacity",
                    CONTROL,
                    INNER,
                    "-Xmx192m",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-jar",
                    "target/dillfront.jar");
    private final AtomicLong bytes = new AtomicLong();
    private final AtomicLong messages = new AtomicLong();
    private final int fronts;
    private final int databases;
    private final long[] versions;
    private final AtomicInteger waiting = new AtomicInteger();
    private CompletableFuture<Void> everywhere = new CompletableFuture<>();

    private CapacityMeasure(int fronts) throws IOException {
        this.fronts = fronts;
        databases = fronts / 4;
        versions = new long[fronts];
    }

    private record Row(
            int fronts, double bytes, double messages, double share, long configMs, double mb) {}

    /** Prints one line of results for each number of data planes. */
    public static void main(String[] args) throws Exception {
        List<Row> rows = new ArrayList<>();
        for (int fronts : new int[] {50, 200, 800}) {
            CapacityMeasure one = new CapacityMeasure(fronts);
            try {
                rows.add(one.run());
                System.err.println(rows.get(rows.size() - 1));
            } finally {
                one.end();
            }
        }
        Row small = rows.get(0);
        Row large = rows.get(rows.size() - 1);
        double sizes = Math.log((double) large.fronts() / small.fronts());
        double growth =
                Math.pow(
                        10,
                        Math.log(Math.max(1e-6, large.share()) / Math.max(1e-6, small.share()))
                                / sizes);
        for (Row r : rows) {
            System.out.printf(
                    "capacity: routers=%d bytes_a_router=%.0f messages_a_router=%.2f control_core_share=%.4f config_ms_p99=%d "
                            + "control_mb=%.0f growth_10x=%.1f%n",
                    r.fronts(), r.bytes(), r.messages(), r.share(), r.configMs(), r.mb(), growth);
        }
        System.exit(0);
    }

    /** Stub database server that always reports the role of primary. */
    private static final class Server implements Environment.ConnectionListener {
        private Environment.Connection link;

        @Override
        public void onOpen(Environment.Connection opened) {
            link = opened;
        }

        @Override
        public void onMessage(byte[] message) {
            String line = new String(message, StandardCharsets.US_ASCII);
            link.send(
                    (line.startsWith("CONNECT")
                                    ? "READY I 1.1"
                                    : "ROW primary 1 1.1 0 0 0 1\r\nCOMPLETE -\r\nREADY I 1.1")
                            .getBytes(StandardCharsets.US_ASCII));
        }

        @Override
        public void onClose(String why) {
            // The control plane reconnects.
        }
    }

    private Row run() throws Exception {
        host.listen("0.0.0.0:" + HOLLOW, Environment.Framing.LINES, h -> new Server());
        processes.start(true);
        TimeUnit.MILLISECONDS.sleep(1_500);
        configure(1).get(10, TimeUnit.SECONDS);
        host.eventLoop()
                .submit(
                        () -> {
                            for (int i = 0; i < fronts; i++) {
                                new Front(i).dial();
                            }
                            for (int d = 0; d < databases; d++) {
                                for (int s = 0; s < 3; s++) {
                                    beats(
                                            "i-" + d + "-" + s,
                                            "127.1." + d + "." + (10 + s) + ":" + HOLLOW,
                                            "db" + d,
                                            s == 0,
                                            host.random().nextInt((int) BEAT_MS));
                                }
                            }
                        })
                .get();
        TimeUnit.SECONDS.sleep(SETTLE_S);
        long cpu = processes.cpuNanos();
        long b = bytes.get();
        long m = messages.get();
        TimeUnit.SECONDS.sleep(CALM_S);
        double share = (processes.cpuNanos() - cpu) / 1e9 / CALM_S / IPS.length;
        double bytesEach = (double) (bytes.get() - b) / CALM_S / fronts;
        double messagesEach = (double) (messages.get() - m) / CALM_S / fronts;
        List<Long> took = new ArrayList<>();
        for (int v = 2; v < 2 + CHANGES; v++) {
            everywhere = new CompletableFuture<>();
            waiting.set(fronts);
            configure(v).get(10, TimeUnit.SECONDS);
            long from = System.nanoTime();
            everywhere.get(20, TimeUnit.SECONDS);
            took.add((System.nanoTime() - from) / 1_000_000);
        }
        Collections.sort(took);
        double mb = 0;
        for (int i = 0; i < IPS.length; i++) {
            mb = Math.max(mb, processes.peakMb(i));
        }
        return new Row(fronts, bytesEach, messagesEach, share, took.get(took.size() - 1), mb);
    }

    private CompletableFuture<Environment.HttpResponse> configure(long version) {
        JsonArray routes = Json.array().asArray();
        JsonArray services = Json.array().asArray();
        for (int d = 0; d < databases; d++) {
            services.add(
                    Json.object()
                            .add("name", "db" + d)
                            .add("connection_limit", 100)
                            .add("synchronous_replicas", 1));
            routes.add(
                    Json.object()
                            .add("name", "r" + d)
                            .add("host_name", "h" + d)
                            .add("path_prefix", "/")
                            .add("route_kind", "primary")
                            .add("timeout_ms", 1_000 + version)
                            .add("priority", 1)
                            .add("service", "db" + d));
        }
        JsonValue body =
                Json.object()
                        .add("revision_number", version)
                        .add("routes", routes)
                        .add("services", services);
        CompletableFuture<Environment.HttpResponse> taken = new CompletableFuture<>();
        send(body.toString(), TRIES, taken);
        return taken;
    }

    /**
     * Sends the configuration as an operator does: a call without a definite answer is repeated
     * unchanged.
     */
    private void send(String body, int tries, CompletableFuture<Environment.HttpResponse> taken) {
        host.post(processes.controlAddress(tries), "/Configuration.Replace", body, Map.of(), 8_000)
                .whenComplete(
                        (is, fault) -> {
                            if (fault == null && is.status() == 200) {
                                taken.complete(is);
                            } else if (tries == 0 || fault == null && is.status() < 500) {
                                taken.completeExceptionally(
                                        fault == null
                                                ? new IllegalStateException("status " + is.status())
                                                : fault);
                            } else {
                                host.schedule(100, () -> send(body, tries - 1, taken));
                            }
                        });
    }

    private void beats(String id, String address, String service, boolean leads, long in) {
        host.schedule(
                in,
                () -> {
                    String body =
                            Json.object()
                                    .add("service", service)
                                    .add("address", address)
                                    .add("zone_name", "z")
                                    .add("state", "ready")
                                    .add("database_role", leads ? "primary" : "replica")
                                    .add("call_sequence", host.nowMillis())
                                    .toString();
                    host.post(
                            processes.controlAddress(host.random().nextInt(IPS.length)),
                            "/Instances.Heartbeat/" + id,
                            body,
                            Map.of(),
                            1_000);
                    beats(id, address, service, leads, BEAT_MS);
                });
    }

    /** Stub data plane that requests updates and stores only the current configuration. */
    private final class Front implements Environment.ConnectionListener {
        private final int number;
        private Environment.Connection link;
        private String boot = "";
        private long has;
        private long question;
        private long record = -1;
        private long suspects = -1;
        private byte[] body = new byte[0];
        private boolean told;

        Front(int number) {
            this.number = number;
        }

        void dial() {
            link = host.connect(processes.internalAddress(number), Environment.Framing.FRAMES, 1_000, this);
        }

        @Override
        public void onOpen(Environment.Connection opened) {
            link = opened;
            ask();
        }

        private void ask() {
            Map<String, Object> out = new LinkedHashMap<>();
            out.put("t", "news");
            out.put("n", "front-" + number);
            out.put("q", ++question);
            out.put("b", boot);
            out.put("r", has);
            out.put("c", versions[number]);
            if (!told) {
                told = true;
                out.put("cd", BinaryDelta.digest(body));
            }
            out.put("k", record);
            out.put("sn", suspects);
            byte[] message = MessageCodec.encode(out);
            bytes.addAndGet(message.length + 4L);
            messages.incrementAndGet();
            link.send(message);
        }

        @Override
        public void onMessage(byte[] message) {
            bytes.addAndGet(message.length + 4L);
            messages.incrementAndGet();
            try {
                MessageCodec.Fields in = MessageCodec.decode(message);
                if (in.has("b")) {
                    boot = in.string("b");
                    has = in.number("r", 0);
                }
                suspects = in.number("sn", suspects);
                in.maps("p").forEach(row -> record = Math.max(record, row.number("k", 0)));
                if (in.has("cb")) {
                    // The measured revision sends each configuration complete.
                    body = in.bytes("cb");
                    versions[number] = Configuration.parse(body).revision();
                    if (waiting.decrementAndGet() == 0) {
                        everywhere.complete(null);
                    }
                } else if (in.has("cv")) {
                    body =
                            in.has("cx")
                                    ? BinaryDelta.apply(body, in.bytes("cx"))
                                    : Compression.decompress(in.bytes("cz"), BinaryDelta.MAX_BYTES);
                    versions[number] = in.number("cv", -1);
                    told = false;
                    if (waiting.decrementAndGet() == 0) {
                        everywhere.complete(null);
                    }
                }
                if (in.number("q", -1) == question && in.flag("alone")) {
                    // A real data plane would switch to another process; this one repeats the
                    // request at the same process.
                    host.schedule(100, this::ask);
                } else if (in.number("q", -1) == question) {
                    ask();
                }
            } catch (MessageCodec.MalformedMessageException
                    | BinaryDelta.InvalidDeltaException
                    | Compression.CorruptDataException
                    | Configuration.InvalidConfigurationException bad) {
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
