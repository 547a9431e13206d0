package dillfront.common.environment;

import java.io.PrintStream;

/**
 * The last things that were noted, in memory. They go out once something is wrong, with what led to
 * it, and at most so many times a minute: no trouble can make the log the next trouble.
 */
public final class RingLog {

    private static final int CAPACITY = 200;
    private static final int MAX_DUMPS_PER_MINUTE = 30;
    private static final long MINUTE_MS = 60_000;

    private final PrintStream out;
    private final String name;
    private final String[] lines = new String[CAPACITY];

    /** How many were noted, and how many of them went out or fell out. */
    private long recorded;

    private long consumed;
    private long currentMinute;
    private int dumpsThisMinute;

    public RingLog(PrintStream out, String name) {
        this.out = out;
        this.name = name;
    }

    public void record(long millis, String event) {
        lines[(int) (recorded++ % CAPACITY)] = millis + " " + event;
    }

    /** Notes it, and writes out all that was not written yet. */
    public void warn(long millis, String event) {
        record(millis, event);
        if (millis / MINUTE_MS != currentMinute) {
            currentMinute = millis / MINUTE_MS;
            dumpsThisMinute = 0;
        }
        if (++dumpsThisMinute > MAX_DUMPS_PER_MINUTE) {
            return;
        }
        StringBuilder text = new StringBuilder();
        if (recorded - consumed > CAPACITY) {
            text.append(name)
                    .append(" left out ")
                    .append(recorded - consumed - CAPACITY)
                    .append('\n');
            consumed = recorded - CAPACITY;
        }
        for (; consumed < recorded; consumed++) {
            text.append(name).append(' ').append(lines[(int) (consumed % CAPACITY)]).append('\n');
        }
        out.print(text);
        out.flush();
    }
}
