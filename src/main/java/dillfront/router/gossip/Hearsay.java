package dillfront.router.gossip;

import static dillfront.routing.api.Durations.multiply;

import dillfront.routing.api.HealthObservation;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What others' claims about nodes are worth to this router. The outcome is one bit a node: doubted
 * or not. A doubt opens nothing, gives no position, frees no budget of a cold node and excuses no
 * send; it makes the module suspicious sooner of silence that it sees itself, lets it take another
 * node first, and halves the room. The router's own fresh answer ends it at once.
 *
 * <p>Claims stand for a while, each instance's latest on a node. Voices are weighed by credit,
 * which grows slowly with claims that this router then finds true by itself and falls fast with
 * those that its own answers contradict. Of the voices on one node the best few are left out, as
 * many as may lie; what remains must still carry the claim. Instances that were wrong together more
 * than once are one voice. Who claims most of the fleet ill is more likely cut off himself, and is
 * not counted.
 *
 * <p>Pure: times are spans since the start. Tables are as long as the ring, and as the nodes in the
 * list.
 */
public final class Hearsay {

    private static final double CREDIT_START = 0.5;
    private static final double CREDIT_GAIN = 0.25;

    /**
     * What is left of credit after a claim that own answers contradict, and after one soon
     * overtaken by an answer.
     */
    private static final double CONTRADICTED = 0.5;

    private static final double OVERTAKEN = 0.8;

    /**
     * An answer so soon after a claim was said speaks against it; as a part of the time for which
     * claims stand.
     */
    private static final double SOON = 0.1;

    /** What must remain of the weight on a node once as many voices as may lie are left out. */
    private static final double CARRIES = 0.4;

    /** Voices below this are not counted at all. */
    private static final double HEARD = 0.1;

    /** Who claims more than this part of all nodes ill, and more than one, is not counted. */
    private static final double CUT_OFF = 0.5;

    /**
     * Wrong together so often: one voice from then on, for so many times the standing of a claim.
     */
    private static final int TOGETHER = 2;

    private static final int TOGETHER_FOR = 120;
    private static final int PAIRS = 256;

    private static final class Claim {
        final int peer;
        Symptom symptom;

        /** When it began, and when it was last said, by this router's clock. */
        Duration since;

        Duration said;
        boolean confirmed;

        Claim(int peer) {
            this.peer = peer;
        }
    }

    private static final class Row {
        final List<Claim> claims = new ArrayList<>();

        /** Those who claimed it ill and have taken that back, for as long as a claim stands. */
        final List<Claim> back = new ArrayList<>();

        Duration wellAt = Duration.ofSeconds(-1);
        boolean ill;
    }

    private final int liars;
    private final int most;
    private final Duration lasts;
    private final Duration soon;
    private final double[] credit;

    /** Instances of one voice share the number of its first. */
    private final int[] voice;

    private final int[] claiming;

    /** Pairs that were wrong together; the longest unseen leaves first. */
    private final Map<Long, Integer> together = new LinkedHashMap<>();

    private final List<Row> rows = new ArrayList<>();
    private int known;
    private Duration apartAt = Duration.ZERO;
    private Duration now = Duration.ZERO;
    private long taken;
    private long overruled;
    private long confirmed;

    /**
     * @param instances how many may speak; indices run below it
     */
    public Hearsay(Tuning tuning, int instances) {
        liars = Math.min(tuning.liars(), Math.max(0, (instances - 1) / 3));
        // Enough to leave out the liars twice over, and to see who was right.
        most = 3 * (liars + 1) + 2;
        lasts = tuning.lasts();
        soon = multiply(lasts, SOON);
        credit = new double[instances];
        Arrays.fill(credit, CREDIT_START);
        voice = new int[instances];
        claiming = new int[instances];
        unite();
    }

    private void unite() {
        for (int i = 0; i < voice.length; i++) {
            voice[i] = i;
        }
        together.clear();
    }

    public void at(Duration clock) {
        now = clock;
    }

    /** How many nodes there are, for what is most of them. */
    public void nodes(int listed) {
        known = listed;
    }

    /**
     * An instance says so of a node.
     *
     * @param node this router's index of it
     * @param age for how long the word has been on its way
     * @param since for how long it had lasted when it was said
     * @return whether others should hear of it too: not if enough others have said it, so that a
     *     trouble which all see costs no more to tell than one which a few see
     */
    public boolean heard(int peer, int node, Symptom symptom, Duration age, Duration since) {
        Row row = row(node);
        Duration said = now.minus(age);
        Claim claim = null;
        for (Claim one : row.claims) {
            claim = one.peer == peer ? one : claim;
        }
        if (symptom == Symptom.WELL) {
            if (claim != null) {
                drop(row, claim);
                claim.said = said;
                row.back.add(claim);
            }
            return claim != null;
        }
        if (said.plus(lasts).compareTo(now) <= 0) {
            return false;
        }
        taken++;
        if (claim == null) {
            if (row.claims.size() >= most && !crowdsOut(row, peer)) {
                return false;
            }
            row.back.removeIf(c -> c.peer == peer);
            claim = new Claim(peer);
            row.claims.add(claim);
            claiming[peer]++;
            claim.since = said.minus(since);
        }
        claim.symptom = symptom;
        claim.said = said;
        judge(row);
        // Who is not counted here is not passed on either: a liar pays for his words with his own
        // bytes alone.
        return row.claims.size() < most && !cutOff(peer) && credit[peer] >= HEARD;
    }

    private boolean cutOff(int peer) {
        return claiming[peer] > 1 && claiming[peer] > CUT_OFF * known;
    }

    /**
     * A voice of more credit takes the place of the least: guards against places kept by those who
     * only lie.
     */
    private boolean crowdsOut(Row row, int peer) {
        Claim least = row.claims.get(0);
        for (Claim one : row.claims) {
            least = credit[one.peer] < credit[least.peer] ? one : least;
        }
        if (credit[least.peer] >= credit[peer]) {
            return false;
        }
        drop(row, least);
        return true;
    }

    /** What this router sees of a node itself. */
    public void seen(int node, HealthObservation sight) {
        Row row = row(node);
        row.ill = sight.isFaulty();
        row.wellAt =
                sight.lastHealthyAt().compareTo(row.wellAt) > 0
                        ? sight.lastHealthyAt()
                        : row.wellAt;
        judge(row);
    }

    /**
     * Claims on a node against what this router knows of it: the only way in which credit changes.
     */
    private void judge(Row row) {
        row.back.removeIf(c -> c.said.plus(lasts).compareTo(now) <= 0);
        if (row.claims.isEmpty()) {
            return;
        }
        List<Claim> wrong = new ArrayList<>();
        for (int i = row.claims.size() - 1; i >= 0; i--) {
            Claim c = row.claims.get(i);
            if (row.ill && !c.confirmed) {
                c.confirmed = true;
                confirmed++;
                credit[c.peer] += CREDIT_GAIN * (1 - credit[c.peer]);
            }
            // It answered after that began and before it was said again: then it had not begun.
            boolean against =
                    row.wellAt.compareTo(c.since.plus(soon)) > 0
                            && row.wellAt.plus(soon).compareTo(c.said) < 0;
            // Or it answered right after: what was so short was nothing to tell.
            boolean overtaken =
                    row.wellAt.compareTo(c.said) > 0 && row.wellAt.compareTo(c.said.plus(soon)) < 0;
            if ((against || overtaken) && !c.confirmed) {
                credit[c.peer] *= against ? CONTRADICTED : OVERTAKEN;
                wrong.add(c);
            }
            if (against || row.wellAt.compareTo(c.said) > 0) {
                overruled++;
                drop(row, c);
            } else if (c.said.plus(lasts).compareTo(now) <= 0) {
                drop(row, c);
            }
        }
        for (int i = 0; i < wrong.size(); i++) {
            for (int k = i + 1; k < wrong.size(); k++) {
                wrongTogether(wrong.get(i).peer, wrong.get(k).peer);
            }
        }
    }

    /** Honest instances see nodes each for itself, and are seldom wrong on the same one twice. */
    private void wrongTogether(int a, int b) {
        apartAt = together.isEmpty() ? now.plus(lasts.multipliedBy(TOGETHER_FOR)) : apartAt;
        long pair = (long) Math.min(a, b) * voice.length + Math.max(a, b);
        int times = together.getOrDefault(pair, 0) + 1;
        together.remove(pair);
        together.put(pair, times);
        if (together.size() > PAIRS) {
            together.remove(together.keySet().iterator().next());
        }
        if (times >= TOGETHER && voice[a] != voice[b]) {
            int gone = Math.max(voice[a], voice[b]);
            int into = Math.min(voice[a], voice[b]);
            for (int i = 0; i < voice.length; i++) {
                voice[i] = voice[i] == gone ? into : voice[i];
            }
            apartAt = now.plus(lasts.multipliedBy(TOGETHER_FOR));
        }
    }

    /** Whether the module should doubt it by what others say. */
    public boolean doubted(int node) {
        if (node >= rows.size() || rows.get(node).claims.isEmpty() || rows.get(node).ill) {
            return false;
        }
        return weight(rows.get(node).claims) >= CARRIES && !better(node);
    }

    /**
     * Whether enough of those who claimed it ill have had an answer of it since. Worth a try sooner
     * where this router still waits to try it; and no more than that.
     */
    public boolean better(int node) {
        return node < rows.size()
                && !rows.get(node).back.isEmpty()
                && weight(rows.get(node).back) >= CARRIES;
    }

    private double weight(List<Claim> claims) {
        double[] voices = new double[claims.size()];
        int[] whose = new int[voices.length];
        int n = 0;
        for (Claim c : claims) {
            double counts = cutOff(c.peer) || credit[c.peer] < HEARD ? 0 : credit[c.peer];
            int at = 0;
            while (at < n && whose[at] != voice[c.peer]) {
                at++;
            }
            whose[at] = voice[c.peer];
            voices[at] = at < n ? Math.max(voices[at], counts) : counts;
            n = Math.max(n, at + 1);
        }
        Arrays.sort(voices, 0, n);
        double sum = 0;
        for (int i = 0; i < n - liars; i++) {
            sum += voices[i];
        }
        return sum;
    }

    /** Claims end by themselves; called at each beat. */
    public void woken() {
        for (Row row : rows) {
            judge(row);
        }
        if (now.compareTo(apartAt) > 0 && !together.isEmpty()) {
            apartAt = now.plus(lasts.multipliedBy(TOGETHER_FOR));
            unite();
        }
    }

    /** It has left the list: its index may name another. */
    public void forget(int node) {
        if (node < rows.size()) {
            Row row = rows.get(node);
            while (!row.claims.isEmpty()) {
                drop(row, row.claims.get(0));
            }
            rows.set(node, new Row());
        }
    }

    private void drop(Row row, Claim claim) {
        row.claims.remove(claim);
        claiming[claim.peer]--;
    }

    private Row row(int node) {
        while (rows.size() <= node) {
            rows.add(new Row());
        }
        return rows.get(node);
    }

    public double credit(int peer) {
        return credit[peer];
    }

    /**
     * Whether one more claim would add nothing: so many stand that even without the liars' share
     * they carry.
     */
    public boolean enough(int node) {
        return claims(node) >= most;
    }

    /** How many claims stand on a node now. */
    public int claims(int node) {
        return node < rows.size() ? rows.get(node).claims.size() : 0;
    }

    /**
     * Claims taken since the start, those found true by this router itself, and those that its own
     * answers ended.
     */
    public long taken() {
        return taken;
    }

    public long confirmed() {
        return confirmed;
    }

    public long overruled() {
        return overruled;
    }
}
