package dillfront.router.peers;

import dillfront.common.logging.Log;
import dillfront.common.network.TerminalHandler;
import dillfront.router.gossip.Gossip;
import dillfront.router.gossip.Post;
import dillfront.router.gossip.Tuning;
import dillfront.router.gossip.Word;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.PrivateKey;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Sends and receives gossip on a UDP socket of the router's event loop. Owns the socket and closes
 * it in {@link #close}. The receive buffer holds the largest datagram plus one byte, so a longer
 * datagram is truncated and fails the form check.
 */
public final class Datagrams implements Post, Codec.Reader {

    /** Timer runs per gossip period. */
    private static final int LOOKS = 10;

    private final Tuning tuning;
    private final Ring ring;
    private final int self;
    private final Codec codec;
    private final Gossip gossip;
    private final EventLoop loop;
    private final Log log;
    private final Supplier<Duration> clock;
    private final Supplier<Duration> unix;
    private final BiConsumer<Word, Duration> claims;
    private final NioDatagramChannel channel = new NioDatagramChannel();
    private final long[] dropped = new long[Drop.values().length];
    private final int[] addressOf;
    private final List<Told> told = new ArrayList<>();
    private int next;
    private long read;
    private long sent;
    private long noAddress;
    private boolean closed;

    /** Null if in-doubt keys and closed nodes are not exchanged. */
    private Telling telling;

    private final InetSocketAddress bind;

    /** Identifies this run of the instance; never 0. Two starts within one second share it. */
    private final int life;

    /**
     * Source of the restrictions sent to peers, and receiver of theirs: in-doubt keys and closed
     * nodes.
     */
    public interface Telling {

        /** Returns a number that changes with the own in-doubt keys. */
        long version();

        long[] own(int mostParts);

        /**
         * Returns the in-doubt keys that a peer sent in its previous run; null if none are known.
         */
        long[] before(int peer);

        /** Returns the run that a peer last sent in-doubt keys for; 0 if there is none. */
        int life(int peer);

        void says(int peer, int life, long[] digest);

        void echoes(int peer, long[] digest);

        /** Returns a number that changes with the closed nodes. */
        long closedVersion();

        /** Returns three numbers for each of the latest closed nodes, as many as fit. */
        long[] closed(int mostParts);

        void closes(int peer, long[] words);
    }

    /** What was sent to one peer in its current run. */
    private static final class Told {
        int life;
        long version = -1;
        Duration at;
        boolean empty;

        /** How often the in-doubt keys of the peer's previous run are still sent back to it. */
        int echoes;

        Duration echoedAt;
        long closedVersion = -1;
        Duration closedAt;
    }

    /**
     * Datagrams may be lost: the keys of a previous run are sent back this many times, and the own
     * in-doubt keys are repeated after this many periods.
     */
    private static final int ECHOES = 3;

    private static final int AGAIN = 10;

    /**
     * @param bind address to bind if it differs from the advertised one; null otherwise
     * @param keyId id of the registered key that belongs to the private key
     * @param clock time since the start
     * @param unix Unix time
     * @param claims receives each new claim of a peer and its age
     */
    public Datagrams(
            Tuning tuning,
            Ring ring,
            int self,
            InetSocketAddress bind,
            long keyId,
            PrivateKey key,
            EventLoop loop,
            Log log,
            Supplier<Duration> clock,
            Supplier<Duration> unix,
            RandomGenerator chance,
            BiConsumer<Word, Duration> claims) {
        this.tuning = tuning;
        this.ring = ring;
        this.self = self;
        this.bind = bind == null ? ring.address(self) : bind;
        for (int i = 0; i < ring.size(); i++) {
            told.add(new Told());
        }
        this.loop = loop;
        this.log = log;
        this.clock = clock;
        this.unix = unix;
        this.claims = claims;
        life = (int) unix.get().toSeconds() | 1 << 31;
        addressOf = new int[ring.size()];
        Arrays.fill(addressOf, -1);
        codec =
                new Codec(
                        ring,
                        self,
                        keyId,
                        key,
                        ring.address(self),
                        tuning.datagram(),
                        unix.get().toNanos() / 1000);
        gossip = new Gossip(tuning, ring.size(), self, 0, this, chance);
    }

    /** Returns the protocol with its clocks set; call on the event loop. */
    public Gossip gossip() {
        at();
        return gossip;
    }

    /**
     * Opens the socket and contacts the peers whose address is configured; call on the event loop.
     */
    public void open() {
        channel.config()
                .setOption(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(tuning.datagram() + 1));
        channel.pipeline()
                .addLast(
                        new TerminalHandler() {
                            @Override
                            public void channelRead(ChannelHandlerContext ctx, Object message) {
                                DatagramPacket packet = (DatagramPacket) message;
                                try {
                                    take(packet);
                                } finally {
                                    packet.release();
                                }
                            }

                            @Override
                            public void exceptionCaught(
                                    ChannelHandlerContext ctx, Throwable cause) {
                                // On loopback an ICMP port-unreachable error of a peer that is not
                                // listening arrives here; it is no local fault.
                                if (!(cause instanceof IOException)) {
                                    log.warn("gossip", "fault", cause);
                                }
                            }
                        });
        loop.register(channel).syncUninterruptibly();
        channel.bind(bind)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                log.warn(
                                        "gossip-not-bound", "address", bind, "fault", done.cause());
                                close();
                                return;
                            }
                            at();
                            gossip.join(
                                    java.util.stream.IntStream.range(0, ring.size())
                                            .filter(p -> ring.address(p) != null)
                                            .boxed()
                                            .toList());
                            look();
                        });
    }

    private void at() {
        gossip.at(clock.get(), unix.get());
    }

    private void look() {
        if (!closed) {
            at();
            gossip.woken();
            tellDoubts();
            loop.schedule(this::look, tuning.period().toNanos() / LOOKS, TimeUnit.NANOSECONDS);
        }
    }

    /** Sets the restrictions to exchange; call before {@link #open}. */
    public void tells(Telling of) {
        telling = of;
    }

    /**
     * Sends restrictions to the next peer that lacks some: at most one datagram per timer run, as
     * far as the budget allows.
     */
    private void tellDoubts() {
        for (int i = 0; i < ring.size() && telling != null; i++) {
            int peer = next;
            next = (next + 1) % ring.size();
            if (peer != self
                    && gossip.members().present(peer)
                    && tellDoubts(peer, told.get(peer))) {
                return;
            }
        }
    }

    /**
     * Sends restrictions to one peer. The first datagram of a run is sent even if it is empty,
     * since it tells the peer that this is a new run.
     */
    private boolean tellDoubts(int peer, Told its) {
        Duration now = clock.get();
        long[] before = telling.before(peer);
        if (telling.life(peer) != its.life) {
            its.life = telling.life(peer);
            its.version = -1;
            its.closedVersion = -1;
            its.echoes = before == null ? 0 : ECHOES;
            its.echoedAt = null;
        }
        if (its.echoes > 0
                && before != null
                && (its.echoedAt == null
                        || now.minus(its.echoedAt).compareTo(tuning.period()) >= 0)) {
            its.echoedAt = now;
            its.echoes--;
            return sendDoubts(peer, peer, before);
        }
        if (tellClosed(peer, its, now)) {
            return true;
        }
        boolean soon = its.at != null && now.minus(its.at).compareTo(tuning.period()) < 0;
        boolean again =
                its.at != null
                        && !its.empty
                        && now.minus(its.at).compareTo(tuning.period().multipliedBy(AGAIN)) >= 0;
        if (soon || its.version == telling.version() && !again) {
            return false;
        }
        long[] own = telling.own(Codec.mostParts(tuning.datagram()));
        if (!sendDoubts(peer, self, own)) {
            return false;
        }
        its.version = telling.version();
        its.empty = own.length == 0;
        its.at = now;
        return true;
    }

    /**
     * Sends the closed nodes when they change, and repeats them, since a lagging agent lags for
     * long. Sends nothing if there are none and there were none.
     */
    private boolean tellClosed(int peer, Told its, Duration now) {
        boolean soon =
                its.closedAt != null && now.minus(its.closedAt).compareTo(tuning.period()) < 0;
        boolean again =
                its.closedAt != null
                        && now.minus(its.closedAt).compareTo(tuning.period().multipliedBy(AGAIN))
                                >= 0;
        if (soon || its.closedVersion == telling.closedVersion() && !again) {
            return false;
        }
        long[] closed = telling.closed(Codec.mostParts(tuning.datagram()));
        if (closed.length == 0 && its.closedAt == null) {
            its.closedVersion = telling.closedVersion();
            return false;
        }
        if (!send(peer, self, closed, true)) {
            return false;
        }
        its.closedVersion = telling.closedVersion();
        its.closedAt = closed.length == 0 ? null : now;
        return true;
    }

    private boolean sendDoubts(int to, int about, long[] digest) {
        return send(to, about, digest, false);
    }

    private boolean send(int to, int about, long[] parts, boolean closed) {
        InetSocketAddress address = ring.address(to);
        if (address == null
                || !channel.isActive()
                || !gossip.pays(Codec.doubtBytes(parts.length))) {
            return false;
        }
        ByteBuf out = channel.alloc().buffer(Codec.doubtBytes(parts.length));
        if (closed) {
            codec.write(out, to, gossip.incarnation(), parts, unix.get());
        } else {
            codec.write(out, to, gossip.incarnation(), life, about, parts, unix.get());
        }
        sent++;
        channel.writeAndFlush(new DatagramPacket(out, address));
        return true;
    }

    /** Announces the shutdown once and closes the socket. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (channel.isActive()) {
            at();
            gossip.leave();
        }
        channel.close();
    }

    // ---- receiving

    private InetSocketAddress sender;

    private void take(DatagramPacket packet) {
        if (closed) {
            return;
        }
        sender = packet.sender();
        codec.read(packet.content(), clock.get(), unix.get(), this);
    }

    @Override
    public void read(
            int from,
            int incarnation,
            Duration at,
            Codec.Form form,
            int probe,
            int about,
            List<Word> words) {
        read++;
        // The source of a fresh signed datagram is the peer's current address.
        ring.address(from, sender);
        addressOf[from] = Math.max(addressOf[from], incarnation);
        at();
        gossip.from(from, incarnation, at);
        words.forEach(w -> gossip.word(w, from));
        switch (form) {
            case PING -> gossip.pinged(from, probe);
            case ACK -> gossip.acked(from, probe);
            case ASK -> {
                if (about >= 0) {
                    gossip.asked(from, about, probe);
                }
            }
            case SWAP -> gossip.swapped(from);
            default -> {}
        }
    }

    /** Records that the sender is alive, since it signed the datagram just now. */
    private void heard(int from, int incarnation, Duration at) {
        read++;
        ring.address(from, sender);
        addressOf[from] = Math.max(addressOf[from], incarnation);
        at();
        gossip.from(from, incarnation, at);
    }

    @Override
    public void closed(int from, int incarnation, Duration at, long[] words) {
        heard(from, incarnation, at);
        if (telling != null) {
            telling.closes(from, words);
        }
    }

    @Override
    public void doubts(int from, int incarnation, Duration at, int its, int about, long[] digest) {
        heard(from, incarnation, at);
        if (telling != null && about == self) {
            telling.echoes(from, digest);
        } else if (telling != null) {
            telling.says(from, its, digest);
        }
    }

    @Override
    public void at(int peer, int incarnation, InetSocketAddress address) {
        if (peer != self && incarnation > addressOf[peer]) {
            addressOf[peer] = incarnation;
            ring.address(peer, address);
        }
    }

    @Override
    public void dropped(Drop why) {
        dropped[why.ordinal()]++;
    }

    // ---- sending

    private void send(int to, Codec.Form form, int probe, int about, List<Word> words) {
        InetSocketAddress address = ring.address(to);
        if (address == null || !channel.isActive()) {
            noAddress++;
            return;
        }
        ByteBuf out = channel.alloc().buffer(Codec.bytes(words.size()));
        codec.write(out, to, gossip.incarnation(), form, probe, about, words, unix.get());
        sent++;
        channel.writeAndFlush(new DatagramPacket(out, address));
    }

    @Override
    public void ping(int to, int number, List<Word> words) {
        send(to, Codec.Form.PING, number, -1, words);
    }

    @Override
    public void ack(int to, int number, List<Word> words) {
        send(to, Codec.Form.ACK, number, -1, words);
    }

    @Override
    public void ask(int to, int about, int number, List<Word> words) {
        send(to, Codec.Form.ASK, number, about, words);
    }

    @Override
    public void push(int to, boolean swap, List<Word> words) {
        send(to, swap ? Codec.Form.SWAP : Codec.Form.PUSH, 0, -1, words);
    }

    @Override
    public Word seal(Word own) {
        return codec.seal(own);
    }

    @Override
    public int bytes(List<Word> words) {
        return Codec.bytes(words.size());
    }

    @Override
    public void claimed(Word claim, Duration age) {
        claims.accept(claim, age);
    }

    // ---- counters

    public Ring ring() {
        return ring;
    }

    public int self() {
        return self;
    }

    public long datagramsRead() {
        return read;
    }

    public long datagramsSent() {
        return sent;
    }

    public long noAddress() {
        return noAddress;
    }

    public long drops(Drop why) {
        return dropped[why.ordinal()];
    }
}
