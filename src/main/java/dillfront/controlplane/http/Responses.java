package dillfront.controlplane.http;

import dillfront.common.environment.Environment;
import dillfront.common.environment.Environment.HttpResponse;
import dillfront.common.environment.HttpServerHandler;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Creates the HTTP responses to database servers and operators. */
final class Responses {

    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int METHOD_NOT_ALLOWED = 405;
    static final int CONFLICT = 409;
    static final int UNAVAILABLE = 503;
    static final int TEMPORARY_REDIRECT = 307;
    private static final int SUCCESS = 200;

    /** This process has no contact with a majority. */
    static final String ISOLATED = "no majority of control processes is heard; ask another";

    /** No majority acknowledged within the time that a caller waits. */
    private static final String TIMED_OUT = "no majority in time";

    private Responses() {}

    static HttpResponse ok(String json) {
        return new HttpResponse(SUCCESS, json.getBytes(StandardCharsets.UTF_8));
    }

    static HttpResponse ok(byte[] json) {
        return new HttpResponse(SUCCESS, json);
    }

    /** Returns the empty success response. */
    static HttpResponse acknowledged() {
        return ok("{}");
    }

    static HttpResponse error(int status, String message) {
        return HttpServerHandler.errorResponse(status, message);
    }

    static CompletableFuture<HttpResponse> completed(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    static CompletableFuture<HttpResponse> completedError(int status, String message) {
        return completed(error(status, message));
    }

    /**
     * Maps a result to a response once the result is complete, or to 503 if it fails or exceeds the
     * timeout.
     */
    static <T> CompletableFuture<HttpResponse> within(
            Environment environment,
            long timeoutMillis,
            CompletableFuture<T> result,
            Function<T, HttpResponse> onResult) {
        return within(
                environment,
                timeoutMillis,
                result,
                onResult,
                message -> error(UNAVAILABLE, message));
    }

    /**
     * Maps a result to a response once the result is complete, or the failure message to another
     * response if it fails or exceeds the timeout. A timeout also cancels the result.
     */
    static <T> CompletableFuture<HttpResponse> within(
            Environment environment,
            long timeoutMillis,
            CompletableFuture<T> result,
            Function<T, HttpResponse> onResult,
            Function<String, HttpResponse> onFailure) {
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        result.whenComplete(
                (value, failure) ->
                        response.complete(
                                failure == null
                                        ? onResult.apply(value)
                                        : onFailure.apply(failure.getMessage())));
        environment.schedule(
                timeoutMillis,
                () -> {
                    if (response.complete(onFailure.apply(TIMED_OUT))) {
                        result.cancel(false);
                    }
                });
        return response;
    }
}
