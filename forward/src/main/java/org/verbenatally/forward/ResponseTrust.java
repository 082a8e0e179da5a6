package org.verbenatally.forward;

import java.util.Optional;

import io.vertx.core.http.HttpClientResponse;
import org.verbenatally.http.ResponseHeads;

/**
 * Decides whether a response is that of the exchange in which it arrived. Targets may repeat responses late, where
 * those of other exchanges are due, and break them off. Every response of a target is checked here before anything else
 * is read from it.
 */
final class ResponseTrust {
    private ResponseTrust() {}

    /**
     * Checks the response to a request of a caller. Its head states the id of the request; only on a new connection may
     * a response that is no success lack it, since no other exchange can have left one there.
     *
     * @param head the decoded head of the response
     * @return why the response must not be used, or empty if it can be
     */
    static Optional<String> objection(
            TargetExchange exchange, HttpClientResponse response, ResponseHead head, String requestId) {
        return commonObjection(response, head, requestId)
                .or(() -> when(
                        exchange.isReused() && head.requestId().isEmpty(),
                        "response states no request, on a reused connection"))
                .or(() -> when(
                        head.isSuccess() && (head.requestId().isEmpty() || !head.genuine()),
                        "response is not the target's own"));
    }

    /**
     * Checks the response to an order of this instance, which need not state an id and therefore has a connection of
     * its own.
     *
     * @param head the decoded head of the response
     * @param requestId id of the request that the order concerns
     * @return why the response must not be used, or empty if it can be
     */
    static Optional<String> objectionToOrder(
            TargetExchange exchange, HttpClientResponse response, ResponseHead head, String requestId) {
        return commonObjection(response, head, requestId)
                .or(() -> when(exchange.isReused(), "response to an order on a reused connection"));
    }

    private static Optional<String> commonObjection(HttpClientResponse response, ResponseHead head, String requestId) {
        return when(ResponseHeads.isJoined(response), "head joined from two responses")
                .or(() -> when(head.isInterim(), "interim response"))
                .or(() -> when(head.isUndefined(), "status is not defined"))
                .or(() -> when(
                        head.requestId().filter(id -> !id.equals(requestId)).isPresent(),
                        "response belongs to another request"));
    }

    private static Optional<String> when(boolean condition, String objection) {
        return condition ? Optional.of(objection) : Optional.empty();
    }
}
