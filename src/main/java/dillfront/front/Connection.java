package dillfront.front;

import dillfront.host.Host;
import dillfront.host.Position;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One connection to a database server. Whoever holds it asks one thing at a time; what must hold before, the session's
 * values and prepared names, goes ahead of it in the same write.
 */
final class Connection implements Host.Ear {

    /** What an asking ended with. */
    interface Ended {

        /** @param code null where it was a success; "CUT" where the connection ended before the answer did */
        void ended(List<String> rows, String stamp, String code, String text, char state, Position position);
    }

    private record Ask(Ended ended, long at) { }

    /** Names and values that one connection remembers at the most. */
    private static final int MOST = 500;

    final Server server;
    boolean held;
    private Host.Link link;
    private boolean started;
    /** As the last answer said. */
    private char state = 'I';
    private boolean over;
    private final Map<String, String> values = new HashMap<>();
    private final Set<String> prepared = new HashSet<>();
    private final ArrayDeque<Ask> asks = new ArrayDeque<>();
    private List<String> rows = new ArrayList<>();
    private String stamp;
    private String code;
    private String text = "";

    Connection(Server server) {
        this.server = server;
    }

    void dial() {
        server.front.counts.dialed++;
        link = server.host().dial(server.address, Host.Form.LINES, Server.DIAL_MS, this);
        server.host().after(Server.DIAL_MS, () -> {
            if (!started && !over) {
                closed("silent");
                link.close();
            }
        });
    }

    @Override
    public void opened(Host.Link opened) {
        link = opened;
        send("CONNECT " + server.service.name + " " + server.front.settings.name() + " " + server.id);
    }

    private void send(String line) {
        link.send(line.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** How many statements of its own a session with these values needs here first. */
    int cost(Map<String, String> wanted) {
        int same = 0;
        for (Map.Entry<String, String> is : values.entrySet()) {
            if (!wanted.containsKey(is.getKey())) {
                return 1 + wanted.size() + 4;
            }
            same += is.getValue().equals(wanted.get(is.getKey())) ? 1 : 0;
        }
        return wanted.size() - same;
    }

    /** Makes the values those of this session; what is sent goes ahead of the next asking. */
    private void values(Map<String, String> wanted, StringBuilder out) {
        if (!wanted.keySet().containsAll(values.keySet()) || prepared.size() > MOST && state == 'I') {
            own(out, "RESET");
            values.clear();
            prepared.clear();
        }
        wanted.forEach((name, value) -> {
            if (!value.equals(values.get(name))) {
                own(out, "SET " + name + " " + value);
                values.put(name, value);
            }
        });
    }

    private void own(StringBuilder out, String line) {
        out.append("QUERY - ").append(line).append("\r\n");
        asks.add(new Ask((r, s, failed, t, state, p) -> {
            if (failed != null && !failed.equals("CUT")) {
                // What follows would run with other values than its client was told of.
                cut("out of step");
            }
        }, server.host().now()));
    }

    /**
     * Asks once what goes ahead is set. Ends with UNSENT where the connection was over before anything was written.
     *
     * @param shape what must be prepared, as "READ shape" or "WRITE shape"; null where nothing must
     */
    void ask(Map<String, String> wanted, String shape, String id, String line, Ended ended) {
        StringBuilder out = new StringBuilder();
        if (wanted != null) {
            values(wanted, out);
        }
        if (shape != null && prepared.add(shape)) {
            own(out, "PREPARE " + name(shape) + " " + shape);
        }
        out.append("QUERY ").append(id).append(' ').append(line);
        if (over) {
            ended.ended(List.of(), null, "UNSENT", "", 'I', null);
            return;
        }
        asks.add(new Ask(ended, server.host().now()));
        server.out++;
        send(out.toString());
    }

    /** The name under which all sessions use this shape here. */
    static String name(String shape) {
        return shape.charAt(0) + shape.substring(shape.indexOf(' ') + 1);
    }

    /** When the oldest asking that is out was sent; the end of time where none is. */
    long oldest() {
        Ask first = asks.peekFirst();
        return first == null ? Long.MAX_VALUE : first.at();
    }

    @Override
    public void message(byte[] bytes) {
        String line = new String(bytes, StandardCharsets.ISO_8859_1);
        int blank = line.indexOf(' ');
        String word = blank < 0 ? line : line.substring(0, blank);
        String rest = blank < 0 ? "" : line.substring(blank + 1);
        server.heard();
        switch (word) {
            case "ROW":
                rows.add(rest);
                break;
            case "COMPLETE":
                stamp = rest;
                break;
            case "ERROR": {
                int gap = rest.indexOf(' ');
                code = gap < 0 ? rest : rest.substring(0, gap);
                text = gap < 0 ? "" : rest.substring(gap + 1);
                if (!started) {
                    String why = code;
                    cut(why);
                }
                break;
            }
            case "READY": {
                state = rest.isEmpty() ? '?' : rest.charAt(0);
                int gap = rest.indexOf(' ');
                Position position = gap < 0 ? null : Position.of(rest.substring(gap + 1));
                server.seen = Position.later(server.seen, position);
                if (!started) {
                    started = true;
                    server.dialing--;
                    server.free(this);
                    break;
                }
                Ask ask = asks.poll();
                if (ask == null) {
                    cut("an answer to nothing");
                    break;
                }
                List<String> answered = rows;
                String stamped = stamp;
                String failed = code;
                String said = text;
                rows = new ArrayList<>();
                stamp = null;
                code = null;
                text = "";
                if (asks.isEmpty()) {
                    server.out = Math.max(0, server.out - 1);
                }
                if (stamped == null && failed == null) {
                    // Half an answer: nobody knows to what the next one belongs.
                    failed = "CUT";
                    cut("out of step");
                }
                ask.ended().ended(answered, stamped, failed, said, state, position);
                break;
            }
            default:
                cut("no word of the wire");
        }
    }

    /** Ends it from this side, as broken: all that is out is answered so. */
    void cut(String why) {
        if (!over) {
            closed(why);
            link.close();
        }
    }

    /** Ends it while nothing is out. */
    void close() {
        if (!over) {
            send("GOODBYE");
            cut("left");
        }
    }

    @Override
    public void closed(String why) {
        if (over) {
            return;
        }
        over = true;
        boolean was = started;
        if (!started) {
            server.dialing--;
        }
        if (!asks.isEmpty()) {
            server.out = Math.max(0, server.out - 1);
        }
        server.ended(this, was, why);
        List<Ask> left = new ArrayList<>(asks);
        asks.clear();
        left.forEach(ask -> ask.ended().ended(List.of(), null, "CUT", why, 'I', null));
    }

    boolean over() {
        return over;
    }
}
