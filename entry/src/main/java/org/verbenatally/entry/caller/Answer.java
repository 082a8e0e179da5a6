package org.verbenatally.entry.caller;

import org.verbenatally.core.GenerationId;

/** Where the tokens of one engine request go. Methods are called by the task of the request, in order. */
interface Answer {

    /** The generation has started; called again if a fresh generation replaces one of which nothing was delivered. */
    void started(GenerationId generation, String stream);

    /** Takes the next token; waits while the reader is slow. */
    void token(long offset, String text);

    /** The generation is complete. */
    void end(long tokens);

    /** The request failed. */
    void fail(Problem problem);

    /** Ends the caller's connection without an outcome, so that the caller resumes elsewhere. */
    void reconnect();

    /** Tells whether a token has been delivered, so that no other generation may follow. */
    boolean delivered();

    /** Tells whether the caller knows the stream's address, so that it may resume after a lost connection. */
    boolean resumable();

    /** Tells whether nobody reads the answer any more. */
    boolean gone();

    /** Calls the task once when the reader has gone. */
    void onGone(Runnable task);
}
