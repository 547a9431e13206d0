package dillfront.operator;

import dillfront.config.Address;
import dillfront.gossip.Tuning;
import dillfront.peers.Ring;
import dillfront.script.Script;
import dillfront.script.ScriptError;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.spec.PKCS8EncodedKeySpec;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the operator's own file says; without one, nothing of it is on. The file is a script (dillfront.script) that may
 * call gossip(), peer() and control(), in any order:
 *
 * <pre>
 *   gossip(key = "/etc/dillfront/r1.key", public = "64 hex digits", period = "1s", bytes_per_second = 3000, liars = 1,
 *          lasts = "5s", datagram = 1200)
 *   peer("r1", address = "10.0.0.4:7946", keys = ["64 hex digits", {"key": "...", "from": "2026-12-01T00:00:00Z",
 *        "until": "2027-01-01T00:00:00Z"}])
 *   control("127.0.0.1:9946")
 * </pre>
 *
 * @param gossip null where it is off
 * @param control where the instance answers questions about itself, on a loopback address; null where it does not
 */
public record Operator(GossipPart gossip, InetSocketAddress control) {

    public static final Operator NONE = new Operator(null, null);

    /**
     * @param keyFile of this instance's private key, PKCS #8 in PEM
     * @param publicKey what belongs to it: one of this instance's keys in the ring, in hexadecimal
     */
    public record GossipPart(Tuning tuning, Ring ring, Path keyFile, String publicKey) {

        /** The index of the instance of this name. */
        public int self(String name) throws BadOperator {
            int self = ring.peer(Ring.hash(name));
            if (self < 0) {
                throw new BadOperator("no peer is called '" + name + "', as this instance is");
            }
            if (ring.address(self) == null) {
                throw new BadOperator("peer '" + name + "', which this instance is, has no address");
            }
            return self;
        }

        public PrivateKey key() throws BadOperator {
            try {
                String pem = Files.readString(keyFile, StandardCharsets.US_ASCII);
                String base64 = pem.replaceAll("-----[A-Z ]+-----", "").replaceAll("\\s", "");
                return KeyFactory.getInstance("Ed25519").generatePrivate(
                        new PKCS8EncodedKeySpec(Base64.getDecoder().decode(base64)));
            } catch (NoSuchFileException none) {
                throw new BadOperator("key " + keyFile + ": no such file");
            } catch (IOException | GeneralSecurityException | IllegalArgumentException bad) {
                throw new BadOperator("key " + keyFile + ": no Ed25519 key as `dillfront keygen` writes it");
            }
        }
    }

    /** What is wrong, with the file, the line and the column where it is known. */
    public static final class BadOperator extends Exception {
        private static final long serialVersionUID = 1;

        BadOperator(String fault) {
            super(fault);
        }
    }

    /** Collects what the script says. */
    private static final class Saying {

        private final Ring ring = new Ring();
        private Tuning tuning;
        private Path keyFile;
        private String publicKey;
        private InetSocketAddress control;

        Object gossip(Script.Arguments given) throws ScriptError {
            if (tuning != null) {
                throw given.error("", "gossip() is there twice");
            }
            Tuning usual = Tuning.USUAL;
            String key = given.text("key", null);
            publicKey = given.text("public", null);
            Duration period = span(given, "period", usual.period());
            long bytes = number(given, "bytes_per_second", usual.bytesPerSecond(), 500, 1_000_000);
            long liars = number(given, "liars", usual.liars(), 0, 100);
            Duration lasts = span(given, "lasts", usual.lasts());
            long datagram = number(given, "datagram", usual.datagram(), 400, 1400);
            given.done();
            if (key == null || publicKey == null) {
                throw given.error("", "gossip() needs '" + (key == null ? "key" : "public") + "'");
            }
            if (lasts.compareTo(period) < 0) {
                throw given.error("lasts", "claims last less than a period");
            }
            keyFile = Path.of(key);
            tuning = new Tuning(period, (int) bytes, (int) datagram, (int) liars, lasts);
            return null;
        }

        Object peer(Script.Arguments given) throws ScriptError {
            String name = given.text("name", null);
            String at = given.text("address", null);
            List<?> keys = given.list("keys");
            given.done();
            if (name == null || name.isEmpty()) {
                throw given.error("name", "a peer without a name");
            }
            InetSocketAddress address = at == null ? null : Address.parse(at);
            if (at != null && address == null) {
                throw given.error("address", "'" + at + "' is no address: expected an IPv4 address and a port, as 10.0.0.4:7946");
            }
            if (keys.isEmpty()) {
                throw given.error("keys", "peer '" + name + "' has no key");
            }
            try {
                int peer = ring.add(name, address);
                for (Object key : keys) {
                    if (key instanceof String hex) {
                        ring.key(peer, hex, Duration.ZERO, Duration.ofDays(1_000_000));
                    } else if (key instanceof Map<?, ?> row && row.get("key") instanceof String hex) {
                        ring.key(peer, hex, time(given, row.get("from"), Duration.ZERO),
                                time(given, row.get("until"), Duration.ofDays(1_000_000)));
                    } else {
                        throw given.error("keys", "expected a string, or a dict with 'key', 'from' and 'until'");
                    }
                }
            } catch (Ring.BadRing bad) {
                throw given.error("keys", bad.getMessage());
            }
            return null;
        }

        Object control(Script.Arguments given) throws ScriptError {
            String at = given.text("address", "");
            given.done();
            control = Address.parse(at);
            if (control == null || !control.getAddress().isLoopbackAddress()) {
                throw given.error("address", "'" + at + "' is no loopback address with a port, as 127.0.0.1:9946");
            }
            return null;
        }

        private static long number(Script.Arguments given, String name, long otherwise, long least, long most)
                throws ScriptError {
            long value = given.number(name, otherwise);
            if (value < least || value > most) {
                throw given.error(name, "'" + name + "' is " + value + ", expected " + least + " to " + most);
            }
            return value;
        }

        private static Duration span(Script.Arguments given, String name, Duration otherwise) throws ScriptError {
            String text = given.text(name, null);
            if (text == null) {
                return otherwise;
            }
            boolean ms = text.endsWith("ms");
            String digits = text.endsWith("s") ? text.substring(0, text.length() - (ms ? 2 : 1)) : "";
            if (!digits.matches("[0-9]{1,6}") || Long.parseLong(digits) == 0) {
                throw given.error(name, "expected a span as \"250ms\" or \"5s\" for '" + name + "', found \"" + text + "\"");
            }
            return Duration.ofMillis(Long.parseLong(digits) * (ms ? 1 : 1000));
        }

        private static Duration time(Script.Arguments given, Object text, Duration otherwise) throws ScriptError {
            if (text == null) {
                return otherwise;
            }
            try {
                return Duration.between(Instant.EPOCH, Instant.parse(String.valueOf(text)));
            } catch (DateTimeParseException bad) {
                throw given.error("keys", "'" + text + "' is no time as 2026-12-01T00:00:00Z");
            }
        }

        Operator said() throws BadOperator {
            if (tuning == null && ring.size() > 0) {
                throw new BadOperator("peers, but no gossip(): nothing would be on");
            }
            if (tuning == null) {
                return new Operator(null, control);
            }
            if (ring.size() < 2) {
                throw new BadOperator("gossip() with " + ring.size() + " peers: expected this instance and another");
            }
            if (3 * tuning.liars() > ring.size()) {
                throw new BadOperator("liars = " + tuning.liars() + " of " + ring.size() + " peers: expected a third at the most");
            }
            return new Operator(new GossipPart(tuning, ring, keyFile, publicKey), control);
        }
    }

    /** From LB_OPERATOR; NONE where it is not set. */
    public static Operator of(Map<String, String> env) throws BadOperator {
        String file = env.get("LB_OPERATOR");
        return file == null || file.isEmpty() ? NONE : read(Path.of(file));
    }

    public static Operator read(Path file) throws BadOperator {
        try {
            return read(file.toString(), Files.readString(file));
        } catch (NoSuchFileException none) {
            throw new BadOperator(file + ": no such file");
        } catch (IOException bad) {
            throw new BadOperator(file + ": not to be read as UTF-8 text");
        }
    }

    /** @param name of the file, for errors */
    public static Operator read(String name, String text) throws BadOperator {
        Saying saying = new Saying();
        Map<String, Script.Word> words = new HashMap<>();
        words.put("gossip", saying::gossip);
        words.put("peer", saying::peer);
        words.put("control", saying::control);
        try {
            Script.run(text, words);
            return saying.said();
        } catch (ScriptError bad) {
            throw new BadOperator(name + ":" + bad.line() + ":" + bad.column() + ": " + bad.getMessage());
        } catch (BadOperator bad) {
            throw new BadOperator(name + ": " + bad.getMessage());
        }
    }
}
