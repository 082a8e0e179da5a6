package org.verbenatally.entry.caller;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.verbenatally.core.GenerationId;
import org.verbenatally.core.Outcome;

/**
 * Delivers each token as a server-sent event. The start event is held back until the first token, so that the caller
 * learns only of the generation whose tokens it receives.
 */
final class StreamResponse implements CallerResponse {
    private final Exchange exchange;
    private final EventWriter writer;
    private final boolean alwaysResumable;
    private final EventFormat format;
    private GenerationId generation;
    private String streamToken;
    private boolean startEventSent;

    /** Formats the events of a stream. Each method returns the events as text, or an empty string for none. */
    interface EventFormat {
        String start(String requestId, String generation, String streamToken);

        String token(String streamToken, long offset, String text);

        String end(long tokens);

        String error(JsonObject problem);
    }

    /** The events of work requests and resumed streams. */
    private record WorkEventFormat() implements EventFormat {
        @Override
        public String start(String requestId, String generation, String streamToken) {
            return event(
                    "start",
                    new JsonObject()
                            .put("request", requestId)
                            .put("generation", generation)
                            .put("stream", streamToken));
        }

        @Override
        public String token(String streamToken, long offset, String text) {
            return "id: " + streamToken + ':' + offset + "\ndata: "
                    + new JsonObject().put("t", text).encode() + "\n\n";
        }

        @Override
        public String end(long tokens) {
            return event(
                    "end", new JsonObject().put("outcome", Outcome.DONE.text()).put("tokens", tokens));
        }

        @Override
        public String error(JsonObject problem) {
            return event("error", problem);
        }

        private static String event(String name, JsonObject data) {
            return "event: " + name + "\ndata: " + data.encode() + "\n\n";
        }
    }

    /**
     * Creates a response in the format of work requests and resumed streams.
     *
     * @param vertx runs the timers
     * @param exchange the caller's request and its response
     * @param alwaysResumable whether the caller already knows the stream's address
     */
    StreamResponse(Vertx vertx, Exchange exchange, boolean alwaysResumable) {
        this(vertx, exchange, alwaysResumable, new WorkEventFormat());
    }

    StreamResponse(Vertx vertx, Exchange exchange, boolean alwaysResumable, EventFormat format) {
        this.exchange = exchange;
        this.writer = new EventWriter(vertx, exchange);
        this.alwaysResumable = alwaysResumable;
        this.format = format;
    }

    /** Sends the response head before the first token, so that keep-alives can follow while the request waits. */
    void open() {
        writer.open(exchange.id());
    }

    @Override
    public void onStarted(GenerationId startedGeneration, String token) {
        generation = startedGeneration;
        streamToken = token;
        writer.open(exchange.id());
    }

    private String startEventOnce() {
        if (startEventSent) {
            return "";
        }
        startEventSent = true;
        return format.start(exchange.id(), generation.value(), streamToken);
    }

    @Override
    public void onToken(long offset, String text) {
        writer.write(startEventOnce() + format.token(streamToken, offset, text));
    }

    @Override
    public void onEnd(long tokens) {
        writer.write(startEventOnce() + format.end(tokens));
        writer.end();
    }

    @Override
    public void fail(Problem problem) {
        if (exchange.response().headWritten()) {
            exchange.addTraceStep("failed at " + problem.step().text() + ": " + problem.detail());
            writer.write(format.error(problem.json(exchange.id())));
            writer.end();
        } else {
            writer.release();
            exchange.fail(problem);
        }
    }

    @Override
    public void reconnect() {
        writer.write(": reconnect\n\n");
        writer.endAndClose();
    }

    @Override
    public boolean hasDelivered() {
        return startEventSent;
    }

    @Override
    public boolean isResumable() {
        return startEventSent || alwaysResumable;
    }

    @Override
    public boolean isDisconnected() {
        return writer.isDisconnected();
    }

    @Override
    public void onDisconnect(Runnable task) {
        writer.onDisconnect(task);
    }
}
