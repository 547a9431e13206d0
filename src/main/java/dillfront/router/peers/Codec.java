package dillfront.router.peers;

import dillfront.router.gossip.Kind;
import dillfront.router.gossip.Skew;
import dillfront.router.gossip.Word;
import io.netty.buffer.ByteBuf;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.Signature;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes and decodes the datagrams between instances, version 1. All numbers are big-endian. A
 * datagram takes 117 bytes plus 113 per update:
 *
 * <pre>
 *   2 'd' 'f'   1 version   1 type   8 key id of the sender   4 its incarnation
 *   8 sequence number, rising from its start on   8 send time, Unix microseconds
 *   8 hash of the receiver's name   4 probe number   8 hash of the name it is about
 *   1 number of updates   updates
 *   64 Ed25519 signature of all before, prefixed with the text "dillfront datagram 1"
 * </pre>
 *
 * <p>An update consists of: 8 key id of the origin, 4 incarnation, 4 number, 1 kind, 8 subject, 4
 * detail, 2 evidence, 4 milliseconds since the symptom began, 8 creation time in Unix microseconds,
 * 4 and 2 address and port for ALIVE, 64 Ed25519 signature of these prefixed with "dillfront word
 * 1".
 *
 * <p>A datagram with in-doubt keys carries no updates. Its count field holds the number of 64-bit
 * parts of a recovery.KeyDigest, which take the place of the updates, and the name it is about is
 * the instance whose in-doubt keys these are. A datagram with closed nodes has the same layout with
 * three parts for each node closed by the sender's member lists: the first 8 bytes of the SHA-256
 * of its id, the generation of that list, and the start time of the process that the list refers
 * to. Instances that do not know these types drop them.
 *
 * <p>Checks run in the order of their cost. No allocation depends on a length in the datagram: the
 * count must match the received size. Signatures of updates that were verified before are
 * recognized by their bytes.
 */
public final class Codec {

    static final int HEAD = 53;
    static final int WORD = 113;
    static final int SIGNATURE = 64;

    /** Bytes of the IP and UDP headers. */
    static final int BELOW = 28;

    private static final int SIGNED = WORD - SIGNATURE;
    private static final byte[] DATAGRAM_TEXT =
            "dillfront datagram 1".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] WORD_TEXT = "dillfront word 1".getBytes(StandardCharsets.US_ASCII);
    private static final int CHECKED = 1024;
    private static final int MOST_PARTS = 128;

    /** Parts per closed node in a datagram with closed nodes. */
    static final int CLOSED_PARTS = 3;

    /** Purpose of a datagram; the ordinal is on the wire. */
    public enum Form {
        PING,
        ACK,
        ASK,
        PUSH,
        SWAP,
        DOUBTS,
        CLOSED
    }

    /** Receives the datagrams that passed all checks. */
    public interface Reader {
        /**
         * @param sent send time by the sender's clock, in Unix time
         * @param about index of the instance that the sender asks about; -1 if there is none
         */
        void read(
                int from,
                int incarnation,
                Duration sent,
                Form form,
                int probe,
                int about,
                List<Word> words);

        /**
         * @param life identifies the run of the sender
         * @param about the instance whose in-doubt keys these are: the sender, or this instance in
         *     an earlier run as remembered by the sender
         */
        void doubts(int from, int incarnation, Duration sent, int life, int about, long[] digest);

        /**
         * @param words three numbers for each node closed by the sender's member lists: hash of its
         *     id, generation, start time
         */
        void closed(int from, int incarnation, Duration sent, long[] words);

        /** Reports the address in an instance's own ALIVE update. */
        void at(int peer, int incarnation, InetSocketAddress address);

        void dropped(Drop why);
    }

    private final Ring ring;
    private final int self;
    private final long selfHash;
    private final long keyId;
    private final PrivateKey key;
    private final InetSocketAddress address;
    private final int datagram;
    private final Window window;
    private final Signature signing;
    private final Signature checking;

    /**
     * Updates whose signature has been verified, keyed by all their bytes; the oldest entry is
     * evicted first.
     */
    private final Map<ByteBuffer, Boolean> checked = new LinkedHashMap<>();

    private long number;

    /**
     * @param keyId id of the registered key that belongs to the private key
     * @param address address at which peers reach this instance
     * @param datagram size of the largest datagram in bytes, without IP and UDP headers
     * @param first sequence number of the first datagram, above any of an earlier run: Unix time in
     *     microseconds
     */
    public Codec(
            Ring ring,
            int self,
            long keyId,
            PrivateKey key,
            InetSocketAddress address,
            int datagram,
            long first) {
        this.ring = ring;
        this.self = self;
        this.keyId = keyId;
        this.key = key;
        this.address = address;
        this.datagram = datagram;
        selfHash = Ring.hash(ring.name(self));
        number = first;
        window = new Window(ring.size());
        try {
            signing = Signature.getInstance("Ed25519");
            checking = Signature.getInstance("Ed25519");
        } catch (GeneralSecurityException none) {
            throw new IllegalStateException(none);
        }
    }

    /** Returns the size on the wire of a datagram with the given number of updates. */
    public static int bytes(int words) {
        return BELOW + HEAD + words * WORD + SIGNATURE;
    }

    /**
     * Returns the size on the wire of a datagram with the given number of 64-bit parts; the next
     * method returns how many parts the largest datagram holds.
     */
    public static int doubtBytes(int parts) {
        return BELOW + HEAD + parts * Long.BYTES + SIGNATURE;
    }

    public static int mostParts(int datagram) {
        return Math.min(MOST_PARTS, (datagram - HEAD - SIGNATURE) / Long.BYTES);
    }

    // ---- encoding

    /** Signs an update of this instance. */
    public Word seal(Word word) {
        ByteBuffer out = ByteBuffer.allocate(WORD);
        out.putLong(keyId)
                .putInt(word.incarnation())
                .putInt(word.number())
                .put((byte) word.kind().ordinal());
        out.putLong(
                word.kind() == Kind.CLAIM
                        ? word.subject()
                        : Ring.hash(ring.name((int) word.subject())));
        out.putInt(word.detail()).putShort((short) Math.min(word.evidence(), Short.MAX_VALUE));
        out.putInt((int) Math.min(word.since().toMillis(), Integer.MAX_VALUE))
                .putLong(micros(word.said()));
        out.put(word.kind() == Kind.ALIVE ? address.getAddress().getAddress() : new byte[4]);
        out.putShort((short) (word.kind() == Kind.ALIVE ? address.getPort() : 0));
        out.put(sign(WORD_TEXT, out.array(), SIGNED));
        return word.sealed(out.array());
    }

    /** Writes one datagram; the buffer remains the caller's. */
    public void write(
            ByteBuf out,
            int to,
            int incarnation,
            Form form,
            int probe,
            int about,
            List<Word> words,
            Duration unix) {
        int start = head(out, to, incarnation, form, probe, about, words.size(), unix);
        for (Word word : words) {
            out.writeBytes(word.sealed());
        }
        seal(out, start);
    }

    /** Writes one datagram of in-doubt keys. The probe field holds the id of the sender's run. */
    public void write(
            ByteBuf out,
            int to,
            int incarnation,
            int life,
            int about,
            long[] digest,
            Duration unix) {
        write(out, to, incarnation, Form.DOUBTS, life, about, digest, unix);
    }

    /** Writes one datagram of the nodes that this instance's member lists have closed. */
    public void write(ByteBuf out, int to, int incarnation, long[] closed, Duration unix) {
        write(out, to, incarnation, Form.CLOSED, 0, self, closed, unix);
    }

    private void write(
            ByteBuf out,
            int to,
            int incarnation,
            Form form,
            int life,
            int about,
            long[] parts,
            Duration unix) {
        int start = head(out, to, incarnation, form, life, about, parts.length, unix);
        for (long part : parts) {
            out.writeLong(part);
        }
        seal(out, start);
    }

    private int head(
            ByteBuf out,
            int to,
            int incarnation,
            Form form,
            int probe,
            int about,
            int count,
            Duration unix) {
        int start = out.writerIndex();
        out.writeByte('d').writeByte('f').writeByte(1).writeByte(form.ordinal());
        out.writeLong(keyId).writeInt(incarnation).writeLong(++number).writeLong(micros(unix));
        out.writeLong(Ring.hash(ring.name(to)))
                .writeInt(probe)
                .writeLong(about < 0 ? 0 : Ring.hash(ring.name(about)));
        out.writeByte(count);
        return start;
    }

    private void seal(ByteBuf out, int start) {
        byte[] all = new byte[out.writerIndex() - start];
        out.getBytes(start, all);
        out.writeBytes(sign(DATAGRAM_TEXT, all, all.length));
    }

    private byte[] sign(byte[] text, byte[] bytes, int length) {
        try {
            signing.initSign(key);
            signing.update(text);
            signing.update(bytes, 0, length);
            return signing.sign();
        } catch (GeneralSecurityException bad) {
            throw new IllegalStateException(bad);
        }
    }

    // ---- decoding

    /**
     * Decodes one datagram and passes it to the reader; the buffer remains the caller's. Never
     * throws for invalid input.
     *
     * @param now time since the start
     * @param unix local Unix time
     */
    public void read(ByteBuf in, Duration now, Duration unix, Reader reader) {
        int start = in.readerIndex();
        int size = in.readableBytes();
        if (size < HEAD + SIGNATURE
                || size > datagram
                || in.getByte(start) != 'd'
                || in.getByte(start + 1) != 'f'
                || in.getByte(start + 2) != 1
                || in.getUnsignedByte(start + 3) >= Form.values().length) {
            reader.dropped(Drop.FORM);
            return;
        }
        int count = in.getUnsignedByte(start + HEAD - 1);
        Form form = Form.values()[in.getByte(start + 3)];
        if (size
                != HEAD
                        + count * (form == Form.DOUBTS || form == Form.CLOSED ? Long.BYTES : WORD)
                        + SIGNATURE) {
            reader.dropped(Drop.FORM);
            return;
        }
        if (in.getLong(start + 32) != selfHash) {
            reader.dropped(Drop.NOT_MINE);
            return;
        }
        Ring.Key from = ring.key(in.getLong(start + 4), unix);
        if (from == null || from.peer() == self) {
            reader.dropped(from == null ? Drop.KEY : Drop.NOT_MINE);
            return;
        }
        if (apart(unix, in.getLong(start + 24))) {
            reader.dropped(Drop.CLOCK);
            return;
        }
        long its = in.getLong(start + 16);
        if (its < 0 || !window.mayBeNew(from.peer(), its, now)) {
            reader.dropped(Drop.REPLAY);
            return;
        }
        if (!window.mayCheck(from.peer(), now)) {
            reader.dropped(Drop.FLOOD);
            return;
        }
        byte[] all = new byte[size];
        in.getBytes(start, all);
        if (!right(from, DATAGRAM_TEXT, all, 0, size - SIGNATURE)) {
            reader.dropped(Drop.SIGNATURE);
            return;
        }
        window.read(from.peer(), its, now);
        int about = ring.peer(in.getLong(start + 44));
        int incarnation = in.getInt(start + 12);
        Duration sent = Duration.ofNanos(in.getLong(start + 24) * 1000);
        if (form == Form.DOUBTS || form == Form.CLOSED) {
            long[] digest = new long[count];
            ByteBuffer.wrap(all, HEAD, count * Long.BYTES).asLongBuffer().get(digest);
            boolean closed = form == Form.CLOSED;
            if (count > MOST_PARTS
                    || about != from.peer() && (closed || about != self)
                    || closed && count % CLOSED_PARTS != 0) {
                reader.dropped(Drop.FORM);
            } else if (closed) {
                reader.closed(from.peer(), incarnation, sent, digest);
            } else {
                reader.doubts(from.peer(), incarnation, sent, in.getInt(start + 40), about, digest);
            }
            return;
        }
        Word[] words = new Word[count];
        int good = 0;
        for (int i = 0; i < count; i++) {
            Word word = word(all, HEAD + i * WORD, from.peer(), now, unix, reader);
            if (word == null) {
                reader.dropped(Drop.WORD);
            } else {
                words[good++] = word;
            }
        }
        reader.read(
                from.peer(),
                incarnation,
                sent,
                form,
                in.getInt(start + 40),
                about,
                List.of(java.util.Arrays.copyOf(words, good)));
    }

    /** Decodes one update; returns null if it is invalid or not signed by its origin. */
    private Word word(byte[] all, int at, int from, Duration now, Duration unix, Reader reader) {
        ByteBuffer in = ByteBuffer.wrap(all, at, WORD);
        Ring.Key key = ring.key(in.getLong(), unix);
        int incarnation = in.getInt();
        int its = in.getInt();
        int kindNumber = in.get();
        if (key == null
                || kindNumber < 0
                || kindNumber >= Kind.values().length
                || incarnation < 0
                || its < 0) {
            return null;
        }
        Kind kind = Kind.values()[kindNumber];
        long subject = in.getLong();
        if (kind != Kind.CLAIM) {
            subject = ring.peer(subject);
            boolean own = subject == key.peer();
            if (subject < 0 || own != (kind != Kind.SILENT)) {
                return null;
            }
        }
        int detail = in.getInt();
        int evidence = in.getShort();
        int since = in.getInt();
        long said = in.getLong();
        // Accusations and claims are valid only near their creation time; ALIVE and LEAVING updates
        // are forwarded for as long as they apply.
        boolean old = (kind == Kind.SILENT || kind == Kind.CLAIM) && apart(unix, said);
        if (old
                || evidence < 0
                || since < 0
                || said < 0
                || kind == Kind.CLAIM
                        && (detail < 0
                                || detail >= dillfront.router.gossip.Symptom.values().length)) {
            return null;
        }
        byte[] bytes = java.util.Arrays.copyOfRange(all, at, at + WORD);
        ByteBuffer known = ByteBuffer.wrap(bytes);
        if (!checked.containsKey(known)) {
            if (!window.mayCheck(from, now) || !right(key, WORD_TEXT, bytes, 0, SIGNED)) {
                return null;
            }
            checked.put(known, true);
            if (checked.size() > CHECKED) {
                checked.remove(checked.keySet().iterator().next());
            }
        }
        if (kind == Kind.ALIVE) {
            where(key.peer(), incarnation, bytes, reader);
        }
        return new Word(
                key.peer(),
                incarnation,
                its,
                kind,
                subject,
                detail,
                evidence,
                Duration.ofMillis(since),
                Duration.ofNanos(said * 1000),
                bytes);
    }

    private static void where(int peer, int incarnation, byte[] word, Reader reader) {
        ByteBuffer in = ByteBuffer.wrap(word, SIGNED - 6, 6);
        byte[] ip = new byte[4];
        in.get(ip);
        int port = in.getShort() & 0xffff;
        if (port > 0) {
            try {
                reader.at(
                        peer,
                        incarnation,
                        new InetSocketAddress(InetAddress.getByAddress(ip), port));
            } catch (UnknownHostException none) {
                throw new IllegalStateException(none);
            }
        }
    }

    private boolean right(Ring.Key by, byte[] text, byte[] bytes, int from, int length) {
        try {
            checking.initVerify(by.key());
            checking.update(text);
            checking.update(bytes, from, length);
            return checking.verify(bytes, from + length, SIGNATURE);
        } catch (GeneralSecurityException bad) {
            // A malformed signature counts as a wrong one.
            return false;
        }
    }

    /**
     * Returns whether the time differs from local Unix time by more than the accepted clock
     * difference or delay.
     */
    private static boolean apart(Duration unix, long micros) {
        return Math.abs(micros(unix) - micros) > micros(Skew.MOST);
    }

    private static long micros(Duration unix) {
        return unix.toNanos() / 1000;
    }
}
