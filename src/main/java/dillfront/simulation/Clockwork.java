package dillfront.simulation;

import java.time.Duration;

/** Time, virtual or not, and what is to be done later. */
public interface Clockwork {

    /** Since the start. */
    Duration now();

    void after(Duration span, Runnable work);
}
