package dillfront.router;

import dillfront.common.logging.Log;
import dillfront.router.config.ConfigException;
import dillfront.router.config.RouterConfig;
import dillfront.router.pgwire.Messages;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Starts a router whose only node is its own listener and sends it queries: a transaction returns
 * to the listener, is refused there because its id is open, and so passes through the code that a
 * starting router needs. The build runs this and archives the classes loaded, so that later starts
 * are faster. Uses the loopback interface only.
 */
public final class WarmUpRun {

    private static final String CONFIG =
            "{'name':'rehearsal','listen':'%1$s','discovery':'127.0.0.1:1','seed':'1',"
                    + "'limits':{'sockets':512},'known':{'generation':1,'reset':true,'instances':[{'instanceId':'s','hostPort':"
                    + "'%1$s','zone':'a','cell':1,'lifecycle':'ready','weight':1.5,'startedAtMs':1,'role':'leader'}]},"
                    + "'settings':{'az':'a','zones':['a'],'stepUs':5000,'bounds':{'dialTimeoutUs':250000,'maxAttempts':2,"
                    + "'probes':true,'retryAfter':true,'maxRetryAfterUs':1000000,'keepaliveUs':30000000},"
                    + "'stats':{'how':'inline','fields':['x0','x1']},'classes':[{'name':'any','effect':'retryable',"
                    + "'targetUs':300000,'deadlineUs':1000000,'worth':1.5,'lateShare':0.1},{'name':'move','effect':'dedup',"
                    + "'dedupWindowUs':2000000,'targetUs':300000,'deadlineUs':1000000}],'familyInfo':{'classRead':"
                    + "['eventual','mutate'],'listRole':'static','guards':'off','tokens':'brought'},"
                    + "'rules':{'coldFrom':0.2,'coldUs':9000000,'tipMultiple':2.0,'tipAfterUs':1000000}}}";

    private WarmUpRun() {}

    /** Runs one router against itself so that the classes it needs are loaded. */
    public static void run(Log log) throws IOException, ConfigException {
        int port;
        try (ServerSocket portReservation =
                new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = portReservation.getLocalPort();
        }
        String config = String.format(CONFIG, "127.0.0.1:" + port).replace('\'', '"');
        RouterConfig parsedConfig =
                RouterConfig.read(
                        new ByteArrayInputStream(config.getBytes(StandardCharsets.US_ASCII)));
        RouterServer daemon = new RouterServer(parsedConfig, log);
        daemon.registerSignals(() -> parsedConfig);
        daemon.start();
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout(5000);
            ByteBuf queries = Messages.startup(Unpooled.buffer(), "worker", "catalog");
            Messages.query(queries, "");
            Messages.query(
                    queries,
                    "SELECT body FROM objects WHERE oid = 'k' /* id=1,c=any,d=400,cluster=1,after=1 */");
            Messages.query(
                    queries,
                    "INSERT INTO objects (oid, body) VALUES ('k', '\\x00') RETURNING body "
                            + "/* id=1,c=move,d=400,cluster=1 */");
            client.getOutputStream().write(queries.array(), 0, queries.readableBytes());
            for (int readyCount = 0; readyCount < 4; ) {
                int type = client.getInputStream().read();
                byte[] length = client.getInputStream().readNBytes(4);
                if (length.length < 4) {
                    throw new IOException("the router closed the warm-up client's connection");
                }
                client.getInputStream().readNBytes(Unpooled.wrappedBuffer(length).getInt(0) - 4);
                readyCount += type == 'Z' ? 1 : 0;
            }
        }
        daemon.stop();
    }
}
