package dillfront.controlplane.peer;

import dillfront.common.environment.Environment;

/**
 * Maintains the connection on which this process sends to one peer. The peer's messages arrive on a
 * connection of its own.
 */
public final class PeerLink {

    private static final int CONNECT_TIMEOUT_MS = 700;
    private static final long RECONNECT_DELAY_MS = 200;

    /**
     * A connection attempt that has been pending for this long was sent to a previous incarnation
     * of the peer.
     */
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

    /** Returns when the current connection was established; 0 if there was none yet. */
    public long connectedAtMillis() {
        return connectedAtMillis;
    }

    /**
     * Returns whether a pending connection attempt can no longer reach the peer's current
     * incarnation.
     */
    public boolean hasStaleConnect() {
        return connecting && environment.nowMillis() - connectStartedMillis > STALE_CONNECT_MS;
    }

    /**
     * Returns whether the link is disconnected and the delay before the next attempt has passed.
     */
    public boolean isReconnectDue() {
        return !connected && environment.nowMillis() >= nextConnectMillis;
    }

    /** Starts a connection attempt; events of earlier attempts are ignored from now on. */
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

    /** Closes the current connection or attempt, and starts another one at once. */
    public void replace() {
        connection.close();
        connect();
    }

    /** Closes the connection; the next attempt follows after a delay. */
    public void disconnect() {
        connection.close();
        connected = false;
        nextConnectMillis = environment.nowMillis() + RECONNECT_DELAY_MS;
    }

    /** Sends a message. The link must be connected. */
    public void send(byte[] message) {
        connection.send(message);
    }

    /** Returns the number of bytes that are queued for sending. */
    public long pendingBytes() {
        return connection.pendingBytes();
    }
}
