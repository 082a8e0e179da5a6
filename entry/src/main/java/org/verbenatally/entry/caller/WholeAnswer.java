package org.verbenatally.entry.caller;

import java.util.function.BiFunction;

import io.vertx.core.json.JsonObject;
import org.verbenatally.core.GenerationId;

/** Holds the tokens back until the generation is complete. */
final class WholeAnswer implements Answer {
    private static final int OK = 200;
    /** Longest answer held in memory. */
    private static final int MAX_CHARS = 16 << 20;

    private final Exchange exchange;
    private final BiFunction<String, Long, JsonObject> form;
    private StringBuilder text = new StringBuilder();
    private GenerationId generation;
    private boolean gone;
    private Runnable onGone;

    /** Creates an answer whose body is made from text and number of tokens. */
    WholeAnswer(Exchange exchange, BiFunction<String, Long, JsonObject> form) {
        this.exchange = exchange;
        this.form = form;
        exchange.response().closeHandler(v -> leave());
        exchange.response().exceptionHandler(e -> leave());
    }

    @Override
    public void started(GenerationId started, String stream) {
        generation = started;
        text = new StringBuilder();
    }

    @Override
    public void token(long offset, String token) {
        if (text.length() + token.length() > MAX_CHARS) {
            throw new IllegalStateException("answer is longer than " + MAX_CHARS + " characters");
        }
        text.append(token);
    }

    @Override
    public void end(long tokens) {
        if (!gone()) {
            exchange.response().putHeader("Generation", generation.value());
            exchange.succeed(OK, form.apply(text.toString(), tokens));
        }
    }

    @Override
    public void fail(Problem problem) {
        exchange.fail(problem);
    }

    @Override
    public void reconnect() {
        exchange.request().connection().close();
    }

    @Override
    public boolean delivered() {
        return false;
    }

    @Override
    public boolean resumable() {
        return false;
    }

    @Override
    public synchronized boolean gone() {
        return gone;
    }

    @Override
    public void onGone(Runnable task) {
        synchronized (this) {
            if (!gone) {
                onGone = task;
                return;
            }
        }
        task.run();
    }

    private void leave() {
        Runnable task;
        synchronized (this) {
            if (gone || exchange.response().ended()) {
                return;
            }
            gone = true;
            task = onGone;
        }
        if (task != null) {
            task.run();
        }
    }
}
