package dillfront.cli;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Shows the acknowledged commits that a service waits for although no reachable log has them, and
 * abandons them on request. The request names what was shown, so that no later loss is accepted
 * with it.
 */
@Command(
        name = "accept-data-loss",
        mixinStandardHelpOptions = true,
        description =
                "Shows the acknowledged commits that no reachable server has; with --yes abandons them, so that a server without them is promoted.",
        footer = {
            "",
            "Exit code: 0 shown or accepted, 1 refused or no clear response (the same call may be repeated, to any control process),",
            "2 invalid command line, 3 no commits of this service are lacking.",
            "",
            "Example: dillfront system accept-data-loss 10.1.0.8:8785 orders",
            "         dillfront system accept-data-loss 10.1.0.8:8785 orders --shown 1f0c9a7e21b4 --yes"
        })
final class AcceptDataLoss implements Callable<Integer> {

    private static final int NOTHING = 3;
    private static final String[] NAMES = {
        "service", "move", "log_position", "least_acknowledged", "most_acknowledged", "out_of_reach"
    };

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Parameters(
            index = "0",
            paramLabel = "ADDRESS",
            description = "control_address of any control process, as IP:PORT")
    private String address;

    @Parameters(
            index = "1",
            paramLabel = "SERVICE",
            description = "the service that has no primary")
    private String service;

    @Option(
            names = "--shown",
            paramLabel = "SEAL",
            description = "the seal that the command printed without --yes")
    private String shown;

    @Option(names = "--yes", description = "abandon the commits that were shown; requires --shown")
    private boolean yes;

    @Option(names = "--json", description = "print JSON instead of lines")
    private boolean json;

    @Override
    public Integer call() {
        if (yes != (shown != null)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    "--yes requires --shown, and --shown requires --yes: run without both first, then accept what was shown");
        }
        try {
            JsonObject lacking = lacking();
            if (lacking == null) {
                System.out.println(
                        json
                                ? "{\"lacking\":null}"
                                : service + ": no commits are lacking, according to " + address);
                return NOTHING;
            }
            String seal = seal(lacking);
            if (!yes) {
                show(lacking, seal);
                return 0;
            }
            if (!seal.equals(shown)) {
                show(lacking, seal);
                return Commands.fault(
                        service
                                + ": the lacking commits have changed since they were shown; nothing was abandoned");
            }
            WholeSystem.Answer is =
                    WholeSystem.ask(address, "/Services.AcceptDataLoss", body(lacking).toString());
            JsonObject said = Json.parse(is.text()).asObject();
            if (is.status() != 200) {
                return Commands.fault(
                        service + ": " + is.status() + " " + said.getString("error_message", ""));
            }
            System.out.println(
                    json
                            ? is.text()
                            : service
                                    + ": accepted, continues from "
                                    + said.getString("log_position", "")
                                    + " or from a longer log if one is reachable");
            return 0;
        } catch (ParseException | UnsupportedOperationException | NullPointerException bad) {
            return Commands.fault(
                    address + ": not a response of a control process: " + bad.getMessage());
        } catch (IOException none) {
            return Commands.fault("no answer from " + address + ": " + none.getMessage());
        }
    }

    private JsonObject lacking() throws IOException {
        JsonArray all =
                Json.parse(WholeSystem.ask(address, "/status", null).text())
                        .asObject()
                        .get("lacking")
                        .asArray();
        for (JsonValue one : all) {
            if (one.asObject().getString("service", "").equals(service)) {
                return one.asObject();
            }
        }
        return null;
    }

    private static JsonObject body(JsonObject lacking) {
        JsonObject is = Json.object();
        for (String name : NAMES) {
            is.add(name, lacking.get(name));
        }
        return is;
    }

    /**
     * Returns a digest that identifies one loss: the service, the move, its positions and servers.
     */
    private static String seal(JsonObject lacking) {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(body(lacking).toString().getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest, 0, 6);
        } catch (NoSuchAlgorithmException never) {
            throw new IllegalStateException(never);
        }
    }

    private void show(JsonObject lacking, String seal) {
        if (json) {
            System.out.println(Json.object().add("lacking", lacking).add("seal", seal));
            return;
        }
        JsonArray servers = lacking.get("out_of_reach").asArray();
        String log = lacking.getString("log_position", "");
        System.out.println(
                service
                        + ": no primary; "
                        + lacking.getString("primary", "")
                        + " was the last primary, commits lacking for "
                        + lacking.getLong("for_ms", 0) / 1_000
                        + " s");
        System.out.println("  longest log left   " + log);
        System.out.println(
                "  acknowledged up to "
                        + lacking.getString("least_acknowledged", "")
                        + " at least, "
                        + lacking.getString("most_acknowledged", "")
                        + " at most");
        if (!servers.isEmpty()) {
            System.out.println("  unreachable        " + servers + ", which may have a longer log");
        }
        System.out.println(
                "A server that has these commits can still be recovered without loss. To abandon them permanently:");
        System.out.println(
                "  a server whose log ends at "
                        + log
                        + " or later is promoted; acknowledged commits past that position are lost");
        System.out.println(
                "  dillfront system accept-data-loss "
                        + address
                        + " "
                        + service
                        + " --shown "
                        + seal
                        + " --yes");
    }
}
