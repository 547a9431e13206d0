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

/**
 * One question to a node, a submission or a probe: its time limit, and what has come back of the
 * answer.
 */
abstract class NodeRequest {

    final NodeConnectionPool pool;
    final long startedNanos = System.nanoTime();

    /** Where it is out; null while it waits for a connection, and once it has ended. */
    NodeConnection connection;

    /** Owned here: cancelled when the call ends. */
    ScheduledFuture<?> timeout;

    /** How far the router was behind then, in all. */
    final Duration lagAtStart;

    /** Its time is up, and the sockets are looked at once more before that counts. */
    boolean finalReadDone;

    /** Its last byte was written. */
    boolean fullySent;

    boolean ended;

    /** The node spoke out of turn or in no form: no word of this answer counts. */
    boolean protocolError;

    // The answer so far; given on or released when the call ends.
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

    /** Whether it may still be sent, after it had to wait for a connection. */
    abstract boolean isStillValid();

    abstract void write(ChannelHandlerContext ctx, ChannelPromise promise);

    abstract void onEnd(
            SubmissionResult result,
            Duration duration,
            NodeResponse response,
            NodeReport parameterReport,
            NodeReport report);

    /** Takes one message of the answer over; false where it is out of turn. */
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

    /** Some of an answer is there. */
    boolean hasResponseStarted() {
        return description != null || errorCode != null;
    }

    /** Whether an answer is there whole, if the connection should end now. */
    boolean isResponseComplete() {
        return completion != null || errorCode != null;
    }

    /** How it ended, by what came back of it. */
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

    /** The one place where a call ends: whatever it holds goes on or back. */
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
