package dillfront.common.protocol;

import dillfront.common.database.LogPosition;

/**
 * A database server's answer to STATUS.
 *
 * @param role primary or replica
 * @param term the newest term known to the server
 * @param position the end of the server's log
 * @param pauseTerm the term of the PAUSE command under which the server does not receive; 0 if the
 *     server receives
 */
public record ServerStatus(String role, long term, LogPosition position, long pauseTerm) {

    private static final int MIN_FIELDS = 4;
    private static final String NO_LOG = "-";

    /** Returns whether the server accepts writes. */
    public boolean isPrimary() {
        return role.equals(ServerRow.PRIMARY_ROLE);
    }

    /** Returns whether the server receives nothing because of a PAUSE command. */
    public boolean isPaused() {
        return pauseTerm != 0;
    }

    /** Returns a term above all terms known to the server. */
    public long nextTerm() {
        return Math.max(Math.max(term, pauseTerm), position.term()) + 1;
    }

    /**
     * Parses a row of the answer.
     *
     * @return null if the row is not a status
     */
    public static ServerStatus parse(String row) {
        String[] fields = row.split(" ");
        if (fields.length < MIN_FIELDS) {
            return null;
        }
        LogPosition position =
                fields[2].equals(NO_LOG) ? LogPosition.NONE : LogPosition.parse(fields[2]);
        try {
            return position == null
                    ? null
                    : new ServerStatus(
                            fields[0],
                            Long.parseLong(fields[1]),
                            position,
                            Long.parseLong(fields[3]));
        } catch (NumberFormatException exception) {
            return null;
        }
    }
}
