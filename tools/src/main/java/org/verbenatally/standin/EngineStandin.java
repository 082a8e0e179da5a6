package org.verbenatally.standin;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import org.verbenatally.core.GenerationId;

/**
 * Stand-in for a model engine: HTTP interface, generations and connections. {@link BatchScheduler} has the timing and
 * memory model; {@code docs/standins.md} describes it.
 *
 * <p>Markers in the prompt: {@code [len=N]} sets the output length; {@code [crash]} crashes the engine when the prompt
 * is processed, {@code [crash=N]} after N tokens; {@code [work=ID]} is recorded. Only the stand-in reads them.
 *
 * <p>Admin: {@code GET /admin/history}, {@code PATCH /admin/options} (members of {@link EngineOptions}), {@code POST
 * /admin/halt} with {@code {"afterMs":n}}, {@code POST /admin/drop-connections}, {@code GET /admin/state}.
 */
public final class EngineStandin implements AutoCloseable {
    private static final long SWEEP_MS = 50;
    private static final long LATE_NANOS = 5_000_000;

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
    private boolean stepping;
    private boolean crashed;
    private long stepEndNanos;
    private long heartbeatNanos;

    /** Creates a stopped engine whose crash drops the listener and all connections. */
    public EngineStandin(EngineOptions options) {
        this(options, null);
    }

    /**
     * Creates a stopped engine.
     *
     * @param onCrash what a crash does; {@code null}: drops the listener and all connections
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
        int port = host.start(this::handle);
        host.call(() -> host.vertx().setPeriodic(SWEEP_MS, ignored -> sweep()));
        return port;
    }

    /** Replaces options by name at run time. */
    public void change(Map<String, ?> changes) {
        host.call(() -> options = OptionRecords.with(options, changes));
    }

    /** Returns the history so far. */
    public List<JsonObject> history() {
        return history.events();
    }

    /** Returns the load without lag. */
    public JsonObject state() {
        return host.call(this::load);
    }

    /** Crashes as on a {@code [crash]} prompt. */
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

    /** A crashed engine that is embedded runs and records nothing more, as a dead process does. */
    private void note(String event, JsonObject details) {
        if (!crashed) {
            history.add(event, details);
        }
    }

    private void handle(HttpServerRequest request) {
        if (crashed) {
            request.connection().close();
            return;
        }
        String path = request.path();
        if (path.startsWith("/v1/generations/")) {
            GenerationId id = new GenerationId(path.substring("/v1/generations/".length()));
            switch (request.method().name()) {
                case "GET" -> resume(request, id);
                case "DELETE" -> cancel(request, id);
                default -> StandinHost.error(request, 405, "only GET and DELETE");
            }
            return;
        }
        String route = request.method().name() + " " + path;
        switch (route) {
            case "POST /v1/generations" -> StandinHost.readJson(request, body -> accept(request, body));
            case "GET /v1/load" -> StandinHost.json(request, 200, reports.serve());
            case "GET /v1/cache-events" -> {
                String after = request.getParam("after", "0");
                JsonObject page = new JsonObject()
                        .put("incarnation", incarnation)
                        .put("events", cacheEvents.after(Long.parseLong(after), options.cacheEventDelayMs()));
                StandinHost.json(request, 200, page);
            }
            case "POST /v1/orders" -> StandinHost.readJson(request, body -> order(request, body));
            default -> admin(request, route);
        }
    }

    private void admin(HttpServerRequest request, String route) {
        switch (route) {
            case "GET /admin/history" -> request.response().end(history.lines());
            case "GET /admin/state" -> StandinHost.json(request, 200, load());
            case "PATCH /admin/options" ->
                StandinHost.readJson(request, body -> {
                    options = OptionRecords.with(options, body.getMap());
                    note("options", body);
                    request.response().setStatusCode(204).end();
                });
            case "POST /admin/drop-connections" -> host.dropConnections(request);
            case "POST /admin/halt" ->
                StandinHost.readJson(request, body -> {
                    host.vertx().setTimer(Math.max(1, body.getLong("afterMs", 1L)), ignored -> crash("halt"));
                    request.response().setStatusCode(202).end();
                });
            default -> StandinHost.error(request, 404, "no route " + route);
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

    private void accept(HttpServerRequest request, JsonObject body) {
        GenerationId id = new GenerationId(body.getString("generation"));
        String prompt = Objects.requireNonNull(body.getString("prompt"), "prompt is required");
        String reason = refusal(body);
        if (reason != null) {
            note("refused", new JsonObject().put("generation", id.value()).put("reason", reason));
            StandinHost.notRun(request, reason);
            return;
        }
        if (sequences.containsKey(id)) {
            StandinHost.error(request, 409, "generation exists");
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
            StandinHost.error(request, 400, "prompt must fit the memory and maxTokens be positive");
            return;
        }
        sequences.put(id, sequence);
        note(
                "start",
                new JsonObject()
                        .put("generation", id.value())
                        .put("organisation", sequence.organisation)
                        .put("work", sequence.work)
                        .put("model", body.getString("model"))
                        .put("priority", sequence.priority)
                        .put("promptTokens", sequence.promptTokens)
                        .put("target", sequence.target));
        attach(request, sequence, 0);
        scheduler.add(sequence);
        step();
    }

    private String refusal(JsonObject body) {
        if (options.leaving()) {
            return "leaving";
        }
        if (!models.has(body.getString("model"), body.getString("adapter"))) {
            return "model-not-loaded";
        }
        return scheduler.waiting() >= options.maxWaiting() && scheduler.running() >= options.maxBatch() ? "full" : null;
    }

    private void attach(HttpServerRequest request, Sequence sequence, long from) {
        Attachment older = sequence.attachment;
        Attachment attachment = new Attachment(++sequence.attachments, request, sequence, from);
        sequence.attachment = attachment;
        note(
                "attach",
                new JsonObject()
                        .put("generation", sequence.id.value())
                        .put("attachment", attachment.number)
                        .put("from", from));
        if (older != null && older.isOpen()) {
            older.close();
        }
        request.response().closeHandler(ignored -> detach(sequence, attachment));
        attachment.pump();
    }

    private void detach(Sequence sequence, Attachment attachment) {
        if (sequence.attachment == attachment) {
            sequence.attachment = null;
            sequence.detachedAtNanos = System.nanoTime();
            if (!sequence.isFinal()) {
                note(
                        "detach",
                        new JsonObject()
                                .put("generation", sequence.id.value())
                                .put("attachment", attachment.number)
                                .put("tokens", sequence.generated));
            }
        }
    }

    private void resume(HttpServerRequest request, GenerationId id) {
        Sequence sequence = sequences.get(id);
        long from = Long.parseLong(request.getParam("from", "0"));
        boolean known = sequence != null
                && sequence.state != Sequence.State.CANCELLED
                && sequence.state != Sequence.State.ABANDONED;
        if (!known) {
            StandinHost.error(request, 404, "generation is not known");
        } else if (from < 0 || from > sequence.generated) {
            StandinHost.error(request, 400, "from must be within 0.." + sequence.generated);
        } else {
            attach(request, sequence, from);
        }
    }

    private void cancel(HttpServerRequest request, GenerationId id) {
        Sequence sequence = sequences.get(id);
        int number = Integer.parseInt(request.getParam("attachment", "0"));
        if (sequence == null) {
            StandinHost.error(request, 404, "generation is not known");
            return;
        }
        if (number < sequence.attachments) {
            note(
                    "cancel-refused",
                    new JsonObject().put("generation", id.value()).put("attachment", number));
            StandinHost.error(request, 409, "attachment " + sequence.attachments + " is newer");
            return;
        }
        if (!sequence.isFinal()) {
            end(sequence, Sequence.State.CANCELLED);
            if (sequence.attachment != null) {
                sequence.attachment.close();
            }
        }
        request.response().setStatusCode(204).end();
    }

    private void order(HttpServerRequest request, JsonObject body) {
        long fence = body.getLong("fence");
        boolean old = models.isOld(fence);
        boolean refused = old && options.checksFence();
        note(refused ? "order-refused" : "order", body.copy().put("old", old).put("highest", models.highestFence()));
        if (refused) {
            StandinHost.error(request, 409, "fencing number " + models.highestFence() + " was seen");
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

    private void step() {
        if (stepping || scheduler.isIdle() || crashed) {
            return;
        }
        stepping = true;
        long now = System.nanoTime();
        long start = now - stepEndNanos < LATE_NANOS ? stepEndNanos : now;
        stepEndNanos = start + (long) (scheduler.beginStep(options) * 1e6);
        long delay = Math.max(1, Math.round((stepEndNanos - now) / 1e6));
        host.vertx().setTimer(delay, ignored -> endStep());
    }

    private void endStep() {
        stepping = false;
        if (crashed) {
            return;
        }
        for (Sequence sequence : scheduler.endStep(options)) {
            if (sequence.generated > sequence.crashAt) {
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
                sequence.attachment.pump();
            }
        }
        step();
    }

    private void end(Sequence sequence, Sequence.State state) {
        scheduler.remove(sequence, state);
        record(sequence);
    }

    private void record(Sequence sequence) {
        sequence.endedAtNanos = System.nanoTime();
        note(
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
                        .put("attachments", sequence.attachments));
    }

    private void crash(String cause) {
        note("crash", new JsonObject().put("cause", cause).put("running", scheduler.running()));
        crashed = true;
        onCrash.run();
    }

    private void sweep() {
        if (crashed) {
            return;
        }
        long now = System.nanoTime();
        reports.add(load(), options.reportLagMs());
        boolean beat = now - heartbeatNanos >= options.heartbeatMs() * 1_000_000;
        if (beat) {
            heartbeatNanos = now;
        }
        for (Sequence sequence : List.copyOf(sequences.values())) {
            if (beat && sequence.attachment != null) {
                sequence.attachment.heartbeat();
            }
            if (!sequence.isFinal()
                    && sequence.attachment == null
                    && now - sequence.detachedAtNanos > options.detachedDecodeMs() * 1_000_000) {
                end(sequence, Sequence.State.ABANDONED);
            }
            if (sequence.isFinal() && now - sequence.endedAtNanos > options.retainMs() * 1_000_000) {
                sequences.remove(sequence.id);
            }
        }
    }
}
