package dillfront.router.gossip;

import java.time.Duration;
import java.util.List;

/**
 * Outgoing side of the gossip protocol. Each call sends at most one datagram, which may be lost.
 */
public interface Post {

    void ping(int to, int number, List<Word> words);

    void ack(int to, int number, List<Word> words);

    /** Asks an instance to ping a third one and to return its ack. */
    void ask(int to, int about, int number, List<Word> words);

    /** Sends updates alone; with {@code swap} set the receiver is asked for its table in return. */
    void push(int to, boolean swap, List<Word> words);

    /** Signs an update of this instance. */
    Word seal(Word own);

    /**
     * Returns the size on the wire, including IP and UDP headers, of a datagram with these updates.
     */
    int bytes(List<Word> words);

    /**
     * Passes on a claim of a peer that is new to this instance.
     *
     * @param age time since the claim was made
     */
    void claimed(Word claim, Duration age);
}
