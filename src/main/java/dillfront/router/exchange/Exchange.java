package dillfront.router.exchange;

import dillfront.router.pgwire.Statement;
import dillfront.routing.api.NodeReport;
import dillfront.routing.api.SubmissionResult;
import dillfront.routing.api.TransactionHandle;
import io.netty.buffer.ByteBuf;
import java.time.Duration;

/**
 * One txn, from its last byte until it is answered and nothing of it is out: the only place where
 * the client side and the server side meet. Owns the message with the statement, and gives it back
 * when it is over.
 */
public final class Exchange {

    private final ExchangeHandler handler;
    private final int slot;
    private final Statement statement;
    private final ByteBuf message;
    private final ResponseReceiver receiver;

    /**
     * What stands for its group and idempotency key where the router keeps them in mind
     * (recovery.Doubts); else 0.
     */
    private final long key;

    private TransactionHandle handle;
    private int pendingSubmissions;
    private boolean answered;
    private boolean finished;

    /**
     * @param receiver gets the answer; it owns the buffers that it is given
     */
    public Exchange(
            ExchangeHandler handler, int slot, Statement statement, ByteBuf message, ResponseReceiver receiver, long key) {
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

    /** The client's message, as long as a submission is out. */
    public ByteBuf message() {
        return message;
    }

    /** The module has taken the txn; it may be answered already. */
    public void accepted(TransactionHandle newHandle) {
        handle = newHandle;
        releaseIfOver();
    }

    // ---- from the module

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

    // ---- from the client side

    /** The client's connection is gone; an answer is not delivered any more. */
    public void clientDisconnected() {
        if (answered) {
            return;
        }
        answered = true;
        handler.tick();
        handle.clientDisconnected();
        releaseIfOver();
    }

    // ---- from the server side

    /**
     * Whether a submission that waited for its connection may still go; if not, it ends as unsent.
     */
    public boolean maySend(int node) {
        handler.tick();
        return !answered && handler.maySend(this, node) && handle.maySend(node);
    }

    /**
     * @param response what the node answered where it committed, else null; taken over
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
