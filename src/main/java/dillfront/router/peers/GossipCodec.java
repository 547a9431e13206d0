package dillfront.router.peers;

import dillfront.router.gossip.ClockSkew;
import dillfront.router.gossip.GossipUpdate;
import dillfront.router.gossip.UpdateKind;
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
 * Datagrams between instances, version 1. All numbers big-endian. A datagram, 117 bytes and 113 for
 * each word:
 *
 * <pre>
 *   2 'd' 'f'   1 version   1 form   8 key id of the sender   4 its incarnation   8 number, rising from its start on
 *   8 sent, Unix microseconds   8 hash of the name it is sent to   4 probe   8 hash of the name it is about
 *   1 words   words   64 Ed25519 signature of all before, behind the text "dillfront datagram 1"
 * </pre>
 *
 * A word: 8 key id of who said it, 4 incarnation, 4 number, 1 kind, 8 subject, 4 detail, 2
 * evidence, 4 milliseconds since, 8 said, Unix microseconds, 4 and 2 address and port where ALIVE,
 * 64 Ed25519 signature of these behind "dillfront word 1".
 *
 * <p>A datagram of the form DOUBTS has no words; the byte that counts them counts 64-bit parts of a
 * recovery.Digest, which stand in their place, and the name it is about is whose keys these are.
 * CLOSED is the same with three parts for each node that the sender's lists have closed: the first
 * 8 bytes of the SHA-256 of its id, the generation of that list, the start of the process it spoke
 * of. Instances that do not know these forms drop them.
 *
 * <p>What comes is looked at in the order of cost, and nothing is allocated by a length that it
 * names: the count of words must fit the size that came. Signatures of words that were checked
 * before are known by their bytes.
 */
public final class GossipCodec {

    static final int HEADER_BYTES = 53;
    static final int UPDATE_BYTES = 113;
    static final int SIGNATURE_BYTES = 64;

    /** Of IP and UDP. */
    static final int IP_UDP_HEADER_BYTES = 28;

    private static final int SIGNED_UPDATE_BYTES = UPDATE_BYTES - SIGNATURE_BYTES;
    private static final byte[] DATAGRAM_SIGNATURE_PREFIX =
            "dillfront datagram 1".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] UPDATE_SIGNATURE_PREFIX =
            "dillfront word 1".getBytes(StandardCharsets.US_ASCII);
    private static final int MAX_VERIFIED_UPDATES = 1024;
    private static final int MAX_PARTS = 128;

    /** What one closed node takes of those parts. */
    static final int PARTS_PER_CLOSED_NODE = 3;

    /** What a datagram is for. */
    public enum DatagramType {
        PING,
        ACK,
        PROBE_REQUEST,
        PUSH,
        TABLE_EXCHANGE,
        IN_DOUBT_KEYS,
        CLOSED_NODES
    }

    /** Takes what was read and found right. */
    public interface DatagramHandler {
        /**
         * @param sentAt by the sender's clock, since the zero of Unix time
         * @param about index of the instance that the sender asks about; -1 where there is none
         */
        void receive(
                int from,
                int incarnation,
                Duration sentAt,
                DatagramType type,
                int probe,
                int about,
                List<GossipUpdate> updates);

        /**
         * @param runId which of the sender's
         * @param about whose keys in doubt these are: the sender's, or what it says were this
         *     instance's
         */
        void receiveInDoubtKeys(
                int from, int incarnation, Duration sentAt, int runId, int about, long[] keys);

        /**
         * @param closedNodes of what the sender's lists have closed, three numbers each: the node's
         *     hash, generation, start
         */
        void receiveClosedNodes(int from, int incarnation, Duration sentAt, long[] closedNodes);

        /** An instance's own word tells where it is. */
        void learnAddress(int peer, int incarnation, InetSocketAddress address);

        void onDropped(DropReason reason);
    }

    private final PeerRegistry registry;
    private final int self;
    private final long selfHash;
    private final long keyId;
    private final PrivateKey key;
    private final InetSocketAddress address;
    private final int maxDatagramBytes;
    private final ReplayWindow replayWindow;
    private final Signature signer;
    private final Signature verifier;

    /** Words whose signature was found right, by all their bytes; the oldest leaves first. */
    private final Map<ByteBuffer, Boolean> verifiedUpdates = new LinkedHashMap<>();

    private long sequenceNumber;

    /**
     * @param keyId which of this instance's keys in the ring the private one belongs to
     * @param address where others reach this instance
     * @param maxDatagramBytes bytes of the largest, those below UDP left out
     * @param firstSequenceNumber the first datagram's number, above any of an earlier life:
     *     microseconds of Unix time
     */
    public GossipCodec(
            PeerRegistry registry,
            int self,
            long keyId,
            PrivateKey key,
            InetSocketAddress address,
            int maxDatagramBytes,
            long firstSequenceNumber) {
        this.registry = registry;
        this.self = self;
        this.keyId = keyId;
        this.key = key;
        this.address = address;
        this.maxDatagramBytes = maxDatagramBytes;
        selfHash = PeerRegistry.hash(registry.name(self));
        sequenceNumber = firstSequenceNumber;
        replayWindow = new ReplayWindow(registry.size());
        try {
            signer = Signature.getInstance("Ed25519");
            verifier = Signature.getInstance("Ed25519");
        } catch (GeneralSecurityException missing) {
            throw new IllegalStateException(missing);
        }
    }

    /** Bytes on the wire of a datagram with so many words. */
    public static int wireSize(int updates) {
        return IP_UDP_HEADER_BYTES + HEADER_BYTES + updates * UPDATE_BYTES + SIGNATURE_BYTES;
    }

    /**
     * Bytes on the wire of a datagram of keys in doubt, and how many parts of 64 bits the largest
     * one holds.
     */
    public static int partsWireSize(int parts) {
        return IP_UDP_HEADER_BYTES + HEADER_BYTES + parts * Long.BYTES + SIGNATURE_BYTES;
    }

    public static int maxParts(int maxDatagramBytes) {
        return Math.min(
                MAX_PARTS, (maxDatagramBytes - HEADER_BYTES - SIGNATURE_BYTES) / Long.BYTES);
    }

    // ---- out

    /** Signs an own word. */
    public GossipUpdate sign(GossipUpdate update) {
        ByteBuffer out = ByteBuffer.allocate(UPDATE_BYTES);
        out.putLong(keyId)
                .putInt(update.incarnation())
                .putInt(update.number())
                .put((byte) update.kind().ordinal());
        out.putLong(
                update.kind() == UpdateKind.CLAIM
                        ? update.subject()
                        : PeerRegistry.hash(registry.name((int) update.subject())));
        out.putInt(update.detail()).putShort((short) Math.min(update.evidence(), Short.MAX_VALUE));
        out.putInt((int) Math.min(update.symptomDuration().toMillis(), Integer.MAX_VALUE))
                .putLong(toMicros(update.createdAt()));
        out.put(
                update.kind() == UpdateKind.ALIVE
                        ? address.getAddress().getAddress()
                        : new byte[4]);
        out.putShort((short) (update.kind() == UpdateKind.ALIVE ? address.getPort() : 0));
        out.put(sign(UPDATE_SIGNATURE_PREFIX, out.array(), SIGNED_UPDATE_BYTES));
        return update.signedBytes(out.array());
    }

    /** One datagram; the buffer is the caller's. */
    public void write(
            ByteBuf out,
            int to,
            int incarnation,
            DatagramType type,
            int probe,
            int about,
            List<GossipUpdate> updates,
            Duration unixTime) {
        int start = writeHeader(out, to, incarnation, type, probe, about, updates.size(), unixTime);
        for (GossipUpdate update : updates) {
            out.writeBytes(update.signedBytes());
        }
        sign(out, start);
    }

    /**
     * One datagram of keys in doubt; in place of a probe's number, which life of the sender this
     * is.
     */
    public void write(
            ByteBuf out,
            int to,
            int incarnation,
            int runId,
            int about,
            long[] keys,
            Duration unixTime) {
        write(out, to, incarnation, DatagramType.IN_DOUBT_KEYS, runId, about, keys, unixTime);
    }

    /** One datagram of what this instance's lists have closed. */
    public void write(ByteBuf out, int to, int incarnation, long[] closedNodes, Duration unixTime) {
        write(out, to, incarnation, DatagramType.CLOSED_NODES, 0, self, closedNodes, unixTime);
    }

    private void write(
            ByteBuf out,
            int to,
            int incarnation,
            DatagramType type,
            int runId,
            int about,
            long[] parts,
            Duration unixTime) {
        int start = writeHeader(out, to, incarnation, type, runId, about, parts.length, unixTime);
        for (long part : parts) {
            out.writeLong(part);
        }
        sign(out, start);
    }

    private int writeHeader(
            ByteBuf out,
            int to,
            int incarnation,
            DatagramType type,
            int probe,
            int about,
            int count,
            Duration unixTime) {
        int start = out.writerIndex();
        out.writeByte('d').writeByte('f').writeByte(1).writeByte(type.ordinal());
        out.writeLong(keyId)
                .writeInt(incarnation)
                .writeLong(++sequenceNumber)
                .writeLong(toMicros(unixTime));
        out.writeLong(PeerRegistry.hash(registry.name(to)))
                .writeInt(probe)
                .writeLong(about < 0 ? 0 : PeerRegistry.hash(registry.name(about)));
        out.writeByte(count);
        return start;
    }

    private void sign(ByteBuf out, int start) {
        byte[] all = new byte[out.writerIndex() - start];
        out.getBytes(start, all);
        out.writeBytes(sign(DATAGRAM_SIGNATURE_PREFIX, all, all.length));
    }

    private byte[] sign(byte[] prefix, byte[] bytes, int length) {
        try {
            signer.initSign(key);
            signer.update(prefix);
            signer.update(bytes, 0, length);
            return signer.sign();
        } catch (GeneralSecurityException failure) {
            throw new IllegalStateException(failure);
        }
    }

    // ---- in

    /**
     * Reads one datagram; the buffer stays the caller's. Never throws for what came.
     *
     * @param now since the start
     * @param unixTime this instance's Unix time
     */
    public void read(ByteBuf in, Duration now, Duration unixTime, DatagramHandler handler) {
        int start = in.readerIndex();
        int size = in.readableBytes();
        if (size < HEADER_BYTES + SIGNATURE_BYTES
                || size > maxDatagramBytes
                || in.getByte(start) != 'd'
                || in.getByte(start + 1) != 'f'
                || in.getByte(start + 2) != 1
                || in.getUnsignedByte(start + 3) >= DatagramType.values().length) {
            handler.onDropped(DropReason.FORM);
            return;
        }
        int count = in.getUnsignedByte(start + HEADER_BYTES - 1);
        DatagramType type = DatagramType.values()[in.getByte(start + 3)];
        if (size
                != HEADER_BYTES
                        + count
                                * (type == DatagramType.IN_DOUBT_KEYS
                                                || type == DatagramType.CLOSED_NODES
                                        ? Long.BYTES
                                        : UPDATE_BYTES)
                        + SIGNATURE_BYTES) {
            handler.onDropped(DropReason.FORM);
            return;
        }
        if (in.getLong(start + 32) != selfHash) {
            handler.onDropped(DropReason.NOT_MINE);
            return;
        }
        PeerRegistry.PeerKey from = registry.key(in.getLong(start + 4), unixTime);
        if (from == null || from.peer() == self) {
            handler.onDropped(from == null ? DropReason.KEY : DropReason.NOT_MINE);
            return;
        }
        if (isClockDifferenceTooLarge(unixTime, in.getLong(start + 24))) {
            handler.onDropped(DropReason.CLOCK);
            return;
        }
        long sequence = in.getLong(start + 16);
        if (sequence < 0 || !replayWindow.mayBeNew(from.peer(), sequence, now)) {
            handler.onDropped(DropReason.REPLAY);
            return;
        }
        if (!replayWindow.tryTakeCheck(from.peer(), now)) {
            handler.onDropped(DropReason.FLOOD);
            return;
        }
        byte[] all = new byte[size];
        in.getBytes(start, all);
        if (!isSignatureValid(from, DATAGRAM_SIGNATURE_PREFIX, all, 0, size - SIGNATURE_BYTES)) {
            handler.onDropped(DropReason.SIGNATURE);
            return;
        }
        replayWindow.recordReceived(from.peer(), sequence, now);
        int about = registry.peer(in.getLong(start + 44));
        int incarnation = in.getInt(start + 12);
        Duration sentAt = Duration.ofNanos(in.getLong(start + 24) * 1000);
        if (type == DatagramType.IN_DOUBT_KEYS || type == DatagramType.CLOSED_NODES) {
            long[] parts = new long[count];
            ByteBuffer.wrap(all, HEADER_BYTES, count * Long.BYTES).asLongBuffer().get(parts);
            boolean closed = type == DatagramType.CLOSED_NODES;
            if (count > MAX_PARTS
                    || about != from.peer() && (closed || about != self)
                    || closed && count % PARTS_PER_CLOSED_NODE != 0) {
                handler.onDropped(DropReason.FORM);
            } else if (closed) {
                handler.receiveClosedNodes(from.peer(), incarnation, sentAt, parts);
            } else {
                handler.receiveInDoubtKeys(
                        from.peer(), incarnation, sentAt, in.getInt(start + 40), about, parts);
            }
            return;
        }
        GossipUpdate[] updates = new GossipUpdate[count];
        int accepted = 0;
        for (int i = 0; i < count; i++) {
            GossipUpdate update =
                    readUpdate(
                            all,
                            HEADER_BYTES + i * UPDATE_BYTES,
                            from.peer(),
                            now,
                            unixTime,
                            handler);
            if (update == null) {
                handler.onDropped(DropReason.WORD);
            } else {
                updates[accepted++] = update;
            }
        }
        handler.receive(
                from.peer(),
                incarnation,
                sentAt,
                type,
                in.getInt(start + 40),
                about,
                List.of(java.util.Arrays.copyOf(updates, accepted)));
    }

    /** Null where it is not as its origin said it. */
    private GossipUpdate readUpdate(
            byte[] all,
            int offset,
            int sender,
            Duration now,
            Duration unixTime,
            DatagramHandler handler) {
        ByteBuffer in = ByteBuffer.wrap(all, offset, UPDATE_BYTES);
        PeerRegistry.PeerKey key = registry.key(in.getLong(), unixTime);
        int incarnation = in.getInt();
        int number = in.getInt();
        int kindOrdinal = in.get();
        if (key == null
                || kindOrdinal < 0
                || kindOrdinal >= UpdateKind.values().length
                || incarnation < 0
                || number < 0) {
            return null;
        }
        UpdateKind kind = UpdateKind.values()[kindOrdinal];
        long subject = in.getLong();
        if (kind != UpdateKind.CLAIM) {
            subject = registry.peer(subject);
            boolean isOrigin = subject == key.peer();
            if (subject < 0 || isOrigin != (kind != UpdateKind.SILENT)) {
                return null;
            }
        }
        int detail = in.getInt();
        int evidence = in.getShort();
        int symptomMillis = in.getInt();
        long createdAt = in.getLong();
        // Accusations and claims are of this moment; that one is there is told for as long as it
        // is.
        boolean outdated =
                (kind == UpdateKind.SILENT || kind == UpdateKind.CLAIM)
                        && isClockDifferenceTooLarge(unixTime, createdAt);
        if (outdated
                || evidence < 0
                || symptomMillis < 0
                || createdAt < 0
                || kind == UpdateKind.CLAIM
                        && (detail < 0
                                || detail >= dillfront.router.gossip.Symptom.values().length)) {
            return null;
        }
        byte[] bytes = java.util.Arrays.copyOfRange(all, offset, offset + UPDATE_BYTES);
        ByteBuffer signedUpdate = ByteBuffer.wrap(bytes);
        if (!verifiedUpdates.containsKey(signedUpdate)) {
            if (!replayWindow.tryTakeCheck(sender, now)
                    || !isSignatureValid(
                            key, UPDATE_SIGNATURE_PREFIX, bytes, 0, SIGNED_UPDATE_BYTES)) {
                return null;
            }
            verifiedUpdates.put(signedUpdate, true);
            if (verifiedUpdates.size() > MAX_VERIFIED_UPDATES) {
                verifiedUpdates.remove(verifiedUpdates.keySet().iterator().next());
            }
        }
        if (kind == UpdateKind.ALIVE) {
            readAddress(key.peer(), incarnation, bytes, handler);
        }
        return new GossipUpdate(
                key.peer(),
                incarnation,
                number,
                kind,
                subject,
                detail,
                evidence,
                Duration.ofMillis(symptomMillis),
                Duration.ofNanos(createdAt * 1000),
                bytes);
    }

    private static void readAddress(
            int peer, int incarnation, byte[] update, DatagramHandler handler) {
        ByteBuffer in = ByteBuffer.wrap(update, SIGNED_UPDATE_BYTES - 6, 6);
        byte[] ip = new byte[4];
        in.get(ip);
        int port = in.getShort() & 0xffff;
        if (port > 0) {
            try {
                handler.learnAddress(
                        peer,
                        incarnation,
                        new InetSocketAddress(InetAddress.getByAddress(ip), port));
            } catch (UnknownHostException impossible) {
                throw new IllegalStateException(impossible);
            }
        }
    }

    private boolean isSignatureValid(
            PeerRegistry.PeerKey signerKey, byte[] prefix, byte[] bytes, int offset, int length) {
        try {
            verifier.initVerify(signerKey.key());
            verifier.update(prefix);
            verifier.update(bytes, offset, length);
            return verifier.verify(bytes, offset + length, SIGNATURE_BYTES);
        } catch (GeneralSecurityException bad) {
            // What is no signature at all is not right either.
            return false;
        }
    }

    /** Further than clocks may be, or kept back for longer: not believed. */
    private static boolean isClockDifferenceTooLarge(Duration unixTime, long micros) {
        return Math.abs(toMicros(unixTime) - micros) > toMicros(ClockSkew.MAX_DIFFERENCE);
    }

    private static long toMicros(Duration unixTime) {
        return unixTime.toNanos() / 1000;
    }
}
