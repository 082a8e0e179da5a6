package org.verbenatally.entry.caller;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.verbenatally.core.GenerationId;
import org.verbenatally.core.Outcome;

/** Delivers token by token. The start event is held back until the first token, so that one generation is named. */
final class StreamAnswer implements Answer {
    private final Exchange exchange;
    private final EventWriter writer;
    private final boolean alwaysResumable;
    private final Form form;
    private GenerationId generation;
    private String stream;
    private boolean startSent;

    /** The text of events. */
    interface Form {
        String start(String request, String generation, String stream);

        String token(String stream, long offset, String text);

        String end(long tokens);

        String error(JsonObject problem);
    }

    /** The form that work requests and resumed streams use. */
    private record Events() implements Form {
        @Override
        public String start(String request, String generation, String stream) {
            return event(
                    "start",
                    new JsonObject()
                            .put("request", request)
                            .put("generation", generation)
                            .put("stream", stream));
        }

        @Override
        public String token(String stream, long offset, String text) {
            return "id: " + stream + ':' + offset + "\ndata: "
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
     * Creates an answer.
     *
     * @param alwaysResumable whether the caller knows the stream's address already
     */
    StreamAnswer(Vertx vertx, Exchange exchange, boolean alwaysResumable) {
        this(vertx, exchange, alwaysResumable, new Events());
    }

    StreamAnswer(Vertx vertx, Exchange exchange, boolean alwaysResumable, Form form) {
        this.exchange = exchange;
        this.writer = new EventWriter(vertx, exchange);
        this.alwaysResumable = alwaysResumable;
        this.form = form;
    }

    /** Sends the head early, because the request waits for its turn. */
    void open() {
        writer.open(exchange.id());
    }

    @Override
    public void started(GenerationId started, String token) {
        generation = started;
        stream = token;
        writer.open(exchange.id());
    }

    private String startOnce() {
        if (startSent) {
            return "";
        }
        startSent = true;
        return form.start(exchange.id(), generation.value(), stream);
    }

    @Override
    public void token(long offset, String text) {
        writer.write(startOnce() + form.token(stream, offset, text));
    }

    @Override
    public void end(long tokens) {
        writer.write(startOnce() + form.end(tokens));
        writer.end();
    }

    @Override
    public void fail(Problem problem) {
        if (exchange.response().headWritten()) {
            exchange.note("failed at " + problem.step().text() + ": " + problem.detail());
            writer.write(form.error(problem.json(exchange.id())));
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
    public boolean delivered() {
        return startSent;
    }

    @Override
    public boolean resumable() {
        return startSent || alwaysResumable;
    }

    @Override
    public boolean gone() {
        return writer.gone();
    }

    @Override
    public void onGone(Runnable task) {
        writer.onGone(task);
    }
}
