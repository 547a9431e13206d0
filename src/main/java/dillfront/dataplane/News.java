package dillfront.dataplane;

import dillfront.common.config.Configuration;
import dillfront.common.database.AcceptedDataLoss;
import dillfront.common.environment.Environment;
import dillfront.common.message.BinaryDelta;
import dillfront.common.message.Compression;
import dillfront.common.message.MessageCodec;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Asks a control process for news with what it has, and is answered when there is some, or after a
 * while without. Moves to another control process where one is silent or says that it is out of
 * contact with a majority itself; what it has never goes back with that. A configuration comes as
 * what turns the one it has into the newest, or whole where that does not fit.
 */
final class News implements Environment.ConnectionListener {

    /** A question is out no longer than it may be held and a little. */
    private static final int DIAL_MS = 700;

    /**
     * Of what was acknowledged while a server leaves, this is told now and then: it counts where
     * this front is lost too.
     */
    private static final long LOSES_MS = 2_000;

    private static final long SILENT_MS = 1_400;
    private static final long TOGETHER_MS = 50;
    private static final long PAUSE_MS = 100;
    private static final int MOST_PAUSES = 4;

    /** A configuration that it cannot read is not asked for again sooner. */
    private static final long UNREAD_MS = 1_000;

    /**
     * A source that was left is not gone back to by choice for so long; less where it said itself
     * that it hears no majority.
     */
    private static final long STAY_MS = 20_000;

    private static final long ALONE_MS = 2_000;
    private static final int MOST_SOURCES = 16;
    private static final String ALONE = "alone";

    /** Where a control process is said to be. */
    private record Place(String ip, boolean near, boolean silent) {}

    private final Front front;

    /**
     * What it was told last, and then the seeds: those that are heard first, and the near among
     * them.
     */
    private final List<String> sources = new ArrayList<>();

    private List<Place> places = List.of();
    private String source = "-";

    /** Of a source that was left: when, and until when it is not gone back to by choice. */
    private record Left(long at, long until) {}

    /** For those that are listed. */
    private final TreeMap<String, Left> left = new TreeMap<>();

    /** Sources left since one had news. */
    private int tries;

    private Environment.Connection link;
    private boolean up;
    private boolean telling;
    private long asked;

    /** When it last told what was acknowledged by services from which a server leaves. */
    private long losesAt = -LOSES_MS;

    private long question;
    private Environment.Timer silence;

    /**
     * A question was sent and nothing came since: silence counts from the first such, whatever is
     * asked meanwhile.
     */
    private boolean outstanding;

    private String boot = "";
    private long has;

    /**
     * The digest of its configuration was told on this connection; what turns it into the newest
     * did not fit.
     */
    private boolean digestTold;

    private boolean wantsWhole;

    /** A version that it cannot read; -1 for none. */
    private long unread = -1;

    /** The newest record it has; it has all before that were not overtaken. */
    private long record = -1;

    /** Services whose primary is suspected, as they were told last. */
    private List<String> suspects = List.of();

    private long suspectsAt = -1;
    private long sureUntil = -1;

    /** Until it is told, it takes a part that is safe among many. */
    private int fronts = 15;

    News(Front front) {
        this.front = front;
    }

    void start() {
        seeds();
        dial();
    }

    /**
     * Those of the settings file count, whatever it was told: all that it was told of may be gone.
     */
    void seeds() {
        listed();
    }

    /**
     * What was told last takes the place of what was told before, so that the list does not fill up
     * with the dead.
     */
    private void listed() {
        sources.clear();
        for (int rank = 0; rank < 4; rank++) {
            for (Place p : places) {
                if (rank == (p.silent() ? 2 : 0) + (p.near() ? 0 : 1)
                        && sources.size() < MOST_SOURCES
                        && !sources.contains(p.ip())) {
                    sources.add(p.ip());
                }
            }
        }
        front.settings.seedIps().stream().filter(ip -> !sources.contains(ip)).forEach(sources::add);
        left.keySet().retainAll(sources);
    }

    /** When it was left, where it is not to be gone back to by choice yet. */
    private long leftAt(String ip) {
        Left is = left.get(ip);
        return is != null && is.until() > front.host.nowMillis() ? is.at() : Long.MIN_VALUE;
    }

    private void dial() {
        if (sources.isEmpty()) {
            front.host.schedule(PAUSE_MS, this::dial);
            return;
        }
        // The first in the list that was not left of late; else the one that was left first.
        String ip = sources.get(0);
        for (String other : sources) {
            ip = leftAt(other) < leftAt(ip) ? other : ip;
        }
        source = ip;
        up = false;
        Environment.Connection[] mine = new Environment.Connection[1];
        mine[0] =
                front.host.connect(
                        front.settings.internalAddressOf(ip),
                        Environment.Framing.FRAMES,
                        DIAL_MS,
                        new Environment.ConnectionListener() {
                            @Override
                            public void onOpen(Environment.Connection opened) {
                                News.this.onOpen(opened);
                            }

                            @Override
                            public void onMessage(byte[] message) {
                                // What a source that was left said meanwhile answers no question of
                                // now.
                                if (link == mine[0]) {
                                    News.this.onMessage(message);
                                }
                            }

                            @Override
                            public void onClose(String why) {
                                if (link == mine[0] || mine[0] == null) {
                                    News.this.onClose(why);
                                }
                            }
                        });
        link = mine[0];
        watch(DIAL_MS + 100);
    }

    private void watch(long ms) {
        if (silence != null) {
            silence.cancel();
        }
        silence = front.host.schedule(ms, () -> next("silent"));
    }

    /** To the next source. */
    private void next(String why) {
        if (silence != null) {
            silence.cancel();
        }
        if (link != null) {
            link.close();
        }
        front.host.trace("news: left " + source + ", " + why);
        if (sources.contains(source)) {
            left.put(
                    source,
                    new Left(
                            front.host.nowMillis(),
                            front.host.nowMillis() + (why.equals(ALONE) ? ALONE_MS : STAY_MS)));
        }
        up = false;
        tries++;
        int rounds = tries / Math.max(1, sources.size());
        front.host.schedule(
                tries % Math.max(1, sources.size()) == 0
                        ? PAUSE_MS * Math.min(rounds, MOST_PAUSES)
                        : 1,
                this::dial);
    }

    @Override
    public void onOpen(Environment.Connection opened) {
        link = opened;
        up = true;
        outstanding = false;
        digestTold = false;
        ask();
    }

    @Override
    public void onClose(String why) {
        next(why);
    }

    private void ask() {
        asked = front.host.nowMillis();
        question++;
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("t", "news");
        out.put("n", front.settings.nodeName());
        out.put("z", front.settings.zoneName());
        out.put("q", question);
        out.put("b", boot);
        out.put("r", has);
        out.put("c", front.configuration().revision());
        if (!digestTold) {
            digestTold = true;
            out.put("cd", front.configuration().digest());
        }
        if (wantsWhole) {
            out.put("cw", true);
        }
        if (sources.stream().allMatch(ip -> ip.equals(source) || leftAt(ip) != Long.MIN_VALUE)) {
            // All others were asked in vain: where this one is alone too, it may answer once it no
            // longer is.
            out.put("hw", true);
        }
        out.put("k", record);
        out.put("sn", suspectsAt);
        // Of most services there is nothing to say; of those that move or are suspected, what is
        // seen here.
        List<Object> sights = new ArrayList<>();
        boolean also = asked >= losesAt + LOSES_MS;
        for (Service s : front.services()) {
            Server lead = s.servers.get(s.primary);
            int sees = lead == null ? 0 : lead.sight();
            if (sees < 0 || s.moving || suspects.contains(s.name) || also && s.loses()) {
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("s", s.name);
                row.put("o", s.openAtPrimary);
                row.put("p", s.primary);
                row.put("h", sees);
                row.put("a", s.acknowledged.toString());
                sights.add(row);
            }
        }
        if (!sights.isEmpty()) {
            losesAt = also ? asked : losesAt;
            out.put("s", sights);
        }
        link.send(MessageCodec.encode(out));
        if (!outstanding) {
            outstanding = true;
            watch(SILENT_MS);
        }
    }

    /**
     * What it sees of a primary has changed: worth a question now, or together with what else comes
     * within a moment of the last.
     */
    void tell() {
        if (!telling) {
            telling = true;
            front.host.schedule(
                    Math.max(0, asked + TOGETHER_MS - front.host.nowMillis()),
                    () -> {
                        telling = false;
                        if (up) {
                            ask();
                        }
                    });
        }
    }

    @Override
    public void onMessage(byte[] bytes) {
        MessageCodec.Fields in;
        try {
            in = MessageCodec.decode(bytes);
        } catch (MessageCodec.MalformedMessageException bad) {
            next("bad");
            return;
        }
        if (in.number("q", -1) != question) {
            watch(SILENT_MS);
        } else {
            outstanding = false;
        }
        if (in.has("b")) {
            boolean whole = in.flag("w");
            boot = in.string("b");
            has = in.number("r", 0);
            List<String> named = new ArrayList<>();
            for (MessageCodec.Fields row : in.maps("m")) {
                member(row);
                named.add(row.string("i"));
            }
            if (whole) {
                for (Service s : front.services()) {
                    new ArrayList<>(s.servers.values())
                            .stream()
                                    .filter(x -> !named.contains(x.id))
                                    .forEach(
                                            x -> {
                                                x.leave();
                                                s.servers.remove(x.id);
                                            });
                }
            }
        }
        configured(in);
        for (MessageCodec.Fields row : in.maps("p")) {
            Service s = front.service(row.string("s"));
            record = Math.max(record, row.number("k", 0));
            if (row.number("k", 0) > s.record) {
                s.record = row.number("k", 0);
                s.primary = row.string("p");
                s.moving = row.flag("m");
                s.loss = AcceptedDataLoss.parse(row.string("dl"));
                s.changed();
            }
        }
        if (in.has("sn")) {
            suspectsAt = in.number("sn", 0);
            suspects = in.strings("sq");
        }
        if (in.has("cp")) {
            // Whoever is out of contact may know fewer: what it knows of besides comes behind the
            // rest.
            boolean besides = in.flag("alone");
            List<Place> told = besides ? new ArrayList<>(places) : new ArrayList<>();
            for (MessageCodec.Fields p : in.maps("cp")) {
                if (!besides
                        || places.stream().noneMatch(known -> known.ip().equals(p.string("i")))) {
                    told.add(
                            new Place(
                                    p.string("i"),
                                    front.settings.isSameRegion(p.string("z")),
                                    besides || p.flag("s")));
                }
            }
            places = told;
            listed();
        }
        fronts = (int) Math.max(1, in.number("f", fronts));
        long sure = in.number("su", 0);
        long q = in.number("q", -1);
        if (q == question) {
            if (sure > 0) {
                sureUntil = Math.max(sureUntil, asked + sure);
            }
            if (in.flag("alone")) {
                // It has lost the others: it may know less than they do.
                next(ALONE);
                return;
            }
            tries = 0;
            String near = nearer();
            if (near != null) {
                // What crosses regions costs, and is heard later.
                next(near + " is nearer");
            } else if (in.number("cv", -1) == unread && unread >= 0) {
                front.host.schedule(
                        UNREAD_MS,
                        () -> {
                            if (up && q == question) {
                                ask();
                            }
                        });
            } else {
                ask();
            }
        }
    }

    /** One that is heard and near, where the present source is not near; null for none. */
    private String nearer() {
        for (Place p : places) {
            if (p.ip().equals(source) && p.near()) {
                return null;
            }
        }
        for (Place p : places) {
            if (p.near() && !p.silent() && leftAt(p.ip()) == Long.MIN_VALUE) {
                return p.ip();
            }
        }
        return null;
    }

    /**
     * Takes a newer configuration over; an older one, or what turns an older one into another,
     * changes nothing.
     */
    private void configured(MessageCodec.Fields in) {
        long version = in.number("cv", -1);
        if (version <= front.configuration().revision()) {
            return;
        }
        try {
            byte[] delta = in.bytes("cx");
            byte[] whole = in.bytes("cz");
            Configuration next =
                    Configuration.parse(
                            delta != null
                                    ? BinaryDelta.apply(front.configuration().body(), delta)
                                    : Compression.decompress(
                                            whole == null ? new byte[0] : whole,
                                            BinaryDelta.MAX_BYTES));
            front.configured(next);
            digestTold = false;
            wantsWhole = false;
            unread = -1;
        } catch (BinaryDelta.InvalidDeltaException other) {
            front.host.trace(
                    "news: version " + version + " asked for whole, " + other.getMessage());
            wantsWhole = true;
        } catch (Compression.CorruptDataException
                | Configuration.InvalidConfigurationException never) {
            // The control plane took it, so it is of a form that this text does not know: what is
            // held stays.
            unread = version;
            front.host.warn("configuration " + version + " not understood: " + never.getMessage());
        }
    }

    private void member(MessageCodec.Fields row) {
        String id = row.string("i");
        String state = row.string("st");
        if (row.string("v").isEmpty()) {
            // Who told this knows no more of it than that it leaves.
            for (Service any : front.services()) {
                if (any.servers.containsKey(id)) {
                    leaves(any, any.servers.get(id), state);
                }
            }
            return;
        }
        Service s = front.service(row.string("v"));
        Server is = s.servers.get(id);
        if (state.equals("left")) {
            leaves(s, is, state);
            return;
        }
        if (is == null) {
            is = new Server(front, s, id, row.string("a"), row.string("z"));
            s.servers.put(id, is);
        }
        is.leads = row.string("ro").equals("primary");
        leaves(s, is, state);
        s.changed();
    }

    private static void leaves(Service s, Server is, String state) {
        if (is == null) {
            return;
        }
        if (state.equals("left")) {
            is.leave();
            s.servers.remove(is.id);
        } else if (!is.draining && (state.equals("draining") || state.equals("leaving"))) {
            is.drain();
        }
    }

    /** Until then no other than the recorded primary leads a service. */
    long sureUntil() {
        return sureUntil;
    }

    int fronts() {
        return fronts;
    }

    String source() {
        return source;
    }
}
