package dillfront.daemon;

import dillfront.log.Log;
import sun.misc.Signal;

/** Words of the platform to the process, each heard on a thread of its own. */
public final class Signals {

    private Signals() {}

    /** The type is no promise of the platform, and may go; a proxy round it costs 25 ms of every start. */
    public static void on(String name, Runnable run, Log log) {
        try {
            Signal.handle(new Signal(name), signal -> run.run());
        } catch (IllegalArgumentException none) {
            log.warn("no-signal", "name", name, "fault", none);
        }
    }
}
