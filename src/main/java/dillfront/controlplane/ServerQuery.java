package dillfront.controlplane;

import dillfront.common.database.LogPosition;
import dillfront.common.database.ServerResponseReader;
import dillfront.common.environment.Environment;
import dillfront.controlplane.registry.DatabaseServer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * One question to a database server, on a connection of its own: STATUS, and a word that may follow
 * from its answer.
 */
final class ServerQuery implements Environment.ConnectionListener {

    /** What it answered of itself. */
    record ServerStatus(String role, long term, LogPosition position, long pauseTerm) {

        boolean isPrimary() {
            return role.equals("primary");
        }

        /** Above all that it knows of. */
        long nextTerm() {
            return Math.max(Math.max(term, pauseTerm), position.term()) + 1;
        }
    }

    /** It did not answer: why. */
    static final class NoResponseException extends Exception {
        private static final long serialVersionUID = 1;

        /** It runs and answers, but not this, or not now. */
        final boolean serverAlive;

        NoResponseException(String why, boolean alive) {
            super(why);
            this.serverAlive = alive;
        }
    }

    private final ControlNode core;
    private final DatabaseServer to;
    private final Function<ServerStatus, String> then;

    /** The lease under which it was asked, and when its time is over. */
    private final long lease;

    private final long until;
    private final CompletableFuture<ServerStatus> answer = new CompletableFuture<>();
    private final ServerResponseReader answers = new ServerResponseReader();
    private Environment.Connection link;
    private boolean second;

    private ServerQuery(
            ControlNode core,
            DatabaseServer to,
            long timeoutMs,
            Function<ServerStatus, String> then) {
        this.core = core;
        this.to = to;
        this.then = then;
        lease = core.lease.number();
        until = core.host.nowMillis() + timeoutMs;
    }

    /**
     * Asks for its state, and then for what follows from that.
     *
     * @param then gives the second word; null for none
     */
    static CompletableFuture<ServerStatus> ask(
            ControlNode core,
            DatabaseServer to,
            long timeoutMs,
            Function<ServerStatus, String> then) {
        ServerQuery q = new ServerQuery(core, to, timeoutMs, then);
        q.link = core.host.connect(to.address, Environment.Framing.LINES, (int) timeoutMs, q);
        core.host.schedule(
                timeoutMs,
                () -> q.end(new NoResponseException("no answer in " + timeoutMs + " ms", false)));
        return q.answer;
    }

    private void end(NoResponseException why) {
        if (!answer.isDone()) {
            if (answers.isConnected()) {
                say("GOODBYE");
            }
            link.close();
            answer.completeExceptionally(why);
        }
    }

    private void say(String line) {
        link.send(line.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void ask(String word) {
        answers.expectResponse();
        say("QUERY - " + word);
    }

    @Override
    public void onOpen(Environment.Connection opened) {
        link = opened;
        say("CONNECT " + to.service + " control " + to.id);
    }

    @Override
    public void onMessage(byte[] message) {
        if (answer.isDone()) {
            return;
        }
        boolean connected = answers.isConnected();
        ServerResponseReader.ServerResponse is;
        try {
            is = answers.read(message);
        } catch (ServerResponseReader.ProtocolViolationException bad) {
            end(new NoResponseException(bad.getMessage(), true));
            return;
        }
        if (is == null) {
            return;
        }
        if (is.errorCode() != null) {
            // WRONGNODE: another is there, and this one is not.
            end(
                    new NoResponseException(
                            is.errorCode() + " " + is.errorMessage(),
                            !is.errorCode().equals("WRONGNODE")));
        } else if (core.host.nowMillis() >= until) {
            // This process was away: what it would say now was decided long ago.
            end(new NoResponseException("answered too late", true));
        } else if (!connected) {
            ask("STATUS");
        } else {
            answered(is.rows().isEmpty() ? null : parseStatus(is.rows().get(is.rows().size() - 1)));
        }
    }

    private void answered(ServerStatus row) {
        String next = row == null || second || then == null ? null : then.apply(row);
        if (row == null) {
            end(new NoResponseException("no state in its answer", true));
        } else if (next == null) {
            say("GOODBYE");
            link.close();
            answer.complete(row);
        } else if (core.lease.number() != lease || !core.lease.isHeld()) {
            end(new NoResponseException("the lease is over", true));
        } else {
            second = true;
            ask(next);
        }
    }

    static ServerStatus parseStatus(String text) {
        String[] part = text.split(" ");
        LogPosition position = part.length < 4 ? null : LogPosition.parse(part[2]);
        if (position == null && part.length >= 4 && part[2].equals("-")) {
            position = LogPosition.NONE;
        }
        try {
            return position == null
                    ? null
                    : new ServerStatus(
                            part[0], Long.parseLong(part[1]), position, Long.parseLong(part[3]));
        } catch (NumberFormatException none) {
            return null;
        }
    }

    @Override
    public void onClose(String why) {
        answer.completeExceptionally(new NoResponseException(why, false));
    }
}
