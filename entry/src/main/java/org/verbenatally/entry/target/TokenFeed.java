package org.verbenatally.entry.target;

import java.time.Duration;
import java.util.ArrayDeque;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.verbenatally.http.ConnectionHistory.Exchange;

/** One attachment to a generation: delivers the items received on one connection, in order. */
public final class TokenFeed {
    /** An engine sends a comment every 500 ms; if four are missing, the connection counts as dead. */
    static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration CHECK_PERIOD = Duration.ofMillis(250);
    private static final int HIGH_WATERMARK_ITEMS = 512;
    private static final int LOW_WATERMARK_ITEMS = 128;
    private static final int MAX_TOKEN_CHARS = 16_384;

    private final Vertx vertx;
    private final Exchange exchange;
    private final HttpClientResponse response;
    private final long attachment;
    private final EventParser parser = new EventParser(this::onEvent);
    private final ArrayDeque<Item> items = new ArrayDeque<>();
    private final long silenceTimer;
    private Promise<Void> pendingRead;
    private long lastByteNanos = System.nanoTime();
    private long lastCheckNanos = lastByteNanos;
    private boolean paused;
    private boolean finished;

    /** An item that a feed delivers. */
    public sealed interface Item {}

    /**
     * One token.
     *
     * @param offset position of the token in the generation, from 0
     * @param text the token's text
     */
    public record Token(long offset, String text) implements Item {}

    /**
     * The generation is complete.
     *
     * @param tokens number of tokens that the engine reports to have generated
     * @param preemptions how often the engine preempted the generation
     */
    public record End(long tokens, long preemptions) implements Item {}

    /**
     * The connection was lost or closed before the generation was complete.
     *
     * @param cause why
     * @param message one short sentence
     */
    public record Disconnected(TargetFailure.Cause cause, String message) implements Item {}

    TokenFeed(Vertx vertx, Exchange exchange, HttpClientResponse response, long attachment) {
        this.vertx = vertx;
        this.exchange = exchange;
        this.response = response;
        this.attachment = attachment;
        response.handler(this::onChunk);
        response.exceptionHandler(e -> finish(new Disconnected(TargetFailure.Cause.BROKEN, "connection lost")));
        response.endHandler(v -> finish(new Disconnected(TargetFailure.Cause.BROKEN, "connection closed")));
        silenceTimer = vertx.setPeriodic(CHECK_PERIOD.toMillis(), id -> checkSilence());
    }

    /** Returns the number that the engine gave this attachment. */
    public long attachment() {
        return attachment;
    }

    /** Waits for the next item. Nothing follows an {@link End} or a {@link Disconnected}. */
    public Item next() {
        while (true) {
            Promise<Void> arrival;
            synchronized (this) {
                Item item = items.poll();
                if (item != null) {
                    resumeIfDrained();
                    return item;
                }
                arrival = Promise.promise();
                pendingRead = arrival;
            }
            arrival.future().await();
        }
    }

    /** Closes the connection; a waiting reader receives {@link Disconnected}. */
    public void close() {
        finish(new Disconnected(TargetFailure.Cause.BROKEN, "closed by this entry"));
    }

    private void resumeIfDrained() {
        if (paused && items.size() <= LOW_WATERMARK_ITEMS) {
            paused = false;
            lastByteNanos = System.nanoTime();
            response.resume();
        }
    }

    private void onChunk(Buffer chunk) {
        synchronized (this) {
            lastByteNanos = System.nanoTime();
        }
        try {
            parser.parse(chunk);
        } catch (DecodeException | ClassCastException | NumberFormatException e) {
            // The messages of these exceptions quote the data, which must not be logged.
            finish(new Disconnected(TargetFailure.Cause.BAD_ANSWER, "malformed event"));
        } catch (IllegalArgumentException e) {
            finish(new Disconnected(TargetFailure.Cause.BAD_ANSWER, "malformed event: " + e.getMessage()));
        }
    }

    private void onEvent(EventParser.Event event) {
        switch (event.name()) {
            case "" -> enqueue(new Token(offset(event.id()), text(event.data())));
            case "end" -> finish(end(event.data()));
            default -> {
                // Events unknown to this version carry no token and are ignored.
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
            throw new IllegalArgumentException("t must be a string of at most " + MAX_TOKEN_CHARS + " characters");
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

    private synchronized void enqueue(Item item) {
        if (finished) {
            return;
        }
        items.add(item);
        if (!paused && items.size() >= HIGH_WATERMARK_ITEMS) {
            paused = true;
            response.pause();
        }
        wakeReader();
    }

    private void finish(Item item) {
        synchronized (this) {
            if (finished) {
                return;
            }
            finished = true;
            items.add(item);
            wakeReader();
        }
        vertx.cancelTimer(silenceTimer);
        // Cancelled after the end event too, so that an engine cannot keep the connection open.
        exchange.cancel();
    }

    private void wakeReader() {
        if (pendingRead != null) {
            Promise<Void> arrival = pendingRead;
            pendingRead = null;
            arrival.tryComplete();
        }
    }

    private void checkSilence() {
        boolean timedOut;
        synchronized (this) {
            long now = System.nanoTime();
            // A delayed check means that this process was paused: received bytes may still be in the socket buffer.
            boolean checkDelayed = now - lastCheckNanos > 4 * CHECK_PERIOD.toNanos();
            lastCheckNanos = now;
            if (checkDelayed || paused) {
                lastByteNanos = now;
            }
            timedOut = now - lastByteNanos > SILENCE_TIMEOUT.toNanos();
        }
        if (timedOut) {
            finish(new Disconnected(
                    TargetFailure.Cause.SILENT, "nothing received for " + SILENCE_TIMEOUT.toMillis() + " ms"));
        }
    }
}
