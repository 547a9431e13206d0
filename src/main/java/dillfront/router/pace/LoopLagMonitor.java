package dillfront.router.pace;

import static dillfront.routing.api.Durations.multiply;

import java.time.Duration;

/**
 * What the router knows of its own time: how far its one thread is behind, and what it does about
 * that. A machine that gets part of a core stands still for spans that it cannot see from inside,
 * but for one sign: the clock's beat comes later than it was due. All sockets are ready at once
 * then, and what is read first must not be what came first.
 *
 * <p>Pure: times are spans since the start and come with each call; nothing here reads a clock, a
 * socket or a chance. The caller says when the next beat is due, and that it has come; in between,
 * a beat that is overdue tells how long the thread has been away by now. Decisions: how long a turn
 * takes queries, how old a query may be that has just been read, and whether a time limit that ran
 * meanwhile is to be believed.
 */
public final class LoopLagMonitor {

    /** A turn takes queries for this many steps of the clock, then looks at the sockets again. */
    private static final double TURN_STEPS = 1;

    /** Up to so many steps a beat is late by the timer's own grain: that is no delay. */
    private static final double RESOLUTION_STEPS = 1;

    private Duration turnLimit;
    private Duration resolution;
    private Duration dueAt;
    private Duration totalLag = Duration.ZERO;
    private Duration longestLag = Duration.ZERO;
    private boolean lastTickLate;

    /**
     * @param step the clock's step, the shortest time that the router counts with
     */
    public LoopLagMonitor(Duration step) {
        setStep(step);
    }

    /** The clock has another step from now on. */
    public void setStep(Duration step) {
        turnLimit = multiply(step, TURN_STEPS);
        resolution = multiply(step, RESOLUTION_STEPS);
    }

    /** The next beat is to come then. */
    public void expectTick(Duration nextTickAt) {
        dueAt = nextTickAt;
    }

    /** The beat has come. */
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
     * By how much the thread is late at this moment; zero while it is on time, by the timer's
     * grain.
     */
    public Duration lag(Duration now) {
        if (dueAt == null) {
            return Duration.ZERO;
        }
        Duration late = now.minus(dueAt).minus(resolution);
        return late.isNegative() ? Duration.ZERO : late;
    }

    /**
     * Whether what the sockets held a beat ago has been read: the last beat came on time, which it
     * does after a look at all sockets, and the next is not overdue. Where it is not sure, the news
     * are read by themselves before a send.
     */
    public boolean isSocketDataRead(Duration now) {
        return dueAt != null && !lastTickLate && lag(now).isZero();
    }

    /** All the time since the start for which the thread was late; never falls. */
    public Duration totalLag(Duration now) {
        return totalLag.plus(lag(now));
    }

    /** The longest delay since this was last asked. */
    public Duration longestLag() {
        Duration previous = longestLag;
        longestLag = Duration.ZERO;
        return previous;
    }

    /**
     * How long ago a query that has just been read may have come: it lay in its socket while the
     * thread was away. The longest that can be, since an answer after the client's time is no
     * answer.
     */
    public Duration maxQueryAge(Duration now) {
        return lag(now);
    }

    /**
     * Whether a turn that began then takes one more query. Guards against a backlog of clients that
     * keeps the news of the list, and answers that have come, unread: between two turns all sockets
     * are looked at.
     */
    public boolean mayContinueTurn(Duration turnStartedAt, Duration now) {
        return now.minus(turnStartedAt).compareTo(turnLimit) < 0;
    }

    /**
     * Whether a time limit that has run out is believed. Not if the thread was behind since the
     * limit was set: the answer may lie unread, so the sockets are looked at once more. Guards
     * against nodes blamed for the router's own pause.
     *
     * @param lagAtStart what behind() was when the limit was set
     */
    public boolean isTimeLimitValid(Duration lagAtStart, Duration now) {
        return totalLag(now).compareTo(lagAtStart) <= 0;
    }
}
