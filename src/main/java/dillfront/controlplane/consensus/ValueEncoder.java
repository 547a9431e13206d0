package dillfront.controlplane.consensus;

import dillfront.common.config.Configuration;
import dillfront.common.message.BinaryDelta;
import dillfront.common.message.Compression;
import dillfront.controlplane.consensus.RegisterMessage.EncodedValue;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;

/**
 * Encodes values for messages, against a value that the addressee has where there is one. What was
 * encoded for one peer serves all others that have the same base.
 */
final class ValueEncoder {

    private Ballot encodedBallot = Ballot.NONE;

    /** Encodings of that ballot's value, by the ballot of their base. */
    private final TreeMap<Ballot, EncodedValue> byBase = new TreeMap<>();

    /**
     * @param baseBallot {@link Ballot#NONE} where the addressee has nothing that is known here
     * @param base the value of that ballot; null for none
     */
    EncodedValue encode(Ballot ballot, RegisterValue value, Ballot baseBallot, RegisterValue base) {
        if (!ballot.equals(encodedBallot)) {
            encodedBallot = ballot;
            byBase.clear();
        }
        return byBase.computeIfAbsent(baseBallot, b -> encode(value, b, base));
    }

    private static EncodedValue encode(RegisterValue value, Ballot baseBallot, RegisterValue base) {
        // The base may have revisions that were never decided, or with another content: then all
        // digests go along.
        boolean addsDigests =
                base != null
                        && base.mergedDigests(value.revisionDigests())
                                .equals(value.revisionDigests());
        List<Long> digests = new ArrayList<>();
        value.revisionDigests()
                .forEach(
                        (revision, digest) -> {
                            if (!addsDigests
                                    || !digest.equals(base.revisionDigests().get(revision))) {
                                digests.add(revision);
                                digests.add(digest);
                            }
                        });
        byte[] body = value.configuration().body();
        boolean sameBody = base != null && Arrays.equals(body, base.configuration().body());
        return new EncodedValue(
                value.epoch(),
                RegisterValue.formatIds(value.members()),
                RegisterValue.formatIds(value.outgoing()),
                RegisterValue.formatIds(value.retired()),
                digests,
                addsDigests,
                baseBallot,
                base == null ? Compression.compress(body) : null,
                base == null || sameBody
                        ? null
                        : BinaryDelta.create(base.configuration().body(), body));
    }

    /**
     * The value again.
     *
     * @param base the value of the encoded value's base; null for a whole one
     * @return null where it does not fit the base, or is damaged
     * @throws Configuration.InvalidConfigurationException where its configuration is of a form that
     *     this version does not know
     */
    static RegisterValue decode(EncodedValue encoded, RegisterValue base)
            throws Configuration.InvalidConfigurationException {
        TreeMap<Long, Long> digests = new TreeMap<>();
        List<Long> pairs = encoded.revisionDigests();
        for (int i = 0; i + 1 < pairs.size(); i += 2) {
            digests.put(pairs.get(i), pairs.get(i + 1));
        }
        Configuration configuration;
        try {
            configuration = configuration(encoded, base);
        } catch (BinaryDelta.InvalidDeltaException | Compression.CorruptDataException exception) {
            return null;
        }
        return new RegisterValue(
                encoded.epoch(),
                RegisterValue.parseIds(encoded.members()),
                RegisterValue.parseIds(encoded.outgoing()),
                RegisterValue.parseIds(encoded.retired()),
                configuration,
                encoded.addsDigests() && base != null ? base.mergedDigests(digests) : digests);
    }

    private static Configuration configuration(EncodedValue encoded, RegisterValue base)
            throws Configuration.InvalidConfigurationException,
                    BinaryDelta.InvalidDeltaException,
                    Compression.CorruptDataException {
        Configuration known = base == null ? Configuration.NONE : base.configuration();
        byte[] body;
        if (encoded.delta() != null) {
            body = BinaryDelta.apply(known.body(), encoded.delta());
        } else if (base == null) {
            body = Compression.decompress(encoded.compressed(), BinaryDelta.MAX_BYTES);
        } else {
            return known;
        }
        return body.length == 0 ? Configuration.NONE : Configuration.parse(body);
    }
}
