package dillfront.common.config;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import dillfront.common.network.Address;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The settings of a process, read from its settings file; unknown fields are ignored. Times are in
 * milliseconds.
 *
 * @param frontAddress listener for clients; null if the process serves none
 * @param readinessAddress listener for readiness and status requests; null for none
 * @param controlAddress listener of the control plane; null for none
 * @param internalPort first port for connections between the system's processes
 * @param seedAddresses control addresses of the seed machines
 * @param dataDirectory folder for persistent state; null for none
 * @param toleratedMachineLosses number of voting machines that may be lost at once
 * @param drainMillis how long a data plane goes on using a draining primary after it learned of the
 *     drain: below the drain time of the server, so that the last work ends well before it, and
 *     below the time after which a data plane without contact is no longer waited for
 * @param platformAddress address of the cloud API; null for none
 */
public record NodeSettings(
        String nodeName,
        String zoneName,
        String region,
        java.util.Map<String, String> regionsByZone,
        String ipAddress,
        String frontAddress,
        String readinessAddress,
        String controlAddress,
        int internalPort,
        List<String> seedAddresses,
        boolean firstStart,
        String dataDirectory,
        int toleratedMachineLosses,
        long heartbeatIntervalMillis,
        long drainMillis,
        long gracePeriodMillis,
        String platformAddress) {

    /** A settings file is invalid; the message has the file, the place and the error. */
    public static final class InvalidSettingsException extends Exception {
        private static final long serialVersionUID = 1;

        public InvalidSettingsException(String message) {
            super(message);
        }
    }

    public static final String PATH_VARIABLE = "DILLFRONT_SETTINGS";
    private static final String DEFAULT_PATH = "/etc/dillfront/node.json";

    /**
     * Reads the file that DILLFRONT_SETTINGS names, or the default one.
     *
     * @throws InvalidSettingsException with the file, the place and the error
     */
    public static NodeSettings fromEnvironment(java.util.Map<String, String> variables)
            throws InvalidSettingsException {
        return read(Path.of(variables.getOrDefault(PATH_VARIABLE, DEFAULT_PATH)));
    }

    /**
     * Reads and validates a settings file.
     *
     * @throws InvalidSettingsException with the file, the place and the error
     */
    public static NodeSettings read(Path file) throws InvalidSettingsException {
        JsonObject root;
        try {
            root = Json.parse(Files.readString(file, StandardCharsets.UTF_8)).asObject();
        } catch (IOException | UnsupportedOperationException e) {
            throw new InvalidSettingsException(file + ": " + e);
        } catch (ParseException e) {
            throw new InvalidSettingsException(
                    file + ", line " + e.getLocation().line + ": " + e.getMessage());
        }
        try {
            JsonObject listen = object(root, "listen_addresses");
            JsonObject bounds = object(root, "bounds");
            java.util.Map<String, String> regions = new java.util.HashMap<>();
            object(root, "zones")
                    .forEach(member -> regions.put(member.getName(), member.getValue().asString()));
            JsonValue ports = root.get("internal_port_range");
            if (ports == null
                    || !ports.isArray()
                    || ports.asArray().isEmpty()
                    || !ports.asArray().get(0).isNumber()) {
                throw new InvalidSettingsException("internal_port_range: not a list of ports");
            }
            List<String> seeds = new ArrayList<>();
            if (root.get("seed_addresses") != null) {
                for (JsonValue seed : root.get("seed_addresses").asArray()) {
                    seeds.add(address(seed.asString(), "seed_addresses"));
                }
            }
            JsonValue platform = root.get("cloud_api");
            return new NodeSettings(
                    requiredText(root, "node_name"),
                    requiredText(root, "zone_name"),
                    root.getString("region", ""),
                    regions,
                    requiredText(root, "ip_address"),
                    optionalText(listen, "front_address"),
                    optionalText(listen, "readiness_address"),
                    optionalText(listen, "control_address"),
                    ports.asArray().get(0).asInt(),
                    List.copyOf(seeds),
                    root.getBoolean("first_start", false),
                    optionalText(root, "data_directory"),
                    root.get("tolerated_losses") == null
                            ? 0
                            : Math.max(0, object(root, "tolerated_losses").getInt("machines", 0)),
                    number(root, "heartbeat_interval_ms", 1_200),
                    drainMillis(bounds),
                    Math.round(bounds.getDouble("grace_period_s", 6) * 1_000),
                    platform == null || platform.isNull()
                            ? null
                            : optionalText(platform.asObject(), "address"));
        } catch (InvalidSettingsException e) {
            throw new InvalidSettingsException(file + ": " + e.getMessage());
        } catch (UnsupportedOperationException | NumberFormatException e) {
            throw new InvalidSettingsException(
                    file + ": a field has the wrong type: " + e.getMessage());
        }
    }

    private static long drainMillis(JsonObject bounds) throws InvalidSettingsException {
        return Math.min(
                number(bounds, "drain_ms", 7_000) * 2 / 3,
                number(bounds, "in_touch_ms", 4_000) * 7 / 8);
    }

    private static JsonObject object(JsonObject in, String name) throws InvalidSettingsException {
        JsonValue value = in.get(name);
        if (value == null || !value.isObject()) {
            throw new InvalidSettingsException(name + ": not an object");
        }
        return value.asObject();
    }

    private static String requiredText(JsonObject in, String name) throws InvalidSettingsException {
        JsonValue value = in.get(name);
        if (value == null || !value.isString() || value.asString().isEmpty()) {
            throw new InvalidSettingsException(name + ": not a non-empty string");
        }
        return value.asString();
    }

    private static String optionalText(JsonObject in, String name) throws InvalidSettingsException {
        JsonValue value = in.get(name);
        if (value == null || value.isNull()) {
            return null;
        }
        String text = requiredText(in, name);
        return name.endsWith("address") ? address(text, name) : text;
    }

    private static String address(String text, String field) throws InvalidSettingsException {
        if (Address.parse(text) == null) {
            throw new InvalidSettingsException(field + ": '" + text + "' is not IP:PORT");
        }
        return text;
    }

    private static long number(JsonObject in, String name, long defaultValue)
            throws InvalidSettingsException {
        JsonValue value = in.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isNumber() || !(value.asDouble() > 0 && value.asDouble() < 1e9)) {
            throw new InvalidSettingsException(name + ": " + value + " is not a number above 0");
        }
        return Math.round(value.asDouble());
    }

    /** Returns the internal address of the process on a machine. */
    public String internalAddressOf(String ip) {
        return ip + ":" + internalPort;
    }

    /** Returns the IP addresses of the seed machines. */
    public List<String> seedIps() {
        List<String> ips = new ArrayList<>();
        seedAddresses.forEach(seed -> ips.add(seed.substring(0, seed.lastIndexOf(':'))));
        return ips;
    }

    public boolean isSameRegion(String otherZone) {
        return region.equals(regionsByZone.getOrDefault(otherZone, ""));
    }
}
