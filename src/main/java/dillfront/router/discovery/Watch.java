package dillfront.router.discovery;

import dillfront.common.logging.Counters;
import dillfront.common.logging.Log;
import dillfront.common.network.Sockets;
import dillfront.common.network.TerminalHandler;
import dillfront.router.config.Tree;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Asks discovery for what is newer than the last list, again and again; one connection at a time,
 * two while it moves.
 */
public final class Watch {

    /** Where the lists go. */
    public interface Listener {
        void list(Tree list);

        /** The watch broke; the last list holds. */
        void listFailed();
    }

    /**
     * How long discovery may wait for news, and how long an answer may take beyond that, in dial
     * time-outs.
     */
    private static final int WAIT_DIALS = 4;

    private static final int LATE_DIALS = 2;

    private final long dialNanos;
    private final Counters counters;
    private final Log log;
    private final EventLoop loop;
    private final Listener listener;
    private InetSocketAddress address;

    /** Of the latest list from this address; negative where none is known. */
    private long generation;

    private Asking asking;

    /**
     * Where discovery was before it moved: heard until the new one has told its list, or it ends by
     * itself.
     */
    private Asking former;

    private boolean closed;

    /** Discovery has answered since the start, so what it had told until then is known. */
    private boolean answered;

    /** Said once, until it is reached again. */
    private boolean unreachable;

    /**
     * @param generation of the list that is known; negative where none is
     */
    public Watch(
            InetSocketAddress address,
            Duration dial,
            Counters counters,
            Log log,
            EventLoop loop,
            long generation,
            Listener listener) {
        this.address = address;
        dialNanos = dial.toNanos();
        this.counters = counters;
        this.log = log;
        this.loop = loop;
        this.generation = generation;
        this.listener = listener;
    }

    /** Connects to discovery and keeps asking until close(). */
    public void start() {
        if (!closed && (asking == null || asking.over || asking == former)) {
            asking = new Asking(generation);
            asking.open();
        }
    }

    /**
     * Discovery is elsewhere now. The last list holds until the first from there, which is asked
     * for whole; until then the old address is heard too. Guards against a drain that it has told,
     * and that lies unread meanwhile.
     */
    public void move(InetSocketAddress to) {
        address = to;
        unreachable = false;
        if (former != null) {
            former.close();
        }
        former = asking;
        if (former != null && !former.up) {
            former.close();
        }
        generation = -1;
        start();
    }

    /**
     * Reads now what discovery has written, out of its turn among the sockets: what it has told
     * binds what is sent.
     */
    public void look() {
        if (former != null) {
            former.look();
        }
        if (asking != null) {
            asking.look();
        }
    }

    /** Discovery has answered since the start. */
    public boolean answered() {
        return answered;
    }

    /** Closes the connection and stops all timers. */
    public void close() {
        closed = true;
        for (Asking one : new Asking[] {former, asking}) {
            if (one != null) {
                one.close();
            }
        }
    }

    /** One connection to discovery. Owns its buffer and its timer; both go back in close(). */
    private final class Asking extends TerminalHandler {

        private final HttpAnswers answers = new HttpAnswers();
        private final InetSocketAddress at = address;
        private final long waitMs = TimeUnit.NANOSECONDS.toMillis(WAIT_DIALS * dialNanos);
        private Channel channel;
        private ScheduledFuture<?> silence;
        private boolean over;
        private boolean up;

        /** What is newer than this is asked for; negative for the whole list. */
        private long after;

        /** Its first answer is there: from then on it may be waited for. */
        private boolean proven;

        Asking(long after) {
            this.after = after;
        }

        void look() {
            if (up && !over && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
                socket.read();
            }
        }

        void open() {
            silentAfter(LATE_DIALS * dialNanos);
            ChannelFuture connecting =
                    Sockets.connect(
                            loop,
                            at,
                            this,
                            (int) TimeUnit.NANOSECONDS.toMillis(2 * LATE_DIALS * dialNanos));
            if (connecting == null) {
                close();
                return;
            }
            channel = connecting.channel();
            connecting.addListener(
                    done -> {
                        if (!done.isSuccess()) {
                            close();
                        }
                    });
        }

        private void silentAfter(long nanos) {
            if (silence != null) {
                silence.cancel(false);
            }
            silence =
                    loop.schedule(
                            () -> {
                                // Guards against a pause of this process taken for discovery's:
                                // what it wrote meanwhile lies unread.
                                ScheduledFuture<?> awaited = silence;
                                look();
                                if (over || silence != awaited) {
                                    return;
                                }
                                log.warn("list-silent", "address", at);
                                close();
                            },
                            nanos,
                            TimeUnit.NANOSECONDS);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            up = true;
            unreachable = false;
            ask(ctx);
        }

        private void ask(ChannelHandlerContext ctx) {
            // The first is not waited for: it proves the way there, and brings what was told before
            // this watch.
            String query =
                    after >= 0 ? "?after=" + after + "&wait_ms=" + (proven ? waitMs : 0) : "";
            String host = at.getAddress().getHostAddress() + ":" + at.getPort();
            ctx.writeAndFlush(
                    ByteBufUtil.writeAscii(
                            ctx.alloc(),
                            "GET /api/targets"
                                    + query
                                    + " HTTP/1.1\r\nHost: "
                                    + host
                                    + "\r\n\r\n"));
            // Short, since a connection that has fallen silent looks like one with no news until
            // the wait is over.
            silentAfter(
                    (after >= 0 && proven ? WAIT_DIALS : 0) * dialNanos + LATE_DIALS * dialNanos);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object read) {
            if (over) {
                ((ByteBuf) read).release();
                return;
            }
            answers.add((ByteBuf) read);
            try {
                ByteBuf body = answers.next();
                if (body != null) {
                    took(body);
                    ask(ctx);
                }
            } catch (BadHttp bad) {
                fault(bad.getMessage());
            }
        }

        private void took(ByteBuf body) throws BadHttp {
            try {
                if (answers.status() != 200) {
                    throw new BadHttp("status " + answers.status());
                }
                Tree list = Tree.parse(new ByteBufInputStream(body));
                if (list.number("generation", -1) < 0
                        || list.flag("reset") && list.list("instances").isEmpty()) {
                    throw new BadHttp("no generation, or a whole list of nothing");
                }
                after = list.whole("generation");
                generation = this == asking ? after : generation;
                proven = true;
                answered = true;
                counters.lists++;
                listener.list(list);
                if (this == asking && former != null) {
                    former.close();
                }
            } catch (IOException bad) {
                throw new BadHttp(
                        "no JSON: "
                                + String.valueOf(bad.getMessage()).lines().findFirst().orElse(""));
            } finally {
                body.release();
            }
        }

        private void fault(String fault) {
            counters.failedLists++;
            log.warn("list-dropped", "fault", fault);
            close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                log.warn("list-connection", "fault", cause);
            }
            close();
        }

        /** The one place where a connection is given back; the next comes after a pause. */
        void close() {
            if (over) {
                return;
            }
            over = true;
            silence.cancel(false);
            if (channel != null) {
                channel.close();
            }
            answers.release();
            if (this == former) {
                former = null;
                return;
            }
            if (!up && !unreachable) {
                unreachable = true;
                log.warn("list-unreachable", "address", at);
            }
            if (!closed) {
                listener.listFailed();
                // One that has answered is asked again at once: until then nothing is heard of
                // drains.
                loop.schedule(Watch.this::start, proven ? 0 : dialNanos / 4, TimeUnit.NANOSECONDS);
            }
        }
    }
}
