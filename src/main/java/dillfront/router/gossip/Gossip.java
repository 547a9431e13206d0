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
public final class Gossip {

    /**
     * An ack is awaited for this part of a period before others are asked for help; the rest is
     * theirs.
     */
    private static final double ACK = 0.3;

    private static final int HELPERS = 3;

    /** A new claim is pushed to so many at once, by its origin and by each that hears it first. */
    private static final int FAN = 4;

    /** Tables are evened out once in so many periods. */
    private static final int EVEN = 5;

    /** Of the ring: below this part the table lacks many. */
    private static final double KNOWN = 0.9;

    /** Seeds that are asked at once. */
    private static final int KNOCKS = 5;

    /** A longer gap between two calls of woken(), in periods, is this instance's own absence. */
    private static final double AWAY = 0.5;

    private static final int WORDS = 6;
    private static final int WORDS_PUSHED = 4;
    private static final int TABLE = 8;

    /**
     * Pings of others that are answered or passed on, a period; above that of a usual load by far.
     */
    private static final int ANSWERED = 16;

    /** Pings that are passed on for others at the same time. */
    private static final int PASSED = 64;

    /** Of each origin so many claims are remembered. */
    private static final int CLAIMS = 32;

    /** A ping on behalf of another: whose it is, under which number there, and since when. */
    private record Passed(int to, int number, Duration at) {}

    private final Tuning tuning;
    private final int self;
    private final Post post;
    private final RandomGenerator chance;
    private final Members members;
    private final Rumours rumours = new Rumours();
    private final Budget budget;

    /**
     * By origin: its last words on nodes. A row holds CLAIMS at the most, the longest unheard
     * leaves first.
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
     * @param instances how many may speak; indices run below it
     * @param incarnation where to begin: above any that this instance may have had, if it is known
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
     * @param clock since the start, never back
     * @param here Unix time, which others' clocks only resemble
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

    /** Words that still wait to be sent on. */
    public int spreading() {
        return rumours.size();
    }

    /** Claims of others that are remembered, over all origins. */
    public int remembered() {
        int sum = 0;
        for (Map<Long, Word> its : claims.values()) {
            sum += its.size();
        }
        return sum;
    }

    /** Words that gave way to newer ones before they were sent often enough. */
    public long crowdedOut() {
        return rumours.dropped();
    }

    /** Claims that were over when they came, or whose origin's clock is too far from this one's. */
    public long outOfTime() {
        return outOfTime;
    }

    // ---- what this instance says of itself

    /**
     * Asks some of those whose address the operator's file tells for their tables, by chance:
     * guards against the first of a long list that all ask at once. Asks on until someone is there.
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

    /** On purpose: nobody needs to suspect it. */
    public void leave() {
        leaving = true;
        Word word = own(Kind.LEAVING, self, 0, 0, Duration.ZERO);
        rumours.add(word);
        for (int peer : members.some(FAN, -1)) {
            push(peer, false, List.of(word), Budget.Use.PROBE);
        }
    }

    /** Claims what this instance saw of a node itself. */
    public void claim(long node, Symptom symptom, int evidence, Duration since) {
        Word word = own(Kind.CLAIM, node, symptom.ordinal(), evidence, since);
        rumours.add(word);
        spread(-1);
    }

    private Word own(Kind kind, long subject, int detail, int evidence, Duration since) {
        return post.seal(
                Word.of(self, incarnation, ++number, kind, subject, detail, evidence, since, unix));
    }

    /** Said anew each time, since old words are not believed. */
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
     * Once a period at the most: guards against accusations that make this instance flood others
     * with answers.
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

    // ---- what others say

    /**
     * Each datagram, before its words: its sender signed it just now, so it is there.
     *
     * @param sent by its clock, since the zero of Unix time
     */
    public void from(int peer, int itsIncarnation, Duration sent) {
        skew.direct(peer, sent, unix);
        heard++;
        if (members.state(peer) == Members.State.GONE
                && itsIncarnation == members.incarnation(peer)) {
            // It has to speak up itself, so that all who hold it gone hear of it.
            push(peer, false, List.of(accusation(peer)), Budget.Use.PROBE);
        }
        Word former = members.row(peer).alive;
        if (itsIncarnation < members.incarnation(peer) && former != null && taken++ < ANSWERED) {
            // Started anew, and has forgotten how far it was.
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

    /** Someone gets no ack of another instance. */
    public void asked(int from, int about, int its) {
        if (taken++ >= ANSWERED || passed.size() >= PASSED || about == self) {
            return;
        }
        int mine = ++probe;
        passed.put(mine, new Passed(from, its, now));
        send(about, Budget.Use.PROBE, words -> post.ping(about, mine, words));
    }

    /** A direct probe was acknowledged by this instance, in this incarnation. */
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

    /** Its words have been told already; it wants some back. */
    public void swapped(int from) {
        if (taken++ < ANSWERED) {
            push(from, false, table(), Budget.Use.TABLES);
        }
    }

    /**
     * One word, whoever passed it on; its signature has been found right.
     *
     * @param from who passed it on
     */
    public void word(Word word, int from) {
        switch (word.kind()) {
            case ALIVE -> {
                if (word.origin() == self) {
                    // Of a former life that is not remembered here, or a replay of it.
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
                        // Who told it is the way to all who hold this instance gone.
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
     * What is worth passing on, the one who hears it decides: a claim that adds nothing to others'
     * spreads no further.
     */
    public void passOn(Word word, int from) {
        rumours.add(word);
        spread(from);
    }

    // ---- the clock

    /** Runs what was due by now. */
    public void woken() {
        if (wokenAt != null) {
            Duration gap = now.minus(wokenAt);
            Duration most = multiply(tuning.period(), AWAY);
            if (gap.compareTo(most) > 0) {
                // Guards against a router that was stopped and then holds all others for silent.
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
        Duration ack = members.patient(multiply(tuning.period(), ACK));
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
        // More to tell than probes carry: by datagrams of its own, as far as the budget allows.
        if (rumours.size() > 2 * WORDS) {
            for (int to : members.some(1, -1)) {
                push(to, false, rumours.next(TABLE), Budget.Use.WORDS);
            }
        }
    }

    private void period() {
        if (probed >= 0 && !answered) {
            // Guards against illness by the death of others: who hears anyone at all hears well.
            members.worse(heard == 0 ? 1 : 0);
            if (members.accused(probed, members.incarnation(probed), self, now)) {
                rumours.add(accusation(probed));
            }
        }
        taken = 0;
        heard = 0;
        // Not all at the same moment, whoever started together.
        double spread = 0.9 + 0.2 * chance.nextDouble();
        probeAt = now.plus(multiply(members.patient(tuning.period()), spread));
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
        // A table that lacks many is evened out in each period, as far as the budget allows.
        int every = members.there() < KNOWN * members.instances() ? 1 : EVEN;
        if (++periods % every == 0) {
            for (int to : members.some(1, -1)) {
                push(to, true, table(), Budget.Use.TABLES);
            }
        }
        // As often as one that is gone would be met by chance among all: after a parting each side
        // meets the other soon.
        if (chance.nextDouble() * (members.there() + members.gone()) < members.gone()) {
            int gone = members.goneOne();
            push(gone, true, List.of(alive, accusation(gone)), Budget.Use.WORDS);
        }
    }

    // ---- sends

    /**
     * Whether so many bytes may go now beside what instances say of each other; if so they are
     * counted as sent.
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

    /** With as many spreading words as the budget and the datagram allow. */
    private void send(int to, Budget.Use use, Sender sender) {
        List<Word> words = fitting(rumours.next(WORDS));
        if (budget.takes(post.bytes(words), Budget.Use.WORDS, now)) {
            rumours.sent(words, members.there());
            sender.send(words);
        } else if (budget.takes(post.bytes(List.of()), use, now)) {
            sender.send(List.of());
        }
    }

    /** As many of the first as one datagram holds. */
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
