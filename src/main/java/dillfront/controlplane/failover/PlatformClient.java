package dillfront.controlplane.failover;

import com.eclipsesource.json.Json;
import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Calls the platform, which promotes database servers. */
final class PlatformClient {

    private static final int TIMEOUT_MS = 1_500;
    private static final String PROMOTION_PATH = "/promotion";
    private static final String LEASE_HOLDER_HEADER = "Dillfront-Duty-Holder";
    private static final String FENCING_TOKEN_HEADER = "Dillfront-Fence-Number";
    private static final int OK = 200;
    private static final int CONFLICT = 409;

    /** The platform's reply. */
    enum PromotionResult {
        /** The platform promotes the server, or the server is already the primary. */
        ACCEPTED,
        /**
         * The platform does not promote the server, because the server is not running or the
         * fencing token is too low.
         */
        REJECTED,
        /** The platform returned another status; the call may be repeated. */
        OTHER
    }

    private final Environment environment;
    private final NodeSettings settings;

    PlatformClient(Environment environment, NodeSettings settings) {
        this.environment = environment;
        this.settings = settings;
    }

    /**
     * Requests the promotion of a server.
     *
     * @param fencingToken a token above all used before; the platform rejects a delayed call if a
     *     later call was made
     * @return fails if no complete reply arrives before the timeout
     */
    CompletableFuture<PromotionResult> promote(String service, String serverId, long fencingToken) {
        String body = Json.object().add("service", service).add("instance_id", serverId).toString();
        Map<String, String> headers =
                Map.of(
                        LEASE_HOLDER_HEADER,
                        settings.nodeName(),
                        FENCING_TOKEN_HEADER,
                        Long.toString(fencingToken));
        return environment
                .post(settings.platformAddress(), PROMOTION_PATH, body, headers, TIMEOUT_MS)
                .thenApply(response -> result(response.status()));
    }

    private static PromotionResult result(int status) {
        return switch (status) {
            case OK -> PromotionResult.ACCEPTED;
            case CONFLICT -> PromotionResult.REJECTED;
            default -> PromotionResult.OTHER;
        };
    }
}
