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
 * Counts the cost of one transaction on the warm router thread: bytes allocated on the heap,
 * buffers allocated, read and write system calls, and bytes through them. Counts do not depend on
 * the speed of the machine, except for a few heartbeats between the transactions. Requires a
 * separate JVM with the thread caches of the allocator off, since buffers from these caches are not
 * counted. Prints one line.
 */
public final class TransactionCostCounter {

    private static final int WARM_UP_TRANSACTIONS = 700;
    private static final int COUNTED_TRANSACTIONS = 500;

    /**
     * Nodes that respond at once would make the router expect that, so that the shortest delay
     * would look like a fault.
     */
    private static final long NODE_WORK_MICROS = 4_000;

    /**
     * Connections idle after a response, so a client without pauses would need one for each
     * transaction.
     */
    private static final long CLIENT_PAUSE_NANOS = 1_500_000;

    private final ThreadMXBean threadBean = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private final Path ioStatsFile;
    private final long routerThreadId;

    private TransactionCostCounter() throws IOException {
        Path ioFile = null;
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(Path.of("/proc/self/task"))) {
            for (Path task : tasks) {
                ioFile =
                        Files.readString(task.resolve("comm")).startsWith("router-")
                                ? task.resolve("io")
                                : ioFile;
            }
        }
        ioStatsFile = ioFile;
        long threadId = -1;
        for (java.lang.management.ThreadInfo info :
                threadBean.getThreadInfo(threadBean.getAllThreadIds())) {
            threadId =
                    info != null && info.getThreadName().startsWith("router-")
                            ? info.getThreadId()
                            : threadId;
        }
        routerThreadId = threadId;
        if (ioStatsFile == null || threadId < 0) {
            throw new IOException("no router thread found");
        }
    }

    /** Returns the totals so far: heap bytes, buffers, reads, writes, bytes read, bytes written. */
    private long[] snapshot() throws IOException {
        long buffers = 0;
        for (PoolArenaMetric arena : PooledByteBufAllocator.DEFAULT.metric().directArenas()) {
            buffers += arena.numAllocations();
        }
        long[] counts = {threadBean.getThreadAllocatedBytes(routerThreadId), buffers, 0, 0, 0, 0};
        for (String line : Files.readAllLines(ioStatsFile)) {
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

    /** Returns the cost per counted transaction, in the order of snapshot(). */
    private double[] costPerTransaction(
            StubBackends.LoadClient client, String type, int bytes, int warmUp, int counted)
            throws IOException {
        for (int i = 0; i < warmUp; i++) {
            client.request(type, bytes);
            LockSupport.parkNanos(CLIENT_PAUSE_NANOS);
        }
        long[] before = snapshot();
        for (int i = 0; i < counted; i++) {
            if (!client.request(type, bytes)) {
                throw new IOException("a transaction returned no row");
            }
            LockSupport.parkNanos(CLIENT_PAUSE_NANOS);
        }
        long[] after = snapshot();
        double[] cost = new double[after.length];
        for (int i = 0; i < cost.length; i++) {
            cost[i] = (after[i] - before[i]) / (double) counted;
        }
        return cost;
    }

    static String measure() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        try (StubBackends backends = new StubBackends(NODE_WORK_MICROS)) {
            RouterServer daemon =
                    new RouterServer(
                            RouterConfig.read(
                                    new ByteArrayInputStream(
                                            backends.config(port, 8)
                                                    .getBytes(StandardCharsets.US_ASCII))),
                            new Log(new PrintStream(OutputStream.nullOutputStream())));
            daemon.start();
            TransactionCostCounter counts = new TransactionCostCounter();
            StringBuilder line = new StringBuilder();
            try (StubBackends.LoadClient client = backends.new LoadClient(port, 1)) {
                // Connections idle after a response, so a fast client uses several; all of them are
                // open after the warm-up.
                double[] small =
                        counts.costPerTransaction(
                                client,
                                "post-movement",
                                100,
                                WARM_UP_TRANSACTIONS,
                                COUNTED_TRANSACTIONS);
                double[] large =
                        counts.costPerTransaction(
                                client,
                                "history",
                                200_000,
                                WARM_UP_TRANSACTIONS / 5,
                                COUNTED_TRANSACTIONS / 5);
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
            System.out.println(measure());
            status = 0;
        } catch (Exception failure) {
            System.err.println("counts: " + failure.getMessage());
        } finally {
            // The router's thread would keep the process alive.
            System.exit(status);
        }
    }
}
