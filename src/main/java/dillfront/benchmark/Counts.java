package dillfront.benchmark;

import com.sun.management.ThreadMXBean;
import dillfront.common.logging.Log;
import dillfront.router.RouterServer;
import dillfront.router.config.RouterConfig;
import io.netty.buffer.PoolArenaMetric;
import io.netty.buffer.PooledByteBufAllocator;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.locks.LockSupport;

/**
 * Counts what one txn costs the router's thread once it is warm: bytes allocated on the heap,
 * buffers taken, system calls that read or write, bytes that went through those. Counts, not times:
 * they are the same on any machine, but for the beat, of which a few come in among the txns. Run in
 * a JVM of its own, with the allocator's thread caches off, since what they hand out is not
 * counted; prints one line.
 */
public final class Counts {

    private static final int WARM = 700;
    private static final int COUNTED = 500;

    /**
     * Nodes that answer at once would make the module expect that: the least silence would be a
     * trouble.
     */
    private static final long WORK_MICROS = 4_000;

    /** Connections rest after an answer: a client that never pauses would need one for each txn. */
    private static final long PAUSE_NANOS = 1_500_000;

    private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private final Path io;
    private final long thread;

    private Counts() throws IOException {
        Path found = null;
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(Path.of("/proc/self/task"))) {
            for (Path task : tasks) {
                found =
                        Files.readString(task.resolve("comm")).startsWith("router-")
                                ? task.resolve("io")
                                : found;
            }
        }
        io = found;
        long id = -1;
        for (java.lang.management.ThreadInfo info :
                threads.getThreadInfo(threads.getAllThreadIds())) {
            id =
                    info != null && info.getThreadName().startsWith("router-")
                            ? info.getThreadId()
                            : id;
        }
        thread = id;
        if (io == null || id < 0) {
            throw new IOException("no thread of the router's is there to be counted");
        }
    }

    /** Heap bytes, buffers, reads, writes, bytes read, bytes written; so far. */
    private long[] now() throws IOException {
        long buffers = 0;
        for (PoolArenaMetric arena : PooledByteBufAllocator.DEFAULT.metric().directArenas()) {
            buffers += arena.numAllocations();
        }
        long[] counts = {threads.getThreadAllocatedBytes(thread), buffers, 0, 0, 0, 0};
        for (String line : Files.readAllLines(io)) {
            long value = Long.parseLong(line.substring(line.indexOf(' ') + 1));
            switch (line.substring(0, line.indexOf(':'))) {
                case "syscr" -> counts[2] = value;
                case "syscw" -> counts[3] = value;
                case "rchar" -> counts[4] = value;
                case "wchar" -> counts[5] = value;
                default -> {}
            }
        }
        return counts;
    }

    /** What one of so many txns cost, each count as above. */
    private double[] each(StandIns.Client client, String type, int bytes, int warm, int counted)
            throws IOException {
        for (int i = 0; i < warm; i++) {
            client.ask(type, bytes);
            LockSupport.parkNanos(PAUSE_NANOS);
        }
        long[] before = now();
        for (int i = 0; i < counted; i++) {
            if (!client.ask(type, bytes)) {
                throw new IOException("a txn was not committed");
            }
            LockSupport.parkNanos(PAUSE_NANOS);
        }
        long[] after = now();
        double[] each = new double[after.length];
        for (int i = 0; i < each.length; i++) {
            each[i] = (after[i] - before[i]) / (double) counted;
        }
        return each;
    }

    static String line() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        try (StandIns round = new StandIns(WORK_MICROS)) {
            RouterServer daemon =
                    new RouterServer(
                            RouterConfig.read(
                                    new ByteArrayInputStream(
                                            round.config(port, 8)
                                                    .getBytes(StandardCharsets.US_ASCII))),
                            new Log(new PrintStream(OutputStream.nullOutputStream())));
            daemon.start();
            Counts counts = new Counts();
            StringBuilder line = new StringBuilder();
            try (StandIns.Client client = round.new Client(port, 1)) {
                // Connections rest after an answer, so several are open; what a quick client needs
                // is there after this.
                double[] small = counts.each(client, "post-movement", 100, WARM, COUNTED);
                double[] large = counts.each(client, "history", 200_000, WARM / 5, COUNTED / 5);
                line.append(
                        String.format(
                                Locale.ROOT,
                                "allocated=%.0f buffers=%.2f reads=%.2f writes=%.2f sent_over_row=%.0f",
                                small[0],
                                small[1],
                                small[2],
                                small[3],
                                small[5]));
                line.append(
                        String.format(
                                Locale.ROOT,
                                " large_allocated=%.0f large_buffers=%.2f large_reads=%.2f large_writes=%.2f",
                                large[0],
                                large[1],
                                large[2],
                                large[3]));
            }
            daemon.stop();
            return line.toString();
        }
    }

    /** Prints one line of results. */
    public static void main(String[] args) throws Exception {
        int status = 1;
        try {
            System.out.println(line());
            status = 0;
        } catch (Exception fault) {
            System.err.println("counts: " + fault.getMessage());
        } finally {
            // The router's thread would keep the process.
            System.exit(status);
        }
    }
}
