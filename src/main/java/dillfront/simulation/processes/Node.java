package dillfront.simulation.processes;

import dillfront.common.network.TerminalHandler;
import dillfront.router.pgwire.FrameException;
import dillfront.router.pgwire.FrameDecoder;
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
 * One member of a group: takes statements, works them off on so many cores, and answers with what
 * it has. It warms up after a start, falls over where it is pushed, lags, hangs, errs, and dies, by
 * the rig's word. On the stage's loop.
 */
public final class Node {

    /** What it does with a statement. */
    public enum Mood {
        WELL,
        HANGS,
        ERRS,
        FULL
    }

    /** How many statements may wait before more are turned away, by core. */
    private static final int QUEUE = 64;

    /** Into so many parts the time is cut over which a push counts. */
    private static final int PARTS = 10;

    final String id;
    final Group group;
    private final Stage stage;
    private final Work work;
    private Channel door;
    private int port;
    private final Set<Talk> talks = new LinkedHashSet<>();
    long startedMs;
    boolean leads;
    private Mood mood = Mood.WELL;
    private double slower = 1;

    /**
     * How far behind the present its data is, while it is no primary; and from when it stands
     * still.
     */
    private long lagMs = 5;

    private long frozenMs = Long.MAX_VALUE;
    private long floorMs;

    /** When each core is free. */
    private final long[] free;

    private long life;
    private boolean tipped;

    /**
     * Work sent in each part of the last time that counts, in core nanoseconds, and the part in
     * use.
     */
    private final double[] sent = new double[PARTS];

    private long part;
    long statements;
    private final List<Long> arrivals = new ArrayList<>();

    /**
     * What nodes of a rig can do.
     *
     * @param cores how many statements at once
     * @param micros what a statement takes on a warm core
     * @param coldFrom the part of that which a node does right after its start
     * @param coldMs until it is warm
     * @param tipMultiple more than so many times what it can do, over tipMs, and it falls over
     */
    public record Work(
            int cores, long micros, double coldFrom, long coldMs, double tipMultiple, long tipMs) {}

    /** A node of this group that listens at once. */
    public Node(Stage stage, String id, Group group, boolean leads, Work work) {
        this.stage = stage;
        this.id = id;
        this.group = group;
        this.leads = leads;
        this.work = work;
        free = new long[work.cores];
        group.members.add(this);
        door = stage.listen(0, Talk::new);
        port = Stage.port(door);
    }

    public Group group() {
        return group;
    }

    /** When each statement came, by System.nanoTime(). */
    public List<Long> arrivals() {
        return stage.call(() -> List.copyOf(arrivals));
    }

    public String id() {
        return id;
    }

    public int port() {
        return port;
    }

    public boolean leads() {
        return leads;
    }

    public boolean up() {
        return door.isOpen();
    }

    public void mood(Mood now) {
        stage.run(() -> mood = now);
    }

    /** Statements take so many times what they do. */
    public void slower(double times) {
        stage.run(() -> slower = times);
    }

    public void lag(long ms) {
        stage.run(() -> lagMs = ms);
    }

    /** Its data stands still from now on, or goes on. */
    public void frozen(boolean now) {
        stage.run(() -> frozenMs = now ? position() : Long.MAX_VALUE);
    }

    /**
     * It takes itself for the primary from now on, or no longer; what its group thinks is the
     * group's affair.
     */
    public void leads(boolean now) {
        stage.run(
                () -> {
                    floorMs = position();
                    leads = now;
                });
    }

    /** Dies at once: connections are reset, new ones refused, what it had begun has not run. */
    public void kill() {
        stage.run(
                () -> {
                    life++;
                    door.close();
                    for (Talk talk : List.copyOf(talks)) {
                        Stage.reset(talk.ctx.channel());
                    }
                    stage.happened(new Happening.Ended(id, true));
                });
        stage.await("a node's door closed", () -> !door.isOpen());
    }

    /** Starts anew on the same port, cold, with its data so far behind what it had. */
    public void start(long lostMs) {
        door = stage.listen(port, Talk::new);
        stage.run(
                () -> {
                    floorMs = 0;
                    startedMs = System.currentTimeMillis();
                    frozenMs = lostMs > 0 ? startedMs - lostMs : Long.MAX_VALUE;
                    Arrays.fill(free, 0);
                    Arrays.fill(sent, 0);
                    tipped = false;
                    stage.happened(new Happening.Started(id));
                });
    }

    /** As if it had been up for long. */
    public void warm() {
        stage.run(
                () -> {
                    startedMs = 0;
                    frozenMs = Long.MAX_VALUE;
                });
    }

    /** In Unix milliseconds: all that was committed before is here. */
    long position() {
        long now = System.currentTimeMillis();
        return leads && frozenMs == Long.MAX_VALUE
                ? now
                : Math.max(floorMs, Math.min(frozenMs, now - lagMs));
    }

    /** The part of a warm node's work that it can do now. */
    private double warmth() {
        double age = (System.currentTimeMillis() - startedMs) / (double) work.coldMs;
        return startedMs == 0 || age >= 1 ? 1 : work.coldFrom + (1 - work.coldFrom) * age;
    }

    /** Counts what is sent to it while it is cold; true once it was too much. */
    private boolean pushed() {
        long now = stage.now() / (work.tipMs * 1_000_000 / PARTS);
        for (; part < now; part++) {
            sent[(int) ((part + 1) % PARTS)] = 0;
            part = now - part > PARTS ? now - PARTS : part;
        }
        sent[(int) (now % PARTS)] += work.micros * 1000.0;
        double warmth = warmth();
        if (warmth < 1) {
            double of =
                    Arrays.stream(sent).sum()
                            / (work.tipMultiple * warmth * work.cores * work.tipMs * 1e6);
            stage.happened(new Happening.Pressed(id, of));
            tipped |= of >= 1;
        }
        return tipped;
    }

    private void statement(Talk talk, String text) {
        statements++;
        arrivals.add(System.nanoTime());
        String life = stage.behind(talk.ctx.channel());
        Statement s = Statement.read(text);
        stage.happened(new Happening.Sent(stage.now(), life, id, startedMs, s.txn, s.type, s.key));
        if (pushed() || mood == Mood.HANGS) {
            return;
        }
        int core = 0;
        for (int i = 1; i < free.length; i++) {
            core = free[i] < free[core] ? i : core;
        }
        long now = stage.now();
        double each = work.micros * 1000 * slower / warmth();
        if (mood == Mood.FULL || free[core] - now > QUEUE * each) {
            talk.error("53300", "full");
            return;
        }
        if (mood == Mood.ERRS) {
            talk.error("XX000", "it broke");
            return;
        }
        free[core] = Math.max(now, free[core]) + (long) each;
        long of = this.life;
        stage.loop()
                .schedule(
                        () -> {
                            if (of == this.life) {
                                done(talk, s);
                            }
                        },
                        free[core] - now,
                        TimeUnit.NANOSECONDS);
    }

    private void done(Talk talk, Statement s) {
        if (s.write && !leads) {
            talk.error("25006", "no primary");
            return;
        }
        long now = System.currentTimeMillis();
        long position = position();
        if (s.write) {
            position = group.commit(this, s, now);
        } else {
            stage.happened(new Happening.Read(id, s.txn, s.type, position, now));
        }
        talk.value(s, position);
    }

    /** What the rig's own clients write, read back. */
    record Statement(String txn, String type, String key, int group, boolean write, int bytes) {

        static Statement read(String text) {
            boolean write = text.startsWith("INSERT");
            String oid = text.substring(text.indexOf('\'') + 1);
            oid = oid.substring(0, oid.indexOf('\''));
            String digits = oid.replaceAll("-.*", "");
            String key = field(text, ",k=");
            return new Statement(
                    field(text, "id="),
                    field(text, ",c="),
                    key.isEmpty() ? oid : key,
                    Integer.parseInt(field(text, ",cluster=")),
                    write,
                    digits.matches("\\d{1,6}") ? Integer.parseInt(digits) : 16);
        }

        private static String field(String text, String name) {
            int at = text.indexOf(name);
            int to = at + name.length();
            while (at >= 0 && to < text.length() && ", ".indexOf(text.charAt(to)) < 0) {
                to++;
            }
            return at < 0 ? "" : text.substring(at + name.length(), to);
        }
    }

    /** A connection: one statement at a time is answered, as routers send them. */
    private final class Talk extends TerminalHandler {

        private final FrameDecoder frames = new FrameDecoder();
        private ChannelHandlerContext ctx;
        private boolean started;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ctx = context;
            talks.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object read) {
            frames.add((ByteBuf) read);
            try {
                for (ByteBuf message = frames.next(); message != null; message = frames.next()) {
                    message(message);
                }
            } catch (FrameException bad) {
                context.close();
            }
        }

        private void message(ByteBuf message) {
            String text =
                    message.toString(
                            message.readerIndex() + 5,
                            Math.max(0, message.readableBytes() - 6),
                            StandardCharsets.US_ASCII);
            message.release();
            if (!started) {
                started = true;
                frames.startupReceived();
                if (mood != Mood.HANGS) {
                    ctx.writeAndFlush(
                            Messages.ready(
                                    Unpooled.buffer().writeByte('R').writeInt(8).writeInt(0)));
                }
            } else if (text.startsWith("SHOW") && mood != Mood.HANGS) {
                ctx.writeAndFlush(
                        Messages.ready(
                                row(
                                        Unpooled.buffer(),
                                        report().getBytes(StandardCharsets.US_ASCII))));
            } else if (!text.startsWith("SHOW")) {
                statement(this, text);
            }
        }

        void error(String code, String why) {
            ctx.writeAndFlush(
                    Messages.ready(
                            Messages.error(
                                    notes(Unpooled.buffer(), position()), false, code, why, null)));
        }

        void value(Statement s, long position) {
            byte[] value = new byte[s.bytes];
            byte[] said = Long.toString(position).getBytes(StandardCharsets.US_ASCII);
            System.arraycopy(said, 0, value, 0, Math.min(said.length, value.length));
            ctx.writeAndFlush(Messages.ready(row(notes(Unpooled.buffer(256), position), value)));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            talks.remove(this);
            frames.release();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private String report() {
        long ms = position();
        return "x0="
                + ms / 1000
                + "."
                + String.valueOf(1000 + ms % 1000).substring(1)
                + ",x1="
                + (leads ? 1 : 0);
    }

    private ByteBuf notes(ByteBuf out, long position) {
        parameter(out, "node_role", leads ? "leader" : "follower");
        parameter(out, "replay_position", Long.toString(position));
        parameter(out, "server_load", report());
        return out;
    }

    private static void parameter(ByteBuf out, String name, String value) {
        out.writeByte('S').writeInt(6 + name.length() + value.length());
        out.writeCharSequence(name + "\0" + value + "\0", StandardCharsets.US_ASCII);
    }

    private static ByteBuf row(ByteBuf out, byte[] value) {
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
