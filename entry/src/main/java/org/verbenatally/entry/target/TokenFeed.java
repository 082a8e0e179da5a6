package org.verbenatally.entry.target;

import java.time.Duration;
import java.util.ArrayDeque;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/** One attachment to a generation: the items that arrive on one connection, in order. */
public final class TokenFeed {
    /** An engine sends a comment every 500 ms; four missing ones mean that the connection is dead. */
    static final Duration SILENCE = Duration.ofSeconds(2);

    private static final Duration CHECK_PERIOD = Duration.ofMillis(250);
    private static final int PAUSE_AT = 512;
    private static final int RESUME_AT = 128;
    private static final int MAX_TOKEN_CHARS = 16_384;

    private final Vertx vertx;
    private final HttpClientRequest request;
    private final HttpClientResponse response;
    private final long attachment;
    private final EventParser parser = new EventParser(this::onEvent);
    private final ArrayDeque<Item> items = new ArrayDeque<>();
    private final long timer;
    private Promise<Void> waiter;
    private long lastByteNanos = System.nanoTime();
    private long lastCheckNanos = lastByteNanos;
    private boolean paused;
    private boolean finished;

    /** What a feed delivers. */
    public sealed interface Item {}

    /**
     * One token.
     *
     * @param offset its place in the generation, from 0
     * @param text its text
     */
    public record Token(long offset, String text) implements Item {}

    /**
     * The generation is complete.
     *
     * @param tokens number of tokens that the engine says it generated
     * @param preemptions how often the engine preempted it
     */
    public record End(long tokens, long preemptions) implements Item {}

    /**
     * The connection is of no more use.
     *
     * @param cause what happened
     * @param message one short sentence
     */
    public record Lost(TargetFailure.Cause cause, String message) implements Item {}

    TokenFeed(Vertx vertx, HttpClientRequest request, HttpClientResponse response, long attachment) {
        this.vertx = vertx;
        this.request = request;
        this.response = response;
        this.attachment = attachment;
        response.handler(this::onBytes);
        response.exceptionHandler(e -> finish(new Lost(TargetFailure.Cause.BROKEN, "connection lost")));
        response.endHandler(v -> finish(new Lost(TargetFailure.Cause.BROKEN, "connection closed")));
        timer = vertx.setPeriodic(CHECK_PERIOD.toMillis(), id -> checkSilence());
    }

    /** Returns the number that the engine gave this attachment. */
    public long attachment() {
        return attachment;
    }

    /** Waits for the next item. After {@link End} or {@link Lost} nothing follows. */
    public Item next() {
        while (true) {
            Promise<Void> wait;
            synchronized (this) {
                Item item = items.poll();
                if (item != null) {
                    resumeIfDrained();
                    return item;
                }
                wait = Promise.promise();
                waiter = wait;
            }
            wait.future().await();
        }
    }

    /** Closes the connection; a waiting reader gets {@link Lost}. */
    public void close() {
        finish(new Lost(TargetFailure.Cause.BROKEN, "closed here"));
    }

    private void resumeIfDrained() {
        if (paused && items.size() <= RESUME_AT) {
            paused = false;
            lastByteNanos = System.nanoTime();
            response.resume();
        }
    }

    private void onBytes(Buffer bytes) {
        synchronized (this) {
            lastByteNanos = System.nanoTime();
        }
        try {
            parser.feed(bytes);
        } catch (DecodeException | ClassCastException | NumberFormatException e) {
            // The messages of these errors quote the data, which must not reach a log.
            finish(new Lost(TargetFailure.Cause.BAD_ANSWER, "malformed event"));
        } catch (IllegalArgumentException e) {
            finish(new Lost(TargetFailure.Cause.BAD_ANSWER, "malformed event: " + e.getMessage()));
        }
    }

    private void onEvent(EventParser.Event event) {
        switch (event.name()) {
            case "" -> offer(new Token(offset(event.id()), text(event.data())));
            case "end" -> finish(end(event.data()));
            default -> {
                // Events that this version does not know carry no token.
            }
        }
    }

    private static long offset(String id) {
        long offset = Long.parseLong(id);
        if (offset < 0) {
            throw new IllegalArgumentException("id must not be negative");
        }
        return offset;
    }

    private static String text(String data) {
        String text = new JsonObject(data).getString("t");
        if (text == null || text.length() > MAX_TOKEN_CHARS) {
            throw new IllegalArgumentException("t must be a text of at most " + MAX_TOKEN_CHARS + " characters");
        }
        return text;
    }

    private static End end(String data) {
        JsonObject json = new JsonObject(data);
        long tokens = json.getLong("tokens", -1L);
        long preemptions = json.getLong("preemptions", 0L);
        if (tokens < 0 || preemptions < 0) {
            throw new IllegalArgumentException("tokens and preemptions must not be negative");
        }
        return new End(tokens, preemptions);
    }

    private synchronized void offer(Item item) {
        if (finished) {
            return;
        }
        items.add(item);
        if (!paused && items.size() >= PAUSE_AT) {
            paused = true;
            response.pause();
        }
        wake();
    }

    private void finish(Item item) {
        synchronized (this) {
            if (finished) {
                return;
            }
            finished = true;
            items.add(item);
            wake();
        }
        vertx.cancelTimer(timer);
        // After the end event too: an engine that holds the connection open must not keep it here.
        request.reset();
    }

    private void wake() {
        if (waiter != null) {
            Promise<Void> wait = waiter;
            waiter = null;
            wait.tryComplete();
        }
    }

    private void checkSilence() {
        boolean silent;
        synchronized (this) {
            long now = System.nanoTime();
            // A late check means that this process was paused: the bytes may wait in the socket.
            boolean late = now - lastCheckNanos > 4 * CHECK_PERIOD.toNanos();
            lastCheckNanos = now;
            if (late || paused) {
                lastByteNanos = now;
            }
            silent = now - lastByteNanos > SILENCE.toNanos();
        }
        if (silent) {
            finish(new Lost(TargetFailure.Cause.SILENT, "nothing received for " + SILENCE.toMillis() + " ms"));
        }
    }
}
