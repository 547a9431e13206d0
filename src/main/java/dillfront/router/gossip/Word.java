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
 * @param since of CLAIM: for how long it had lasted when this was said
 * @param said by the origin's clock, since the zero of Unix time
 * @param sealed the bytes that were signed and their signature; empty in virtual time
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

    /** A word not signed yet, as its origin makes it. */
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

    /** Whether it takes the other's place: of the same origin, on the same matter, said later. */
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
