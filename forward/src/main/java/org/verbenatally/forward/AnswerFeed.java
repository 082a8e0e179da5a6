package org.verbenatally.forward;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import org.verbenatally.time.TimedAwait;

/**
 * Reads the body of one answer piece by piece, in the task that asks for it. Also carries signals to that task. All
 * methods must be called on the context of the exchange.
 */
final class AnswerFeed {
    /** Pieces that are held before the target is told to wait for a slow caller. */
    private static final int MAX_PIECES = 32;

    /** What the next step of the answer is. */
    sealed interface Item {}

    /** Bytes of the body. */
    record Piece(Buffer bytes) implements Item {}

    /** The whole body has arrived. */
    record End() implements Item {}

    /** The connection was lost within the body. */
    record Broken(String reason) implements Item {}

    /** Nothing arrived in time. */
    record Silent() implements Item {}

    /** The wait was ended by {@link #signal}. */
    record Signal() implements Item {}

    private final Deque<Item> items = new ArrayDeque<>();
    private final HttpClientResponse response;
    private Promise<Void> arrived;
    private boolean ended;
    private boolean signalled;

    AnswerFeed(HttpClientResponse response) {
        this.response = response;
        response.handler(bytes -> {
            add(new Piece(bytes));
            if (items.size() >= MAX_PIECES) {
                response.pause();
            }
        });
        response.exceptionHandler(e -> end(new Broken(String.valueOf(e.getMessage()))));
        response.endHandler(v -> end(new End()));
        response.resume();
    }

    private void end(Item item) {
        if (!ended) {
            ended = true;
            add(item);
        }
    }

    private void add(Item item) {
        items.addLast(item);
        wake();
    }

    private void wake() {
        if (arrived != null) {
            arrived.tryComplete();
        }
    }

    /** Ends the present or the next wait. */
    void signal() {
        signalled = true;
        wake();
    }

    /** Returns the next item; waits for it at most the given time. */
    Item next(Duration limit) {
        if (items.isEmpty() && !signalled) {
            arrived = Promise.promise();
            try {
                TimedAwait.await(arrived.future(), limit);
            } catch (TimeoutException e) {
                return new Silent();
            } finally {
                arrived = null;
            }
        }
        if (items.isEmpty()) {
            signalled = false;
            return new Signal();
        }
        Item item = items.removeFirst();
        if (items.isEmpty() && !ended) {
            response.resume();
        }
        return item;
    }
}
