package dillfront.common.database;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the responses of a database server on one connection from its lines. The protocol tells
 * responses apart by nothing but their order, so each line must be the next of the response that is
 * due; where it is not, nobody can say whose the following ones are, and the connection is to be
 * closed.
 */
public final class ServerResponseReader {

    /**
     * One complete response.
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

    /** A line that is not the next of a response that is due. */
    public static final class ProtocolViolationException extends Exception {
        private static final long serialVersionUID = 1;

        ProtocolViolationException(String message) {
            super(message);
        }
    }

    private int outstandingResponses;
    private boolean connected;
    private List<String> rows = new ArrayList<>();
    private String completionTag;
    private String errorCode;
    private String errorMessage = "";

    /** One more response is due: that of CONNECT is from the start. */
    public void expectResponse() {
        outstandingResponses++;
    }

    /** Whether CONNECT was answered with READY. */
    public boolean isConnected() {
        return connected;
    }

    /**
     * Takes one line.
     *
     * @return the response that it ends; null where there is more to come. That of CONNECT is a
     *     READY alone, or an ERROR alone
     */
    public ServerResponse read(byte[] bytes) throws ProtocolViolationException {
        String line = new String(bytes, StandardCharsets.ISO_8859_1);
        int keywordEnd = line.indexOf(' ');
        String keyword = keywordEnd < 0 ? line : line.substring(0, keywordEnd);
        String arguments = keywordEnd < 0 ? "" : line.substring(keywordEnd + 1);
        if (connected && outstandingResponses == 0) {
            throw new ProtocolViolationException("an answer to nothing: " + keyword);
        }
        boolean hasResult = completionTag != null || errorCode != null;
        switch (keyword) {
            case "ROW":
                if (!connected || hasResult) {
                    throw new ProtocolViolationException("a row out of place");
                }
                rows.add(arguments);
                return null;
            case "COMPLETE":
                if (!connected || hasResult) {
                    throw new ProtocolViolationException("a second end of an answer");
                }
                completionTag = arguments;
                return null;
            case "ERROR":
                {
                    if (hasResult) {
                        throw new ProtocolViolationException("a second end of an answer");
                    }
                    int fieldEnd = arguments.indexOf(' ');
                    errorCode = fieldEnd < 0 ? arguments : arguments.substring(0, fieldEnd);
                    errorMessage = fieldEnd < 0 ? "" : arguments.substring(fieldEnd + 1);
                    return connected ? null : finish('I', null);
                }
            case "READY":
                {
                    if (connected ? !hasResult : hasResult) {
                        throw new ProtocolViolationException("half an answer");
                    }
                    char transactionStatus = arguments.isEmpty() ? '?' : arguments.charAt(0);
                    int fieldEnd = arguments.indexOf(' ');
                    LogPosition logPosition =
                            fieldEnd < 0
                                    ? null
                                    : LogPosition.parse(arguments.substring(fieldEnd + 1));
                    if (connected) {
                        outstandingResponses--;
                    }
                    connected = true;
                    return finish(transactionStatus, logPosition);
                }
            default:
                throw new ProtocolViolationException("no word of the wire");
        }
    }

    private ServerResponse finish(char transactionStatus, LogPosition logPosition) {
        ServerResponse response =
                new ServerResponse(
                        rows,
                        completionTag,
                        errorCode,
                        errorMessage,
                        transactionStatus,
                        logPosition);
        rows = new ArrayList<>();
        completionTag = null;
        errorCode = null;
        errorMessage = "";
        return response;
    }
}
