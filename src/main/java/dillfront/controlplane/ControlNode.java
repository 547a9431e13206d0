package dillfront.controlplane;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import dillfront.common.config.Configuration;
import dillfront.common.config.NodeSettings;
import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.environment.Environment;
import dillfront.common.environment.HttpServerHandler;
import dillfront.common.message.MessageCodec;
import dillfront.controlplane.consensus.Ballot;
import dillfront.controlplane.consensus.MembershipPolicy;
import dillfront.controlplane.consensus.QuorumRead;
import dillfront.controlplane.consensus.ReconfigurationBarrier;
import dillfront.controlplane.consensus.RegisterValue;
import dillfront.controlplane.consensus.ReplicatedRegister;
import dillfront.controlplane.failover.PrimaryObservation;
import dillfront.controlplane.failover.PrimaryRecord;
import dillfront.controlplane.failover.PrimaryRecords;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.registry.DatabaseServer;
import dillfront.controlplane.registry.RegistryReplication;
import dillfront.controlplane.registry.ReplicationProgress;
import dillfront.controlplane.registry.ServerRegistry;
import dillfront.controlplane.storage.RetryingStateStore;
import dillfront.controlplane.storage.StateStore;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

/**
 * One control process. It and its like tell each other what they have, often and at once where
 * something changed; there is no log and no leader. One loop calls all of it.
 */
public final class ControlNode implements LeaseManager.Context<ControlPeer> {

    private static final long TICK_MS = 400;
    private static final long LOOK_MS = 50;
    private static final long LATE_MS = 300;

    /** One that was not heard for so long is out of touch. */
    public static final long TOUCH_MS = 1_300;

    /** What a majority answered so long ago is fresh: two ticks, and the way there and back. */
    private static final long FRESH_MS = 850;

    /**
     * That a primary leads is sure for no longer than this after the duty's holder last said so.
     */
    static final long SURE_MS = 3_000;

    /**
     * Nor for longer than this past the end of its lease. At the most for which the next holder's
     * wait covers clocks that differ by a tenth: (2250 + 600) * 1.1 < 2500 + 700 / 1.1.
     */
    static final long PAST_MS = 600;

    private static final int DIAL_MS = 700;
    private static final long REDIAL_MS = 200;

    /** A dial that is out for so long went to a life that is over, where another is heard. */
    private static final long HANGS_MS = 100;

    /** A connection that brought no answer for so long is left. */
    private static final long DEAF_MS = 1_500;

    /** Who calls waits a second for an answer. */
    static final long ANSWER_MS = 900;

    /** Where it ends in order, others get so long to have what only it holds. */
    private static final long HAND_OVER_MS = 2_000;

    private static final long LAST_WORD_MS = 50;
    private static final long FORGOTTEN_MS = 60_000;
    private static final long BEAT_ANSWER_MS = 850;

    /**
     * One that said that it leaves has ended by then, even where it serves on for many seconds past
     * its time.
     */
    private static final long ENDED_MS = 30_000;

    private static final long FEWER_MS = 15_000;
    static final long TOGETHER_MS = 20;
    private static final int MOST_BEATS = 60_000;
    private static final int MOST_PEERS = 32;

    final Environment host;
    final NodeSettings settings;
    final ServerRegistry registry = new ServerRegistry();
    final RegistryReplication registryReplication = new RegistryReplication(this, registry);
    final PrimaryRecords records = new PrimaryRecords(this);
    final ReplicatedRegister register;
    final LeaseManager lease;
    final DataPlaneSubscriptions subscriptions;
    final FailoverCoordinator failover;
    final DataLossManager dataLosses;
    private final StateStore store;
    private final String boot;

    /** The seeds of the first start of all; empty where this process began later. */
    private String firstSeeds = "";

    private final TreeMap<String, ControlPeer> peers = new TreeMap<>();

    /**
     * Those that beat here, the last one first; one that beat again stands there twice for a while.
     */
    private final ArrayDeque<DatabaseServer> beats = new ArrayDeque<>();

    private String id = "";

    /** Its id is on the disk, so it may be told. */
    private boolean named;

    private boolean leaving;
    private final ReconfigurationBarrier settling = new ReconfigurationBarrier();
    private TreeSet<String> changesTo = new TreeSet<>();
    private boolean poked;
    private long pokedAt = -TOGETHER_MS;
    private boolean telling;
    private long toldAt = -TOGETHER_MS;
    private long lookedAt;
    private long awayAt = Long.MIN_VALUE / 2;
    private boolean wasAlone;
    private boolean inContact;
    private TreeSet<String> suspects = new TreeSet<>();
    private long suspectsAt;
    private long sureUntil = Long.MIN_VALUE / 2;
    private long started;
    private int fronts = 1;
    private long frontsAt;

    private record Waits(long change, CompletableFuture<Void> done) {}

    /** Who waits until the disks of a majority have the table as far as this. */
    private final List<Waits> waits = new ArrayList<>();

    /**
     * @param store the disk; it may refuse writes, which are tried again
     */
    public ControlNode(Environment host, NodeSettings settings, StateStore store) {
        this.host = host;
        this.settings = settings;
        this.store = new RetryingStateStore(host, store);
        boot = Long.toHexString(host.random().nextLong());
        register = new ReplicatedRegister(this);
        lease = new LeaseManager(this);
        subscriptions = new DataPlaneSubscriptions(this);
        failover = new FailoverCoordinator(this);
        dataLosses = new DataLossManager(this);
    }

    /** Takes over what the disk holds, and begins. */
    public void start() throws Configuration.InvalidConfigurationException {
        started = host.nowMillis();
        Map<String, String> kept = store.initialState();
        id = kept.getOrDefault("id", "");
        if (id.isEmpty()) {
            // An empty disk, or a damaged one: whoever was here before, this is another.
            id = ip() + "/" + Long.toHexString(host.random().nextLong());
            firstSeeds = settings.firstStart() ? sortedSeeds() : "";
            persist(Map.of("id", id, "first-seeds", firstSeeds))
                    .thenRun(
                            () -> {
                                named = true;
                                poke();
                            });
        } else {
            named = true;
            firstSeeds = kept.getOrDefault("first-seeds", "");
        }
        register.restore(kept);
        registryReplication.restore(kept, started);
        records.restore(kept);
        fronts = Integer.parseInt(kept.getOrDefault("fronts", "1"));
        frontsAt = started;
        lease.restore(kept);
        addSeeds(settings.seedIps());
        found();
        tick();
        look();
    }

    private String sortedSeeds() {
        return String.join(",", new TreeSet<>(settings.seedIps()));
    }

    /** It is at its first start, or was ended during that and has its disk and the same seeds. */
    private boolean firstStart() {
        return !firstSeeds.isEmpty() && firstSeeds.equals(sortedSeeds());
    }

    /** Where others may be found, by the settings. */
    public void addSeeds(List<String> ips) {
        ips.forEach(this::peer);
    }

    private void peer(String ip) {
        if (ip.equals(ip()) || peers.containsKey(ip)) {
            return;
        }
        if (peers.size() >= MOST_PEERS) {
            peers.values()
                    .removeIf(
                            p ->
                                    !isMember(p.id)
                                            && host.nowMillis()
                                                            - Math.max(p.lastContactMillis, started)
                                                    > FORGOTTEN_MS);
        }
        if (peers.size() < MOST_PEERS) {
            peers.put(ip, new ControlPeer(ip));
        }
    }

    // ---- what its parts ask

    String ip() {
        return settings.ipAddress();
    }

    String boot() {
        return boot;
    }

    /**
     * Where control processes are, each with its zone, and whether it is heard; those that are come
     * first.
     */
    List<Object> places() {
        List<Object> places = new ArrayList<>();
        places.add(new TreeMap<>(Map.of("i", ip(), "z", settings.zoneName())));
        peers.values().stream()
                .filter(this::touch)
                .forEach(p -> places.add(new TreeMap<>(Map.of("i", p.ip, "z", p.zone))));
        peers.values().stream()
                .filter(p -> !touch(p))
                .forEach(p -> places.add(new TreeMap<>(Map.of("i", p.ip, "z", p.zone, "s", true))));
        return places;
    }

    @Override
    public String selfId() {
        return id;
    }

    String id() {
        return id;
    }

    @Override
    public long nowMillis() {
        return host.nowMillis();
    }

    @Override
    public long randomBelow(long below) {
        return host.random().nextLong(below);
    }

    @Override
    public void broadcast() {
        poke();
    }

    @Override
    public boolean holdsLease() {
        return failover.settled();
    }

    /** A newer value is decided: members and configuration. */
    @Override
    public void onDecided(RegisterValue value) {
        value.members().forEach(member -> peer(RegisterValue.ipOf(member)));
        news();
    }

    /** The number of the set of members that this process goes by; 0 before there is one. */
    @Override
    public long epoch() {
        return register.acceptedValue() == null ? 0 : register.acceptedValue().epoch();
    }

    @Override
    public boolean isMember(String of) {
        RegisterValue is = register.acceptedValue();
        return is != null && (is.members().contains(of) || is.outgoing().contains(of));
    }

    /** Whether its own word counts. */
    @Override
    public boolean isVoter() {
        return isMember(id);
    }

    @Override
    public int memberRank() {
        return register.acceptedValue() == null
                ? 0
                : register.acceptedValue().members().headSet(id).size();
    }

    private ControlPeer peerOf(String of) {
        ControlPeer p = peers.get(RegisterValue.ipOf(of));
        return p != null && p.id.equals(of) ? p : null;
    }

    /** Whether a majority of each set in force has this, itself where it says so. */
    boolean quorum(boolean itself, Predicate<ControlPeer> other) {
        RegisterValue is = register.acceptedValue();
        return is != null
                && is.isQuorum(
                        of ->
                                of.equals(id)
                                        ? itself
                                        : peerOf(of) != null && other.test(peerOf(of)));
    }

    @Override
    public long quorumReached(long itself, ToLongFunction<? super ControlPeer> moment) {
        RegisterValue is = register.acceptedValue();
        return is == null
                ? LeaseManager.NEVER
                : is.quorumReached(
                        of ->
                                of.equals(id)
                                        ? itself
                                        : peerOf(of) == null
                                                ? LeaseManager.NEVER
                                                : moment.applyAsLong(peerOf(of)));
    }

    @Override
    public Iterable<ControlPeer> peers() {
        return peers.values();
    }

    @Override
    public long diskStalledMillis() {
        return store.stalledMillis();
    }

    boolean touch(ControlPeer p) {
        return host.nowMillis() - p.lastContactMillis < TOUCH_MS;
    }

    /** No majority has answered it of late: it may know less than others do. */
    @Override
    public boolean isIsolated() {
        return quorumReached(host.nowMillis(), p -> p.lastAckSentMillis)
                < host.nowMillis() - TOUCH_MS;
    }

    @Override
    public CompletableFuture<Void> persist(Map<String, String> texts) {
        return store.put(texts);
    }

    PrimaryRecord lead(String service) {
        return records.get(service);
    }

    /** Takes a record in where it is newer. */
    void lead(PrimaryRecord next) {
        if (records.merge(next)) {
            news();
            poke();
        }
    }

    /** The holder suspects the primaries of these: whoever sees them is asked what he sees. */
    void suspects(TreeSet<String> now) {
        if (!now.equals(suspects)) {
            suspects = now;
            suspectsAt++;
            news();
            if (failover.settled()) {
                poke();
            }
        }
    }

    List<Object> suspects() {
        return new ArrayList<>(suspects);
    }

    long suspectsAt() {
        return suspectsAt;
    }

    private void keep() {
        registryReplication.persist(
                peers.values().stream().map(p -> p.registryProgress).toList(),
                () -> {
                    acknowledge();
                    poke();
                });
    }

    /** For how long from now it is sure that no other leads than the records say. */
    long sureFor() {
        if (failover.settled()) {
            return Math.min(SURE_MS, lease.validUntilMillis() - host.nowMillis() + PAST_MS);
        }
        return sureUntil - host.nowMillis();
    }

    int fronts() {
        return fronts;
    }

    /**
     * There is news for fronts: at once, or together with what else comes within a moment of the
     * last.
     */
    void news() {
        if (!telling) {
            telling = true;
            host.schedule(
                    Math.max(0, toldAt + TOGETHER_MS - host.nowMillis()),
                    () -> {
                        telling = false;
                        toldAt = host.nowMillis();
                        subscriptions.publish();
                    });
        }
    }

    // ---- the words between control processes

    /** A word to all: at once, or together with what else comes within a moment of the last. */
    void poke() {
        if (!poked) {
            poked = true;
            host.schedule(
                    Math.max(0, pokedAt + TOGETHER_MS - host.nowMillis()),
                    () -> {
                        poked = false;
                        pokedAt = host.nowMillis();
                        peers.values().forEach(this::tell);
                    });
        }
    }

    private void tick() {
        host.schedule(TICK_MS, this::tick);
        int asking = subscriptions.activeCount();
        for (ControlPeer p : peers.values()) {
            if (p.connected
                    && host.nowMillis() - Math.max(p.lastAckSentMillis, p.connectedAtMillis)
                            > DEAF_MS) {
                // What is on its way there may wait for seconds behind what a cut has swallowed.
                shutDown(p);
            }
            if (!p.connected && host.nowMillis() >= p.connectAtMillis) {
                dial(p);
            }
            if (touch(p)) {
                asking += p.dataPlanes;
            }
        }
        // Fewer are believed only after a while: those that start again come back to their
        // connections.
        int many = Math.max(1, asking);
        if (many >= fronts) {
            frontsAt = host.nowMillis();
        }
        if (many > fronts || many < fronts && host.nowMillis() - frontsAt > FEWER_MS) {
            fronts = many;
            frontsAt = host.nowMillis();
            persist(Map.of("fronts", Integer.toString(fronts)));
        }
        peers.values().forEach(this::tell);
        register.retainPeers(of -> peerOf(of) != null);
        if (registry.expireLeaving(host.nowMillis(), ENDED_MS)) {
            news();
        }
    }

    private void look() {
        host.schedule(LOOK_MS, this::look);
        if (host.nowMillis() - lookedAt > LATE_MS) {
            // Whoever was away himself has no ground to call others silent.
            failover.away();
            awayAt = host.nowMillis();
        }
        lookedAt = host.nowMillis();
        noticeContact();
        boolean is = isIsolated();
        if (is != wasAlone && host.nowMillis() > started + TOUCH_MS) {
            wasAlone = is;
            host.warn(
                    is ? "no majority of control processes is heard" : "a majority is heard again");
        }
        lease.poll();
        failover.poll();
        register.poll();
        found();
        change();
        acknowledge();
        keep();
    }

    /** Whoever waits here is told at once that contact is there, or gone. */
    private void noticeContact() {
        if (isIsolated() == inContact) {
            inContact = !inContact;
            subscriptions.publish();
        }
    }

    /**
     * The first set of members, by one process alone: the lowest of the seeds, once each of them
     * has said that it is at its first start and belongs to nothing.
     */
    private void found() {
        List<String> ips = new ArrayList<>(new TreeSet<>(settings.seedIps()));
        if (!firstStart()
                || !named
                || !register.isBlank()
                || ips.isEmpty()
                || !ips.get(0).equals(ip())) {
            return;
        }
        TreeSet<String> ids = new TreeSet<>();
        ids.add(id);
        for (String ip : ips) {
            ControlPeer p = peers.get(ip);
            if (p != null && p.firstStart && p.lastAckSentMillis >= started) {
                ids.add(p.id);
            }
        }
        if (ids.size() == ips.size()) {
            host.trace("founded by " + ids);
            register.bootstrap(ids);
        }
    }

    /** Who counts, as the holder of the lease sees it. */
    private void change() {
        RegisterValue is = register.decidedValue();
        if (is == null
                || !failover.settled()
                || !register.highestKnownBallot().equals(register.decidedBallot())) {
            return;
        }
        if (!is.isJoint()) {
            settling.reset();
            List<MembershipPolicy.Candidate> seen = new ArrayList<>();
            seen.add(new MembershipPolicy.Candidate(id, settings.zoneName(), 0, true, leaving));
            for (ControlPeer p : peers.values()) {
                if (!p.id.isEmpty()) {
                    long silent =
                            host.nowMillis()
                                    - Math.max(Math.max(p.lastContactMillis, started), awayAt);
                    boolean near =
                            p.lastAckSentMillis > host.nowMillis() - TOUCH_MS
                                    && p.epoch == is.epoch()
                                    && p.recordNumber >= records.newestNumber()
                                    && register.acceptedBallotOf(p.id)
                                            .equals(register.decidedBallot());
                    seen.add(new MembershipPolicy.Candidate(p.id, p.zone, silent, near, p.leaving));
                }
            }
            for (String member : is.members()) {
                if (peerOf(member) == null && !member.equals(id)) {
                    long silent = host.nowMillis() - Math.max(started, awayAt);
                    boolean another =
                            peers.containsKey(RegisterValue.ipOf(member))
                                    && !peers.get(RegisterValue.ipOf(member)).id.isEmpty();
                    seen.add(
                            new MembershipPolicy.Candidate(
                                    member, "", another ? Long.MAX_VALUE : silent, false, false));
                }
            }
            TreeSet<String> next =
                    MembershipPolicy.nextMembers(
                            is.members(), seen, settings.toleratedMachineLosses());
            if (next.equals(is.members())) {
                changesTo = next;
            } else {
                if (!next.equals(changesTo)) {
                    host.warn("members " + is.members() + " to " + next);
                    changesTo = next;
                }
                register.proposeMembers(is.epoch(), next);
            }
            return;
        }
        // All that the old set had when it agreed to the joint one is known here; then the new one
        // has it on its disks.
        Ballot joint = register.decidedBallot();
        if (settling.canFinish(
                is,
                joint,
                of -> register.acceptedBallotOf(of).equals(joint),
                registryReplication.version(),
                records.newestNumber(),
                this::onDisk)) {
            register.proposeFinalMembers(is.epoch());
        }
    }

    private boolean onDisk(String of, long change, long record) {
        return of.equals(id)
                ? registryReplication.durableVersion() >= change
                        && records.durableNumber() >= record
                : peerOf(of) != null
                        && registryReplication.durableVersionOf(peerOf(of).registryProgress)
                                >= change
                        && peerOf(of).recordNumber >= record;
    }

    private void shutDown(ControlPeer p) {
        p.connection.close();
        p.connected = false;
        p.connectAtMillis = host.nowMillis() + REDIAL_MS;
    }

    private void dial(ControlPeer p) {
        p.connectAtMillis = host.nowMillis() + DIAL_MS + REDIAL_MS;
        p.connecting = true;
        p.connectStartedMillis = host.nowMillis();
        p.connected = false;
        long mine = ++p.connectAttempts;
        p.connection =
                host.connect(
                        settings.internalAddressOf(p.ip),
                        Environment.Framing.FRAMES,
                        DIAL_MS,
                        new Environment.ConnectionListener() {
                            @Override
                            public void onOpen(Environment.Connection link) {
                                if (mine != p.connectAttempts) {
                                    return;
                                }
                                p.connection = link;
                                p.connected = true;
                                p.connecting = false;
                                p.connectedAtMillis = host.nowMillis();
                                p.heartbeatsSentUpToMillis =
                                        host.nowMillis() - 2 * settings.heartbeatIntervalMillis();
                                p.addressesSent = "";
                                register.onConnectionReset(p.id);
                                tell(p);
                            }

                            @Override
                            public void onMessage(byte[] message) {
                                // Words come on the other's own connection.
                            }

                            @Override
                            public void onClose(String why) {
                                if (mine == p.connectAttempts) {
                                    p.connected = false;
                                    p.connecting = false;
                                    p.connectAtMillis = host.nowMillis() + REDIAL_MS;
                                }
                            }
                        });
    }

    private void tell(ControlPeer p) {
        if (!p.connected || !named) {
            return;
        }
        if (p.connection.pendingBytes() > 1 << 20) {
            shutDown(p);
            return;
        }
        long now = host.nowMillis();
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("t", "word");
        out.put("i", ip());
        out.put("z", settings.zoneName());
        out.put("b", boot);
        out.put("n", now);
        out.put("e", p.peerClockMillis);
        out.put("eb", p.incarnation);
        out.put("id", id);
        out.put("ep", epoch());
        if (!p.id.isEmpty()) {
            out.put("rg", register.messageTo(p.id));
        }
        if (register.isBlank() && firstStart()) {
            out.put("fs", true);
        }
        if (leaving) {
            out.put("lv", true);
        }
        if (lease.abandonedNumber() > 0) {
            out.put("rl", lease.abandonedNumber());
            out.put("rh", lease.abandonedWasHeld());
        }
        List<String> places = new ArrayList<>();
        peers.values()
                .forEach(
                        o -> {
                            if (touch(o)) {
                                places.add(o.ip);
                            }
                        });
        if (!places.toString().equals(p.addressesSent)) {
            p.addressesSent = places.toString();
            out.put("pl", places);
        }
        registryReplication.writeTo(out, p.registryProgress);
        List<Object> alive = new ArrayList<>();
        for (DatabaseServer m : beats) {
            if (m.lastDirectHeartbeatMillis < p.heartbeatsSentUpToMillis) {
                break;
            }
            alive.add(m.id);
            alive.add(now - m.lastDirectHeartbeatMillis);
            alive.add(m.callSequence);
        }
        if (!alive.isEmpty()) {
            out.put("al", alive);
        }
        p.heartbeatsSentUpToMillis = now + 1;
        out.put("p", lease.promisedNumber());
        out.put("pt", lease.promisedTo());
        out.put("pg", lease.grantedAtMillis());
        if (lease.formerLeaseEndMillis() > now) {
            out.put("pf", lease.formerLeaseEndMillis() - now);
        }
        out.put("w", lease.requestedNumber());
        records.writeTo(out, p.recordNumber);
        List<Object> cleared = new ArrayList<>();
        List<Object> sights = new ArrayList<>();
        for (PrimaryRecord lead : records.all()) {
            if (lead.moving() && subscriptions.allHaveRecord(lead.number())) {
                cleared.add(lead.service());
                cleared.add(lead.number());
            }
            PrimaryObservation seen = subscriptions.observation(lead.service(), lead.primary());
            if (seen.unreachable() > 0 || lead.moving()) {
                sights.add(
                        List.of(
                                lead.service(),
                                lead.primary(),
                                seen.reachable(),
                                seen.unreachable(),
                                seen.openTransactions(),
                                subscriptions.acknowledgedCommits(lead.service()).toString()));
            }
        }
        if (!cleared.isEmpty()) {
            out.put("cl", cleared);
        }
        if (!sights.isEmpty()) {
            out.put("s", sights);
        }
        if (failover.settled()) {
            out.put("h", true);
            out.put("hl", lease.validUntilMillis() - now);
        }
        dataLosses.tell(out);
        out.put("f", subscriptions.activeCount());
        if (failover.settled() && !suspects.isEmpty()) {
            out.put("sq", suspects());
        }
        p.connection.send(MessageCodec.encode(out));
    }

    /** A word of another control process. */
    private void heard(MessageCodec.Fields in) {
        String ip = in.string("i");
        peer(ip);
        ControlPeer p = peers.get(ip);
        if (p == null) {
            return;
        }
        long now = host.nowMillis();
        if (in.string("id").isEmpty()) {
            return;
        }
        if (in.string("b").equals(p.incarnation) && in.number("n", 0) < p.peerClockMillis) {
            // Older than what it said last.
            return;
        }
        if (!in.string("b").equals(p.incarnation) || !in.string("id").equals(p.id)) {
            p.incarnation = in.string("b");
            p.formerIncarnationContactMillis = p.lastContactMillis;
            // An answer at once, on a connection to this life: it counts nobody whom it has not
            // heard answer, and what went out
            // to its life before may hang for long.
            if (p.connected && p.formerIncarnationContactMillis > started
                    || p.connecting && host.nowMillis() - p.connectStartedMillis > HANGS_MS) {
                p.connection.close();
                dial(p);
            }
            poke();
            p.id = in.string("id");
            p.registryProgress = new ReplicationProgress();
            p.promisedNumber = 0;
            p.promisedTo = "";
            p.requestedNumber = 0;
            p.lastAckSentMillis = Long.MIN_VALUE / 2;
            p.recordNumber = -1;
            p.clearedRecords.clear();
        }
        p.lastContactMillis = now;
        if (!p.connected && !p.connecting) {
            // It is there: whoever waits for the next tick hears no answer before.
            dial(p);
        }
        p.zone = in.string("z");
        p.peerClockMillis = in.number("n", 0);
        boolean ours = in.string("eb").equals(boot);
        if (ours) {
            p.lastAckSentMillis = Math.max(p.lastAckSentMillis, in.number("e", Long.MIN_VALUE / 2));
        }
        boolean changed = registryReplication.receive(in, p.registryProgress, ours);
        List<String> alive = in.strings("al");
        for (int i = 0; i + 2 < alive.size(); i += 3) {
            DatabaseServer m = registry.get(alive.get(i));
            if (m != null) {
                m.lastHeardMillis =
                        Math.max(m.lastHeardMillis, now - Long.parseLong(alive.get(i + 1)));
                m.callSequence = Math.max(m.callSequence, Long.parseLong(alive.get(i + 2)));
            }
        }
        p.epoch = in.number("ep", 0);
        p.firstStart = in.flag("fs");
        p.leaving = in.flag("lv");
        in.strings("pl").forEach(this::peer);
        if (in.all().get("rg") instanceof Map<?, ?> map) {
            @SuppressWarnings("unchecked")
            Map<String, Object> fields = (Map<String, Object>) map;
            try {
                register.receive(p.id, new MessageCodec.Fields(fields));
            } catch (Configuration.InvalidConfigurationException never) {
                host.warn("a configuration of " + ip + " is not understood: " + never.getMessage());
            }
        }
        p.promisedNumber = in.number("p", 0);
        p.promisedTo = in.string("pt");
        p.grantedAtMillis = in.number("pg", LeaseManager.NEVER);
        p.requestedNumber = in.number("w", 0);
        p.formerLeaseEndMillis =
                in.number("pf", 0) > 0 ? now + in.number("pf", 0) : LeaseManager.NEVER;
        p.recordNumber = in.number("k", -1);
        if (records.receive(in)) {
            news();
            poke();
        }
        List<String> cleared = in.strings("cl");
        p.clearedRecords.clear();
        for (int i = 0; i + 1 < cleared.size(); i += 2) {
            p.clearedRecords.put(cleared.get(i), Long.parseLong(cleared.get(i + 1)));
        }
        p.observations.clear();
        Object seen = in.all().get("s");
        if (seen instanceof List<?> list) {
            for (Object one : list) {
                if (one instanceof List<?> row && row.size() == 6) {
                    p.observations.put(
                            String.valueOf(row.get(0)),
                            new PrimaryObservation(
                                    String.valueOf(row.get(1)),
                                    ((Number) row.get(2)).intValue(),
                                    ((Number) row.get(3)).intValue(),
                                    ((Number) row.get(4)).intValue()));
                    subscriptions.acknowledgedCommits(
                            String.valueOf(row.get(0)),
                            AcknowledgedCommits.parse(String.valueOf(row.get(5))));
                }
            }
        }
        p.dataPlanes = (int) in.number("f", 0);
        if (in.flag("h")) {
            suspects(new TreeSet<>(in.strings("sq")));
        }
        dataLosses.heard(in, ours);
        lease.onRequest(p, p.requestedNumber, p.peerClockMillis);
        lease.onRelease(p, in.number("rl", 0), in.flag("rh"));
        if (in.flag("h") && ours && p.promisedNumber >= lease.promisedNumber()) {
            // Dated from before the holder looked at its clock: it ends no later than by that
            // one's.
            long left = Math.min(SURE_MS, in.number("hl", -PAST_MS) + PAST_MS);
            sureUntil = Math.max(sureUntil, in.number("e", Long.MIN_VALUE / 2) + left);
        }
        if (changed) {
            news();
            poke();
            keep();
        }
        noticeContact();
        register.poll();
        failover.poll();
        acknowledge();
    }

    /**
     * Ends in order: what only this process holds is on the disks of others first, a set that has
     * enough without it goes on without it, and the lease goes back before its time.
     */
    public void shutDown(Runnable end) {
        if (leaving) {
            return;
        }
        leaving = true;
        host.trace("leaves");
        peers.values().forEach(this::tell);
        shutDown(end, host.nowMillis() + Math.min(HAND_OVER_MS, settings.gracePeriodMillis() / 2));
    }

    private void shutDown(Runnable end, long until) {
        RegisterValue is = register.acceptedValue();
        boolean others =
                is == null
                        || !isVoter()
                        || is.isQuorum(
                                of ->
                                        of.equals(id)
                                                || onDisk(
                                                                of,
                                                                registry.version(),
                                                                records.durableNumber())
                                                        && register.acceptedBallotOf(of)
                                                                        .compareTo(
                                                                                register
                                                                                        .acceptedBallot())
                                                                >= 0);
        boolean stays =
                is != null
                        && isVoter()
                        && is.members().size() > 2 * settings.toleratedMachineLosses() + 1;
        if (host.nowMillis() < until && (!others || stays)) {
            change();
            host.schedule(TOGETHER_MS, () -> shutDown(end, until));
            return;
        }
        lease.resign();
        peers.values().forEach(this::tell);
        host.schedule(LAST_WORD_MS, end);
    }

    // ---- what a majority has heard

    private CompletableFuture<Void> majorityHas(long change) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        waits.add(new Waits(change, done));
        keep();
        poke();
        acknowledge();
        return done;
    }

    private void acknowledge() {
        if (waits.isEmpty()) {
            return;
        }
        long agreed =
                quorumReached(
                        registryReplication.durableVersion(),
                        p ->
                                registryReplication.acknowledgedVersionOf(
                                        p.registryProgress, p.epoch, epoch()));
        List<Waits> over = new ArrayList<>();
        waits.removeIf(w -> w.done().isDone() || w.change() <= agreed && over.add(w));
        over.forEach(w -> w.done().complete(null));
    }

    /**
     * Completes once a majority has answered what was sent since then; fails at once where it is
     * out of contact.
     */
    private CompletableFuture<Void> contact(long since) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        contact(since, done);
        return done;
    }

    private void contact(long since, CompletableFuture<Void> done) {
        if (quorumReached(host.nowMillis(), p -> p.lastAckSentMillis) >= since) {
            done.complete(null);
        } else if (isIsolated()) {
            done.completeExceptionally(new IllegalStateException(NOBODY));
        } else {
            host.schedule(TOGETHER_MS, () -> contact(since, done));
        }
    }

    /**
     * Completes with what was decided at some moment from now on, as a majority that answers from
     * now on says.
     */
    private CompletableFuture<Configuration> read() {
        CompletableFuture<Configuration> done = new CompletableFuture<>();
        peers.values().forEach(this::tell);
        read(host.nowMillis(), new QuorumRead(), done);
        return done;
    }

    private void read(long from, QuorumRead reading, CompletableFuture<Configuration> done) {
        if (done.isDone()) {
            return;
        }
        if (isIsolated()) {
            done.completeExceptionally(new IllegalStateException(NOBODY));
            return;
        }
        Configuration is =
                reading.poll(
                        register,
                        of ->
                                of.equals(id)
                                        || peerOf(of) != null
                                                && peerOf(of).lastAckSentMillis >= from);
        if (is != null) {
            done.complete(is);
        } else {
            host.schedule(TOGETHER_MS, () -> read(from, reading, done));
        }
    }

    // ---- the doors

    /** Whoever connects to the inner port: other control processes and fronts. */
    public Environment.ConnectionListener accept() {
        return new Environment.ConnectionListener() {
            private Environment.Connection link;

            @Override
            public void onOpen(Environment.Connection opened) {
                link = opened;
            }

            @Override
            public void onMessage(byte[] message) {
                try {
                    MessageCodec.Fields in = MessageCodec.decode(message);
                    if (in.string("t").equals("word")) {
                        heard(in);
                    } else if (in.string("t").equals("news")) {
                        subscriptions.onPoll(link, in);
                    }
                } catch (MessageCodec.MalformedMessageException
                        | ClassCastException
                        | NumberFormatException
                        | NullPointerException bad) {
                    host.warn("a message that is none: " + bad.getMessage());
                    link.close();
                }
            }

            @Override
            public void onClose(String why) {
                // It comes again.
            }
        };
    }

    private static final String BEAT = "/Instances.Heartbeat/";
    private static final String LEAVE = "/Instances.Leave/";

    /** The calls of database servers and operators. */
    public CompletableFuture<Environment.HttpResponse> handle(
            String method, String path, byte[] body) {
        boolean post = method.equals("POST");
        if (path.startsWith(BEAT)) {
            return post ? beat(path.substring(BEAT.length()), body) : said(405, "POST only");
        } else if (path.startsWith(LEAVE)) {
            return post ? shutDown(path.substring(LEAVE.length())) : said(405, "POST only");
        } else if (path.equals("/Configuration.Replace")) {
            return post ? replace(path, body) : said(405, "POST only");
        } else if (path.equals("/Configuration.Read")) {
            return method.equals("GET") ? answerRead(path) : said(405, "GET only");
        }
        if (path.equals(DataLossManager.ACCEPT)) {
            return !post
                    ? said(405, "POST only")
                    : dataLosses.accept(body, !isIsolated() && !leaving);
        }
        if (path.equals("/status")) {
            return CompletableFuture.completedFuture(
                    new Environment.HttpResponse(
                            200,
                            Json.object()
                                    .add("status", status())
                                    .add("lacking", dataLosses.shown())
                                    .toString()
                                    .getBytes(StandardCharsets.UTF_8)));
        }
        return said(404, "no such call");
    }

    static CompletableFuture<Environment.HttpResponse> said(int status, String fault) {
        return CompletableFuture.completedFuture(HttpServerHandler.errorResponse(status, fault));
    }

    static final String NOBODY = "no majority of control processes is heard; ask another";
    private static final Environment.HttpResponse FINE =
            new Environment.HttpResponse(200, "{}".getBytes(StandardCharsets.UTF_8));

    /**
     * It can decide nothing: no majority answers it, it is about to end, or its disk stands still.
     */
    private boolean unfit() {
        return isIsolated() || leaving || store.stalledMillis() > ANSWER_MS;
    }

    /** 503 where another call here may do better. */
    private Environment.HttpResponse failed(String path, String fault) {
        return unfit() ? elsewhere(path) : HttpServerHandler.errorResponse(503, fault);
    }

    /**
     * The caller is sent on to one of those that were heard last; to a member, or where members are
     * not known to a seed, where this process was started out of contact. He may know nobody else,
     * or call here again and again. One that is down itself costs him a second, as one that he
     * picks may; two that are cut off send him back and forth twice, and no further. Servers are
     * not sent on: they go on by themselves at once, and a second is most of what a beat has.
     */
    private Environment.HttpResponse elsewhere(String path) {
        List<ControlPeer> able = new ArrayList<>();
        long last =
                peers.values().stream()
                        .mapToLong(p -> p.lastContactMillis)
                        .max()
                        .orElse(Long.MIN_VALUE);
        RegisterValue is = register.acceptedValue();
        for (ControlPeer p : peers.values()) {
            boolean member =
                    is == null
                            || is.members().stream()
                                    .anyMatch(of -> RegisterValue.ipOf(of).equals(p.ip));
            if (last >= started
                    ? !p.leaving && p.lastContactMillis > last - TOUCH_MS
                    : member && host.nowMillis() > started + TOUCH_MS) {
                able.add(p);
            }
        }
        if (able.isEmpty()) {
            return HttpServerHandler.errorResponse(503, NOBODY);
        }
        String to =
                able.get(host.random().nextInt(able.size())).ip
                        + settings.controlAddress()
                                .substring(settings.controlAddress().lastIndexOf(':'));
        return new Environment.HttpResponse(
                307, HttpServerHandler.errorResponse(307, NOBODY).body(), "http://" + to + path);
    }

    /** An answer once this is done, or 503 where it is not done in time. */
    CompletableFuture<Environment.HttpResponse> once(
            CompletableFuture<?> done, long ms, Supplier<Environment.HttpResponse> answer) {
        return once(done, ms, answer, fault -> HttpServerHandler.errorResponse(503, fault));
    }

    /** An answer once this is done, or another where it fails or is not done in time. */
    private CompletableFuture<Environment.HttpResponse> once(
            CompletableFuture<?> done,
            long ms,
            Supplier<Environment.HttpResponse> answer,
            Function<String, Environment.HttpResponse> otherwise) {
        CompletableFuture<Environment.HttpResponse> out = new CompletableFuture<>();
        done.whenComplete(
                (is, fault) ->
                        out.complete(
                                fault == null
                                        ? answer.get()
                                        : otherwise.apply(fault.getMessage())));
        host.schedule(
                ms,
                () -> {
                    if (out.complete(otherwise.apply("no majority in time"))) {
                        done.cancel(false);
                    }
                });
        return out;
    }

    private CompletableFuture<Environment.HttpResponse> beat(String id, byte[] body) {
        Map<String, Object> row = new HashMap<>();
        try {
            JsonObject in = Json.parse(new String(body, StandardCharsets.UTF_8)).asObject();
            row.put("i", id);
            row.put("v", text(in, "service"));
            row.put("a", text(in, "address"));
            row.put("z", text(in, "zone_name"));
            row.put("st", text(in, "state"));
            row.put("ro", text(in, "database_role"));
            row.put("q", in.getLong("call_sequence", 0));
        } catch (ParseException | UnsupportedOperationException | NumberFormatException bad) {
            return said(400, String.valueOf(bad.getMessage()));
        }
        if (isIsolated() || leaving) {
            // Whoever is heard by a majority is to hear it.
            return said(503, NOBODY);
        }
        DatabaseServer before = registry.get(id);
        // One that was sent before another that is known here says nothing of now.
        boolean late = before != null && (long) row.get("q") < before.callSequence;
        boolean changed =
                registry.merge(
                        new MessageCodec.Fields(row),
                        late ? before.lastHeardMillis : host.nowMillis());
        DatabaseServer m = registry.get(id);
        if (m == null) {
            return said(400, "no id in the path");
        }
        if (before == null) {
            registry.replacePredecessors(m);
        }
        if (!late) {
            m.lastDirectHeartbeatMillis = host.nowMillis();
            beats.addFirst(m);
        }
        while (!beats.isEmpty()
                && (host.nowMillis() - beats.getLast().lastDirectHeartbeatMillis
                                > 3 * settings.heartbeatIntervalMillis()
                        || beats.size() > MOST_BEATS)) {
            beats.removeLast();
        }
        if (changed) {
            news();
            poke();
            failover.poll();
        }
        // That it drains binds everybody, so a majority must know before it is told so.
        return m.isDraining()
                ? once(majorityHas(m.changeNumber), BEAT_ANSWER_MS, () -> FINE)
                : CompletableFuture.completedFuture(FINE);
    }

    static String text(JsonObject in, String name) {
        JsonValue is = in.get(name);
        if (is == null || !is.isString() || is.asString().isEmpty()) {
            throw new UnsupportedOperationException(name + ": no text");
        }
        return is.asString();
    }

    private CompletableFuture<Environment.HttpResponse> shutDown(String id) {
        if (isIsolated() || leaving) {
            return said(503, NOBODY);
        }
        if (id.isEmpty()) {
            return said(400, "no id in the path");
        }
        // Also where it is not known here: others may know it, and all are to.
        long before = registry.version();
        DatabaseServer m = registry.markLeaving(id);
        if (registry.version() > before) {
            news();
            poke();
            failover.poll();
        }
        return once(majorityHas(m.changeNumber), BEAT_ANSWER_MS, () -> FINE);
    }

    private CompletableFuture<Environment.HttpResponse> replace(String path, byte[] body) {
        Configuration next;
        try {
            next = Configuration.parse(body);
        } catch (Configuration.InvalidConfigurationException bad) {
            return said(400, bad.getMessage());
        }
        if (unfit()) {
            return CompletableFuture.completedFuture(elsewhere(path));
        }
        // Also what was decided before, or is only heard to be, is said on the ground of a
        // majority's answer just now.
        CompletableFuture<RegisterValue.Outcome> order = register.propose(next);
        CompletableFuture<RegisterValue.Outcome> done =
                order.thenCompose(
                        outcome -> contact(host.nowMillis() - FRESH_MS).thenApply(is -> outcome));
        // One that is given up here is proposed no more, unless it is under way.
        done.whenComplete((is, fault) -> order.cancel(false));
        return once(
                done,
                ANSWER_MS,
                () ->
                        done.join() == RegisterValue.Outcome.CONFLICT
                                ? HttpServerHandler.errorResponse(
                                        409,
                                        "revision_number "
                                                + next.revision()
                                                + " has another content")
                                : FINE,
                fault -> failed(path, fault));
    }

    private CompletableFuture<Environment.HttpResponse> answerRead(String path) {
        if (isIsolated() || leaving) {
            return CompletableFuture.completedFuture(elsewhere(path));
        }
        CompletableFuture<Configuration> done = read();
        return once(
                done,
                ANSWER_MS,
                () ->
                        done.join() == Configuration.NONE
                                ? HttpServerHandler.errorResponse(503, "no configuration yet")
                                : new Environment.HttpResponse(200, done.join().body()),
                fault -> failed(path, fault));
    }

    /** One line for operators and logs. */
    public String status() {
        StringBuilder line =
                new StringBuilder("version=")
                        .append(register.committedConfiguration().revision())
                        .append(" held=")
                        .append(
                                register.acceptedValue() == null
                                        ? -1
                                        : register.acceptedValue().configuration().revision())
                        .append(" epoch=")
                        .append(epoch())
                        .append(" members=")
                        .append(
                                register.acceptedValue() == null
                                        ? "none"
                                        : register.acceptedValue().members())
                        .append(
                                register.acceptedValue() != null
                                                && register.acceptedValue().isJoint()
                                        ? " outgoing=" + register.acceptedValue().outgoing()
                                        : "")
                        .append(isVoter() ? "" : " learner")
                        .append(isIsolated() ? " alone" : "")
                        .append(leaving ? " leaving" : "")
                        .append(" lease=")
                        .append(lease.number())
                        .append(lease.isHeld() ? " held" : "")
                        .append(" promised=")
                        .append(lease.promisedNumber())
                        .append(" to=")
                        .append(lease.promisedTo())
                        .append(" fronts=")
                        .append(fronts);
        records.all()
                .forEach(
                        l ->
                                line.append(" | ")
                                        .append(l.service())
                                        .append(" primary=")
                                        .append(l.primary())
                                        .append(l.moving() ? " moving" : "")
                                        .append(dataLosses.status(l.service())));
        return line.toString();
    }
}
