package org.verbenatally.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.RouteName;
import org.verbenatally.core.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class ForwardDeploymentTest {

    private static Route route(String host, String prefix, Route.Share... shares) {
        return new Route(
                new RouteName("r" + Math.abs((host + prefix).hashCode())),
                host,
                prefix,
                RetrySafety.IDEMPOTENT,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                0,
                List.of(shares),
                1,
                false,
                Optional.empty());
    }

    private static Route.Share share(String service, int weight) {
        return new Route.Share(new ServiceName(service), weight);
    }

    /** Guards against a request that is routed by a shorter prefix, or by the route of another host. */
    @Test
    void longestPrefixOfHostIsChosen() {
        Route shorter = route("one.example", "/a/", share("x", 1));
        Route longer = route("one.example", "/a/b/", share("y", 1));
        var deployment = new ForwardDeployment(
                new ConfigVersion(1),
                List.of(shorter, longer),
                List.of(),
                Optional.empty(),
                new ForwardDeployment.CallerLimits(1, 1));
        assertThat(deployment.route("ONE.example", "/a/b/c")).contains(longer);
        assertThat(deployment.route("one.example", "/a/bc")).contains(shorter);
        assertThat(deployment.route("one.example", "/ab/c")).isEmpty();
        assertThat(deployment.route("two.example", "/a/b/c")).isEmpty();
    }

    /** Guards against requests that are not distributed by the weights. */
    @Test
    void sharesFollowTheirWeights() {
        Route split = route("h", "/", share("x", 90), share("y", 10), share("z", 0));
        int toY = 0;
        for (int i = 0; i < 1_000; i++) {
            ServiceName service = split.service(i - 500);
            assertThat(service.value()).isNotEqualTo("z");
            toY += service.value().equals("y") ? 1 : 0;
        }
        assertThat(toY).isEqualTo(100);
    }
}
