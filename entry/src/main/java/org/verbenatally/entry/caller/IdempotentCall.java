package org.verbenatally.entry.caller;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.TargetId;
import org.verbenatally.entry.key.CallResult;
import org.verbenatally.policy.FlightEnd;

/**
 * One idempotent call of a plain service. After a silence or a failure it is tried again on a new connection while the
 * first attempt may still answer; the first answer wins.
 */
final class IdempotentCall {
    private static final Duration SILENCE = Duration.ofSeconds(2);

    private final ServiceCalls calls;
    private final Vertx vertx;
    private final Exchange exchange;
    private final ServiceCalls.Call call;
    private final Promise<CallResult> answer = Promise.promise();
    private final Set<TargetId> tried = new HashSet<>();
    private int attempts;
    private int running;
    private int sent;
    private boolean mayHaveRun;

    IdempotentCall(ServiceCalls calls, Vertx vertx, Exchange exchange, ServiceCalls.Call call) {
        this.calls = calls;
        this.vertx = vertx;
        this.exchange = exchange;
        this.call = call;
    }

    /** Waits for the result; must be called in a virtual-thread task. */
    CallResult run() {
        launch();
        long silence = vertx.setTimer(SILENCE.toMillis(), id -> onSilence());
        try {
            return answer.future().await();
        } finally {
            vertx.cancelTimer(silence);
        }
    }

    private synchronized void launch() {
        attempts++;
        running++;
        int number = attempts;
        Set<TargetId> exclude = tried.size() >= calls.parts().enginesFor(call.kind()) ? Set.of() : Set.copyOf(tried);
        calls.context().runOnContext(v -> {
            exchange.note("attempt " + number);
            ServiceCalls.Attempt attempt = calls.attempt(call, exclude, number > 1, () -> onSend());
            onEnd(attempt);
        });
    }

    private synchronized boolean onSend() {
        sent++;
        return !answer.future().isComplete();
    }

    private void onSilence() {
        synchronized (this) {
            // An attempt that still waits for its turn is not silent.
            if (answer.future().isComplete() || running != 1 || sent == 0 || attempts > 1) {
                return;
            }
            if (call.kind().maxAttempts() < 2) {
                return;
            }
        }
        exchange.note("no answer for " + SILENCE.toMillis() + " ms, trying once more");
        again();
    }

    private void onEnd(ServiceCalls.Attempt attempt) {
        Optional<Duration> delay = Optional.empty();
        synchronized (this) {
            running--;
            mayHaveRun |= attempt.sent();
            attempt.target().ifPresent(tried::add);
            boolean settled = attempt.end() == FlightEnd.DONE || answer.future().isComplete();
            // A call whose bytes have left gets one further attempt; one that was refused may get more.
            boolean mayRetry = !settled && attempt.target().isPresent() && running == 0 && sent < 2 + refusals(attempt);
            if (mayRetry) {
                delay = calls.decide(call, attempt, attempts);
            }
            if (delay.isEmpty()) {
                if (settled || running == 0) {
                    answer.tryComplete(result(attempt.result()));
                }
                return;
            }
        }
        exchange.note("retry: " + attempt.result().message());
        vertx.setTimer(Math.max(1, delay.get().toMillis()), id -> again());
    }

    private static int refusals(ServiceCalls.Attempt attempt) {
        return attempt.end() == FlightEnd.REFUSED ? Integer.MAX_VALUE - 2 : 0;
    }

    private void again() {
        calls.parts().metrics().retried(call.kind().name());
        launch();
    }

    private CallResult result(CallResult last) {
        return mayHaveRun && last.outcome() == Outcome.NOT_RUN
                ? CallResult.failed(Outcome.UNKNOWN, last.step().orElseThrow(), last.peer(), last.message())
                : last;
    }
}
