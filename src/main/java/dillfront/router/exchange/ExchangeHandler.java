package dillfront.router.exchange;

import dillfront.router.pgwire.Statement;
import dillfront.routing.api.NodeReport;
import dillfront.routing.api.SubmissionResult;
import io.netty.buffer.ByteBuf;
import java.time.Duration;

/** Where exchanges are begun and given back. */
public interface ExchangeHandler {

    /**
     * Takes a txn, and the message that holds its statement. The answer may come during the call.
     *
     * @param timeSinceReceived how long ago its last byte may have come
     * @param tenant index of its client's tenant; -1 where it has none
     * @return null where nothing was taken: no such txn type or group is known, or a txn of this id
     *     is out, and the message is still the caller's
     */
    Exchange begin(Statement statement, ByteBuf message, ResponseReceiver receiver, Duration timeSinceReceived, int tenant);

    /** The index of a txn type by its name; -1 where it is unknown. */
    int typeIndex(String name);

    /**
     * A submission ended; before the module is told.
     *
     * @param clientAnswered its client gets its answer by that
     */
    void submissionEnded(Exchange exchange, int node, SubmissionResult result, boolean clientAnswered, NodeReport report);

    /** What the module is to believe of what a node says of itself. */
    NodeReport trustedReport(int node, NodeReport report);

    /** Whether it may go to this node, beyond what the module knows of it. */
    boolean maySend(Exchange exchange, int node);

    /** Sets the module's clock: called before each word to a handle. */
    void tick();

    /** The client has its answer, or left, and nothing is out. */
    void exchangeFinished(Exchange exchange);
}
