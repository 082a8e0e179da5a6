package org.verbenatally.entry.caller;

import java.lang.reflect.Proxy;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.verbenatally.config.ConfigHolder;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.Outcome;
import org.verbenatally.entry.key.KeyIssuer;
import org.verbenatally.entry.key.KeyedCallRunner;
import org.verbenatally.entry.key.KeyedCalls;
import org.verbenatally.entry.operator.EntryMetrics;
import org.verbenatally.peer.PeerNetwork;
import org.verbenatally.time.SystemTimerService;
import org.verbenatally.time.TimerService;

import static org.assertj.core.api.Assertions.assertThat;

/** Errors that are not exceptions, such as an exhausted stack or heap, while a request is handled. */
class InternalErrorTest {
    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void stop() {
        vertx.close();
    }

    /** Returns an implementation of an interface all of whose methods do the same. */
    private static <T> T proxy(Class<T> type, Callable<Object> method) {
        return type.cast(Proxy.newProxyInstance(
                type.getClassLoader(), new Class<?>[] {type}, (proxy, called, args) -> method.call()));
    }

    private static CallerComponents components(TimerService timer) {
        return new CallerComponents(
                timer,
                new ConfigHolder<>(),
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                new EntryMetrics(),
                null,
                new OrganisationLimits(),
                new LiveRuns());
    }

    /** Guards against a keyed call whose caller waits for good because its result is never completed. */
    @Test
    void resultOfKeyedCallIsCompleted() throws Exception {
        TimerService failing = proxy(TimerService.class, () -> {
            throw new OutOfMemoryError("for the test");
        });
        ServiceCalls calls = new ServiceCalls(components(failing), vertx.getOrCreateContext());
        var call = new KeyedCallRunner.KeyedCall(
                "r1", new OrganisationId("o"), new KindName("k"), "key", Long.MAX_VALUE, new byte[0]);
        assertThat(calls.run(call).get(10, TimeUnit.SECONDS).outcome()).isEqualTo(Outcome.UNKNOWN);
    }

    /** Guards against a caller whose connection stays open without a response. */
    @Test
    void requestIsAnswered() throws Exception {
        TimerService timer = new SystemTimerService();
        PeerNetwork peers = proxy(PeerNetwork.class, () -> null);
        KeyIssuer issuer = new KeyIssuer(new InstanceId("one"), new Incarnation(1), System::nanoTime);
        CallerHandler handler = new CallerHandler(
                components(timer),
                new KeyedCalls(issuer, call -> new CompletableFuture<>(), peers, timer),
                vertx,
                () -> {
                    throw new StackOverflowError("for the test");
                },
                deadline -> true);
        int port = vertx.createHttpServer()
                .requestHandler(handler::handle)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS)
                .actualPort();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/v1/x"))
                .version(HttpClient.Version.HTTP_1_1)
                .timeout(Duration.ofSeconds(5))
                .build();
        HttpResponse<String> response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
        assertThat(response.statusCode()).isEqualTo(500);
    }
}
