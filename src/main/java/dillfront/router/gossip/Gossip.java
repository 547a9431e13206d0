package dillfront.router.gossip;

import static dillfront.routing.api.Spans.times;

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
 * <p>The caller sets the clocks with {@link #at}, calls {@link #woken} several times per period,
 * and passes in received messages; outgoing datagrams leave through the {@link Post} during the
 * call. The same calls with the same seed produce the same datagrams.
 */
public final class Gossip {

    /**
     * Part of a period to wait for a direct ack before other instances are asked for an indirect
     * probe; the rest of the period is left for their acks.
     */
    private static final double ACK = 0.3;

    private static final int HELPERS = 3;

    /**
     * Peers to which a new claim is pushed at once, by its origin and by each instance that
     * receives it first.
     */
    private static final int FAN = 4;

    /** Periods between two table exchanges. */
    private static final int EVEN = 5;

    /** Part of the registered instances below which the local table counts as incomplete. */
    private static final double KNOWN = 0.9;

    /** Seed peers contacted at once when joining. */
    private static final int KNOCKS = 5;

    /**
     * Gap between two calls of {@link #woken}, in periods, above which this instance counts as
     * having been paused.
     */
    private static final double AWAY = 0.5;

    private static final int WORDS = 6;
    private static final int WORDS_PUSHED = 4;
    private static final int TABLE = 8;

    /**
     * Requests of peers (pings, indirect probes, table exchanges) that are answered per period; far
     * above the number under usual load.
     */
    private static final int ANSWERED = 16;

    /** Indirect probes that may be outstanding at the same time. */
    private static final int PASSED = 64;

    /** Claims remembered per origin. */
    private static final int CLAIMS = 32;

    /**
     * An indirect probe in progress: the requesting peer, the probe number it used, and the start
     * time.
     */
    private record Passed(int to, int number, Duration at) {}

    private final Tuning tuning;
    private final int self;
    private final Post post;
    private final RandomGenerator chance;
    private final Members members;
    private final Rumours rumours = new Rumours();
    private final Budget budget;

    /**
     * Latest claims on nodes by origin. The number per origin is bounded; the least recently
     * updated claim is evicted first.
     */
    private final Map<Integer, Map<Long, Word>> claims = new LinkedHashMap<>();

    private final Map<Integer, Passed> passed = new LinkedHashMap<>();
    private Duration now = Duration.ZERO;
    private Duration unix = Duration.ZERO;
    private Duration wokenAt;
    private Duration probeAt = Duration.ZERO;
    private int incarnation;
    private Duration raisedAt;
    private int number;
    private int probe;
    private int probed = -1;
    private Duration probedAt = Duration.ZERO;
    private boolean helped;
    private boolean answered;
    private int periods;
    private int taken;
    private List<Integer> seeds = List.of();
    private int heard;
    private final Skew skew;
    private long outOfTime;
    private boolean leaving;
    private Word alive;

    /**
     * @param instances number of registered instances; indices are below this value
     * @param incarnation initial incarnation: above any earlier one of this instance, if that is
     *     known
     */
    public Gossip(
            Tuning tuning,
            int instances,
            int self,
            int incarnation,
            Post post,
            RandomGenerator chance) {
        this.tuning = tuning;
        this.self = self;
        this.incarnation = incarnation;
        this.post = post;
        this.chance = chance;
        members = new Members(instances, self, tuning.period(), chance);
        budget = new Budget(tuning.bytesPerSecond());
        skew = new Skew(instances);
    }

    /**
     * @param clock time since the start; never goes back
     * @param here local Unix time; the clocks of peers may differ
     */
    public void at(Duration clock, Duration here) {
        now = clock;
        unix = here;
    }

    public Members members() {
        return members;
    }

    public Budget budget() {
        return budget;
    }

    public int incarnation() {
        return incarnation;
    }

    /** Returns the number of updates that are still queued for dissemination. */
    public int spreading() {
        return rumours.size();
    }

    /** Returns the number of remembered claims of peers, over all origins. */
    public int remembered() {
        int sum = 0;
        for (Map<Long, Word> its : claims.values()) {
            sum += its.size();
        }
        return sum;
    }

    /** Returns the number of updates evicted by newer ones before they were sent often enough. */
    public long crowdedOut() {
        return rumours.dropped();
    }

    /**
     * Returns the number of claims dropped because they had expired on arrival or because the
     * origin's clock is too far from the local one.
     */
    public long outOfTime() {
        return outOfTime;
    }

    // ---- local announcements

    /**
     * Joins the group by requesting the tables of some seed peers, chosen at random so that
     * instances which start together do not all contact the first seed of a long list. Requests are
     * repeated until at least one peer is present.
     */
    public void join(List<Integer> from) {
        seeds = from.stream().filter(s -> s != self).toList();
        announce();
        knock();
    }

    private void knock() {
        for (int i = 0; i < Math.min(KNOCKS, seeds.size()); i++) {
            push(
                    seeds.get(seeds.size() <= KNOCKS ? i : chance.nextInt(seeds.size())),
                    true,
                    List.of(alive),
                    Budget.Use.PROBE);
        }
    }

    /** Announces an intentional shutdown, so that peers need not suspect this instance. */
    public void leave() {
        leaving = true;
        Word word = own(Kind.LEAVING, self, 0, 0, Duration.ZERO);
        rumours.add(word);
        for (int peer : members.some(FAN, -1)) {
            push(peer, false, List.of(word), Budget.Use.PROBE);
        }
    }

    /** Disseminates a claim about the state that this instance observed on a node. */
    public void claim(long node, Symptom symptom, int evidence, Duration since) {
        Word word = own(Kind.CLAIM, node, symptom.ordinal(), evidence, since);
        rumours.add(word);
        spread(-1);
    }

    private Word own(Kind kind, long subject, int detail, int evidence, Duration since) {
        return post.seal(
                Word.of(self, incarnation, ++number, kind, subject, detail, evidence, since, unix));
    }

    /** Creates a new accusation for each send, since peers reject updates with an old timestamp. */
    private Word accusation(int peer) {
        return own(Kind.SILENT, peer, members.incarnation(peer), 0, Duration.ZERO);
    }

    private void announce() {
        alive = own(Kind.ALIVE, self, 0, 0, Duration.ZERO);
        members.row(self).alive = alive;
        members.row(self).incarnation = incarnation;
        rumours.add(alive);
    }

    /**
     * Raises the incarnation, at most once per period: otherwise forged or repeated accusations
     * could make this instance flood its peers with refutations.
     */
    private void raise(int above) {
        if (raisedAt != null
                && now.minus(raisedAt).compareTo(tuning.period()) < 0
                && above < incarnation + 1) {
            return;
        }
        raisedAt = now;
        incarnation = above + 1;
        number = 0;
        announce();
    }

    // ---- updates and probes from peers

    /**
     * Handles the header of each datagram before its updates. The sender signed the datagram just
     * now, so it is alive.
     *
     * @param sent send time by the sender's clock, in Unix time
     */
    public void from(int peer, int itsIncarnation, Duration sent) {
        skew.direct(peer, sent, unix);
        heard++;
        if (members.state(peer) == Members.State.GONE
                && itsIncarnation == members.incarnation(peer)) {
            // The peer has to refute this itself, so that every instance that considers it gone
            // receives the refutation.
            push(peer, false, List.of(accusation(peer)), Budget.Use.PROBE);
        }
        Word former = members.row(peer).alive;
        if (itsIncarnation < members.incarnation(peer) && former != null && taken++ < ANSWERED) {
            // The peer has restarted and lost its incarnation; its former update tells it.
            push(peer, false, List.of(former), Budget.Use.PROBE);
        }
        if (members.state(peer) != Members.State.LEFT
                || itsIncarnation > members.incarnation(peer)) {
            members.there(peer, itsIncarnation, null, now);
        }
    }

    public void pinged(int from, int its) {
        if (taken++ < ANSWERED) {
            send(from, Budget.Use.PROBE, words -> post.ack(from, its, words));
        }
    }

    /** Handles a peer's request to probe an instance whose ack the peer did not receive. */
    public void asked(int from, int about, int its) {
        if (taken++ >= ANSWERED || passed.size() >= PASSED || about == self) {
            return;
        }
        int mine = ++probe;
        passed.put(mine, new Passed(from, its, now));
        send(about, Budget.Use.PROBE, words -> post.ping(about, mine, words));
    }

    /** Handles an ack, of this instance's own probe or of an indirect probe made for a peer. */
    public void acked(int from, int its) {
        if (its == probe && !answered && probed >= 0) {
            answered = true;
            members.better();
        }
        Passed on = passed.remove(its);
        if (on != null) {
            send(on.to, Budget.Use.PROBE, words -> post.ack(on.to, on.number, words));
        }
    }

    /** Answers a table exchange; the peer's own updates have been handled already. */
    public void swapped(int from) {
        if (taken++ < ANSWERED) {
            push(from, false, table(), Budget.Use.TABLES);
        }
    }

    /**
     * Handles one update whose signature has been verified.
     *
     * @param from peer that forwarded the update
     */
    public void word(Word word, int from) {
        switch (word.kind()) {
            case ALIVE -> {
                if (word.origin() == self) {
                    // From an earlier run whose incarnation is not known here, or a replay of one.
                    if (word.incarnation() > incarnation) {
                        raise(word.incarnation());
                    }
                } else if (members.state(word.origin()) != Members.State.LEFT
                        || word.incarnation() > members.incarnation(word.origin())) {
                    if (members.there(word.origin(), word.incarnation(), word, now)) {
                        rumours.drop(Kind.SILENT, word.origin());
                        rumours.add(word);
                    } else {
                        rumours.heardAgain(word);
                    }
                }
            }
            case LEAVING -> {
                if (word.origin() != self
                        && members.present(word.origin())
                        && word.incarnation() >= members.incarnation(word.origin())) {
                    members.left(word.origin(), word.incarnation(), now);
                    rumours.add(word);
                }
            }
            case SILENT -> {
                int subject = (int) word.subject();
                if (subject == self) {
                    if (word.detail() == incarnation && !leaving) {
                        members.worse(1);
                        raise(incarnation);
                    }
                    if (!leaving && taken++ < ANSWERED) {
                        // The forwarding peer is the path to the instances that consider this one
                        // gone.
                        push(from, false, List.of(alive), Budget.Use.PROBE);
                    }
                } else if (members.accused(subject, word.detail(), word.origin(), now)) {
                    rumours.add(word);
                } else {
                    rumours.heardAgain(word);
                }
            }
            default -> claimed(word);
        }
    }

    private void claimed(Word word) {
        if (word.origin() == self) {
            return;
        }
        Duration age = skew.age(word.origin(), word.said(), unix);
        if (age.isNegative() || age.compareTo(tuning.lasts()) >= 0) {
            outOfTime++;
            return;
        }
        Map<Long, Word> its = claims.computeIfAbsent(word.origin(), k -> new LinkedHashMap<>());
        Word had = its.get(word.subject());
        if (had != null && !word.replaces(had)) {
            rumours.heardAgain(word);
            return;
        }
        its.remove(word.subject());
        its.put(word.subject(), word);
        if (its.size() > CLAIMS) {
            its.remove(its.keySet().iterator().next());
        }
        post.claimed(word, age);
    }

    /**
     * Forwards a claim. The caller decides whether it is worth forwarding: a claim that adds
     * nothing to those already received is not disseminated further.
     */
    public void passOn(Word word, int from) {
        rumours.add(word);
        spread(from);
    }

    // ---- timers

    /** Runs the actions that are due by now. */
    public void woken() {
        if (wokenAt != null) {
            Duration gap = now.minus(wokenAt);
            Duration most = times(tuning.period(), AWAY);
            if (gap.compareTo(most) > 0) {
                // A router that was paused received no acks meanwhile and would otherwise suspect
                // all its peers.
                Duration away = gap.minus(most);
                members.away(away);
                members.worse(2);
                probeAt = probeAt.plus(away);
                answered = true;
            }
        }
        wokenAt = now;
        members.condemn(now);
        passed.values().removeIf(p -> now.minus(p.at).compareTo(tuning.period()) > 0);
        Duration ack = members.patient(times(tuning.period(), ACK));
        if (probed >= 0 && !answered && !helped && now.minus(probedAt).compareTo(ack) > 0) {
            helped = true;
            int about = probed;
            int its = probe;
            for (int peer : members.some(HELPERS, about)) {
                send(peer, Budget.Use.PROBE, words -> post.ask(peer, about, its, words));
            }
        }
        if (now.compareTo(probeAt) >= 0 && !leaving) {
            period();
        }
        // More updates are queued than probes carry: send datagrams of their own, as far as the
        // budget allows.
        if (rumours.size() > 2 * WORDS) {
            for (int to : members.some(1, -1)) {
                push(to, false, rumours.next(TABLE), Budget.Use.WORDS);
            }
        }
    }

    private void period() {
        if (probed >= 0 && !answered) {
            // If any datagram arrived in the period, the failure is the peer's, and local health
            // stays as it is.
            members.worse(heard == 0 ? 1 : 0);
            if (members.accused(probed, members.incarnation(probed), self, now)) {
                rumours.add(accusation(probed));
            }
        }
        taken = 0;
        heard = 0;
        // Jitter, so that instances which started together do not probe at the same moment.
        double spread = 0.9 + 0.2 * chance.nextDouble();
        probeAt = now.plus(times(members.patient(tuning.period()), spread));
        probed = members.next();
        answered = false;
        helped = false;
        probedAt = now;
        if (probed >= 0) {
            int its = ++probe;
            int to = probed;
            if (members.state(to) == Members.State.SUSPECT) {
                push(to, false, List.of(accusation(to)), Budget.Use.WORDS);
            }
            send(to, Budget.Use.PROBE, words -> post.ping(to, its, words));
        }
        if (members.there() <= 1) {
            knock();
        }
        // An incomplete table is exchanged in each period, as far as the budget allows.
        int every = members.there() < KNOWN * members.instances() ? 1 : EVEN;
        if (++periods % every == 0) {
            for (int to : members.some(1, -1)) {
                push(to, true, table(), Budget.Use.TABLES);
            }
        }
        // As often as a peer considered gone would be picked at random among all peers: after a
        // partition each side soon contacts the other.
        if (chance.nextDouble() * (members.there() + members.gone()) < members.gone()) {
            int gone = members.goneOne();
            push(gone, true, List.of(alive, accusation(gone)), Budget.Use.WORDS);
        }
    }

    // ---- sending

    /**
     * Reserves bytes for a datagram other than those of the membership protocol; if the budget
     * allows it they count as sent.
     */
    public boolean pays(int bytes) {
        return budget.takes(bytes, Budget.Use.WORDS, now);
    }

    private interface Sender {
        void send(List<Word> words);
    }

    private List<Word> table() {
        List<Word> words = new ArrayList<>();
        words.add(alive);
        words.addAll(members.slice(TABLE - 1));
        return words;
    }

    /** Sends a message with as many queued updates as the budget and the datagram size allow. */
    private void send(int to, Budget.Use use, Sender sender) {
        List<Word> words = fitting(rumours.next(WORDS));
        if (budget.takes(post.bytes(words), Budget.Use.WORDS, now)) {
            rumours.sent(words, members.there());
            sender.send(words);
        } else if (budget.takes(post.bytes(List.of()), use, now)) {
            sender.send(List.of());
        }
    }

    /** Returns the longest prefix that fits into one datagram. */
    private List<Word> fitting(List<Word> words) {
        List<Word> fit = words;
        while (post.bytes(fit) > tuning.datagram()) {
            fit = fit.subList(0, fit.size() - 1);
        }
        return fit;
    }

    private void spread(int but) {
        for (int peer : members.some(FAN, but)) {
            List<Word> words = rumours.claims(WORDS_PUSHED);
            if (!words.isEmpty()) {
                push(peer, false, words, Budget.Use.CLAIMS);
            }
        }
    }

    private void push(int to, boolean swap, List<Word> words, Budget.Use use) {
        List<Word> fit = fitting(words);
        if (budget.takes(post.bytes(fit), use, now)) {
            rumours.sent(fit, members.there());
            post.push(to, swap, fit);
        }
    }
}
