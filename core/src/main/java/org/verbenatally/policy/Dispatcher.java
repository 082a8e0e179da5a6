package org.verbenatally.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;

import org.verbenatally.config.Deployment;
import org.verbenatally.config.Kind;
import org.verbenatally.config.TargetType;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.time.TimerService;

/**
 * Admits, queues and routes requests. The facade of this package: the entry process owns one and asks it for a flight
 * before each attempt. Safe for use by several threads.
 */
public final class Dispatcher implements AutoCloseable {
    private static final Duration SWEEP = Duration.ofMillis(20);
    /** Flights are summarised this often; their remaining lengths change slowly. */
    private static final int SWEEPS_PER_VIEW = 10;

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final TimerService timer;
    private final TargetTable targets;
    private final SuspectTable suspects;
    private final PolicySuite policies;
    private final HistogramLengthModel lengths = new HistogramLengthModel();
    private final BudgetedRetryPolicy retries = new BudgetedRetryPolicy(this::overloaded);
    private final WaitEstimate waits = new WaitEstimate();
    private final Router router;
    private final TimerService.Subscription sweep;

    private final ReentrantLock lock = new ReentrantLock();
    private final FairQueue<Waiting> queue = new FairQueue<>();
    private final Map<OrganisationId, Integer> flying = new HashMap<>();
    private int open;
    private int sweeps;
    private boolean closed;

    private volatile Deployment deployment;

    private record Waiting(WorkRequest request, CompletableFuture<Flight> future) {}

    /** A future to complete after the lock has been released. */
    private record Completion(Waiting waiting, RunningFlight flight, StepException failure) {
        void run() {
            if (failure != null) {
                waiting.future().completeExceptionally(failure);
            } else if (!waiting.future().complete(flight)) {
                flight.end(FlightEnd.CANCELLED);
            }
        }
    }

    /**
     * Creates a dispatcher with the suite that the system property {@value PolicySuite#PROPERTY} names.
     *
     * @param timer the timer service of the process
     * @param targets the target table of the process
     * @param suspects the suspect table of the process
     * @param failureDomain where this entry runs
     */
    public Dispatcher(TimerService timer, TargetTable targets, SuspectTable suspects, FailureDomain failureDomain) {
        this(timer, targets, suspects, failureDomain, PolicySuite.fromSystemProperty());
    }

    /**
     * Creates a dispatcher.
     *
     * @param timer the timer service of the process
     * @param targets the target table of the process
     * @param suspects the suspect table of the process
     * @param failureDomain where this entry runs
     * @param policies the decisions to use
     */
    public Dispatcher(
            TimerService timer,
            TargetTable targets,
            SuspectTable suspects,
            FailureDomain failureDomain,
            PolicySuite policies) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.targets = Objects.requireNonNull(targets, "targets");
        this.suspects = Objects.requireNonNull(suspects, "suspects");
        this.policies = Objects.requireNonNull(policies, "policies");
        this.router = new Router(timer, targets, suspects, policies, lengths, failureDomain);
        this.sweep = timer.every(SWEEP, tick -> sweep());
    }

    /** Takes a deployment; passes it on to the target table. */
    public void configure(Deployment deployment) {
        this.deployment = Objects.requireNonNull(deployment, "deployment");
        targets.configure(deployment);
        router.configure(deployment);
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
        Waiting waiting = new Waiting(request, new CompletableFuture<>());
        Completion completion;
        lock.lock();
        try {
            completion = closed ? refuse(waiting, Step.ADMIT, "this entry is stopping", RETRY_AFTER) : decide(waiting);
        } finally {
            lock.unlock();
        }
        if (completion != null) {
            completion.run();
        }
        return waiting.future();
    }

    /** Decides on a new request; returns {@code null} if it waits. */
    private Completion decide(Waiting waiting) {
        WorkRequest request = waiting.request();
        if (suspects.check(request.fingerprint()) == SuspectTable.Verdict.QUARANTINED) {
            return refuse(waiting, Step.ADMIT, "the request crashes targets", RETRY_AFTER);
        }
        if (!targets.anyMayRun(request.kind())) {
            return refuse(waiting, Step.ROUTE, "no target can run this kind now", RETRY_AFTER);
        }
        Kind kind = request.kind();
        boolean behind = queue.size(kind.name()) > 0;
        Optional<TargetState> choice = behind ? Optional.empty() : router.choose(request);
        return switch (policies.admission().decide(input(request, choice.isPresent()))) {
            case AdmissionDecision.Admit admit ->
                choice.isPresent()
                        ? new Completion(waiting, start(request, choice.get()), null)
                        : refuse(waiting, Step.ADMIT, "no target has room", RETRY_AFTER);
            case AdmissionDecision.Queue wait -> {
                choice.ifPresent(state ->
                        suspects.release(request.fingerprint(), state.target().id()));
                enqueue(waiting);
                yield null;
            }
            case AdmissionDecision.Refuse refusal -> {
                choice.ifPresent(state ->
                        suspects.release(request.fingerprint(), state.target().id()));
                yield refuse(waiting, Step.ADMIT, refusal.reason(), refusal.retryAfter());
            }
        };
    }

    private AdmissionInput input(WorkRequest request, boolean room) {
        OrganisationId organisation = request.organisation().id();
        double ahead =
                queue.ahead(request.kind(), organisation, request.organisation().share());
        return new AdmissionInput(
                request.kind(),
                request.organisation(),
                timeLeft(request),
                open + queue.size(),
                flying.getOrDefault(organisation, 0) + queue.size(organisation),
                queue.size(),
                queue.size(organisation),
                deployment == null ? 0 : deployment.limits().maxQueued(),
                room,
                waits.expected(request.kind().name(), ahead, timer.nanos()));
    }

    private void enqueue(Waiting waiting) {
        WorkRequest request = waiting.request();
        double cost = 1;
        if (request.kind().runsOn() == TargetType.ENGINE) {
            OrganisationId organisation = request.organisation().id();
            cost = request.promptTokens() + lengths.expectedRemaining(request.kind(), organisation, 0);
        }
        queue.add(
                request.kind(),
                request.organisation().id(),
                request.organisation().share(),
                new FairQueue.Entry<>(waiting, cost, timer.nanos()));
    }

    private RunningFlight start(WorkRequest request, TargetState state) {
        RunningFlight flight = new RunningFlight(request, state, lengths, timer::nanos, this::ended);
        state.started(flight, timer.nanos());
        router.started(request, state);
        waits.started(request.kind().name(), timer.nanos());
        flying.merge(request.organisation().id(), 1, Integer::sum);
        open++;
        return flight;
    }

    /** Returns the retry policy, which shares this dispatcher's budgets. */
    public RetryPolicy retries() {
        return retries;
    }

    /** Returns the model of output lengths, which learns from the flights that end. */
    public LengthModel lengths() {
        return lengths;
    }

    /** Returns the number of requests that wait. */
    public int queued() {
        lock.lock();
        try {
            return queue.size();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of flights that have not ended. */
    public int open() {
        lock.lock();
        try {
            return open;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the time until a deadline of {@link WorkRequest}, never negative. */
    public Duration timeLeft(WorkRequest request) {
        return Duration.ofNanos(Math.max(0, request.deadlineNanos() - timer.nanos()));
    }

    private boolean overloaded() {
        Deployment present = deployment;
        return present != null && queued() > present.limits().maxQueued() / 2;
    }

    private void ended(RunningFlight flight, FlightEnd end) {
        TargetState state = flight.state();
        WorkRequest request = flight.request();
        OrganisationId organisation = request.organisation().id();
        List<RunningFlight> crashed = state.ended(flight, end, timer.nanos());
        if (!crashed.isEmpty()) {
            List<Fingerprint> there =
                    crashed.stream().map(f -> f.request().fingerprint()).toList();
            suspects.crashed(state.target().id(), there, there.size() == 1 && state.peerRequests() == 0);
        }
        suspects.release(request.fingerprint(), state.target().id());
        if (end == FlightEnd.DONE) {
            suspects.cleared(request.fingerprint());
            retries.success(organisation, state.target().id());
            if (request.kind().runsOn() == TargetType.ENGINE) {
                lengths.finished(request.kind(), organisation, flight.tokens());
            }
        } else if (end == FlightEnd.REFUSED) {
            state.refused(timer.nanos());
        } else if (end == FlightEnd.UNREACHABLE || end == FlightEnd.CRASHED) {
            state.unreachable(timer.nanos());
        }
        lock.lock();
        try {
            open--;
            flying.computeIfPresent(organisation, (id, count) -> count == 1 ? null : count - 1);
        } finally {
            lock.unlock();
        }
        drain();
    }

    private void sweep() {
        if (++sweeps % SWEEPS_PER_VIEW == 0) {
            router.renewView();
        }
        drain();
    }

    private void drain() {
        List<Completion> completions = new ArrayList<>();
        lock.lock();
        try {
            if (queue.size() == 0) {
                return;
            }
            long now = timer.nanos();
            for (Waiting late : queue.removeIf(e -> isOver(e.value(), now))) {
                completions.add(refuse(late, Step.ADMIT, "the deadline passed while waiting", RETRY_AFTER));
            }
            while (queue.offer(now, waiting -> take(waiting, completions))) {
                // Each round starts at most one request of each kind, so that kinds take turns.
            }
        } finally {
            lock.unlock();
        }
        completions.forEach(Completion::run);
    }

    private static boolean isOver(Waiting waiting, long now) {
        return waiting.future().isDone() || waiting.request().deadlineNanos() - now <= 0;
    }

    private boolean take(Waiting waiting, List<Completion> completions) {
        WorkRequest request = waiting.request();
        if (suspects.check(request.fingerprint()) == SuspectTable.Verdict.QUARANTINED) {
            completions.add(refuse(waiting, Step.ADMIT, "the request crashes targets", RETRY_AFTER));
            return true;
        }
        Optional<TargetState> choice = router.choose(request);
        choice.ifPresent(state -> completions.add(new Completion(waiting, start(request, state), null)));
        return choice.isPresent();
    }

    private static Completion refuse(Waiting waiting, Step step, String message, Duration retryAfter) {
        String kind = waiting.request().kind().name().value();
        return new Completion(waiting, null, new StepException(step, kind, Outcome.NOT_RUN, message, null, retryAfter));
    }

    /** Refuses what waits and stops; flights may still end afterwards. */
    @Override
    public void close() {
        sweep.cancel();
        List<Waiting> left;
        lock.lock();
        try {
            closed = true;
            left = queue.removeIf(e -> true);
        } finally {
            lock.unlock();
        }
        left.forEach(w ->
                refuse(w, Step.ADMIT, "this entry is stopping", RETRY_AFTER).run());
    }
}
