package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.verbenatally.core.ServiceName;
import org.verbenatally.core.TargetId;
import org.verbenatally.forward.admission.MemoryLimits;
import org.verbenatally.forward.admission.OfferedLoad;

/**
 * Decides when and where a generation starts: at once where it can be on time, otherwise after a short wait, otherwise
 * as filling work that yields to others. A generation that would only wait in vain is not started.
 */
final class EngineAdmission {
    /**
     * A generation waits for an engine for at most the objective of its route divided by this, so that its caller
     * learns early that it must retry.
     */
    private static final int WAIT_DIVISOR = 8;
    /** Time reserved for the network and for the engine's other generations, in addition to reading prompts. */
    private static final Duration START_MARGIN = Duration.ofMillis(200);
    /**
     * Interval at which to check for capacity that becomes free with time alone, such as at the end of a suspension.
     */
    private static final Duration CAPACITY_CHECK_INTERVAL = Duration.ofMillis(100);

    private final ForwardComponents components;

    /** Whether and where a generation starts. */
    sealed interface Decision permits Admitted, Refused {}

    /**
     * Where a generation starts.
     *
     * @param targetState the engine
     * @param rank its admission rank there
     */
    record Admitted(TargetState targetState, AdmissionRank rank) implements Decision {}

    /**
     * Why a generation does not start.
     *
     * @param reason reason for logs and metrics, one of a few
     */
    record Refused(String reason) implements Decision {}

    private static final Refused NO_CAPACITY = new Refused("no engine with room");
    /** Distinguished from a lack of capacity, since the caller gains nothing by the same request. */
    private static final Refused TOO_LATE = new Refused("no start in time");

    EngineAdmission(ForwardComponents components) {
        this.components = Objects.requireNonNull(components, "components");
    }

    /**
     * Records that a caller asks for a generation, which counts as demand of its rank whether or not it starts. Until
     * a generation of its rank has ended, it is expected to use an engine for as long as the objective of its route.
     */
    void onArrival(ForwardedRequest request, Generation generation) {
        components
                .reservations()
                .onArrival(
                        request.service().name(),
                        request.rank(),
                        generation.isLong(),
                        // A request that states more than an engine holds is refused.
                        Math.min(
                                generation.expectedMemory(0),
                                request.service().engine().orElseThrow().memoryTokens()),
                        request.route().objective());
    }

    /** Records for how long a generation has used engines. */
    void onEnd(ForwardedRequest request, Generation generation, Duration duration) {
        components.reservations().onEnd(request.service().name(), request.rank(), generation.isLong(), duration);
    }

    /** Chooses the engine for a generation, waiting briefly for capacity, or refuses it if all engines are too full. */
    Decision await(ForwardedRequest request, Generation generation, CallerExchange caller, Set<TargetId> exclude) {
        Decision decision = canStartInTime(request, generation, exclude)
                ? awaitCapacity(request, generation, caller, exclude)
                : TOO_LATE;
        if (!caller.isGone()) {
            components
                    .metrics()
                    .countAdmission(
                            request.rank(),
                            switch (decision) {
                                case Admitted admitted -> isFilling(admitted.rank()) ? "filling" : "started";
                                case Refused refused -> "refused";
                            });
        }
        return decision;
    }

    private static boolean isFilling(AdmissionRank rank) {
        return rank == AdmissionRank.FILLING || rank == AdmissionRank.FILLING_OUTRANKED;
    }

    private boolean canStartInTime(ForwardedRequest request, Generation generation, Set<TargetId> exclude) {
        return canStartInTime(
                generation,
                request.service().engine().orElseThrow().memoryTokens(),
                components.chooser().shortestReadTime(request.service().name(), generation, exclude),
                request.remaining(components.timer().nanos()));
    }

    /**
     * Returns whether an engine can hold the prompt at all, and some engine can read it before the deadline.
     *
     * @param engineTokens memory of an engine, in tokens
     * @param readTime shortest time in which an engine reads the prompt; empty if there is no engine now
     * @param remaining time until the deadline
     */
    static boolean canStartInTime(
            Generation generation, long engineTokens, Optional<Duration> readTime, Duration remaining) {
        return generation.promptTokens() < engineTokens
                && readTime.filter(time -> time.compareTo(remaining) > 0).isEmpty();
    }

    private Decision awaitCapacity(
            ForwardedRequest request, Generation generation, CallerExchange caller, Set<TargetId> exclude) {
        ServiceName service = request.service().name();
        long start = components.timer().nanos();
        Duration longestWait = request.route().objective().dividedBy(WAIT_DIVISOR);
        Duration remaining = request.remaining(start);
        Duration maxWait = remaining.compareTo(longestWait) < 0 ? remaining : longestWait;
        WaitQueue.Position position = components
                .waitQueue()
                .enter(
                        service,
                        new WaitQueue.Candidate(
                                request.queueRank(),
                                request.organisation(),
                                generation.promptTokens() + generation.expectedRemaining(0),
                                start + maxWait.toNanos()));
        if (position == null) {
            return NO_CAPACITY;
        }
        Optional<Decision> decision = Optional.empty();
        boolean hasWaited = false;
        try {
            while (!caller.isGone()) {
                Duration waited = Duration.ofNanos(components.timer().nanos() - start);
                boolean mayWait = waited.compareTo(maxWait) <= 0;
                if (!mayWait || components.waitQueue().isNext(service, position)) {
                    decision = tryStart(request, generation, exclude, waited, mayWait);
                    if (decision.isPresent()) {
                        return decision.get();
                    }
                    components.waitQueue().onBlocked(service, position);
                }
                if (!hasWaited) {
                    hasWaited = true;
                    components.metrics().countAdmission(request.rank(), "waited");
                }
                Duration remainingWait = maxWait.minus(waited);
                components
                        .waitQueue()
                        .await(
                                position,
                                mayWait && remainingWait.compareTo(CAPACITY_CHECK_INTERVAL) < 0
                                        ? remainingWait
                                        : CAPACITY_CHECK_INTERVAL);
            }
            return NO_CAPACITY;
        } finally {
            components
                    .waitQueue()
                    .leave(
                            service,
                            position,
                            decision.filter(Admitted.class::isInstance).isPresent());
        }
    }

    /** Decides on a generation that may start next or may wait no longer; empty if it is to go on waiting. */
    private Optional<Decision> tryStart(
            ForwardedRequest request, Generation generation, Set<TargetId> exclude, Duration waited, boolean mayWait) {
        boolean outranked = request.rank().isClearlyOutranked();
        MemoryLimits limits = memoryLimits(request, generation);
        Optional<TargetState> onTime = choose(
                request, generation, exclude, engine -> mayStart(request, generation, engine, limits.normal(), waited));
        if (onTime.isPresent()) {
            return Optional.of(
                    new Admitted(onTime.get(), outranked ? AdmissionRank.NORMAL_OUTRANKED : AdmissionRank.NORMAL));
        }
        if (mayWait && components.chooser().hasEngine(request.service().name(), exclude)) {
            return Optional.empty();
        }
        return Optional.of(
                choose(request, generation, exclude, engine -> mayFill(request, generation, engine, limits.filling()))
                        .<Decision>map(engine -> new Admitted(
                                engine, outranked ? AdmissionRank.FILLING_OUTRANKED : AdmissionRank.FILLING))
                        .orElse(NO_CAPACITY));
    }

    private Optional<TargetState> choose(
            ForwardedRequest request, Generation generation, Set<TargetId> exclude, Predicate<TargetState> eligible) {
        return components
                .chooser()
                .chooseEngine(request.service(), generation, request.route().eventGapObjective(), exclude, eligible);
    }

    /** Returns whether an engine has the memory for a generation and can read its prompt in time. */
    private boolean mayStart(
            ForwardedRequest request, Generation generation, TargetState state, double share, Duration waited) {
        Duration limit = request.route().objective().minus(waited).minus(START_MARGIN);
        return components.chooser().hasCapacity(request.service(), generation, state, share)
                && components.chooser().promptReadTime(state, generation).compareTo(limit) <= 0;
    }

    /** Returns whether an engine may get a generation as filling work that it can read before the deadline. */
    private boolean mayFill(ForwardedRequest request, Generation generation, TargetState state, double share) {
        Duration remaining = request.remaining(components.timer().nanos());
        return components.chooser().hasCapacity(request.service(), generation, state, share)
                && components.chooser().promptReadTime(state, generation).compareTo(remaining) <= 0;
    }

    /** Returns how full an engine may be for a generation, with what is reserved for more urgent ones. */
    private MemoryLimits memoryLimits(ForwardedRequest request, Generation generation) {
        ServiceName service = request.service().name();
        // Short generations end before they would have to migrate.
        var unreserved = new MemoryLimits(
                generation.isLong()
                        ? components.chooser().newWorkMemoryShare(service)
                        : TargetChooser.PLANNED_MEMORY_SHARE,
                components.chooser().fillingMemoryShare(service));
        var pool = new OfferedLoad.Pool(
                components.members().getAsInt(),
                components.directory().candidates(service).size(),
                request.service().engine().orElseThrow().memoryTokens());
        return unreserved.withReserve(
                request.rank(),
                generation.isLong(),
                components.reservations().reserveAgainst(service, request.rank(), pool));
    }
}
