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
 * Encodes values for messages, as a delta if the addressee has a known base value. Encodings are
 * shared by all peers with the same base.
 */
final class ValueEncoder {

    private Ballot encodedBallot = Ballot.NONE;

    /** Encodings of the value with that ballot, by the base's ballot. */
    private final TreeMap<Ballot, EncodedValue> byBase = new TreeMap<>();

    /**
     * Returns the encoded value.
     *
     * @param baseBallot {@link Ballot#NONE} if the addressee has no value that is known to this
     *     process
     * @param base the value of the base ballot; null for none
     */
    EncodedValue encode(Ballot ballot, RegisterValue value, Ballot baseBallot, RegisterValue base) {
        if (!ballot.equals(encodedBallot)) {
            encodedBallot = ballot;
            byBase.clear();
        }
        return byBase.computeIfAbsent(baseBallot, b -> encode(value, b, base));
    }

    private static EncodedValue encode(RegisterValue value, Ballot baseBallot, RegisterValue base) {
        // If the base has revisions that were never decided, or that have another content, all
        // digests are sent.
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
     * Decodes a value.
     *
     * @param base the value of the encoded value's base ballot; null for a complete value
     * @return null if the encoded value does not match the base or is damaged
     * @throws Configuration.InvalidConfigurationException if this version does not support the
     *     format of the configuration
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
