package dillfront.dataplane;

import dillfront.common.database.LogPosition;
import dillfront.common.database.ServerResponseReader;
import dillfront.common.environment.Environment;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One connection to a database server. Whoever holds it asks one thing at a time; what must hold
 * before, the session's values and prepared names, goes ahead of it in the same write.
 */
final class Connection implements Environment.ConnectionListener {

    /** What an asking ended with. */
    interface Ended {

        /**
         * @param code null where it was a success; "CUT" where the connection ended before the
         *     answer did
         */
        void ended(
                List<String> rows,
                String stamp,
                String code,
                String text,
                char state,
                LogPosition position);
    }

    private record Ask(Ended ended, long at, long until) {}

    /**
     * A word of this front's own that is not answered by then is lost, and with it the order of
     * what follows.
     */
    private static final long OWN_MS = 1_500;

    /** Names and values that one connection remembers at the most. */
    private static final int MOST = 500;

    final Server server;
    boolean held;
    private Environment.Connection link;
    private final ServerResponseReader answers = new ServerResponseReader();
    private boolean over;

    /** As the last answer said. */
    private char state = 'I';

    private final Map<String, String> values = new HashMap<>();
    private final Set<String> prepared = new HashSet<>();
    private final ArrayDeque<Ask> asks = new ArrayDeque<>();

    Connection(Server server) {
        this.server = server;
    }

    void dial() {
        server.front.counts.dialed++;
        link =
                server.host()
                        .connect(server.address, Environment.Framing.LINES, Server.DIAL_MS, this);
        server.host()
                .schedule(
                        Server.DIAL_MS,
                        () -> {
                            if (!answers.isConnected() && !over) {
                                onClose("silent");
                                link.close();
                            }
                        });
    }

    @Override
    public void onOpen(Environment.Connection opened) {
        link = opened;
        send(
                "CONNECT "
                        + server.service.name
                        + " "
                        + server.front.settings.nodeName()
                        + " "
                        + server.id);
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
        if (!wanted.keySet().containsAll(values.keySet())
                || prepared.size() > MOST && state == 'I') {
            own(out, "RESET");
            values.clear();
            prepared.clear();
        }
        wanted.forEach(
                (name, value) -> {
                    if (!value.equals(values.get(name))) {
                        own(out, "SET " + name + " " + value);
                        values.put(name, value);
                    }
                });
    }

    private void own(StringBuilder out, String line) {
        out.append("QUERY - ").append(line).append("\r\n");
        asked(
                new Ask(
                        (r, s, failed, t, state, p) -> {
                            if (failed != null && !failed.equals("CUT")) {
                                // What follows would run with other values than its client was told
                                // of.
                                cut("out of step");
                            }
                        },
                        server.host().nowMillis(),
                        Long.MAX_VALUE));
    }

    private void asked(Ask ask) {
        asks.add(ask);
        answers.expectResponse();
    }

    /** Asks this front's own word, with nothing ahead of it. */
    void ask(String line, Ended ended) {
        ask(null, null, "-", line, server.host().nowMillis() + OWN_MS, ended);
    }

    /**
     * Asks once what goes ahead is set. Ends with UNSENT where the connection was over before
     * anything was written.
     *
     * @param shape what must be prepared, as "READ shape" or "WRITE shape"; null where nothing must
     * @param until without an answer by then the connection is left
     */
    void ask(
            Map<String, String> wanted,
            String shape,
            String id,
            String line,
            long until,
            Ended ended) {
        StringBuilder out = new StringBuilder();
        boolean rested = asks.isEmpty();
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
        asked(new Ask(ended, server.host().nowMillis(), until));
        server.out += rested ? 1 : 0;
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

    /**
     * Where what is out should have been answered by now, whatever else was heard of the server.
     */
    void overdue(long now) {
        for (Ask ask : asks) {
            if (now >= ask.until()) {
                cut("not answered");
                return;
            }
        }
    }

    @Override
    public void onMessage(byte[] bytes) {
        server.heard();
        boolean started = answers.isConnected();
        ServerResponseReader.ServerResponse is;
        try {
            is = answers.read(bytes);
        } catch (ServerResponseReader.ProtocolViolationException bad) {
            server.host().trace("left a connection to " + server.id + ": " + bad.getMessage());
            cut(bad.getMessage());
            return;
        }
        if (is == null) {
            return;
        }
        state = is.transactionStatus();
        server.seen = LogPosition.max(server.seen, is.logPosition());
        if (!started && is.errorCode() != null) {
            cut(is.errorCode());
        } else if (!started) {
            server.dialing--;
            server.free(this);
        } else {
            Ask ask = asks.poll();
            if (asks.isEmpty()) {
                server.out = Math.max(0, server.out - 1);
            }
            ask.ended()
                    .ended(
                            is.rows(),
                            is.completionTag(),
                            is.errorCode(),
                            is.errorMessage(),
                            is.transactionStatus(),
                            is.logPosition());
        }
    }

    /** Ends it from this side, as broken: all that is out is answered so. */
    void cut(String why) {
        if (!over) {
            onClose(why);
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
    public void onClose(String why) {
        if (over) {
            return;
        }
        over = true;
        boolean was = answers.isConnected();
        if (!was) {
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
