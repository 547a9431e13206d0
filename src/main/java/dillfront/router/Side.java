package dillfront.router;

import dillfront.common.logging.Log;
import dillfront.router.admin.Control;
import dillfront.router.config.BadConfig;
import dillfront.router.config.Config;
import dillfront.router.config.Setup;
import dillfront.router.discovery.Witnesses;
import dillfront.router.frontend.Clients;
import dillfront.router.memory.RouterStateStore;
import dillfront.router.operator.OperatorConfig;
import dillfront.router.peers.PeerHealthExchange;
import dillfront.router.peers.PeerRegistry;
import dillfront.router.peers.PeerRestrictionSync;
import dillfront.router.peers.PeerStatusReport;
import dillfront.router.peers.UdpGossipTransport;
import dillfront.router.recovery.PeerInDoubtKeys;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HexFormat;
import java.util.SplittableRandom;

/**
 * What the operator's file adds to a router: gossip, and a door for questions on loopback. On the
 * loop but for its making.
 */
final class Side {

    private final PeerHealthExchange neighbours;
    private final UdpGossipTransport datagrams;
    private final Control control;
    private final Doorkeeper doorkeeper;

    /** Null where nothing is remembered. */
    private final RouterStateStore memory;

    private final Ledger ledger;

    Side(
            OperatorConfig operator,
            Config config,
            Router router,
            Clients clients,
            EventLoop loop,
            Log log)
            throws OperatorConfig.InvalidOperatorConfigException {
        String name = config.name();
        long seed = config.seed();
        doorkeeper =
                operator.identity() == null
                        ? null
                        : new Doorkeeper(
                                operator.file(),
                                operator,
                                config.setup(),
                                seed,
                                router.clock(),
                                loop,
                                log);
        if (doorkeeper != null) {
            clients.ask(doorkeeper);
        }
        memory =
                operator.stateFolder() == null
                        ? null
                        : RouterStateStore.open(operator.stateFolder(), name, log, loop);
        if (memory != null) {
            router.remembers(
                    members -> {
                        memory.closings()
                                .forEach(
                                        c ->
                                                members.recall(
                                                        c.id(),
                                                        c.standing(),
                                                        c.startedMs(),
                                                        c.generation()));
                        members.keeper(memory);
                    });
        }
        ledger =
                memory == null
                                && operator.uncertainTransactionBounds() == null
                                && !operator.assessesSites()
                        ? null
                        : new Ledger(
                                operator.uncertainTransactionBounds(),
                                memory,
                                operator.assessesSites(),
                                config.setup(),
                                router.clock().now(),
                                log);
        if (ledger != null) {
            router.keeps(ledger, memory == null ? null : memory::whenKept);
        }
        OperatorConfig.GossipSection gossip = operator.gossip();
        if (gossip == null) {
            neighbours = null;
            datagrams = null;
        } else {
            int self = gossip.selfIndex(name);
            PeerRegistry ring = gossip.ring();
            neighbours = new PeerHealthExchange(gossip.tuning(), ring.size(), router);
            datagrams =
                    new UdpGossipTransport(
                            gossip.tuning(),
                            ring,
                            self,
                            gossip.bindAddress(),
                            PeerRegistry.keyId(HexFormat.of().parseHex(gossip.publicKey())),
                            gossip.privateKey(),
                            loop,
                            log,
                            router.clock()::now,
                            () -> Duration.ofMillis(router.clock().unixMillis()),
                            new SplittableRandom(~seed),
                            (word, age) ->
                                    neighbours.receiveClaim(word, age, router.clock().now()));
            neighbours.setGossip(datagrams::gossip);
            router.hears(neighbours);
            PeerInDoubtKeys others =
                    operator.uncertainTransactionBounds() == null
                            ? null
                            : new PeerInDoubtKeys(
                                    ring.size(), operator.uncertainTransactionBounds().retention());
            if (others != null) {
                ledger.others(others);
            }
            datagrams.setRestrictions(
                    new PeerRestrictionSync(
                            others == null ? null : ledger.doubts(),
                            others,
                            new Witnesses(gossip.tuning().toleratedLiars()),
                            router,
                            router.clock()::now));
        }
        control =
                operator.controlAddress() == null
                        ? null
                        : new Control(
                                loop,
                                operator.controlAddress(),
                                log,
                                question ->
                                        switch (question) {
                                            case "peers" ->
                                                    datagrams == null
                                                            ? "gossip is off\n"
                                                            : PeerStatusReport.table(
                                                                    datagrams, neighbours);
                                            case "peers json" ->
                                                    datagrams == null
                                                            ? "{}\n"
                                                            : PeerStatusReport.json(
                                                                    datagrams, neighbours);
                                            case "status" ->
                                                    ledger == null
                                                            ? "memory, doubts and sites are off\n"
                                                            : Status.table(
                                                                    ledger.status(
                                                                            router.closings(),
                                                                            router.witnesses()));
                                            case "status json" ->
                                                    ledger == null
                                                            ? "{}\n"
                                                            : Status.json(
                                                                    ledger.status(
                                                                            router.closings(),
                                                                            router.witnesses()));
                                            default ->
                                                    "unknown question; known: peers, peers json, status, status json\n";
                                        });
    }

    /**
     * False where nothing here goes by the settings; else what follows happens with the rights read
     * anew, or not at all.
     */
    boolean settle(Setup next, Runnable then) throws BadConfig {
        if (doorkeeper == null) {
            return false;
        }
        doorkeeper.settle(next, then);
        return true;
    }

    void open() {
        if (datagrams != null) {
            datagrams.open();
        }
        if (control != null) {
            control.open();
        }
    }

    void close() {
        if (datagrams != null) {
            datagrams.close();
        }
        if (control != null) {
            control.close();
        }
        if (doorkeeper != null) {
            doorkeeper.close();
        }
        if (memory != null) {
            memory.close();
        }
    }
}
