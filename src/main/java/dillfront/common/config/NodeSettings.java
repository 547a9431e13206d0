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
 * What a process is told by its settings file; fields that are not known are passed over. Times in
 * milliseconds.
 *
 * @param frontAddress where clients come in; null where this process serves none
 * @param internalPort the first of the ports for what the system's processes say to one another
 * @param seedAddresses addresses of machines that serve control
 * @param dataDirectory where the disk is; null where there is none
 * @param toleratedMachineLosses how many machines that count may be lost at once
 * @param drainMillis for how long, from when it was told, a data plane goes on with a primary that
 *     drains: its last work there comes well before the server's time is over, and before a data
 *     plane that was told late counts as in touch
 * @param platformAddress null where there is none
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

    /** The file cannot be used: which, where in it, and why. */
    public static final class InvalidSettingsException extends Exception {
        private static final long serialVersionUID = 1;

        public InvalidSettingsException(String message) {
            super(message);
        }
    }

    public static final String PATH_VARIABLE = "DILLFRONT_SETTINGS";
    private static final String DEFAULT_PATH = "/etc/dillfront/node.json";

    /**
     * @throws Bad with the file, the place and the fault
     */
    public static NodeSettings fromEnvironment(java.util.Map<String, String> variables)
            throws InvalidSettingsException {
        return read(Path.of(variables.getOrDefault(PATH_VARIABLE, DEFAULT_PATH)));
    }

    /**
     * @throws Bad with the file, the place and the fault
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
                throw new InvalidSettingsException("internal_port_range: no list of ports");
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
                    file + ": a field of another kind: " + e.getMessage());
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
            throw new InvalidSettingsException(name + ": no object");
        }
        return value.asObject();
    }

    private static String requiredText(JsonObject in, String name) throws InvalidSettingsException {
        JsonValue value = in.get(name);
        if (value == null || !value.isString() || value.asString().isEmpty()) {
            throw new InvalidSettingsException(name + ": no text");
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
            throw new InvalidSettingsException(field + ": '" + text + "' is no IP:PORT");
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
            throw new InvalidSettingsException(name + ": " + value + " is no number above 0");
        }
        return Math.round(value.asDouble());
    }

    /** Where the machine of this address hears the system's own processes. */
    public String internalAddressOf(String ip) {
        return ip + ":" + internalPort;
    }

    /** The machines of the seeds. */
    public List<String> seedIps() {
        List<String> ips = new ArrayList<>();
        seedAddresses.forEach(seed -> ips.add(seed.substring(0, seed.lastIndexOf(':'))));
        return ips;
    }

    public boolean isSameRegion(String otherZone) {
        return region.equals(regionsByZone.getOrDefault(otherZone, ""));
    }
}
