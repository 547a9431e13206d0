package dillfront.router;

import dillfront.common.logging.Log;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import sun.misc.Signal;

/** Registers signal handlers; each handler runs on a thread of its own. */
public final class SignalHandlers {

    private SignalHandlers() {}

    /**
     * Uses sun.misc.Signal directly, an unsupported API; access by a dynamic proxy adds 25 ms to
     * every start.
     */
    public static void register(String name, Runnable action, Log log) {
        try {
            Signal.handle(new Signal(name), signal -> action.run());
        } catch (IllegalArgumentException e) {
            log.warn("no-signal", "name", name, "fault", e);
        }
    }

    /**
     * Warns if the process ignores the signal. A parent that starts a process with a signal
     * ignored, as nohup and some supervisors and shells do, leaves it ignored, and the JVM then
     * installs no handler without reporting an error.
     */
    static void warnIfIgnored(String name, int number, String consequence, Log log) {
        String ignored = readStatusField("SigIgn:");
        if (ignored != null && (Long.parseUnsignedLong(ignored, 16) >>> number - 1 & 1) != 0) {
            log.warn(
                    "signal-ignored",
                    "name",
                    name,
                    "follows",
                    consequence,
                    "do",
                    "start the process with env --default-signal="
                            + name
                            + ", as run in deploy/balancer.toml does");
        }
    }

    /** Returns a field of /proc/self/status; null on systems other than Linux. */
    private static String readStatusField(String fieldName) {
        try {
            String status =
                    Files.readString(Path.of("/proc/self/status"), StandardCharsets.ISO_8859_1);
            int fieldStart = status.indexOf(fieldName);
            return fieldStart < 0
                    ? null
                    : status.substring(
                                    fieldStart + fieldName.length(),
                                    status.indexOf('\n', fieldStart))
                            .strip();
        } catch (IOException e) {
            return null;
        }
    }
}
