package dillfront.benchmark;

import dillfront.router.pgwire.Messages;
import dillfront.simulation.processes.DiscoveryAgent;
import dillfront.simulation.processes.DiscoveryCatalog;
import dillfront.simulation.processes.NodeGroup;
import dillfront.simulation.processes.SimulatedNode;
import dillfront.simulation.processes.TestHarness;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;

/**
 * Nodes and discovery of the rig, and clients that wait, to be put round one router that is
 * measured; a node answers each statement with a row of as many bytes as its key says, after a set
 * time.
 */
final class StubBackends implements Closeable {

    static final int GROUPS = 3;
    static final int NODES_PER_GROUP = 4;
    private static final long FIRST_GENERATION = 41;

    /** Nobody waits for a core: what a node costs is its work's time. */
    private static final int MAX_CONCURRENT_STATEMENTS = 256;

    private static final String SETTINGS =
            "{'az':'a','zones':['a','b'],'stepUs':5000,'groupSize':2,"
                    + "'bounds':{'dialTimeoutUs':250000,'maxAttempts':6,'probes':true,'retryAfter':true,"
                    + "'maxRetryAfterUs':2000000,'keepaliveUs':30000000},'charges':{'probe':0.012},"
                    + "'stats':{'how':'inline','fields':['x0','x1']},'classes':["
                    + "{'name':'stock-view','effect':'retryable','targetUs':300000,'deadlineUs':750000,'worth':3.0},"
                    + "{'name':'own-entries','effect':'retryable','targetUs':600000,'deadlineUs':2500000,'worth':2.0},"
                    + "{'name':'history','effect':'retryable','targetUs':300000,'deadlineUs':1000000,'worth':2.0},"
                    + "{'name':'balance-check','effect':'retryable','targetUs':400000,'deadlineUs':1000000,'worth':2.0},"
                    + "{'name':'post-movement','effect':'dedup','dedupScope':'cell','dedupWindowUs':2000000,"
                    + "'targetUs':750000,'deadlineUs':3000000,'worth':6.0,'lateShare':0.3}],"
                    + "'familyInfo':{'classRead':['lag_bound','causal','eventual','strong','mutate'],"
                    + "'classBoundUs':[200000,0,0,0,0],'listRole':'static','guards':'off','tokens':'kept'},"
                    + "'rules':{'coldFrom':0.2,'coldUs':9000000,'tipMultiple':2.0,'tipAfterUs':1000000}}";
    private static final String[] TYPES = {
        "stock-view", "own-entries", "history", "balance-check", "post-movement"
    };

    private final InetAddress loopback = InetAddress.getLoopbackAddress();
    private final TestHarness stage = new TestHarness();
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final List<DiscoveryCatalog.Entry> initialEntries = new ArrayList<>();
    private final DiscoveryCatalog catalogue;
    private final DiscoveryAgent discovery;
    private final AtomicLong ids = new AtomicLong();

    /**
     * @param workMicros how long a node takes for a statement
     */
    StubBackends(long workMicros) {
        SimulatedNode.Capacity work =
                new SimulatedNode.Capacity(MAX_CONCURRENT_STATEMENTS, workMicros, 1, 1, 1, 1000);
        for (int i = 0; i < GROUPS * NODES_PER_GROUP; i++) {
            NodeGroup group =
                    i % NODES_PER_GROUP == 0
                            ? new NodeGroup(stage, i / NODES_PER_GROUP, 0)
                            : nodes.get(i - 1).group();
            SimulatedNode node =
                    new SimulatedNode(stage, "s-" + i, group, i % NODES_PER_GROUP == 0, work);
            node.lag(0);
            nodes.add(node);
            initialEntries.add(
                    new DiscoveryCatalog.Entry(
                            node.id(), i / NODES_PER_GROUP, "a", "ready", 0, node.primary()));
        }
        catalogue = new DiscoveryCatalog(FIRST_GENERATION, initialEntries);
        discovery = new DiscoveryAgent(stage, "discovery", catalogue, this::port);
    }

    private int port(String id) {
        return nodes.get(Integer.parseInt(id.substring(2))).port();
    }

    /** A configuration for a router that listens there. */
    String config(int port, double cores) {
        String entries =
                initialEntries.stream()
                        .map(entry -> DiscoveryAgent.entryJson(entry, port(entry.id())))
                        .collect(Collectors.joining(","));
        return ("{'name':'n0','listen':'127.0.0.1:"
                        + port
                        + "','discovery':'"
                        + TestHarness.HOST
                        + ":"
                        + discovery.port()
                        + "','seed':'8c1f30d27a5be964','limits':{'cores':"
                        + cores
                        + ",'memory_mb':128,'sockets':512},'known':"
                        + "{'generation':"
                        + FIRST_GENERATION
                        + ",'reset':true,'instances':["
                        + entries
                        + "]},'settings':"
                        + SETTINGS
                        + "}")
                .replace('\'', '"');
    }

    /** From now on this node drains, or is ready again; its number runs below GROUPS * MEMBERS. */
    void setLifecycle(int node, String lifecycle) {
        DiscoveryCatalog.Entry entry = initialEntries.get(node);
        stage.run(
                () ->
                        catalogue.update(
                                new DiscoveryCatalog.Entry(
                                        entry.id(),
                                        entry.group(),
                                        entry.zone(),
                                        lifecycle,
                                        0,
                                        entry.primary())));
    }

    /** Waits until the router has the list as it is now, and asks for a newer one. */
    void awaitInstanceListRead() {
        discovery.awaitCurrentSubscriber();
    }

    /** How many statements came to the nodes of this group so far. */
    int arrivalCount(int group) {
        int sum = 0;
        for (int i = 0; i < NODES_PER_GROUP; i++) {
            sum += arrivals(group * NODES_PER_GROUP + i).size();
        }
        return sum;
    }

    /** When each statement of a client came to this node, by System.nanoTime(). */
    List<Long> arrivals(int node) {
        return nodes.get(node).arrivalNanos();
    }

    /** One client that asks for as long as it is let. */
    final class LoadClient implements Closeable {

        private final Socket socket;
        private final DataInputStream in;
        private final int number;

        LoadClient(int port, int number) throws IOException {
            this.number = number;
            socket = new Socket(loopback, port);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(10_000);
            in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
            write(Messages.startup(Unpooled.buffer(), "worker", "catalog"));
            receive();
        }

        /** Asks once, by its number in turn one type or another; true where the value came. */
        boolean request(int turn, int bytes) throws IOException {
            int type = (number + turn) % TYPES.length;
            return request(TYPES[type], bytes);
        }

        boolean request(String type, int bytes) throws IOException {
            send(type, bytes);
            return receive();
        }

        void send(String type, int bytes) throws IOException {
            boolean write = type.equals("post-movement");
            String key = bytes + "-" + number;
            String comment =
                    " /* id="
                            + Long.toHexString(0x9b1f03aa00000000L + ids.incrementAndGet())
                            + ",c="
                            + type
                            + ",d=700"
                            + (write ? ",k=5c0f6e1a2b3d4c59" : "")
                            + ",cluster="
                            + number % GROUPS
                            + " */";
            write(
                    Messages.query(
                            Unpooled.buffer(256),
                            write
                                    ? "INSERT INTO objects (oid, body) VALUES ('"
                                            + key
                                            + "', '\\x9f03') RETURNING body"
                                            + comment
                                    : "SELECT body FROM objects WHERE oid = '"
                                            + key
                                            + "'"
                                            + comment));
        }

        /** Whether something has come that was not heard yet. */
        boolean hasResponse() throws IOException {
            return in.available() > 0;
        }

        private void write(ByteBuf bytes) throws IOException {
            socket.getOutputStream().write(bytes.array(), 0, bytes.readableBytes());
        }

        boolean receive() throws IOException {
            boolean hasRow = false;
            while (true) {
                int type = in.readByte();
                in.skipNBytes(in.readInt() - 4);
                hasRow |= type == 'D';
                if (type == 'Z') {
                    return hasRow;
                }
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /**
     * So many clients, each with a pause after each answer, for so long.
     *
     * @return how many had their value, and how many asked
     */
    long[] runLoad(int port, int clients, long pauseMicros, int bytes, long millis)
            throws IOException, InterruptedException {
        AtomicLong served = new AtomicLong();
        AtomicLong requested = new AtomicLong();
        long endNanos = System.nanoTime() + millis * 1_000_000;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            int number = i;
            Thread thread =
                    new Thread(
                            null,
                            () -> {
                                try (LoadClient client = new LoadClient(port, number)) {
                                    LockSupport.parkNanos(pauseMicros * 1000 * number / clients);
                                    for (int turn = 0; System.nanoTime() < endNanos; turn++) {
                                        requested.incrementAndGet();
                                        served.addAndGet(client.request(turn, bytes) ? 1 : 0);
                                        LockSupport.parkNanos(pauseMicros * 1000);
                                    }
                                } catch (IOException failure) {
                                    // Counted as asked and not served.
                                }
                            },
                            "client",
                            1 << 18);
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return new long[] {served.get(), requested.get()};
    }

    @Override
    public void close() {
        stage.close();
    }
}
