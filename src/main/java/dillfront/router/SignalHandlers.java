package dillfront.router;

import dillfront.common.logging.Log;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import sun.misc.Signal;

/** Words of the platform to the process, each heard on a thread of its own. */
public final class SignalHandlers {

    private SignalHandlers() {}

    /**
     * The type is no promise of the platform, and may go; a proxy round it costs 25 ms of every
     * start.
     */
    public static void register(String name, Runnable action, Log log) {
        try {
            Signal.handle(new Signal(name), signal -> action.run());
        } catch (IllegalArgumentException e) {
            log.warn("no-signal", "name", name, "fault", e);
        }
    }

    /**
     * Warns of a word that the system does not bring here. Who starts a process with a signal
     * ignored, as nohup does and some supervisors and shells, leaves it ignored there, and the JVM
     * then installs nothing and throws nothing.
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
                    "start it by env --default-signal="
                            + name
                            + ", as run in deploy/balancer.toml does");
        }
    }

    /** What Linux tells of this process; null elsewhere. */
    private static String readStatusField(String fieldName) {
        try {
            String status =
                    Files.readString(Path.of("/proc/self/status"), StandardCharsets.ISO_8859_1);
            int fieldStart = status.indexOf(fieldName);
            return fieldStart < 0 ? null : status.substring(fieldStart + fieldName.length(), status.indexOf('\n', fieldStart)).strip();
        } catch (IOException e) {
            return null;
        }
    }
}
