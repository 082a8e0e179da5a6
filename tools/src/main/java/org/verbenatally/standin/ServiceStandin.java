package org.verbenatally.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;

/**
 * Stand-in for a plain service. It runs every call it gets, also a repeated one, so that the history shows doubled
 * runs. A member {@code work} of the body is recorded and returned, so that a checker can match runs with what callers
 * sent.
 *
 * <p>Admin: {@code GET /admin/history}, {@code PATCH /admin/options} (members of {@link ServiceOptions}),
 * {@code POST /admin/drop-connections}.
 */
public final class ServiceStandin implements AutoCloseable {
    private record Call(HttpServerRequest request, String id, String kind, JsonObject body) {}

    private final StandinHost host;
    private final History history;
    private final SplittableRandom random;
    private final Deque<Call> waiting = new ArrayDeque<>();
    private final long incarnation = System.currentTimeMillis();
    private ServiceOptions options;
    private int running;
    private long serial;

    /** Creates a stopped stand-in. */
    public ServiceStandin(ServiceOptions options) {
        this.options = options;
        host = new StandinHost(options.host(), options.port());
        history = new History(options.id(), options.history());
        random = new SplittableRandom(options.seed());
    }

    /** Starts listening and returns the bound port. */
    public int start() {
        return host.start(this::handle);
    }

    /** Replaces options by name at run time. */
    public void change(Map<String, ?> changes) {
        host.call(() -> options = OptionRecords.with(options, changes));
    }

    /** Returns the history so far. */
    public List<JsonObject> history() {
        return history.events();
    }

    /** Drops the listener and all connections as a dying process does. */
    public void crash() {
        host.abort();
    }

    @Override
    public void close() {
        host.close();
    }

    private void handle(HttpServerRequest request) {
        String path = request.path();
        String route = request.method().name() + " " + path;
        if (route.startsWith("POST /v1/calls/")) {
            String kind = path.substring("/v1/calls/".length());
            StandinHost.readJson(request, body -> accept(request, kind, body));
            return;
        }
        switch (route) {
            case "GET /v1/load" -> StandinHost.json(request, 200, load());
            case "GET /admin/history" -> request.response().end(history.lines());
            case "PATCH /admin/options" ->
                StandinHost.readJson(request, body -> {
                    options = OptionRecords.with(options, body.getMap());
                    request.response().setStatusCode(204).end();
                });
            case "POST /admin/drop-connections" -> host.dropConnections(request);
            default -> StandinHost.error(request, 404, "no route " + route);
        }
    }

    private JsonObject load() {
        return new JsonObject()
                .put("target", options.id())
                .put("incarnation", incarnation)
                .put("atMs", System.currentTimeMillis())
                .put("running", running)
                .put("waiting", waiting.size())
                .put("leaving", options.leaving());
    }

    private void accept(HttpServerRequest request, String kind, JsonObject body) {
        String id = request.getHeader("Call-Id");
        if (id == null || id.isEmpty()) {
            StandinHost.error(request, 400, "header Call-Id is required");
            return;
        }
        if (options.leaving() || waiting.size() >= options.maxWaiting() && running >= options.maxRunning()) {
            String reason = options.leaving() ? "leaving" : "full";
            history.add("refused", new JsonObject().put("call", id).put("reason", reason));
            StandinHost.notRun(request, reason);
            return;
        }
        if (options.fault().endsWith("-before-run") && takeFault()) {
            history.add("fault", new JsonObject().put("call", id).put("fault", options.fault()));
            if (options.fault().startsWith("reset")) {
                request.connection().close();
            }
            return;
        }
        waiting.addLast(new Call(request, id, kind, body));
        runNext();
    }

    private boolean takeFault() {
        if (options.faultCount() == 0) {
            return false;
        }
        if (options.faultCount() > 0) {
            options = OptionRecords.with(options, Map.of("faultCount", options.faultCount() - 1));
        }
        return true;
    }

    private void runNext() {
        while (running < options.maxRunning() && !waiting.isEmpty()) {
            Call call = waiting.removeFirst();
            running++;
            JsonObject run = new JsonObject()
                    .put("call", call.id())
                    .put("kind", call.kind())
                    .put("organisation", call.request().getHeader("Organisation"))
                    .put("work", call.body().getValue("work"))
                    .put("serial", ++serial)
                    .put("startMs", System.currentTimeMillis())
                    .put("startNanos", System.nanoTime());
            history.add("start", run);
            long time = options.serviceMs() + (options.jitterMs() == 0 ? 0 : random.nextLong(options.jitterMs() + 1));
            host.vertx().setTimer(Math.max(1, time), ignored -> finish(call, run));
        }
    }

    private void finish(Call call, JsonObject run) {
        running--;
        boolean faulty = options.fault().endsWith("-after-run") && takeFault();
        boolean gone = call.request().response().closed();
        JsonObject answer = new JsonObject()
                .put("call", call.id())
                .put("kind", call.kind())
                .put("work", run.getValue("work"))
                .put("target", options.id())
                .put("serial", run.getLong("serial"));
        String ended = faulty ? options.fault() : gone ? "caller-gone" : "done";
        history.add(
                "end",
                run.copy()
                        .put("endMs", System.currentTimeMillis())
                        .put("endNanos", System.nanoTime())
                        .put("ended", ended)
                        .put("answer", answer.encode()));
        if (!faulty) {
            StandinHost.json(call.request(), 200, answer);
        } else if (options.fault().startsWith("reset")) {
            call.request().connection().close();
        }
        runNext();
    }
}
