package dillfront.bootstrap;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;

/**
 * Stands at the address by which one process knows another: passes bytes on to that one and back,
 * or loses them, each way by itself.
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
            // Whoever dials through a cut says what he wants, and nobody hears it.
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
            // As an end, below.
        }
        synchronized (this) {
            if (drops.getAsBoolean()) {
                // Through a cut nobody hears of an end.
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
            // It is closed already.
        }
        try {
            socket.close();
        } catch (IOException e) {
            // It is over, which is what was wanted.
        }
    }

    /** From now on nothing passes to the target, or back; connections stay open. */
    synchronized void drop(boolean forward, boolean backward) {
        dropsForward = forward;
        dropsBackward = backward;
    }

    /** All passes again; what has lost bytes is reset, as by a machine that knows nothing of it. */
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
