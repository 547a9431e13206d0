package dillfront.router.backend;

import dillfront.router.exchange.NodeResponse;
import dillfront.router.pgwire.Messages;
import dillfront.routing.api.NodeReport;
import dillfront.routing.api.NodeRole;
import dillfront.routing.api.SubmissionResult;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;

/** One request to a node, a submission or a probe: its time limit and the response so far. */
abstract class NodeRequest {

    final NodeConnectionPool pool;
    final long startedNanos = System.nanoTime();

    /**
     * The connection that carries the request; null while it waits for one and after it has ended.
     */
    NodeConnection connection;

    /** Timer of this request; cancelled when the request ends. */
    ScheduledFuture<?> timeout;

    /** Total event loop lag when the request started. */
    final Duration lagAtStart;

    /** Whether the time limit has passed and only one more read of all sockets is awaited. */
    boolean finalReadDone;

    /** Whether the last byte was written. */
    boolean fullySent;

    boolean ended;

    /** Whether the node violated the protocol; the whole response is discarded then. */
    boolean protocolError;

    // The response so far; handed over or released when the request ends.
    private ByteBuf description;
    private ByteBuf row;
    private ByteBuf completion;
    String errorCode;
    private Duration position;
    private NodeRole role;
    private NodeReport report = NodeReport.EMPTY;

    NodeRequest(NodeConnectionPool pool) {
        this.pool = pool;
        lagAtStart = pool.manager.loopLag.totalLag(pool.manager.clock.now());
    }

    /** Returns whether the request may still be sent after waiting for a connection. */
    abstract boolean isStillValid();

    abstract void write(ChannelHandlerContext ctx, ChannelPromise promise);

    abstract void onEnd(
            SubmissionResult result,
            Duration duration,
            NodeResponse response,
            NodeReport parameterReport,
            NodeReport report);

    /**
     * Takes ownership of one response message; returns false if it is not allowed in this state.
     */
    boolean accept(ByteBuf message) {
        switch (message.getByte(message.readerIndex())) {
            case 'T' -> {
                if (description == null && errorCode == null && Messages.hasOneField(message)) {
                    description = message;
                    return true;
                }
            }
            case 'D' -> {
                if (description != null && row == null && Messages.hasOneColumn(message)) {
                    row = message;
                    return true;
                }
            }
            case 'C' -> {
                if (row != null && completion == null && Messages.hasOneString(message)) {
                    completion = message;
                    return true;
                }
            }
            default -> {}
        }
        message.release();
        return false;
    }

    void recordNote(Duration position) {
        this.position = position;
    }

    void recordNote(NodeRole role) {
        this.role = role;
    }

    void recordReport(NodeReport report) {
        this.report = report;
    }

    ByteBuf row() {
        return row;
    }

    /** Returns whether part of a response was received. */
    boolean hasResponseStarted() {
        return description != null || errorCode != null;
    }

    /** Returns whether the response would be complete if the connection closed now. */
    boolean isResponseComplete() {
        return completion != null || errorCode != null;
    }

    /** Derives the result from the response received. */
    SubmissionResult result() {
        if (protocolError) {
            return fullySent ? SubmissionResult.SPOILT : SubmissionResult.UNREACHABLE;
        }
        if (errorCode != null) {
            return switch (errorCode) {
                case "25006", "72000" -> SubmissionResult.MISS;
                case "53300", "57P03" -> SubmissionResult.FULL;
                default -> SubmissionResult.ERROR;
            };
        }
        return completion != null
                ? SubmissionResult.COMMITTED
                : fullySent ? SubmissionResult.RESET : SubmissionResult.UNREACHABLE;
    }

    /**
     * Ends the request and hands over or releases its buffers; the only place where a request ends.
     */
    void end(SubmissionResult result) {
        if (ended) {
            return;
        }
        ended = true;
        connection = null;
        if (timeout != null) {
            timeout.cancel(false);
            pool.manager.counters.timers--;
        }
        NodeResponse response = null;
        if (result == SubmissionResult.COMMITTED) {
            response = new NodeResponse(description, row, completion);
        } else {
            release(description);
            release(row);
            release(completion);
        }
        description = null;
        row = null;
        completion = null;
        onEnd(
                result,
                Duration.ofNanos(System.nanoTime() - startedNanos),
                response,
                protocolError ? NodeReport.EMPTY : new NodeReport(position, role),
                protocolError ? NodeReport.EMPTY : report);
    }

    private static void release(ByteBuf message) {
        if (message != null) {
            message.release();
        }
    }
}
