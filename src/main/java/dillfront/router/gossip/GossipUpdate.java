package dillfront.router.gossip;

import java.time.Duration;

/**
 * One signed update of an instance, forwarded by others unchanged. No instance can create an update
 * in the name of another, nor renew one that it only received.
 *
 * @param origin index of the instance that created the update, in the registry
 * @param incarnation incarnation of the origin at that time; only the origin raises it
 * @param number rises with each update of an incarnation
 * @param subject of SILENT: index of the accused instance; of CLAIM: hash of the node's id, equal
 *     on all instances
 * @param detail of SILENT: the accused incarnation; of CLAIM: ordinal of the symptom
 * @param evidence of CLAIM: number of submissions or probes that support the claim
 * @param symptomDuration of CLAIM: how long the symptom had lasted when the claim was made
 * @param createdAt creation time by the origin's clock, in Unix time
 * @param signedBytes the signed bytes and their signature; empty in virtual time
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

    /** Creates an update that is not signed yet. */
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

    /** Returns a copy of this update with the given signed bytes. */
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

    /** Returns whether this update supersedes the other: same origin and subject, created later. */
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
