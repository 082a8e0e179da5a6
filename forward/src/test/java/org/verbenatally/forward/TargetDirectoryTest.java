package org.verbenatally.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.SourceRevision;
import org.verbenatally.core.TargetId;
import org.verbenatally.time.ManualTimer;
import org.verbenatally.wire.PublishedTarget;
import org.verbenatally.wire.TargetLoad;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.Targets.SERVICE;
import static org.verbenatally.forward.Targets.leaving;
import static org.verbenatally.forward.Targets.ready;

class TargetDirectoryTest {
    private static final InstanceId PEER = new InstanceId("peer");
    /** Revision later than those of all lists in these tests. */
    private static final SourceRevision LATER = new SourceRevision(Targets.EPOCH, 1_000_000);

    private final ManualTimer timer = new ManualTimer();
    private final List<PublishedTarget> published = new ArrayList<>();
    private final TargetDirectory directory = new TargetDirectory(timer, published::addAll, () -> {});

    private List<String> candidates() {
        return directory.candidates(SERVICE).stream()
                .map(state -> state.target().id().value())
                .sorted()
                .toList();
    }

    private void publish(ForwardTarget... targets) {
        directory.applyPublished(Targets.list(List.of(targets)));
    }

    /** Guards against new work for a target that is published as leaving or is no longer published. */
    @Test
    void leavingAndRemovedTargetsAreNoCandidates() {
        publish(ready("a"), ready("b"), ready("c"));
        published.clear();
        publish(ready("a"), leaving("b"));
        assertThat(candidates()).containsExactly("a");
        assertThat(published).extracting(PublishedTarget::getTarget).containsExactly("a", "b", "c");
        assertThat(published.get(1).getEntry().isLeaving()).isTrue();
        assertThat(published.get(2).getEntry()).isNull();
        assertThat(directory.leavingCount(SERVICE, Duration.ofSeconds(1))).isEqualTo(2);
    }

    /** Guards against losing all targets whose records expired while the list could not be read. */
    @Test
    void lapsedTargetsAreKeptBrieflyAfterListIsReachable() {
        publish(ready("a"), ready("b"));
        directory.onSourceUnreachable("down");
        timer.advance(Duration.ofSeconds(8));
        publish(ready("a"));
        assertThat(candidates()).containsExactly("a", "b");
        timer.advance(Duration.ofMillis(2_100));
        publish(ready("a"));
        assertThat(candidates()).containsExactly("a");
    }

    /** Guards against new work for a target whose leaving only another instance has read. */
    @Test
    void peerUpdatesChangeCandidates() {
        publish(ready("a"), ready("b"));
        published.clear();
        directory.applyUpdates(List.of(
                PublishedTargetCodec.encode(leaving("b"), LATER), PublishedTargetCodec.encode(ready("c"), LATER)));
        assertThat(candidates()).containsExactly("a", "c");
        directory.applyUpdates(List.of(PublishedTargetCodec.encodeRemoval(
                new TargetId("c"), new SourceRevision(LATER.epoch(), LATER.number() + 1))));
        assertThat(candidates()).containsExactly("a");
        assertThat(published).isEmpty();
    }

    /** Guards against a link that is closed because a peer of another version has accepted an odd entry. */
    @Test
    void oddEntryOfAPeerNamesNoTarget() {
        publish(ready("a"), ready("b"));
        PublishedTarget odd = PublishedTargetCodec.encode(ready("b"), LATER);
        odd.getEntry().setSlots(-1);
        PublishedTarget unknown = PublishedTargetCodec.encode(ready("c"), LATER);
        unknown.getEntry().setPort(0);
        directory.applyUpdates(List.of(odd, unknown));
        assertThat(candidates()).containsExactly("a");
    }

    /** Guards against applying an old second-hand report about a target that has been published again. */
    @Test
    void laterOwnReadOverridesSecondHandReport() {
        publish(ready("a"), ready("b"));
        SourceRevision before = Targets.list(List.of()).revision();
        publish(ready("a"), ready("b"));
        directory.applyUpdates(List.of(PublishedTargetCodec.encodeRemoval(new TargetId("b"), before)));
        assertThat(candidates()).containsExactly("a", "b");
    }

    /**
     * Guards against a starting instance that takes targets for gone whose records expired while no instance could read
     * the list.
     */
    @Test
    void firstReadRemovesOnlyTargetsReadHere() {
        SourceRevision early = new SourceRevision(Targets.EPOCH, 0);
        directory.applyUpdates(List.of(
                PublishedTargetCodec.encode(ready("a"), early), PublishedTargetCodec.encode(ready("lapsed"), early)));
        publish(ready("a"));
        assertThat(candidates()).containsExactly("a", "lapsed");
        timer.advance(Duration.ofMillis(2_100));
        publish(ready("a"));
        assertThat(candidates()).containsExactly("a");
    }

    /**
     * Guards against an instance that reads the list for itself while others pass it on, or does not read it when none
     * does.
     */
    @Test
    void ageIsThatOfNewestReadHereOrAtPeers() {
        assertThat(directory.age()).isEmpty();
        directory.updateAge(Duration.ofMillis(300));
        assertThat(directory.age()).contains(Duration.ofMillis(300));
        timer.advance(Duration.ofMillis(500));
        directory.updateAge(Duration.ofMillis(900));
        assertThat(directory.age()).contains(Duration.ofMillis(800));
        publish(ready("a"));
        assertThat(directory.age()).contains(Duration.ZERO);
    }

    /** Guards against loads of other instances that are lost, counted twice, or kept when an instance is gone. */
    @Test
    void peerLoadsAreSummed() {
        directory.updatePeerLoads(PEER, List.of(new TargetLoad("a", 2, 1_000).setUnreadTokens(500)));
        directory.updatePeerLoads(new InstanceId("other"), List.of(new TargetLoad("a", 1, 100)));
        publish(ready("a"), ready("b"));
        TargetState a = directory.candidates(SERVICE).stream()
                .filter(state -> state.target().id().value().equals("a"))
                .findFirst()
                .orElseThrow();
        assertThat(List.of(a.peerRequests(), a.peerTokens(), a.peerUnreadTokens()))
                .hasToString("[3, 1100, 500]");
        directory.updatePeerLoads(PEER, List.of(new TargetLoad("a", 1, 900), new TargetLoad("b", 1, 5)));
        assertThat(List.of(a.peerRequests(), a.peerTokens(), a.peerUnreadTokens()))
                .hasToString("[2, 1000, 0]");
        directory.forgetPeer(PEER);
        assertThat(List.of(a.peerRequests(), a.peerTokens())).hasToString("[1, 100]");
    }

    /** Guards against a generation that is not notified that its engine leaves. */
    @Test
    void inFlightRequestsAreNotifiedOfLeaving() {
        publish(ready("a"));
        AtomicInteger notifications = new AtomicInteger();
        TargetState state = directory.candidates(SERVICE).getFirst();
        InFlightRequest inFlight =
                new InFlightRequest("r1", Set.of(), state, null, null, notifications::incrementAndGet);
        publish(leaving("a"));
        assertThat(notifications).hasValue(1);
        inFlight.end();
        assertThat(state.ownRequests()).isZero();
    }

    /** Guards against a target that is still avoided after it restarted under the same id. */
    @Test
    void restartedTargetIsNotSuspended() {
        publish(ready("a"));
        TargetState state = directory.candidates(SERVICE).getFirst();
        state.onUnreachable(timer.nanos());
        assertThat(state.isSuspended(timer.nanos())).isTrue();
        ForwardTarget a = ready("a");
        publish(new ForwardTarget(a.id(), 2, a.service(), a.address(), a.failureDomain(), a.slots(), false, 0));
        assertThat(state.isSuspended(timer.nanos())).isFalse();
    }

    /** Guards against new work for a target that announces its departure in its responses and is published as ready. */
    @Test
    void departingTargetStaysOutWhateverIsPublished() {
        publish(ready("a"), ready("b"));
        AtomicInteger notifications = new AtomicInteger();
        TargetState state = directory.candidates(SERVICE).getFirst();
        ForwardTarget departing = state.target();
        var inFlight = new InFlightRequest("r1", Set.of(), state, null, null, notifications::incrementAndGet);
        published.clear();
        directory.onDepartureAnnounced(departing);
        directory.onDepartureAnnounced(departing);
        inFlight.end();
        assertThat(notifications).hasValue(1);
        assertThat(published).hasSize(1).allMatch(record -> record.getEntry().isLeaving());
        for (int i = 0; i < 5; i++) {
            timer.advance(Duration.ofSeconds(20));
            publish(ready("a"), ready("b"));
            assertThat(candidates()).doesNotContain(departing.id().value()).hasSize(1);
        }
        publish(restarted(departing));
        assertThat(candidates()).contains(departing.id().value());
    }

    /** Guards against peers that take a departing target back because the published list says that it is ready. */
    @Test
    void departureHeardFromPeerOutlastsLaterLists() {
        publish(ready("a"), ready("b"));
        SourceRevision read = Targets.list(List.of()).revision();
        publish(ready("a"), ready("b"));
        directory.applyUpdates(List.of(PublishedTargetCodec.encodeDeparting(ready("b"), read)));
        for (int i = 0; i < 3; i++) {
            assertThat(candidates()).containsExactly("a");
            timer.advance(Duration.ofSeconds(20));
            published.clear();
            publish(ready("a"), ready("b"));
            assertThat(published.get(1).getEntry().isDeparting()).isTrue();
        }
    }

    /** Guards against a record of a peer that does not know of a departure and spreads further than the departure. */
    @Test
    void peerThatDoesNotKnowOfDepartureIsCorrected() {
        publish(ready("a"), ready("b"));
        directory.onDepartureAnnounced(ready("b"));
        published.clear();
        directory.applyUpdates(List.of(PublishedTargetCodec.encode(ready("b"), LATER)));
        assertThat(candidates()).containsExactly("a");
        assertThat(published).containsExactly(PublishedTargetCodec.encodeDeparting(ready("b"), LATER));
    }

    /** Guards against a record that replaces the removal of a target at the peers, and is never removed again. */
    @Test
    void departureOfRemovedTargetIsNotPassedOn() {
        publish(ready("a"), ready("b"));
        publish(ready("a"));
        published.clear();
        directory.onDepartureAnnounced(ready("b"));
        assertThat(published).isEmpty();
        publish(ready("a"), ready("b"));
        assertThat(candidates()).containsExactly("a");
    }

    /** Guards against a restarted target that gets no work because its earlier run announced its departure late. */
    @Test
    void departureOfEarlierRunIsIgnored() {
        publish(ready("a"), restarted(ready("b")));
        directory.onDepartureAnnounced(ready("b"));
        directory.onDepartureAnnounced(ready("unknown"));
        assertThat(candidates()).containsExactly("a", "b");
    }

    /** Guards against a target without a stated start that gets no work for good after it has left once. */
    @Test
    void departingTargetWithoutStartReturnsAfterItWasRemoved() {
        ForwardTarget a = ready("a");
        ForwardTarget unstated =
                new ForwardTarget(a.id(), 0, a.service(), a.address(), a.failureDomain(), a.slots(), false, 0);
        publish(unstated, ready("b"));
        directory.onDepartureAnnounced(unstated);
        publish(unstated, ready("b"));
        assertThat(candidates()).containsExactly("b");
        publish(ready("b"));
        publish(unstated, ready("b"));
        assertThat(candidates()).containsExactly("a", "b");
        directory.onDepartureAnnounced(unstated);
        assertThat(candidates()).containsExactly("b");
    }

    private static SourceRevision restored(long number) {
        return new SourceRevision(Targets.EPOCH + 1, number);
    }

    private void publishRestored(long number, ForwardTarget... targets) {
        directory.applyPublished(Targets.list(restored(number), List.of(targets)));
    }

    private static ForwardTarget restarted(ForwardTarget target) {
        return new ForwardTarget(
                target.id(),
                target.startedMs() + 1,
                target.service(),
                target.address(),
                target.failureDomain(),
                target.slots(),
                target.leaving(),
                target.coldMs());
    }

    /** Guards against new work for a target that reports its leaving at a revision that is given out again. */
    @Test
    void leavingIsNoticedAfterRevisionsWentBack() {
        publish(ready("a"), ready("b"));
        publishRestored(0, ready("a"), leaving("b"));
        assertThat(candidates()).containsExactly("a");
    }

    /** Guards against a target that another instance reports as leaving at a revision that is given out again. */
    @Test
    void peerUpdateCountsAfterRevisionsWentBack() {
        publish(ready("a"), ready("b"), ready("c"));
        directory.applyUpdates(List.of(
                PublishedTargetCodec.encode(leaving("b"), restored(0)),
                PublishedTargetCodec.encodeRemoval(new TargetId("c"), restored(0))));
        assertThat(candidates()).containsExactly("a");
    }

    /** Guards against targets that the restored list lacks: they must not be lost at once, nor kept for good. */
    @Test
    void missingTargetsAreRemovedOnceRestoredListHasSettled() {
        publish(ready("a"), ready("b"));
        timer.advance(Duration.ofSeconds(10));
        publishRestored(0, ready("a"));
        assertThat(candidates()).containsExactly("a", "b");
        timer.advance(Duration.ofMillis(2_100));
        publishRestored(0, ready("a"));
        assertThat(candidates()).containsExactly("a");
    }

    /** Guards against a target without work whose record comes back at a lower revision. */
    @Test
    void targetsWrittenAgainAtLowerRevisionGetWork() {
        publish(ready("a"), leaving("b"), ready("c"));
        publish(ready("a"), ready("c"));
        publishRestored(0, ready("a"), restarted(ready("b")), ready("c"), ready("d"));
        assertThat(candidates()).containsExactly("a", "b", "c", "d");
    }

    /** Guards against new work for targets that have left, whose old records are in the copy of the list. */
    @Test
    void targetsThatHaveLeftStayOutWhenTheirOldRecordsComeBack() {
        publish(ready("a"), ready("draining"), ready("gone"), ready("removed"));
        publish(ready("a"), leaving("draining"), leaving("gone"));
        publish(ready("a"), leaving("draining"));
        published.clear();
        publishRestored(0, ready("a"), ready("draining"), ready("gone"), ready("removed"));
        assertThat(candidates()).containsExactly("a");
        assertThat(published)
                .filteredOn(record -> !record.getTarget().equals("a"))
                .allMatch(record -> record.getEntry().isLeaving());
        directory.applyUpdates(List.of(PublishedTargetCodec.encode(ready("removed"), restored(1))));
        assertThat(candidates()).as("written again after the restore").containsExactly("a", "removed");
        timer.advance(Duration.ofSeconds(31));
        publishRestored(0, ready("a"), ready("draining"), ready("removed"));
        publishRestored(0, ready("a"), ready("draining"), ready("removed"));
        assertThat(candidates()).as("still listed long after").containsExactly("a", "draining", "removed");
    }

    /** Guards against records of before a restore that a peer which was cut off passes on after it. */
    @Test
    void lateRecordsOfEarlierEpochAreIgnored() {
        publish(ready("a"), ready("b"), ready("c"));
        publishRestored(0, ready("a"), leaving("b"));
        timer.advance(Duration.ofMillis(2_100));
        publishRestored(0, ready("a"), leaving("b"));
        directory.applyUpdates(List.of(
                PublishedTargetCodec.encodeRemoval(new TargetId("a"), LATER),
                PublishedTargetCodec.encode(ready("b"), LATER),
                PublishedTargetCodec.encode(ready("c"), LATER),
                PublishedTargetCodec.encode(ready("unknown"), LATER)));
        assertThat(candidates()).containsExactly("a");
    }

    /** Guards against an old answer of the source that arrives after one of the newer epoch. */
    @Test
    void listOfEarlierEpochIsIgnored() {
        publish(ready("a"), ready("b"));
        publishRestored(0, ready("a"), leaving("b"));
        timer.advance(Duration.ofMillis(2_100));
        publish(ready("b"), ready("c"));
        assertThat(candidates()).containsExactly("a");
    }

    /** Guards against a directory that no longer believes the source, because a peer states an absurd epoch. */
    @Test
    void ownListCountsWhateverEpochAPeerStates() {
        publish(ready("a"), ready("b"));
        directory.applyUpdates(List.of(
                PublishedTargetCodec.encodeRemoval(new TargetId("unknown"), new SourceRevision(Long.MAX_VALUE, 1))));
        timer.advance(Duration.ofMillis(2_100));
        publish(ready("a"), leaving("b"), ready("c"));
        assertThat(candidates()).containsExactly("a", "c");
    }

    /** Guards against a target that gets work because the copy of its record was read here before a peer spoke. */
    @Test
    void leavingOfAPeerCountsAtTheSameRevision() {
        publish(ready("a"), ready("b"));
        publishRestored(0, ready("a"), ready("b"));
        directory.applyUpdates(List.of(PublishedTargetCodec.encode(leaving("b"), restored(0))));
        assertThat(candidates()).containsExactly("a");
        publishRestored(0, ready("a"), ready("b"));
        assertThat(candidates()).containsExactly("a");
    }
}
