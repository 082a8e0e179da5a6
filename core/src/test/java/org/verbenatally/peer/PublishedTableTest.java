package org.verbenatally.peer;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.verbenatally.time.ManualTimer;
import org.verbenatally.wire.PublishedTarget;
import org.verbenatally.wire.TargetEntry;

import static org.assertj.core.api.Assertions.assertThat;

class PublishedTableTest {
    private static final int LINK = 1;
    private final ManualTimer timers = new ManualTimer();
    private final PublishedTable table = new PublishedTable(timers, Duration.ofMinutes(10));

    private static PublishedTarget publishedTarget(long revision, boolean leaving, long coldMs) {
        return new PublishedTarget("a", revision)
                .setEntry(new TargetEntry("service", "127.0.0.1", 1, "domain", 6, leaving, 1, coldMs));
    }

    /** Guards against frames for each heartbeat of each target, and against changes mistaken for heartbeats. */
    @Test
    void heartbeatsAreNotChanges() {
        assertThat(table.put(publishedTarget(1, false, 900), ReplicatedTable.LOCAL))
                .isTrue();
        assertThat(table.put(publishedTarget(2, false, 500), ReplicatedTable.LOCAL))
                .isFalse();
        assertThat(table.put(publishedTarget(3, false, 0), ReplicatedTable.LOCAL))
                .isTrue();
        assertThat(table.put(publishedTarget(4, true, 0), ReplicatedTable.LOCAL))
                .isTrue();
        assertThat(table.put(new PublishedTarget("a", 5), ReplicatedTable.LOCAL))
                .isTrue();
        assertThat(table.put(new PublishedTarget("a", 6), ReplicatedTable.LOCAL))
                .isFalse();
    }

    /** Guards against a table that grows without bound as targets are replaced. */
    @Test
    void unpublishedTargetsAreForgotten() {
        table.put(publishedTarget(1, false, 0), ReplicatedTable.LOCAL);
        table.put(new PublishedTarget("a", 2), ReplicatedTable.LOCAL);
        timers.advance(Duration.ofMinutes(9));
        table.tick();
        assertThat(table.changes(0, LINK, 10).values()).hasSize(1);
        timers.advance(Duration.ofMinutes(2));
        table.tick();
        assertThat(table.changes(0, LINK, 10).values()).isEmpty();
        table.put(publishedTarget(3, false, 0), ReplicatedTable.LOCAL);
        timers.advance(Duration.ofMinutes(20));
        table.tick();
        assertThat(table.changes(0, LINK, 10).values()).hasSize(1);
    }

    /** Guards against an announced departure that is not passed on because the record is otherwise the same. */
    @Test
    void announcedDepartureIsPassedOn() {
        table.put(publishedTarget(1, true, 0), ReplicatedTable.LOCAL);
        PublishedTarget departing = publishedTarget(1, true, 0);
        departing.getEntry().setDeparting(true);
        assertThat(table.put(departing, LINK)).isTrue();
        assertThat(table.put(publishedTarget(1, true, 0), LINK)).isFalse();
        assertThat(table.changes(0, LINK + 1, 10).values()).containsExactly(departing);
    }

    /** Guards against a revision of before a restore of the source that outlives the lower ones given out after it. */
    @Test
    void newerEpochReplacesHigherRevision() {
        table.put(publishedTarget(9, false, 0).setEpoch(1), ReplicatedTable.LOCAL);
        assertThat(table.put(publishedTarget(3, true, 0).setEpoch(2), LINK)).isTrue();
        assertThat(table.put(publishedTarget(10, false, 0).setEpoch(1), LINK)).isFalse();
        assertThat(table.put(new PublishedTarget("a", 11).setEpoch(1), LINK)).isFalse();
        assertThat(table.changes(0, LINK + 1, 10).values())
                .containsExactly(publishedTarget(3, true, 0).setEpoch(2));
    }

    /** Guards against records without an epoch, from instances of an earlier release, that never count. */
    @Test
    void recordWithoutEpochIsOfTheNewestKnownOne() {
        assertThat(table.withEpoch(publishedTarget(1, false, 0)).isSetEpoch()).isFalse();
        table.put(publishedTarget(9, false, 0).setEpoch(2), ReplicatedTable.LOCAL);
        PublishedTarget received = table.withEpoch(publishedTarget(10, true, 0));
        assertThat(received.getEpoch()).isEqualTo(2);
        assertThat(table.put(received, LINK)).isTrue();
        PublishedTarget stated = publishedTarget(11, true, 0).setEpoch(1);
        assertThat(table.withEpoch(stated)).isEqualTo(stated);
    }

    /** Guards against instances of an earlier release that undo a departure with records of before a restore. */
    @Test
    void recordWithoutEpochIsOlderOnceTheSourceWasRestored() {
        table.put(publishedTarget(9, false, 0).setEpoch(1), ReplicatedTable.LOCAL);
        table.put(publishedTarget(4, true, 0).setEpoch(2), ReplicatedTable.LOCAL);
        assertThat(table.put(table.withEpoch(publishedTarget(9, false, 0)), LINK))
                .isFalse();
    }

    /** Guards against tables that stay different because of who has read the copy of a record first. */
    @Test
    void leavingRecordWinsAtTheSameRevision() {
        table.put(publishedTarget(3, false, 0).setEpoch(2), ReplicatedTable.LOCAL);
        assertThat(table.put(publishedTarget(3, true, 0).setEpoch(2), LINK)).isTrue();
        assertThat(table.put(publishedTarget(3, false, 0).setEpoch(2), LINK)).isFalse();
        assertThat(table.changes(0, LINK + 1, 10).values())
                .containsExactly(publishedTarget(3, true, 0).setEpoch(2));
    }

    /** Guards against a large fleet most of which learns of a restore only with its own next read. */
    @Test
    void newerEpochIsPassedOn() {
        table.put(publishedTarget(3, false, 0).setEpoch(1), ReplicatedTable.LOCAL);
        assertThat(table.put(publishedTarget(2, false, 0).setEpoch(2), ReplicatedTable.LOCAL))
                .isTrue();
    }
}
