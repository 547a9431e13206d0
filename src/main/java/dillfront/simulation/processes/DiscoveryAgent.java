package dillfront.simulation.processes;

import dillfront.common.network.TerminalHandler;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;

/**
 * An agent of discovery: the list over HTTP, whole or what changed, at once or once something has.
 * It may know an older version than the catalogue has, be silent, or be gone and come back. All
 * calls on the stage's loop or through run().
 */
public final class DiscoveryAgent {

    private final TestHarness harness;
    private final String name;
    private final DiscoveryCatalog catalog;

    /** Where whoever asks reaches this node: each router by a way of its own. */
    private final Map<String, ToIntFunction<String>> nodePortsByRouter = new HashMap<>();

    private final ToIntFunction<String> defaultNodePorts;
    private int port;
    private Channel listener;

    /** Knows no later version than this. */
    private long limitGeneration = Long.MAX_VALUE;

    private boolean withholdResponses;
    private final Set<Subscriber> subscribers = new LinkedHashSet<>();

    /** What each life of a router was told of: to name those that a whole list leaves out. */
    private final Map<String, Set<String>> listedNodes = new HashMap<>();

    /** Serves discovery for this cluster. */
    public DiscoveryAgent(TestHarness stage, String name, DiscoveryCatalog catalogue, ToIntFunction<String> plain) {
        this.harness = stage;
        this.name = name;
        this.catalog = catalogue;
        this.defaultNodePorts = plain;
        catalogue.onChange(this::notifySubscribers);
        open();
    }

    public int port() {
        return port;
    }

    /** Whoever's name begins so is told the ports that it gets to nodes by. */
    void setNodePorts(String router, ToIntFunction<String> portOf) {
        nodePortsByRouter.put(router, portOf);
    }

    /** Listens, on the same port as before. */
    public void open() {
        listener = harness.listen(port, Subscriber::new);
        port = TestHarness.port(listener);
    }

    /** Gone, as its process is: connections end, new ones are refused. */
    public void close() {
        harness.run(
                () -> {
                    listener.close();
                    List.copyOf(subscribers).forEach(a -> a.ctx.close());
                });
        harness.await("an agent's door closed", () -> !listener.isOpen());
    }

    public boolean isListening() {
        return listener.isOpen();
    }

    /** Waits until somebody who has the list as it is now asks for a newer one. */
    public void awaitCurrentSubscriber() {
        harness.await(
                "somebody with the newest list asks for a newer one",
                () ->
                        subscribers.stream()
                                .anyMatch(
                                        a ->
                                                a.requestOpen
                                                        && a.knownGeneration
                                                                == catalog
                                                                        .versionAt(limitGeneration)
                                                                        .generation()));
    }

    /** Says nothing from now on, and has not heard either; or speaks up again. */
    public void withholdResponses(boolean now) {
        harness.run(
                () -> {
                    withholdResponses = now;
                    notifySubscribers();
                });
    }

    /**
     * Knows no version later than this, as one that lags or was restored; asked by those connected,
     * it says so.
     */
    public void limitGeneration(long generation) {
        harness.run(
                () -> {
                    limitGeneration = generation;
                    notifySubscribers();
                });
    }

    private void notifySubscribers() {
        if (!withholdResponses) {
            List.copyOf(subscribers).forEach(Subscriber::respondIfChanged);
        }
    }

    private final class Subscriber extends TerminalHandler {

        private final StringBuilder received = new StringBuilder();
        private ChannelHandlerContext ctx;

        /** A call is open, for what is newer than this; negative for all. */
        private boolean requestOpen;

        private long knownGeneration;
        private ScheduledFuture<?> timeoutTask;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ctx = context;
            subscribers.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object read) {
            ByteBuf bytes = (ByteBuf) read;
            received.append(bytes.toString(StandardCharsets.US_ASCII));
            bytes.release();
            for (int end = received.indexOf("\r\n\r\n"); end >= 0; end = received.indexOf("\r\n\r\n")) {
                String line = received.substring(0, received.indexOf("\r\n"));
                received.delete(0, end + 4);
                handleRequest(line);
            }
        }

        private void handleRequest(String line) {
            String life = harness.connectionOwner(ctx.channel());
            requestOpen = true;
            knownGeneration =
                    line.contains("after=")
                            ? Long.parseLong(line.replaceAll(".*after=(\\d+).*", "$1"))
                            : -1;
            long waitMs =
                    line.contains("wait_ms=")
                            ? Long.parseLong(line.replaceAll(".*wait_ms=(\\d+).*", "$1"))
                            : 0;
            if (knownGeneration >= 0) {
                long read = knownGeneration;
                long at = harness.nowNanos();
                harness.afterNextPoll(
                        () -> harness.recordEvent(new Event.ListAcknowledged(at, life + "<" + name, read)));
            }
            if (!withholdResponses) {
                respondIfChanged();
            }
            if (requestOpen) {
                timeoutTask =
                        harness.loop()
                                .schedule(
                                        () -> {
                                            if (requestOpen && !withholdResponses) {
                                                respond();
                                            }
                                        },
                                        waitMs,
                                        TimeUnit.MILLISECONDS);
            }
        }

        void respondIfChanged() {
            if (requestOpen && catalog.versionAt(limitGeneration).generation() != knownGeneration) {
                respond();
            }
        }

        private void respond() {
            requestOpen = false;
            if (timeoutTask != null) {
                timeoutTask.cancel(false);
            }
            String life = harness.connectionOwner(ctx.channel());
            DiscoveryCatalog.Version now = catalog.versionAt(limitGeneration);
            boolean whole = knownGeneration < 0 || knownGeneration > now.generation();
            DiscoveryCatalog.Version then = whole ? null : catalog.versionAt(knownGeneration);
            List<String> rows = new ArrayList<>();
            Set<String> known = listedNodes.computeIfAbsent(life, k -> new TreeSet<>());
            Set<String> left = new TreeSet<>(whole ? known : then.entries().keySet());
            for (DiscoveryCatalog.Entry e : now.entries().values()) {
                left.remove(e.id());
                if (whole || !e.equals(then.entries().get(e.id()))) {
                    rows.add(entryJson(e, life));
                    recordEntrySent(life, now.generation(), e.id(), e.lifecycle(), e.startedMs());
                }
                known.add(e.id());
            }
            for (String id : left) {
                if (!whole) {
                    rows.add(entryJson(then.entries().get(id).withLifecycle("gone"), life));
                }
                recordEntrySent(
                        life,
                        now.generation(),
                        id,
                        whole ? "absent" : "gone",
                        whole ? 0 : then.entries().get(id).startedMs());
            }
            String body =
                    "{\"generation\":"
                            + now.generation()
                            + ",\"reset\":"
                            + whole
                            + ",\"instances\":["
                            + String.join(",", rows)
                            + "]}";
            ctx.writeAndFlush(
                    Unpooled.copiedBuffer(
                            "HTTP/1.1 200 OK\r\nContent-Length: "
                                    + body.length()
                                    + "\r\n\r\n"
                                    + body,
                            StandardCharsets.US_ASCII));
        }

        private void recordEntrySent(
                String life, long generation, String id, String standing, long startedMs) {
            harness.recordEvent(
                    new Event.ListEntrySent(
                            harness.nowNanos(), life + "<" + name, generation, id, standing, startedMs));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            subscribers.remove(this);
            requestOpen = false;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private String entryJson(DiscoveryCatalog.Entry e, String life) {
        ToIntFunction<String> way = nodePortsByRouter.getOrDefault(life.replaceAll("#.*", ""), defaultNodePorts);
        return entryJson(e, way.applyAsInt(e.id()));
    }

    /** As discovery lists a node, in its form. */
    public static String entryJson(DiscoveryCatalog.Entry e, int port) {
        return String.format(
                "{\"instanceId\":\"%s\",\"hostPort\":\"%s:%d\",\"zone\":\"%s\",\"machineType\":\"m\","
                        + "\"cell\":%d,\"lifecycle\":\"%s\",\"weight\":1.0,\"startedAtMs\":%d,\"role\":\"%s\"}",
                e.id(),
                TestHarness.HOST,
                port,
                e.zone(),
                e.group(),
                e.lifecycle(),
                e.startedMs(),
                e.primary() ? "leader" : "follower");
    }
}
