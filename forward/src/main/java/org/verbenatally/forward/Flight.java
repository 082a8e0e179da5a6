package org.verbenatally.forward;

import java.util.concurrent.atomic.AtomicBoolean;

import org.verbenatally.policy.Fingerprint;

/** One request on its way at a target, as the load of that target. */
final class Flight {
    private final String requestId;
    private final Fingerprint fingerprint;
    private final TargetRow row;
    private final TargetRow backup;
    private final Generation generation;
    private final Runnable onLeaving;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile boolean reading = true;
    private volatile long made;

    /**
     * Creates a flight and books it.
     *
     * @param requestId id of the request
     * @param fingerprint the same for each repetition of the request by its caller
     * @param row where it runs
     * @param backup engine that keeps a copy, or {@code null}
     * @param generation the generation that it makes, or {@code null} at a plain service
     * @param onLeaving told when the target is known to leave
     */
    Flight(
            String requestId,
            Fingerprint fingerprint,
            TargetRow row,
            TargetRow backup,
            Generation generation,
            Runnable onLeaving) {
        this.requestId = requestId;
        this.fingerprint = fingerprint;
        this.row = row;
        this.backup = backup;
        this.generation = generation;
        this.onLeaving = onLeaving;
        row.begin(this);
        if (backup != null) {
            backup.keepCopy(this);
        }
    }

    String requestId() {
        return requestId;
    }

    Fingerprint fingerprint() {
        return fingerprint;
    }

    TargetRow row() {
        return row;
    }

    TargetRow backup() {
        return backup;
    }

    /** Returns the memory that it is expected to need, in tokens. */
    long memory() {
        return generation == null ? 0 : generation.expectedMemory(made);
    }

    /** Returns the tokens of the prompt that may still have to be read. */
    long unreadTokens() {
        return reading && generation != null ? generation.promptTokens() : 0;
    }

    /** Notes the tokens made so far, once there are any. */
    void made(long tokens) {
        boolean first = reading;
        reading = false;
        made = tokens;
        if (first) {
            row.loadChanged(this);
        }
    }

    boolean isGeneration() {
        return generation != null;
    }

    /** Tells whether the generation is likely to outlive the notice that its engine leaves. */
    boolean isLong() {
        return generation != null && generation.isLong(made);
    }

    boolean hasEnded() {
        return ended.get();
    }

    void targetLeaves() {
        onLeaving.run();
    }

    void end() {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        row.end(this);
        if (backup != null) {
            backup.dropCopy(this);
        }
    }
}
