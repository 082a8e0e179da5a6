package org.verbenatally.forward;

import java.util.Objects;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

/**
 * A request by which an instance makes an engine copy, stop or forget a generation.
 *
 * @param method HTTP method
 * @param uri path and query
 * @param body body, empty if the order needs none
 */
public record EngineOrder(HttpMethod method, String uri, Buffer body) {
    /** Checks that no component is missing. */
    public EngineOrder {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
        Objects.requireNonNull(body, "body");
    }
}
