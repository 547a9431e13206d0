package dillfront.router.gossip;

import static dillfront.routing.api.Durations.multiply;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * What one instance says to others and when: probes, direct and by others' help; words that spread
 * along with them; a new claim pushed on at once; and tables evened out, also with those held gone,
 * so that a healed partition finds itself. All within a budget of bytes that does not depend on how
 * many instances there are.
 *
 * <p>The caller sets the clocks with at(), calls woken() a few times a period, and tells what came;
 * what goes out leaves by the Post during the call. Same calls, same seed: same datagrams.
 */
public final class GossipProtocol {

    /**
     * An ack is awaited for this part of a period before others are asked for help; the rest is
     * theirs.
     */
    private static final double DIRECT_ACK_PERIODS = 0.3;

    private static final int INDIRECT_PROBES = 3;

    /** A new claim is pushed to so many at once, by its origin and by each that hears it first. */
    private static final int CLAIM_FANOUT = 4;

    /** Tables are evened out once in so many periods. */
    private static final int TABLE_EXCHANGE_PERIODS = 5;

    /** Of the ring: below this part the table lacks many. */
    private static final double COMPLETE_TABLE_PART = 0.9;

    /** Seeds that are asked at once. */
    private static final int MAX_SEEDS_CONTACTED = 5;

    /** A longer gap between two calls of woken(), in periods, is this instance's own absence. */
    private static final double PAUSE_PERIODS = 0.5;

    private static final int PIGGYBACKED_UPDATES = 6;
    private static final int PUSHED_CLAIMS = 4;
    private static final int TABLE_UPDATES = 8;

    /**
     * Pings of others that are answered or passed on, a period; above that of a usual load by far.
     */
    private static final int MAX_REQUESTS_PER_PERIOD = 16;

    /** Pings that are passed on for others at the same time. */
    private static final int MAX_INDIRECT_PROBES = 64;

    /** Of each origin so many claims are remembered. */
    private static final int MAX_CLAIMS_PER_ORIGIN = 32;

    /** A ping on behalf of another: whose it is, under which number there, and since when. */
    private record IndirectProbe(int requester, int requesterProbe, Duration at) {}

    private final GossipConfig config;
    private final int self;
    private final GossipTransport transport;
    private final RandomGenerator random;
    private final MembershipList membership;
    private final BroadcastQueue queue = new BroadcastQueue();
    private final BandwidthBudget budget;

    /**
     * By origin: its last words on nodes. A row holds CLAIMS at the most, the longest unheard
     * leaves first.
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
     * @param instances how many may speak; indices run below it
     * @param incarnation where to begin: above any that this instance may have had, if it is known
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
     * @param clock since the start, never back
     * @param currentUnixTime Unix time, which others' clocks only resemble
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

    /** Words that still wait to be sent on. */
    public int queuedUpdates() {
        return queue.size();
    }

    /** Claims of others that are remembered, over all origins. */
    public int rememberedClaims() {
        int sum = 0;
        for (Map<Long, GossipUpdate> claims : claimsByOrigin.values()) {
            sum += claims.size();
        }
        return sum;
    }

    /** Words that gave way to newer ones before they were sent often enough. */
    public long evictedUpdates() {
        return queue.evicted();
    }

    /** Claims that were over when they came, or whose origin's clock is too far from this one's. */
    public long outdatedClaims() {
        return outdatedClaims;
    }

    // ---- what this instance says of itself

    /**
     * Asks some of those whose address the operator's file tells for their tables, by chance:
     * guards against the first of a long list that all ask at once. Asks on until someone is there.
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

    /** On purpose: nobody needs to suspect it. */
    public void leave() {
        leaving = true;
        GossipUpdate update = signedUpdate(UpdateKind.LEAVING, self, 0, 0, Duration.ZERO);
        queue.add(update);
        for (int peer : membership.randomAlive(CLAIM_FANOUT, -1)) {
            push(peer, false, List.of(update), BandwidthBudget.Purpose.PROBE);
        }
    }

    /** Claims what this instance saw of a node itself. */
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

    /** Said anew each time, since old words are not believed. */
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
     * Once a period at the most: guards against accusations that make this instance flood others
     * with answers.
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

    // ---- what others say

    /**
     * Each datagram, before its words: its sender signed it just now, so it is there.
     *
     * @param sentAt by its clock, since the zero of Unix time
     */
    public void receivedFrom(int peer, int senderIncarnation, Duration sentAt) {
        clockSkew.recordDirect(peer, sentAt, unixTime);
        datagramsInPeriod++;
        if (membership.state(peer) == MembershipList.State.GONE
                && senderIncarnation == membership.incarnation(peer)) {
            // It has to speak up itself, so that all who hold it gone hear of it.
            push(peer, false, List.of(accusation(peer)), BandwidthBudget.Purpose.PROBE);
        }
        GossipUpdate formerUpdate = membership.entry(peer).aliveUpdate;
        if (senderIncarnation < membership.incarnation(peer)
                && formerUpdate != null
                && requestsInPeriod++ < MAX_REQUESTS_PER_PERIOD) {
            // Started anew, and has forgotten how far it was.
            push(peer, false, List.of(formerUpdate), BandwidthBudget.Purpose.PROBE);
        }
        if (membership.state(peer) != MembershipList.State.LEFT
                || senderIncarnation > membership.incarnation(peer)) {
            membership.alive(peer, senderIncarnation, null, now);
        }
    }

    public void handlePing(int from, int senderProbe) {
        if (requestsInPeriod++ < MAX_REQUESTS_PER_PERIOD) {
            send(
                    from,
                    BandwidthBudget.Purpose.PROBE,
                    updates -> transport.ack(from, senderProbe, updates));
        }
    }

    /** Someone gets no ack of another instance. */
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

    /** A direct probe was acknowledged by this instance, in this incarnation. */
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

    /** Its words have been told already; it wants some back. */
    public void handleTableExchange(int from) {
        if (requestsInPeriod++ < MAX_REQUESTS_PER_PERIOD) {
            push(from, false, tableUpdates(), BandwidthBudget.Purpose.TABLES);
        }
    }

    /**
     * One word, whoever passed it on; its signature has been found right.
     *
     * @param from who passed it on
     */
    public void receiveUpdate(GossipUpdate update, int from) {
        switch (update.kind()) {
            case ALIVE -> {
                if (update.origin() == self) {
                    // Of a former life that is not remembered here, or a replay of it.
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
                        // Who told it is the way to all who hold this instance gone.
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

    /**
     * What is worth passing on, the one who hears it decides: a claim that adds nothing to others'
     * spreads no further.
     */
    public void forward(GossipUpdate update, int from) {
        queue.add(update);
        pushClaims(from);
    }

    // ---- the clock

    /** Runs what was due by now. */
    public void tick() {
        if (lastTickAt != null) {
            Duration gap = now.minus(lastTickAt);
            Duration maxGap = multiply(config.period(), PAUSE_PERIODS);
            if (gap.compareTo(maxGap) > 0) {
                // Guards against a router that was stopped and then holds all others for silent.
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
        // More to tell than probes carry: by datagrams of its own, as far as the budget allows.
        if (queue.size() > 2 * PIGGYBACKED_UPDATES) {
            for (int to : membership.randomAlive(1, -1)) {
                push(to, false, queue.nextUpdates(TABLE_UPDATES), BandwidthBudget.Purpose.UPDATES);
            }
        }
    }

    private void startPeriod() {
        if (probedPeer >= 0 && !ackReceived) {
            // Guards against illness by the death of others: who hears anyone at all hears well.
            membership.degradeHealth(datagramsInPeriod == 0 ? 1 : 0);
            if (membership.recordAccusation(
                    probedPeer, membership.incarnation(probedPeer), self, now)) {
                queue.add(accusation(probedPeer));
            }
        }
        requestsInPeriod = 0;
        datagramsInPeriod = 0;
        // Not all at the same moment, whoever started together.
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
        // A table that lacks many is evened out in each period, as far as the budget allows.
        int exchangePeriods =
                membership.alive() < COMPLETE_TABLE_PART * membership.instances()
                        ? 1
                        : TABLE_EXCHANGE_PERIODS;
        if (++periodCount % exchangePeriods == 0) {
            for (int peer : membership.randomAlive(1, -1)) {
                push(peer, true, tableUpdates(), BandwidthBudget.Purpose.TABLES);
            }
        }
        // As often as one that is gone would be met by chance among all: after a parting each side
        // meets the other soon.
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

    // ---- sends

    /**
     * Whether so many bytes may go now beside what instances say of each other; if so they are
     * counted as sent.
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

    /** With as many spreading words as the budget and the datagram allow. */
    private void send(int to, BandwidthBudget.Purpose purpose, Sender sender) {
        List<GossipUpdate> updates = fitToDatagram(queue.nextUpdates(PIGGYBACKED_UPDATES));
        if (budget.tryTake(transport.wireSize(updates), BandwidthBudget.Purpose.UPDATES, now)) {
            queue.markSent(updates, membership.alive());
            sender.send(updates);
        } else if (budget.tryTake(transport.wireSize(List.of()), purpose, now)) {
            sender.send(List.of());
        }
    }

    /** As many of the first as one datagram holds. */
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
