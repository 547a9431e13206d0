package dillfront.simulation.system;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.message.MessageCodec;
import dillfront.common.protocol.SubscriptionCodec;
import dillfront.controlplane.peer.PeerMessageCodec;
import java.io.IOException;
import java.nio.file.Files;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * What the processes of the whole system say to each other is what they said before the code was
 * renamed and split.
 */
class RecordedMessagesTest {

    /**
     * Each byte, each moment and each decision of these days, HTTP calls and the lines of the wire
     * among them.
     */
    @Test
    void daysSendTheSameMessages() throws IOException {
        Map<String, String> expected = new TreeMap<>();
        for (String line : Files.readAllLines(RecordedMessages.DIGESTS)) {
            String[] part = line.split(" ", 2);
            expected.put(part[0], part[1]);
        }
        Map<String, SystemSimulation> days = RecordedMessages.days();
        assertEquals(expected.keySet(), days.keySet());
        Map<String, String> actual = new TreeMap<>();
        RecordedMessages.FirstTextMessages texts = new RecordedMessages.FirstTextMessages();
        days.forEach((name, day) -> actual.put(name, RecordedMessages.digest(day, texts)));
        assertEquals(
                String.join("\n", Files.readAllLines(RecordedMessages.TEXTS)),
                String.join("\n", texts.lines()));
        assertEquals(expected, actual);
    }

    /** Each codec reads the bytes of earlier versions, and writes the same bytes again. */
    @Test
    void recordedMessagesAreReadAndWrittenAlike() throws Exception {
        List<String> lines = Files.readAllLines(RecordedMessages.EXAMPLES);
        assertTrue(lines.size() > 20, "examples: " + lines.size());
        for (String line : lines) {
            String[] part = line.split(" ", 3);
            byte[] message = Base64.getDecoder().decode(part[1]);
            MessageCodec.Fields fields = MessageCodec.decode(message);
            assertEquals(part[2], RecordedMessages.text(fields.values()));
            assertArrayEquals(message, passed(part[0], message, fields), part[2]);
        }
    }

    private static byte[] passed(String ends, byte[] message, MessageCodec.Fields fields)
            throws MessageCodec.MalformedMessageException {
        return switch (ends) {
            case "core>core" ->
                    PeerMessageCodec.encode(PeerMessageCodec.decode(fields, fields.number("n", 0)));
            case "front>core" -> SubscriptionCodec.encode(SubscriptionCodec.decodeRequest(fields));
            case "core>front" ->
                    SubscriptionCodec.encode(SubscriptionCodec.decodeResponse(message));
            default -> throw new AssertionError(ends);
        };
    }
}
