package dillfront.simulation;

import java.time.Duration;

/** Schedules tasks in real or virtual time. */
public interface TaskScheduler {

    /** Returns the time since the start of the run. */
    Duration now();

    void schedule(Duration delay, Runnable task);
}
