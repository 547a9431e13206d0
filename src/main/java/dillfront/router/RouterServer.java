package dillfront.router;

import dillfront.common.logging.Counters;
import dillfront.common.logging.Log;
import dillfront.router.config.ConfigException;
import dillfront.router.config.JsonObject;
import dillfront.router.config.MonotonicClock;
import dillfront.router.config.RouterConfig;
import dillfront.router.config.RouterSettings;
import dillfront.router.discovery.ConfigReloadBackoff;
import dillfront.router.discovery.DiscoveryClient;
import dillfront.router.frontend.ClientListener;
import dillfront.router.operator.OperatorConfig;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Runs one router: starts it, reloads its configuration and shuts it down. */
public final class RouterServer {

    /** New clients are accepted for this long after the shutdown request. */
    private static final Duration SHUTDOWN_ACCEPT_TIME = Duration.ofMillis(600);

    /** Time for clients to read their last response, in connect timeouts after the last expiry. */
    private static final int SHUTDOWN_GRACE_CONNECT_TIMEOUTS = 1;

    private static final Duration MAX_CPU_DEBT = Duration.ofSeconds(1);

    /**
     * How long the start waits for discovery if a member list is already known, in connect
     * timeouts.
     */
    private static final int FIRST_LIST_CONNECT_TIMEOUTS = 2;

    /**
     * Descriptors used neither by clients nor by nodes: files, discovery, the listener, the
     * selector.
     */
    private static final int RESERVED_DESCRIPTORS = 40;

    /** Divisor of the memory limit that bounds the incomplete client messages held in total. */
    private static final int PARTIAL_MESSAGE_MEMORY_DIVISOR = 16;

    /** Source from which the configuration is read again. */
    public interface ConfigSource {
        RouterConfig read() throws ConfigException;
    }

    private final long startNanos = System.nanoTime();

    /**
     * CPU time when the constructor ran; counted as the uptime until then, since the only thread
     * was busy throughout.
     */
    private final Duration startCpuTime = cpuTime();

    private final RouterConfig config;
    private final OperatorConfig operator;
    private final Log log;
    private final Counters counters = new Counters();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final NioEventLoopGroup eventLoopGroup =
            new NioEventLoopGroup(1, new DefaultThreadFactory("router"));
    private final EventLoop loop = eventLoopGroup.next();

    /** Discovery address of the latest configuration. */
    private InetSocketAddress discovery;

    /** Settings of the latest configuration; accessed on the event loop. */
    private RouterSettings settings;

    private Router router;
    private ClientListener clientListener;
    private DiscoveryClient discoveryClient;

    /** Source for reloads; null if signals are not registered. */
    private volatile ConfigSource configSource;

    /** Discovery address named by the last file read; guarded by this object's lock. */
    private String configuredDiscovery;

    private final ConfigReloadBackoff reloadBackoff;

    /**
     * Error of the last automatic reload, logged once per change; guarded by this object's lock.
     */
    private String lastReloadError = "";

    /** Whether an automatic reload is running; accessed on the event loop. */
    private boolean reloadInProgress;

    /** Time by which all accepted transactions are over; set on the event loop at shutdown. */
    private Duration shutdownDeadline;

    /**
     * Gossip, authentication, persistent state and the admin server; null if the operator's file
     * does not enable them.
     */
    private volatile OptionalServices optionalServices;

    public RouterServer(RouterConfig config, Log log) {
        this(config, OperatorConfig.NONE, log);
    }

    /** Creates a router; nothing listens before start(). */
    public RouterServer(RouterConfig config, OperatorConfig operator, Log log) {
        this.config = config;
        this.operator = operator;
        this.log = log;
        discovery = config.discovery();
        settings = config.settings();
        configuredDiscovery = config.configuredDiscovery();
        reloadBackoff = new ConfigReloadBackoff(config.settings().routing().connectTimeout());
    }

    Log log() {
        return log;
    }

    /** Registers signal handlers: SIGHUP reloads the configuration, SIGUSR2 prints the counters. */
    public void registerSignals(ConfigSource newSource) {
        configSource = newSource;
        SignalHandlers.register("HUP", () -> reload(newSource), log);
        SignalHandlers.register("USR2", this::printCounters, log);
    }

    /** Warns of signals that the process ignores. Call after registerSignals(). */
    private void checkSignals() {
        SignalHandlers.warnIfIgnored(
                "HUP", 1, "a configuration reload happens only after discovery is lost", log);
        SignalHandlers.warnIfIgnored(
                "TERM",
                15,
                "a shutdown request has no effect, and transactions in flight are lost",
                log);
    }

    /** Starts the router; returns once clients can connect. */
    public void start() throws ConfigException {
        int connectionsPerSide = Math.max(2, (config.maxDescriptors() - RESERVED_DESCRIPTORS) / 2);
        try {
            payBackCpuDebt();
            loop.submit(
                            () -> {
                                // Uses the latest settings, which a reload before the start may
                                // have changed.
                                RouterConfig initialConfig = config.withSettings(settings);
                                router =
                                        new Router(
                                                initialConfig,
                                                new MonotonicClock(),
                                                counters,
                                                log,
                                                loop,
                                                connectionsPerSide);
                                clientListener =
                                        new ClientListener(
                                                router,
                                                router.loopLag(),
                                                router.clock(),
                                                counters,
                                                log,
                                                loop,
                                                connectionsPerSide,
                                                config.maxDescriptors() * 3 / 10,
                                                (config.memoryMb() << 20)
                                                        / PARTIAL_MESSAGE_MEMORY_DIVISOR,
                                                config.settings().routing().connectTimeout());
                                optionalServices =
                                        operator == OperatorConfig.NONE
                                                ? null
                                                : new OptionalServices(
                                                        operator,
                                                        initialConfig,
                                                        router,
                                                        clientListener,
                                                        loop,
                                                        log);
                                boolean hasKnownMembers =
                                        !config.initialMembers().getList("instances").isEmpty();
                                if (hasKnownMembers) {
                                    router.listReceived(config.initialMembers());
                                }
                                discoveryClient =
                                        new DiscoveryClient(
                                                discovery,
                                                config.settings().routing().connectTimeout(),
                                                counters,
                                                log,
                                                loop,
                                                hasKnownMembers
                                                        ? config.initialMembers()
                                                                .getLong("generation")
                                                        : -1,
                                                new DiscoveryListener());
                                router.setDiscoveryClient(discoveryClient);
                                discoveryClient.start();
                                return null;
                            })
                    .sync();
            // The listener opens after the first response of discovery; if there is none in time,
            // the configured member list is used.
            long listDeadline =
                    System.nanoTime()
                            + FIRST_LIST_CONNECT_TIMEOUTS
                                    * config.settings().routing().connectTimeout().toNanos();
            while (!loop.submit(
                            () ->
                                    router.hasMemberList()
                                            && (discoveryClient.hasAnswered()
                                                    || System.nanoTime() - listDeadline > 0))
                    .get()) {
                Thread.sleep(config.settings().routing().clockStep().toMillis() + 1);
            }
            payBackCpuDebt();
            loop.submit(() -> clientListener.open(config.listen())).get().sync();
        } catch (InterruptedException e) {
            throw new ConfigException("interrupted");
        } catch (Exception e) {
            eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            if (e instanceof OperatorConfig.InvalidOperatorConfigException) {
                throw new ConfigException("LB_OPERATOR: " + e.getMessage());
            }
            throw new ConfigException("LB_LISTEN " + config.listen() + ": " + e.getMessage());
        }
        if (optionalServices != null) {
            loop.execute(optionalServices::open);
        }
        checkSignals();
        log.info("serving", "name", config.name(), "listen", config.listen());
    }

    /**
     * Pays back the CPU time that the start used beyond the CPU limit, in one pause before the
     * listener opens. Without it the first clients wait instead: 0.4 s at half a core.
     */
    private void payBackCpuDebt() throws InterruptedException {
        Duration uptime = startCpuTime.plusNanos(System.nanoTime() - startNanos);
        Thread.sleep(cpuDebt(cpuTime(), uptime, config.cpuCores()).toMillis());
    }

    /**
     * Returns how long the process must stay idle until its CPU share covers the CPU time used; at
     * most one second.
     */
    static Duration cpuDebt(Duration used, Duration uptime, double cpuShare) {
        Duration debt = Duration.ofNanos((long) (used.toNanos() / cpuShare)).minus(uptime);
        return debt.isNegative()
                ? Duration.ZERO
                : debt.compareTo(MAX_CPU_DEBT) > 0 ? MAX_CPU_DEBT : debt;
    }

    /**
     * Returns the CPU time of this process in clock ticks of 10 ms, from Linux's /proc; zero on
     * other systems.
     */
    private static Duration cpuTime() {
        try {
            String stat = Files.readString(Path.of("/proc/self/stat"), StandardCharsets.ISO_8859_1);
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return Duration.ofMillis(
                    10 * (Long.parseLong(fields[11]) + Long.parseLong(fields[12])));
        } catch (IOException | NumberFormatException e) {
            return Duration.ZERO;
        }
    }

    /**
     * Shuts the router down: keeps serving while clients still arrive, then completes every
     * accepted transaction, since ending earlier would lose it. The time is bounded by the latest
     * expiry in flight rather than by a constant.
     */
    public void stop() {
        log.info("stopping", "name", config.name());
        loop.schedule(this::beginShutdown, SHUTDOWN_ACCEPT_TIME.toMillis(), TimeUnit.MILLISECONDS);
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        counters.print(log);
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * Reloads the configuration if it is valid; may be called at any time, also before the start.
     * Reloads are serialized, so that several requests in a row end with the latest file.
     */
    public synchronized void reload(ConfigSource source) {
        try {
            switchTo(source.read(), "SIGHUP");
        } catch (ConfigException e) {
            runOnLoop(() -> log.warn("reload-refused", "fault", e.getMessage()));
        }
    }

    private void switchTo(RouterConfig newConfig, String trigger) throws ConfigException {
        if (optionalServices == null
                || !optionalServices.applySettings(
                        newConfig.settings(), () -> applyConfig(newConfig, trigger))) {
            runOnLoop(() -> applyConfig(newConfig, trigger));
        }
        configuredDiscovery = newConfig.configuredDiscovery();
    }

    /**
     * Passes member lists to the router and, when discovery is lost, checks whether the
     * configuration names another address.
     */
    private final class DiscoveryListener implements DiscoveryClient.Listener {

        @Override
        public void listReceived(JsonObject list) {
            reloadBackoff.reset();
            router.listReceived(list);
            router.reported();
        }

        @Override
        public void listFailed() {
            router.listFailed();
            if (configSource != null
                    && !reloadInProgress
                    && reloadBackoff.shouldReload(router.clock().now())) {
                reloadInProgress = true;
                // Not on the event loop, which must not block on disk I/O; rare enough to need no
                // permanent thread.
                Thread reloadThread =
                        new Thread(RouterServer.this::reloadAfterDiscoveryLoss, "configuration");
                reloadThread.setDaemon(true);
                reloadThread.start();
            }
        }
    }

    /**
     * Applies the configuration file if it names another discovery address than the last one read:
     * the SIGHUP for that change was lost. A file that is invalid or names the same address changes
     * nothing. LB_DISCOVERY is ignored, since it applies to the start only.
     */
    private synchronized void reloadAfterDiscoveryLoss() {
        try {
            RouterConfig newConfig = configSource.read();
            if (!newConfig.configuredDiscovery().equals(configuredDiscovery)) {
                switchTo(newConfig, "file");
            }
            lastReloadError = "";
        } catch (ConfigException e) {
            if (!lastReloadError.equals(e.getMessage())) {
                lastReloadError = e.getMessage();
                runOnLoop(() -> log.warn("reload-refused", "fault", e.getMessage()));
            }
        } finally {
            runOnLoop(() -> reloadInProgress = false);
        }
    }

    /** Runs the task on the event loop; ignored once the loop is shutting down. */
    private void runOnLoop(Runnable task) {
        if (!loop.isShuttingDown()) {
            loop.execute(task);
        }
    }

    /**
     * Applies a new configuration. Accepted transactions keep the settings they were accepted with;
     * a member list parsed under the old settings is requested again.
     */
    private void applyConfig(RouterConfig newConfig, String trigger) {
        boolean settingsChanged = !settings.equals(newConfig.settings());
        log.info(
                "reloaded",
                "by",
                trigger,
                "discovery",
                newConfig.discovery(),
                "settings",
                settingsChanged ? "changed" : "same",
                "kept_as_at_start",
                config.restartOnlyFields(newConfig));
        settings = newConfig.settings();
        if (settingsChanged && router != null) {
            router.applySettings(settings);
        }
        if (settingsChanged || !discovery.equals(newConfig.discovery())) {
            discovery = newConfig.discovery();
            if (discoveryClient != null) {
                discoveryClient.changeAddress(discovery);
            }
        }
    }

    /** Prints the counters. */
    public void printCounters() {
        loop.execute(() -> counters.print(log));
    }

    private void beginShutdown() {
        try {
            clientListener.beginShutdown();
            Duration now = router.clock().now();
            shutdownDeadline =
                    (router.lastExpiry().compareTo(now) > 0 ? router.lastExpiry() : now)
                            .plus(
                                    settings.routing()
                                            .connectTimeout()
                                            .multipliedBy(SHUTDOWN_GRACE_CONNECT_TIMEOUTS));
        } finally {
            finishShutdownIfIdle();
        }
    }

    private void finishShutdownIfIdle() {
        boolean drained = false;
        try {
            drained = clientListener.closeIdleAndCheckEmpty() && counters.openTransactions == 0;
        } catch (RuntimeException e) {
            // An exception in a timer task would be stored in its future unnoticed, and the
            // shutdown would never complete.
            log.warn("end", "fault", e);
        }
        if (!drained
                && shutdownDeadline != null
                && router.clock().now().compareTo(shutdownDeadline) < 0) {
            loop.schedule(
                    this::finishShutdownIfIdle,
                    config.settings().routing().clockStep().toNanos(),
                    TimeUnit.NANOSECONDS);
            return;
        }
        try {
            if (!drained) {
                log.warn(
                        "stopped-with-work",
                        "txns",
                        counters.openTransactions,
                        "clients",
                        counters.clientConnections);
            }
            discoveryClient.close();
            if (optionalServices != null) {
                optionalServices.close();
            }
            router.close();
        } finally {
            stopped.countDown();
        }
    }
}
