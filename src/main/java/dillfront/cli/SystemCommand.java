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
 * Commands for operators of the complete system, data planes and control planes. All of them only
 * read, except accept-data-loss.
 */
@Command(
        name = "system",
        mixinStandardHelpOptions = true,
        description = "Checks settings and queries data planes and control planes.",
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

    /** Validates a settings file as the start of a program would. */
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
                                                : "no client or control address")
                                + ", seeds "
                                + settings.seedAddresses());
                return 0;
            } catch (NodeSettings.InvalidSettingsException e) {
                return RootCommand.fail(e.getMessage());
            }
        }
    }

    /** Validates a configuration as the control plane would. */
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

    /** Prints the status of a process. */
    @Command(
            name = "status",
            description = "Prints the status of a data plane or a control plane.",
            footer = "Example: dillfront system status 10.1.0.8:8785")
    static final class ShowStatus implements Callable<Integer> {
        @Parameters(description = "its readiness_address or control_address, as IP:PORT")
        private String address;

        @Option(names = "--json", description = "print the response as it was received")
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
                return RootCommand.fail("no response from " + address + ": " + e.getMessage());
            }
        }
    }

    /** An HTTP response. */
    record Response(int status, String body) {}

    /**
     * Sends an HTTP request to a process.
     *
     * @param address IP:PORT
     * @param body of a POST request; null for a GET request
     */
    static Response request(String address, String path, String body) throws IOException {
        InetSocketAddress target = Address.parse(address);
        if (target == null) {
            throw new IOException("not an address of the form IP:PORT");
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
