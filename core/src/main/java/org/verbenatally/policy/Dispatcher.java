package org.verbenatally.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
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
import org.verbenatally.core.Trait;
import org.verbenatally.time.TimerService;

/**
 * Admits, queues and routes requests. This is the facade of the package: the entry process owns one dispatcher and
 * acquires a target from it before each attempt. Safe for use by several threads.
 */
public final class Dispatcher implements AutoCloseable {
    /** Retry delay of a request with a quarantined trait, which will be refused for as long as that is remembered. */
    private static final Duration QUARANTINE_RETRY_AFTER = Duration.ofMinutes(15);

    /** A request that has been generating for longer than this has nothing to do with the crash of its target. */
    private static final Duration BEGUN_AFTER = Duration.ofSeconds(1);

    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(20);
    /** Number of periodic sweeps for one summary of the requests in flight; their remaining lengths change slowly. */
    private static final int SWEEPS_PER_SUMMARY = 10;

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final TimerService timer;
    private final TargetTable targets;
    private final SuspectTable suspects;
    private final CrashReporter crashes;
    private final PolicySuite policies;
    private final HistogramLengthModel lengthModel = new HistogramLengthModel();
    private final BudgetedRetryPolicy retryPolicy = new BudgetedRetryPolicy(this::isOverloaded);
    private final WaitEstimator waitEstimator = new WaitEstimator();
    private final Router router;
    private final TimerService.Subscription sweepSubscription;

    private final ReentrantLock lock = new ReentrantLock();
    private final FairQueue<PendingRequest> queue = new FairQueue<>();
    private final Map<OrganisationId, Integer> inFlightByOrganisation = new HashMap<>();
    private int inFlight;
    private int sweepCount;
    private boolean closed;

    private volatile Deployment deployment;

    /**
     * A request without a target.
     *
     * @param trial whether it shows if quarantined traits still crash targets, and is sent in spite of them
     */
    private record PendingRequest(WorkRequest request, boolean trial, CompletableFuture<InFlightRequest> future) {}

    /** A future that is completed after the lock has been released. */
    private record Completion(PendingRequest pending, DispatchedRequest dispatched, StepException failure) {
        void run() {
            if (failure != null) {
                pending.future().completeExceptionally(failure);
            } else if (!pending.future().complete(dispatched)) {
                dispatched.end(AttemptEnd.CANCELLED);
            }
        }
    }

    /**
     * Creates a dispatcher with the suite that the system property {@value PolicySuite#PROPERTY} names.
     *
     * @param timer the timer service of the process
     * @param targets the target table of the process
     * @param suspects the suspect table of the process
     * @param crashes exchanges reports of crashes with the other entries
     * @param failureDomain the failure domain in which this entry runs
     */
    public Dispatcher(
            TimerService timer,
            TargetTable targets,
            SuspectTable suspects,
            CrashReporter crashes,
            FailureDomain failureDomain) {
        this(timer, targets, suspects, crashes, failureDomain, PolicySuite.fromSystemProperty());
    }

    /**
     * Creates a dispatcher without peers.
     *
     * @param timer the timer service of the process
     * @param targets the target table of the process
     * @param suspects the suspect table of the process
     * @param failureDomain the failure domain in which this entry runs
     * @param policies the policies to use
     */
    public Dispatcher(
            TimerService timer,
            TargetTable targets,
            SuspectTable suspects,
            FailureDomain failureDomain,
            PolicySuite policies) {
        this(timer, targets, suspects, CrashReporter.withoutPeers(timer), failureDomain, policies);
    }

    private Dispatcher(
            TimerService timer,
            TargetTable targets,
            SuspectTable suspects,
            CrashReporter crashes,
            FailureDomain failureDomain,
            PolicySuite policies) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.targets = Objects.requireNonNull(targets, "targets");
        this.suspects = Objects.requireNonNull(suspects, "suspects");
        this.crashes = Objects.requireNonNull(crashes, "crashes");
        this.policies = Objects.requireNonNull(policies, "policies");
        this.router = new Router(timer, targets, suspects, policies, lengthModel, failureDomain);
        this.sweepSubscription = timer.every(SWEEP_INTERVAL, tick -> sweep());
    }

    /** Applies a deployment and passes it on to the target table and the router. */
    public void configure(Deployment deployment) {
        this.deployment = Objects.requireNonNull(deployment, "deployment");
        targets.configure(deployment);
        router.configure(deployment);
        dispatchQueued();
    }

    /**
     * Acquires a target for a request. The future completes as soon as the request may be sent to the target; the
     * caller must then end the returned request. Cancelling the future withdraws a request that is still queued.
     *
     * @return the request in flight; the future fails with a {@link StepException} of step {@code ADMIT} (refused,
     *     queue full, deadline) or {@code ROUTE} (no target may run the kind), with the outcome {@code NOT_RUN} and a
     *     {@code retryAfter}
     */
    public CompletableFuture<InFlightRequest> acquire(WorkRequest request) {
        Objects.requireNonNull(request, "request");
        PendingRequest pending = new PendingRequest(
                request, crashes.ledger().isQuarantined(request.traits()), new CompletableFuture<>());
        Completion completion;
        lock.lock();
        try {
            completion = closed ? refuse(pending, Step.ADMIT, "this entry is stopping", RETRY_AFTER) : decide(pending);
        } finally {
            lock.unlock();
        }
        if (completion != null) {
            completion.run();
        }
        return pending.future();
    }

    /** Decides on a new request; returns {@code null} if it is queued. */
    private Completion decide(PendingRequest pending) {
        WorkRequest request = pending.request();
        if (suspects.verdict(request.fingerprint()) == SuspectTable.Verdict.QUARANTINED) {
            return refuse(pending, Step.ADMIT, "the request crashes targets", RETRY_AFTER);
        }
        if (!crashes.ledger().tryAdmit(request.traits())) {
            return refuseQuarantined(pending);
        }
        if (!targets.hasEligibleTarget(request.kind())) {
            return refuse(pending, Step.ROUTE, "no target can run this kind now", RETRY_AFTER);
        }
        Kind kind = request.kind();
        boolean othersQueued = queue.size(kind.name()) > 0;
        Optional<TargetState> choice = othersQueued ? Optional.empty() : router.choose(request);
        return switch (policies.admission().decide(admissionInput(request, choice.isPresent()))) {
            case AdmissionDecision.Admit admit ->
                choice.isPresent()
                        ? new Completion(pending, dispatch(request, choice.get()), null)
                        : refuse(pending, Step.ADMIT, "no target has room", RETRY_AFTER);
            case AdmissionDecision.Queue wait -> {
                choice.ifPresent(state ->
                        suspects.release(request.fingerprint(), state.target().id()));
                enqueue(pending);
                yield null;
            }
            case AdmissionDecision.Refuse refusal -> {
                choice.ifPresent(state ->
                        suspects.release(request.fingerprint(), state.target().id()));
                yield refuse(pending, Step.ADMIT, refusal.reason(), refusal.retryAfter());
            }
        };
    }

    private AdmissionInput admissionInput(WorkRequest request, boolean hasCapacity) {
        OrganisationId organisation = request.organisation().id();
        double requestsAhead = queue.requestsAhead(
                request.kind(), organisation, request.organisation().share());
        return new AdmissionInput(
                request.kind(),
                request.organisation(),
                remainingTime(request),
                inFlight + queue.size(),
                inFlightByOrganisation.getOrDefault(organisation, 0) + queue.size(organisation),
                queue.size(),
                queue.size(organisation),
                deployment == null ? 0 : deployment.limits().maxQueued(),
                hasCapacity,
                waitEstimator.expectedWait(request.kind().name(), requestsAhead, timer.nanos()));
    }

    private void enqueue(PendingRequest pending) {
        WorkRequest request = pending.request();
        double cost = 1;
        if (request.kind().runsOn() == TargetType.ENGINE) {
            OrganisationId organisation = request.organisation().id();
            cost = request.promptTokens() + lengthModel.expectedRemaining(request.kind(), organisation, 0);
        }
        queue.add(
                request.kind(),
                request.organisation().id(),
                request.organisation().share(),
                new FairQueue.Item<>(pending, cost, timer.nanos()));
    }

    private DispatchedRequest dispatch(WorkRequest request, TargetState state) {
        DispatchedRequest dispatched = new DispatchedRequest(request, state, lengthModel, timer::nanos, this::onEnded);
        state.add(dispatched, timer.nanos());
        router.onDispatched(request, state);
        waitEstimator.recordStart(request.kind().name(), timer.nanos());
        inFlightByOrganisation.merge(request.organisation().id(), 1, Integer::sum);
        inFlight++;
        return dispatched;
    }

    /** Returns the retry policy, which draws on the retry budgets of this dispatcher. */
    public RetryPolicy retryPolicy() {
        return retryPolicy;
    }

    /** Returns the model of output lengths, which learns from completed requests. */
    public LengthModel lengthModel() {
        return lengthModel;
    }

    /** Returns the number of queued requests. */
    public int queuedRequests() {
        lock.lock();
        try {
            return queue.size();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of requests in flight. */
    public int inFlightRequests() {
        lock.lock();
        try {
            return inFlight;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the time until the deadline of a request, never negative. */
    public Duration remainingTime(WorkRequest request) {
        return Duration.ofNanos(Math.max(0, request.deadlineNanos() - timer.nanos()));
    }

    private boolean isOverloaded() {
        Deployment current = deployment;
        return current != null && queuedRequests() > current.limits().maxQueued() / 2;
    }

    private void onEnded(DispatchedRequest dispatched, AttemptEnd end) {
        TargetState state = dispatched.state();
        WorkRequest request = dispatched.request();
        OrganisationId organisation = request.organisation().id();
        List<DispatchedRequest> affected = state.remove(dispatched, end, timer.nanos());
        if (!affected.isEmpty()) {
            List<Fingerprint> fingerprints =
                    affected.stream().map(d -> d.request().fingerprint()).toList();
            suspects.recordCrash(
                    state.target().id(), fingerprints, fingerprints.size() == 1 && state.peerRequests() == 0);
            crashes.recordCrash(state.target().id(), 0, suspectedTraits(affected), Duration.ZERO);
        }
        suspects.release(request.fingerprint(), state.target().id());
        if (end == AttemptEnd.DONE) {
            suspects.clearSuspicion(request.fingerprint());
            crashes.recordServed(request.traits(), Duration.ofNanos(timer.nanos() - dispatched.startNanos()));
            retryPolicy.recordSuccess(organisation, state.target().id());
            if (request.kind().runsOn() == TargetType.ENGINE) {
                lengthModel.observe(request.kind(), organisation, dispatched.outputTokens());
            }
        } else if (end == AttemptEnd.REFUSED) {
            state.onRefused(timer.nanos());
        } else if (end == AttemptEnd.UNREACHABLE || end == AttemptEnd.CRASHED) {
            state.onUnreachable(timer.nanos());
        }
        lock.lock();
        try {
            inFlight--;
            inFlightByOrganisation.computeIfPresent(organisation, (id, count) -> count == 1 ? null : count - 1);
        } finally {
            lock.unlock();
        }
        dispatchQueued();
    }

    /** Returns the traits of requests that a target had only just begun to serve when it crashed, or not at all. */
    private Set<Trait> suspectedTraits(List<DispatchedRequest> affected) {
        long now = timer.nanos();
        Set<Trait> traits = new HashSet<>();
        for (DispatchedRequest dispatched : affected) {
            if (dispatched.outputTokens() == 0 || now - dispatched.firstTokenNanos() < BEGUN_AFTER.toNanos()) {
                traits.addAll(dispatched.request().traits());
            }
        }
        return traits;
    }

    private void sweep() {
        if (++sweepCount % SWEEPS_PER_SUMMARY == 0) {
            router.refreshSummary();
        }
        dispatchQueued();
    }

    private void dispatchQueued() {
        List<Completion> completions = new ArrayList<>();
        lock.lock();
        try {
            if (queue.size() == 0) {
                return;
            }
            long now = timer.nanos();
            for (PendingRequest removed : queue.removeIf(e -> isCancelledOrExpired(e.value(), now))) {
                completions.add(refuse(removed, Step.ADMIT, "the deadline passed while waiting", RETRY_AFTER));
            }
            while (queue.dispatch(now, pending -> tryDispatch(pending, completions))) {
                // Each round starts at most one request of each kind, so that the kinds take turns.
            }
        } finally {
            lock.unlock();
        }
        completions.forEach(Completion::run);
    }

    private static boolean isCancelledOrExpired(PendingRequest pending, long now) {
        return pending.future().isDone() || pending.request().deadlineNanos() - now <= 0;
    }

    private boolean tryDispatch(PendingRequest pending, List<Completion> completions) {
        WorkRequest request = pending.request();
        if (suspects.verdict(request.fingerprint()) == SuspectTable.Verdict.QUARANTINED) {
            completions.add(refuse(pending, Step.ADMIT, "the request crashes targets", RETRY_AFTER));
            return true;
        }
        if (!pending.trial() && crashes.ledger().isQuarantined(request.traits())) {
            completions.add(refuseQuarantined(pending));
            return true;
        }
        Optional<TargetState> choice = router.choose(request);
        choice.ifPresent(state -> completions.add(new Completion(pending, dispatch(request, state), null)));
        return choice.isPresent();
    }

    private static Completion refuseQuarantined(PendingRequest pending) {
        return refuse(pending, Step.ADMIT, "requests with the same prefix crash targets", QUARANTINE_RETRY_AFTER);
    }

    private static Completion refuse(PendingRequest pending, Step step, String message, Duration retryAfter) {
        String kind = pending.request().kind().name().value();
        return new Completion(pending, null, new StepException(step, kind, Outcome.NOT_RUN, message, null, retryAfter));
    }

    /** Refuses all queued requests and stops; requests in flight may still end afterwards. */
    @Override
    public void close() {
        sweepSubscription.cancel();
        List<PendingRequest> remaining;
        lock.lock();
        try {
            closed = true;
            remaining = queue.removeIf(e -> true);
        } finally {
            lock.unlock();
        }
        remaining.forEach(p ->
                refuse(p, Step.ADMIT, "this entry is stopping", RETRY_AFTER).run());
    }
}
