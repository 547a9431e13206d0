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
 * What the platform tells one router at its start.
 *
 * @param cpuCores the part of a core that it may use; large where nothing is said
 * @param maxDescriptors how many file descriptors it may hold
 * @param memoryMb how much memory it may take
 * @param initialMembers the member list as it last had it, in discovery's form
 * @param configuredDiscovery where the file itself says that discovery is, whatever the variables say; empty
 *     where it says nothing
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

    /** The variables go before what the file says of the same thing. */
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
            throw new ConfigException("LB_CONFIG " + file + ": " + fault.lines().findFirst().orElse(""));
        }
    }

    /**
     * As at a reload: the variable names discovery's address at the start, the file where it is
     * now.
     */
    public static RouterConfig readForReload(Map<String, String> env) throws ConfigException {
        Map<String, String> reloadEnv = new HashMap<>(env);
        reloadEnv.remove("LB_DISCOVERY");
        return read(reloadEnv);
    }

    /** The same but for the settings. */
    public RouterConfig withSettings(RouterSettings other) {
        return new RouterConfig(
                name, listen, discovery, seed, cpuCores, maxDescriptors, memoryMb, initialMembers, other, configuredDiscovery);
    }

    /** What of another configuration cannot be taken over by a router that runs. */
    public List<String> restartOnlyFields(RouterConfig other) {
        List<String> names = new ArrayList<>();
        if (!name.equals(other.name)) {
            names.add("name");
        }
        if (!listen.equals(other.listen)) {
            names.add("listen");
        }
        if (cpuCores != other.cpuCores || maxDescriptors != other.maxDescriptors || memoryMb != other.memoryMb) {
            names.add("limits");
        }
        // Timers of clients and of discovery.
        if (!settings.routing().connectTimeout().equals(other.settings.routing().connectTimeout())) {
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
        RouterSettings setup = RouterSettings.read(settings);
        if (setup.routing().connectTimeout().isZero() || setup.routing().clockStep().isZero()) {
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
                setup,
                tree.getString("discovery"));
    }

    private static InetSocketAddress address(Map<String, String> env, String name, String defaultValue)
            throws ConfigException {
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
