package dillfront.simulation.processes;

import dillfront.common.network.TerminalHandler;
import dillfront.router.pgwire.FrameDecoder;
import dillfront.router.pgwire.FrameException;
import dillfront.router.pgwire.Messages;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Simulates one member of a group: executes statements on a fixed number of cores and returns
 * generated rows. Tests can make the node start cold, become overloaded, lag, hang, fail or crash.
 * All calls run on the harness's loop.
 */
public final class SimulatedNode {

    /** How the node treats statements. */
    public enum Behavior {
        NORMAL,
        HANGING,
        FAILING,
        REJECTING
    }

    /** Statements that may wait for each core before the node rejects more. */
    private static final int MAX_QUEUED_PER_CORE = 64;

    /** Number of slots into which the overload window is divided. */
    private static final int LOAD_WINDOW_SLOTS = 10;

    final String id;
    final NodeGroup group;
    private final TestHarness harness;
    private final Capacity capacity;
    private Channel listener;
    private int port;
    private final Set<RouterConnection> connections = new LinkedHashSet<>();
    long startedMs;
    boolean primary;
    private Behavior behavior = Behavior.NORMAL;
    private double slowdown = 1;

    /** How far the data lags behind the present while the node is a replica. */
    private long lagMs = 5;

    private long frozenPositionMs = Long.MAX_VALUE;
    private long minPositionMs;

    /** When each core becomes free. */
    private final long[] coreFreeNanos;

    private long incarnation;
    private boolean overloaded;

    /** Work received in each slot of the overload window, in core nanoseconds. */
    private final double[] workBySlot = new double[LOAD_WINDOW_SLOTS];

    private long currentSlot;
    long statementCount;
    private final List<Long> arrivalNanos = new ArrayList<>();

    /**
     * Describes what a node can process.
     *
     * @param cores statements that execute in parallel
     * @param statementMicros duration of a statement on a warm core
     * @param initialSpeedFraction speed right after a start, as a fraction of the warm node's
     * @param warmupMs time until the node is warm
     * @param overloadFactor a cold node is overloaded by more than this multiple of what it can
     *     process within overloadWindowMs
     * @param overloadWindowMs time over which that work counts
     */
    public record Capacity(
            int cores,
            long statementMicros,
            double initialSpeedFraction,
            long warmupMs,
            double overloadFactor,
            long overloadWindowMs) {}

    /** Creates a node of this group and opens its listener. */
    public SimulatedNode(
            TestHarness harness, String id, NodeGroup group, boolean primary, Capacity capacity) {
        this.harness = harness;
        this.id = id;
        this.group = group;
        this.primary = primary;
        this.capacity = capacity;
        coreFreeNanos = new long[capacity.cores];
        group.members.add(this);
        listener = harness.listen(0, RouterConnection::new);
        port = TestHarness.port(listener);
    }

    public NodeGroup group() {
        return group;
    }

    /** Returns when each statement arrived, by System.nanoTime(). */
    public List<Long> arrivalNanos() {
        return harness.call(() -> List.copyOf(arrivalNanos));
    }

    public String id() {
        return id;
    }

    public int port() {
        return port;
    }

    public boolean primary() {
        return primary;
    }

    public boolean isListening() {
        return listener.isOpen();
    }

    public void behavior(Behavior newBehavior) {
        harness.run(() -> behavior = newBehavior);
    }

    /** Multiplies the duration of statements by this factor. */
    public void slowdown(double factor) {
        harness.run(() -> slowdown = factor);
    }

    public void lag(long ms) {
        harness.run(() -> lagMs = ms);
    }

    /** Stops the node's data from advancing, or lets it advance again. */
    public void freeze(boolean frozen) {
        harness.run(() -> frozenPositionMs = frozen ? positionMs() : Long.MAX_VALUE);
    }

    /**
     * Makes this node act as the primary or as a replica. Other members are not changed, so a group
     * can have two nodes that act as primary.
     */
    public void primary(boolean nowPrimary) {
        harness.run(
                () -> {
                    minPositionMs = positionMs();
                    primary = nowPrimary;
                });
    }

    /**
     * Crashes the node: connections are reset, new ones are refused, and statements in progress do
     * not take effect.
     */
    public void kill() {
        harness.run(
                () -> {
                    incarnation++;
                    listener.close();
                    for (RouterConnection connection : List.copyOf(connections)) {
                        TestHarness.resetConnection(connection.ctx.channel());
                    }
                    harness.recordEvent(new Event.Ended(id, true));
                });
        harness.await("the node's listener is closed", () -> !listener.isOpen());
    }

    /** Restarts the node on the same port, cold, with its last {@code lostDataMs} of data lost. */
    public void start(long lostDataMs) {
        listener = harness.listen(port, RouterConnection::new);
        harness.run(
                () -> {
                    minPositionMs = 0;
                    startedMs = System.currentTimeMillis();
                    frozenPositionMs = lostDataMs > 0 ? startedMs - lostDataMs : Long.MAX_VALUE;
                    Arrays.fill(coreFreeNanos, 0);
                    Arrays.fill(workBySlot, 0);
                    overloaded = false;
                    harness.recordEvent(new Event.Started(id));
                });
    }

    /** Makes the node warm, as after a long uptime. */
    public void markWarm() {
        harness.run(
                () -> {
                    startedMs = 0;
                    frozenPositionMs = Long.MAX_VALUE;
                });
    }

    /** Returns the position in Unix milliseconds up to which the node has all committed data. */
    long positionMs() {
        long nowMs = System.currentTimeMillis();
        return primary && frozenPositionMs == Long.MAX_VALUE
                ? nowMs
                : Math.max(minPositionMs, Math.min(frozenPositionMs, nowMs - lagMs));
    }

    /** Returns the current speed as a fraction of a warm node's. */
    private double speedFraction() {
        double warmupProgress =
                (System.currentTimeMillis() - startedMs) / (double) capacity.warmupMs;
        return startedMs == 0 || warmupProgress >= 1
                ? 1
                : capacity.initialSpeedFraction
                        + (1 - capacity.initialSpeedFraction) * warmupProgress;
    }

    /** Adds a statement to the load of a cold node and returns whether the node is overloaded. */
    private boolean addLoad() {
        long slot =
                harness.nowNanos() / (capacity.overloadWindowMs * 1_000_000 / LOAD_WINDOW_SLOTS);
        for (; currentSlot < slot; currentSlot++) {
            workBySlot[(int) ((currentSlot + 1) % LOAD_WINDOW_SLOTS)] = 0;
            currentSlot =
                    slot - currentSlot > LOAD_WINDOW_SLOTS ? slot - LOAD_WINDOW_SLOTS : currentSlot;
        }
        workBySlot[(int) (slot % LOAD_WINDOW_SLOTS)] += capacity.statementMicros * 1000.0;
        double speedFraction = speedFraction();
        if (speedFraction < 1) {
            double limitRatio =
                    Arrays.stream(workBySlot).sum()
                            / (capacity.overloadFactor
                                    * speedFraction
                                    * capacity.cores
                                    * capacity.overloadWindowMs
                                    * 1e6);
            harness.recordEvent(new Event.WarmupLoad(id, limitRatio));
            overloaded |= limitRatio >= 1;
        }
        return overloaded;
    }

    private void execute(RouterConnection connection, String sql) {
        statementCount++;
        arrivalNanos.add(System.nanoTime());
        String client = harness.connectionOwner(connection.ctx.channel());
        Statement statement = Statement.read(sql);
        harness.recordEvent(
                new Event.StatementReceived(
                        harness.nowNanos(),
                        client,
                        id,
                        startedMs,
                        statement.txn,
                        statement.type,
                        statement.key));
        if (addLoad() || behavior == Behavior.HANGING) {
            return;
        }
        int core = 0;
        for (int i = 1; i < coreFreeNanos.length; i++) {
            core = coreFreeNanos[i] < coreFreeNanos[core] ? i : core;
        }
        long nowNanos = harness.nowNanos();
        double durationNanos = capacity.statementMicros * 1000 * slowdown / speedFraction();
        if (behavior == Behavior.REJECTING
                || coreFreeNanos[core] - nowNanos > MAX_QUEUED_PER_CORE * durationNanos) {
            connection.sendError("53300", "full");
            return;
        }
        if (behavior == Behavior.FAILING) {
            connection.sendError("XX000", "simulated failure");
            return;
        }
        coreFreeNanos[core] = Math.max(nowNanos, coreFreeNanos[core]) + (long) durationNanos;
        long incarnationAtStart = this.incarnation;
        harness.loop()
                .schedule(
                        () -> {
                            if (incarnationAtStart == this.incarnation) {
                                complete(connection, statement);
                            }
                        },
                        coreFreeNanos[core] - nowNanos,
                        TimeUnit.NANOSECONDS);
    }

    private void complete(RouterConnection connection, Statement statement) {
        if (statement.isWrite && !primary) {
            connection.sendError("25006", "node is not the primary");
            return;
        }
        long nowMs = System.currentTimeMillis();
        long positionMs = positionMs();
        if (statement.isWrite) {
            positionMs = group.commit(this, statement, nowMs);
        } else {
            harness.recordEvent(
                    new Event.ReadServed(id, statement.txn, statement.type, positionMs, nowMs));
        }
        connection.sendRow(statement, positionMs);
    }

    /** A statement as {@link QueryClient} writes it, parsed. */
    record Statement(String txn, String type, String key, int group, boolean isWrite, int bytes) {

        static Statement read(String sql) {
            boolean write = sql.startsWith("INSERT");
            String objectId = sql.substring(sql.indexOf('\'') + 1);
            objectId = objectId.substring(0, objectId.indexOf('\''));
            String digits = objectId.replaceAll("-.*", "");
            String key = field(sql, ",k=");
            return new Statement(
                    field(sql, "id="),
                    field(sql, ",c="),
                    key.isEmpty() ? objectId : key,
                    Integer.parseInt(field(sql, ",cluster=")),
                    write,
                    digits.matches("\\d{1,6}") ? Integer.parseInt(digits) : 16);
        }

        private static String field(String sql, String name) {
            int start = sql.indexOf(name);
            int end = start + name.length();
            while (start >= 0 && end < sql.length() && ", ".indexOf(sql.charAt(end)) < 0) {
                end++;
            }
            return start < 0 ? "" : sql.substring(start + name.length(), end);
        }
    }

    /** Handles one connection. The node answers one statement at a time, as routers send them. */
    private final class RouterConnection extends TerminalHandler {

        private final FrameDecoder frames = new FrameDecoder();
        private ChannelHandlerContext ctx;
        private boolean started;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ctx = context;
            connections.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object read) {
            frames.add((ByteBuf) read);
            try {
                for (ByteBuf message = frames.next(); message != null; message = frames.next()) {
                    handleMessage(message);
                }
            } catch (FrameException e) {
                context.close();
            }
        }

        private void handleMessage(ByteBuf message) {
            String sql =
                    message.toString(
                            message.readerIndex() + 5,
                            Math.max(0, message.readableBytes() - 6),
                            StandardCharsets.US_ASCII);
            message.release();
            if (!started) {
                started = true;
                frames.startupReceived();
                if (behavior != Behavior.HANGING) {
                    ctx.writeAndFlush(
                            Messages.ready(
                                    Unpooled.buffer().writeByte('R').writeInt(8).writeInt(0)));
                }
            } else if (sql.startsWith("SHOW") && behavior != Behavior.HANGING) {
                ctx.writeAndFlush(
                        Messages.ready(
                                writeRow(
                                        Unpooled.buffer(),
                                        statusText().getBytes(StandardCharsets.US_ASCII))));
            } else if (!sql.startsWith("SHOW")) {
                execute(this, sql);
            }
        }

        void sendError(String code, String message) {
            ctx.writeAndFlush(
                    Messages.ready(
                            Messages.error(
                                    writeStatusParameters(Unpooled.buffer(), positionMs()),
                                    false,
                                    code,
                                    message,
                                    null)));
        }

        void sendRow(Statement statement, long positionMs) {
            byte[] value = new byte[statement.bytes];
            byte[] positionText = Long.toString(positionMs).getBytes(StandardCharsets.US_ASCII);
            System.arraycopy(
                    positionText, 0, value, 0, Math.min(positionText.length, value.length));
            ctx.writeAndFlush(
                    Messages.ready(
                            writeRow(
                                    writeStatusParameters(Unpooled.buffer(256), positionMs),
                                    value)));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(this);
            frames.release();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private String statusText() {
        long positionMs = positionMs();
        return "x0="
                + positionMs / 1000
                + "."
                + String.valueOf(1000 + positionMs % 1000).substring(1)
                + ",x1="
                + (primary ? 1 : 0);
    }

    private ByteBuf writeStatusParameters(ByteBuf out, long positionMs) {
        writeParameter(out, "node_role", primary ? "leader" : "follower");
        writeParameter(out, "replay_position", Long.toString(positionMs));
        writeParameter(out, "server_load", statusText());
        return out;
    }

    private static void writeParameter(ByteBuf out, String name, String value) {
        out.writeByte('S').writeInt(6 + name.length() + value.length());
        out.writeCharSequence(name + "\0" + value + "\0", StandardCharsets.US_ASCII);
    }

    private static ByteBuf writeRow(ByteBuf out, byte[] value) {
        out.writeByte('T')
                .writeInt(29)
                .writeShort(1)
                .writeBytes("body\0".getBytes(StandardCharsets.US_ASCII))
                .writeInt(0)
                .writeShort(0)
                .writeInt(17)
                .writeShort(-1)
                .writeInt(-1)
                .writeShort(1);
        out.writeByte('D')
                .writeInt(10 + value.length)
                .writeShort(1)
                .writeInt(value.length)
                .writeBytes(value);
        return out.writeByte('C')
                .writeInt(13)
                .writeBytes("SELECT 1\0".getBytes(StandardCharsets.US_ASCII));
    }
}
