package dillfront.router.config;

import dillfront.common.network.Address;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Configuration of one router.
 *
 * @param cpuCores CPU limit in cores; large if there is no limit
 * @param maxDescriptors maximum number of file descriptors
 * @param memoryMb memory limit in megabytes
 * @param initialMembers the last known member list, in discovery's format
 * @param configuredDiscovery discovery address in the file itself, regardless of environment
 *     variables; empty if absent
 */
public record RouterConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        double cpuCores,
        int maxDescriptors,
        long memoryMb,
        JsonObject initialMembers,
        RouterSettings settings,
        String configuredDiscovery) {

    /** Reads the configuration; environment variables override the file. */
    public static RouterConfig read(Map<String, String> env) throws ConfigException {
        String file = env.get("LB_CONFIG");
        if (file == null) {
            throw new ConfigException("LB_CONFIG is not set");
        }
        try (InputStream text = Files.newInputStream(Path.of(file))) {
            return read(text, env);
        } catch (NoSuchFileException e) {
            throw new ConfigException("LB_CONFIG " + file + ": no such file");
        } catch (IOException e) {
            String fault = e.getMessage() == null ? e.toString() : e.getMessage();
            throw new ConfigException(
                    "LB_CONFIG " + file + ": " + fault.lines().findFirst().orElse(""));
        }
    }

    /**
     * Reads the configuration for a reload. LB_DISCOVERY applies to the start only, so the file's
     * discovery address is used.
     */
    public static RouterConfig readForReload(Map<String, String> env) throws ConfigException {
        Map<String, String> reloadEnv = new HashMap<>(env);
        reloadEnv.remove("LB_DISCOVERY");
        return read(reloadEnv);
    }

    /** Returns a copy with other settings. */
    public RouterConfig withSettings(RouterSettings other) {
        return new RouterConfig(
                name,
                listen,
                discovery,
                seed,
                cpuCores,
                maxDescriptors,
                memoryMb,
                initialMembers,
                other,
                configuredDiscovery);
    }

    /**
     * Returns the fields that differ in the other configuration and take effect only at a restart.
     */
    public List<String> restartOnlyFields(RouterConfig other) {
        List<String> names = new ArrayList<>();
        if (!name.equals(other.name)) {
            names.add("name");
        }
        if (!listen.equals(other.listen)) {
            names.add("listen");
        }
        if (cpuCores != other.cpuCores
                || maxDescriptors != other.maxDescriptors
                || memoryMb != other.memoryMb) {
            names.add("limits");
        }
        // The timers of clients and discovery use the connect timeout of the start.
        if (!settings.routing()
                .connectTimeout()
                .equals(other.settings.routing().connectTimeout())) {
            names.add("settings.bounds.dialTimeoutUs");
        }
        return names;
    }

    public static RouterConfig read(InputStream text) throws IOException, ConfigException {
        return read(text, Map.of());
    }

    private static RouterConfig read(InputStream text, Map<String, String> env)
            throws IOException, ConfigException {
        JsonObject tree = JsonObject.parse(text);
        JsonObject settings = tree.getObject("settings");
        if (settings.getList("classes").isEmpty()) {
            throw new ConfigException("settings name no classes");
        }
        String fault = SettingsValidator.firstError(settings);
        if (fault != null) {
            throw new ConfigException(fault);
        }
        RouterSettings routerSettings = RouterSettings.read(settings);
        if (routerSettings.routing().connectTimeout().isZero()
                || routerSettings.routing().clockStep().isZero()) {
            throw new ConfigException("settings lack stepUs or bounds.dialTimeoutUs");
        }
        return new RouterConfig(
                env.getOrDefault("LB_NAME", tree.getString("name")),
                address(env, "LB_LISTEN", tree.getString("listen")),
                address(env, "LB_DISCOVERY", tree.getString("discovery")),
                seed(tree.getString("seed")),
                tree.getObject("limits").getDouble("cores", Integer.MAX_VALUE),
                (int) tree.getObject("limits").getDouble("sockets", 1024),
                (long) tree.getObject("limits").getDouble("memory_mb", 192),
                tree.getObject("known"),
                routerSettings,
                tree.getString("discovery"));
    }

    private static InetSocketAddress address(
            Map<String, String> env, String name, String defaultValue) throws ConfigException {
        String text = env.getOrDefault(name, defaultValue);
        InetSocketAddress address = Address.parse(text);
        if (address == null) {
            throw new ConfigException(name + " is no address: '" + text + "'");
        }
        return address;
    }

    private static long seed(String hex) throws ConfigException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed is no hexadecimal number: '" + hex + "'");
        }
    }
}
