package dillfront.router.frontend;

import dillfront.router.identity.AccessController;
import dillfront.router.identity.Refusal;
import io.netty.channel.ChannelHandler;
import java.time.Duration;

/**
 * Authenticates clients; without an authenticator every client is served. Runs on the event loop.
 */
public interface ClientAuthenticator {

    /**
     * Returns a new TLS handler; null if TLS is not configured or too many handshakes are in
     * progress.
     */
    ChannelHandler tlsHandler();

    /** Returns whether clients must use TLS. */
    boolean requiresTls();

    /**
     * Returns how long this client must wait after failed attempts before a credential is checked.
     */
    Duration retryDelay(String address, String user);

    /** Updates the access gate's clocks; called before each call to a session. */
    void tick();

    /** Receives the result of an authentication. */
    interface LoginCallback {
        void accepted(AccessController.Session session);

        void rejected(Refusal refusal, String reason);
    }

    void authenticate(String address, String user, String token, LoginCallback callback);

    /** Logs a transaction that an authenticated client was not permitted to run. */
    void transactionDenied(
            AccessController.Session session,
            Refusal refusal,
            String type,
            boolean write,
            int group,
            String rule);
}
