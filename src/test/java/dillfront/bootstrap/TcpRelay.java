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

    private final ServerSocket door = new ServerSocket();
    private final InetSocketAddress target;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private boolean loses;
    private boolean losesBack;

    TcpRelay(InetSocketAddress at, InetSocketAddress target) throws IOException {
        this.target = target;
        door.bind(at);
        thread(
                () -> {
                    while (!door.isClosed()) {
                        try {
                            Socket near = door.accept();
                            open.add(near);
                            thread(() -> meet(near));
                        } catch (IOException closed) {
                            return;
                        }
                    }
                });
    }

    private static void thread(Runnable work) {
        Thread thread = new Thread(work, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private void meet(Socket near) {
        boolean cut;
        synchronized (this) {
            cut = loses && losesBack;
        }
        if (cut) {
            // Whoever dials through a cut says what he wants, and nobody hears it.
            pump(near, near, () -> true);
            return;
        }
        Socket far = new Socket();
        open.add(far);
        try {
            far.connect(target, 1_000);
        } catch (IOException refused) {
            reset(near);
            reset(far);
            return;
        }
        thread(() -> pump(far, near, () -> losesBack));
        pump(near, far, () -> loses);
    }

    private void pump(Socket from, Socket to, BooleanSupplier lost) {
        byte[] bytes = new byte[1 << 16];
        try {
            for (int read = from.getInputStream().read(bytes);
                    read >= 0;
                    read = from.getInputStream().read(bytes)) {
                synchronized (this) {
                    if (!lost.getAsBoolean()) {
                        to.getOutputStream().write(bytes, 0, read);
                    }
                }
            }
        } catch (IOException over) {
            // As an end, below.
        }
        synchronized (this) {
            if (lost.getAsBoolean()) {
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
        } catch (IOException over) {
            // It is closed already.
        }
        try {
            socket.close();
        } catch (IOException over) {
            // It is over, which is what was wanted.
        }
    }

    /** From now on nothing passes to the target, or back; connections stay open. */
    synchronized void lose(boolean there, boolean back) {
        loses = there;
        losesBack = back;
    }

    /** All passes again; what has lost bytes is reset, as by a machine that knows nothing of it. */
    void heal() {
        lose(false, false);
        open.forEach(this::reset);
    }

    @Override
    public void close() throws IOException {
        door.close();
        open.forEach(this::reset);
    }
}
