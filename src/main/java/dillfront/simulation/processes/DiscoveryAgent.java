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
    public DiscoveryAgent(
            TestHarness harness,
            String name,
            DiscoveryCatalog catalog,
            ToIntFunction<String> defaultNodePorts) {
        this.harness = harness;
        this.name = name;
        this.catalog = catalog;
        this.defaultNodePorts = defaultNodePorts;
        catalog.onChange(this::notifySubscribers);
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
                    List.copyOf(subscribers).forEach(subscriber -> subscriber.ctx.close());
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
                                        subscriber ->
                                                subscriber.requestOpen
                                                        && subscriber.knownGeneration
                                                                == catalog.versionAt(
                                                                                limitGeneration)
                                                                        .generation()));
    }

    /** Says nothing from now on, and has not heard either; or speaks up again. */
    public void withholdResponses(boolean withhold) {
        harness.run(
                () -> {
                    withholdResponses = withhold;
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
            for (int headerEnd = received.indexOf("\r\n\r\n");
                    headerEnd >= 0;
                    headerEnd = received.indexOf("\r\n\r\n")) {
                String requestLine = received.substring(0, received.indexOf("\r\n"));
                received.delete(0, headerEnd + 4);
                handleRequest(requestLine);
            }
        }

        private void handleRequest(String requestLine) {
            String incarnation = harness.connectionOwner(ctx.channel());
            requestOpen = true;
            knownGeneration =
                    requestLine.contains("after=")
                            ? Long.parseLong(requestLine.replaceAll(".*after=(\\d+).*", "$1"))
                            : -1;
            long waitMs =
                    requestLine.contains("wait_ms=")
                            ? Long.parseLong(requestLine.replaceAll(".*wait_ms=(\\d+).*", "$1"))
                            : 0;
            if (knownGeneration >= 0) {
                long acknowledged = knownGeneration;
                long atNanos = harness.nowNanos();
                harness.afterNextPoll(
                        () ->
                                harness.recordEvent(
                                        new Event.ListAcknowledged(
                                                atNanos, incarnation + "<" + name, acknowledged)));
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
            String incarnation = harness.connectionOwner(ctx.channel());
            DiscoveryCatalog.Version current = catalog.versionAt(limitGeneration);
            boolean complete = knownGeneration < 0 || knownGeneration > current.generation();
            DiscoveryCatalog.Version previous =
                    complete ? null : catalog.versionAt(knownGeneration);
            List<String> entries = new ArrayList<>();
            Set<String> known = listedNodes.computeIfAbsent(incarnation, k -> new TreeSet<>());
            Set<String> removed = new TreeSet<>(complete ? known : previous.entries().keySet());
            for (DiscoveryCatalog.Entry entry : current.entries().values()) {
                removed.remove(entry.id());
                if (complete || !entry.equals(previous.entries().get(entry.id()))) {
                    entries.add(entryJson(entry, incarnation));
                    recordEntrySent(
                            incarnation,
                            current.generation(),
                            entry.id(),
                            entry.lifecycle(),
                            entry.startedMs());
                }
                known.add(entry.id());
            }
            for (String id : removed) {
                if (!complete) {
                    entries.add(
                            entryJson(
                                    previous.entries().get(id).withLifecycle("gone"), incarnation));
                }
                recordEntrySent(
                        incarnation,
                        current.generation(),
                        id,
                        complete ? "absent" : "gone",
                        complete ? 0 : previous.entries().get(id).startedMs());
            }
            String body =
                    "{\"generation\":"
                            + current.generation()
                            + ",\"reset\":"
                            + complete
                            + ",\"instances\":["
                            + String.join(",", entries)
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
                String incarnation, long generation, String id, String lifecycle, long startedMs) {
            harness.recordEvent(
                    new Event.ListEntrySent(
                            harness.nowNanos(),
                            incarnation + "<" + name,
                            generation,
                            id,
                            lifecycle,
                            startedMs));
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

    private String entryJson(DiscoveryCatalog.Entry entry, String incarnation) {
        ToIntFunction<String> nodePorts =
                nodePortsByRouter.getOrDefault(incarnation.replaceAll("#.*", ""), defaultNodePorts);
        return entryJson(entry, nodePorts.applyAsInt(entry.id()));
    }

    /** As discovery lists a node, in its form. */
    public static String entryJson(DiscoveryCatalog.Entry entry, int port) {
        return String.format(
                "{\"instanceId\":\"%s\",\"hostPort\":\"%s:%d\",\"zone\":\"%s\",\"machineType\":\"m\","
                        + "\"cell\":%d,\"lifecycle\":\"%s\",\"weight\":1.0,\"startedAtMs\":%d,\"role\":\"%s\"}",
                entry.id(),
                TestHarness.HOST,
                port,
                entry.zone(),
                entry.group(),
                entry.lifecycle(),
                entry.startedMs(),
                entry.primary() ? "leader" : "follower");
    }
}
