package dillfront.router;

import dillfront.common.logging.Counters;
import dillfront.common.logging.Log;
import dillfront.router.config.ConfigException;
import dillfront.router.config.MonotonicClock;
import dillfront.router.config.RouterConfig;
import dillfront.router.config.RouterSettings;
import dillfront.router.config.JsonObject;
import dillfront.router.discovery.ConfigReloadBackoff;
import dillfront.router.discovery.DiscoveryClient;
import dillfront.router.frontend.ClientListener;
import dillfront.router.operator.Operator;
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

/** Starts one router, keeps it going, and ends it. */
public final class RouterServer {

    /** New clients may go on coming so long after the word to end. */
    private static final Duration SHUTDOWN_ACCEPT_TIME = Duration.ofMillis(600);

    /**
     * What is answered last still has to be read by its client, so many dial time-outs after the
     * last expiry.
     */
    private static final int SHUTDOWN_GRACE_CONNECT_TIMEOUTS = 1;

    private static final Duration MAX_CPU_DEBT = Duration.ofSeconds(1);

    /** How long the door waits for discovery where some list is known, in dial time-outs. */
    private static final int FIRST_LIST_CONNECT_TIMEOUTS = 2;

    /**
     * Descriptors that are neither a client's nor a node's: files, the list, the door, the
     * selector.
     */
    private static final int RESERVED_DESCRIPTORS = 40;

    /** The part of the memory that messages of clients may take until they are whole. */
    private static final int PARTIAL_MESSAGE_MEMORY_DIVISOR = 16;

    /** Where a configuration is read from anew. */
    public interface ConfigSource {
        RouterConfig read() throws ConfigException;
    }

    private final long startNanos = System.nanoTime();

    /** Up to here there was one thread: it has taken as much of its core as of the time. */
    private final Duration startCpuTime = cpuTime();

    private final RouterConfig config;
    private final Operator operator;
    private final Log log;
    private final Counters counters = new Counters();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final NioEventLoopGroup group =
            new NioEventLoopGroup(1, new DefaultThreadFactory("router"));
    private final EventLoop loop = group.next();

    /** Where discovery is, by the latest configuration. */
    private InetSocketAddress discovery;

    /** By the latest configuration; on the loop. */
    private RouterSettings settings;

    private Router router;
    private ClientListener clientListener;
    private DiscoveryClient discoveryClient;

    /** Where a configuration is read from anew; null where nothing is heard. */
    private volatile ConfigSource configSource;

    /** Where discovery was by the file that was read last; under this object's lock. */
    private String configuredDiscovery;

    private final ConfigReloadBackoff reloadBackoff;

    /** What was wrong with the file when it was last read unasked; under the lock. */
    private String lastReloadError = "";

    /** On the loop: the file is being read unasked. */
    private boolean reloadInProgress;

    /** On the loop, once this router ends: what it took is over by then. */
    private Duration shutdownDeadline;

    /** Gossip and the questions about it; null where the operator's file does not ask for it. */
    private volatile OptionalServices optionalServices;

    public RouterServer(RouterConfig config, Log log) {
        this(config, Operator.NONE, log);
    }

    /** Binds the parts of one router; nothing listens before start(). */
    public RouterServer(RouterConfig config, Operator operator, Log log) {
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

    /**
     * Hears the platform's words to this process from now on: SIGHUP to read the configuration
     * anew, SIGUSR2 to print.
     */
    public void registerSignals(ConfigSource newSource) {
        configSource = newSource;
        SignalHandlers.register("HUP", () -> reload(newSource), log);
        SignalHandlers.register("USR2", this::printCounters, log);
    }

    /** Says which of these words never reach this process; after hear(). */
    private void checkSignals() {
        SignalHandlers.warnIfIgnored("HUP", 1, "a new configuration is found only once discovery is lost", log);
        SignalHandlers.warnIfIgnored("TERM", 15, "a planned end is not heard, and what is out then is lost", log);
    }

    /** Returns once clients can connect. */
    public void start() throws ConfigException {
        int connectionsPerSide = Math.max(2, (config.maxDescriptors() - RESERVED_DESCRIPTORS) / 2);
        try {
            waitOutCpuDebt();
            loop.submit(
                            () -> {
                                // By the latest settings, which a word before the start may have
                                // changed.
                                RouterConfig initialConfig = config.withSettings(settings);
                                router = new Router(initialConfig, new MonotonicClock(), counters, log, loop, connectionsPerSide);
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
                                                (config.memoryMb() << 20) / PARTIAL_MESSAGE_MEMORY_DIVISOR,
                                                config.settings().routing().connectTimeout());
                                optionalServices =
                                        operator == Operator.NONE
                                                ? null
                                                : new OptionalServices(
                                                        operator, initialConfig, router, clientListener, loop,
                                                        log);
                                boolean hasKnownMembers = !config.initialMembers().getList("instances").isEmpty();
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
                                                hasKnownMembers ? config.initialMembers().getLong("generation") : -1,
                                                new DiscoveryListener());
                                router.setDiscoveryClient(discoveryClient);
                                discoveryClient.start();
                                return null;
                            })
                    .sync();
            // What discovery has told is known before the door opens; if it says nothing, the known
            // list will do.
            long listDeadline =
                    System.nanoTime()
                            + FIRST_LIST_CONNECT_TIMEOUTS * config.settings().routing().connectTimeout().toNanos();
            while (!loop.submit(
                            () ->
                                    router.hasMemberList()
                                            && (discoveryClient.hasAnswered() || System.nanoTime() - listDeadline > 0))
                    .get()) {
                Thread.sleep(config.settings().routing().clockStep().toMillis() + 1);
            }
            waitOutCpuDebt();
            loop.submit(() -> clientListener.open(config.listen())).get().sync();
        } catch (InterruptedException e) {
            throw new ConfigException("interrupted");
        } catch (Exception e) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            if (e instanceof Operator.BadOperator) {
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
     * Where the limits give part of a core, what the start has taken beyond that is taken back, all
     * at once. Waits until it is, with the door shut: else those who come first wait, 0.4 s on half
     * a core.
     */
    private void waitOutCpuDebt() throws InterruptedException {
        Duration uptime = startCpuTime.plusNanos(System.nanoTime() - startNanos);
        Thread.sleep(cpuDebt(cpuTime(), uptime, config.cpuCores()).toMillis());
    }

    /**
     * For how long nothing may be used until a share of the time covers what was used; a second at
     * the most.
     */
    static Duration cpuDebt(Duration used, Duration uptime, double cpuShare) {
        Duration debt = Duration.ofNanos((long) (used.toNanos() / cpuShare)).minus(uptime);
        return debt.isNegative() ? Duration.ZERO : debt.compareTo(MAX_CPU_DEBT) > 0 ? MAX_CPU_DEBT : debt;
    }

    /** In ticks of a hundredth of a second, as Linux tells them; zero elsewhere. */
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
     * Goes on serving while clients still come, then finishes all that was taken, however long its
     * clients wait: what ends a router before that would lose it. Bounded by the last expiry that
     * is out, and by no figure.
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
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * Goes over to the configuration as it is now, if it can be used; at any time, also before the
     * start. One reading after another, so that several words in a row end in the latest file.
     */
    public synchronized void reload(ConfigSource source) {
        try {
            switchTo(source.read(), "SIGHUP");
        } catch (ConfigException e) {
            runOnLoop(() -> log.warn("reload-refused", "fault", e.getMessage()));
        }
    }

    private void switchTo(RouterConfig newConfig, String trigger) throws ConfigException {
        if (optionalServices == null || !optionalServices.applySettings(newConfig.settings(), () -> applyConfig(newConfig, trigger))) {
            runOnLoop(() -> applyConfig(newConfig, trigger));
        }
        configuredDiscovery = newConfig.configuredDiscovery();
    }

    /**
     * What discovery tells goes to the router; where it is lost, the configuration may name another
     * place by now.
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
            if (configSource != null && !reloadInProgress && reloadBackoff.shouldReload(router.clock().now())) {
                reloadInProgress = true;
                // Not on the loop, which waits for no disk; rare, so it needs no thread that stays.
                Thread reloadThread = new Thread(RouterServer.this::reloadAfterDiscoveryLoss, "configuration");
                reloadThread.setDaemon(true);
                reloadThread.start();
            }
        }
    }

    /**
     * Discovery is lost: has the file named another place since it was read? Then the word for it
     * was lost, and counts as given now. A file that cannot be used, or names the same place,
     * changes nothing; nor does LB_DISCOVERY, which held at the start alone.
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

    /** Once the router has ended, what it is told no longer counts. */
    private void runOnLoop(Runnable task) {
        if (!loop.isShuttingDown()) {
            loop.execute(task);
        }
    }

    /**
     * Txns that were taken go on by the settings of their time; a list that was read by the old
     * ones is asked for anew.
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

    /** On request. */
    public void printCounters() {
        loop.execute(() -> counters.print(log));
    }

    private void beginShutdown() {
        try {
            clientListener.beginShutdown();
            Duration now = router.clock().now();
            shutdownDeadline =
                    (router.lastExpiry().compareTo(now) > 0 ? router.lastExpiry() : now)
                            .plus(settings.routing().connectTimeout().multipliedBy(SHUTDOWN_GRACE_CONNECT_TIMEOUTS));
        } finally {
            finishShutdownIfIdle();
        }
    }

    private void finishShutdownIfIdle() {
        boolean drained = false;
        try {
            drained = clientListener.closeIdleAndCheckEmpty() && counters.txns == 0;
        } catch (RuntimeException e) {
            // It would vanish in the timer's future, and the end with it.
            log.warn("end", "fault", e);
        }
        if (!drained && shutdownDeadline != null && router.clock().now().compareTo(shutdownDeadline) < 0) {
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
                        counters.txns,
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
