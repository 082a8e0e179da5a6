package org.verbenatally.entry.caller;

import java.util.function.BiFunction;

import io.vertx.core.json.JsonObject;
import org.verbenatally.core.GenerationId;

/** Buffers the tokens and responds once the generation is complete. */
final class CompleteResponse implements CallerResponse {
    private static final int OK = 200;
    /** Longest text that is held in memory, in characters. */
    private static final int MAX_CHARS = 16 << 20;

    private final Exchange exchange;
    private final BiFunction<String, Long, JsonObject> bodyFormat;
    private StringBuilder text = new StringBuilder();
    private GenerationId generation;
    private boolean disconnected;
    private Runnable disconnectHandler;

    /** Creates a response whose body {@code bodyFormat} makes from the text and the number of tokens. */
    CompleteResponse(Exchange exchange, BiFunction<String, Long, JsonObject> bodyFormat) {
        this.exchange = exchange;
        this.bodyFormat = bodyFormat;
        exchange.response().closeHandler(v -> markDisconnected());
        exchange.response().exceptionHandler(e -> markDisconnected());
    }

    @Override
    public void onStarted(GenerationId startedGeneration, String streamToken) {
        generation = startedGeneration;
        text = new StringBuilder();
    }

    @Override
    public void onToken(long offset, String token) {
        if (text.length() + token.length() > MAX_CHARS) {
            throw new IllegalStateException("response is longer than " + MAX_CHARS + " characters");
        }
        text.append(token);
    }

    @Override
    public void onEnd(long tokens) {
        if (!isDisconnected()) {
            exchange.response().putHeader("Generation", generation.value());
            exchange.succeed(OK, bodyFormat.apply(text.toString(), tokens));
        }
    }

    @Override
    public void fail(Problem problem) {
        exchange.fail(problem);
    }

    @Override
    public void reconnect() {
        throw new UnsupportedOperationException("a complete response cannot be resumed");
    }

    @Override
    public boolean hasDelivered() {
        return false;
    }

    @Override
    public boolean isResumable() {
        return false;
    }

    @Override
    public synchronized boolean isDisconnected() {
        return disconnected;
    }

    @Override
    public void onDisconnect(Runnable task) {
        synchronized (this) {
            if (!disconnected) {
                disconnectHandler = task;
                return;
            }
        }
        task.run();
    }

    private void markDisconnected() {
        Runnable task;
        synchronized (this) {
            if (disconnected || exchange.response().ended()) {
                return;
            }
            disconnected = true;
            task = disconnectHandler;
        }
        if (task != null) {
            task.run();
        }
    }
}
