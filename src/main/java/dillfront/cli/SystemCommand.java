package dillfront.cli;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.ParseException;
import dillfront.common.config.Configuration;
import dillfront.common.config.NodeSettings;
import dillfront.common.network.Address;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * What operators of the whole system call: it reads and asks, and changes nothing but by
 * accept-data-loss.
 */
@Command(
        name = "system",
        mixinStandardHelpOptions = true,
        description = "Checks and asks the two programs of the whole system.",
        subcommands = {
            SystemCommand.CheckSettings.class,
            SystemCommand.CheckConfiguration.class,
            SystemCommand.ShowStatus.class,
            AcceptDataLossCommand.class
        })
final class SystemCommand implements Runnable {

    private static final int REQUEST_TIMEOUT_MS = 3_000;

    @picocli.CommandLine.Spec private picocli.CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new picocli.CommandLine.ParameterException(
                spec.commandLine(), "expected settings, configuration, status or accept-data-loss");
    }

    /** As a start would. */
    @Command(
            name = "settings",
            description = "Checks a settings file as a start of data-plane or control-plane would.",
            footer = "Example: dillfront system settings /etc/dillfront/node.json")
    static final class CheckSettings implements Callable<Integer> {
        @Parameters(description = "the settings file")
        private Path file;

        @Override
        public Integer call() {
            try {
                NodeSettings settings = NodeSettings.read(file);
                System.out.println(
                        file
                                + ": "
                                + settings.nodeName()
                                + " in "
                                + settings.zoneName()
                                + ", "
                                + (settings.frontAddress() != null
                                        ? "front " + settings.frontAddress()
                                        : settings.controlAddress() != null
                                                ? "control " + settings.controlAddress()
                                                : "serves nothing")
                                + ", seeds "
                                + settings.seedAddresses());
                return 0;
            } catch (NodeSettings.InvalidSettingsException e) {
                return RootCommand.fail(e.getMessage());
            }
        }
    }

    /** As the control plane would. */
    @Command(
            name = "configuration",
            description = "Checks a configuration as the control plane would, before it is sent.",
            footer = "Example: dillfront system configuration next.json")
    static final class CheckConfiguration implements Callable<Integer> {
        @Parameters(description = "the JSON body of POST /Configuration.Replace")
        private Path file;

        @Override
        public Integer call() {
            try {
                Configuration configuration = Configuration.parse(Files.readAllBytes(file));
                System.out.println(
                        file
                                + ": version "
                                + configuration.revision()
                                + ", "
                                + configuration.routeCount()
                                + " routes, "
                                + configuration.services().size()
                                + " services");
                return 0;
            } catch (Configuration.InvalidConfigurationException e) {
                return RootCommand.fail(file + ": " + e.getMessage());
            } catch (IOException e) {
                return RootCommand.fail(file + ": cannot be read: " + e.getMessage());
            }
        }
    }

    /** What a process holds. */
    @Command(
            name = "status",
            description = "Asks a data plane or a control plane what it holds.",
            footer = "Example: dillfront system status 10.1.0.8:8785")
    static final class ShowStatus implements Callable<Integer> {
        @Parameters(description = "its readiness_address or control_address, as IP:PORT")
        private String address;

        @Option(names = "--json", description = "as it was answered")
        private boolean json;

        @Override
        public Integer call() {
            try {
                Response response = request(address, "/status", null);
                if (response.status() != 200) {
                    return RootCommand.fail(
                            address + ": " + response.status() + " " + response.body());
                }
                String text = response.body();
                System.out.println(
                        json
                                ? text
                                : Json.parse(text)
                                        .asObject()
                                        .getString("status", "")
                                        .replace(" | ", "\n"));
                return 0;
            } catch (ParseException | UnsupportedOperationException e) {
                return RootCommand.fail(address + ": " + e.getMessage());
            } catch (IOException e) {
                return RootCommand.fail("no answer from " + address + ": " + e.getMessage());
            }
        }
    }

    /** What was answered. */
    record Response(int status, String body) {}

    /**
     * Asks a process.
     *
     * @param address IP:PORT
     * @param body of a POST; null for a GET
     */
    static Response request(String address, String path, String body) throws IOException {
        InetSocketAddress target = Address.parse(address);
        if (target == null) {
            throw new IOException("no IP:PORT");
        }
        HttpURLConnection connection =
                (HttpURLConnection)
                        URI.create(
                                        "http://"
                                                + target.getHostString()
                                                + ":"
                                                + target.getPort()
                                                + path)
                                .toURL()
                                .openConnection();
        try {
            connection.setConnectTimeout(REQUEST_TIMEOUT_MS);
            connection.setReadTimeout(REQUEST_TIMEOUT_MS);
            if (body != null) {
                connection.setDoOutput(true);
                connection.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
            }
            int status = connection.getResponseCode();
            try (InputStream in =
                    status < 400 ? connection.getInputStream() : connection.getErrorStream()) {
                return new Response(
                        status,
                        in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8));
            }
        } finally {
            connection.disconnect();
        }
    }
}
