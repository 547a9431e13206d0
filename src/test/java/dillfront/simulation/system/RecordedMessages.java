package dillfront.simulation.system;

import dillfront.common.message.MessageCodec;
import dillfront.simulation.ControlMeasure;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Runs simulations and records the messages of the processes. The files under
 * src/test/resources/messages were written by {@link #main} on revision 6ff1719; the digests were
 * written again when data planes began to report acknowledged commits after a departure, when
 * commits came to be acknowledged only while the primary is certain, when rows came to tell the age
 * of a drain, when draining replicas came to be paused, and when departures came to be proven by
 * their rows and members to answer a new lease holder at once. They are written again only for an
 * intended change of the protocol or of decisions.
 */
final class RecordedMessages {

    static final Path FOLDER = Path.of("src/test/resources/messages");
    static final Path DIGESTS = FOLDER.resolve("day-digests.txt");
    static final Path EXAMPLES = FOLDER.resolve("system-messages.txt");
    static final Path TEXT_MESSAGES = FOLDER.resolve("http-and-lines.txt");
    private static final int RANDOM_RUNS = 12;
    private static final int WORST_CASE_RUNS = 24;

    private RecordedMessages() {}

    /** Returns the simulations whose messages are recorded, by name, before their run. */
    static Map<String, SystemSimulation> simulations() {
        Map<String, SystemSimulation> simulations = new TreeMap<>();
        for (long seed = 1; seed <= RANDOM_RUNS; seed++) {
            SystemSimulation simulation = new SystemSimulation(seed, 2, 2, 9, 24_000);
            simulation.addRandomFaults();
            simulations.put("random-" + seed, simulation);
        }
        for (long seed = 1; seed <= WORST_CASE_RUNS; seed++) {
            simulations.put("worst-" + seed, ControlMeasure.scheduleOf(seed));
        }
        return simulations;
    }

    /**
     * Runs the simulation and returns the number of messages and a digest of the time, ends and
     * bytes of each.
     */
    static String runAndDigest(SystemSimulation simulation, Simulator.MessageObserver observer) {
        MessageDigest digest = sha256();
        long[] count = new long[1];
        simulation.simulator.messageObserver =
                (from, to, kind, message) -> {
                    count[0]++;
                    digest.update(
                            ByteBuffer.allocate(Long.BYTES)
                                    .putLong(0, simulation.simulator.micros()));
                    digest.update(
                            (from + '>' + to + ' ' + kind + '\n').getBytes(StandardCharsets.UTF_8));
                    digest.update(message);
                    observer.onSent(from, to, kind, message);
                };
        simulation.run();
        return count[0] + " " + HexFormat.of().formatHex(digest.digest());
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * Returns the fields of a message with the type of each value, as paths from the outermost
     * field; repeated elements appear once.
     */
    static TreeSet<String> shape(Object value, String path) {
        TreeSet<String> shape = new TreeSet<>();
        if (value instanceof Map<?, ?> map) {
            map.forEach((name, element) -> shape.addAll(shape(element, path + "/" + name)));
        } else if (value instanceof List<?> list) {
            list.forEach(element -> shape.addAll(shape(element, path + "[]")));
        } else {
            shape.add(path + ":" + (value == null ? "null" : value.getClass().getSimpleName()));
        }
        return shape;
    }

    /** Formats a message as text: names in order, bytes in Base64. */
    static String format(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> parts = new ArrayList<>();
            new TreeMap<>(map).forEach((name, element) -> parts.add(name + "=" + format(element)));
            return "{" + String.join(", ", parts) + "}";
        } else if (value instanceof List<?> list) {
            return "["
                    + String.join(", ", list.stream().map(RecordedMessages::format).toList())
                    + "]";
        } else if (value instanceof byte[] bytes) {
            return "b64:" + Base64.getEncoder().encodeToString(bytes);
        }
        return value instanceof String text
                ? "'" + text.replace("\n", "\\n") + "'"
                : String.valueOf(value);
    }

    /**
     * Collects the first HTTP request, HTTP response and text line of each kind for each pair of
     * machine kinds.
     */
    static final class FirstTextMessages implements Simulator.MessageObserver {

        private final Map<String, String> firstByKind = new TreeMap<>();

        @Override
        public void onSent(String from, String to, String kind, byte[] message) {
            if (kind.equals("FRAMES")) {
                return;
            }
            String text = new String(message, StandardCharsets.ISO_8859_1);
            boolean isLine = kind.equals("LINES");
            String kindName =
                    isLine
                            ? text.replaceAll("[ \r\n].*", "")
                            : kind.replaceAll("(/[A-Za-z]+\\.[A-Za-z]+).*", "$1");
            String direction = machineKind(from) + ">" + machineKind(to);
            firstByKind.putIfAbsent(
                    direction + " " + kindName,
                    direction + " " + (isLine ? "" : kind + " ") + text.replace("\r\n", "\\r\\n"));
        }

        private static String machineKind(String name) {
            return name.startsWith("10.") ? "address" : name.replaceAll("\\d*-.*", "");
        }

        List<String> lines() {
            return List.copyOf(firstByKind.values());
        }
    }

    public static void main(String[] args) throws IOException {
        FirstTextMessages textMessages = new FirstTextMessages();
        List<String> digests = new ArrayList<>();
        List<String> examples = new ArrayList<>();
        TreeSet<String> seenShapes = new TreeSet<>();
        simulations()
                .forEach(
                        (name, simulation) ->
                                digests.add(
                                        name
                                                + " "
                                                + runAndDigest(
                                                        simulation,
                                                        (from, to, kind, message) -> {
                                                            textMessages.onSent(
                                                                    from, to, kind, message);
                                                            if (kind.equals("FRAMES")) {
                                                                try {
                                                                    Map<String, Object> fields =
                                                                            MessageCodec.decode(
                                                                                            message)
                                                                                    .values();
                                                                    String direction =
                                                                            from.replaceAll(
                                                                                            "-.*",
                                                                                            "")
                                                                                    + ">"
                                                                                    + to.replaceAll(
                                                                                            "-.*",
                                                                                            "");
                                                                    if (seenShapes.addAll(
                                                                            shape(
                                                                                    fields,
                                                                                    direction))) {
                                                                        examples.add(
                                                                                direction
                                                                                        + " "
                                                                                        + Base64
                                                                                                .getEncoder()
                                                                                                .encodeToString(
                                                                                                        message)
                                                                                        + " "
                                                                                        + format(
                                                                                                fields));
                                                                    }
                                                                } catch (
                                                                        MessageCodec
                                                                                        .MalformedMessageException
                                                                                malformed) {
                                                                    throw new IllegalStateException(
                                                                            malformed);
                                                                }
                                                            }
                                                        })));
        Files.createDirectories(FOLDER);
        Files.write(DIGESTS, digests);
        Files.write(EXAMPLES, examples);
        Files.write(TEXT_MESSAGES, textMessages.lines());
    }
}
