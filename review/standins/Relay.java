package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A proxy before a database server, which can delay what passes between the server and its callers. */
final class Relay implements AutoCloseable {

    private final String target;
    private final ServerSocket listener = new ServerSocket();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    /** The caller whose answers are held; null for none. Guarded by this. */
    private String held;

    /** Callers that are cut off: nothing passes in either direction. Guarded by this. */
    private Set<String> cut = Set.of();

    /** The command of a caller that is held with all behind it; null for none. Guarded by this. */
    private String heldCommand;

    Relay(String address, String target) throws IOException {
        this.target = target;
        int colon = address.lastIndexOf(':');
        listener.setReuseAddress(true);
        listener.bind(
                new InetSocketAddress(
                        InetAddress.getByName(address.substring(0, colon)),
                        Integer.parseInt(address.substring(colon + 1))),
                200);
        daemon(this::accept);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    synchronized void hold(String caller) {
        held = caller;
        Recorder.record("relay to %s: answers to %s are delayed", target, caller);
    }

    synchronized void release() {
        held = null;
        notifyAll();
        Recorder.record("relay to %s: answers go on", target);
    }

    /** Cuts these callers off, and no others. */
    synchronized void cut(String... callers) {
        cut = Set.of(callers);
        notifyAll();
        Recorder.record("relay to %s: cut off from %s", target, cut);
    }

    /** Holds this command of callers, on its connection; null: none. */
    synchronized void holdCommand(String command) {
        heldCommand = command;
        notifyAll();
        Recorder.record("relay to %s: held on its way: %s", target, command == null ? "nothing" : command);
    }

    private synchronized void awaitPass(String caller, boolean toServer, byte[] bytes, int count)
            throws InterruptedException {
        String text = new String(bytes, 0, count, StandardCharsets.ISO_8859_1);
        while (cut.contains(caller)
                || !toServer && caller.equals(held)
                || toServer && heldCommand != null && text.contains(" " + heldCommand)) {
            wait();
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket caller = listener.accept();
                daemon(() -> relay(caller));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void relay(Socket caller) {
        int colon = target.lastIndexOf(':');
        try {
            Socket server = new Socket();
            sockets.add(caller);
            sockets.add(server);
            caller.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            server.connect(
                    new InetSocketAddress(
                            InetAddress.getByName(target.substring(0, colon)),
                            Integer.parseInt(target.substring(colon + 1))),
                    1_000);
            ByteArrayOutputStream first = new ByteArrayOutputStream();
            int next;
            while ((next = caller.getInputStream().read()) >= 0 && next != '\n') {
                first.write(next);
            }
            first.write('\n');
            String[] words = first.toString(StandardCharsets.ISO_8859_1).trim().split(" ");
            String name = words.length > 2 ? words[2] : "";
            awaitPass(name, true, first.toByteArray(), first.size());
            server.getOutputStream().write(first.toByteArray());
            daemon(() -> copy(caller, server, name, true));
            copy(server, caller, name, false);
        } catch (IOException | InterruptedException e) {
            end(caller);
        }
    }

    private void copy(Socket from, Socket to, String caller, boolean toServer) {
        byte[] buffer = new byte[8_192];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count;
            while ((count = in.read(buffer)) >= 0) {
                awaitPass(caller, toServer, buffer, count);
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // Both sides are ended below.
        }
        end(from);
        end(to);
    }

    private void end(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
        sockets.remove(socket);
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            // It is closed.
        }
        sockets.forEach(this::end);
    }
}
