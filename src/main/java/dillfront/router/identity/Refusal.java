package dillfront.router.identity;

import java.util.Locale;

/** Why a session or a transaction is refused. */
public enum Refusal {
    /** No principal has this name. */
    UNKNOWN("28000"),
    /** The credential has expired, or is not valid yet. */
    EXPIRED("28000"),
    /** The key that signed the credential was retired. */
    KEY_ENDED("28000"),
    /** The credential itself was revoked. */
    REVOKED("28000"),
    /** The policy files have been unreadable for longer than the staleness bound. */
    STALE("57P03"),
    /** Too many failed logins of this name or address: not checked before the delay is over. */
    PENALTY("28000"),
    /** A rule denies the transaction, or none allows it. */
    NO_RIGHT("42501"),
    /** The rate limit or a limit on transactions in flight is reached. */
    BUSY("53300");

    private final String sqlState;

    Refusal(String code) {
        this.sqlState = code;
    }

    /** Returns the SQLSTATE (PostgreSQL documentation, appendix A). */
    public String sqlState() {
        return sqlState;
    }

    /** Returns the name for error messages and log lines. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns whether the session ends with it, after its transactions in flight. */
    public boolean endsSession() {
        return this == UNKNOWN || this == EXPIRED || this == KEY_ENDED || this == REVOKED;
    }
}
