package dillfront.controlplane.failover;

import com.eclipsesource.json.Json;
import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Calls to the platform, which makes a database server the primary of its service. */
final class PlatformClient {

    private static final int TIMEOUT_MS = 1_500;
    private static final String PROMOTION_PATH = "/promotion";
    private static final String LEASE_HOLDER_HEADER = "Dillfront-Duty-Holder";
    private static final String FENCING_TOKEN_HEADER = "Dillfront-Fence-Number";
    private static final int OK = 200;
    private static final int CONFLICT = 409;

    /** What the platform answered. */
    enum PromotionResult {
        /** It makes that server the primary, or it is already. */
        ACCEPTED,
        /** It does not, as that server does not run, or the fencing token is too low. */
        REJECTED,
        /** It gave another answer: the call may be made again. */
        OTHER
    }

    private final Environment environment;
    private final NodeSettings settings;

    PlatformClient(Environment environment, NodeSettings settings) {
        this.environment = environment;
        this.settings = settings;
    }

    /**
     * Asks for a server to be the primary.
     *
     * @param fencingToken above all that were used before: the platform refuses a call that was
     *     held up on its way and for which another was made since
     * @return fails where no complete answer came in time
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
