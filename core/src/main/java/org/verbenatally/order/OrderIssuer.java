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
 * Brings the engines into the state that the active configuration requires. Every entry runs an issuer; for each
 * engine, the first live member by rendezvous hashing acts. Two issuers that act at the same time send the same
 * absolute orders.
 */
public final class OrderIssuer implements AutoCloseable {
    /**
     * Wait after a membership change or a pause; longer than the silence timeout plus the interval of the pause check.
     */
    static final Duration SETTLE_TIME = Duration.ofSeconds(5);

    /** Interval of the rounds, in which the reported states are compared with the desired ones. */
    static final Duration ROUND_INTERVAL = Duration.ofSeconds(5);

    /** An order that the engine has not carried out is sent again after this time; loading a model takes a while. */
    static final Duration RETRY_INTERVAL = Duration.ofSeconds(60);

    /** Largest age of the reported state that an order is based on. */
    static final Duration MAX_STATE_AGE = Duration.ofSeconds(2);

    private static final Logger LOG = Logger.getLogger(OrderIssuer.class);

    private final InstanceId self;
    private final Supplier<List<MemberInfo>> members;
    private final ConfigHolder<Deployment> config;
    private final EngineControl control;
    private final TimerService timer;
    private final LoadBudget loadBudget;
    private final Subscription roundSubscription;
    private final Set<TargetId> inProgress = ConcurrentHashMap.newKeySet();
    private final Map<SentKey, Long> sentNanos = new ConcurrentHashMap<>();
    private final AtomicLong sentCount = new AtomicLong();
    private Map<InstanceId, Status> lastMembership = Map.of();
    private long lastPauseGeneration;
    private long settledAtNanos;

    private record SentKey(TargetId engine, String incarnation, EngineOrder order) {}

    /**
     * Starts an issuer.
     *
     * @param self id of this instance
     * @param members returns the members as this instance sees them
     * @param config the active configuration
     * @param control access to the engines
     * @param timer the timer service of the process
     */
    public OrderIssuer(
            InstanceId self,
            Supplier<List<MemberInfo>> members,
            ConfigHolder<Deployment> config,
            EngineControl control,
            TimerService timer) {
        this.self = Objects.requireNonNull(self, "self");
        this.members = Objects.requireNonNull(members, "members");
        this.config = Objects.requireNonNull(config, "config");
        this.control = Objects.requireNonNull(control, "control");
        this.timer = Objects.requireNonNull(timer, "timer");
        loadBudget = new LoadBudget(timer.nanos());
        lastPauseGeneration = timer.pauseGeneration();
        settledAtNanos = timer.nanos() + SETTLE_TIME.toNanos();
        roundSubscription = timer.every(ROUND_INTERVAL, t -> round());
    }

    /** Returns how many orders were sent. */
    public long sentCount() {
        return sentCount.get();
    }

    /**
     * Compares the engines of this issuer with their desired states; the future completes when all have been handled.
     */
    CompletableFuture<Void> round() {
        List<MemberInfo> membership = members.get();
        long pauseGeneration = timer.pauseGeneration();
        Deployment deployment = config.deployment().orElse(null);
        if (deployment == null || !isSettled(membership, pauseGeneration)) {
            return CompletableFuture.completedFuture(null);
        }
        long now = timer.nanos();
        sentNanos.values().removeIf(t -> now - t > RETRY_INTERVAL.toNanos());
        List<CompletableFuture<Void>> engines = deployment.targets().values().stream()
                .filter(t -> t.type() == TargetType.ENGINE && !t.leaving())
                .filter(t -> isIssuer(t, membership))
                .filter(t -> inProgress.add(t.id()))
                .map(t -> startReconciliation(deployment, t, pauseGeneration))
                .toList();
        return CompletableFuture.allOf(engines.toArray(CompletableFuture[]::new));
    }

    /** Returns whether, for the settle time, the membership has not changed and the process has not been paused. */
    private synchronized boolean isSettled(List<MemberInfo> membership, long pauseGeneration) {
        Map<InstanceId, Status> current = new HashMap<>();
        membership.stream().filter(m -> m.status() != Status.GONE).forEach(m -> current.put(m.instance(), m.status()));
        if (!current.equals(lastMembership) || pauseGeneration != lastPauseGeneration) {
            lastMembership = current;
            lastPauseGeneration = pauseGeneration;
            settledAtNanos = timer.nanos() + SETTLE_TIME.toNanos();
        }
        return timer.nanos() - settledAtNanos >= 0;
    }

    private boolean isIssuer(Target engine, List<MemberInfo> membership) {
        List<InstanceId> live = membership.stream()
                .filter(m -> m.status() == Status.LIVE)
                .map(MemberInfo::instance)
                .toList();
        return Rendezvous.choose("order/" + engine.id(), live, 1).equals(List.of(self));
    }

    private CompletableFuture<Void> startReconciliation(Deployment deployment, Target engine, long pauseGeneration) {
        var done = new CompletableFuture<Void>();
        Thread.ofVirtual().name("order-" + engine.id()).start(() -> {
            try {
                reconcile(deployment, engine, pauseGeneration);
            } catch (ExecutionException e) {
                LOG.warnf("order: %s: %s", engine.id(), e.getCause().getMessage());
            } catch (TimeoutException e) {
                LOG.warnf("order: %s did not respond in time", engine.id());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                inProgress.remove(engine.id());
                done.complete(null);
            }
        });
        return done;
    }

    private void reconcile(Deployment deployment, Target engine, long pauseGeneration)
            throws ExecutionException, InterruptedException, TimeoutException {
        long startNanos = timer.nanos();
        EngineState state = control.state(engine).get(MAX_STATE_AGE.toNanos(), TimeUnit.NANOSECONDS);
        if (state.leaving()) {
            return;
        }
        for (EngineOrder order : DesiredState.unmet(deployment, engine, state)) {
            var key = new SentKey(engine.id(), state.incarnation(), order);
            if (sentNanos.containsKey(key)
                    || !isSendAllowed(deployment, engine, pauseGeneration, startNanos)
                    || !tryTakeLoad(deployment, order)) {
                continue;
            }
            // Checked again right before sending: a pause in between would make the checks above out of date.
            if (!isSendAllowed(deployment, engine, pauseGeneration, startNanos)) {
                return;
            }
            sentNanos.put(key, timer.nanos());
            sentCount.incrementAndGet();
            LOG.infof("order: sending %s to %s", order, engine.id());
            control.send(engine, order).get(MAX_STATE_AGE.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private boolean isSendAllowed(Deployment deployment, Target engine, long pauseGeneration, long startNanos) {
        return timer.pauseGeneration() == pauseGeneration
                && timer.nanos() - startNanos < MAX_STATE_AGE.toNanos()
                && config.deployment().filter(d -> d == deployment).isPresent()
                && isIssuer(engine, members.get());
    }

    private boolean tryTakeLoad(Deployment deployment, EngineOrder order) {
        if (!order.loadsWeights()) {
            return true;
        }
        // Suspected members count: they may be alive on the other side of a partition and issue loads as well.
        int memberCount = members.get().stream()
                .filter(m -> m.status() != Status.GONE)
                .map(MemberInfo::instance)
                .collect(Collectors.toSet())
                .size();
        return loadBudget.tryTake(
                timer.nanos(), deployment.loadsPerMinute(), Math.max(deployment.entryCount(), memberCount));
    }

    @Override
    public void close() {
        roundSubscription.cancel();
    }
}
