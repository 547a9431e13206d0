package dillfront.simulation;

import java.time.Duration;

/** Time, virtual or not, and what is to be done later. */
public interface TaskScheduler {

    /** Since the start. */
    Duration now();

    void schedule(Duration delay, Runnable task);
}
