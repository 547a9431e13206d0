package dillfront.router.exchange;

import java.time.Duration;

/** The server side as the daemon drives it; nothing comes back during a call. */
public interface Submitter {

    void submit(Exchange exchange, int node, Duration timeout);

    void closeIdleConnections(int node);

    void probe(int node);
}
