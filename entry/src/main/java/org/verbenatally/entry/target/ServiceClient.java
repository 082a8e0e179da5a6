package org.verbenatally.entry.target;

import java.time.Duration;
import java.util.Objects;
import java.util.function.BooleanSupplier;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import org.verbenatally.config.Target;
import org.verbenatally.core.KindName;

/** Client of plain services. Methods wait and must run in a virtual-thread task. */
public final class ServiceClient {
    /** Largest answer; it must fit into one frame between entry instances. */
    public static final int MAX_ANSWER_BYTES = 960 * 1024;

    private static final int UNAVAILABLE = 503;

    private final HttpExchange http;

    /**
     * The answer of a plain service.
     *
     * @param status HTTP status, not 503
     * @param body the answer, at most {@link #MAX_ANSWER_BYTES}
     */
    public record Answer(int status, Buffer body) {}

    ServiceClient(HttpExchange http) {
        this.http = Objects.requireNonNull(http, "http");
    }

    /**
     * Sends one call.
     *
     * @param target where to
     * @param kind kind of work
     * @param callId id of the call
     * @param body JSON, passed through
     * @param fresh whether a new connection must be opened
     * @param timeout longest wait for the whole answer
     * @param maySend asked once a connection exists, immediately before the first byte leaves
     * @throws TargetFailure if the call was refused, could not be sent or was not answered
     */
    public Answer call(
            Target target,
            KindName kind,
            String callId,
            Buffer body,
            boolean fresh,
            Duration timeout,
            BooleanSupplier maySend)
            throws TargetFailure {
        String uri = "/v1/calls/" + kind.value();
        HttpClientRequest request =
                fresh ? http.connect(target, HttpMethod.POST, uri) : http.reuse(target, HttpMethod.POST, uri);
        if (!maySend.getAsBoolean()) {
            request.reset();
            throw new TargetFailure(target.id(), TargetFailure.Cause.NOT_CONNECTED, "the time for the call had passed");
        }
        request.putHeader("Content-Type", "application/json").putHeader("Call-Id", callId);
        long start = System.nanoTime();
        HttpClientResponse response = http.send(target, request, body, timeout);
        Duration left = timeout.minusNanos(System.nanoTime() - start);
        Buffer answer = http.body(target, request, response, MAX_ANSWER_BYTES, left);
        if (response.statusCode() == UNAVAILABLE) {
            throw Refusals.read(target.id(), answer);
        }
        return new Answer(response.statusCode(), answer);
    }
}
