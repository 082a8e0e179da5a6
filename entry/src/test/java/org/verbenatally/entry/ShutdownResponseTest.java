package org.verbenatally.entry;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests what callers receive whose requests are still open at the timeout of a graceful shutdown. */
class ShutdownResponseTest {
    private static final String BODY = "{\"prompt\":\"hello\"}";
    private EntryFixture entry;

    @BeforeEach
    void start() throws Exception {
        entry = new EntryFixture(4);
    }

    @AfterEach
    void stop() {
        entry.close();
    }

    private HttpResponse<String> callDuringShutdown(String path, String fault) throws Exception {
        entry.engineFaults.add(fault);
        CompletableFuture<HttpResponse<String>> response =
                CompletableFuture.supplyAsync(() -> entry.call("POST", path, BODY));
        EntryFixture.await(() -> entry.starts() == 1);
        assertThat(entry.operator("POST", "/operator/drain").statusCode()).isEqualTo(202);
        return response.get(15, TimeUnit.SECONDS);
    }

    /** Guards against a request whose caller cannot resume it and gets a closed connection instead of a response. */
    @ParameterizedTest
    @ValueSource(strings = {"/v1/work/summary", "/v1/completions"})
    void nonStreamedRequestIsAnswered(String path) throws Exception {
        HttpResponse<String> response = callDuringShutdown(path, "slow");

        assertThat(response.statusCode()).as(response.body()).isEqualTo(503);
        assertThat(response.headers().firstValue("Outcome")).hasValue("unknown");
        assertThat(response.headers().firstValue("Retry-After")).hasValue("1");
        JsonObject problem = new JsonObject(response.body());
        assertThat(problem.getString("type")).isEqualTo("stopping");
        assertThat(problem.getString("outcome")).isEqualTo("unknown");
    }

    /** Guards against a stream that ends without an outcome before its caller knows the address to resume it at. */
    @Test
    void streamWithoutTokensEndsWithAnError() throws Exception {
        Events events =
                Events.read(callDuringShutdown("/v1/work/guide", "slow@0").body());

        assertThat(events.last()).isEqualTo("error");
        assertThat(events.data().getString("type")).isEqualTo("stopping");
        assertThat(events.data().getString("outcome")).isEqualTo("unknown");
    }

    /** Guards against an error for a stream that its caller can resume at another entry. */
    @Test
    void streamWithTokensEndsForItsCallerToResume() throws Exception {
        HttpResponse<String> response = callDuringShutdown("/v1/work/guide", "slow");

        assertThat(response.body()).endsWith(": reconnect\n\n");
        assertThat(Events.read(response.body()).areInOrder(0, FakeEngine.TOKENS))
                .isTrue();
    }
}
