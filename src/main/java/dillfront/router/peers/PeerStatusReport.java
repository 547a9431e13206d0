package dillfront.router.peers;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import dillfront.router.gossip.GossipProtocol;
import dillfront.router.gossip.MembershipList;
import dillfront.router.gossip.PeerClaims;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What an instance thinks of its peers, and of the nodes by hearsay, to be read by people or
 * programs.
 */
public final class PeerStatusReport {

    private PeerStatusReport() {}

    /** One name and its number, in the order in which they are shown. */
    private record Count(String name, long number) {}

    private static List<Count> counts(UdpGossipTransport transport, PeerClaims claims) {
        GossipProtocol gossip = transport.gossip();
        List<Count> counts =
                new ArrayList<>(
                        List.of(
                                new Count("datagrams_sent", transport.datagramsSent()),
                                new Count("datagrams_read", transport.datagramsRead()),
                                new Count("bytes_sent", gossip.budget().bytesSent()),
                                new Count("unsent_for_budget", gossip.budget().refusedDatagrams()),
                                new Count("unsent_for_address", transport.unsentForAddress()),
                                new Count("claims_taken", claims.accepted()),
                                new Count("claims_confirmed", claims.confirmed()),
                                new Count("claims_overruled", claims.overruled()),
                                new Count("claims_out_of_time", gossip.outdatedClaims()),
                                new Count("words_crowded_out", gossip.evictedUpdates())));
        for (DropReason reason : DropReason.values()) {
            counts.add(
                    new Count(
                            "dropped_" + reason.name().toLowerCase(Locale.ROOT),
                            transport.dropCount(reason)));
        }
        return counts;
    }

    /** A table: peers, then nodes on which others have a word, then counts since the start. */
    public static String table(UdpGossipTransport transport, PeerHealthExchange healthExchange) {
        PeerRegistry registry = transport.registry();
        MembershipList members = transport.gossip().membership();
        PeerClaims claims = healthExchange.claims();
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
        for (int peer = 0; peer < registry.size(); peer++) {
            out.append(
                    String.format(
                            Locale.ROOT,
                            "%-24s %-8s %11d %6.2f  %s%n",
                            registry.name(peer),
                            state(transport, members, peer),
                            members.incarnation(peer),
                            claims.credit(peer),
                            registry.address(peer) == null ? "-" : addressText(registry, peer)));
        }
        out.append(String.format(Locale.ROOT, "%n%-24s %-8s %6s%n", "node", "doubted", "claims"));
        healthExchange.nodes(
                (id, node) -> {
                    if (claims.claimCount(node) > 0) {
                        out.append(
                                String.format(
                                        Locale.ROOT,
                                        "%-24s %-8s %6d%n",
                                        id,
                                        healthExchange.isSuspected(node) ? "yes" : "no",
                                        claims.claimCount(node)));
                    }
                });
        out.append(
                String.format(Locale.ROOT, "%n%-24s %8d%n", "own illness", members.healthScore()));
        for (Count count : counts(transport, claims)) {
            out.append(
                    String.format(
                            Locale.ROOT,
                            "%-24s %8d%n",
                            count.name.replace('_', ' '),
                            count.number));
        }
        return out.toString();
    }

    /** The same as one JSON object: peers, nodes, ill, counts. */
    public static String json(UdpGossipTransport transport, PeerHealthExchange healthExchange) {
        PeerRegistry registry = transport.registry();
        MembershipList members = transport.gossip().membership();
        PeerClaims claims = healthExchange.claims();
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            out.writeStartObject();
            out.writeArrayFieldStart("peers");
            for (int peer = 0; peer < registry.size(); peer++) {
                out.writeStartObject();
                out.writeStringField("name", registry.name(peer));
                out.writeStringField("state", state(transport, members, peer));
                out.writeNumberField("incarnation", members.incarnation(peer));
                out.writeNumberField("credit", claims.credit(peer));
                if (registry.address(peer) != null) {
                    out.writeStringField("address", addressText(registry, peer));
                }
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeArrayFieldStart("nodes");
            List<String> ids = new ArrayList<>();
            List<Integer> nodes = new ArrayList<>();
            healthExchange.nodes(
                    (id, node) -> {
                        ids.add(id);
                        nodes.add(node);
                    });
            for (int i = 0; i < ids.size(); i++) {
                out.writeStartObject();
                out.writeStringField("id", ids.get(i));
                out.writeBooleanField("doubted", healthExchange.isSuspected(nodes.get(i)));
                out.writeNumberField("claims", claims.claimCount(nodes.get(i)));
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeNumberField("ill", members.healthScore());
            out.writeObjectFieldStart("counts");
            for (Count count : counts(transport, claims)) {
                out.writeNumberField(count.name, count.number);
            }
            out.writeEndObject();
            out.writeEndObject();
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
        return text.append('\n').toString();
    }

    private static String state(UdpGossipTransport transport, MembershipList members, int peer) {
        return peer == transport.self()
                ? "self"
                : members.state(peer).name().toLowerCase(Locale.ROOT);
    }

    private static String addressText(PeerRegistry registry, int peer) {
        return registry.address(peer).getAddress().getHostAddress()
                + ":"
                + registry.address(peer).getPort();
    }
}
