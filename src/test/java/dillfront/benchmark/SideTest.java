package dillfront.benchmark;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.logging.Log;
import dillfront.router.RouterServer;
import dillfront.router.config.RouterConfig;
import dillfront.router.operator.Operator;
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
 * Routers as they are, with the operator's file: they find each other, say how things stand, and
 * leave.
 */
class SideTest {

    private static final int ROUTERS = 3;

    @TempDir Path folder;

    private final List<Integer> controls = new ArrayList<>();

    private static int freeUdp() throws IOException {
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    private String asked(int router, String question) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), controls.get(router))) {
            socket.setSoTimeout(3000);
            socket.getOutputStream().write(question.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (java.net.SocketException reset) {
            return "";
        }
    }

    private void until(int router, String part, int times) throws Exception {
        String said = "";
        for (long end = System.nanoTime() + 10_000_000_000L; System.nanoTime() < end; ) {
            said = asked(router, "peers json\n");
            if (said.split(part, -1).length - 1 == times) {
                return;
            }
            Thread.sleep(10);
        }
        throw new AssertionError("not " + times + " of " + part + " in " + said);
    }

    @Test
    void findEachOtherAndLeave() throws Exception {
        StringBuilder peers = new StringBuilder();
        List<String> publics = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            KeyPair pair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
            Files.writeString(folder.resolve("r" + i + ".key"), KeyFile.text(pair.getPrivate()));
            publics.add(HexFormat.of().formatHex(PeerRegistry.rawKey(pair.getPublic())));
            peers.append(
                    String.format(
                            "peer(\"r%d\", address = \"127.0.0.1:%d\", keys = [\"%s\"])%n",
                            i, freeUdp(), publics.get(i)));
            controls.add(Drive.freePort());
        }
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        List<RouterServer> daemons = new ArrayList<>();
        try (StandIns round = new StandIns(1000)) {
            for (int i = 0; i < ROUTERS; i++) {
                Operator operator =
                        Operator.read(
                                "r" + i + ".star",
                                peers
                                        + "gossip(key = \""
                                        + folder.resolve("r" + i + ".key")
                                        + "\", public = \""
                                        + publics.get(i)
                                        + "\", period = \"200ms\")\ncontrol(\"127.0.0.1:"
                                        + controls.get(i)
                                        + "\")\n");
                String config =
                        round.config(Drive.freePort(), 1.0)
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
                until(i, "\"state\":\"alive\"", ROUTERS - 1);
                until(i, "\"id\":\"s-", StandIns.GROUPS * StandIns.MEMBERS);
            }
            String table = asked(0, "peers\n");
            assertTrue(table.startsWith("peer "), table);
            assertTrue(table.contains("datagrams read"), table);
            assertEquals(
                    "unknown question; known: peers, peers json, status, status json\n",
                    asked(0, "who\n"));
            assertEquals("", asked(0, "x".repeat(100)), "a line that is no question");
            // Datagrams that nobody signed.
            try (DatagramSocket stranger = new DatagramSocket()) {
                byte[] junk = new byte[200];
                String at = peers.toString().split("127.0.0.1:")[1].split("\"")[0];
                for (int i = 0; i < 5; i++) {
                    stranger.send(
                            new java.net.DatagramPacket(
                                    junk,
                                    junk.length,
                                    new InetSocketAddress(
                                            InetAddress.getLoopbackAddress(),
                                            Integer.parseInt(at))));
                }
            }
            until(0, "\"dropped_form\":5", 1);
            daemons.remove(2).stop();
            until(0, "\"state\":\"left\"", 1);
            until(1, "\"state\":\"left\"", 1);
        } finally {
            daemons.forEach(RouterServer::stop);
        }
        assertTrue(
                !log.toString(StandardCharsets.UTF_8).contains("fault="),
                log.toString(StandardCharsets.UTF_8));
    }
}
