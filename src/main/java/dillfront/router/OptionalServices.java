package dillfront.router;

import dillfront.common.logging.Log;
import dillfront.router.admin.AdminServer;
import dillfront.router.config.ConfigException;
import dillfront.router.config.RouterConfig;
import dillfront.router.config.RouterSettings;
import dillfront.router.discovery.PeerClosureReports;
import dillfront.router.frontend.ClientListener;
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
 * Holds the services that the operator's file enables: gossip, the loopback admin server,
 * authentication, persistent state and recovery. Runs on the event loop, except for the
 * constructor.
 */
final class OptionalServices {

    private final PeerHealthExchange peerHealth;
    private final UdpGossipTransport gossipTransport;
    private final AdminServer adminServer;
    private final FileClientAuthenticator authenticator;

    /** Null if no state is persisted. */
    private final RouterStateStore store;

    private final RecoveryCoordinator recovery;

    OptionalServices(
            OperatorConfig operator,
            RouterConfig config,
            Router router,
            ClientListener clients,
            EventLoop loop,
            Log log)
            throws OperatorConfig.InvalidOperatorConfigException {
        String name = config.name();
        long seed = config.seed();
        authenticator =
                operator.identity() == null
                        ? null
                        : new FileClientAuthenticator(
                                operator.file(),
                                operator,
                                config.settings(),
                                seed,
                                router.clock(),
                                loop,
                                log);
        if (authenticator != null) {
            clients.setAuthenticator(authenticator);
        }
        store =
                operator.stateFolder() == null
                        ? null
                        : RouterStateStore.open(operator.stateFolder(), name, log, loop);
        if (store != null) {
            router.configureMemberList(
                    members -> {
                        store.closings()
                                .forEach(
                                        c ->
                                                members.restoreClosed(
                                                        c.id(),
                                                        c.standing(),
                                                        c.startedMs(),
                                                        c.generation()));
                        members.setClosureListener(store);
                    });
        }
        recovery =
                store == null && operator.inDoubtBounds() == null && !operator.assessesSites()
                        ? null
                        : new RecoveryCoordinator(
                                operator.inDoubtBounds(),
                                store,
                                operator.assessesSites(),
                                config.settings(),
                                router.clock().now(),
                                log);
        if (recovery != null) {
            router.setRecovery(recovery, store == null ? null : store::whenKept);
        }
        OperatorConfig.GossipSection gossip = operator.gossip();
        if (gossip == null) {
            peerHealth = null;
            gossipTransport = null;
        } else {
            int selfIndex = gossip.selfIndex(name);
            PeerRegistry peers = gossip.ring();
            peerHealth = new PeerHealthExchange(gossip.tuning(), peers.size(), router);
            gossipTransport =
                    new UdpGossipTransport(
                            gossip.tuning(),
                            peers,
                            selfIndex,
                            gossip.bindAddress(),
                            PeerRegistry.keyId(HexFormat.of().parseHex(gossip.publicKey())),
                            gossip.privateKey(),
                            loop,
                            log,
                            router.clock()::now,
                            () -> Duration.ofMillis(router.clock().unixMillis()),
                            new SplittableRandom(~seed),
                            (claim, age) -> peerHealth.onClaim(claim, age, router.clock().now()));
            peerHealth.setGossip(gossipTransport::gossip);
            router.setPeerHealth(peerHealth);
            PeerInDoubtKeys peerKeys =
                    operator.inDoubtBounds() == null
                            ? null
                            : new PeerInDoubtKeys(
                                    peers.size(), operator.inDoubtBounds().retention());
            if (peerKeys != null) {
                recovery.peerInDoubtKeys(peerKeys);
            }
            gossipTransport.setRestrictions(
                    new PeerRestrictionSync(
                            peerKeys == null ? null : recovery.inDoubtKeys(),
                            peerKeys,
                            new PeerClosureReports(gossip.tuning().toleratedLiars()),
                            router,
                            router.clock()::now));
        }
        adminServer =
                operator.controlAddress() == null
                        ? null
                        : new AdminServer(
                                loop,
                                operator.controlAddress(),
                                log,
                                query ->
                                        switch (query) {
                                            case "peers" ->
                                                    gossipTransport == null
                                                            ? "gossip is off\n"
                                                            : PeerStatusReport.table(
                                                                    gossipTransport, peerHealth);
                                            case "peers json" ->
                                                    gossipTransport == null
                                                            ? "{}\n"
                                                            : PeerStatusReport.json(
                                                                    gossipTransport, peerHealth);
                                            case "status" ->
                                                    recovery == null
                                                            ? "memory, doubts and sites are off\n"
                                                            : StatusFormatter.toText(
                                                                    recovery.status(
                                                                            router.closedNodes(),
                                                                            router.reporters()));
                                            case "status json" ->
                                                    recovery == null
                                                            ? "{}\n"
                                                            : StatusFormatter.toJson(
                                                                    recovery.status(
                                                                            router.closedNodes(),
                                                                            router.reporters()));
                                            default ->
                                                    "unknown question; known: peers, peers json, status, status json\n";
                                        });
    }

    /**
     * Applies the settings to the parts that depend on them. Returns false if there are none;
     * otherwise runs the task together with the re-read permissions, or throws and changes nothing.
     */
    boolean applySettings(RouterSettings newSettings, Runnable task) throws ConfigException {
        if (authenticator == null) {
            return false;
        }
        authenticator.applySettings(newSettings, task);
        return true;
    }

    void open() {
        if (gossipTransport != null) {
            gossipTransport.open();
        }
        if (adminServer != null) {
            adminServer.open();
        }
    }

    void close() {
        if (gossipTransport != null) {
            gossipTransport.close();
        }
        if (adminServer != null) {
            adminServer.close();
        }
        if (authenticator != null) {
            authenticator.close();
        }
        if (store != null) {
            store.close();
        }
    }
}
