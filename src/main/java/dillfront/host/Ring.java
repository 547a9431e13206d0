package dillfront.host;

import java.io.PrintStream;

/**
 * The last things that were noted, in memory. They go out once something is wrong, with what led to
 * it, and at most so many times a minute: no trouble can make the log the next trouble.
 */
public final class Ring {

    private static final int KEPT = 200;
    private static final int OUT_A_MINUTE = 30;
    private static final long MINUTE_MS = 60_000;

    private final PrintStream out;
    private final String name;
    private final String[] lines = new String[KEPT];

    /** How many were noted, and how many of them went out or fell out. */
    private long noted;

    private long gone;
    private long minute;
    private int times;

    public Ring(PrintStream out, String name) {
        this.out = out;
        this.name = name;
    }

    public void note(long ms, String event) {
        lines[(int) (noted++ % KEPT)] = ms + " " + event;
    }

    /** Notes it, and writes out all that was not written yet. */
    public void wrong(long ms, String event) {
        note(ms, event);
        if (ms / MINUTE_MS != minute) {
            minute = ms / MINUTE_MS;
            times = 0;
        }
        if (++times > OUT_A_MINUTE) {
            return;
        }
        StringBuilder text = new StringBuilder();
        if (noted - gone > KEPT) {
            text.append(name).append(" left out ").append(noted - gone - KEPT).append('\n');
            gone = noted - KEPT;
        }
        for (; gone < noted; gone++) {
            text.append(name).append(' ').append(lines[(int) (gone % KEPT)]).append('\n');
        }
        out.print(text);
        out.flush();
    }
}
