package org.verbenatally.entry.caller;

import io.vertx.core.json.JsonObject;
import org.verbenatally.core.GenerationId;

/** Answers with the stream's address once the generation has started; the caller reads the tokens there. */
final class AsyncAnswer implements Answer {
    private static final int ACCEPTED = 202;

    private final Exchange exchange;
    private boolean answered;

    AsyncAnswer(Exchange exchange) {
        this.exchange = exchange;
    }

    @Override
    public void started(GenerationId generation, String stream) {
        answered = true;
        exchange.response()
                .setStatusCode(ACCEPTED)
                .putHeader("Location", "/v1/streams/" + stream)
                .putHeader("Generation", generation.value())
                .putHeader("Request-Id", exchange.id())
                .putHeader("Content-Type", "application/json")
                .end(new JsonObject()
                        .put("request", exchange.id())
                        .put("generation", generation.value())
                        .put("stream", stream)
                        .toBuffer());
    }

    @Override
    public void token(long offset, String text) {
        // The engine keeps the tokens until the caller attaches to the stream.
    }

    @Override
    public void end(long tokens) {
        // The engine keeps the tokens of a finished generation for a minute.
    }

    @Override
    public void fail(Problem problem) {
        exchange.fail(problem);
    }

    @Override
    public void reconnect() {
        // No connection of a caller is open.
    }

    /** After the answer the generation is fixed: its address has been given out. */
    @Override
    public boolean delivered() {
        return answered;
    }

    @Override
    public boolean resumable() {
        return answered;
    }

    @Override
    public boolean gone() {
        return answered;
    }

    @Override
    public void onGone(Runnable task) {
        // The run itself starts its waiting time after the answer.
    }
}
