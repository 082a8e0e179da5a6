package org.verbenatally.policy;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.verbenatally.core.TargetId;

/** The flight that the dispatcher hands out. */
final class RunningFlight implements Flight {
    final WorkRequest request;
    final TargetState state;

    private final Dispatcher dispatcher;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicInteger tokens = new AtomicInteger();

    RunningFlight(WorkRequest request, TargetState state, Dispatcher dispatcher) {
        this.request = request;
        this.state = state;
        this.dispatcher = dispatcher;
    }

    @Override
    public TargetId target() {
        return state.target.id();
    }

    @Override
    public void token() {
        if (!ended.get()) {
            tokens.incrementAndGet();
            state.ownTokens.incrementAndGet();
        }
    }

    @Override
    public void end(FlightEnd end) {
        Objects.requireNonNull(end, "end");
        if (ended.compareAndSet(false, true)) {
            dispatcher.ended(this, end);
        }
    }

    /** Returns the tokens that the flight holds at its target: the prompt and the output so far. */
    long heldTokens() {
        return (long) request.promptTokens() + tokens.get();
    }
}
