package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the milliseconds since the start. */
final class Record {

    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
    }

    synchronized void line(String text) {
        out.printf("%9.3f %s%n", (System.nanoTime() - startNanos) / 1e9, text);
    }

    /** Also shows the line on standard output. */
    void show(String text) {
        line(text);
        System.out.println(text);
    }

    synchronized void close() {
        out.close();
    }

    static String brief(String text) {
        return text.length() <= 60 ? text : text.substring(0, 40) + "...(" + text.length() + ")";
    }
}
