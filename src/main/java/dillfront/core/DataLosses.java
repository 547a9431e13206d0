package dillfront.core;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.ParseException;
import dillfront.host.Acknowledged;
import dillfront.host.DataLoss;
import dillfront.host.Host;
import dillfront.host.Pack;
import dillfront.host.Position;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Services of which no log is left with all that was acknowledged, as the holder of the duty says,
 * and a person's word that these commits are given up. The word may come to any process: it goes
 * along with what that one tells the others until the record says so, under this holder or the
 * next.
 */
final class DataLosses {

    static final String ACCEPT = "/Services.AcceptDataLoss";
    private static final int MOST = 64;

    /**
     * What a service waits for.
     *
     * @param move the record with which it began to move
     * @param log where the longest log ends that is left
     * @param lacked what is known to be acknowledged
     * @param servers out of reach: they may hold more, and are waited for
     * @param primary who led, and would have it
     * @param since when that was found out, by this process's clock
     */
    record Lack(
            String service,
            long move,
            Position log,
            Acknowledged lacked,
            List<String> servers,
            String primary,
            long since) {

        /** It names the same commits of the same loss. */
        boolean same(Lack other) {
            return service.equals(other.service)
                    && move == other.move
                    && log.equals(other.log)
                    && lacked.equals(other.lacked)
                    && servers.equals(other.servers);
        }

        Map<String, Object> row(long now) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("s", service);
            row.put("mv", move);
            row.put("l", log.toString());
            row.put("a", lacked.toString());
            row.put("o", servers);
            row.put("p", primary);
            row.put("t", now - since);
            return row;
        }

        /** null where it is none */
        static Lack of(Pack.Fields row, long now) {
            Position log = Position.of(row.text("l"));
            return log == null
                    ? null
                    : new Lack(
                            row.text("s"),
                            row.number("mv", 0),
                            log,
                            Acknowledged.of(row.text("a")),
                            row.texts("o"),
                            row.text("p"),
                            now - row.number("t", 0));
        }
    }

    /** What somebody gives up, and until when his call is answered. */
    private record Word(Lack shown, long until) {}

    private final Core core;
    private List<Lack> told = List.of();
    private long toldAt = Long.MIN_VALUE / 2;

    /** The lease of the one that told. */
    private long toldBy;

    private final List<Word> words = new ArrayList<>();

    DataLosses(Core core) {
        this.core = core;
    }

    /** As the holder says; null where none is known. */
    private List<Lack> known() {
        return core.duty.settled()
                ? core.duty.lacking()
                : core.host.now() - toldAt < Core.TOUCH_MS ? told : null;
    }

    private Lack known(String service) {
        List<Lack> all = known();
        return all == null
                ? null
                : all.stream().filter(l -> l.service().equals(service)).findFirst().orElse(null);
    }

    // ---- between control processes

    void tell(Map<String, Object> out) {
        long now = core.host.now();
        if (core.duty.settled()) {
            List<Object> rows = new ArrayList<>();
            core.duty.lacking().forEach(l -> rows.add(l.row(now)));
            if (!rows.isEmpty()) {
                out.put("dl", rows);
            }
        }
        words.removeIf(w -> w.until() <= now);
        if (!words.isEmpty()) {
            List<Object> rows = new ArrayList<>();
            words.forEach(w -> rows.add(w.shown().row(now)));
            out.put("du", rows);
        }
    }

    /**
     * @param fresh it answers what this process said in this life
     */
    void heard(Pack.Fields in, boolean fresh) {
        long now = core.host.now();
        // Of two that say so the one with the later lease holds the duty.
        long lease = in.number("p", 0);
        if (in.bit("h") && fresh && (lease >= toldBy || now - toldAt >= Core.TOUCH_MS)) {
            toldBy = lease;
            List<Lack> all = new ArrayList<>();
            for (Pack.Fields row : in.list("dl")) {
                Lack one = Lack.of(row, now);
                if (one != null) {
                    all.add(one);
                }
            }
            told = all;
            toldAt = now;
        }
        for (Pack.Fields row : in.list("du")) {
            Lack one = Lack.of(row, now);
            if (one != null) {
                core.duty.giveUp(one);
            }
        }
    }

    // ---- a person's call

    /**
     * POST /Services.AcceptDataLoss: the body is what `status` shows under `lacking`, for one
     * service.
     */
    CompletableFuture<Host.Answer> accept(byte[] body, boolean contact) {
        Lack shown;
        try {
            JsonObject in = Json.parse(new String(body, StandardCharsets.UTF_8)).asObject();
            Position log = Position.of(Core.text(in, "log_position"));
            Position least = Position.of(Core.text(in, "least_acknowledged"));
            Position most = Position.of(Core.text(in, "most_acknowledged"));
            if (log == null || least == null || most == null) {
                return Core.said(
                        400,
                        "log_position, least_acknowledged, most_acknowledged: expected TERM.NUMBER");
            }
            List<String> servers = new ArrayList<>();
            if (in.get("out_of_reach") != null) {
                in.get("out_of_reach").asArray().forEach(id -> servers.add(id.asString()));
            }
            shown =
                    new Lack(
                            Core.text(in, "service"),
                            Long.parseLong(Core.text(in, "move")),
                            log,
                            new Acknowledged(least, most),
                            servers,
                            "",
                            0);
        } catch (ParseException | UnsupportedOperationException | NumberFormatException bad) {
            return Core.said(400, String.valueOf(bad.getMessage()));
        }
        if (!contact) {
            return Core.said(503, Core.NOBODY);
        }
        Lead lead = core.lead(shown.service());
        if (!given(lead, shown)) {
            Lack known = known(shown.service());
            if (known() == null) {
                return Core.said(503, "nobody holds the duty; ask again");
            } else if (known == null && lead != null && lead.moving()) {
                return Core.said(
                        503, "it moves, and nobody has found yet what is lacking; ask again");
            } else if (known == null || !known.same(shown)) {
                return conflict(known);
            } else if (words.size() >= MOST) {
                return Core.said(503, "too many such calls; ask again");
            }
            words.add(new Word(shown, core.host.now() + Core.ANSWER_MS));
            core.duty.giveUp(shown);
        }
        core.poke();
        CompletableFuture<Host.Answer> done = new CompletableFuture<>();
        wait(shown, core.host.now(), done);
        return core.once(done, Core.ANSWER_MS, done::join);
    }

    private static boolean given(Lead lead, Lack shown) {
        return lead != null
                && lead.loss() != null
                && lead.loss().same(shown.move(), shown.log(), shown.lacked(), shown.servers());
    }

    /**
     * Until a majority that answers from now on has it on its disks, or something else is lacking.
     */
    private void wait(Lack shown, long from, CompletableFuture<Host.Answer> done) {
        if (done.isDone()) {
            return;
        }
        Lead lead = core.lead(shown.service());
        Lack known = known(shown.service());
        if (given(lead, shown)) {
            DataLoss loss = lead.loss();
            if (core.quorum(
                    core.records.durable() >= lead.number(),
                    p -> p.echo >= from && p.record >= lead.number())) {
                done.complete(
                        new Host.Answer(
                                200,
                                Json.object()
                                        .add("service", shown.service())
                                        .add("log_position", loss.log().toString())
                                        .add("given_up", loss.until().toString())
                                        .toString()
                                        .getBytes(StandardCharsets.UTF_8)));
                return;
            }
        } else if (known != null && !known.same(shown) || lead == null || !lead.moving()) {
            done.complete(conflict(known).join());
            return;
        }
        core.host.after(Core.TOGETHER_MS, () -> wait(shown, from, done));
    }

    private CompletableFuture<Host.Answer> conflict(Lack known) {
        JsonObject out =
                Json.object()
                        .add(
                                "error_message",
                                known == null
                                        ? "nothing is known to be lacking"
                                        : "something else is lacking")
                        .add("lacking", known == null ? Json.NULL : json(known));
        return CompletableFuture.completedFuture(
                new Host.Answer(409, out.toString().getBytes(StandardCharsets.UTF_8)));
    }

    private JsonObject json(Lack l) {
        JsonArray servers = Json.array().asArray();
        l.servers().forEach(servers::add);
        return Json.object()
                .add("service", l.service())
                .add("move", Long.toString(l.move()))
                .add("primary", l.primary())
                .add("log_position", l.log().toString())
                .add("least_acknowledged", l.lacked().least().toString())
                .add("most_acknowledged", l.lacked().most().toString())
                .add("out_of_reach", servers)
                .add("for_ms", core.host.now() - l.since());
    }

    /** For `status`: what each service waits for. */
    JsonArray shown() {
        JsonArray all = Json.array().asArray();
        List<Lack> known = known();
        if (known != null) {
            known.forEach(l -> all.add(json(l)));
        }
        return all;
    }

    /** The same in its line. */
    String status(String service) {
        Lack l = known(service);
        return l == null
                ? ""
                : " lacking="
                        + l.lacked().least()
                        + ".."
                        + l.lacked().most()
                        + " longest_log="
                        + l.log()
                        + (l.servers().isEmpty()
                                ? ""
                                : " out_of_reach=" + String.join(",", l.servers()))
                        + " for_s="
                        + (core.host.now() - l.since()) / 1_000;
    }
}
