package org.verbenatally.entry.target;

import java.util.Objects;

import org.verbenatally.core.TargetId;

/** An HTTP exchange with a target has failed. The code that made it decides what that means for the request. */
public final class TargetFailure extends Exception {
    private static final long serialVersionUID = 1;

    private final transient TargetId target;
    private final Cause reason;

    /** What went wrong, as far as the request is concerned. */
    public enum Cause {
        /** No connection was established; nothing has been sent. */
        NOT_CONNECTED,
        /** The target refused connections; nothing has been sent. */
        CONNECTION_REFUSED,
        /** The target reports that it did not run the request because it is leaving. */
        LEAVING,
        /** The target reports that it did not run the request because it has no capacity left. */
        FULL,
        /** The target reports that it did not run the request because the model is not loaded. */
        MODEL_NOT_LOADED,
        /** The engine does not know the generation. */
        UNKNOWN_GENERATION,
        /** The connection was lost after the request may have been sent. */
        BROKEN,
        /** No data was received within the silence timeout after the request may have been sent. */
        SILENT,
        /** The response violated the protocol. */
        BAD_ANSWER;

        /** Returns whether the failure proves that the target has not run the request. */
        public boolean isNotRun() {
            return isUnreachable() || isRefused();
        }

        /** Returns whether no connection to the target could be established. */
        public boolean isUnreachable() {
            return this == NOT_CONNECTED || this == CONNECTION_REFUSED;
        }

        /** Returns whether the target itself refused the request. */
        public boolean isRefused() {
            return this == LEAVING || this == FULL || this == MODEL_NOT_LOADED;
        }
    }

    /** Creates a failure; the message is one short sentence. */
    public TargetFailure(TargetId target, Cause reason, String message) {
        this(target, reason, message, null);
    }

    /** Creates a failure with the exception that caused it; the message is one short sentence. */
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
