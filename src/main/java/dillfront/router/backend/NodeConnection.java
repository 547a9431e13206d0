package dillfront.router.backend;

import dillfront.common.network.Sockets;
import dillfront.common.network.TerminalHandler;
import dillfront.router.pgwire.FrameDecoder;
import dillfront.router.pgwire.FrameException;
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

/** One connection to a node: opened for one request, then used for one request at a time. */
final class NodeConnection extends TerminalHandler {

    private static final byte[] ROLE = ascii("node_role");
    private static final byte[] POSITION = ascii("replay_position");
    private static final byte[] LOAD = ascii("server_load");
    private static final byte[] LEADER = ascii("leader\0");
    private static final byte[] FOLLOWER = ascii("follower\0");

    private final NodeConnectionManager manager;
    private final NodeConnectionPool pool;
    private final InetSocketAddress address;
    private final long openedMs;
    private final FrameDecoder decoder;
    private Channel channel;
    private ChannelHandlerContext ctx;
    private ScheduledFuture<?> connectTimer;

    /** Running while a response is incomplete. */
    private ScheduledFuture<?> stallTimer;

    /**
     * The request that this connection was opened for; it may be sent on another connection first.
     */
    private NodeRequest initiator;

    private NodeRequest request;
    private boolean established;
    private boolean isClosed;

    /** Time from which the connection may be used; in the future during the reuse delay. */
    long idleSinceNanos;

    NodeConnection(NodeConnectionPool pool, NodeRequest initiator) {
        this.pool = pool;
        this.initiator = initiator;
        manager = pool.manager;
        decoder = new FrameDecoder(manager.maxMessageBytes);
        address = pool.address;
        openedMs = manager.clock.unixMillis();
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    void open() {
        manager.connectionOpened(this);
        ChannelFuture connecting =
                Sockets.connect(
                        manager.loop,
                        address,
                        this,
                        (int) manager.settings.routing().connectTimeout().toMillis() + 1);
        if (connecting == null) {
            close();
            return;
        }
        channel = connecting.channel();
        manager.counters.timers++;
        connectTimer =
                manager.loop.schedule(
                        this::close,
                        manager.settings.routing().connectTimeout().toNanos(),
                        TimeUnit.NANOSECONDS);
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        close();
                    }
                });
    }

    /** Cancels the connect timer, whether the connection attempt succeeded or failed. */
    private void cancelConnectTimer() {
        if (connectTimer != null) {
            connectTimer.cancel(false);
            connectTimer = null;
            manager.counters.timers--;
        }
    }

    boolean isClosed() {
        return isClosed;
    }

    /**
     * Returns whether the connection is open and belongs to the node's current address and process.
     */
    boolean isUsable() {
        return !isClosed && address.equals(pool.address) && openedMs >= pool.nodeStartedMs;
    }

    void send(NodeRequest newRequest) {
        request = newRequest;
        newRequest.connection = this;
        ChannelPromise promise = ctx.newPromise();
        promise.addListener(
                done -> {
                    if (done.isSuccess()) {
                        newRequest.fullySent = true;
                    } else {
                        close();
                    }
                });
        newRequest.write(ctx, promise);
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
    public void channelRead(ChannelHandlerContext context, Object data) {
        if (isClosed) {
            ((ByteBuf) data).release();
            return;
        }
        decoder.add((ByteBuf) data);
        try {
            for (ByteBuf message = decoder.next();
                    message != null;
                    message = isClosed ? null : decoder.next()) {
                byte type = message.getByte(message.readerIndex());
                if (!handleMessage(type, message)) {
                    failProtocol("message " + (char) type + " out of turn");
                    return;
                }
            }
        } catch (FrameException e) {
            failProtocol(e.getMessage());
        }
        if (request == null && established && decoder.bufferedBytes() > 0) {
            failProtocol("more than the answer");
        }
    }

    /**
     * Limits the time between parts of a response: a wrong length field could otherwise keep the
     * response incomplete forever.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        boolean responseOpen =
                request != null && (decoder.bufferedBytes() > 0 || request.hasResponseStarted());
        if (!responseOpen && stallTimer != null) {
            cancelStallTimer();
        } else if (responseOpen && stallTimer == null) {
            manager.counters.timers++;
            stallTimer =
                    channel.eventLoop()
                            .schedule(
                                    () -> failProtocol("incomplete response timed out"),
                                    manager.settings.routing().connectTimeout().toNanos(),
                                    TimeUnit.NANOSECONDS);
        }
    }

    /** Cancels the stall timer; no response is incomplete. */
    private void cancelStallTimer() {
        if (stallTimer != null) {
            stallTimer.cancel(false);
            stallTimer = null;
            manager.counters.timers--;
        }
    }

    private void failProtocol(String error) {
        manager.log.warn("node-nonsense", "node", pool.node, "address", address, "fault", error);
        if (request != null) {
            request.protocolError = true;
        }
        close();
    }

    /** Takes ownership of one message; returns false if it is not allowed in this state. */
    private boolean handleMessage(byte type, ByteBuf message) {
        if (request != null && (type == 'T' || type == 'D' || type == 'C')) {
            return request.accept(message);
        }
        try {
            switch (type) {
                case 'N' -> {}
                case 'S' -> handleParameter(message);
                case 'R' -> {
                    return !established
                            && message.readableBytes() == 9
                            && message.getInt(message.readerIndex() + 5) == 0;
                }
                case 'K' -> {
                    return !established;
                }
                case 'E' -> {
                    if (request == null) {
                        close();
                    } else if (request.errorCode == null) {
                        request.errorCode = Messages.sqlState(message);
                        return request.errorCode.length() == 5;
                    }
                }
                case 'Z' -> {
                    return handleReady();
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

    private void handleParameter(ByteBuf message) {
        if (request == null) {
            return;
        }
        int role = Messages.parameterValueOffset(message, ROLE);
        int position = role < 0 ? Messages.parameterValueOffset(message, POSITION) : -1;
        int load = role < 0 && position < 0 ? Messages.parameterValueOffset(message, LOAD) : -1;
        if (role >= 0) {
            request.recordNote(
                    Messages.matchesAt(message, role, LEADER)
                            ? NodeRole.PRIMARY
                            : Messages.matchesAt(message, role, FOLLOWER)
                                    ? NodeRole.REPLICA
                                    : (NodeRole) null);
        } else if (position >= 0) {
            request.recordNote(manager.parsePosition(message, position));
        } else if (load >= 0) {
            request.recordReport(manager.parseReport(message, load));
        }
    }

    private boolean handleReady() {
        if (!established) {
            if (decoder.bufferedBytes() > 0) {
                return false;
            }
            established = true;
            cancelConnectTimer();
            initiator = null;
            pool.addIdle(this, 0);
            return true;
        }
        if (request == null || !request.isResponseComplete()) {
            return false;
        }
        NodeRequest completed = request;
        request = null;
        cancelStallTimer();
        pool.addIdle(this, manager.reuseDelayNanos);
        completed.end(completed.result());
        return true;
    }

    /** Ends the request by timeout; abandoning a request requires closing its connection. */
    void timeOut() {
        NodeRequest timedOut = request;
        request = null;
        close();
        timedOut.end(
                timedOut.fullySent ? SubmissionResult.TIMED_OUT : SubmissionResult.UNREACHABLE);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            manager.log.warn("node-connection", "node", pool.node, "fault", cause);
        }
        close();
    }

    /**
     * Closes the connection and ends its request; the only place where a connection is released.
     */
    void close() {
        if (isClosed) {
            return;
        }
        isClosed = true;
        cancelConnectTimer();
        cancelStallTimer();
        if (channel != null) {
            channel.close();
        }
        decoder.release();
        pool.idle.remove(this);
        manager.connectionClosed(this);
        NodeRequest interrupted = request;
        request = null;
        if (interrupted != null) {
            interrupted.end(interrupted.result());
        }
        if (initiator != null && pool.waiting.remove(initiator)) {
            initiator.end(SubmissionResult.UNREACHABLE);
        }
        initiator = null;
    }
}
