package dillfront.common.environment;

import java.io.PrintStream;

/**
 * Keeps the last events in a ring buffer and writes them out with the next warning, which shows
 * what led to it. The number of dumps per minute is bounded, so that a burst of warnings cannot
 * overload the process by its log.
 */
public final class RingLog {

    private static final int CAPACITY = 200;
    private static final int MAX_DUMPS_PER_MINUTE = 30;
    private static final long MINUTE_MS = 60_000;

    private final PrintStream out;
    private final String name;
    private final String[] lines = new String[CAPACITY];

    /** Number of events that were recorded. */
    private long recorded;

    /** Number of events that were written or overwritten. */
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

    /** Records an event and writes all events since the last dump. */
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
                    .append(" dropped ")
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
