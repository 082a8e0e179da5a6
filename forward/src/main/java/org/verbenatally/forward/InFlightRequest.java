package org.verbenatally.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

import org.verbenatally.core.Trait;

/** One request in flight at a target, as part of that target's load. */
final class InFlightRequest {
    private final String requestId;
    private final Set<Trait> traits;
    private final TargetState targetState;
    private final TargetState backup;
    /** Memory for the backup, or {@code null} if there is none. */
    private final TargetState.CopyReservation backupMemory;

    private final Generation generation;
    private final Runnable onLeaving;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile boolean promptUnread = true;
    private volatile boolean begun;
    private volatile long generated;
    private volatile long firstTokensNanos;

    /**
     * Creates an in-flight request and adds it to the load of its target and of the engine that keeps its backup.
     *
     * @param requestId id of the request
     * @param traits what it has in common with other requests
     * @param targetState target that runs it
     * @param backup engine that keeps a backup, or {@code null}
     * @param generation the generation that it asks for, or {@code null} at a plain service
     * @param onLeaving called when the target is known to leave
     */
    InFlightRequest(
            String requestId,
            Set<Trait> traits,
            TargetState targetState,
            TargetState backup,
            Generation generation,
            Runnable onLeaving) {
        this.requestId = requestId;
        this.traits = traits;
        this.targetState = targetState;
        this.backup = backup;
        this.generation = generation;
        this.onLeaving = onLeaving;
        targetState.addInFlight(this);
        this.backupMemory = backup == null ? null : backup.reserveCopy(this);
    }

    String requestId() {
        return requestId;
    }

    Set<Trait> traits() {
        return traits;
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

    /**
     * Records the tokens generated so far, once there are any.
     *
     * @param now monotonic time, in nanoseconds
     */
    void setGenerated(long tokens, long now) {
        boolean firstTokens = promptUnread;
        if (firstTokens) {
            firstTokensNanos = now;
            promptUnread = false;
        }
        generated = tokens;
        if (firstTokens) {
            targetState.reportLoadChange(this);
        }
    }

    /** Returns the number of tokens generated so far. */
    long generated() {
        return generated;
    }

    /** Returns whether the target has been generating for some time. */
    boolean isBegun() {
        return begun;
    }

    /** Records that the target has been generating for some time. */
    void setBegun() {
        begun = true;
    }

    /** Returns for how long the target has been sending tokens; empty if it has not sent any. */
    Optional<Duration> generatingFor(long now) {
        return promptUnread ? Optional.empty() : Optional.of(Duration.ofNanos(now - firstTokensNanos));
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
        if (backupMemory != null) {
            backupMemory.close();
        }
    }
}
