package dillfront.router.backend;

import dillfront.router.exchange.NodeResponse;
import dillfront.router.pgwire.Messages;
import dillfront.routing.api.NodeReport;
import dillfront.routing.api.SubmissionResult;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.time.Duration;

/** Asks a node how it is: for its report where nodes have one, else for a row. */
final class HealthProbe extends NodeRequest {

    HealthProbe(NodeConnectionPool pool) {
        super(pool);
    }

    @Override
    boolean isStillValid() {
        return true;
    }

    @Override
    void write(ChannelHandlerContext ctx, ChannelPromise last) {
        String query = pool.manager.settings.hasLoadReports() ? "SHOW server_load" : "SELECT 1";
        ctx.writeAndFlush(Messages.query(ctx.alloc().buffer(query.length() + 6), query), last);
    }

    @Override
    void onEnd(
            SubmissionResult result,
            Duration took,
            NodeResponse answer,
            NodeReport note,
            NodeReport report) {
        NodeReport told = report;
        if (answer != null) {
            String text = Messages.column(answer.row());
            if (text != null && pool.manager.settings.hasLoadReports()) {
                told = pool.manager.parseReport(text);
            }
            answer.release();
        }
        // One that answers in no form is up.
        pool.manager.probeCompleted(
                pool.node,
                result == SubmissionResult.COMMITTED || result == SubmissionResult.SPOILT,
                told);
    }
}
