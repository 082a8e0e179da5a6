package org.verbenatally.entry;

import java.net.http.HttpResponse;

import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests each fault of an engine with repeatable and non-repeatable kinds. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EngineFaultsTest {
    private static final String BODY = "{\"prompt\":\"hello\"}";
    private EntryFixture entry;

    @BeforeAll
    void start() throws Exception {
        entry = new EntryFixture();
    }

    @AfterAll
    void stop() {
        entry.close();
    }

    /** Guards against mixed, duplicated or lost tokens, and against a second run of non-repeatable work. */
    @ParameterizedTest
    @CsvSource({
        // fault, then for kinds guide and once: done, or the number of tokens delivered before the final error; starts
        "none,          done, 1,  done, 1",
        "full,          done, 1,  done, 1",
        "status-500,    done, 1,  0,    0",
        "reset-known,   done, 1,  done, 1",
        "reset-unknown, done, 2,  0,    1",
        "drop@0,        done, 1,  done, 1",
        "drop@3,        done, 1,  done, 1",
        "silent@0,      done, 1,  done, 1",
        "silent@3,      done, 1,  done, 1",
        "forget@0,      done, 2,  0,    1",
        "forget@3,      3,    1,  3,    1",
        "gap@3,         3,    1,  3,    1",
        "bad-json@2,    2,    1,  2,    1",
        "long-line@2,   2,    1,  2,    1",
        "wrong-count,   6,    1,  6,    1",
    })
    void streamEndsAsTheFaultAllows(
            String fault, String guideResult, int guideStarts, String onceResult, int onceStarts) {
        check("guide", fault, guideResult, guideStarts);
        check("once", fault, onceResult, onceStarts);
    }

    private void check(String kind, String fault, String expected, int expectedStarts) {
        int before = entry.starts();
        entry.engineFaults.add(fault);

        HttpResponse<String> response = entry.call("POST", "/v1/work/" + kind, BODY);

        if (expected.equals("done")) {
            Events events = Events.read(response.body());
            assertThat(events.last()).as(response.body()).isEqualTo("end");
            assertThat(events.areInOrder(0, FakeEngine.TOKENS))
                    .as(response.body())
                    .isTrue();
        } else if (response.statusCode() == 200) {
            Events events = Events.read(response.body());
            assertThat(events.last()).as(response.body()).isEqualTo("error");
            assertLost(events.data(), Integer.parseInt(expected));
            assertThat(events.areInOrder(0, Integer.parseInt(expected))).isTrue();
        } else {
            assertLost(new JsonObject(response.body()), Integer.parseInt(expected));
        }
        assertThat(entry.starts() - before).isEqualTo(expectedStarts);
    }

    private static void assertLost(JsonObject problem, int delivered) {
        assertThat(problem.getString("type")).isEqualTo("generation-lost");
        assertThat(problem.getString("outcome")).isEqualTo("unknown");
        assertThat(problem.getInteger("delivered")).isEqualTo(delivered);
    }

    /** Guards against an incomplete response, and against giving up although nothing has been delivered. */
    @ParameterizedTest
    @CsvSource({"full, 1", "drop@3, 1", "forget@3, 2", "gap@3, 2", "bad-json@2, 2", "wrong-count, 2", "lost-attach@3, 2"
    })
    void nonStreamedResponseIsRetriedUntilComplete(String fault, int expectedStarts) {
        int before = entry.starts();
        entry.engineFaults.add(fault);

        HttpResponse<String> response = entry.call("POST", "/v1/work/summary", BODY);

        assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
        assertThat(response.headers().firstValue("Outcome")).hasValue("done");
        String generation = response.headers().firstValue("Generation").orElseThrow();
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < FakeEngine.TOKENS; i++) {
            text.append(generation, 0, 4).append('.').append(i).append(' ');
        }
        assertThat(new JsonObject(response.body()).getString("text")).hasToString(text.toString());
        assertThat(entry.starts() - before).isEqualTo(expectedStarts);
    }
}
