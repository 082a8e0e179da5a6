package org.verbenatally.entry.target;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.verbenatally.config.Target;
import org.verbenatally.core.GenerationId;
import org.verbenatally.core.ModelName;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.http.ConnectionHistory.Exchange;

/**
 * Client of the engines' generation protocol. Each attachment uses a new connection, because an idle pooled one may
 * have failed unnoticed. Methods wait and must run in a virtual-thread task.
 */
public final class EngineClient {
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_REFUSAL_BYTES = 4_096;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final TargetHttpClient http;

    /**
     * A generation to start.
     *
     * @param generation id of the generation, new for each attempt
     * @param model the model to run
     * @param adapter the adapter on the model, if any
     * @param prompt the prompt
     * @param maxTokens maximum length of the output, in tokens
     * @param priority priority on the engine; higher numbers run first
     * @param organisation organisation whose request it is
     */
    public record StartRequest(
            GenerationId generation,
            ModelName model,
            Optional<String> adapter,
            String prompt,
            int maxTokens,
            int priority,
            OrganisationId organisation) {}

    EngineClient(TargetHttpClient http) {
        this.http = Objects.requireNonNull(http, "http");
    }

    /**
     * Starts a generation and attaches to it.
     *
     * @throws TargetFailure if the engine refused the request, could not be reached or violated the protocol
     */
    public TokenFeed start(Target target, StartRequest start) throws TargetFailure {
        JsonObject body = new JsonObject()
                .put("generation", start.generation().value())
                .put("model", start.model().value())
                .put("prompt", start.prompt())
                .put("maxTokens", start.maxTokens())
                .put("priority", start.priority())
                .put("organisation", start.organisation().value());
        start.adapter().ifPresent(adapter -> body.put("adapter", adapter));
        Exchange exchange = http.connect(target, HttpMethod.POST, "/v1/generations");
        exchange.request().putHeader("Content-Type", "application/json");
        return attach(target, exchange, body.toBuffer());
    }

    /**
     * Attaches to a running or finished generation at the given offset.
     *
     * @throws TargetFailure with cause {@code UNKNOWN_GENERATION} if the engine does not know it
     */
    public TokenFeed resume(Target target, GenerationId generation, long from) throws TargetFailure {
        Exchange exchange =
                http.connect(target, HttpMethod.GET, "/v1/generations/" + generation.value() + "?from=" + from);
        return attach(target, exchange, null);
    }

    private TokenFeed attach(Target target, Exchange exchange, Buffer body) throws TargetFailure {
        HttpClientResponse response = http.send(target, exchange, body, TokenFeed.SILENCE_TIMEOUT);
        if (response.statusCode() != OK) {
            throw refusal(target, exchange, response);
        }
        try {
            long attachment = Long.parseLong(Objects.requireNonNullElse(response.getHeader("Attachment"), ""));
            TokenFeed feed = new TokenFeed(http.vertx(), exchange, response, attachment);
            response.resume();
            return feed;
        } catch (NumberFormatException e) {
            exchange.cancel();
            throw new TargetFailure(
                    target.id(), TargetFailure.Cause.BAD_ANSWER, "header Attachment must be a number", e);
        }
    }

    private TargetFailure refusal(Target target, Exchange exchange, HttpClientResponse response) throws TargetFailure {
        int status = response.statusCode();
        if (status == NOT_FOUND) {
            exchange.cancel();
            return new TargetFailure(
                    target.id(), TargetFailure.Cause.UNKNOWN_GENERATION, "engine does not know the generation");
        }
        Buffer body = http.readBody(target, exchange, response, MAX_REFUSAL_BYTES, TokenFeed.SILENCE_TIMEOUT);
        return status == UNAVAILABLE
                ? Refusals.parse(target.id(), body)
                : new TargetFailure(target.id(), TargetFailure.Cause.BAD_ANSWER, "unexpected status " + status);
    }

    /**
     * Cancels a generation unless a newer attachment exists.
     *
     * @return whether the engine accepted the cancel; {@code false} if another entry has resumed the generation since
     * @throws TargetFailure if the engine could not be reached or violated the protocol
     */
    public boolean cancel(Target target, GenerationId generation, long attachment) throws TargetFailure {
        Exchange exchange = http.connect(
                target, HttpMethod.DELETE, "/v1/generations/" + generation.value() + "?attachment=" + attachment);
        HttpClientResponse response = http.send(target, exchange, null, CANCEL_TIMEOUT);
        int status = response.statusCode();
        exchange.cancel();
        if (status == CONFLICT) {
            return false;
        }
        if (status == NOT_FOUND) {
            throw new TargetFailure(
                    target.id(), TargetFailure.Cause.UNKNOWN_GENERATION, "engine does not know the generation");
        }
        if (status / 100 != 2) {
            throw new TargetFailure(target.id(), TargetFailure.Cause.BAD_ANSWER, "unexpected status " + status);
        }
        return true;
    }
}
