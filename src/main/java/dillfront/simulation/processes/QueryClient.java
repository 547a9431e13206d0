package dillfront.simulation.processes;

import dillfront.common.network.Sockets;
import dillfront.common.network.TerminalHandler;
import dillfront.router.pgwire.FrameDecoder;
import dillfront.router.pgwire.FrameException;
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
 * Sends queries to one router and records their outcomes. Each query has a new id and runs on a
 * connection of its own, which is reused afterwards. All calls run on the harness's loop.
 */
public final class QueryClient {

    private final TestHarness harness;
    private final RouterProcess router;
    private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();

    /** Connections that wait for a response, by transaction id. */
    private final Map<String, ClientConnection> pending = new HashMap<>();

    private long queryCount;

    QueryClient(TestHarness harness, RouterProcess router) {
        this.harness = harness;
        this.router = router;
    }

    /** Returns how many queries wait for a response. */
    public int pendingCount() {
        return pending.size();
    }

    /**
     * Sends one query and returns its transaction id.
     *
     * @param key the object of the statement; for a deduplicated transaction also its idempotency
     *     key
     * @param sessionWriteMs when the session last wrote, in Unix milliseconds; 0 if it has not
     * @param callback receives the outcome; may be null
     */
    public String submit(
            String type,
            int group,
            String key,
            long timeoutMs,
            long sessionWriteMs,
            Consumer<Event.QueryEnded> callback) {
        String txn = router.name() + "-" + ++queryCount;
        TransactionMix.TransactionType transactionType = TransactionMix.type(type);
        String comment =
                " /* id="
                        + txn
                        + ",c="
                        + type
                        + ",d="
                        + timeoutMs
                        + (transactionType.isDeduplicated() ? ",k=" + key : "")
                        + ",cluster="
                        + group
                        + (sessionWriteMs > 0 ? ",after=" + sessionWriteMs : "")
                        + " */";
        String queryText =
                transactionType.isWrite()
                        ? "INSERT INTO objects (oid, body) VALUES ('"
                                + key
                                + "', '\\x9f03') RETURNING body"
                                + comment
                        : "SELECT body FROM objects WHERE oid = '" + key + "'" + comment;
        harness.recordEvent(
                new Event.QuerySent(
                        harness.nowNanos(),
                        txn,
                        type,
                        group,
                        key,
                        timeoutMs,
                        sessionWriteMs,
                        router.incarnation()));
        send(txn, queryText, callback, false);
        return txn;
    }

    private void send(
            String txn, String queryText, Consumer<Event.QueryEnded> callback, boolean retried) {
        ClientConnection connection = retried ? null : idle.poll();
        if (connection == null) {
            connection = new ClientConnection();
            connection.connect();
        }
        connection.txn = txn;
        connection.queryText = queryText;
        connection.callback = callback;
        connection.retried = retried;
        connection.firstQuery = connection.queries++ == 0;
        pending.put(txn, connection);
        if (connection.handshakeDone) {
            connection.writeQuery();
        }
    }

    /** Handles one connection to the router. */
    private final class ClientConnection extends TerminalHandler {

        private final FrameDecoder frames = new FrameDecoder(1 << 22);
        private ChannelHandlerContext ctx;
        private boolean handshakeDone;
        private boolean connected;
        private String txn;
        private String queryText;
        private Consumer<Event.QueryEnded> callback;
        private boolean retried;
        private boolean firstQuery;
        private int queries;
        private String outcome;
        private String responseText = "";

        void connect() {
            ChannelFuture connecting =
                    Sockets.connect(harness.loop(), router.address(), this, 5000);
            if (connecting == null) {
                harness.loop().execute(this::onClosed);
                return;
            }
            connecting.channel().config().setAllocator(UnpooledByteBufAllocator.DEFAULT);
            connecting.addListener(
                    result -> {
                        if (!result.isSuccess()) {
                            harness.loop().execute(this::onClosed);
                        }
                    });
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ctx = context;
            connected = true;
            ctx.writeAndFlush(Messages.startup(Unpooled.buffer(64), "worker", "catalog"));
        }

        void writeQuery() {
            outcome = null;
            ctx.writeAndFlush(Messages.query(Unpooled.buffer(256), queryText));
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object read) {
            frames.add((ByteBuf) read);
            try {
                for (ByteBuf message = frames.next(); message != null; message = frames.next()) {
                    handleMessage(message);
                    message.release();
                }
            } catch (FrameException e) {
                context.close();
            }
        }

        private void handleMessage(ByteBuf message) {
            switch (message.getByte(message.readerIndex())) {
                case 'D' -> {
                    int valueStart = message.readerIndex() + 11;
                    responseText =
                            message.toString(
                                            valueStart,
                                            message.writerIndex() - valueStart,
                                            StandardCharsets.US_ASCII)
                                    .replace("\0", "");
                }
                case 'C' -> outcome = "committed";
                case 'E' -> {
                    String code = Messages.sqlState(message);
                    outcome =
                            code.equals("53300") || code.equals("57P03")
                                    ? "declined"
                                    : "rolled-back";
                    responseText =
                            message.toString(
                                            message.readerIndex() + 5,
                                            message.readableBytes() - 5,
                                            StandardCharsets.US_ASCII)
                                    .replace('\0', '|');
                }
                case 'Z' -> onReady();
                default -> {}
            }
        }

        private void onReady() {
            if (!handshakeDone) {
                handshakeDone = true;
                if (txn != null) {
                    writeQuery();
                }
                return;
            }
            if (txn != null && outcome != null) {
                idle.push(this);
                finish(outcome, responseText);
            }
        }

        private void finish(String finalOutcome, String finalText) {
            Event.QueryEnded ended =
                    new Event.QueryEnded(harness.nowNanos(), txn, finalOutcome, finalText);
            Consumer<Event.QueryEnded> finishedCallback = callback;
            txn = null;
            // Nodes may not yet have read the statements that the router sent before its
            // response.
            harness.afterNextPoll(
                    () -> {
                        pending.remove(ended.txn());
                        harness.recordEvent(ended);
                        if (finishedCallback != null) {
                            finishedCallback.accept(ended);
                        }
                    });
        }

        /**
         * Retries the query once on a new connection if a reused connection closed before its
         * response: the query may have crossed the router's close. Otherwise records the query as
         * broken or unreached.
         */
        private void onClosed() {
            idle.remove(this);
            frames.release();
            if (txn == null) {
                return;
            }
            if (!firstQuery && !retried && outcome == null) {
                pending.remove(txn);
                String retriedTxn = txn;
                txn = null;
                send(retriedTxn, queryText, callback, true);
            } else {
                finish(connected ? "broken" : "unreached", "");
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            onClosed();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
