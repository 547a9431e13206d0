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
 * @param cores the part of a core that it may use; large where nothing is said
 * @param sockets how many file descriptors it may hold
 * @param memoryMb how much memory it may take
 * @param known the member list as it last had it, in discovery's form
 * @param named where the file itself says that discovery is, whatever the variables say; empty
 *     where it says nothing
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        double cores,
        int sockets,
        long memoryMb,
        Tree known,
        Setup setup,
        String named) {

    /** The variables go before what the file says of the same thing. */
    public static Config read(Map<String, String> env) throws BadConfig {
        String file = env.get("LB_CONFIG");
        if (file == null) {
            throw new BadConfig("LB_CONFIG is not set");
        }
        try (InputStream text = Files.newInputStream(Path.of(file))) {
            return read(text, env);
        } catch (NoSuchFileException none) {
            throw new BadConfig("LB_CONFIG " + file + ": no such file");
        } catch (IOException bad) {
            String fault = bad.getMessage() == null ? bad.toString() : bad.getMessage();
            throw new BadConfig("LB_CONFIG " + file + ": " + fault.lines().findFirst().orElse(""));
        }
    }

    /**
     * As at a reload: the variable names discovery's address at the start, the file where it is
     * now.
     */
    public static Config again(Map<String, String> env) throws BadConfig {
        Map<String, String> others = new HashMap<>(env);
        others.remove("LB_DISCOVERY");
        return read(others);
    }

    /** The same but for the settings. */
    public Config by(Setup other) {
        return new Config(
                name, listen, discovery, seed, cores, sockets, memoryMb, known, other, named);
    }

    /** What of another configuration cannot be taken over by a router that runs. */
    public List<String> fixed(Config other) {
        List<String> names = new ArrayList<>();
        if (!name.equals(other.name)) {
            names.add("name");
        }
        if (!listen.equals(other.listen)) {
            names.add("listen");
        }
        if (cores != other.cores || sockets != other.sockets || memoryMb != other.memoryMb) {
            names.add("limits");
        }
        // Timers of clients and of discovery.
        if (!setup.settings().connectTimeout().equals(other.setup.settings().connectTimeout())) {
            names.add("settings.bounds.dialTimeoutUs");
        }
        return names;
    }

    public static Config read(InputStream text) throws IOException, BadConfig {
        return read(text, Map.of());
    }

    private static Config read(InputStream text, Map<String, String> env)
            throws IOException, BadConfig {
        Tree tree = Tree.parse(text);
        Tree settings = tree.tree("settings");
        if (settings.list("classes").isEmpty()) {
            throw new BadConfig("settings name no classes");
        }
        String fault = Checks.fault(settings);
        if (fault != null) {
            throw new BadConfig(fault);
        }
        Setup setup = Setup.read(settings);
        if (setup.settings().connectTimeout().isZero() || setup.settings().clockStep().isZero()) {
            throw new BadConfig("settings lack stepUs or bounds.dialTimeoutUs");
        }
        return new Config(
                env.getOrDefault("LB_NAME", tree.text("name")),
                address(env, "LB_LISTEN", tree.text("listen")),
                address(env, "LB_DISCOVERY", tree.text("discovery")),
                seed(tree.text("seed")),
                tree.tree("limits").number("cores", Integer.MAX_VALUE),
                (int) tree.tree("limits").number("sockets", 1024),
                (long) tree.tree("limits").number("memory_mb", 192),
                tree.tree("known"),
                setup,
                tree.text("discovery"));
    }

    private static InetSocketAddress address(Map<String, String> env, String name, String otherwise)
            throws BadConfig {
        String text = env.getOrDefault(name, otherwise);
        InetSocketAddress address = Address.parse(text);
        if (address == null) {
            throw new BadConfig(name + " is no address: '" + text + "'");
        }
        return address;
    }

    private static long seed(String hex) throws BadConfig {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException bad) {
            throw new BadConfig("seed is no hexadecimal number: '" + hex + "'");
        }
    }
}
