package dillfront.simulation;

import java.time.Duration;

/** Schedules tasks in real or virtual time. */
public interface Clockwork {

    /** Returns the time since the start of the run. */
    Duration now();

    void after(Duration span, Runnable work);
}
