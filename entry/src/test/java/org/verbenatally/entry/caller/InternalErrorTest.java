package org.verbenatally.entry.caller;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
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
import static org.assertj.core.api.Assertions.assertThatThrownBy;

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

    private CallerHandler handler(TimerService timer) {
        PeerNetwork peers = proxy(PeerNetwork.class, () -> null);
        KeyIssuer issuer = new KeyIssuer(new InstanceId("one"), new Incarnation(1), System::nanoTime);
        return new CallerHandler(
                components(timer),
                new KeyedCalls(issuer, call -> new CompletableFuture<>(), peers, new SystemTimerService()),
                vertx,
                () -> {
                    throw new StackOverflowError("for the test");
                },
                deadline -> true);
    }

    /** Sends a request to a server with the given handler; the response must come within 5 seconds. */
    private HttpResponse<String> call(Handler<HttpServerRequest> handler) throws Exception {
        int port = vertx.createHttpServer()
                .requestHandler(handler)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS)
                .actualPort();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/v1/x"))
                .version(HttpClient.Version.HTTP_1_1)
                .build();
        try (HttpClient client = HttpClient.newHttpClient()) {
            CompletableFuture<HttpResponse<String>> response =
                    client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
            try {
                return response.get(5, TimeUnit.SECONDS);
            } finally {
                client.shutdownNow();
            }
        }
    }

    /** Guards against a caller whose connection stays open without a response. */
    @Test
    void requestIsAnswered() throws Exception {
        HttpResponse<String> response = call(handler(new SystemTimerService())::handle);

        assertThat(response.statusCode()).isEqualTo(500);
    }

    /** Guards against a caller who waits for the rest of a response that has begun. */
    @Test
    void connectionOfBegunResponseIsClosed() {
        CallerHandler handler = handler(new SystemTimerService());

        assertThatThrownBy(() -> call(request -> {
                    request.response().setChunked(true).write("begun");
                    handler.handle(request);
                }))
                .isInstanceOf(ExecutionException.class)
                .hasCauseInstanceOf(IOException.class);
    }

    /** Guards against a caller whose connection stays open because the error occurs before the request is handled. */
    @Test
    void connectionIsClosedIfTheHandlerCannotStart() {
        TimerService failing = proxy(TimerService.class, () -> {
            throw new OutOfMemoryError("for the test");
        });

        assertThatThrownBy(() -> call(handler(failing)::handle))
                .isInstanceOf(ExecutionException.class)
                .hasCauseInstanceOf(IOException.class);
    }

    /** Guards against a caller whose connection stays open because the problem document cannot be made either. */
    @Test
    void connectionIsClosedIfNoProblemDocumentCanBeSent() {
        CallerHandler handler = handler(new SystemTimerService());

        assertThatThrownBy(() -> call(request -> handler.handle(withoutResponseHead(request))))
                .isInstanceOf(ExecutionException.class)
                .hasCauseInstanceOf(IOException.class);
    }

    /** Returns the request with a response whose head cannot be set. */
    private static HttpServerRequest withoutResponseHead(HttpServerRequest request) {
        HttpServerResponse response = delegate(HttpServerResponse.class, request.response(), "setStatusCode", () -> {
            throw new OutOfMemoryError("for the test");
        });
        return delegate(HttpServerRequest.class, request, "response", () -> response);
    }

    /** Returns an object that calls the methods of {@code target}, but for one. */
    private static <T> T delegate(Class<T> type, T target, String replaced, Callable<Object> replacement) {
        return type.cast(Proxy.newProxyInstance(
                type.getClassLoader(),
                new Class<?>[] {type},
                (proxy, called, args) ->
                        called.getName().equals(replaced) ? replacement.call() : called.invoke(target, args)));
    }
}
