package org.verbenatally.peer;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.verbenatally.time.ManualTimer;
import org.verbenatally.wire.PublishedTarget;
import org.verbenatally.wire.TargetEntry;

import static org.assertj.core.api.Assertions.assertThat;

class PublishedTableTest {
    private static final int LINK = 1;
    private final ManualTimer timer = new ManualTimer();
    private final PublishedTable table = new PublishedTable(timer, Duration.ofMinutes(10));

    private static PublishedTarget entry(long revision, boolean leaving, long coldMs) {
        return new PublishedTarget("a", revision)
                .setEntry(new TargetEntry("service", "127.0.0.1", 1, "domain", 6, leaving, 1, coldMs));
    }

    /** Guards against frames for each heartbeat of each target, and against a change that is taken for one. */
    @Test
    void heartbeatsAreNoNews() {
        assertThat(table.put(entry(1, false, 900), ReplicatedTable.LOCAL)).isTrue();
        assertThat(table.put(entry(2, false, 500), ReplicatedTable.LOCAL)).isFalse();
        assertThat(table.put(entry(3, false, 0), ReplicatedTable.LOCAL)).isTrue();
        assertThat(table.put(entry(4, true, 0), ReplicatedTable.LOCAL)).isTrue();
        assertThat(table.put(new PublishedTarget("a", 5), ReplicatedTable.LOCAL))
                .isTrue();
        assertThat(table.put(new PublishedTarget("a", 6), ReplicatedTable.LOCAL))
                .isFalse();
    }

    /** Guards against a table that grows with each target that was ever replaced. */
    @Test
    void withdrawnTargetsAreForgottenAfterLong() {
        table.put(entry(1, false, 0), ReplicatedTable.LOCAL);
        table.put(new PublishedTarget("a", 2), ReplicatedTable.LOCAL);
        timer.advance(Duration.ofMinutes(9));
        table.tick();
        assertThat(table.changes(0, LINK, 10).values()).hasSize(1);
        timer.advance(Duration.ofMinutes(2));
        table.tick();
        assertThat(table.changes(0, LINK, 10).values()).isEmpty();
        table.put(entry(3, false, 0), ReplicatedTable.LOCAL);
        timer.advance(Duration.ofMinutes(20));
        table.tick();
        assertThat(table.changes(0, LINK, 10).values()).hasSize(1);
    }
}
