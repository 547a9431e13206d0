package dillfront.controlplane.peer;

import dillfront.common.environment.Environment;

/**
 * The connection on which this process sends to one peer; it is connected again when it is lost.
 * The peer's messages come on the peer's own connection.
 */
public final class PeerLink {

    private static final int CONNECT_TIMEOUT_MS = 700;
    private static final long RECONNECT_DELAY_MS = 200;

    /** A connect that is under way for so long went to an incarnation that is over. */
    private static final long STALE_CONNECT_MS = 100;

    private final Environment environment;
    private final String address;
    private Runnable onConnected = () -> {};
    private Environment.Connection connection;
    private boolean connected;
    private boolean connecting;
    private long attempts;
    private long connectStartedMillis;
    private long connectedAtMillis;
    private long nextConnectMillis;

    PeerLink(Environment environment, String address) {
        this.environment = environment;
        this.address = address;
    }

    void onConnected(Runnable action) {
        onConnected = action;
    }

    public boolean isConnected() {
        return connected;
    }

    public boolean isConnecting() {
        return connecting;
    }

    /** When the present connection was made; 0 where there never was one. */
    public long connectedAtMillis() {
        return connectedAtMillis;
    }

    /** Whether a connect is under way that cannot reach the present incarnation any more. */
    public boolean hasStaleConnect() {
        return connecting && environment.nowMillis() - connectStartedMillis > STALE_CONNECT_MS;
    }

    /** Whether it is lost, and time to connect again. */
    public boolean isReconnectDue() {
        return !connected && environment.nowMillis() >= nextConnectMillis;
    }

    /** Begins a connection; what becomes of any before counts no more. */
    public void connect() {
        long now = environment.nowMillis();
        nextConnectMillis = now + CONNECT_TIMEOUT_MS + RECONNECT_DELAY_MS;
        connecting = true;
        connectStartedMillis = now;
        connected = false;
        long attempt = ++attempts;
        connection =
                environment.connect(
                        address,
                        Environment.Framing.FRAMES,
                        CONNECT_TIMEOUT_MS,
                        new Environment.ConnectionListener() {
                            @Override
                            public void onOpen(Environment.Connection opened) {
                                if (attempt == attempts) {
                                    onOpened(opened);
                                }
                            }

                            @Override
                            public void onMessage(byte[] message) {
                                // The peer sends on its own connection.
                            }

                            @Override
                            public void onClose(String reason) {
                                if (attempt == attempts) {
                                    connected = false;
                                    connecting = false;
                                    nextConnectMillis =
                                            environment.nowMillis() + RECONNECT_DELAY_MS;
                                }
                            }
                        });
    }

    private void onOpened(Environment.Connection opened) {
        connection = opened;
        connected = true;
        connecting = false;
        connectedAtMillis = environment.nowMillis();
        onConnected.run();
    }

    /** Closes the connection that there is, or is being made, and begins another. */
    public void replace() {
        connection.close();
        connect();
    }

    /** Closes the connection; another is made after a pause. */
    public void disconnect() {
        connection.close();
        connected = false;
        nextConnectMillis = environment.nowMillis() + RECONNECT_DELAY_MS;
    }

    /** Sends a message; the link has to be connected. */
    public void send(byte[] message) {
        connection.send(message);
    }

    /** Bytes that were sent and have not gone out yet. */
    public long pendingBytes() {
        return connection.pendingBytes();
    }
}
