package org.verbenatally.forward;

import java.util.OptionalLong;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.verbenatally.core.SourceRevision;

import static org.assertj.core.api.Assertions.assertThat;

class TargetStateTest {

    /** Guards against a copy that failed and took with it the memory of the backup at the same engine. */
    @Test
    void eachCopyReturnsItsOwnMemoryOnce() {
        TargetState source = state("source");
        TargetState holder = state("holder");
        Generation generation = new Generation(100, 1_000, OptionalLong.of(500));
        InFlightRequest inFlight = new InFlightRequest("r", Set.of(), source, holder, generation, () -> {});
        long backup = holder.ownTokens();
        assertThat(backup).isPositive();
        TargetState.CopyReservation copy = holder.reserveCopy(inFlight);
        assertThat(holder.ownTokens()).isEqualTo(2 * backup);
        copy.close();
        copy.close();
        assertThat(holder.ownTokens()).isEqualTo(backup);
        inFlight.end();
        assertThat(holder.ownCopies()).isZero();
        assertThat(source.ownRequests()).isZero();
    }

    private static TargetState state(String id) {
        return new TargetState(Targets.ready(id), new SourceRevision(1, 1), () -> {});
    }
}
