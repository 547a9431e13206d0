package dillfront.router.frontend;

import dillfront.router.identity.AccessController;
import dillfront.router.identity.Refusal;
import io.netty.channel.ChannelHandler;
import java.time.Duration;

/** Who may come in, for a door that asks; without it all are served. On the loop. */
public interface Callers {

    /**
     * A handler that makes a connection one of TLS; null where none can be had, or too many begin
     * at once.
     */
    ChannelHandler tls();

    /** Whoever speaks without TLS is refused. */
    boolean tlsAlone();

    /** How long this one has to wait after failures before a credential is looked at. */
    Duration wait(String address, String user);

    /** Sets the gate's clocks: called before each word to a session. */
    void tick();

    /** What came of a credential. */
    interface Entry {
        void entered(AccessController.Session session);

        void refused(Refusal why, String text);
    }

    void enter(String address, String user, String token, Entry entry);

    /** For the record: a txn of someone who is in was not taken. */
    void denied(
            AccessController.Session session,
            Refusal why,
            String type,
            boolean write,
            int group,
            String cause);
}
