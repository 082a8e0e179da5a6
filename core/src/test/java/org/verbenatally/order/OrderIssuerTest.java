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
    private final PausableTimers timers = new PausableTimers();
    private final Engines engines = new Engines();

    @AfterEach
    void close() {
        timers.close();
    }

    /** Engines in memory; those with an odd number check the fencing number. */
    private final class Engines implements EngineControl {
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
        var issuer = new OrderIssuer(new InstanceId(self), () -> List.copyOf(members), config, engines, timers);
        run(issuer);
        timers.advance(OrderIssuer.SETTLE);
        return issuer;
    }

    private void run(OrderIssuer issuer) {
        try {
            issuer.round().get(30, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    /** Runs rounds, with time for the weight store's rate in between. */
    private void runFor(Duration time, OrderIssuer... issuers) {
        for (long t = 0; t < time.toSeconds(); t += 5) {
            for (OrderIssuer issuer : issuers) {
                run(issuer);
            }
            timers.advance(Duration.ofSeconds(5));
        }
    }

    private boolean allHave(String version) {
        return engines.states.size() == 4
                && engines.states.values().stream()
                        .allMatch(s -> s.models().getFirst().version().equals(version));
    }

    /** Guards against orders without a difference, which would load models again and again. */
    @Test
    void sendsOnlyOnDifference() throws Exception {
        var issuer = issuer("a", config(1, 1), List.of(member("a", Status.LIVE)));
        runFor(Duration.ofMinutes(2), issuer);
        assertThat(allHave("1")).isTrue();
        assertThat(issuer.orders()).isEqualTo(4);
        runFor(Duration.ofMinutes(5), issuer);
        assertThat(issuer.orders()).isEqualTo(4);
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
        long before = a.orders() + b.orders();
        runFor(Duration.ofMinutes(3), a, b);
        assertThat(a.orders() + b.orders()).isEqualTo(before);
    }

    /** Guards against orders of a process that was paused between its check and its decision. */
    @Test
    void pausedIssuerSendsNothingUntilSettled() throws Exception {
        var issuer = issuer("a", config(1, 1), List.of(member("a", Status.LIVE)));
        timers.advance(Duration.ofMinutes(1));
        engines.afterRead = () -> {
            timers.pause();
            timers.resume(Duration.ofMinutes(1));
        };
        run(issuer);
        engines.afterRead = () -> {};
        run(issuer);
        assertThat(issuer.orders()).isZero();
        timers.advance(OrderIssuer.SETTLE);
        run(issuer);
        assertThat(issuer.orders()).isPositive();
    }

    /** Guards against an old order that arrives late: refused by fence, or repaired by the next round. */
    @Test
    void lateOldOrderIsRefusedOrRepaired() throws Exception {
        var members = List.of(member("b", Status.LIVE));
        var next = issuer("b", config(2, 1), members);
        var holder = config(1, 1);
        List<Runnable> late = new ArrayList<>();
        for (Target engine : holder.deployment().orElseThrow().targets().values()) {
            EngineOrder old =
                    DesiredState.orders(holder.deployment().get(), engine).getLast();
            late.add(() -> engines.apply(engine, old));
        }
        runFor(Duration.ofMinutes(3), next);
        assertThat(allHave("2")).isTrue();
        late.forEach(Runnable::run);
        assertThat(allHave("2")).isFalse();
        assertThat(engines.states
                        .get(new TargetId("engine-1"))
                        .models()
                        .getFirst()
                        .version())
                .isEqualTo("2");
        runFor(Duration.ofMinutes(3), next);
        assertThat(allHave("2")).isTrue();
    }

    /** Guards against orders while it is open who the issuer is, and against two issuers for one engine. */
    @Test
    void waitsAfterMembershipChangeAndActsForItsOwnEnginesOnly() throws Exception {
        List<MemberInfo> members = new ArrayList<>(List.of(member("a", Status.LIVE), member("b", Status.LIVE)));
        var a = issuer("a", config(1, 2), members);
        var b = issuer("b", config(1, 2), members);
        members.set(1, member("b", Status.SUSPECT));
        timers.advance(Duration.ofMinutes(1));
        run(a);
        assertThat(a.orders()).isZero();
        members.set(1, member("b", Status.LIVE));
        run(a);
        run(b);
        timers.advance(OrderIssuer.SETTLE);
        runFor(Duration.ofMinutes(4), a, b);
        assertThat(allHave("1")).isTrue();
        assertThat(a.orders() + b.orders()).isEqualTo(4);
    }

    /** Guards against a fleet whose entries together pass the weight store's limit. */
    @Test
    void sumOfSharesStaysBelowTheLimit() throws Exception {
        LoadBudget[] budgets = new LoadBudget[8];
        java.util.Arrays.setAll(budgets, i -> new LoadBudget(0));
        int taken = 0;
        for (long second = 1; second <= 600; second++) {
            for (LoadBudget budget : budgets) {
                taken += budget.take(TimeUnit.SECONDS.toNanos(second), 6, 8) ? 1 : 0;
            }
            assertThat(taken).isLessThanOrEqualTo((int) Math.ceil(second / 60.0 * 6));
        }
        assertThat(taken).isEqualTo(56);
    }
}
