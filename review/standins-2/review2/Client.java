package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** One client's session. */
final class Client implements AutoCloseable {

    /** An answer; code is COMPLETE or the word of the error. */
    record Answer(String code, String text, List<String> rows, char state, int lines) {
        boolean isComplete() {
            return code.equals("COMPLETE");
        }
    }

    private static final AtomicLong IDS = new AtomicLong();

    final Socket socket;
    private final InputStream in;
    private final Record record;
    private final String name;

    Client(Record record, String name, String address, String database) throws IOException {
        this(record, name, address, database, 0);
    }

    Client(Record record, String name, String address, String database, int receiveBuffer)
            throws IOException {
        this.record = record;
        this.name = name;
        socket = new Socket();
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.setTcpNoDelay(true);
        String[] parts = address.split(":");
        socket.connect(
                new InetSocketAddress(InetAddress.getByName(parts[0]), Integer.parseInt(parts[1])),
                2_000);
        socket.setSoTimeout(15_000);
        in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
        send("CONNECT " + database + " u" + name);
        String line = readLine();
        if (!line.startsWith("READY")) {
            close();
            throw new IOException(line);
        }
    }

    static String nextId() {
        return String.format("%016x", IDS.incrementAndGet());
    }

    void send(String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection ended");
            }
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            line.write(next);
        }
    }

    /** Sends one statement under a new id and reads its answer. */
    Answer ask(String text) throws IOException {
        String id = nextId();
        record.line(name + " sends " + id + " " + Record.brief(text));
        try {
            send("QUERY " + id + " " + text);
            Answer answer = answer();
            record.line(
                    name + " gets for " + id + " " + answer.code() + " " + answer.text()
                            + " " + answer.state());
            return answer;
        } catch (IOException e) {
            record.line(name + " gets for " + id + " no answer: " + e.getMessage());
            throw e;
        }
    }

    Answer answer() throws IOException {
        List<String> rows = new ArrayList<>();
        String code = null;
        String text = "";
        int lines = 0;
        while (true) {
            String line = readLine();
            lines++;
            String[] parts = line.split(" ", 2);
            String rest = parts.length > 1 ? parts[1] : "";
            switch (parts[0]) {
                case "ROW" -> rows.add(rest);
                case "COMPLETE" -> {
                    code = "COMPLETE";
                    text = rest;
                }
                case "ERROR" -> {
                    code = rest.split(" ")[0];
                    text = rest;
                }
                case "READY" -> {
                    return new Answer(
                            code == null ? "NOTHING" : code, text, rows, rest.charAt(0), lines);
                }
                default -> throw new IOException("not an answer: " + line);
            }
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException ignored) {
            // It is closed.
        }
    }
}
