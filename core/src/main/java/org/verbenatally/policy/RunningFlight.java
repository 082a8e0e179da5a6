package org.verbenatally.policy;

import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

import org.verbenatally.core.TargetId;

/** The flight that the dispatcher hands out. */
final class RunningFlight implements Flight {
    private final WorkRequest request;
    private final TargetState state;
    private final LengthModel lengths;
    private final LongSupplier clock;
    private final BiConsumer<RunningFlight, FlightEnd> onEnd;
    private final long startNanos;

    private boolean ended;
    private volatile int tokens;
    private long lastTokenNanos;

    /**
     * Creates a flight that starts now.
     *
     * @param clock the monotonic clock, in nanoseconds
     * @param onEnd called once, when the flight ends
     */
    RunningFlight(
            WorkRequest request,
            TargetState state,
            LengthModel lengths,
            LongSupplier clock,
            BiConsumer<RunningFlight, FlightEnd> onEnd) {
        this.request = request;
        this.state = state;
        this.lengths = lengths;
        this.clock = clock;
        this.onEnd = onEnd;
        this.startNanos = clock.getAsLong();
    }

    @Override
    public TargetId target() {
        return state.target().id();
    }

    @Override
    public void token() {
        long now = clock.getAsLong();
        synchronized (this) {
            if (ended) {
                return;
            }
            int count = tokens + 1;
            tokens = count;
            state.token(now, count == 1 ? 0 : now - lastTokenNanos);
            lastTokenNanos = now;
        }
    }

    @Override
    public void end(FlightEnd end) {
        Objects.requireNonNull(end, "end");
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
        }
        onEnd.accept(this, end);
    }

    WorkRequest request() {
        return request;
    }

    TargetState state() {
        return state;
    }

    long startNanos() {
        return startNanos;
    }

    /** Returns the output tokens so far. */
    int tokens() {
        return tokens;
    }

    /** Returns the tokens that the flight holds at its target: the prompt and the output so far. */
    long heldTokens() {
        return (long) request.promptTokens() + tokens();
    }

    /** Returns the tokens that the flight is expected to add. */
    double expectedRemaining() {
        return lengths.expectedRemaining(request.kind(), request.organisation().id(), tokens());
    }
}
