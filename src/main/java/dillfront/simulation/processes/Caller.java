package dillfront.simulation.processes;

import dillfront.common.network.Sockets;
import dillfront.common.network.TerminalHandler;
import dillfront.router.pgwire.FrameException;
import dillfront.router.pgwire.FrameDecoder;
import dillfront.router.pgwire.Messages;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Clients of one router: each query on a connection of its own that is kept for the next, each with
 * a new id, and what became of it in the record. On the stage's loop.
 */
public final class Caller {

    private final Stage stage;
    private final Router router;
    private final ArrayDeque<Line> free = new ArrayDeque<>();

    /** Those that wait for an answer, by their ids. */
    private final Map<String, Line> out = new HashMap<>();

    private long number;

    Caller(Stage stage, Router router) {
        this.stage = stage;
        this.router = router;
    }

    /** How many wait for an answer. */
    public int waiting() {
        return out.size();
    }

    /**
     * Asks once.
     *
     * @param key what the statement is about; for a referenced txn also its idempotency key
     * @param afterMs when its session last wrote, in Unix milliseconds; 0 where it has not
     * @param then is told how it ended
     */
    public String ask(
            String type,
            int group,
            String key,
            long waitMs,
            long afterMs,
            Consumer<Happening.Answered> then) {
        String txn = router.name() + "-" + ++number;
        Mix.Type row = Mix.type(type);
        String comment =
                " /* id="
                        + txn
                        + ",c="
                        + type
                        + ",d="
                        + waitMs
                        + (row.referenced() ? ",k=" + key : "")
                        + ",cluster="
                        + group
                        + (afterMs > 0 ? ",after=" + afterMs : "")
                        + " */";
        String text =
                row.write()
                        ? "INSERT INTO objects (oid, body) VALUES ('"
                                + key
                                + "', '\\x9f03') RETURNING body"
                                + comment
                        : "SELECT body FROM objects WHERE oid = '" + key + "'" + comment;
        stage.happened(
                new Happening.Asked(
                        stage.now(), txn, type, group, key, waitMs, afterMs, router.life()));
        send(txn, text, then, false);
        return txn;
    }

    private void send(String txn, String text, Consumer<Happening.Answered> then, boolean again) {
        Line line = again ? null : free.poll();
        if (line == null) {
            line = new Line();
            line.dial();
        }
        line.txn = txn;
        line.text = text;
        line.then = then;
        line.again = again;
        line.onNew = line.queries++ == 0;
        out.put(txn, line);
        if (line.up) {
            line.write();
        }
    }

    /** One connection. */
    private final class Line extends TerminalHandler {

        private final FrameDecoder frames = new FrameDecoder(1 << 22);
        private ChannelHandlerContext ctx;
        private boolean up;
        private boolean reached;
        private String txn;
        private String text;
        private Consumer<Happening.Answered> then;
        private boolean again;
        private boolean onNew;
        private int queries;
        private String how;
        private String said = "";

        void dial() {
            ChannelFuture connecting = Sockets.connect(stage.loop(), router.address(), this, 5000);
            if (connecting == null) {
                stage.loop().execute(this::ended);
                return;
            }
            connecting.channel().config().setAllocator(UnpooledByteBufAllocator.DEFAULT);
            connecting.addListener(
                    done -> {
                        if (!done.isSuccess()) {
                            stage.loop().execute(this::ended);
                        }
                    });
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ctx = context;
            reached = true;
            ctx.writeAndFlush(Messages.startup(Unpooled.buffer(64), "worker", "catalog"));
        }

        void write() {
            how = null;
            ctx.writeAndFlush(Messages.query(Unpooled.buffer(256), text));
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object read) {
            frames.add((ByteBuf) read);
            try {
                for (ByteBuf message = frames.next(); message != null; message = frames.next()) {
                    message(message);
                    message.release();
                }
            } catch (FrameException bad) {
                context.close();
            }
        }

        private void message(ByteBuf message) {
            switch (message.getByte(message.readerIndex())) {
                case 'D' -> {
                    int from = message.readerIndex() + 11;
                    said =
                            message.toString(
                                            from,
                                            message.writerIndex() - from,
                                            StandardCharsets.US_ASCII)
                                    .replace("\0", "");
                }
                case 'C' -> how = "committed";
                case 'E' -> {
                    String code = Messages.sqlState(message);
                    how = code.equals("53300") || code.equals("57P03") ? "declined" : "rolled-back";
                    said =
                            message.toString(
                                            message.readerIndex() + 5,
                                            message.readableBytes() - 5,
                                            StandardCharsets.US_ASCII)
                                    .replace('\0', '|');
                }
                case 'Z' -> ready();
                default -> {}
            }
        }

        private void ready() {
            if (!up) {
                up = true;
                if (txn != null) {
                    write();
                }
                return;
            }
            if (txn != null && how != null) {
                free.push(this);
                over(how, said);
            }
        }

        private void over(String ending, String with) {
            Happening.Answered answered = new Happening.Answered(stage.now(), txn, ending, with);
            Consumer<Happening.Answered> told = then;
            txn = null;
            // What the router sent to nodes before it answered may still lie unread there.
            stage.afterNextLook(
                    () -> {
                        out.remove(answered.txn());
                        stage.happened(answered);
                        if (told != null) {
                            told.accept(answered);
                        }
                    });
        }

        /** A kept connection that ends as a query crosses its end: once more, on a new one. */
        private void ended() {
            free.remove(this);
            frames.release();
            if (txn == null) {
                return;
            }
            if (!onNew && !again && how == null) {
                out.remove(txn);
                String once = txn;
                txn = null;
                send(once, text, then, true);
            } else {
                over(reached ? "broken" : "unreached", "");
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            ended();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
