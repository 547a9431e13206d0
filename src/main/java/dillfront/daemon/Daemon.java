package dillfront.daemon;

import dillfront.clients.Clients;
import dillfront.config.BadConfig;
import dillfront.config.Clock;
import dillfront.config.Config;
import dillfront.config.Setup;
import dillfront.list.Watch;
import dillfront.log.Counters;
import dillfront.log.Log;
import dillfront.operator.Operator;
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
    /** What kills those that do not end comes no sooner than 3.7 s after the word. */
    private static final Duration MOST_TO_END = Duration.ofMillis(3500);
    private static final Duration MOST_OWED = Duration.ofSeconds(1);
    /** How long the door waits for discovery where some list is known, in dial time-outs. */
    private static final int NEWS_DIALS = 2;
    /** Descriptors that are neither a client's nor a node's: files, the list, the door, the selector. */
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
    private final Operator operator;
    private final Log log;
    private final Counters counters = new Counters();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final NioEventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("router"));
    private final EventLoop loop = group.next();
    /** Where discovery is, by the latest configuration. */
    private InetSocketAddress discovery;
    /** By the latest configuration; on the loop. */
    private Setup setup;
    private Router router;
    private Clients clients;
    private Watch watch;
    /** Gossip and the questions about it; null where the operator's file does not ask for it. */
    private volatile Side side;

    public Daemon(Config config, Log log) {
        this(config, Operator.NONE, log);
    }

    public Daemon(Config config, Operator operator, Log log) {
        this.config = config;
        this.operator = operator;
        this.log = log;
        discovery = config.discovery();
        setup = config.setup();
    }

    Log log() {
        return log;
    }

    /** Hears the platform's words to this process from now on: SIGHUP to read the configuration anew, SIGUSR2 to print. */
    public void hear(Source source) {
        Signals.on("HUP", () -> reload(source), log);
        Signals.on("USR2", this::print, log);
    }

    /** Returns once clients can connect. */
    public void start() throws BadConfig {
        int share = Math.max(2, (config.sockets() - OTHERS) / 2);
        try {
            rest();
            loop.submit(() -> {
                // By the latest settings, which a word before the start may have changed.
                Config begun = config.by(setup);
                router = new Router(begun, new Clock(), counters, log, loop, share);
                clients = new Clients(router, router.pace(), router.clock(), counters, log, loop, share, config.sockets() * 3 / 10, (config.memoryMb() << 20) / WAITING_PART,
                        config.setup().settings().dial());
                side = operator == Operator.NONE ? null : new Side(operator, begun, router, clients, loop, log);
                boolean known = !config.known().list("instances").isEmpty();
                if (known) {
                    router.list(config.known());
                }
                watch = new Watch(discovery, config.setup().settings().dial(), counters, log, loop,
                        known ? config.known().whole("generation") : -1, router);
                router.watch(watch);
                watch.start();
                return null;
            }).sync();
            // What discovery has told is known before the door opens; if it says nothing, the known list will do.
            long due = System.nanoTime() + NEWS_DIALS * config.setup().settings().dial().toNanos();
            while (!loop.submit(() -> router.listed() && (watch.answered() || System.nanoTime() - due > 0)).get()) {
                Thread.sleep(config.setup().settings().step().toMillis() + 1);
            }
            rest();
            loop.submit(() -> clients.open(config.listen())).get().sync();
        } catch (InterruptedException stopped) {
            throw new BadConfig("interrupted");
        } catch (Exception fault) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            if (fault instanceof Operator.BadOperator) {
                throw new BadConfig("LB_OPERATOR: " + fault.getMessage());
            }
            throw new BadConfig("LB_LISTEN " + config.listen() + ": " + fault.getMessage());
        }
        if (side != null) {
            loop.execute(side::open);
        }
        log.info("serving", "name", config.name(), "listen", config.listen());
    }

    /**
     * Where the limits give part of a core, what the start has taken beyond that is taken back, all at once. Waits
     * until it is, with the door shut: else those who come first wait, 0.4 s on half a core.
     */
    private void rest() throws InterruptedException {
        Duration up = beganCpu.plusNanos(System.nanoTime() - beganNanos);
        Thread.sleep(owed(cpu(), up, config.cores()).toMillis());
    }

    /** For how long nothing may be used until a share of the time covers what was used; a second at the most. */
    static Duration owed(Duration used, Duration up, double share) {
        Duration owed = Duration.ofNanos((long) (used.toNanos() / share)).minus(up);
        return owed.isNegative() ? Duration.ZERO : owed.compareTo(MOST_OWED) > 0 ? MOST_OWED : owed;
    }

    /** In ticks of a hundredth of a second, as Linux tells them; zero elsewhere. */
    private static Duration cpu() {
        try {
            String stat = Files.readString(Path.of("/proc/self/stat"), StandardCharsets.ISO_8859_1);
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return Duration.ofMillis(10 * (Long.parseLong(fields[11]) + Long.parseLong(fields[12])));
        } catch (IOException | NumberFormatException none) {
            return Duration.ZERO;
        }
    }

    /** Goes on serving while clients still come, then finishes all that was taken. */
    public void stop() {
        log.info("stopping", "name", config.name());
        loop.schedule(this::leave, STILL_COMING.toMillis(), TimeUnit.MILLISECONDS);
        try {
            if (!ended.await(MOST_TO_END.toMillis(), TimeUnit.MILLISECONDS)) {
                log.warn("stopped-with-work", "txns", counters.txns, "clients", counters.clientConnections);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
        counters.print(log);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * Goes over to the configuration as it is now, if it can be used; at any time, also before the start. One
     * reading after another, so that several words in a row end in the latest file.
     */
    public synchronized void reload(Source source) {
        try {
            Config next = source.read();
            if (side == null || !side.settle(next.setup(), () -> follow(next))) {
                onLoop(() -> follow(next));
            }
        } catch (BadConfig bad) {
            onLoop(() -> log.warn("reload-refused", "fault", bad.getMessage()));
        }
    }

    /** Once the router has ended, what it is told no longer counts. */
    private void onLoop(Runnable then) {
        if (!loop.isShuttingDown()) {
            loop.execute(then);
        }
    }

    /** Txns that were taken go on by the settings of their time; a list that was read by the old ones is asked for anew. */
    private void follow(Config next) {
        boolean other = !setup.equals(next.setup());
        log.info("reloaded", "discovery", next.discovery(), "settings", other ? "changed" : "same", "kept_as_at_start",
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
        clients.leave();
        lookIfOver();
    }

    private void lookIfOver() {
        if (clients.empty() && counters.txns == 0) {
            watch.close();
            if (side != null) {
                side.close();
            }
            router.close();
            ended.countDown();
        } else {
            loop.schedule(this::lookIfOver, config.setup().settings().step().toNanos(), TimeUnit.NANOSECONDS);
        }
    }
}
