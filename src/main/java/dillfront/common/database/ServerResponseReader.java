package dillfront.common.database;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes the responses of a database server from the lines received on one connection. The
 * protocol identifies a response only by its order, so each line must continue the response that is
 * due. After any other line, the following responses cannot be assigned to requests and the
 * connection must be closed.
 */
public final class ServerResponseReader {

    /**
     * One complete response.
     *
     * @param completionTag null if the statement failed
     * @param errorCode null if the statement succeeded
     * @param transactionStatus I (idle), T (in a transaction) or E (in a failed transaction)
     */
    public record ServerResponse(
            List<String> rows,
            String completionTag,
            String errorCode,
            String errorMessage,
            char transactionStatus,
            LogPosition logPosition) {}

    /** Thrown for a line that does not continue the response that is due. */
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

    /**
     * Registers a request whose response is due. The response to CONNECT is expected from the
     * start.
     */
    public void expectResponse() {
        outstandingResponses++;
    }

    /** Returns whether the server has answered CONNECT with READY. */
    public boolean isConnected() {
        return connected;
    }

    /**
     * Decodes one line. The response to CONNECT consists of READY alone or ERROR alone.
     *
     * @return the response that this line completes; null if more lines are due
     */
    public ServerResponse read(byte[] bytes) throws ProtocolViolationException {
        String line = new String(bytes, StandardCharsets.ISO_8859_1);
        int keywordEnd = line.indexOf(' ');
        String keyword = keywordEnd < 0 ? line : line.substring(0, keywordEnd);
        String arguments = keywordEnd < 0 ? "" : line.substring(keywordEnd + 1);
        if (connected && outstandingResponses == 0) {
            throw new ProtocolViolationException(
                    "response without an outstanding request: " + keyword);
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
                    throw new ProtocolViolationException("second result line in one response");
                }
                completionTag = arguments;
                return null;
            case "ERROR":
                {
                    if (hasResult) {
                        throw new ProtocolViolationException("second result line in one response");
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
                throw new ProtocolViolationException("unknown keyword");
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
