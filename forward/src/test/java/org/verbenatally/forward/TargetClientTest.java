package org.verbenatally.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.AbstractVerticle;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.ThreadingModel;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.StepException;
import org.verbenatally.time.TimedAwait;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class TargetClientTest {
    private static final ServiceSpec SERVICE = new ServiceSpec(ForwardFixture.CALLS, 100, Optional.empty());
    private static final Duration LIMIT = Duration.ofSeconds(10);
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    private final Vertx vertx = Vertx.vertx();
    private final TargetClient client = new TargetClient(vertx, () -> 1);

    @AfterEach
    void stop() {
        vertx.close();
    }

    private TargetExchange connect(RawTarget target) {
        return client.connect(SERVICE, target.address(), HttpMethod.POST, "/x", LIMIT);
    }

    /** Makes a whole exchange and returns it. */
    private TargetExchange exchange(RawTarget target) {
        TargetExchange exchange = connect(target);
        var response = exchange.send(Buffer.buffer(), ResponseTimeout.of(LIMIT), cancel -> {});
        assertThat(new ResponseBodyReader(response).next(LIMIT)).isInstanceOf(ResponseBodyReader.End.class);
        return exchange;
    }

    /** Runs a test in a virtual-thread task, as requests are. */
    private void run(Callable<Void> test) throws Exception {
        var done = new CompletableFuture<Void>();
        vertx.deployVerticle(
                        new AbstractVerticle() {
                            @Override
                            public void start() {
                                try {
                                    done.complete(test.call());
                                } catch (Throwable e) {
                                    done.completeExceptionally(e);
                                }
                            }
                        },
                        new DeploymentOptions().setThreadingModel(ThreadingModel.VIRTUAL_THREAD))
                .onFailure(done::completeExceptionally);
        done.get(30, TimeUnit.SECONDS);
    }

    /** Guards against a new connection for each request. */
    @Test
    void connectionOfEndedExchangeIsReused() throws Exception {
        try (RawTarget target = new RawTarget((head, out, socket) -> {
            RawTarget.write(out, RESPONSE);
            return true;
        })) {
            run(() -> {
                // The end of a response is reported just before its connection is given back.
                int exchanges = 1;
                while (!exchange(target).isReused() && exchanges < 1_000) {
                    exchanges++;
                }
                assertThat(exchanges).isLessThan(1_000);
                return null;
            });
        }
    }

    /**
     * Guards against a connection that serves another exchange, as if it were new, after the response to a request came
     * in the same moment in which the wait for it ended.
     */
    @Test
    void connectionIsNotReusedIfResponseCameWhenTheWaitEnded() throws Exception {
        var responded = new CountDownLatch(1);
        var requests = new AtomicInteger();
        try (RawTarget target = new RawTarget((head, out, socket) -> {
            if (requests.incrementAndGet() == 1) {
                responded.await();
            }
            RawTarget.write(out, RESPONSE);
            return true;
        })) {
            run(() -> {
                TargetExchange late = connect(target);
                var timeout = new ResponseTimeout(Duration.ofMillis(20), LIMIT, () -> {
                    responded.countDown();
                    TimedAwait.sleep(vertx, Duration.ofMillis(300));
                    return true;
                });
                StepException failure = catchThrowableOfType(
                        StepException.class, () -> late.send(Buffer.buffer(), timeout, cancel -> {}));
                assertThat(failure.outcome()).isEqualTo(Outcome.UNKNOWN);
                TargetExchange next = exchange(target);
                assertThat(next.localAddress()).isNotEqualTo(late.localAddress());
                return null;
            });
        }
    }
}
