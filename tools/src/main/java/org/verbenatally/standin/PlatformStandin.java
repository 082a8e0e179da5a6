package org.verbenatally.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Stand-in for the platform: configuration service, instance list and weight store.
 *
 * <p>Admin: {@code PUT /admin/config} (header {@code Config-Version}), {@code PUT} and {@code DELETE
 * /admin/instances/{id}}, {@code PUT /admin/mode} with {@code {"mode":"up"|"down"|"stale"|"hang","version":n}},
 * {@code PATCH /admin/options}, {@code GET /admin/counts}, {@code GET /admin/history}. Admin routes work in all modes.
 */
public final class PlatformStandin implements AutoCloseable {
    private record Watch(HttpServerRequest request, long after, long timer) {}

    private record InstanceChange(long visibleAtNanos, String id, JsonObject instance) {}

    private final StandinHost host;
    private final History history;
    private final TreeMap<Long, String> documents = new TreeMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final List<InstanceChange> changes = new ArrayList<>();
    private final Map<String, JsonObject> visibleInstances = new TreeMap<>();
    private final ReadCounter readCounter = new ReadCounter();
    private PlatformOptions options;
    private String mode = "up";
    private long staleVersion;
    private long weightStoreFreeAtNanos = System.nanoTime();

    /** Creates a stopped stand-in without a document and without instances. */
    public PlatformStandin(PlatformOptions options) {
        this.options = options;
        host = new StandinHost(options.host(), options.port());
        history = new History(options.id(), options.history());
    }

    /** Starts listening and returns the bound port. */
    public int start() {
        return host.start(this::handleRequest);
    }

    /** Publishes a document and responds to the watches that wait for it. The document is not validated. */
    public void publish(long version, String document) {
        host.call(() -> storeDocument(version, document));
    }

    /**
     * Adds or replaces an instance; the change becomes visible in the list after the lag.
     *
     * @param id id of the instance
     * @param instance members of the instance as listed by the protocol; {@code id} is added
     */
    public void putInstance(String id, JsonObject instance) {
        host.call(() -> changeInstance(id, instance.copy().put("id", id)));
    }

    /** Removes an instance; it disappears from the list after the lag. */
    public void removeInstance(String id) {
        host.call(() -> changeInstance(id, null));
    }

    /**
     * Changes how reads are served.
     *
     * @param mode {@code up}, {@code down} (connections are closed), {@code stale} (serves an older document) or
     *     {@code hang} (no response)
     * @param version version of the document served in mode {@code stale}; 0: the one before the newest
     */
    public void changeMode(String mode, long version) {
        host.call(() -> setMode(mode, version));
    }

    /** Returns the read counters, as {@code GET /admin/counts} does. */
    public JsonObject counts() {
        return host.call(() -> readCounter.toJson().put("waiting", watches.size()));
    }

    /** Returns a copy of the recorded events. */
    public List<JsonObject> history() {
        return history.events();
    }

    @Override
    public void close() {
        host.close();
    }

    private void handleRequest(HttpServerRequest request) {
        if (request.path().startsWith("/admin/")) {
            handleAdmin(request);
        } else if (mode.equals("down")) {
            request.connection().close();
        } else if (!mode.equals("hang")) {
            handleRead(request);
        }
    }

    private void handleRead(HttpServerRequest request) {
        String kind = request.path().startsWith("/v1/weights/") ? "/v1/weights" : request.path();
        if (!readCounter.tryAcquire(kind, options.readsPerSecond())) {
            StandinHost.respondError(request, 429, "more than " + options.readsPerSecond() + " reads per second");
            return;
        }
        switch (kind) {
            case "/v1/config" -> serveConfig(request);
            case "/v1/instances" -> serveInstances(request);
            case "/v1/weights" -> serveWeights(request);
            default -> StandinHost.respondError(request, 404, "no route " + request.path());
        }
    }

    private void serveConfig(HttpServerRequest request) {
        long after = nonNegativeParam(request, "after");
        long waitMs = Math.min(nonNegativeParam(request, "waitMs"), options.maxWaitMs());
        if (!respondConfig(request, after)) {
            if (waitMs == 0) {
                request.response().setStatusCode(304).end();
                return;
            }
            long timer = host.vertx().setTimer(waitMs, this::expireWatch);
            watches.add(new Watch(request, after, timer));
        }
    }

    private void expireWatch(long timer) {
        watches.stream().filter(w -> w.timer() == timer).findFirst().ifPresent(watch -> {
            watches.remove(watch);
            if (!watch.request().response().closed()) {
                watch.request().response().setStatusCode(304).end();
            }
        });
    }

    /** Responds with the current document if it is newer than {@code after}; returns whether it is. */
    private boolean respondConfig(HttpServerRequest request, long after) {
        Long version = mode.equals("stale") ? documents.floorKey(staleVersion) : newestVersion();
        if (version == null || version <= after) {
            return false;
        }
        if (!request.response().closed()) {
            request.response().putHeader("Config-Version", Long.toString(version));
            StandinHost.respondJson(request, 200, documents.get(version));
        }
        return true;
    }

    private Long newestVersion() {
        return documents.isEmpty() ? null : documents.lastKey();
    }

    private void respondToWatches() {
        for (Watch watch : List.copyOf(watches)) {
            if (respondConfig(watch.request(), watch.after())) {
                watches.remove(watch);
                host.vertx().cancelTimer(watch.timer());
            }
        }
    }

    private void serveInstances(HttpServerRequest request) {
        long now = System.nanoTime();
        changes.removeIf(change -> {
            if (change.visibleAtNanos() - now > 0) {
                return false;
            }
            if (change.instance() == null) {
                visibleInstances.remove(change.id());
            } else {
                visibleInstances.put(change.id(), change.instance());
            }
            return true;
        });
        StandinHost.respondJson(request, 200, new JsonArray(List.copyOf(visibleInstances.values())).encode());
    }

    /** Responds when the store has finished the load. Loads are served one after the other. */
    private void serveWeights(HttpServerRequest request) {
        long now = System.nanoTime();
        long start = Math.max(now, weightStoreFreeAtNanos);
        weightStoreFreeAtNanos = start + options.weightLoadMs() * 1_000_000;
        history.add("weights", new JsonObject().put("path", request.path()));
        long delayMs = (weightStoreFreeAtNanos - now) / 1_000_000;
        host.vertx().setTimer(Math.max(1, delayMs), ignored -> StandinHost.respondJson(request, 200, "{}"));
    }

    private void handleAdmin(HttpServerRequest request) {
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
                    storeDocument(version, body.toString());
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
                StandinHost.respondJson(request, 200, readCounter.toJson().put("waiting", watches.size()));
            case "GET /admin/history" -> request.response().end(history.lines());
            default -> StandinHost.respondError(request, 404, "no route " + route);
        }
    }

    private boolean storeDocument(long version, String document) {
        documents.put(version, document);
        history.add("config", new JsonObject().put("version", version).put("bytes", document.length()));
        if (mode.equals("up")) {
            respondToWatches();
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
                Long newest = newestVersion();
                Long previous = newest == null ? null : documents.lowerKey(newest);
                staleVersion = version > 0 ? version : previous != null ? previous : 0;
                mode = newMode;
            }
            default -> throw new IllegalArgumentException("mode must be up, down, stale or hang");
        }
        history.add("mode", new JsonObject().put("mode", mode).put("version", staleVersion));
        if (mode.equals("down")) {
            watches.forEach(watch -> watch.request().connection().close());
            watches.clear();
        } else if (mode.equals("up")) {
            respondToWatches();
        }
        return true;
    }

    private static long nonNegativeParam(HttpServerRequest request, String name) {
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
