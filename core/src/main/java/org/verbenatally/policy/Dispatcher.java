package org.verbenatally.policy;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.verbenatally.config.Deployment;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.time.TimerService;

/**
 * Admits, queues and routes requests. The facade of this package: the entry process owns one and asks it for a flight
 * before each attempt. Safe for use by several threads.
 */
public final class Dispatcher implements AutoCloseable {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final TimerService timer;
    private final TargetTable targets;
    private final SuspectTable suspects;
    private final BudgetedRetryPolicy retries = new BudgetedRetryPolicy();
    private final Deque<Waiting> queue = new ArrayDeque<>();
    private final TimerService.Subscription sweep;

    private volatile Deployment deployment;

    private record Waiting(WorkRequest request, CompletableFuture<Flight> future) {}

    /**
     * Creates a dispatcher with the default policy.
     *
     * @param timer the timer service of the process
     * @param targets the target table of the process
     * @param suspects the suspect table of the process
     * @param failureDomain where this entry runs
     */
    public Dispatcher(TimerService timer, TargetTable targets, SuspectTable suspects, FailureDomain failureDomain) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.targets = Objects.requireNonNull(targets, "targets");
        this.suspects = Objects.requireNonNull(suspects, "suspects");
        Objects.requireNonNull(failureDomain, "failureDomain");
        this.sweep = timer.every(Duration.ofMillis(20), tick -> drain());
    }

    /** Takes a deployment; passes it on to the target table. */
    public void configure(Deployment deployment) {
        this.deployment = Objects.requireNonNull(deployment, "deployment");
        targets.configure(deployment);
        drain();
    }

    /**
     * Asks for a target. The future completes when the request may be sent there at once, and the caller must then end
     * the flight. Cancelling the future withdraws a request that waits.
     *
     * @return the flight; fails with a {@link StepException} of step {@code ADMIT} (refused, queue full, deadline) or
     *     {@code ROUTE} (no target may run the kind), outcome {@code NOT_RUN}, with {@code retryAfter}
     */
    public CompletableFuture<Flight> acquire(WorkRequest request) {
        Objects.requireNonNull(request, "request");
        CompletableFuture<Flight> future = new CompletableFuture<>();
        SuspectTable.Verdict verdict = suspects.check(request.fingerprint());
        if (verdict == SuspectTable.Verdict.QUARANTINED) {
            future.completeExceptionally(refusal(Step.ADMIT, request, "the request crashes targets"));
            return future;
        }
        if (targets.states().stream().noneMatch(s -> s.mayRun(request.kind()))) {
            future.completeExceptionally(refusal(Step.ROUTE, request, "no target can run this kind now"));
            return future;
        }
        Optional<RunningFlight> flight = tryStart(request);
        if (flight.isPresent()) {
            future.complete(flight.get());
            return future;
        }
        int bound = deployment == null ? 0 : deployment.limits().maxQueued();
        synchronized (queue) {
            if (queue.size() < bound) {
                queue.add(new Waiting(request, future));
                return future;
            }
        }
        future.completeExceptionally(refusal(Step.ADMIT, request, "too many requests wait"));
        return future;
    }

    /** Returns the retry policy, which shares this dispatcher's budgets. */
    public RetryPolicy retries() {
        return retries;
    }

    /** Returns the number of requests that wait. */
    public int queued() {
        synchronized (queue) {
            return queue.size();
        }
    }

    private Optional<RunningFlight> tryStart(WorkRequest request) {
        List<TargetState> candidates = targets.states().stream()
                .filter(s -> s.mayRun(request.kind())
                        && !request.exclude().contains(s.target.id())
                        && s.ownRequests.get() < s.target.maxConcurrent())
                .sorted(Comparator.comparingInt(s -> s.ownRequests.get()))
                .toList();
        for (TargetState state : candidates) {
            if (suspects.reserve(request.fingerprint(), state.target.id())) {
                RunningFlight flight = new RunningFlight(request, state, this);
                state.flights.add(flight);
                state.ownRequests.incrementAndGet();
                state.ownTokens.addAndGet(flight.heldTokens());
                return Optional.of(flight);
            }
        }
        return Optional.empty();
    }

    void ended(RunningFlight flight, FlightEnd end) {
        TargetState state = flight.state;
        if (end == FlightEnd.CRASHED && state.flights.contains(flight)) {
            List<RunningFlight> running = List.copyOf(state.flights);
            running.forEach(state.flights::remove);
            suspects.crashed(
                    state.target.id(),
                    running.stream().map(f -> f.request.fingerprint()).toList(),
                    running.size() == 1 && state.peerRequests == 0);
        }
        state.flights.remove(flight);
        state.ownRequests.decrementAndGet();
        state.ownTokens.addAndGet(-flight.heldTokens());
        suspects.release(flight.request.fingerprint(), state.target.id());
        if (end == FlightEnd.DONE) {
            suspects.cleared(flight.request.fingerprint());
            retries.success(flight.request.organisation().id(), state.target.id());
        }
        drain();
    }

    private void drain() {
        while (true) {
            Waiting next;
            Optional<RunningFlight> flight = Optional.empty();
            synchronized (queue) {
                next = queue.peek();
                if (next == null) {
                    return;
                }
                boolean late = next.request().deadlineNanos() - timer.nanos() <= 0;
                if (!late && !next.future().isDone()) {
                    flight = tryStart(next.request());
                    if (flight.isEmpty()) {
                        return;
                    }
                }
                queue.remove();
            }
            complete(next, flight);
        }
    }

    private void complete(Waiting waiting, Optional<RunningFlight> flight) {
        if (flight.isEmpty()) {
            waiting.future()
                    .completeExceptionally(refusal(Step.ADMIT, waiting.request(), "the deadline passed while waiting"));
        } else if (!waiting.future().complete(flight.get())) {
            flight.get().end(FlightEnd.CANCELLED);
        }
    }

    private static StepException refusal(Step step, WorkRequest request, String message) {
        String kind = request.kind().name().value();
        return new StepException(step, kind, Outcome.NOT_RUN, message, null, RETRY_AFTER);
    }

    /** Returns the time until a deadline of {@link WorkRequest}, never negative. */
    public Duration timeLeft(WorkRequest request) {
        return Duration.ofNanos(Math.max(0, request.deadlineNanos() - timer.nanos()));
    }

    @Override
    public void close() {
        sweep.cancel();
        List<Waiting> left;
        synchronized (queue) {
            left = List.copyOf(queue);
            queue.clear();
        }
        left.forEach(w -> w.future().completeExceptionally(refusal(Step.ADMIT, w.request(), "this entry is stopping")));
    }
}
