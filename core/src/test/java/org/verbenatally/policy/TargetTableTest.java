package org.verbenatally.policy;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenatally.config.Deployment;
import org.verbenatally.config.Kind;
import org.verbenatally.config.Target;
import org.verbenatally.config.TargetType;
import org.verbenatally.core.Address;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.KindName;
import org.verbenatally.core.TargetId;
import org.verbenatally.time.SystemTimerService;

import static org.assertj.core.api.Assertions.assertThat;

class TargetTableTest {
    private static final TargetId TARGET = new TargetId("service-1");
    private static final InstanceId PEER = new InstanceId("entry-2");
    private static final Kind KIND = new Kind(
            new KindName("quote-check"),
            TargetType.SERVICE,
            Optional.empty(),
            Optional.empty(),
            Kind.Urgency.URGENT,
            Kind.Value.HIGH,
            true,
            Kind.Delivery.WHOLE,
            Duration.ofSeconds(10),
            1,
            1,
            3);

    private final SystemTimerService timer = new SystemTimerService();
    private final TargetTable table = new TargetTable(timer);

    @BeforeEach
    void configure() {
        Target target = new Target(
                TARGET,
                TargetType.SERVICE,
                new Address("127.0.0.1", 1),
                new FailureDomain("Bole"),
                List.of(),
                "serve",
                false,
                8,
                false);
        table.configure(new Deployment(
                "abay",
                new ConfigVersion(1),
                8,
                new Deployment.Limits(1024, 8),
                new Deployment.Levels(480, 54, 0.95),
                Map.of(),
                Map.of(KIND.name(), KIND),
                Map.of(TARGET, target),
                6));
    }

    @AfterEach
    void close() {
        timer.close();
    }

    /**
     * Guards against entries that forever report a target to each other as leaving after it has restarted under the
     * same id.
     */
    @Test
    void restartedTargetGetsWorkAgainOncePeersNoLongerReportItLeaving() {
        report(1, true);
        table.setPeerLeaving(PEER, Set.of(TARGET));
        assertThat(table.hasEligibleTarget(KIND)).isFalse();
        assertThat(table.firstHandLeaving()).containsExactly(TARGET);

        report(2, false);
        assertThat(table.hasEligibleTarget(KIND))
                .as("a peer still reports the target as leaving")
                .isFalse();
        assertThat(table.firstHandLeaving())
                .as("second-hand reports are not passed on")
                .isEmpty();

        table.setPeerLeaving(PEER, Set.of());
        assertThat(table.hasEligibleTarget(KIND)).isTrue();
    }

    /** Guards against new work on a target that only the platform's published list or a peer reports as leaving. */
    @Test
    void publishedListAndPeersStopNewWorkWhileTheyReportLeaving() {
        report(1, false);
        table.setPublishedLeaving(Set.of(TARGET));
        assertThat(table.hasEligibleTarget(KIND)).isFalse();
        assertThat(table.firstHandLeaving()).containsExactly(TARGET);

        table.setPublishedLeaving(Set.of());
        table.setPeerLeaving(PEER, Set.of(TARGET));
        assertThat(table.hasEligibleTarget(KIND)).isFalse();

        table.removePeer(PEER);
        assertThat(table.hasEligibleTarget(KIND)).isTrue();
    }

    /** Guards against an unreachable target that attracts all requests because it has no load. */
    @Test
    void unreachableTargetGetsNoWorkUntilItReports() {
        report(1, false);
        TargetState state = table.state(TARGET);
        state.onUnreachable(timer.nanos());
        assertThat(state.isInBackoff(timer.nanos())).isTrue();

        report(2, false);
        assertThat(state.isInBackoff(timer.nanos())).isFalse();
    }

    private void report(long incarnation, boolean leaving) {
        table.recordReport(
                TARGET,
                new ReportedLoad(
                        new Incarnation(incarnation),
                        timer.epochMillis() + incarnation,
                        0,
                        0,
                        0,
                        0,
                        0,
                        Set.of(),
                        leaving));
    }
}
