package org.verbenatally.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.verbenatally.core.TargetId;
import org.verbenatally.core.Trait;
import org.verbenatally.time.ManualTimer;

import static org.assertj.core.api.Assertions.assertThat;

class CrashLedgerTest {
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration NOW = Duration.ZERO;

    private final ManualTimer timer = new ManualTimer();
    private final CrashLedger ledger = new CrashLedger(timer, () -> 1);
    private int crashes;

    private static Set<Trait> traits(String names) {
        return Stream.of(names.split(" ")).map(Trait::new).collect(Collectors.toSet());
    }

    /** Records the crash of another target one second later. */
    private void crash(String names) {
        timer.advance(SECOND);
        ledger.addCrash(new TargetId("t" + ++crashes), 1, traits(names), NOW);
    }

    private void serve(String names) {
        timer.advance(SECOND);
        ledger.addServed(traits(names), NOW);
    }

    private void crashTimes(int times, String names) {
        for (int i = 0; i < times; i++) {
            crash(names + " own" + crashes);
        }
    }

    private void crashThreeTimes(String names) {
        crashTimes(3, names);
    }

    /** Guards against overlooking a part because the requests with it are otherwise all different. */
    @Test
    void partOfThreeCrashesIsQuarantined() {
        crash("bad a r1");
        crash("bad b r2");
        assertThat(ledger.tryAdmit(traits("bad c r3"))).isTrue();
        crash("bad a r3 x y");
        assertThat(ledger.quarantined()).containsExactly(traits("bad"));
        assertThat(ledger.tryAdmit(traits("bad d r4"))).isFalse();
        assertThat(ledger.tryAdmit(traits("a b r5"))).isTrue();
    }

    /** Guards against blaming a part that every request has, because it was there whenever a target crashed. */
    @Test
    void partThatIsServedBetweenCrashesIsInnocent() {
        serve("common r0");
        crash("bad common r1");
        crash("bad common r2");
        serve("common r3");
        crash("bad common r4");
        crash("common r5");
        assertThat(ledger.quarantined()).containsExactly(traits("bad"));
    }

    /** Guards against taking an innocent part for the cause that was served before, but not since the crashes began. */
    @Test
    void partThatWasServedBeforeIsNotBlamedBesideOneThatWasNot() {
        serve("common r0");
        crashThreeTimes("bad common");
        crash("common r4");
        assertThat(ledger.quarantined()).containsExactly(traits("bad"));
    }

    /** Guards against refusing sound requests with a part that only crashing requests had until then. */
    @Test
    void innocentTwinStaysFree() {
        crashThreeTimes("bad twin");
        assertThat(ledger.quarantined()).containsExactly(traits("bad twin"));
        assertThat(ledger.tryAdmit(traits("twin r5"))).isTrue();
        serve("twin r5");
        assertThat(ledger.quarantined()).containsExactly(traits("bad"));
        assertThat(ledger.tryAdmit(traits("bad r6"))).isFalse();
    }

    /** Guards against one crashing part hiding another one. */
    @Test
    void twoPartsAreFound() {
        crashThreeTimes("bad");
        crashThreeTimes("worse");
        assertThat(ledger.quarantined()).containsExactlyInAnyOrder(traits("bad"), traits("worse"));
    }

    /** Guards against blaming the requests of all targets that a loss of power takes at the same time. */
    @Test
    void simultaneousCrashesCountOnce() {
        for (int i = 0; i < 5; i++) {
            ledger.addCrash(new TargetId("t" + i), 1, traits("a"), NOW);
        }
        assertThat(ledger.quarantined()).isEmpty();
    }

    /** Guards against counting a crash once for each instance that reports it. */
    @Test
    void reportsOnOneCrashCountOnce() {
        for (int i = 0; i < 5; i++) {
            timer.advance(Duration.ofMillis(300));
            ledger.addCrash(new TargetId("t"), 1, traits("a r" + i), NOW);
        }
        assertThat(ledger.quarantined()).isEmpty();
    }

    /** Guards against blaming a part that many requests have, when a few targets die for other reasons. */
    @Test
    void partThatWasServedBeforeNeedsMoreEvidence() {
        serve("a r0");
        crashTimes(4, "a");
        assertThat(ledger.quarantined()).isEmpty();
        crash("a");
        assertThat(ledger.quarantined()).containsExactly(traits("a"));
    }

    /** Guards against an innocent part that is refused for good although it was served before the crashes. */
    @Test
    void partThatWasServedBeforeIsTriedAgain() {
        serve("a r0");
        crashTimes(5, "a");
        assertThat(ledger.tryAdmit(traits("a r1"))).isFalse();
        timer.advance(Duration.ofSeconds(13));
        assertThat(ledger.tryAdmit(traits("a r1"))).as("trial").isTrue();
        assertThat(ledger.tryAdmit(traits("a r2"))).as("during the trial").isFalse();
        serve("a r1");
        assertThat(ledger.tryAdmit(traits("a r2"))).isTrue();
    }

    /** Guards against trials that crash targets again and again at the same pace. */
    @Test
    void trialsBecomeRarer() {
        serve("a r0");
        crashTimes(5, "a");
        timer.advance(Duration.ofSeconds(13));
        assertThat(ledger.tryAdmit(traits("a r1"))).isTrue();
        crash("a r1");
        timer.advance(Duration.ofSeconds(13));
        assertThat(ledger.tryAdmit(traits("a r2"))).isFalse();
        timer.advance(Duration.ofSeconds(10));
        assertThat(ledger.tryAdmit(traits("a r2"))).isTrue();
    }

    /** Guards against a part that was never served and is tried again while its requests keep coming. */
    @Test
    void partThatWasNeverServedIsNotTriedUntilItIsForgotten() {
        crashThreeTimes("bad");
        timer.advance(Duration.ofMinutes(14));
        assertThat(ledger.tryAdmit(traits("bad r"))).isFalse();
        timer.advance(Duration.ofMinutes(2));
        assertThat(ledger.tryAdmit(traits("bad r"))).isTrue();
    }

    /** Guards against a request that began before a part turned bad and clears it when it ends. */
    @Test
    void requestServedSinceBeforeTheCrashesClearsNothing() {
        crashTimes(5, "a");
        ledger.addServed(traits("a r"), Duration.ofSeconds(30));
        assertThat(ledger.tryAdmit(traits("a r2"))).isFalse();
    }

    /** Guards against instances that cannot agree because reports reach them in different orders. */
    @Property(tries = 200, seed = "7")
    void orderOfReportsDoesNotMatter(@ForAll Random random) {
        ManualTimer clock = new ManualTimer();
        CrashLedger first = new CrashLedger(clock, () -> 1);
        CrashLedger second = new CrashLedger(clock, () -> 1);
        List<Consumer<CrashLedger>> reports = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            Set<Trait> names = traits(random.nextInt(4) + " " + random.nextInt(8) + " r" + i);
            Duration age = Duration.ofMillis(random.nextInt(60_000));
            TargetId target = new TargetId("t" + i);
            reports.add(
                    random.nextInt(4) == 0
                            ? ledger -> ledger.addServedElsewhere(names, age)
                            : ledger -> ledger.addCrash(target, 1, names, age));
        }
        clock.advance(Duration.ofMinutes(2));
        reports.forEach(report -> report.accept(first));
        Collections.shuffle(reports, random);
        reports.forEach(report -> report.accept(second));
        assertThat(second.quarantined()).isEqualTo(first.quarantined());
    }

    /** Guards against memory that grows with the number of requests and crashes. */
    @Test
    void memoryIsBounded() {
        for (int i = 0; i < 10_000; i++) {
            ledger.addServed(traits("s" + i), NOW);
        }
        for (int i = 0; i < 1_000; i++) {
            crash("c" + i);
        }
        assertThat(ledger.isServed(new Trait("s0"))).isFalse();
        assertThat(ledger.isServed(new Trait("s9999"))).isTrue();
    }
}
