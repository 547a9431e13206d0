package dillfront.router;

import dillfront.common.logging.Counters;
import dillfront.common.logging.Log;
import dillfront.router.config.BadConfig;
import dillfront.router.config.Clock;
import dillfront.router.config.Config;
import dillfront.router.config.Setup;
import dillfront.router.config.Tree;
import dillfront.router.discovery.Rereading;
import dillfront.router.discovery.Watch;
import dillfront.router.frontend.Clients;
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

/** Starts one router, keeps it going, and ends it. */
public final class Daemon {

    /** New clients may go on coming so long after the word to end. */
    private static final Duration STILL_COMING = Duration.ofMillis(600);

    /**
     * What is answered last still has to be read by its client, so many dial time-outs after the
     * last expiry.
     */
    private static final int LAST_DIALS = 1;

    private static final Duration MOST_OWED = Duration.ofSeconds(1);

    /** How long the door waits for discovery where some list is known, in dial time-outs. */
    private static final int NEWS_DIALS = 2;

    /**
     * Descriptors that are neither a client's nor a node's: files, the list, the door, the
     * selector.
     */
    private static final int OTHERS = 40;

    /** The part of the memory that messages of clients may take until they are whole. */
    private static final int WAITING_PART = 16;

    /** Where a configuration is read from anew. */
    public interface Source {
        Config read() throws BadConfig;
    }

    private final long beganNanos = System.nanoTime();

    /** Up to here there was one thread: it has taken as much of its core as of the time. */
    private final Duration beganCpu = cpu();

    private final Config config;
    private final OperatorConfig operator;
    private final Log log;
    private final Counters counters = new Counters();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final NioEventLoopGroup group =
            new NioEventLoopGroup(1, new DefaultThreadFactory("router"));
    private final EventLoop loop = group.next();

    /** Where discovery is, by the latest configuration. */
    private InetSocketAddress discovery;

    /** By the latest configuration; on the loop. */
    private Setup setup;

    private Router router;
    private Clients clients;
    private Watch watch;

    /** Where a configuration is read from anew; null where nothing is heard. */
    private volatile Source source;

    /** Where discovery was by the file that was read last; under this object's lock. */
    private String named;

    private final Rereading rereading;

    /** What was wrong with the file when it was last read unasked; under the lock. */
    private String unread = "";

    /** On the loop: the file is being read unasked. */
    private boolean looking;

    /** On the loop, once this router ends: what it took is over by then. */
    private Duration due;

    /** Gossip and the questions about it; null where the operator's file does not ask for it. */
    private volatile Side side;

    public Daemon(Config config, Log log) {
        this(config, OperatorConfig.NONE, log);
    }

    /** Binds the parts of one router; nothing listens before start(). */
    public Daemon(Config config, OperatorConfig operator, Log log) {
        this.config = config;
        this.operator = operator;
        this.log = log;
        discovery = config.discovery();
        setup = config.setup();
        named = config.named();
        rereading = new Rereading(config.setup().settings().connectTimeout());
    }

    Log log() {
        return log;
    }

    /**
     * Hears the platform's words to this process from now on: SIGHUP to read the configuration
     * anew, SIGUSR2 to print.
     */
    public void hear(Source from) {
        source = from;
        Signals.on("HUP", () -> reload(from), log);
        Signals.on("USR2", this::print, log);
    }

    /** Says which of these words never reach this process; after hear(). */
    private void checkSignals() {
        Signals.check("HUP", 1, "a new configuration is found only once discovery is lost", log);
        Signals.check("TERM", 15, "a planned end is not heard, and what is out then is lost", log);
    }

    /** Returns once clients can connect. */
    public void start() throws BadConfig {
        int share = Math.max(2, (config.sockets() - OTHERS) / 2);
        try {
            rest();
            loop.submit(
                            () -> {
                                // By the latest settings, which a word before the start may have
                                // changed.
                                Config begun = config.by(setup);
                                router = new Router(begun, new Clock(), counters, log, loop, share);
                                clients =
                                        new Clients(
                                                router,
                                                router.pace(),
                                                router.clock(),
                                                counters,
                                                log,
                                                loop,
                                                share,
                                                config.sockets() * 3 / 10,
                                                (config.memoryMb() << 20) / WAITING_PART,
                                                config.setup().settings().connectTimeout());
                                side =
                                        operator == OperatorConfig.NONE
                                                ? null
                                                : new Side(
                                                        operator, begun, router, clients, loop,
                                                        log);
                                boolean known = !config.known().list("instances").isEmpty();
                                if (known) {
                                    router.list(config.known());
                                }
                                watch =
                                        new Watch(
                                                discovery,
                                                config.setup().settings().connectTimeout(),
                                                counters,
                                                log,
                                                loop,
                                                known ? config.known().whole("generation") : -1,
                                                new News());
                                router.watch(watch);
                                watch.start();
                                return null;
                            })
                    .sync();
            // What discovery has told is known before the door opens; if it says nothing, the known
            // list will do.
            long due =
                    System.nanoTime()
                            + NEWS_DIALS * config.setup().settings().connectTimeout().toNanos();
            while (!loop.submit(
                            () ->
                                    router.listed()
                                            && (watch.answered() || System.nanoTime() - due > 0))
                    .get()) {
                Thread.sleep(config.setup().settings().clockStep().toMillis() + 1);
            }
            rest();
            loop.submit(() -> clients.open(config.listen())).get().sync();
        } catch (InterruptedException stopped) {
            throw new BadConfig("interrupted");
        } catch (Exception fault) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            if (fault instanceof OperatorConfig.InvalidOperatorConfigException) {
                throw new BadConfig("LB_OPERATOR: " + fault.getMessage());
            }
            throw new BadConfig("LB_LISTEN " + config.listen() + ": " + fault.getMessage());
        }
        if (side != null) {
            loop.execute(side::open);
        }
        checkSignals();
        log.info("serving", "name", config.name(), "listen", config.listen());
    }

    /**
     * Where the limits give part of a core, what the start has taken beyond that is taken back, all
     * at once. Waits until it is, with the door shut: else those who come first wait, 0.4 s on half
     * a core.
     */
    private void rest() throws InterruptedException {
        Duration up = beganCpu.plusNanos(System.nanoTime() - beganNanos);
        Thread.sleep(owed(cpu(), up, config.cores()).toMillis());
    }

    /**
     * For how long nothing may be used until a share of the time covers what was used; a second at
     * the most.
     */
    static Duration owed(Duration used, Duration up, double share) {
        Duration owed = Duration.ofNanos((long) (used.toNanos() / share)).minus(up);
        return owed.isNegative() ? Duration.ZERO : owed.compareTo(MOST_OWED) > 0 ? MOST_OWED : owed;
    }

    /** In ticks of a hundredth of a second, as Linux tells them; zero elsewhere. */
    private static Duration cpu() {
        try {
            String stat = Files.readString(Path.of("/proc/self/stat"), StandardCharsets.ISO_8859_1);
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return Duration.ofMillis(
                    10 * (Long.parseLong(fields[11]) + Long.parseLong(fields[12])));
        } catch (IOException | NumberFormatException none) {
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
        loop.schedule(this::leave, STILL_COMING.toMillis(), TimeUnit.MILLISECONDS);
        try {
            ended.await();
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
        counters.print(log);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * Goes over to the configuration as it is now, if it can be used; at any time, also before the
     * start. One reading after another, so that several words in a row end in the latest file.
     */
    public synchronized void reload(Source source) {
        try {
            goOver(source.read(), "SIGHUP");
        } catch (BadConfig bad) {
            onLoop(() -> log.warn("reload-refused", "fault", bad.getMessage()));
        }
    }

    private void goOver(Config next, String word) throws BadConfig {
        if (side == null || !side.settle(next.setup(), () -> follow(next, word))) {
            onLoop(() -> follow(next, word));
        }
        named = next.named();
    }

    /**
     * What discovery tells goes to the router; where it is lost, the configuration may name another
     * place by now.
     */
    private final class News implements Watch.Listener {

        @Override
        public void list(Tree list) {
            rereading.heard();
            router.list(list);
            router.told();
        }

        @Override
        public void listFailed() {
            router.listFailed();
            if (source != null && !looking && rereading.lost(router.clock().now())) {
                looking = true;
                // Not on the loop, which waits for no disk; rare, so it needs no thread that stays.
                Thread look = new Thread(Daemon.this::lookAgain, "configuration");
                look.setDaemon(true);
                look.start();
            }
        }
    }

    /**
     * Discovery is lost: has the file named another place since it was read? Then the word for it
     * was lost, and counts as given now. A file that cannot be used, or names the same place,
     * changes nothing; nor does LB_DISCOVERY, which held at the start alone.
     */
    private synchronized void lookAgain() {
        try {
            Config next = source.read();
            if (!next.named().equals(named)) {
                goOver(next, "file");
            }
            unread = "";
        } catch (BadConfig bad) {
            if (!unread.equals(bad.getMessage())) {
                unread = bad.getMessage();
                onLoop(() -> log.warn("reload-refused", "fault", bad.getMessage()));
            }
        } finally {
            onLoop(() -> looking = false);
        }
    }

    /** Once the router has ended, what it is told no longer counts. */
    private void onLoop(Runnable then) {
        if (!loop.isShuttingDown()) {
            loop.execute(then);
        }
    }

    /**
     * Txns that were taken go on by the settings of their time; a list that was read by the old
     * ones is asked for anew.
     */
    private void follow(Config next, String word) {
        boolean other = !setup.equals(next.setup());
        log.info(
                "reloaded",
                "by",
                word,
                "discovery",
                next.discovery(),
                "settings",
                other ? "changed" : "same",
                "kept_as_at_start",
                config.fixed(next));
        setup = next.setup();
        if (other && router != null) {
            router.settings(setup);
        }
        if (other || !discovery.equals(next.discovery())) {
            discovery = next.discovery();
            if (watch != null) {
                watch.move(discovery);
            }
        }
    }

    /** On request. */
    public void print() {
        loop.execute(() -> counters.print(log));
    }

    private void leave() {
        try {
            clients.leave();
            Duration now = router.clock().now();
            due =
                    (router.owedUntil().compareTo(now) > 0 ? router.owedUntil() : now)
                            .plus(setup.settings().connectTimeout().multipliedBy(LAST_DIALS));
        } finally {
            lookIfOver();
        }
    }

    private void lookIfOver() {
        boolean over = false;
        try {
            over = clients.empty() && counters.openTransactions == 0;
        } catch (RuntimeException fault) {
            // It would vanish in the timer's future, and the end with it.
            log.warn("end", "fault", fault);
        }
        if (!over && due != null && router.clock().now().compareTo(due) < 0) {
            loop.schedule(
                    this::lookIfOver,
                    config.setup().settings().clockStep().toNanos(),
                    TimeUnit.NANOSECONDS);
            return;
        }
        try {
            if (!over) {
                log.warn(
                        "stopped-with-work",
                        "txns",
                        counters.openTransactions,
                        "clients",
                        counters.clientConnections);
            }
            watch.close();
            if (side != null) {
                side.close();
            }
            router.close();
        } finally {
            ended.countDown();
        }
    }
}
