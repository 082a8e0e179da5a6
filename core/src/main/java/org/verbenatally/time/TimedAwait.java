package org.verbenatally.time;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/**
 * Timed waits for virtual-thread tasks. {@link Future#await(long, TimeUnit)} of Vert.x 5.0.7 must not be used: after a
 * timeout the next wait of the same task fails with an {@link IllegalStateException}.
 */
public final class TimedAwait {
    private TimedAwait() {}

    /**
     * Waits until the future has completed and returns its result.
     *
     * @throws TimeoutException if it has not completed within the limit; a limit below one millisecond counts as one
     */
    public static <T> T await(Future<T> future, Duration limit) throws TimeoutException {
        return future.timeout(Math.max(1, limit.toMillis()), TimeUnit.MILLISECONDS)
                .await();
    }

    /** Suspends the task for the given time, but at least for one millisecond. */
    public static void sleep(Vertx vertx, Duration time) {
        Promise<Void> elapsed = Promise.promise();
        vertx.setTimer(Math.max(1, time.toMillis()), id -> elapsed.complete());
        elapsed.future().await();
    }
}
