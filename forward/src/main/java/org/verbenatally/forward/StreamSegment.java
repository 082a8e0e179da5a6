package org.verbenatally.forward;

/**
 * The part of a generation that one engine produces.
 *
 * @param inFlight its load at the engine
 * @param attempt the exchange with the engine
 * @param reader reads the engine's events
 */
record StreamSegment(InFlightRequest inFlight, Attempt attempt, ResponseBodyReader reader) {

    StreamSegment(InFlightRequest inFlight, Attempt attempt) {
        this(inFlight, attempt, new ResponseBodyReader(attempt.response()));
    }

    TargetState targetState() {
        return inFlight.targetState();
    }

    /**
     * Ends the exchange and removes its load from the engine.
     *
     * @param complete whether the response was read to its end; the exchange is cancelled otherwise
     */
    void close(boolean complete) {
        if (!complete) {
            attempt.cancel();
        }
        inFlight.end();
    }
}
