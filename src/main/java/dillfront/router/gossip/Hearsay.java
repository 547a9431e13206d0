package dillfront.router.gossip;

import static dillfront.routing.api.Spans.times;

import dillfront.routing.api.Sight;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Weighs the claims of peers about nodes. The result is one bit per node: suspected or not. A
 * suspicion opens no connection, provides no replay position, grants no capacity to a cold node and
 * permits no send. It shortens the time after which the router treats its own missing answers as a
 * failure, lets it prefer another node, and halves the node's concurrency limit. A fresh answer
 * received by this router itself ends the suspicion at once.
 *
 * <p>A claim is valid for a limited time; only each instance's latest claim on a node counts.
 * Claims are weighted by the origin's credit, which grows slowly with claims that this router later
 * confirms itself and drops fast with claims that its own answers contradict. Of the votes on one
 * node, the strongest ones are discarded, as many as there may be lying instances; the remaining
 * weight must still reach the threshold. Instances that were wrong together more than once count as
 * one vote. An instance that claims most of the nodes to be unhealthy is more likely partitioned
 * itself, and its claims do not count.
 *
 * <p>Pure: times are durations since the start. Table sizes are bounded by the number of registered
 * instances and listed nodes.
 */
public final class Hearsay {

    private static final double CREDIT_START = 0.5;
    private static final double CREDIT_GAIN = 0.25;

    /**
     * Factor applied to credit after a claim that the router's own answers contradict, and after
     * one that an answer followed shortly.
     */
    private static final double CONTRADICTED = 0.5;

    private static final double OVERTAKEN = 0.8;

    /**
     * An answer within this part of a claim's validity after the claim counts against the claim.
     */
    private static final double SOON = 0.1;

    /** Minimum weight on a node that must remain after the possible lying votes are discarded. */
    private static final double CARRIES = 0.4;

    /** Minimum credit for a vote to count. */
    private static final double HEARD = 0.1;

    /**
     * An instance that claims more than this part of all nodes to be unhealthy, and more than one
     * node, does not count.
     */
    private static final double CUT_OFF = 0.5;

    /**
     * Number of common wrong claims after which two instances count as one vote, and for how many
     * claim validities they do.
     */
    private static final int TOGETHER = 2;

    private static final int TOGETHER_FOR = 120;
    private static final int PAIRS = 256;

    private static final class Claim {
        final int peer;
        Symptom symptom;

        /** Start of the symptom and time of the last report, by this router's clock. */
        Duration since;

        Duration said;
        boolean confirmed;

        Claim(int peer) {
            this.peer = peer;
        }
    }

    private static final class Row {
        final List<Claim> claims = new ArrayList<>();

        /** Withdrawn claims, kept for as long as a claim is valid. */
        final List<Claim> back = new ArrayList<>();

        Duration wellAt = Duration.ofSeconds(-1);
        boolean ill;
    }

    private final int liars;
    private final int most;
    private final Duration lasts;
    private final Duration soon;
    private final double[] credit;

    /** Vote group of each instance: the lowest index of its members. */
    private final int[] voice;

    private final int[] claiming;

    /**
     * Pairs of instances that were wrong together; the least recently updated pair is evicted
     * first.
     */
    private final Map<Long, Integer> together = new LinkedHashMap<>();

    private final List<Row> rows = new ArrayList<>();
    private int known;
    private Duration apartAt = Duration.ZERO;
    private Duration now = Duration.ZERO;
    private long taken;
    private long overruled;
    private long confirmed;

    /**
     * @param instances number of registered instances; indices are below this value
     */
    public Hearsay(Tuning tuning, int instances) {
        liars = Math.min(tuning.liars(), Math.max(0, (instances - 1) / 3));
        // Enough claims to discard the lying votes twice, and to judge the credit of the others.
        most = 3 * (liars + 1) + 2;
        lasts = tuning.lasts();
        soon = times(lasts, SOON);
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

    /**
     * Sets the number of listed nodes, against which the limit for unhealthy claims is computed.
     */
    public void nodes(int listed) {
        known = listed;
    }

    /**
     * Handles a claim of a peer about a node.
     *
     * @param node the router's local index of the node
     * @param age time since the claim was made
     * @param since how long the symptom had lasted when the claim was made
     * @return whether the claim should be forwarded; not once enough peers have claimed the same,
     *     so that a failure seen by all costs no more traffic than one seen by a few
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
        // A claim that does not count here is not forwarded either: a lying instance then spends
        // only its own bytes.
        return row.claims.size() < most && !cutOff(peer) && credit[peer] >= HEARD;
    }

    private boolean cutOff(int peer) {
        return claiming[peer] > 1 && claiming[peer] > CUT_OFF * known;
    }

    /**
     * Evicts the claim of the least credit for one of more credit, so that lying instances cannot
     * occupy all places.
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

    /** Records what this router itself observes of a node. */
    public void seen(int node, Sight sight) {
        Row row = row(node);
        row.ill = sight.ill();
        row.wellAt = sight.wellAt().compareTo(row.wellAt) > 0 ? sight.wellAt() : row.wellAt;
        judge(row);
    }

    /**
     * Compares the claims on a node with this router's own observations; credit changes here only.
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
            // The node answered after the symptom had allegedly begun and before the claim was
            // repeated, so the claim was false.
            boolean against =
                    row.wellAt.compareTo(c.since.plus(soon)) > 0
                            && row.wellAt.plus(soon).compareTo(c.said) < 0;
            // The node answered right after the claim: so short a symptom was not worth a claim.
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

    /**
     * Records a common error of two instances. Honest instances observe nodes independently and are
     * seldom wrong about the same node twice.
     */
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

    /** Returns whether the claims of peers make the node suspected. */
    public boolean doubted(int node) {
        if (node >= rows.size() || rows.get(node).claims.isEmpty() || rows.get(node).ill) {
            return false;
        }
        return weight(rows.get(node).claims) >= CARRIES && !better(node);
    }

    /**
     * Returns whether enough peers that claimed the node to be unhealthy have had an answer from it
     * since. This only brings forward the next probe of a node that this router has stopped using.
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

    /** Expires claims; called at each clock tick. */
    public void woken() {
        for (Row row : rows) {
            judge(row);
        }
        if (now.compareTo(apartAt) > 0 && !together.isEmpty()) {
            apartAt = now.plus(lasts.multipliedBy(TOGETHER_FOR));
            unite();
        }
    }

    /** Removes a node that has left the list, since its index may be reused. */
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
     * Returns whether one more claim would add nothing: enough claims are held to reach the
     * threshold even without the possible lying votes.
     */
    public boolean enough(int node) {
        return claims(node) >= most;
    }

    /** Returns the number of valid claims on a node. */
    public int claims(int node) {
        return node < rows.size() ? rows.get(node).claims.size() : 0;
    }

    /**
     * Returns the number of claims accepted since the start; the next two methods count those that
     * this router confirmed itself and those that its own answers overruled.
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
