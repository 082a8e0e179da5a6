package org.verbenatally.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenatally.core.Address;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.peer.MemberInfo.Status;
import org.verbenatally.peer.MemberRecord.Run;
import org.verbenatally.time.ManualTimer;
import org.verbenatally.wire.InstanceLoads;
import org.verbenatally.wire.TargetLoad;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class LoadTableTest {
    private static final int LINK = 1;
    private static final int ALL = 1_000;
    private final ManualTimer timer = new ManualTimer();
    private final LoadTable here = table("here", 1);
    private final Map<String, Long> notified = new HashMap<>();

    private LoadTable table(String instance, long incarnation) {
        return new LoadTable(new Run(new InstanceId(instance), new Incarnation(incarnation)), timer);
    }

    private static TargetLoad load(String target, long tokens) {
        return new TargetLoad(target, tokens == 0 ? 0 : 1, tokens);
    }

    private void onLoads(InstanceId instance, List<TargetLoad> loads) {
        notified.put(
                instance.value(),
                loads.stream().mapToLong(TargetLoad::getTokens).sum());
    }

    private boolean receive(LoadTable from, long since) {
        return here.receive(from.changes(since, LINK, ALL).values(), LINK, this::onLoads);
    }

    private static Function<InstanceId, Optional<MemberInfo>> members(Status status, long incarnation) {
        return id -> Optional.of(new MemberInfo(
                id,
                new Incarnation(incarnation),
                new Address("127.0.0.1", 1),
                new FailureDomain("d"),
                status,
                ConfigVersion.NONE,
                Optional.empty()));
    }

    /** Pattern: a chain of instances without a link between the ends. Guards against loads of neighbours only. */
    @Test
    void loadsArePassedOn() {
        LoadTable far = table("far", 1);
        LoadTable middle = table("middle", 1);
        far.reportOwn(List.of(load("a", 100), load("b", 50)));
        assertThat(middle.receive(far.changes(0, LINK, ALL).values(), LINK, (i, l) -> {}))
                .isTrue();
        assertThat(here.receive(middle.changes(0, 2, ALL).values(), LINK, this::onLoads))
                .isTrue();
        assertThat(notified).containsEntry("far", 150L);
        long serial = far.changes(0, LINK, ALL).serial();
        far.reportOwn(List.of(load("a", 100)));
        assertThat(far.changes(serial, LINK, ALL).values())
                .singleElement()
                .satisfies(s -> assertThat(s.getLoads())
                        .extracting(TargetLoad::getTarget)
                        .containsExactly("b"));
        receive(far, serial);
        assertThat(notified).containsEntry("far", 100L);
    }

    /** Pattern: long generations. Guards against frames for every token, and against growth that is never told. */
    @Test
    void growthIsStatedInSteps() {
        here.reportOwn(List.of(load("a", 5_000)));
        long serial = here.changes(0, LINK, ALL).serial();
        here.reportOwn(List.of(load("a", 5_500)));
        assertThat(here.changes(serial, LINK, ALL).values()).isEmpty();
        here.reportOwn(List.of(load("a", 6_100)));
        assertThat(here.changes(serial, LINK, ALL).values()).hasSize(1);
    }

    /** Guards against load that stays after its instance fell silent, and that is lost when it returns. */
    @Test
    void silentInstancesAreNotCountedUntilTheyReturn() {
        LoadTable other = table("other", 5);
        other.reportOwn(List.of(load("a", 100)));
        receive(other, 0);
        here.tick(members(Status.SUSPECT, 5), this::onLoads);
        assertThat(notified).containsEntry("other", 0L);
        here.tick(members(Status.LIVE, 5), this::onLoads);
        assertThat(notified).containsEntry("other", 100L);
    }

    /** Guards against load of an earlier run, whether the new run has load or none. */
    @Test
    void restartEndsTheLoadOfTheEarlierRun() {
        LoadTable first = table("other", 5);
        first.reportOwn(List.of(load("a", 100)));
        receive(first, 0);
        here.tick(members(Status.LIVE, 6), this::onLoads);
        assertThat(notified).containsEntry("other", 0L);
        assertThat(receive(first, 0)).isFalse();
        LoadTable second = table("other", 6);
        second.reportOwn(List.of(load("b", 7)));
        receive(second, 0);
        assertThat(notified).containsEntry("other", 7L);
    }

    /** Guards against load that has ended, told by an instance that was cut off since. */
    @Test
    void ownStatementIsRepeatedAgainstOldHearsay() {
        here.reportOwn(List.of(load("a", 100)));
        List<InstanceLoads> old = here.changes(0, LINK, ALL).values();
        here.reportOwn(List.of());
        timer.advance(Duration.ofMinutes(2));
        here.tick(members(Status.LIVE, 1), this::onLoads);
        assertThat(here.changes(0, LINK, ALL).values()).isEmpty();
        here.receive(old, LINK, this::onLoads);
        assertThat(here.changes(0, LINK, ALL).values())
                .singleElement()
                .satisfies(s -> assertThat(s.getLoads().getFirst().getTokens()).isZero());
    }

    /** Guards against statements that make decisions absurd; nothing of a frame with one is taken. */
    @ParameterizedTest
    @CsvSource({"a, -1, 0, 0", "a, 0, -1, 0", "a, 0, 0, -1", "'', 1, 1, 1"})
    void refusesAbsurdStatements(String target, int requests, long tokens, long unread) {
        var good = new InstanceLoads("good", 1, List.of(load("a", 5).setNumber(1)));
        var bad =
                new InstanceLoads("bad", 1, List.of(new TargetLoad(target, requests, tokens).setUnreadTokens(unread)));
        assertThatIllegalArgumentException().isThrownBy(() -> here.receive(List.of(good, bad), LINK, this::onLoads));
        assertThat(notified).isEmpty();
        assertThat(here.changes(0, 2, ALL).values()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"-1, 0", "3, 2", "1, -1"})
    void refusesAbsurdOutcomes(int failures, int answers) {
        var load = new TargetLoad("a", 0, 0).setFailures(failures).setAnswers(answers);
        var bad = new InstanceLoads("bad", 1, List.of(load));
        assertThatIllegalArgumentException().isThrownBy(() -> here.receive(List.of(bad), LINK, this::onLoads));
    }

    /** Guards against frames for each answer of a failing target, and against failures that are never over. */
    @Test
    void failuresAreNewsAndAnswersAloneAreNot() {
        here.reportOwn(List.of(new TargetLoad("a", 0, 0).setFailures(1).setAnswers(3)));
        long serial = here.changes(0, LINK, ALL).serial();
        here.reportOwn(List.of(new TargetLoad("a", 0, 0).setFailures(1).setAnswers(5)));
        assertThat(here.changes(serial, LINK, ALL).values()).isEmpty();
        here.reportOwn(List.of());
        assertThat(here.changes(serial, LINK, ALL).values())
                .singleElement()
                .satisfies(
                        s -> assertThat(s.getLoads().getFirst().getFailures()).isZero());
    }
}
