package org.verbenatally.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenatally.core.GenerationId;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests of the engine's published interface. A deviation in it could be mistaken for a fault of the entry. */
class EngineStandinTest {
    private static final Map<String, Object> FAST = Map.of("stepBaseMs", 1, "stepPerSequenceMs", 0, "reportLagMs", 0);

    private EngineStandin engine;
    private int port;

    private void start(Map<String, ?> changes) {
        EngineOptions options = OptionRecords.with(EngineOptions.defaults("e1"), FAST);
        engine = new EngineStandin(OptionRecords.with(options, changes));
        port = engine.start();
    }

    @AfterEach
    void stop() {
        engine.close();
    }

    private static String request(GenerationId id, String prompt) {
        return new JsonObject()
                .put("generation", id.value())
                .put("model", "m1")
                .put("prompt", prompt)
                .put("maxTokens", 1000)
                .put("priority", 1)
                .put("organisation", "o1")
                .encode();
    }

    private static String expectedEvents(GenerationId id, int from, int to) {
        StringBuilder events = new StringBuilder();
        for (int i = from; i < to; i++) {
            events.append("id: " + i + "\ndata: {\"t\":\"" + TokenText.of(id, i) + "\"}\n\n");
        }
        return events + "event: end\ndata: {\"tokens\":" + to + ",\"preemptions\":0}\n\n";
    }

    @Test
    void streamsAllTokensAndResumesFromAnOffset() throws Exception {
        start(Map.of());
        GenerationId id = GenerationId.random();
        var response = TestHttp.send(port, "POST", "/v1/generations", request(id, "[len=20]"));
        assertThat(response.headers().firstValue("Attachment")).contains("1");
        assertThat(response.body().replace(": hb\n\n", "")).isEqualTo(expectedEvents(id, 0, 20));
        var resumed = TestHttp.send(port, "GET", "/v1/generations/" + id + "?from=15", "");
        assertThat(resumed.headers().firstValue("Attachment")).contains("2");
        assertThat(resumed.body().replace(": hb\n\n", "")).isEqualTo(expectedEvents(id, 15, 20));
        assertThat(engine.history().stream().map(e -> e.getString("event")))
                .containsSubsequence("start", "attach", "end", "attach");
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /v1/generations/00000000000000000000000000000000?from=0, '', 404",
        "DELETE, /v1/generations/00000000000000000000000000000000?attachment=1, '', 404",
        "POST, /v1/generations, '{\"generation\":\"x\"}', 400",
        "POST, /v1/generations, 'no json', 400",
        "POST, /v1/orders, '{}', 400",
        "GET, /nowhere, '', 404",
    })
    void refusesWhatItCannotServe(String method, String path, String body, int status) throws Exception {
        start(Map.of());
        assertThat(TestHttp.send(port, method, path, body).statusCode()).isEqualTo(status);
    }

    @ParameterizedTest
    @CsvSource({"leaving, true, leaving", "models, m2, model-not-loaded", "maxWaiting, 0, full"})
    void reportsWhyNewWorkWasNotRun(String option, String value, String reason) throws Exception {
        start(Map.of("maxBatch", 1, option, value, "stepBaseMs", 200));
        if (reason.equals("full")) {
            TestHttp.sendAsync(port, "POST", "/v1/generations", request(GenerationId.random(), "[len=900]"));
            TestHttp.waitUntil(() -> engine.state().getInteger("running") == 1);
        }
        var response = TestHttp.send(port, "POST", "/v1/generations", request(GenerationId.random(), "a"));
        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(new JsonObject(response.body()).getString("reason")).isEqualTo(reason);
    }

    /** Guards against a cancel by an entry that lost the stream to another entry: it would cut off the caller there. */
    @Test
    void refusesCancelWithAnOlderAttachment() throws Exception {
        start(Map.of("stepBaseMs", 20));
        GenerationId id = GenerationId.random();
        String path = "/v1/generations/" + id;
        TestHttp.sendAsync(port, "POST", "/v1/generations", request(id, "[len=900]"));
        TestHttp.waitUntil(() -> engine.state().getInteger("running") == 1);
        TestHttp.sendAsync(port, "GET", path + "?from=0", "");
        TestHttp.waitUntil(() -> engine.history().stream()
                        .filter(e -> e.getString("event").equals("attach"))
                        .count()
                == 2);
        assertThat(TestHttp.send(port, "DELETE", path + "?attachment=1", "").statusCode())
                .isEqualTo(409);
        assertThat(TestHttp.send(port, "DELETE", path + "?attachment=2", "").statusCode())
                .isEqualTo(204);
        assertThat(TestHttp.send(port, "GET", path + "?from=0", "").statusCode())
                .isEqualTo(404);
    }

    /** Guards against generations that end before an entry can resume them, or that run on if none does. */
    @ParameterizedTest
    @CsvSource({"60000, done, 200", "1, abandoned, 404"})
    void decodesWithoutAConnectionForALimitedTime(long detachedDecodeMs, String ended, int status) throws Exception {
        start(Map.of("stepBaseMs", 10, "detachedDecodeMs", detachedDecodeMs));
        GenerationId id = GenerationId.random();
        TestHttp.sendAsync(port, "POST", "/v1/generations", request(id, "[len=60]"));
        TestHttp.waitUntil(() -> engine.state().getInteger("running") == 1);
        TestHttp.send(port, "POST", "/admin/drop-connections", "");
        TestHttp.waitUntil(() -> engine.history().stream()
                .anyMatch(e -> e.getString("event").equals("end")
                        && e.getString("ended").equals(ended)));
        assertThat(TestHttp.send(port, "GET", "/v1/generations/" + id + "?from=0", "")
                        .statusCode())
                .isEqualTo(status);
        engine.changeOptions(Map.of("retainMs", 0));
        TestHttp.waitUntil(() -> TestHttp.send(port, "GET", "/v1/generations/" + id + "?from=0", "")
                        .statusCode()
                == 404);
    }

    @ParameterizedTest
    @CsvSource({"true, 409", "false, 202"})
    void checksTheFencingNumberOnlyIfEnabled(boolean checksFence, int status) throws Exception {
        start(Map.of("checksFence", checksFence, "models", "", "modelLoadMs", 1));
        String order = "{\"fence\":%d,\"model\":\"%s\",\"version\":\"1\",\"role\":\"serve\"}";
        assertThat(TestHttp.send(port, "POST", "/v1/orders", order.formatted(7, "m1"))
                        .statusCode())
                .isEqualTo(202);
        assertThat(TestHttp.send(port, "POST", "/v1/orders", order.formatted(6, "m2"))
                        .statusCode())
                .isEqualTo(status);
        TestHttp.waitUntil(() -> TestHttp.load(port).getJsonArray("models").size() == (checksFence ? 1 : 2));
    }

    @Test
    void crashDropsTheConnectionAndTheListener() throws Exception {
        start(Map.of());
        List<Integer> failures = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            try {
                TestHttp.send(port, "POST", "/v1/generations", request(GenerationId.random(), "[crash]"));
            } catch (IOException e) {
                failures.add(i);
            }
        }
        assertThat(failures).containsExactly(0, 1);
        assertThat(engine.history().getLast().getString("event")).isEqualTo("crash");
    }
}
