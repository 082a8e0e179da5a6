package org.verbenatally.standin;

import java.io.IOException;
import java.util.Map;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests of the published interfaces of the plain service and the platform. */
class ServiceAndPlatformTest {
    private static final String DOCUMENT = "{\"version\":%d}";

    /** Guards against missing or doubled runs in the history, which would hide a duplicate booking from a checker. */
    @ParameterizedTest
    @CsvSource({"none, 1", "reset-before-run, 0", "reset-after-run, 1"})
    void recordsExactlyTheRunsOfACall(String fault, int runs) throws Exception {
        var options = OptionRecords.with(ServiceOptions.defaults("s1"), Map.of("fault", fault, "serviceMs", 1));
        try (ServiceStandin service = new ServiceStandin(options)) {
            int port = service.start();
            try {
                var response =
                        TestHttp.send(port, "POST", "/v1/calls/order-booking", "{\"work\":\"w1\"}", "Call-Id", "c1");
                assertThat(new JsonObject(response.body()).getString("work")).isEqualTo("w1");
                assertThat(fault).isEqualTo("none");
            } catch (IOException e) {
                assertThat(fault).startsWith("reset");
            }
            assertThat(service.history().stream()
                            .filter(e -> e.getString("event").equals("end")
                                    && e.getString("work").equals("w1")))
                    .hasSize(runs);
        }
    }

    @Test
    void refusesCallsWhenLeaving() throws Exception {
        try (ServiceStandin service = new ServiceStandin(ServiceOptions.defaults("s1"))) {
            int port = service.start();
            TestHttp.send(port, "PATCH", "/admin/options", "{\"leaving\":true}");
            var response = TestHttp.send(port, "POST", "/v1/calls/x", "{}", "Call-Id", "c1");
            assertThat(response.statusCode()).isEqualTo(503);
            assertThat(new JsonObject(response.body()).getString("reason")).isEqualTo("leaving");
            assertThat(TestHttp.load(port).getBoolean("leaving")).isTrue();
        }
    }

    @Test
    void watchRespondsWhenANewerDocumentIsPublished() throws Exception {
        try (PlatformStandin platform = new PlatformStandin(PlatformOptions.defaults())) {
            int port = platform.start();
            platform.publish(1, DOCUMENT.formatted(1));
            assertThat(TestHttp.send(port, "GET", "/v1/config?after=1", "").statusCode())
                    .isEqualTo(304);
            var watch = TestHttp.sendAsync(port, "GET", "/v1/config?after=1&waitMs=15000", "");
            TestHttp.waitUntil(() -> platform.counts().getInteger("waiting") == 1);
            TestHttp.send(port, "PUT", "/admin/config", DOCUMENT.formatted(2), "Config-Version", "2");
            assertThat(watch.get().headers().firstValue("Config-Version")).contains("2");
            assertThat(watch.get().body()).isEqualTo(DOCUMENT.formatted(2));
            platform.changeMode("stale", 0);
            assertThat(TestHttp.send(port, "GET", "/v1/config", "").headers().firstValue("Config-Version"))
                    .contains("1");
            platform.changeMode("down", 0);
            assertThatThrownBy(() -> TestHttp.send(port, "GET", "/v1/config", ""))
                    .isInstanceOf(IOException.class);
        }
    }

    @Test
    void instancesBecomeVisibleAfterTheLagAndReadsAreCounted() throws Exception {
        var options = OptionRecords.with(
                PlatformOptions.defaults(), Map.of("instanceLagMs", 60_000, "readsPerSecond", 1_000_000));
        try (PlatformStandin platform = new PlatformStandin(options)) {
            int port = platform.start();
            TestHttp.send(port, "PUT", "/admin/instances/late", "{\"role\":\"entry\",\"port\":1}");
            TestHttp.send(port, "PATCH", "/admin/options", "{\"instanceLagMs\":0}");
            platform.putInstance("early", new JsonObject().put("role", "engine"));
            var list = new JsonArray(
                    TestHttp.send(port, "GET", "/v1/instances", "").body());
            assertThat(list).hasSize(1);
            assertThat(list.getJsonObject(0).getString("id")).isEqualTo("early");
            assertThat(platform.counts().getJsonObject("reads").getInteger("/v1/instances"))
                    .isEqualTo(1);
        }
    }
}
