package org.verbenatally.forward;

import java.util.concurrent.atomic.AtomicBoolean;

import org.verbenatally.policy.Fingerprint;

/** One request on its way at a target, as the load of that target. */
final class InFlightRequest {
    private final String requestId;
    private final Fingerprint fingerprint;
    private final TargetState targetState;
    private final TargetState backup;
    private final Generation generation;
    private final Runnable onLeaving;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile boolean promptUnread = true;
    private volatile long generated;

    /**
     * Creates a flight and books it.
     *
     * @param requestId id of the request
     * @param fingerprint the same for each repetition of the request by its caller
     * @param state where it runs
     * @param backup engine that keeps a copy, or {@code null}
     * @param generation the generation that it makes, or {@code null} at a plain service
     * @param onLeaving told when the target is known to leave
     */
    InFlightRequest(
            String requestId,
            Fingerprint fingerprint,
            TargetState targetState,
            TargetState backup,
            Generation generation,
            Runnable onLeaving) {
        this.requestId = requestId;
        this.fingerprint = fingerprint;
        this.targetState = targetState;
        this.backup = backup;
        this.generation = generation;
        this.onLeaving = onLeaving;
        targetState.addInFlight(this);
        if (backup != null) {
            backup.reserveCopy(this);
        }
    }

    String requestId() {
        return requestId;
    }

    Fingerprint fingerprint() {
        return fingerprint;
    }

    TargetState targetState() {
        return targetState;
    }

    TargetState backup() {
        return backup;
    }

    /** Returns the memory that it is expected to need, in tokens. */
    long expectedMemory() {
        return generation == null ? 0 : generation.expectedMemory(generated);
    }

    /** Returns the tokens of the prompt that may still have to be read. */
    long unreadTokens() {
        return promptUnread && generation != null ? generation.promptTokens() : 0;
    }

    /** Notes the tokens made so far, once there are any. */
    void setGenerated(long tokens) {
        boolean firstTokens = promptUnread;
        promptUnread = false;
        generated = tokens;
        if (firstTokens) {
            targetState.loadChanged(this);
        }
    }

    boolean isGeneration() {
        return generation != null;
    }

    /** Tells whether the generation is likely to outlive the notice that its engine leaves. */
    boolean isLong() {
        return generation != null && generation.isLong(generated);
    }

    boolean hasEnded() {
        return ended.get();
    }

    void onTargetLeaving() {
        onLeaving.run();
    }

    void end() {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        targetState.removeInFlight(this);
        if (backup != null) {
            backup.releaseCopy(this);
        }
    }
}
