package dillfront.router.frontend;

import dillfront.router.identity.Gate;
import dillfront.router.identity.Refusal;
import io.netty.channel.ChannelHandler;
import java.time.Duration;

/** Who may come in, for a door that asks; without it all are served. On the loop. */
public interface ClientAuthenticator {

    /**
     * A handler that makes a connection one of TLS; null where none can be had, or too many begin
     * at once.
     */
    ChannelHandler tlsHandler();

    /** Whoever speaks without TLS is refused. */
    boolean requiresTls();

    /** How long this one has to wait after failures before a credential is looked at. */
    Duration retryDelay(String address, String user);

    /** Sets the gate's clocks: called before each word to a session. */
    void tick();

    /** What came of a credential. */
    interface LoginCallback {
        void accepted(Gate.Session session);

        void rejected(Refusal refusal, String reason);
    }

    void authenticate(String address, String user, String token, LoginCallback callback);

    /** For the record: a txn of someone who is in was not taken. */
    void transactionDenied(
            Gate.Session session, Refusal refusal, String type, boolean write, int group, String rule);
}
