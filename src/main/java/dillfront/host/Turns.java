package dillfront.host;

import java.util.ArrayDeque;
import java.util.function.BiConsumer;

/**
 * The calls of one connection that are not answered yet. Answers are told apart by nothing but their order, so each goes
 * out in its call's turn, whenever it is ready; the first answer to a call counts, and what comes once the connection is over
 * goes nowhere.
 */
final class Turns {

    /** One call. */
    final class Turn {
        private final boolean last;
        private Host.Answer answer;
        private Host.Timer limit;

        private Turn(boolean last) {
            this.last = last;
        }

        void answer(Host.Answer is) {
            if (answer == null) {
                answer = is;
                if (limit != null) {
                    limit.cancel();
                }
                flush();
            }
        }
    }

    private final Host host;
    private final long longestMs;
    private final BiConsumer<Host.Answer, Boolean> out;
    private final ArrayDeque<Turn> open = new ArrayDeque<>();
    private boolean over;

    /**
     * @param longestMs a call without an answer gets 503 after so long, for those behind it wait for its turn
     * @param out where an answer goes, and whether it is the last of the connection
     */
    Turns(Host host, long longestMs, BiConsumer<Host.Answer, Boolean> out) {
        this.host = host;
        this.longestMs = longestMs;
        this.out = out;
    }

    int size() {
        return open.size();
    }

    /** @param last no call comes behind this one */
    Turn take(boolean last) {
        Turn turn = new Turn(last);
        open.add(turn);
        turn.limit = host.after(longestMs, () -> turn.answer(HttpDoor.said(503, "no answer in " + longestMs + " ms")));
        return turn;
    }

    private void flush() {
        while (!over && !open.isEmpty() && open.peek().answer != null) {
            Turn next = open.poll();
            over = next.last;
            out.accept(next.answer, next.last);
        }
    }

    /** The connection has ended. */
    void end() {
        over = true;
        open.forEach(turn -> turn.limit.cancel());
        open.clear();
    }
}
