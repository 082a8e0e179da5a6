package org.verbenatally.forward;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

/**
 * A request that makes an engine copy a running generation to another engine.
 *
 * @param method HTTP method
 * @param uri path and query
 * @param body body in JSON
 */
public record CopyRequest(HttpMethod method, String uri, Buffer body) {}
