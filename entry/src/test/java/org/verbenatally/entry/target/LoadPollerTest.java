package org.verbenatally.entry.target;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenatally.config.Target;
import org.verbenatally.config.TargetType;
import org.verbenatally.core.Address;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.ModelName;
import org.verbenatally.core.TargetId;
import org.verbenatally.policy.ReportedLoad;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowable;

class LoadPollerTest {
    private static final Target ENGINE = target(TargetType.ENGINE);

    private static Target target(TargetType type) {
        return new Target(
                new TargetId("t"),
                type,
                new Address("127.0.0.1", 1),
                new FailureDomain("Bole"),
                List.of(),
                "serve",
                false,
                8,
                false);
    }

    private static JsonObject report() {
        return new JsonObject("{\"target\":\"t\",\"incarnation\":7,\"atMs\":5,\"running\":1,\"waiting\":2,"
                + "\"kvUsedTokens\":3,\"kvCapacityTokens\":4,\"preemptions\":5,\"models\":[\"m\"],\"leaving\":true}");
    }

    /** Guards against report fields that are confused with one another. */
    @Test
    void everyFieldOfAReportIsParsed() {
        ReportedLoad load = LoadPoller.parse(ENGINE, report());

        assertThat(load.incarnation().value()).isEqualTo(7);
        assertThat(List.of(load.running(), load.waiting())).containsExactly(1, 2);
        assertThat(List.of(load.atMs(), load.kvUsedTokens(), load.kvCapacityTokens(), load.preemptions()))
                .containsExactly(5L, 3L, 4L, 5L);
        assertThat(load.models()).containsExactly(new ModelName("m"));
        assertThat(load.leaving()).isTrue();
    }

    /** Guards against an invalid report that makes a target look idle, or a report of another target. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "target           | \"other\"",
                "running          | -1",
                "running          | 99999999999",
                "waiting          | 1.5",
                "kvUsedTokens     | \"3\"",
                "kvCapacityTokens | 99999999999999999999999",
                "kvCapacityTokens | null",
                "preemptions      | -5",
                "incarnation      | 0",
                "atMs             | -1",
            })
    void invalidFieldIsNamed(String field, String value) {
        JsonObject json = report();
        json.put(field, new JsonObject("{\"v\":" + value + "}").getValue("v"));

        assertThatThrownBy(() -> LoadPoller.parse(ENGINE, json))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageStartingWith(field);
    }

    /** Guards against a report that exhausts the stack of the thread that reads it. */
    @ParameterizedTest
    @ValueSource(ints = {990, 1_001, 8_000})
    void nestedReportIsMalformedAtWorst(int depth) throws Exception {
        CompletableFuture<Throwable> result = new CompletableFuture<>();
        String nested =
                report().put("models", List.of()).toString().replace("[]", "[".repeat(depth) + "]".repeat(depth));
        Runnable read = () -> result.complete(catchThrowable(() -> LoadPoller.parse(ENGINE, new JsonObject(nested))));
        new Thread(null, read, "small-stack", 1 << 18).start();
        assertThat(result.get(20, TimeUnit.SECONDS))
                .isInstanceOfAny(IllegalArgumentException.class, DecodeException.class);
    }

    /** Guards against plain services whose reports are ignored because they have fewer fields than those of engines. */
    @Test
    void plainServiceMayOmitFieldsOfEngines() {
        ReportedLoad load =
                LoadPoller.parse(target(TargetType.SERVICE), new JsonObject("{\"running\":2,\"leaving\":false}"));

        assertThat(load.running()).isEqualTo(2);
        assertThat(Optional.of(load.leaving())).contains(false);
    }
}
