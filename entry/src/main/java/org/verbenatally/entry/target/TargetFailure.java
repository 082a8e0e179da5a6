package org.verbenatally.entry.target;

import java.util.Objects;

import org.verbenatally.core.TargetId;

/** One exchange with a target failed; the caller of the exchange decides what that means for the request. */
public final class TargetFailure extends Exception {
    private static final long serialVersionUID = 1;

    private final transient TargetId target;
    private final Cause reason;

    /** What went wrong, as far as the request is concerned. */
    public enum Cause {
        /** No connection was made; nothing has been sent. */
        NOT_CONNECTED,
        /** The target refused connections; nothing has been sent. */
        CONNECTION_REFUSED,
        /** The target says that it did not run the request because it is leaving. */
        LEAVING,
        /** The target says that it did not run the request for lack of room. */
        FULL,
        /** The target says that it did not run the request because the model is not loaded. */
        MODEL_NOT_LOADED,
        /** The engine does not know the generation. */
        UNKNOWN_GENERATION,
        /** The connection was lost after the request may have been sent. */
        BROKEN,
        /** Nothing arrived for the silence timeout after the request may have been sent. */
        SILENT,
        /** The answer was not what the protocol allows. */
        BAD_ANSWER;

        /** Tells whether the target has not run the request. */
        public boolean notRun() {
            return unreachable() || refused();
        }

        /** Tells whether no connection to the target could be made. */
        public boolean unreachable() {
            return this == NOT_CONNECTED || this == CONNECTION_REFUSED;
        }

        /** Tells whether the target itself refused the request. */
        public boolean refused() {
            return this == LEAVING || this == FULL || this == MODEL_NOT_LOADED;
        }
    }

    /** Creates a failure with one short sentence. */
    public TargetFailure(TargetId target, Cause reason, String message) {
        this(target, reason, message, null);
    }

    /** Creates a failure with one short sentence and its cause. */
    public TargetFailure(TargetId target, Cause reason, String message, Throwable cause) {
        super(message, cause);
        this.target = Objects.requireNonNull(target, "target");
        this.reason = Objects.requireNonNull(reason, "reason");
    }

    /** Returns the target. */
    public TargetId target() {
        return target;
    }

    /** Returns what went wrong. */
    public Cause reason() {
        return reason;
    }
}
