package org.verbenatally.policy;

import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

import org.verbenatally.core.TargetId;

/** A request in flight, as returned by the dispatcher. */
final class DispatchedRequest implements InFlightRequest {
    private final WorkRequest request;
    private final TargetState state;
    private final LengthModel lengthModel;
    private final LongSupplier clock;
    private final BiConsumer<DispatchedRequest, AttemptEnd> onEnd;
    private final long startNanos;

    private boolean ended;
    private volatile long firstTokenNanos;
    private volatile int outputTokens;
    private long lastTokenNanos;

    /**
     * Creates a request whose attempt starts now.
     *
     * @param clock the monotonic clock, in nanoseconds
     * @param onEnd called once, when the attempt ends
     */
    DispatchedRequest(
            WorkRequest request,
            TargetState state,
            LengthModel lengthModel,
            LongSupplier clock,
            BiConsumer<DispatchedRequest, AttemptEnd> onEnd) {
        this.request = request;
        this.state = state;
        this.lengthModel = lengthModel;
        this.clock = clock;
        this.onEnd = onEnd;
        this.startNanos = clock.getAsLong();
    }

    @Override
    public TargetId target() {
        return state.target().id();
    }

    @Override
    public void recordToken() {
        long now = clock.getAsLong();
        synchronized (this) {
            if (ended) {
                return;
            }
            int count = outputTokens + 1;
            firstTokenNanos = count == 1 ? now : firstTokenNanos;
            outputTokens = count;
            state.recordToken(now, count == 1 ? 0 : now - lastTokenNanos);
            lastTokenNanos = now;
        }
    }

    @Override
    public void end(AttemptEnd end) {
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

    /** Returns when the first token arrived, on the monotonic clock; 0 if none has. */
    long firstTokenNanos() {
        return firstTokenNanos;
    }

    /** Returns the number of output tokens so far. */
    int outputTokens() {
        return outputTokens;
    }

    /** Returns the tokens that the request holds at its target: the prompt and the output so far. */
    long heldTokens() {
        return (long) request.promptTokens() + outputTokens();
    }

    /** Returns the tokens that the request is expected to add. */
    double expectedRemaining() {
        return lengthModel.expectedRemaining(
                request.kind(), request.organisation().id(), outputTokens());
    }
}
