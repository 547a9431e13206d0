package dillfront.router.backend;

import dillfront.router.exchange.Answer;
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
abstract class Call {

    final Pool pool;
    final long startedNanos = System.nanoTime();

    /** Where it is out; null while it waits for a connection, and once it has ended. */
    Connection connection;

    /** Owned here: cancelled when the call ends. */
    ScheduledFuture<?> limit;

    /** How far the router was behind then, in all. */
    final Duration behindAtStart;

    /** Its time is up, and the sockets are looked at once more before that counts. */
    boolean lastLook;

    /** Its last byte was written. */
    boolean whole;

    boolean ended;

    /** The node spoke out of turn or in no form: no word of this answer counts. */
    boolean spoilt;

    // The answer so far; given on or released when the call ends.
    private ByteBuf description;
    private ByteBuf row;
    private ByteBuf completion;
    String code;
    private Duration position;
    private NodeRole role;
    private NodeReport report = NodeReport.EMPTY;

    Call(Pool pool) {
        this.pool = pool;
        behindAtStart = pool.fleet.pace.totalLag(pool.fleet.clock.now());
    }

    /** Whether it may still be sent, after it had to wait for a connection. */
    abstract boolean stands();

    abstract void write(ChannelHandlerContext ctx, ChannelPromise last);

    abstract void over(
            SubmissionResult result,
            Duration took,
            Answer answer,
            NodeReport note,
            NodeReport report);

    /** Takes one message of the answer over; false where it is out of turn. */
    boolean take(ByteBuf message) {
        switch (message.getByte(message.readerIndex())) {
            case 'T' -> {
                if (description == null && code == null && Messages.oneField(message)) {
                    description = message;
                    return true;
                }
            }
            case 'D' -> {
                if (description != null && row == null && Messages.oneColumn(message)) {
                    row = message;
                    return true;
                }
            }
            case 'C' -> {
                if (row != null && completion == null && Messages.oneText(message)) {
                    completion = message;
                    return true;
                }
            }
            default -> {}
        }
        message.release();
        return false;
    }

    void noted(Duration position) {
        this.position = position;
    }

    void noted(NodeRole role) {
        this.role = role;
    }

    void reported(NodeReport report) {
        this.report = report;
    }

    ByteBuf row() {
        return row;
    }

    /** Some of an answer is there. */
    boolean begun() {
        return description != null || code != null;
    }

    /** Whether an answer is there whole, if the connection should end now. */
    boolean answered() {
        return completion != null || code != null;
    }

    /** How it ended, by what came back of it. */
    SubmissionResult result() {
        if (spoilt) {
            return whole ? SubmissionResult.SPOILT : SubmissionResult.UNREACHABLE;
        }
        if (code != null) {
            return switch (code) {
                case "25006", "72000" -> SubmissionResult.MISS;
                case "53300", "57P03" -> SubmissionResult.FULL;
                default -> SubmissionResult.ERROR;
            };
        }
        return completion != null
                ? SubmissionResult.COMMITTED
                : whole ? SubmissionResult.RESET : SubmissionResult.UNREACHABLE;
    }

    /** The one place where a call ends: whatever it holds goes on or back. */
    void end(SubmissionResult result) {
        if (ended) {
            return;
        }
        ended = true;
        connection = null;
        if (limit != null) {
            limit.cancel(false);
            pool.fleet.counters.timers--;
        }
        Answer answer = null;
        if (result == SubmissionResult.COMMITTED) {
            answer = new Answer(description, row, completion);
        } else {
            release(description);
            release(row);
            release(completion);
        }
        description = null;
        row = null;
        completion = null;
        over(
                result,
                Duration.ofNanos(System.nanoTime() - startedNanos),
                answer,
                spoilt ? NodeReport.EMPTY : new NodeReport(position, role),
                spoilt ? NodeReport.EMPTY : report);
    }

    private static void release(ByteBuf message) {
        if (message != null) {
            message.release();
        }
    }
}
