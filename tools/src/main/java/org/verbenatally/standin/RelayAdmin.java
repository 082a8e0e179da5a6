package org.verbenatally.standin;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;

/**
 * Admin HTTP server of a relay that runs as a process: {@code POST /admin/cut}, {@code POST /admin/heal}, {@code GET
 * /admin/state} and {@code PUT /admin/faults} with {@code {"refuse":bool, "silence":"none"|"open"|"new"|"all",
 * "direction":"both"|"to-target"|"to-client", "delayMs":n}}.
 */
public final class RelayAdmin implements AutoCloseable {
    private final TcpRelay relay;
    private final StandinHost host;

    /** Creates a stopped server for a relay. */
    public RelayAdmin(TcpRelay relay, String host, int port) {
        this.relay = relay;
        this.host = new StandinHost(host, port);
    }

    /** Starts listening and returns the bound port. */
    public int start() {
        return host.start(this::handleRequest);
    }

    @Override
    public void close() {
        host.close();
    }

    private void handleRequest(HttpServerRequest request) {
        String route = request.method().name() + " " + request.path();
        switch (route) {
            case "POST /admin/cut" -> {
                relay.resetConnections();
                respondNoContent(request);
            }
            case "POST /admin/heal" -> {
                relay.heal();
                respondNoContent(request);
            }
            case "PUT /admin/faults" ->
                StandinHost.readJson(request, body -> {
                    applyFaults(body);
                    respondNoContent(request);
                });
            case "GET /admin/state" ->
                StandinHost.respondJson(request, 200, new JsonObject().put("connections", relay.connections()));
            default -> StandinHost.respondError(request, 404, "no route " + route);
        }
    }

    private void applyFaults(JsonObject body) {
        String direction = body.getString("direction", "both");
        Set<TcpRelay.Direction> directions = direction.equals("both")
                ? EnumSet.allOf(TcpRelay.Direction.class)
                : EnumSet.of(TcpRelay.Direction.valueOf(
                        direction.toUpperCase(Locale.ROOT).replace('-', '_')));
        switch (body.getString("silence", "unchanged")) {
            case "unchanged" -> {}
            case "none" -> relay.silenceNew(Set.of());
            case "open" -> relay.silenceOpen(directions);
            case "new" -> relay.silenceNew(directions);
            case "all" -> {
                relay.silenceNew(directions);
                relay.silenceOpen(directions);
            }
            default -> throw new IllegalArgumentException("silence must be none, open, new or all");
        }
        if (body.containsKey("refuse")) {
            relay.setRefusing(body.getBoolean("refuse"));
        }
        if (body.containsKey("delayMs")) {
            relay.setDelay(body.getLong("delayMs"));
        }
    }

    private static void respondNoContent(HttpServerRequest request) {
        request.response().setStatusCode(204).end();
    }
}
