package org.verbenatally.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterTry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.verbenatally.core.Address;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.peer.MemberInfo.Status;
import org.verbenatally.peer.MemberRecord.Run;
import org.verbenatally.time.PausableTimers;
import org.verbenatally.wire.MemberState;

import static org.assertj.core.api.Assertions.assertThat;

class MembershipTest {
    private final PausableTimers timers = new PausableTimers();

    @AfterEach
    @AfterTry
    void close() {
        timers.close();
    }

    private static Run run(String id, long incarnation) {
        return new Run(new InstanceId(id), new Incarnation(incarnation));
    }

    private static MemberRecord memberRecord(Run run, MemberState state, long heartbeat, Optional<Run> successor) {
        var domain = new FailureDomain("Bole");
        return new MemberRecord(
                run, new Address("127.0.0.1", 1), domain, "default", state, heartbeat, ConfigVersion.NONE, successor);
    }

    private static MemberRecord live(String id, long incarnation, long heartbeat) {
        return memberRecord(run(id, incarnation), MemberState.LIVE, heartbeat, Optional.empty());
    }

    private Membership table() {
        return new Membership(live("self", 1, 1), PeerTimings.standard(), timers);
    }

    private static List<MemberRecord> allRecords(Membership table) {
        return table.changes(0, 0, 0, Membership.LOCAL - 1).records();
    }

    @Provide
    Arbitrary<List<MemberRecord>> rows() {
        Arbitrary<Run> runs = Combinators.combine(
                        Arbitraries.of("a", "b", "c"), Arbitraries.longs().between(1, 3))
                .as(MembershipTest::run);
        return Combinators.combine(
                        runs,
                        Arbitraries.of(MemberState.values()),
                        Arbitraries.longs().between(0, 5),
                        runs.optional())
                .as(MembershipTest::memberRecord)
                .list()
                .ofMaxSize(12);
    }

    /** Guards against member tables that differ because gossip arrived in a different order or more than once. */
    @Property(seed = "11", tries = 300)
    void mergeIsCommutativeAndIdempotent(@ForAll("rows") List<MemberRecord> updates, @ForAll long seed) {
        Membership first = table();
        updates.forEach(r -> first.merge(List.of(r), 1));
        List<MemberRecord> shuffled = new ArrayList<>(updates);
        shuffled.addAll(updates);
        Collections.shuffle(shuffled, new Random(seed));
        Membership second = table();
        second.merge(shuffled, 2);
        assertThat(allRecords(second)).isEqualTo(allRecords(first));
        second.merge(allRecords(first), 3);
        assertThat(allRecords(second)).isEqualTo(allRecords(first));
    }

    /** Guards against an old frame that restores an earlier run or lowers the heartbeat of a live member. */
    @Property(seed = "12", tries = 300)
    void mergeNeverLowersIncarnationOrHeartbeat(@ForAll("rows") List<MemberRecord> updates) {
        Membership table = table();
        Map<InstanceId, MemberRecord> before = new HashMap<>();
        for (MemberRecord r : updates) {
            table.merge(List.of(r), 1);
            MemberRecord now = table.latestRun(r.run().instance()).orElseThrow();
            MemberRecord old = before.put(now.run().instance(), now);
            if (old != null) {
                assertThat(now.run().incarnation())
                        .isGreaterThanOrEqualTo(old.run().incarnation());
                assertThat(!now.run().equals(old.run()) || now.heartbeat() >= old.heartbeat())
                        .isTrue();
            }
        }
    }

    /**
     * Guards against members that become suspect or gone too early, are never reported as gone, or return from an old
     * frame.
     */
    @Test
    void silentMemberIsSuspectThenGoneThenForgottenForGood() {
        Membership table = table();
        table.merge(List.of(live("a", 1, 5)), 1);
        assertThat(status(table, "a")).isEqualTo(Status.LIVE);
        timers.advance(Duration.ofMillis(3_100));
        assertThat(status(table, "a")).isEqualTo(Status.SUSPECT);
        timers.advance(Duration.ofSeconds(12));
        assertThat(table.tick()).containsExactly(new InstanceId("a"));
        assertThat(table.tick()).isEmpty();
        timers.advance(Duration.ofMinutes(10));
        table.tick();
        table.merge(List.of(live("a", 1, 5)), 2);
        assertThat(table.latestRun(new InstanceId("a"))).isEmpty();
        table.merge(List.of(live("a", 1, 6)), 2);
        assertThat(status(table, "a")).isEqualTo(Status.LIVE);
    }

    /** Guards against a resumed process that suspects all other members because of its own pause. */
    @Test
    void pauseOfThisProcessMakesNobodySuspect() {
        Membership table = table();
        table.merge(List.of(live("a", 1, 5)), 1);
        timers.advance(Duration.ofSeconds(4));
        assertThat(table.isStale()).isFalse();
        timers.pause();
        timers.advance(Duration.ofMinutes(5));
        timers.resume(Duration.ofMinutes(5));
        assertThat(status(table, "a")).isEqualTo(Status.LIVE);
        assertThat(table.tick()).isEmpty();
        assertThat(table.isStale()).isTrue();
        timers.advance(Duration.ofSeconds(4));
        assertThat(table.isStale()).isFalse();
        assertThat(status(table, "a")).isEqualTo(Status.SUSPECT);
    }

    /**
     * Guards against keys that are reported as unknown although their owner announced a successor before it restarted.
     */
    @Test
    void successorOfAnEarlierRunIsRememberedForThirtyMinutes() {
        Membership table = table();
        table.merge(
                List.of(
                        memberRecord(run("a", 1), MemberState.LEFT, 9, Optional.of(run("b", 1))),
                        memberRecord(run("b", 1), MemberState.LEFT, 9, Optional.of(run("c", 1))),
                        live("c", 1, 1),
                        live("a", 2, 1),
                        live("b", 2, 1)),
                1);
        assertThat(table.keyOwner(run("a", 1)).map(MemberRecord::run)).contains(run("c", 1));
        assertThat(table.keyOwner(run("a", 2)).map(MemberRecord::run)).contains(run("a", 2));
        assertThat(table.keyOwner(run("a", 3))).isEmpty();
        timers.advance(Duration.ofMinutes(29));
        table.merge(List.of(live("c", 1, 2)), 1);
        table.tick();
        assertThat(table.keyOwner(run("a", 1))).isPresent();
        timers.advance(Duration.ofMinutes(2));
        table.merge(List.of(live("c", 1, 3)), 1);
        table.tick();
        assertThat(table.keyOwner(run("a", 1))).isEmpty();
    }

    /**
     * Guards against records that are never received: the heartbeat of an unknown record must trigger a request for it.
     */
    @Test
    void unknownHeartbeatIsRequestedOnce() {
        Membership table = table();
        Membership other = new Membership(live("other", 1, 1), PeerTimings.standard(), timers);
        var heartbeats = other.changes(other.serial(), 0, 0, 9).heartbeats();
        var wanted = table.applyHeartbeats(heartbeats, 0, 1);
        assertThat(wanted).hasSize(1);
        assertThat(table.applyHeartbeats(heartbeats, 0, 2)).isEmpty();
        table.merge(other.recordsFor(wanted), 1);
        assertThat(status(table, "other")).isEqualTo(Status.LIVE);
    }

    /** Guards against false suspicion in a large fleet, where heartbeats are sent less often. */
    @Test
    void suspectTimeoutIsAtLeastSixHeartbeatPeriods() {
        var t = PeerTimings.standard();
        for (int n : new int[] {1, 8, 64, 65, 128, 330, 1_000}) {
            assertThat(t.suspectTimeout(n))
                    .isGreaterThanOrEqualTo(t.heartbeatPeriod(n).multipliedBy(6));
            assertThat(t.goneTimeout(n)).isGreaterThan(t.suspectTimeout(n));
        }
        assertThat(t.suspectTimeout(8)).isEqualTo(Duration.ofSeconds(3));
        assertThat(t.goneTimeout(8)).isEqualTo(Duration.ofSeconds(15));
    }

    private static Status status(Membership table, String id) {
        return table.members().stream()
                .filter(m -> m.instance().value().equals(id))
                .findFirst()
                .orElseThrow()
                .status();
    }
}
