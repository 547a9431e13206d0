package dillfront.router.backend;

import dillfront.router.exchange.Answer;
import dillfront.router.exchange.Exchange;
import dillfront.router.pgwire.Statement;
import dillfront.routing.api.NodeReport;
import dillfront.routing.api.SubmissionResult;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** A txn at a node. */
final class Submission extends Call {

    private final Exchange exchange;
    private final long endNanos;

    Submission(Pool pool, Exchange exchange, Duration limit) {
        super(pool);
        this.exchange = exchange;
        endNanos = startedNanos + limit.toNanos();
    }

    @Override
    boolean stands() {
        return exchange.stands(pool.node);
    }

    /** The client's statement as it came, but for how long to wait. */
    @Override
    void write(ChannelHandlerContext ctx, ChannelPromise last) {
        Statement statement = exchange.statement();
        ByteBuf message = exchange.message();
        int start = message.readerIndex();
        int size = message.readableBytes();
        long leftMs = Math.max(1, (endNanos - System.nanoTime()) / 1_000_000);
        String digits = Long.toString(leftMs);
        if (digits.length() == statement.waitTo - statement.waitFrom) {
            // As long as the client's own: written over it, since the message is this txn's alone,
            // and sent in one piece.
            message.setCharSequence(start + statement.waitFrom, digits, StandardCharsets.US_ASCII);
            ctx.writeAndFlush(message.retainedSlice(start, size), last);
            return;
        }
        ByteBuf head = ctx.alloc().buffer(5 + digits.length());
        head.writeByte('Q')
                .writeInt(size - 1 - (statement.waitTo - statement.waitFrom) + digits.length());
        ByteBufUtil.writeAscii(head, digits);
        ctx.write(head.readRetainedSlice(5));
        ctx.write(message.retainedSlice(start + 5, statement.waitFrom - 5));
        ctx.write(head);
        ctx.writeAndFlush(
                message.retainedSlice(start + statement.waitTo, size - statement.waitTo), last);
    }

    @Override
    void over(
            SubmissionResult result,
            Duration took,
            Answer answer,
            NodeReport note,
            NodeReport report) {
        pool.fleet.counters.ended(result);
        exchange.ended(pool.node, result, took, answer, note, report);
    }
}
