package org.verbenatally.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;

/**
 * Stand-in for a plain service. It runs every call that it receives, including duplicates, so that the history shows
 * work that ran twice. A member {@code work} of the body is recorded and returned, so that a checker can match runs
 * with what callers sent.
 *
 * <p>Admin: {@code GET /admin/history}, {@code PATCH /admin/options} (members of {@link ServiceOptions}),
 * {@code POST /admin/drop-connections}.
 */
public final class ServiceStandin implements AutoCloseable {
    private record Call(HttpServerRequest request, String id, String kind, JsonObject body) {}

    private static final String CALL_ID = "Call-Id";

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
        return host.start(this::handleRequest);
    }

    /** Changes options by name at run time. */
    public void changeOptions(Map<String, ?> changes) {
        host.call(() -> options = OptionRecords.with(options, changes));
    }

    /** Returns a copy of the recorded events. */
    public List<JsonObject> history() {
        return history.events();
    }

    /** Drops the listener and all connections, as a dying process does. */
    public void crash() {
        host.abort();
    }

    @Override
    public void close() {
        host.close();
    }

    private void handleRequest(HttpServerRequest request) {
        String path = request.path();
        String route = request.method().name() + " " + path;
        if (route.startsWith("POST /v1/calls/")) {
            String kind = path.substring("/v1/calls/".length());
            StandinHost.readJson(request, body -> acceptCall(request, kind, body));
            return;
        }
        switch (route) {
            case "GET /v1/load" -> StandinHost.respondJson(request, 200, load());
            case "GET /admin/history" -> request.response().end(history.lines());
            case "PATCH /admin/options" ->
                StandinHost.readJson(request, body -> {
                    options = OptionRecords.with(options, body.getMap());
                    request.response().setStatusCode(204).end();
                });
            case "POST /admin/drop-connections" -> host.dropConnections(request);
            default -> StandinHost.respondError(request, 404, "no route " + route);
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

    private void acceptCall(HttpServerRequest request, String kind, JsonObject body) {
        String id = request.getHeader(CALL_ID);
        if (id == null || id.isEmpty()) {
            StandinHost.respondError(request, 400, "header " + CALL_ID + " is required");
            return;
        }
        request.response().putHeader(CALL_ID, id);
        if (options.leaving() || waiting.size() >= options.maxWaiting() && running >= options.maxRunning()) {
            String reason = options.leaving() ? "leaving" : "full";
            history.add("refused", new JsonObject().put("call", id).put("reason", reason));
            StandinHost.respondNotRun(request, reason);
            return;
        }
        if (options.fault().endsWith("-before-run") && consumeFault()) {
            history.add("fault", new JsonObject().put("call", id).put("fault", options.fault()));
            if (options.fault().startsWith("reset")) {
                request.connection().close();
            }
            return;
        }
        waiting.addLast(new Call(request, id, kind, body));
        runWaiting();
    }

    /** Returns whether the fault affects the current call, and decrements the number of remaining calls if limited. */
    private boolean consumeFault() {
        if (options.faultCount() == 0) {
            return false;
        }
        if (options.faultCount() > 0) {
            options = OptionRecords.with(options, Map.of("faultCount", options.faultCount() - 1));
        }
        return true;
    }

    private void runWaiting() {
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
            long durationMs =
                    options.serviceMs() + (options.jitterMs() == 0 ? 0 : random.nextLong(options.jitterMs() + 1));
            host.vertx().setTimer(Math.max(1, durationMs), ignored -> endCall(call, run));
        }
    }

    private void endCall(Call call, JsonObject run) {
        running--;
        boolean faultApplies = options.fault().endsWith("-after-run") && consumeFault();
        boolean callerGone = call.request().response().closed();
        JsonObject responseBody = new JsonObject()
                .put("call", call.id())
                .put("kind", call.kind())
                .put("work", run.getValue("work"))
                .put("target", options.id())
                .put("serial", run.getLong("serial"));
        String ended = faultApplies ? options.fault() : callerGone ? "caller-gone" : "done";
        history.add(
                "end",
                run.copy()
                        .put("endMs", System.currentTimeMillis())
                        .put("endNanos", System.nanoTime())
                        .put("ended", ended)
                        .put("answer", responseBody.encode()));
        if (!faultApplies) {
            StandinHost.respondJson(call.request(), 200, responseBody);
        } else if (options.fault().startsWith("reset")) {
            call.request().connection().close();
        }
        runWaiting();
    }
}
