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
    void sendsRecordedMessages() throws IOException {
        Map<String, String> expected = new TreeMap<>();
        for (String line : Files.readAllLines(RecordedMessages.DIGESTS)) {
            String[] fields = line.split(" ", 2);
            expected.put(fields[0], fields[1]);
        }
        Map<String, SystemSimulation> simulations = RecordedMessages.simulations();
        assertEquals(expected.keySet(), simulations.keySet());
        Map<String, String> actual = new TreeMap<>();
        RecordedMessages.FirstTextMessages textMessages = new RecordedMessages.FirstTextMessages();
        simulations.forEach(
                (name, simulation) ->
                        actual.put(name, RecordedMessages.runAndDigest(simulation, textMessages)));
        assertEquals(
                String.join("\n", Files.readAllLines(RecordedMessages.TEXT_MESSAGES)),
                String.join("\n", textMessages.lines()));
        assertEquals(expected, actual);
    }

    /** Each codec reads the bytes of earlier versions, and writes the same bytes again. */
    @Test
    void reencodesRecordedMessagesUnchanged() throws Exception {
        List<String> lines = Files.readAllLines(RecordedMessages.EXAMPLES);
        assertTrue(lines.size() > 20, "examples: " + lines.size());
        for (String line : lines) {
            String[] part = line.split(" ", 3);
            byte[] message = Base64.getDecoder().decode(part[1]);
            MessageCodec.Fields fields = MessageCodec.decode(message);
            assertEquals(part[2], RecordedMessages.format(fields.values()));
            assertArrayEquals(message, reencode(part[0], message, fields), part[2]);
        }
    }

    private static byte[] reencode(String direction, byte[] message, MessageCodec.Fields fields)
            throws MessageCodec.MalformedMessageException {
        return switch (direction) {
            case "core>core" ->
                    PeerMessageCodec.encode(PeerMessageCodec.decode(fields, fields.number("n", 0)));
            case "front>core" -> SubscriptionCodec.encode(SubscriptionCodec.decodeRequest(fields));
            case "core>front" ->
                    SubscriptionCodec.encode(SubscriptionCodec.decodeResponse(message));
            default -> throw new AssertionError(direction);
        };
    }
}
