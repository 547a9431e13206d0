package dillfront.router.frontend;

import dillfront.common.network.TerminalHandler;
import dillfront.router.exchange.Exchange;
import dillfront.router.exchange.NodeResponse;
import dillfront.router.exchange.ResponseReceiver;
import dillfront.router.identity.AccessController;
import dillfront.router.identity.Refusal;
import dillfront.router.pgwire.FrameDecoder;
import dillfront.router.pgwire.FrameException;
import dillfront.router.pgwire.Messages;
import dillfront.router.pgwire.Statement;
import dillfront.router.pgwire.StatementFormatException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;

/** One client connection: takes one query at a time and answers it before reading the next. */
final class ClientConnection extends TerminalHandler implements ResponseReceiver {

    private final ClientListener listener;
    private final FrameDecoder decoder = new FrameDecoder();
    private ChannelHandlerContext ctx;
    private boolean started;

    /**
     * Authentication state, if an authenticator is set: the claimed user name until it is verified,
     * the session, and whether its transaction counts against its share.
     */
    private String claimedUser;

    private boolean awaitingPassword;
    private boolean encrypted;
    private AccessController.Session session;
    private boolean countedInShare;

    /** Set after a message of the extended protocol, until its Sync. */
    private boolean skippingUntilSync;

    /** The transaction in flight, whose response is pending. */
    private Exchange exchange;

    private boolean responsePending;
    private boolean closed;

    /**
     * Start of the wait for a complete query: since the connection was accepted, the last response
     * was sent, or a query began after it.
     */
    private long waitingSinceNanos = System.nanoTime();

    private boolean hasServedQuery;

    /** Buffered bytes last reported to the listener. */
    private int reportedBytes;

    /**
     * Upper bound for how long the last data read was in the socket buffer, and when it was read.
     */
    private Duration maxReadAge = Duration.ZERO;

    private long readNanos;

    /** Whether this connection is in the listener's queue. */
    boolean queued;

    ClientConnection(ClientListener clients) {
        this.listener = clients;
    }

    /**
     * Returns whether no part of a query is buffered and no response is pending; the last response
     * may still be unsent.
     */
    boolean isBetweenQueries() {
        return !responsePending && decoder.bufferedBytes() == 0;
    }

    /**
     * Returns whether the connection is between queries and the last response is sent, so that
     * closing it loses nothing.
     */
    boolean isIdle() {
        return isBetweenQueries() && isFlushed();
    }

    private boolean isFlushed() {
        ChannelOutboundBuffer out = ctx.channel().unsafe().outboundBuffer();
        return out == null || out.isEmpty();
    }

    boolean responsePending() {
        return responsePending;
    }

    long waitedNanos() {
        return System.nanoTime() - waitingSinceNanos;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        ctx = context;
        listener.clientConnected(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object data) {
        if (closed) {
            ((ByteBuf) data).release();
            return;
        }
        if (hasServedQuery && isBetweenQueries()) {
            waitingSinceNanos = System.nanoTime();
        }
        if (!responsePending) {
            maxReadAge = listener.loopLag.maxQueryAge(listener.clock.now());
            readNanos = System.nanoTime();
        }
        decoder.add((ByteBuf) data);
        listener.queue(this);
        // Pipelined data stays in the client's socket once more than one maximum query is buffered.
        if (decoder.bufferedBytes() > FrameDecoder.MAX_CLIENT_MESSAGE_BYTES && !closed) {
            ctx.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        listener.queue(this);
    }

    /** Processes buffered messages; called in queue order. */
    void processMessages() {
        if (closed) {
            return;
        }
        try {
            while (!closed && !responsePending && ctx.channel().isWritable()) {
                ByteBuf message = decoder.next();
                if (message == null) {
                    break;
                }
                if (started) {
                    handleMessage(message);
                } else {
                    handleStartup(message);
                }
            }
        } catch (FrameException e) {
            reject(Messages.PROTOCOL_VIOLATION, e.getMessage());
        } catch (RuntimeException e) {
            // Outside of channel events no handler would report the exception; only this client's
            // connection is closed.
            exceptionCaught(ctx, e);
        }
        reportBufferedBytes();
        if (!closed
                && decoder.bufferedBytes() <= FrameDecoder.MAX_CLIENT_MESSAGE_BYTES
                && !ctx.channel().config().isAutoRead()) {
            ctx.channel().config().setAutoRead(true);
        }
    }

    private void reportBufferedBytes() {
        int previous = reportedBytes;
        reportedBytes = decoder.bufferedBytes();
        listener.bufferedBytesChanged(reportedBytes - previous);
    }

    private void handleStartup(ByteBuf message) {
        int code = message.getInt(message.readerIndex() + 4);
        String name =
                code == Messages.PROTOCOL_VERSION && listener.authenticator != null
                        ? Messages.user(message)
                        : null;
        message.release();
        switch (code) {
            case Messages.SSL_REQUEST -> handleTlsRequest();
            case Messages.GSSENC_REQUEST -> ctx.writeAndFlush(ctx.alloc().buffer(1).writeByte('N'));
            case Messages.CANCEL_REQUEST -> close();
            case Messages.PROTOCOL_VERSION -> {
                started = true;
                decoder.startupReceived();
                if (listener.authenticator != null) {
                    requestPassword(name);
                } else {
                    ctx.writeAndFlush(Messages.sessionStart(ctx.alloc().buffer(192)));
                }
            }
            default -> reject("0A000", "protocol version " + (code >>> 16) + "." + (code & 0xffff));
        }
    }

    /**
     * Answers a TLS request with one unencrypted byte. Data sent along with the request is refused,
     * since it would otherwise pass for part of the encrypted stream.
     */
    private void handleTlsRequest() {
        ChannelHandler tlsHandler =
                listener.authenticator == null || encrypted
                        ? null
                        : listener.authenticator.tlsHandler();
        if (tlsHandler != null && decoder.bufferedBytes() > 0) {
            reject(Messages.PROTOCOL_VIOLATION, "bytes behind the request for TLS");
            return;
        }
        ctx.writeAndFlush(ctx.alloc().buffer(1).writeByte(tlsHandler == null ? 'N' : 'S'));
        if (tlsHandler != null) {
            encrypted = true;
            ctx.pipeline().addFirst(tlsHandler);
        }
    }

    /**
     * Requests the token as a password (AuthenticationCleartextPassword); only over TLS if TLS is
     * configured.
     */
    private void requestPassword(String name) {
        if (listener.authenticator.requiresTls() && !encrypted) {
            reject(Refusal.UNKNOWN.sqlState(), "only over TLS");
            return;
        }
        Duration delay = listener.authenticator.retryDelay(address(), name);
        if (!delay.isZero()) {
            reject(
                    Refusal.PENALTY.sqlState(),
                    "failed too often, to be tried again in "
                            + Math.max(1, delay.toMillis())
                            + " ms");
            return;
        }
        claimedUser = name;
        awaitingPassword = true;
        ctx.writeAndFlush(ctx.alloc().buffer(9).writeByte('R').writeInt(8).writeInt(3));
    }

    private String address() {
        return ctx.channel().remoteAddress() instanceof InetSocketAddress socketAddress
                ? socketAddress.getAddress().getHostAddress()
                : "";
    }

    private void handlePassword(ByteBuf message) {
        if ((char) message.getByte(message.readerIndex()) != 'p' || !awaitingPassword) {
            message.release();
            reject(Messages.PROTOCOL_VIOLATION, "expected a password message");
            return;
        }
        awaitingPassword = false;
        String token = Messages.password(message);
        message.release();
        // Nothing else is processed until the client is authenticated.
        responsePending = true;
        listener.authenticator.authenticate(
                address(),
                claimedUser,
                token,
                new ClientAuthenticator.LoginCallback() {
                    @Override
                    public void accepted(AccessController.Session newSession) {
                        if (closed) {
                            newSession.close();
                            return;
                        }
                        session = newSession;
                        responsePending = false;
                        // An authenticated client no longer counts as a new client.
                        listener.queryAccepted(ClientConnection.this);
                        waitingSinceNanos = System.nanoTime();
                        ctx.writeAndFlush(Messages.sessionStart(ctx.alloc().buffer(192)));
                        if (decoder.bufferedBytes() > 0) {
                            listener.queue(ClientConnection.this);
                        }
                    }

                    @Override
                    public void rejected(Refusal refusal, String text) {
                        if (!closed) {
                            responsePending = false;
                            // The full reason is only logged.
                            reject(refusal.sqlState(), "not let in: " + refusal.label());
                        }
                    }
                });
    }

    /** Takes ownership of one message and handles it. */
    private void handleMessage(ByteBuf message) {
        char type = (char) message.getByte(message.readerIndex());
        if (listener.authenticator != null && session == null) {
            handlePassword(message);
            return;
        }
        if (type == 'Q' && !skippingUntilSync) {
            handleQuery(message);
            return;
        }
        message.release();
        switch (type) {
            case 'Q', 'H' -> {}
            case 'X' -> close();
            case 'S' -> {
                skippingUntilSync = false;
                ctx.writeAndFlush(Messages.ready());
            }
            case 'P', 'B', 'D', 'E', 'C' -> {
                if (!skippingUntilSync) {
                    skippingUntilSync = true;
                    ctx.writeAndFlush(
                            Messages.error(
                                    ctx.alloc().buffer(128),
                                    false,
                                    Messages.FEATURE_NOT_SUPPORTED,
                                    "only simple queries are served here",
                                    null));
                }
            }
            case 'F' -> {
                if (!skippingUntilSync) {
                    sendError(Messages.FEATURE_NOT_SUPPORTED, "no functions are served here", null);
                }
            }
            default -> reject(Messages.PROTOCOL_VIOLATION, "unknown message");
        }
    }

    private void handleQuery(ByteBuf message) {
        listener.counters.queries++;
        if (Messages.isBlankQuery(message)) {
            message.release();
            markServed();
            ctx.writeAndFlush(Messages.emptyQuery(ctx.alloc().buffer(11)));
            return;
        }
        if (listener.shuttingDown()) {
            // The query arrived after the shutdown began and was never sent, so a retry is
            // harmless. The connection stays open no longer than its pending response.
            message.release();
            listener.counters.declinedWhileStopping++;
            sendError(Messages.DECLINED, "this router ends, trying again is harmless", null);
            listener.queryAnswered(this);
            return;
        }
        // Time since the last byte was received; data pipelined behind an earlier query counts from
        // that query's response.
        Duration timeSinceReceived = maxReadAge.plusNanos(System.nanoTime() - readNanos);
        Statement statement;
        try {
            statement = Statement.read(message);
        } catch (StatementFormatException e) {
            message.release();
            listener.counters.malformedQueries++;
            listener.log.warn("query-out-of-form", "fault", e.getMessage());
            sendError(Messages.SYNTAX_ERROR, e.getMessage(), null);
            return;
        }
        if (session != null && !isAuthorized(statement, message)) {
            return;
        }
        responsePending = true;
        Exchange newExchange =
                listener.exchangeHandler.begin(
                        statement,
                        message,
                        this,
                        timeSinceReceived,
                        session == null ? -1 : session.tenant());
        if (newExchange == null) {
            responsePending = false;
            releaseShare();
            message.release();
            listener.counters.malformedQueries++;
            listener.log.warn("query-unknown", "type", statement.type, "group", statement.group);
            sendError(Messages.SYNTAX_ERROR, "unknown type or group, or an id that is open", null);
        } else {
            markServed();
            exchange = responsePending ? newExchange : null;
        }
    }

    /**
     * Checks whether the session may run this transaction; if not, sends the error and releases the
     * message.
     */
    private boolean isAuthorized(Statement statement, ByteBuf message) {
        listener.authenticator.tick();
        int type = listener.exchangeHandler.typeIndex(statement.type);
        Refusal refusal = session.admit(type, statement.write, statement.group, statement);
        if (refusal == null) {
            countedInShare = true;
            return true;
        }
        String rule =
                refusal == Refusal.NO_RIGHT
                        ? session.decidingRule(type, statement.write, statement.group, statement)
                        : "-";
        listener.authenticator.transactionDenied(
                session, refusal, statement.type, statement.write, statement.group, rule);
        message.release();
        if (refusal.endsSession()) {
            endSession(refusal);
        } else {
            Duration retryAfter = refusal == Refusal.BUSY ? session.retryDelay() : Duration.ZERO;
            sendError(
                    refusal.sqlState(),
                    refusal == Refusal.BUSY ? "beyond this user's share" : "no right to this",
                    retryAfter.isZero() ? null : Long.toString(Math.max(1, retryAfter.toMillis())));
        }
        return false;
    }

    /** Closes the connection if it is idle and its session is no longer valid. */
    void revalidateSession() {
        if (session != null && !closed && isIdle() && session.refusal() != null) {
            endSession(session.refusal());
        }
    }

    private void endSession(Refusal refusal) {
        reject(refusal.sqlState(), "no longer let in: " + refusal.label());
    }

    /** Releases the transaction from its user's share. */
    private void releaseShare() {
        if (countedInShare) {
            countedInShare = false;
            session.release();
        }
    }

    private void markServed() {
        hasServedQuery = true;
        waitingSinceNanos = System.nanoTime();
        listener.queryAccepted(this);
    }

    private void sendError(String code, String text, String detail) {
        ByteBuf out = ctx.alloc().buffer(160);
        ctx.writeAndFlush(Messages.ready(Messages.error(out, false, code, text, detail)));
    }

    @Override
    public void committed(NodeResponse response) {
        listener.counters.committed++;
        ByteBuf joined = response.joinedSlice();
        if (joined != null) {
            ctx.write(joined, ctx.voidPromise());
        } else {
            ctx.write(response.description(), ctx.voidPromise());
            ctx.write(response.row(), ctx.voidPromise());
            ctx.write(response.completion(), ctx.voidPromise());
        }
        ctx.writeAndFlush(Messages.ready(), ctx.voidPromise());
        responseSent();
    }

    @Override
    public void declined(Duration retryAfter) {
        listener.counters.declined++;
        sendError(
                Messages.DECLINED,
                "declined, trying again is harmless",
                retryAfter.isZero() ? null : Long.toString(Math.max(1, retryAfter.toMillis())));
        responseSent();
    }

    @Override
    public void rolledBack() {
        listener.counters.rolledBack++;
        sendError(Messages.ROLLED_BACK, "rolled back, whether it has run is not known", null);
        responseSent();
    }

    /** Later messages are processed after the routing engine's call has returned. */
    private void responseSent() {
        releaseShare();
        exchange = null;
        responsePending = false;
        waitingSinceNanos = System.nanoTime();
        maxReadAge = Duration.ZERO;
        readNanos = waitingSinceNanos;
        listener.queryAnswered(this);
        if (decoder.bufferedBytes() > 0) {
            listener.queue(this);
        }
    }

    private void reject(String code, String text) {
        listener.log.warn("client-refused", "fault", text);
        closed = true;
        decoder.release();
        reportBufferedBytes();
        // The error is flushed before the close, and further input is read and discarded: an
        // immediate close could reset the connection before the client has read the error.
        ctx.writeAndFlush(Messages.error(ctx.alloc().buffer(128), true, code, text, null))
                .addListener(sent -> listener.closeAfterDelay(this, ctx));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closed = true;
        decoder.release();
        reportBufferedBytes();
        listener.clientDisconnected(this);
        responsePending = false;
        releaseShare();
        if (session != null) {
            session.close();
            session = null;
        }
        if (exchange != null) {
            listener.counters.abandonedByClient++;
            Exchange abandoned = exchange;
            exchange = null;
            abandoned.clientDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // Invalid TLS data is the client's fault and is not logged.
        if (!(cause instanceof IOException) && !(cause.getCause() instanceof IOException)) {
            listener.log.warn("client-connection", "fault", cause);
        }
        context.close();
    }

    void close() {
        closed = true;
        ctx.close();
    }
}
