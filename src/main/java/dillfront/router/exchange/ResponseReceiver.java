package dillfront.router.exchange;

import java.time.Duration;

/** The client side of a txn: gets one final answer, unless it has left. */
public interface ResponseReceiver {

    /** Takes the answer over. */
    void committed(NodeResponse response);

    void declined(Duration retryAfter);

    void rolledBack();
}
