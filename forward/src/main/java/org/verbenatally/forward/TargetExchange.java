package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.http.ConnectionHistory;
import org.verbenatally.time.TimedAwait;

/**
 * One exchange with a target, on a connection that is its own until it ends. Only a connection whose exchange has ended
 * in order serves another one. Methods block and must run in a virtual-thread task.
 */
final class TargetExchange {
    private static final Duration DISCARD_TIMEOUT = Duration.ofSeconds(1);

    private final ConnectionHistory.Exchange exchange;
    private final HttpClientRequest request;

    /** Wraps an exchange of which nothing has been sent. */
    TargetExchange(ConnectionHistory.Exchange exchange) {
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.request = exchange.request();
    }

    HttpClientRequest request() {
        return request;
    }

    /**
     * Returns whether another exchange has begun on the connection before. A faulty target may send a second copy of
     * its response where that of this exchange is due.
     */
    boolean isReused() {
        return exchange.isReused();
    }

    /** Returns the local address of the connection, which tells the connections to a target apart. */
    String localAddress() {
        return String.valueOf(request.connection().localAddress());
    }

    /**
     * Sends the request and waits for the head of the response, which is returned paused.
     *
     * @param onSent receives the action that cancels the exchange, as soon as the request is being sent
     * @throws StepException with outcome {@code UNKNOWN} if no head arrives in time
     */
    HttpClientResponse send(Buffer body, ResponseTimeout timeout, Consumer<Runnable> onSent) {
        Future<HttpClientResponse> responseFuture = (body.length() == 0 && !methodAllowsBody()
                        ? request.send()
                        : request.send(body))
                .onSuccess(response -> response.exceptionHandler(e -> {}).pause());
        onSent.accept(this::cancel);
        String peer = String.valueOf(request.connection().remoteAddress());
        try {
            return await(responseFuture, timeout);
        } catch (TimeoutException e) {
            cancel();
            throw new StepException(Step.SEND, peer, Outcome.UNKNOWN, "no response in time: " + e.getMessage(), e);
        } catch (Exception e) {
            cancel();
            throw new StepException(Step.SEND, peer, Outcome.UNKNOWN, "connection lost: " + e.getMessage(), e);
        }
    }

    private static <T> T await(Future<T> future, ResponseTimeout timeout) throws TimeoutException {
        try {
            return TimedAwait.await(future, timeout.early());
        } catch (TimeoutException e) {
            Duration rest = timeout.limit().minus(timeout.early());
            if (!rest.isPositive() || timeout.mayEndEarly().getAsBoolean()) {
                throw e;
            }
            return TimedAwait.await(future, rest);
        }
    }

    private boolean methodAllowsBody() {
        HttpMethod method = request.getMethod();
        return method.equals(HttpMethod.POST) || method.equals(HttpMethod.PUT) || method.equals(HttpMethod.PATCH);
    }

    /** Gives the connection back; nothing has been sent. */
    void release() {
        exchange.release();
    }

    /**
     * Reads the rest of the response without using it, after which the connection may serve another exchange; cancels
     * the exchange if the rest does not arrive soon.
     */
    void discard(HttpClientResponse response) {
        response.end()
                .timeout(DISCARD_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .onFailure(e -> cancel());
        response.handler(bytes -> {}).resume();
    }

    /** Ends the exchange without reading the rest of its response; the connection serves no other. */
    void cancel() {
        exchange.cancel();
    }
}
