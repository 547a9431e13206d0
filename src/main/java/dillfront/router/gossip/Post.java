package dillfront.router.gossip;

import java.time.Duration;
import java.util.List;

/** Where the decisions of gossip leave: each call is one datagram at the most, and may be lost. */
public interface Post {

    void ping(int to, int number, List<Word> words);

    void ack(int to, int number, List<Word> words);

    /** Asks an instance to ping a third one, and to pass its ack on. */
    void ask(int to, int about, int number, List<Word> words);

    /** Words alone; an answer with as many is wished where swap is set. */
    void push(int to, boolean swap, List<Word> words);

    /** Signs an own word. */
    Word seal(Word own);

    /** Bytes on the wire, IP and UDP headers included, of a datagram with these words. */
    int bytes(List<Word> words);

    /**
     * A claim that is new here, of another instance.
     *
     * @param age for how long it has been on its way
     */
    void claimed(Word claim, Duration age);
}
