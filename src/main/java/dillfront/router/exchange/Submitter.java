package dillfront.router.exchange;

import java.time.Duration;

/** The node side of the router; no callback occurs during a call. */
public interface Submitter {

    void submit(Exchange exchange, int node, Duration timeout);

    void closeIdleConnections(int node);

    void probe(int node);
}
