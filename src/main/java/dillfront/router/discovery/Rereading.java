package dillfront.router.discovery;

import java.time.Duration;

/**
 * When a router that hears nothing of discovery looks whether its configuration names another place
 * by now. Guards against a word that was lost: a SIGHUP that nobody caught, or that went to a
 * process which was just starting.
 *
 * <p>At once when discovery is lost, then at gaps that double: a file that is read again and again
 * says nothing new, and a discovery that is down for an hour is down for every router. Pure: the
 * caller has the clock.
 */
public final class Rereading {

    /** The first gap and the longest, in dial time-outs. */
    private static final int FIRST_DIALS = 1;

    private static final int LAST_DIALS = 16;

    private final Duration first;
    private final Duration last;
    private Duration gap;
    private Duration next = Duration.ZERO;

    /**
     * @param dial how long a connection may take to come up
     */
    public Rereading(Duration dial) {
        first = dial.multipliedBy(FIRST_DIALS);
        last = dial.multipliedBy(LAST_DIALS);
        gap = first;
    }

    /** Discovery was lost, or was tried in vain; whether the configuration is to be read now. */
    public boolean lost(Duration now) {
        if (now.compareTo(next) < 0) {
            return false;
        }
        next = now.plus(gap);
        gap = gap.multipliedBy(2).compareTo(last) < 0 ? gap.multipliedBy(2) : last;
        return true;
    }

    /**
     * Discovery has told something. The gap since the last reading stays: one that comes and goes
     * asks for no more.
     */
    public void heard() {
        gap = first;
    }
}
