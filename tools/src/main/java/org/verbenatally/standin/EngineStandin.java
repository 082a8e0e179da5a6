package org.verbenatally.standin;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import org.verbenatally.core.GenerationId;

/**
 * Stand-in for a model engine: HTTP interface, generations and connections. {@link BatchScheduler} implements the
 * timing and memory model, which {@code docs/standins.md} describes.
 *
 * <p>Markers in the prompt, which only the stand-in interprets: {@code [len=N]} sets the output length in tokens;
 * {@code [crash]} crashes the engine when the prompt has been processed, {@code [crash=N]} after N tokens;
 * {@code [work=ID]} adds the id of the work item to the history.
 *
 * <p>Admin: {@code GET /admin/history}, {@code PATCH /admin/options} (members of {@link EngineOptions}), {@code POST
 * /admin/halt} with {@code {"afterMs":n}}, {@code POST /admin/drop-connections}, {@code GET /admin/state}.
 */
public final class EngineStandin implements AutoCloseable {
    private static final long SWEEP_INTERVAL_MS = 50;
    /**
     * A step is timed from the planned end of the previous one if that is less than 5 ms ago, so that timer delays do
     * not add up.
     */
    private static final long MAX_TIMER_LAG_NANOS = 5_000_000;

    private final StandinHost host;
    private final History history;
    private final Runnable onCrash;
    private final PrefixCache cache;
    private final CacheEvents cacheEvents;
    private final BatchScheduler scheduler;
    private final LaggedReports reports = new LaggedReports();
    private final Map<GenerationId, Sequence> sequences = new HashMap<>();
    private final long incarnation = System.currentTimeMillis();
    private final ModelStore models;
    private EngineOptions options;
    private long arrivals;
    private boolean stepInProgress;
    private boolean crashed;
    private long plannedStepEndNanos;
    private long lastHeartbeatNanos;

    /** Creates a stopped engine whose crash drops the listener and all connections. */
    public EngineStandin(EngineOptions options) {
        this(options, null);
    }

    /**
     * Creates a stopped engine.
     *
     * @param onCrash action that simulates the crash; {@code null}: drops the listener and all connections
     */
    public EngineStandin(EngineOptions options, Runnable onCrash) {
        this.options = Objects.requireNonNull(options, "options");
        host = new StandinHost(options.host(), options.port());
        history = new History(options.id(), options.history());
        this.onCrash = onCrash == null ? host::abort : onCrash;
        cacheEvents = new CacheEvents(options.seed());
        cache = new PrefixCache((type, block) -> cacheEvents.add(type, block, this.options.cacheEventGapShare()));
        scheduler = new BatchScheduler(cache);
        models = new ModelStore(host.vertx(), options, loaded -> history.add("loaded", loaded));
    }

    /** Starts listening and returns the bound port. */
    public int start() {
        reports.add(load(), 0);
        int port = host.start(this::handleRequest);
        host.call(() -> host.vertx().setPeriodic(SWEEP_INTERVAL_MS, ignored -> sweep()));
        return port;
    }

    /** Changes options by name at run time. */
    public void changeOptions(Map<String, ?> changes) {
        host.call(() -> options = OptionRecords.with(options, changes));
    }

    /** Returns a copy of the recorded events. */
    public List<JsonObject> history() {
        return history.events();
    }

    /** Returns the current load, without the lag of the load reports. */
    public JsonObject state() {
        return host.call(this::load);
    }

    /** Crashes the engine as a {@code [crash]} prompt does. */
    public void crash() {
        host.call(() -> {
            crash("order");
            return true;
        });
    }

    @Override
    public void close() {
        host.close();
    }

    /** Adds an event to the history. An embedded engine that has crashed records nothing more, like a dead process. */
    private void recordEvent(String event, JsonObject details) {
        if (!crashed) {
            history.add(event, details);
        }
    }

    private void handleRequest(HttpServerRequest request) {
        if (crashed) {
            request.connection().close();
            return;
        }
        String path = request.path();
        if (path.startsWith("/v1/generations/")) {
            GenerationId id = new GenerationId(path.substring("/v1/generations/".length()));
            switch (request.method().name()) {
                case "GET" -> resumeGeneration(request, id);
                case "DELETE" -> cancelGeneration(request, id);
                default -> StandinHost.respondError(request, 405, "only GET and DELETE are supported");
            }
            return;
        }
        String route = request.method().name() + " " + path;
        switch (route) {
            case "POST /v1/generations" -> StandinHost.readJson(request, body -> acceptGeneration(request, body));
            case "GET /v1/load" -> StandinHost.respondJson(request, 200, reports.laggedReport());
            case "GET /v1/cache-events" -> {
                String after = request.getParam("after", "0");
                JsonObject page = new JsonObject()
                        .put("incarnation", incarnation)
                        .put("events", cacheEvents.pageAfter(Long.parseLong(after), options.cacheEventDelayMs()));
                StandinHost.respondJson(request, 200, page);
            }
            case "POST /v1/orders" -> StandinHost.readJson(request, body -> acceptOrder(request, body));
            default -> handleAdmin(request, route);
        }
    }

    private void handleAdmin(HttpServerRequest request, String route) {
        switch (route) {
            case "GET /admin/history" -> request.response().end(history.lines());
            case "GET /admin/state" -> StandinHost.respondJson(request, 200, load());
            case "PATCH /admin/options" ->
                StandinHost.readJson(request, body -> {
                    options = OptionRecords.with(options, body.getMap());
                    recordEvent("options", body);
                    request.response().setStatusCode(204).end();
                });
            case "POST /admin/drop-connections" -> host.dropConnections(request);
            case "POST /admin/halt" ->
                StandinHost.readJson(request, body -> {
                    host.vertx().setTimer(Math.max(1, body.getLong("afterMs", 1L)), ignored -> crash("halt"));
                    request.response().setStatusCode(202).end();
                });
            default -> StandinHost.respondError(request, 404, "no route " + route);
        }
    }

    private JsonObject load() {
        return new JsonObject()
                .put("target", options.id())
                .put("incarnation", incarnation)
                .put("atMs", System.currentTimeMillis())
                .put("running", scheduler.running())
                .put("waiting", scheduler.waiting())
                .put("kvUsedTokens", scheduler.usedTokens())
                .put("kvCapacityTokens", options.kvTokens())
                .put("preemptions", scheduler.preemptions())
                .put("models", models.toJson())
                .put("role", options.role())
                .put("leaving", options.leaving());
    }

    private void acceptGeneration(HttpServerRequest request, JsonObject body) {
        GenerationId id = new GenerationId(body.getString("generation"));
        String prompt = Objects.requireNonNull(body.getString("prompt"), "prompt is required");
        String reason = refusalReason(body);
        if (reason != null) {
            recordEvent(
                    "refused", new JsonObject().put("generation", id.value()).put("reason", reason));
            StandinHost.respondNotRun(request, reason);
            return;
        }
        if (sequences.containsKey(id)) {
            StandinHost.respondError(request, 409, "generation already exists");
            return;
        }
        int maxTokens = body.getInteger("maxTokens", 65_536);
        Sequence sequence = new Sequence(
                id,
                body.getString("organisation"),
                prompt,
                body.getInteger("priority", 0),
                maxTokens,
                options.defaultLength(),
                ++arrivals);
        if (maxTokens < 1 || sequence.promptTokens >= options.kvTokens()) {
            StandinHost.respondError(request, 400, "prompt must fit into memory and maxTokens must be positive");
            return;
        }
        sequences.put(id, sequence);
        recordEvent(
                "start",
                new JsonObject()
                        .put("generation", id.value())
                        .put("organisation", sequence.organisation)
                        .put("work", sequence.work)
                        .put("model", body.getString("model"))
                        .put("priority", sequence.priority)
                        .put("promptTokens", sequence.promptTokens)
                        .put("target", sequence.outputTokens));
        attach(request, sequence, 0);
        scheduler.add(sequence);
        startStep();
    }

    private String refusalReason(JsonObject body) {
        if (options.leaving()) {
            return "leaving";
        }
        if (!models.isServed(body.getString("model"), body.getString("adapter"))) {
            return "model-not-loaded";
        }
        return scheduler.waiting() >= options.maxWaiting() && scheduler.running() >= options.maxBatch() ? "full" : null;
    }

    private void attach(HttpServerRequest request, Sequence sequence, long from) {
        Attachment previous = sequence.attachment;
        Attachment attachment = new Attachment(++sequence.attachmentCount, request, sequence, from);
        sequence.attachment = attachment;
        recordEvent(
                "attach",
                new JsonObject()
                        .put("generation", sequence.id.value())
                        .put("attachment", attachment.number)
                        .put("from", from));
        if (previous != null && previous.isOpen()) {
            previous.close();
        }
        request.response().closeHandler(ignored -> detach(sequence, attachment));
        attachment.sendPending();
    }

    private void detach(Sequence sequence, Attachment attachment) {
        if (sequence.attachment == attachment) {
            sequence.attachment = null;
            sequence.detachedAtNanos = System.nanoTime();
            if (!sequence.isFinal()) {
                recordEvent(
                        "detach",
                        new JsonObject()
                                .put("generation", sequence.id.value())
                                .put("attachment", attachment.number)
                                .put("tokens", sequence.generated));
            }
        }
    }

    private void resumeGeneration(HttpServerRequest request, GenerationId id) {
        Sequence sequence = sequences.get(id);
        long from = Long.parseLong(request.getParam("from", "0"));
        boolean resumable = sequence != null
                && sequence.state != Sequence.State.CANCELLED
                && sequence.state != Sequence.State.ABANDONED;
        if (!resumable) {
            StandinHost.respondError(request, 404, "generation is not known");
        } else if (from < 0 || from > sequence.generated) {
            StandinHost.respondError(request, 400, "from must be within 0.." + sequence.generated);
        } else {
            attach(request, sequence, from);
        }
    }

    private void cancelGeneration(HttpServerRequest request, GenerationId id) {
        Sequence sequence = sequences.get(id);
        int number = Integer.parseInt(request.getParam("attachment", "0"));
        if (sequence == null) {
            StandinHost.respondError(request, 404, "generation is not known");
            return;
        }
        if (number < sequence.attachmentCount) {
            recordEvent(
                    "cancel-refused",
                    new JsonObject().put("generation", id.value()).put("attachment", number));
            StandinHost.respondError(request, 409, "attachment " + sequence.attachmentCount + " is newer");
            return;
        }
        if (!sequence.isFinal()) {
            endSequence(sequence, Sequence.State.CANCELLED);
            if (sequence.attachment != null) {
                sequence.attachment.close();
            }
        }
        request.response().setStatusCode(204).end();
    }

    private void acceptOrder(HttpServerRequest request, JsonObject body) {
        long fence = body.getLong("fence");
        boolean outdated = models.recordFence(fence);
        boolean refused = outdated && options.checksFence();
        recordEvent(
                refused ? "order-refused" : "order",
                body.copy().put("old", outdated).put("highest", models.highestFence()));
        if (refused) {
            StandinHost.respondError(request, 409, "fencing number " + models.highestFence() + " was already received");
            return;
        }
        if (body.getString("role") != null) {
            options = OptionRecords.with(options, Map.of("role", body.getString("role")));
        }
        if (body.getString("model") != null) {
            models.order(body.getString("model"), body.getString("version", "1"), body.getString("adapter"), options);
        }
        request.response().setStatusCode(202).end();
    }

    private void startStep() {
        if (stepInProgress || scheduler.isIdle() || crashed) {
            return;
        }
        stepInProgress = true;
        long now = System.nanoTime();
        long start = now - plannedStepEndNanos < MAX_TIMER_LAG_NANOS ? plannedStepEndNanos : now;
        plannedStepEndNanos = start + (long) (scheduler.beginStep(options) * 1e6);
        long delayMs = Math.max(1, Math.round((plannedStepEndNanos - now) / 1e6));
        host.vertx().setTimer(delayMs, ignored -> endStep());
    }

    private void endStep() {
        stepInProgress = false;
        if (crashed) {
            return;
        }
        for (Sequence sequence : scheduler.endStep(options)) {
            if (sequence.generated > sequence.crashAfterTokens) {
                crash(sequence.id.value());
                return;
            }
            if (sequence.generated == 1) {
                sequence.firstTokenNanos = System.nanoTime();
            }
            if (sequence.isFinal()) {
                record(sequence);
            }
            if (sequence.attachment != null) {
                sequence.attachment.sendPending();
            }
        }
        startStep();
    }

    private void endSequence(Sequence sequence, Sequence.State state) {
        scheduler.remove(sequence, state);
        record(sequence);
    }

    /** Adds the end of a generation to the history. */
    private void record(Sequence sequence) {
        sequence.endedAtNanos = System.nanoTime();
        recordEvent(
                "end",
                new JsonObject()
                        .put("generation", sequence.id.value())
                        .put("organisation", sequence.organisation)
                        .put("work", sequence.work)
                        .put("startMs", sequence.startMs)
                        .put("startNanos", sequence.startNanos)
                        .put("firstTokenNanos", sequence.firstTokenNanos)
                        .put("endMs", System.currentTimeMillis())
                        .put("endNanos", sequence.endedAtNanos)
                        .put(
                                "ended",
                                sequence.state
                                        .name()
                                        .toLowerCase(java.util.Locale.ROOT)
                                        .replace('_', '-'))
                        .put("tokens", sequence.generated)
                        .put("preemptions", sequence.preemptions)
                        .put("attachments", sequence.attachmentCount));
    }

    private void crash(String cause) {
        recordEvent("crash", new JsonObject().put("cause", cause).put("running", scheduler.running()));
        crashed = true;
        onCrash.run();
    }

    private void sweep() {
        if (crashed) {
            return;
        }
        long now = System.nanoTime();
        reports.add(load(), options.reportLagMs());
        boolean heartbeatDue = now - lastHeartbeatNanos >= options.heartbeatMs() * 1_000_000;
        if (heartbeatDue) {
            lastHeartbeatNanos = now;
        }
        for (Sequence sequence : List.copyOf(sequences.values())) {
            if (heartbeatDue && sequence.attachment != null) {
                sequence.attachment.sendHeartbeat();
            }
            if (!sequence.isFinal()
                    && sequence.attachment == null
                    && now - sequence.detachedAtNanos > options.detachedDecodeMs() * 1_000_000) {
                endSequence(sequence, Sequence.State.ABANDONED);
            }
            if (sequence.isFinal() && now - sequence.endedAtNanos > options.retainMs() * 1_000_000) {
                sequences.remove(sequence.id);
            }
        }
    }
}
