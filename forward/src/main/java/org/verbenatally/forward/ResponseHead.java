package org.verbenatally.forward;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.verbenatally.forward.cold.ColdNotice;
import org.verbenatally.forward.pause.PauseRequest;

/**
 * The head of a target's response.
 *
 * @param status HTTP status
 * @param notRun whether the target promises that it has not run the request
 * @param requestId id of the request that the response belongs to, if the head states one
 * @param genuine whether the body that follows is the target's own; a successful response that is not genuine must not
 *     be passed on
 * @param departure what the head says about the departure of the target
 * @param cold what the head says about the cold time of the target
 * @param pause what the head says about a pause in which the target wants no requests
 */
public record ResponseHead(
        int status,
        boolean notRun,
        Optional<String> requestId,
        boolean genuine,
        Departure departure,
        ColdNotice cold,
        PauseRequest pause) {
    private static final int SUCCESS = 200;
    private static final int FIRST_NOT_SUCCESS = 300;
    private static final int MISDIRECTED = 421;
    private static final int SERVER_ERROR = 500;
    private static final int LAST_DEFINED = 599;
    /** Statuses that callers take as a statement that the request has not run, and never will. */
    private static final Set<Integer> REFUSAL_STATUSES = Set.of(408, 421, 429, 503);

    /** Takes a blank id for none. */
    public ResponseHead {
        requestId = requestId.filter(id -> !id.isBlank());
        Objects.requireNonNull(departure, "departure");
        Objects.requireNonNull(cold, "cold");
        Objects.requireNonNull(pause, "pause");
    }

    /** What a response says about the departure of the target that sent it. */
    public enum Departure {
        /** The head says nothing about it. */
        NONE,
        /** The target is about to leave and must get no new work. */
        ANNOUNCED,
        /** The statement cannot be read, and counts as none. */
        MALFORMED
    }

    /** Returns whether the response precedes the final one, which says how the request ended. */
    boolean isInterim() {
        return status < SUCCESS;
    }

    /** Returns whether the status is above those that HTTP defines (RFC 9110, section 15). */
    boolean isUndefined() {
        return status > LAST_DEFINED;
    }

    /** Returns whether the request was served. */
    boolean isSuccess() {
        return status >= SUCCESS && status < FIRST_NOT_SUCCESS;
    }

    /** Returns whether another target has received the request than the one that it was addressed to. */
    boolean isMisdirected() {
        return status == MISDIRECTED;
    }

    /** Returns whether the target failed. */
    boolean isServerError() {
        return status >= SERVER_ERROR;
    }

    /** Returns whether the target has turned the request away, or callers would take the status for that. */
    boolean isRefusal() {
        return notRun || REFUSAL_STATUSES.contains(status);
    }

    /**
     * Returns whether callers would take the status for a refusal although the target does not state that it has not
     * run the request. Such a response must not be passed on if the request must not run twice.
     */
    boolean isUnconfirmedRefusal() {
        return !notRun && REFUSAL_STATUSES.contains(status);
    }
}
