package org.verbenatally.policy;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;
import org.verbenatally.config.Kind;
import org.verbenatally.config.Organisation;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.StepException;
import org.verbenatally.core.TargetId;
import org.verbenatally.time.ManualTimer;

import static org.assertj.core.api.Assertions.assertThat;

class DispatcherTest {
    private static final Kind GUIDE = Fixtures.engineKind("guide", Kind.Urgency.PATIENT);
    private static final Kind LOOKUP = Fixtures.engineKind("lookup", Kind.Urgency.URGENT);
    private static final long DEADLINE = 600_000_000_000L;

    private final ManualTimer timer = new ManualTimer();
    private TargetTable targets;
    private SuspectTable suspects;

    private Dispatcher dispatcher(String policy, int engines, int maxConcurrent, int maxQueued) {
        targets = new TargetTable(timer);
        suspects = new SuspectTable(timer);
        Dispatcher dispatcher = new Dispatcher(timer, targets, suspects, Fixtures.DOMAIN, PolicySuite.byName(policy));
        dispatcher.configure(Fixtures.deployment(engines, maxConcurrent, maxQueued, GUIDE, LOOKUP));
        return dispatcher;
    }

    /** Guards against requests that are lost, are counted as ended twice, or exceed the bound of the queue. */
    @Property(seed = "13", tries = 100)
    void everyRequestCompletesAndReleasesItsSlotOnce(
            @ForAll @Size(max = 120) List<@IntRange(min = 0, max = 5) Integer> actions,
            @ForAll @IntRange(min = 0, max = 6) int policy) {
        Dispatcher dispatcher = dispatcher(PolicySuite.names().get(policy), 3, 4, 7);
        List<CompletableFuture<InFlightRequest>> futures = new ArrayList<>();
        Deque<InFlightRequest> inFlight = new ArrayDeque<>();
        long number = 0;
        for (int action : actions) {
            if (action < 4) {
                Organisation owner = Fixtures.organisation("org-" + action, 1 + action);
                Kind kind = action == 0 ? LOOKUP : GUIDE;
                CompletableFuture<InFlightRequest> future =
                        dispatcher.acquire(Fixtures.request(kind, owner, ++number, timer.nanos() + DEADLINE));
                future.thenAccept(inFlight::add);
                futures.add(future);
            } else if (!inFlight.isEmpty()) {
                InFlightRequest dispatched = inFlight.poll();
                dispatched.recordToken();
                dispatched.end(action == 4 ? AttemptEnd.DONE : AttemptEnd.FAILED);
                dispatched.end(AttemptEnd.DONE);
            }
            timer.advance(Duration.ofMillis(10));
            assertThat(dispatcher.queuedRequests()).isLessThanOrEqualTo(7);
            assertThat(dispatcher.inFlightRequests()).isEqualTo(inFlight.size());
        }
        while (!inFlight.isEmpty()) {
            inFlight.poll().end(AttemptEnd.DONE);
        }
        dispatcher.close();
        assertThat(futures).allMatch(CompletableFuture::isDone);
        assertThat(inFlight).isEmpty();
        assertThat(dispatcher.inFlightRequests()).isZero();
        assertThat(targets.ownLoads()).isEmpty();
        futures.stream().filter(CompletableFuture::isCompletedExceptionally).forEach(f -> {
            StepException failure = (StepException) f.exceptionNow();
            assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
            assertThat(failure.retryAfter()).isPresent();
        });
    }

    /** Guards against a large organisation that starves a small one: slots are shared in proportion to the shares. */
    @Property(seed = "14", tries = 20)
    void sharesConvergeUnderBacklog(@ForAll @IntRange(min = 1, max = 4) int share) {
        Dispatcher dispatcher = dispatcher("headroom", 1, 4, 2000);
        Deque<InFlightRequest> inFlight = new ArrayDeque<>();
        Map<String, Integer> started = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            for (String name : List.of("large", "small")) {
                Organisation owner = Fixtures.organisation(name, name.equals("large") ? share : 1);
                dispatcher
                        .acquire(Fixtures.request(LOOKUP, owner, 2L * i + name.length(), timer.nanos() + DEADLINE))
                        .thenAccept(dispatched -> {
                            started.merge(name, 1, Integer::sum);
                            inFlight.add(dispatched);
                        });
            }
            // Regular starts keep the estimated wait short enough that the queue accepts the other requests.
            if (i % 2 == 0 && !inFlight.isEmpty()) {
                inFlight.poll().end(AttemptEnd.DONE);
            }
            timer.advance(Duration.ofMillis(20));
        }
        assertThat(started).containsKeys("large", "small");
        assertThat((double) started.get("large") / started.get("small")).isBetween(0.6 * share, 1.5 * share);
        dispatcher.close();
    }

    /** Guards against requests that are sent to a leaving target. */
    @Test
    void leavingTargetsGetNoNewWork() {
        Dispatcher dispatcher = dispatcher("headroom", 2, 8, 10);
        targets.markLeaving(new org.verbenatally.core.TargetId("engine-0"));
        for (int i = 0; i < 6; i++) {
            InFlightRequest dispatched = dispatcher
                    .acquire(Fixtures.request(LOOKUP, Fixtures.organisation("tana", 1), i, DEADLINE))
                    .join();
            assertThat(dispatched.target().value()).isEqualTo("engine-1");
        }
    }

    /** Guards against a request that crashes one target after another. */
    @Test
    void aRequestThatCrashesTwoTargetsAloneIsRefused() {
        Dispatcher dispatcher = dispatcher("headroom", 3, 8, 10);
        WorkRequest poison = Fixtures.request(GUIDE, Fixtures.organisation("tana", 1), 99, DEADLINE);
        dispatcher.acquire(poison).join().end(AttemptEnd.CRASHED);
        assertThat(suspects.verdict(poison.fingerprint())).isEqualTo(SuspectTable.Verdict.ISOLATE);
        dispatcher.acquire(poison).join().end(AttemptEnd.CRASHED);
        assertThat(suspects.verdict(poison.fingerprint())).isEqualTo(SuspectTable.Verdict.QUARANTINED);
        assertThat(dispatcher.acquire(poison)).isCompletedExceptionally();
    }

    private static WorkRequest request(long prefixHash, long number) {
        return new WorkRequest(
                GUIDE,
                Fixtures.organisation("tana", 1),
                100,
                prefixHash,
                new Fingerprint(number, 1),
                DEADLINE,
                Set.of());
    }

    /** Guards against targets that crash one after the other under requests that only begin with the same prompt. */
    @Test
    void requestsWithCrashingPrefixAreRefused() {
        Dispatcher dispatcher = dispatcher("headroom", 8, 8, 10);
        int crashes = 0;
        for (int i = 0; i < 8; i++) {
            CompletableFuture<InFlightRequest> sound = dispatcher.acquire(request(7, 100 + i));
            sound.join().recordToken();
            CompletableFuture<InFlightRequest> crashing = dispatcher.acquire(request(5, i));
            if (!crashing.isCompletedExceptionally()) {
                crashing.join().end(AttemptEnd.CRASHED);
                crashes++;
            }
            sound.join().end(AttemptEnd.DONE);
            timer.advance(Duration.ofSeconds(2));
        }
        assertThat(crashes).isLessThanOrEqualTo(5);
        assertThat(dispatcher.acquire(request(7, 200))).isCompletedWithValueMatching(r -> r != null);
    }

    private static void crashOthers(ManualTimer timer, CrashReporter crashes, long prefixHash) {
        for (int i = 0; i < 5; i++) {
            timer.advance(Duration.ofSeconds(2));
            crashes.recordCrash(
                    new TargetId("other-" + i), 0, request(prefixHash, i).traits(), Duration.ZERO);
        }
    }

    private Dispatcher dispatcher(CrashReporter crashes) {
        targets = new TargetTable(timer);
        Dispatcher dispatcher = new Dispatcher(timer, targets, new SuspectTable(timer), crashes, Fixtures.DOMAIN);
        dispatcher.configure(Fixtures.deployment(1, 8, 10, GUIDE, LOOKUP));
        return dispatcher;
    }

    /** Takes all room, and returns the requests that have it. */
    private static List<InFlightRequest> fill(Dispatcher dispatcher) {
        List<InFlightRequest> running = new ArrayList<>();
        while (dispatcher.queuedRequests() == 0) {
            dispatcher.acquire(request(7, 1_000 + running.size())).thenAccept(running::add);
        }
        return running;
    }

    /** Guards against a queued request that is sent although its prefix was found to crash targets since. */
    @Test
    void queuedRequestWithCrashingPrefixIsRefused() {
        CrashReporter crashes = CrashReporter.withoutPeers(timer);
        Dispatcher dispatcher = dispatcher(crashes);
        List<InFlightRequest> running = fill(dispatcher);
        CompletableFuture<InFlightRequest> crashing = dispatcher.acquire(request(5, 101));
        CompletableFuture<InFlightRequest> sound = dispatcher.acquire(request(6, 102));
        assertThat(crashing).isNotDone();
        crashOthers(timer, crashes, 5);
        List.copyOf(running).forEach(r -> r.end(AttemptEnd.DONE));
        timer.advance(Duration.ofMillis(20));
        assertThat(crashing).isCompletedExceptionally();
        assertThat(((StepException) crashing.exceptionNow()).outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(sound).isCompletedWithValueMatching(r -> r != null);
    }

    /** Guards against a quarantine that never ends because the request that would show it is refused in the queue. */
    @Test
    void queuedRequestThatTriesPrefixAgainIsSent() {
        CrashReporter crashes = CrashReporter.withoutPeers(timer);
        Dispatcher dispatcher = dispatcher(crashes);
        dispatcher.acquire(request(5, 100)).thenAccept(r -> r.end(AttemptEnd.DONE));
        assertThat(crashes.ledger().isServed(request(5, 0).traits().iterator().next()))
                .isTrue();
        crashOthers(timer, crashes, 5);
        assertThat(dispatcher.acquire(request(5, 101))).isCompletedExceptionally();
        timer.advance(Duration.ofMinutes(5));
        List<InFlightRequest> running = fill(dispatcher);
        CompletableFuture<InFlightRequest> trial = dispatcher.acquire(request(5, 103));
        assertThat(trial).isNotDone();
        List.copyOf(running).forEach(r -> r.end(AttemptEnd.DONE));
        timer.advance(Duration.ofMillis(20));
        assertThat(trial).isCompletedWithValueMatching(r -> r != null);
    }

    /** The operations that lincheck interleaves. */
    public static class Concurrent {
        private final DispatcherTest test = new DispatcherTest();
        private final Dispatcher dispatcher = test.dispatcher("fewest-in-flight", 1, 1, 0);
        private final InFlightRequest first = dispatcher
                .acquire(Fixtures.request(LOOKUP, Fixtures.organisation("tana", 1), 1, DEADLINE))
                .join();

        @Operation
        public void endFirst() {
            first.end(AttemptEnd.DONE);
        }

        @Operation
        public int inFlight() {
            return dispatcher.inFlightRequests();
        }
    }

    /** Guards against a request that is ended twice concurrently and releases two slots. */
    @Test
    void endingIsLinearizable() {
        new ModelCheckingOptions()
                .iterations(5)
                .threads(2)
                .actorsPerThread(2)
                .invocationsPerIteration(100)
                .check(Concurrent.class);
    }
}
