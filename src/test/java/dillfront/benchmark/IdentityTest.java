package dillfront.benchmark;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.nimbusds.jose.JWSAlgorithm;
import com.nimbusds.jose.JWSHeader;
import com.nimbusds.jose.crypto.ECDSASigner;
import com.nimbusds.jose.jwk.Curve;
import com.nimbusds.jose.jwk.ECKey;
import com.nimbusds.jose.jwk.JWK;
import com.nimbusds.jose.jwk.JWKSet;
import com.nimbusds.jose.jwk.gen.ECKeyGenerator;
import com.nimbusds.jwt.JWTClaimsSet;
import com.nimbusds.jwt.SignedJWT;
import dillfront.common.logging.Log;
import dillfront.router.RouterServer;
import dillfront.router.config.RouterConfig;
import dillfront.router.operator.OperatorConfig;
import dillfront.router.pgwire.Messages;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Date;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks a router that authenticates its clients, with a token issuer of the test and nodes that
 * count received statements.
 */
class IdentityTest {

    private static final AtomicInteger IDS = new AtomicInteger();
    private static final String PASSWORD = "changeit";

    @TempDir Path folder;

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final List<Socket> openSockets = new ArrayList<>();
    private StubBackends backends;
    private RouterServer daemon;
    private int port;
    private SSLContext clientContext;
    private ECKey firstKey;
    private ECKey secondKey;

    @BeforeEach
    void start() throws Exception {
        createCertificate();
        firstKey =
                new ECKeyGenerator(Curve.P_256)
                        .keyID("k1")
                        .algorithm(JWSAlgorithm.ES256)
                        .generate();
        secondKey =
                new ECKeyGenerator(Curve.P_256)
                        .keyID("k2")
                        .algorithm(JWSAlgorithm.ES256)
                        .generate();
        writeKeySet(firstKey);
        Files.writeString(folder.resolve("revoked.txt"), "# none yet\n");
        Path file = folder.resolve("operator.star");
        Files.writeString(
                file,
                """
                D = "%s/"
                identity(jwks = D + "keys.json", issuer = "depot", revoked = D + "revoked.txt", certificate = D + "server.pem",
                         key = D + "server.key", overlap = "3s", holds = "60s")
                role("reader", [allow(types = ["history", "stock-view"], access = "r", prefix = "9-hotel-7/"),
                                deny(prefix = "9-hotel-7/safe")])
                role("poster", [allow(types = ["post-movement"], access = "w", prefix = "9-hotel-7/")])
                principal("billing-7", roles = ["reader"])
                principal("tablet-7", roles = ["reader", "poster"], at_once = 2)
                """
                        .formatted(folder));
        backends = new StubBackends(250_000);
        port = RouterProcess.freePort();
        daemon =
                new RouterServer(
                        RouterConfig.read(
                                new ByteArrayInputStream(
                                        backends.config(port, 1.0)
                                                .getBytes(StandardCharsets.UTF_8))),
                        OperatorConfig.read(file),
                        new Log(new PrintStream(log, true)));
        daemon.start();
    }

    @AfterEach
    void stop() throws Exception {
        for (Socket socket : openSockets) {
            socket.close();
        }
        daemon.stop();
        backends.close();
        assertTrue(!logged().contains("client-connection"), logged());
    }

    private String logged() {
        return log.toString(StandardCharsets.UTF_8);
    }

    /**
     * Creates a server certificate with the JDK's keytool, which the clients of this test trust.
     */
    private void createCertificate() throws Exception {
        Path store = folder.resolve("server.p12");
        assertEquals(
                0,
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "keytool")
                                        .toString(),
                                "-genkeypair",
                                "-alias",
                                "server",
                                "-keyalg",
                                "EC",
                                "-groupname",
                                "secp256r1",
                                "-dname",
                                "CN=localhost",
                                "-validity",
                                "2",
                                "-storetype",
                                "PKCS12",
                                "-keystore",
                                store.toString(),
                                "-storepass",
                                PASSWORD)
                        .redirectErrorStream(true)
                        .redirectOutput(folder.resolve("keytool.log").toFile())
                        .start()
                        .waitFor());
        KeyStore keys = KeyStore.getInstance(store.toFile(), PASSWORD.toCharArray());
        writePem("server.pem", "CERTIFICATE", keys.getCertificate("server").getEncoded());
        writePem(
                "server.key",
                "PRIVATE KEY",
                keys.getKey("server", PASSWORD.toCharArray()).getEncoded());
        KeyStore trusted = KeyStore.getInstance(KeyStore.getDefaultType());
        trusted.load(null, null);
        trusted.setCertificateEntry("server", keys.getCertificate("server"));
        TrustManagerFactory factory =
                TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        factory.init(trusted);
        clientContext = SSLContext.getInstance("TLS");
        clientContext.init(null, factory.getTrustManagers(), null);
    }

    private void writePem(String name, String type, byte[] bytes) throws IOException {
        Files.writeString(
                folder.resolve(name),
                "-----BEGIN "
                        + type
                        + "-----\n"
                        + Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(bytes)
                        + "\n-----END "
                        + type
                        + "-----\n");
    }

    private void writeKeySet(JWK... keys) throws IOException {
        List<JWK> publicKeys = new ArrayList<>();
        for (JWK key : keys) {
            publicKeys.add(key.toPublicJWK());
        }
        Files.writeString(folder.resolve("keys.json"), new JWKSet(publicKeys).toString());
    }

    private static String token(ECKey signingKey, String subject, String tokenId) throws Exception {
        SignedJWT jwt =
                new SignedJWT(
                        new JWSHeader.Builder(JWSAlgorithm.ES256)
                                .keyID(signingKey.getKeyID())
                                .build(),
                        new JWTClaimsSet.Builder()
                                .subject(subject)
                                .issuer("depot")
                                .audience("dillfront")
                                .jwtID(tokenId)
                                .expirationTime(new Date(System.currentTimeMillis() + 3_600_000))
                                .build());
        jwt.sign(new ECDSASigner(signingKey));
        return jwt.serialize();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(5000);
        openSockets.add(socket);
        return socket;
    }

    private static ByteBuf sslRequest() {
        return Unpooled.buffer().writeInt(8).writeInt(Messages.SSL_REQUEST);
    }

    private static void write(Socket socket, ByteBuf bytes) throws IOException {
        socket.getOutputStream().write(bytes.array(), 0, bytes.readableBytes());
    }

    private Socket tls() throws IOException {
        Socket plain = connect();
        write(plain, sslRequest());
        assertEquals('S', plain.getInputStream().read());
        Socket secure =
                clientContext.getSocketFactory().createSocket(plain, "localhost", port, true);
        secure.setSoTimeout(5000);
        openSockets.add(secure);
        return secure;
    }

    /**
     * Reads until the router waits for the client (R with a request, Z) or the connection ends. The
     * summary keeps error codes and message types only.
     */
    private static String receive(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        StringBuilder summary = new StringBuilder();
        while (true) {
            int type = in.read();
            if (type < 0) {
                return summary.append("end").toString();
            }
            byte[] body = in.readNBytes(in.readInt() - 4);
            if (type == 'E') {
                String text = new String(body, StandardCharsets.US_ASCII);
                summary.append(text, text.indexOf("\0C") + 2, text.indexOf("\0C") + 7).append(' ');
            } else if (type == 'D') {
                summary.append("row ");
            } else if (type == 'R' && body[3] != 0) {
                return summary.append("password?").toString();
            } else if (type == 'Z') {
                return summary.append("ready").toString();
            }
        }
    }

    private Socket sendCredentials(String user, String token) throws IOException {
        Socket socket = tls();
        write(socket, Messages.startup(Unpooled.buffer(), user, "catalog"));
        assertEquals("password?", receive(socket));
        write(
                socket,
                Unpooled.buffer()
                        .writeByte('p')
                        .writeInt(5 + token.length())
                        .writeBytes(token.getBytes(StandardCharsets.US_ASCII))
                        .writeByte(0));
        return socket;
    }

    private Socket logIn(String user, String token) throws IOException {
        Socket socket = sendCredentials(user, token);
        assertEquals("ready", receive(socket));
        return socket;
    }

    private static void send(Socket socket, String type, String key) throws IOException {
        String comment =
                " /* id="
                        + Integer.toHexString(0x7000000 + IDS.incrementAndGet())
                        + ",c="
                        + type
                        + ",d=700,cluster=0 */";
        write(
                socket,
                Messages.query(
                        Unpooled.buffer(256),
                        type.equals("post-movement")
                                ? "INSERT INTO objects (oid, body) VALUES ('"
                                        + key
                                        + "', '\\x9f03') RETURNING body"
                                        + comment
                                : "SELECT body FROM objects WHERE oid = '" + key + "'" + comment));
    }

    private static String request(Socket socket, String type, String key) throws IOException {
        send(socket, type, key);
        return receive(socket);
    }

    private int statementsReceived() {
        int total = 0;
        for (int i = 0; i < StubBackends.GROUPS * StubBackends.NODES_PER_GROUP; i++) {
            total += backends.arrivals(i).size();
        }
        return total;
    }

    private void awaitLogged(String text) throws Exception {
        awaitLogged(text, 1);
    }

    private int countLogged(String text) {
        return logged().split(Pattern.quote(text), -1).length - 1;
    }

    private void awaitLogged(String text, int count) throws Exception {
        for (long deadline = System.nanoTime() + 20_000_000_000L;
                countLogged(text) < count && System.nanoTime() < deadline; ) {
            Thread.sleep(5);
        }
        assertTrue(countLogged(text) >= count, logged());
    }

    @Test
    void forwardsOnlyAllowedStatements() throws Exception {
        Socket billing = logIn("billing-7", token(firstKey, "billing-7", "t-1"));
        assertEquals("row ready", request(billing, "history", "9-hotel-7/june"));
        assertEquals(1, statementsReceived());
        for (String key :
                List.of(
                        "9-hotel-70/june",
                        "9-hotel-7",
                        "9-hotel-8/june",
                        "9-hotel-7/safe/1",
                        "8-hotel-7/june")) {
            assertEquals("42501 ready", request(billing, "history", key), key);
        }
        assertEquals("42501 ready", request(billing, "post-movement", "9-hotel-7/june"), "a write");
        assertEquals(
                "42501 ready", request(billing, "balance-check", "9-hotel-7/june"), "another type");
        assertEquals("42501 ready", request(billing, "no-such", "9-hotel-7/june"));
        // A write with the class of a read.
        write(
                billing,
                Messages.query(
                        Unpooled.buffer(256),
                        "INSERT INTO objects (oid, body) VALUES ('9-hotel-7/x', '\\x9f') RETURNING "
                                + "body /* id=77aa,c=history,d=700,cluster=0 */"));
        assertEquals("42501 ready", receive(billing));
        assertEquals(1, statementsReceived(), "no denied statement reached a node");
        awaitLogged(
                "denied who=billing-7 why=NO_RIGHT type=history write=false group=0 rule="
                        + folder.resolve("operator.star")
                        + ":5");
        Socket tablet = logIn("tablet-7", token(firstKey, "tablet-7", "t-2"));
        assertEquals("row ready", request(tablet, "post-movement", "9-hotel-7/june"));
    }

    @Test
    void rejectsUnauthenticatedClients() throws Exception {
        Socket plain = connect();
        write(plain, Messages.startup(Unpooled.buffer(), "billing-7", "catalog"));
        assertEquals("28000 end", receive(plain), "without TLS");
        Socket pipelined = connect();
        ByteBuf pipelinedBytes = sslRequest();
        pipelinedBytes.writeBytes(Messages.startup(Unpooled.buffer(), "billing-7", "catalog"));
        write(pipelined, pipelinedBytes);
        assertEquals("08P01 end", receive(pipelined), "bytes after the SSL request");
        assertEquals("28000 end", receive(sendCredentials("billing-7", "nonsense")));
        assertEquals(
                "28000 end",
                receive(sendCredentials("billing-7", token(secondKey, "billing-7", "t-1"))),
                "unknown signing key");
        assertEquals(
                "28000 end",
                receive(sendCredentials("tablet-7", token(firstKey, "billing-7", "t-1"))),
                "token of another principal");
        assertEquals(
                "28000 end",
                receive(sendCredentials("guest", token(firstKey, "guest", "t-1"))),
                "unknown principal");
        Socket early = tls();
        write(early, Messages.startup(Unpooled.buffer(), "billing-7", "catalog"));
        assertEquals("password?", receive(early));
        send(early, "history", "9-hotel-7/june");
        assertEquals("08P01 end", receive(early), "a query before authentication");
        assertEquals(0, statementsReceived());
    }

    @Test
    void limitsRateOfFailedLogins() throws Exception {
        for (int i = 0; i < 4; i++) {
            assertEquals("28000 end", receive(sendCredentials("billing-7", "guess-" + i)));
        }
        Socket limited = tls();
        write(limited, Messages.startup(Unpooled.buffer(), "billing-7", "catalog"));
        assertEquals("28000 end", receive(limited), "rejected without a password request");
        logIn("tablet-7", token(firstKey, "tablet-7", "t-2"));
    }

    @Test
    void revocationRejectsOnlyNewTransactions() throws Exception {
        Socket tablet = logIn("tablet-7", token(firstKey, "tablet-7", "t-5"));
        Socket other = logIn("tablet-7", token(firstKey, "tablet-7", "t-6"));
        Socket idle = logIn("tablet-7", token(firstKey, "tablet-7", "t-5"));
        send(tablet, "post-movement", "9-hotel-7/june");
        while (statementsReceived() == 0) {
            Thread.sleep(1);
        }
        Files.writeString(folder.resolve("revoked.txt"), "t-5\n");
        long revokedNanos = System.nanoTime();
        assertEquals("row ready", receive(tablet), "response of the transaction in flight");
        assertEquals("28000 end", receive(idle), "idle session ended with an error");
        assertTrue(System.nanoTime() - revokedNanos < 1_000_000_000L);
        assertEquals("28000 end", request(tablet, "history", "9-hotel-7/june"));
        assertEquals("row ready", request(other, "history", "9-hotel-7/june"));
        assertEquals(
                "28000 end",
                receive(sendCredentials("tablet-7", token(firstKey, "tablet-7", "t-5"))));
        assertEquals(2, statementsReceived());
    }

    @Test
    void retiresRemovedKeyAfterOverlap() throws Exception {
        Socket oldKeySession = logIn("billing-7", token(firstKey, "billing-7", "t-1"));
        writeKeySet(firstKey, secondKey);
        awaitLogged("identity-read");
        Socket newKeySession = logIn("billing-7", token(secondKey, "billing-7", "t-2"));
        writeKeySet(secondKey);
        awaitLogged("keys=[k2]");
        long removedNanos = System.nanoTime();
        int served = 0;
        while (System.nanoTime() - removedNanos < 1_500_000_000L) {
            assertEquals(
                    "row ready",
                    request(oldKeySession, "history", "9-hotel-7/june"),
                    "within the overlap");
            served++;
        }
        assertTrue(served > 2);
        assertEquals("28000 end", receive(oldKeySession));
        assertEquals("row ready", request(newKeySession, "history", "9-hotel-7/june"));
    }

    @Test
    void keepsPolicyWhenKeyFileIsInvalid() throws Exception {
        Socket billing = logIn("billing-7", token(firstKey, "billing-7", "t-1"));
        String keySet = Files.readString(folder.resolve("keys.json"));
        for (String invalid :
                List.of(keySet.substring(0, keySet.length() / 2), "{\"keys\":[]}", "")) {
            // Each content is invalid in another way, so each is logged anew.
            int loggedBefore = countLogged("identity-unreadable");
            Files.writeString(folder.resolve("keys.json"), invalid);
            awaitLogged("identity-unreadable", loggedBefore + 1);
            assertEquals("row ready", request(billing, "history", "9-hotel-7/june"));
            logIn("billing-7", token(firstKey, "billing-7", "t-2"));
            assertEquals(
                    "28000 end",
                    receive(sendCredentials("billing-7", token(secondKey, "billing-7", "t-3"))));
        }
        int loggedBefore = countLogged("identity-unreadable");
        Files.delete(folder.resolve("keys.json"));
        awaitLogged("identity-unreadable", loggedBefore + 1);
        assertEquals("row ready", request(billing, "history", "9-hotel-7/june"));
        log.reset();
        writeKeySet(firstKey);
        awaitLogged("identity-read");
    }

    @Test
    void servesClientsDespiteStalledHandshakes() throws Exception {
        Socket billing = logIn("billing-7", token(firstKey, "billing-7", "t-1"));
        for (int i = 0; i < 100; i++) {
            Socket stalled = connect();
            write(stalled, sslRequest());
            if (i % 2 == 0) {
                stalled.getOutputStream().write(new byte[] {22, 3, 1, 0, 50, 1});
            } else {
                stalled.getOutputStream()
                        .write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            }
        }
        assertEquals("row ready", request(billing, "history", "9-hotel-7/june"));
    }
}
