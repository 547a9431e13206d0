package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform: POST /promotion, with a check of the fence for each service. */
final class Platform implements AutoCloseable {

    private static final Pattern SERVICE = Pattern.compile("\"service\"\\s*:\\s*\"([^\"]*)\"");
    private static final Pattern INSTANCE = Pattern.compile("\"instance_id\"\\s*:\\s*\"([^\"]*)\"");

    private final HttpServer server;
    private final Map<String, DatabaseService> services;
    private final Map<String, Long> fences = new HashMap<>();

    Platform(String address, Map<String, DatabaseService> services) throws IOException {
        this.services = services;
        int colon = address.lastIndexOf(':');
        server =
                HttpServer.create(
                        new InetSocketAddress(
                                InetAddress.getByName(address.substring(0, colon)),
                                Integer.parseInt(address.substring(colon + 1))),
                        64);
        server.setExecutor(Executors.newFixedThreadPool(4));
        server.createContext("/promotion", this::promotion);
        server.start();
    }

    private void promotion(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        long fence = Long.parseLong(exchange.getRequestHeaders().getFirst("Dillfront-Fence-Number"));
        String holder = exchange.getRequestHeaders().getFirst("Dillfront-Duty-Holder");
        String service = group(SERVICE, body);
        String instance = group(INSTANCE, body);
        int status = status(service, instance, fence);
        Recorder.record("platform: promotion of %s by %s, fence %d: %d", instance, holder, fence, status);
        byte[] answer = "{}".getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, answer.length);
        exchange.getResponseBody().write(answer);
        exchange.close();
    }

    private synchronized int status(String service, String instance, long fence) {
        if (fence < fences.getOrDefault(service, Long.MIN_VALUE)) {
            return 409;
        }
        fences.put(service, fence);
        DatabaseService database = services.get(service);
        return database != null && database.promote(instance) ? 200 : 409;
    }

    private static String group(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        return matcher.find() ? matcher.group(1) : "";
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
