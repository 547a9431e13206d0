package dillfront.core;

import dillfront.host.Answers;
import dillfront.host.Host;
import dillfront.host.Position;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * One question to a database server, on a connection of its own: STATUS, and a word that may follow
 * from its answer.
 */
final class Question implements Host.Ear {

    /** What it answered of itself. */
    record Row(String role, long term, Position position, long held) {

        boolean leads() {
            return role.equals("primary");
        }

        /** Above all that it knows of. */
        long next() {
            return Math.max(Math.max(term, held), position.term()) + 1;
        }
    }

    /** It did not answer: why. */
    static final class Unanswered extends Exception {
        private static final long serialVersionUID = 1;

        /** It runs and answers, but not this, or not now. */
        final boolean alive;

        Unanswered(String why, boolean alive) {
            super(why);
            this.alive = alive;
        }
    }

    private final Core core;
    private final Member to;
    private final Function<Row, String> then;

    /** The lease under which it was asked, and when its time is over. */
    private final long lease;

    private final long until;
    private final CompletableFuture<Row> answer = new CompletableFuture<>();
    private final Answers answers = new Answers();
    private Host.Link link;
    private boolean second;

    private Question(Core core, Member to, long timeoutMs, Function<Row, String> then) {
        this.core = core;
        this.to = to;
        this.then = then;
        lease = core.lease.number();
        until = core.host.now() + timeoutMs;
    }

    /**
     * Asks for its state, and then for what follows from that.
     *
     * @param then gives the second word; null for none
     */
    static CompletableFuture<Row> ask(
            Core core, Member to, long timeoutMs, Function<Row, String> then) {
        Question q = new Question(core, to, timeoutMs, then);
        q.link = core.host.dial(to.address, Host.Form.LINES, (int) timeoutMs, q);
        core.host.after(
                timeoutMs, () -> q.end(new Unanswered("no answer in " + timeoutMs + " ms", false)));
        return q.answer;
    }

    private void end(Unanswered why) {
        if (!answer.isDone()) {
            if (answers.connected()) {
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
        answers.asked();
        say("QUERY - " + word);
    }

    @Override
    public void opened(Host.Link opened) {
        link = opened;
        say("CONNECT " + to.service + " control " + to.id);
    }

    @Override
    public void message(byte[] message) {
        if (answer.isDone()) {
            return;
        }
        boolean connected = answers.connected();
        Answers.Answer is;
        try {
            is = answers.read(message);
        } catch (Answers.OutOfStep bad) {
            end(new Unanswered(bad.getMessage(), true));
            return;
        }
        if (is == null) {
            return;
        }
        if (is.code() != null) {
            // WRONGNODE: another is there, and this one is not.
            end(new Unanswered(is.code() + " " + is.text(), !is.code().equals("WRONGNODE")));
        } else if (core.host.now() >= until) {
            // This process was away: what it would say now was decided long ago.
            end(new Unanswered("answered too late", true));
        } else if (!connected) {
            ask("STATUS");
        } else {
            answered(is.rows().isEmpty() ? null : read(is.rows().get(is.rows().size() - 1)));
        }
    }

    private void answered(Row row) {
        String next = row == null || second || then == null ? null : then.apply(row);
        if (row == null) {
            end(new Unanswered("no state in its answer", true));
        } else if (next == null) {
            say("GOODBYE");
            link.close();
            answer.complete(row);
        } else if (core.lease.number() != lease || !core.lease.holds()) {
            end(new Unanswered("the lease is over", true));
        } else {
            second = true;
            ask(next);
        }
    }

    static Row read(String text) {
        String[] part = text.split(" ");
        Position position = part.length < 4 ? null : Position.of(part[2]);
        if (position == null && part.length >= 4 && part[2].equals("-")) {
            position = Position.NONE;
        }
        try {
            return position == null
                    ? null
                    : new Row(part[0], Long.parseLong(part[1]), position, Long.parseLong(part[3]));
        } catch (NumberFormatException none) {
            return null;
        }
    }

    @Override
    public void closed(String why) {
        answer.completeExceptionally(new Unanswered(why, false));
    }
}
