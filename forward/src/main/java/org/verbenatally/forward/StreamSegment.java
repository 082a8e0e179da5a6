package org.verbenatally.forward;

/**
 * The part of a generation that one engine makes.
 *
 * @param inFlight its load at the engine
 * @param attempt the exchange with the engine
 * @param reader the engine's events
 */
record StreamSegment(InFlightRequest inFlight, Attempt attempt, ResponseBodyReader reader) {

    StreamSegment(InFlightRequest inFlight, Attempt attempt) {
        this(inFlight, attempt, new ResponseBodyReader(attempt.response()));
    }

    TargetState targetState() {
        return inFlight.targetState();
    }

    /** Ends the exchange, also in the middle, and the booking. */
    void close(boolean complete) {
        if (!complete) {
            attempt.cancel();
        }
        inFlight.end();
    }
}
