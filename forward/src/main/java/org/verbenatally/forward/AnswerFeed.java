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
 * Reads the body of one answer piece by piece, in the task that asks for it. Also carries signals to that task. All
 * methods must be called on the context of the exchange.
 */
final class AnswerFeed {
    /** Pieces that are held before the target is told to wait for a slow caller. */
    private static final int MAX_PIECES = 32;

    private static final long NO_ALARM = -1;
    /** Alarms are set in whole milliseconds. */
    private static final long ALARM_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

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
    private final Context context = Vertx.currentContext();
    private Promise<Void> arrived;
    private long waitUntil;
    private long alarm = NO_ALARM;
    private long alarmAt;
    private boolean timedOut;
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
            // An alarm would keep what the exchange holds until it is over.
            context.owner().cancelTimer(alarm);
            alarm = NO_ALARM;
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

    /**
     * Sets an alarm for the end of the present wait. It serves later waits as well, which mostly end sooner: an alarm
     * for each event would cost more than to pass the event on.
     */
    private void setAlarm() {
        context.owner().cancelTimer(alarm);
        long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(waitUntil - System.nanoTime()));
        alarmAt = waitUntil;
        alarm = context.owner().setTimer(millis, id -> alarm());
    }

    private void alarm() {
        alarm = NO_ALARM;
        if (arrived == null) {
            return;
        }
        if (waitUntil - System.nanoTime() > ALARM_TOLERANCE_NANOS) {
            setAlarm();
        } else {
            timedOut = true;
            wake();
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
            timedOut = false;
            waitUntil = System.nanoTime() + limit.toNanos();
            arrived = Promise.promise();
            if (alarm == NO_ALARM || waitUntil - alarmAt < 0) {
                setAlarm();
            }
            try {
                arrived.future().await();
            } finally {
                arrived = null;
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
