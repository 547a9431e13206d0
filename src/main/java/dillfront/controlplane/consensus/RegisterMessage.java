package dillfront.controlplane.consensus;

import dillfront.common.message.MessageCodec;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Carries one process's register state to a peer: its acceptor and learner state, the round that it
 * leads as proposer, and a value that the peer lacks. Lost, duplicated and reordered messages are
 * harmless.
 *
 * @param received the ballot of the last value received from the addressee
 * @param proposal the ballot of the round that the sender leads; {@link Ballot#NONE} for none
 * @param proposalHasValue whether the round is in its accept phase, in which the value of that
 *     ballot is proposed
 * @param valueBallot the ballot of the value; {@link Ballot#NONE} if there is no value
 * @param value null for none
 */
public record RegisterMessage(
        Ballot promised,
        Ballot accepted,
        Ballot decided,
        Ballot received,
        Ballot proposal,
        boolean proposalHasValue,
        Ballot valueBallot,
        EncodedValue value) {

    private static final String PROMISED = "pb";
    private static final String ACCEPTED = "ab";
    private static final String DECIDED = "db";
    private static final String RECEIVED = "hv";
    private static final String PROPOSAL = "wb";
    private static final String PROPOSAL_HAS_VALUE = "wa";
    private static final String VALUE_BALLOT = "vb";
    private static final String VALUE = "v";

    /**
     * A {@link RegisterValue}, complete or as a delta to a value that the addressee has.
     *
     * @param revisionDigests pairs of a revision and the digest of its content
     * @param addsDigests whether the pairs are added to those of the base; otherwise they are
     *     complete
     * @param base the ballot of the base value; {@link Ballot#NONE} for a complete value
     * @param compressed the complete configuration; null for a delta
     * @param delta the delta to the base's configuration; null for an unchanged configuration or a
     *     complete value
     */
    public record EncodedValue(
            long epoch,
            String members,
            String outgoing,
            String retired,
            List<Long> revisionDigests,
            boolean addsDigests,
            Ballot base,
            byte[] compressed,
            byte[] delta) {

        private static final String EPOCH = "e";
        private static final String MEMBERS = "m";
        private static final String OUTGOING = "o";
        private static final String RETIRED = "x";
        private static final String DIGESTS = "p";
        private static final String ADDS_DIGESTS = "pr";
        private static final String BASE = "b";
        private static final String COMPRESSED = "cz";
        private static final String DELTA = "cx";

        boolean isComplete() {
            return base.equals(Ballot.NONE);
        }

        private Map<String, Object> toFields() {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put(EPOCH, epoch);
            fields.put(MEMBERS, members);
            fields.put(OUTGOING, outgoing);
            fields.put(RETIRED, retired);
            fields.put(DIGESTS, revisionDigests);
            fields.put(ADDS_DIGESTS, addsDigests);
            if (isComplete()) {
                fields.put(COMPRESSED, compressed);
            } else {
                fields.put(BASE, base.encode());
                if (delta != null) {
                    fields.put(DELTA, delta);
                }
            }
            return fields;
        }

        private static EncodedValue fromFields(MessageCodec.Fields fields)
                throws MessageCodec.MalformedMessageException {
            Ballot base = ballot(fields, BASE);
            byte[] compressed = fields.bytes(COMPRESSED);
            if (base.equals(Ballot.NONE) && compressed == null) {
                throw new MessageCodec.MalformedMessageException(
                        "complete register value has no configuration");
            }
            List<Long> digests = new ArrayList<>();
            for (String number : fields.strings(DIGESTS)) {
                try {
                    digests.add(Long.parseLong(number));
                } catch (NumberFormatException exception) {
                    throw new MessageCodec.MalformedMessageException(
                            "revision digest is not a number: " + number);
                }
            }
            return new EncodedValue(
                    fields.number(EPOCH, 0),
                    fields.string(MEMBERS),
                    fields.string(OUTGOING),
                    fields.string(RETIRED),
                    digests,
                    fields.flag(ADDS_DIGESTS),
                    base,
                    compressed,
                    fields.bytes(DELTA));
        }
    }

    /** Encodes the message as fields. */
    public Map<String, Object> toFields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(PROMISED, promised.encode());
        fields.put(ACCEPTED, accepted.encode());
        fields.put(DECIDED, decided.encode());
        fields.put(RECEIVED, received.encode());
        if (!proposal.equals(Ballot.NONE)) {
            fields.put(PROPOSAL, proposal.encode());
            fields.put(PROPOSAL_HAS_VALUE, proposalHasValue);
        }
        if (value != null) {
            fields.put(VALUE_BALLOT, valueBallot.encode());
            fields.put(VALUE, value.toFields());
        }
        return fields;
    }

    /**
     * Decodes the result of {@link #toFields}.
     *
     * @throws MessageCodec.MalformedMessageException if a ballot or the value is malformed
     */
    public static RegisterMessage fromFields(MessageCodec.Fields fields)
            throws MessageCodec.MalformedMessageException {
        MessageCodec.Fields value = fields.map(VALUE);
        return new RegisterMessage(
                ballot(fields, PROMISED),
                ballot(fields, ACCEPTED),
                ballot(fields, DECIDED),
                ballot(fields, RECEIVED),
                ballot(fields, PROPOSAL),
                fields.flag(PROPOSAL_HAS_VALUE),
                ballot(fields, VALUE_BALLOT),
                value == null ? null : EncodedValue.fromFields(value));
    }

    private static Ballot ballot(MessageCodec.Fields fields, String name)
            throws MessageCodec.MalformedMessageException {
        try {
            return Ballot.parse(fields.string(name));
        } catch (NumberFormatException exception) {
            throw new MessageCodec.MalformedMessageException(name + " is not a ballot");
        }
    }
}
