package org.verbenatally.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;

/**
 * Translates between heads of HTTP messages and what an instance decides on. Headers that no method mentions are
 * forwarded unchanged.
 */
public interface WireCodec {

    /**
     * Reads a caller's request.
     *
     * @throws IllegalArgumentException if a header that is needed is missing or malformed; the message names it
     */
    RequestHead read(HttpServerRequest request);

    /** Replaces, in the headers of a caller, those that only an instance may set. */
    void write(TargetOrder order, MultiMap headers);

    /** Reads the head of a target's answer. */
    AnswerHead read(HttpClientResponse answer);
}
