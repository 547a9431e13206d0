package dillfront.router.pace;

import static dillfront.routing.api.Durations.multiply;

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
public final class LoopLagMonitor {

    /** Duration of a turn in clock steps; the sockets are polled again after that. */
    private static final double TURN_STEPS = 1;

    /**
     * Delay of a tick, in clock steps, that is within the timer's resolution and does not count as
     * lag.
     */
    private static final double RESOLUTION_STEPS = 1;

    private Duration turnLimit;
    private Duration resolution;
    private Duration dueAt;
    private Duration totalLag = Duration.ZERO;
    private Duration longestLag = Duration.ZERO;
    private boolean lastTickLate;

    /**
     * @param step the clock step, the shortest time that the router distinguishes
     */
    public LoopLagMonitor(Duration step) {
        setStep(step);
    }

    /** Changes the clock step. */
    public void setStep(Duration step) {
        turnLimit = multiply(step, TURN_STEPS);
        resolution = multiply(step, RESOLUTION_STEPS);
    }

    /** Sets the time at which the next tick is due. */
    public void expectTick(Duration nextTickAt) {
        dueAt = nextTickAt;
    }

    /** Records that the tick has run. */
    public void recordTick(Duration now) {
        Duration lag = lag(now);
        lastTickLate = !lag.isZero();
        if (lastTickLate) {
            totalLag = totalLag.plus(lag);
            longestLag = lag.compareTo(longestLag) > 0 ? lag : longestLag;
        }
        dueAt = null;
    }

    /**
     * Returns how late the thread is at this moment; zero while it is within the timer's
     * resolution.
     */
    public Duration lag(Duration now) {
        if (dueAt == null) {
            return Duration.ZERO;
        }
        Duration late = now.minus(dueAt).minus(resolution);
        return late.isNegative() ? Duration.ZERO : late;
    }

    /**
     * Returns whether everything that the sockets held one tick ago has been read: the last tick
     * ran on time, which it does after a poll of all sockets, and the next one is not overdue.
     * Otherwise the sockets are polled once more before a send.
     */
    public boolean isSocketDataRead(Duration now) {
        return dueAt != null && !lastTickLate && lag(now).isZero();
    }

    /** Returns the total lag since the start; never decreases. */
    public Duration totalLag(Duration now) {
        return totalLag.plus(lag(now));
    }

    /** Returns the longest lag since the last call. */
    public Duration longestLag() {
        Duration previous = longestLag;
        longestLag = Duration.ZERO;
        return previous;
    }

    /**
     * Returns the maximum age of a query that has just been read, since it may have waited in its
     * socket while the thread was blocked. The maximum is used because an answer after the client's
     * time limit is useless.
     */
    public Duration maxQueryAge(Duration now) {
        return lag(now);
    }

    /**
     * Returns whether a turn may handle one more query. The limit ensures that a backlog of clients
     * does not delay the reading of list updates and answers: all sockets are polled between two
     * turns.
     */
    public boolean mayContinueTurn(Duration turnStartedAt, Duration now) {
        return now.minus(turnStartedAt).compareTo(turnLimit) < 0;
    }

    /**
     * Returns whether an expired time limit is valid. It is not if the thread was late since the
     * limit was set: the answer may be waiting unread, so the sockets are polled once more.
     * Otherwise nodes would be blamed for the router's own pause.
     *
     * @param lagAtStart total lag at the time when the limit was set
     */
    public boolean isTimeLimitValid(Duration lagAtStart, Duration now) {
        return totalLag(now).compareTo(lagAtStart) <= 0;
    }
}
