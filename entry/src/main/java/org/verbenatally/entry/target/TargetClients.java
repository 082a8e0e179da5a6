package org.verbenatally.entry.target;

import java.util.Objects;

import io.vertx.core.Vertx;

/** The clients of the targets in one entry process. They share their connections. */
public final class TargetClients {
    private final TargetHttpClient http;
    private final EngineClient engines;
    private final ServiceClient services;

    /** Creates the clients. */
    public TargetClients(Vertx vertx) {
        this.http = new TargetHttpClient(Objects.requireNonNull(vertx, "vertx"));
        this.engines = new EngineClient(http);
        this.services = new ServiceClient(http);
    }

    /** Returns the client of engines. */
    public EngineClient engines() {
        return engines;
    }

    /** Returns the client of plain services. */
    public ServiceClient services() {
        return services;
    }

    TargetHttpClient http() {
        return http;
    }
}
