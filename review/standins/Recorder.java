package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to the record of a case, with the time since its start. */
final class Recorder {

    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Recorder() {}

    static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Milliseconds since the start, on the monotonic clock. */
    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    static synchronized void record(String format, Object... arguments) {
        out.printf(Locale.ROOT, "%9.1f  %s%n", now(), String.format(Locale.ROOT, format, arguments));
    }

    /** Writes a line to the record and to standard output. */
    static void say(String format, Object... arguments) {
        record(format, arguments);
        System.out.println(String.format(Locale.ROOT, format, arguments));
    }
}
