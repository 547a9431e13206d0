package dillfront.controlplane.http;

import dillfront.common.environment.Environment;
import dillfront.common.environment.Environment.HttpResponse;
import dillfront.common.environment.HttpServerHandler;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Answers to calls of database servers and operators. */
final class Responses {

    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int METHOD_NOT_ALLOWED = 405;
    static final int CONFLICT = 409;
    static final int UNAVAILABLE = 503;
    static final int TEMPORARY_REDIRECT = 307;
    private static final int SUCCESS = 200;

    /** The process hears no majority. */
    static final String ISOLATED = "no majority of control processes is heard; ask another";

    /** No majority answered within the time that a caller waits. */
    private static final String TIMED_OUT = "no majority in time";

    private Responses() {}

    static HttpResponse ok(String json) {
        return new HttpResponse(SUCCESS, json.getBytes(StandardCharsets.UTF_8));
    }

    static HttpResponse ok(byte[] json) {
        return new HttpResponse(SUCCESS, json);
    }

    /** The call was taken. */
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

    /** An answer that is known later, or 503 where that fails or takes too long. */
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
     * An answer that is known later, or another where that fails or takes too long; then the result
     * is cancelled.
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
