package dillfront.common.environment;

/**
 * Runs an action soon after it was requested, and at most once an interval, however often it is
 * requested. Called on the environment's thread.
 */
public final class CoalescingTrigger {

    private final Environment environment;
    private final long intervalMillis;
    private final Runnable action;
    private boolean pending;
    private long lastRunMillis;

    /**
     * @param intervalMillis between two runs of the action, at the least
     */
    public CoalescingTrigger(Environment environment, long intervalMillis, Runnable action) {
        this.environment = environment;
        this.intervalMillis = intervalMillis;
        this.action = action;
        lastRunMillis = -intervalMillis;
    }

    /** The action is to run: at once, or once the interval since the last run is over. */
    public void request() {
        if (pending) {
            return;
        }
        pending = true;
        long delay = lastRunMillis + intervalMillis - environment.nowMillis();
        environment.schedule(Math.max(0, delay), this::run);
    }

    private void run() {
        pending = false;
        lastRunMillis = environment.nowMillis();
        action.run();
    }
}
