package org.verbenatally.order;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.verbenatally.config.ConfigHolder;
import org.verbenatally.config.ConfigReader;
import org.verbenatally.config.Deployment;
import org.verbenatally.config.Target;
import org.verbenatally.core.Address;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.core.TargetId;
import org.verbenatally.peer.MemberInfo;
import org.verbenatally.peer.MemberInfo.Status;
import org.verbenatally.time.PausableTimers;

import static org.assertj.core.api.Assertions.assertThat;

class OrderIssuerTest {
    private final PausableTimers timer = new PausableTimers();
    private final EngineStub engines = new EngineStub();

    @AfterEach
    void close() {
        timer.close();
    }

    /** In-memory engines; those with an odd number check the fencing number. */
    private final class EngineStub implements EngineControl {
        private final Map<TargetId, EngineState> states = new ConcurrentHashMap<>();
        private final Map<TargetId, Long> fences = new ConcurrentHashMap<>();
        private final List<EngineOrder> orders = new java.util.concurrent.CopyOnWriteArrayList<>();
        private volatile Runnable afterRead = () -> {};
        private volatile Runnable beforeSend = () -> {};

        @Override
        public CompletableFuture<EngineState> state(Target engine) {
            var state = states.getOrDefault(engine.id(), new EngineState("1", "serve", List.of(), false));
            afterRead.run();
            return CompletableFuture.completedFuture(state);
        }

        @Override
        public CompletableFuture<Void> send(Target engine, EngineOrder order) {
            beforeSend.run();
            return apply(engine, order);
        }

        private synchronized CompletableFuture<Void> apply(Target engine, EngineOrder order) {
            long highest = fences.getOrDefault(engine.id(), 0L);
            if (engine.checksFence() && order.fence().value() < highest) {
                return CompletableFuture.failedFuture(
                        new StepException(Step.ORDER, engine.id().value(), Outcome.NOT_RUN, "old fence"));
            }
            fences.put(engine.id(), Math.max(highest, order.fence().value()));
            orders.add(order);
            order.model()
                    .ifPresent(m -> states.put(
                            engine.id(),
                            new EngineState(
                                    "1",
                                    order.role(),
                                    List.of(new Target.LoadedModel(
                                            m, order.version().orElseThrow(), List.of())),
                                    false)));
            return CompletableFuture.completedFuture(null);
        }
    }

    private static ConfigHolder<Deployment> config(long version, int entries) throws Exception {
        String engine = """
                {"id": "engine-%d", "type": "engine", "host": "127.0.0.1", "port": %d, "failureDomain": "Bole",
                 "checksFence": %s, "models": [{"model": "m", "version": "%d"}]}""";
        String targets = IntStream.rangeClosed(1, 4)
                .mapToObj(i -> engine.formatted(i, 9000 + i, i % 2 == 1, version))
                .collect(java.util.stream.Collectors.joining(","));
        String text = """
                {"deployment": "test", "version": %d, "entryCount": %d, "weightStore": {"loadsPerMinute": 6},
                 "organisations": [{"id": "tana", "credentialSha256": "%s"}],
                 "kinds": [{"name": "guide", "runsOn": "engine", "model": "m", "urgency": "patient", "value": "high",
                            "repeatable": true, "delivery": "stream", "deadlineMs": 1000}],
                 "targets": [%s]}""".formatted(version, entries, "0".repeat(64), targets);
        var holder = new ConfigHolder<Deployment>();
        holder.offer(ConfigReader.readDocument("test", text.getBytes(StandardCharsets.UTF_8)));
        return holder;
    }

    private static MemberInfo member(String id, Status status) {
        return new MemberInfo(
                new InstanceId(id),
                new Incarnation(1),
                new Address("127.0.0.1", 1),
                new FailureDomain("Bole"),
                status,
                ConfigVersion.NONE,
                Optional.empty());
    }

    private OrderIssuer issuer(String self, ConfigHolder<Deployment> config, List<MemberInfo> members) {
        var issuer = new OrderIssuer(new InstanceId(self), () -> List.copyOf(members), config, engines, timer);
        run(issuer);
        timer.advance(OrderIssuer.SETTLE_TIME);
        return issuer;
    }

    private void run(OrderIssuer issuer) {
        try {
            issuer.round().get(30, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    /** Runs rounds for the given time, five seconds apart, so that the load budgets refill in between. */
    private void runFor(Duration time, OrderIssuer... issuers) {
        for (long t = 0; t < time.toSeconds(); t += 5) {
            for (OrderIssuer issuer : issuers) {
                run(issuer);
            }
            timer.advance(Duration.ofSeconds(5));
        }
    }

    private boolean allHave(String version) {
        return engines.states.size() == 4
                && engines.states.values().stream()
                        .allMatch(s -> s.models().getFirst().version().equals(version));
    }

    /** Guards against orders for states that are already met, which would load models again and again. */
    @Test
    void sendsOnlyOnDifference() throws Exception {
        var issuer = issuer("a", config(1, 1), List.of(member("a", Status.LIVE)));
        runFor(Duration.ofMinutes(2), issuer);
        assertThat(allHave("1")).isTrue();
        assertThat(issuer.sentCount()).isEqualTo(4);
        runFor(Duration.ofMinutes(5), issuer);
        assertThat(issuer.sentCount()).isEqualTo(4);
    }

    /** Guards against two issuers with different views of the membership that undo each other's orders. */
    @Test
    void racingIssuersSendTheSameOrders() throws Exception {
        var a = issuer("a", config(3, 1), List.of(member("a", Status.LIVE)));
        var b = issuer("b", config(3, 1), List.of(member("b", Status.LIVE)));
        engines.afterRead = Thread::yield;
        runFor(Duration.ofMinutes(3), a, b);
        assertThat(allHave("3")).isTrue();
        assertThat(engines.orders.stream().distinct()).hasSize(1);
        long before = a.sentCount() + b.sentCount();
        runFor(Duration.ofMinutes(3), a, b);
        assertThat(a.sentCount() + b.sentCount()).isEqualTo(before);
    }

    /** Guards against orders from a process that was paused between reading a state and sending an order. */
    @Test
    void pausedIssuerSendsNothingUntilSettled() throws Exception {
        var issuer = issuer("a", config(1, 1), List.of(member("a", Status.LIVE)));
        timer.advance(Duration.ofMinutes(1));
        engines.afterRead = () -> {
            timer.pause();
            timer.resume(Duration.ofMinutes(1));
        };
        run(issuer);
        engines.afterRead = () -> {};
        run(issuer);
        assertThat(issuer.sentCount()).isZero();
        timer.advance(OrderIssuer.SETTLE_TIME);
        run(issuer);
        assertThat(issuer.sentCount()).isPositive();
    }

    /**
     * Guards against an old order that arrives late: the engine refuses it by its fencing number, or the next round
     * corrects it.
     */
    @Test
    void delayedOldOrderIsRefusedOrCorrected() throws Exception {
        var members = List.of(member("b", Status.LIVE));
        var newIssuer = issuer("b", config(2, 1), members);
        var holder = config(1, 1);
        List<Runnable> delayed = new ArrayList<>();
        for (Target engine : holder.deployment().orElseThrow().targets().values()) {
            EngineOrder oldOrder =
                    DesiredState.orders(holder.deployment().get(), engine).getLast();
            delayed.add(() -> engines.apply(engine, oldOrder));
        }
        runFor(Duration.ofMinutes(3), newIssuer);
        assertThat(allHave("2")).isTrue();
        delayed.forEach(Runnable::run);
        assertThat(allHave("2")).isFalse();
        assertThat(engines.states
                        .get(new TargetId("engine-1"))
                        .models()
                        .getFirst()
                        .version())
                .isEqualTo("2");
        runFor(Duration.ofMinutes(3), newIssuer);
        assertThat(allHave("2")).isTrue();
    }

    /**
     * Guards against orders while it is undecided which member is the issuer, and against two issuers for one engine.
     */
    @Test
    void waitsAfterMembershipChangeAndActsOnlyForItsOwnEngines() throws Exception {
        List<MemberInfo> members = new ArrayList<>(List.of(member("a", Status.LIVE), member("b", Status.LIVE)));
        var a = issuer("a", config(1, 2), members);
        var b = issuer("b", config(1, 2), members);
        members.set(1, member("b", Status.SUSPECT));
        timer.advance(Duration.ofMinutes(1));
        run(a);
        assertThat(a.sentCount()).isZero();
        members.set(1, member("b", Status.LIVE));
        run(a);
        run(b);
        timer.advance(OrderIssuer.SETTLE_TIME);
        runFor(Duration.ofMinutes(4), a, b);
        assertThat(allHave("1")).isTrue();
        assertThat(a.sentCount() + b.sentCount()).isEqualTo(4);
    }

    /** Guards against entries that together exceed the weight store's limit. */
    @Test
    void sumOfSharesStaysBelowTheLimit() throws Exception {
        LoadBudget[] budgets = new LoadBudget[8];
        java.util.Arrays.setAll(budgets, i -> new LoadBudget(0));
        int taken = 0;
        for (long second = 1; second <= 600; second++) {
            for (LoadBudget budget : budgets) {
                taken += budget.tryTake(TimeUnit.SECONDS.toNanos(second), 6, 8) ? 1 : 0;
            }
            assertThat(taken).isLessThanOrEqualTo((int) Math.ceil(second / 60.0 * 6));
        }
        assertThat(taken).isEqualTo(56);
    }
}
