package dillfront.router.operator;

import dillfront.common.network.Address;
import dillfront.router.gossip.Tuning;
import dillfront.router.identity.Policy;
import dillfront.router.identity.Principal;
import dillfront.router.identity.Rights;
import dillfront.router.identity.Rule;
import dillfront.router.identity.TenantShares;
import dillfront.router.peers.KeyFile;
import dillfront.router.peers.Ring;
import dillfront.router.recovery.Doubts;
import dillfront.router.script.Script;
import dillfront.router.script.ScriptError;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The configuration from the operator's file; without a file, all of its features are off. The file
 * is a script (see {@link Script}) that may call these functions, role() before the principal()
 * that names it:
 *
 * <pre>
 *   gossip(key = "/etc/dillfront/r1.key", public = "64 hex digits", period = "1s", bytes_per_second = 3000, liars = 1,
 *          lasts = "5s", datagram = 1200, bind = "10.0.0.4:7946")
 *   peer("r1", address = "10.0.0.4:7946", keys = ["64 hex digits", {"key": "...", "from": "2026-12-01T00:00:00Z",
 *        "until": "2027-01-01T00:00:00Z"}])
 *   control("127.0.0.1:9946")
 *   memory(folder = "/var/lib/dillfront/r1")
 *   doubts(most = 65536, keeps = "600s")
 *   sites()
 *   identity(jwks = "keys.json", issuer = "depot", certificate = "door.pem", key = "door.key", revoked = "revoked.txt")
 *   role("reader", [allow(types = ["history"], access = "r", prefix = "hotel-7/"), deny(prefix = "hotel-7/safe")])
 *   principal("billing-7", tenant = "hotel-7", roles = ["reader"], rate = 50, at_once = 8)
 * </pre>
 *
 * @param gossip null if gossip is off
 * @param control loopback address of the control socket; null for none
 * @param identity null if clients are not authenticated
 * @param memory folder of the state that a restarted router resumes from; null for none
 * @param doubts bounds on the number and the age of the remembered transactions of uncertain
 *     outcome; null if none are remembered
 * @param sites whether failures are assessed per site
 * @param file the path that was read; null for {@link #NONE}
 */
public record Operator(
        GossipPart gossip,
        InetSocketAddress control,
        IdentityPart identity,
        Path memory,
        Doubts.Bounds doubts,
        boolean sites,
        Path file) {

    public static final Operator NONE = new Operator(null, null, null, null, null, false, null);

    /**
     * The configuration of gossip.
     *
     * @param keyFile private key of this instance, PKCS #8 in PEM
     * @param publicKey the public key of that pair, one of this instance's keys in the ring, in
     *     hexadecimal
     * @param bind local address of the socket if it differs from the address that peers use; null
     *     otherwise
     */
    public record GossipPart(
            Tuning tuning, Ring ring, Path keyFile, String publicKey, InetSocketAddress bind) {

        /** Returns the index in the ring of the instance with this name. */
        public int self(String name) throws BadOperator {
            int self = ring.peer(Ring.hash(name));
            if (self < 0) {
                throw new BadOperator("no peer is named '" + name + "', the name of this instance");
            }
            if (ring.address(self) == null) {
                throw new BadOperator(
                        "peer '" + name + "', which is this instance, has no address");
            }
            if (!ring.has(self, publicKey)) {
                throw new BadOperator("'public' of gossip() is not a key of peer '" + name + "'");
            }
            return self;
        }

        /** Reads the private key; {@link #self} must have checked the public key. */
        public PrivateKey key() throws BadOperator {
            PrivateKey mine = fromFile();
            if (!ring.pair(mine, publicKey)) {
                throw new BadOperator(
                        "key " + keyFile + ": does not belong to 'public' of gossip()");
            }
            return mine;
        }

        private PrivateKey fromFile() throws BadOperator {
            try {
                return KeyFile.read(Files.readString(keyFile, StandardCharsets.US_ASCII));
            } catch (NoSuchFileException none) {
                throw new BadOperator("key " + keyFile + ": no such file");
            } catch (IOException | GeneralSecurityException | IllegalArgumentException bad) {
                throw new BadOperator(
                        "key " + keyFile + ": not an Ed25519 key as written by `dillfront keygen`");
            }
        }
    }

    /** One allow() or deny(); its type names are resolved by {@link IdentityPart#policy}. */
    public record RuleText(
            boolean allow,
            List<String> types,
            String access,
            int group,
            String prefix,
            String from) {}

    /** One principal(); its names are resolved by {@link IdentityPart#policy}. */
    public record PrincipalText(
            String name, String tenant, List<String> roles, double rate, int atOnce, String from) {}

    /**
     * The configuration of authentication.
     *
     * @param jwks file of the public keys that verify tokens
     * @param revoked file of revoked ids, one per line; null for none
     * @param certificate file of the listener's certificate chain in PEM; null without TLS
     * @param privateKey file of the certificate's private key; null without TLS
     */
    public record IdentityPart(
            Path jwks,
            String issuer,
            String audience,
            Path revoked,
            Path certificate,
            Path privateKey,
            Duration overlap,
            Duration holds,
            Map<String, List<RuleText>> roles,
            List<PrincipalText> principals,
            int atOnce,
            Map<String, Long> weights,
            String from) {

        /** Returns all files that the policy is read from, except the operator's file itself. */
        public List<Path> files() {
            return java.util.stream.Stream.of(jwks, revoked, certificate, privateKey)
                    .filter(java.util.Objects::nonNull)
                    .toList();
        }

        /**
         * Builds the policy.
         *
         * @param types indices of the transaction types by their names in the settings
         * @param tenants indices of the tenants by their names in the settings
         */
        public Policy policy(
                Map<String, Integer> types,
                Map<String, Integer> tenants,
                Set<String> keys,
                Set<String> revokedIds)
                throws BadOperator {
            Map<String, Principal> named = new HashMap<>();
            for (PrincipalText one : principals) {
                List<Rule> rules = new ArrayList<>();
                for (String role : one.roles) {
                    for (RuleText text : roles.get(role)) {
                        rules.add(rule(text, types));
                    }
                }
                if (one.tenant != null && !tenants.containsKey(one.tenant)) {
                    throw new BadOperator(
                            one.from + ": no tenant '" + one.tenant + "' in the settings");
                }
                named.put(
                        one.name,
                        new Principal(
                                one.name,
                                one.tenant == null ? -1 : tenants.get(one.tenant),
                                new Rights(rules),
                                one.rate,
                                one.atOnce));
            }
            double[] shares = new double[tenants.size()];
            for (Map.Entry<String, Long> one : weights.entrySet()) {
                Integer tenant = tenants.get(one.getKey());
                if (tenant == null) {
                    throw new BadOperator(
                            from + ": no tenant '" + one.getKey() + "' in the settings");
                }
                shares[tenant] = one.getValue();
            }
            return new Policy(
                    named, keys, revokedIds, overlap, holds, new TenantShares.Limits(atOnce, shares));
        }

        private static Rule rule(RuleText text, Map<String, Integer> types) throws BadOperator {
            int bits = text.types.isEmpty() ? Rule.ALL_TYPES : 0;
            for (String type : text.types) {
                Integer index = types.get(type);
                if (index == null || index >= Rule.MAX_TYPES) {
                    throw new BadOperator(
                            text.from + ": no txn type '" + type + "' in the settings");
                }
                bits |= 1 << index;
            }
            return Rule.of(text.allow, bits, text.access, text.group, text.prefix, text.from);
        }
    }

    /** The operator's file is invalid; the message has the file, and line and column if known. */
    public static final class BadOperator extends Exception {
        private static final long serialVersionUID = 1;

        public BadOperator(String fault) {
            super(fault);
        }
    }

    /** Implements the functions that a script may call, and builds the configuration. */
    private static final class Saying {

        private final Ring ring = new Ring();
        private Tuning tuning;
        private Path keyFile;
        private String publicKey;
        private InetSocketAddress bind;
        private InetSocketAddress control;
        private final String file;
        private IdentityPart identity;
        private Path memory;
        private Doubts.Bounds doubts;
        private boolean sites;
        private final Map<String, List<RuleText>> roles = new HashMap<>();
        private final List<PrincipalText> principals = new ArrayList<>();

        Saying(String file) {
            this.file = file;
        }

        Object identity(Script.Arguments given) throws ScriptError {
            if (identity != null) {
                throw given.error("", "identity() is called twice");
            }
            String jwks = given.text("jwks", null);
            String issuer = given.text("issuer", null);
            String audience = given.text("audience", "dillfront");
            String revoked = given.text("revoked", null);
            String certificate = given.text("certificate", null);
            String key = given.text("key", null);
            long atOnce = number(given, "at_once", 0, 0, 1_000_000);
            Map<String, Long> weights = weights(given);
            Duration overlap = span(given, "overlap", Duration.ofSeconds(30));
            Duration holds = span(given, "holds", Duration.ofMinutes(10));
            given.done();
            if (jwks == null || issuer == null) {
                throw given.error(
                        "", "identity() needs '" + (jwks == null ? "jwks" : "issuer") + "'");
            }
            if ((certificate == null) != (key == null)) {
                throw given.error(
                        "certificate",
                        "'certificate' requires 'key', and 'key' requires 'certificate'");
            }
            identity =
                    new IdentityPart(
                            Path.of(jwks),
                            issuer,
                            audience,
                            revoked == null ? null : Path.of(revoked),
                            certificate == null ? null : Path.of(certificate),
                            key == null ? null : Path.of(key),
                            overlap,
                            holds,
                            roles,
                            principals,
                            (int) atOnce,
                            weights,
                            file + ":" + given.line());
            return null;
        }

        private static Map<String, Long> weights(Script.Arguments given) throws ScriptError {
            Object shares = given.take("shares");
            Map<String, Long> weights = new java.util.TreeMap<>();
            if (shares == null) {
                return weights;
            }
            if (shares instanceof Map<?, ?> map) {
                for (Map.Entry<?, ?> one : map.entrySet()) {
                    if (!(one.getKey() instanceof String name
                            && one.getValue() instanceof Long weight
                            && weight > 0)) {
                        throw given.error("shares", "expected tenant names with weights above 0");
                    }
                    weights.put(name, weight);
                }
                return weights;
            }
            throw given.error("shares", "expected a dict of tenant names and weights");
        }

        Object rule(boolean allow, Script.Arguments given) throws ScriptError {
            List<?> types = given.list("types");
            String access = given.text("access", "rw");
            String prefix = given.text("prefix", "");
            long group = number(given, "group", -1, -1, Integer.MAX_VALUE);
            given.done();
            if (!access.matches("r|w|rw")) {
                throw given.error(
                        "access", "expected \"r\", \"w\" or \"rw\", found \"" + access + "\"");
            }
            if (!types.stream().allMatch(t -> t instanceof String)) {
                throw given.error("types", "expected a list of names of transaction types");
            }
            if (prefix.getBytes(StandardCharsets.UTF_8).length > 255) {
                throw given.error("prefix", "'prefix' is longer than 255 bytes");
            }
            Map<String, Object> row = new HashMap<>();
            row.put(
                    "rule",
                    new RuleText(
                            allow,
                            types.stream().map(String::valueOf).toList(),
                            access,
                            (int) group,
                            prefix,
                            file + ":" + given.line()));
            return row;
        }

        Object role(Script.Arguments given) throws ScriptError {
            String name = given.text("name", "");
            List<RuleText> rules = new ArrayList<>();
            for (Object one : given.list("rules")) {
                if (!(one instanceof Map<?, ?> row && row.get("rule") instanceof RuleText rule)) {
                    throw given.error("rules", "expected a list of allow() and deny()");
                }
                rules.add(rule);
            }
            given.done();
            if (name.isEmpty() || roles.put(name, rules) != null) {
                throw given.error(
                        "name",
                        name.isEmpty()
                                ? "role() has no name"
                                : "role '" + name + "' is defined twice");
            }
            return null;
        }

        Object principal(Script.Arguments given) throws ScriptError {
            String name = given.text("name", "");
            String tenant = given.text("tenant", null);
            List<?> its = given.list("roles");
            long rate = number(given, "rate", 0, 0, 1_000_000);
            long atOnce = number(given, "at_once", 0, 0, 1_000_000);
            given.done();
            for (Object role : its) {
                if (!roles.containsKey(role)) {
                    throw given.error("roles", "role '" + role + "' is not defined above");
                }
            }
            if (name.isEmpty() || principals.stream().anyMatch(p -> p.name.equals(name))) {
                throw given.error(
                        "name",
                        name.isEmpty()
                                ? "principal() has no name"
                                : "principal '" + name + "' is defined twice");
            }
            principals.add(
                    new PrincipalText(
                            name,
                            tenant,
                            its.stream().map(String::valueOf).toList(),
                            rate,
                            (int) atOnce,
                            file + ":" + given.line()));
            return null;
        }

        Object gossip(Script.Arguments given) throws ScriptError {
            if (tuning != null) {
                throw given.error("", "gossip() is called twice");
            }
            Tuning usual = Tuning.USUAL;
            String key = given.text("key", null);
            publicKey = given.text("public", null);
            Duration period = span(given, "period", usual.period());
            long bytes = number(given, "bytes_per_second", usual.bytesPerSecond(), 500, 1_000_000);
            long liars = number(given, "liars", usual.liars(), 0, 100);
            Duration lasts = span(given, "lasts", usual.lasts());
            long datagram = number(given, "datagram", usual.datagram(), 400, 1400);
            String at = given.text("bind", null);
            given.done();
            bind = at == null ? null : Address.parse(at);
            if (at != null && bind == null) {
                throw given.error(
                        "bind",
                        "'"
                                + at
                                + "' is not an address: expected an IPv4 address and a port, as 10.0.0.4:7946");
            }
            if (key == null || publicKey == null) {
                throw given.error("", "gossip() needs '" + (key == null ? "key" : "public") + "'");
            }
            if (lasts.compareTo(period) < 0) {
                throw given.error("lasts", "'lasts' is shorter than 'period'");
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
                throw given.error("name", "peer() has no name");
            }
            InetSocketAddress address = at == null ? null : Address.parse(at);
            if (at != null && address == null) {
                throw given.error(
                        "address",
                        "'"
                                + at
                                + "' is not an address: expected an IPv4 address and a port, as 10.0.0.4:7946");
            }
            if (keys.isEmpty()) {
                throw given.error("keys", "peer '" + name + "' has no key");
            }
            try {
                int peer = ring.add(name, address);
                for (Object key : keys) {
                    if (key instanceof String hex) {
                        ring.key(peer, hex, Duration.ZERO, Duration.ofDays(1_000_000));
                    } else if (key instanceof Map<?, ?> row
                            && row.get("key") instanceof String hex) {
                        ring.key(
                                peer,
                                hex,
                                time(given, row.get("from"), Duration.ZERO),
                                time(given, row.get("until"), Duration.ofDays(1_000_000)));
                    } else {
                        throw given.error(
                                "keys",
                                "expected a string, or a dict with 'key', 'from' and 'until'");
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
                throw given.error(
                        "address",
                        "'" + at + "' is not a loopback address with a port, as 127.0.0.1:9946");
            }
            return null;
        }

        Object memory(Script.Arguments given) throws ScriptError {
            String folder = given.text("folder", "");
            given.done();
            if (folder.isEmpty() || memory != null) {
                throw given.error(
                        "folder",
                        memory != null ? "memory() is called twice" : "memory() needs 'folder'");
            }
            memory = Path.of(folder);
            return null;
        }

        Object doubts(Script.Arguments given) throws ScriptError {
            if (doubts != null) {
                throw given.error("", "doubts() is called twice");
            }
            long most = number(given, "most", 65_536, 16, 1 << 20);
            Duration keeps = span(given, "keeps", Duration.ofMinutes(10));
            given.done();
            doubts = new Doubts.Bounds((int) most, keeps);
            return null;
        }

        Object sites(Script.Arguments given) throws ScriptError {
            given.done();
            sites = true;
            return null;
        }

        private static long number(
                Script.Arguments given, String name, long otherwise, long least, long most)
                throws ScriptError {
            long value = given.number(name, otherwise);
            if (value < least || value > most) {
                throw given.error(
                        name, "'" + name + "' is " + value + ", expected " + least + " to " + most);
            }
            return value;
        }

        private static Duration span(Script.Arguments given, String name, Duration otherwise)
                throws ScriptError {
            String text = given.text(name, null);
            if (text == null) {
                return otherwise;
            }
            boolean ms = text.endsWith("ms");
            String digits =
                    text.endsWith("s") ? text.substring(0, text.length() - (ms ? 2 : 1)) : "";
            if (!digits.matches("[0-9]{1,6}") || Long.parseLong(digits) == 0) {
                throw given.error(
                        name,
                        "expected a duration as \"250ms\" or \"5s\" for '"
                                + name
                                + "', found \""
                                + text
                                + "\"");
            }
            return Duration.ofMillis(Long.parseLong(digits) * (ms ? 1 : 1000));
        }

        private static Duration time(Script.Arguments given, Object text, Duration otherwise)
                throws ScriptError {
            if (text == null) {
                return otherwise;
            }
            try {
                return Duration.between(Instant.EPOCH, Instant.parse(String.valueOf(text)));
            } catch (DateTimeParseException bad) {
                throw given.error("keys", "'" + text + "' is not a time as 2026-12-01T00:00:00Z");
            }
        }

        Operator said() throws BadOperator {
            if (tuning == null && ring.size() > 0) {
                throw new BadOperator("peer() without gossip() has no effect");
            }
            if (identity == null && !principals.isEmpty()) {
                throw new BadOperator(
                        "principal() without identity() would leave access unrestricted");
            }
            if (tuning == null) {
                return new Operator(null, control, identity, memory, doubts, sites, Path.of(file));
            }
            if (ring.size() < 2) {
                throw new BadOperator(
                        "gossip() has "
                                + ring.size()
                                + " peers, expected this instance and at least one other");
            }
            if (3 * tuning.liars() > ring.size()) {
                throw new BadOperator(
                        "liars = "
                                + tuning.liars()
                                + " of "
                                + ring.size()
                                + " peers, expected at most a third");
            }
            return new Operator(
                    new GossipPart(tuning, ring, keyFile, publicKey, bind),
                    control,
                    identity,
                    memory,
                    doubts,
                    sites,
                    Path.of(file));
        }
    }

    /** Reads the file that LB_OPERATOR names; {@link #NONE} if it is not set. */
    public static Operator of(Map<String, String> env) throws BadOperator {
        String file = env.get("LB_OPERATOR");
        return file == null || file.isEmpty() ? NONE : read(Path.of(file));
    }

    /** Reads and checks the operator's file. */
    public static Operator read(Path file) throws BadOperator {
        try {
            return read(file.toString(), Files.readString(file));
        } catch (NoSuchFileException none) {
            throw new BadOperator(file + ": no such file");
        } catch (IOException bad) {
            throw new BadOperator(file + ": cannot be read as UTF-8 text");
        }
    }

    /**
     * Parses and checks the text of an operator's file.
     *
     * @param name of the file, for error messages
     */
    public static Operator read(String name, String text) throws BadOperator {
        Saying saying = new Saying(name);
        Map<String, Script.Word> words = new HashMap<>();
        words.put("gossip", saying::gossip);
        words.put("peer", saying::peer);
        words.put("control", saying::control);
        words.put("identity", saying::identity);
        words.put("memory", saying::memory);
        words.put("doubts", saying::doubts);
        words.put("sites", saying::sites);
        words.put("allow", given -> saying.rule(true, given));
        words.put("deny", given -> saying.rule(false, given));
        words.put("role", saying::role);
        words.put("principal", saying::principal);
        try {
            Script.run(text, words);
            return saying.said();
        } catch (ScriptError bad) {
            throw new BadOperator(
                    name + ":" + bad.line() + ":" + bad.column() + ": " + bad.getMessage());
        } catch (BadOperator bad) {
            throw new BadOperator(name + ": " + bad.getMessage());
        }
    }
}
