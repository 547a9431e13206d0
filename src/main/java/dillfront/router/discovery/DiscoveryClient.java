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
 * Long-polls discovery for member lists newer than the last one, over one connection, or two while
 * the address changes.
 */
public final class DiscoveryClient {

    /** Receives the member lists. */
    public interface Listener {
        void listReceived(JsonObject list);

        /** Called when the connection to discovery fails; the last list stays in force. */
        void listFailed();
    }

    /**
     * Long-poll wait of discovery, and the additional time allowed for a response, in connect
     * timeouts.
     */
    private static final int LONG_POLL_CONNECT_TIMEOUTS = 4;

    private static final int RESPONSE_CONNECT_TIMEOUTS = 2;

    private final long connectTimeoutNanos;
    private final Counters counters;
    private final Log log;
    private final EventLoop loop;
    private final Listener listener;
    private InetSocketAddress address;

    /** Generation of the latest list from this address; negative if none is known. */
    private long generation;

    private DiscoveryConnection current;

    /**
     * Connection to the previous address; kept until the new address has provided its list, or
     * until it closes by itself.
     */
    private DiscoveryConnection previous;

    private boolean closed;

    /**
     * Whether discovery has answered since the start, so that updates published before are known.
     */
    private boolean hasAnswered;

    /** Whether the failure was logged; reset when discovery is reached again. */
    private boolean unreachableLogged;

    /**
     * @param generation generation of the known list; negative if there is none
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

    /** Connects to discovery and polls it until close(). */
    public void start() {
        if (!closed && (current == null || current.ended || current == previous)) {
            current = new DiscoveryConnection(generation);
            current.open();
        }
    }

    /**
     * Changes the discovery address. The last list stays in force until the first, complete one
     * from the new address; until then the old connection is read too, since a drain published
     * there may still be unread.
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
     * Reads pending data from discovery at once, ahead of other sockets: a published list binds
     * every later send.
     */
    public void readPending() {
        if (previous != null) {
            previous.readPending();
        }
        if (current != null) {
            current.readPending();
        }
    }

    /** Returns whether discovery has answered since the start. */
    public boolean hasAnswered() {
        return hasAnswered;
    }

    /** Closes the connections and stops all timers. */
    public void close() {
        closed = true;
        for (DiscoveryConnection connection : new DiscoveryConnection[] {previous, current}) {
            if (connection != null) {
                connection.close();
            }
        }
    }

    /** One connection to discovery. Owns its buffer and its timer, both released in close(). */
    private final class DiscoveryConnection extends TerminalHandler {

        private final HttpResponseDecoder decoder = new HttpResponseDecoder();
        private final InetSocketAddress remoteAddress = address;
        private final long waitMs =
                TimeUnit.NANOSECONDS.toMillis(LONG_POLL_CONNECT_TIMEOUTS * connectTimeoutNanos);
        private Channel channel;
        private ScheduledFuture<?> responseTimer;
        private boolean ended;
        private boolean connected;

        /** Generation after which lists are requested; negative requests the complete list. */
        private long afterGeneration;

        /** Whether the first response was received; only later requests use a long poll. */
        private boolean responded;

        DiscoveryConnection(long afterGeneration) {
            this.afterGeneration = afterGeneration;
        }

        void readPending() {
            if (connected
                    && !ended
                    && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
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
                            (int)
                                    TimeUnit.NANOSECONDS.toMillis(
                                            2 * RESPONSE_CONNECT_TIMEOUTS * connectTimeoutNanos));
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
                                // A pause of this process does not count as an unresponsive
                                // discovery: data received meanwhile is read first.
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
            // The first request does not wait: its response proves the connection and brings
            // updates published before.
            String query =
                    afterGeneration >= 0
                            ? "?after=" + afterGeneration + "&wait_ms=" + (responded ? waitMs : 0)
                            : "";
            String host =
                    remoteAddress.getAddress().getHostAddress() + ":" + remoteAddress.getPort();
            ctx.writeAndFlush(
                    ByteBufUtil.writeAscii(
                            ctx.alloc(),
                            "GET /api/targets"
                                    + query
                                    + " HTTP/1.1\r\nHost: "
                                    + host
                                    + "\r\n\r\n"));
            // Kept short, since a dead connection is indistinguishable from one without updates
            // until the poll ends.
            startResponseTimer(
                    (afterGeneration >= 0 && responded ? LONG_POLL_CONNECT_TIMEOUTS : 0)
                                    * connectTimeoutNanos
                            + RESPONSE_CONNECT_TIMEOUTS * connectTimeoutNanos);
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
                    throw new HttpFormatException(
                            "no generation, or a complete list without instances");
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
                        "invalid JSON: "
                                + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            } finally {
                body.release();
            }
        }

        private void fail(String error) {
            counters.failedLists++;
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

        /**
         * Closes the connection, the only place where it is released; the next attempt follows
         * after a delay.
         */
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
                // After a working connection the next attempt is immediate, since drains are missed
                // until then.
                loop.schedule(
                        DiscoveryClient.this::start,
                        responded ? 0 : connectTimeoutNanos / 4,
                        TimeUnit.NANOSECONDS);
            }
        }
    }
}
