package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import org.verbenatally.core.TargetId;

/**
 * Decides when and where a generation starts: at once where it can be on time, else after a short wait, else as filling
 * work that yields to others, and not at all where it would only wait in vain.
 */
final class EngineAdmission {
    /** Part of its objective that a generation waits for an engine; its caller learns soon that it must come back. */
    private static final int WAIT_DIVISOR = 8;
    /** Time kept for the network and for the other generations of the engine, besides the reading of prompts. */
    private static final Duration START_MARGIN = Duration.ofMillis(200);
    /** Room that comes with time alone, such as the end of a suspension, is looked for in this period. */
    private static final Duration CAPACITY_CHECK_INTERVAL = Duration.ofMillis(100);

    /**
     * Part of the time left after which a refused caller is asked to come back. Room for a long generation comes with
     * the end of others, or with an engine that replaces one, both of which take seconds; a caller that comes back
     * sooner is refused again.
     */
    private static final int RETRY_AFTER_DIVISOR = 8;

    /** One generation of an engine ends about each second. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(750);
    /** An engine is replaced within about this time. */
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(5);
    /** Callers that were refused together come back spread over this part of the time. */
    private static final int JITTER_DIVISOR = 2;
    /** Callers do not wait longer than this part of the time left. */
    private static final int LATEST_RETRY_DIVISOR = 3;

    private final ForwardComponents components;

    /**
     * Where a generation starts.
     *
     * @param state the engine
     * @param urgency its rank there
     */
    record Admitted(TargetState targetState, Urgency urgency) {}

    EngineAdmission(ForwardComponents components) {
        this.components = Objects.requireNonNull(components, "components");
    }

    /**
     * Returns when a caller that was refused should come back.
     *
     * @param remaining how long its answer is of use
     */
    static Duration retryAfter(Duration remaining) {
        long part = remaining.toMillis() / RETRY_AFTER_DIVISOR;
        long base = Math.clamp(part, MIN_RETRY_AFTER.toMillis(), MAX_RETRY_AFTER.toMillis());
        long jitter = ThreadLocalRandom.current().nextLong(base / JITTER_DIVISOR);
        return Duration.ofMillis(
                Math.clamp(base + jitter, 0, Math.max(0, remaining.toMillis() / LATEST_RETRY_DIVISOR)));
    }

    /** Returns the engine for a generation, after waiting shortly for room; empty if all are too full. */
    Optional<Admitted> await(
            ForwardedRequest request, Generation generation, CallerExchange caller, Set<TargetId> exclude) {
        long start = components.timer().nanos();
        Duration maxWait = request.route().objective().dividedBy(WAIT_DIVISOR);
        WaitQueue.Position position = components
                .waitQueue()
                .enter(request.service().name(), request.route().priority(), start + maxWait.toNanos());
        if (position == null) {
            return Optional.empty();
        }
        try {
            while (!caller.isGone()) {
                Duration waited = Duration.ofNanos(components.timer().nanos() - start);
                boolean mayWait = waited.compareTo(maxWait) <= 0;
                if (!mayWait || components.waitQueue().isNext(request.service().name(), position)) {
                    Optional<TargetState> state =
                            components.chooser().chooseEngine(request.service(), generation, exclude);
                    if (state.isEmpty() || mayStart(request, generation, state.get(), waited)) {
                        return state.map(engine -> new Admitted(engine, Urgency.NORMAL));
                    }
                    if (!mayWait) {
                        double share = components
                                .chooser()
                                .fillingMemoryShare(request.service().name());
                        return state.filter(engine ->
                                        components.chooser().hasCapacity(request.service(), generation, engine, share))
                                .map(engine -> new Admitted(engine, Urgency.FILLING));
                    }
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
            return Optional.empty();
        } finally {
            components.waitQueue().leave(request.service().name(), position);
        }
    }

    /** Tells whether an engine has the memory for a generation, and can read its prompt in time. */
    private boolean mayStart(ForwardedRequest request, Generation generation, TargetState state, Duration waited) {
        Duration limit = request.route().objective().minus(waited).minus(START_MARGIN);
        // Short generations end before they would have to move.
        double share = generation.isLong()
                ? components.chooser().newWorkMemoryShare(request.service().name())
                : TargetChooser.PLANNED_MEMORY_SHARE;
        return components.chooser().hasCapacity(request.service(), generation, state, share)
                && components.chooser().promptReadTime(state, generation).compareTo(limit) <= 0;
    }
}
