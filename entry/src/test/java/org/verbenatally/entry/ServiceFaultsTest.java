package org.verbenatally.entry;

import java.net.http.HttpResponse;

import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests each fault of a plain service with idempotent and non-idempotent kinds. */
class ServiceFaultsTest {
    private EntryFixture entry;

    @BeforeEach
    void start() throws Exception {
        entry = new EntryFixture();
    }

    @AfterEach
    void stop() {
        entry.close();
    }

    /** Guards against a failed call that could have been retried. */
    @ParameterizedTest
    @CsvSource({
        "none, 1",
        "full, 1",
        "leaving, 1",
        "reset, 2",
        "half, 2",
        "silent, 2",
        "status-500, 2",
        "status-503, 2",
    })
    void idempotentCallIsRetried(String fault, int runs) {
        entry.serviceFaults.add(fault);

        HttpResponse<String> response = entry.call("POST", "/v1/work/check", "{}");

        assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
        assertThat(response.headers().firstValue("Outcome")).hasValue("done");
        assertThat(entry.serviceRuns).hasValue(runs);
    }

    /** Guards against a second run, a wrong not-run, and different results for the same key. */
    @ParameterizedTest
    @CsvSource({
        "none,       done,    200, 1",
        "status-409, done,    409, 1",
        "full,       not-run, 503, 0",
        "leaving,    not-run, 503, 0",
        "reset,      unknown, 502, 1",
        "half,       unknown, 502, 1",
        "silent,     unknown, 502, 1",
        "status-500, unknown, 502, 1",
        "status-503, unknown, 502, 1",
    })
    void nonIdempotentCallRunsAtMostOnce(String fault, String outcome, int status, int runs) {
        entry.serviceFaults.add(fault);
        String key = new JsonObject(entry.call("POST", "/v1/keys/book", "").body()).getString("key");

        for (int duplicate = 0; duplicate < 3; duplicate++) {
            HttpResponse<String> response =
                    entry.call("POST", "/v1/work/book", "{}", "Idempotency-Key", key, "Deadline-Ms", "1500");

            assertThat(response.headers().firstValue("Outcome"))
                    .as(response.body())
                    .hasValue(outcome);
            assertThat(response.statusCode()).isEqualTo(status);
            assertThat(entry.serviceRuns).hasValue(runs);
        }
    }

    /** Guards against a call that is taken while the entry stops, and cut off at the end of its grace period. */
    @Test
    void callThatMayOutliveStoppingEntryIsRefused() {
        String key = new JsonObject(entry.call("POST", "/v1/keys/book", "").body()).getString("key");
        entry.server.drain();
        EntryFixture.await(() -> entry.call("POST", "/v1/work/check", "{}", "Deadline-Ms", "60000")
                        .statusCode()
                == 503);

        HttpResponse<String> keyed =
                entry.call("POST", "/v1/work/book", "{}", "Idempotency-Key", key, "Deadline-Ms", "60000");
        HttpResponse<String> inTime = entry.call("POST", "/v1/work/check", "{}", "Deadline-Ms", "1000");

        assertThat(keyed.statusCode()).as(keyed.body()).isEqualTo(503);
        assertThat(inTime.statusCode()).as(inTime.body()).isEqualTo(200);
    }

    /** Guards against a call that is abandoned, or reported as unknown, although no connection was made. */
    @Test
    void callThatWasNeverSentIsNotRun() {
        entry.services.forEach(FakeService::stop);
        String key = new JsonObject(entry.call("POST", "/v1/keys/book", "").body()).getString("key");

        HttpResponse<String> book = entry.call("POST", "/v1/work/book", "{}", "Idempotency-Key", key);
        HttpResponse<String> check = entry.call("POST", "/v1/work/check", "{}");

        assertThat(book.headers().firstValue("Outcome")).as(book.body()).hasValue("not-run");
        assertThat(check.headers().firstValue("Outcome")).as(check.body()).hasValue("not-run");
        assertThat(entry.serviceRuns).hasValue(0);
    }

    /** Guards against a not-run from an entry that refuses a call without asking the owner of its key. */
    @Test
    void refusalOfACallWithAKeyIsUnknown() {
        HttpResponse<String> wrongCredential =
                entry.call("POST", "/v1/work/book", "{}", "Idempotency-Key", "x", "Authorization", "Bearer wrong");
        HttpResponse<String> withoutKey = entry.call("POST", "/v1/work/book", "{}");

        assertThat(wrongCredential.headers().firstValue("Outcome")).hasValue("unknown");
        assertThat(withoutKey.statusCode()).isEqualTo(428);
        assertThat(withoutKey.headers().firstValue("Outcome")).hasValue("not-run");
        assertThat(new JsonObject(withoutKey.body()).getString("key")).isNotEmpty();
    }
}
