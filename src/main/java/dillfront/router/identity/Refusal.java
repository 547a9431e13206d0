package dillfront.router.identity;

import java.util.Locale;

/** Why someone is not let in, or his txn is not taken. */
public enum Refusal {
    /** His name is in no principal's. */
    UNKNOWN("28000"),
    /** His credential has run out, or was not good yet. */
    EXPIRED("28000"),
    /** The key that signed it counts no more. */
    KEY_ENDED("28000"),
    /** The credential itself was taken back. */
    REVOKED("28000"),
    /** The files that say who may come could not be read for too long. */
    STALE("57P03"),
    /** He, or many at his address, guessed too often: not looked at before the wait is over. */
    PENALTY("28000"),
    /** A rule denies this txn, or none allows it. */
    NO_RIGHT("42501"),
    /** Beyond what he may begin a second, or have out at once. */
    BUSY("53300");

    private final String sqlState;

    Refusal(String code) {
        this.sqlState = code;
    }

    /** As SQLSTATE, PostgreSQL's appendix A. */
    public String sqlState() {
        return sqlState;
    }

    /** As people are told. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** The session itself is over by it, once what it has out is answered. */
    public boolean endsSession() {
        return this == UNKNOWN || this == EXPIRED || this == KEY_ENDED || this == REVOKED;
    }
}
