package dillfront.router.operator;

import dillfront.common.network.Address;
import dillfront.router.gossip.GossipConfig;
import dillfront.router.identity.Policy;
import dillfront.router.identity.Principal;
import dillfront.router.identity.Rights;
import dillfront.router.identity.Rule;
import dillfront.router.identity.TenantShares;
import dillfront.router.peers.KeyFile;
import dillfront.router.peers.PeerRegistry;
import dillfront.router.recovery.InDoubtKeys;
import dillfront.router.script.ScriptException;
import dillfront.router.script.ScriptInterpreter;
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
 * is a script (see {@link ScriptInterpreter}) that may call these functions, role() before the
 * principal() that names it:
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
 *   identity(jwks = "keys.json", issuer = "depot", certificate = "tls.pem", key = "tls.key", revoked = "revoked.txt")
 *   role("reader", [allow(types = ["history"], access = "r", prefix = "hotel-7/"), deny(prefix = "hotel-7/safe")])
 *   principal("billing-7", tenant = "hotel-7", roles = ["reader"], rate = 50, at_once = 8)
 * </pre>
 *
 * @param gossip null if gossip is off
 * @param controlAddress loopback address of the control socket; null for none
 * @param identity null if clients are not authenticated
 * @param stateFolder folder of the state that a restarted router resumes from; null for none
 * @param inDoubtBounds bounds on the number and the age of the remembered transactions of uncertain
 *     outcome; null if none are remembered
 * @param assessesSites whether failures are assessed per site
 * @param file the path that was read; null for {@link #NONE}
 */
public record OperatorConfig(
        GossipSection gossip,
        InetSocketAddress controlAddress,
        IdentityConfig identity,
        Path stateFolder,
        InDoubtKeys.Limits inDoubtBounds,
        boolean assessesSites,
        Path file) {

    public static final OperatorConfig NONE =
            new OperatorConfig(null, null, null, null, null, false, null);

    /**
     * The configuration of gossip.
     *
     * @param keyFile private key of this instance, PKCS #8 in PEM
     * @param publicKey the public key of that pair, one of this instance's keys in the ring, in
     *     hexadecimal
     * @param bindAddress local address of the socket if it differs from the address that peers use;
     *     null otherwise
     */
    public record GossipSection(
            GossipConfig tuning,
            PeerRegistry ring,
            Path keyFile,
            String publicKey,
            InetSocketAddress bindAddress) {

        /** Returns the index in the ring of the instance with this name. */
        public int selfIndex(String name) throws InvalidOperatorConfigException {
            int self = ring.peer(PeerRegistry.hash(name));
            if (self < 0) {
                throw new InvalidOperatorConfigException(
                        "no peer is named '" + name + "', the name of this instance");
            }
            if (ring.address(self) == null) {
                throw new InvalidOperatorConfigException(
                        "peer '" + name + "', which is this instance, has no address");
            }
            if (!ring.hasKey(self, publicKey)) {
                throw new InvalidOperatorConfigException(
                        "'public' of gossip() is not a key of peer '" + name + "'");
            }
            return self;
        }

        /** Reads the private key; {@link #selfIndex} must have checked the public key. */
        public PrivateKey privateKey() throws InvalidOperatorConfigException {
            PrivateKey key = readKeyFile();
            if (!ring.isKeyPair(key, publicKey)) {
                throw new InvalidOperatorConfigException(
                        "key " + keyFile + ": does not belong to 'public' of gossip()");
            }
            return key;
        }

        private PrivateKey readKeyFile() throws InvalidOperatorConfigException {
            try {
                return KeyFile.read(Files.readString(keyFile, StandardCharsets.US_ASCII));
            } catch (NoSuchFileException e) {
                throw new InvalidOperatorConfigException("key " + keyFile + ": no such file");
            } catch (IOException | GeneralSecurityException | IllegalArgumentException e) {
                throw new InvalidOperatorConfigException(
                        "key " + keyFile + ": not an Ed25519 key as written by `dillfront keygen`");
            }
        }
    }

    /** One allow() or deny(); its type names are resolved by {@link IdentityConfig#policy}. */
    public record RuleConfig(
            boolean allow,
            List<String> types,
            String access,
            int group,
            String prefix,
            String source) {}

    /** One principal(); its names are resolved by {@link IdentityConfig#policy}. */
    public record PrincipalConfig(
            String name,
            String tenant,
            List<String> roles,
            double transactionsPerSecond,
            int maxInFlight,
            String source) {}

    /**
     * The configuration of authentication.
     *
     * @param jwks file of the public keys that verify tokens
     * @param revokedFile file of revoked ids, one per line; null for none
     * @param certificate file of the listener's certificate chain in PEM; null without TLS
     * @param privateKey file of the certificate's private key; null without TLS
     */
    public record IdentityConfig(
            Path jwks,
            String issuer,
            String audience,
            Path revokedFile,
            Path certificate,
            Path privateKey,
            Duration keyGracePeriod,
            Duration maxStaleness,
            Map<String, List<RuleConfig>> roles,
            List<PrincipalConfig> principals,
            int maxInFlight,
            Map<String, Long> tenantWeights,
            String source) {

        /** Returns all files that the policy is read from, except the operator's file itself. */
        public List<Path> files() {
            return java.util.stream.Stream.of(jwks, revokedFile, certificate, privateKey)
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
                throws InvalidOperatorConfigException {
            Map<String, Principal> principalsByName = new HashMap<>();
            for (PrincipalConfig entry : principals) {
                List<Rule> rules = new ArrayList<>();
                for (String role : entry.roles) {
                    for (RuleConfig config : roles.get(role)) {
                        rules.add(rule(config, types));
                    }
                }
                if (entry.tenant != null && !tenants.containsKey(entry.tenant)) {
                    throw new InvalidOperatorConfigException(
                            entry.source + ": no tenant '" + entry.tenant + "' in the settings");
                }
                principalsByName.put(
                        entry.name,
                        new Principal(
                                entry.name,
                                entry.tenant == null ? -1 : tenants.get(entry.tenant),
                                new Rights(rules),
                                entry.transactionsPerSecond,
                                entry.maxInFlight));
            }
            double[] shares = new double[tenants.size()];
            for (Map.Entry<String, Long> entry : tenantWeights.entrySet()) {
                Integer tenant = tenants.get(entry.getKey());
                if (tenant == null) {
                    throw new InvalidOperatorConfigException(
                            source + ": no tenant '" + entry.getKey() + "' in the settings");
                }
                shares[tenant] = entry.getValue();
            }
            return new Policy(
                    principalsByName,
                    keys,
                    revokedIds,
                    keyGracePeriod,
                    maxStaleness,
                    new TenantShares.Limits(maxInFlight, shares));
        }

        private static Rule rule(RuleConfig config, Map<String, Integer> types)
                throws InvalidOperatorConfigException {
            int typeMask = config.types.isEmpty() ? Rule.ALL_TYPES : 0;
            for (String type : config.types) {
                Integer index = types.get(type);
                if (index == null || index >= Rule.MAX_TYPES) {
                    throw new InvalidOperatorConfigException(
                            config.source + ": no transaction type '" + type + "' in the settings");
                }
                typeMask |= 1 << index;
            }
            return Rule.of(
                    config.allow,
                    typeMask,
                    config.access,
                    config.group,
                    config.prefix,
                    config.source);
        }
    }

    /** The operator's file is invalid; the message has the file, and line and column if known. */
    public static final class InvalidOperatorConfigException extends Exception {
        private static final long serialVersionUID = 1;

        public InvalidOperatorConfigException(String message) {
            super(message);
        }
    }

    /** Implements the functions that a script may call, and builds the configuration. */
    private static final class ConfigBuilder {

        private final PeerRegistry ring = new PeerRegistry();
        private GossipConfig tuning;
        private Path keyFile;
        private String publicKey;
        private InetSocketAddress bind;
        private InetSocketAddress controlAddress;
        private final String file;
        private IdentityConfig identity;
        private Path stateFolder;
        private InDoubtKeys.Limits uncertainTransactionBounds;
        private boolean assessesSites;
        private final Map<String, List<RuleConfig>> roles = new HashMap<>();
        private final List<PrincipalConfig> principals = new ArrayList<>();

        ConfigBuilder(String file) {
            this.file = file;
        }

        Object identity(ScriptInterpreter.Arguments arguments) throws ScriptException {
            if (identity != null) {
                throw arguments.error("", "identity() is called twice");
            }
            String jwks = arguments.string("jwks", null);
            String issuer = arguments.string("issuer", null);
            String audience = arguments.string("audience", "dillfront");
            String revoked = arguments.string("revoked", null);
            String certificate = arguments.string("certificate", null);
            String key = arguments.string("key", null);
            long maxInFlight = number(arguments, "at_once", 0, 0, 1_000_000);
            Map<String, Long> weights = weights(arguments);
            Duration keyGracePeriod = duration(arguments, "overlap", Duration.ofSeconds(30));
            Duration maxStaleness = duration(arguments, "holds", Duration.ofMinutes(10));
            arguments.requireAllTaken();
            if (jwks == null || issuer == null) {
                throw arguments.error(
                        "", "identity() needs '" + (jwks == null ? "jwks" : "issuer") + "'");
            }
            if ((certificate == null) != (key == null)) {
                throw arguments.error(
                        "certificate",
                        "'certificate' requires 'key', and 'key' requires 'certificate'");
            }
            identity =
                    new IdentityConfig(
                            Path.of(jwks),
                            issuer,
                            audience,
                            revoked == null ? null : Path.of(revoked),
                            certificate == null ? null : Path.of(certificate),
                            key == null ? null : Path.of(key),
                            keyGracePeriod,
                            maxStaleness,
                            roles,
                            principals,
                            (int) maxInFlight,
                            weights,
                            file + ":" + arguments.line());
            return null;
        }

        private static Map<String, Long> weights(ScriptInterpreter.Arguments arguments)
                throws ScriptException {
            Object shares = arguments.take("shares");
            Map<String, Long> weights = new java.util.TreeMap<>();
            if (shares == null) {
                return weights;
            }
            if (shares instanceof Map<?, ?> map) {
                for (Map.Entry<?, ?> entry : map.entrySet()) {
                    if (!(entry.getKey() instanceof String name
                            && entry.getValue() instanceof Long weight
                            && weight > 0)) {
                        throw arguments.error(
                                "shares", "expected tenant names with weights above 0");
                    }
                    weights.put(name, weight);
                }
                return weights;
            }
            throw arguments.error("shares", "expected a dict of tenant names and weights");
        }

        Object rule(boolean allow, ScriptInterpreter.Arguments arguments) throws ScriptException {
            List<?> types = arguments.list("types");
            String access = arguments.string("access", "rw");
            String prefix = arguments.string("prefix", "");
            long group = number(arguments, "group", -1, -1, Integer.MAX_VALUE);
            arguments.requireAllTaken();
            if (!access.matches("r|w|rw")) {
                throw arguments.error(
                        "access", "expected \"r\", \"w\" or \"rw\", found \"" + access + "\"");
            }
            if (!types.stream().allMatch(t -> t instanceof String)) {
                throw arguments.error("types", "expected a list of names of transaction types");
            }
            if (prefix.getBytes(StandardCharsets.UTF_8).length > 255) {
                throw arguments.error("prefix", "'prefix' is longer than 255 bytes");
            }
            Map<String, Object> row = new HashMap<>();
            row.put(
                    "rule",
                    new RuleConfig(
                            allow,
                            types.stream().map(String::valueOf).toList(),
                            access,
                            (int) group,
                            prefix,
                            file + ":" + arguments.line()));
            return row;
        }

        Object role(ScriptInterpreter.Arguments arguments) throws ScriptException {
            String name = arguments.string("name", "");
            List<RuleConfig> rules = new ArrayList<>();
            for (Object element : arguments.list("rules")) {
                if (!(element instanceof Map<?, ?> row
                        && row.get("rule") instanceof RuleConfig rule)) {
                    throw arguments.error("rules", "expected a list of allow() and deny()");
                }
                rules.add(rule);
            }
            arguments.requireAllTaken();
            if (name.isEmpty() || roles.put(name, rules) != null) {
                throw arguments.error(
                        "name",
                        name.isEmpty()
                                ? "role() has no name"
                                : "role '" + name + "' is defined twice");
            }
            return null;
        }

        Object principal(ScriptInterpreter.Arguments arguments) throws ScriptException {
            String name = arguments.string("name", "");
            String tenant = arguments.string("tenant", null);
            List<?> principalRoles = arguments.list("roles");
            long rate = number(arguments, "rate", 0, 0, 1_000_000);
            long maxInFlight = number(arguments, "at_once", 0, 0, 1_000_000);
            arguments.requireAllTaken();
            for (Object role : principalRoles) {
                if (!roles.containsKey(role)) {
                    throw arguments.error("roles", "role '" + role + "' is not defined above");
                }
            }
            if (name.isEmpty() || principals.stream().anyMatch(p -> p.name.equals(name))) {
                throw arguments.error(
                        "name",
                        name.isEmpty()
                                ? "principal() has no name"
                                : "principal '" + name + "' is defined twice");
            }
            principals.add(
                    new PrincipalConfig(
                            name,
                            tenant,
                            principalRoles.stream().map(String::valueOf).toList(),
                            rate,
                            (int) maxInFlight,
                            file + ":" + arguments.line()));
            return null;
        }

        Object gossip(ScriptInterpreter.Arguments arguments) throws ScriptException {
            if (tuning != null) {
                throw arguments.error("", "gossip() is called twice");
            }
            GossipConfig defaults = GossipConfig.DEFAULT;
            String key = arguments.string("key", null);
            publicKey = arguments.string("public", null);
            Duration period = duration(arguments, "period", defaults.period());
            long bytes =
                    number(
                            arguments,
                            "bytes_per_second",
                            defaults.bytesPerSecond(),
                            500,
                            1_000_000);
            long liars = number(arguments, "liars", defaults.toleratedLiars(), 0, 100);
            Duration lasts = duration(arguments, "lasts", defaults.claimValidity());
            long datagram = number(arguments, "datagram", defaults.maxDatagramBytes(), 400, 1400);
            String bindText = arguments.string("bind", null);
            arguments.requireAllTaken();
            bind = bindText == null ? null : Address.parse(bindText);
            if (bindText != null && bind == null) {
                throw arguments.error(
                        "bind",
                        "'"
                                + bindText
                                + "' is not an address: expected an IPv4 address and a port, as 10.0.0.4:7946");
            }
            if (key == null || publicKey == null) {
                throw arguments.error(
                        "", "gossip() needs '" + (key == null ? "key" : "public") + "'");
            }
            if (lasts.compareTo(period) < 0) {
                throw arguments.error("lasts", "'lasts' is shorter than 'period'");
            }
            keyFile = Path.of(key);
            tuning = new GossipConfig(period, (int) bytes, (int) datagram, (int) liars, lasts);
            return null;
        }

        Object peer(ScriptInterpreter.Arguments arguments) throws ScriptException {
            String name = arguments.string("name", null);
            String addressText = arguments.string("address", null);
            List<?> keys = arguments.list("keys");
            arguments.requireAllTaken();
            if (name == null || name.isEmpty()) {
                throw arguments.error("name", "peer() has no name");
            }
            InetSocketAddress address = addressText == null ? null : Address.parse(addressText);
            if (addressText != null && address == null) {
                throw arguments.error(
                        "address",
                        "'"
                                + addressText
                                + "' is not an address: expected an IPv4 address and a port, as 10.0.0.4:7946");
            }
            if (keys.isEmpty()) {
                throw arguments.error("keys", "peer '" + name + "' has no key");
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
                                time(arguments, row.get("from"), Duration.ZERO),
                                time(arguments, row.get("until"), Duration.ofDays(1_000_000)));
                    } else {
                        throw arguments.error(
                                "keys",
                                "expected a string, or a dict with 'key', 'from' and 'until'");
                    }
                }
            } catch (PeerRegistry.InvalidPeerException e) {
                throw arguments.error("keys", e.getMessage());
            }
            return null;
        }

        Object controlAddress(ScriptInterpreter.Arguments arguments) throws ScriptException {
            String addressText = arguments.string("address", "");
            arguments.requireAllTaken();
            controlAddress = Address.parse(addressText);
            if (controlAddress == null || !controlAddress.getAddress().isLoopbackAddress()) {
                throw arguments.error(
                        "address",
                        "'"
                                + addressText
                                + "' is not a loopback address with a port, as 127.0.0.1:9946");
            }
            return null;
        }

        Object stateFolder(ScriptInterpreter.Arguments arguments) throws ScriptException {
            String folder = arguments.string("folder", "");
            arguments.requireAllTaken();
            if (folder.isEmpty() || stateFolder != null) {
                throw arguments.error(
                        "folder",
                        stateFolder != null
                                ? "memory() is called twice"
                                : "memory() needs 'folder'");
            }
            stateFolder = Path.of(folder);
            return null;
        }

        Object uncertainTransactionBounds(ScriptInterpreter.Arguments arguments)
                throws ScriptException {
            if (uncertainTransactionBounds != null) {
                throw arguments.error("", "doubts() is called twice");
            }
            long maxEntries = number(arguments, "most", 65_536, 16, 1 << 20);
            Duration maxAge = duration(arguments, "keeps", Duration.ofMinutes(10));
            arguments.requireAllTaken();
            uncertainTransactionBounds = new InDoubtKeys.Limits((int) maxEntries, maxAge);
            return null;
        }

        Object assessesSites(ScriptInterpreter.Arguments arguments) throws ScriptException {
            arguments.requireAllTaken();
            assessesSites = true;
            return null;
        }

        private static long number(
                ScriptInterpreter.Arguments arguments,
                String name,
                long defaultValue,
                long min,
                long max)
                throws ScriptException {
            long value = arguments.number(name, defaultValue);
            if (value < min || value > max) {
                throw arguments.error(
                        name, "'" + name + "' is " + value + ", expected " + min + " to " + max);
            }
            return value;
        }

        private static Duration duration(
                ScriptInterpreter.Arguments arguments, String name, Duration defaultValue)
                throws ScriptException {
            String text = arguments.string(name, null);
            if (text == null) {
                return defaultValue;
            }
            boolean ms = text.endsWith("ms");
            String digits =
                    text.endsWith("s") ? text.substring(0, text.length() - (ms ? 2 : 1)) : "";
            if (!digits.matches("[0-9]{1,6}") || Long.parseLong(digits) == 0) {
                throw arguments.error(
                        name,
                        "expected a duration as \"250ms\" or \"5s\" for '"
                                + name
                                + "', found \""
                                + text
                                + "\"");
            }
            return Duration.ofMillis(Long.parseLong(digits) * (ms ? 1 : 1000));
        }

        private static Duration time(
                ScriptInterpreter.Arguments arguments, Object text, Duration defaultValue)
                throws ScriptException {
            if (text == null) {
                return defaultValue;
            }
            try {
                return Duration.between(Instant.EPOCH, Instant.parse(String.valueOf(text)));
            } catch (DateTimeParseException e) {
                throw arguments.error(
                        "keys", "'" + text + "' is not a time as 2026-12-01T00:00:00Z");
            }
        }

        OperatorConfig build() throws InvalidOperatorConfigException {
            if (tuning == null && ring.size() > 0) {
                throw new InvalidOperatorConfigException("peer() without gossip() has no effect");
            }
            if (identity == null && !principals.isEmpty()) {
                throw new InvalidOperatorConfigException(
                        "principal() without identity() would leave access unrestricted");
            }
            if (tuning == null) {
                return new OperatorConfig(
                        null,
                        controlAddress,
                        identity,
                        stateFolder,
                        uncertainTransactionBounds,
                        assessesSites,
                        Path.of(file));
            }
            if (ring.size() < 2) {
                throw new InvalidOperatorConfigException(
                        "gossip() has "
                                + ring.size()
                                + " peers, expected this instance and at least one other");
            }
            if (3 * tuning.toleratedLiars() > ring.size()) {
                throw new InvalidOperatorConfigException(
                        "liars = "
                                + tuning.toleratedLiars()
                                + " of "
                                + ring.size()
                                + " peers, expected at most a third");
            }
            return new OperatorConfig(
                    new GossipSection(tuning, ring, keyFile, publicKey, bind),
                    controlAddress,
                    identity,
                    stateFolder,
                    uncertainTransactionBounds,
                    assessesSites,
                    Path.of(file));
        }
    }

    /** Reads the file that LB_OPERATOR names; {@link #NONE} if it is not set. */
    public static OperatorConfig fromEnvironment(Map<String, String> env)
            throws InvalidOperatorConfigException {
        String file = env.get("LB_OPERATOR");
        return file == null || file.isEmpty() ? NONE : read(Path.of(file));
    }

    /** Reads and checks the operator's file. */
    public static OperatorConfig read(Path file) throws InvalidOperatorConfigException {
        try {
            return read(file.toString(), Files.readString(file));
        } catch (NoSuchFileException e) {
            throw new InvalidOperatorConfigException(file + ": no such file");
        } catch (IOException e) {
            throw new InvalidOperatorConfigException(file + ": cannot be read as UTF-8 text");
        }
    }

    /**
     * Parses and checks the text of an operator's file.
     *
     * @param name of the file, for error messages
     */
    public static OperatorConfig read(String name, String text)
            throws InvalidOperatorConfigException {
        ConfigBuilder builder = new ConfigBuilder(name);
        Map<String, ScriptInterpreter.HostFunction> functions = new HashMap<>();
        functions.put("gossip", builder::gossip);
        functions.put("peer", builder::peer);
        functions.put("control", builder::controlAddress);
        functions.put("identity", builder::identity);
        functions.put("memory", builder::stateFolder);
        functions.put("doubts", builder::uncertainTransactionBounds);
        functions.put("sites", builder::assessesSites);
        functions.put("allow", arguments -> builder.rule(true, arguments));
        functions.put("deny", arguments -> builder.rule(false, arguments));
        functions.put("role", builder::role);
        functions.put("principal", builder::principal);
        try {
            ScriptInterpreter.run(text, functions);
            return builder.build();
        } catch (ScriptException e) {
            throw new InvalidOperatorConfigException(
                    name + ":" + e.line() + ":" + e.column() + ": " + e.getMessage());
        } catch (InvalidOperatorConfigException e) {
            throw new InvalidOperatorConfigException(name + ": " + e.getMessage());
        }
    }
}
