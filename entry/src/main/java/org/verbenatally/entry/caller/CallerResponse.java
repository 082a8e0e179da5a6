package org.verbenatally.entry.caller;

import org.verbenatally.core.GenerationId;

/** Delivers the tokens of one engine request to its caller. Methods are called in order by the task of the request. */
interface CallerResponse {

    /**
     * Handles the start of a generation. Called again if a new generation replaces one of which nothing was delivered.
     *
     * @param generation id of the generation
     * @param streamToken token with which the caller can resume the stream
     */
    void onStarted(GenerationId generation, String streamToken);

    /**
     * Handles the next token; waits while the caller reads slowly.
     *
     * @param offset position of the token in the generation, from 0
     * @param text the token's text
     */
    void onToken(long offset, String text);

    /** Handles the end of a complete generation of {@code tokens} tokens. */
    void onEnd(long tokens);

    /** Reports to the caller that the request failed. */
    void fail(Problem problem);

    /** Closes the caller's connection without an outcome, so that the caller resumes at another entry. */
    void reconnect();

    /** Returns whether the caller is bound to the current generation, so that no other may replace it. */
    boolean hasDelivered();

    /** Returns whether the caller knows the stream's address and so can resume after a lost connection. */
    boolean isResumable();

    /** Returns whether no caller reads this response any more. */
    boolean isDisconnected();

    /** Registers a task that is run once, when the caller has disconnected. */
    void onDisconnect(Runnable task);
}
