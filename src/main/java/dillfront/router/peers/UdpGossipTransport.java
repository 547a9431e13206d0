package dillfront.router.peers;

import dillfront.common.logging.Log;
import dillfront.common.network.TerminalHandler;
import dillfront.router.gossip.GossipConfig;
import dillfront.router.gossip.GossipProtocol;
import dillfront.router.gossip.GossipTransport;
import dillfront.router.gossip.GossipUpdate;
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
 * Gossip on a UDP socket of the router's one loop. Owns the socket, and gives it back in close().
 * One receive buffer of the largest datagram; what is longer was cut short, and fails its form.
 */
public final class UdpGossipTransport implements GossipTransport, GossipCodec.DatagramHandler {

    /** A part of a period between two looks at the clock. */
    private static final int TICKS_PER_PERIOD = 10;

    private final GossipConfig config;
    private final PeerRegistry registry;
    private final int self;
    private final GossipCodec codec;
    private final GossipProtocol gossip;
    private final EventLoop loop;
    private final Log log;
    private final Supplier<Duration> clock;
    private final Supplier<Duration> unixTime;
    private final BiConsumer<GossipUpdate, Duration> claimListener;
    private final NioDatagramChannel channel = new NioDatagramChannel();
    private final long[] dropCounts = new long[DropReason.values().length];
    private final int[] addressIncarnation;
    private final List<SyncState> syncStates = new ArrayList<>();
    private int nextPeer;
    private long readDatagrams;
    private long sentDatagrams;
    private long unsentForAddress;
    private boolean closed;

    /** Null where none is told. */
    private RestrictionStore restrictions;

    private final InetSocketAddress bindAddress;

    /** Unlike any other of this instance, but for two in one second: never 0. */
    private final int runId;

    /** Keys in doubt: what this instance tells, and where others' words go. */
    public interface RestrictionStore {

        /** Changes with what there is to tell. */
        long version();

        long[] ownInDoubtKeys(int maxParts);

        /** What an instance told in its life before this one; null where nothing is known. */
        long[] previousRunKeys(int peer);

        /** Which life of an instance has last told something; 0 where none has. */
        int lastRun(int peer);

        void receiveInDoubtKeys(int peer, int runId, long[] keys);

        void receiveEcho(int peer, long[] keys);

        /** Changes with what the lists have closed. */
        long closedVersion();

        /** That, three numbers each, the latest of so many. */
        long[] closedNodes(int maxParts);

        void receiveClosedNodes(int peer, long[] closedNodes);
    }

    /** What one other instance was told of keys in doubt, in this life of it. */
    private static final class SyncState {
        int runId;
        long inDoubtVersion = -1;
        Duration inDoubtSentAt;
        boolean sentEmpty;

        /** How often it is still told what it said in an earlier life. */
        int echoesLeft;

        Duration echoedAt;
        long closedVersion = -1;
        Duration closedSentAt;
    }

    /**
     * Datagrams get lost: so often an earlier life's word is told back, and what is in doubt is
     * told again after so many periods.
     */
    private static final int ECHO_COUNT = 3;

    private static final int REPEAT_PERIODS = 10;

    /**
     * @param bindAddress where the socket is, if not at the address that others reach it by; null
     *     where it is
     * @param keyId of this instance's key in the ring, to which the private one belongs
     * @param clock since the start
     * @param unixTime Unix time
     * @param claimListener takes each new claim of others and how old it is
     */
    public UdpGossipTransport(
            GossipConfig config,
            PeerRegistry registry,
            int self,
            InetSocketAddress bindAddress,
            long keyId,
            PrivateKey key,
            EventLoop loop,
            Log log,
            Supplier<Duration> clock,
            Supplier<Duration> unixTime,
            RandomGenerator random,
            BiConsumer<GossipUpdate, Duration> claimListener) {
        this.config = config;
        this.registry = registry;
        this.self = self;
        this.bindAddress = bindAddress == null ? registry.address(self) : bindAddress;
        for (int i = 0; i < registry.size(); i++) {
            syncStates.add(new SyncState());
        }
        this.loop = loop;
        this.log = log;
        this.clock = clock;
        this.unixTime = unixTime;
        this.claimListener = claimListener;
        runId = (int) unixTime.get().toSeconds() | 1 << 31;
        addressIncarnation = new int[registry.size()];
        Arrays.fill(addressIncarnation, -1);
        codec =
                new GossipCodec(
                        registry,
                        self,
                        keyId,
                        key,
                        registry.address(self),
                        config.maxDatagramBytes(),
                        unixTime.get().toNanos() / 1000);
        gossip = new GossipProtocol(config, registry.size(), self, 0, this, random);
    }

    /** On the loop, with its clocks set. */
    public GossipProtocol gossip() {
        at();
        return gossip;
    }

    /** On the loop: opens the socket and speaks to those whose address the file tells. */
    public void open() {
        channel.config()
                .setOption(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(config.maxDatagramBytes() + 1));
        channel.pipeline()
                .addLast(
                        new TerminalHandler() {
                            @Override
                            public void channelRead(ChannelHandlerContext ctx, Object message) {
                                DatagramPacket packet = (DatagramPacket) message;
                                try {
                                    decode(packet);
                                } finally {
                                    packet.release();
                                }
                            }

                            @Override
                            public void exceptionCaught(
                                    ChannelHandlerContext ctx, Throwable cause) {
                                // A port that nobody listens on is told to the sender on loopback;
                                // that is no fault here.
                                if (!(cause instanceof IOException)) {
                                    log.warn("gossip", "fault", cause);
                                }
                            }
                        });
        loop.register(channel).syncUninterruptibly();
        channel.bind(bindAddress)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                log.warn(
                                        "gossip-not-bound",
                                        "address",
                                        bindAddress,
                                        "fault",
                                        done.cause());
                                close();
                                return;
                            }
                            at();
                            gossip.join(
                                    java.util.stream.IntStream.range(0, registry.size())
                                            .filter(peer -> registry.address(peer) != null)
                                            .boxed()
                                            .toList());
                            tick();
                        });
    }

    private void at() {
        gossip.setClocks(clock.get(), unixTime.get());
    }

    private void tick() {
        if (!closed) {
            at();
            gossip.tick();
            sendRestrictions();
            loop.schedule(
                    this::tick, config.period().toNanos() / TICKS_PER_PERIOD, TimeUnit.NANOSECONDS);
        }
    }

    /** Before open(). */
    public void setRestrictions(RestrictionStore store) {
        restrictions = store;
    }

    /**
     * One datagram a look at the most, to those in turn who lack something, as far as the budget
     * allows.
     */
    private void sendRestrictions() {
        for (int i = 0; i < registry.size() && restrictions != null; i++) {
            int peer = nextPeer;
            nextPeer = (nextPeer + 1) % registry.size();
            if (peer != self
                    && gossip.membership().isPresent(peer)
                    && sendRestrictions(peer, syncStates.get(peer))) {
                return;
            }
        }
    }

    /**
     * The first word of a life goes out though there is nothing to tell: others see by it that this
     * is another life.
     */
    private boolean sendRestrictions(int peer, SyncState state) {
        Duration now = clock.get();
        long[] previousRunKeys = restrictions.previousRunKeys(peer);
        if (restrictions.lastRun(peer) != state.runId) {
            state.runId = restrictions.lastRun(peer);
            state.inDoubtVersion = -1;
            state.closedVersion = -1;
            state.echoesLeft = previousRunKeys == null ? 0 : ECHO_COUNT;
            state.echoedAt = null;
        }
        if (state.echoesLeft > 0
                && previousRunKeys != null
                && (state.echoedAt == null
                        || now.minus(state.echoedAt).compareTo(config.period()) >= 0)) {
            state.echoedAt = now;
            state.echoesLeft--;
            return sendInDoubtKeys(peer, peer, previousRunKeys);
        }
        if (sendClosedNodes(peer, state, now)) {
            return true;
        }
        boolean sentRecently =
                state.inDoubtSentAt != null
                        && now.minus(state.inDoubtSentAt).compareTo(config.period()) < 0;
        boolean repeat =
                state.inDoubtSentAt != null
                        && !state.sentEmpty
                        && now.minus(state.inDoubtSentAt)
                                        .compareTo(config.period().multipliedBy(REPEAT_PERIODS))
                                >= 0;
        if (sentRecently || state.inDoubtVersion == restrictions.version() && !repeat) {
            return false;
        }
        long[] ownKeys =
                restrictions.ownInDoubtKeys(GossipCodec.maxParts(config.maxDatagramBytes()));
        if (!sendInDoubtKeys(peer, self, ownKeys)) {
            return false;
        }
        state.inDoubtVersion = restrictions.version();
        state.sentEmpty = ownKeys.length == 0;
        state.inDoubtSentAt = now;
        return true;
    }

    /**
     * What is closed, as it changes, and again: an agent that lags does so for long. Nothing where
     * nothing is and was.
     */
    private boolean sendClosedNodes(int peer, SyncState state, Duration now) {
        boolean sentRecently =
                state.closedSentAt != null
                        && now.minus(state.closedSentAt).compareTo(config.period()) < 0;
        boolean repeat =
                state.closedSentAt != null
                        && now.minus(state.closedSentAt)
                                        .compareTo(config.period().multipliedBy(REPEAT_PERIODS))
                                >= 0;
        if (sentRecently || state.closedVersion == restrictions.closedVersion() && !repeat) {
            return false;
        }
        long[] closedNodes =
                restrictions.closedNodes(GossipCodec.maxParts(config.maxDatagramBytes()));
        if (closedNodes.length == 0 && state.closedSentAt == null) {
            state.closedVersion = restrictions.closedVersion();
            return false;
        }
        if (!send(peer, self, closedNodes, true)) {
            return false;
        }
        state.closedVersion = restrictions.closedVersion();
        state.closedSentAt = closedNodes.length == 0 ? null : now;
        return true;
    }

    private boolean sendInDoubtKeys(int to, int about, long[] keys) {
        return send(to, about, keys, false);
    }

    private boolean send(int to, int about, long[] parts, boolean closed) {
        InetSocketAddress address = registry.address(to);
        if (address == null
                || !channel.isActive()
                || !gossip.tryReserve(GossipCodec.partsWireSize(parts.length))) {
            return false;
        }
        ByteBuf out = channel.alloc().buffer(GossipCodec.partsWireSize(parts.length));
        if (closed) {
            codec.write(out, to, gossip.incarnation(), parts, unixTime.get());
        } else {
            codec.write(out, to, gossip.incarnation(), runId, about, parts, unixTime.get());
        }
        sentDatagrams++;
        channel.writeAndFlush(new DatagramPacket(out, address));
        return true;
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

    private void decode(DatagramPacket packet) {
        if (closed) {
            return;
        }
        sender = packet.sender();
        codec.read(packet.content(), clock.get(), unixTime.get(), this);
    }

    @Override
    public void receive(
            int from,
            int incarnation,
            Duration sentAt,
            GossipCodec.DatagramType type,
            int probe,
            int about,
            List<GossipUpdate> updates) {
        readDatagrams++;
        // It is where its own fresh datagram came from.
        registry.address(from, sender);
        addressIncarnation[from] = Math.max(addressIncarnation[from], incarnation);
        at();
        gossip.receivedFrom(from, incarnation, sentAt);
        updates.forEach(update -> gossip.receiveUpdate(update, from));
        switch (type) {
            case PING -> gossip.handlePing(from, probe);
            case ACK -> gossip.handleAck(from, probe);
            case PROBE_REQUEST -> {
                if (about >= 0) {
                    gossip.handleProbeRequest(from, about, probe);
                }
            }
            case TABLE_EXCHANGE -> gossip.handleTableExchange(from);
            default -> {}
        }
    }

    /** Its sender signed it just now, so it is there. */
    private void recordSender(int from, int incarnation, Duration sentAt) {
        readDatagrams++;
        registry.address(from, sender);
        addressIncarnation[from] = Math.max(addressIncarnation[from], incarnation);
        at();
        gossip.receivedFrom(from, incarnation, sentAt);
    }

    @Override
    public void receiveClosedNodes(int from, int incarnation, Duration sentAt, long[] closedNodes) {
        recordSender(from, incarnation, sentAt);
        if (restrictions != null) {
            restrictions.receiveClosedNodes(from, closedNodes);
        }
    }

    @Override
    public void receiveInDoubtKeys(
            int from, int incarnation, Duration sentAt, int peerRun, int about, long[] keys) {
        recordSender(from, incarnation, sentAt);
        if (restrictions != null && about == self) {
            restrictions.receiveEcho(from, keys);
        } else if (restrictions != null) {
            restrictions.receiveInDoubtKeys(from, peerRun, keys);
        }
    }

    @Override
    public void learnAddress(int peer, int incarnation, InetSocketAddress address) {
        if (peer != self && incarnation > addressIncarnation[peer]) {
            addressIncarnation[peer] = incarnation;
            registry.address(peer, address);
        }
    }

    @Override
    public void onDropped(DropReason reason) {
        dropCounts[reason.ordinal()]++;
    }

    // ---- out

    private void send(
            int to,
            GossipCodec.DatagramType type,
            int probe,
            int about,
            List<GossipUpdate> updates) {
        InetSocketAddress address = registry.address(to);
        if (address == null || !channel.isActive()) {
            unsentForAddress++;
            return;
        }
        ByteBuf out = channel.alloc().buffer(GossipCodec.wireSize(updates.size()));
        codec.write(out, to, gossip.incarnation(), type, probe, about, updates, unixTime.get());
        sentDatagrams++;
        channel.writeAndFlush(new DatagramPacket(out, address));
    }

    @Override
    public void ping(int to, int probeNumber, List<GossipUpdate> updates) {
        send(to, GossipCodec.DatagramType.PING, probeNumber, -1, updates);
    }

    @Override
    public void ack(int to, int probeNumber, List<GossipUpdate> updates) {
        send(to, GossipCodec.DatagramType.ACK, probeNumber, -1, updates);
    }

    @Override
    public void requestProbe(int to, int about, int probeNumber, List<GossipUpdate> updates) {
        send(to, GossipCodec.DatagramType.PROBE_REQUEST, probeNumber, about, updates);
    }

    @Override
    public void push(int to, boolean requestTable, List<GossipUpdate> updates) {
        send(
                to,
                requestTable
                        ? GossipCodec.DatagramType.TABLE_EXCHANGE
                        : GossipCodec.DatagramType.PUSH,
                0,
                -1,
                updates);
    }

    @Override
    public GossipUpdate sign(GossipUpdate update) {
        return codec.sign(update);
    }

    @Override
    public int wireSize(List<GossipUpdate> updates) {
        return GossipCodec.wireSize(updates.size());
    }

    @Override
    public void claimReceived(GossipUpdate claim, Duration age) {
        claimListener.accept(claim, age);
    }

    // ---- what is counted

    public PeerRegistry registry() {
        return registry;
    }

    public int self() {
        return self;
    }

    public long datagramsRead() {
        return readDatagrams;
    }

    public long datagramsSent() {
        return sentDatagrams;
    }

    public long unsentForAddress() {
        return unsentForAddress;
    }

    public long dropCount(DropReason reason) {
        return dropCounts[reason.ordinal()];
    }
}
