package dillfront.controlplane.consensus;

import dillfront.common.message.MessageCodec;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one process says of the register to another: its state as acceptor and learner, the round
 * that it leads as proposer, and a value that the other lacks. A message that is lost, repeated or
 * late does no harm.
 *
 * @param received the ballot of the last value that came from the addressee
 * @param proposal the ballot of the round that it leads; {@link Ballot#NONE} for none
 * @param proposalHasValue the round is in its accept phase: the value of that ballot is offered
 * @param valueBallot of the value; {@link Ballot#NONE} where there is none
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
     * A {@link RegisterValue}, whole or by its difference from one that the addressee has.
     *
     * @param revisionDigests pairs of a revision and the digest of its content
     * @param addsDigests the pairs are those that the base lacks; else they are all
     * @param base the ballot of the value that this one is told by; {@link Ballot#NONE} for a whole
     *     one
     * @param compressed the whole configuration; null where there is a base
     * @param delta from the base's configuration; null where it is the same, or for a whole value
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
                throw new MessageCodec.MalformedMessageException("a value without a configuration");
            }
            List<Long> digests = new ArrayList<>();
            for (String number : fields.strings(DIGESTS)) {
                try {
                    digests.add(Long.parseLong(number));
                } catch (NumberFormatException exception) {
                    throw new MessageCodec.MalformedMessageException(
                            "a digest that is no number: " + number);
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

    /** The fields of a message. */
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
     * Reads what {@link #toFields} made.
     *
     * @throws MessageCodec.MalformedMessageException where a ballot or a value is none
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
            throw new MessageCodec.MalformedMessageException(name + ": no ballot");
        }
    }
}
