package org.verbenatally.forward;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/**
 * Reads the body of one response chunk by chunk, in the task that asks for it. The wait of that task can be interrupted
 * with {@link #signal}. All methods must be called on the context of the exchange.
 */
final class ResponseBodyReader {
    /** Number of chunks that are queued before reading from the target is paused for a slow caller. */
    private static final int MAX_QUEUED_CHUNKS = 32;

    private static final long NO_TIMER = -1;
    /** Timers are set in whole milliseconds. */
    private static final long TIMER_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** The next item that the reader returns. */
    sealed interface Item {}

    /** A chunk of the body. */
    record Piece(Buffer bytes) implements Item {
        /** Returns the length only, as responses must not appear in logs. */
        @Override
        public String toString() {
            return "Piece[" + bytes.length() + " bytes]";
        }
    }

    /** The body is complete. */
    record End() implements Item {}

    /** The connection was lost before the end of the body. */
    record Broken(String reason) implements Item {}

    /** No data was received within the wait. */
    record Silent() implements Item {}

    /** The wait was interrupted by {@link #signal}. */
    record Signal() implements Item {}

    private final Deque<Item> items = new ArrayDeque<>();
    private final HttpClientResponse response;
    private final Context context = Vertx.currentContext();
    private Runnable onProgress = () -> {};
    private Promise<Void> itemArrived;
    private long waitEnd;
    private long timerId = NO_TIMER;
    private long timerEnd;
    private boolean timedOut;
    private boolean ended;
    private boolean signalled;

    ResponseBodyReader(HttpClientResponse response) {
        this.response = response;
        response.handler(bytes -> {
            add(new Piece(bytes));
            if (items.size() >= MAX_QUEUED_CHUNKS) {
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
            // A pending timer would keep the objects of the exchange reachable until it expires.
            context.owner().cancelTimer(timerId);
            timerId = NO_TIMER;
            add(item);
        }
    }

    private void add(Item item) {
        items.addLast(item);
        reportProgress(item);
        wake();
    }

    private void wake() {
        if (itemArrived != null) {
            itemArrived.tryComplete();
        }
    }

    /**
     * Starts a timer for the end of the present wait. The timer is kept for later waits, which mostly end sooner: a
     * timer for each event would cost more than passing the event on.
     */
    private void startTimer() {
        context.owner().cancelTimer(timerId);
        long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(waitEnd - System.nanoTime()));
        timerEnd = waitEnd;
        timerId = context.owner().setTimer(millis, id -> onTimer());
    }

    private void onTimer() {
        timerId = NO_TIMER;
        if (itemArrived == null) {
            return;
        }
        if (waitEnd - System.nanoTime() > TIMER_TOLERANCE_NANOS) {
            startTimer();
        } else {
            timedOut = true;
            wake();
        }
    }

    /** Returns whether no item is queued. */
    boolean isEmpty() {
        return items.isEmpty();
    }

    /**
     * Sets an action that is run once when an item arrives that ends an event or the body, or at once if one is queued;
     * replaces the previous action.
     */
    void onProgress(Runnable action) {
        onProgress = action;
        items.forEach(this::reportProgress);
    }

    private void reportProgress(Item item) {
        boolean progress = item instanceof End || item instanceof Piece piece && EventSplitter.endsEvent(piece.bytes());
        if (progress) {
            Runnable action = onProgress;
            onProgress = () -> {};
            action.run();
        }
    }

    /** Interrupts the present wait, or the next one. */
    void signal() {
        signalled = true;
        wake();
    }

    /** Returns the next item, waiting for it for at most the given time. */
    Item next(Duration limit) {
        if (items.isEmpty() && !signalled) {
            timedOut = false;
            waitEnd = System.nanoTime() + limit.toNanos();
            itemArrived = Promise.promise();
            if (timerId == NO_TIMER || waitEnd - timerEnd < 0) {
                startTimer();
            }
            try {
                itemArrived.future().await();
            } finally {
                itemArrived = null;
            }
            if (timedOut && items.isEmpty() && !signalled) {
                return new Silent();
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
