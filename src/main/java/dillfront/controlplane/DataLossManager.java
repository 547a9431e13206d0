package dillfront.controlplane;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.ParseException;
import dillfront.common.database.AcceptedDataLoss;
import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.database.LogPosition;
import dillfront.common.environment.Environment;
import dillfront.common.message.MessageCodec;
import dillfront.controlplane.failover.PrimaryRecord;
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
final class DataLossManager {

    static final String ACCEPT = "/Services.AcceptDataLoss";
    private static final int MOST = 64;

    /**
     * What a service waits for.
     *
     * @param moveNumber the record with which it began to move
     * @param longestLogEnd where the longest log ends that is left
     * @param acknowledged what is known to be acknowledged
     * @param unreachableServers out of reach: they may hold more, and are waited for
     * @param primary who led, and would have it
     * @param sinceMillis when that was found out, by this process's clock
     */
    record MissingCommits(
            String service,
            long moveNumber,
            LogPosition longestLogEnd,
            AcknowledgedCommits acknowledged,
            List<String> unreachableServers,
            String primary,
            long sinceMillis) {

        /** It names the same commits of the same loss. */
        boolean matches(MissingCommits other) {
            return service.equals(other.service)
                    && moveNumber == other.moveNumber
                    && longestLogEnd.equals(other.longestLogEnd)
                    && acknowledged.equals(other.acknowledged)
                    && unreachableServers.equals(other.unreachableServers);
        }

        Map<String, Object> toRow(long now) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("s", service);
            row.put("mv", moveNumber);
            row.put("l", longestLogEnd.toString());
            row.put("a", acknowledged.toString());
            row.put("o", unreachableServers);
            row.put("p", primary);
            row.put("t", now - sinceMillis);
            return row;
        }

        /** null where it is none */
        static MissingCommits fromRow(MessageCodec.Fields row, long now) {
            LogPosition log = LogPosition.parse(row.string("l"));
            return log == null
                    ? null
                    : new MissingCommits(
                            row.string("s"),
                            row.number("mv", 0),
                            log,
                            AcknowledgedCommits.parse(row.string("a")),
                            row.strings("o"),
                            row.string("p"),
                            now - row.number("t", 0));
        }
    }

    /** What somebody gives up, and until when his call is answered. */
    private record Word(MissingCommits shown, long until) {}

    private final ControlNode core;
    private List<MissingCommits> told = List.of();
    private long toldAt = Long.MIN_VALUE / 2;

    /** The lease of the one that told. */
    private long toldBy;

    private final List<Word> words = new ArrayList<>();

    DataLossManager(ControlNode core) {
        this.core = core;
    }

    /** As the holder says; null where none is known. */
    private List<MissingCommits> known() {
        return core.failover.settled()
                ? core.failover.lacking()
                : core.host.nowMillis() - toldAt < ControlNode.TOUCH_MS ? told : null;
    }

    private MissingCommits known(String service) {
        List<MissingCommits> all = known();
        return all == null
                ? null
                : all.stream().filter(l -> l.service().equals(service)).findFirst().orElse(null);
    }

    // ---- between control processes

    void tell(Map<String, Object> out) {
        long now = core.host.nowMillis();
        if (core.failover.settled()) {
            List<Object> rows = new ArrayList<>();
            core.failover.lacking().forEach(l -> rows.add(l.toRow(now)));
            if (!rows.isEmpty()) {
                out.put("dl", rows);
            }
        }
        words.removeIf(w -> w.until() <= now);
        if (!words.isEmpty()) {
            List<Object> rows = new ArrayList<>();
            words.forEach(w -> rows.add(w.shown().toRow(now)));
            out.put("du", rows);
        }
    }

    /**
     * @param fresh it answers what this process said in this life
     */
    void heard(MessageCodec.Fields in, boolean fresh) {
        long now = core.host.nowMillis();
        // Of two that say so the one with the later lease holds the duty.
        long lease = in.number("p", 0);
        if (in.flag("h") && fresh && (lease >= toldBy || now - toldAt >= ControlNode.TOUCH_MS)) {
            toldBy = lease;
            List<MissingCommits> all = new ArrayList<>();
            for (MessageCodec.Fields row : in.maps("dl")) {
                MissingCommits one = MissingCommits.fromRow(row, now);
                if (one != null) {
                    all.add(one);
                }
            }
            told = all;
            toldAt = now;
        }
        for (MessageCodec.Fields row : in.maps("du")) {
            MissingCommits one = MissingCommits.fromRow(row, now);
            if (one != null) {
                core.failover.giveUp(one);
            }
        }
    }

    // ---- a person's call

    /**
     * POST /Services.AcceptDataLoss: the body is what `status` shows under `lacking`, for one
     * service.
     */
    CompletableFuture<Environment.HttpResponse> accept(byte[] body, boolean contact) {
        MissingCommits shown;
        try {
            JsonObject in = Json.parse(new String(body, StandardCharsets.UTF_8)).asObject();
            LogPosition log = LogPosition.parse(ControlNode.text(in, "log_position"));
            LogPosition least = LogPosition.parse(ControlNode.text(in, "least_acknowledged"));
            LogPosition most = LogPosition.parse(ControlNode.text(in, "most_acknowledged"));
            if (log == null || least == null || most == null) {
                return ControlNode.said(
                        400,
                        "log_position, least_acknowledged, most_acknowledged: expected TERM.NUMBER");
            }
            List<String> servers = new ArrayList<>();
            if (in.get("out_of_reach") != null) {
                in.get("out_of_reach").asArray().forEach(id -> servers.add(id.asString()));
            }
            shown =
                    new MissingCommits(
                            ControlNode.text(in, "service"),
                            Long.parseLong(ControlNode.text(in, "move")),
                            log,
                            new AcknowledgedCommits(least, most),
                            servers,
                            "",
                            0);
        } catch (ParseException | UnsupportedOperationException | NumberFormatException bad) {
            return ControlNode.said(400, String.valueOf(bad.getMessage()));
        }
        if (!contact) {
            return ControlNode.said(503, ControlNode.NOBODY);
        }
        PrimaryRecord lead = core.lead(shown.service());
        if (!given(lead, shown)) {
            MissingCommits known = known(shown.service());
            if (known() == null) {
                return ControlNode.said(503, "nobody holds the duty; ask again");
            } else if (known == null && lead != null && lead.moving()) {
                return ControlNode.said(
                        503, "it moves, and nobody has found yet what is lacking; ask again");
            } else if (known == null || !known.matches(shown)) {
                return conflict(known);
            } else if (words.size() >= MOST) {
                return ControlNode.said(503, "too many such calls; ask again");
            }
            words.add(new Word(shown, core.host.nowMillis() + ControlNode.ANSWER_MS));
            core.failover.giveUp(shown);
        }
        core.poke();
        CompletableFuture<Environment.HttpResponse> done = new CompletableFuture<>();
        wait(shown, core.host.nowMillis(), done);
        return core.once(done, ControlNode.ANSWER_MS, done::join);
    }

    private static boolean given(PrimaryRecord lead, MissingCommits shown) {
        return lead != null
                && lead.acceptedLoss() != null
                && lead.acceptedLoss()
                        .matches(
                                shown.moveNumber(),
                                shown.longestLogEnd(),
                                shown.acknowledged(),
                                shown.unreachableServers());
    }

    /**
     * Until a majority that answers from now on has it on its disks, or something else is lacking.
     */
    private void wait(
            MissingCommits shown, long from, CompletableFuture<Environment.HttpResponse> done) {
        if (done.isDone()) {
            return;
        }
        PrimaryRecord lead = core.lead(shown.service());
        MissingCommits known = known(shown.service());
        if (given(lead, shown)) {
            AcceptedDataLoss loss = lead.acceptedLoss();
            if (core.quorum(
                    core.records.durableNumber() >= lead.number(),
                    p -> p.lastAckSentMillis >= from && p.recordNumber >= lead.number())) {
                done.complete(
                        new Environment.HttpResponse(
                                200,
                                Json.object()
                                        .add("service", shown.service())
                                        .add("log_position", loss.logEnd().toString())
                                        .add("given_up", loss.lostUpTo().toString())
                                        .toString()
                                        .getBytes(StandardCharsets.UTF_8)));
                return;
            }
        } else if (known != null && !known.matches(shown) || lead == null || !lead.moving()) {
            done.complete(conflict(known).join());
            return;
        }
        core.host.schedule(ControlNode.TOGETHER_MS, () -> wait(shown, from, done));
    }

    private CompletableFuture<Environment.HttpResponse> conflict(MissingCommits known) {
        JsonObject out =
                Json.object()
                        .add(
                                "error_message",
                                known == null
                                        ? "nothing is known to be lacking"
                                        : "something else is lacking")
                        .add("lacking", known == null ? Json.NULL : json(known));
        return CompletableFuture.completedFuture(
                new Environment.HttpResponse(409, out.toString().getBytes(StandardCharsets.UTF_8)));
    }

    private JsonObject json(MissingCommits l) {
        JsonArray servers = Json.array().asArray();
        l.unreachableServers().forEach(servers::add);
        return Json.object()
                .add("service", l.service())
                .add("move", Long.toString(l.moveNumber()))
                .add("primary", l.primary())
                .add("log_position", l.longestLogEnd().toString())
                .add("least_acknowledged", l.acknowledged().lowerBound().toString())
                .add("most_acknowledged", l.acknowledged().upperBound().toString())
                .add("out_of_reach", servers)
                .add("for_ms", core.host.nowMillis() - l.sinceMillis());
    }

    /** For `status`: what each service waits for. */
    JsonArray shown() {
        JsonArray all = Json.array().asArray();
        List<MissingCommits> known = known();
        if (known != null) {
            known.forEach(l -> all.add(json(l)));
        }
        return all;
    }

    /** The same in its line. */
    String status(String service) {
        MissingCommits l = known(service);
        return l == null
                ? ""
                : " lacking="
                        + l.acknowledged().lowerBound()
                        + ".."
                        + l.acknowledged().upperBound()
                        + " longest_log="
                        + l.longestLogEnd()
                        + (l.unreachableServers().isEmpty()
                                ? ""
                                : " out_of_reach=" + String.join(",", l.unreachableServers()))
                        + " for_s="
                        + (core.host.nowMillis() - l.sinceMillis()) / 1_000;
    }
}
