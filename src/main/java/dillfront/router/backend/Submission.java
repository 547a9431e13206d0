package dillfront.router.backend;

import dillfront.router.exchange.Exchange;
import dillfront.router.exchange.NodeResponse;
import dillfront.router.pgwire.Statement;
import dillfront.routing.api.NodeReport;
import dillfront.routing.api.SubmissionResult;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** One submission of a transaction to a node. */
final class Submission extends NodeRequest {

    private final Exchange exchange;
    private final long deadlineNanos;

    Submission(NodeConnectionPool pool, Exchange exchange, Duration timeout) {
        super(pool);
        this.exchange = exchange;
        deadlineNanos = startedNanos + timeout.toNanos();
    }

    @Override
    boolean isStillValid() {
        return exchange.maySend(pool.node);
    }

    /** Writes the client's statement unchanged, except for the time limit. */
    @Override
    void write(ChannelHandlerContext ctx, ChannelPromise promise) {
        Statement statement = exchange.statement();
        ByteBuf message = exchange.message();
        int start = message.readerIndex();
        int size = message.readableBytes();
        long remainingMillis = Math.max(1, (deadlineNanos - System.nanoTime()) / 1_000_000);
        String digits = Long.toString(remainingMillis);
        if (digits.length() == statement.timeoutEnd - statement.timeoutStart) {
            // Same number of digits as the client's: overwritten in place, since the message
            // belongs to this transaction alone, and sent as one buffer.
            message.setCharSequence(
                    start + statement.timeoutStart, digits, StandardCharsets.US_ASCII);
            ctx.writeAndFlush(message.retainedSlice(start, size), promise);
            return;
        }
        ByteBuf head = ctx.alloc().buffer(5 + digits.length());
        head.writeByte('Q')
                .writeInt(
                        size
                                - 1
                                - (statement.timeoutEnd - statement.timeoutStart)
                                + digits.length());
        ByteBufUtil.writeAscii(head, digits);
        ctx.write(head.readRetainedSlice(5));
        ctx.write(message.retainedSlice(start + 5, statement.timeoutStart - 5));
        ctx.write(head);
        ctx.writeAndFlush(
                message.retainedSlice(start + statement.timeoutEnd, size - statement.timeoutEnd),
                promise);
    }

    @Override
    void onEnd(
            SubmissionResult result,
            Duration duration,
            NodeResponse response,
            NodeReport parameterReport,
            NodeReport report) {
        pool.manager.counters.ended(result);
        exchange.submissionEnded(pool.node, result, duration, response, parameterReport, report);
    }
}
