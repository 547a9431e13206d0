package dillfront.router.frontend;

import dillfront.common.logging.Counters;
import dillfront.common.logging.Log;
import dillfront.common.network.Sockets;
import dillfront.router.config.Clock;
import dillfront.router.exchange.Desk;
import dillfront.router.pace.LoopLagMonitor;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.DuplexChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** The door for clients, and those that are in. */
public final class Clients {

    /**
     * A connection on which nothing is open may be closed after 2 s, as clients are told; in dial
     * time-outs.
     */
    private static final int IDLE_DIALS = 8;

    final Desk desk;
    final Counters counters;
    final Log log;
    final LoopLagMonitor pace;
    final Clock clock;
    private final EventLoop loop;
    private final int most;
    private final int mostKnown;
    private final long mostWaiting;
    private final long dialNanos;

    /** Refused: they get their last words and no more. */
    private final Set<ClientConnection> refused = new LinkedHashSet<>();

    /** Nothing that they sent has been of use so far, the ones that came last at the end. */
    private final Set<ClientConnection> strangers = new LinkedHashSet<>();

    /** Those whose queries were taken, the ones answered last at the end. */
    private final Set<ClientConnection> known = new LinkedHashSet<>();

    /**
     * Those of whom something was read that has not been looked at yet, in the order in which it
     * was read.
     */
    private final ArrayDeque<ClientConnection> line = new ArrayDeque<>();

    private boolean turning;

    /** Bytes of messages that are not whole yet. */
    private long waiting;

    private Channel door;

    /** Null where all are served. */
    Callers callers;

    private boolean leaving;

    /**
     * @param most how many clients may be in at once
     * @param mostKnown of these, those whose queries were taken
     * @param mostWaiting how many bytes of messages not yet whole may be held for all of them
     * @param dial how long one that was refused may take to read why; for what else they get, a
     *     multiple of it
     */
    public Clients(
            Desk desk,
            LoopLagMonitor pace,
            Clock clock,
            Counters counters,
            Log log,
            EventLoop loop,
            int most,
            int mostKnown,
            long mostWaiting,
            Duration dial) {
        this.desk = desk;
        this.pace = pace;
        this.clock = clock;
        this.counters = counters;
        this.log = log;
        this.loop = loop;
        this.most = most;
        this.mostKnown = mostKnown;
        this.mostWaiting = mostWaiting;
        dialNanos = dial.toNanos();
        loop.scheduleWithFixedDelay(this::closeOld, dialNanos, dialNanos, TimeUnit.NANOSECONDS);
    }

    /** From now on those who come are asked who they are; before the door opens. */
    public void ask(Callers who) {
        callers = who;
    }

    /** Listens on this address. */
    public ChannelFuture open(InetSocketAddress address) {
        ChannelFuture bound =
                Sockets.listen(
                        loop,
                        address,
                        2 * most,
                        new WriteBufferWaterMark(1 << 15, 1 << 16),
                        () -> new ClientConnection(this));
        door = bound.channel();
        return bound;
    }

    /**
     * Something was read of a client: it is looked at once the sockets that are ready have been, so
     * that news of the list and answers of nodes go before new queries.
     */
    void line(ClientConnection client) {
        if (!client.inLine) {
            client.inLine = true;
            line.add(client);
        }
        if (!turning) {
            turning = true;
            loop.execute(this::turn);
        }
    }

    private void turn() {
        Duration began = clock.now();
        while (!line.isEmpty() && pace.mayContinueTurn(began, clock.now())) {
            ClientConnection next = line.poll();
            next.inLine = false;
            next.pump();
        }
        turning = !line.isEmpty();
        if (turning) {
            // Not execute(): that would come before the next look at the sockets.
            loop.schedule(this::turn, 0, TimeUnit.NANOSECONDS);
        }
    }

    void opened(ClientConnection client) {
        counters.accepted++;
        counters.clientConnections++;
        strangers.add(client);
        makeRoom();
    }

    /** Ends the sending side, and the whole once the client has had time to read what was sent. */
    void closeSoon(ClientConnection client, ChannelHandlerContext ctx) {
        if (strangers.remove(client) || known.remove(client)) {
            refused.add(client);
        }
        if (ctx.channel() instanceof DuplexChannel socket && socket.isActive()) {
            socket.shutdownOutput();
        }
        loop.schedule(() -> ctx.close(), dialNanos, TimeUnit.NANOSECONDS);
    }

    void closed(ClientConnection client) {
        if (out(client)) {
            makeRoom();
        }
    }

    /** The one place where a client ceases to count. */
    private boolean out(ClientConnection client) {
        boolean was = refused.remove(client) || strangers.remove(client) || known.remove(client);
        counters.clientConnections -= was ? 1 : 0;
        return was;
    }

    private void close(ClientConnection client) {
        out(client);
        client.close();
    }

    /**
     * A query of its own was taken. Clients hold a third of all descriptors at the most, also for
     * those who ask once and stay: near that the one idle longest goes, so that another can come.
     */
    void taken(ClientConnection client) {
        if (strangers.remove(client)) {
            known.add(client);
            ClientConnection leaver =
                    known.size() >= mostKnown ? first(known, ClientConnection::idle) : null;
            if (leaver != null) {
                close(leaver);
            }
        }
    }

    /** It has its answer. */
    void free(ClientConnection client) {
        if (known.remove(client)) {
            known.add(client);
        }
        if (leaving) {
            loop.execute(this::closeIdle);
        } else if (size() >= most) {
            loop.execute(this::makeRoom);
        }
    }

    /**
     * More or less of its messages waits than before. Guards against memory full of messages never
     * sent to their end.
     */
    void waits(long more) {
        waiting += more;
        if (more > 0 && waiting > mostWaiting) {
            for (Set<ClientConnection> some : List.of(strangers, known)) {
                for (ClientConnection client : List.copyOf(some)) {
                    if (waiting > mostWaiting / 2 && !client.owes() && !client.quiet()) {
                        close(client);
                    }
                }
            }
        }
    }

    private int size() {
        return refused.size() + strangers.size() + known.size();
    }

    /**
     * At the limit one has to go, so that there is always room for one more: one that was refused,
     * a stranger who has had time to say something or is one of many, the client idle longest.
     * Where none is, the door waits, and what has come stays in line before it. Guards against
     * hundreds that connect, say nothing or no whole query, and would keep the usual clients out.
     */
    private void makeRoom() {
        if (size() >= most) {
            ClientConnection leaver = first(refused, client -> true);
            boolean many = strangers.size() > known.size();
            leaver =
                    leaver != null
                            ? leaver
                            : first(
                                    strangers,
                                    client ->
                                            !client.owes()
                                                    && (many || client.waitedNanos() > dialNanos));
            leaver = leaver != null ? leaver : first(known, ClientConnection::idle);
            if (leaver != null) {
                close(leaver);
            }
        }
        boolean open = size() < most;
        if (!leaving && door.config().isAutoRead() != open) {
            log.info(
                    "door",
                    "open",
                    open,
                    "refused",
                    refused.size(),
                    "strangers",
                    strangers.size(),
                    "known",
                    known.size());
            door.config().setAutoRead(open);
        }
    }

    private static ClientConnection first(
            Set<ClientConnection> of, Predicate<ClientConnection> which) {
        for (ClientConnection client : of) {
            if (which.test(client)) {
                return client;
            }
        }
        return null;
    }

    /**
     * Strangers have their time; so has a message to be sent to its end; who is idle goes while the
     * house is half full.
     */
    private void closeOld() {
        if (callers != null) {
            callers.tick();
            List.copyOf(known).forEach(ClientConnection::lookAgain);
            List.copyOf(strangers).forEach(ClientConnection::lookAgain);
        }
        for (Set<ClientConnection> some : List.of(strangers, known)) {
            for (ClientConnection client : List.copyOf(some)) {
                boolean stays = some == known && client.quiet() && size() <= most / 2;
                if (!client.owes() && !stays && client.waitedNanos() > IDLE_DIALS * dialNanos) {
                    close(client);
                }
            }
        }
    }

    /** Nothing new is taken: see ClientConnection.query(). */
    boolean leaving() {
        return leaving;
    }

    /** No new clients; those that are in go once they have their answers. */
    public void leave() {
        leaving = true;
        door.close();
        closeIdle();
    }

    private void closeIdle() {
        for (Set<ClientConnection> some : List.of(strangers, known)) {
            for (ClientConnection client : List.copyOf(some)) {
                if (client.idle()) {
                    close(client);
                }
            }
        }
    }

    /** After leave(): whether all have gone. Those whose answers are out by now go here. */
    public boolean empty() {
        closeIdle();
        return size() == 0;
    }
}
