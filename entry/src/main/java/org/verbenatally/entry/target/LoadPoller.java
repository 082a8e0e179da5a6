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
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.DecodeException;
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
 * Reads the load report of each target about every 500 ms. With many targets the period grows, so that the traffic of
 * one entry stays bounded. A report with an invalid field is dropped, which affects only its target.
 */
public final class LoadPoller {
    private static final Logger LOG = Logger.getLogger(LoadPoller.class);
    private static final Duration TICK = Duration.ofMillis(100);
    private static final Duration PERIOD = Duration.ofMillis(500);
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    /** A report takes about 300 bytes; 48 a second leave room for gossip within 18 KB/s. */
    private static final int POLLS_PER_SECOND = 48;

    private static final int MAX_BYTES = 16_384;
    private static final int MAX_MODELS = 256;
    private static final long MAX_COUNT = 10_000_000;
    private static final long MAX_TOKENS = 1_000_000_000_000L;
    private static final int OK = 200;

    private final HttpExchange http;
    private final Context context;
    private final TimerService timer;
    private final ConfigHolder<Deployment> config;
    private final TargetTable targets;
    private final Consumer<TargetId> onLeaving;
    private final Map<TargetId, Long> nextNanos = new ConcurrentHashMap<>();
    private final Set<TargetId> polling = ConcurrentHashMap.newKeySet();
    private final Map<TargetId, Incarnation> incarnations = new ConcurrentHashMap<>();

    /**
     * Creates a poller that does nothing yet.
     *
     * @param clients clients whose connections it uses
     * @param context context of a virtual-thread verticle
     * @param timer timer service
     * @param config names the targets
     * @param targets takes the reports
     * @param onLeaving told once when a target says that it is leaving
     */
    public LoadPoller(
            TargetClients clients,
            Context context,
            TimerService timer,
            ConfigHolder<Deployment> config,
            TargetTable targets,
            Consumer<TargetId> onLeaving) {
        this.http = clients.http();
        this.context = Objects.requireNonNull(context, "context");
        this.timer = Objects.requireNonNull(timer, "timer");
        this.config = Objects.requireNonNull(config, "config");
        this.targets = Objects.requireNonNull(targets, "targets");
        this.onLeaving = Objects.requireNonNull(onLeaving, "onLeaving");
    }

    /** Starts to poll. */
    public void start() {
        timer.every(TICK, tick -> config.deployment().ifPresent(this::pollDue));
    }

    private void pollDue(Deployment deployment) {
        long now = timer.nanos();
        int count = deployment.targets().size();
        long period = Math.max(PERIOD.toNanos(), count * TimeUnit.SECONDS.toNanos(1) / POLLS_PER_SECOND);
        nextNanos.keySet().retainAll(deployment.targets().keySet());
        incarnations.keySet().retainAll(deployment.targets().keySet());
        int index = 0;
        for (Target target : deployment.targets().values()) {
            // The first polls are spread over the period.
            long first = now + period * index++ / count;
            long due = nextNanos.computeIfAbsent(target.id(), id -> first);
            if (now - due >= 0 && polling.add(target.id())) {
                nextNanos.put(target.id(), now + period);
                context.runOnContext(v -> poll(target));
            }
        }
    }

    private void poll(Target target) {
        try {
            ReportedLoad load = fetch(target);
            boolean wasLeaving = targets.leaving().contains(target.id());
            targets.report(target.id(), load);
            incarnations.put(target.id(), load.incarnation());
            if (load.leaving() && !wasLeaving) {
                LOG.infof("target: %s is leaving", target.id());
                onLeaving.accept(target.id());
            }
        } catch (TargetFailure e) {
            LOG.debugf("target: no load report from %s: %s", target.id(), e.getMessage());
        } catch (RuntimeException e) {
            LOG.warnf(e, "target: load report of %s could not be taken", target.id());
        } finally {
            polling.remove(target.id());
        }
    }

    /** Returns the run of a target by its latest report. */
    public Optional<Incarnation> incarnation(TargetId target) {
        return Optional.ofNullable(incarnations.get(target));
    }

    /** Tells whether a target now runs as another incarnation; waits and must run in a virtual-thread task. */
    public boolean hasRestarted(Target target, Optional<Incarnation> before) {
        if (before.isEmpty()) {
            return false;
        }
        try {
            Incarnation now = fetch(target).incarnation();
            incarnations.put(target.id(), now);
            return !now.equals(before.get());
        } catch (TargetFailure e) {
            return e.reason() == TargetFailure.Cause.CONNECTION_REFUSED;
        }
    }

    private ReportedLoad fetch(Target target) throws TargetFailure {
        HttpClientRequest request = http.reuse(target, HttpMethod.GET, "/v1/load");
        HttpClientResponse response = http.send(target, request, null, TIMEOUT);
        Buffer body = http.body(target, request, response, MAX_BYTES, TIMEOUT);
        try {
            if (response.statusCode() != OK) {
                throw new IllegalArgumentException("status is " + response.statusCode());
            }
            return read(target, new JsonObject(body));
        } catch (DecodeException | ClassCastException e) {
            throw new TargetFailure(target.id(), TargetFailure.Cause.BAD_ANSWER, "report is malformed", e);
        } catch (IllegalArgumentException e) {
            throw new TargetFailure(target.id(), TargetFailure.Cause.BAD_ANSWER, e.getMessage(), e);
        }
    }

    /** Checks each field; the error names the field. */
    static ReportedLoad read(Target target, JsonObject json) {
        Object claimed = json.getValue("target");
        if (claimed != null && !claimed.equals(target.id().value())) {
            throw new IllegalArgumentException("target must be " + target.id());
        }
        boolean engine = target.type() == TargetType.ENGINE;
        long incarnation = number(json, "incarnation", 1L, 1, Long.MAX_VALUE);
        return new ReportedLoad(
                new Incarnation(incarnation),
                number(json, "atMs", 0L, 0, Long.MAX_VALUE),
                (int) number(json, "running", null, 0, MAX_COUNT),
                (int) number(json, "waiting", engine ? null : 0L, 0, MAX_COUNT),
                number(json, "kvUsedTokens", engine ? null : 0L, 0, MAX_TOKENS),
                number(json, "kvCapacityTokens", engine ? null : 0L, 0, MAX_TOKENS),
                number(json, "preemptions", 0L, 0, Long.MAX_VALUE),
                models(json),
                Boolean.TRUE.equals(json.getValue("leaving")));
    }

    private static long number(JsonObject json, String field, Long fallback, long min, long max) {
        Object value = json.getValue(field);
        if (value == null && fallback != null) {
            return fallback;
        }
        if (value instanceof Integer || value instanceof Long) {
            long number = ((Number) value).longValue();
            if (number >= min && number <= max) {
                return number;
            }
        }
        throw new IllegalArgumentException(field + " must be a whole number from " + min + " to " + max);
    }

    private static Set<ModelName> models(JsonObject json) {
        Set<ModelName> models = new HashSet<>();
        JsonArray array = json.getJsonArray("models", new JsonArray());
        if (array.size() > MAX_MODELS) {
            throw new IllegalArgumentException("models must have at most " + MAX_MODELS + " items");
        }
        for (Object item : (List<?>) array.getList()) {
            if (!(item instanceof String name)) {
                throw new IllegalArgumentException("models must be texts");
            }
            models.add(new ModelName(name));
        }
        return models;
    }
}
