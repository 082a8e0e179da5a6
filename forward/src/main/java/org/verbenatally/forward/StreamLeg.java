package org.verbenatally.forward;

/**
 * The part of a generation that one engine makes.
 *
 * @param flight its load at the engine
 * @param attempt the exchange with the engine
 * @param feed the engine's events
 */
record StreamLeg(Flight flight, Attempt attempt, AnswerFeed feed) {

    StreamLeg(Flight flight, Attempt attempt) {
        this(flight, attempt, new AnswerFeed(attempt.response()));
    }

    TargetRow row() {
        return flight.row();
    }

    /** Ends the exchange, also in the middle, and the booking. */
    void close(boolean whole) {
        if (!whole) {
            attempt.drop();
        }
        flight.end();
    }
}
