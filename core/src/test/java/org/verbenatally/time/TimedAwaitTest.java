package org.verbenatally.time;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.ThreadingModel;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class TimedAwaitTest {
    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void close() {
        vertx.close();
    }

    /** Guards against requests that never end because a task cannot wait again after one of its waits timed out. */
    @Test
    void taskCanWaitAgainAfterATimeout() throws Exception {
        CompletableFuture<String> result = new CompletableFuture<>();
        VerticleBase task = new VerticleBase() {
            @Override
            public Future<?> start() {
                context.runOnContext(v -> {
                    try {
                        assertThatThrownBy(
                                        () -> TimedAwait.await(Promise.promise().future(), Duration.ofMillis(20)))
                                .isInstanceOf(TimeoutException.class);
                        Promise<String> later = Promise.promise();
                        vertx.setTimer(20, id -> later.complete("second"));
                        result.complete(later.future().await());
                    } catch (Throwable e) {
                        result.completeExceptionally(e);
                    }
                });
                return Future.succeededFuture();
            }
        };
        vertx.deployVerticle(task, new DeploymentOptions().setThreadingModel(ThreadingModel.VIRTUAL_THREAD));
        assertThat(result.get(30, TimeUnit.SECONDS)).isEqualTo("second");
    }
}
