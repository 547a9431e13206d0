package dillfront.router.frontend;

import dillfront.common.network.TerminalHandler;
import dillfront.router.exchange.NodeResponse;
import dillfront.router.exchange.ResponseReceiver;
import dillfront.router.exchange.Exchange;
import dillfront.router.identity.Gate;
import dillfront.router.identity.Refusal;
import dillfront.router.pgwire.FrameException;
import dillfront.router.pgwire.StatementFormatException;
import dillfront.router.pgwire.FrameDecoder;
import dillfront.router.pgwire.Messages;
import dillfront.router.pgwire.Statement;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;

/** One client: queries taken one after another, each answered before the next is looked at. */
final class ClientConnection extends TerminalHandler implements ResponseReceiver {

    private final ClientListener clients;
    private final FrameDecoder decoder = new FrameDecoder();
    private ChannelHandlerContext ctx;
    private boolean started;

    /**
     * Where callers are asked: the name given, until it is proven; who is in; whether its txn is
     * out.
     */
    private String claimedUser;

    private boolean awaitingPassword;
    private boolean encrypted;
    private Gate.Session session;
    private boolean countedInShare;

    /** After a message of the extended protocol, until its Sync. */
    private boolean skippingUntilSync;

    /** The txn that is out; the connection owes its answer. */
    private Exchange exchange;

    private boolean responsePending;
    private boolean closed;

    /**
     * Since when it could have sent a whole query: since it came, was answered, or began one after
     * that.
     */
    private long waitingSinceNanos = System.nanoTime();

    private boolean hasServedQuery;

    /** Of a message that is not whole, as last told. */
    private int reportedBytes;

    /** How long what was read last may have lain in the socket, and when it was read. */
    private Duration maxReadAge = Duration.ZERO;

    private long readNanos;

    /** In the clients' line, to be looked at in its turn. */
    boolean queued;

    ClientConnection(ClientListener clients) {
        this.clients = clients;
    }

    /** Nothing of a query is here, and no answer is owed; one may be on its way out. */
    boolean isBetweenQueries() {
        return !responsePending && decoder.bufferedBytes() == 0;
    }

    /** And none is on its way out: a close would cut that off. */
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
        clients.clientConnected(this);
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
            maxReadAge = clients.loopLag.maxQueryAge(clients.clock.now());
            readNanos = System.nanoTime();
        }
        decoder.add((ByteBuf) data);
        clients.queue(this);
        // What is written ahead waits with the client once it is more than one query can be.
        if (decoder.bufferedBytes() > FrameDecoder.MAX_CLIENT_MESSAGE_BYTES && !closed) {
            ctx.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        clients.queue(this);
    }

    /** Looks at what was read: its turn has come. */
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
            // Outside the channel's own events nobody else would tell it: this client alone pays
            // for the fault.
            exceptionCaught(ctx, e);
        }
        reportBufferedBytes();
        if (!closed && decoder.bufferedBytes() <= FrameDecoder.MAX_CLIENT_MESSAGE_BYTES && !ctx.channel().config().isAutoRead()) {
            ctx.channel().config().setAutoRead(true);
        }
    }

    private void reportBufferedBytes() {
        int previous = reportedBytes;
        reportedBytes = decoder.bufferedBytes();
        clients.bufferedBytesChanged(reportedBytes - previous);
    }

    private void handleStartup(ByteBuf message) {
        int code = message.getInt(message.readerIndex() + 4);
        String name =
                code == Messages.PROTOCOL_VERSION && clients.authenticator != null ? Messages.user(message) : null;
        message.release();
        switch (code) {
            case Messages.SSL_REQUEST -> handleTlsRequest();
            case Messages.GSSENC_REQUEST -> ctx.writeAndFlush(ctx.alloc().buffer(1).writeByte('N'));
            case Messages.CANCEL_REQUEST -> close();
            case Messages.PROTOCOL_VERSION -> {
                started = true;
                decoder.startupReceived();
                if (clients.authenticator != null) {
                    requestPassword(name);
                } else {
                    ctx.writeAndFlush(Messages.sessionStart(ctx.alloc().buffer(192)));
                }
            }
            default -> reject("0A000", "protocol version " + (code >>> 16) + "." + (code & 0xffff));
        }
    }

    /**
     * The one byte in the clear that says whether TLS begins; what came with the question would
     * pass for a part of it.
     */
    private void handleTlsRequest() {
        ChannelHandler tlsHandler = clients.authenticator == null || encrypted ? null : clients.authenticator.tlsHandler();
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
     * Asks for the token, as a password (AuthenticationCleartextPassword), over TLS alone where
     * there is TLS.
     */
    private void requestPassword(String name) {
        if (clients.authenticator.requiresTls() && !encrypted) {
            reject(Refusal.UNKNOWN.code(), "only over TLS");
            return;
        }
        Duration delay = clients.authenticator.retryDelay(address(), name);
        if (!delay.isZero()) {
            reject(
                    Refusal.PENALTY.code(),
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
        // Nothing else is looked at until it is known who this is.
        responsePending = true;
        clients.authenticator.authenticate(
                address(),
                claimedUser,
                token,
                new ClientAuthenticator.LoginCallback() {
                    @Override
                    public void accepted(Gate.Session newSession) {
                        if (closed) {
                            newSession.leave();
                            return;
                        }
                        session = newSession;
                        responsePending = false;
                        // Who has proven himself is no stranger.
                        clients.queryAccepted(ClientConnection.this);
                        waitingSinceNanos = System.nanoTime();
                        ctx.writeAndFlush(Messages.sessionStart(ctx.alloc().buffer(192)));
                        if (decoder.bufferedBytes() > 0) {
                            clients.queue(ClientConnection.this);
                        }
                    }

                    @Override
                    public void rejected(Refusal refusal, String text) {
                        if (!closed) {
                            responsePending = false;
                            // Why in full stands in the log alone.
                            reject(refusal.code(), "not let in: " + refusal.word());
                        }
                    }
                });
    }

    /** Takes one message over. */
    private void handleMessage(ByteBuf message) {
        char type = (char) message.getByte(message.readerIndex());
        if (clients.authenticator != null && session == null) {
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
        clients.counters.queries++;
        if (Messages.isBlankQuery(message)) {
            message.release();
            markServed();
            ctx.writeAndFlush(Messages.emptyQuery(ctx.alloc().buffer(11)));
            return;
        }
        if (clients.shuttingDown()) {
            // It came when this router had said goodbye: no longer than what is out may it go on.
            // Never sent, so harmless.
            message.release();
            clients.counters.turnedAway++;
            sendError(Messages.DECLINED, "this router ends, trying again is harmless", null);
            clients.queryAnswered(this);
            return;
        }
        // From its last byte, or since nothing went before it on this connection.
        Duration timeSinceReceived = maxReadAge.plusNanos(System.nanoTime() - readNanos);
        Statement statement;
        try {
            statement = Statement.read(message);
        } catch (StatementFormatException e) {
            message.release();
            clients.counters.outOfForm++;
            clients.log.warn("query-out-of-form", "fault", e.getMessage());
            sendError(Messages.SYNTAX_ERROR, e.getMessage(), null);
            return;
        }
        if (session != null && !isAuthorized(statement, message)) {
            return;
        }
        responsePending = true;
        Exchange newExchange =
                clients.exchangeHandler.begin(
                        statement, message, this, timeSinceReceived, session == null ? -1 : session.tenant());
        if (newExchange == null) {
            responsePending = false;
            releaseShare();
            message.release();
            clients.counters.outOfForm++;
            clients.log.warn("query-unknown", "type", statement.type, "group", statement.group);
            sendError(Messages.SYNTAX_ERROR, "unknown type or group, or an id that is open", null);
        } else {
            markServed();
            exchange = responsePending ? newExchange : null;
        }
    }

    /**
     * Whether this session may have this txn begun; if not, it has been told, and the message is
     * gone.
     */
    private boolean isAuthorized(Statement statement, ByteBuf message) {
        clients.authenticator.tick();
        int type = clients.exchangeHandler.typeIndex(statement.type);
        Refusal refusal = session.take(type, statement.write, statement.group, statement);
        if (refusal == null) {
            countedInShare = true;
            return true;
        }
        String rule =
                refusal == Refusal.NO_RIGHT
                        ? session.cause(type, statement.write, statement.group, statement)
                        : "-";
        clients.authenticator.transactionDenied(
                session, refusal, statement.type, statement.write, statement.group, rule);
        message.release();
        if (refusal.endsSession()) {
            endSession(refusal);
        } else {
            Duration retryAfter = refusal == Refusal.BUSY ? session.comeBack() : Duration.ZERO;
            sendError(
                    refusal.code(),
                    refusal == Refusal.BUSY ? "beyond this user's share" : "no right to this",
                    retryAfter.isZero() ? null : Long.toString(Math.max(1, retryAfter.toMillis())));
        }
        return false;
    }

    /** Has it end, where it is idle and no longer let in. */
    void revalidateSession() {
        if (session != null && !closed && isIdle() && session.over() != null) {
            endSession(session.over());
        }
    }

    private void endSession(Refusal refusal) {
        reject(refusal.code(), "no longer let in: " + refusal.word());
    }

    /** Its txn is over, for its share. */
    private void releaseShare() {
        if (countedInShare) {
            countedInShare = false;
            session.done();
        }
    }

    private void markServed() {
        hasServedQuery = true;
        waitingSinceNanos = System.nanoTime();
        clients.queryAccepted(this);
    }

    private void sendError(String code, String text, String detail) {
        ByteBuf out = ctx.alloc().buffer(160);
        ctx.writeAndFlush(Messages.ready(Messages.error(out, false, code, text, detail)));
    }

    @Override
    public void committed(NodeResponse response) {
        clients.counters.committed++;
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
        clients.counters.declined++;
        sendError(
                Messages.DECLINED,
                "declined, trying again is harmless",
                retryAfter.isZero() ? null : Long.toString(Math.max(1, retryAfter.toMillis())));
        responseSent();
    }

    @Override
    public void rolledBack() {
        clients.counters.rolledBack++;
        sendError(Messages.ROLLED_BACK, "rolled back, whether it has run is not known", null);
        responseSent();
    }

    /** What comes next is looked at once the module has returned. */
    private void responseSent() {
        releaseShare();
        exchange = null;
        responsePending = false;
        waitingSinceNanos = System.nanoTime();
        maxReadAge = Duration.ZERO;
        readNanos = waitingSinceNanos;
        clients.queryAnswered(this);
        if (decoder.bufferedBytes() > 0) {
            clients.queue(this);
        }
    }

    private void reject(String code, String text) {
        clients.log.warn("client-refused", "fault", text);
        closed = true;
        decoder.release();
        reportBufferedBytes();
        // Its last words are sent before the end, and what still comes is let go: a close would cut
        // them off.
        ctx.writeAndFlush(Messages.error(ctx.alloc().buffer(128), true, code, text, null))
                .addListener(sent -> clients.closeAfterDelay(this, ctx));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closed = true;
        decoder.release();
        reportBufferedBytes();
        clients.clientDisconnected(this);
        responsePending = false;
        releaseShare();
        if (session != null) {
            session.leave();
            session = null;
        }
        if (exchange != null) {
            clients.counters.left++;
            Exchange abandoned = exchange;
            exchange = null;
            abandoned.clientDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable rule) {
        // What is no TLS, where TLS was asked for, is the client's fault.
        if (!(rule instanceof IOException) && !(rule.getCause() instanceof IOException)) {
            clients.log.warn("client-connection", "fault", rule);
        }
        context.close();
    }

    void close() {
        closed = true;
        ctx.close();
    }
}
