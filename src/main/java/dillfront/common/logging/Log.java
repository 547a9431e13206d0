package dillfront.common.logging;

import java.io.PrintStream;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneOffset;

/**
 * Writes one line per event: time, level, event, then names and values. The rate is bounded, so
 * that a burst of errors cannot overload the process by its log; the next line that is written has
 * the number of dropped lines.
 */
public final class Log {

    private static final int LINES_A_SECOND = 40;

    private final PrintStream out;
    private long second;
    private int lines;
    private int dropped;

    public Log(PrintStream out) {
        this.out = out;
    }

    public void info(String event, Object... namesAndValues) {
        line("INFO", event, namesAndValues);
    }

    public void warn(String event, Object... namesAndValues) {
        line("WARN", event, namesAndValues);
    }

    private void line(String level, String event, Object... namesAndValues) {
        Instant now = Instant.now();
        if (now.getEpochSecond() != second) {
            second = now.getEpochSecond();
            lines = 0;
        }
        if (++lines > LINES_A_SECOND) {
            dropped++;
            return;
        }
        StringBuilder line =
                new StringBuilder(128)
                        .append(LocalDateTime.ofEpochSecond(second, now.getNano(), ZoneOffset.UTC))
                        .append("Z ")
                        .append(level)
                        .append(' ')
                        .append(event);
        for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
            Object given = namesAndValues[i + 1];
            String value =
                    given instanceof Throwable fault && fault.getStackTrace().length > 0
                            ? fault + " at " + fault.getStackTrace()[0]
                            : String.valueOf(given);
            line.append(' ').append(namesAndValues[i]).append('=');
            line.append(plain(value) ? value : quoted(value));
        }
        if (dropped > 0) {
            line.append(" lines_left_out=").append(dropped);
            dropped = 0;
        }
        out.println(line);
    }

    private static boolean plain(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c <= ' ' || c >= 127 || c == '"') {
                return false;
            }
        }
        return !value.isEmpty();
    }

    private static String quoted(String value) {
        StringBuilder text = new StringBuilder("\"");
        for (int i = 0; i < Math.min(200, value.length()); i++) {
            char c = value.charAt(i);
            text.append(c < ' ' || c == '"' || c > 126 ? '?' : c);
        }
        return text.append('"').toString();
    }
}
