package dillfront.host;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A database server's lines on one connection, put together to answers. The wire tells answers
 * apart by nothing but their order, so each line must be the next of the answer that is due; where
 * it is not, nobody can say any more whose the following ones are, and the connection is to be
 * left.
 */
public final class Answers {

    /**
     * One whole answer.
     *
     * @param stamp null where it failed
     * @param code null where it was a success
     * @param state I, T or E
     */
    public record Answer(
            List<String> rows,
            String stamp,
            String code,
            String text,
            char state,
            Position position) {}

    /** A line that is not the next of an answer that is due. */
    public static final class OutOfStep extends Exception {
        private static final long serialVersionUID = 1;

        OutOfStep(String why) {
            super(why);
        }
    }

    private int due;
    private boolean connected;
    private List<String> rows = new ArrayList<>();
    private String stamp;
    private String code;
    private String text = "";

    /** One more answer is due: CONNECT's is from the start. */
    public void asked() {
        due++;
    }

    /** Whether CONNECT was answered with READY. */
    public boolean connected() {
        return connected;
    }

    /**
     * Takes one line.
     *
     * @return the answer that it ends; null where there is more to come. CONNECT's is a READY
     *     alone, or an ERROR alone
     */
    public Answer read(byte[] bytes) throws OutOfStep {
        String line = new String(bytes, StandardCharsets.ISO_8859_1);
        int blank = line.indexOf(' ');
        String word = blank < 0 ? line : line.substring(0, blank);
        String rest = blank < 0 ? "" : line.substring(blank + 1);
        if (connected && due == 0) {
            throw new OutOfStep("an answer to nothing: " + word);
        }
        boolean decided = stamp != null || code != null;
        switch (word) {
            case "ROW":
                if (!connected || decided) {
                    throw new OutOfStep("a row out of place");
                }
                rows.add(rest);
                return null;
            case "COMPLETE":
                if (!connected || decided) {
                    throw new OutOfStep("a second end of an answer");
                }
                stamp = rest;
                return null;
            case "ERROR":
                {
                    if (decided) {
                        throw new OutOfStep("a second end of an answer");
                    }
                    int gap = rest.indexOf(' ');
                    code = gap < 0 ? rest : rest.substring(0, gap);
                    text = gap < 0 ? "" : rest.substring(gap + 1);
                    return connected ? null : take('I', null);
                }
            case "READY":
                {
                    if (connected ? !decided : decided) {
                        throw new OutOfStep("half an answer");
                    }
                    char state = rest.isEmpty() ? '?' : rest.charAt(0);
                    int gap = rest.indexOf(' ');
                    Position position = gap < 0 ? null : Position.of(rest.substring(gap + 1));
                    if (connected) {
                        due--;
                    }
                    connected = true;
                    return take(state, position);
                }
            default:
                throw new OutOfStep("no word of the wire");
        }
    }

    private Answer take(char state, Position position) {
        Answer is = new Answer(rows, stamp, code, text, state, position);
        rows = new ArrayList<>();
        stamp = null;
        code = null;
        text = "";
        return is;
    }
}
