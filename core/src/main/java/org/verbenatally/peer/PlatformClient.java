package org.verbenatally.peer;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.verbenatally.config.ConfigReader;
import org.verbenatally.core.Address;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;

/** HTTP client for the platform's configuration and instance list. Futures fail with a {@link StepException}. */
final class PlatformClient {
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    /** Connect timeout, and time allowed for a response beyond the requested wait. */
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    private static final int MAX_INSTANCES = 20_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient http;
    private final Address address;

    PlatformClient(Vertx vertx, Address address) {
        this.address = address;
        http = vertx.createHttpClient(new HttpClientOptions()
                .setConnectTimeout((int) TIMEOUT.toMillis())
                // Connections are not pooled, so that a silent one cannot delay the next read; reads are rare.
                .setKeepAlive(false));
    }

    /** Reads a document newer than a version; completes with empty if there is none within the wait. */
    CompletableFuture<Optional<byte[]>> config(long after, Duration wait) {
        String uri = "/v1/config?after=" + after + "&waitMs=" + wait.toMillis();
        return get(uri, wait.plus(TIMEOUT));
    }

    /** Reads the instance list. */
    CompletableFuture<List<PlatformInstance>> instances() {
        return get("/v1/instances", TIMEOUT).thenApply(body -> parse(body.orElseThrow(() -> failure("no body", null))));
    }

    private CompletableFuture<Optional<byte[]>> get(String uri, Duration timeout) {
        var options = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(address.host())
                .setPort(address.port())
                .setURI(uri)
                .setTimeout(timeout.toMillis());
        var result = new CompletableFuture<Optional<byte[]>>();
        Future<HttpClientRequest> requestFuture;
        try {
            requestFuture = http.request(options);
        } catch (IllegalStateException e) {
            // The client was closed just before a reading task sent its request.
            return CompletableFuture.failedFuture(failure(e.getMessage(), e));
        }
        requestFuture
                .compose(request -> request.send().compose(this::readBody))
                .onSuccess(result::complete)
                .onFailure(e -> result.completeExceptionally(
                        e instanceof StepException ? e : failure("read failed: " + e.getMessage(), e)));
        return result;
    }

    private Future<Optional<byte[]>> readBody(HttpClientResponse response) {
        if (response.statusCode() == NOT_MODIFIED) {
            return Future.succeededFuture(Optional.empty());
        }
        if (response.statusCode() != OK) {
            return Future.failedFuture(failure("status " + response.statusCode() + ", expected 200 or 304", null));
        }
        Promise<Optional<byte[]>> promise = Promise.promise();
        Buffer body = Buffer.buffer();
        response.exceptionHandler(promise::tryFail);
        response.endHandler(v -> promise.tryComplete(Optional.of(body.getBytes())));
        response.handler(chunk -> {
            if (body.length() + chunk.length() > ConfigReader.MAX_BYTES) {
                promise.tryFail(failure("body is longer than " + ConfigReader.MAX_BYTES + " bytes", null));
                response.request().connection().close();
            } else {
                body.appendBuffer(chunk);
            }
        });
        return promise.future();
    }

    private List<PlatformInstance> parse(byte[] body) {
        try {
            JsonNode list = MAPPER.readTree(body);
            if (!list.isArray() || list.size() > MAX_INSTANCES) {
                throw failure("instance list is not an array or has more items than " + MAX_INSTANCES, null);
            }
            List<PlatformInstance> result = new ArrayList<>();
            for (JsonNode item : list) {
                result.add(PlatformInstance.of(item));
            }
            return result;
        } catch (IOException | IllegalArgumentException e) {
            throw failure("instance list is invalid: " + e.getMessage(), e);
        }
    }

    private StepException failure(String message, Throwable cause) {
        return new StepException(Step.CONFIGURE, "platform " + address, Outcome.NOT_RUN, message, cause);
    }

    void close() {
        http.close();
    }
}
