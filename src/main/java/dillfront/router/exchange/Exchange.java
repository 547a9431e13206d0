package dillfront.router.exchange;

import dillfront.router.pgwire.Statement;
import dillfront.routing.api.NodeReport;
import dillfront.routing.api.SubmissionResult;
import dillfront.routing.api.TransactionHandle;
import io.netty.buffer.ByteBuf;
import java.time.Duration;

/**
 * One transaction, from its last byte until it is answered and has no submission in flight: the
 * only place where the client side and the node side meet. Owns the message with the statement and
 * releases it at the end.
 */
public final class Exchange {

    private final ExchangeHandler handler;
    private final int slot;
    private final Statement statement;
    private final ByteBuf message;
    private final ResponseReceiver receiver;

    /**
     * Hash of the group and the idempotency key, if the router tracks the key
     * (recovery.InDoubtKeys); otherwise 0.
     */
    private final long key;

    private TransactionHandle handle;
    private int pendingSubmissions;
    private boolean answered;
    private boolean finished;

    /**
     * @param receiver receives the response and takes ownership of its buffers
     */
    public Exchange(
            ExchangeHandler handler,
            int slot,
            Statement statement,
            ByteBuf message,
            ResponseReceiver receiver,
            long key) {
        this.handler = handler;
        this.key = key;
        this.slot = slot;
        this.statement = statement;
        this.message = message;
        this.receiver = receiver;
    }

    public int slot() {
        return slot;
    }

    public Statement statement() {
        return statement;
    }

    public long key() {
        return key;
    }

    /** Returns the client's message; valid while a submission is in flight. */
    public ByteBuf message() {
        return message;
    }

    /**
     * Records that the routing engine has accepted the transaction, which may be answered already.
     */
    public void accepted(TransactionHandle newHandle) {
        handle = newHandle;
        releaseIfOver();
    }

    // ---- called by the routing engine

    public void submitted() {
        pendingSubmissions++;
    }

    public void decline(Duration retryAfter) {
        answered = true;
        receiver.declined(retryAfter);
        releaseIfOver();
    }

    public void rollBack() {
        answered = true;
        receiver.rolledBack();
        releaseIfOver();
    }

    // ---- called by the client side

    /** Records that the client has disconnected; no response is delivered from now on. */
    public void clientDisconnected() {
        if (answered) {
            return;
        }
        answered = true;
        handler.tick();
        handle.clientDisconnected();
        releaseIfOver();
    }

    // ---- called by the node side

    /**
     * Returns whether a submission that waited for a connection may still be sent; if not, it ends
     * as unsent.
     */
    public boolean maySend(int node) {
        handler.tick();
        return !answered && handler.maySend(this, node) && handle.maySend(node);
    }

    /**
     * @param response the node's response if it committed, otherwise null; ownership is taken
     */
    public void submissionEnded(
            int node,
            SubmissionResult result,
            Duration duration,
            NodeResponse response,
            NodeReport parameterReport,
            NodeReport report) {
        handler.tick();
        pendingSubmissions--;
        boolean delivered = response != null && !answered;
        handler.submissionEnded(this, node, result, delivered, parameterReport);
        if (delivered) {
            answered = true;
            receiver.committed(response);
        } else if (response != null) {
            response.release();
        }
        handle.submissionEnded(
                node,
                result,
                duration,
                answered,
                handler.trustedReport(node, parameterReport),
                handler.trustedReport(node, report));
        releaseIfOver();
    }

    private void releaseIfOver() {
        if (handle != null && answered && pendingSubmissions == 0 && !finished) {
            finished = true;
            message.release();
            handler.exchangeFinished(this);
        }
    }
}
