package org.verbenatally.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Stand-in for the platform: the configuration service, the list of instances and the weight store.
 *
 * <p>Admin: {@code PUT /admin/config} (header {@code Config-Version}), {@code PUT} and {@code DELETE
 * /admin/instances/{id}}, {@code PUT /admin/mode} with {@code {"mode":"up"|"down"|"stale"|"hang","version":n}},
 * {@code PATCH /admin/options}, {@code GET /admin/counts}, {@code GET /admin/history}. Admin routes work in each mode.
 */
public final class PlatformStandin implements AutoCloseable {
    private record Watch(HttpServerRequest request, long after, long timer) {}

    private record InstanceChange(long visibleAtNanos, String id, JsonObject instance) {}

    private final StandinHost host;
    private final History history;
    private final TreeMap<Long, String> documents = new TreeMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final List<InstanceChange> changes = new ArrayList<>();
    private final Map<String, JsonObject> visible = new TreeMap<>();
    private final ReadCounter reads = new ReadCounter();
    private PlatformOptions options;
    private String mode = "up";
    private long pinned;
    private long storeFreeAtNanos = System.nanoTime();

    /** Creates a stopped stand-in without a document and without instances. */
    public PlatformStandin(PlatformOptions options) {
        this.options = options;
        host = new StandinHost(options.host(), options.port());
        history = new History(options.id(), options.history());
    }

    /** Starts listening and returns the bound port. */
    public int start() {
        return host.start(this::handle);
    }

    /** Publishes a document and answers the watches that wait for it. The document is not checked. */
    public void publish(long version, String document) {
        host.call(() -> store(version, document));
    }

    /**
     * Adds or replaces an instance; it shows in the list after the lag.
     *
     * @param id its id
     * @param instance members as the protocol shows them; {@code id} is added
     */
    public void putInstance(String id, JsonObject instance) {
        host.call(() -> changeInstance(id, instance.copy().put("id", id)));
    }

    /** Removes an instance; it leaves the list after the lag. */
    public void removeInstance(String id) {
        host.call(() -> changeInstance(id, null));
    }

    /**
     * Changes how reads are answered.
     *
     * @param mode {@code up}, {@code down} (connections are closed), {@code stale} (serves an older document) or
     *     {@code hang} (no answer)
     * @param version the document that is served when stale; 0: the one before the newest
     */
    public void mode(String mode, long version) {
        host.call(() -> setMode(mode, version));
    }

    /** Returns the read counters, as {@code GET /admin/counts} does. */
    public JsonObject counts() {
        return host.call(() -> reads.toJson().put("waiting", watches.size()));
    }

    /** Returns the history so far. */
    public List<JsonObject> history() {
        return history.events();
    }

    @Override
    public void close() {
        host.close();
    }

    private void handle(HttpServerRequest request) {
        if (request.path().startsWith("/admin/")) {
            admin(request);
        } else if (mode.equals("down")) {
            request.connection().close();
        } else if (!mode.equals("hang")) {
            read(request);
        }
    }

    private void read(HttpServerRequest request) {
        String kind = request.path().startsWith("/v1/weights/") ? "/v1/weights" : request.path();
        if (!reads.take(kind, options.readsPerSecond())) {
            StandinHost.error(request, 429, "more than " + options.readsPerSecond() + " reads a second");
            return;
        }
        switch (kind) {
            case "/v1/config" -> readConfig(request);
            case "/v1/instances" -> readInstances(request);
            case "/v1/weights" -> readWeights(request);
            default -> StandinHost.error(request, 404, "no route " + request.path());
        }
    }

    private void readConfig(HttpServerRequest request) {
        long after = number(request, "after");
        long wait = Math.min(number(request, "waitMs"), options.maxWaitMs());
        if (!answerConfig(request, after)) {
            if (wait == 0) {
                request.response().setStatusCode(304).end();
                return;
            }
            long timer = host.vertx().setTimer(wait, this::expire);
            watches.add(new Watch(request, after, timer));
        }
    }

    private void expire(long timer) {
        watches.stream().filter(w -> w.timer() == timer).findFirst().ifPresent(watch -> {
            watches.remove(watch);
            if (!watch.request().response().closed()) {
                watch.request().response().setStatusCode(304).end();
            }
        });
    }

    private boolean answerConfig(HttpServerRequest request, long after) {
        Long version = mode.equals("stale") ? documents.floorKey(pinned) : lastVersion();
        if (version == null || version <= after) {
            return false;
        }
        if (!request.response().closed()) {
            request.response().putHeader("Config-Version", Long.toString(version));
            StandinHost.json(request, 200, documents.get(version));
        }
        return true;
    }

    private Long lastVersion() {
        return documents.isEmpty() ? null : documents.lastKey();
    }

    private void answerWatches() {
        for (Watch watch : List.copyOf(watches)) {
            if (answerConfig(watch.request(), watch.after())) {
                watches.remove(watch);
                host.vertx().cancelTimer(watch.timer());
            }
        }
    }

    private void readInstances(HttpServerRequest request) {
        long now = System.nanoTime();
        changes.removeIf(change -> {
            if (change.visibleAtNanos() - now > 0) {
                return false;
            }
            if (change.instance() == null) {
                visible.remove(change.id());
            } else {
                visible.put(change.id(), change.instance());
            }
            return true;
        });
        StandinHost.json(request, 200, new JsonArray(List.copyOf(visible.values())).encode());
    }

    /** Answers when the store has served the load; loads are served one after the other. */
    private void readWeights(HttpServerRequest request) {
        long now = System.nanoTime();
        long start = Math.max(now, storeFreeAtNanos);
        storeFreeAtNanos = start + options.weightLoadMs() * 1_000_000;
        history.add("weights", new JsonObject().put("path", request.path()));
        long delay = (storeFreeAtNanos - now) / 1_000_000;
        host.vertx().setTimer(Math.max(1, delay), ignored -> StandinHost.json(request, 200, "{}"));
    }

    private void admin(HttpServerRequest request) {
        String path = request.path();
        String route = request.method().name() + " " + path;
        if (path.startsWith("/admin/instances/")) {
            String id = path.substring("/admin/instances/".length());
            StandinHost.readJson(request, body -> {
                changeInstance(id, request.method().name().equals("DELETE") ? null : body.put("id", id));
                request.response().setStatusCode(204).end();
            });
            return;
        }
        switch (route) {
            case "PUT /admin/config" -> {
                long version = Long.parseLong(request.getHeader("Config-Version"));
                request.body().onSuccess(body -> {
                    store(version, body.toString());
                    request.response().setStatusCode(204).end();
                });
            }
            case "PUT /admin/mode" ->
                StandinHost.readJson(request, body -> {
                    setMode(body.getString("mode"), body.getLong("version", 0L));
                    request.response().setStatusCode(204).end();
                });
            case "PATCH /admin/options" ->
                StandinHost.readJson(request, body -> {
                    options = OptionRecords.with(options, body.getMap());
                    request.response().setStatusCode(204).end();
                });
            case "GET /admin/counts" ->
                StandinHost.json(request, 200, reads.toJson().put("waiting", watches.size()));
            case "GET /admin/history" -> request.response().end(history.lines());
            default -> StandinHost.error(request, 404, "no route " + route);
        }
    }

    private boolean store(long version, String document) {
        documents.put(version, document);
        history.add("config", new JsonObject().put("version", version).put("bytes", document.length()));
        if (mode.equals("up")) {
            answerWatches();
        }
        return true;
    }

    private boolean changeInstance(String id, JsonObject instance) {
        changes.add(new InstanceChange(System.nanoTime() + options.instanceLagMs() * 1_000_000, id, instance));
        history.add("instance", new JsonObject().put("id", id).put("instance", instance));
        return true;
    }

    private boolean setMode(String newMode, long version) {
        switch (newMode == null ? "" : newMode) {
            case "up", "down", "hang" -> mode = newMode;
            case "stale" -> {
                Long last = lastVersion();
                Long before = last == null ? null : documents.lowerKey(last);
                pinned = version > 0 ? version : before != null ? before : 0;
                mode = newMode;
            }
            default -> throw new IllegalArgumentException("mode must be up, down, stale or hang");
        }
        history.add("mode", new JsonObject().put("mode", mode).put("version", pinned));
        if (mode.equals("down")) {
            watches.forEach(watch -> watch.request().connection().close());
            watches.clear();
        } else if (mode.equals("up")) {
            answerWatches();
        }
        return true;
    }

    private static long number(HttpServerRequest request, String name) {
        String text = request.getParam(name);
        if (text == null) {
            return 0;
        }
        long value = Long.parseLong(text);
        if (value < 0) {
            throw new IllegalArgumentException(name + " must not be negative");
        }
        return value;
    }
}
