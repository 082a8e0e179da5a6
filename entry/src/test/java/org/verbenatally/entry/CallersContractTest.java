package org.verbenatally.entry;

import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Stream;

import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the interface for callers against its specification. */
class CallersContractTest {
    private static final String BODY = "{\"prompt\":\"hello\"}";
    private EntryFixture entry;

    @BeforeEach
    void start() throws Exception {
        entry = new EntryFixture();
    }

    @AfterEach
    void stop() {
        entry.close();
    }

    private static JsonObject problem(HttpResponse<String> response, int status, String type) {
        assertThat(response.statusCode()).as(response.body()).isEqualTo(status);
        assertThat(response.headers().firstValue("Content-Type")).hasValue("application/problem+json");
        JsonObject problem = new JsonObject(response.body());
        assertThat(problem.getString("type")).isEqualTo(type);
        assertThat(problem.getInteger("status")).isEqualTo(status);
        assertThat(response.headers().firstValue("Outcome")).hasValue(problem.getString("outcome"));
        assertThat(problem.fieldNames()).contains("title", "detail", "step", "peer", "request");
        return problem;
    }

    /** Guards against a change of the stream format. */
    @Test
    void streamHasStartTokensAndEnd() {
        HttpResponse<String> response = entry.call("POST", "/v1/work/guide", BODY, "Request-Id", "r-1");

        assertThat(response.headers().firstValue("Content-Type")).hasValue("text/event-stream");
        assertThat(response.headers().firstValue("Request-Id")).hasValue("r-1");
        Events events = Events.read(response.body());
        assertThat(events.areInOrder(0, FakeEngine.TOKENS)).isTrue();
        assertThat(events.data().getInteger("tokens")).isEqualTo(FakeEngine.TOKENS);
        assertThat(events.data().getString("outcome")).isEqualTo("done");
        assertThat(entry.operator("GET", "/operator/explain/r-1").body()).contains("done after 6 tokens");
    }

    /** Guards against refusals without a problem document, or with a wrong outcome. */
    @Test
    void invalidRequestsAreRefusedWithProblemDocuments() {
        problem(entry.call("POST", "/v1/work/guide", BODY, "Authorization", ""), 401, "unauthorized");
        problem(entry.call("POST", "/v1/work/guide", BODY, "Authorization", "Bearer gibe-secret"), 401, "unauthorized");
        problem(entry.call("POST", "/v1/work/guide", BODY, "Organisation", "nobody"), 401, "unauthorized");
        problem(entry.call("POST", "/v1/work/nothing", BODY), 404, "not-found");
        problem(entry.call("POST", "/v2", BODY), 404, "not-found");
        problem(entry.call("GET", "/v1/work/guide", null), 405, "method-not-allowed");
        problem(entry.call("POST", "/v1/work/guide", "x".repeat(5_000)), 413, "body-too-large");
        problem(entry.call("POST", "/v1/work/guide", "[]"), 400, "invalid-request");
        problem(entry.call("POST", "/v1/work/guide", "{"), 400, "invalid-request");
        problem(entry.call("POST", "/v1/work/guide", "{\"prompt\":1}"), 400, "invalid-request");
        problem(entry.call("POST", "/v1/work/guide", "{\"prompt\":\"x\",\"maxTokens\":0}"), 400, "invalid-request");
        problem(entry.call("POST", "/v1/work/guide", "{\"prompt\":\"x\",\"stream\":1}"), 400, "invalid-request");
        problem(entry.call("POST", "/v1/work/guide", BODY, "Deadline-Ms", "-1"), 400, "invalid-header");
        problem(entry.call("POST", "/v1/work/guide", BODY, "Request-Id", "a b"), 400, "invalid-header");
        JsonObject last = problem(entry.call("POST", "/v1/completions", "{}"), 400, "invalid-request");
        assertThat(last.getString("outcome")).isEqualTo("not-run");
        assertThat(entry.starts()).isZero();
    }

    /** Guards against malformed input from a caller that stops the process. */
    @Test
    void malformedBytesDoNotStopTheProcess() throws Exception {
        for (String bytes : List.of(
                "\r\n\r\n\r\n",
                "GET / HTTP/9.9\r\n\r\n",
                "POST /v1/work/guide HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
                "POST /v1/work/guide HTTP/1.1\r\nContent-Length: x\r\n\r\n",
                "POST /v1/work/guide HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                "GET /v1/streams/%00%zz HTTP/1.1\r\nHost: x\r\n\r\n",
                "GET /" + "x".repeat(10_000) + " HTTP/1.1\r\n\r\n",
                "GET / HTTP/1.1\r\nA: " + "x".repeat(20_000) + "\r\n\r\n")) {
            try (Socket socket = new Socket("127.0.0.1", entry.ports.callers())) {
                OutputStream out = socket.getOutputStream();
                out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
        }

        assertThat(entry.call("POST", "/v1/work/guide", BODY).statusCode()).isEqualTo(200);
    }

    /** Guards against an organisation that exceeds its request rate. */
    @Test
    void requestsAboveTheRateAreRefused() {
        String[] slow = {"Organisation", "slow", "Authorization", "Bearer slow-secret"};
        entry.call("POST", "/v1/work/check", "{}", slow);

        JsonObject problem = problem(entry.call("POST", "/v1/work/check", "{}", slow), 429, "rate-limited");

        assertThat(problem.getString("outcome")).isEqualTo("not-run");
        assertThat(problem.getLong("retryAfterMs")).isPositive();
    }

    /** Guards against a resume that repeats, skips or mixes tokens, and against resumes by other organisations. */
    @Test
    void resumeSendsExactlyTheRestToTheOwningOrganisation() {
        Events all = Events.read(entry.call("POST", "/v1/work/guide", BODY).body());
        String path = "/v1/streams/" + all.stream();

        Events rest = Events.read(
                entry.call("GET", path, null, "Last-Event-ID", all.ids().get(2)).body());

        assertThat(rest.ids()).isEqualTo(all.ids().subList(3, FakeEngine.TOKENS));
        assertThat(rest.texts()).isEqualTo(all.texts().subList(3, FakeEngine.TOKENS));
        assertThat(rest.last()).isEqualTo("end");
        String[] other = {"Organisation", "gibe", "Authorization", "Bearer gibe-secret"};
        problem(entry.call("GET", path, null, other), 404, "not-found");
        problem(entry.call("DELETE", path, null, other), 404, "not-found");
        problem(entry.call("GET", "/v1/streams/" + all.stream().substring(1), null), 404, "not-found");
        problem(entry.call("GET", path, null, "Last-Event-ID", "x:1"), 400, "invalid-header");
        assertThat(entry.engines)
                .allSatisfy(engine -> assertThat(engine.cancels).isEmpty());
    }

    /** Guards against an asynchronous request whose events a browser's EventSource cannot read. */
    @Test
    void asynchronousRequestIsReadAtItsLocation() {
        HttpResponse<String> accepted = entry.call("POST", "/v1/work/guide", BODY, "Prefer", "respond-async");
        assertThat(accepted.statusCode()).isEqualTo(202);
        String location = accepted.headers().firstValue("Location").orElseThrow();

        Events events = Events.read(entry.call("GET", location, null).body());

        assertThat(events.areInOrder(0, FakeEngine.TOKENS)).isTrue();
        assertThat(location).endsWith(events.stream());
    }

    /** Guards against a stream that continues after its caller has cancelled it. */
    @Test
    void cancelEndsTheGeneration() throws Exception {
        entry.engineFaults.add("slow");
        HttpResponse<Stream<String>> response = entry.open(entry.caller("POST", "/v1/work/guide", BODY));
        Iterator<String> lines = response.body().iterator();
        String start = "";
        while (!start.startsWith("data: ")) {
            start = lines.next();
        }
        String stream = new JsonObject(start.substring(6)).getString("stream");

        assertThat(entry.call("DELETE", "/v1/streams/" + stream, null).statusCode())
                .isEqualTo(204);

        StringBuilder rest = new StringBuilder();
        lines.forEachRemaining(line -> rest.append(line).append('\n'));
        assertThat(rest).contains("\"type\":\"cancelled\"");
        EntryFixture.await(() -> entry.engines.stream().anyMatch(engine -> !engine.cancels.isEmpty()));
    }

    /** Guards against a stream that carries no data while its engine generates no tokens. */
    @Test
    void idleStreamCarriesKeepAlives() throws Exception {
        entry.engineFaults.add("slow");
        HttpResponse<Stream<String>> response = entry.open(entry.caller("POST", "/v1/work/guide", BODY));
        try (Stream<String> lines = response.body()) {
            assertThat(lines.anyMatch(line -> line.equals(": keep-alive"))).isTrue();
        }
    }

    /** Guards against a request that continues after its deadline. */
    @Test
    void deadlineEndsTheStream() {
        entry.engineFaults.add("slow");

        String body =
                entry.call("POST", "/v1/work/guide", BODY, "Deadline-Ms", "700").body();

        assertThat(Events.read(body).last()).isEqualTo("error");
        assertThat(body).contains("\"type\":\"deadline\"", "\"outcome\":\"unknown\"");
        EntryFixture.await(() -> entry.engines.stream().anyMatch(engine -> !engine.cancels.isEmpty()));
    }

    /** Guards against a response that clients of the usual completion interface cannot read. */
    @Test
    void completionHasTheUsualForm() {
        JsonObject response =
                new JsonObject(entry.call("POST", "/v1/completions", BODY).body());
        String stream = entry.call("POST", "/v1/completions", "{\"prompt\":\"x\",\"stream\":true,\"model\":\"m1\"}")
                .body();

        assertThat(response.getJsonArray("choices").getJsonObject(0).getString("text"))
                .contains(".5 ");
        assertThat(response.getJsonObject("usage").getInteger("completion_tokens"))
                .isEqualTo(FakeEngine.TOKENS);
        assertThat(stream).contains("\"object\":\"text_completion\"").endsWith("data: [DONE]\n\n");
    }

    /** Guards against new work on a target that reports that it is leaving. */
    @Test
    void leavingTargetGetsNoNewWork() {
        FakeEngine leaving = entry.engines.getFirst();
        leaving.leaving = true;
        EntryFixture.await(() -> entry.operator("GET", "/operator/status")
                .body()
                .contains("\"target\":\"engine-0\",\"type\":\"engine\",\"leaving\":true"));
        int before = leaving.starts.size();

        for (int i = 0; i < 6; i++) {
            assertThat(entry.call("POST", "/v1/work/guide", BODY).statusCode()).isEqualTo(200);
        }

        assertThat(leaving.starts).hasSize(before);
    }

    /** Guards against a graceful shutdown that interrupts a stream, or accepts work after the load balancer delay. */
    @Test
    void drainFinishesStreamsAndRefusesNewWork() throws Exception {
        entry.engineFaults.add("slow");
        HttpResponse<Stream<String>> open =
                entry.open(entry.caller("POST", "/v1/work/guide", BODY, "Deadline-Ms", "6000"));
        assertThat(entry.operator("POST", "/operator/drain").statusCode()).isEqualTo(202);

        assertThat(entry.operator("GET", "/ready").statusCode()).isEqualTo(503);
        assertThat(entry.operator("GET", "/live").statusCode()).isEqualTo(200);
        EntryFixture.await(() -> entry.call("POST", "/v1/work/check", "{}").statusCode() == 503);
        HttpResponse<String> refused = entry.call("POST", "/v1/work/check", "{}");
        assertThat(problem(refused, 503, "stopping").getString("outcome")).isEqualTo("not-run");
        assertThat(open.body().reduce("", (a, b) -> a + b)).contains("\"type\":\"deadline\"");
        entry.server.closeFuture().join();
    }
}
