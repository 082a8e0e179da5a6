package org.verbenatally.entry.caller;

import org.verbenatally.core.GenerationId;

/** Delivers the tokens of one engine request to its caller. Methods are called by the task of the request, in order. */
interface CallerResponse {

    /** The generation has started; called again if a new generation replaces one of which nothing was delivered. */
    void onStarted(GenerationId generation, String streamToken);

    /** Takes the next token; waits while the caller reads slowly. */
    void onToken(long offset, String text);

    /** The generation is complete. */
    void onEnd(long tokens);

    /** The request failed. */
    void fail(Problem problem);

    /**
     * Ends the caller's connection without an outcome, so that the caller resumes elsewhere. Must be called only if the
     * response {@linkplain #isResumable is resumable}; otherwise the caller needs an outcome.
     */
    void reconnect();

    /** Returns whether the caller knows the generation, so that no other may replace it. */
    boolean hasDelivered();

    /** Returns whether the caller knows the stream's address, so that it can resume after a lost connection. */
    boolean isResumable();

    /** Returns whether no caller reads this response any more. */
    boolean isDisconnected();

    /** Calls the task once when the caller has disconnected. */
    void onDisconnect(Runnable task);
}
