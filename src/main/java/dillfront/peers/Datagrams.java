package dillfront.peers;

import dillfront.gossip.Gossip;
import dillfront.gossip.Post;
import dillfront.gossip.Tuning;
import dillfront.gossip.Word;
import dillfront.log.Log;
import dillfront.sockets.Ears;
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
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Gossip on a UDP socket of the router's one loop. Owns the socket, and gives it back in close(). One receive buffer of the
 * largest datagram; what is longer was cut short, and fails its form.
 */
public final class Datagrams implements Post, Codec.Reader {

    /** A part of a period between two looks at the clock. */
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
    private long read;
    private long sent;
    private long noAddress;
    private boolean closed;

    /**
     * @param keyId of this instance's key in the ring, to which the private one belongs
     * @param clock since the start
     * @param unix Unix time
     * @param claims takes each new claim of others and how old it is
     */
    public Datagrams(Tuning tuning, Ring ring, int self, long keyId, PrivateKey key, EventLoop loop, Log log,
            Supplier<Duration> clock, Supplier<Duration> unix, RandomGenerator chance, BiConsumer<Word, Duration> claims) {
        this.tuning = tuning;
        this.ring = ring;
        this.self = self;
        this.loop = loop;
        this.log = log;
        this.clock = clock;
        this.unix = unix;
        this.claims = claims;
        addressOf = new int[ring.size()];
        Arrays.fill(addressOf, -1);
        codec = new Codec(ring, self, keyId, key, ring.address(self), tuning.datagram(), unix.get().toNanos() / 1000);
        gossip = new Gossip(tuning, ring.size(), self, 0, this, chance);
    }

    /** On the loop, with its clocks set. */
    public Gossip gossip() {
        at();
        return gossip;
    }

    /** On the loop: opens the socket and speaks to those whose address the file tells. */
    public void open() {
        channel.config().setOption(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(tuning.datagram() + 1));
        channel.pipeline().addLast(new Ears() {
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
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                // A port that nobody listens on is told to the sender on loopback; that is no fault here.
                if (!(cause instanceof IOException)) {
                    log.warn("gossip", "fault", cause);
                }
            }
        });
        loop.register(channel).syncUninterruptibly();
        channel.bind(ring.address(self)).addListener(done -> {
            if (!done.isSuccess()) {
                log.warn("gossip-not-bound", "address", ring.address(self), "fault", done.cause());
                close();
                return;
            }
            at();
            gossip.join(java.util.stream.IntStream.range(0, ring.size()).filter(p -> ring.address(p) != null).boxed().toList());
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
            loop.schedule(this::look, tuning.period().toNanos() / LOOKS, TimeUnit.NANOSECONDS);
        }
    }

    /** Says that it leaves, once, and ends. */
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

    // ---- in

    private InetSocketAddress sender;

    private void take(DatagramPacket packet) {
        if (closed) {
            return;
        }
        sender = packet.sender();
        codec.read(packet.content(), clock.get(), unix.get(), this);
    }

    @Override
    public void read(int from, int incarnation, Duration at, Codec.Form form, int probe, int about, List<Word> words) {
        read++;
        // It is where its own fresh datagram came from.
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
            default -> { }
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

    // ---- out

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

    // ---- what is counted

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
