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
public final class Agent {

    private final Stage stage;
    private final String name;
    private final Catalogue catalogue;

    /** Where whoever asks reaches this node: each router by a way of its own. */
    private final Map<String, ToIntFunction<String>> ways = new HashMap<>();

    private final ToIntFunction<String> plain;
    private int port;
    private Channel door;

    /** Knows no later version than this. */
    private long upTo = Long.MAX_VALUE;

    private boolean silent;
    private final Set<Asker> askers = new LinkedHashSet<>();

    /** What each life of a router was told of: to name those that a whole list leaves out. */
    private final Map<String, Set<String>> named = new HashMap<>();

    /** Serves discovery for this cluster. */
    public Agent(Stage stage, String name, Catalogue catalogue, ToIntFunction<String> plain) {
        this.stage = stage;
        this.name = name;
        this.catalogue = catalogue;
        this.plain = plain;
        catalogue.onChange(this::tell);
        open();
    }

    public int port() {
        return port;
    }

    /** Whoever's name begins so is told the ports that it gets to nodes by. */
    void way(String router, ToIntFunction<String> portOf) {
        ways.put(router, portOf);
    }

    /** Listens, on the same port as before. */
    public void open() {
        door = stage.listen(port, Asker::new);
        port = Stage.port(door);
    }

    /** Gone, as its process is: connections end, new ones are refused. */
    public void close() {
        stage.run(
                () -> {
                    door.close();
                    List.copyOf(askers).forEach(a -> a.ctx.close());
                });
        stage.await("an agent's door closed", () -> !door.isOpen());
    }

    public boolean up() {
        return door.isOpen();
    }

    /** Waits until somebody who has the list as it is now asks for a newer one. */
    public void awaitAsker() {
        stage.await(
                "somebody with the newest list asks for a newer one",
                () ->
                        askers.stream()
                                .anyMatch(
                                        a ->
                                                a.asks
                                                        && a.after
                                                                == catalogue
                                                                        .upTo(upTo)
                                                                        .generation()));
    }

    /** Says nothing from now on, and has not heard either; or speaks up again. */
    public void silent(boolean now) {
        stage.run(
                () -> {
                    silent = now;
                    tell();
                });
    }

    /**
     * Knows no version later than this, as one that lags or was restored; asked by those connected,
     * it says so.
     */
    public void upTo(long generation) {
        stage.run(
                () -> {
                    upTo = generation;
                    tell();
                });
    }

    private void tell() {
        if (!silent) {
            List.copyOf(askers).forEach(Asker::answerIfNewer);
        }
    }

    private final class Asker extends TerminalHandler {

        private final StringBuilder said = new StringBuilder();
        private ChannelHandlerContext ctx;

        /** A call is open, for what is newer than this; negative for all. */
        private boolean asks;

        private long after;
        private ScheduledFuture<?> wait;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ctx = context;
            askers.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object read) {
            ByteBuf bytes = (ByteBuf) read;
            said.append(bytes.toString(StandardCharsets.US_ASCII));
            bytes.release();
            for (int end = said.indexOf("\r\n\r\n"); end >= 0; end = said.indexOf("\r\n\r\n")) {
                String line = said.substring(0, said.indexOf("\r\n"));
                said.delete(0, end + 4);
                asked(line);
            }
        }

        private void asked(String line) {
            String life = stage.behind(ctx.channel());
            asks = true;
            after =
                    line.contains("after=")
                            ? Long.parseLong(line.replaceAll(".*after=(\\d+).*", "$1"))
                            : -1;
            long waitMs =
                    line.contains("wait_ms=")
                            ? Long.parseLong(line.replaceAll(".*wait_ms=(\\d+).*", "$1"))
                            : 0;
            if (after >= 0) {
                long read = after;
                long at = stage.now();
                stage.afterNextLook(
                        () -> stage.happened(new Happening.Heard(at, life + "<" + name, read)));
            }
            if (!silent) {
                answerIfNewer();
            }
            if (asks) {
                wait =
                        stage.loop()
                                .schedule(
                                        () -> {
                                            if (asks && !silent) {
                                                answer();
                                            }
                                        },
                                        waitMs,
                                        TimeUnit.MILLISECONDS);
            }
        }

        void answerIfNewer() {
            if (asks && catalogue.upTo(upTo).generation() != after) {
                answer();
            }
        }

        private void answer() {
            asks = false;
            if (wait != null) {
                wait.cancel(false);
            }
            String life = stage.behind(ctx.channel());
            Catalogue.Version now = catalogue.upTo(upTo);
            boolean whole = after < 0 || after > now.generation();
            Catalogue.Version then = whole ? null : catalogue.upTo(after);
            List<String> rows = new ArrayList<>();
            Set<String> known = named.computeIfAbsent(life, k -> new TreeSet<>());
            Set<String> left = new TreeSet<>(whole ? known : then.entries().keySet());
            for (Catalogue.Entry e : now.entries().values()) {
                left.remove(e.id());
                if (whole || !e.equals(then.entries().get(e.id()))) {
                    rows.add(row(e, life));
                    told(life, now.generation(), e.id(), e.lifecycle(), e.startedMs());
                }
                known.add(e.id());
            }
            for (String id : left) {
                if (!whole) {
                    rows.add(row(then.entries().get(id).is("gone"), life));
                }
                told(
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

        private void told(
                String life, long generation, String id, String standing, long startedMs) {
            stage.happened(
                    new Happening.Told(
                            stage.now(), life + "<" + name, generation, id, standing, startedMs));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            askers.remove(this);
            asks = false;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private String row(Catalogue.Entry e, String life) {
        ToIntFunction<String> way = ways.getOrDefault(life.replaceAll("#.*", ""), plain);
        return row(e, way.applyAsInt(e.id()));
    }

    /** As discovery lists a node, in its form. */
    public static String row(Catalogue.Entry e, int port) {
        return String.format(
                "{\"instanceId\":\"%s\",\"hostPort\":\"%s:%d\",\"zone\":\"%s\",\"machineType\":\"m\","
                        + "\"cell\":%d,\"lifecycle\":\"%s\",\"weight\":1.0,\"startedAtMs\":%d,\"role\":\"%s\"}",
                e.id(),
                Stage.HOST,
                port,
                e.zone(),
                e.group(),
                e.lifecycle(),
                e.startedMs(),
                e.leads() ? "leader" : "follower");
    }
}
