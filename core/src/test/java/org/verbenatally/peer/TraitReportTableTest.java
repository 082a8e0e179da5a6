package org.verbenatally.peer;

import java.time.Duration;
import java.util.Collections;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.peer.MemberRecord.Run;
import org.verbenatally.time.ManualTimer;
import org.verbenatally.wire.TraitReport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class TraitReportTableTest {
    private static final int LINK = 1;
    private static final int OTHER_LINK = 2;

    private final ManualTimer timers = new ManualTimer();
    private final TraitReportTable table =
            new TraitReportTable(new Run(new InstanceId("self"), new Incarnation(1)), timers);

    private static TraitReport report(String instance, long number, int ageMs) {
        return new TraitReport(instance, 1, number, ageMs, List.of("part:a")).setCrashedTarget("t");
    }

    private List<TraitReport> unsent(int link) {
        return table.changes(0, link, 100).values();
    }

    /** Guards against a report that does not reach the instances behind a neighbour, or that circulates for ever. */
    @Test
    void reportsArePassedOnOnce() {
        assertThat(table.receive(List.of(report("a", 1, 0)), LINK)).hasSize(1);
        assertThat(table.receive(List.of(report("a", 1, 40)), OTHER_LINK)).isEmpty();
        assertThat(unsent(3)).hasSize(1);
        assertThat(unsent(LINK)).isEmpty();
    }

    /** Guards against reports that seem younger the further they have travelled. */
    @Test
    void agesGrowWhileReportsAreKept() {
        table.addOwn(new TraitReport().setAgeMs(100).setTraits(List.of("part:a")));
        timers.advance(Duration.ofMillis(500));
        assertThat(unsent(LINK).getFirst().getAgeMs()).isEqualTo(600);
        assertThat(unsent(LINK).getFirst().getInstance()).isEqualTo("self");
    }

    /** Guards against reports that instances pass to each other for ever, and against a table without bounds. */
    @Test
    void oldReportsAreForgotten() {
        int lifetimeMs = (int) Duration.ofMinutes(15).toMillis();
        assertThat(table.receive(List.of(report("a", 1, lifetimeMs)), LINK)).isEmpty();
        table.receive(List.of(report("a", 2, lifetimeMs - 1_000)), LINK);
        timers.advance(Duration.ofSeconds(2));
        table.tick();
        assertThat(unsent(OTHER_LINK)).isEmpty();
        for (int i = 0; i < 3_000; i++) {
            table.receive(List.of(report("b", i, 0)), LINK);
        }
        assertThat(table.changes(0, OTHER_LINK, 10_000).values()).hasSize(1_024);
    }

    /** Guards against storing a report with a field that this instance does not accept. */
    @Test
    void invalidReportsAreRejected() {
        for (TraitReport invalid : List.of(
                report("a", 1, -1),
                report("a b", 1, 0),
                report("a", 1, 0).setCrashedTarget(""),
                report("a", 1, 0).setTraits(List.of("")),
                report("a", 1, 0).setTraits(Collections.nCopies(TraitReportTable.MAX_TRAITS + 1, "part:a")))) {
            assertThatThrownBy(() -> table.receive(List.of(report("a", 2, 0), invalid), LINK))
                    .isInstanceOf(IllegalArgumentException.class);
        }
        assertThat(unsent(OTHER_LINK)).isEmpty();
    }
}
