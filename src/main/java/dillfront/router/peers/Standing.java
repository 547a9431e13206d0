package dillfront.router.peers;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import dillfront.router.gossip.Gossip;
import dillfront.router.gossip.Hearsay;
import dillfront.router.gossip.Members;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Formats the state of peers, and of the nodes that peers have made claims about, as a table or as
 * JSON.
 */
public final class Standing {

    private Standing() {}

    /** A counter's name and value, in display order. */
    private record Count(String name, long number) {}

    private static List<Count> counts(Datagrams datagrams, Hearsay hearsay) {
        Gossip gossip = datagrams.gossip();
        List<Count> counts =
                new ArrayList<>(
                        List.of(
                                new Count("datagrams_sent", datagrams.datagramsSent()),
                                new Count("datagrams_read", datagrams.datagramsRead()),
                                new Count("bytes_sent", gossip.budget().sent()),
                                new Count("unsent_for_budget", gossip.budget().refused()),
                                new Count("unsent_for_address", datagrams.noAddress()),
                                new Count("claims_taken", hearsay.taken()),
                                new Count("claims_confirmed", hearsay.confirmed()),
                                new Count("claims_overruled", hearsay.overruled()),
                                new Count("claims_out_of_time", gossip.outOfTime()),
                                new Count("words_crowded_out", gossip.crowdedOut())));
        for (Drop why : Drop.values()) {
            counts.add(
                    new Count(
                            "dropped_" + why.name().toLowerCase(Locale.ROOT),
                            datagrams.drops(why)));
        }
        return counts;
    }

    /** Returns a table: peers, then nodes with claims of peers, then counters since the start. */
    public static String table(Datagrams datagrams, Neighbours neighbours) {
        Ring ring = datagrams.ring();
        Members members = datagrams.gossip().members();
        Hearsay hearsay = neighbours.hearsay();
        StringBuilder out =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "%-24s %-8s %11s %6s  %s%n",
                                "peer",
                                "state",
                                "incarnation",
                                "credit",
                                "address"));
        for (int p = 0; p < ring.size(); p++) {
            out.append(
                    String.format(
                            Locale.ROOT,
                            "%-24s %-8s %11d %6.2f  %s%n",
                            ring.name(p),
                            state(datagrams, members, p),
                            members.incarnation(p),
                            hearsay.credit(p),
                            ring.address(p) == null ? "-" : text(ring, p)));
        }
        out.append(String.format(Locale.ROOT, "%n%-24s %-8s %6s%n", "node", "doubted", "claims"));
        neighbours.nodes(
                (id, node) -> {
                    if (hearsay.claims(node) > 0) {
                        out.append(
                                String.format(
                                        Locale.ROOT,
                                        "%-24s %-8s %6d%n",
                                        id,
                                        neighbours.doubts(node) ? "yes" : "no",
                                        hearsay.claims(node)));
                    }
                });
        out.append(String.format(Locale.ROOT, "%n%-24s %8d%n", "own illness", members.ill()));
        for (Count count : counts(datagrams, hearsay)) {
            out.append(
                    String.format(
                            Locale.ROOT,
                            "%-24s %8d%n",
                            count.name.replace('_', ' '),
                            count.number));
        }
        return out.toString();
    }

    /** Returns the same as one JSON object: peers, nodes, ill, counts. */
    public static String json(Datagrams datagrams, Neighbours neighbours) {
        Ring ring = datagrams.ring();
        Members members = datagrams.gossip().members();
        Hearsay hearsay = neighbours.hearsay();
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            out.writeStartObject();
            out.writeArrayFieldStart("peers");
            for (int p = 0; p < ring.size(); p++) {
                out.writeStartObject();
                out.writeStringField("name", ring.name(p));
                out.writeStringField("state", state(datagrams, members, p));
                out.writeNumberField("incarnation", members.incarnation(p));
                out.writeNumberField("credit", hearsay.credit(p));
                if (ring.address(p) != null) {
                    out.writeStringField("address", text(ring, p));
                }
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeArrayFieldStart("nodes");
            List<String> ids = new ArrayList<>();
            List<Integer> indices = new ArrayList<>();
            neighbours.nodes(
                    (id, node) -> {
                        ids.add(id);
                        indices.add(node);
                    });
            for (int i = 0; i < ids.size(); i++) {
                out.writeStartObject();
                out.writeStringField("id", ids.get(i));
                out.writeBooleanField("doubted", neighbours.doubts(indices.get(i)));
                out.writeNumberField("claims", hearsay.claims(indices.get(i)));
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeNumberField("ill", members.ill());
            out.writeObjectFieldStart("counts");
            for (Count count : counts(datagrams, hearsay)) {
                out.writeNumberField(count.name, count.number);
            }
            out.writeEndObject();
            out.writeEndObject();
        } catch (IOException none) {
            throw new IllegalStateException(none);
        }
        return text.append('\n').toString();
    }

    private static String state(Datagrams datagrams, Members members, int peer) {
        return peer == datagrams.self()
                ? "self"
                : members.state(peer).name().toLowerCase(Locale.ROOT);
    }

    private static String text(Ring ring, int peer) {
        return ring.address(peer).getAddress().getHostAddress()
                + ":"
                + ring.address(peer).getPort();
    }
}
