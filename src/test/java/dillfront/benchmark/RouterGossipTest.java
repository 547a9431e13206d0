package dillfront.benchmark;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.logging.Log;
import dillfront.router.RouterServer;
import dillfront.router.config.RouterConfig;
import dillfront.router.operator.OperatorConfig;
import dillfront.router.peers.KeyFile;
import dillfront.router.peers.PeerRegistry;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs routers with operator configurations: they discover each other, report their state to the
 * control port, and leave.
 */
class RouterGossipTest {

    private static final int ROUTERS = 3;

    @TempDir Path folder;

    private final List<Integer> controlPorts = new ArrayList<>();

    private static int freeUdp() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private String query(int router, String question) throws IOException {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), controlPorts.get(router))) {
            socket.setSoTimeout(3000);
            socket.getOutputStream().write(question.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (java.net.SocketException reset) {
            return "";
        }
    }

    private void awaitOccurrences(int router, String pattern, int count) throws Exception {
        String reply = "";
        for (long deadline = System.nanoTime() + 10_000_000_000L; System.nanoTime() < deadline; ) {
            reply = query(router, "peers json\n");
            if (reply.split(pattern, -1).length - 1 == count) {
                return;
            }
            Thread.sleep(10);
        }
        throw new AssertionError("not " + count + " times " + pattern + " in " + reply);
    }

    @Test
    void routersDiscoverPeersAndLeave() throws Exception {
        StringBuilder peers = new StringBuilder();
        List<String> publicKeys = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            KeyPair pair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
            Files.writeString(folder.resolve("r" + i + ".key"), KeyFile.text(pair.getPrivate()));
            publicKeys.add(HexFormat.of().formatHex(PeerRegistry.rawKey(pair.getPublic())));
            peers.append(
                    String.format(
                            "peer(\"r%d\", address = \"127.0.0.1:%d\", keys = [\"%s\"])%n",
                            i, freeUdp(), publicKeys.get(i)));
            controlPorts.add(RouterProcess.freePort());
        }
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        List<RouterServer> daemons = new ArrayList<>();
        try (StubBackends backends = new StubBackends(1000)) {
            for (int i = 0; i < ROUTERS; i++) {
                OperatorConfig operator =
                        OperatorConfig.read(
                                "r" + i + ".star",
                                peers
                                        + "gossip(key = \""
                                        + folder.resolve("r" + i + ".key")
                                        + "\", public = \""
                                        + publicKeys.get(i)
                                        + "\", period = \"200ms\")\ncontrol(\"127.0.0.1:"
                                        + controlPorts.get(i)
                                        + "\")\n");
                String config =
                        backends.config(RouterProcess.freePort(), 1.0)
                                .replace("\"name\":\"n0\"", "\"name\":\"r" + i + "\"");
                RouterServer daemon =
                        new RouterServer(
                                RouterConfig.read(
                                        new ByteArrayInputStream(
                                                config.getBytes(StandardCharsets.UTF_8))),
                                operator,
                                new Log(new PrintStream(log, true)));
                daemon.start();
                daemons.add(daemon);
            }
            for (int i = 0; i < ROUTERS; i++) {
                awaitOccurrences(i, "\"state\":\"alive\"", ROUTERS - 1);
                awaitOccurrences(
                        i, "\"id\":\"s-", StubBackends.GROUPS * StubBackends.NODES_PER_GROUP);
            }
            String table = query(0, "peers\n");
            assertTrue(table.startsWith("peer "), table);
            assertTrue(table.contains("datagrams read"), table);
            assertEquals(
                    "unknown question; known: peers, peers json, status, status json\n",
                    query(0, "who\n"));
            assertEquals("", query(0, "x".repeat(100)), "an overlong query");
            // Datagrams without a valid signature.
            try (DatagramSocket unknownSender = new DatagramSocket()) {
                byte[] junk = new byte[200];
                String address = peers.toString().split("127.0.0.1:")[1].split("\"")[0];
                for (int i = 0; i < 5; i++) {
                    unknownSender.send(
                            new java.net.DatagramPacket(
                                    junk,
                                    junk.length,
                                    new InetSocketAddress(
                                            InetAddress.getLoopbackAddress(),
                                            Integer.parseInt(address))));
                }
            }
            awaitOccurrences(0, "\"dropped_form\":5", 1);
            daemons.remove(2).stop();
            awaitOccurrences(0, "\"state\":\"left\"", 1);
            awaitOccurrences(1, "\"state\":\"left\"", 1);
        } finally {
            daemons.forEach(RouterServer::stop);
        }
        assertTrue(
                !log.toString(StandardCharsets.UTF_8).contains("fault="),
                log.toString(StandardCharsets.UTF_8));
    }
}
