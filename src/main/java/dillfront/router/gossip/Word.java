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
 * @param since of CLAIM: how long the symptom had lasted when the claim was made
 * @param said creation time by the origin's clock, in Unix time
 * @param sealed the signed bytes and their signature; empty in virtual time
 */
public record Word(
        int origin,
        int incarnation,
        int number,
        Kind kind,
        long subject,
        int detail,
        int evidence,
        Duration since,
        Duration said,
        byte[] sealed) {

    private static final byte[] OPEN = new byte[0];

    /** Creates an update that is not signed yet. */
    public static Word of(
            int origin,
            int incarnation,
            int number,
            Kind kind,
            long subject,
            int detail,
            int evidence,
            Duration since,
            Duration said) {
        return new Word(
                origin, incarnation, number, kind, subject, detail, evidence, since, said, OPEN);
    }

    public Word sealed(byte[] bytes) {
        return new Word(
                origin, incarnation, number, kind, subject, detail, evidence, since, said, bytes);
    }

    /** Returns whether this update supersedes the other: same origin and subject, created later. */
    boolean replaces(Word other) {
        return sameMatter(other)
                && (incarnation != other.incarnation
                        ? incarnation > other.incarnation
                        : number > other.number);
    }

    boolean sameMatter(Word other) {
        boolean self = kind == Kind.ALIVE || kind == Kind.LEAVING;
        boolean otherSelf = other.kind == Kind.ALIVE || other.kind == Kind.LEAVING;
        return origin == other.origin
                && (self ? otherSelf : kind == other.kind && subject == other.subject);
    }
}
