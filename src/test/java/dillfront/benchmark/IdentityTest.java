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
import dillfront.router.operator.Operator;
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
 * A router whose callers prove who they are, with an authority of the test's own and nodes that
 * count what reaches them.
 */
class IdentityTest {

    private static final AtomicInteger IDS = new AtomicInteger();
    private static final String PASSWORD = "changeit";

    @TempDir Path folder;

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final List<Socket> open = new ArrayList<>();
    private StandIns round;
    private RouterServer daemon;
    private int port;
    private SSLContext trust;
    private ECKey first;
    private ECKey second;

    @BeforeEach
    void start() throws Exception {
        certificate();
        first =
                new ECKeyGenerator(Curve.P_256)
                        .keyID("k1")
                        .algorithm(JWSAlgorithm.ES256)
                        .generate();
        second =
                new ECKeyGenerator(Curve.P_256)
                        .keyID("k2")
                        .algorithm(JWSAlgorithm.ES256)
                        .generate();
        keys(first);
        Files.writeString(folder.resolve("revoked.txt"), "# none yet\n");
        Path file = folder.resolve("operator.star");
        Files.writeString(
                file,
                """
                D = "%s/"
                identity(jwks = D + "keys.json", issuer = "depot", revoked = D + "revoked.txt", certificate = D + "door.pem",
                         key = D + "door.key", overlap = "3s", holds = "60s")
                role("reader", [allow(types = ["history", "stock-view"], access = "r", prefix = "9-hotel-7/"),
                                deny(prefix = "9-hotel-7/safe")])
                role("poster", [allow(types = ["post-movement"], access = "w", prefix = "9-hotel-7/")])
                principal("billing-7", roles = ["reader"])
                principal("tablet-7", roles = ["reader", "poster"], at_once = 2)
                """
                        .formatted(folder));
        round = new StandIns(250_000);
        port = Drive.freePort();
        daemon =
                new RouterServer(
                        RouterConfig.read(
                                new ByteArrayInputStream(
                                        round.config(port, 1.0).getBytes(StandardCharsets.UTF_8))),
                        Operator.read(file),
                        new Log(new PrintStream(log, true)));
        daemon.start();
    }

    @AfterEach
    void stop() throws Exception {
        for (Socket socket : open) {
            socket.close();
        }
        daemon.stop();
        round.close();
        assertTrue(!logged().contains("client-connection"), logged());
    }

    private String logged() {
        return log.toString(StandardCharsets.UTF_8);
    }

    /** Made by the JDK's own tool, and trusted by the clients of this test. */
    private void certificate() throws Exception {
        Path store = folder.resolve("door.p12");
        assertEquals(
                0,
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "keytool")
                                        .toString(),
                                "-genkeypair",
                                "-alias",
                                "door",
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
        pem("door.pem", "CERTIFICATE", keys.getCertificate("door").getEncoded());
        pem("door.key", "PRIVATE KEY", keys.getKey("door", PASSWORD.toCharArray()).getEncoded());
        KeyStore trusted = KeyStore.getInstance(KeyStore.getDefaultType());
        trusted.load(null, null);
        trusted.setCertificateEntry("door", keys.getCertificate("door"));
        TrustManagerFactory factory =
                TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        factory.init(trusted);
        trust = SSLContext.getInstance("TLS");
        trust.init(null, factory.getTrustManagers(), null);
    }

    private void pem(String name, String what, byte[] bytes) throws IOException {
        Files.writeString(
                folder.resolve(name),
                "-----BEGIN "
                        + what
                        + "-----\n"
                        + Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(bytes)
                        + "\n-----END "
                        + what
                        + "-----\n");
    }

    private void keys(JWK... keys) throws IOException {
        List<JWK> open = new ArrayList<>();
        for (JWK key : keys) {
            open.add(key.toPublicJWK());
        }
        Files.writeString(folder.resolve("keys.json"), new JWKSet(open).toString());
    }

    private static String token(ECKey by, String who, String id) throws Exception {
        SignedJWT jwt =
                new SignedJWT(
                        new JWSHeader.Builder(JWSAlgorithm.ES256).keyID(by.getKeyID()).build(),
                        new JWTClaimsSet.Builder()
                                .subject(who)
                                .issuer("depot")
                                .audience("dillfront")
                                .jwtID(id)
                                .expirationTime(new Date(System.currentTimeMillis() + 3_600_000))
                                .build());
        jwt.sign(new ECDSASigner(by));
        return jwt.serialize();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(5000);
        open.add(socket);
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
        Socket secure = trust.getSocketFactory().createSocket(plain, "localhost", port, true);
        secure.setSoTimeout(5000);
        open.add(secure);
        return secure;
    }

    /**
     * Up to what tells that the router waits: R with a question, Z, or the end. Only errors' codes
     * and types are kept.
     */
    private static String hear(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        StringBuilder heard = new StringBuilder();
        while (true) {
            int type = in.read();
            if (type < 0) {
                return heard.append("end").toString();
            }
            byte[] body = in.readNBytes(in.readInt() - 4);
            if (type == 'E') {
                String text = new String(body, StandardCharsets.US_ASCII);
                heard.append(text, text.indexOf("\0C") + 2, text.indexOf("\0C") + 7).append(' ');
            } else if (type == 'D') {
                heard.append("row ");
            } else if (type == 'R' && body[3] != 0) {
                return heard.append("password?").toString();
            } else if (type == 'Z') {
                return heard.append("ready").toString();
            }
        }
    }

    private Socket in(String user, String token) throws IOException {
        Socket socket = tls();
        write(socket, Messages.startup(Unpooled.buffer(), user, "catalog"));
        assertEquals("password?", hear(socket));
        write(
                socket,
                Unpooled.buffer()
                        .writeByte('p')
                        .writeInt(5 + token.length())
                        .writeBytes(token.getBytes(StandardCharsets.US_ASCII))
                        .writeByte(0));
        return socket;
    }

    private Socket ready(String user, String token) throws IOException {
        Socket socket = in(user, token);
        assertEquals("ready", hear(socket));
        return socket;
    }

    private static void say(Socket socket, String type, String key) throws IOException {
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

    private static String ask(Socket socket, String type, String key) throws IOException {
        say(socket, type, key);
        return hear(socket);
    }

    private int reached() {
        int sum = 0;
        for (int i = 0; i < StandIns.GROUPS * StandIns.MEMBERS; i++) {
            sum += round.arrivals(i).size();
        }
        return sum;
    }

    private void untilLogged(String part) throws Exception {
        untilLogged(part, 1);
    }

    private int timesLogged(String part) {
        return logged().split(Pattern.quote(part), -1).length - 1;
    }

    private void untilLogged(String part, int times) throws Exception {
        for (long end = System.nanoTime() + 20_000_000_000L;
                timesLogged(part) < times && System.nanoTime() < end; ) {
            Thread.sleep(5);
        }
        assertTrue(timesLogged(part) >= times, logged());
    }

    @Test
    void onlyWhatIsAllowedReachesANode() throws Exception {
        Socket billing = ready("billing-7", token(first, "billing-7", "t-1"));
        assertEquals("row ready", ask(billing, "history", "9-hotel-7/june"));
        assertEquals(1, reached());
        for (String key :
                List.of(
                        "9-hotel-70/june",
                        "9-hotel-7",
                        "9-hotel-8/june",
                        "9-hotel-7/safe/1",
                        "8-hotel-7/june")) {
            assertEquals("42501 ready", ask(billing, "history", key), key);
        }
        assertEquals("42501 ready", ask(billing, "post-movement", "9-hotel-7/june"), "a write");
        assertEquals(
                "42501 ready", ask(billing, "balance-check", "9-hotel-7/june"), "another type");
        assertEquals("42501 ready", ask(billing, "no-such", "9-hotel-7/june"));
        // A write under the name of a read's type.
        write(
                billing,
                Messages.query(
                        Unpooled.buffer(256),
                        "INSERT INTO objects (oid, body) VALUES ('9-hotel-7/x', '\\x9f') RETURNING "
                                + "body /* id=77aa,c=history,d=700,cluster=0 */"));
        assertEquals("42501 ready", hear(billing));
        assertEquals(1, reached(), "none of these reached a node");
        untilLogged(
                "denied who=billing-7 why=NO_RIGHT type=history write=false group=0 rule="
                        + folder.resolve("operator.star")
                        + ":5");
        Socket tablet = ready("tablet-7", token(first, "tablet-7", "t-2"));
        assertEquals("row ready", ask(tablet, "post-movement", "9-hotel-7/june"));
    }

    @Test
    void whoIsNotKnownIsNotLetIn() throws Exception {
        Socket plain = connect();
        write(plain, Messages.startup(Unpooled.buffer(), "billing-7", "catalog"));
        assertEquals("28000 end", hear(plain), "in the clear");
        Socket stuffed = connect();
        ByteBuf both = sslRequest();
        both.writeBytes(Messages.startup(Unpooled.buffer(), "billing-7", "catalog"));
        write(stuffed, both);
        assertEquals("08P01 end", hear(stuffed), "bytes behind the request");
        assertEquals("28000 end", hear(in("billing-7", "nonsense")));
        assertEquals(
                "28000 end",
                hear(in("billing-7", token(second, "billing-7", "t-1"))),
                "a key of nobody");
        assertEquals(
                "28000 end",
                hear(in("tablet-7", token(first, "billing-7", "t-1"))),
                "another's token");
        assertEquals(
                "28000 end", hear(in("guest", token(first, "guest", "t-1"))), "no such principal");
        Socket early = tls();
        write(early, Messages.startup(Unpooled.buffer(), "billing-7", "catalog"));
        assertEquals("password?", hear(early));
        say(early, "history", "9-hotel-7/june");
        assertEquals("08P01 end", hear(early), "a query before the proof");
        assertEquals(0, reached());
    }

    @Test
    void guessingIsSlowed() throws Exception {
        for (int i = 0; i < 4; i++) {
            assertEquals("28000 end", hear(in("billing-7", "guess-" + i)));
        }
        Socket next = tls();
        write(next, Messages.startup(Unpooled.buffer(), "billing-7", "catalog"));
        assertEquals("28000 end", hear(next), "not even asked");
        ready("tablet-7", token(first, "tablet-7", "t-2"));
    }

    @Test
    void aRevocationStopsNewTxnsAndNoneThatWasTaken() throws Exception {
        Socket tablet = ready("tablet-7", token(first, "tablet-7", "t-5"));
        Socket other = ready("tablet-7", token(first, "tablet-7", "t-6"));
        Socket idle = ready("tablet-7", token(first, "tablet-7", "t-5"));
        say(tablet, "post-movement", "9-hotel-7/june");
        while (reached() == 0) {
            Thread.sleep(1);
        }
        Files.writeString(folder.resolve("revoked.txt"), "t-5\n");
        long began = System.nanoTime();
        assertEquals("row ready", hear(tablet), "its one final answer");
        assertEquals("28000 end", hear(idle), "told and ended");
        assertTrue(System.nanoTime() - began < 1_000_000_000L);
        assertEquals("28000 end", ask(tablet, "history", "9-hotel-7/june"));
        assertEquals("row ready", ask(other, "history", "9-hotel-7/june"));
        assertEquals("28000 end", hear(in("tablet-7", token(first, "tablet-7", "t-5"))));
        assertEquals(2, reached());
    }

    @Test
    void keysChangeUnderOpenSessions() throws Exception {
        Socket old = ready("billing-7", token(first, "billing-7", "t-1"));
        keys(first, second);
        untilLogged("identity-read");
        Socket young = ready("billing-7", token(second, "billing-7", "t-2"));
        keys(second);
        untilLogged("keys=[k2]");
        long ended = System.nanoTime();
        int good = 0;
        while (System.nanoTime() - ended < 1_500_000_000L) {
            assertEquals("row ready", ask(old, "history", "9-hotel-7/june"), "within the overlap");
            good++;
        }
        assertTrue(good > 2);
        assertEquals("28000 end", hear(old));
        assertEquals("row ready", ask(young, "history", "9-hotel-7/june"));
    }

    @Test
    void aFileThatIsNoFileChangesNothing() throws Exception {
        Socket billing = ready("billing-7", token(first, "billing-7", "t-1"));
        String whole = Files.readString(folder.resolve("keys.json"));
        for (String bad : List.of(whole.substring(0, whole.length() / 2), "{\"keys\":[]}", "")) {
            // Each is wrong in another way than the one before, which is told anew.
            int before = timesLogged("identity-unreadable");
            Files.writeString(folder.resolve("keys.json"), bad);
            untilLogged("identity-unreadable", before + 1);
            assertEquals("row ready", ask(billing, "history", "9-hotel-7/june"));
            ready("billing-7", token(first, "billing-7", "t-2"));
            assertEquals("28000 end", hear(in("billing-7", token(second, "billing-7", "t-3"))));
        }
        int before = timesLogged("identity-unreadable");
        Files.delete(folder.resolve("keys.json"));
        untilLogged("identity-unreadable", before + 1);
        assertEquals("row ready", ask(billing, "history", "9-hotel-7/june"));
        log.reset();
        keys(first);
        untilLogged("identity-read");
    }

    @Test
    void handshakesThatStopHalfway() throws Exception {
        Socket billing = ready("billing-7", token(first, "billing-7", "t-1"));
        for (int i = 0; i < 100; i++) {
            Socket half = connect();
            write(half, sslRequest());
            if (i % 2 == 0) {
                half.getOutputStream().write(new byte[] {22, 3, 1, 0, 50, 1});
            } else {
                half.getOutputStream()
                        .write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            }
        }
        assertEquals("row ready", ask(billing, "history", "9-hotel-7/june"));
    }
}
