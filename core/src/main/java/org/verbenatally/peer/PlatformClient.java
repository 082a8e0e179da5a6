package org.verbenatally.peer;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.jboss.logging.Logger;
import org.verbenatally.config.ConfigReader;
import org.verbenatally.core.Address;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.http.GuardedHttpClient;
import org.verbenatally.http.ResponseHeads;

/** HTTP client for the platform's configuration and instance list. Futures fail with a {@link StepException}. */
final class PlatformClient {
    private static final Logger LOG = Logger.getLogger(PlatformClient.class);
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    /** Connect timeout, and time allowed for a response beyond the requested wait. */
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    private static final int MAX_INSTANCES = 20_000;
    /** Number of digits that always fit into a {@code long}. */
    private static final int MAX_DIGITS = 18;

    /** Its limits on nesting and numbers are those of the body, so that no item makes the list unreadable. */
    private static final ObjectMapper MAPPER = new ObjectMapper(JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(ConfigReader.MAX_BYTES)
                    .maxNumberLength(ConfigReader.MAX_BYTES)
                    .build())
            .build());

    private final GuardedHttpClient http;
    private final Address address;
    /** Ids of the items in the latest list that describe no instance. */
    private volatile Set<String> ignored = Set.of();

    PlatformClient(Vertx vertx, Address address) {
        this.address = address;
        http = new GuardedHttpClient(
                vertx,
                new HttpClientOptions()
                        .setConnectTimeout((int) TIMEOUT.toMillis())
                        // Connections are not pooled, so that neither a silent one nor a late response can
                        // reach the next read; reads are rare.
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
        if (ResponseHeads.isJoined(response)) {
            return Future.failedFuture(failure("the head of the response holds that of another one", null));
        }
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
        List<PlatformInstance> result = new ArrayList<>();
        Map<String, String> reasons = new HashMap<>();
        try (JsonParser parser = MAPPER.createParser(body)) {
            if (parser.nextToken() != JsonToken.START_ARRAY) {
                throw failure("instance list is not an array", null);
            }
            for (int items = 0; parser.nextToken() != JsonToken.END_ARRAY; items++) {
                if (items >= MAX_INSTANCES) {
                    throw failure("instance list has more items than " + MAX_INSTANCES, null);
                }
                JsonNode item = scalarFields(parser);
                try {
                    result.add(PlatformInstance.of(item));
                } catch (IllegalArgumentException e) {
                    reasons.put(item.path("id").asText(), e.getMessage());
                }
            }
        } catch (IOException e) {
            throw failure("instance list is invalid: " + e.getMessage(), e);
        }
        reportIgnored(reasons);
        return result;
    }

    /** Reads an item without the fields that are objects or arrays, whose depth no limit of the parser covers. */
    private static JsonNode scalarFields(JsonParser parser) throws IOException {
        ObjectNode item = MAPPER.createObjectNode();
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            parser.skipChildren();
            return item;
        }
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String field = parser.currentName();
            JsonToken value = parser.nextToken();
            if (value == JsonToken.VALUE_STRING) {
                item.put(field, parser.getText());
            } else if (value == JsonToken.VALUE_NUMBER_INT && parser.getTextLength() <= MAX_DIGITS) {
                item.put(field, parser.getLongValue());
            } else {
                parser.skipChildren();
                item.putNull(field);
            }
        }
        return item;
    }

    /** Logs the items that are ignored since this read of the list. */
    private void reportIgnored(Map<String, String> reasons) {
        reasons.forEach((id, reason) -> {
            if (!ignored.contains(id)) {
                LOG.warnf("peer: ignoring instance \"%.128s\" in the list of the platform: %.200s", id, reason);
            }
        });
        ignored = Set.copyOf(reasons.keySet());
    }

    private StepException failure(String message, Throwable cause) {
        return new StepException(Step.CONFIGURE, "platform " + address, Outcome.NOT_RUN, message, cause);
    }

    void close() {
        http.close();
    }
}
