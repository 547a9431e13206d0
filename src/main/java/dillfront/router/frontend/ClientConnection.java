package dillfront.router.frontend;

import dillfront.common.network.TerminalHandler;
import dillfront.router.exchange.Answer;
import dillfront.router.exchange.Asker;
import dillfront.router.exchange.Exchange;
import dillfront.router.identity.AccessController;
import dillfront.router.identity.Refusal;
import dillfront.router.pgwire.BadFrame;
import dillfront.router.pgwire.BadStatement;
import dillfront.router.pgwire.Frames;
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
final class ClientConnection extends TerminalHandler implements Asker {

    private final Clients clients;
    private final Frames frames = new Frames();
    private ChannelHandlerContext ctx;
    private boolean started;

    /**
     * Where callers are asked: the name given, until it is proven; who is in; whether its txn is
     * out.
     */
    private String user;

    private boolean proving;
    private boolean encrypted;
    private AccessController.Session session;
    private boolean counted;

    /** After a message of the extended protocol, until its Sync. */
    private boolean skipping;

    /** The txn that is out; the connection owes its answer. */
    private Exchange exchange;

    private boolean owes;
    private boolean closed;

    /**
     * Since when it could have sent a whole query: since it came, was answered, or began one after
     * that.
     */
    private long since = System.nanoTime();

    private boolean served;

    /** Of a message that is not whole, as last told. */
    private int told;

    /** How long what was read last may have lain in the socket, and when it was read. */
    private Duration age = Duration.ZERO;

    private long readNanos;

    /** In the clients' line, to be looked at in its turn. */
    boolean inLine;

    ClientConnection(Clients clients) {
        this.clients = clients;
    }

    /** Nothing of a query is here, and no answer is owed; one may be on its way out. */
    boolean quiet() {
        return !owes && frames.waiting() == 0;
    }

    /** And none is on its way out: a close would cut that off. */
    boolean idle() {
        return quiet() && flushed();
    }

    private boolean flushed() {
        ChannelOutboundBuffer out = ctx.channel().unsafe().outboundBuffer();
        return out == null || out.isEmpty();
    }

    boolean owes() {
        return owes;
    }

    long waitedNanos() {
        return System.nanoTime() - since;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        ctx = context;
        clients.opened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object read) {
        if (closed) {
            ((ByteBuf) read).release();
            return;
        }
        if (served && quiet()) {
            since = System.nanoTime();
        }
        if (!owes) {
            age = clients.pace.maxQueryAge(clients.clock.now());
            readNanos = System.nanoTime();
        }
        frames.add((ByteBuf) read);
        clients.line(this);
        // What is written ahead waits with the client once it is more than one query can be.
        if (frames.waiting() > Frames.LONGEST && !closed) {
            ctx.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        clients.line(this);
    }

    /** Looks at what was read: its turn has come. */
    void pump() {
        if (closed) {
            return;
        }
        try {
            while (!closed && !owes && ctx.channel().isWritable()) {
                ByteBuf message = frames.next();
                if (message == null) {
                    break;
                }
                if (started) {
                    message(message);
                } else {
                    startup(message);
                }
            }
        } catch (BadFrame bad) {
            refuse(Messages.VIOLATION, bad.getMessage());
        } catch (RuntimeException fault) {
            // Outside the channel's own events nobody else would tell it: this client alone pays
            // for the fault.
            exceptionCaught(ctx, fault);
        }
        waits();
        if (!closed && frames.waiting() <= Frames.LONGEST && !ctx.channel().config().isAutoRead()) {
            ctx.channel().config().setAutoRead(true);
        }
    }

    private void waits() {
        int before = told;
        told = frames.waiting();
        clients.waits(told - before);
    }

    private void startup(ByteBuf message) {
        int code = message.getInt(message.readerIndex() + 4);
        String name =
                code == Messages.VERSION && clients.callers != null ? Messages.user(message) : null;
        message.release();
        switch (code) {
            case Messages.SSL -> encrypt();
            case Messages.GSS -> ctx.writeAndFlush(ctx.alloc().buffer(1).writeByte('N'));
            case Messages.CANCEL -> close();
            case Messages.VERSION -> {
                started = true;
                frames.typed();
                if (clients.callers != null) {
                    prove(name);
                } else {
                    ctx.writeAndFlush(Messages.welcome(ctx.alloc().buffer(192)));
                }
            }
            default -> refuse("0A000", "protocol version " + (code >>> 16) + "." + (code & 0xffff));
        }
    }

    /**
     * The one byte in the clear that says whether TLS begins; what came with the question would
     * pass for a part of it.
     */
    private void encrypt() {
        ChannelHandler tls = clients.callers == null || encrypted ? null : clients.callers.tls();
        if (tls != null && frames.waiting() > 0) {
            refuse(Messages.VIOLATION, "bytes behind the request for TLS");
            return;
        }
        ctx.writeAndFlush(ctx.alloc().buffer(1).writeByte(tls == null ? 'N' : 'S'));
        if (tls != null) {
            encrypted = true;
            ctx.pipeline().addFirst(tls);
        }
    }

    /**
     * Asks for the token, as a password (AuthenticationCleartextPassword), over TLS alone where
     * there is TLS.
     */
    private void prove(String name) {
        if (clients.callers.tlsAlone() && !encrypted) {
            refuse(Refusal.UNKNOWN.sqlState(), "only over TLS");
            return;
        }
        Duration wait = clients.callers.wait(address(), name);
        if (!wait.isZero()) {
            refuse(
                    Refusal.PENALTY.sqlState(),
                    "failed too often, to be tried again in "
                            + Math.max(1, wait.toMillis())
                            + " ms");
            return;
        }
        user = name;
        proving = true;
        ctx.writeAndFlush(ctx.alloc().buffer(9).writeByte('R').writeInt(8).writeInt(3));
    }

    private String address() {
        return ctx.channel().remoteAddress() instanceof InetSocketAddress at
                ? at.getAddress().getHostAddress()
                : "";
    }

    private void proof(ByteBuf message) {
        if ((char) message.getByte(message.readerIndex()) != 'p' || !proving) {
            message.release();
            refuse(Messages.VIOLATION, "expected a password message");
            return;
        }
        proving = false;
        String token = Messages.password(message);
        message.release();
        // Nothing else is looked at until it is known who this is.
        owes = true;
        clients.callers.enter(
                address(),
                user,
                token,
                new Callers.Entry() {
                    @Override
                    public void entered(AccessController.Session in) {
                        if (closed) {
                            in.close();
                            return;
                        }
                        session = in;
                        owes = false;
                        // Who has proven himself is no stranger.
                        clients.taken(ClientConnection.this);
                        since = System.nanoTime();
                        ctx.writeAndFlush(Messages.welcome(ctx.alloc().buffer(192)));
                        if (frames.waiting() > 0) {
                            clients.line(ClientConnection.this);
                        }
                    }

                    @Override
                    public void refused(Refusal why, String text) {
                        if (!closed) {
                            owes = false;
                            // Why in full stands in the log alone.
                            refuse(why.sqlState(), "not let in: " + why.label());
                        }
                    }
                });
    }

    /** Takes one message over. */
    private void message(ByteBuf message) {
        char type = (char) message.getByte(message.readerIndex());
        if (clients.callers != null && session == null) {
            proof(message);
            return;
        }
        if (type == 'Q' && !skipping) {
            query(message);
            return;
        }
        message.release();
        switch (type) {
            case 'Q', 'H' -> {}
            case 'X' -> close();
            case 'S' -> {
                skipping = false;
                ctx.writeAndFlush(Messages.ready());
            }
            case 'P', 'B', 'D', 'E', 'C' -> {
                if (!skipping) {
                    skipping = true;
                    ctx.writeAndFlush(
                            Messages.error(
                                    ctx.alloc().buffer(128),
                                    false,
                                    Messages.NOT_SUPPORTED,
                                    "only simple queries are served here",
                                    null));
                }
            }
            case 'F' -> {
                if (!skipping) {
                    error(Messages.NOT_SUPPORTED, "no functions are served here", null);
                }
            }
            default -> refuse(Messages.VIOLATION, "unknown message");
        }
    }

    private void query(ByteBuf message) {
        clients.counters.queries++;
        if (Messages.empty(message)) {
            message.release();
            known();
            ctx.writeAndFlush(Messages.emptyQuery(ctx.alloc().buffer(11)));
            return;
        }
        if (clients.leaving()) {
            // It came when this router had said goodbye: no longer than what is out may it go on.
            // Never sent, so harmless.
            message.release();
            clients.counters.declinedWhileStopping++;
            error(Messages.DECLINED, "this router ends, trying again is harmless", null);
            clients.free(this);
            return;
        }
        // From its last byte, or since nothing went before it on this connection.
        Duration waited = age.plusNanos(System.nanoTime() - readNanos);
        Statement statement;
        try {
            statement = Statement.read(message);
        } catch (BadStatement bad) {
            message.release();
            clients.counters.malformedQueries++;
            clients.log.warn("query-out-of-form", "fault", bad.getMessage());
            error(Messages.OUT_OF_FORM, bad.getMessage(), null);
            return;
        }
        if (session != null && !mayTake(statement, message)) {
            return;
        }
        owes = true;
        Exchange taken =
                clients.desk.take(
                        statement, message, this, waited, session == null ? -1 : session.tenant());
        if (taken == null) {
            owes = false;
            uncount();
            message.release();
            clients.counters.malformedQueries++;
            clients.log.warn("query-unknown", "type", statement.type, "group", statement.group);
            error(Messages.OUT_OF_FORM, "unknown type or group, or an id that is open", null);
        } else {
            known();
            exchange = owes ? taken : null;
        }
    }

    /**
     * Whether this session may have this txn begun; if not, it has been told, and the message is
     * gone.
     */
    private boolean mayTake(Statement statement, ByteBuf message) {
        clients.callers.tick();
        int type = clients.desk.type(statement.type);
        Refusal no = session.admit(type, statement.write, statement.group, statement);
        if (no == null) {
            counted = true;
            return true;
        }
        String cause =
                no == Refusal.NO_RIGHT
                        ? session.decidingRule(type, statement.write, statement.group, statement)
                        : "-";
        clients.callers.denied(
                session, no, statement.type, statement.write, statement.group, cause);
        message.release();
        if (no.endsSession()) {
            dismiss(no);
        } else {
            Duration pause = no == Refusal.BUSY ? session.retryDelay() : Duration.ZERO;
            error(
                    no.sqlState(),
                    no == Refusal.BUSY ? "beyond this user's share" : "no right to this",
                    pause.isZero() ? null : Long.toString(Math.max(1, pause.toMillis())));
        }
        return false;
    }

    /** Has it end, where it is idle and no longer let in. */
    void lookAgain() {
        if (session != null && !closed && idle() && session.refusal() != null) {
            dismiss(session.refusal());
        }
    }

    private void dismiss(Refusal why) {
        refuse(why.sqlState(), "no longer let in: " + why.label());
    }

    /** Its txn is over, for its share. */
    private void uncount() {
        if (counted) {
            counted = false;
            session.release();
        }
    }

    private void known() {
        served = true;
        since = System.nanoTime();
        clients.taken(this);
    }

    private void error(String code, String text, String detail) {
        ByteBuf out = ctx.alloc().buffer(160);
        ctx.writeAndFlush(Messages.ready(Messages.error(out, false, code, text, detail)));
    }

    @Override
    public void committed(Answer answer) {
        clients.counters.committed++;
        ByteBuf all = answer.joined();
        if (all != null) {
            ctx.write(all, ctx.voidPromise());
        } else {
            ctx.write(answer.description(), ctx.voidPromise());
            ctx.write(answer.row(), ctx.voidPromise());
            ctx.write(answer.completion(), ctx.voidPromise());
        }
        ctx.writeAndFlush(Messages.ready(), ctx.voidPromise());
        answered();
    }

    @Override
    public void declined(Duration pause) {
        clients.counters.declined++;
        error(
                Messages.DECLINED,
                "declined, trying again is harmless",
                pause.isZero() ? null : Long.toString(Math.max(1, pause.toMillis())));
        answered();
    }

    @Override
    public void rolledBack() {
        clients.counters.rolledBack++;
        error(Messages.ROLLED_BACK, "rolled back, whether it has run is not known", null);
        answered();
    }

    /** What comes next is looked at once the module has returned. */
    private void answered() {
        uncount();
        exchange = null;
        owes = false;
        since = System.nanoTime();
        age = Duration.ZERO;
        readNanos = since;
        clients.free(this);
        if (frames.waiting() > 0) {
            clients.line(this);
        }
    }

    private void refuse(String code, String text) {
        clients.log.warn("client-refused", "fault", text);
        closed = true;
        frames.release();
        waits();
        // Its last words are sent before the end, and what still comes is let go: a close would cut
        // them off.
        ctx.writeAndFlush(Messages.error(ctx.alloc().buffer(128), true, code, text, null))
                .addListener(sent -> clients.closeSoon(this, ctx));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closed = true;
        frames.release();
        waits();
        clients.closed(this);
        owes = false;
        uncount();
        if (session != null) {
            session.close();
            session = null;
        }
        if (exchange != null) {
            clients.counters.abandonedByClient++;
            Exchange out = exchange;
            exchange = null;
            out.left();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // What is no TLS, where TLS was asked for, is the client's fault.
        if (!(cause instanceof IOException) && !(cause.getCause() instanceof IOException)) {
            clients.log.warn("client-connection", "fault", cause);
        }
        context.close();
    }

    void close() {
        closed = true;
        ctx.close();
    }
}
