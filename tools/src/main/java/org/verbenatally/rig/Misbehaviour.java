package org.verbenatally.rig;

/** What a target may do with an answer. The shares are drawn independently of each other. */
enum Misbehaviour {
    /** Sends the answer a second time, in full. */
    REPEAT_WHOLE(0.15),
    /** Sends the beginning of the answer a second time. */
    REPEAT_CUT(0.15),
    /** Begins the answer, stops within its head, and sends it in full on the same connection. */
    RESTART_HEAD(0.02),
    /** As {@link #RESTART_HEAD}, with another status in the first beginning. */
    RESTART_STATUS(0.02),
    /** Begins the answer, stops within its body, and sends it in full on the same connection. */
    RESTART_BODY(0),
    /** Sends a part of the answer and closes or resets the connection. */
    BREAK_OFF(0.03),
    /** Sends bytes before the answer that are no response. */
    JUNK(0.02),
    /** Sends an interim response before the answer. */
    INTERIM(0.02),
    /** Sends an answer without a length, which ends with its connection. */
    NO_LENGTH(0.03),
    /** Closes the connection after a complete answer, without saying so before. */
    CLOSE(0.03),
    /** Answers after the request's time. */
    LATE(0.01),
    /** Answers an upload without a length before it has read it, and ends the connection. */
    EARLY(0.3),
    /** States a field whose name is malformed. */
    FIELD_NAME(0.02),
    /** States a status that HTTP does not define. */
    UNDEFINED_STATUS(0.01),
    /** Refuses the request and states how long it wants no others. */
    PAUSE(0);

    private final double share;

    Misbehaviour(double share) {
        this.share = share;
    }

    /** Returns the default share of the answers. */
    double share() {
        return share;
    }
}
