package dillfront.router.discovery;

import dillfront.common.logging.Counters;
import dillfront.common.logging.Log;
import dillfront.common.network.Sockets;
import dillfront.common.network.TerminalHandler;
import dillfront.router.config.JsonObject;
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
public final class DiscoveryClient {

    /** Where the lists go. */
    public interface Listener {
        void listReceived(JsonObject list);

        /** The watch broke; the last list holds. */
        void listFailed();
    }

    /**
     * How long discovery may wait for news, and how long an answer may take beyond that, in dial
     * time-outs.
     */
    private static final int LONG_POLL_CONNECT_TIMEOUTS = 4;

    private static final int RESPONSE_CONNECT_TIMEOUTS = 2;

    private final long connectTimeoutNanos;
    private final Counters counters;
    private final Log log;
    private final EventLoop loop;
    private final Listener listener;
    private InetSocketAddress address;

    /** Of the latest list from this address; negative where none is known. */
    private long generation;

    private DiscoveryConnection current;

    /**
     * Where discovery was before it moved: heard until the new one has told its list, or it ends by
     * itself.
     */
    private DiscoveryConnection previous;

    private boolean closed;

    /** Discovery has answered since the start, so what it had told until then is known. */
    private boolean hasAnswered;

    /** Said once, until it is reached again. */
    private boolean unreachableLogged;

    /**
     * @param generation of the list that is known; negative where none is
     */
    public DiscoveryClient(
            InetSocketAddress address,
            Duration connectTimeout,
            Counters counters,
            Log log,
            EventLoop loop,
            long generation,
            Listener listener) {
        this.address = address;
        connectTimeoutNanos = connectTimeout.toNanos();
        this.counters = counters;
        this.log = log;
        this.loop = loop;
        this.generation = generation;
        this.listener = listener;
    }

    /** Connects to discovery and keeps asking until close(). */
    public void start() {
        if (!closed && (current == null || current.ended || current == previous)) {
            current = new DiscoveryConnection(generation);
            current.open();
        }
    }

    /**
     * Discovery is elsewhere now. The last list holds until the first from there, which is asked
     * for whole; until then the old address is heard too. Guards against a drain that it has told,
     * and that lies unread meanwhile.
     */
    public void changeAddress(InetSocketAddress newAddress) {
        address = newAddress;
        unreachableLogged = false;
        if (previous != null) {
            previous.close();
        }
        previous = current;
        if (previous != null && !previous.connected) {
            previous.close();
        }
        generation = -1;
        start();
    }

    /**
     * Reads now what discovery has written, out of its turn among the sockets: what it has told
     * binds what is sent.
     */
    public void readPending() {
        if (previous != null) {
            previous.readPending();
        }
        if (current != null) {
            current.readPending();
        }
    }

    /** Discovery has answered since the start. */
    public boolean hasAnswered() {
        return hasAnswered;
    }

    /** Closes the connection and stops all timers. */
    public void close() {
        closed = true;
        for (DiscoveryConnection connection : new DiscoveryConnection[] {previous, current}) {
            if (connection != null) {
                connection.close();
            }
        }
    }

    /** One connection to discovery. Owns its buffer and its timer; both go back in close(). */
    private final class DiscoveryConnection extends TerminalHandler {

        private final HttpResponseDecoder decoder = new HttpResponseDecoder();
        private final InetSocketAddress remoteAddress = address;
        private final long waitMs = TimeUnit.NANOSECONDS.toMillis(LONG_POLL_CONNECT_TIMEOUTS * connectTimeoutNanos);
        private Channel channel;
        private ScheduledFuture<?> responseTimer;
        private boolean ended;
        private boolean connected;

        /** What is newer than this is asked for; negative for the whole list. */
        private long afterGeneration;

        /** Its first answer is there: from then on it may be waited for. */
        private boolean responded;

        DiscoveryConnection(long afterGeneration) {
            this.afterGeneration = afterGeneration;
        }

        void readPending() {
            if (connected && !ended && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
                socket.read();
            }
        }

        void open() {
            startResponseTimer(RESPONSE_CONNECT_TIMEOUTS * connectTimeoutNanos);
            ChannelFuture connecting =
                    Sockets.connect(
                            loop,
                            remoteAddress,
                            this,
                            (int) TimeUnit.NANOSECONDS.toMillis(2 * RESPONSE_CONNECT_TIMEOUTS * connectTimeoutNanos));
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

        private void startResponseTimer(long timeoutNanos) {
            if (responseTimer != null) {
                responseTimer.cancel(false);
            }
            responseTimer =
                    loop.schedule(
                            () -> {
                                // Guards against a pause of this process taken for discovery's:
                                // what it wrote meanwhile lies unread.
                                ScheduledFuture<?> timerBeforeRead = responseTimer;
                                readPending();
                                if (ended || responseTimer != timerBeforeRead) {
                                    return;
                                }
                                log.warn("list-silent", "address", remoteAddress);
                                close();
                            },
                            timeoutNanos,
                            TimeUnit.NANOSECONDS);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connected = true;
            unreachableLogged = false;
            sendRequest(ctx);
        }

        private void sendRequest(ChannelHandlerContext ctx) {
            // The first is not waited for: it proves the way there, and brings what was told before
            // this watch.
            String query =
                    afterGeneration >= 0 ? "?after=" + afterGeneration + "&wait_ms=" + (responded ? waitMs : 0) : "";
            String host = remoteAddress.getAddress().getHostAddress() + ":" + remoteAddress.getPort();
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
            startResponseTimer(
                    (afterGeneration >= 0 && responded ? LONG_POLL_CONNECT_TIMEOUTS : 0) * connectTimeoutNanos + RESPONSE_CONNECT_TIMEOUTS * connectTimeoutNanos);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object read) {
            if (ended) {
                ((ByteBuf) read).release();
                return;
            }
            decoder.add((ByteBuf) read);
            try {
                ByteBuf body = decoder.next();
                if (body != null) {
                    handleBody(body);
                    sendRequest(ctx);
                }
            } catch (HttpFormatException e) {
                fail(e.getMessage());
            }
        }

        private void handleBody(ByteBuf body) throws HttpFormatException {
            try {
                if (decoder.status() != 200) {
                    throw new HttpFormatException("status " + decoder.status());
                }
                JsonObject list = JsonObject.parse(new ByteBufInputStream(body));
                if (list.getDouble("generation", -1) < 0
                        || list.getBoolean("reset") && list.getList("instances").isEmpty()) {
                    throw new HttpFormatException("no generation, or a whole list of nothing");
                }
                afterGeneration = list.getLong("generation");
                generation = this == current ? afterGeneration : generation;
                responded = true;
                hasAnswered = true;
                counters.lists++;
                listener.listReceived(list);
                if (this == current && previous != null) {
                    previous.close();
                }
            } catch (IOException e) {
                throw new HttpFormatException(
                        "no JSON: "
                                + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            } finally {
                body.release();
            }
        }

        private void fail(String error) {
            counters.listFaults++;
            log.warn("list-dropped", "fault", error);
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
            if (ended) {
                return;
            }
            ended = true;
            responseTimer.cancel(false);
            if (channel != null) {
                channel.close();
            }
            decoder.release();
            if (this == previous) {
                previous = null;
                return;
            }
            if (!connected && !unreachableLogged) {
                unreachableLogged = true;
                log.warn("list-unreachable", "address", remoteAddress);
            }
            if (!closed) {
                listener.listFailed();
                // One that has answered is asked again at once: until then nothing is heard of
                // drains.
                loop.schedule(DiscoveryClient.this::start, responded ? 0 : connectTimeoutNanos / 4, TimeUnit.NANOSECONDS);
            }
        }
    }
}
