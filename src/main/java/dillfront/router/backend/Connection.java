package dillfront.router.backend;

import dillfront.common.network.Sockets;
import dillfront.common.network.TerminalHandler;
import dillfront.router.pgwire.BadFrame;
import dillfront.router.pgwire.Frames;
import dillfront.router.pgwire.Messages;
import dillfront.routing.api.NodeRole;
import dillfront.routing.api.SubmissionResult;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** One connection to a node: opened for a call, then carrying one call at a time. */
final class Connection extends TerminalHandler {

    private static final byte[] ROLE = ascii("node_role");
    private static final byte[] POSITION = ascii("replay_position");
    private static final byte[] LOAD = ascii("server_load");
    private static final byte[] LEADER = ascii("leader\0");
    private static final byte[] FOLLOWER = ascii("follower\0");

    private final Fleet fleet;
    private final Pool pool;
    private final InetSocketAddress address;
    private final long openedMs;
    private final Frames frames;
    private Channel channel;
    private ChannelHandlerContext ctx;
    private ScheduledFuture<?> dialing;

    /** While an answer has begun and has not ended. */
    private ScheduledFuture<?> stalling;

    /**
     * Whom it is opened for; it may have gone over another connection by the time this one is up.
     */
    private Call caller;

    private Call call;
    private boolean up;
    private boolean closed;

    /** Since when it could be used; later than now while it rests. */
    long idleSince;

    Connection(Pool pool, Call caller) {
        this.pool = pool;
        this.caller = caller;
        fleet = pool.fleet;
        frames = new Frames(fleet.longest);
        address = pool.address;
        openedMs = fleet.clock.unixMillis();
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    void open() {
        fleet.opened(this);
        ChannelFuture connecting =
                Sockets.connect(
                        fleet.loop,
                        address,
                        this,
                        (int) fleet.setup.settings().connectTimeout().toMillis() + 1);
        if (connecting == null) {
            close();
            return;
        }
        channel = connecting.channel();
        fleet.counters.timers++;
        dialing =
                fleet.loop.schedule(
                        this::close,
                        fleet.setup.settings().connectTimeout().toNanos(),
                        TimeUnit.NANOSECONDS);
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        close();
                    }
                });
    }

    /** The dial is over, well or not. */
    private void dialed() {
        if (dialing != null) {
            dialing.cancel(false);
            dialing = null;
            fleet.counters.timers--;
        }
    }

    boolean closed() {
        return closed;
    }

    /** Neither the address nor the process behind it has changed since. */
    boolean usable() {
        return !closed && address.equals(pool.address) && openedMs >= pool.startedMs;
    }

    void carry(Call next) {
        call = next;
        next.connection = this;
        ChannelPromise last = ctx.newPromise();
        last.addListener(
                done -> {
                    if (done.isSuccess()) {
                        next.whole = true;
                    } else {
                        close();
                    }
                });
        next.write(ctx, last);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.writeAndFlush(Messages.startup(context.alloc().buffer(64), "worker", "catalog"));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object read) {
        if (closed) {
            ((ByteBuf) read).release();
            return;
        }
        frames.add((ByteBuf) read);
        try {
            for (ByteBuf message = frames.next();
                    message != null;
                    message = closed ? null : frames.next()) {
                byte type = message.getByte(message.readerIndex());
                if (!taken(type, message)) {
                    spoilt("message " + (char) type + " out of turn");
                    return;
                }
            }
        } catch (BadFrame bad) {
            spoilt(bad.getMessage());
        }
        if (call == null && up && frames.waiting() > 0) {
            spoilt("more than the answer");
        }
    }

    /** Guards against lengths that do not fit: what has begun goes on at once, or it never will. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        boolean open = call != null && (frames.waiting() > 0 || call.begun());
        if (!open && stalling != null) {
            stalled();
        } else if (open && stalling == null) {
            fleet.counters.timers++;
            stalling =
                    channel.eventLoop()
                            .schedule(
                                    () -> spoilt("an answer that does not go on"),
                                    fleet.setup.settings().connectTimeout().toNanos(),
                                    TimeUnit.NANOSECONDS);
        }
    }

    /** No answer is open any more. */
    private void stalled() {
        if (stalling != null) {
            stalling.cancel(false);
            stalling = null;
            fleet.counters.timers--;
        }
    }

    private void spoilt(String fault) {
        fleet.log.warn("node-nonsense", "node", pool.node, "address", address, "fault", fault);
        if (call != null) {
            call.spoilt = true;
        }
        close();
    }

    /** Takes one message over; false where none such can come now. */
    private boolean taken(byte type, ByteBuf message) {
        if (call != null && (type == 'T' || type == 'D' || type == 'C')) {
            return call.take(message);
        }
        try {
            switch (type) {
                case 'N' -> {}
                case 'S' -> parameter(message);
                case 'R' -> {
                    return !up
                            && message.readableBytes() == 9
                            && message.getInt(message.readerIndex() + 5) == 0;
                }
                case 'K' -> {
                    return !up;
                }
                case 'E' -> {
                    if (call == null) {
                        close();
                    } else if (call.code == null) {
                        call.code = Messages.code(message);
                        return call.code.length() == 5;
                    }
                }
                case 'Z' -> {
                    return ready();
                }
                default -> {
                    return false;
                }
            }
            return true;
        } finally {
            message.release();
        }
    }

    private void parameter(ByteBuf message) {
        if (call == null) {
            return;
        }
        int role = Messages.valueOf(message, ROLE);
        int position = role < 0 ? Messages.valueOf(message, POSITION) : -1;
        int load = role < 0 && position < 0 ? Messages.valueOf(message, LOAD) : -1;
        if (role >= 0) {
            call.noted(
                    Messages.is(message, role, LEADER)
                            ? NodeRole.PRIMARY
                            : Messages.is(message, role, FOLLOWER)
                                    ? NodeRole.REPLICA
                                    : (NodeRole) null);
        } else if (position >= 0) {
            call.noted(fleet.position(message, position));
        } else if (load >= 0) {
            call.reported(fleet.report(message, load));
        }
    }

    private boolean ready() {
        if (!up) {
            if (frames.waiting() > 0) {
                return false;
            }
            up = true;
            dialed();
            caller = null;
            pool.free(this, 0);
            return true;
        }
        if (call == null || !call.answered()) {
            return false;
        }
        Call done = call;
        call = null;
        stalled();
        pool.free(this, fleet.restNanos);
        done.end(done.result());
        return true;
    }

    /** The time of the call it carries is up: to stop waiting is to close the connection. */
    void giveUp() {
        Call late = call;
        call = null;
        close();
        late.end(late.whole ? SubmissionResult.TIMED_OUT : SubmissionResult.UNREACHABLE);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            fleet.log.warn("node-connection", "node", pool.node, "fault", cause);
        }
        close();
    }

    /** The one place where a connection is given back, with what it carried. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        dialed();
        stalled();
        if (channel != null) {
            channel.close();
        }
        frames.release();
        pool.idle.remove(this);
        fleet.closed(this);
        Call lost = call;
        call = null;
        if (lost != null) {
            lost.end(lost.result());
        }
        if (caller != null && pool.waiting.remove(caller)) {
            caller.end(SubmissionResult.UNREACHABLE);
        }
        caller = null;
    }
}
