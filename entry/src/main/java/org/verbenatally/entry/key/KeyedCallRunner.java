package org.verbenatally.entry.key;

import java.util.concurrent.CompletableFuture;

import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;

/**
 * Runs non-idempotent calls. A call is sent to at most one target, and not at all once its deadline has passed or a
 * pause of the process was detected.
 */
@FunctionalInterface
public interface KeyedCallRunner {

    /**
     * Runs a call whose key has been recorded as used.
     *
     * @param call the call
     * @return the final result; the future never fails
     */
    CompletableFuture<CallResult> run(KeyedCall call);

    /**
     * A call with an idempotency key.
     *
     * @param request id of the caller's request
     * @param organisation the organisation that makes the call
     * @param kind kind of work
     * @param key the idempotency key
     * @param deadlineNanos deadline on the monotonic clock, in nanoseconds
     * @param body JSON request body
     */
    record KeyedCall(
            String request, OrganisationId organisation, KindName kind, String key, long deadlineNanos, byte[] body) {}
}
