package org.verbenatally.entry.target;

import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import org.verbenatally.config.Target;
import org.verbenatally.core.KindName;
import org.verbenatally.core.TargetId;
import org.verbenatally.http.ConnectionHistory.Exchange;

/** Client of plain services. Methods wait and must run in a virtual-thread task. */
public final class ServiceClient {
    /** Maximum size of a response body; it must fit into one frame between entry instances. */
    public static final int MAX_RESPONSE_BYTES = 960 * 1024;

    private static final String CALL_ID = "Call-Id";
    private static final int UNAVAILABLE = 503;

    /** Targets whose last response stated its call. */
    private final Set<TargetId> statingTargets = ConcurrentHashMap.newKeySet();

    private final TargetHttpClient http;

    /**
     * The response of a plain service.
     *
     * @param status HTTP status, not 503
     * @param body the body, at most {@link #MAX_RESPONSE_BYTES} long
     */
    public record Response(int status, Buffer body) {}

    ServiceClient(TargetHttpClient http) {
        this.http = Objects.requireNonNull(http, "http");
    }

    /**
     * Sends one call.
     *
     * @param target the service to call
     * @param kind kind of work
     * @param callId id of the call, which the target states in its response; a target that does not gets a new
     *     connection for each call, since a copy of an earlier response could not be told from the response to the call
     * @param body the request body, JSON that is passed through unchanged
     * @param newConnection whether a new connection must be opened
     * @param timeout maximum time until the response is complete
     * @param maySend queried once a connection exists, immediately before the first byte is sent
     * @throws TargetFailure if the call was refused, could not be sent or received no valid response in time
     */
    public Response call(
            Target target,
            KindName kind,
            String callId,
            Buffer body,
            boolean newConnection,
            Duration timeout,
            BooleanSupplier maySend)
            throws TargetFailure {
        String uri = "/v1/calls/" + kind.value();
        Exchange exchange = newConnection || !statingTargets.contains(target.id())
                ? http.connect(target, HttpMethod.POST, uri)
                : http.connectPooled(target, HttpMethod.POST, uri);
        if (!maySend.getAsBoolean()) {
            exchange.release();
            throw new TargetFailure(
                    target.id(), TargetFailure.Cause.NOT_CONNECTED, "the call expired before it was sent");
        }
        exchange.request().putHeader("Content-Type", "application/json").putHeader(CALL_ID, callId);
        long start = System.nanoTime();
        HttpClientResponse response = http.send(target, exchange, body, timeout);
        String statedId = response.getHeader(CALL_ID);
        if (statedId == null ? exchange.isReused() : !statedId.equals(callId)) {
            exchange.cancel();
            throw new TargetFailure(
                    target.id(), TargetFailure.Cause.BAD_ANSWER, "response does not state that it belongs to the call");
        }
        Duration remaining = timeout.minusNanos(System.nanoTime() - start);
        Buffer responseBody = http.readBody(target, exchange, response, MAX_RESPONSE_BYTES, remaining);
        if (statedId == null) {
            statingTargets.remove(target.id());
        } else {
            statingTargets.add(target.id());
        }
        if (response.statusCode() == UNAVAILABLE) {
            throw Refusals.parse(target.id(), responseBody);
        }
        return new Response(response.statusCode(), responseBody);
    }
}
