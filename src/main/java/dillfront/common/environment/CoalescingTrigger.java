package dillfront.common.environment;

/** Runs an action once for all requests of an interval. Confined to the environment's thread. */
public final class CoalescingTrigger {

    private final Environment environment;
    private final long intervalMillis;
    private final Runnable action;
    private boolean pending;
    private long lastRunMillis;

    /**
     * @param intervalMillis minimum interval between two runs of the action
     */
    public CoalescingTrigger(Environment environment, long intervalMillis, Runnable action) {
        this.environment = environment;
        this.intervalMillis = intervalMillis;
        this.action = action;
        lastRunMillis = -intervalMillis;
    }

    /** Requests a run, which happens at once or when the interval since the last run is over. */
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
