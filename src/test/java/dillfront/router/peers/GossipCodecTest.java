package dillfront.router.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.router.gossip.GossipUpdate;
import dillfront.router.gossip.UpdateKind;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.net.InetSocketAddress;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

/**
 * Datagrams as they are, and as they should not be: what comes never throws, and is taken only from
 * who signed it.
 */
class GossipCodecTest {

    private static final Duration UNIX_TIME = Duration.ofSeconds(1_790_000_000L);
    private static final Duration DAY = Duration.ofDays(1);
    private static final Duration FOREVER = Duration.ofDays(100_000);
    private static final int MAX_DATAGRAM_BYTES = 1200;
    private static final KeyPair[] KEYS = keys(5);

    private final PeerRegistry registry = new PeerRegistry();
    private final List<String> trace = new ArrayList<>();
    private Duration now = Duration.ofSeconds(100);
    private final GossipCodec alice;
    private final GossipCodec bob;
    private final GossipCodec carol;

    GossipCodecTest() throws Exception {
        for (int i = 0; i < 3; i++) {
            registry.add("r" + i, new InetSocketAddress("127.0.0.1", 7001 + i));
            registry.key(i, hex(KEYS[i]), Duration.ZERO, FOREVER);
        }
        // The second has a new key from a day on, and its old one for an hour beside it.
        registry.key(1, hex(KEYS[3]), UNIX_TIME.plus(DAY), FOREVER);
        alice = codec(0, KEYS[0]);
        bob = codec(1, KEYS[1]);
        carol = codec(2, KEYS[2]);
    }

    private static KeyPair[] keys(int count) {
        try {
            KeyPairGenerator generator = KeyPairGenerator.getInstance("Ed25519");
            KeyPair[] keys = new KeyPair[count];
            for (int i = 0; i < count; i++) {
                keys[i] = generator.generateKeyPair();
            }
            return keys;
        } catch (java.security.GeneralSecurityException none) {
            throw new IllegalStateException(none);
        }
    }

    private static String hex(KeyPair pair) {
        return HexFormat.of().formatHex(PeerRegistry.rawKey(pair.getPublic()));
    }

    private GossipCodec codec(int self, KeyPair pair) {
        return new GossipCodec(
                registry,
                self,
                PeerRegistry.keyId(PeerRegistry.rawKey(pair.getPublic())),
                pair.getPrivate(),
                registry.address(self),
                MAX_DATAGRAM_BYTES,
                1000);
    }

    private static GossipUpdate claim(int origin, int number, Duration said) {
        return GossipUpdate.of(
                origin,
                2,
                number,
                UpdateKind.CLAIM,
                0x1122334455667788L,
                1,
                7,
                Duration.ofMillis(250),
                said);
    }

    private static ByteBuf write(
            GossipCodec by,
            int to,
            GossipCodec.DatagramType form,
            Duration unix,
            GossipUpdate... updates) {
        ByteBuf out = Unpooled.buffer();
        by.write(out, to, 2, form, 77, -1, List.of(updates), unix);
        return out;
    }

    private String read(GossipCodec by, ByteBuf bytes, Duration unix) {
        trace.clear();
        int before = bytes.readableBytes();
        by.read(
                bytes,
                now,
                unix,
                new GossipCodec.DatagramHandler() {
                    @Override
                    public void receiveClosedNodes(
                            int from, int incarnation, Duration sent, long[] updates) {
                        trace.add(
                                registry.name(from)
                                        + " closed "
                                        + java.util.Arrays.toString(updates));
                    }

                    @Override
                    public void receiveInDoubtKeys(
                            int from,
                            int incarnation,
                            Duration sent,
                            int runId,
                            int about,
                            long[] keys) {
                        trace.add(
                                registry.name(from)
                                        + "."
                                        + incarnation
                                        + " life "
                                        + runId
                                        + " doubts of "
                                        + registry.name(about)
                                        + " "
                                        + java.util.Arrays.toString(keys));
                    }

                    @Override
                    public void receive(
                            int from,
                            int incarnation,
                            Duration sent,
                            GossipCodec.DatagramType form,
                            int probe,
                            int about,
                            List<GossipUpdate> updates) {
                        trace.add(
                                registry.name(from)
                                        + "."
                                        + incarnation
                                        + " "
                                        + form
                                        + " "
                                        + probe
                                        + " about "
                                        + about
                                        + " words "
                                        + updates.stream()
                                                .map(
                                                        w ->
                                                                registry.name(w.origin())
                                                                        + " "
                                                                        + w.kind()
                                                                        + " "
                                                                        + w.subject())
                                                .toList());
                    }

                    @Override
                    public void learnAddress(int peer, int incarnation, InetSocketAddress address) {
                        trace.add(registry.name(peer) + " is at " + address.getPort());
                    }

                    @Override
                    public void onDropped(DropReason why) {
                        trace.add(why.toString());
                    }
                });
        assertEquals(before, bytes.readableBytes(), "the buffer stays the caller's");
        return String.join("; ", trace);
    }

    @Example
    void decodesWhatWasEncoded() {
        GossipUpdate alive =
                bob.sign(
                        GossipUpdate.of(
                                1, 2, 1, UpdateKind.ALIVE, 1, 0, 0, Duration.ZERO, UNIX_TIME));
        GossipUpdate claim = bob.sign(claim(1, 2, UNIX_TIME));
        ByteBuf bytes = write(bob, 0, GossipCodec.DatagramType.PING, UNIX_TIME, alive, claim);
        assertEquals(
                GossipCodec.wireSize(2) - GossipCodec.IP_UDP_HEADER_BYTES, bytes.readableBytes());
        assertEquals(
                "r1 is at 7002; r1.2 PING 77 about -1 words [r1 ALIVE 1, r1 CLAIM 1234605616436508552]",
                read(alice, bytes, UNIX_TIME));
        assertEquals("REPLAY", read(alice, bytes, UNIX_TIME), "the same again");
        assertEquals("NOT_MINE", read(carol, bytes, UNIX_TIME), "to another");
    }

    private static ByteBuf inDoubtKeys(GossipCodec by, int about, long... keys) {
        ByteBuf out = Unpooled.buffer();
        by.write(out, 0, 2, 9, about, keys, UNIX_TIME);
        return out;
    }

    @Example
    void acceptsInDoubtKeysOfSenderOrReceiverOnly() {
        ByteBuf bytes = inDoubtKeys(bob, 1, 7, -1);
        assertEquals(
                GossipCodec.partsWireSize(2) - GossipCodec.IP_UDP_HEADER_BYTES,
                bytes.readableBytes());
        assertEquals("r1.2 life 9 doubts of r1 [7, -1]", read(alice, bytes, UNIX_TIME));
        assertEquals("r1.2 life 9 doubts of r1 []", read(alice, inDoubtKeys(bob, 1), UNIX_TIME));
        assertEquals(
                "r1.2 life 9 doubts of r0 [5]", read(alice, inDoubtKeys(bob, 0, 5), UNIX_TIME));
        assertEquals("FORM", read(alice, inDoubtKeys(bob, 2, 5), UNIX_TIME), "of a third one");
        assertEquals("FORM", read(alice, inDoubtKeys(bob, -1, 5), UNIX_TIME), "of nobody");
        ByteBuf cut = inDoubtKeys(bob, 1, 5, 6);
        assertEquals(
                "FORM",
                read(alice, cut.slice(0, cut.readableBytes() - 8), UNIX_TIME),
                "a part is missing");
        ByteBuf spoilt = inDoubtKeys(bob, 1, 5, 6);
        spoilt.setByte(GossipCodec.HEADER_BYTES + 3, 1);
        assertEquals("SIGNATURE", read(alice, spoilt, UNIX_TIME));
        ByteBuf closed = Unpooled.buffer();
        bob.write(closed, 0, 2, new long[] {1, 42, 0}, UNIX_TIME);
        assertEquals("r1 closed [1, 42, 0]", read(alice, closed, UNIX_TIME));
        closed = Unpooled.buffer();
        bob.write(closed, 0, 2, new long[] {1, 42}, UNIX_TIME);
        assertEquals("FORM", read(alice, closed, UNIX_TIME), "two parts of three");
        assertEquals(
                GossipCodec.partsWireSize(GossipCodec.maxParts(MAX_DATAGRAM_BYTES))
                                - GossipCodec.IP_UDP_HEADER_BYTES
                        <= MAX_DATAGRAM_BYTES,
                true,
                "the largest fits");
    }

    @Example
    void acceptsForwardedUpdatesSignedByOrigin() {
        GossipUpdate claim = bob.sign(claim(1, 2, UNIX_TIME));
        assertEquals(
                "r2.2 PUSH 77 about -1 words [r1 CLAIM 1234605616436508552]",
                read(
                        alice,
                        write(carol, 0, GossipCodec.DatagramType.PUSH, UNIX_TIME, claim),
                        UNIX_TIME));
        // In another's name: signed by its own key, with the other's put in front.
        byte[] forged = carol.sign(claim(2, 3, UNIX_TIME)).signedBytes();
        System.arraycopy(claim.signedBytes(), 0, forged, 0, 8);
        assertEquals(
                "WORD; r2.2 PUSH 77 about -1 words []",
                read(
                        alice,
                        write(
                                carol,
                                0,
                                GossipCodec.DatagramType.PUSH,
                                UNIX_TIME,
                                claim.signedBytes(forged)),
                        UNIX_TIME));
        // That another has left, or is there: only it can say so.
        GossipUpdate leaves =
                carol.sign(
                        GossipUpdate.of(
                                2, 2, 9, UpdateKind.LEAVING, 1, 0, 0, Duration.ZERO, UNIX_TIME));
        assertEquals(
                "WORD; r2.2 PUSH 77 about -1 words []",
                read(
                        alice,
                        write(carol, 0, GossipCodec.DatagramType.PUSH, UNIX_TIME, leaves),
                        UNIX_TIME));
    }

    @Example
    void rejectsForgedSender() {
        ByteBuf bytes = write(carol, 0, GossipCodec.DatagramType.PING, UNIX_TIME);
        bytes.setLong(4, PeerRegistry.keyId(PeerRegistry.rawKey(KEYS[1].getPublic())));
        assertEquals("SIGNATURE", read(alice, bytes, UNIX_TIME));
        // And it does not hide what the other says then.
        assertEquals(
                "r1.2 PING 77 about -1 words []",
                read(alice, write(bob, 0, GossipCodec.DatagramType.PING, UNIX_TIME), UNIX_TIME));
    }

    @Example
    void rejectsOldDatagramsAndUpdates() {
        GossipUpdate claim = bob.sign(claim(1, 2, UNIX_TIME));
        ByteBuf bytes = write(bob, 0, GossipCodec.DatagramType.PUSH, UNIX_TIME, claim);
        now = now.plus(DAY);
        assertEquals("CLOCK", read(alice, bytes, UNIX_TIME.plus(DAY)));
        // The word alone, passed on by another today.
        assertEquals(
                "WORD; r2.2 PUSH 77 about -1 words []",
                read(
                        alice,
                        write(carol, 0, GossipCodec.DatagramType.PUSH, UNIX_TIME.plus(DAY), claim),
                        UNIX_TIME.plus(DAY)));
    }

    @Example
    void acceptsKeyRotation() throws Exception {
        GossipCodec next = codec(1, KEYS[3]);
        assertEquals(
                "KEY",
                read(alice, write(next, 0, GossipCodec.DatagramType.PING, UNIX_TIME), UNIX_TIME),
                "not yet");
        Duration later = UNIX_TIME.plus(DAY);
        now = now.plus(DAY);
        assertEquals(
                "r1.2 PING 77 about -1 words []",
                read(alice, write(next, 0, GossipCodec.DatagramType.PING, later), later));
        // Both, at once, and in any order.
        GossipCodec old =
                new GossipCodec(
                        registry,
                        1,
                        PeerRegistry.keyId(PeerRegistry.rawKey(KEYS[1].getPublic())),
                        KEYS[1].getPrivate(),
                        registry.address(1),
                        MAX_DATAGRAM_BYTES,
                        2000);
        assertEquals(
                "r1.2 PING 77 about -1 words []",
                read(alice, write(old, 0, GossipCodec.DatagramType.PING, later), later));
        PeerRegistry without = new PeerRegistry();
        without.add("r0", null);
        without.add("r1", null);
        without.key(1, hex(KEYS[1]), Duration.ZERO, later);
        GossipCodec strict =
                new GossipCodec(
                        without,
                        0,
                        0,
                        KEYS[0].getPrivate(),
                        registry.address(0),
                        MAX_DATAGRAM_BYTES,
                        1);
        assertEquals(
                "KEY",
                read(strict, write(old, 0, GossipCodec.DatagramType.PING, later), later),
                "its time is over");
    }

    @Example
    void acceptsReorderedDatagramsOnce() {
        List<ByteBuf> sent = new ArrayList<>();
        for (int i = 0; i < 70; i++) {
            sent.add(write(bob, 0, GossipCodec.DatagramType.PING, UNIX_TIME));
        }
        assertTrue(read(alice, sent.get(69), UNIX_TIME).startsWith("r1.2 PING"));
        assertTrue(read(alice, sent.get(20), UNIX_TIME).startsWith("r1.2 PING"), "reordered");
        assertEquals("REPLAY", read(alice, sent.get(20), UNIX_TIME));
        assertEquals("REPLAY", read(alice, sent.get(0), UNIX_TIME), "too late to tell");
    }

    @Example
    void limitsSignatureChecksPerSender() {
        int checked = 0;
        for (int i = 0; i < 400; i++) {
            ByteBuf junk = write(carol, 0, GossipCodec.DatagramType.PING, UNIX_TIME);
            junk.setByte(junk.writerIndex() - 1, i);
            junk.setByte(junk.writerIndex() - 2, i / 7);
            checked += read(alice, junk, UNIX_TIME).equals("FLOOD") ? 0 : 1;
        }
        assertTrue(checked <= 130, "checked " + checked);
        assertTrue(
                read(alice, write(bob, 0, GossipCodec.DatagramType.PING, UNIX_TIME), UNIX_TIME)
                        .startsWith("r1.2 PING"),
                "others are heard");
    }

    @Property(tries = 300, seed = "11")
    void rejectsArbitraryBytes(
            @ForAll @Size(max = 1400) byte[] bytes, @ForAll boolean validHeader) {
        now = now.plusSeconds(5);
        ByteBuf in = Unpooled.wrappedBuffer(bytes);
        if (validHeader && bytes.length > 60) {
            // As far in as can be without a key: only the signature is missing.
            ByteBuf good = write(carol, 0, GossipCodec.DatagramType.PING, UNIX_TIME);
            good.getBytes(0, bytes, 0, 52);
        }
        String outcome = read(alice, in, UNIX_TIME);
        assertTrue(List.of("FORM", "SIGNATURE", "FLOOD", "REPLAY").contains(outcome), outcome);
    }

    @Property(tries = 150, seed = "12")
    void rejectsFlippedBit(@ForAll @IntRange(max = 8 * 343 - 1) int bit) {
        ByteBuf bytes =
                write(
                        bob,
                        0,
                        GossipCodec.DatagramType.PUSH,
                        UNIX_TIME,
                        bob.sign(claim(1, 2, UNIX_TIME)),
                        carol.sign(claim(2, 2, UNIX_TIME)));
        now = now.plusSeconds(5);
        assertEquals(343, bytes.readableBytes());
        bytes.setByte(bit / 8, bytes.getByte(bit / 8) ^ 1 << bit % 8);
        String outcome = read(alice, bytes, UNIX_TIME);
        assertTrue(
                List.of("FORM", "NOT_MINE", "KEY", "CLOCK", "REPLAY", "SIGNATURE")
                        .contains(outcome),
                bit + ": " + outcome);
    }

    @Property(tries = 60, seed = "13")
    void rejectsTruncatedDatagram(@ForAll @IntRange(max = 229) int length) {
        ByteBuf bytes =
                write(
                        bob,
                        0,
                        GossipCodec.DatagramType.PUSH,
                        UNIX_TIME,
                        bob.sign(claim(1, 2, UNIX_TIME)));
        assertEquals(230, bytes.readableBytes());
        assertEquals("FORM", read(alice, bytes.slice(0, length), UNIX_TIME));
    }

    @Property(tries = 100, seed = "14")
    void decodesClaimFields(
            @ForAll @IntRange(max = 1 << 30) int incarnation,
            @ForAll @IntRange(max = 1 << 30) int number,
            @ForAll long subject,
            @ForAll @IntRange(max = 3) int symptom,
            @ForAll @IntRange(max = 30_000) int evidence,
            @ForAll @LongRange(max = 1_000_000) long sinceMs,
            @ForAll @LongRange(min = -29_000, max = 29_000) long offMs) {
        now = now.plusSeconds(5);
        GossipUpdate update =
                bob.sign(
                        GossipUpdate.of(
                                1,
                                incarnation,
                                number,
                                UpdateKind.CLAIM,
                                subject,
                                symptom,
                                evidence,
                                Duration.ofMillis(sinceMs),
                                UNIX_TIME.plusMillis(offMs)));
        List<GossipUpdate> received = new ArrayList<>();
        alice.read(
                write(bob, 0, GossipCodec.DatagramType.PUSH, UNIX_TIME, update),
                now,
                UNIX_TIME,
                new GossipCodec.DatagramHandler() {
                    @Override
                    public void receiveClosedNodes(
                            int from, int incarnation, Duration sent, long[] updates) {
                        trace.add(
                                registry.name(from)
                                        + " closed "
                                        + java.util.Arrays.toString(updates));
                    }

                    @Override
                    public void receiveInDoubtKeys(
                            int from,
                            int incarnation,
                            Duration sent,
                            int runId,
                            int about,
                            long[] keys) {}

                    @Override
                    public void receive(
                            int from,
                            int its,
                            Duration sent,
                            GossipCodec.DatagramType form,
                            int probe,
                            int about,
                            List<GossipUpdate> updates) {
                        received.addAll(updates);
                    }

                    @Override
                    public void learnAddress(int peer, int its, InetSocketAddress address) {}

                    @Override
                    public void onDropped(DropReason why) {
                        throw new AssertionError(why);
                    }
                });
        GossipUpdate decoded = received.get(0);
        assertEquals(
                List.of(
                        1,
                        incarnation,
                        number,
                        subject,
                        symptom,
                        evidence,
                        update.symptomDuration(),
                        update.createdAt()),
                List.of(
                        decoded.origin(),
                        decoded.incarnation(),
                        decoded.number(),
                        decoded.subject(),
                        decoded.detail(),
                        decoded.evidence(),
                        decoded.symptomDuration(),
                        decoded.createdAt()));
    }
}
