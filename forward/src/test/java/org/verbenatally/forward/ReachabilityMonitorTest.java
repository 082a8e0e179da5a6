package org.verbenatally.forward;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import io.vertx.core.Future;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenatally.core.TargetId;
import org.verbenatally.time.ManualTimer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.Targets.SERVICE;

class ReachabilityMonitorTest {
    private static final int TARGETS = 12;

    private final ManualTimer timer = new ManualTimer();
    private final TargetDirectory directory = new TargetDirectory(timer, read -> {}, () -> {});
    private final Set<TargetId> down = new HashSet<>();
    private final Set<TargetId> paused = new HashSet<>();
    private final List<TargetId> probed = new ArrayList<>();
    private final List<TargetId> returned = new ArrayList<>();
    private final ReachabilityMonitor monitor = new ReachabilityMonitor(
            timer,
            directory,
            this::probe,
            target -> !paused.contains(target.id()),
            target -> returned.add(target.id()));

    private Future<Void> probe(ForwardTarget target) {
        probed.add(target.id());
        return down.contains(target.id()) ? Future.failedFuture("down") : Future.succeededFuture();
    }

    @BeforeEach
    void publish() {
        directory.applyPublished(Targets.list(IntStream.range(0, TARGETS)
                .mapToObj(i -> Targets.ready("t" + i))
                .toList()));
        states().forEach(state -> state.onContact(timer.nanos()));
        advance(1);
    }

    private List<TargetState> states() {
        return directory.candidates(SERVICE);
    }

    private void advance(int checks) {
        for (int i = 0; i < checks; i++) {
            timer.advance(ReachabilityMonitor.CHECK_INTERVAL);
            monitor.check();
        }
    }

    private void failAll() {
        states().forEach(state -> down.add(state.target().id()));
        states().getFirst().onUnreachable(timer.nanos());
    }

    /** Guards against an instance that tries each target for each request although it reaches none of them. */
    @Test
    void noticesWithinSecondThatNoTargetIsReached() {
        failAll();
        assertThat(monitor.isCutOff(SERVICE)).isFalse();
        advance(4);
        assertThat(monitor.isCutOff(SERVICE)).isTrue();
        assertThat(monitor.cutOffCount()).isEqualTo(1);
    }

    /** Guards against taking a target that is down for a lost path, and against probing the others all the while. */
    @Test
    void targetThatIsDownByItselfCostsFewProbes() {
        TargetState state = states().getFirst();
        down.add(state.target().id());
        state.onUnreachable(timer.nanos());
        for (int i = 0; i < 20; i++) {
            advance(1);
            states().getLast().onContact(timer.nanos());
        }
        assertThat(monitor.isCutOff(SERVICE)).isFalse();
        assertThat(probed).hasSizeLessThanOrEqualTo(3);
    }

    /** Guards against probes of a service while responses of its targets arrive. */
    @Test
    void reachedTargetsAreNotProbed() {
        for (int i = 0; i < 20; i++) {
            advance(1);
            states().getLast().onContact(timer.nanos());
        }
        assertThat(probed).isEmpty();
    }

    /** Guards against an instance that notices only by its next requests that they wait in vain. */
    @Test
    void noticesWithoutRequestsThatNoTargetIsReached() {
        states().forEach(state -> down.add(state.target().id()));
        advance(8);
        assertThat(monitor.isCutOff(SERVICE)).isTrue();
    }

    /** Guards against many probes of a service that is asked for seldom. */
    @Test
    void idleServiceIsProbedSeldom() {
        advance(20);
        assertThat(probed).hasSizeBetween(6, 10);
    }

    /**
     * Pattern: paths come back. Guards against an instance that does not notice, and against sending all its work to
     * the one target that was reached first.
     */
    @Test
    void allTargetsAreUsedWhenPathsComeBack() {
        failAll();
        states().forEach(state -> state.onUnreachable(timer.nanos()));
        advance(20);
        assertThat(monitor.isCutOff(SERVICE)).isTrue();
        down.clear();
        advance(1);
        assertThat(monitor.isCutOff(SERVICE)).isFalse();
        assertThat(returned).hasSize(1);
        assertThat(states()).noneMatch(state -> state.isSuspended(timer.nanos()));
        advance(1);
        assertThat(monitor.cutOffCount()).isZero();
    }

    /** Guards against a service that counts as cut off for good because it has no targets any more. */
    @Test
    void serviceWithoutTargetsIsNotCutOff() {
        failAll();
        advance(8);
        assertThat(monitor.cutOffCount()).isEqualTo(1);
        directory.applyPublished(Targets.list(IntStream.range(0, TARGETS)
                .mapToObj(i -> Targets.leaving("t" + i))
                .toList()));
        advance(1);
        assertThat(monitor.isCutOff(SERVICE)).isFalse();
        assertThat(monitor.cutOffCount()).isZero();
    }

    /** Guards against probes of a target that has asked for a pause. */
    @Test
    void pausedTargetIsNotProbed() {
        TargetState pausing = states().getLast();
        paused.add(pausing.target().id());
        failAll();
        advance(200);
        assertThat(probed).isNotEmpty().doesNotContain(pausing.target().id());
    }

    /** Guards against a rush of probes while no target can be reached. */
    @Test
    void probesAreFewWhileCutOff() {
        failAll();
        advance(8);
        probed.clear();
        advance(8);
        assertThat(probed).hasSize(8);
    }
}
