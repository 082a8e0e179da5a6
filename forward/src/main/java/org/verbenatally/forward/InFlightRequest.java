package org.verbenatally.forward;

import java.util.concurrent.atomic.AtomicBoolean;

import org.verbenatally.policy.Fingerprint;

/** One request in flight at a target, as part of that target's load. */
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
     * Creates an in-flight request and adds it to the load of its target and of the engine that keeps its backup.
     *
     * @param requestId id of the request
     * @param fingerprint the same for each retry of the request by its caller
     * @param targetState target that runs it
     * @param backup engine that keeps a backup, or {@code null}
     * @param generation the generation that it asks for, or {@code null} at a plain service
     * @param onLeaving called when the target is known to leave
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

    /** Returns the number of prompt tokens that may still have to be read. */
    long unreadTokens() {
        return promptUnread && generation != null ? generation.promptTokens() : 0;
    }

    /** Records the tokens generated so far, once there are any. */
    void setGenerated(long tokens) {
        boolean firstTokens = promptUnread;
        promptUnread = false;
        generated = tokens;
        if (firstTokens) {
            targetState.reportLoadChange(this);
        }
    }

    boolean isGeneration() {
        return generation != null;
    }

    /** Returns whether the generation is likely to outlast the notice period of a leaving engine. */
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
