package dillfront.router.pace;

import static dillfront.routing.api.Spans.times;

import java.time.Duration;

/**
 * Measures how far the router's single event loop thread is behind schedule, and decides how the
 * router reacts. On a machine with a share of a core the process can be paused for spans that it
 * notices only by a clock tick that runs later than scheduled. All sockets are then ready at once,
 * and the order of reading no longer reflects the order of arrival.
 *
 * <p>Pure: times are durations since the start and come with each call; the class reads no clock,
 * socket or random source. The caller reports when the next tick is due and when it has run; in
 * between, an overdue tick shows how long the thread has been blocked so far. The class decides how
 * long a turn handles queries, how old a query just read may be, and whether an expired time limit
 * is valid.
 */
public final class Pace {

    /** Duration of a turn in clock steps; the sockets are polled again after that. */
    private static final double TURN = 1;

    /**
     * Delay of a tick, in clock steps, that is within the timer's resolution and does not count as
     * lag.
     */
    private static final double GRAIN = 1;

    private Duration turn;
    private Duration grain;
    private Duration due;
    private Duration behind = Duration.ZERO;
    private Duration longest = Duration.ZERO;
    private boolean cameLate;

    /**
     * @param step the clock step, the shortest time that the router distinguishes
     */
    public Pace(Duration step) {
        step(step);
    }

    /** Changes the clock step. */
    public void step(Duration step) {
        turn = times(step, TURN);
        grain = times(step, GRAIN);
    }

    /** Sets the time at which the next tick is due. */
    public void expect(Duration when) {
        due = when;
    }

    /** Records that the tick has run. */
    public void came(Duration now) {
        Duration lag = lag(now);
        cameLate = !lag.isZero();
        if (cameLate) {
            behind = behind.plus(lag);
            longest = lag.compareTo(longest) > 0 ? lag : longest;
        }
        due = null;
    }

    /**
     * Returns how late the thread is at this moment; zero while it is within the timer's
     * resolution.
     */
    public Duration lag(Duration now) {
        if (due == null) {
            return Duration.ZERO;
        }
        Duration late = now.minus(due).minus(grain);
        return late.isNegative() ? Duration.ZERO : late;
    }

    /**
     * Returns whether everything that the sockets held one tick ago has been read: the last tick
     * ran on time, which it does after a poll of all sockets, and the next one is not overdue.
     * Otherwise the sockets are polled once more before a send.
     */
    public boolean sure(Duration now) {
        return due != null && !cameLate && lag(now).isZero();
    }

    /** Returns the total lag since the start; never decreases. */
    public Duration behind(Duration now) {
        return behind.plus(lag(now));
    }

    /** Returns the longest lag since the last call. */
    public Duration longest() {
        Duration was = longest;
        longest = Duration.ZERO;
        return was;
    }

    /**
     * Returns the maximum age of a query that has just been read, since it may have waited in its
     * socket while the thread was blocked. The maximum is used because an answer after the client's
     * time limit is useless.
     */
    public Duration age(Duration now) {
        return lag(now);
    }

    /**
     * Returns whether a turn may handle one more query. The limit ensures that a backlog of clients
     * does not delay the reading of list updates and answers: all sockets are polled between two
     * turns.
     */
    public boolean takesMore(Duration began, Duration now) {
        return now.minus(began).compareTo(turn) < 0;
    }

    /**
     * Returns whether an expired time limit is valid. It is not if the thread was late since the
     * limit was set: the answer may be waiting unread, so the sockets are polled once more.
     * Otherwise nodes would be blamed for the router's own pause.
     *
     * @param behindThen total lag at the time when the limit was set
     */
    public boolean believes(Duration behindThen, Duration now) {
        return behind(now).compareTo(behindThen) <= 0;
    }
}
