package dillfront.router.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.router.gossip.Kind;
import dillfront.router.gossip.Word;
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
 * Checks valid and invalid datagrams: decoding never throws, and accepts data only from the
 * instance that signed it.
 */
class CodecTest {

    private static final Duration UNIX = Duration.ofSeconds(1_790_000_000L);
    private static final Duration DAY = Duration.ofDays(1);
    private static final Duration FOREVER = Duration.ofDays(100_000);
    private static final int DATAGRAM = 1200;
    private static final KeyPair[] KEYS = keys(5);

    private final Ring ring = new Ring();
    private final List<String> trace = new ArrayList<>();
    private Duration now = Duration.ofSeconds(100);
    private final Codec alice;
    private final Codec bob;
    private final Codec carol;

    CodecTest() throws Exception {
        for (int i = 0; i < 3; i++) {
            ring.add("r" + i, new InetSocketAddress("127.0.0.1", 7001 + i));
            ring.key(i, hex(KEYS[i]), Duration.ZERO, FOREVER);
        }
        // The second instance has a new key that is valid from one day on, beside its old one.
        ring.key(1, hex(KEYS[3]), UNIX.plus(DAY), FOREVER);
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
        return HexFormat.of().formatHex(Ring.raw(pair.getPublic()));
    }

    private Codec codec(int self, KeyPair pair) {
        return new Codec(
                ring,
                self,
                Ring.id(Ring.raw(pair.getPublic())),
                pair.getPrivate(),
                ring.address(self),
                DATAGRAM,
                1000);
    }

    private static Word claim(int origin, int number, Duration said) {
        return Word.of(
                origin,
                2,
                number,
                Kind.CLAIM,
                0x1122334455667788L,
                1,
                7,
                Duration.ofMillis(250),
                said);
    }

    private static ByteBuf write(Codec by, int to, Codec.Form form, Duration unix, Word... words) {
        ByteBuf out = Unpooled.buffer();
        by.write(out, to, 2, form, 77, -1, List.of(words), unix);
        return out;
    }

    private String read(Codec by, ByteBuf bytes, Duration unix) {
        trace.clear();
        int before = bytes.readableBytes();
        by.read(
                bytes,
                now,
                unix,
                new Codec.Reader() {
                    @Override
                    public void closed(int from, int incarnation, Duration sent, long[] words) {
                        trace.add(ring.name(from) + " closed " + java.util.Arrays.toString(words));
                    }

                    @Override
                    public void doubts(
                            int from,
                            int incarnation,
                            Duration sent,
                            int life,
                            int about,
                            long[] digest) {
                        trace.add(
                                ring.name(from)
                                        + "."
                                        + incarnation
                                        + " life "
                                        + life
                                        + " doubts of "
                                        + ring.name(about)
                                        + " "
                                        + java.util.Arrays.toString(digest));
                    }

                    @Override
                    public void read(
                            int from,
                            int incarnation,
                            Duration sent,
                            Codec.Form form,
                            int probe,
                            int about,
                            List<Word> words) {
                        trace.add(
                                ring.name(from)
                                        + "."
                                        + incarnation
                                        + " "
                                        + form
                                        + " "
                                        + probe
                                        + " about "
                                        + about
                                        + " words "
                                        + words.stream()
                                                .map(
                                                        w ->
                                                                ring.name(w.origin())
                                                                        + " "
                                                                        + w.kind()
                                                                        + " "
                                                                        + w.subject())
                                                .toList());
                    }

                    @Override
                    public void at(int peer, int incarnation, InetSocketAddress address) {
                        trace.add(ring.name(peer) + " is at " + address.getPort());
                    }

                    @Override
                    public void dropped(Drop why) {
                        trace.add(why.toString());
                    }
                });
        assertEquals(before, bytes.readableBytes(), "the reader index is unchanged");
        return String.join("; ", trace);
    }

    @Example
    void saysWhatWasSaid() {
        Word alive = bob.seal(Word.of(1, 2, 1, Kind.ALIVE, 1, 0, 0, Duration.ZERO, UNIX));
        Word claim = bob.seal(claim(1, 2, UNIX));
        ByteBuf bytes = write(bob, 0, Codec.Form.PING, UNIX, alive, claim);
        assertEquals(Codec.bytes(2) - Codec.BELOW, bytes.readableBytes());
        assertEquals(
                "r1 is at 7002; r1.2 PING 77 about -1 words [r1 ALIVE 1, r1 CLAIM 1234605616436508552]",
                read(alice, bytes, UNIX));
        assertEquals("REPLAY", read(alice, bytes, UNIX), "the same datagram again");
        assertEquals("NOT_MINE", read(carol, bytes, UNIX), "sent to another instance");
    }

    private static ByteBuf doubts(Codec by, int about, long... digest) {
        ByteBuf out = Unpooled.buffer();
        by.write(out, 0, 2, 9, about, digest, UNIX);
        return out;
    }

    @Example
    void doubtsAreOfTheSenderOrOfWhoReads() {
        ByteBuf bytes = doubts(bob, 1, 7, -1);
        assertEquals(Codec.doubtBytes(2) - Codec.BELOW, bytes.readableBytes());
        assertEquals("r1.2 life 9 doubts of r1 [7, -1]", read(alice, bytes, UNIX));
        assertEquals("r1.2 life 9 doubts of r1 []", read(alice, doubts(bob, 1), UNIX));
        assertEquals("r1.2 life 9 doubts of r0 [5]", read(alice, doubts(bob, 0, 5), UNIX));
        assertEquals("FORM", read(alice, doubts(bob, 2, 5), UNIX), "about a third instance");
        assertEquals("FORM", read(alice, doubts(bob, -1, 5), UNIX), "about no instance");
        ByteBuf cut = doubts(bob, 1, 5, 6);
        assertEquals(
                "FORM",
                read(alice, cut.slice(0, cut.readableBytes() - 8), UNIX),
                "one part is missing");
        ByteBuf spoilt = doubts(bob, 1, 5, 6);
        spoilt.setByte(Codec.HEAD + 3, 1);
        assertEquals("SIGNATURE", read(alice, spoilt, UNIX));
        ByteBuf closed = Unpooled.buffer();
        bob.write(closed, 0, 2, new long[] {1, 42, 0}, UNIX);
        assertEquals("r1 closed [1, 42, 0]", read(alice, closed, UNIX));
        closed = Unpooled.buffer();
        bob.write(closed, 0, 2, new long[] {1, 42}, UNIX);
        assertEquals("FORM", read(alice, closed, UNIX), "two parts instead of three");
        assertEquals(
                Codec.doubtBytes(Codec.mostParts(DATAGRAM)) - Codec.BELOW <= DATAGRAM,
                true,
                "the largest digest fits");
    }

    @Example
    void passesOnWhatAnotherSigned() {
        Word claim = bob.seal(claim(1, 2, UNIX));
        assertEquals(
                "r2.2 PUSH 77 about -1 words [r1 CLAIM 1234605616436508552]",
                read(alice, write(carol, 0, Codec.Form.PUSH, UNIX, claim), UNIX));
        // Forged origin: signed with the own key, with the key id of another instance in front.
        byte[] forged = carol.seal(claim(2, 3, UNIX)).sealed();
        System.arraycopy(claim.sealed(), 0, forged, 0, 8);
        assertEquals(
                "WORD; r2.2 PUSH 77 about -1 words []",
                read(alice, write(carol, 0, Codec.Form.PUSH, UNIX, claim.sealed(forged)), UNIX));
        // Only an instance itself can announce that it leaves or is alive.
        Word leaves = carol.seal(Word.of(2, 2, 9, Kind.LEAVING, 1, 0, 0, Duration.ZERO, UNIX));
        assertEquals(
                "WORD; r2.2 PUSH 77 about -1 words []",
                read(alice, write(carol, 0, Codec.Form.PUSH, UNIX, leaves), UNIX));
    }

    @Example
    void theNameOfAnotherIsOfNoUse() {
        ByteBuf bytes = write(carol, 0, Codec.Form.PING, UNIX);
        bytes.setLong(4, Ring.id(Ring.raw(KEYS[1].getPublic())));
        assertEquals("SIGNATURE", read(alice, bytes, UNIX));
        // The forged datagram does not block the real sender's next one.
        assertEquals(
                "r1.2 PING 77 about -1 words []",
                read(alice, write(bob, 0, Codec.Form.PING, UNIX), UNIX));
    }

    @Example
    void yesterdayIsOver() {
        Word claim = bob.seal(claim(1, 2, UNIX));
        ByteBuf bytes = write(bob, 0, Codec.Form.PUSH, UNIX, claim);
        now = now.plus(DAY);
        assertEquals("CLOCK", read(alice, bytes, UNIX.plus(DAY)));
        // The update alone, forwarded by another instance a day later.
        assertEquals(
                "WORD; r2.2 PUSH 77 about -1 words []",
                read(
                        alice,
                        write(carol, 0, Codec.Form.PUSH, UNIX.plus(DAY), claim),
                        UNIX.plus(DAY)));
    }

    @Example
    void keysChangeInService() throws Exception {
        Codec next = codec(1, KEYS[3]);
        assertEquals(
                "KEY", read(alice, write(next, 0, Codec.Form.PING, UNIX), UNIX), "not valid yet");
        Duration later = UNIX.plus(DAY);
        now = now.plus(DAY);
        assertEquals(
                "r1.2 PING 77 about -1 words []",
                read(alice, write(next, 0, Codec.Form.PING, later), later));
        // Both keys are valid, in any order of use.
        Codec old =
                new Codec(
                        ring,
                        1,
                        Ring.id(Ring.raw(KEYS[1].getPublic())),
                        KEYS[1].getPrivate(),
                        ring.address(1),
                        DATAGRAM,
                        2000);
        assertEquals(
                "r1.2 PING 77 about -1 words []",
                read(alice, write(old, 0, Codec.Form.PING, later), later));
        Ring without = new Ring();
        without.add("r0", null);
        without.add("r1", null);
        without.key(1, hex(KEYS[1]), Duration.ZERO, later);
        Codec strict = new Codec(without, 0, 0, KEYS[0].getPrivate(), ring.address(0), DATAGRAM, 1);
        assertEquals(
                "KEY",
                read(strict, write(old, 0, Codec.Form.PING, later), later),
                "no longer valid");
    }

    @Example
    void lateOnesCountOnce() {
        List<ByteBuf> sent = new ArrayList<>();
        for (int i = 0; i < 70; i++) {
            sent.add(write(bob, 0, Codec.Form.PING, UNIX));
        }
        assertTrue(read(alice, sent.get(69), UNIX).startsWith("r1.2 PING"));
        assertTrue(read(alice, sent.get(20), UNIX).startsWith("r1.2 PING"), "reordered");
        assertEquals("REPLAY", read(alice, sent.get(20), UNIX));
        assertEquals("REPLAY", read(alice, sent.get(0), UNIX), "older than the replay window");
    }

    @Example
    void aFloodIsNotChecked() {
        int checked = 0;
        for (int i = 0; i < 400; i++) {
            ByteBuf junk = write(carol, 0, Codec.Form.PING, UNIX);
            junk.setByte(junk.writerIndex() - 1, i);
            junk.setByte(junk.writerIndex() - 2, i / 7);
            checked += read(alice, junk, UNIX).equals("FLOOD") ? 0 : 1;
        }
        assertTrue(checked <= 130, "checked " + checked);
        assertTrue(
                read(alice, write(bob, 0, Codec.Form.PING, UNIX), UNIX).startsWith("r1.2 PING"),
                "datagrams of other senders are accepted");
    }

    @Property(tries = 300, seed = "11")
    void whateverComes(@ForAll @Size(max = 1400) byte[] bytes, @ForAll boolean dressed) {
        now = now.plusSeconds(5);
        ByteBuf in = Unpooled.wrappedBuffer(bytes);
        if (dressed && bytes.length > 60) {
            // The most that can be forged without a key: only the signature is wrong.
            ByteBuf good = write(carol, 0, Codec.Form.PING, UNIX);
            good.getBytes(0, bytes, 0, 52);
        }
        String seen = read(alice, in, UNIX);
        assertTrue(List.of("FORM", "SIGNATURE", "FLOOD", "REPLAY").contains(seen), seen);
    }

    @Property(tries = 150, seed = "12")
    void oneBitOffIsNothing(@ForAll @IntRange(max = 8 * 343 - 1) int bit) {
        ByteBuf bytes =
                write(
                        bob,
                        0,
                        Codec.Form.PUSH,
                        UNIX,
                        bob.seal(claim(1, 2, UNIX)),
                        carol.seal(claim(2, 2, UNIX)));
        now = now.plusSeconds(5);
        assertEquals(343, bytes.readableBytes());
        bytes.setByte(bit / 8, bytes.getByte(bit / 8) ^ 1 << bit % 8);
        String seen = read(alice, bytes, UNIX);
        assertTrue(
                List.of("FORM", "NOT_MINE", "KEY", "CLOCK", "REPLAY", "SIGNATURE").contains(seen),
                bit + ": " + seen);
    }

    @Property(tries = 60, seed = "13")
    void cutShortIsNothing(@ForAll @IntRange(max = 229) int length) {
        ByteBuf bytes = write(bob, 0, Codec.Form.PUSH, UNIX, bob.seal(claim(1, 2, UNIX)));
        assertEquals(230, bytes.readableBytes());
        assertEquals("FORM", read(alice, bytes.slice(0, length), UNIX));
    }

    @Property(tries = 100, seed = "14")
    void wordsComeAsTheyWere(
            @ForAll @IntRange(max = 1 << 30) int incarnation,
            @ForAll @IntRange(max = 1 << 30) int number,
            @ForAll long subject,
            @ForAll @IntRange(max = 3) int symptom,
            @ForAll @IntRange(max = 30_000) int evidence,
            @ForAll @LongRange(max = 1_000_000) long sinceMs,
            @ForAll @LongRange(min = -29_000, max = 29_000) long offMs) {
        now = now.plusSeconds(5);
        Word word =
                bob.seal(
                        Word.of(
                                1,
                                incarnation,
                                number,
                                Kind.CLAIM,
                                subject,
                                symptom,
                                evidence,
                                Duration.ofMillis(sinceMs),
                                UNIX.plusMillis(offMs)));
        List<Word> got = new ArrayList<>();
        alice.read(
                write(bob, 0, Codec.Form.PUSH, UNIX, word),
                now,
                UNIX,
                new Codec.Reader() {
                    @Override
                    public void closed(int from, int incarnation, Duration sent, long[] words) {
                        trace.add(ring.name(from) + " closed " + java.util.Arrays.toString(words));
                    }

                    @Override
                    public void doubts(
                            int from,
                            int incarnation,
                            Duration sent,
                            int life,
                            int about,
                            long[] digest) {}

                    @Override
                    public void read(
                            int from,
                            int its,
                            Duration sent,
                            Codec.Form form,
                            int probe,
                            int about,
                            List<Word> words) {
                        got.addAll(words);
                    }

                    @Override
                    public void at(int peer, int its, InetSocketAddress address) {}

                    @Override
                    public void dropped(Drop why) {
                        throw new AssertionError(why);
                    }
                });
        Word same = got.get(0);
        assertEquals(
                List.of(
                        1,
                        incarnation,
                        number,
                        subject,
                        symptom,
                        evidence,
                        word.since(),
                        word.said()),
                List.of(
                        same.origin(),
                        same.incarnation(),
                        same.number(),
                        same.subject(),
                        same.detail(),
                        same.evidence(),
                        same.since(),
                        same.said()));
    }
}
