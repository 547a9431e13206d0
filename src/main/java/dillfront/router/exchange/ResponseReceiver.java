package dillfront.router.exchange;

import java.time.Duration;

/**
 * The client side of a transaction: receives one final response, unless the client has
 * disconnected.
 */
public interface ResponseReceiver {

    /** Takes ownership of the response. */
    void committed(NodeResponse response);

    void declined(Duration retryAfter);

    void rolledBack();
}
