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
 * Shows what a service waits for that no log has that is left; and gives that up, and nothing that
 * came since, where told to.
 */
@Command(
        name = "accept-data-loss",
        mixinStandardHelpOptions = true,
        description =
                "Shows the acknowledged commits that a service waits for in vain; with --yes gives them up, so that another leads without them.",
        footer = {
            "",
            "Exit code: 0 shown or accepted, 1 refused or no clear answer (the same call may be sent again, to any control process),",
            "2 the command line is wrong, 3 nothing is lacking of this service.",
            "",
            "Example: dillfront system accept-data-loss 10.1.0.8:8785 orders",
            "         dillfront system accept-data-loss 10.1.0.8:8785 orders --shown 1f0c9a7e21b4 --yes"
        })
final class AcceptDataLossCommand implements Callable<Integer> {

    private static final int EXIT_NOTHING_LACKING = 3;
    private static final String[] REQUEST_FIELDS = {
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
            description = "what was shown: the seal that the command printed without --yes")
    private String expectedSeal;

    @Option(names = "--yes", description = "give up what was shown; needs --shown")
    private boolean yes;

    @Option(names = "--json", description = "as JSON instead of lines")
    private boolean json;

    @Override
    public Integer call() {
        if (yes != (expectedSeal != null)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    "--yes and --shown go together: look first, then accept what was shown");
        }
        try {
            JsonObject lacking = fetchLacking();
            if (lacking == null) {
                System.out.println(
                        json
                                ? "{\"lacking\":null}"
                                : service + ": nothing is lacking, as " + address + " knows");
                return EXIT_NOTHING_LACKING;
            }
            String seal = seal(lacking);
            if (!yes) {
                print(lacking, seal);
                return 0;
            }
            if (!seal.equals(expectedSeal)) {
                print(lacking, seal);
                return RootCommand.fail(
                        service
                                + ": something else is lacking than what was shown; nothing was given up");
            }
            SystemCommand.Response response =
                    SystemCommand.request(
                            address, "/Services.AcceptDataLoss", requestBody(lacking).toString());
            JsonObject responseBody = Json.parse(response.body()).asObject();
            if (response.status() != 200) {
                return RootCommand.fail(
                        service
                                + ": "
                                + response.status()
                                + " "
                                + responseBody.getString("error_message", ""));
            }
            System.out.println(
                    json
                            ? response.body()
                            : service
                                    + ": accepted, goes on from "
                                    + responseBody.getString("log_position", "")
                                    + " or a longer log that is there");
            return 0;
        } catch (ParseException | UnsupportedOperationException | NullPointerException e) {
            return RootCommand.fail(address + ": no control process answers so: " + e.getMessage());
        } catch (IOException e) {
            return RootCommand.fail("no answer from " + address + ": " + e.getMessage());
        }
    }

    private JsonObject fetchLacking() throws IOException {
        JsonArray all =
                Json.parse(SystemCommand.request(address, "/status", null).body())
                        .asObject()
                        .get("lacking")
                        .asArray();
        for (JsonValue entry : all) {
            if (entry.asObject().getString("service", "").equals(service)) {
                return entry.asObject();
            }
        }
        return null;
    }

    private static JsonObject requestBody(JsonObject lacking) {
        JsonObject request = Json.object();
        for (String name : REQUEST_FIELDS) {
            request.add(name, lacking.get(name));
        }
        return request;
    }

    /** The same for the same loss, and for no other. */
    private static String seal(JsonObject lacking) {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(
                                    requestBody(lacking)
                                            .toString()
                                            .getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest, 0, 6);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private void print(JsonObject lacking, String seal) {
        if (json) {
            System.out.println(Json.object().add("lacking", lacking).add("seal", seal));
            return;
        }
        JsonArray servers = lacking.get("out_of_reach").asArray();
        String logPosition = lacking.getString("log_position", "");
        System.out.println(
                service
                        + ": no primary; "
                        + lacking.getString("primary", "")
                        + " led last, lacking for "
                        + lacking.getLong("for_ms", 0) / 1_000
                        + " s");
        System.out.println("  longest log left   " + logPosition);
        System.out.println(
                "  acknowledged up to "
                        + lacking.getString("least_acknowledged", "")
                        + " at the least, "
                        + lacking.getString("most_acknowledged", "")
                        + " at the most");
        if (!servers.isEmpty()) {
            System.out.println("  out of reach       " + servers + ", which may have more");
        }
        System.out.println(
                "Bringing back a server that has these commits loses nothing. To go on without them, for good:");
        System.out.println(
                "  a server whose log ends at "
                        + logPosition
                        + " or later leads; what clients were told of past that is gone");
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
