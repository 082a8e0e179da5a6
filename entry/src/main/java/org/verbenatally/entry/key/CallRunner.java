package org.verbenatally.entry.key;

import java.util.concurrent.CompletableFuture;

import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;

/** Runs a non-idempotent call. Sends to at most one target, and to none after the deadline or a pause. */
@FunctionalInterface
public interface CallRunner {

    /**
     * Runs a call whose key was recorded as used.
     *
     * @param call the call
     * @return the final result; never fails
     */
    CompletableFuture<CallResult> run(Call call);

    /**
     * A call with a key.
     *
     * @param request id of the caller's request
     * @param organisation whose call it is
     * @param kind kind of work
     * @param key the idempotency key
     * @param deadlineNanos deadline on the monotonic clock
     * @param body JSON
     */
    record Call(
            String request, OrganisationId organisation, KindName kind, String key, long deadlineNanos, byte[] body) {}
}
