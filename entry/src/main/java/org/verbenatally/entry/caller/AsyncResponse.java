package org.verbenatally.entry.caller;

import io.vertx.core.json.JsonObject;
import org.verbenatally.core.GenerationId;

/** Responds with the stream's address once the generation has started; the caller reads the tokens there. */
final class AsyncResponse implements CallerResponse {
    private static final int ACCEPTED = 202;

    private final Exchange exchange;
    private boolean responseSent;

    AsyncResponse(Exchange exchange) {
        this.exchange = exchange;
    }

    @Override
    public void onStarted(GenerationId generation, String streamToken) {
        responseSent = true;
        exchange.response()
                .setStatusCode(ACCEPTED)
                .putHeader("Location", "/v1/streams/" + streamToken)
                .putHeader("Generation", generation.value())
                .putHeader("Request-Id", exchange.id())
                .putHeader("Content-Type", "application/json")
                .end(new JsonObject()
                        .put("request", exchange.id())
                        .put("generation", generation.value())
                        .put("stream", streamToken)
                        .toBuffer());
    }

    @Override
    public void onToken(long offset, String text) {
        // The engine keeps the tokens until the caller attaches to the stream.
    }

    @Override
    public void onEnd(long tokens) {
        // The engine keeps the tokens of a finished generation for a minute.
    }

    @Override
    public void fail(Problem problem) {
        exchange.fail(problem);
    }

    @Override
    public void reconnect() {
        // The response is complete, so there is no connection to close.
    }

    /** Returns whether the response has been sent: the caller then has the address of this generation. */
    @Override
    public boolean hasDelivered() {
        return responseSent;
    }

    @Override
    public boolean isResumable() {
        return responseSent;
    }

    @Override
    public boolean isDisconnected() {
        return responseSent;
    }

    @Override
    public void onDisconnect(Runnable task) {
        // The run itself starts a timeout for the caller's first read once the response has been sent.
    }
}
