package org.verbenatally.forward;

import java.util.Optional;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import org.verbenatally.core.Address;

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
    AnswerHead read(HttpClientResponse response);

    /**
     * Returns the call that copies a running generation to another engine.
     *
     * @param requestId request that the generation answers
     * @param destination engine that gets the copy
     */
    CopyCall copy(String requestId, Address destination);

    /** Returns the id of a copy from the answer to such a call, or empty if there is none. */
    Optional<String> readCopy(int status, Buffer body);
}
