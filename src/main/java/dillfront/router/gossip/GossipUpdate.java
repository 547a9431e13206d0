package dillfront.router.gossip;

import java.time.Duration;

/**
 * One thing that one instance said, under its own signature, and that others pass on as it was
 * signed. Nobody can say a word in another's name, and nobody says anew what he only heard.
 *
 * @param origin index of the instance that said it, in the ring of those who may speak
 * @param incarnation the origin's own, at that time; it alone raises it
 * @param number rises with each word of an incarnation
 * @param subject of SILENT: index of the instance; of CLAIM: what stands for the node at every
 *     instance alike
 * @param detail of SILENT: the subject's incarnation that is meant; of CLAIM: the symptom's ordinal
 * @param evidence of CLAIM: how many submissions or probes tell of it
 * @param symptomDuration of CLAIM: for how long it had lasted when this was said
 * @param createdAt by the origin's clock, since the zero of Unix time
 * @param signedBytes the bytes that were signed and their signature; empty in virtual time
 */
public record GossipUpdate(
        int origin,
        int incarnation,
        int number,
        UpdateKind kind,
        long subject,
        int detail,
        int evidence,
        Duration symptomDuration,
        Duration createdAt,
        byte[] signedBytes) {

    private static final byte[] UNSIGNED = new byte[0];

    /** A word not signed yet, as its origin makes it. */
    public static GossipUpdate of(
            int origin,
            int incarnation,
            int number,
            UpdateKind kind,
            long subject,
            int detail,
            int evidence,
            Duration symptomDuration,
            Duration createdAt) {
        return new GossipUpdate(
                origin,
                incarnation,
                number,
                kind,
                subject,
                detail,
                evidence,
                symptomDuration,
                createdAt,
                UNSIGNED);
    }

    public GossipUpdate signedBytes(byte[] bytes) {
        return new GossipUpdate(
                origin,
                incarnation,
                number,
                kind,
                subject,
                detail,
                evidence,
                symptomDuration,
                createdAt,
                bytes);
    }

    /** Whether it takes the other's place: of the same origin, on the same matter, said later. */
    boolean supersedes(GossipUpdate other) {
        return sameSubject(other)
                && (incarnation != other.incarnation
                        ? incarnation > other.incarnation
                        : number > other.number);
    }

    boolean sameSubject(GossipUpdate other) {
        boolean aboutOrigin = kind == UpdateKind.ALIVE || kind == UpdateKind.LEAVING;
        boolean otherAboutOrigin =
                other.kind == UpdateKind.ALIVE || other.kind == UpdateKind.LEAVING;
        return origin == other.origin
                && (aboutOrigin
                        ? otherAboutOrigin
                        : kind == other.kind && subject == other.subject);
    }
}
