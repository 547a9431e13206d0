package dillfront.router.backend;

import dillfront.router.exchange.NodeResponse;
import dillfront.router.pgwire.Messages;
import dillfront.routing.api.NodeReport;
import dillfront.routing.api.SubmissionResult;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.time.Duration;

/** Requests a node's load report or, if nodes do not report, a single row. */
final class HealthProbe extends NodeRequest {

    HealthProbe(NodeConnectionPool pool) {
        super(pool);
    }

    @Override
    boolean isStillValid() {
        return true;
    }

    @Override
    void write(ChannelHandlerContext ctx, ChannelPromise promise) {
        String query = pool.manager.settings.hasLoadReports() ? "SHOW server_load" : "SELECT 1";
        ctx.writeAndFlush(Messages.query(ctx.alloc().buffer(query.length() + 6), query), promise);
    }

    @Override
    void onEnd(
            SubmissionResult result,
            Duration duration,
            NodeResponse response,
            NodeReport parameterReport,
            NodeReport report) {
        NodeReport latestReport = report;
        if (response != null) {
            String text = Messages.column(response.row());
            if (text != null && pool.manager.settings.hasLoadReports()) {
                latestReport = pool.manager.parseReport(text);
            }
            response.release();
        }
        // A node that sends a malformed response is up.
        pool.manager.probeCompleted(
                pool.node,
                result == SubmissionResult.COMMITTED || result == SubmissionResult.SPOILT,
                latestReport);
    }
}
