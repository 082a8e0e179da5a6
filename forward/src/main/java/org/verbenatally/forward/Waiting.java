package org.verbenatally.forward;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/** Waits for futures in a virtual-thread task. */
final class Waiting {
    private Waiting() {}

    /** Lets the given time pass. */
    static void pause(Vertx vertx, Duration time) {
        Promise<Void> over = Promise.promise();
        vertx.setTimer(Math.max(1, time.toMillis()), id -> over.complete());
        over.future().await();
    }

    /**
     * Waits until a future has completed. A wait with a limit of Vert.x 5.0.7 itself leaves the task unusable after a
     * timeout, so the limit is put on the future.
     *
     * @throws TimeoutException if it has not completed within the limit, which is at least one millisecond
     */
    static <T> T await(Future<T> future, Duration limit) throws TimeoutException {
        return future.timeout(Math.max(1, limit.toMillis()), TimeUnit.MILLISECONDS)
                .await();
    }
}
