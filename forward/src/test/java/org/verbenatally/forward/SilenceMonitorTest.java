package org.verbenatally.forward;

import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Promise;
import org.junit.jupiter.api.Test;
import org.verbenatally.core.Address;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.ServiceName;
import org.verbenatally.core.TargetId;
import org.verbenatally.forward.SilenceMonitor.Verdict;
import org.verbenatally.time.ManualTimer;

import static org.assertj.core.api.Assertions.assertThat;

class SilenceMonitorTest {
    private static final Duration GAP = Duration.ofMillis(180);
    private static final Duration PAUSE = Duration.ofMillis(1_500);
    private static final ForwardTarget ENGINE = new ForwardTarget(
            new TargetId("engine"),
            1,
            new ServiceName("engines"),
            new Address("127.0.0.1", 1),
            new FailureDomain("here"),
            4,
            false,
            0);

    private final ManualTimer timer = new ManualTimer();
    private final Promise<Void> check = Promise.promise();
    private final AtomicInteger checked = new AtomicInteger();
    private final SilenceMonitor monitor =
            new SilenceMonitor(timer, target -> check.future(), GAP, checked::incrementAndGet);

    private Verdict verdictAfter(Duration time) {
        timer.advance(time);
        return monitor.verdict(ENGINE);
    }

    /** Guards against leaving an engine that accepts connections and is silent for a second or so. */
    @Test
    void shortSilenceOfListeningEngineIsNoVerdict() {
        check.complete();
        assertThat(verdictAfter(PAUSE)).isEqualTo(Verdict.SERVING);
        monitor.onProgress();
        assertThat(verdictAfter(PAUSE)).isEqualTo(Verdict.SERVING);
    }

    /** Guards against waiting for good for an engine whose connection was lost without a reset. */
    @Test
    void longSilenceOfListeningEngineIsAStall() {
        check.complete();
        assertThat(verdictAfter(PAUSE)).isEqualTo(Verdict.SERVING);
        assertThat(verdictAfter(PAUSE)).isEqualTo(Verdict.STALLED);
    }

    /** Guards against waiting for an engine whose process has ended while its connections stay open. */
    @Test
    void engineThatRefusesConnectionsIsDead() {
        assertThat(verdictAfter(GAP.multipliedBy(5))).isEqualTo(Verdict.SERVING);
        check.fail(new ConnectException("refused"));
        assertThat(checked).hasValue(1);
        assertThat(verdictAfter(Duration.ZERO)).isEqualTo(Verdict.DEAD);
    }

    /** Guards against taking a sound engine for dead because the packets of a check were lost. */
    @Test
    void checkWithoutResponseIsNoDeath() {
        check.fail(new ConnectTimeoutException());
        assertThat(verdictAfter(PAUSE)).isEqualTo(Verdict.SERVING);
        assertThat(verdictAfter(PAUSE)).isEqualTo(Verdict.UNREACHABLE);
    }

    /** Guards against a verdict on all engines after this process itself was paused. */
    @Test
    void noVerdictBeforeTheCheckHasEnded() {
        assertThat(verdictAfter(PAUSE.multipliedBy(10))).isEqualTo(Verdict.SERVING);
    }
}
