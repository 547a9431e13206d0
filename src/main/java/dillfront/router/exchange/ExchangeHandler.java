package dillfront.router.exchange;

import dillfront.router.pgwire.Statement;
import dillfront.routing.api.NodeReport;
import dillfront.routing.api.SubmissionResult;
import io.netty.buffer.ByteBuf;
import java.time.Duration;

/** Creates and releases exchanges. */
public interface ExchangeHandler {

    /**
     * Accepts a transaction and the message that holds its statement. The response may be delivered
     * during the call.
     *
     * @param timeSinceReceived upper bound for the time since the last byte was received
     * @param tenant index of the client's tenant; -1 if it has none
     * @return null if the transaction type or group is unknown or a transaction with this id is
     *     open; the caller then keeps the message
     */
    Exchange begin(
            Statement statement,
            ByteBuf message,
            ResponseReceiver receiver,
            Duration timeSinceReceived,
            int tenant);

    /** Returns the index of a transaction type by name; -1 if it is unknown. */
    int typeIndex(String name);

    /**
     * Records the end of a submission; called before the routing engine is notified.
     *
     * @param clientAnswered whether this response answers the client
     */
    void submissionEnded(
            Exchange exchange,
            int node,
            SubmissionResult result,
            boolean clientAnswered,
            NodeReport report);

    /** Returns the part of a node's report that the routing engine may trust. */
    NodeReport trustedReport(int node, NodeReport report);

    /**
     * Returns whether the transaction may be sent to this node by the rules outside the routing
     * engine.
     */
    boolean maySend(Exchange exchange, int node);

    /** Sets the routing engine's clock; called before each call to a handle. */
    void tick();

    /**
     * Releases an exchange whose client was answered or has disconnected and that has nothing in
     * flight.
     */
    void exchangeFinished(Exchange exchange);
}
