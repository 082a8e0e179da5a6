package org.verbenatally.rig;

import java.util.List;
import java.util.Objects;

/**
 * A request that a target has read, and the answer that it decided on.
 *
 * @param target id of the target
 * @param connection the connection on which the request arrived
 * @param millis time of the run's milliseconds since it started
 * @param continued whether the request goes on with a generation that ran before
 * @param answer the answer
 * @param preceding what the target wrote between its previous answer on this connection and this one
 * @param sound whether the answer was sent whole and nothing else was sent with it
 */
record TargetRun(
        String target,
        TargetConnection connection,
        long millis,
        boolean continued,
        Answer answer,
        List<String> preceding,
        boolean sound) {
    TargetRun {
        Objects.requireNonNull(answer, "answer");
        preceding = List.copyOf(preceding);
    }

    /** Returns whether the target ran the request, rather than refusing it. */
    boolean hasRun() {
        return !answer.notRun();
    }
}
