package dillfront.controlplane.failover;

import dillfront.common.database.LogPosition;
import dillfront.common.protocol.ServerRow;

/**
 * A database server's answer to STATUS.
 *
 * @param role primary or replica
 * @param term the newest that it knows of
 * @param position the end of its log
 * @param pauseTerm the term of the PAUSE under which it does not receive; 0 where it receives
 */
record ServerStatus(String role, long term, LogPosition position, long pauseTerm) {

    private static final int MIN_FIELDS = 4;
    private static final String NO_LOG = "-";

    boolean isPrimary() {
        return role.equals(ServerRow.PRIMARY_ROLE);
    }

    boolean isPaused() {
        return pauseTerm != 0;
    }

    /** Above all terms that it knows of. */
    long nextTerm() {
        return Math.max(Math.max(term, pauseTerm), position.term()) + 1;
    }

    /**
     * Reads a row of the answer.
     *
     * @return null where the text is no status
     */
    static ServerStatus parse(String row) {
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
