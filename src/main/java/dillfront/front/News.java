package dillfront.front;

import dillfront.host.Configuration;
import dillfront.host.Host;
import dillfront.host.Pack;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Asks a control process for news with what it has, and is answered when there is some, or after a while without. Moves to
 * another control process where one is silent or says that it is out of touch itself.
 */
final class News implements Host.Ear {

    /** A question is out no longer than it may be held and a little. */
    private static final int DIAL_MS = 700;
    private static final long SILENT_MS = 1_400;
    private static final long PAUSE_MS = 100;
    /** After a source was left, the next is kept for so long though another is nearer. */
    private static final long STAY_MS = 3_000;
    private static final int MOST_SOURCES = 16;

    private final Front front;
    /** Where control was heard of, the nearest first. */
    private final List<String> sources = new ArrayList<>();
    private int at;
    /** When it last left a source. */
    private long movedAt = -STAY_MS;
    private Host.Link link;
    private boolean up;
    private long asked;
    private long question;
    private Host.Timer silence;
    private String boot = "";
    private long has;
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

    /** Those of the settings file count among all that were heard of. */
    void seeds() {
        front.settings.seedIps().forEach(this::source);
    }

    private void source(String ip) {
        if (!sources.contains(ip) && sources.size() < MOST_SOURCES) {
            sources.add(ip);
        }
    }

    private void dial() {
        if (sources.isEmpty()) {
            front.host.after(PAUSE_MS, this::dial);
            return;
        }
        String ip = sources.get(at % sources.size());
        up = false;
        Host.Link[] mine = new Host.Link[1];
        mine[0] = front.host.dial(front.settings.innerOf(ip), Host.Form.FRAMES, DIAL_MS, new Host.Ear() {
            @Override
            public void opened(Host.Link opened) {
                News.this.opened(opened);
            }

            @Override
            public void message(byte[] message) {
                News.this.message(message);
            }

            @Override
            public void closed(String why) {
                if (link == mine[0] || mine[0] == null) {
                    News.this.closed(why);
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
        silence = front.host.after(ms, () -> next("silent"));
    }

    /** To the next source. */
    private void next(String why) {
        if (silence != null) {
            silence.cancel();
        }
        if (link != null) {
            link.close();
        }
        front.host.note("news: left " + source() + ", " + why);
        at++;
        movedAt = front.host.now();
        front.host.after(at % Math.max(1, sources.size()) == 0 ? PAUSE_MS : 1, this::dial);
    }

    @Override
    public void opened(Host.Link opened) {
        link = opened;
        up = true;
        ask();
    }

    @Override
    public void closed(String why) {
        next(why);
    }

    private void ask() {
        asked = front.host.now();
        question++;
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("t", "news");
        out.put("n", front.settings.name());
        out.put("z", front.settings.zone());
        out.put("q", question);
        out.put("b", boot);
        out.put("r", has);
        out.put("c", front.configuration().version());
        out.put("k", record);
        out.put("sn", suspectsAt);
        // Of most services there is nothing to say; of those that move or are suspected, what is seen here.
        List<Object> sights = new ArrayList<>();
        for (Service s : front.services()) {
            Server lead = s.servers.get(s.primary);
            int sees = lead == null ? 0 : lead.sight();
            if (sees < 0 || s.moving || suspects.contains(s.name) || s.loses()) {
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
            out.put("s", sights);
        }
        link.send(Pack.write(out));
        watch(SILENT_MS);
    }

    /** What it sees of a primary has changed: worth a question now. */
    void tell() {
        if (up && front.host.now() - asked > 50) {
            ask();
        }
    }

    @Override
    public void message(byte[] bytes) {
        Pack.Fields in;
        try {
            in = Pack.read(bytes);
        } catch (Pack.Bad bad) {
            next("bad");
            return;
        }
        long now = front.host.now();
        if (in.has("b")) {
            boolean whole = in.bit("w");
            boot = in.text("b");
            has = in.number("r", 0);
            List<String> named = new ArrayList<>();
            for (Pack.Fields row : in.list("m")) {
                member(row);
                named.add(row.text("i"));
            }
            if (whole) {
                for (Service s : front.services()) {
                    new ArrayList<>(s.servers.values()).stream().filter(x -> !named.contains(x.id)).forEach(x -> {
                        x.leave();
                        s.servers.remove(x.id);
                    });
                }
            }
        }
        byte[] body = in.bytes("cb");
        if (body != null) {
            try {
                front.configured(Configuration.read(body));
            } catch (Configuration.Invalid never) {
                // The control plane took it, so it is of a form that this text does not know: what is held stays.
                front.host.wrong("configuration not understood: " + never.getMessage());
            }
        }
        for (Pack.Fields row : in.list("p")) {
            Service s = front.service(row.text("s"));
            record = Math.max(record, row.number("k", 0));
            if (row.number("k", 0) > s.record) {
                s.record = row.number("k", 0);
                s.primary = row.text("p");
                s.moving = row.bit("m");
                s.changed();
            }
        }
        if (in.has("sn")) {
            suspectsAt = in.number("sn", 0);
            suspects = in.texts("sq");
        }
        String near = null;
        for (Pack.Fields place : in.list("cp")) {
            source(place.text("i"));
            near = front.settings.near(place.text("z")) ? place.text("i") : near;
        }
        fronts = (int) Math.max(1, in.number("f", fronts));
        long sure = in.number("su", 0);
        long q = in.number("q", -1);
        if (q == question) {
            if (sure > 0) {
                sureUntil = Math.max(sureUntil, asked + sure);
            }
            if (in.bit("alone")) {
                // It has lost the others: it may know less than they do.
                next("alone");
                return;
            }
            if (near != null && sources.contains(near) && !near.equals(source()) && now - movedAt > STAY_MS) {
                // What crosses regions costs, and is heard later.
                at = sources.size() + sources.indexOf(near) - 1;
                next("farther than another");
                return;
            }
            ask();
        }
    }

    private void member(Pack.Fields row) {
        Service s = front.service(row.text("v"));
        String id = row.text("i");
        Server is = s.servers.get(id);
        String state = row.text("st");
        if (state.equals("left")) {
            if (is != null) {
                is.leave();
                s.servers.remove(id);
            }
            return;
        }
        if (is == null) {
            is = new Server(front, s, id, row.text("a"), row.text("z"));
            s.servers.put(id, is);
        }
        is.leads = row.text("ro").equals("primary");
        if (state.equals("draining") && !is.draining) {
            is.drain();
        }
        s.changed();
    }

    /** Until then no other than the recorded primary leads a service. */
    long sureUntil() {
        return sureUntil;
    }

    int fronts() {
        return fronts;
    }

    String source() {
        return sources.isEmpty() ? "-" : sources.get(at % sources.size());
    }
}
