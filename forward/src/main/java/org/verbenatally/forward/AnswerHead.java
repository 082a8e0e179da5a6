package org.verbenatally.forward;

import java.util.Optional;

/**
 * What the head of a target's answer says.
 *
 * @param status HTTP status
 * @param notRun whether the target promises that it has not run the request
 * @param requestId id of the request that it answers, if it says so
 * @param genuine whether the body that follows is the target's own; a success that is not must not be passed on
 */
public record AnswerHead(int status, boolean notRun, Optional<String> requestId, boolean genuine) {
    private static final int SUCCESS = 200;
    private static final int FIRST_NOT_SUCCESS = 300;
    private static final int SERVER_ERROR = 500;

    /** Tells whether the request was served. */
    boolean isSuccess() {
        return status >= SUCCESS && status < FIRST_NOT_SUCCESS;
    }

    /** Tells whether the target failed. */
    boolean isServerError() {
        return status >= SERVER_ERROR;
    }

    /** Tells whether it belongs to another request, or cannot be trusted for another reason. */
    boolean isUntrusted(String id) {
        return requestId.filter(i -> !i.equals(id)).isPresent() || isSuccess() && (requestId.isEmpty() || !genuine);
    }
}
