package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.function.BooleanSupplier;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import org.verbenatally.core.Address;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;

/**
 * Sends engines the orders that concern one generation. Each order has a connection of its own, as its response need
 * not state which request it belongs to. Methods block and must run in a virtual-thread task.
 */
final class EngineOrders {
    private static final int MAX_RESPONSE_BYTES = 65_536;

    private final ForwardComponents components;
    private final String requestId;
    private final Connector connector;

    /** Obtains a new connection, see {@link TargetClient#connectUnpooled}. */
    @FunctionalInterface
    interface Connector {
        TargetExchange connect(Address address, HttpMethod method, String uri, Duration limit);
    }

    /**
     * The response of an engine to an order.
     *
     * @param status HTTP status
     * @param body complete body
     */
    record Response(int status, Buffer body) {}

    /**
     * Creates a sender of orders.
     *
     * @param requestId id of the request that asked for the generation
     */
    EngineOrders(ForwardComponents components, String requestId, Connector connector) {
        this.components = Objects.requireNonNull(components, "components");
        this.requestId = Objects.requireNonNull(requestId, "requestId");
        this.connector = Objects.requireNonNull(connector, "connector");
    }

    /**
     * Sends an order and waits for the whole response.
     *
     * @param timeout longest wait for the connection, the head and the body, each
     * @param allowed whether the order may still be sent, asked when there is a connection
     * @throws StepException with outcome {@code NOT_RUN} if the order was not sent, {@code UNKNOWN} if the engine may
     *     have followed it
     */
    Response send(EngineOrder order, TargetState engine, Duration timeout, BooleanSupplier allowed) {
        TargetExchange exchange = connector.connect(engine.target().address(), order.method(), order.uri(), timeout);
        try {
            if (!allowed.getAsBoolean()) {
                exchange.cancel();
                components.metrics().countDecision("evacuated");
                throw new StepException(
                        Step.ORDER, engine.target().id().value(), Outcome.NOT_RUN, "failure domain is evacuated");
            }
            HttpClientResponse response = sendPermitted(order, engine, exchange, timeout);
            return new Response(response.statusCode(), readBody(exchange, response, timeout));
        } catch (StepException e) {
            throw e;
        } catch (RuntimeException | Error e) {
            exchange.cancel();
            throw e;
        }
    }

    private HttpClientResponse sendPermitted(
            EngineOrder order, TargetState engine, TargetExchange exchange, Duration timeout) {
        try (SendGate.Permit permit = components.gate().acquire(engine.target(), exchange)) {
            HttpClientResponse response = exchange.send(order.body(), ResponseTimeout.of(timeout), cancel -> {});
            checkTrust(exchange, response, engine, permit);
            return response;
        }
    }

    private void checkTrust(
            TargetExchange exchange, HttpClientResponse response, TargetState engine, SendGate.Permit permit) {
        ResponseHead head = components.codec().read(response);
        ResponseTrust.objectionToOrder(exchange, response, head, requestId).ifPresent(objection -> {
            exchange.cancel();
            components.metrics().countDecision("response distrusted");
            throw new StepException(Step.ORDER, engine.target().id().value(), Outcome.UNKNOWN, objection);
        });
        permit.onResponse(head);
    }

    private Buffer readBody(TargetExchange exchange, HttpClientResponse response, Duration timeout) {
        Buffer body = Buffer.buffer();
        ResponseBodyReader reader = new ResponseBodyReader(response);
        long deadline = components.timer().nanos() + timeout.toNanos();
        while (true) {
            // The deadline covers the complete response, so that an engine that sends a byte now and then cannot hold
            // up the generation.
            ResponseBodyReader.Item item =
                    reader.next(Duration.ofNanos(deadline - components.timer().nanos()));
            if (item instanceof ResponseBodyReader.Piece chunk && body.length() < MAX_RESPONSE_BYTES) {
                body.appendBuffer(chunk.bytes());
            } else if (item instanceof ResponseBodyReader.End) {
                return body;
            } else {
                exchange.cancel();
                throw new StepException(
                        Step.ORDER, requestId, Outcome.UNKNOWN, "response to the order broke off: " + item);
            }
        }
    }
}
