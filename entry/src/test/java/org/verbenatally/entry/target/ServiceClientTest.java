package org.verbenatally.entry.target;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;
import java.util.stream.Stream;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.verbenatally.config.Target;
import org.verbenatally.core.KindName;
import org.verbenatally.http.CuttingServer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.entry.target.RawService.response;

/** Calls to a service whose responses are written byte by byte. */
class ServiceClientTest {
    private static final int MAX_CALLS = 100;

    private final Vertx vertx = Vertx.vertx();
    private final ServiceClient client = new TargetClients(vertx).services();
    private RawService service;

    @AfterEach
    void stop() throws Exception {
        service.close();
        vertx.close();
    }

    /** Starts a service that writes what the script returns for the id of a call and its number on its connection. */
    private Target service(BiFunction<String, Integer, String> script) throws IOException {
        service = new RawService((head, i) -> script.apply(RawService.header(head, "Call-Id"), i));
        return service.target();
    }

    /** Makes a call on a pooled connection and returns the body of the response, or the cause of the failure. */
    private String call(Target target, String id) throws Exception {
        return RawService.run(vertx, () -> call(target, id, Duration.ofSeconds(5)));
    }

    private String call(Target target, String id, Duration timeout) throws TargetFailure {
        var response = client.call(target, new KindName("check"), id, Buffer.buffer("{}"), false, timeout, () -> true);
        return response.body().toString();
    }

    /** Makes calls until one has been made on a connection that was used before; returns the results in order. */
    private List<String> callUntilConnectionIsReused(Target target) throws Exception {
        List<String> results = new ArrayList<>();
        while (results.size() == service.connections() && results.size() < MAX_CALLS) {
            results.add(call(target, "c" + results.size()));
        }
        assertThat(service.connections())
                .as("connections for %d calls", results.size())
                .isEqualTo(results.size() - 1);
        return results;
    }

    /** Guards against a refusal of an earlier call that makes a running one count as not run. */
    @Test
    void copyOfRefusalIsIgnored() throws Exception {
        Target target =
                service((id, i) -> response(503, i == 0 ? "Call-Id: " + id + "\r\n" : "", "{\"reason\":\"full\"}"));
        List<String> results = callUntilConnectionIsReused(target);
        assertThat(results.removeLast()).isEqualTo("BAD_ANSWER");
        assertThat(results).containsOnly("FULL");
    }

    /** Guards against a response that is handed to the caller of another call. */
    @Test
    void copyOfResponseIsIgnored() throws Exception {
        Target target = service((id, i) ->
                response(200, "Call-Id: " + (i == 0 ? id : "c-earlier") + "\r\n", i == 0 ? id : "c-earlier"));
        List<String> results = callUntilConnectionIsReused(target);
        assertThat(results.removeLast()).isEqualTo("BAD_ANSWER");
        assertThat(results).startsWith("c0").doesNotContain("BAD_ANSWER");
    }

    /** Guards against services that do not state the call of a response and are no longer usable, or not safely. */
    @Test
    void serviceThatDoesNotStateTheCallGetsNewConnections() throws Exception {
        Target target = service((id, i) -> response(200, "", "answer " + i));
        for (int i = 1; i <= 10; i++) {
            assertThat(call(target, "c" + i)).isEqualTo("answer 0");
            assertThat(service.connections()).isEqualTo(i);
        }
    }

    /** Guards against a success that is joined from the status of one response and the fields of the next one. */
    @Test
    void joinedHeadIsNotBelieved() throws Exception {
        Target target =
                service((id, i) -> "HTTP/1.1 200 O" + response(500, "Call-Id: " + id + "\r\n", "failure of " + id));
        assertThat(call(target, "c1")).isEqualTo("BAD_ANSWER");
    }

    /** Guards against a response that is shortened, as a reset is hidden by the end of the connection. */
    @Test
    void responseThatIsCutIsNotBelieved() throws Exception {
        service((id, i) -> "");
        try (CuttingServer server = new CuttingServer("HTTP/1.1 200 x\r\nCall-Id: c1\r\n\r\nanswer")) {
            assertThat(call(RawService.target(server.address()), "c1")).isEqualTo("BROKEN");
        }
    }

    /**
     * Guards against a connection that serves another call although an earlier one on it was given up: its response
     * arrived between the end of the wait and the reset, which then found nothing to break off.
     */
    @Test
    void connectionOfCallThatTimedOutIsNotReused() throws Exception {
        // Each connection is served by a thread of its own.
        AtomicReference<Thread> given = new AtomicReference<>();
        List<Thread> used = Collections.synchronizedList(new ArrayList<>());
        AtomicReference<CountDownLatch> all = new AtomicReference<>();
        service = new RawService((head, i) -> {
            String id = RawService.header(head, "Call-Id");
            if (id.equals("late")) {
                given.set(Thread.currentThread());
                Thread.sleep(200);
            } else if (id.equals("next")) {
                used.add(Thread.currentThread());
                all.get().countDown();
                all.get().await();
            }
            return response(200, "Call-Id: " + id + "\r\n", id + " on " + i);
        });
        Target target = service.target();
        assertThat(callUntilConnectionIsReused(target)).last().asString().endsWith("on 1");
        String late = RawService.run(vertx, () -> {
            // Occupies the context of the call from before its timeout until after the response.
            vertx.setTimer(50, id -> sleep(300));
            return call(target, "late", Duration.ofMillis(100));
        });
        assertThat(late).isEqualTo("SILENT");
        // More calls at a time than there are connections, so that each connection in the pool gets one.
        int calls = service.connections() + 1;
        all.set(new CountDownLatch(calls));
        List<CompletableFuture<String>> results = Stream.generate(() -> CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return call(target, "next");
                            } catch (Exception e) {
                                throw new CompletionException(e);
                            }
                        },
                        task -> Thread.ofVirtual().start(task)))
                .limit(calls)
                .toList();
        assertThat(results).allSatisfy(result -> assertThat(result.join()).startsWith("next on "));
        assertThat(used).hasSize(calls).doesNotContain(given.get());
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against a connection that serves another call although more than one response has arrived on it. */
    @Test
    void connectionWithAnUnexpectedResponseIsNotReused() throws Exception {
        // Each connection is served by a thread of its own.
        AtomicReference<Thread> given = new AtomicReference<>();
        Target target = service((id, i) -> {
            boolean copied = given.get() == Thread.currentThread();
            String own = response(200, "Call-Id: " + id + "\r\n", copied ? "behind a copy" : id + " on " + i);
            return i == 1 && given.compareAndSet(null, Thread.currentThread()) ? own + own : own;
        });
        assertThat(callUntilConnectionIsReused(target)).last().asString().endsWith("on 1");
        for (int i = 0; i < 5; i++) {
            // The pool may hand the connection out once more while it is being closed.
            assertThat(call(target, "next"))
                    .satisfiesAnyOf(
                            result -> assertThat(result).startsWith("next on "),
                            result -> assertThat(result).isIn("NOT_CONNECTED", "BROKEN"));
        }
    }

    /** Guards against new connections for calls to a service that is sound. */
    @Test
    void soundConnectionsAreReused() throws Exception {
        Target target = service((id, i) -> response(200, "Call-Id: " + id + "\r\n", id));
        String answers = RawService.run(vertx, () -> {
            StringBuilder collected = new StringBuilder();
            for (int i = 0; i < 50; i++) {
                collected.append(call(target, "c" + i, Duration.ofSeconds(5)));
            }
            return collected.toString();
        });
        assertThat(answers).startsWith("c0c1c2").endsWith("c48c49");
        // One for the first call, which finds out that the service states ids, and two that are pooled: a call may
        // begin
        // just before the connection of the one before it is given back.
        assertThat(service.connections()).isLessThanOrEqualTo(3);
    }
}
