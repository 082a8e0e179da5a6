package org.verbenatally.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.verbenatally.core.Address;
import org.verbenatally.core.GenerationId;
import org.verbenatally.core.Outcome;
import org.verbenatally.history.HistoryRecord;
import org.verbenatally.standin.TokenText;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests how the client resumes, retries and checks responses, against scripted entries. */
class CallerClientTest {
    private static final GenerationId GENERATION = new GenerationId("0123456789abcdef0123456789abcdef");
    private static final String START =
            "event: start\ndata: {\"request\":\"r\",\"generation\":\"" + GENERATION + "\",\"stream\":\"st\"}\n\n";
    private static final String END = "event: end\ndata: {\"outcome\":\"done\",\"tokens\":4}\n\n";

    private final Vertx vertx = Vertx.vertx();
    private final List<String> receivedRequests = Collections.synchronizedList(new ArrayList<>());

    @AfterEach
    void stop() {
        vertx.close();
    }

    private Address entry(Handler<HttpServerRequest> script) throws Exception {
        var server = vertx.createHttpServer()
                .requestHandler(request -> {
                    receivedRequests.add(request.method() + " " + request.path() + " "
                            + request.getHeader("Last-Event-ID") + " " + request.getHeader("Idempotency-Key"));
                    script.handle(request);
                })
                .listen(0, "127.0.0.1");
        return new Address(
                "127.0.0.1",
                server.toCompletionStage()
                        .toCompletableFuture()
                        .get(20, TimeUnit.SECONDS)
                        .actualPort());
    }

    private static String tokens(int from, int to) {
        StringBuilder events = new StringBuilder();
        for (int i = from; i < to; i++) {
            events.append("id: st:" + i + "\ndata: {\"t\":\"" + TokenText.of(GENERATION, i) + "\"}\n\n");
        }
        return events.toString();
    }

    private static CallRequest streamRequest() {
        return CallRequest.generation("w1", "guide", "o1", "secret", "text", 4, true, 30_000);
    }

    /** A stream whose connection is lost part-way must be resumed without lost or duplicate tokens. */
    @Test
    void resumesAtAnotherEntryAfterLostConnection() throws Exception {
        Address first = entry(request -> request.response()
                .setChunked(true)
                .putHeader("Content-Type", "text/event-stream")
                .write(START + tokens(0, 2))
                .onSuccess(ignored -> request.connection().close()));
        Address second = entry(request -> request.response()
                .putHeader("Content-Type", "text/event-stream")
                .end(tokens(2, 4) + END));
        List<HistoryRecord> history = Collections.synchronizedList(new ArrayList<>());
        try (CallerClient client = new CallerClient(CallerOptions.defaults(List.of(first, second)), history::add)) {
            CallRecord record = client.send(streamRequest()).get(20, TimeUnit.SECONDS);
            assertThat(record.outcome()).isEqualTo(Outcome.DONE);
            assertThat(record.tokens()).isEqualTo(4);
            assertThat(record.violations()).isEmpty();
            assertThat(receivedRequests)
                    .containsExactly("POST /v1/work/guide null null", "GET /v1/streams/st st:1 null");
            assertThat(history).hasSize(6);
        }
    }

    @Test
    void reportsMissingTokenAndTokenOfAnotherGeneration() throws Exception {
        String otherGeneration = "id: st:1\ndata: {\"t\":\"ffffffff.1 \"}\n\n";
        Address entry = entry(request -> request.response()
                .putHeader("Content-Type", "text/event-stream")
                .end(START + tokens(0, 1) + otherGeneration + tokens(3, 4) + END));
        try (CallerClient client = new CallerClient(CallerOptions.defaults(List.of(entry)))) {
            CallRecord record = client.send(streamRequest()).get(20, TimeUnit.SECONDS);
            assertThat(record.violations()).hasSize(3);
        }
    }

    /** A retry with a new key could book an order twice. */
    @Test
    void retriesNonRepeatableWorkWithTheSameKey() throws Exception {
        Address failing = entry(request -> {
            if (request.path().startsWith("/v1/keys/")) {
                request.response().setStatusCode(201).end("{\"key\":\"k1\"}");
            } else {
                request.connection().close();
            }
        });
        Address working =
                entry(request -> request.response().putHeader("Outcome", "done").end("{\"work\":\"w1\"}"));
        try (CallerClient client = new CallerClient(CallerOptions.defaults(List.of(failing, failing, working)))) {
            CallRecord record = client.send(CallRequest.call("w1", "order-booking", "o1", "secret", false, 30_000))
                    .get(20, TimeUnit.SECONDS);
            assertThat(record.outcome()).isEqualTo(Outcome.DONE);
            assertThat(receivedRequests)
                    .containsExactly(
                            "POST /v1/keys/order-booking null null",
                            "POST /v1/work/order-booking null k1",
                            "POST /v1/work/order-booking null k1");
        }
    }

    @Test
    void endsWithUnknownWhenNoEntryResponds() throws Exception {
        Address failing = entry(request -> request.connection().close());
        try (CallerClient client = new CallerClient(CallerOptions.defaults(List.of(failing)))) {
            CallRecord record = client.send(streamRequest()).get(20, TimeUnit.SECONDS);
            assertThat(record.outcome()).isEqualTo(Outcome.UNKNOWN);
            assertThat(record.sends()).hasSize(4);
        }
    }
}
