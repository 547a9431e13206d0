package dillfront.common.database;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A database server's lines on one connection, put together to answers. The wire tells answers
 * apart by nothing but their order, so each line must be the next of the answer that is due; where
 * it is not, nobody can say any more whose the following ones are, and the connection is to be
 * left.
 */
public final class ServerResponseReader {

    /**
     * One whole answer.
     *
     * @param completionTag null where it failed
     * @param errorCode null where it was a success
     * @param transactionStatus I, T or E
     */
    public record ServerResponse(
            List<String> rows,
            String completionTag,
            String errorCode,
            String errorMessage,
            char transactionStatus,
            LogPosition logPosition) {}

    /** A line that is not the next of an answer that is due. */
    public static final class ProtocolViolationException extends Exception {
        private static final long serialVersionUID = 1;

        ProtocolViolationException(String why) {
            super(why);
        }
    }

    private int outstanding;
    private boolean connected;
    private List<String> rows = new ArrayList<>();
    private String completionTag;
    private String errorCode;
    private String errorMessage = "";

    /** One more answer is due: CONNECT's is from the start. */
    public void expectResponse() {
        outstanding++;
    }

    /** Whether CONNECT was answered with READY. */
    public boolean isConnected() {
        return connected;
    }

    /**
     * Takes one line.
     *
     * @return the answer that it ends; null where there is more to come. CONNECT's is a READY
     *     alone, or an ERROR alone
     */
    public ServerResponse read(byte[] bytes) throws ProtocolViolationException {
        String line = new String(bytes, StandardCharsets.ISO_8859_1);
        int blank = line.indexOf(' ');
        String word = blank < 0 ? line : line.substring(0, blank);
        String rest = blank < 0 ? "" : line.substring(blank + 1);
        if (connected && outstanding == 0) {
            throw new ProtocolViolationException("an answer to nothing: " + word);
        }
        boolean decided = completionTag != null || errorCode != null;
        switch (word) {
            case "ROW":
                if (!connected || decided) {
                    throw new ProtocolViolationException("a row out of place");
                }
                rows.add(rest);
                return null;
            case "COMPLETE":
                if (!connected || decided) {
                    throw new ProtocolViolationException("a second end of an answer");
                }
                completionTag = rest;
                return null;
            case "ERROR":
                {
                    if (decided) {
                        throw new ProtocolViolationException("a second end of an answer");
                    }
                    int gap = rest.indexOf(' ');
                    errorCode = gap < 0 ? rest : rest.substring(0, gap);
                    errorMessage = gap < 0 ? "" : rest.substring(gap + 1);
                    return connected ? null : finish('I', null);
                }
            case "READY":
                {
                    if (connected ? !decided : decided) {
                        throw new ProtocolViolationException("half an answer");
                    }
                    char state = rest.isEmpty() ? '?' : rest.charAt(0);
                    int gap = rest.indexOf(' ');
                    LogPosition position =
                            gap < 0 ? null : LogPosition.parse(rest.substring(gap + 1));
                    if (connected) {
                        outstanding--;
                    }
                    connected = true;
                    return finish(state, position);
                }
            default:
                throw new ProtocolViolationException("no word of the wire");
        }
    }

    private ServerResponse finish(char state, LogPosition position) {
        ServerResponse is =
                new ServerResponse(rows, completionTag, errorCode, errorMessage, state, position);
        rows = new ArrayList<>();
        completionTag = null;
        errorCode = null;
        errorMessage = "";
        return is;
    }
}
