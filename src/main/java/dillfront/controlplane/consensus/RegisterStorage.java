package dillfront.controlplane.consensus;

import dillfront.common.config.Configuration;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The form in which an acceptor's state stands on disk: texts under names. A configuration is cut
 * into chunks, for a text of the store has a bound.
 */
final class RegisterStorage {

    private static final String PROMISED = "promised-ballot";
    private static final String ACCEPTED = "accepted-ballot";
    private static final String EPOCH = "epoch";
    private static final String MEMBERS = "members";
    private static final String OUTGOING = "outgoing";
    private static final String RETIRED = "dropped";
    private static final String DIGESTS = "past";
    private static final String CHUNK = "piece";
    private static final String CHUNK_COUNT = "pieces";
    private static final int CHUNK_CHARS = 16_000;

    /** How many chunks may be on the disk, be it that a write of theirs failed. */
    private int chunkCount;

    /**
     * What an acceptor had on its disk.
     *
     * @param value null where nothing was accepted
     */
    record AcceptorState(Ballot promised, Ballot accepted, RegisterValue value) {}

    AcceptorState restore(Map<String, String> texts)
            throws Configuration.InvalidConfigurationException {
        Ballot promised = Ballot.parse(texts.getOrDefault(PROMISED, ""));
        Ballot accepted = Ballot.parse(texts.getOrDefault(ACCEPTED, ""));
        chunkCount = Integer.parseInt(texts.getOrDefault(CHUNK_COUNT, "0"));
        if (accepted.equals(Ballot.NONE)) {
            return new AcceptorState(promised, accepted, null);
        }
        RegisterValue value =
                new RegisterValue(
                        Long.parseLong(texts.getOrDefault(EPOCH, "0")),
                        RegisterValue.parseIds(texts.getOrDefault(MEMBERS, "")),
                        RegisterValue.parseIds(texts.getOrDefault(OUTGOING, "")),
                        RegisterValue.parseIds(texts.getOrDefault(RETIRED, "")),
                        configuration(texts),
                        digests(texts.getOrDefault(DIGESTS, "")));
        return new AcceptorState(promised, accepted, value);
    }

    private Configuration configuration(Map<String, String> texts)
            throws Configuration.InvalidConfigurationException {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < chunkCount; i++) {
            text.append(texts.getOrDefault(CHUNK + i, ""));
        }
        return text.length() == 0
                ? Configuration.NONE
                : Configuration.parse(text.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static TreeMap<Long, Long> digests(String text) {
        TreeMap<Long, Long> digests = new TreeMap<>();
        for (String pair : text.split(",")) {
            int colon = pair.indexOf(':');
            if (colon > 0) {
                digests.put(
                        Long.parseLong(pair.substring(0, colon)),
                        Long.parseLong(pair.substring(colon + 1)));
            }
        }
        return digests;
    }

    /** A promise alone. */
    static Map<String, String> promise(Ballot ballot) {
        return Map.of(PROMISED, ballot.encode());
    }

    /**
     * An accepted value with its ballot, which is a promise too.
     *
     * @param storedValue what is on the disk; a configuration that is the same is not written again
     */
    Map<String, String> acceptance(
            Ballot promised, Ballot ballot, RegisterValue value, RegisterValue storedValue) {
        Map<String, String> texts = new HashMap<>();
        texts.put(PROMISED, promised.encode());
        texts.put(ACCEPTED, ballot.encode());
        texts.put(EPOCH, Long.toString(value.epoch()));
        texts.put(MEMBERS, RegisterValue.formatIds(value.members()));
        texts.put(OUTGOING, RegisterValue.formatIds(value.outgoing()));
        texts.put(RETIRED, RegisterValue.formatIds(value.retired()));
        StringBuilder digests = new StringBuilder();
        value.revisionDigests()
                .forEach(
                        (revision, digest) ->
                                digests.append(revision).append(':').append(digest).append(','));
        texts.put(DIGESTS, digests.toString());
        if (storedValue == null || value.configuration() != storedValue.configuration()) {
            addChunks(texts, new String(value.configuration().body(), StandardCharsets.UTF_8));
        }
        return texts;
    }

    private void addChunks(Map<String, String> texts, String body) {
        int count = 0;
        int start = 0;
        while (start < body.length()) {
            int end = Math.min(body.length(), start + CHUNK_CHARS);
            if (end < body.length() && Character.isHighSurrogate(body.charAt(end - 1))) {
                end--;
            }
            texts.put(CHUNK + count, body.substring(start, end));
            count++;
            start = end;
        }
        for (int i = count; i < chunkCount; i++) {
            texts.put(CHUNK + i, "");
        }
        chunkCount = count;
        texts.put(CHUNK_COUNT, Integer.toString(count));
    }

    int chunkCount() {
        return chunkCount;
    }

    /** A write failed: whether its chunks, or those before, are on the disk is not known. */
    void onWriteFailed(int chunkCountBefore) {
        chunkCount = Math.max(chunkCountBefore, chunkCount);
    }
}
