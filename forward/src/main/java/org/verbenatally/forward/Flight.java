package org.verbenatally.forward;

import java.util.concurrent.atomic.AtomicBoolean;

import org.verbenatally.core.Address;

/** One request on its way at a target, as the load of that target. */
final class Flight {
    private final TargetRow row;
    private final TargetRow backup;
    private final long memory;
    private final long promptTokens;
    private final Runnable onLeaving;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile boolean reading = true;

    /**
     * Creates a flight and books it.
     *
     * @param row where it runs
     * @param backup engine that keeps a copy, or {@code null}
     * @param memory memory that it is expected to need, in tokens; 0 at a plain service
     * @param promptTokens tokens that are read before its first event
     * @param onLeaving told when the target is known to leave
     */
    Flight(TargetRow row, TargetRow backup, long memory, long promptTokens, Runnable onLeaving) {
        this.row = row;
        this.backup = backup;
        this.memory = memory;
        this.promptTokens = promptTokens;
        this.onLeaving = onLeaving;
        row.begin(this);
        if (backup != null) {
            backup.keepCopy(memory);
        }
    }

    TargetRow row() {
        return row;
    }

    TargetRow backup() {
        return backup;
    }

    Address backupAddress() {
        return backup.target().address();
    }

    long memory() {
        return memory;
    }

    /** Returns the tokens of the prompt that may still have to be read. */
    long unreadTokens() {
        return reading ? promptTokens : 0;
    }

    void firstEvent() {
        reading = false;
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
            backup.dropCopy(memory);
        }
    }
}
