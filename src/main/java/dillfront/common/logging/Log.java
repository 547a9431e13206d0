package dillfront.common.logging;

import java.io.PrintStream;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneOffset;

/**
 * One line an event, on standard error: time, level, event, then names and values. Bounded in rate,
 * so that no trouble can make the log the next trouble; what was left out is counted in the next
 * line that goes out.
 */
public final class Log {

    private static final int MAX_LINES_PER_SECOND = 40;

    private final PrintStream out;
    private long currentSecond;
    private int linesInSecond;
    private int droppedLines;

    public Log(PrintStream out) {
        this.out = out;
    }

    public void info(String event, Object... namesAndValues) {
        write("INFO", event, namesAndValues);
    }

    public void warn(String event, Object... namesAndValues) {
        write("WARN", event, namesAndValues);
    }

    private void write(String level, String event, Object... namesAndValues) {
        Instant now = Instant.now();
        if (now.getEpochSecond() != currentSecond) {
            currentSecond = now.getEpochSecond();
            linesInSecond = 0;
        }
        if (++linesInSecond > MAX_LINES_PER_SECOND) {
            droppedLines++;
            return;
        }
        StringBuilder line =
                new StringBuilder(128)
                        .append(
                                LocalDateTime.ofEpochSecond(
                                        currentSecond, now.getNano(), ZoneOffset.UTC))
                        .append("Z ")
                        .append(level)
                        .append(' ')
                        .append(event);
        for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
            Object argument = namesAndValues[i + 1];
            String value =
                    argument instanceof Throwable throwable && throwable.getStackTrace().length > 0
                            ? throwable + " at " + throwable.getStackTrace()[0]
                            : String.valueOf(argument);
            line.append(' ').append(namesAndValues[i]).append('=');
            line.append(isPlain(value) ? value : quote(value));
        }
        if (droppedLines > 0) {
            line.append(" lines_left_out=").append(droppedLines);
            droppedLines = 0;
        }
        out.println(line);
    }

    private static boolean isPlain(String value) {
        for (int i = 0; i < value.length(); i++) {
            char character = value.charAt(i);
            if (character <= ' ' || character >= 127 || character == '"') {
                return false;
            }
        }
        return !value.isEmpty();
    }

    private static String quote(String value) {
        StringBuilder text = new StringBuilder("\"");
        for (int i = 0; i < Math.min(200, value.length()); i++) {
            char character = value.charAt(i);
            text.append(character < ' ' || character == '"' || character > 126 ? '?' : character);
        }
        return text.append('"').toString();
    }
}
