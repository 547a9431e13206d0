package dillfront.router.gossip;

import static dillfront.routing.api.Durations.multiply;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Runs the gossip protocol of one router instance: failure detection by direct and indirect probes,
 * dissemination of updates piggybacked on those probes, immediate pushes of new claims, and
 * periodic table exchange, also with peers considered gone, so that a healed partition merges
 * again. All sends share a byte budget that does not depend on the number of instances.
 *
 * <p>The caller sets the clocks with {@link #setClocks}, calls {@link #tick} several times per
 * period, and passes in received messages; outgoing datagrams leave through the {@link
 * GossipTransport} during the call. The same calls with the same seed produce the same datagrams.
 */
public final class GossipProtocol {

    /**
     * Part of a period to wait for a direct ack before other instances are asked for an indirect
     * probe; the rest of the period is left for their acks.
     */
    private static final double DIRECT_ACK_PERIODS = 0.3;

    private static final int INDIRECT_PROBES = 3;

    /**
     * Peers to which a new claim is pushed at once, by its origin and by each instance that
     * receives it first.
     */
    private static final int CLAIM_FANOUT = 4;

    /** Periods between two table exchanges. */
    private static final int TABLE_EXCHANGE_PERIODS = 5;

    /** Part of the registered instances below which the local table counts as incomplete. */
    private static final double COMPLETE_TABLE_PART = 0.9;

    /** Seed peers contacted at once when joining. */
    private static final int MAX_SEEDS_CONTACTED = 5;

    /**
     * Gap between two calls of {@link #tick}, in periods, above which this instance counts as
     * having been paused.
     */
    private static final double PAUSE_PERIODS = 0.5;

    private static final int PIGGYBACKED_UPDATES = 6;
    private static final int PUSHED_CLAIMS = 4;
    private static final int TABLE_UPDATES = 8;

    /**
     * Requests of peers (pings, indirect probes, table exchanges) that are answered per period; far
     * above the number under usual load.
     */
    private static final int MAX_REQUESTS_PER_PERIOD = 16;

    /** Indirect probes that may be outstanding at the same time. */
    private static final int MAX_INDIRECT_PROBES = 64;

    /** Claims remembered per origin. */
    private static final int MAX_CLAIMS_PER_ORIGIN = 32;

    /**
     * An indirect probe in progress: the requesting peer, the probe number it used, and the start
     * time.
     */
    private record IndirectProbe(int requester, int requesterProbe, Duration at) {}

    private final GossipConfig config;
    private final int self;
    private final GossipTransport transport;
    private final RandomGenerator random;
    private final MembershipList membership;
    private final BroadcastQueue queue = new BroadcastQueue();
    private final BandwidthBudget budget;

    /**
     * Latest claims on nodes by origin. The number per origin is bounded; the least recently
     * updated claim is evicted first.
     */
    private final Map<Integer, Map<Long, GossipUpdate>> claimsByOrigin = new LinkedHashMap<>();

    private final Map<Integer, IndirectProbe> indirectProbes = new LinkedHashMap<>();
    private Duration now = Duration.ZERO;
    private Duration unixTime = Duration.ZERO;
    private Duration lastTickAt;
    private Duration nextProbeAt = Duration.ZERO;
    private int incarnation;
    private Duration incarnationRaisedAt;
    private int updateNumber;
    private int probeNumber;
    private int probedPeer = -1;
    private Duration probeSentAt = Duration.ZERO;
    private boolean indirectProbesSent;
    private boolean ackReceived;
    private int periodCount;
    private int requestsInPeriod;
    private List<Integer> seeds = List.of();
    private int datagramsInPeriod;
    private final ClockSkew clockSkew;
    private long outdatedClaims;
    private boolean leaving;
    private GossipUpdate aliveUpdate;

    /**
     * @param instances number of registered instances; indices are below this value
     * @param incarnation initial incarnation: above any earlier one of this instance, if that is
     *     known
     */
    public GossipProtocol(
            GossipConfig config,
            int instances,
            int self,
            int incarnation,
            GossipTransport transport,
            RandomGenerator random) {
        this.config = config;
        this.self = self;
        this.incarnation = incarnation;
        this.transport = transport;
        this.random = random;
        membership = new MembershipList(instances, self, config.period(), random);
        budget = new BandwidthBudget(config.bytesPerSecond());
        clockSkew = new ClockSkew(instances);
    }

    /**
     * @param clock time since the start; never goes back
     * @param currentUnixTime local Unix time; the clocks of peers may differ
     */
    public void setClocks(Duration clock, Duration currentUnixTime) {
        now = clock;
        unixTime = currentUnixTime;
    }

    public MembershipList membership() {
        return membership;
    }

    public BandwidthBudget budget() {
        return budget;
    }

    public int incarnation() {
        return incarnation;
    }

    /** Returns the number of updates that are still queued for dissemination. */
    public int queuedUpdates() {
        return queue.size();
    }

    /** Returns the number of remembered claims of peers, over all origins. */
    public int rememberedClaims() {
        int sum = 0;
        for (Map<Long, GossipUpdate> claims : claimsByOrigin.values()) {
            sum += claims.size();
        }
        return sum;
    }

    /** Returns the number of updates evicted by newer ones before they were sent often enough. */
    public long evictedUpdates() {
        return queue.evicted();
    }

    /**
     * Returns the number of claims dropped because they had expired on arrival or because the
     * origin's clock is too far from the local one.
     */
    public long outdatedClaims() {
        return outdatedClaims;
    }

    // ---- local announcements

    /**
     * Joins the group by requesting the tables of some seed peers, chosen at random so that
     * instances which start together do not all contact the first seed of a long list. Requests are
     * repeated until at least one peer is present.
     */
    public void join(List<Integer> seedPeers) {
        seeds = seedPeers.stream().filter(s -> s != self).toList();
        announce();
        contactSeeds();
    }

    private void contactSeeds() {
        for (int i = 0; i < Math.min(MAX_SEEDS_CONTACTED, seeds.size()); i++) {
            push(
                    seeds.get(
                            seeds.size() <= MAX_SEEDS_CONTACTED ? i : random.nextInt(seeds.size())),
                    true,
                    List.of(aliveUpdate),
                    BandwidthBudget.Purpose.PROBE);
        }
    }

    /** Announces an intentional shutdown, so that peers need not suspect this instance. */
    public void leave() {
        leaving = true;
        GossipUpdate update = signedUpdate(UpdateKind.LEAVING, self, 0, 0, Duration.ZERO);
        queue.add(update);
        for (int peer : membership.randomAlive(CLAIM_FANOUT, -1)) {
            push(peer, false, List.of(update), BandwidthBudget.Purpose.PROBE);
        }
    }

    /** Disseminates a claim about the state that this instance observed on a node. */
    public void publishClaim(long node, Symptom symptom, int evidence, Duration symptomDuration) {
        GossipUpdate update =
                signedUpdate(UpdateKind.CLAIM, node, symptom.ordinal(), evidence, symptomDuration);
        queue.add(update);
        pushClaims(-1);
    }

    private GossipUpdate signedUpdate(
            UpdateKind kind, long subject, int detail, int evidence, Duration symptomDuration) {
        return transport.sign(
                GossipUpdate.of(
                        self,
                        incarnation,
                        ++updateNumber,
                        kind,
                        subject,
                        detail,
                        evidence,
                        symptomDuration,
                        unixTime));
    }

    /** Creates a new accusation for each send, since peers reject updates with an old timestamp. */
    private GossipUpdate accusation(int peer) {
        return signedUpdate(
                UpdateKind.SILENT, peer, membership.incarnation(peer), 0, Duration.ZERO);
    }

    private void announce() {
        aliveUpdate = signedUpdate(UpdateKind.ALIVE, self, 0, 0, Duration.ZERO);
        membership.entry(self).aliveUpdate = aliveUpdate;
        membership.entry(self).incarnation = incarnation;
        queue.add(aliveUpdate);
    }

    /**
     * Raises the incarnation, at most once per period: otherwise forged or repeated accusations
     * could make this instance flood its peers with refutations.
     */
    private void raiseIncarnation(int above) {
        if (incarnationRaisedAt != null
                && now.minus(incarnationRaisedAt).compareTo(config.period()) < 0
                && above < incarnation + 1) {
            return;
        }
        incarnationRaisedAt = now;
        incarnation = above + 1;
        updateNumber = 0;
        announce();
    }

    // ---- updates and probes from peers

    /**
     * Handles the header of each datagram before its updates. The sender signed the datagram just
     * now, so it is alive.
     *
     * @param sentAt send time by the sender's clock, in Unix time
     */
    public void receivedFrom(int peer, int senderIncarnation, Duration sentAt) {
        clockSkew.recordDirect(peer, sentAt, unixTime);
        datagramsInPeriod++;
        if (membership.state(peer) == MembershipList.State.GONE
                && senderIncarnation == membership.incarnation(peer)) {
            // The peer has to refute this itself, so that every instance that considers it gone
            // receives the refutation.
            push(peer, false, List.of(accusation(peer)), BandwidthBudget.Purpose.PROBE);
        }
        GossipUpdate formerUpdate = membership.entry(peer).aliveUpdate;
        if (senderIncarnation < membership.incarnation(peer)
                && formerUpdate != null
                && requestsInPeriod++ < MAX_REQUESTS_PER_PERIOD) {
            // The peer has restarted and lost its incarnation; its former update contains that.
            push(peer, false, List.of(formerUpdate), BandwidthBudget.Purpose.PROBE);
        }
        if (membership.state(peer) != MembershipList.State.LEFT
                || senderIncarnation > membership.incarnation(peer)) {
            membership.alive(peer, senderIncarnation, null, now);
        }
    }

    /** Acknowledges a ping, up to the limit of requests per period. */
    public void handlePing(int from, int senderProbe) {
        if (requestsInPeriod++ < MAX_REQUESTS_PER_PERIOD) {
            send(
                    from,
                    BandwidthBudget.Purpose.PROBE,
                    updates -> transport.ack(from, senderProbe, updates));
        }
    }

    /** Handles a peer's request to probe an instance whose ack the peer did not receive. */
    public void handleProbeRequest(int from, int target, int requesterProbe) {
        if (requestsInPeriod++ >= MAX_REQUESTS_PER_PERIOD
                || indirectProbes.size() >= MAX_INDIRECT_PROBES
                || target == self) {
            return;
        }
        int ownProbe = ++probeNumber;
        indirectProbes.put(ownProbe, new IndirectProbe(from, requesterProbe, now));
        send(
                target,
                BandwidthBudget.Purpose.PROBE,
                updates -> transport.ping(target, ownProbe, updates));
    }

    /** Handles an ack, of this instance's own probe or of an indirect probe made for a peer. */
    public void handleAck(int from, int ackedProbe) {
        if (ackedProbe == probeNumber && !ackReceived && probedPeer >= 0) {
            ackReceived = true;
            membership.improveHealth();
        }
        IndirectProbe indirect = indirectProbes.remove(ackedProbe);
        if (indirect != null) {
            send(
                    indirect.requester,
                    BandwidthBudget.Purpose.PROBE,
                    updates -> transport.ack(indirect.requester, indirect.requesterProbe, updates));
        }
    }

    /** Answers a table exchange; the peer's own updates have been handled already. */
    public void handleTableExchange(int from) {
        if (requestsInPeriod++ < MAX_REQUESTS_PER_PERIOD) {
            push(from, false, tableUpdates(), BandwidthBudget.Purpose.TABLES);
        }
    }

    /**
     * Handles one update whose signature has been verified.
     *
     * @param from peer that forwarded the update
     */
    public void receiveUpdate(GossipUpdate update, int from) {
        switch (update.kind()) {
            case ALIVE -> {
                if (update.origin() == self) {
                    // From an earlier run whose incarnation is not known here, or a replay of one.
                    if (update.incarnation() > incarnation) {
                        raiseIncarnation(update.incarnation());
                    }
                } else if (membership.state(update.origin()) != MembershipList.State.LEFT
                        || update.incarnation() > membership.incarnation(update.origin())) {
                    if (membership.alive(update.origin(), update.incarnation(), update, now)) {
                        queue.remove(UpdateKind.SILENT, update.origin());
                        queue.add(update);
                    } else {
                        queue.countDuplicate(update);
                    }
                }
            }
            case LEAVING -> {
                if (update.origin() != self
                        && membership.isPresent(update.origin())
                        && update.incarnation() >= membership.incarnation(update.origin())) {
                    membership.markLeft(update.origin(), update.incarnation(), now);
                    queue.add(update);
                }
            }
            case SILENT -> {
                int subject = (int) update.subject();
                if (subject == self) {
                    if (update.detail() == incarnation && !leaving) {
                        membership.degradeHealth(1);
                        raiseIncarnation(incarnation);
                    }
                    if (!leaving && requestsInPeriod++ < MAX_REQUESTS_PER_PERIOD) {
                        // The forwarding peer is the path to the instances that consider this one
                        // gone.
                        push(from, false, List.of(aliveUpdate), BandwidthBudget.Purpose.PROBE);
                    }
                } else if (membership.recordAccusation(
                        subject, update.detail(), update.origin(), now)) {
                    queue.add(update);
                } else {
                    queue.countDuplicate(update);
                }
            }
            default -> receiveClaim(update);
        }
    }

    private void receiveClaim(GossipUpdate update) {
        if (update.origin() == self) {
            return;
        }
        Duration age = clockSkew.age(update.origin(), update.createdAt(), unixTime);
        if (age.isNegative() || age.compareTo(config.claimValidity()) >= 0) {
            outdatedClaims++;
            return;
        }
        Map<Long, GossipUpdate> claims =
                claimsByOrigin.computeIfAbsent(update.origin(), k -> new LinkedHashMap<>());
        GossipUpdate previous = claims.get(update.subject());
        if (previous != null && !update.supersedes(previous)) {
            queue.countDuplicate(update);
            return;
        }
        claims.remove(update.subject());
        claims.put(update.subject(), update);
        if (claims.size() > MAX_CLAIMS_PER_ORIGIN) {
            claims.remove(claims.keySet().iterator().next());
        }
        transport.claimReceived(update, age);
    }

    /** Forwards a claim. The caller omits claims that add nothing to those already received. */
    public void forward(GossipUpdate update, int from) {
        queue.add(update);
        pushClaims(from);
    }

    // ---- timers

    /** Runs the actions that are due by now. */
    public void tick() {
        if (lastTickAt != null) {
            Duration gap = now.minus(lastTickAt);
            Duration maxGap = multiply(config.period(), PAUSE_PERIODS);
            if (gap.compareTo(maxGap) > 0) {
                // A router that was paused received no acks meanwhile and would otherwise suspect
                // all its peers.
                Duration pause = gap.minus(maxGap);
                membership.extendSuspicions(pause);
                membership.degradeHealth(2);
                nextProbeAt = nextProbeAt.plus(pause);
                ackReceived = true;
            }
        }
        lastTickAt = now;
        membership.expireSuspicions(now);
        indirectProbes.values().removeIf(p -> now.minus(p.at).compareTo(config.period()) > 0);
        Duration ack = membership.scaleByHealth(multiply(config.period(), DIRECT_ACK_PERIODS));
        if (probedPeer >= 0
                && !ackReceived
                && !indirectProbesSent
                && now.minus(probeSentAt).compareTo(ack) > 0) {
            indirectProbesSent = true;
            int target = probedPeer;
            int probe = probeNumber;
            for (int peer : membership.randomAlive(INDIRECT_PROBES, target)) {
                send(
                        peer,
                        BandwidthBudget.Purpose.PROBE,
                        updates -> transport.requestProbe(peer, target, probe, updates));
            }
        }
        if (now.compareTo(nextProbeAt) >= 0 && !leaving) {
            startPeriod();
        }
        // More updates are queued than probes carry: send datagrams of their own, as far as the
        // budget allows.
        if (queue.size() > 2 * PIGGYBACKED_UPDATES) {
            for (int to : membership.randomAlive(1, -1)) {
                push(to, false, queue.nextUpdates(TABLE_UPDATES), BandwidthBudget.Purpose.UPDATES);
            }
        }
    }

    private void startPeriod() {
        if (probedPeer >= 0 && !ackReceived) {
            // If any datagram arrived in the period, the failure is the peer's, and local health
            // stays as it is.
            membership.degradeHealth(datagramsInPeriod == 0 ? 1 : 0);
            if (membership.recordAccusation(
                    probedPeer, membership.incarnation(probedPeer), self, now)) {
                queue.add(accusation(probedPeer));
            }
        }
        requestsInPeriod = 0;
        datagramsInPeriod = 0;
        // Jitter, so that instances which started together do not probe at the same moment.
        double jitter = 0.9 + 0.2 * random.nextDouble();
        nextProbeAt = now.plus(multiply(membership.scaleByHealth(config.period()), jitter));
        probedPeer = membership.nextToProbe();
        ackReceived = false;
        indirectProbesSent = false;
        probeSentAt = now;
        if (probedPeer >= 0) {
            int probe = ++probeNumber;
            int peer = probedPeer;
            if (membership.state(peer) == MembershipList.State.SUSPECT) {
                push(peer, false, List.of(accusation(peer)), BandwidthBudget.Purpose.UPDATES);
            }
            send(
                    peer,
                    BandwidthBudget.Purpose.PROBE,
                    updates -> transport.ping(peer, probe, updates));
        }
        if (membership.alive() <= 1) {
            contactSeeds();
        }
        // An incomplete table is exchanged in each period, as far as the budget allows.
        int exchangePeriods =
                membership.alive() < COMPLETE_TABLE_PART * membership.instances()
                        ? 1
                        : TABLE_EXCHANGE_PERIODS;
        if (++periodCount % exchangePeriods == 0) {
            for (int peer : membership.randomAlive(1, -1)) {
                push(peer, true, tableUpdates(), BandwidthBudget.Purpose.TABLES);
            }
        }
        // As often as a peer considered gone would be picked at random among all peers: after a
        // partition each side soon contacts the other.
        if (random.nextDouble() * (membership.alive() + membership.goneCount())
                < membership.goneCount()) {
            int gonePeer = membership.randomGone();
            push(
                    gonePeer,
                    true,
                    List.of(aliveUpdate, accusation(gonePeer)),
                    BandwidthBudget.Purpose.UPDATES);
        }
    }

    // ---- sending

    /**
     * Reserves bytes for a datagram other than those of the membership protocol; if the budget
     * allows it they count as sent.
     */
    public boolean tryReserve(int size) {
        return budget.tryTake(size, BandwidthBudget.Purpose.UPDATES, now);
    }

    private interface Sender {
        void send(List<GossipUpdate> updates);
    }

    private List<GossipUpdate> tableUpdates() {
        List<GossipUpdate> updates = new ArrayList<>();
        updates.add(aliveUpdate);
        updates.addAll(membership.aliveUpdates(TABLE_UPDATES - 1));
        return updates;
    }

    /** Sends a message with as many queued updates as the budget and the datagram size allow. */
    private void send(int to, BandwidthBudget.Purpose purpose, Sender sender) {
        List<GossipUpdate> updates = fitToDatagram(queue.nextUpdates(PIGGYBACKED_UPDATES));
        if (budget.tryTake(transport.wireSize(updates), BandwidthBudget.Purpose.UPDATES, now)) {
            queue.markSent(updates, membership.alive());
            sender.send(updates);
        } else if (budget.tryTake(transport.wireSize(List.of()), purpose, now)) {
            sender.send(List.of());
        }
    }

    /** Returns the longest prefix that fits into one datagram. */
    private List<GossipUpdate> fitToDatagram(List<GossipUpdate> updates) {
        List<GossipUpdate> fitting = updates;
        while (transport.wireSize(fitting) > config.maxDatagramBytes()) {
            fitting = fitting.subList(0, fitting.size() - 1);
        }
        return fitting;
    }

    private void pushClaims(int excludedPeer) {
        for (int peer : membership.randomAlive(CLAIM_FANOUT, excludedPeer)) {
            List<GossipUpdate> updates = queue.nextClaims(PUSHED_CLAIMS);
            if (!updates.isEmpty()) {
                push(peer, false, updates, BandwidthBudget.Purpose.CLAIMS);
            }
        }
    }

    private void push(
            int to,
            boolean requestTable,
            List<GossipUpdate> updates,
            BandwidthBudget.Purpose purpose) {
        List<GossipUpdate> fitting = fitToDatagram(updates);
        if (budget.tryTake(transport.wireSize(fitting), purpose, now)) {
            queue.markSent(fitting, membership.alive());
            transport.push(to, requestTable, fitting);
        }
    }
}
