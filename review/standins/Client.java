package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** One session of a client. */
final class Client implements AutoCloseable {

    /**
     * The answer to one statement.
     *
     * @param end COMPLETE, ERROR, or empty where the connection ended
     */
    record Answer(String id, double sentMillis, double answeredMillis, List<String> rows, String end, String text) {
        boolean succeeded() {
            return end.equals("COMPLETE");
        }
    }

    private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xfffffffL);

    final String name;
    private final Socket socket = new Socket();
    private final BufferedReader in;
    private final OutputStream out;

    Client(String name, String frontAddress, String database) throws IOException, CannotRunException {
        this.name = name;
        int colon = frontAddress.lastIndexOf(':');
        socket.setTcpNoDelay(true);
        socket.connect(
                new InetSocketAddress(
                        InetAddress.getByName(frontAddress.substring(0, colon)),
                        Integer.parseInt(frontAddress.substring(colon + 1))),
                2_000);
        socket.setSoTimeout(20_000);
        in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        out = socket.getOutputStream();
        send("CONNECT " + database + " " + name);
        String line = in.readLine();
        if (line == null || !line.startsWith("READY")) {
            throw new CannotRunException(name + " got no READY but " + line);
        }
    }

    private void send(String line) throws IOException {
        out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    Answer query(String text) {
        String id = Long.toHexString(IDS.incrementAndGet());
        List<String> rows = new ArrayList<>();
        double sent = Recorder.now();
        String shown = text.length() < 60 ? text : text.substring(0, 40) + "... (" + text.length() + " characters)";
        Recorder.record("client %s sends %s %s", name, id, shown);
        String end = "";
        String rest = "";
        try {
            send("QUERY " + id + " " + text);
            String line;
            while ((line = in.readLine()) != null && !line.startsWith("READY")) {
                int blank = line.indexOf(' ');
                String word = blank < 0 ? line : line.substring(0, blank);
                String arguments = blank < 0 ? "" : line.substring(blank + 1);
                if (word.equals("ROW")) {
                    rows.add(arguments);
                } else {
                    end = word;
                    rest = arguments;
                }
            }
            if (line == null) {
                end = "";
                rest = "the connection ended";
            }
        } catch (IOException e) {
            end = "";
            rest = "the connection ended: " + e.getMessage();
        }
        Answer answer = new Answer(id, sent, Recorder.now(), rows, end, rest);
        Recorder.record("client %s gets %s: %s %s %s", name, id, end.isEmpty() ? "nothing" : end, rest, rows);
        return answer;
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }
}
