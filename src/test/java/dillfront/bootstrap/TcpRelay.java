package dillfront.bootstrap;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;

/**
 * A TCP relay between two processes, which forwards bytes or drops them, per direction. It listens
 * at the address that one process has for the other.
 */
final class TcpRelay implements AutoCloseable {

    private final ServerSocket listener = new ServerSocket();
    private final InetSocketAddress target;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private boolean dropsForward;
    private boolean dropsBackward;

    TcpRelay(InetSocketAddress address, InetSocketAddress target) throws IOException {
        this.target = target;
        listener.bind(address);
        startThread(
                () -> {
                    while (!listener.isClosed()) {
                        try {
                            Socket client = listener.accept();
                            open.add(client);
                            startThread(() -> relay(client));
                        } catch (IOException e) {
                            return;
                        }
                    }
                });
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private void relay(Socket client) {
        boolean dropsBoth;
        synchronized (this) {
            dropsBoth = dropsForward && dropsBackward;
        }
        if (dropsBoth) {
            // A connection opened during a partition is accepted, and its bytes are discarded.
            copy(client, client, () -> true);
            return;
        }
        Socket server = new Socket();
        open.add(server);
        try {
            server.connect(target, 1_000);
        } catch (IOException e) {
            reset(client);
            reset(server);
            return;
        }
        startThread(() -> copy(server, client, () -> dropsBackward));
        copy(client, server, () -> dropsForward);
    }

    private void copy(Socket from, Socket to, BooleanSupplier drops) {
        byte[] bytes = new byte[1 << 16];
        try {
            for (int read = from.getInputStream().read(bytes);
                    read >= 0;
                    read = from.getInputStream().read(bytes)) {
                synchronized (this) {
                    if (!drops.getAsBoolean()) {
                        to.getOutputStream().write(bytes, 0, read);
                    }
                }
            }
        } catch (IOException e) {
            // Handled as the end of the stream, below.
        }
        synchronized (this) {
            if (drops.getAsBoolean()) {
                // During a partition the end of the stream is not forwarded either.
                return;
            }
        }
        reset(from);
        reset(to);
    }

    private void reset(Socket socket) {
        open.remove(socket);
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // Already closed.
        }
        try {
            socket.close();
        } catch (IOException e) {
            // Already closed.
        }
    }

    /** Drops bytes to the target, back, or both; connections stay open. */
    synchronized void drop(boolean forward, boolean backward) {
        dropsForward = forward;
        dropsBackward = backward;
    }

    /**
     * Forwards again, and resets all connections that may have lost bytes, as a restarted machine
     * would.
     */
    void heal() {
        drop(false, false);
        open.forEach(this::reset);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        open.forEach(this::reset);
    }
}
