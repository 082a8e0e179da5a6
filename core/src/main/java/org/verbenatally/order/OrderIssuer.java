package org.verbenatally.order;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.jboss.logging.Logger;
import org.verbenatally.config.ConfigHolder;
import org.verbenatally.config.Deployment;
import org.verbenatally.config.Target;
import org.verbenatally.config.TargetType;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.TargetId;
import org.verbenatally.peer.MemberInfo;
import org.verbenatally.peer.MemberInfo.Status;
import org.verbenatally.peer.Rendezvous;
import org.verbenatally.time.TimerService;
import org.verbenatally.time.TimerService.Subscription;

/**
 * Brings the engines to the state that the configuration in force asks for. Every entry runs one; for each engine the
 * first live member by rendezvous hashing acts. Two issuers that act at once send the same absolute orders.
 */
public final class OrderIssuer implements AutoCloseable {
    /** Wait after a membership change or a pause; longer than the silence bound plus the pause check. */
    static final Duration SETTLE = Duration.ofSeconds(5);

    /** Period of the rounds in which reported states are compared with the desired ones. */
    static final Duration ROUND = Duration.ofSeconds(5);

    /** An order that is not followed yet is sent again after this long; loading a model takes a while. */
    static final Duration SEND_AGAIN = Duration.ofSeconds(60);

    /** A reported state may be this old when an order is sent because of it. */
    static final Duration MAX_STATE_AGE = Duration.ofSeconds(2);

    private static final Logger LOG = Logger.getLogger(OrderIssuer.class);

    private final InstanceId self;
    private final Supplier<List<MemberInfo>> members;
    private final ConfigHolder<Deployment> config;
    private final EngineControl control;
    private final TimerService timers;
    private final LoadBudget budget;
    private final Subscription round;
    private final Set<TargetId> busy = ConcurrentHashMap.newKeySet();
    private final Map<SentKey, Long> sent = new ConcurrentHashMap<>();
    private final AtomicLong orders = new AtomicLong();
    private Map<InstanceId, Status> view = Map.of();
    private long viewPauses;
    private long settledAt;

    private record SentKey(TargetId engine, String incarnation, EngineOrder order) {}

    /**
     * Starts an issuer.
     *
     * @param self id of this instance
     * @param members returns the members as this instance sees them
     * @param config the configuration in force
     * @param control access to the engines
     * @param timers the process's timer service
     */
    public OrderIssuer(
            InstanceId self,
            Supplier<List<MemberInfo>> members,
            ConfigHolder<Deployment> config,
            EngineControl control,
            TimerService timers) {
        this.self = Objects.requireNonNull(self, "self");
        this.members = Objects.requireNonNull(members, "members");
        this.config = Objects.requireNonNull(config, "config");
        this.control = Objects.requireNonNull(control, "control");
        this.timers = Objects.requireNonNull(timers, "timers");
        budget = new LoadBudget(timers.nanos());
        viewPauses = timers.pauseGeneration();
        settledAt = timers.nanos() + SETTLE.toNanos();
        round = timers.every(ROUND, t -> round());
    }

    /** Returns how many orders were sent. */
    public long orders() {
        return orders.get();
    }

    /** Compares the engines of this issuer with their desired state; completes when all have been handled. */
    CompletableFuture<Void> round() {
        List<MemberInfo> seen = members.get();
        long pauses = timers.pauseGeneration();
        Deployment deployment = config.deployment().orElse(null);
        if (deployment == null || !isSettled(seen, pauses)) {
            return CompletableFuture.completedFuture(null);
        }
        long now = timers.nanos();
        sent.values().removeIf(t -> now - t > SEND_AGAIN.toNanos());
        List<CompletableFuture<Void>> engines = deployment.targets().values().stream()
                .filter(t -> t.type() == TargetType.ENGINE && !t.leaving())
                .filter(t -> isIssuer(t, seen))
                .filter(t -> busy.add(t.id()))
                .map(t -> handle(deployment, t, pauses))
                .toList();
        return CompletableFuture.allOf(engines.toArray(CompletableFuture[]::new));
    }

    /** Returns whether the membership has not changed and the process was not paused for a while. */
    private synchronized boolean isSettled(List<MemberInfo> seen, long pauses) {
        Map<InstanceId, Status> now = new HashMap<>();
        seen.stream().filter(m -> m.status() != Status.GONE).forEach(m -> now.put(m.instance(), m.status()));
        if (!now.equals(view) || pauses != viewPauses) {
            view = now;
            viewPauses = pauses;
            settledAt = timers.nanos() + SETTLE.toNanos();
        }
        return timers.nanos() - settledAt >= 0;
    }

    private boolean isIssuer(Target engine, List<MemberInfo> seen) {
        List<InstanceId> live = seen.stream()
                .filter(m -> m.status() == Status.LIVE)
                .map(MemberInfo::instance)
                .toList();
        return Rendezvous.choose("order/" + engine.id(), live, 1).equals(List.of(self));
    }

    private CompletableFuture<Void> handle(Deployment deployment, Target engine, long pauses) {
        var done = new CompletableFuture<Void>();
        Thread.ofVirtual().name("order-" + engine.id()).start(() -> {
            try {
                reconcile(deployment, engine, pauses);
            } catch (ExecutionException e) {
                LOG.warnf("order: %s: %s", engine.id(), e.getCause().getMessage());
            } catch (TimeoutException e) {
                LOG.warnf("order: %s does not answer", engine.id());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                busy.remove(engine.id());
                done.complete(null);
            }
        });
        return done;
    }

    private void reconcile(Deployment deployment, Target engine, long pauses)
            throws ExecutionException, InterruptedException, TimeoutException {
        long start = timers.nanos();
        EngineState state = control.state(engine).get(MAX_STATE_AGE.toNanos(), TimeUnit.NANOSECONDS);
        if (state.leaving()) {
            return;
        }
        for (EngineOrder order : DesiredState.missing(deployment, engine, state)) {
            var key = new SentKey(engine.id(), state.incarnation(), order);
            if (sent.containsKey(key)
                    || !mayStillSend(deployment, engine, pauses, start)
                    || !afford(deployment, order)) {
                continue;
            }
            // Read again right before the send: a pause in between makes everything above out of date.
            if (!mayStillSend(deployment, engine, pauses, start)) {
                return;
            }
            sent.put(key, timers.nanos());
            orders.incrementAndGet();
            LOG.infof("order: %s to %s", order, engine.id());
            control.send(engine, order).get(MAX_STATE_AGE.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private boolean mayStillSend(Deployment deployment, Target engine, long pauses, long start) {
        return timers.pauseGeneration() == pauses
                && timers.nanos() - start < MAX_STATE_AGE.toNanos()
                && config.deployment().filter(d -> d == deployment).isPresent()
                && isIssuer(engine, members.get());
    }

    private boolean afford(Deployment deployment, EngineOrder order) {
        if (!order.loadsWeights()) {
            return true;
        }
        // Suspect members count: they may be alive on the other side of a partition and load as well.
        int live = members.get().stream()
                .filter(m -> m.status() != Status.GONE)
                .map(MemberInfo::instance)
                .collect(Collectors.toSet())
                .size();
        return budget.take(timers.nanos(), deployment.loadsPerMinute(), Math.max(deployment.entryCount(), live));
    }

    @Override
    public void close() {
        round.cancel();
    }
}
