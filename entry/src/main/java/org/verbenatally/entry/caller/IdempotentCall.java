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
import org.verbenatally.policy.AttemptEnd;

/**
 * One idempotent call of a plain service. If the first attempt has not responded after {@link #HEDGE_DELAY}, a second
 * one is started on a new connection while the first may still respond (a hedged request); the first response wins. A
 * failed attempt is retried as the retry policy allows.
 */
final class IdempotentCall {
    private static final Duration HEDGE_DELAY = Duration.ofSeconds(2);

    private final ServiceCalls calls;
    private final Vertx vertx;
    private final Exchange exchange;
    private final ServiceCalls.Call call;
    private final Promise<CallResult> result = Promise.promise();
    private final Set<TargetId> triedTargets = new HashSet<>();
    private int startedAttempts;
    private int runningAttempts;
    private int sentAttempts;
    private boolean mayHaveRun;

    IdempotentCall(ServiceCalls calls, Vertx vertx, Exchange exchange, ServiceCalls.Call call) {
        this.calls = calls;
        this.vertx = vertx;
        this.exchange = exchange;
        this.call = call;
    }

    /** Waits for the result; must be called in a virtual-thread task. */
    CallResult run() {
        startAttempt();
        long hedgeTimer = vertx.setTimer(HEDGE_DELAY.toMillis(), id -> onHedgeDelay());
        try {
            return result.future().await();
        } finally {
            vertx.cancelTimer(hedgeTimer);
        }
    }

    private synchronized void startAttempt() {
        startedAttempts++;
        runningAttempts++;
        int number = startedAttempts;
        Set<TargetId> exclude = triedTargets.size() >= calls.components().targetCount(call.kind())
                ? Set.of()
                : Set.copyOf(triedTargets);
        calls.context().runOnContext(v -> {
            exchange.addTraceStep("attempt " + number);
            ServiceCalls.Attempt attempt = calls.runAttempt(call, exclude, number > 1, () -> onSend());
            onEnd(attempt);
        });
    }

    /** Counts an attempt that is about to send its first byte; returns whether it may do so. */
    private synchronized boolean onSend() {
        sentAttempts++;
        return !result.future().isComplete();
    }

    private void onHedgeDelay() {
        synchronized (this) {
            // An attempt that is still queued has sent nothing yet, so no response can be overdue.
            if (result.future().isComplete() || runningAttempts != 1 || sentAttempts == 0 || startedAttempts > 1) {
                return;
            }
            if (call.kind().maxAttempts() < 2) {
                return;
            }
        }
        exchange.addTraceStep("no response for " + HEDGE_DELAY.toMillis() + " ms, starting a second attempt");
        startRetry();
    }

    private void onEnd(ServiceCalls.Attempt attempt) {
        Optional<Duration> delay = Optional.empty();
        synchronized (this) {
            runningAttempts--;
            mayHaveRun |= attempt.mayHaveRun();
            attempt.target().ifPresent(triedTargets::add);
            boolean settled =
                    attempt.end() == AttemptEnd.DONE || result.future().isComplete();
            // Once bytes have been sent, only one further attempt is made; a refused call may be sent more often.
            boolean mayRetry = !settled
                    && attempt.target().isPresent()
                    && runningAttempts == 0
                    && sentAttempts < 2 + extraSends(attempt);
            if (mayRetry) {
                delay = calls.retryDelay(call, attempt, startedAttempts);
            }
            if (delay.isEmpty()) {
                if (settled || runningAttempts == 0) {
                    result.tryComplete(finalResult(attempt.result()));
                }
                return;
            }
        }
        exchange.addTraceStep("retry: " + attempt.result().message());
        vertx.setTimer(Math.max(1, delay.get().toMillis()), id -> startRetry());
    }

    private static int extraSends(ServiceCalls.Attempt attempt) {
        return attempt.end() == AttemptEnd.REFUSED ? Integer.MAX_VALUE - 2 : 0;
    }

    private void startRetry() {
        calls.components().metrics().countRetry(call.kind().name());
        startAttempt();
    }

    private CallResult finalResult(CallResult last) {
        return mayHaveRun && last.outcome() == Outcome.NOT_RUN
                ? CallResult.failed(Outcome.UNKNOWN, last.step().orElseThrow(), last.peer(), last.message())
                : last;
    }
}
