package dillfront.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Exit codes that scripts can use: 0 all is well, 1 it is not, 2 the command line is wrong. */
class SystemCommandTest {

    @TempDir Path dir;

    @Test
    void validatesConfigurationFile() throws IOException {
        Path file = dir.resolve("next.json");
        Files.writeString(file, "{\"revision_number\":3,\"routes\":[],\"services\":[]}");
        assertEquals(0, RootCommand.run("system", "configuration", file.toString()));
        Files.writeString(file, "{\"revision_number\":3,\"routes\":[");
        assertEquals(1, RootCommand.run("system", "configuration", file.toString()));
        assertEquals(1, RootCommand.run("system", "configuration", dir.resolve("none").toString()));
    }

    @Test
    void failsForInvalidSettingsAndUnreachableProcess() {
        assertEquals(1, RootCommand.run("system", "settings", dir.resolve("none").toString()));
        assertEquals(1, RootCommand.run("system", "status", "nowhere"));
        assertEquals(1, RootCommand.run("system", "status", "127.0.0.1:1"));
        assertEquals(2, RootCommand.run("system"));
    }

    private static final String LACKING =
            "{'service':'db','move':'1099512676354','primary':'db-a','log_position':'1.10','least_acknowledged':'1.70',"
                    + "'most_acknowledged':'1.%s','out_of_reach':['db-b'],'for_ms':%s}";

    private final List<String> posted = new ArrayList<>();
    private volatile String mostAcknowledged = "72";
    private volatile int responseStatus = 200;

    /** A control process that says what is lacking, and writes down what is posted. */
    private HttpServer startControlProcess() throws IOException {
        HttpServer httpServer = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        httpServer.createContext(
                "/status",
                exchange ->
                        respond(
                                exchange,
                                200,
                                "{'status':'-','lacking':["
                                        + String.format(
                                                LACKING, mostAcknowledged, System.nanoTime())
                                        + "]}"));
        httpServer.createContext(
                "/Services.AcceptDataLoss",
                exchange -> {
                    posted.add(
                            new String(
                                    exchange.getRequestBody().readAllBytes(),
                                    StandardCharsets.UTF_8));
                    respond(
                            exchange,
                            responseStatus,
                            "{'log_position':'1.10','error_message':'something else'}");
                });
        httpServer.start();
        return httpServer;
    }

    private static void respond(HttpExchange exchange, int status, String text) throws IOException {
        byte[] body = text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private String out;

    private int run(String... args) {
        PrintStream previous = System.out;
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        System.setOut(new PrintStream(buffer, true, StandardCharsets.UTF_8));
        try {
            return RootCommand.run(args);
        } finally {
            System.setOut(previous);
            out = buffer.toString(StandardCharsets.UTF_8);
        }
    }

    /** Guards against a call that gives up more than the person was shown. */
    @Test
    void acceptsOnlyTheLossThatWasShown() throws IOException {
        HttpServer control = startControlProcess();
        try {
            String address = "127.0.0.1:" + control.getAddress().getPort();
            assertEquals(0, run("system", "accept-data-loss", address, "db"));
            assertTrue(
                    out.contains("longest log left   1.10")
                            && out.contains("1.72 at the most")
                            && out.contains("db-b"),
                    out);
            String seal = out.replaceAll("(?s).*--shown (\\w+) --yes.*", "$1");
            assertEquals(0, run("system", "accept-data-loss", address, "db", "--json"));
            assertEquals(
                    seal,
                    Json.parse(out).asObject().getString("seal", ""),
                    "the same, however long it lasts");
            assertEquals(3, run("system", "accept-data-loss", address, "other"));
            assertEquals(2, run("system", "accept-data-loss", address, "db", "--yes"));
            assertEquals(2, run("system", "accept-data-loss", address, "db", "--shown", seal));
            assertEquals(
                    1,
                    run("system", "accept-data-loss", address, "db", "--shown", "0000", "--yes"));
            mostAcknowledged = "73";
            assertEquals(
                    1, run("system", "accept-data-loss", address, "db", "--shown", seal, "--yes"));
            assertEquals(List.of(), posted);
            mostAcknowledged = "72";
            assertEquals(
                    0, run("system", "accept-data-loss", address, "db", "--shown", seal, "--yes"));
            assertEquals(
                    List.of(
                            "{'service':'db','move':'1099512676354','log_position':'1.10','least_acknowledged':'1.70','most_acknowledged':'1.72',"
                                            .replace('\'', '"')
                                    + "\"out_of_reach\":[\"db-b\"]}"),
                    posted);
            for (int errorStatus : new int[] {409, 503}) {
                responseStatus = errorStatus;
                assertEquals(
                        1,
                        run("system", "accept-data-loss", address, "db", "--shown", seal, "--yes"));
            }
        } finally {
            control.stop(0);
        }
        assertEquals(1, run("system", "accept-data-loss", "127.0.0.1:1", "db"));
        assertEquals(1, run("system", "accept-data-loss", "nowhere", "db"));
    }
}
