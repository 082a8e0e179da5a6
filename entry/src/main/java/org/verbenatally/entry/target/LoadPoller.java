package org.verbenatally.entry.target;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.vertx.core.Context;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.jboss.logging.Logger;
import org.verbenatally.config.ConfigHolder;
import org.verbenatally.config.Deployment;
import org.verbenatally.config.Target;
import org.verbenatally.config.TargetType;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.ModelName;
import org.verbenatally.core.TargetId;
import org.verbenatally.policy.ReportedLoad;
import org.verbenatally.policy.TargetTable;
import org.verbenatally.time.TimerService;

/**
 * Polls the load report of each target about every 500 ms. With many targets the period grows, so that the traffic of
 * one entry stays bounded. A report with an invalid field is ignored, which affects only its target.
 */
public final class LoadPoller {
    private static final Logger LOG = Logger.getLogger(LoadPoller.class);
    private static final Duration CHECK_PERIOD = Duration.ofMillis(100);
    private static final Duration POLL_PERIOD = Duration.ofMillis(500);
    /** A report takes about 300 bytes, so 48 per second leave bandwidth for gossip within 18 KB/s. */
    private static final int POLLS_PER_SECOND = 48;

    private static final int MAX_MODELS = 256;
    private static final long MAX_REQUESTS = 10_000_000;
    private static final long MAX_TOKENS = 1_000_000_000_000L;

    private final LoadClient client;
    private final Context context;
    private final TimerService timer;
    private final ConfigHolder<Deployment> config;
    private final TargetTable targets;
    private final Consumer<TargetId> onLeaving;
    private final Map<TargetId, Long> nextPollNanos = new ConcurrentHashMap<>();
    private final Set<TargetId> activePolls = ConcurrentHashMap.newKeySet();
    private final Map<TargetId, Incarnation> incarnations = new ConcurrentHashMap<>();

    /**
     * Creates a poller that has not been started.
     *
     * @param clients clients of the targets, whose connections the poller shares
     * @param context context of a virtual-thread verticle
     * @param timer timer service
     * @param config configuration that names the targets
     * @param targets state of the targets, which receives the reports
     * @param onLeaving called once when a target reports that it is leaving
     */
    public LoadPoller(
            TargetClients clients,
            Context context,
            TimerService timer,
            ConfigHolder<Deployment> config,
            TargetTable targets,
            Consumer<TargetId> onLeaving) {
        this.client = new LoadClient(clients.http());
        this.context = Objects.requireNonNull(context, "context");
        this.timer = Objects.requireNonNull(timer, "timer");
        this.config = Objects.requireNonNull(config, "config");
        this.targets = Objects.requireNonNull(targets, "targets");
        this.onLeaving = Objects.requireNonNull(onLeaving, "onLeaving");
    }

    /** Starts polling. */
    public void start() {
        timer.every(CHECK_PERIOD, tick -> config.deployment().ifPresent(this::pollDue));
    }

    private void pollDue(Deployment deployment) {
        long now = timer.nanos();
        int count = deployment.targets().size();
        long periodNanos = Math.max(POLL_PERIOD.toNanos(), count * TimeUnit.SECONDS.toNanos(1) / POLLS_PER_SECOND);
        nextPollNanos.keySet().retainAll(deployment.targets().keySet());
        client.retainAll(deployment.targets().keySet());
        incarnations.keySet().retainAll(deployment.targets().keySet());
        int index = 0;
        for (Target target : deployment.targets().values()) {
            // Distribute the first polls evenly over the period.
            long firstPollNanos = now + periodNanos * index++ / count;
            long dueNanos = nextPollNanos.computeIfAbsent(target.id(), id -> firstPollNanos);
            if (now - dueNanos >= 0 && activePolls.add(target.id())) {
                nextPollNanos.put(target.id(), now + periodNanos);
                context.runOnContext(v -> poll(target));
            }
        }
    }

    private void poll(Target target) {
        try {
            ReportedLoad load = client.poll(target);
            boolean wasLeaving = targets.leavingTargets().contains(target.id());
            targets.recordReport(target.id(), load);
            incarnations.put(target.id(), load.incarnation());
            if (load.leaving() && !wasLeaving) {
                LOG.infof("target: %s is leaving", target.id());
                onLeaving.accept(target.id());
            }
        } catch (TargetFailure e) {
            LOG.debugf("target: no load report from %s: %s", target.id(), e.getMessage());
        } catch (RuntimeException e) {
            LOG.warnf(e, "target: cannot process the load report of %s", target.id());
        } finally {
            activePolls.remove(target.id());
        }
    }

    /** Returns the incarnation of a target according to its latest report, or empty if none has been read. */
    public Optional<Incarnation> incarnation(TargetId target) {
        return Optional.ofNullable(incarnations.get(target));
    }

    /**
     * Returns whether a target now runs as another incarnation or refuses connections; {@code false} if the previous
     * incarnation is unknown or no report can be read. Waits and must run in a virtual-thread task.
     */
    public boolean hasRestarted(Target target, Optional<Incarnation> previous) {
        if (previous.isEmpty()) {
            return false;
        }
        try {
            Incarnation now = client.readOnce(target).incarnation();
            incarnations.put(target.id(), now);
            return !now.equals(previous.get());
        } catch (TargetFailure e) {
            return e.reason() == TargetFailure.Cause.CONNECTION_REFUSED;
        }
    }

    /**
     * Parses a load report.
     *
     * @throws IllegalArgumentException if a field is invalid; the message starts with the field's name
     */
    static ReportedLoad parse(Target target, JsonObject json) {
        Object reportedTarget = json.getValue("target");
        if (reportedTarget != null && !reportedTarget.equals(target.id().value())) {
            throw new IllegalArgumentException("target must be " + target.id());
        }
        boolean engine = target.type() == TargetType.ENGINE;
        long incarnation = number(json, "incarnation", 1L, 1, Long.MAX_VALUE);
        return new ReportedLoad(
                new Incarnation(incarnation),
                number(json, "atMs", 0L, 0, Long.MAX_VALUE),
                (int) number(json, "running", null, 0, MAX_REQUESTS),
                (int) number(json, "waiting", engine ? null : 0L, 0, MAX_REQUESTS),
                number(json, "kvUsedTokens", engine ? null : 0L, 0, MAX_TOKENS),
                number(json, "kvCapacityTokens", engine ? null : 0L, 0, MAX_TOKENS),
                number(json, "preemptions", 0L, 0, Long.MAX_VALUE),
                models(json),
                Boolean.TRUE.equals(json.getValue("leaving")));
    }

    private static long number(JsonObject json, String field, Long defaultValue, long min, long max) {
        Object value = json.getValue(field);
        if (value == null && defaultValue != null) {
            return defaultValue;
        }
        if (value instanceof Integer || value instanceof Long) {
            long number = ((Number) value).longValue();
            if (number >= min && number <= max) {
                return number;
            }
        }
        throw new IllegalArgumentException(field + " must be an integer from " + min + " to " + max);
    }

    private static Set<ModelName> models(JsonObject json) {
        Set<ModelName> models = new HashSet<>();
        JsonArray array = json.getJsonArray("models", new JsonArray());
        if (array.size() > MAX_MODELS) {
            throw new IllegalArgumentException("models must have at most " + MAX_MODELS + " items");
        }
        for (Object item : (List<?>) array.getList()) {
            if (!(item instanceof String name)) {
                throw new IllegalArgumentException("models must be strings");
            }
            models.add(new ModelName(name));
        }
        return models;
    }
}
